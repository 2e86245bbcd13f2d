package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a kind of request as clients know it.
type Class struct {
	Name     string
	Method   string        // GET, or POST
	Keyed    bool          // it carries an Idempotency-Key
	Share    float64       // of all requests
	Worth    float64       // of one answer within Aim
	Aim      time.Duration // an answer is wanted within this time of the first try
	Patience time.Duration // the client gives up then, over all its tries
	Body     int           // bytes
}

// Unsafe tells whether a second execution would do harm.
func (c Class) Unsafe() bool { return c.Method != "GET" && !c.Keyed }

// Answer is one line of the clients' log: a try and how it ended.
type Answer struct {
	Order    string // what the request is about: the same over a client's tries
	ID       string // of this try
	Class    string
	Key      string
	Try      int // 0, 1, 2
	Sent     time.Time
	Deadline time.Time // the client waits no longer
	At       time.Time // of the answer's last byte, or of the break
	Status   int       // 0: none came
	Fault    string    // why none came, or what is wrong with the one that did
	HoldOff  time.Duration
	Resent   time.Time // when it was sent once more, as a close crossed it; zero: it was not
	RefusedBy,
	First string // the body's first line
}

// Served tells whether the client has what it asked for.
func (a *Answer) Served() bool { return a.Status == 200 && a.Fault == "" }

// Refused tells whether the client may try again without harm.
func (a *Answer) Refused() bool { return a.Status == 429 || a.Status == 503 }

// clientConn is a connection to a node.
type clientConn struct {
	net.Conn
	r    *bufio.Reader
	out  bytes.Buffer
	used bool // it has carried a request

	answered bool // something of the last answer has come
}

func dialNode(addr string, limit time.Duration) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, r: bufio.NewReaderSize(c, lineLimit)}, nil
}

// ask sends a try and reads its answer. keep tells whether the connection can take another.
func (c *clientConn) ask(class Class, a *Answer, linger time.Duration) (keep bool) {
	c.out.Reset()
	fmt.Fprintf(&c.out, "%s /%s?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n", class.Method, class.Name,
		a.Order, a.ID, time.Until(a.Deadline).Seconds())
	if a.Key != "" {
		fmt.Fprintf(&c.out, "Idempotency-Key: %s\r\n", a.Key)
	}
	if a.Try > 0 {
		c.out.WriteString("X-Repeat: 1\r\n")
	}
	if class.Method != "GET" {
		fmt.Fprintf(&c.out, "Content-Length: %d\r\n", class.Body)
	}
	c.out.WriteString("\r\n")
	for n := class.Body; n > 0 && class.Method != "GET"; n -= len(padding) {
		c.out.WriteString(padding[:min(n, len(padding))])
	}
	c.SetDeadline(a.Deadline.Add(linger))
	a.Sent = time.Now()
	if _, err := c.Write(c.out.Bytes()); err != nil {
		a.At, a.Fault = time.Now(), err.Error()
		return false
	}
	keep = c.read(a)
	a.At = time.Now()
	c.used = true
	return keep
}

// crossed tells whether a node has closed a kept connection while a request was on its way to it: the client sends that
// once more on a new one, as the protocol says. A connection that carried nothing before, or that ends later than a
// close can cross, has taken the request.
func (c *clientConn) crossed(used bool, a *Answer, within time.Duration) bool {
	return used && a.Status == 0 && a.Fault != "" && !c.answered && a.At.Sub(a.Sent) < cmp.Or(within, crossing)
}

const crossing = 20 * time.Millisecond

func (c *clientConn) read(a *Answer) (keep bool) {
	_, err := c.r.Peek(1)
	c.answered = err == nil
	h, err := readHead(c.r)
	if err != nil {
		a.Fault = err.Error()
		return false
	}
	if a.Status, err = strconv.Atoi(h.first[1]); err != nil || !strings.HasPrefix(h.first[0], "HTTP/1.") {
		a.Fault = fmt.Sprintf("a first line of %q", h.first)
		return false
	}
	a.RefusedBy = h.refused
	if s, err := strconv.ParseFloat(h.retryAfter, 64); err == nil {
		a.HoldOff = time.Duration(s * float64(time.Second))
	}
	if h.length > 0 {
		line, err := c.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err != nil || len(line) > h.length {
			a.Fault = fmt.Sprintf("a broken body: %v", err)
			return false
		}
		a.First = string(bytes.TrimRight(line, "\n"))
		if _, err := c.r.Discard(h.length - len(line)); err != nil {
			a.Fault = fmt.Sprintf("a broken body: %v", err)
			return false
		}
	}
	if a.Status == 200 && !strings.HasSuffix(a.First, " "+a.ID) {
		a.Fault = fmt.Sprintf("another request's answer: %q", a.First)
	}
	if c.r.Buffered() > 0 {
		a.Fault = "bytes behind the answer: a second one?"
		return false
	}
	return !h.close
}

