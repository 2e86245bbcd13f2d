package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/ledger"
	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

var okText = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

func answerOK(context.Context, string, []byte, time.Duration) (ledger.State, []byte) {
	return ledger.Done, okText
}

// sites are a near and a far one, with a wire between.
type sites struct {
	t          testing.TB
	a, b       *standin.Authority
	near, far  *Keeper
	server     *Server
	wire       *standin.Wire
	dialer     *Dialer
	runs       atomic.Int64
	handle     atomic.Pointer[Handle]
	serverDone chan error
}

// stall has the far side begin one request, and end it once let is closed.
func (s *sites) stall() (began, let chan struct{}) {
	began, let = make(chan struct{}), make(chan struct{})
	s.answer(func(context.Context, string, []byte, time.Duration) (ledger.State, []byte) {
		close(began)
		<-let
		return ledger.Done, okText
	})
	return began, let
}

func newSites(t testing.TB) *sites {
	t.Helper()
	s := &sites{t: t}
	var err error
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	s.a, err = standin.NewAuthority()
	must(err)
	s.b, err = standin.NewAuthority()
	must(err)
	later := time.Now().Add(time.Hour)
	certA, _, _, err := s.a.Issue("hall-a.example.org", later)
	must(err)
	certB, _, _, err := s.b.Issue("hall-b.example.org", later)
	must(err)
	s.far = NewKeeper(&Identity{Site: "hall-b.example.org", Certificate: certB, Peers: []Peer{{Name: "hall-a.example.org", Roots: s.a.Roots()}}})
	s.answer(answerOK)
	s.start("127.0.0.1:0")
	s.wire, err = standin.NewWire(s.server.tr.Conn.LocalAddr().String())
	must(err)
	s.near = NewKeeper(&Identity{Site: "hall-a.example.org", Certificate: certA,
		Peers: []Peer{{Name: "hall-b.example.org", Roots: s.b.Roots(), Addresses: []string{s.wire.Addr}}}})
	s.dialer, err = NewDialer(DialerOptions{Keeper: s.near, Log: testkit.Quiet})
	must(err)
	t.Cleanup(func() {
		s.dialer.Close()
		s.wire.Close()
		s.stop()
	})
	return s
}

func (s *sites) answer(h Handle) { s.handle.Store(&h) }

func (s *sites) start(addr string) {
	s.t.Helper()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.server, err = NewServer(udp, ServerOptions{Keeper: s.far, Credit: func() int { return 100 }, Log: testkit.Quiet,
		Handle: func(ctx context.Context, site string, request []byte, left time.Duration) (ledger.State, []byte) {
			s.runs.Add(1)
			return (*s.handle.Load())(ctx, site, request, left)
		}})
	if err != nil {
		s.t.Fatal(err)
	}
	server := s.server
	s.serverDone = make(chan error, 1)
	done := s.serverDone
	go func() { done <- server.Serve() }()
}

func (s *sites) stop() {
	s.server.Close()
	<-s.serverDone
}

// noise is how late a busy machine may make a test's own goroutine; rig gateway judges by the clients' clocks.
const noise = 500 * time.Millisecond

func request(class string, left time.Duration) *core.Request {
	return &core.Request{Arrived: decide.RequestArrived{ID: "q", Class: class}, Deadline: time.Now().Add(left), Method: "POST",
		URL: &url.URL{Path: "/" + class, Host: "h"}, Header: http.Header{"X-Correlation-Id": {"q"}}, Body: []byte("body")}
}

// offer waits until the far side takes something.
func (s *sites) offer(r *core.Request, effect decide.Effect) core.HandOff {
	s.t.Helper()
	for end := time.Now().Add(testkit.Patient); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c := s.dialer.Offer(r, effect, false); c != nil {
			return c
		}
	}
	s.t.Fatal("nothing may cross")
	return nil
}

func (s *sites) settled() bool {
	s.dialer.mu.Lock()
	defer s.dialer.mu.Unlock()
	return len(s.dialer.open) == 0 && s.dialer.settled == s.dialer.next
}

