// Package supervise keeps one node's process running, holds the programs that it may run by the hash of their content, and brings
// the node to the version that the fleet's release gives it a turn for. It never needs the agreement to keep the node running.
package supervise

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"

	"starlingvalve/internal/wholefile"
)

// Programs is a folder of programs by the hash of their content, and which one runs.
type Programs struct{ folder string }

// Chosen is which program runs.
type Chosen struct {
	Version string `json:"version"`
	Well    string `json:"well"` // the last one that was ready
}

var versionName = regexp.MustCompile(`^[0-9a-f]{32}$`)

// OpenPrograms opens a folder, or makes it.
func OpenPrograms(folder string) (*Programs, error) {
	return &Programs{folder}, os.MkdirAll(folder, 0o700)
}

// Add takes a program in and gives its version: 32 hex digits of the SHA-256 of its content.
func (p *Programs) Add(path string) (version string, err error) {
	from, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer from.Close()
	to, err := os.CreateTemp(p.folder, ".new")
	if err != nil {
		return "", err
	}
	defer os.Remove(to.Name()) // unless it has its name by then
	sum := sha256.New()
	_, err = io.Copy(io.MultiWriter(to, sum), from)
	if err = errors.Join(err, to.Chmod(0o700), to.Sync(), to.Close()); err != nil {
		return "", err
	}
	version = hex.EncodeToString(sum.Sum(nil)[:16])
	return version, os.Rename(to.Name(), filepath.Join(p.folder, version))
}

// Path gives the program of a version, whose content is what it was.
func (p *Programs) Path(version string) (string, error) {
	if !versionName.MatchString(version) {
		return "", fmt.Errorf("%.50q is no version: want 32 hex digits", version)
	}
	path := filepath.Join(p.folder, version)
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("version %s is not held here; add its program first: %w", version, err)
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return "", err
	}
	if got := hex.EncodeToString(sum.Sum(nil)[:16]); got != version {
		return "", fmt.Errorf("%s: its content has the hash %s: it is damaged, add it again", path, got)
	}
	return path, nil
}

func (p *Programs) chosenFile() string { return filepath.Join(p.folder, "chosen.json") }

// Chosen tells which program runs; the zero value: none was chosen yet.
func (p *Programs) Chosen() (c Chosen, err error) {
	err = wholefile.ReadJSON(p.chosenFile(), &c)
	return c, err
}

// Choose notes it, whole or not at all.
func (p *Programs) Choose(c Chosen) error { return wholefile.WriteJSON(p.chosenFile(), c) }
