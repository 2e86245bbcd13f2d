package http1

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingvalve/internal/admit"
	"starlingvalve/internal/pause"
)

const (
	refuseWait = 100 * time.Millisecond // for the request of a connection that is refused, and to write the refusal
	refuseMost = 8                      // connections that wait for that; more are refused at once, whatever they may say
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// admission accepts clients' connections, always, and bounds them: at the bound one that brings nothing makes room, else the
// new one is refused. Silent clients then shut out nobody.
type admission struct {
	*net.TCPListener
	gate    pause.Gate   // shut: no connection is accepted
	refused func(string) // told the class of a request that is refused at the door
	turning atomic.Int64 // connections that are being refused
	ends    sync.WaitGroup

	began time.Time // the zero of room's clock
	mu    sync.Mutex
	room  *admit.Room
}

// clientConn embeds *net.TCPConn: net/http would reset connections whose CloseWrite it doesn't see.
type clientConn struct {
	*net.TCPConn
	owner *admission
	once  sync.Once

	// Under the owner's lock.
	admit.Conn
	scan    scan
	evicted bool
}

func newAdmission(l *net.TCPListener, limit int) *admission {
	return &admission{TCPListener: l, began: time.Now(), room: admit.New(limit), refused: func(string) {}}
}

func (a *admission) now() time.Duration { return time.Since(a.began) }

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
		if a.turning.Add(1) > refuseMost {
			a.turning.Add(-1)
			a.refuseNow(tcp)
			continue
		}
		a.ends.Go(func() {
			defer a.turning.Add(-1)
			a.refuse(tcp)
		})
	}
}

func (a *admission) admit(tcp *net.TCPConn) *clientConn {
	a.mu.Lock()
	for a.room.Full() {
		victim := a.room.Victim(a.now())
		if victim == nil {
			a.mu.Unlock()
			return nil
		}
		old := victim.Owner.(*clientConn)
		if victim.State() != admit.Writing && old.waiting() { // what it has sent is not read yet
			a.room.Set(victim, admit.Writing, a.now())
			continue
		}
		a.room.Leave(victim)
		old.evicted = true
		a.mu.Unlock()
		old.Close()
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	c := &clientConn{TCPConn: tcp, owner: a}
	c.Owner = c
	a.room.Enter(&c.Conn, a.now())
	return c
}

// refuse answers the request of a connection for which there is no room. It waits a moment for it, to count it.
func (a *admission) refuse(tcp *net.TCPConn) {
	defer tcp.Close()
	tcp.SetReadDeadline(time.Now().Add(refuseWait))
	var text [4 << 10]byte
	n, class := 0, ""
	for class == "" && n < len(text) {
		more, err := tcp.Read(text[n:]) // what is left unread would reset the connection ahead of the answer
		if err != nil {
			break // it is told all the same, and counts under no class
		}
		n += more
		class = classIn(text[:n])
	}
	a.turnAway(tcp, class)
}

// turnAway writes the refusal, which counts under the request's class if that is known.
func (a *admission) turnAway(tcp *net.TCPConn, class string) {
	tcp.SetWriteDeadline(time.Now().Add(refuseWait))
	if _, err := io.WriteString(tcp, refusal); err == nil {
		a.refused(class)
	}
}

// refuseNow answers a connection without waiting for its request. One that has come can be counted.
func (a *admission) refuseNow(tcp *net.TCPConn) {
	defer tcp.Close()
	var text [512]byte
	n := peek(tcp, text[:])
	if n > 0 {
		tcp.SetReadDeadline(time.Now().Add(refuseWait))
		tcp.Read(text[:n])
	}
	a.turnAway(tcp, classIn(text[:n]))
}

// peek reads what has come without taking it.
func peek(tcp *net.TCPConn, into []byte) (n int) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), into, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(0, n)
}

// classIn gives the first part of the path of a request that begins so.
func classIn(text []byte) string {
	line, _, whole := bytes.Cut(text, []byte("\n"))
	_, target, ok := bytes.Cut(line, []byte(" /"))
	if !whole || !ok {
		return ""
	}
	if end := bytes.IndexAny(target, "/? \r"); end > 0 {
		return string(target[:end])
	}
	return ""
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
	a.room.SetLimit(n)
}

func (a *admission) held() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.room.Count()
}

func (a *admission) crowded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.room.Crowded()
}

// closeRest closes the connections on which no request is open, but for those that have something to be read.
func (a *admission) closeRest() {
	a.mu.Lock()
	for _, c := range a.room.Unused() {
		if old := c.Owner.(*clientConn); !old.waiting() {
			a.room.Leave(c)
			old.evicted = true
			defer old.Close() // not under the lock
		}
	}
	a.mu.Unlock()
}

// track follows what the server does with a connection. That a request is open shows where its head is read: net/http calls a connection
// active with the first byte.
func (a *admission) track(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c := conn.(*clientConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch { // of the next request some may have come with the last one
	case len(c.scan.doubts) > 0:
	case c.scan.head > 0:
		a.room.Set(&c.Conn, admit.Writing, a.now())
	default:
		a.room.Set(&c.Conn, admit.Idle, a.now())
	}
}

// waiting tells whether something has come that nobody has read.
func (c *clientConn) waiting() bool { return peek(c.TCPConn, make([]byte, 1)) > 0 }

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
		kept := c.follow(p[:n])
		if kept > 0 || n == 0 || err != nil {
			return kept, err
		}
	}
}

func (c *clientConn) follow(p []byte) int {
	a := c.owner
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := c.scan.feed(p)
	if c.State() != admit.Busy && kept > 0 {
		state := admit.Writing
		if len(c.scan.doubts) > 0 {
			state = admit.Busy
		}
		a.room.Set(&c.Conn, state, a.now())
	}
	return kept
}

func (c *clientConn) doubtful() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scan.doubtful()
}

func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		c.owner.room.Leave(&c.Conn)
	})
	return err
}
