package http1

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/admit"
	"starlingvalve/internal/memory"
)

// clientConn is one client connection. It embeds *net.TCPConn because net/http resets connections that have no
// CloseWrite method.
type clientConn struct {
	*net.TCPConn
	owner *admission
	once  sync.Once

	// Guarded by the owner's lock, except for the atomic fields.
	admit.Conn
	scan         requestScan
	evicted      bool
	makesRoom    bool                // it has been evicted for another connection, or for memory
	serving      bool                // net/http is serving a request of this connection
	readDeadline time.Time           // the read deadline; zero: none
	lateBytes    int                 // bytes that readLate has taken after that deadline
	lastWrite    atomic.Int64        // when bytes were last written, on the owner's clock, in ns
	answerBytes  atomic.Int64        // bytes that have been written of the answer to the open request
	headMemory   *memory.Reservation // for the head that is being read, or that of the open request

	// Used by the one goroutine that reads, except for the atomic fields.
	readAhead         []byte       // bytes that follow the open request
	readAheadReserved atomic.Int64 // bytes that are reserved for readAhead
	readAheadStopped  atomic.Bool  // a limit is reached: nothing more is read before the open request has been answered
	lastWait          atomic.Int64 // when a read of a body returned that had to wait, on the owner's clock, in ns; 0: never
}

// hasUnread reports whether bytes have arrived that have not been read.
func (c *clientConn) hasUnread() bool { return peekUnread(c.TCPConn, make([]byte, 1)) > 0 }

// wasEvicted reports whether the connection has been evicted. A request that was arriving meanwhile is refused, and not
// sent to a server.
func (c *clientConn) wasEvicted() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.evicted
}

// evictedForRoom reports whether the connection has been evicted for another one or for memory.
func (c *clientConn) evictedForRoom() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.makesRoom
}

// SetReadDeadline sets the read deadline, unless the connection has been evicted: then its reading stays ended.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.evicted {
		return nil
	}
	c.readDeadline, c.lateBytes = t, 0
	return c.TCPConn.SetReadDeadline(t)
}

// Read reads from the connection and passes what it reads to the request scan, which may remove empty lines.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.read(p)
		kept := c.track(p[:n])
		if kept > 0 || n == 0 || err != nil {
			return kept, err
		}
	}
}

// read reads into p. While a request is open, net/http watches for the client's leaving by reading one byte. If it got
// a byte, it would stop watching, and unread bytes after that one would hide the end of the connection. So such a read
// does not return with a byte: it goes on until the client has left or net/http ends it, and keeps the bytes in
// readAhead for later reads. It returns one byte if the limits of reading ahead leave no space.
func (c *clientConn) read(p []byte) (int, error) {
	c.readAheadStopped.Store(false)
	if len(p) == 1 && c.isWatchRead() {
		var first [1]byte
		space := first[:] // no buffer is reserved for clients that send one request at a time
		if c.readAhead != nil {
			space = c.readAheadSpace()
		}
		for ; len(space) > 0; space = c.readAheadSpace() {
			n, err := c.TCPConn.Read(space)
			switch {
			case err != nil:
				if !errors.Is(err, os.ErrDeadlineExceeded) { // the client has left, and wants no more answers
					c.releaseReadAhead()
				}
				return 0, err
			case c.readAhead == nil:
				if c.readAheadSpace() == nil {
					c.readAheadStopped.Store(true)
					p[0] = first[0]
					return n, nil
				}
				c.readAhead = append(c.readAhead, first[0])
			default:
				c.readAhead = c.readAhead[:len(c.readAhead)+n]
			}
		}
		c.readAheadStopped.Store(true)
	}
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.releaseReadAhead()
		}
		return n, nil
	}
	waits := c.scan.state != scanHead && !c.hasUnread()
	n, err := c.TCPConn.Read(p)
	if waits && n > 0 {
		c.lastWait.Store(int64(c.owner.now()))
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if n := c.readLate(p); n > 0 {
			return n, nil
		}
	}
	return n, err
}

// isWatchRead reports whether a read of one byte is net/http's watch for the client's leaving: a request is open, and
// has been read whole.
func (c *clientConn) isWatchRead() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.serving && !c.evicted && c.scan.state == scanHead
}

