// Package pause stops and resumes a goroutine that reads from a socket, without closing the socket.
package pause

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Gate is open or shut. Its zero value is open. One goroutine reads; any may set it.
type Gate struct {
	mu     sync.Mutex
	change sync.Cond
	shut   bool
	ended  bool
}

// Set opens or shuts the gate. deadline is the socket's: one in the past ends what the reader waits in.
func (g *Gate) Set(open bool, deadline func(time.Time) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = !open
	if open {
		deadline(time.Time{})
	} else {
		deadline(time.Unix(1, 0))
	}
	g.wake()
}

// End lets the reader go on to find its socket closed.
func (g *Gate) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.wake()
}

func (g *Gate) wake() {
	g.change.L = &g.mu
	g.change.Broadcast()
}

// Shut tells whether the gate is shut now.
func (g *Gate) Shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut && !g.ended
}

// Retry is asked with the error of a read. If the gate's deadline caused it, it waits until the gate opens or ends and tells to
// read again.
func (g *Gate) Retry(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.change.L = &g.mu
	for g.shut && !g.ended {
		g.change.Wait()
	}
	return true
}
