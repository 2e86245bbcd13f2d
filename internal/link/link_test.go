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

// sitePair is a sending and a receiving site in one process. The wire between them can delay, lose or cut datagrams.
type sitePair struct {
	t                                    testing.TB
	senderAuthority, receiverAuthority   *standin.Authority
	senderIdentities, receiverIdentities *IdentityStore
	server                               *Server
	wire                                 *standin.Wire
	dialer                               *Dialer
	runs                                 atomic.Int64 // hand-offs that the receiving site has started to handle
	handler                              atomic.Pointer[Handler]
	serverDone                           chan error
}

// blockHandler has the receiving site handle one request. started is closed when it begins; it ends once the test
// closes release.
func (s *sitePair) blockHandler() (started, release chan struct{}) {
	started, release = make(chan struct{}), make(chan struct{})
	s.setHandler(func(context.Context, string, []byte, time.Duration) (ledger.State, []byte) {
		close(started)
		<-release
		return ledger.Done, okText
	})
	return started, release
}

// newSitePair starts both sites, with certificates from two authorities.
func newSitePair(t testing.TB) *sitePair {
	t.Helper()
	pair := &sitePair{t: t}
	var err error
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	pair.senderAuthority, err = standin.NewAuthority()
	must(err)
	pair.receiverAuthority, err = standin.NewAuthority()
	must(err)
	later := time.Now().Add(time.Hour)
	certA, _, _, err := pair.senderAuthority.Issue("hall-a.example.org", later)
	must(err)
	certB, _, _, err := pair.receiverAuthority.Issue("hall-b.example.org", later)
	must(err)
	pair.receiverIdentities = NewIdentityStore(&Identity{Site: "hall-b.example.org", Certificate: certB, Peers: []Peer{{Name: "hall-a.example.org", Roots: pair.senderAuthority.Roots()}}})
	pair.setHandler(answerOK)
	pair.start("127.0.0.1:0")
	pair.wire, err = standin.NewWire(pair.server.transport.Conn.LocalAddr().String())
	must(err)
	pair.senderIdentities = NewIdentityStore(&Identity{Site: "hall-a.example.org", Certificate: certA,
		Peers: []Peer{{Name: "hall-b.example.org", Roots: pair.receiverAuthority.Roots(), Addresses: []string{pair.wire.Addr}}}})
	pair.dialer, err = NewDialer(DialerOptions{Identities: pair.senderIdentities, Log: testkit.DiscardLog})
	must(err)
	t.Cleanup(func() {
		pair.dialer.Close()
		pair.wire.Close()
		pair.stop()
	})
	return pair
}

// setHandler sets how the receiving site handles the hand-offs to come.
func (s *sitePair) setHandler(h Handler) { s.handler.Store(&h) }

// start starts the receiving site at a UDP address.
func (s *sitePair) start(addr string) {
	s.t.Helper()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.server, err = NewServer(udp, ServerOptions{Identities: s.receiverIdentities, Headroom: func() int { return 100 }, Log: testkit.DiscardLog,
		Handle: func(ctx context.Context, site string, request []byte, left time.Duration) (ledger.State, []byte) {
			s.runs.Add(1)
			return (*s.handler.Load())(ctx, site, request, left)
		}})
	if err != nil {
		s.t.Fatal(err)
	}
	server := s.server
	s.serverDone = make(chan error, 1)
	done := s.serverDone
	go func() { done <- server.Serve() }()
}

// stop closes the receiving site.
func (s *sitePair) stop() {
	s.server.Close()
	<-s.serverDone
}

// schedulingMargin is how late a goroutine of a test may run on a busy machine. The strict check of clients'
// deadlines is in rig gateway, by the clients' clocks.
const schedulingMargin = 500 * time.Millisecond

// request returns a request that has to be answered within left.
func request(class string, left time.Duration) *core.Request {
	return &core.Request{Arrived: decide.RequestArrived{ID: "q", Class: class}, Deadline: time.Now().Add(left), Method: "POST",
		URL: &url.URL{Path: "/" + class, Host: "h"}, Header: http.Header{"X-Correlation-Id": {"q"}}, Body: []byte("body")}
}

