package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingvalve/decide"
)

// nodeHarness runs one module in virtual time, with clients, and with servers whose delays and outcomes the test sets.
type rig struct {
	t        *testing.T
	m        *decide.Module
	now      time.Duration
	delay    func(s decide.ServerID) (time.Duration, decide.OutcomeCode)
	due      []rigEvent
	sent     map[decide.ServerID]int
	last     map[decide.RequestID]decide.Action // the refusal or failure of each request that has one
	legs     map[decide.RequestID]int           // attempts so far
	over     map[decide.RequestID]bool
	retries  int                                  // of a refused client, each after its hold-off
	patience time.Duration                        // of a first try
	work     func(decide.RequestID) time.Duration // added to the server's delay
	waits    []time.Duration                      // the hold-offs of all refusals
	inTime   map[string]int                       // requests served within 600 ms of their first try, by class
	came     map[decide.RequestID]time.Duration
	refused, failed,
	asks, next, accused int // list requests; the number of the latest request; log lines
}

// harnessEvent is an event that the module gets at a later time.
type rigEvent struct {
	at time.Duration
	e  decide.Event
}

// harnessSettings are those of a fleet of one node. Its classes are "dear", safe requests of high worth, "cheap", safe ones
// of low worth, and "once", unsafe ones of low worth.
func rigSettings() decide.Settings {
	return decide.Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, AskWithin: 10 * time.Second,
		ConnectTimeout: 100 * time.Millisecond, ColdFrom: 0.3, ColdTime: 8 * time.Second, OverloadFactor: 2.5,
		OverloadTime: time.Second, HoldOffs: true, MaxHoldOff: time.Second,
		Classes: []decide.Class{
			{Name: "dear", Worth: 12, Aim: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Effect: decide.Safe},
			{Name: "cheap", Worth: 1, Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Effect: decide.Safe},
			{Name: "once", Worth: 1, Aim: 1500 * time.Millisecond, Deadline: 2 * time.Second, Effect: decide.Unsafe}}}
}

// newNodeHarness starts a module with a list of so many servers. Each of them answers after 50 ms, unless the test sets
// another delay.
func newRig(t *testing.T, s decide.Settings, servers int) *rig {
	r := &rig{t: t, m: decide.New(s, 5), now: time.Hour, sent: map[decide.ServerID]int{}, over: map[decide.RequestID]bool{},
		last: map[decide.RequestID]decide.Action{}, legs: map[decide.RequestID]int{}, patience: 2 * time.Second,
		inTime: map[string]int{}, came: map[decide.RequestID]time.Duration{}}
	r.work = func(decide.RequestID) time.Duration { return 0 }
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return 50 * time.Millisecond, decide.OK }
	var list []decide.Server
	for i := range servers {
		list = append(list, decide.Server{ID: decide.ServerID(i + 1), Zone: "z"})
	}
	r.feed(decide.ListUpdate{Kind: decide.ListCached, Entries: list})
	return r
}

// handle passes an event to the module and schedules what follows from its actions: outcomes, timers, repeats of refused
// clients and, as discovery is down, the failure of each list request after a second.
func (r *rig) feed(e decide.Event) {
	for _, a := range r.m.Handle(r.now, e) {
		switch a := a.(type) {
		case decide.Send:
			r.sent[a.Server]++
			leg := r.legs[a.ID]
			r.legs[a.ID]++
			d, code := r.delay(a.Server)
			d += r.work(a.ID)
			if d > a.Timeout {
				d, code = a.Timeout, decide.TimedOut
			}
			r.due = append(r.due, rigEvent{r.now + d, decide.AttemptEnded{ID: a.ID, Attempt: leg, Server: a.Server, Code: code, Elapsed: d}})
		case decide.CancelAttempt:
			r.due = append(r.due, rigEvent{r.now + time.Millisecond, decide.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: decide.Cancelled}})
		case decide.Refuse:
			r.refused++
			r.over[a.ID], r.last[a.ID] = true, a
			r.waits = append(r.waits, a.HoldOff)
			class, try, _ := strings.Cut(string(a.ID), "/")
			if left := r.patience - (r.now + a.HoldOff - r.came[decide.RequestID(class)]); len(try) < r.retries && left > 0 {
				id := decide.RequestID(class + "/" + try + "x")
				r.due = append(r.due, rigEvent{r.now + a.HoldOff, decide.RequestArrived{ID: id, Class: strings.TrimRight(class,
					"0123456789"), Patience: left}})
			}
		case decide.Fail:
			r.failed++
			r.over[a.ID], r.last[a.ID] = true, a
		case decide.SetTimer:
			r.due = append(r.due, rigEvent{r.now + a.After, decide.TimerFired{Token: a.Token}})
		case decide.Log:
			r.accused++
		case decide.Subscribe:
			r.asks++
			r.due = append(r.due, rigEvent{r.now + time.Second, decide.ListUpdate{Kind: decide.ListFailed}})
		}
	}
}

