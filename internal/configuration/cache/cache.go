// Package cache keeps a node's configuration on its disk: a node that starts has it before any control machine is
// heard. A file is whole or it is refused.
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

// A file is the magic line, the SHA-256 of what follows it, and a configpb.Cache.
const (
	magic   = "starlingvalve configuration cache 1\n"
	maxFile = configuration.MaxBytes * 2 // bytes; entries are MaxBytes at most
)

// refusedSuffix is added to the name of a file that was refused.
const setAside = ".refused"

// RefusedError tells why a file is not used. It has been renamed, so that nothing of it is lost.
type RefusedError struct {
	Path   string
	Reason string
	Kept   string // name that the file has now
}

// Error names the file, the reason and the name that the file has now.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("configuration cache %s: %s; it is kept as %s, and the node starts without it",
		e.Path, e.Reason, e.Kept)
}

// Save puts what a replica has, of a log, in the place of the file.
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

// Load reads a file into a replica, and gives the log that its revision is of. Without a file the log is empty. A file
// that is torn, foreign or not valid is set aside, the replica stays as it is, and the error is a *RefusedError.
func Load(path string, into *configuration.Replica) (log string, err error) {
	raw, err := read(path)
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("configuration cache %s: %w", path, err)
	}
	c, reason := decode(raw)
	if reason == "" {
		if err := into.Restore(c.Snapshot); err != nil {
			reason = fmt.Sprintf("it is not valid: %v", err)
		}
	}
	if reason == "" {
		return c.Log, nil
	}
	if err := os.Rename(path, path+setAside); err != nil {
		return "", fmt.Errorf("configuration cache %s: %s; it can't be set aside: %w", path, reason, err)
	}
	return "", &RefusedError{Path: path, Reason: reason, Kept: path + setAside}
}

// read gives a file's bytes, one more than the bound at most.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFile+1))
}

// decode gives what a file holds, or the reason why it is refused.
func decode(raw []byte) (c *configpb.Cache, reason string) {
	if len(raw) > maxFile {
		return nil, fmt.Sprintf("it is longer than %d bytes", maxFile)
	}
	rest, ours := bytes.CutPrefix(raw, []byte(magic))
	if !ours {
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