// A hand-off arrives as it is, with the time that is left, and its answer comes back.
func TestHandoff(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	got := make(chan string, 1)
	s.answer(func(_ context.Context, site string, text []byte, left time.Duration) (ledger.State, []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			t.Error(err)
			return ledger.Refused, nil
		}
		var body bytes.Buffer
		body.ReadFrom(r.Body)
		got <- fmt.Sprint(site, " ", r.Method, " ", r.URL.Path, " ", r.Header.Get("X-Correlation-Id"), " ", body.String(), " ", left > 8*time.Second && left < 10*time.Second)
		return ledger.Done, []byte("HTTP/1.1 200 OK\r\nX-Of: b\r\nContent-Length: 2\r\n\r\nok")
	})
	a, how := s.offer(request("order", 10*time.Second), decide.Unsafe).Run(t.Context())
	if how != core.HandOffServed || a.Status != 200 || string(a.Body) != "ok" || a.Header.Get("X-Of") != "b" {
		t.Errorf("%v, %+v", how, a)
	}
	if text := <-got; text != "hall-a.example.org POST /order q body true" {
		t.Errorf("the far side got %q", text)
	}
	if !s.settled() {
		t.Error("the number is not settled")
	}
}

// The link goes silent while the far side runs a hand-off, and comes back: the answer is asked for, nothing runs twice.
func TestAnswerAfterSilence(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, let := s.stall()
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	go func() {
		<-began
		s.wire.Cut(true, true)
		close(let)
		for up := true; up; time.Sleep(10 * time.Millisecond) { // until the near side has given the connection up
			s.dialer.mu.Lock()
			up = s.dialer.sites[0].paths[0].session != nil
			s.dialer.mu.Unlock()
		}
		s.wire.Cut(false, false)
	}()
	if a, how := c.Run(t.Context()); how != core.HandOffServed || string(a.Body) != "ok" || s.runs.Load() != 1 {
		t.Errorf("%v, %+v, %d runs", how, a, s.runs.Load())
	}
}

// A node that ends stays until the near side has the last answers, also where what carries them has to be sent again: they were dropped with the
// connection, and their clients waited for them to the end of their time.
func TestDrainDeliversAnswers(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, let := s.stall()
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	served := make(chan core.HandOffResult, 1)
	go func() {
		_, how := c.Run(t.Context())
		served <- how
	}()
	<-began
	s.wire.Cut(false, true)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.server.Drain(time.Now().Add(testkit.Patient))
		s.server.Close()
	}()
	close(let)
	testkit.Until(t, "the hand-off does not end", func() bool { _, _, _, running := s.server.Size(); return running == 0 })
	select {
	case <-drained:
		t.Error("it has ended, and the near side has no answer")
	case <-time.After(10 * drainLook): // a path that loses what is sent, for a moment
	}
	s.wire.Cut(false, false)
	if how := <-served; how != core.HandOffServed {
		t.Errorf("%v", how)
	}
	<-drained
}

// A near side that has gone holds up nobody's end for long.
func TestDrainWithoutNearSide(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, let := s.stall()
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	ctx, leave := context.WithCancel(t.Context())
	crossing := make(chan struct{})
	go func() { defer close(crossing); c.Run(ctx) }()
	<-began
	s.wire.Cut(true, true)
	close(let)
	from := time.Now()
	s.server.Drain(from.Add(testkit.Patient))
	if took := time.Since(from); took > testkit.Patient/2 {
		t.Errorf("it takes %v, %v wanted", took, ackWait)
	}
	leave()
	<-crossing
}

// A hand-off that never arrived is fenced by the question, and so has not run.
func TestNeverArrived(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	s.wire.Cut(true, false)
	back := time.AfterFunc(2*silence, func() { s.wire.Cut(false, false) })
	defer back.Stop()
	if _, how := c.Run(t.Context()); how != core.HandOffNotRun || s.runs.Load() != 0 {
		t.Errorf("%v, %d runs", how, s.runs.Load())
	}
}

// Cut for good: doubt, within the client's time; never later, and never called a refusal.
func TestCutForGood(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began := make(chan struct{})
	s.answer(func(ctx context.Context, _ string, _ []byte, _ time.Duration) (ledger.State, []byte) {
		close(began)
		s.wire.Cut(true, true)
		<-ctx.Done()
		return ledger.Failed, nil
	})
	r := request("order", 1500*time.Millisecond)
	if _, how := s.offer(r, decide.Unsafe).Run(t.Context()); how != core.HandOffUncertain || time.Now().After(r.Deadline.Add(noise)) {
		t.Errorf("%v, %v after the client's time", how, time.Since(r.Deadline))
	}
	<-began
}

