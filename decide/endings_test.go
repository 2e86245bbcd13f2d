package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trackedRequest is a request as the module's caller knows it. Its slices have an entry for each attempt.
type crossing struct {
	class    Class
	finals   int  // final answers so far
	over     bool // it has its final answer, or its client has left
	left     bool // its client has left
	ended    []bool
	codes    []OutcomeCode
	servers  []Server
	sent     []Time
	streams  bool
	deadline Time
}

// openAttempts are the numbers of the attempts that have not ended.
func (c *crossing) open() (out []int) {
	for i, ended := range c.ended {
		if !ended {
			out = append(out, i)
		}
	}
	return out
}

// mayHaveRun tells whether a server may have executed attempt i, or may still do so.
func (c *crossing) mayHaveRun(i int) bool {
	return !c.ended[i] || c.codes[i] != Full && c.codes[i] != ConnectFailed && c.codes[i] != Moot
}

// Whatever order the ends of requests and attempts come in, in virtual time and under random settings: each request gets
// one final answer, or none once its client has left. Nothing is sent for a request that is over. An unsafe request that
// may have run is not sent again, and a keyed one only to servers that drop repeats of it. A request is refused only where
// a repeat does no harm. Once all attempts have ended the module holds nothing of the requests.
func TestEndingsCross(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Nodes: rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "nodes"), Zones: []string{"a", "b"}, Zone: "a", MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"),
			MayOverlap: rapid.Bool().Draw(t, "overlap"), MayCancel: rapid.Bool().Draw(t, "cancel"), AskForList: rapid.Bool().Draw(t, "ask"), MayProbe: true,
			ConnectTimeout: 100 * time.Millisecond, DrainGrace: 300 * time.Millisecond, ColdFrom: 0.3, ColdTime: time.Second, OverloadFactor: 2, OverloadTime: time.Second,
			AskWithin: 10 * time.Second}
		for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
			c := Class{Name: fmt.Sprint("c", i), Worth: 1, Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")), KeyScope: Scope(rapid.IntRange(0, 2).Draw(t, "scope")),
				Deadline: rapid.SampledFrom([]time.Duration{150 * time.Millisecond, 900 * time.Millisecond, 8 * time.Second}).Draw(t, "deadline")}
			c.Aim, c.DedupWindow = c.Deadline/2, rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, 8 * time.Second}).Draw(t, "window")
			set.Classes = append(set.Classes, c)
		}
		m := New(set, 1)
		now := Time(time.Hour)
		requests, order := map[RequestID]*crossing{}, []RequestID{}
		listed := map[ServerID]Server{}
		timers := 0
		handle := func(e Event) {
			for _, action := range append([]Action(nil), m.Handle(now, e)...) {
				switch a := action.(type) {
				case SetTimer:
					timers++
				case Send:
					r := requests[a.ID]
					s := listed[a.Server]
					switch {
					case r.over:
						t.Fatalf("%s is over, and is sent to %d", a.ID, a.Server)
					case s.State != Ready:
						t.Fatalf("%s is sent to %d, which is not ready", a.ID, a.Server)
					case now >= r.deadline:
						t.Fatalf("%s is sent after its deadline", a.ID)
					case len(r.sent) >= max(1, set.MaxAttempts):
						t.Fatalf("%s: attempt %d, %d allowed", a.ID, len(r.sent)+1, set.MaxAttempts)
					case len(r.open()) > 0 && !set.MayOverlap:
						t.Fatalf("%s: two attempts at once", a.ID)
					}
					for i := range r.sent {
						if !r.mayHaveRun(i) || r.class.Effect == Safe {
							continue
						}
						was := r.servers[i]
						if r.class.Effect == Unsafe || now >= r.sent[i]+r.class.DedupWindow || r.class.KeyScope == ScopeCell && was.Cell != s.Cell ||
							r.class.KeyScope == ScopeZone && was.Zone != s.Zone {
							t.Fatalf("%s, %v, may have run at %v, and is sent to %v", a.ID, r.class, was, s)
						}
					}
					r.sent, r.servers, r.ended, r.codes = append(r.sent, now), append(r.servers, s), append(r.ended, false), append(r.codes, OK)
				case Refuse, Fail:
					refusal, refused := action.(Refuse)
					failure, _ := action.(Fail)
					id := max(refusal.ID, failure.ID) // one of them is empty
					r := requests[id]
					if r.over {
						t.Fatalf("%s is over, and gets %#v", id, a)
					}
					for i := range r.sent {
						if refused && r.mayHaveRun(i) && (r.class.Effect == Unsafe || r.class.Effect == Keyed && r.class.KeyScope != ScopeAll) {
							t.Fatalf("%s, %v, may have run and is refused", id, r.class)
						}
					}
					r.finals, r.over = r.finals+1, true
				case CancelAttempt:
					if r := requests[a.ID]; !set.MayCancel || !r.over && r.finals == 0 {
						t.Fatalf("%#v", a)
					}
				}
			}
		}
		// endAttempt ends an attempt that is open.
		end := func(id RequestID, i int, code OutcomeCode) {
			r := requests[id]
			if code == OK && !r.over && !r.streams {
				r.finals, r.over = r.finals+1, true
			}
			r.ended[i], r.codes[i] = true, code
			handle(AttemptEnded{ID: id, Attempt: i, Server: r.servers[i].ID, Over: r.over, Elapsed: now - r.sent[i], Code: code})
		}
		for n := range rapid.IntRange(5, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			var live []RequestID // requests with open attempts
			for _, id := range order {
				if len(requests[id].open()) > 0 {
					live = append(live, id)
				}
			}
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind <= 2:
				c := rapid.SampledFrom(set.Classes).Draw(t, "class")
				id := RequestID(fmt.Sprint("r", n))
				requests[id] = &crossing{class: c, deadline: now + c.Deadline}
				order = append(order, id)
				handle(RequestArrived{ID: id, Class: c.Name, Patience: c.Deadline})
			case kind <= 5 && len(live) > 0:
				id := rapid.SampledFrom(live).Draw(t, "request")
				end(id, rapid.SampledFrom(requests[id].open()).Draw(t, "attempt"), OutcomeCode(rapid.IntRange(int(OK), int(Moot)).Draw(t, "code")))
			case kind == 6 && len(order) > 0: // the client leaves, perhaps after its answer
				id := rapid.SampledFrom(order).Draw(t, "request")
				requests[id].over, requests[id].left = true, true
				handle(RequestAbandoned{ID: id})
			case kind == 7 && len(live) > 0: // a streamed answer begins
				id := rapid.SampledFrom(live).Draw(t, "request")
				if r := requests[id]; !r.over {
					i := r.open()[0]
					r.over, r.streams, r.finals = true, true, r.finals+1
					handle(StreamStarted{ID: id, Attempt: i, Server: r.servers[i].ID, Elapsed: now - r.sent[i]})
				}
			case kind == 8:
				s := Server{ID: ServerID(rapid.IntRange(1, 6).Draw(t, "server")), Zone: rapid.SampledFrom(set.Zones).Draw(t, "zone"), Cell: rapid.IntRange(0, 1).Draw(t, "cell"),
					State: ServerState(rapid.IntRange(0, 2).Draw(t, "state"))}
				if was, ok := listed[s.ID]; ok {
					s.Zone, s.Cell = was.Zone, was.Cell // a server does not move
				}
				listed[s.ID] = s
				handle(ListUpdate{Kind: ListChanges, Version: uint64(n), Entries: []Server{s}})
			case kind == 9 && n%7 == 0:
				handle(Ending{})
				for _, id := range order {
					if !requests[id].over {
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
		for _, id := range order {
			for _, i := range append([]int(nil), requests[id].open()...) {
				end(id, i, Reset)
			}
		}
		for range 2 {
			now += 20 * time.Second
			handle(TimerFired{})
			for _, id := range order {
				for _, i := range append([]int(nil), requests[id].open()...) {
					end(id, i, TimedOut)
				}
			}
		}
		for _, id := range order {
			if r := requests[id]; !r.over || r.finals > 1 || r.finals == 0 && !r.left {
				t.Fatalf("%s: over %v, %d final answers", id, r.over, r.finals)
			}
		}
		if len(m.requests) > 0 || len(m.open) > 0 {
			t.Fatalf("%d requests and %d open entries are left", len(m.requests), len(m.open))
		}
	})
}
