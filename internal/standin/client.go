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

// Class is a kind of request as clients send it.
type Class struct {
	Name      string
	Method    string        // GET, or POST
	Keyed     bool          // requests carry an Idempotency-Key
	Share     float64       // part of all requests, relative to the other classes' shares
	Worth     float64       // value of one answer within Aim
	Aim       time.Duration // latency target, from the first try on
	Patience  time.Duration // the client gives up after this time, counted over all its tries
	BodyBytes int           // of the request
}

// Unsafe reports whether a second execution of a request would do harm.
func (c Class) Unsafe() bool { return c.Method != "GET" && !c.Keyed }

// Answer is one line of the clients' log: one try of an order and how it ended.
type Answer struct {
	Order    string // the order: the same for all tries of it
	ID       string // of this try alone
	Class    string
	Key      string
	Try      int // 0 for the first try, then 1, 2
	Sent     time.Time
	Deadline time.Time // until when the client waits
	EndedAt  time.Time // when the answer's last byte came, or the connection broke
	Status   int       // 0: no answer came
	Failure  string    // why no answer came, or what is wrong with the one that came
	HoldOff  time.Duration
	ResentAt time.Time // when it was sent again as the node's close of a kept connection crossed it; or zero
	RefusedBy,
	FirstLine string // first line of the body
}

// Served reports whether the client got a complete, correct answer with status 200.
func (a *Answer) Served() bool { return a.Status == 200 && a.Failure == "" }

// Refused reports whether the answer is a refusal, after which the client may try again without harm.
func (a *Answer) Refused() bool { return a.Status == 429 || a.Status == 503 }

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	r       *bufio.Reader
	request bytes.Buffer
	used    bool // it has carried a request before

	answerStarted bool // a first byte of the latest answer has come
}

// dialNode connects to a node within a time limit.
func dialNode(addr string, limit time.Duration) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, r: bufio.NewReaderSize(c, maxLineBytes)}, nil
}

// roundTrip sends a try and reads its answer into a. It waits until linger after the try's deadline. reusable
// reports whether the connection can carry another request.
func (c *clientConn) roundTrip(class Class, a *Answer, linger time.Duration) (reusable bool) {
	c.request.Reset()
	fmt.Fprintf(&c.request, "%s /%s?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n", class.Method, class.Name,
		a.Order, a.ID, time.Until(a.Deadline).Seconds())
	if a.Key != "" {
		fmt.Fprintf(&c.request, "Idempotency-Key: %s\r\n", a.Key)
	}
	if a.Try > 0 {
		c.request.WriteString("X-Repeat: 1\r\n")
	}
	if class.Method != "GET" {
		fmt.Fprintf(&c.request, "Content-Length: %d\r\n", class.BodyBytes)
	}
	c.request.WriteString("\r\n")
	for n := class.BodyBytes; n > 0 && class.Method != "GET"; n -= len(padding) {
		c.request.WriteString(padding[:min(n, len(padding))])
	}
	c.SetDeadline(a.Deadline.Add(linger))
	a.Sent = time.Now()
	if _, err := c.Write(c.request.Bytes()); err != nil {
		a.EndedAt, a.Failure = time.Now(), err.Error()
		return false
	}
	reusable = c.readAnswer(a)
	a.EndedAt = time.Now()
	c.used = true
	return reusable
}

// closeCrossed reports whether the node closed a kept connection while a request was on its way to the node. The
// client then sends the request again on a new connection, as the protocol says. A connection that carried no
// request before, or that ends later than within after the sending (0: 20 ms), has delivered the request.
func (c *clientConn) closeCrossed(used bool, a *Answer, within time.Duration) bool {
	return used && a.Status == 0 && a.Failure != "" && !c.answerStarted &&
		a.EndedAt.Sub(a.Sent) < cmp.Or(within, defaultCloseCrossing)
}

const defaultCloseCrossing = 20 * time.Millisecond

// readAnswer reads an answer into a. It records a fault if the answer breaks off, belongs to another request, or
// is followed by further bytes.
func (c *clientConn) readAnswer(a *Answer) (reusable bool) {
	_, err := c.r.Peek(1)
	c.answerStarted = err == nil
	h, err := readHead(c.r)
	if err != nil {
		a.Failure = err.Error()
		return false
	}
	if a.Status, err = strconv.Atoi(h.startLine[1]); err != nil || !strings.HasPrefix(h.startLine[0], "HTTP/1.") {
		a.Failure = fmt.Sprintf("malformed start line: %q", h.startLine)
		return false
	}
	a.RefusedBy = h.refusedBy
	if s, err := strconv.ParseFloat(h.retryAfter, 64); err == nil {
		a.HoldOff = time.Duration(s * float64(time.Second))
	}
	if h.length > 0 {
		line, err := c.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err != nil || len(line) > h.length {
			a.Failure = fmt.Sprintf("a broken body: %v", err)
			return false
		}
		a.FirstLine = string(bytes.TrimRight(line, "\n"))
		if _, err := c.r.Discard(h.length - len(line)); err != nil {
			a.Failure = fmt.Sprintf("a broken body: %v", err)
			return false
		}
	}
	if a.Status == 200 && !strings.HasSuffix(a.FirstLine, " "+a.ID) {
		a.Failure = fmt.Sprintf("another request's answer: %q", a.FirstLine)
	}
	if c.r.Buffered() > 0 {
		a.Failure = "bytes behind the answer: a second one?"
		return false
	}
	return !h.closesConn
}