// offer offers a request until there is credit for it, and returns the hand-off.
func (s *sitePair) offer(r *core.Request, effect decide.Effect) core.HandOff {
	s.t.Helper()
	for deadline := time.Now().Add(testkit.WaitLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if handOff := s.dialer.Offer(r, effect, false); handOff != nil {
			return handOff
		}
	}
	s.t.Fatal("timed out: no hand-off was accepted")
	return nil
}

// allSettled reports whether all hand-offs have ended at the sending site.
func (s *sitePair) allSettled() bool {
	s.dialer.mu.Lock()
	defer s.dialer.mu.Unlock()
	return len(s.dialer.unsettled) == 0 && s.dialer.settledBelow == s.dialer.nextNumber
}

// Guards against hand-offs that change on the way: method, path, headers, body and time left arrive at the receiver,
// and the answer with its header comes back.
func TestHandoff(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	got := make(chan string, 1)
	s.setHandler(func(_ context.Context, site string, text []byte, left time.Duration) (ledger.State, []byte) {
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
		t.Errorf("got result %v, answer %+v; want HandOffServed and 200 ok", how, a)
	}
	if text := <-got; text != "hall-a.example.org POST /order q body true" {
		t.Errorf("the receiver got %q", text)
	}
	if !s.allSettled() {
		t.Error("the hand-off is still listed as unsettled after its end")
	}
}

// Guards against a lost answer or a second run when the link is cut while the receiver handles a hand-off. Once the
// link is back, the sender queries for the answer.
func TestAnswerAfterSilence(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	started, release := s.blockHandler()
	handOff := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	go func() {
		<-started
		s.wire.Cut(true, true)
		close(release)
		for up := true; up; time.Sleep(10 * time.Millisecond) { // until the sender has closed the connection
			s.dialer.mu.Lock()
			up = s.dialer.sites[0].paths[0].session != nil
			s.dialer.mu.Unlock()
		}
		s.wire.Cut(false, false)
	}()
	if a, how := handOff.Run(t.Context()); how != core.HandOffServed || string(a.Body) != "ok" || s.runs.Load() != 1 {
		t.Errorf("got result %v, answer %+v, %d runs; want HandOffServed, ok, 1 run", how, a, s.runs.Load())
	}
}

// Guards against answers lost at a shutdown. The last answers were written but dropped with the connection when their
// datagrams had to be sent again, and the clients waited until their deadlines. Drain has to wait for the
// acknowledgement.
func TestDrainDeliversAnswers(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	started, release := s.blockHandler()
	handOff := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	served := make(chan core.HandOffResult, 1)
	go func() {
		_, how := handOff.Run(t.Context())
		served <- how
	}()
	<-started
	s.wire.Cut(false, true)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.server.Drain(time.Now().Add(testkit.WaitLimit))
		s.server.Close()
	}()
	close(release)
	testkit.WaitFor(t, "the hand-off did not end in time", func() bool { _, _, _, running := s.server.Size(); return running == 0 })
	select {
	case <-drained:
		t.Error("Drain returned before the sender had the answer")
	case <-time.After(10 * drainPollInterval): // meanwhile the path loses everything that the receiver sends
	}
	s.wire.Cut(false, false)
	if how := <-served; how != core.HandOffServed {
		t.Errorf("got result %v, want HandOffServed", how)
	}
	<-drained
}

// Guards against a shutdown that hangs: when the sender is unreachable and can't acknowledge, Drain gives up after
// maxAckWait.
func TestDrainWithoutSender(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	started, release := s.blockHandler()
	handOff := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	ctx, leave := context.WithCancel(t.Context())
	crossing := make(chan struct{})
	go func() { defer close(crossing); handOff.Run(ctx) }()
	<-started
	s.wire.Cut(true, true)
	close(release)
	start := time.Now()
	s.server.Drain(start.Add(testkit.WaitLimit))
	if took := time.Since(start); took > testkit.WaitLimit/2 {
		t.Errorf("Drain took %v, want about %v", took, maxAckWait)
	}
	leave()
	<-crossing
}