// run simulates a period of time with so many arrivals per second of a class.
func (r *rig) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := r.now + length; r.now < end; r.now += 5 * time.Millisecond {
		var rest, now []rigEvent
		for _, d := range r.due {
			if d.at <= r.now {
				now = append(now, d)
			} else {
				rest = append(rest, d)
			}
		}
		r.due = rest
		for _, d := range now {
			if e, ok := d.e.(decide.AttemptEnded); ok {
				e.Over = r.over[e.ID] || e.Code == decide.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Code == decide.OK && !r.over[e.ID] && r.now-r.came[decide.RequestID(first)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(first, "0123456789")]++
				}
				r.over[e.ID] = e.Over
				d.e = e
			}
			r.feed(d.e)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			r.next++
			id := decide.RequestID(fmt.Sprint(class, r.next))
			r.came[id] = r.now
			r.feed(decide.RequestArrived{ID: id, Class: class, Patience: r.patience})
		}
	}
}

// totalSent is the number of attempts sent to all servers.
func (r *rig) total() (sent int) {
	for _, n := range r.sent {
		sent += n
	}
	return sent
}

func (r *rig) reset() { r.sent, r.refused, r.failed = map[decide.ServerID]int{}, 0, 0 }

// Guards against sending on to a server that has stopped answering, and against a burst when it comes back. The server is
// ejected and its requests are answered elsewhere, also while discovery is down and the list does not change. Once it
// answers again it gets slow start, as it may have restarted cold.
func TestSilentServerWhileListIsDown(t *testing.T) {
	s := rigSettings()
	s.AskForList = true
	r := newRig(t, s, 5)
	r.run(5*time.Second, 100, "cheap")
	quick := r.delay
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 3 {
			return time.Hour, decide.TimedOut
		}
		return quick(id)
	}
	r.reset()
	r.run(6*time.Second, 100, "cheap")
	if r.sent[3] > 25 || r.failed > 0 || r.refused > 5 {
		t.Errorf("unresponsive server got %d, %d failed, %d refused", r.sent[3], r.failed, r.refused)
	}
	if r.asks < 3 {
		t.Errorf("only %d list requests", r.asks)
	}
	r.delay = quick
	r.reset()
	r.run(3*time.Second, 100, "cheap")
	early := r.sent[3]
	r.run(9*time.Second, 100, "cheap")
	r.reset()
	r.run(5*time.Second, 100, "cheap")
	if early > 50 || r.sent[3] < 60 {
		t.Errorf("server that answers again: %d sends in the first 3 s, %d in 5 s once warm", early, r.sent[3])
	}
}

// An unsafe request at an unresponsive server fails at its deadline. It is never sent again, and never refused, as a
// refusal invites the client to repeat it.
func TestUnsafeTimeOutFails(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Hour, decide.TimedOut }
	r.run(5*time.Millisecond, 200, "once")
	r.run(3*time.Second, 0, "once")
	if n := r.sent[1] + r.sent[2] + r.sent[3]; n != 1 || r.failed != 1 || r.refused != 0 {
		t.Errorf("%d sends, %d failed, %d refused; want 1, 1, 0", n, r.failed, r.refused)
	}
}

