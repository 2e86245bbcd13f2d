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
	ports := newFakePorts()
	settings := loopSettings()
	settings.MayCancel = false // else the attempt would run in Do's own goroutine
	loop := startLoop(t, settings, ports)
	answered := make(chan Answer, 1)
	const wait = 100 * time.Millisecond
	request := newTestRequest("order", "q", wait)
	go func() { a, _ := loop.Do(t.Context(), request); answered <- a }()
	ports.expect(t, "do /order")
	loop.post(func() {
		for time.Until(request.Deadline) > -3*answerGrace { // Do's timeout fires meanwhile, and waits for the lock
			time.Sleep(answerGrace)
		}
		loop.finish("q", Answer{Status: http.StatusOK, Body: []byte("x")})
	})
	if a := <-answered; a.Status != http.StatusOK || string(a.Body) != "x" {
		t.Errorf("%+v", a)
	}
	ports.reply <- Result{Code: decide.OK}
	for loop.isOpen("q") {
		time.Sleep(time.Millisecond)
	}
}

// A fetched list is ignored if it is older than what the open watch has brought, as a draining server would be ready in
// it, or if it comes from a source that has been replaced since.
func TestOlderFetched(t *testing.T) {
	t.Parallel()
	ports := newFakePorts()
	loop := startLoop(t, loopSettings(), ports)
	ports.expect(t, "watch from 1")
	draining := oneServer[0]
	draining.State = decide.Draining
	ports.lists <- List{Version: 9, Full: true, Entries: []Entry{draining}}
	ports.expect(t, "update 9")
	for loop.CanServe() {
		time.Sleep(time.Millisecond)
	}
	loop.post(func() {
		loop.handleFetchedList(ports, List{Version: 3, Full: true, Entries: oneServer}, nil)
		loop.handleFetchedList(newFakePorts(), List{Version: 30, Full: true, Entries: oneServer}, nil)
	})
	if loop.CanServe() || *loop.view.Revision() != 9 {
		t.Errorf("version %d is in force", *loop.view.Revision())
	}
	loop.post(func() { loop.handleFetchedList(ports, List{Version: 10, Full: true, Entries: oneServer}, nil) })
	if !loop.CanServe() || *loop.view.Revision() != 10 {
		t.Errorf("a newer list is not applied: version %d is in force", *loop.view.Revision())
	}
}

// Run closes the membership after the calls to it have ended. Otherwise a connection that a call opens late would stay
// open.
func TestEndClosesMembership(t *testing.T) {
	t.Parallel()
	ports := newFakePorts()
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := New(ctx, Options{Settings: loopSettings(), Seed: 1, Transport: ports, Membership: ports,
		Messenger: ports, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); loop.Run(List{Version: 1, Entries: oneServer}) }()
	ports.expect(t, "watch from 1")
	cancel()
	<-done
	close(ports.calls)
	var last string
	for call := range ports.calls {
		if last = call; strings.HasPrefix(call, "close") {
			break
		}
	}
	if last != "close membership" || len(ports.calls) > 0 {
		t.Errorf("the last call was %q, with %d calls after it; want the membership closed last", last, len(ports.calls))
	}
}

// All nodes of a fleet may be notified in the same moment that discovery has moved. Their list requests have to be
// spread over time: when 300 nodes sent theirs at once to a discovery that took 4 s for a call of each node, the last
// node had no list for 23 s.
func TestMovesAreSpread(t *testing.T) {
	t.Parallel()
	const loops, latest = 20, 6 * time.Second
	settings := loopSettings()
	settings.Nodes, settings.MayMessage, settings.MayProbe = 300, false, false
	ctx, cancel := context.WithCancel(context.Background())
	var running, requests sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	requestedAfter := make([]time.Duration, loops)
	for i := range loops {
		ports, newPorts := newFakePorts(), newFakePorts()
		loop, err := New(ctx, Options{Settings: settings, Seed: int64(i), Transport: ports, Membership: ports,
			Messenger: ports, Log: quiet})
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { loop.Run(List{Version: 1, Entries: oneServer}) })
		requests.Go(func() {
			loop.SetMembership(newPorts)
			moved := time.Now()
			for requestedAfter[i] = testTimeout; time.Since(moved) < testTimeout; {
				select {
				case call := <-newPorts.calls:
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
	if requestedAfter[loops-1] > latest || requestedAfter[loops/2] < time.Second {
		t.Errorf("lists requested after %v, want them spread, and the last within %v", requestedAfter, latest)
	}
}