// Load is what a group of clients asks of one address, and what came of it.
type Load struct {
	Addr    string
	Classes []Class
	Retries int           // further tries after a refusal or a break, within the patience
	Prefix  string        // of orders and ids, so that several loads do not meet
	KeepLog bool          // keep each answer; else only the sums
	Seed    uint64        // of what is drawn: classes, and when orders come
	Others  []string      // further nodes of the hall: a client's further tries go there, by turns
	Linger  time.Duration // clients wait so much longer than they say, to see what comes late
	// Crossing is how late the close of a kept connection may be to have crossed a request; 0: 20 ms.
	Crossing time.Duration

	next atomic.Int64
	mu   sync.Mutex
	log  []Answer
	sums Sums
	from time.Time     // orders that began earlier are not counted
	runs atomic.Uint64 // of Closed and Open so far: each draws anew
	idle []*clientConn
}

// Sums are what came of a load's orders.
type Sums struct {
	Orders, Served, InAim, Refused, Failed int // Refused and Failed: by the last try
	RefusedTries, RefusedByNode            int
	Resent                                 int     // once more, as the node's close of a kept connection crossed them
	Asked, Got                             float64 // worth
	Times                                  Times   // of orders served
	ByClass                                map[string][2]int
}

// Worth is the part of the worth asked for that was answered within the aims.
func (s Sums) Worth() float64 { return s.Got / max(s.Asked, 1e-9) }

// Sums gives what has been counted so far.
func (l *Load) Sums() Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sums
	s.Times = s.Times.copy()
	return s
}

// Log gives the answers so far, where they are kept.
func (l *Load) Log() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Answer(nil), l.log...)
}

// CountFrom counts only orders that begin from now on.
func (l *Load) CountFrom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from, l.sums = time.Now(), Sums{}
}

func (l *Load) pick(r *rand.Rand) Class {
	all := 0.0
	for _, c := range l.Classes {
		all += c.Share
	}
	x := r.Float64() * all
	for _, c := range l.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return l.Classes[len(l.Classes)-1]
}