// Guards against a needless uncertain result: a hand-off that never arrived is fenced by the sender's query, so the
// result is that it has not run.
func TestNeverArrived(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	handOff := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	s.wire.Cut(true, false)
	restore := time.AfterFunc(2*beatTimeout, func() { s.wire.Cut(false, false) })
	defer restore.Stop()
	if _, how := handOff.Run(t.Context()); how != core.HandOffNotRun || s.runs.Load() != 0 {
		t.Errorf("got result %v, %d runs; want HandOffNotRun, 0 runs", how, s.runs.Load())
	}
}

// Guards against a wrong or late result when the link is cut for good while the hand-off runs: the result is
// uncertain, by the client's deadline, and is not reported as a refusal.
func TestCutForGood(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	began := make(chan struct{})
	s.setHandler(func(ctx context.Context, _ string, _ []byte, _ time.Duration) (ledger.State, []byte) {
		close(began)
		s.wire.Cut(true, true)
		<-ctx.Done()
		return ledger.Failed, nil
	})
	r := request("order", 1500*time.Millisecond)
	if _, how := s.offer(r, decide.Unsafe).Run(t.Context()); how != core.HandOffUncertain || time.Now().After(r.Deadline.Add(schedulingMargin)) {
		t.Errorf("got result %v, %v after the client's deadline; want HandOffUncertain by the deadline", how, time.Since(r.Deadline))
	}
	<-began
}

// Guards against a wait until the deadline when the receiver crashes and restarts with an empty ledger. What became
// of the hand-off can't be known any more, so the result is uncertain, as soon as the new process has been reached.
func TestReceiverRestarts(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	addr := s.server.transport.Conn.LocalAddr().String()
	s.setHandler(func(ctx context.Context, _ string, _ []byte, _ time.Duration) (ledger.State, []byte) {
		<-ctx.Done()
		return ledger.Failed, nil
	})
	handOff := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	go func() {
		for s.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		s.wire.Cut(true, true) // the process ends without closing its connections
		s.stop()
		s.start(addr)
		s.wire.Cut(false, false)
	}()
	began := time.Now()
	if _, how := handOff.Run(t.Context()); how != core.HandOffUncertain || time.Since(began) > testkit.WaitLimit/2 {
		t.Errorf("got result %v after %v, want HandOffUncertain well before the deadline", how, time.Since(began))
	}
	if s.runs.Load() != 1 {
		t.Errorf("%d runs, want 1", s.runs.Load())
	}
}

// Guards against hand-offs that run twice, run after the sender was assured that they never will, or end after the
// client's deadline. The link is cut at each stage of a hand-off, whose request and answer take many datagrams, in
// one or both directions, and is restored in time or not.
func TestCutAtEveryMoment(t *testing.T) {
	t.Parallel()
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("x", 100<<10)))
	for _, direction := range []struct {
		name          string
		toFar, toNear bool
	}{{"both", true, true}, {"to far", true, false}, {"to near", false, true}} {
		for _, moment := range []string{"before", "within the request", "running", "within the answer", "after the answer"} {
			for _, restored := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/back=%v", direction.name, moment, restored), func(t *testing.T) {
					t.Parallel()
					pair := newSitePair(t)
					cut := func(after int) {
						pair.wire.CutAfter(after, direction.toFar, direction.toNear)
						if restored {
							time.AfterFunc(300*time.Millisecond, func() { pair.wire.Cut(false, false) })
						}
					}
					pair.setHandler(func(context.Context, string, []byte, time.Duration) (ledger.State, []byte) {
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
					left := testkit.WaitLimit
					if !restored {
						left = 1500 * time.Millisecond
					}
					req := request("order", left)
					req.Body = make([]byte, 60<<10)
					handOff := pair.offer(req, decide.Unsafe)
					switch moment {
					case "before":
						cut(0)
					case "within the request":
						cut(15)
					}
					answered, how := handOff.Run(t.Context())
					runs := pair.runs.Load()
					if time.Now().After(req.Deadline.Add(schedulingMargin)) {
						t.Errorf("the hand-off ended %v after the client's deadline", time.Since(req.Deadline))
					}
					switch {
					case runs > 1, how == core.HandOffNotRun && runs > 0, how == core.HandOffServed && (runs != 1 || len(answered.Body) != 100<<10):
						t.Errorf("result %v contradicts %d runs and an answer of %d bytes", how, runs, len(answered.Body))
					case restored && how == core.HandOffUncertain:
						t.Errorf("the result is uncertain although the link was restored")
					}
					// Delayed datagrams may still arrive. A hand-off that was reported as not run must not run then.
					pair.wire.Cut(false, false)
					if how == core.HandOffNotRun {
						time.Sleep(200 * time.Millisecond)
						if pair.runs.Load() > 0 {
							t.Error("the hand-off ran after it was reported as not run")
						}
					}
				})
			}
		}
	}
}

