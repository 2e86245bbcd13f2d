package core

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"testing"
	"time"

	"starlingvalve/decide"
)

const testTimeout = 20 * time.Second

var quiet = slog.New(slog.DiscardHandler)

// fakePorts is a fake of all ports at once, which reports each call on calls.
type fakePorts struct {
	calls chan string
	reply chan Result // results of Do, which blocks until there is one or it is cancelled
	lists chan List   // lists for Watch and Follow
}

func newFakePorts() *fakePorts {
	return &fakePorts{calls: make(chan string, 100), reply: make(chan Result, 10), lists: make(chan List, 10)}
}

func (f *fakePorts) Update(l List)                { f.calls <- fmt.Sprint("update ", l.Version) }
func (f *fakePorts) CloseIdle(id decide.ServerID) { f.calls <- fmt.Sprint("close ", id) }
func (f *fakePorts) Find(id decide.ServerID) Server {
	if id != 1 {
		return nil
	}
	return f
}

func (f *fakePorts) Do(ctx context.Context, x *Exchange) Result {
	f.calls <- "do " + x.URL.Path
	select {
	case r := <-f.reply:
		return r
	case <-ctx.Done():
		f.calls <- "called off"
		return Result{Code: decide.Cancelled, Err: ctx.Err()}
	}
}

func (f *fakePorts) Probe(_ context.Context, path string) Result {
	f.calls <- "probe " + path
	return Result{Code: decide.OK}
}

func (f *fakePorts) Fetch(context.Context) (List, error) {
	f.calls <- "fetch"
	return List{Version: 3, Full: true, Entries: oneServer}, nil
}

func (f *fakePorts) Watch(ctx context.Context, since *uint64, news func(List)) error {
	from := "nothing"
	if since != nil {
		from = fmt.Sprint(*since)
	}
	f.calls <- "watch from " + from
	for {
		select {
		case l := <-f.lists:
			news(l)
		case <-ctx.Done():
			f.calls <- "watch ended"
			return ctx.Err()
		}
	}
}

func (f *fakePorts) Follow(ctx context.Context, since *uint64, news func(List), _ func(error)) {
	f.Watch(ctx, since, news)
}
func (f *fakePorts) Close() { f.calls <- "close membership" }
func (f *fakePorts) Send(to int, toAll bool, data []byte) {
	f.calls <- fmt.Sprintf("send %d %v %s", to, toAll, data)
}

// expect waits for a call and skips others.
func (f *fakePorts) expect(t *testing.T, want string) {
	t.Helper()
	end := time.After(testTimeout)
	for {
		select {
		case got := <-f.calls:
			if got == want {
				return
			}
		case <-end:
			t.Fatalf("the call %q does not come", want)
		}
	}
}

var oneServer = []Entry{{Addr: "127.0.0.1:1", Server: decide.Server{ID: 1, Zone: "z", State: decide.Ready, Size: 1}}}

func loopSettings() decide.Settings {
	return decide.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayCancel: true,
		MayMessage: true, MayProbe: true,
		ConnectTimeout: time.Second, ReportVia: decide.ReportProbe, MaxListRequestInterval: 10 * time.Second,
		ListOnRequest: true,
		Classes: []decide.Class{{Name: "read", Worth: 1, Aim: time.Second, Deadline: 10 * time.Second, Effect: decide.Safe},
			{Name: "order", Worth: 1, Aim: time.Second, Deadline: 10 * time.Second, Effect: decide.Unsafe}}}
}

func startLoop(t *testing.T, settings decide.Settings, ports *fakePorts) *Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := New(ctx, Options{Settings: settings, Seed: 1, Transport: ports, Membership: ports, Messenger: ports,
		Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); loop.Run(List{Version: 1, Entries: oneServer}) }()
	t.Cleanup(func() { cancel(); <-done })
	return loop
}