// order plays one order to its end: tries, waits, and the count.
func (l *Load) order(ctx context.Context, class Class, conn func() (*clientConn, error), give func(*clientConn, bool)) {
	n := l.next.Add(1)
	name := fmt.Sprintf("%so%d", l.Prefix, n)
	key := ""
	if class.Keyed {
		key = "k-" + name
	}
	began := time.Now()
	deadline := began.Add(class.Patience)
	var a Answer
	var resent time.Time // by its first sending, a close crossed the try
	for try := 0; ; try++ {
		a = Answer{Order: name, ID: fmt.Sprintf("%s.%d", name, try), Class: class.Name, Key: key, Try: try, Deadline: deadline, Sent: time.Now(), Resent: resent}
		conn, give := conn, give
		if try > 0 && len(l.Others) > 0 {
			conn = func() (*clientConn, error) { return dialNode(l.Others[(try-1)%len(l.Others)], 2*time.Second) }
			give = func(c *clientConn, _ bool) { c.Close() }
		}
		c, err := conn()
		if err != nil {
			a.At, a.Fault = time.Now(), "no connection: "+err.Error()
		} else if !time.Now().Before(deadline) { // nothing was sent
			c.Close()
			a.At, a.Fault = time.Now(), "no connection in time"
		} else {
			used := c.used
			give(c, c.ask(class, &a, l.Linger))
			if c.crossed(used, &a, l.Crossing) && resent.IsZero() {
				resent = time.Now()
				try--
				l.mu.Lock()
				l.sums.Resent++
				l.mu.Unlock()
				continue
			}
		}
		resent = time.Time{}
		l.mu.Lock()
		if l.KeepLog {
			l.log = append(l.log, a)
		}
		if a.Refused() && !began.Before(l.from) {
			l.sums.RefusedTries++
			if a.RefusedBy == "node" {
				l.sums.RefusedByNode++
			}
		}
		l.mu.Unlock()
		// Only what is safe is tried again after a failure: that promises nothing, and a key is known to one cell only.
		again := a.Refused() || !a.Served() && class.Method == "GET" && err == nil
		if !again || try >= l.Retries || !sleep(ctx, max(a.HoldOff, time.Millisecond)) || !time.Now().Before(deadline) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.Before(l.from) || ctx.Err() != nil && !a.Served() {
		return
	}
	s := &l.sums
	s.Orders++
	s.Asked += class.Worth
	if s.ByClass == nil {
		s.ByClass = map[string][2]int{}
	}
	by := s.ByClass[class.Name]
	by[0]++
	switch took := a.At.Sub(began); {
	case a.Served():
		s.Served++
		s.Times.Add(took)
		if took <= class.Aim {
			s.InAim++
			s.Got += class.Worth
			by[1]++
		}
	case a.Refused():
		s.Refused++
	default:
		s.Failed++
	}
	s.ByClass[class.Name] = by
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Closed runs so many connections, each asking again once it has its answer, until ctx ends. They begin spread over ramp.
func (l *Load) Closed(ctx context.Context, conns int, ramp time.Duration) {
	var all sync.WaitGroup
	run := l.runs.Add(1)
	for i := range conns {
		all.Go(func() {
			r := rand.New(rand.NewPCG(l.Seed, run<<32|uint64(i)))
			var mine *clientConn
			defer func() {
				if mine != nil {
					mine.Close()
				}
			}()
			if !sleep(ctx, ramp*time.Duration(i)/time.Duration(conns)) {
				return
			}
			for ctx.Err() == nil {
				l.order(ctx, l.pick(r), func() (*clientConn, error) {
					if mine != nil {
						return mine, nil
					}
					c, err := dialNode(l.Addr, 2*time.Second)
					if err == nil {
						mine = c
					} else {
						sleep(ctx, 10*time.Millisecond)
					}
					return c, err
				}, func(c *clientConn, keep bool) {
					if !keep {
						c.Close()
						mine = nil
					}
				})
			}
		})
	}
	all.Wait()
}

// Open begins so many orders a second, whatever becomes of them, until ctx ends, and waits for those that are out. It
// holds mostOut orders at once; beyond, they count as failed. late is by how much it was behind its own plan at worst.
func (l *Load) Open(ctx context.Context, rate float64, mostOut int) (late time.Duration) {
	var all sync.WaitGroup
	defer func() {
		all.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.idle {
			c.Close()
		}
		l.idle = nil
	}()
	r := rand.New(rand.NewPCG(l.Seed, l.runs.Add(1)<<32))
	at := time.Now()
	out := make(chan struct{}, mostOut)
	for {
		at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			if !sleep(ctx, wait) {
				return late
			}
		} else if late = max(late, -wait); ctx.Err() != nil {
			return late
		}
		class := l.pick(r)
		select {
		case out <- struct{}{}:
		default:
			l.mu.Lock()
			l.sums.Orders++
			l.sums.Failed++
			l.sums.Asked += class.Worth
			l.mu.Unlock()
			continue
		}
		all.Go(func() {
			defer func() { <-out }()
			// Not ctx: what has begun is played to its end.
			l.order(context.Background(), class, l.take, l.give)
		})
	}
}

func (l *Load) take() (*clientConn, error) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		// The node may have closed it by now. A client would send once more then; this one looks first.
		c.SetReadDeadline(time.Now().Add(10 * time.Microsecond))
		if _, err := c.r.Peek(1); !errors.Is(err, io.EOF) && isTimeout(err) {
			return c, nil
		}
		c.Close()
		return l.take()
	}
	l.mu.Unlock()
	return dialNode(l.Addr, 2*time.Second)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func (l *Load) give(c *clientConn, keep bool) {
	if !keep {
		c.Close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, c)
}
