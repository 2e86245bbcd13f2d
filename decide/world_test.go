package decide_test

// A simulated environment that drives one module through legal but adverse events, and an independent checker of the
// rules that the module's actions must follow. It uses nothing of the module but its public interface.

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"starlingvalve/decide"
)

// sentAttempt is one attempt that the module has sent.
type sentAttempt struct {
	server decide.ServerID
	at     time.Duration
	ended  bool
	code   decide.OutcomeCode
}

// liveRequest is a request as the checker tracks it, from its arrival on.
type liveRequest struct {
	class    decide.Class
	deadline time.Duration
	attempts []sentAttempt
	final    bool // it has its final answer, or its client has left
	stream   bool // a streamed answer has begun
}

// listedServer is a server together with what the list has said of it.
type listed struct {
	decide.Server
	drainTold time.Duration // when the node was notified that it drains or is removed; 0: it is ready
	startTold bool          // the node has been notified of the time of its latest start
}

// scheduledEvent is an event that reaches the module at a later time.
type pending struct {
	at    time.Duration
	order int
	event decide.Event
	id    decide.RequestID
}

// world is the environment of one node: its clients, its servers and discovery. Time passes in fixed steps.
type world struct {
	set      decide.Settings
	r        *rand.Rand
	now      time.Duration
	queue    []pending
	order    int
	requests map[decide.RequestID]*liveRequest
	servers  map[decide.ServerID]*listed
	ids      []decide.ServerID
	sends    map[decide.ServerID][]time.Duration
	capacity float64 // requests per second: this node's share of what a warm server can serve
	module   *decide.Module
	mutate   func(w *world, a []decide.Action) []decide.Action // alters actions, to test the checker; may be nil
	events   []decide.Event
	times    []time.Duration
	actions  []string
	broken   []string
	next     int
}

// reportViolation records that the module has broken a rule.
func (w *world) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// schedule queues an event after a delay, which is at least Settings.MinTick.
func (w *world) later(d time.Duration, p pending) {
	w.order++
	p.at, p.order = w.now+max(d, w.set.MinTick), w.order
	w.queue = append(w.queue, p)
}

// handle passes an event to the module, and checks and executes the actions that it returns.
func (w *world) handle(e decide.Event) {
	w.events, w.times = append(w.events, e), append(w.times, w.now)
	actions := w.module.Handle(w.now, e)
	w.actions = append(w.actions, fmt.Sprintf("%#v", actions))
	if w.mutate != nil {
		actions = w.mutate(w, actions)
	}
	for _, a := range actions {
		w.carryOut(a)
	}
}

// sameScope tells whether two servers share their knowledge of keys. The checker has its own implementation of that
// rule, so that it does not depend on the module's.
func sameGroup(s decide.Scope, a, b *listed) bool {
	return s == decide.ScopeAll || s == decide.ScopeZone && a.Zone == b.Zone || s == decide.ScopeCell && a.Cell == b.Cell
}

// neverRan tells whether an outcome proves that the server did not execute the request.
func neverRan(c decide.OutcomeCode) bool {
	return c == decide.Full || c == decide.ConnectFailed || c == decide.Moot
}

