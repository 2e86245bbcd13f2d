package http1

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/internal/accept"
	"starlingvalve/internal/admit"
	"starlingvalve/internal/descriptors"
	"starlingvalve/internal/front"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/pause"
	"starlingvalve/internal/stats"
)

const (
	refuseWait = 100 * time.Millisecond // for reading the request of a refused connection, and for writing the refusal
	evictWait  = 100 * time.Millisecond // for evicted connections to be closed; after that a new connection is refused
	// evictWaitInterval is how long after such a wait in vain new connections are refused without one: those behind them in
	// the listen queue would wait for the sum.
	evictWaitInterval = time.Second
	// To notice that a client has left, the bytes that follow its open request are read ahead. If a client sends more
	// than these limits, it is noticed only once the requests before that have been served.
	maxReadAhead    = 64 << 10               // bytes of one connection that are read ahead
	lateReadWindow  = 200 * time.Millisecond // input is still read so long after a deadline, as a busy process reads late
	maxLateBytes    = maxHeaderBytes + front.BodyLimit
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// admission is a listener that limits the number of open client connections. At the limit it still accepts a
// connection: it evicts one that has no open request and makes no progress, or refuses the new one if there is none. So
// clients that connect and send nothing can't shut others out.
type admission struct {
	*net.TCPListener
	acceptTCP    func() (*net.TCPConn, error) // the listener's AcceptTCP; tests replace it
	gate         pause.Gate                   // while it is shut, no connection is accepted
	retry        accept.Retry
	countRefused func(string)      // called with the class of each refused request; "" if it is not known
	count        func(stats.Event) // counts an event
	refusing     atomic.Int64      // connections that are being refused
	memory       *memory.Account
	log          *slog.Logger
	open         atomic.Int64   // connections that have not been closed, including evicted ones
	closed       chan struct{}  // signalled when a connection has been closed
	waitedInVain time.Time      // when a wait for evicted connections last ended in vain; only Accept uses it
	refusals     sync.WaitGroup // goroutines that refuse connections

	epoch time.Time // the zero of the clock of conns
	mu    sync.Mutex
	conns *admit.ConnSet
}

// newAdmission returns an admission on a listener, with at most limit open connections, whose input is held within an
// account of memory; nil: without limit.
func newAdmission(listener *net.TCPListener, limit int, account *memory.Account) *admission {
	return &admission{TCPListener: listener, acceptTCP: listener.AcceptTCP, epoch: time.Now(), memory: account,
		conns: admit.New(limit), countRefused: func(string) {},
		count: func(stats.Event) {}, log: slog.New(slog.DiscardHandler), closed: make(chan struct{}, 1)}
}

func (a *admission) now() time.Duration { return time.Since(a.epoch) }

// Accept returns the next connection that is within the limit. Others are refused, by up to descriptors.MaxRefused
// goroutines at once that wait for the request, and beyond that without waiting. It fails only once the listener is
// closed.
func (a *admission) Accept() (net.Conn, error) {
	for {
		tcp, err := a.acceptTCP()
		if err != nil {
			if a.gate.WaitAndRetry(err) || a.retry.After(err) {
				continue
			}
			return nil, err
		}
		a.retry.Reset()
		if a.makeRoom() {
			return a.admit(tcp), nil
		}
		a.count(stats.RefusedConnection)
		if a.refusing.Add(1) > descriptors.MaxRefused {
			a.refusing.Add(-1)
			a.refuseNow(tcp)
			continue
		}
		a.refusals.Go(func() {
			defer a.refusing.Add(-1)
			a.refuse(tcp)
		})
	}
}

// makeRoom evicts connections until another one is within the limit, and reports whether it is.
func (a *admission) makeRoom() bool {
	for a.full() {
		if !a.waitForEvicted() || !a.evictOne() {
			return false
		}
	}
	return true
}

func (a *admission) full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns.Full()
}

// waitForEvicted waits until so many evicted connections have been closed that another one may be evicted, and reports
// whether that is so. Each evicted connection is closed by its own goroutine. Without the wait many connections could
// be accepted before the first of them is closed, and use up the file descriptors reserved for servers and discovery.
func (a *admission) waitForEvicted() bool {
	if a.evictedOpen() < descriptors.MaxEvicted {
		return true
	}
	if time.Since(a.waitedInVain) < evictWaitInterval {
		return false
	}
	end := time.NewTimer(evictWait)
	defer end.Stop()
	for a.evictedOpen() >= descriptors.MaxEvicted {
		select {
		case <-a.closed:
		case <-end.C:
			a.waitedInVain = time.Now()
			return a.evictedOpen() < descriptors.MaxEvicted
		}
	}
	return true
}

// evictedOpen is the number of connections that have been evicted and not yet closed.
func (a *admission) evictedOpen() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.open.Load()) - a.conns.Count()
}

// evictOne evicts the connection that admit.ConnSet.Victim names, and reports whether there was one. Connections with
// unread input are not evicted: they count as progressing from now on.
func (a *admission) evictOne() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictFirst(stats.EvictedForConnection, func() *admit.Conn { return a.conns.Victim(a.now()) })
}

