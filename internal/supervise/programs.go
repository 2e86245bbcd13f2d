// Package supervise is the process supervisor of one node. It restarts the node's process when it ends, stores the
// programs that the node may run under the hash of their content, and replaces the process by one of another version
// when the fleet's release orders it. It keeps the node running also while the fleet's voters can't be reached.
package supervise

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"

	"starlingvalve/internal/wholefile"
)

// Programs is a folder of programs, named by the hash of their content, with files that record which one runs.
type Programs struct{ folder string }

// Chosen records which program the node runs.
type Chosen struct {
	Version   string `json:"version"`
	LastReady string `json:"well"` // the last version whose process was ready
}

var versionName = regexp.MustCompile(`^[0-9a-f]{32}$`)

// OpenPrograms opens a folder of programs, or creates it.
func OpenPrograms(folder string) (*Programs, error) {
	return &Programs{folder}, os.MkdirAll(folder, 0o700)
}

// Add copies a program into the folder and returns its version: the first 32 hex digits of the SHA-256 of its content.
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
	defer os.Remove(to.Name()) // does nothing once the file is renamed
	sum := sha256.New()
	_, err = io.Copy(io.MultiWriter(to, sum), from)
	if err = errors.Join(err, to.Chmod(0o700), to.Sync(), to.Close()); err != nil {
		return "", err
	}
	version = hex.EncodeToString(sum.Sum(nil)[:16])
	return version, os.Rename(to.Name(), filepath.Join(p.folder, version))
}

// Path returns the path of a version's program, after a check that its content still has the hash.
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
		return "", fmt.Errorf("%s: the file is damaged, its content has the hash %s: add the program again", path, got)
	}
	return path, nil
}

func (p *Programs) chosenFile() string { return filepath.Join(p.folder, "chosen.json") }

// Chosen returns which program the node runs; the zero value if none was chosen yet.
func (p *Programs) Chosen() (c Chosen, err error) {
	err = wholefile.ReadJSON(p.chosenFile(), &c)
	return c, err
}

// SetChosen stores atomically which program the node runs.
func (p *Programs) SetChosen(c Chosen) error { return wholefile.WriteJSON(p.chosenFile(), c) }

// startedProcess identifies a process that a supervisor has started. The start time is part of it, since the kernel may
// have given the process ID to another process meanwhile.
type startedProcess struct {
	Pid        int    `json:"pid"`
	StartTicks string `json:"began"` // start time in the kernel's clock ticks since boot
}

func (p *Programs) startedFile() string { return filepath.Join(p.folder, "started.json") }

// startTicks returns the start time of a process (proc(5), field 22 of stat); empty if there is no such process or it
// is a zombie.
func startTicks(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:])) // fields 3 and later
	if len(fields) < 20 || fields[0] == "Z" {
		return ""
	}
	return fields[19]
}

// Running returns the processes that supervisors of this node have started and that still run.
func (p *Programs) Running() (left []startedProcess, err error) {
	err = wholefile.ReadJSON(p.startedFile(), &left)
	return slices.DeleteFunc(left, func(x startedProcess) bool { return x.StartTicks == "" || startTicks(x.Pid) != x.StartTicks }), err
}

// RecordStarted adds a process to the stored list of started processes.
func (p *Programs) RecordStarted(pid int) error {
	left, err := p.Running()
	return errors.Join(err, wholefile.WriteJSON(p.startedFile(), append(left, startedProcess{pid, startTicks(pid)})))
}

// Lock waits until no other supervisor runs for this node, and takes the lock. The lock lasts until the returned file
// is closed or this process ends. onWait is called once if Lock has to wait.
func (p *Programs) Lock(ctx context.Context, onWait func()) (*os.File, error) {
	return wholefile.Lock(ctx, filepath.Join(p.folder, "lock"), pollInterval, sync.OnceFunc(onWait))
}
