// Package cache stores a node's configuration on its disk, so that a node has it at its start before a control machine
// answers. A file that is not complete and valid is refused.
package cache

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/wholefile"
)

// A file is the magic line, the SHA-256 of the rest, and an encoded configpb.Cache.
const (
	magic        = "starlingvalve configuration cache 1\n"
	maxFileBytes = configuration.MaxBytes * 2 // bytes; all entries have at most MaxBytes
)

// refusedSuffix is appended to the name of a file that was refused.
const refusedSuffix = ".refused"

// RefusedError is the reason why a file was refused. The file has been renamed, so that it is not overwritten.
type RefusedError struct {
	Path   string
	Reason string
	KeptAs string // the file's new path
}

// Error names the file, the reason and the file's new path.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("configuration cache %s: %s; it is kept as %s, and the node starts without it",
		e.Path, e.Reason, e.KeptAs)
}

// Save atomically replaces the file with a snapshot. log is the name of the log that the snapshot's revision is from.
func Save(path, log string, snapshot *configpb.Snapshot) error {
	raw, err := configuration.Encode(&configpb.Cache{Log: log, Snapshot: snapshot})
	if err != nil {
		return fmt.Errorf("configuration cache %s: %w", path, err)
	}
	sum := sha256.Sum256(raw)
	if err := wholefile.Write(path, bytes.Join([][]byte{[]byte(magic), sum[:], raw}, nil)); err != nil {
		return fmt.Errorf("configuration cache %s: %w", path, err)
	}
	return nil
}

// Load restores a replica from a file and returns the name of the log that the file's revision is from. If there is no
// file, the name is empty. A file that is truncated, damaged, of another format or invalid is renamed; then the replica
// is unchanged, and the error is a *RefusedError.
func Load(path string, into *configuration.Replica) (log string, err error) {
	raw, err := read(path)
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("configuration cache %s: %w", path, err)
	}
	content, reason := decode(raw)
	if reason == "" {
		if err := into.Restore(content.Snapshot); err != nil {
			reason = fmt.Sprintf("it is not valid: %v", err)
		}
	}
	if reason == "" {
		return content.Log, nil
	}
	if err := os.Rename(path, path+refusedSuffix); err != nil {
		return "", fmt.Errorf("configuration cache %s: %s; it can't be set aside: %w", path, reason, err)
	}
	return "", &RefusedError{Path: path, Reason: reason, KeptAs: path + refusedSuffix}
}

// read returns the content of a file, of one that is too long the first maxFileBytes+1 bytes.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

// decode returns the content of a file, or the reason why the file is refused.
func decode(raw []byte) (c *configpb.Cache, reason string) {
	if len(raw) > maxFileBytes {
		return nil, fmt.Sprintf("it is longer than %d bytes", maxFileBytes)
	}
	rest, hasMagic := bytes.CutPrefix(raw, []byte(magic))
	if !hasMagic {
		return nil, "it is not a configuration cache of this format, or its beginning is torn off"
	}
	if len(rest) < sha256.Size {
		return nil, "it is torn off"
	}
	sum := sha256.Sum256(rest[sha256.Size:])
	if !bytes.Equal(sum[:], rest[:sha256.Size]) {
		return nil, "its checksum is wrong: it is torn off or damaged"
	}
	c = &configpb.Cache{}
	if err := proto.Unmarshal(rest[sha256.Size:], c); err != nil {
		return nil, fmt.Sprintf("it can't be read: %v", err)
	}
	if c.Log == "" || c.Snapshot == nil {
		return nil, "it names no log or has no snapshot"
	}
	return c, ""
}
