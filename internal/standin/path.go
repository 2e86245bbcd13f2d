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
	PathHealthy       PathFault = iota
	PathSilent                  // nothing passes and open connections stay open; they are reset when the path is healthy again
	PathResets                  // open connections are reset, and so is each new one
	PathConnectsStall           // new connections aren't established; they are about a second after the path is healthy again
)

const (
	pathBacklog     = 128
	pathDialTimeout = time.Second
)

// Path is a TCP path to a server, with faults that can be set.
type Path struct {
	Addr string // address that clients connect to

	target   string
	listener *net.TCPListener
	running  sync.WaitGroup

	mu           sync.Mutex
	faultChanged *sync.Cond // signals a change of fault or closed
	fault        PathFault
	slow         bool // the server reads slowly
	conns        map[*net.TCPConn]bool
	closed       bool
}

// NewPath starts a path that carries connections to the TCP address to, until Close.
func NewPath(to string) (*Path, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &Path{Addr: l.Addr().String(), target: to, listener: l, conns: map[*net.TCPConn]bool{}}
	p.faultChanged = sync.NewCond(&p.mu)
	p.running.Go(p.accept)
	return p, nil
}

// SetFault makes the path fail in this way from now on; PathHealthy ends a fault.
func (p *Path) SetFault(f PathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.fault
	p.fault = f
	if previous == PathConnectsStall {
		p.resetQueued()
	}
	if f == PathResets || previous == PathSilent {
		p.resetAll()
	}
	backlog := pathBacklog
	if f == PathConnectsStall {
		backlog = 0
	}
	p.setBacklog(backlog)
	p.faultChanged.Broadcast()
}

// Pace of a path whose server reads slowly.
const (
	slowPathRate = 100_000 // bytes per second, of each connection
	slowPathRead = 4 << 10 // bytes that are read at once
)

// SetSlow makes the server read slowly what comes on each connection, or ends that.
func (p *Path) SetSlow(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = on
}

// isSlow reports whether the server reads slowly now.
func (p *Path) isSlow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow
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
	p.faultChanged.Broadcast()
	p.mu.Unlock()
	p.running.Wait()
}

// waitWhile blocks while the path's fault is one of faults. It reports whether the path is still open.
func (p *Path) waitWhile(faults ...PathFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && containsFault(faults, p.fault) {
		p.faultChanged.Wait()
	}
	return !p.closed
}

func containsFault(list []PathFault, f PathFault) bool {
	for _, x := range list {
		if x == f {
			return true
		}
	}
	return false
}

// accept forwards new connections until the path is closed.
func (p *Path) accept() {
	for p.waitWhile(PathConnectsStall) {
		c, err := p.listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !p.track(c) {
			continue
		}
		p.running.Go(func() { p.forward(c) })
	}
}

// track registers a connection, or resets it if the path is closed or resets connections. It reports whether the
// connection is still open.
func (p *Path) track(c *net.TCPConn) bool {
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
func (p *Path) untrack(c *net.TCPConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward connects to the target and copies both directions until the connection ends.
func (p *Path) forward(near *net.TCPConn) {
	defer p.untrack(near)
	dialed, err := net.DialTimeout("tcp", p.target, pathDialTimeout)
	if err != nil { // the server refuses connections: it has ended
		near.SetLinger(0)
		return
	}
	far := dialed.(*net.TCPConn)
	if !p.track(far) {
		return
	}
	defer p.untrack(far)
	var backward sync.WaitGroup
	backward.Go(func() { p.copyOneWay(near, far, false) })
	p.copyOneWay(far, near, true)
	backward.Wait()
}

// copyOneWay carries one direction. The end of one direction ends the connection, as the stand-ins never close one
// direction only. toServer is set for the direction to the server, which may read slowly.
func (p *Path) copyOneWay(to, from *net.TCPConn, toServer bool) {
	buf := make([]byte, 16<<10)
	for {
		size := len(buf)
		if toServer && p.isSlow() {
			size = slowPathRead
			time.Sleep(slowPathRead * time.Second / slowPathRate)
		}
		n, err := from.Read(buf[:size])
		if !p.waitWhile(PathSilent) {
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