// Guards against a known site that sends malformed frames: it loses the stream or the connection, and other connections
// are not affected.
func TestMalformed(t *testing.T) {
	t.Parallel()
	pair := newSitePair(t)
	pair.offer(request("order", testkit.WaitLimit), decide.Unsafe).Run(t.Context())
	before := pair.runs.Load()
	dial := func() *quic.Conn {
		t.Helper()
		addr := pair.server.transport.Conn.LocalAddr().(*net.UDPAddr)
		conn, err := quic.DialAddr(t.Context(), addr.String(), pair.senderIdentities.clientTLS("hall-b.example.org"), quicConfig(-1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.CloseWithError(0, "") })
		return conn
	}
	hello := appendFrame(nil, typeHello, []uint64{version, 99, 1}, nil)
	send := func(conn *quic.Conn, raw []byte) *quic.Stream {
		stream, err := conn.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(raw)
		return stream
	}
	for name, raw := range map[string][]byte{"noise": {0xff, 0x00, 0x13}, "a beat first": appendFrame(nil, typeBeat, []uint64{1, 1}, nil),
		"another version": appendFrame(nil, typeHello, []uint64{version + 1, 99, 1}, nil), "oversized": appendFrame(nil, typeHello, []uint64{version, 99, 1}, make([]byte, 1<<12))} {
		conn := dial()
		send(conn, raw)
		select {
		case <-conn.Context().Done():
		case <-time.After(testkit.WaitLimit):
			t.Errorf("%s on the control stream: the connection was not closed", name)
		}
	}
	conn := dial()
	send(conn, hello)
	for name, raw := range map[string][]byte{"noise": {0x3f, 0x01}, "a hello": hello, "a hand-off without its time": appendFrame(nil, typeHandoff, []uint64{1, 1}, nil),
		"an oversized one": appendFrame(nil, typeHandoff, []uint64{1, 1, 9}, make([]byte, requestLimit))} {
		stream := send(conn, raw)
		stream.SetReadDeadline(time.Now().Add(testkit.WaitLimit))
		var broken *quic.StreamError
		if _, err := stream.Read(make([]byte, 1)); !errors.As(err, &broken) {
			t.Errorf("%s: got error %v, want a stream error", name, err)
		}
	}
	// It queries a number that another sender has used. It learns nothing about that hand-off, and fences only its
	// own number.
	stream := send(conn, appendFrame(nil, typeAsk, []uint64{1, 0}, nil))
	_, fields, text, err := readFrame(bufio.NewReader(stream), answerLimit, 2, typeAnswer)
	if err != nil || ledger.State(fields[1]) != ledger.Fenced || len(text) > 0 {
		t.Errorf("query for another sender's number: got fields %v, text %q, error %v; want fenced and no text", fields, text, err)
	}
	if pair.runs.Load() != before {
		t.Error("a malformed hand-off was run")
	}
	if _, how := pair.offer(request("order", testkit.WaitLimit), decide.Unsafe).Run(t.Context()); how != core.HandOffServed {
		t.Errorf("hand-off of another sender: got result %v, want HandOffServed", how)
	}
}

