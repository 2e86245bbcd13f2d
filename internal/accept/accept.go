// Package accept handles errors of a listener's Accept. On Linux some of these errors don't concern the listener, but a
// connection that ended in the queue, the network, or this machine's file descriptors and memory. None of them may end
// a server.
package accept

import (
	"errors"
	"net"
	"time"
)

// The wait after an error doubles from minWait up to maxWait. Without a wait the loop would spin on a machine that has
// run out of a resource.
const (
	minWait = time.Millisecond
	maxWait = 100 * time.Millisecond
)

// Retry is the backoff state of one goroutine that accepts connections. Its zero value is ready to use.
type Retry struct{ wait time.Duration }

// After waits after an error of Accept, and reports whether to call Accept again: always, unless the listener is
// closed.
func (r *Retry) After(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	r.wait = min(max(2*r.wait, minWait), maxWait)
	time.Sleep(r.wait)
	return true
}

// Reset ends the backoff. It has to be called after each accepted connection.
func (r *Retry) Reset() { r.wait = 0 }

// Listener is a listener whose Accept fails only once the listener is closed. Accept must be called from one goroutine.
type Listener struct {
	net.Listener
	retry Retry
}

// Accept implements net.Listener.
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