func newTestRequest(class, id string, patience time.Duration) *Request {
	return &Request{Arrived: decide.RequestArrived{ID: decide.RequestID(id), Class: class},
		Deadline: time.Now().Add(patience), Method: http.MethodGet,
		URL: &url.URL{Path: "/" + class, Host: "h"}}
}

// The loop carries out every action, including those that the module does not use today.
func TestActions(t *testing.T) {
	t.Parallel()
	ports := newFakePorts()
	loop := startLoop(t, loopSettings(), ports)
	act := func(a decide.Action) { loop.post(func() { loop.execute(a) }) }
	act(decide.Probe{Server: 1})
	ports.expect(t, "probe /stats")
	act(decide.Probe{Server: 9}) // not listed
	act(decide.CloseIdle{Server: 1})
	ports.expect(t, "close 1")
	act(decide.FetchList{})
	ports.expect(t, "fetch")
	ports.expect(t, "update 3")
	act(decide.Subscribe{On: true})
	ports.expect(t, "watch from 3")
	ports.lists <- List{Version: 4}
	ports.expect(t, "update 4")
	act(decide.Subscribe{On: false})
	ports.expect(t, "watch ended")
	act(decide.SendMessage{To: 1, Data: []byte("one")})
	ports.expect(t, "send 1 false one")
	act(decide.Log{Line: "line"})

	answered := make(chan Answer, 1)
	go func() { a, _ := loop.Do(t.Context(), newTestRequest("order", "q", testTimeout)); answered <- a }()
	ports.expect(t, "do /order")
	if a, _ := loop.Do(t.Context(), newTestRequest("order", "q", testTimeout)); a.Status != http.StatusConflict {
		t.Errorf("the same id again: status %d", a.Status)
	}
	act(decide.CancelAttempt{ID: "q", Attempt: 7})
	act(decide.CancelAttempt{ID: "q", Attempt: 0})
	ports.expect(t, "called off")
	if a := <-answered; a.Status != http.StatusBadGateway {
		t.Errorf("status %d: a cancelled attempt may have run", a.Status)
	}
	act(decide.Send{ID: "q", Server: 1}) // the request is over: the attempt ends as Moot, and nothing is sent
	act(decide.Refuse{ID: "q"})
	act(decide.Fail{ID: "nobody"})
	fired := make(chan struct{})
	loop.post(func() { loop.execute(decide.SetTimer{After: time.Millisecond, Token: 9}); close(fired) })
	<-fired
	for left := true; left; time.Sleep(time.Millisecond) {
		loop.post(func() {
			left = false
			for _, timer := range loop.timers {
				left = left || timer.token == 9
			}
		})
	}
}

// If a client leaves, its attempt is cancelled and there is no answer. A client that stays is answered by its deadline
// even if the server is unresponsive. An id may be used again once its request is over.
func TestDoEnds(t *testing.T) {
	t.Parallel()
	ports := newFakePorts()
	loop := startLoop(t, loopSettings(), ports)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan bool, 1)
	go func() { _, ok := loop.Do(ctx, newTestRequest("order", "q", testTimeout)); gone <- ok }()
	ports.expect(t, "do /order")
	cancel()
	ports.expect(t, "called off")
	if <-gone {
		t.Error("a client that has gone is answered")
	}
	for loop.isOpen("q") {
		time.Sleep(time.Millisecond)
	}
	ports.reply <- Result{Code: decide.OK, Body: []byte("x")}
	if a, ok := loop.Do(t.Context(), newTestRequest("order", "q", testTimeout)); !ok || a.Status != 200 ||
		string(a.Body) != "x" {
		t.Errorf("%+v, %v", a, ok)
	}
	began := time.Now()
	if a, ok := loop.Do(t.Context(), newTestRequest("order", "r", 500*time.Millisecond)); !ok || a.Status < 500 ||
		a.Status == 503 || time.Since(began) > testTimeout/2 {
		t.Errorf("after %v: %+v, %v; want a failure, as the unsafe request may have run", time.Since(began), a, ok)
	}
}