// Guards against one slow hand-off that blocks others on the same connection: each has a stream of its own.
func TestStalledBlocksNone(t *testing.T) {
	t.Parallel()
	pair := newSitePair(t)
	started, release := pair.blockHandler()
	first := pair.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	ended := make(chan core.HandOffResult, 1)
	go func() { _, how := first.Run(t.Context()); ended <- how }()
	<-started
	pair.setHandler(answerOK)
	for range 20 {
		if _, how := pair.offer(request("order", testkit.WaitLimit), decide.Unsafe).Run(t.Context()); how != core.HandOffServed {
			t.Errorf("got result %v beside a blocked hand-off, want HandOffServed", how)
		}
	}
	if len(ended) > 0 {
		t.Error("the blocked hand-off ended before its handler was released")
	}
	close(release)
	if how := <-ended; how != core.HandOffServed {
		t.Errorf("the blocked hand-off: got result %v, want HandOffServed", how)
	}
}

// Guards against hand-offs lost when a site is removed from the configuration: the one in flight is answered, and no
// new one is offered to the site.
func TestRemovedWithOneOut(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	started, release := s.blockHandler()
	c := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	go func() {
		<-started
		none := *s.senderIdentities.Get()
		none.Peers = nil
		s.senderIdentities.Set(&none)
		for s.dialer.Views()[0].Up {
			time.Sleep(time.Millisecond)
		}
		if s.dialer.Offer(request("order", testkit.WaitLimit), decide.Unsafe, false) != nil {
			t.Error("a new hand-off was accepted for a removed site")
		}
		close(release)
	}()
	if _, how := c.Run(t.Context()); how != core.HandOffServed {
		t.Errorf("got result %v, want HandOffServed", how)
	}
}

