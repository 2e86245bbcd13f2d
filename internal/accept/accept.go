// Package accept decides what follows an error of a listener's accept. Linux also gives errors there that say nothing
// of the listener: of a connection that ended in the queue, of the network, or of this machine's descriptors and
// memory. None of them may end a server.
package accept

import (
	"errors"
	"net"
	"time"
)

// The wait after an error doubles from waitFirst up to waitMost. A machine that is short of something would otherwise
// spin.
const (
	waitFirst = time.Millisecond
	waitMost  = 100 * time.Millisecond
)

// Retry is the state of one goroutine that accepts. Its zero value is ready.
type Retry struct{ wait time.Duration }

// After waits for a moment after an error, and tells whether to accept again: always, but for a listener that is
// closed.
func (r *Retry) After(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	r.wait = min(max(2*r.wait, waitFirst), waitMost)
	time.Sleep(r.wait)
	return true
}

// Reset is called after each connection that was accepted.
func (r *Retry) Reset() { r.wait = 0 }

// Listener is a listener whose Accept fails once it is closed, and for nothing else. One goroutine accepts.
type Listener struct {
	net.Listener
	retry Retry
}

// Accept is net.Listener's.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.retry.Reset()
			return c, nil
		}
		if !l.retry.After(err) {
			return nil, err
		}
	}
}
