package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/accept"
	"starlingvalve/internal/admit"
	"starlingvalve/internal/descriptors"
	"starlingvalve/internal/front"
	"starlingvalve/internal/pause"
)

const (
	refuseWait = 100 * time.Millisecond // for the request of a connection that is refused, and to write the refusal
	evictWait  = 100 * time.Millisecond // for evicted connections to be closed; a newcomer is refused if they are not
	aheadMost  = 64 << 10               // bytes of one connection that are read ahead of its requests, to see whether its client has left;
	aheadRoom  = 2 << 20                // and of all: a client that sends more is noticed when it has been served so far
	lateWait   = 200 * time.Millisecond // after its deadline what came in time is still read: the process may have been kept from it so long
	lateMost   = headerLimit + front.BodyLimit
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// admission accepts clients' connections, always, and bounds them: at the bound one that brings nothing makes room, else the
// new one is refused. Silent clients then shut out nobody.
type admission struct {
	*net.TCPListener
	next    func() (*net.TCPConn, error) // the listener's
	gate    pause.Gate                   // shut: no connection is accepted
	retry   accept.Retry
	refused func(string)  // told the class of a request that is refused at the door
	turning atomic.Int64  // connections that are being refused
	ahead   atomic.Int64  // bytes that are read ahead
	open    atomic.Int64  // connections that are not closed, evicted ones too
	freed   chan struct{} // told when one of them has been closed
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
	serving bool         // net/http has a request's head whole, and has not ended it
	readBy  time.Time    // the deadline of its reading; zero: none
	late    int          // bytes that have been taken at that deadline
	wrote   atomic.Int64 // when something was last written, on the owner's clock, in ns
	sent    atomic.Int64 // bytes, of the answer to the request that is open

	// Of the one goroutine that reads.
	ahead    []byte       // has come behind a request that is open
	reserved atomic.Int64 // of the owner's room for such bytes
	stopped  atomic.Bool  // nothing more is read before the open request has been answered: there was no room
}

func newAdmission(l *net.TCPListener, limit int) *admission {
	return &admission{TCPListener: l, next: l.AcceptTCP, began: time.Now(), room: admit.New(limit), refused: func(string) {}, freed: make(chan struct{}, 1)}
}

func (a *admission) now() time.Duration { return time.Since(a.began) }

// Accept waits for the next connection that there is room for. The others are refused in goroutines of their own, at most
// refuseMost at once. It fails once the listener is closed, and for nothing else.
func (a *admission) Accept() (net.Conn, error) {
	for {
		tcp, err := a.next()
		if err != nil {
			if a.gate.Retry(err) || a.retry.After(err) {
				continue
			}
			return nil, err
		}
		a.retry.Reset()
		if a.makeRoom() {
			return a.admit(tcp), nil
		}
		if a.turning.Add(1) > descriptors.Refused {
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

// makeRoom evicts connections until there is room for another, and tells whether there is.
func (a *admission) makeRoom() bool {
	for a.full() {
		if !a.settled() || !a.evictOne() {
			return false
		}
	}
	return true
}

func (a *admission) full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.room.Full()
}

// settled waits until another connection may be evicted, and tells whether it may. Each that has been is closed by its own goroutine: without this many
// would be accepted before the first of them is closed, and take the descriptors that are kept for servers and discovery.
func (a *admission) settled() bool {
	if a.leaving() < descriptors.Evicted {
		return true
	}
	end := time.NewTimer(evictWait)
	defer end.Stop()
	for a.leaving() >= descriptors.Evicted {
		select {
		case <-a.freed:
		case <-end.C:
			return a.leaving() < descriptors.Evicted
		}
	}
	return true
}

// leaving is how many connections have been evicted and not yet been closed.
func (a *admission) leaving() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.open.Load()) - a.room.Count()
}

// evictOne evicts the connection that has least to say, and tells whether there is one to evict.
func (a *admission) evictOne() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for victim := a.room.Victim(a.now()); victim != nil; victim = a.room.Victim(a.now()) {
		old := victim.Owner.(*clientConn)
		if !old.waiting() {
			a.evict(old)
			return true
		}
		a.room.Set(victim, admit.Writing, a.now()) // what it has sent is not read yet
	}
	return false
}