// Guards against wasted work: when a client disconnects, its hand-off is cancelled at the receiver.
func TestClientGone(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	began, gone := make(chan struct{}), make(chan struct{})
	s.setHandler(func(ctx context.Context, _ string, _ []byte, _ time.Duration) (ledger.State, []byte) {
		close(began)
		<-ctx.Done()
		close(gone)
		return ledger.Failed, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	s.offer(request("order", testkit.WaitLimit), decide.Unsafe).Run(ctx)
	select {
	case <-gone:
	case <-time.After(testkit.WaitLimit / 2):
		t.Error("the receiver still handles the hand-off of a disconnected client")
	}
}

// Guards against lost or repeated hand-offs under packet loss: 60 at once, over a wire with 2 ms delay that loses 5% of
// the datagrams, are each run and answered once.
func TestManyAtOnce(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	s.wire.Delay(2 * time.Millisecond)
	s.wire.Loss(50)
	var work sync.WaitGroup
	var served atomic.Int64
	for range 60 {
		c := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
		work.Go(func() {
			if _, how := c.Run(t.Context()); how == core.HandOffServed {
				served.Add(1)
			}
		})
	}
	work.Wait()
	if served.Load() != 60 || s.runs.Load() != 60 || !s.allSettled() {
		t.Errorf("%d served, %d runs, want 60 each and all settled", served.Load(), s.runs.Load())
	}
}

// Guards against a certificate rotation that breaks running hand-offs or leaves old certificates accepted. Authority
// and certificates are replaced during a hand-off: it is answered, and new connections need the new certificate. A
// site that is removed afterwards is disconnected.
func TestReplacedIdentity(t *testing.T) {
	t.Parallel()
	s := newSitePair(t)
	started, release := s.blockHandler()
	c := s.offer(request("order", testkit.WaitLimit), decide.Unsafe)
	old := *s.senderIdentities.Get()
	go func() {
		<-started
		a, _ := standin.NewAuthority()
		certA, _, _, _ := a.Issue("hall-a.example.org", time.Now().Add(time.Hour))
		near, far := *s.senderIdentities.Get(), *s.receiverIdentities.Get()
		near.Certificate, far.Peers = certA, []Peer{{Name: "hall-a.example.org", Roots: a.Roots()}}
		s.senderIdentities.Set(&near)
		s.receiverIdentities.Set(&far)
		close(release)
	}()
	if _, how := c.Run(t.Context()); how != core.HandOffServed {
		t.Errorf("got result %v, want HandOffServed", how)
	}
	s.setHandler(answerOK)
	for keeper, good := range map[*IdentityStore]bool{s.senderIdentities: true, NewIdentityStore(&old): false} {
		d, err := NewDialer(DialerOptions{Identities: keeper, Log: testkit.DiscardLog})
		if err != nil {
			t.Fatal(err)
		}
		up := false
		for end := time.Now().Add(500 * time.Millisecond); !up && (time.Now().Before(end) || good && time.Now().Before(end.Add(testkit.WaitLimit))); time.Sleep(time.Millisecond) {
			crossing := d.Offer(request("order", testkit.WaitLimit), decide.Unsafe, false)
			if up = crossing != nil; up {
				crossing.Run(t.Context())
			}
		}
		if up != good {
			t.Errorf("connected: %v, want %v", up, good)
		}
		d.Close()
	}
	none := *s.receiverIdentities.Get()
	none.Peers = nil
	s.receiverIdentities.Set(&none)
	for s.dialer.Views()[0].Up {
		time.Sleep(time.Millisecond)
	}
}

// Guards against connections with a certificate that has expired, is for another name, or is by another site's
// authority.
func TestCertificates(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(s *sitePair) (id Identity){
		"expired": func(s *sitePair) Identity {
			id := *s.senderIdentities.Get()
			id.Certificate, _, _, _ = s.senderAuthority.Issue("hall-a.example.org", time.Now().Add(-time.Hour))
			return id
		},
		"another name": func(s *sitePair) Identity {
			id := *s.senderIdentities.Get()
			id.Certificate, _, _, _ = s.senderAuthority.Issue("hall-c.example.org", time.Now().Add(time.Hour))
			return id
		},
		"another authority": func(s *sitePair) Identity {
			id := *s.senderIdentities.Get()
			id.Certificate, _, _, _ = s.receiverAuthority.Issue("hall-a.example.org", time.Now().Add(time.Hour))
			return id
		},
		"the receiver by another authority": func(s *sitePair) Identity {
			id := *s.senderIdentities.Get()
			id.Peers = []Peer{{Name: "hall-b.example.org", Roots: s.senderAuthority.Roots(), Addresses: id.Peers[0].Addresses}}
			return id
		},
	} {
		s := newSitePair(t)
		s.offer(request("order", testkit.WaitLimit), decide.Unsafe).Run(t.Context()) // the first sender is connected
		id := change(s)
		dialer, err := NewDialer(DialerOptions{Identities: NewIdentityStore(&id), Log: testkit.DiscardLog})
		if err != nil {
			t.Fatal(err)
		}
		before := s.runs.Load()
		err = dialer.connect(dialer.sites[0].paths[0])
		if err == nil || !strings.Contains(err.Error(), "certificate") && !strings.Contains(err.Error(), "CRYPTO_ERROR") {
			t.Errorf("%s: got error %v, want a certificate error", name, err)
		}
		if dialer.Offer(request("order", time.Second), decide.Unsafe, false) != nil || s.runs.Load() != before {
			t.Errorf("%s: a hand-off was accepted or run", name)
		}
		dialer.Close()
	}
}

// BenchmarkHandoff measures hand-offs with their answers: one after the other, and 64 at a time.
func BenchmarkHandoff(b *testing.B) {
	for _, at := range []int{1, 64} {
		b.Run(fmt.Sprint(at), func(b *testing.B) {
			s := newSitePair(b)
			s.offer(request("order", testkit.WaitLimit), decide.Unsafe).Run(b.Context())
			var work sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ReportAllocs()
			b.ResetTimer()
			for range at {
				work.Go(func() {
					for left.Add(-1) >= 0 {
						for {
							c := s.dialer.Offer(request("order", testkit.WaitLimit), decide.Unsafe, false)
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
