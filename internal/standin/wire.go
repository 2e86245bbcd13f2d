package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Wire is a UDP path between two sites that can delay, lose and throttle datagrams, and that can be cut in either
// direction or in both. A cut is silent: datagrams vanish and no error is reported. A closed port refuses instead:
// the kernel answers each datagram sent to it with an ICMP "port unreachable", as a machine does whose process has
// ended.
//
// The near side is the one that sends to Addr; the far side is the target that NewWire was given.
type Wire struct {
	Addr string // address that the near side sends to

	front  *net.UDPConn // under mu; nil while the port is closed
	to     *net.UDPAddr
	delay  atomic.Int64 // ns, each way
	rate   atomic.Int64 // each way; 0: unlimited
	free   [2]atomic.Int64 // ns since startedAt when the throttled wire is free: [0] to the far side, [1] to the near
	lost   atomic.Int64 // datagrams dropped because the wire's queue was full
	began  time.Time
	loss   atomic.Int64 // datagrams lost, of 1,000
	left   atomic.Int64 // datagrams until CutAfter cuts the wire; far below 0 when none is scheduled
	which  atomic.Int64 // directions that CutAfter cuts: 1 to the far side, 2 to the near side, 3 both
	toFar  atomic.Bool // whether datagrams to the far side are dropped
	toNear atomic.Bool
	bytes  atomic.Int64 // payload bytes, both ways
	count  atomic.Int64 // both ways
	work   sync.WaitGroup
	done   chan struct{}

	mu     sync.Mutex
	flows  map[string]*net.UDPConn
	closed bool
}

const (
	wireBuffer = 2048
	disarmed   = -1 << 40 // no CutAfter is scheduled
	wireFlows  = 256 // near sockets at once; datagrams of further ones are dropped
	wireQueue  = 300 * time.Millisecond // a datagram that would wait longer in a throttled wire is dropped
)

// NewWire starts a wire that carries datagrams to the UDP address target, until Close.
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

// ClosePort closes the wire's port. Answers under way are lost, and datagrams sent to the port are refused.
func (w *Wire) Shut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.front != nil {
		w.front.Close()
		w.front = nil
	}
}

// ReopenPort opens the port again, under the same address. It fails if another process has taken the address.
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

// Throttle limits the wire to so many bytes a second each way; 0 removes the limit. A datagram waits at most 0.3 s
// for the wire; one that would wait longer is dropped, as in a router's queue.
func (w *Wire) Throttle(bytesPerSecond int) { w.rate.Store(int64(bytesPerSecond)) }

// QueueDrops returns the number of datagrams that a throttled wire dropped because its queue was full.
func (w *Wire) Overflowed() int64 { return w.lost.Load() }

// Delay sets how long a datagram takes, each way.
func (w *Wire) Delay(d time.Duration) { w.delay.Store(int64(d)) }

// Loss sets how many of 1,000 datagrams are lost, at random.
func (w *Wire) Loss(perMille int) { w.loss.Store(int64(perMille)) }

// Cut sets which directions are cut: to the far side, to the near side, both, or neither. It cancels a scheduled
// CutAfter.
func (w *Wire) Cut(toFar, toNear bool) {
	w.left.Store(disarmed)
	w.toFar.Store(toFar)
	w.toNear.Store(toNear)
}

// CutDirection cuts or restores one direction and leaves the other as it is. It cancels a scheduled CutAfter.
func (w *Wire) CutOne(toFar, on bool) {
	w.left.Store(disarmed)
	if toFar {
		w.toFar.Store(on)
	} else {
		w.toNear.Store(on)
	}
}

// Carried returns the datagrams carried so far and their bytes, both ways, without IP and UDP headers.
func (w *Wire) Carried() (datagrams, bytes int64) { return w.count.Load(), w.bytes.Load() }

// CutAfter schedules a Cut of the given directions for when so many more datagrams have arrived at the wire,
// counted over both directions.
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

// Close stops the wire and waits until its goroutines have ended.
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

// receive forwards datagrams from the near side until the port is closed.
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

// sendBack sends a datagram to a near socket, unless the port is closed.
func (w *Wire) back(p []byte, to *net.UDPAddr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.front != nil {
		w.front.WriteToUDP(p, to)
	}
}

// flowOf returns the socket that stands for a near socket at the far side. It opens the socket on first use, and
// returns nil if maxFlows are open.
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
			if err != nil { // the far side's port is closed; it may open again
				time.Sleep(time.Millisecond)
				continue
			}
			w.carry(&w.toNear, 1, buf[:n], func(p []byte) { w.back(p, from) })
		}
	})
	return c
}

// queueDelay reserves the throttled wire for a datagram of size bytes. It returns how long the datagram waits for
// the wire and takes to pass over it, or lost if the queue is full.
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

// forward passes one datagram on, after the delay, unless its direction is cut or the datagram is lost. direction
// is 0 to the far side and 1 to the near side.
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