// Load is a group of clients that send orders to one address, and the log and sums of what became of the orders.
type Load struct {
	Addr       string
	Classes    []Class
	Retries    int           // further tries after a refusal or a broken connection, before the deadline
	Prefix     string        // of orders' names and ids: sets several loads apart
	KeepLog    bool          // keep each answer; otherwise only the sums
	Seed       uint64        // of the random classes and arrival times
	RetryAddrs []string      // further nodes of the site: a client's further tries go to them in turn
	Linger     time.Duration // clients wait this much longer than the deadline that they send; at least AnswerSlack
	// CloseCrossing is how long after the sending of a request the close of a kept connection still counts as
	// having crossed the request; 0: 20 ms.
	CloseCrossing time.Duration

	lastOrder   atomic.Int64
	mu          sync.Mutex
	log         []Answer
	sums        Sums
	countedFrom time.Time     // orders that began earlier are not counted in sums
	runs        atomic.Uint64 // number of runs so far: each run draws new random numbers
	idle        []*clientConn
}

// Sums count a load's orders and their outcomes.
type Sums struct {
	Orders, Served, InAim, Refused, Failed int // Refused and Failed: by the outcome of the last try
	RefusedTries, RefusedByNode            int
	Resent                                 int     // sent again because the node's close of a kept connection crossed them
	OfferedWorth, ServedWorth              float64 // of all orders; of those answered within their aims
	Times                                  Times   // of served orders, from the first try to the answer
	ByClass                                map[string][2]int
}

// WorthFraction returns the worth of orders answered within their aims, as a part (0 to 1) of all orders' worth.
func (s Sums) WorthFraction() float64 { return s.ServedWorth / max(s.OfferedWorth, 1e-9) }

// Sums returns a copy of the counts so far.
func (l *Load) Sums() Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sums
	s.Times = s.Times.copy()
	return s
}

// Log returns the answers so far, if KeepLog is set.
func (l *Load) Log() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Answer(nil), l.log...)
}

// ResetCounts sets the sums to zero, and counts only orders that begin from now on.
func (l *Load) ResetCounts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countedFrom, l.sums = time.Now(), Sums{}
}

// pickClass draws a class by the classes' shares.
func (l *Load) pickClass(r *rand.Rand) Class {
	totalShare := 0.0
	for _, c := range l.Classes {
		totalShare += c.Share
	}
	x := r.Float64() * totalShare
	for _, c := range l.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return l.Classes[len(l.Classes)-1]
}