// admit takes a connection in, for which there is room.
func (a *admission) admit(tcp *net.TCPConn) *clientConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open.Add(1)
	c := &clientConn{TCPConn: tcp, owner: a}
	c.Owner = c
	a.room.Enter(&c.Conn, a.now())
	return c
}

// evict ends a connection on which no request is open. What comes in this moment may be the last byte of one: so it is the reading that ends, and
// what has come by then is read, and answered if it is a whole request. It is called under the lock.
func (a *admission) evict(c *clientConn) {
	a.room.Leave(&c.Conn)
	c.evicted, c.readBy, c.late = true, time.Now(), 0
	c.TCPConn.SetReadDeadline(c.readBy)
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
func peek(tcp *net.TCPConn, into []byte) int {
	n, _ := come(tcp, into, syscall.MSG_PEEK)
	return n
}

// come gives what has come, whatever the deadline of the reading. With nothing and no error the other side has ended its sending; EAGAIN: nothing has
// come yet.
func come(tcp *net.TCPConn, into []byte, flags int) (n int, err error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	if failed := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), into, flags|syscall.MSG_DONTWAIT) }); failed != nil {
		err = failed
	}
	return max(0, n), err
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

// closeRest ends the connections on which no request is open, but for those that have something to be read, or whose head is coming.
func (a *admission) closeRest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.room.Unused() {
		old := c.Owner.(*clientConn)
		if c.State() == admit.Writing && a.now()-c.Last() < admit.StallLeast {
			continue
		}
		if !old.waiting() {
			a.evict(old)
		}
	}
}

// closeStalled ends the connections whose answers have begun and do not move, and the reading of those on which no request is open or whose request is not
// whole: it has not been taken, and its client is told so.
func (a *admission) closeStalled() {
	var stalled []*clientConn
	a.mu.Lock()
	for _, c := range a.room.Unused() {
		a.evict(c.Owner.(*clientConn))
	}
	for _, c := range a.room.Used() {
		old := c.Owner.(*clientConn)
		if old.scan.state != scanHead {
			a.evict(old)
			continue
		}
		least := drainStall
		if old.sent.Load() > front.BodyLimit {
			least = longStall
		}
		if old.sent.Load() > 0 && a.now()-time.Duration(old.wrote.Load()) > least {
			stalled = append(stalled, old)
		}
	}
	a.mu.Unlock()
	for _, c := range stalled {
		c.Close()
	}
}

// track follows what the server does with a connection. That a request is open shows where its head is read: net/http calls a connection
// active with the first byte.
func (a *admission) track(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateActive {
		return
	}
	c := conn.(*clientConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	c.serving = state == http.StateActive
	switch {
	case c.serving: // of the next request some may have come with the last one
	case len(c.scan.doubts) > 0:
		a.busy(c)
	case c.scan.head > 0:
		a.room.Set(&c.Conn, admit.Writing, a.now())
	default:
		a.room.Set(&c.Conn, admit.Idle, a.now())
	}
}

// waiting tells whether something has come that nobody has read.
func (c *clientConn) waiting() bool { return peek(c.TCPConn, make([]byte, 1)) > 0 }

// lost tells whether the connection was ended to make room while a request was on its way. Nothing is sent on for it: it is refused.
func (c *clientConn) lost() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.evicted
}

// SetReadDeadline leaves a connection that has been evicted at its end.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.evicted {
		return nil
	}
	c.readBy, c.late = t, 0
	return c.TCPConn.SetReadDeadline(t)
}

// Read follows what comes.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.read(p)
		kept := c.follow(p[:n])
		if kept > 0 || n == 0 || err != nil {
			return kept, err
		}
	}
}