// checkSend checks an attempt against every rule on sending: the request's state and deadline, the state of the server,
// repeats by effect, and the budget of a server in slow start.
func (w *world) checkSend(q *liveRequest, a decide.Send) {
	s := w.servers[a.Server]
	if s == nil {
		w.fault("send to server %d, which was never listed", a.Server)
		return
	}
	if q.final || q.stream {
		w.fault("send for a request that is over")
	}
	if w.now > q.deadline {
		w.fault("send after the deadline")
	}
	if len(q.attempts) >= w.set.MaxAttempts {
		w.fault("more than %d attempts", w.set.MaxAttempts)
	}
	if s.drainTold > 0 && w.now > s.drainTold+w.set.DrainGrace {
		w.fault("send to a server that drains or is gone")
	}
	for _, p := range q.attempts {
		if !p.ended && !w.set.MayOverlap {
			w.fault("two attempts out at once")
		}
		if p.ended && neverRan(p.code) || q.class.Effect == decide.Safe {
			continue
		}
		if q.class.Effect == decide.Unsafe {
			w.fault("unsafe request sent again")
		} else if !sameGroup(q.class.KeyScope, s, w.servers[p.server]) || w.now > p.at+q.class.DedupWindow {
			w.fault("keyed request sent outside its group or window")
		}
	}
	w.sends[a.Server] = append(w.sends[a.Server], w.now)
	age := (w.now - s.StartedAt).Seconds() / w.set.ColdTime.Seconds()
	if s.startTold && age < 1 {
		part := w.set.ColdFrom + (1-w.set.ColdFrom)*max(0, age)
		n := 0
		for _, at := range w.sends[a.Server] {
			if at > w.now-w.set.OverloadTime && at >= s.StartedAt {
				n++
			}
		}
		if limit := w.set.OverloadFactor * part * w.capacity * w.set.OverloadTime.Seconds(); float64(n) > limit+3 {
			w.fault("cold server %d was sent %d, its budget is %.1f", a.Server, n, limit)
		}
	}
}

// execute checks an action and schedules the events that follow from it.
func (w *world) carryOut(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		q := w.requests[a.ID]
		if q == nil {
			w.fault("send for an unknown request")
			return
		}
		w.checkSend(q, a)
		if w.servers[a.Server] == nil {
			return
		}
		q.attempts = append(q.attempts, sentAttempt{server: a.Server, at: w.now})
		w.outcome(a, q, len(q.attempts)-1)
	case decide.Refuse:
		q := w.final(a.ID)
		if q == nil {
			return
		}
		for _, p := range q.attempts {
			ran := !p.ended || !neverRan(p.code)
			if ran && (q.class.Effect == decide.Unsafe ||
				q.class.Effect == decide.Keyed && q.class.KeyScope != decide.ScopeAll) {
				w.fault("refused although it may have run")
			}
		}
	case decide.Fail:
		w.final(a.ID)
	case decide.CancelAttempt:
		q := w.requests[a.ID]
		if !w.set.MayCancel || q == nil || a.Attempt >= len(q.attempts) {
			w.fault("forbidden or unknown cancel")
			return
		}
		w.later(time.Millisecond, pending{id: a.ID, event: decide.AttemptEnded{ID: a.ID, Attempt: a.Attempt,
			Server: q.attempts[a.Attempt].server, Code: decide.Cancelled}})
	case decide.Probe:
		if !w.set.MayProbe {
			w.fault("forbidden probe")
		}
	case decide.SendMessage:
		if !w.set.MayMessage || len(a.Data) > 256 {
			w.fault("forbidden message")
		}
	case decide.SetTimer:
		late := time.Duration(0)
		if w.r.Intn(20) == 0 {
			late = time.Duration(w.r.Intn(200)) * time.Millisecond
		}
		w.later(a.After+late, pending{event: decide.TimerFired{Token: a.Token}})
	case decide.Subscribe, decide.FetchList:
		if w.r.Intn(3) == 0 {
			w.later(time.Second, pending{event: decide.ListUpdate{Kind: decide.ListFailed}})
		} else {
			w.later(50*time.Millisecond, pending{event: decide.ListUpdate{Kind: decide.ListChanges}})
		}
	}
}

// recordFinalAnswer marks a request as answered, and reports an answer that is the second one.
func (w *world) final(id decide.RequestID) *liveRequest {
	q := w.requests[id]
	if q == nil {
		w.fault("answer to an unknown request")
		return nil
	}
	if q.final {
		w.fault("second final answer")
	}
	q.final = true
	return q
}

