// Package wholefile replaces small files atomically: a reader finds the old or the new contents, also after a crash.
// Once a call has returned, the new contents are on disk.
package wholefile

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// WriteJSON replaces a file with a value as JSON; see Write.
func WriteJSON(path string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return Write(path, raw)
}

// Write replaces a file with bytes, readable by its owner only. It writes path.new first, so calls for the same path
// must not run at the same time.
func Write(path string, raw []byte) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// ReadJSON reads what WriteJSON wrote into a value. If the file does not exist, the value is left as it is, without
// an error.
func ReadJSON(path string, into any) error {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}