// The far node dies and comes back with an empty ledger: what it knew is gone, and that is doubt, at once.
func TestFarNodeRestarts(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	addr := s.server.tr.Conn.LocalAddr().String()
	s.answer(func(ctx context.Context, _ string, _ []byte, _ time.Duration) (ledger.State, []byte) {
		<-ctx.Done()
		return ledger.Failed, nil
	})
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	go func() {
		for s.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		s.wire.Cut(true, true) // it dies without a word
		s.stop()
		s.start(addr)
		s.wire.Cut(false, false)
	}()
	began := time.Now()
	if _, how := c.Run(t.Context()); how != core.HandOffUncertain || time.Since(began) > testkit.Patient/2 {
		t.Errorf("%v after %v", how, time.Since(began))
	}
	if s.runs.Load() != 1 {
		t.Errorf("%d runs", s.runs.Load())
	}
}

// The link breaks at every moment of a hand-off whose request and answer take many datagrams, in either direction or both, and
// comes back in time or not. It runs once at most, "never" means never, and an end comes within the client's time.
func TestCutAtEveryMoment(t *testing.T) {
	t.Parallel()
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("x", 100<<10)))
	for _, way := range []struct {
		name          string
		toFar, toNear bool
	}{{"both", true, true}, {"to far", true, false}, {"to near", false, true}} {
		for _, moment := range []string{"before", "within the request", "running", "within the answer", "after the answer"} {
			for _, back := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/back=%v", way.name, moment, back), func(t *testing.T) {
					t.Parallel()
					s := newSites(t)
					cut := func(after int) {
						s.wire.CutAfter(after, way.toFar, way.toNear)
						if back {
							time.AfterFunc(300*time.Millisecond, func() { s.wire.Cut(false, false) })
						}
					}
					s.answer(func(context.Context, string, []byte, time.Duration) (ledger.State, []byte) {
						switch moment {
						case "running":
							cut(0)
							time.Sleep(50 * time.Millisecond)
						case "within the answer":
							cut(20)
						case "after the answer":
							cut(120)
						}
						return ledger.Done, answer
					})
					left := testkit.Patient
					if !back {
						left = 1500 * time.Millisecond
					}
					r := request("order", left)
					r.Body = make([]byte, 60<<10)
					c := s.offer(r, decide.Unsafe)
					switch moment {
					case "before":
						cut(0)
					case "within the request":
						cut(15)
					}
					a, how := c.Run(t.Context())
					runs := s.runs.Load()
					if time.Now().After(r.Deadline.Add(noise)) {
						t.Errorf("it ends %v after the client's time", time.Since(r.Deadline))
					}
					switch {
					case runs > 1, how == core.HandOffNotRun && runs > 0, how == core.HandOffServed && (runs != 1 || len(a.Body) != 100<<10):
						t.Errorf("%v after %d runs, %d bytes", how, runs, len(a.Body))
					case back && how == core.HandOffUncertain:
						t.Errorf("in doubt though the link came back")
					}
					// What was left behind may still come: it must not run once "never" has been said.
					s.wire.Cut(false, false)
					if how == core.HandOffNotRun {
						time.Sleep(200 * time.Millisecond)
						if s.runs.Load() > 0 {
							t.Error("it runs after all")
						}
					}
				})
			}
		}
	}
}