// read reads into p. net/http watches for its client's leaving by reading one byte behind the request that is open. With that byte it would watch no
// more, and what comes behind it hides the end: so such a read goes on, until the client has left or net/http ends it, and what it brings is kept
// for the next one.
func (c *clientConn) read(p []byte) (int, error) {
	c.stopped.Store(false)
	if len(p) == 1 && c.watched() {
		var first [1]byte
		more := first[:] // nothing is set aside for those who send one request at a time
		if c.ahead != nil {
			more = c.space()
		}
		for ; len(more) > 0; more = c.space() {
			n, err := c.TCPConn.Read(more)
			switch {
			case err != nil:
				if !errors.Is(err, os.ErrDeadlineExceeded) { // it has left: none of its requests is wanted any more
					c.letGo()
				}
				return 0, err
			case c.ahead == nil:
				if c.space() == nil {
					c.stopped.Store(true)
					p[0] = first[0]
					return n, nil
				}
				c.ahead = append(c.ahead, first[0])
			default:
				c.ahead = c.ahead[:len(c.ahead)+n]
			}
		}
		c.stopped.Store(true)
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.letGo()
		}
		return n, nil
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if n := c.take(p); n > 0 {
			return n, nil
		}
	}
	return n, err
}

// watched tells whether a read of one byte is net/http's watch for the client's leaving: a request is open, and all of it has been read.
func (c *clientConn) watched() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.serving && !c.evicted && c.scan.state == scanHead
}

// space is where what comes ahead is read to; nil: there is no room for more.
func (c *clientConn) space() []byte {
	if len(c.ahead) == cap(c.ahead) {
		more := min(max(len(c.ahead), 512), aheadMost-int(c.reserved.Load()))
		if more <= 0 {
			return nil
		}
		if c.owner.ahead.Add(int64(more)) > aheadRoom {
			c.owner.ahead.Add(-int64(more))
			return nil
		}
		c.reserved.Add(int64(more))
		c.ahead = append(make([]byte, 0, len(c.ahead)+more), c.ahead...)
	}
	return c.ahead[len(c.ahead):cap(c.ahead)]
}

func (c *clientConn) letGo() {
	c.owner.ahead.Add(-c.reserved.Swap(0))
	c.ahead = nil
}

// take gives what had come when the deadline of the reading was over: a read would not look. It may be the last byte of a request, which is then
// taken. What comes later than lateWait is not looked for, nor more than a request's worth.
func (c *clientConn) take(p []byte) (n int) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.readBy.IsZero() || time.Since(c.readBy) > lateWait || c.late >= lateMost {
		return 0
	}
	n, _ = come(c.TCPConn, p, 0)
	c.late += n
	return n
}

// Write notes that an answer moves.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if n > 0 {
		c.sent.Add(int64(n))
		c.wrote.Store(int64(c.owner.now()))
	}
	return n, err
}

// gone tells whether the client has left, also behind bytes that nobody has read yet. One that ends its own direction only has left too.
func (c *clientConn) gone() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return true
	}
	look := []unix.PollFd{{Events: unix.POLLRDHUP}} // resets are told besides
	if raw.Control(func(fd uintptr) {
		look[0].Fd = int32(fd)
		_, err = unix.Poll(look, 0)
	}) != nil {
		return true // it has been closed here
	}
	return err == nil && look[0].Revents != 0
}

// hidden tells whether the client's end could not be seen if it had come: there is no room to read on, and the system takes no more than lies unread.
func (c *clientConn) hidden() bool { return c.stopped.Load() && c.waiting() }

func (c *clientConn) follow(p []byte) int {
	a := c.owner
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := c.scan.feed(p)
	if c.State() != admit.Busy && kept > 0 {
		if len(c.scan.doubts) > 0 {
			a.busy(c)
		} else {
			a.room.Set(&c.Conn, admit.Writing, a.now())
		}
	}
	return kept
}

// busy notes that a request is open, of whose answer nothing has been written. It is called under the lock.
func (a *admission) busy(c *clientConn) {
	c.sent.Store(0)
	a.room.Set(&c.Conn, admit.Busy, a.now())
}

func (c *clientConn) doubtful() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scan.doubtful()
}

// leave takes a connection out that has been closed.
func (a *admission) leave(c *clientConn) {
	a.mu.Lock()
	a.room.Leave(&c.Conn)
	a.open.Add(-1)
	a.mu.Unlock()
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// Close closes the connection and gives back its place among the clients' connections and what it has reserved. From the
// second call on it returns net.ErrClosed.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.owner.ahead.Add(-c.reserved.Swap(0))
		c.owner.leave(c)
	})
	return err
}
