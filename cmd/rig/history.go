package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// history is the rig's log of a run, with one line for each event.
type history struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// note writes a line with the seconds since the start, who acted, and a formatted text.
func (h *history) note(who, what string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.out, "%9.3f %-6s %s\n", time.Since(h.began).Seconds(), who, fmt.Sprintf(what, args...))
}

// historyFile creates the file of a run's history: at the path keep or, if that is empty, in the temporary directory.
// The returned function closes it.
func (w *workspace) historyFile(keep string) (*history, func(), error) {
	path := keep
	if path == "" {
		path = filepath.Join(w.dir, "history.txt")
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	return &history{out: f, began: time.Now()}, func() { f.Close() }, nil
}