// scheduleOutcome draws how an attempt ends, and when, and schedules its events.
func (w *world) outcome(a decide.Send, q *liveRequest, n int) {
	limit := q.deadline - w.now
	if a.Timeout != 0 {
		limit = min(limit, a.Timeout)
	}
	codes := []decide.OutcomeCode{decide.OK, decide.OK, decide.OK, decide.OK, decide.OK, decide.ServerError,
		decide.Full, decide.TimedOut, decide.ConnectFailed, decide.Reset, decide.Moot}
	code, took := codes[w.r.Intn(len(codes))], time.Duration(1+w.r.Intn(400))*time.Millisecond
	if uint32(a.Server)%5 == uint32(w.now.Seconds()/7)%5 && w.r.Intn(2) == 0 {
		code = decide.TimedOut // some servers are unresponsive for a while
	}
	if code == decide.TimedOut || took > limit {
		code, took = decide.TimedOut, limit
	}
	if q.class.Streamed && code == decide.OK && took > 10*time.Millisecond && w.r.Intn(2) == 0 {
		w.later(took/2, pending{event: decide.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: took / 2}})
	}
	var report *decide.Report
	if w.r.Intn(3) == 0 {
		report = &decide.Report{InFlight: float64(w.r.Intn(30)), HasInFlight: w.r.Intn(4) > 0}
	}
	w.later(took, pending{id: a.ID, event: decide.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: took,
		Code: code, Report: report}})
}

// deliver passes a scheduled event to the module as a network would: one outcome for each attempt, and none for a request
// that the node no longer knows.
func (w *world) deliver(p pending) {
	switch e := p.event.(type) {
	case decide.AttemptEnded:
		q := w.requests[e.ID]
		if q == nil || q.attempts[e.Attempt].ended {
			return
		}
		at := &q.attempts[e.Attempt]
		at.ended, at.code = true, e.Code
		e.Over = q.final || e.Code == decide.OK
		if e.Code == decide.OK && !q.final {
			q.final = true
		}
		w.handle(e)
		return
	case decide.StreamStarted:
		q := w.requests[e.ID]
		if q == nil || q.final || q.attempts[e.Attempt].ended {
			return
		}
		q.stream = true
	case decide.RequestAbandoned:
		q := w.requests[e.ID]
		if q == nil || q.final {
			return
		}
		q.final = true
	}
	w.handle(p.event)
}

// arrive brings a request of a random class.
func (w *world) arrive() {
	w.next++
	id := decide.RequestID(fmt.Sprintf("%036d", w.next))
	c := w.set.Classes[w.r.Intn(len(w.set.Classes))]
	patience := time.Duration(float64(c.Deadline) * (0.3 + 0.7*w.r.Float64()))
	if w.r.Intn(50) == 0 {
		patience = 0
	}
	w.requests[id] = &liveRequest{class: c, deadline: w.now + patience}
	if w.r.Intn(40) == 0 {
		w.later(patience/2, pending{event: decide.RequestAbandoned{ID: id}})
	}
	e := decide.RequestArrived{ID: id, Class: c.Name, Patience: patience}
	if len(w.set.Tenants) > 0 {
		e.Tenant = w.set.Tenants[w.r.Intn(len(w.set.Tenants))].Name
	}
	w.handle(e)
}

// newServer makes a server with a new id and a random zone and cell.
func (w *world) newServer(started time.Duration) decide.Server {
	w.next++
	return decide.Server{ID: decide.ServerID(w.next*2654435761 + 1), Zone: fmt.Sprint("z", w.r.Intn(2)),
		Cell: w.r.Intn(3), Size: 1, StartedAt: started}
}

// applyList records what a list says of its servers, for the checker, and passes the list to the module.
func (w *world) tell(kind decide.ListKind, entries []decide.Server) {
	in := map[decide.ServerID]bool{}
	for _, n := range entries {
		s := w.servers[n.ID]
		if s == nil {
			s = &listed{}
			w.servers[n.ID] = s
			w.ids = append(w.ids, n.ID)
		}
		s.startTold = n.State == decide.Ready && n.StartedAt > 0
		s.Server = n
		in[n.ID] = true
		if n.State == decide.Ready {
			s.drainTold = 0
		} else if s.drainTold == 0 {
			s.drainTold = w.now
		}
	}
	if kind != decide.ListChanges {
		for _, id := range w.ids {
			if s := w.servers[id]; !in[id] && s.drainTold == 0 {
				s.drainTold, s.State = w.now, decide.Gone
			}
		}
	}
	w.handle(decide.ListUpdate{Kind: kind, Entries: entries})
}