// readAheadSpace returns the free part of the read-ahead buffer, which it enlarges if needed; nil: a limit is reached.
func (c *clientConn) readAheadSpace() []byte {
	if len(c.readAhead) == cap(c.readAhead) {
		extra := min(max(len(c.readAhead), 512), maxReadAhead-int(c.readAheadReserved.Load()))
		if extra <= 0 {
			return nil
		}
		if !c.owner.memory.Reserve(memory.ReadAhead, int64(extra)) {
			return nil
		}
		c.readAheadReserved.Add(int64(extra))
		c.readAhead = append(make([]byte, 0, len(c.readAhead)+extra), c.readAhead...)
	}
	return c.readAhead[len(c.readAhead):cap(c.readAhead)]
}

// releaseReadAhead frees the read-ahead buffer and what is reserved for it.
func (c *clientConn) releaseReadAhead() {
	c.owner.memory.Release(memory.ReadAhead, c.readAheadReserved.Swap(0))
	c.readAhead = nil
}

// bodyArrival implements front.Handler.BodyArrival.
func (c *clientConn) bodyArrival() (readable int64, lastWait time.Time) {
	if at := c.lastWait.Load(); at > 0 {
		lastWait = c.owner.epoch.Add(time.Duration(at))
	}
	return int64(c.unreadBytes()), lastWait
}

// unreadBytes returns how many bytes have arrived and have not been read; 0 if that is not known.
func (c *clientConn) unreadBytes() (n int) {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ); err != nil {
			n = 0
		}
	})
	return n
}

// readLate reads what has arrived at the time when the read deadline has passed, because a Read would return nothing.
// That may be the last byte of a request, which is then served. It reads nothing later than lateReadWindow after the
// deadline, and no more bytes than one request may have.
func (c *clientConn) readLate(p []byte) (n int) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.readDeadline.IsZero() || time.Since(c.readDeadline) > lateReadWindow || c.lateBytes >= maxLateBytes {
		return 0
	}
	n, _ = receiveNow(c.TCPConn, p, 0)
	c.lateBytes += n
	return n
}

// Write writes to the connection, and records the progress of the answer.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if n > 0 {
		c.answerBytes.Add(int64(n))
		c.lastWrite.Store(int64(c.owner.now()))
	}
	return n, err
}

// clientGone reports whether the client has left, which shows also behind bytes that have not been read. A client that
// has closed only its own direction counts as gone.
func (c *clientConn) clientGone() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return true
	}
	poll := []unix.PollFd{{Events: unix.POLLRDHUP}} // resets are always reported
	if raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		_, err = unix.Poll(poll, 0)
	}) != nil {
		return true // the connection has been closed on this side
	}
	return err == nil && poll[0].Revents != 0
}

// disconnectHidden reports whether a disconnect of the client could go unseen: reading ahead has stopped at a limit,
// and unread bytes are left, so that the kernel may not accept more from the client, its end included.
func (c *clientConn) disconnectHidden() bool { return c.readAheadStopped.Load() && c.hasUnread() }

// track passes bytes that have been read to the request scan and updates the state of the connection. It returns the
// length that is left in p after the scan has removed empty lines.
func (c *clientConn) track(p []byte) int {
	owner := c.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	kept := c.scan.feed(p)
	owner.holdHead(c)
	switch {
	case kept == 0:
	case c.readsOnlyBody():
		owner.conns.SetState(&c.Conn, admit.ReadingBody, owner.now())
	case c.State() == admit.Busy:
	case len(c.scan.ambiguous) > 0 || c.State() == admit.ReadingBody: // a request has come whole
		owner.setBusy(c)
	default:
		owner.conns.SetState(&c.Conn, admit.ReadingHead, owner.now())
	}
	return kept
}

// readsOnlyBody reports whether a request's body is being read, and no other request of the connection is open. It is
// called under the lock.
func (c *clientConn) readsOnlyBody() bool {
	if c.scan.state != scanBody && c.scan.state != scanChunks {
		return false
	}
	headsNotServed := len(c.scan.ambiguous) // by net/http; that of the present body is one of them until it is served
	return c.serving && headsNotServed == 0 || !c.serving && headsNotServed == 1
}

func (c *clientConn) ambiguousEnd() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.scan.nextAmbiguous()
}

// Close closes the connection, and releases its place among the client connections and its read-ahead bytes. From the
// second call on it returns net.ErrClosed.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.owner.memory.Release(memory.ReadAhead, c.readAheadReserved.Swap(0))
		c.owner.remove(c)
	})
	return err
}