// Whether a further attempt is made, for a safe and an unsafe class: after outcomes that leave open whether the request
// ran, and after outcomes that prove that it did not.
func TestFurtherAttemptsByEffect(t *testing.T) {
	for _, c := range []struct {
		class string
		code  decide.OutcomeCode
		again bool
	}{{"cheap", decide.ServerError, true}, {"cheap", decide.ConnectFailed, true}, {"once", decide.ServerError, false},
		{"once", decide.Reset, false}, {"once", decide.ConnectFailed, true}, {"once", decide.Full, true}} {
		r := newRig(t, rigSettings(), 3)
		r.run(3*time.Second, 100, "cheap")
		r.run(time.Second, 0, "cheap")
		r.reset()
		first := true
		r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) {
			if first {
				first = false
				return 10 * time.Millisecond, c.code
			}
			return 50 * time.Millisecond, decide.OK
		}
		r.run(5*time.Millisecond, 200, c.class)
		r.run(time.Second, 0, c.class)
		if n := r.sent[1] + r.sent[2] + r.sent[3]; (n == 2) != c.again || (r.failed == 1) == c.again {
			t.Errorf("%s after code %d: %d sends, %d failed", c.class, c.code, n, r.failed)
		}
	}
}

// Guards against a server that fails fast attracting requests, as its latency and its in-flight count are low.
func TestFastFailerAttractsNothing(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			return time.Millisecond, decide.ServerError
		}
		return 50 * time.Millisecond, decide.OK
	}
	r.run(10*time.Second, 100, "cheap")
	if r.sent[2] > 60 {
		t.Errorf("%d of %d sends went to the server that fails", r.sent[2], r.sent[1]+r.sent[2]+r.sent[3]+r.sent[4])
	}
}

// When all servers slow down at once none is ejected, and each keeps as many requests in flight as before.
func TestAllSlowAtOnceEjectsNobody(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.run(5*time.Second, 80, "cheap")
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return 150 * time.Millisecond, decide.OK }
	r.reset()
	r.run(5*time.Second, 80, "cheap")
	if r.accused > 0 {
		t.Errorf("%d servers were ejected as outliers", r.accused)
	}
	for id := decide.ServerID(1); id <= 4; id++ {
		if r.sent[id] < 25 { // one in flight, as before, is 33 in 5 s
			t.Errorf("server %d got only %d", id, r.sent[id])
		}
	}
}

// Light traffic is not refused, not even where there are many servers and few requests to learn from.
func TestQuietTrafficIsServed(t *testing.T) {
	s := rigSettings()
	s.Nodes = 6
	r := newRig(t, s, 15)
	r.run(4*time.Second, 30, "cheap")
	r.reset()
	r.run(20*time.Second, 30, "cheap")
	if r.refused > 3 {
		t.Errorf("%d of 600 refused in light traffic", r.refused)
	}
}

// Overload sheds the class of low worth first. The class of high worth is refused at most a sixth as
// often, at a third of the arrivals.
func TestOverloadShedsByWorth(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	busy := map[decide.ServerID]time.Duration{}
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) { // one request at a time, 20 ms each
		busy[id] = max(busy[id], r.now) + 20*time.Millisecond
		return busy[id] - r.now, decide.OK
	}
	refused := map[string]int{}
	for range 400 {
		for _, c := range []string{"dear", "cheap", "cheap", "cheap"} {
			before := r.refused
			r.next++
			r.feed(decide.RequestArrived{ID: decide.RequestID(fmt.Sprint(r.next)), Class: c, Patience: time.Second})
			refused[c] += r.refused - before
		}
		r.run(15*time.Millisecond, 0, "")
	}
	if refused["cheap"] < 200 || refused["dear"]*6 > refused["cheap"] {
		t.Errorf("refused on arrival: %v", refused)
	}
}

