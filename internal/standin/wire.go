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

	listener         *net.UDPConn // under mu; nil while the port is closed
	target           *net.UDPAddr
	delay            atomic.Int64    // ns, each way
	bytesPerSecond   atomic.Int64    // each way; 0: unlimited
	freeAt           [2]atomic.Int64 // ns since startedAt when the throttled wire is free: [0] to the far side, [1] to the near
	queueDrops       atomic.Int64    // datagrams dropped because the wire's queue was full
	startedAt        time.Time
	lossPerMille     atomic.Int64 // datagrams lost, of 1,000
	cutCountdown     atomic.Int64 // datagrams until CutAfter cuts the wire; far below 0 when none is scheduled
	cutDirections    atomic.Int64 // directions that CutAfter cuts: 1 to the far side, 2 to the near side, 3 both
	cutToFar         atomic.Bool  // whether datagrams to the far side are dropped
	cutToNear        atomic.Bool
	carriedBytes     atomic.Int64 // payload bytes, both ways
	carriedDatagrams atomic.Int64 // both ways
	workers          sync.WaitGroup
	done             chan struct{}

	mu     sync.Mutex
	flows  map[string]*net.UDPConn
	closed bool
}

const (
	maxDatagramBytes = 2048
	cutDisarmed      = -1 << 40               // no CutAfter is scheduled
	maxFlows         = 256                    // near sockets at once; datagrams of further ones are dropped
	maxQueueDelay    = 300 * time.Millisecond // a datagram that would wait longer in a throttled wire is dropped
)

// NewWire starts a wire that carries datagrams to the UDP address target, until Close.
func NewWire(target string) (*Wire, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	wire := &Wire{Addr: listener.LocalAddr().String(), listener: listener, target: targetAddr, startedAt: time.Now(),
		done: make(chan struct{}), flows: map[string]*net.UDPConn{}}
	wire.cutCountdown.Store(cutDisarmed)
	wire.workers.Go(func() { wire.receive(listener) })
	return wire, nil
}

// ClosePort closes the wire's port. Answers under way are lost, and datagrams sent to the port are refused.
func (w *Wire) ClosePort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		w.listener.Close()
		w.listener = nil
	}
}

// ReopenPort opens the port again, under the same address. It fails if another process has taken the address.
func (w *Wire) ReopenPort() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil || w.closed {
		return nil
	}
	addr, err := net.ResolveUDPAddr("udp", w.Addr)
	if err != nil {
		return err
	}
	listener, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	w.listener = listener
	w.workers.Go(func() { w.receive(listener) })
	return nil
}

// Throttle limits the wire to so many bytes a second each way; 0 removes the limit. A datagram waits at most 0.3 s
// for the wire; one that would wait longer is dropped, as in a router's queue.
func (w *Wire) Throttle(bytesPerSecond int) { w.bytesPerSecond.Store(int64(bytesPerSecond)) }

// QueueDrops returns the number of datagrams that a throttled wire dropped because its queue was full.
func (w *Wire) QueueDrops() int64 { return w.queueDrops.Load() }

// Delay sets how long a datagram takes, each way.
func (w *Wire) Delay(d time.Duration) { w.delay.Store(int64(d)) }

// Loss sets how many of 1,000 datagrams are lost, at random.
func (w *Wire) Loss(perMille int) { w.lossPerMille.Store(int64(perMille)) }

// Cut sets which directions are cut: to the far side, to the near side, both, or neither. It cancels a scheduled
// CutAfter.
func (w *Wire) Cut(toFar, toNear bool) {
	w.cutCountdown.Store(cutDisarmed)
	w.cutToFar.Store(toFar)
	w.cutToNear.Store(toNear)
}

// CutDirection cuts or restores one direction and leaves the other as it is. It cancels a scheduled CutAfter.
func (w *Wire) CutDirection(toFar, cut bool) {
	w.cutCountdown.Store(cutDisarmed)
	if toFar {
		w.cutToFar.Store(cut)
	} else {
		w.cutToNear.Store(cut)
	}
}

