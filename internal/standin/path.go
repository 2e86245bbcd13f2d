package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// PathFault is a way in which a TCP path fails.
type PathFault int

// The faults of paths.
const (
	PathWhole  PathFault = iota
	PathSilent // nothing passes and open connections stay open; they are reset when the path is healthy again
	PathResets // open connections are reset, and so is each new one
	PathLate // new connections aren't established; they are about a second after the path is healthy again
)

const (
	pathBacklog = 128
	pathDial    = time.Second
)

// Path is a TCP path to a server, with faults that can be set.
type Path struct {
	Addr string // address that clients connect to

	to       string
	listener *net.TCPListener
	running  sync.WaitGroup

	mu      sync.Mutex
	changed *sync.Cond // signals a change of fault or closed
	fault   PathFault
	conns   map[*net.TCPConn]bool
	closed  bool
}

// NewPath starts a path that carries connections to the TCP address to, until Close.
func NewPath(to string) (*Path, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &Path{Addr: l.Addr().String(), to: to, listener: l, conns: map[*net.TCPConn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	p.running.Go(p.accept)
	return p, nil
}

// SetFault makes the path fail in this way from now on; PathHealthy ends a fault.
func (p *Path) Set(f PathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.fault
	p.fault = f
	if was == PathLate {
		p.resetQueued()
	}
	if f == PathResets || was == PathSilent {
		p.resetAll()
	}
	backlog := pathBacklog
	if f == PathLate {
		backlog = 0
	}
	p.setBacklog(backlog)
	p.changed.Broadcast()
}

// setBacklog limits the connections that the kernel establishes before they are accepted. Beyond the limit the
// kernel drops connection attempts.
func (p *Path) setBacklog(n int) {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.Listen(int(fd), n) })
}

// resetQueued resets the connections that the kernel established while none was accepted: what clients wrote to
// them would otherwise arrive late.
func (p *Path) resetQueued() {
	for {
		p.listener.SetDeadline(time.Now().Add(time.Millisecond))
		c, err := p.listener.AcceptTCP()
		if err != nil {
			break
		}
		c.SetLinger(0)
		c.Close()
	}
	p.listener.SetDeadline(time.Time{})
}

// resetAll resets all connections. The caller holds mu.
func (p *Path) resetAll() {
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Close stops the path, resets its connections, and waits until its goroutines have ended.
func (p *Path) Close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	p.resetAll()
	p.changed.Broadcast()
	p.mu.Unlock()
	p.running.Wait()
}

// waitWhile blocks while the path's fault is one of faults. It reports whether the path is still open.
func (p *Path) await(faults ...PathFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && has(faults, p.fault) {
		p.changed.Wait()
	}
	return !p.closed
}

func has(list []PathFault, f PathFault) bool {
	for _, x := range list {
		if x == f {
			return true
		}
	}
	return false
}

// accept forwards new connections until the path is closed.
func (p *Path) accept() {
	for p.await(PathLate) {
		c, err := p.listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !p.keep(c) {
			continue
		}
		p.running.Go(func() { p.carry(c) })
	}
}

// track registers a connection, or resets it if the path is closed or resets connections. It reports whether the
// connection is still open.
func (p *Path) keep(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == PathResets {
		c.SetLinger(0)
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

// untrack closes a connection and removes it.
func (p *Path) forget(c *net.TCPConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward connects to the target and copies both directions until the connection ends.
func (p *Path) carry(near *net.TCPConn) {
	defer p.forget(near)
	dialed, err := net.DialTimeout("tcp", p.to, pathDial)
	if err != nil { // the server refuses connections: it has ended
		near.SetLinger(0)
		return
	}
	far := dialed.(*net.TCPConn)
	if !p.keep(far) {
		return
	}
	defer p.forget(far)
	var back sync.WaitGroup
	back.Go(func() { p.copy(near, far) })
	p.copy(far, near)
	back.Wait()
}

// copyOneWay carries one direction. The end of one direction ends the connection, as the stand-ins never close one
// direction only.
func (p *Path) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !p.await(PathSilent) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				to.SetLinger(0)
			}
			break
		}
	}
	to.Close()
	from.Close()
}