// With an empty list, or one whose servers all drain, a request is refused at once. A request without time left, a class
// that the settings lack, settings without classes, and outcomes of unknown requests do no harm.
func TestNoUsableServerOrOddSettings(t *testing.T) {
	drained := []decide.Server{{ID: 1, State: decide.Draining}}
	for _, list := range [][]decide.Server{nil, drained} {
		for _, s := range []decide.Settings{{}, rigSettings()} {
			r := newRig(t, s, 0)
			r.feed(decide.ListUpdate{Kind: decide.ListFull, Entries: list})
			r.feed(decide.RequestArrived{ID: "a", Class: "unheard of", Patience: time.Second})
			if _, ok := r.last["a"].(decide.Refuse); !ok || len(r.sent) != 0 {
				t.Errorf("%v: answer %v, sends %v", list, r.last["a"], r.sent)
			}
		}
	}
	r := newRig(t, decide.Settings{}, 2) // no classes at all
	r.feed(decide.RequestArrived{ID: "a", Class: "x", Patience: 0})
	if _, ok := r.last["a"].(decide.Refuse); !ok {
		t.Error("zero patience was not refused")
	}
	r.feed(decide.RequestArrived{ID: "b", Class: "x", Patience: time.Second})
	r.feed(decide.AttemptEnded{ID: "nobody", Attempt: 3, Server: 9, Code: decide.OK, Report: &decide.Report{}})
	r.feed(decide.RequestAbandoned{ID: "nobody"})
	r.feed(decide.TimerFired{Token: 99})
	r.run(2*time.Second, 50, "x")
	if r.sent[1]+r.sent[2] == 0 {
		t.Error("nothing was sent without classes")
	}
}

// A server that answers that it is full is blocked for about a second (oc-validity), and then gets requests again.
func TestFullAnswerLapses(t *testing.T) {
	r := newRig(t, rigSettings(), 1)
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Millisecond, decide.Full }
	r.run(5*time.Millisecond, 200, "cheap")
	r.run(100*time.Millisecond, 0, "cheap")
	r.reset()
	r.run(800*time.Millisecond, 20, "cheap")
	if r.sent[1] != 0 {
		t.Errorf("%d sends to a blocked server", r.sent[1])
	}
	r.run(200*time.Millisecond, 0, "cheap")
	r.run(200*time.Millisecond, 20, "cheap")
	if r.sent[1] == 0 {
		t.Error("the block did not lapse")
	}
}

// Full answers in a row lengthen the block: many nodes that each send again after one oc-validity would keep an overloaded
// server overloaded.
func TestFullAnswersBackOff(t *testing.T) {
	r := newRig(t, rigSettings(), 1)
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Millisecond, decide.Full }
	r.run(20*time.Second, 20, "cheap")
	if r.sent[1] == 0 || r.sent[1] > 12 {
		t.Errorf("%d sends in 20 s to a server that stays full", r.sent[1])
	}
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Millisecond, decide.OK }
	r.run(25*time.Second, 20, "cheap") // the longest block, with jitter
	r.reset()
	r.run(time.Second, 20, "cheap")
	if r.sent[1] < 15 {
		t.Errorf("%d of 20 sends once it answers again", r.sent[1])
	}
}

// Guards against requests going into a lost zone, and against a burst at its servers when they return. The zone's servers
// and nodes fail together: its servers stop answering, this node gets twice the traffic, and the list says so only seconds
// later. Then the servers come back as new processes, and get slow start. The remaining servers go on serving throughout.
func TestZoneLostWithItsNodesAndBackCold(t *testing.T) {
	s := rigSettings()
	s.Nodes = 2
	r := newRig(t, s, 8)
	r.run(10*time.Second, 60, "cheap")
	lost := func(id decide.ServerID) bool { return id > 4 }
	up := r.delay
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if lost(id) {
			return time.Hour, decide.TimedOut
		}
		return up(id)
	}
	r.run(2*time.Second, 120, "cheap")
	r.reset()
	r.run(5*time.Second, 120, "cheap")
	dead, alive := 0, 0
	for id, n := range r.sent {
		if lost(id) {
			dead += n
		} else {
			alive += n
		}
	}
	if dead > 60 || alive < 300 || r.failed > 0 {
		t.Errorf("zone lost: %d sends into it, %d to the rest, %d failed", dead, alive, r.failed)
	}
	var gone, back []decide.Server
	for id := decide.ServerID(5); id <= 8; id++ {
		gone = append(gone, decide.Server{ID: id, Zone: "z", State: decide.Gone})
		back = append(back, decide.Server{ID: id, Zone: "z", StartedAt: r.now + 2*time.Second})
	}
	r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: gone})
	r.reset()
	r.run(2*time.Second, 120, "cheap")
	for id := range r.sent {
		if lost(id) {
			t.Errorf("sent to %d, which has been removed", id)
		}
	}
	r.delay = up
	r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: back})
	r.reset()
	r.run(time.Second, 120, "cheap")
	for id, n := range r.sent {
		if budget := 2.5 * 0.3 * 30; lost(id) && float64(n) > budget/2+2 { // a warm one serves 30/s for this node; there are two nodes
			t.Errorf("cold server %d got %d in its first second", id, n)
		}
	}
	r.run(9*time.Second, 60, "cheap")
	r.reset()
	r.run(5*time.Second, 60, "cheap")
	if n := r.sent[5] + r.sent[6] + r.sent[7] + r.sent[8]; n < 90 || r.refused > 0 {
		t.Errorf("once warm: %d of 300 sends to the zone, %d refused", n, r.refused)
	}
}