// changeList makes one random change: a server drains, is removed, restarts or is added; or the whole list comes again, or
// discovery fails.
func (w *world) changeList() {
	s := w.servers[w.ids[w.r.Intn(len(w.ids))]].Server
	switch w.r.Intn(6) {
	case 0:
		s.State = decide.Draining
	case 1:
		s.State = decide.Gone
	case 2:
		s.State, s.StartedAt = decide.Ready, w.now
	case 3:
		s = w.newServer(w.now)
	case 4:
		var all []decide.Server
		for _, id := range w.ids {
			if e := w.servers[id].Server; e.State != decide.Gone {
				all = append(all, e)
			}
		}
		w.tell(decide.ListFull, all)
		return
	case 5:
		if w.set.AskForList {
			w.handle(decide.ListUpdate{Kind: decide.ListFailed})
		}
		return
	}
	w.tell(decide.ListChanges, []decide.Server{s})
}

// start starts the node's process anew: a new module, which begins with the cached list and no requests.
func (w *world) start() {
	w.module = decide.New(w.set, w.r.Int63())
	w.requests, w.queue = map[decide.RequestID]*liveRequest{}, nil
	var all []decide.Server
	for _, id := range w.ids {
		if e := w.servers[id].Server; e.State != decide.Gone {
			all = append(all, e)
		}
	}
	for len(all) < 4 {
		all = append(all, w.newServer(0))
	}
	w.servers, w.ids = map[decide.ServerID]*listed{}, nil
	w.tell(decide.ListCached, all)
}

// run simulates a period of time with so many arrivals per second. The node may be restarted during it if restarts is set.
func (w *world) run(length time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := w.now + length; w.now < end; w.now += step {
		sort.SliceStable(w.queue, func(i, j int) bool {
			return w.queue[i].at < w.queue[j].at || w.queue[i].at == w.queue[j].at && w.queue[i].order < w.queue[j].order
		})
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			p := w.queue[0]
			w.queue = w.queue[1:]
			w.deliver(p)
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if w.r.Float64() < n {
				w.arrive()
			}
		}
		if w.r.Intn(150) == 0 {
			w.changeList()
		}
		if restarts && w.r.Intn(1500) == 0 {
			w.start()
		}
		for id, q := range w.requests {
			if !q.final && !q.stream && w.now > q.deadline+w.set.AnswerSlack+step {
				w.fault("request %s has no answer in time", id)
				q.final = true
			}
		}
	}
}

// newWorld draws settings and classes at random, within what the interface permits, and starts the node.
func newWorld(seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	w := &world{r: r, now: time.Hour, servers: map[decide.ServerID]*listed{}, sends: map[decide.ServerID][]time.Duration{}}
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+r.Intn(hi-lo)) * time.Millisecond }
	w.set = decide.Settings{Nodes: 1 + r.Intn(6), Zone: "z0", MaxAttempts: 1 + r.Intn(5), MayOverlap: r.Intn(2) == 0,
		MayCancel: r.Intn(3) > 0, MayProbe: r.Intn(2) == 0, MayMessage: r.Intn(2) == 0, HoldOffs: r.Intn(2) == 0,
		MaxHoldOff: time.Second, ConnectTimeout: 100 * time.Millisecond, MinTick: 5 * time.Millisecond,
		AskForList: r.Intn(2) == 0, AnswerSlack: 20 * time.Millisecond, AskWithin: 10 * time.Second,
		DrainGrace: ms(0, 1000), ColdFrom: 0.3, ColdTime: ms(3000, 9000), OverloadFactor: 2.5, OverloadTime: time.Second}
	for i, n := 0, 1+r.Intn(4); i < n; i++ {
		aim := ms(100, 1500)
		w.set.Classes = append(w.set.Classes, decide.Class{Name: fmt.Sprint("c", i), Worth: float64(r.Intn(13)), Aim: aim,
			Deadline: 2*aim + ms(0, 2000), LateWorth: float64(r.Intn(2)) / 2, Effect: decide.Effect(r.Intn(3)),
			KeyScope: decide.Scope(r.Intn(3)), DedupWindow: ms(100, 4000), Streamed: r.Intn(4) == 0})
	}
	if r.Intn(3) == 0 {
		w.set.Tenants = []decide.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	w.start()
	return w
}