// A site that is known sends what makes no sense: it loses that stream or its connection, and others go on.
func TestMalformed(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	s.offer(request("order", testkit.Patient), decide.Unsafe).Run(t.Context())
	before := s.runs.Load()
	dial := func() *quic.Conn {
		t.Helper()
		addr := s.server.tr.Conn.LocalAddr().(*net.UDPAddr)
		c, err := quic.DialAddr(t.Context(), addr.String(), s.near.clientTLS("hall-b.example.org"), quicConfig(-1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.CloseWithError(0, "") })
		return c
	}
	hello := appendFrame(nil, typeHello, []uint64{version, 99, 1}, nil)
	send := func(c *quic.Conn, raw []byte) *quic.Stream {
		st, err := c.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		st.Write(raw)
		return st
	}
	for name, raw := range map[string][]byte{"noise": {0xff, 0x00, 0x13}, "a beat first": appendFrame(nil, typeBeat, []uint64{1, 1}, nil),
		"another version": appendFrame(nil, typeHello, []uint64{version + 1, 99, 1}, nil), "oversized": appendFrame(nil, typeHello, []uint64{version, 99, 1}, make([]byte, 1<<12))} {
		c := dial()
		send(c, raw)
		select {
		case <-c.Context().Done():
		case <-time.After(testkit.Patient):
			t.Errorf("%s on the control stream is borne", name)
		}
	}
	c := dial()
	send(c, hello)
	for name, raw := range map[string][]byte{"noise": {0x3f, 0x01}, "a hello": hello, "a hand-off without its time": appendFrame(nil, typeHandoff, []uint64{1, 1}, nil),
		"an oversized one": appendFrame(nil, typeHandoff, []uint64{1, 1, 9}, make([]byte, requestLimit))} {
		st := send(c, raw)
		st.SetReadDeadline(time.Now().Add(testkit.Patient))
		var broken *quic.StreamError
		if _, err := st.Read(make([]byte, 1)); !errors.As(err, &broken) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// It asks for a number that is another caller's: it learns nothing of it, and closes no door but its own.
	st := send(c, appendFrame(nil, typeAsk, []uint64{1, 0}, nil))
	_, f, text, err := readFrame(bufio.NewReader(st), answerLimit, 2, typeAnswer)
	if err != nil || ledger.State(f[1]) != ledger.Fenced || len(text) > 0 {
		t.Errorf("%v %q %v", f, text, err)
	}
	if s.runs.Load() != before {
		t.Error("something ran")
	}
	if _, how := s.offer(request("order", testkit.Patient), decide.Unsafe).Run(t.Context()); how != core.HandOffServed {
		t.Errorf("others: %v", how)
	}
}

// One that stalls blocks no other: each has a stream of its own.
func TestStalledBlocksNone(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, let := s.stall()
	first := s.offer(request("order", testkit.Patient), decide.Unsafe)
	ended := make(chan core.HandOffResult, 1)
	go func() { _, how := first.Run(t.Context()); ended <- how }()
	<-began
	s.answer(answerOK)
	for range 20 {
		if _, how := s.offer(request("order", testkit.Patient), decide.Unsafe).Run(t.Context()); how != core.HandOffServed {
			t.Errorf("%v beside one that stalls", how)
		}
	}
	if len(ended) > 0 {
		t.Error("the stalled one has ended")
	}
	close(let)
	if how := <-ended; how != core.HandOffServed {
		t.Errorf("the stalled one: %v", how)
	}
}

// A site is removed while a hand-off to it is out: that one is answered, and nothing new crosses.
func TestRemovedWithOneOut(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, let := s.stall()
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	go func() {
		<-began
		none := *s.near.Get()
		none.Peers = nil
		s.near.Set(&none)
		for s.dialer.Views()[0].Up {
			time.Sleep(time.Millisecond)
		}
		if s.dialer.Offer(request("order", testkit.Patient), decide.Unsafe, false) != nil {
			t.Error("a new one crosses")
		}
		close(let)
	}()
	if _, how := c.Run(t.Context()); how != core.HandOffServed {
		t.Errorf("%v", how)
	}
}

// A client that goes takes its hand-off with it.
func TestClientGone(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, gone := make(chan struct{}), make(chan struct{})
	s.answer(func(ctx context.Context, _ string, _ []byte, _ time.Duration) (ledger.State, []byte) {
		close(began)
		<-ctx.Done()
		close(gone)
		return ledger.Failed, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	s.offer(request("order", testkit.Patient), decide.Unsafe).Run(ctx)
	select {
	case <-gone:
	case <-time.After(testkit.Patient / 2):
		t.Error("the far side goes on")
	}
}

// Many at once, over a wire that loses a twentieth and takes its time: none blocks another, each is answered once.
func TestManyAtOnce(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	s.wire.Delay(2 * time.Millisecond)
	s.wire.Loss(50)
	var work sync.WaitGroup
	var served atomic.Int64
	for range 60 {
		c := s.offer(request("order", testkit.Patient), decide.Unsafe)
		work.Go(func() {
			if _, how := c.Run(t.Context()); how == core.HandOffServed {
				served.Add(1)
			}
		})
	}
	work.Wait()
	if served.Load() != 60 || s.runs.Load() != 60 || !s.settled() {
		t.Errorf("%d served, %d runs", served.Load(), s.runs.Load())
	}
}

// Both sides' authorities and certificates are replaced while a hand-off is out: it is answered, connections that are made from then
// on are good by the new ones only, and a site that is removed is let go.
func TestReplacedIdentity(t *testing.T) {
	t.Parallel()
	s := newSites(t)
	began, let := s.stall()
	c := s.offer(request("order", testkit.Patient), decide.Unsafe)
	old := *s.near.Get()
	go func() {
		<-began
		a, _ := standin.NewAuthority()
		certA, _, _, _ := a.Issue("hall-a.example.org", time.Now().Add(time.Hour))
		near, far := *s.near.Get(), *s.far.Get()
		near.Certificate, far.Peers = certA, []Peer{{Name: "hall-a.example.org", Roots: a.Roots()}}
		s.near.Set(&near)
		s.far.Set(&far)
		close(let)
	}()
	if _, how := c.Run(t.Context()); how != core.HandOffServed {
		t.Errorf("%v", how)
	}
	s.answer(answerOK)
	for keeper, good := range map[*Keeper]bool{s.near: true, NewKeeper(&old): false} {
		d, err := NewDialer(DialerOptions{Keeper: keeper, Log: testkit.Quiet})
		if err != nil {
			t.Fatal(err)
		}
		up := false
		for end := time.Now().Add(500 * time.Millisecond); !up && (time.Now().Before(end) || good && time.Now().Before(end.Add(testkit.Patient))); time.Sleep(time.Millisecond) {
			crossing := d.Offer(request("order", testkit.Patient), decide.Unsafe, false)
			if up = crossing != nil; up {
				crossing.Run(t.Context())
			}
		}
		if up != good {
			t.Errorf("up: %v, want %v", up, good)
		}
		d.Close()
	}
	none := *s.far.Get()
	none.Peers = nil
	s.far.Set(&none)
	for s.dialer.Views()[0].Up {
		time.Sleep(time.Millisecond)
	}
}

// Neither side talks to one whose certificate is expired, of another name, or by another site's authority.
func TestCertificates(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(s *sites) (id Identity){
		"expired": func(s *sites) Identity {
			id := *s.near.Get()
			id.Certificate, _, _, _ = s.a.Issue("hall-a.example.org", time.Now().Add(-time.Hour))
			return id
		},
		"another name": func(s *sites) Identity {
			id := *s.near.Get()
			id.Certificate, _, _, _ = s.a.Issue("hall-c.example.org", time.Now().Add(time.Hour))
			return id
		},
		"another authority": func(s *sites) Identity {
			id := *s.near.Get()
			id.Certificate, _, _, _ = s.b.Issue("hall-a.example.org", time.Now().Add(time.Hour))
			return id
		},
		"the far side by another authority": func(s *sites) Identity {
			id := *s.near.Get()
			id.Peers = []Peer{{Name: "hall-b.example.org", Roots: s.a.Roots(), Addresses: id.Peers[0].Addresses}}
			return id
		},
	} {
		s := newSites(t)
		s.offer(request("order", testkit.Patient), decide.Unsafe).Run(t.Context()) // it is up
		id := change(s)
		d, err := NewDialer(DialerOptions{Keeper: NewKeeper(&id), Log: testkit.Quiet})
		if err != nil {
			t.Fatal(err)
		}
		before := s.runs.Load()
		err = d.connect(d.sites[0].paths[0])
		if err == nil || !strings.Contains(err.Error(), "certificate") && !strings.Contains(err.Error(), "CRYPTO_ERROR") {
			t.Errorf("%s: %v", name, err)
		}
		if d.Offer(request("order", time.Second), decide.Unsafe, false) != nil || s.runs.Load() != before {
			t.Errorf("%s: a hand-off crossed", name)
		}
		d.Close()
	}
}

// BenchmarkHandoff is one hand-off after the other, with its answer; and 64 at a time.
func BenchmarkHandoff(b *testing.B) {
	for _, at := range []int{1, 64} {
		b.Run(fmt.Sprint(at), func(b *testing.B) {
			s := newSites(b)
			s.offer(request("order", testkit.Patient), decide.Unsafe).Run(b.Context())
			var work sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ReportAllocs()
			b.ResetTimer()
			for range at {
				work.Go(func() {
					for left.Add(-1) >= 0 {
						for {
							c := s.dialer.Offer(request("order", testkit.Patient), decide.Unsafe, false)
							if c == nil {
								time.Sleep(100 * time.Microsecond)
								continue
							}
							if _, how := c.Run(b.Context()); how != core.HandOffServed {
								b.Error(how)
							}
							break
						}
					}
				})
			}
			work.Wait()
		})
	}
}