// Guards against thresholds that come from what a lightly loaded fleet happened to have in flight. One class suddenly takes
// eleven times as long: no server is ejected for it, and most requests of the other class are still served. Without a least
// number of requests allowed at each server (minWindow), 60 of 300 were served in time. Some requests are still refused,
// as the node can't know that the servers could take more.
func TestOneClassSuddenlyDear(t *testing.T) {
	r := newRig(t, rigSettings(), 6)
	mixed := func(length time.Duration) {
		for end := r.now + length; r.now < end; {
			r.run(50*time.Millisecond, 61, "cheap")
			r.run(50*time.Millisecond, 21, "once")
		}
	}
	mixed(10 * time.Second)
	r.work = func(id decide.RequestID) time.Duration {
		if strings.HasPrefix(string(id), "once") {
			return 500 * time.Millisecond
		}
		return 0
	}
	r.reset()
	r.inTime = map[string]int{}
	mixed(10 * time.Second)
	if r.accused > 0 {
		t.Errorf("%d servers ejected because of expensive requests", r.accused)
	}
	if r.inTime["cheap"] < 190 {
		t.Errorf("%d of 300 of the class of unchanged cost were served in time, %d refused", r.inTime["cheap"], r.refused)
	}
	least, most := r.sent[1], r.sent[1]
	for _, n := range r.sent {
		least, most = min(least, n), max(most, n)
	}
	if len(r.sent) < 6 || most > 2*least {
		t.Errorf("uneven load on equal servers: %v", r.sent)
	}
}

// Overload in which each refused client retries twice: the class of high worth is still served, the servers' queues stay
// short, and hold-offs differ, so that refused clients don't come back all at once.
func TestOverloadWithClientRetries(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.retries, r.patience = 2, 1200*time.Millisecond
	free := map[decide.ServerID]time.Duration{}
	longest := time.Duration(0)
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) { // one request at a time, 20 ms each
		free[id] = max(free[id], r.now) + 20*time.Millisecond
		longest = max(longest, free[id]-r.now)
		return free[id] - r.now, decide.OK
	}
	mixed := func(length time.Duration, rate float64) int {
		start := r.next
		for end := r.now + length; r.now < end; {
			r.run(50*time.Millisecond, 40, "dear")
			r.run(50*time.Millisecond, rate, "cheap")
		}
		return r.next - start
	}
	mixed(10*time.Second, 60)
	r.inTime, longest, r.waits = map[string]int{}, 0, nil
	mixed(10*time.Second, 600) // 20 and 300 per second; the servers can do 200
	if r.inTime["dear"] < 170 {
		t.Errorf("%d of 200 requests of the class of high worth in time", r.inTime["dear"])
	}
	if r.inTime["cheap"] < 1000 {
		t.Errorf("%d requests of the class of low worth in time, of some 1800 that the servers could do", r.inTime["cheap"])
	}
	if longest > 300*time.Millisecond {
		t.Errorf("a server's queue of %v", longest)
	}
	seen := map[time.Duration]bool{}
	for _, w := range r.waits {
		seen[w] = true
	}
	if len(seen) < len(r.waits)/4 {
		t.Errorf("%d refusals with %d different hold-offs", len(r.waits), len(seen))
	}
}

