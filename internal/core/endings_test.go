package core

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/decide"
)

// An answer that arrives in the same moment as the request's timeout goes to the client: it is final, and the module
// has been notified of it. The fault: 504 was returned in place of it, for a request that had been served.
func TestAnswerAndTimeOut(t *testing.T) {
	t.Parallel()
	f := newFakes()
	s := loopSettings()
	s.MayCancel = false // else the attempt would run in Do's own goroutine
	l := startLoop(t, s, f)
	answered := make(chan Answer, 1)
	const wait = 100 * time.Millisecond
	r := newTestRequest("order", "q", wait)
	go func() { a, _ := l.Do(t.Context(), r); answered <- a }()
	f.expect(t, "do /order")
	l.post(func() {
		for time.Until(r.Deadline) > -3*answerGrace { // under the lock, so that Do's timeout fires and then waits for the lock
			time.Sleep(answerGrace)
		}
		l.finish("q", Answer{Status: http.StatusOK, Body: []byte("x")})
	})
	if a := <-answered; a.Status != http.StatusOK || string(a.Body) != "x" {
		t.Errorf("%+v", a)
	}
	f.reply <- Result{Code: decide.OK}
	for l.isOpen("q") {
		time.Sleep(time.Millisecond)
	}
}

// A fetched list is ignored if it is older than what the open watch has brought, as a draining server would be ready in
// it, or if it comes from a source that has been replaced since.
func TestOlderFetched(t *testing.T) {
	t.Parallel()
	f := newFakes()
	l := startLoop(t, loopSettings(), f)
	f.expect(t, "watch from 1")
	draining := oneServer[0]
	draining.State = decide.Draining
	f.lists <- List{Version: 9, Full: true, Entries: []Entry{draining}}
	f.expect(t, "update 9")
	for l.CanServe() {
		time.Sleep(time.Millisecond)
	}
	l.post(func() {
		l.handleFetchedList(f, List{Version: 3, Full: true, Entries: oneServer}, nil)
		l.handleFetchedList(newFakes(), List{Version: 30, Full: true, Entries: oneServer}, nil)
	})
	if l.CanServe() || *l.view.Revision() != 9 {
		t.Errorf("version %d is in force", *l.view.Revision())
	}
	l.post(func() { l.handleFetchedList(f, List{Version: 10, Full: true, Entries: oneServer}, nil) })
	if !l.CanServe() || *l.view.Revision() != 10 {
		t.Errorf("a newer list is not applied: version %d is in force", *l.view.Revision())
	}
}

// Run closes the membership after the calls to it have ended. Otherwise a connection that a call opens late would stay
// open.
func TestEndClosesMembership(t *testing.T) {
	t.Parallel()
	f := newFakes()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := New(ctx, Options{Settings: loopSettings(), Seed: 1, Transport: f, Membership: f, Messenger: f, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); l.Run(List{Version: 1, Entries: oneServer}) }()
	f.expect(t, "watch from 1")
	cancel()
	<-done
	close(f.calls)
	var last string
	for call := range f.calls {
		if last = call; strings.HasPrefix(call, "close") {
			break
		}
	}
	if last != "close membership" || len(f.calls) > 0 {
		t.Errorf("the last call was %q, with %d calls after it; want the membership closed last", last, len(f.calls))
	}
}

// All nodes of a fleet may be notified in the same moment that discovery has moved. Their list requests have to be
// spread over time: when 300 nodes sent theirs at once to a discovery that took 4 s for a call of each node, the last
// node had no list for 23 s.
func TestMovesAreSpread(t *testing.T) {
	t.Parallel()
	const loops, most = 20, 6 * time.Second
	s := loopSettings()
	s.Nodes, s.MayMessage, s.MayProbe = 300, false, false
	ctx, cancel := context.WithCancel(context.Background())
	var running, requests sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	requestedAfter := make([]time.Duration, loops)
	for i := range loops {
		f, to := newFakes(), newFakes()
		l, err := New(ctx, Options{Settings: s, Seed: int64(i), Transport: f, Membership: f, Messenger: f, Log: quiet})
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { l.Run(List{Version: 1, Entries: oneServer}) })
		requests.Go(func() {
			l.SetMembership(to)
			moved := time.Now()
			for requestedAfter[i] = testTimeout; time.Since(moved) < testTimeout; {
				select {
				case call := <-to.calls:
					if call == "watch from nothing" {
						requestedAfter[i] = time.Since(moved)
						return
					}
				case <-time.After(testTimeout):
				}
			}
		})
	}
	requests.Wait()
	slices.Sort(requestedAfter)
	if requestedAfter[loops-1] > most || requestedAfter[loops/2] < time.Second {
		t.Errorf("lists requested after %v, want them spread, and the last within %v", requestedAfter, most)
	}
}
