package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trackedRequest is a request as the module's caller knows it. Its slices have an entry for each attempt.
type trackedRequest struct {
	class        Class
	finalAnswers int  // final answers so far
	closed       bool // it has its final answer, or its client has left
	abandoned    bool // its client has left
	attemptEnded []bool
	codes        []OutcomeCode
	servers      []Server
	sentAt       []Time
	streaming    bool
	deadline     Time
}

// openAttempts are the numbers of the attempts that have not ended.
func (c *trackedRequest) openAttempts() (out []int) {
	for i, ended := range c.attemptEnded {
		if !ended {
			out = append(out, i)
		}
	}
	return out
}

// mayHaveRun tells whether a server may have executed attempt i, or may still do so.
func (c *trackedRequest) mayHaveRun(i int) bool {
	return !c.attemptEnded[i] || c.codes[i] != Full && c.codes[i] != ConnectFailed && c.codes[i] != Moot
}

// Whatever order the ends of requests and attempts come in, in virtual time and under random settings: each request
// gets one final answer, or none once its client has left. Nothing is sent for a request that is over. An unsafe
// request that may have run is not sent again, and a keyed one only to servers that drop repeats of it. A request is
// refused only where a repeat does no harm. Once all attempts have ended the module holds nothing of the requests.
func TestEndingsCross(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Nodes: rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "nodes"), Zones: []string{"a", "b"},
			Zone: "a", MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"),
			MayOverlap: rapid.Bool().Draw(t, "overlap"), MayCancel: rapid.Bool().Draw(t, "cancel"),
			ListOnRequest: rapid.Bool().Draw(t, "ask"), MayProbe: true,
			ConnectTimeout: 100 * time.Millisecond, DrainGrace: 300 * time.Millisecond, ColdFrom: 0.3,
			ColdTime: time.Second, OverloadFactor: 2, OverloadTime: time.Second,
			MaxListRequestInterval: 10 * time.Second}
		for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
			class := Class{Name: fmt.Sprint("c", i), Worth: 1, Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
				KeyScope: Scope(rapid.IntRange(0, 2).Draw(t, "scope")),
				Deadline: rapid.SampledFrom([]time.Duration{150 * time.Millisecond, 900 * time.Millisecond,
					8 * time.Second}).Draw(t, "deadline")}
			class.Aim, class.DedupWindow = class.Deadline/2, rapid.SampledFrom([]time.Duration{50 * time.Millisecond,
				time.Second, 8 * time.Second}).Draw(t, "window")
			settings.Classes = append(settings.Classes, class)
		}
		module := New(settings, 1)
		now := Time(time.Hour)
		requests, requestIDs := map[RequestID]*trackedRequest{}, []RequestID{}
		listed := map[ServerID]Server{}
		timers := 0
		handle := func(event Event) {
			for _, action := range append([]Action(nil), module.Handle(now, event)...) {
				switch a := action.(type) {
				case SetTimer:
					timers++
				case Send:
					request := requests[a.ID]
					server := listed[a.Server]
					switch {
					case request.closed:
						t.Fatalf("%s is over, and is sent to %d", a.ID, a.Server)
					case server.State != Ready:
						t.Fatalf("%s is sent to %d, which is not ready", a.ID, a.Server)
					case now >= request.deadline:
						t.Fatalf("%s is sent after its deadline", a.ID)
					case len(request.sentAt) >= max(1, settings.MaxAttempts):
						t.Fatalf("%s: attempt %d, %d allowed", a.ID, len(request.sentAt)+1, settings.MaxAttempts)
					case len(request.openAttempts()) > 0 && !settings.MayOverlap:
						t.Fatalf("%s: two attempts at once", a.ID)
					}
					for i := range request.sentAt {
						if !request.mayHaveRun(i) || request.class.Effect == Safe {
							continue
						}
						earlier := request.servers[i]
						if request.class.Effect == Unsafe || now >= request.sentAt[i]+request.class.DedupWindow ||
							request.class.KeyScope == ScopeCell && earlier.Cell != server.Cell ||
							request.class.KeyScope == ScopeZone && earlier.Zone != server.Zone {
							t.Fatalf("%s, %v, may have run at %v, and is sent to %v", a.ID, request.class, earlier,
								server)
						}
					}
					request.sentAt, request.servers, request.attemptEnded, request.codes = append(request.sentAt, now),
						append(request.servers, server), append(request.attemptEnded, false), append(request.codes, OK)
				case Refuse, Fail:
					refusal, refused := action.(Refuse)
					failure, _ := action.(Fail)
					id := max(refusal.ID, failure.ID) // one of them is empty
					request := requests[id]
					if request.closed {
						t.Fatalf("%s is over, and gets %#v", id, a)
					}
					for i := range request.sentAt {
						if refused && request.mayHaveRun(i) && (request.class.Effect == Unsafe ||
							request.class.Effect == Keyed && request.class.KeyScope != ScopeAll) {
							t.Fatalf("%s, %v, may have run and is refused", id, request.class)
						}
					}
					request.finalAnswers, request.closed = request.finalAnswers+1, true
				case CancelAttempt:
					if request := requests[a.ID]; !settings.MayCancel || !request.closed && request.finalAnswers == 0 {
						t.Fatalf("%#v", a)
					}
				}
			}
		}
		// endAttempt ends an attempt that is open.
		endAttempt := func(id RequestID, i int, code OutcomeCode) {
			request := requests[id]
			if code == OK && !request.closed && !request.streaming {
				request.finalAnswers, request.closed = request.finalAnswers+1, true
			}
			request.attemptEnded[i], request.codes[i] = true, code
			handle(AttemptEnded{ID: id, Attempt: i, Server: request.servers[i].ID, RequestDone: request.closed,
				Elapsed: now - request.sentAt[i], Code: code})
		}
		for n := range rapid.IntRange(5, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			var withOpenAttempts []RequestID // requests with open attempts
			for _, id := range requestIDs {
				if len(requests[id].openAttempts()) > 0 {
					withOpenAttempts = append(withOpenAttempts, id)
				}
			}
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind <= 2:
				class := rapid.SampledFrom(settings.Classes).Draw(t, "class")
				id := RequestID(fmt.Sprint("r", n))
				requests[id] = &trackedRequest{class: class, deadline: now + class.Deadline}
				requestIDs = append(requestIDs, id)
				handle(RequestArrived{ID: id, Class: class.Name, Patience: class.Deadline})
			case kind <= 5 && len(withOpenAttempts) > 0:
				id := rapid.SampledFrom(withOpenAttempts).Draw(t, "request")
				endAttempt(id, rapid.SampledFrom(requests[id].openAttempts()).Draw(t, "attempt"),
					OutcomeCode(rapid.IntRange(int(OK), int(Moot)).Draw(t, "code")))
			case kind == 6 && len(requestIDs) > 0: // the client leaves, perhaps after its answer
				id := rapid.SampledFrom(requestIDs).Draw(t, "request")
				requests[id].closed, requests[id].abandoned = true, true
				handle(RequestAbandoned{ID: id})
			case kind == 7 && len(withOpenAttempts) > 0: // a streamed answer begins
				id := rapid.SampledFrom(withOpenAttempts).Draw(t, "request")
				if request := requests[id]; !request.closed {
					i := request.openAttempts()[0]
					request.closed, request.streaming, request.finalAnswers = true, true, request.finalAnswers+1
					handle(StreamStarted{ID: id, Attempt: i, Server: request.servers[i].ID,
						Elapsed: now - request.sentAt[i]})
				}
			case kind == 8:
				server := Server{ID: ServerID(rapid.IntRange(1, 6).Draw(t, "server")),
					Zone: rapid.SampledFrom(settings.Zones).Draw(t, "zone"), Cell: rapid.IntRange(0, 1).Draw(t, "cell"),
					State: ServerState(rapid.IntRange(0, 2).Draw(t, "state"))}
				if earlier, ok := listed[server.ID]; ok {
					server.Zone, server.Cell = earlier.Zone, earlier.Cell // a server does not move
				}
				listed[server.ID] = server
				handle(ListUpdate{Kind: ListChanges, Version: uint64(n), Entries: []Server{server}})
			case kind == 9 && n%7 == 0:
				handle(Shutdown{})
				for _, id := range requestIDs {
					if !requests[id].closed {
						t.Fatalf("%s is open after the end", id)
					}
				}
			default:
				if timers > 0 {
					timers--
					handle(TimerFired{})
				}
			}
		}
		// All open attempts end, and enough time passes for every deadline.
		for _, id := range requestIDs {
			for _, i := range append([]int(nil), requests[id].openAttempts()...) {
				endAttempt(id, i, Reset)
			}
		}
		for range 2 {
			now += 20 * time.Second
			handle(TimerFired{})
			for _, id := range requestIDs {
				for _, i := range append([]int(nil), requests[id].openAttempts()...) {
					endAttempt(id, i, TimedOut)
				}
			}
		}
		for _, id := range requestIDs {
			if request := requests[id]; !request.closed || request.finalAnswers > 1 ||
				request.finalAnswers == 0 && !request.abandoned {
				t.Fatalf("%s: over %v, %d final answers", id, request.closed, request.finalAnswers)
			}
		}
		if len(module.requests) > 0 || len(module.openRequests) > 0 {
			t.Fatalf("%d requests and %d open entries are left", len(module.requests), len(module.openRequests))
		}
	})
}