// Guards against a burst that no single node can see: the first requests of many nodes, all at once, to a server that has
// just started.
func TestManyNodesTogetherSpareAColdServer(t *testing.T) {
	const nodes = 60
	s := rigSettings()
	s.Nodes = nodes
	total := 0
	for self := range nodes {
		s.Self = self
		r := newRig(t, s, 10)
		r.m = decide.New(s, int64(self))
		var list []decide.Server
		for i := range 10 {
			list = append(list, decide.Server{ID: decide.ServerID(i + 1), Zone: "z"})
		}
		r.feed(decide.ListUpdate{Kind: decide.ListCached, Entries: list})
		r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
			if id == 3 {
				return 10 * time.Millisecond, decide.OK // the fastest server, which every node prefers
			}
			return 50 * time.Millisecond, decide.OK
		}
		r.run(10*time.Second, 4, "cheap") // from all nodes together, 24 per second at each server
		list[2].StartedAt = r.now
		r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: list[2:3]})
		r.reset()
		r.run(s.OverloadTime, 4, "cheap")
		total += r.sent[3]
	}
	if budget := s.OverloadFactor * s.ColdFrom * 24 * s.OverloadTime.Seconds(); float64(total) > budget {
		t.Errorf("%d sends to a cold server, its budget is %.0f", total, budget)
	}
}

// Guards against a flood of log lines: a server that fails and recovers all the time is logged at most once in 5 s.
func TestLogIsLimited(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	r.run(3*time.Second, 100, "cheap")
	n := 0
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 1 {
			if n++; n%3 != 0 {
				return time.Millisecond, decide.Reset
			}
		}
		return 50 * time.Millisecond, decide.OK
	}
	r.accused = 0
	r.run(60*time.Second, 100, "cheap")
	if r.accused == 0 || r.accused > 13 {
		t.Errorf("%d log lines in a minute about one server", r.accused)
	}
}

func BenchmarkRequest(b *testing.B) {
	m := decide.New(rigSettings(), 1)
	var list []decide.Server
	for i := range 20 {
		list = append(list, decide.Server{ID: decide.ServerID(i + 1)})
	}
	m.Handle(0, decide.ListUpdate{Kind: decide.ListCached, Entries: list})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		id := decide.RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(now, decide.RequestArrived{ID: id, Class: "cheap", Patience: time.Second}) {
			if s, ok := a.(decide.Send); ok {
				m.Handle(now, decide.AttemptEnded{ID: id, Server: s.Server, Over: true, Elapsed: time.Millisecond})
			}
		}
		if i%25 == 0 {
			m.Handle(now, decide.TimerFired{Token: 0})
		}
	}
}

// Guards against forgetting how fast a lightly loaded fleet answers. If the queues of a minute's overload came to be taken
// for the normal latency, they would be allowed to grow until the servers slow down.
func TestLongOverloadDoesNotLengthenQueues(t *testing.T) {
	s := rigSettings()
	s.Classes[1].Aim = 10 * time.Second // such a long target allows long queues: only the unloaded latency bounds them
	r := newRig(t, s, 4)
	free := map[decide.ServerID]time.Duration{}
	var waits, answers time.Duration
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) { // one request at a time, 20 ms each
		free[id] = max(free[id], r.now) + 20*time.Millisecond
		waits, answers = waits+free[id]-r.now, answers+1
		return free[id] - r.now, decide.OK
	}
	r.run(10*time.Second, 100, "cheap")
	r.run(10*time.Second, 400, "cheap")
	waits, answers = 0, 0
	r.run(5*time.Second, 400, "cheap")
	early := waits / answers
	r.run(60*time.Second, 400, "cheap")
	waits, answers = 0, 0
	r.run(5*time.Second, 400, "cheap")
	if late := waits / answers; late > early*5/4 {
		t.Errorf("mean wait %v after 10 s of overload, %v after 75 s", early, late)
	} else {
		t.Log(early, late)
	}
}