func (l *Loop) isOpen(id decide.RequestID) (held bool) {
	l.post(func() { held = l.requests[id] != nil })
	return held
}

// The whole list is requested from a new source, whatever version the old source had reached, and the old source's
// watch is ended.
func TestMove(t *testing.T) {
	t.Parallel()
	from, to := newFakePorts(), newFakePorts()
	loop := startLoop(t, loopSettings(), from)
	from.expect(t, "watch from 1") // the module requests the list by itself
	loop.SetMembership(to)
	from.expect(t, "close membership")
	to.expect(t, "watch from nothing")
	to.lists <- List{Version: 0, Full: true}
	from.expect(t, "update 0")
	for loop.CanServe() {
		time.Sleep(time.Millisecond)
	}
}

// fakeRemote is a Remote whose hand-offs end with the result that the test sends, or when the client leaves.
type fakeRemote struct {
	offers    chan bool // the ran of each Offer
	end       chan HandOffResult
	cancelled chan struct{}
}

func (a *fakeRemote) Offer(_ *Request, _ decide.Effect, ran bool) HandOff { a.offers <- ran; return a }
func (a *fakeRemote) Run(ctx context.Context) (Answer, HandOffResult) {
	select {
	case how := <-a.end:
		return Answer{Status: 200, Body: []byte("abroad")}, how
	case <-ctx.Done():
		close(a.cancelled)
		return Answer{}, HandOffUncertain
	}
}

// A request that the module refuses is offered to the Remote, and the result of the hand-off decides the client's only
// answer: a refusal only if the request cannot have run or its class is safe. If the client leaves, the hand-off is
// cancelled. The request's id stays open until the hand-off has ended.
func TestCrossing(t *testing.T) {
	t.Parallel()
	ports, remote := newFakePorts(), &fakeRemote{offers: make(chan bool, 9), end: make(chan HandOffResult, 9),
		cancelled: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := New(ctx, Options{Settings: loopSettings(), Seed: 1, Transport: ports, Membership: ports,
		Remote: remote, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); loop.Run(List{Version: 1, Full: true}) }() // no servers, so that all requests are refused
	t.Cleanup(func() { cancel(); <-done })
	for i, step := range []struct {
		class  string
		how    HandOffResult
		status int
	}{{"order", HandOffServed, 200}, {"order", HandOffNotRun, 503}, {"order", HandOffUncertain, 502},
		{"read", HandOffUncertain, 503}, {"read", HandOffServed, 200}} {
		remote.end <- step.how
		id := fmt.Sprint("q", i)
		a, ok := loop.Do(t.Context(), newTestRequest(step.class, id, testTimeout))
		if !ok || a.Status != step.status || (step.status == 200) != (string(a.Body) == "abroad") {
			t.Errorf("%s, %v: %+v, %v", step.class, step.how, a, ok)
		}
		if ran := <-remote.offers; ran {
			t.Error("the offer says that the request may have run")
		}
		if loop.isOpen(decide.RequestID(id)) {
			t.Error("the request is still open")
		}
	}
	if a, _ := loop.Do(t.Context(), newTestRequest("unheard-of", "x", testTimeout)); a.Status != 503 ||
		len(remote.offers) > 0 {
		t.Errorf("an unknown class: %+v", a)
	}
	client, leave := context.WithCancel(t.Context())
	answered := make(chan bool, 1)
	go func() { _, ok := loop.Do(client, newTestRequest("order", "q", testTimeout)); answered <- ok }()
	<-remote.offers
	if a, _ := loop.Do(t.Context(), newTestRequest("order", "q", testTimeout)); a.Status != http.StatusConflict {
		t.Errorf("the same id during the hand-off: %+v", a)
	}
	leave()
	<-remote.cancelled
	if <-answered {
		t.Error("a client that has gone is answered")
	}
	for loop.isOpen("q") {
		time.Sleep(time.Millisecond)
	}
}
