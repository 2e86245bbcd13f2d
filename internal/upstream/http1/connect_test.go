package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
	"starlingvalve/internal/upstream/reuse"
)

// A connection is not reused before its cooldown after a response is over, however many other connections are cooling
// down: a second response some milliseconds after the first would be taken for the response to the next request. The
// server measures the time between response and next request. Requests wait for the cooldown instead of making new
// connections, except for one more when waits go on.
func TestRest(t *testing.T) {
	t.Parallel()
	var early atomic.Int64
	addr := testkit.Server(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		var answered time.Time
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if !answered.IsZero() && time.Since(answered) < reuse.Rest {
				early.Add(1)
			}
			answered = time.Now() // taken before writing: the node starts its cooldown later
			io.WriteString(c, testkit.OK("x"))
		}
	})
	for _, open := range []int{1, 2, 4, 5, 8} {
		b := New(testkit.Settings(), 192, 10, nil, testkit.Quiet)
		b.Update(testkit.Known(addr))
		h := b.find(1)
		var conns []*conn
		for range open {
			c, err := b.connect(t.Context(), h, get(testkit.Patient))
			if err != nil {
				t.Fatal(err)
			}
			c.used = true
			conns = append(conns, c)
		}
		for _, c := range conns {
			b.release(h, c, true)
		}
		for i := range max(8, 2*open) {
			time.Sleep(time.Duration(i%4) * reuse.Rest / 4) // part of the cooldown is over
			if r := b.do(t.Context(), h, get(testkit.Patient)); r.Code != decide.OK {
				t.Errorf("%d open, request %d: %v (%v)", open, i, r.Code, r.Err)
			}
		}
		b.mu.Lock()
		if b.open > open+1 {
			t.Errorf("%d connections are open, want at most one more than the %d before", b.open, open)
		}
		b.mu.Unlock()
		b.Update(core.List{Full: true})
	}
	if n := early.Load(); n > 0 {
		t.Errorf("%d requests came on connections before the end of their cooldown", n)
	}
}

const (
	latest = 20 * time.Millisecond // the latest second response, after the first, that must not reach another request
	heldUp = 4 * time.Millisecond  // the longest delay by the machine of a response sent in time
)

// strayResponses counts second responses. The body of each is the path of no request.
type strays struct {
	mu     sync.Mutex
	sent   int             // sent with the wanted delay, or at most scheduleDelay more
	missed map[string]bool // by body: the machine delayed it so much that it may reach another request
}

// send writes a second response with this text as its body, delay after the first one, which was written at answered.
// writeLock guards writes to the connection.
func (s *strays) send(c net.Conn, turn *sync.Mutex, answered time.Time, late time.Duration, text string) {
	time.Sleep(time.Until(answered.Add(late)))
	turn.Lock()
	defer turn.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(answered) > late+heldUp/2 {
		return // the machine is late: the response would not have the wanted delay
	}
	io.WriteString(c, testkit.OK(text))
	s.missed[text] = time.Since(answered) >= late+heldUp
	s.sent++
}

// A second response up to 20 ms after the first never reaches another request, with any number of concurrent requests
// and any state of the pool: empty, at its bound, with connections that are cooling down, have cooled down, or were
// never used.
func TestLateSecondAnswer(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{0, 4 * time.Millisecond, 12 * time.Millisecond, latest} {
		for _, callers := range []int{1, 3, 8} {
			for _, limit := range []int{3, 64} {
				t.Run(fmt.Sprint(late, " ", callers, " of ", limit), func(t *testing.T) {
					t.Parallel()
					lateSecondAnswers(t, late, callers, limit)
				})
			}
		}
	}
}

