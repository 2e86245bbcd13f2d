package http1

import (
	queue "container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"starlingvalve/internal/pause"
)

const (
	idleLeast  = 2 * time.Second        // a connection without a request is kept so long at least
	freshLeast = 250 * time.Millisecond // one that has brought no request yet may go sooner: clients send at once
	refuseWait = 20 * time.Millisecond  // to write a refusal to a new connection, whose buffer is empty
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// admission accepts clients' connections, always, and bounds them: at the bound the one that has waited longest
// with no request open makes room, else the new one is refused. Silent clients then shut out nobody.
type admission struct {
	*net.TCPListener
	gate pause.Gate // shut: no connection is accepted

	mu          sync.Mutex
	limit       int
	count       int
	fresh, idle *queue.List // of *clientConn: no request yet; none open now. The longest wait is first
}

// clientConn embeds *net.TCPConn: net/http would reset connections whose CloseWrite it doesn't see.
type clientConn struct {
	*net.TCPConn
	owner *admission
	once  sync.Once

	scanning sync.Mutex // a reader in the background beside the handler
	scan     scan

	// Under the owner's lock.
	in      *queue.List // that it waits in, if it does
	place   *queue.Element
	since   time.Time
	evicted bool
}

func newAdmission(l *net.TCPListener, limit int) *admission {
	return &admission{TCPListener: l, limit: limit, fresh: queue.New(), idle: queue.New()}
}

func (a *admission) Accept() (net.Conn, error) {
	for {
		tcp, err := a.AcceptTCP()
		if err != nil {
			if a.gate.Retry(err) {
				continue
			}
			return nil, err
		}
		if c := a.admit(tcp); c != nil {
			return c, nil
		}
		tcp.SetWriteDeadline(time.Now().Add(refuseWait))
		io.WriteString(tcp, refusal)
		tcp.Close()
	}
}

func (a *admission) admit(tcp *net.TCPConn) *clientConn {
	a.mu.Lock()
	for a.count >= a.limit {
		old := a.longest()
		if old == nil {
			a.mu.Unlock()
			return nil
		}
		old.leave()
		old.evicted = true
		a.mu.Unlock()
		old.Close()
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	a.count++
	c := &clientConn{TCPConn: tcp, owner: a}
	c.wait(a.fresh)
	return c
}

// Close is net.Listener's.
func (a *admission) Close() error {
	err := a.TCPListener.Close()
	a.gate.End()
	return err
}

func (a *admission) setLimit(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = n
}

func (a *admission) held() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
}

// longest gives the connection that is to make room, if one may be closed.
func (a *admission) longest() *clientConn {
	for _, from := range []struct {
		l     *queue.List
		least time.Duration
	}{{a.idle, idleLeast}, {a.fresh, freshLeast}} {
		if e := from.l.Front(); e != nil && time.Since(e.Value.(*clientConn).since) >= from.least {
			return e.Value.(*clientConn)
		}
	}
	return nil
}

func (c *clientConn) wait(l *queue.List) {
	c.leave()
	c.in, c.since = l, time.Now()
	c.place = l.PushBack(c)
}

func (c *clientConn) leave() {
	if c.in != nil {
		c.in.Remove(c.place)
		c.in, c.place = nil, nil
	}
}

// track follows what the server does with a connection. It becomes active when a header has been read.
func (a *admission) track(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case c.evicted:
	case state == http.StateIdle:
		c.wait(a.idle)
	case state != http.StateNew:
		c.leave()
	}
}

// lost tells whether the connection was closed to make room while a request was on its way. Nothing may be sent on for it.
func (c *clientConn) lost() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.evicted
}

// Read follows what comes.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		c.scanning.Lock()
		kept := c.scan.feed(p[:n])
		c.scanning.Unlock()
		if kept > 0 || n == 0 || err != nil {
			return kept, err
		}
	}
}

func (c *clientConn) doubtful() bool {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.scan.doubtful()
}

func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		c.leave()
		c.owner.count--
	})
	return err
}