// Carried returns the datagrams carried so far and their bytes, both ways, without IP and UDP headers.
func (w *Wire) Carried() (datagrams, bytes int64) {
	return w.carriedDatagrams.Load(), w.carriedBytes.Load()
}

// CutAfter schedules a Cut of the given directions for when so many more datagrams have arrived at the wire,
// counted over both directions.
func (w *Wire) CutAfter(datagrams int, toFar, toNear bool) {
	directions := int64(0)
	if toFar {
		directions |= 1
	}
	if toNear {
		directions |= 2
	}
	w.cutDirections.Store(directions)
	w.cutCountdown.Store(int64(datagrams))
}

// Close stops the wire and waits until its goroutines have ended.
func (w *Wire) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.done)
	if w.listener != nil {
		w.listener.Close()
	}
	for _, c := range w.flows {
		c.Close()
	}
	w.mu.Unlock()
	w.workers.Wait()
}

// receive forwards datagrams from the near side until the port is closed.
func (w *Wire) receive(listener *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if c := w.flowOf(from); c != nil {
			w.forward(&w.cutToFar, 0, buf[:n], func(p []byte) { c.Write(p) })
		}
	}
}

// sendBack sends a datagram to a near socket, unless the port is closed.
func (w *Wire) sendBack(p []byte, to *net.UDPAddr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		w.listener.WriteToUDP(p, to)
	}
}

// flowOf returns the socket that stands for a near socket at the far side. It opens the socket on first use, and
// returns nil if maxFlows are open.
func (w *Wire) flowOf(from *net.UDPAddr) *net.UDPConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	conn := w.flows[from.String()]
	if conn != nil || w.closed || len(w.flows) >= maxFlows {
		return conn
	}
	conn, err := net.DialUDP("udp", nil, w.target)
	if err != nil {
		return nil
	}
	w.flows[from.String()] = conn
	w.workers.Go(func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, err := conn.Read(buf)
			select {
			case <-w.done:
				return
			default:
			}
			if err != nil { // the far side's port is closed; it may open again
				time.Sleep(time.Millisecond)
				continue
			}
			w.forward(&w.cutToNear, 1, buf[:n], func(p []byte) { w.sendBack(p, from) })
		}
	})
	return conn
}

// queueDelay reserves the throttled wire for a datagram of size bytes. It returns how long the datagram waits for
// the wire and takes to pass over it, or lost if the queue is full.
func (w *Wire) queueDelay(direction, size int) (wait time.Duration, lost bool) {
	rate := w.bytesPerSecond.Load()
	if rate <= 0 {
		return 0, false
	}
	now := int64(time.Since(w.startedAt))
	for {
		freeAt := w.freeAt[direction].Load()
		nextFree := max(freeAt, now) + int64(size)*int64(time.Second)/rate
		if time.Duration(nextFree-now) > maxQueueDelay {
			w.queueDrops.Add(1)
			return 0, true
		}
		if w.freeAt[direction].CompareAndSwap(freeAt, nextFree) {
			return time.Duration(nextFree - now), false
		}
	}
}

// forward passes one datagram on, after the delay, unless its direction is cut or the datagram is lost. direction
// is 0 to the far side and 1 to the near side.
func (w *Wire) forward(cut *atomic.Bool, direction int, payload []byte, send func([]byte)) {
	if w.cutCountdown.Add(-1) == -1 {
		directions := w.cutDirections.Load()
		w.Cut(directions&1 != 0, directions&2 != 0)
	}
	if cut.Load() || rand.Int64N(1000) < w.lossPerMille.Load() {
		return
	}
	wait, lost := w.queueDelay(direction, len(payload))
	if lost {
		return
	}
	w.carriedBytes.Add(int64(len(payload)))
	w.carriedDatagrams.Add(1)
	delay := time.Duration(w.delay.Load()) + wait
	if delay == 0 {
		send(payload)
		return
	}
	payload = append([]byte(nil), payload...)
	w.workers.Add(1)
	time.AfterFunc(delay, func() {
		defer w.workers.Done()
		if !cut.Load() {
			send(payload)
		}
	})
}
