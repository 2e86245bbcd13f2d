package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Wire is a UDP path between two sites that can be delayed, thinned, throttled, and cut in either direction or both. What is
// cut is silent: nothing comes and nobody is told. A wire that is shut refuses: each datagram to it is answered by the kernel
// with an ICMP "port unreachable", as by a machine whose process is gone.
type Wire struct {
	Addr string // where the near side sends to

	front  *net.UDPConn // under mu; nil while it is shut
	to     *net.UDPAddr
	delay  atomic.Int64    // ns, each way
	rate   atomic.Int64    // bytes a second, each way; 0: any number
	free   [2]atomic.Int64 // when the throttled wire is free to the far side, to the near side, ns since began
	lost   atomic.Int64    // datagrams that found its queue full
	began  time.Time
	loss   atomic.Int64 // of 1,000 datagrams
	left   atomic.Int64 // datagrams until it cuts itself, if that is under way; else far below 0
	which  atomic.Int64 // how it does: 1 what goes to the far side, 2 to the near side, 3 both
	toFar  atomic.Bool  // cut
	toNear atomic.Bool
	bytes  atomic.Int64 // carried, both ways
	count  atomic.Int64 // datagrams carried
	work   sync.WaitGroup
	done   chan struct{}

	mu     sync.Mutex
	flows  map[string]*net.UDPConn
	closed bool
}

const (
	wireBuffer = 2048
	disarmed   = -1 << 40               // no CutAfter is under way
	wireFlows  = 256                    // near sockets at once; more are not carried
	wireQueue  = 300 * time.Millisecond // of what a throttled wire carries may wait in it; more is lost
)

// NewWire carries datagrams to a UDP address of the far side, until Close.
func NewWire(to string) (*Wire, error) {
	far, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	w := &Wire{Addr: front.LocalAddr().String(), front: front, to: far, began: time.Now(), done: make(chan struct{}), flows: map[string]*net.UDPConn{}}
	w.left.Store(disarmed)
	w.work.Go(func() { w.run(front) })
	return w, nil
}

// Shut closes the wire's port: what is on its way is lost, and what is sent there is refused.
func (w *Wire) Shut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.front != nil {
		w.front.Close()
		w.front = nil
	}
}

// Reopen opens the port again, under the same address. It fails if another process has taken it.
func (w *Wire) Reopen() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.front != nil || w.closed {
		return nil
	}
	at, err := net.ResolveUDPAddr("udp", w.Addr)
	if err != nil {
		return err
	}
	front, err := net.ListenUDP("udp", at)
	if err != nil {
		return err
	}
	w.front = front
	w.work.Go(func() { w.run(front) })
	return nil
}

// Throttle bounds what the wire carries each way, in bytes a second; 0 lifts the bound. What waits in it does so for
// at most 0.3 s; more is lost, as in a router's queue.
func (w *Wire) Throttle(bytesPerSecond int) { w.rate.Store(int64(bytesPerSecond)) }

// Overflowed gives the datagrams that a throttled wire had no room for.
func (w *Wire) Overflowed() int64 { return w.lost.Load() }

// Delay sets the time that a datagram takes, each way.
func (w *Wire) Delay(d time.Duration) { w.delay.Store(int64(d)) }

// Loss sets how many of 1,000 datagrams are lost.
func (w *Wire) Loss(perMille int) { w.loss.Store(int64(perMille)) }

// Cut stops what goes to the far side, to the near side, or both; with neither, the wire is whole again.
// It ends a CutAfter that is under way.
func (w *Wire) Cut(toFar, toNear bool) {
	w.left.Store(disarmed)
	w.toFar.Store(toFar)
	w.toNear.Store(toNear)
}

// CutOne stops, or lets through again, what goes one way, and leaves the other way as it is.
func (w *Wire) CutOne(toFar, on bool) {
	w.left.Store(disarmed)
	if toFar {
		w.toFar.Store(on)
	} else {
		w.toNear.Store(on)
	}
}

// Carried gives the datagrams and their bytes so far, both ways, without IP and UDP headers.
func (w *Wire) Carried() (datagrams, bytes int64) { return w.count.Load(), w.bytes.Load() }

// CutAfter cuts, as Cut does, once so many datagrams more have been carried, either way.
func (w *Wire) CutAfter(datagrams int, toFar, toNear bool) {
	which := int64(0)
	if toFar {
		which |= 1
	}
	if toNear {
		which |= 2
	}
	w.which.Store(which)
	w.left.Store(int64(datagrams))
}

// Close ends it.
func (w *Wire) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.done)
	if w.front != nil {
		w.front.Close()
	}
	for _, c := range w.flows {
		c.Close()
	}
	w.mu.Unlock()
	w.work.Wait()
}

func (w *Wire) run(front *net.UDPConn) {
	buf := make([]byte, wireBuffer)
	for {
		n, from, err := front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if c := w.flow(from); c != nil {
			w.carry(&w.toFar, 0, buf[:n], func(p []byte) { c.Write(p) })
		}
	}
}

// back sends a datagram to a near socket, if the wire is not shut.
func (w *Wire) back(p []byte, to *net.UDPAddr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.front != nil {
		w.front.WriteToUDP(p, to)
	}
}

// flow is the socket that stands for a near one at the far side.
func (w *Wire) flow(from *net.UDPAddr) *net.UDPConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.flows[from.String()]
	if c != nil || w.closed || len(w.flows) >= wireFlows {
		return c
	}
	c, err := net.DialUDP("udp", nil, w.to)
	if err != nil {
		return nil
	}
	w.flows[from.String()] = c
	w.work.Go(func() {
		buf := make([]byte, wireBuffer)
		for {
			n, err := c.Read(buf)
			select {
			case <-w.done:
				return
			default:
			}
			if err != nil { // the far side's port is closed: it may open again
				time.Sleep(time.Millisecond)
				continue
			}
			w.carry(&w.toNear, 1, buf[:n], func(p []byte) { w.back(p, from) })
		}
	})
	return c
}

// queued gives the time that a datagram waits in a throttled wire and takes on it, or that it is lost there.
func (w *Wire) queued(way, size int) (wait time.Duration, lost bool) {
	rate := w.rate.Load()
	if rate <= 0 {
		return 0, false
	}
	now := int64(time.Since(w.began))
	for {
		free := w.free[way].Load()
		next := max(free, now) + int64(size)*int64(time.Second)/rate
		if time.Duration(next-now) > wireQueue {
			w.lost.Add(1)
			return 0, true
		}
		if w.free[way].CompareAndSwap(free, next) {
			return time.Duration(next - now), false
		}
	}
}

func (w *Wire) carry(cut *atomic.Bool, way int, p []byte, send func([]byte)) {
	if w.left.Add(-1) == -1 {
		which := w.which.Load()
		w.Cut(which&1 != 0, which&2 != 0)
	}
	if cut.Load() || rand.Int64N(1000) < w.loss.Load() {
		return
	}
	wait, lost := w.queued(way, len(p))
	if lost {
		return
	}
	w.bytes.Add(int64(len(p)))
	w.count.Add(1)
	d := time.Duration(w.delay.Load()) + wait
	if d == 0 {
		send(p)
		return
	}
	p = append([]byte(nil), p...)
	w.work.Add(1)
	time.AfterFunc(d, func() {
		defer w.work.Done()
		if !cut.Load() {
			send(p)
		}
	})
}
