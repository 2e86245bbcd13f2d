// Package pause stops and resumes a goroutine that reads from a socket or accepts connections, without closing the
// socket.
package pause

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Gate lets one goroutine, the reader, read from a socket or accept connections while it is open, and makes it wait
// while it is shut. The zero value is open. Any goroutine may open or shut it.
type Gate struct {
	mu     sync.Mutex
	change sync.Cond
	shut   bool
	ended  bool // the reader does not wait any more
}

// SetOpen opens or shuts the gate. deadline is the function that sets the socket's deadline for reading or accepting: a
// deadline in the past interrupts the call in which the reader waits.
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

// Release ends the wait of the reader for good, so that it reads again and gets the error of its closed socket.
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

// IsShut reports whether the gate makes the reader wait now: it is shut and not released.
func (g *Gate) Shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut && !g.ended
}

// WaitAndRetry takes the error of a read. If a deadline caused the error, it waits until the gate is open or released
// and returns true: read again. Otherwise it returns false at once.
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