func lateSecondAnswers(t *testing.T, late time.Duration, callers, limit int) {
	s := strays{missed: map[string]bool{}}
	together := min(callers, max(2, limit/dialPart)) // requests that the server answers at the same moment
	var arrived, count atomic.Int64
	answer := make(chan struct{}, together)
	addr := testkit.Server(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		var turn sync.Mutex
		var open sync.WaitGroup
		defer open.Wait()
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n := count.Add(1)
			if req.URL.Path == "/together" {
				if arrived.Add(1)%int64(together) == 0 {
					for range together {
						answer <- struct{}{}
					}
				}
				<-answer
			} else if n%3 == 0 || strings.HasPrefix(req.URL.Path, "/after") {
				// Keep the request open for a second response, should its connection have been reused too early.
				time.Sleep(latest + heldUp)
			}
			turn.Lock()
			answered := time.Now()
			io.WriteString(c, testkit.OK(req.URL.Path))
			turn.Unlock()
			if n%2 == 0 || req.URL.Path == "/together" {
				open.Go(func() { s.send(c, &turn, answered, late, fmt.Sprint("stray ", n)) })
			}
		}
	})
	b := New(testkit.Settings(), 192, limit, nil, testkit.Quiet)
	b.Update(testkit.Known(addr))
	h := b.find(1)
	send := func(path string) core.Result {
		x := get(testkit.Patient)
		x.URL.Path = path
		return b.do(t.Context(), h, x)
	}
	ask := func(path string) {
		r := send(path)
		for path == "/together" && errors.Is(r.Err, errTooMany) { // at the bound; the other requests wait for this one
			time.Sleep(time.Millisecond)
			r = send(path)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		switch text := string(r.Body); {
		case r.Code == decide.Moot && errors.Is(r.Err, errTooMany): // the bound on connections is reached
		case r.Code == decide.OK && s.missed[text]:
		case r.Code != decide.OK || text != path:
			t.Errorf("%s: %v %q (%v)", path, r.Code, text, r.Err)
		}
	}
	for round := range 4 {
		var all sync.WaitGroup
		for caller := range callers {
			all.Go(func() {
				for i := range 4 {
					time.Sleep(time.Duration((caller+i)%5) * latest / 5) // for a part of the cooldown
					ask(fmt.Sprintf("/%d/%d/%d", round, caller, i))
				}
			})
		}
		all.Wait()
		for range together {
			all.Go(func() { ask("/together") })
		}
		all.Wait()
		// All connections are cooling down now; requests are made one after the other.
		for i := range 3 {
			time.Sleep(latest / 3)
			ask(fmt.Sprintf("/after/%d/%d", round, i))
		}
	}
	b.Update(core.List{Full: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == 0 {
		t.Error("no second response was sent in time; the test shows nothing")
	}
}

// A request that ends while it waits for a connection's cooldown ends at once: nothing is written, and the connection
// goes back to the pool with its idle time unchanged.
func TestEndsWhileConnectionRests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*Transport, *core.Exchange, context.CancelFunc)
		rests  time.Duration // so long that the request ends first on any machine
		want   decide.OutcomeCode
		open   int
	}{
		"called off": {func(_ *Transport, _ *core.Exchange, cancel context.CancelFunc) { cancel() }, time.Hour, decide.Cancelled, 1},
		"unwanted":   {func(_ *Transport, x *core.Exchange, _ context.CancelFunc) { x.Wanted.(*ending).end() }, time.Hour, decide.Moot, 1},
		"gone from the list": {func(b *Transport, _ *core.Exchange, _ context.CancelFunc) { b.Update(core.List{Full: true}) }, 2 * time.Second,
			decide.ConnectFailed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got atomic.Int64
			addr := testkit.Server(t, testkit.Answering(func(*http.Request, []byte) string { got.Add(1); return testkit.OK("x") }))
			b := New(testkit.Settings(), 192, 1, nil, testkit.Quiet) // at most one connection
			b.Update(testkit.Known(addr))
			h := b.find(1)
			if r := b.do(t.Context(), h, get(testkit.Patient)); r.Code != decide.OK {
				t.Fatalf("%v (%v)", r.Code, r.Err)
			}
			before, since := got.Load(), time.Now().Add(c.rests-reuse.Rest)
			b.mu.Lock()
			h.idle[0].since = since
			b.mu.Unlock()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			x := get(3 * c.rests)
			wanted, end := context.WithCancel(t.Context())
			defer end()
			x.Wanted = &ending{wanted, end}
			done := make(chan core.Result, 1)
			go func() { done <- b.do(ctx, h, x) }()
			testkit.Until(t, "the connection is not waited for", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(h.idle) == 0 || len(done) > 0
			})
			c.change(b, x, cancel)
			if r := <-done; r.Code != c.want || got.Load() != before {
				t.Errorf("outcome %v (%v), want %v; %d requests were written, want none", r.Code, r.Err, c.want, got.Load()-before)
			}
			b.mu.Lock()
			if b.open != c.open || len(h.idle) != c.open || c.open > 0 && !h.idle[0].since.Equal(since) {
				t.Errorf("%d connections open, %d of them idle; want %d, with an unchanged idle time", b.open, len(h.idle), c.open)
			}
			b.mu.Unlock()
			b.Update(core.List{Full: true})
		})
	}
}