// evictStalledBody evicts the connection whose body has stalled for longest, so that its memory is released. It reports
// whether there was one.
func (a *admission) evictStalledBody() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictFirst(stats.EvictedForMemory, func() *admit.Conn { return a.conns.StalledBody(a.now()) })
}

// evictFirst evicts the first connection that candidate names and that has no unread input, and reports whether there was
// one, which counts as event. It is called under the lock.
func (a *admission) evictFirst(event stats.Event, candidate func() *admit.Conn) bool {
	for victim := candidate(); victim != nil; victim = candidate() {
		conn := victim.Owner.(*clientConn)
		if !conn.hasUnread() {
			a.count(event)
			conn.makesRoom = true
			a.evict(conn)
			return true
		}
		state := admit.ReadingHead // it has sent something that has not been read yet
		if victim.State() == admit.ReadingBody {
			state = admit.ReadingBody
		}
		a.conns.SetState(victim, state, a.now())
	}
	return false
}

// admit adds an accepted connection.
func (a *admission) admit(tcp *net.TCPConn) *clientConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open.Add(1)
	c := &clientConn{TCPConn: tcp, owner: a, headMemory: a.memory.NewReservation(memory.Heads)}
	a.memory.Take(memory.Connections, memory.ConnectionSize) // the limit of connections allows for that
	c.Owner = c
	a.conns.Add(&c.Conn, a.now())
	return c
}

// evict ends a connection without an open request. It sets the read deadline to now instead of closing the connection,
// because the last byte of a request may arrive in this moment: what has arrived is still read, and answered if it is a
// whole request. It is called under the lock.
func (a *admission) evict(c *clientConn) {
	a.conns.Remove(&c.Conn)
	c.evicted, c.readDeadline, c.lateBytes = true, time.Now(), 0
	c.TCPConn.SetReadDeadline(c.readDeadline)
}

// Close implements net.Listener.
func (a *admission) Close() error {
	err := a.TCPListener.Close()
	a.gate.Release()
	return err
}

func (a *admission) setLimit(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns.SetLimit(n)
}

func (a *admission) openConns() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns.Count()
}

func (a *admission) underPressure() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns.UnderPressure()
}

// closeWithoutRequest evicts the connections without an open request, except those that have unread input or that have
// made progress with a request's head lately.
func (a *admission) closeWithoutRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns.WithoutRequest() {
		conn := c.Owner.(*clientConn)
		if c.State() == admit.ReadingHead && a.now()-c.LastProgress() < admit.StalledHeadTimeout {
			continue
		}
		if !conn.hasUnread() {
			a.evict(conn)
		}
	}
}

// closeStalled closes the connections whose answer has been started and has stalled, and returns the number of those whose
// answer is moving. It also evicts those without an open request, and those whose request has not arrived whole: such a
// request has not been accepted, and is refused.
func (a *admission) closeStalled() (moving int) {
	var stalled []*clientConn
	a.mu.Lock()
	for _, conn := range a.conns.WithoutRequest() {
		a.evict(conn.Owner.(*clientConn))
	}
	for _, conn := range a.conns.WithRequest() {
		client := conn.Owner.(*clientConn)
		if client.scan.state != scanHead {
			a.evict(client)
			continue
		}
		switch pause := a.now() - time.Duration(client.lastWrite.Load()); {
		case client.answerBytes.Load() == 0:
		case pause > answerStall:
			stalled = append(stalled, client)
		default:
			moving++
		}
	}
	a.mu.Unlock()
	for _, conn := range stalled {
		a.log.Info("closing a stalled answer at the end", "bytes", conn.answerBytes.Load(),
			"pause", a.now()-time.Duration(conn.lastWrite.Load()))
		conn.Close()
	}
	return moving
}

// track is the server's ConnState callback: it updates the state of a connection between requests. Whether a request is
// open is seen by clientConn.track, which reads its head: net/http calls a connection active from the first byte on.
func (a *admission) track(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateActive {
		return
	}
	c := conn.(*clientConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	c.serving = state == http.StateActive
	switch {
	case c.serving: // clientConn.track has set the state
	case len(c.scan.ambiguous) > 0: // the next request has arrived together with the last one, its head at least
		a.setBusy(c)
	case c.scan.headBytes > 0: // a part of its head has
		a.conns.SetState(&c.Conn, admit.ReadingHead, a.now())
	default:
		c.headMemory.Release()
		a.conns.SetState(&c.Conn, admit.Idle, a.now())
	}
}

// setBusy records that a request is open, and that nothing of its answer has been written. It is called under the lock.
func (a *admission) setBusy(c *clientConn) {
	c.answerBytes.Store(0)
	a.conns.SetState(&c.Conn, admit.Busy, a.now())
}

// remove removes a connection that has been closed.
func (a *admission) remove(c *clientConn) {
	a.mu.Lock()
	a.conns.Remove(&c.Conn)
	a.open.Add(-1)
	c.headMemory.Release()
	a.mu.Unlock()
	a.memory.Release(memory.Connections, memory.ConnectionSize)
	select {
	case a.closed <- struct{}{}:
	default:
	}
}