// runOrder carries one order to its end: its tries, the waits between them, and the counting. getConn returns a
// connection for a first try, and putConn takes it back, to be closed unless it can be reused.
func (l *Load) runOrder(ctx context.Context, class Class, getConn func() (*clientConn, error),
	putConn func(*clientConn, bool)) {
	number := l.lastOrder.Add(1)
	name := fmt.Sprintf("%so%d", l.Prefix, number)
	key := ""
	if class.Keyed {
		key = "k-" + name
	}
	began := time.Now()
	deadline := began.Add(class.Patience)
	var answer Answer
	var resent time.Time // when a close crossed the try, after its first sending
	for try := 0; ; try++ {
		answer = Answer{Order: name, ID: fmt.Sprintf("%s.%d", name, try), Class: class.Name, Key: key, Try: try,
			Deadline: deadline, Sent: time.Now(), ResentAt: resent}
		getConn, putConn := getConn, putConn
		if try > 0 && len(l.RetryAddrs) > 0 {
			getConn = func() (*clientConn, error) {
				return dialNode(l.RetryAddrs[(try-1)%len(l.RetryAddrs)], 2*time.Second)
			}
			putConn = func(connection *clientConn, _ bool) { connection.Close() }
		} else if !resent.IsZero() {
			// Not an idle connection: the node may have closed all of them at the same time.
			getConn = func() (*clientConn, error) { return dialNode(l.Addr, 2*time.Second) }
		}
		connection, err := getConn()
		if err != nil {
			answer.EndedAt, answer.Failure = time.Now(), "no connection: "+err.Error()
		} else if !time.Now().Before(deadline) { // the deadline has passed before anything was sent
			connection.Close()
			answer.EndedAt, answer.Failure = time.Now(), "no connection in time"
		} else {
			used := connection.used
			// At least AnswerSlack, so that the check sees each answer that it allows.
			putConn(connection, connection.roundTrip(class, &answer, max(l.Linger, AnswerSlack)))
			if connection.closeCrossed(used, &answer, l.CloseCrossing) && resent.IsZero() {
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
			l.log = append(l.log, answer)
		}
		if answer.Refused() && !began.Before(l.countedFrom) {
			l.sums.RefusedTries++
			if answer.RefusedBy == "node" {
				l.sums.RefusedByNode++
			}
		}
		l.mu.Unlock()
		// After a failure, as opposed to a refusal, only a safe request is tried again: a failure does not promise
		// that the request was not run, and an idempotency key is known to one cell only.
		mayRetry := answer.Refused() || !answer.Served() && class.Method == "GET" && err == nil
		if !mayRetry || try >= l.Retries || !sleep(ctx, max(answer.HoldOff, time.Millisecond)) ||
			!time.Now().Before(deadline) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.Before(l.countedFrom) || ctx.Err() != nil && !answer.Served() {
		return
	}
	s := &l.sums
	s.Orders++
	s.OfferedWorth += class.Worth
	if s.ByClass == nil {
		s.ByClass = map[string][2]int{}
	}
	byClass := s.ByClass[class.Name]
	byClass[0]++
	switch took := answer.EndedAt.Sub(began); {
	case answer.Served():
		s.Served++
		s.Times.Add(took)
		if took <= class.Aim {
			s.InAim++
			s.ServedWorth += class.Worth
			byClass[1]++
		}
	case answer.Refused():
		s.Refused++
	default:
		s.Failed++
	}
	s.ByClass[class.Name] = byClass
}

// sleep waits for d. It returns false if ctx ends first.
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

// RunClosed runs a closed loop until ctx ends: conns connections, each of which sends the next order once it has
// the answer to the one before. The connections start evenly spread over ramp.
func (l *Load) RunClosed(ctx context.Context, conns int, ramp time.Duration) {
	var workers sync.WaitGroup
	run := l.runs.Add(1)
	for i := range conns {
		workers.Go(func() {
			r := rand.New(rand.NewPCG(l.Seed, run<<32|uint64(i)))
			var own *clientConn
			defer func() {
				if own != nil {
					own.Close()
				}
			}()
			if !sleep(ctx, ramp*time.Duration(i)/time.Duration(conns)) {
				return
			}
			for ctx.Err() == nil {
				l.runOrder(ctx, l.pickClass(r), func() (*clientConn, error) {
					if own != nil {
						return own, nil
					}
					c, err := dialNode(l.Addr, 2*time.Second)
					if err == nil {
						own = c
					} else {
						sleep(ctx, 10*time.Millisecond)
					}
					return c, err
				}, func(c *clientConn, keep bool) {
					if keep {
						own = c
						return
					}
					c.Close()
					own = nil
				})
			}
		})
	}
	workers.Wait()
}

// RunOpen runs an open loop: it begins rate orders a second on average, with exponential gaps and whatever becomes
// of earlier orders, until ctx ends. It then waits for the orders that are in flight. At most maxInFlight orders
// are in flight; further ones count as failed at once. behind is how far the loop fell behind its own schedule at
// worst.
func (l *Load) RunOpen(ctx context.Context, rate float64, maxInFlight int) (behind time.Duration) {
	var orders sync.WaitGroup
	defer func() {
		orders.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.idle {
			c.Close()
		}
		l.idle = nil
	}()
	r := rand.New(rand.NewPCG(l.Seed, l.runs.Add(1)<<32))
	nextAt := time.Now()
	inFlight := make(chan struct{}, maxInFlight)
	for {
		nextAt = nextAt.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(nextAt); wait > 0 {
			if !sleep(ctx, wait) {
				return behind
			}
		} else if behind = max(behind, -wait); ctx.Err() != nil {
			return behind
		}
		class := l.pickClass(r)
		select {
		case inFlight <- struct{}{}:
		default:
			l.mu.Lock()
			l.sums.Orders++
			l.sums.Failed++
			l.sums.OfferedWorth += class.Worth
			l.mu.Unlock()
			continue
		}
		orders.Go(func() {
			defer func() { <-inFlight }()
			// Not ctx: an order that has begun runs to its end.
			l.runOrder(context.Background(), class, l.takeConn, l.putConn)
		})
	}
}

// takeConn returns an idle connection that the node has not closed, or a new one.
func (l *Load) takeConn() (*clientConn, error) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		// The node may have closed the connection by now. A real client would send the request again in that case;
		// this one checks first.
		c.SetReadDeadline(time.Now().Add(10 * time.Microsecond))
		if _, err := c.r.Peek(1); !errors.Is(err, io.EOF) && isTimeout(err) {
			return c, nil
		}
		c.Close()
		return l.takeConn()
	}
	l.mu.Unlock()
	return dialNode(l.Addr, 2*time.Second)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// putConn keeps a connection for further requests, or closes it.
func (l *Load) putConn(c *clientConn, keep bool) {
	if !keep {
		c.Close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, c)
}
