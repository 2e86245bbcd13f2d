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
	mu       sync.Mutex
	changed  sync.Cond
	shut     bool
	released bool // the reader does not wait any more
}

// SetOpen opens or shuts the gate. deadline is the function that sets the socket's deadline for reading or accepting:
// a deadline in the past interrupts the call in which the reader waits.
func (g *Gate) SetOpen(open bool, deadline func(time.Time) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = !open
	if open {
		deadline(time.Time{})
	} else {
		deadline(time.Unix(1, 0))
	}
	g.broadcast()
}

// Release ends the wait of the reader for good, so that it reads again and gets the error of its closed socket.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.broadcast()
}

func (g *Gate) broadcast() {
	g.changed.L = &g.mu
	g.changed.Broadcast()
}

// IsShut reports whether the gate makes the reader wait now: it is shut and not released.
func (g *Gate) IsShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut && !g.released
}

// WaitAndRetry takes the error of a read. If a deadline caused the error, it waits until the gate is open or released
// and returns true: read again. Otherwise it returns false at once.
func (g *Gate) WaitAndRetry(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changed.L = &g.mu
	for g.shut && !g.released {
		g.changed.Wait()
	}
	return true
}