// A request with little time left, compared to the cooldown of the idle connection, does not wait for it: a new
// connection is made.
func TestLittleTimeIsNotSpentOnRest(t *testing.T) {
	t.Parallel()
	addr := testkit.Server(t, testkit.Answering(func(*http.Request, []byte) string { return testkit.OK("x") }))
	for name, change := range map[string]func(*core.Exchange){
		"the deadline":     func(*core.Exchange) {},
		"the keyed window": func(x *core.Exchange) { x.WriteBy, x.Deadline = x.Deadline, time.Now().Add(3*time.Hour) },
	} {
		b := New(testkit.Settings(), 192, 10, nil, testkit.Quiet)
		b.Update(testkit.Known(addr))
		h := b.find(1)
		if r := b.do(t.Context(), h, get(testkit.Patient)); r.Code != decide.OK {
			t.Fatalf("%v (%v)", r.Code, r.Err)
		}
		since := time.Now().Add(time.Hour)
		h.idle[0].since = since
		x := get(testkit.Patient)
		change(x)
		if r := b.do(t.Context(), h, x); r.Code != decide.OK || b.open != 2 || !h.idle[0].since.Equal(since) {
			t.Errorf("%s: outcome %v (%v), %d connections open, want 2", name, r.Code, r.Err, b.open)
		}
		b.Update(core.List{Full: true})
	}
}

// endableContext is a context that a test can end.
type ending struct {
	context.Context
	end context.CancelFunc
}

// A server whose connection table is full refuses a new connection. The request then uses one that has become idle in
// the meantime, and the refusal does not count as a failure of the server.
func TestRefusedHandshakeFallsBack(t *testing.T) {
	t.Parallel()
	addr := testkit.Server(t, testkit.Answering(func(*http.Request, []byte) string { return testkit.OK("x") }))
	// The local address of this connection refuses others: nobody listens there, and nobody else can while it is open.
	refused, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	b := New(testkit.Settings(), 192, 10, nil, testkit.Quiet)
	b.Update(testkit.Known(refused.LocalAddr().String()))
	h := b.find(1)
	if r := b.do(t.Context(), h, get(testkit.Patient)); r.Code != decide.ConnectFailed || !strings.Contains(r.Err.Error(), "refused") {
		t.Fatalf("with no idle connection: outcome %v (%v), want a refused connection", r.Code, r.Err)
	}
	tcp, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := &conn{Conn: tcp, host: h, since: time.Now(), used: true}
	c.r = bufio.NewReader(c)
	b.mu.Lock()
	b.open++
	b.mu.Unlock()
	x := get(testkit.Patient)
	x.Left = func(time.Duration) bool { // called once the handshake has failed: another exchange ends at this moment
		if c != nil {
			b.release(h, c, true)
			c = nil
		}
		return false
	}
	if r := b.do(t.Context(), h, x); r.Code != decide.OK || b.open != 1 {
		t.Errorf("with a connection idle by then: outcome %v (%v), %d connections open, want 1", r.Code, r.Err, b.open)
	}
	b.Update(core.List{Full: true})
}
