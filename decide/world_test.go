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
	sentAt time.Duration
	ended  bool
	code   decide.OutcomeCode
}

// liveRequest is a request as the checker tracks it, from its arrival on.
type liveRequest struct {
	class     decide.Class
	deadline  time.Duration
	attempts  []sentAttempt
	answered  bool // it has its final answer, or its client has left
	streaming bool // a streamed answer has begun
}

// listedServer is a server together with what the list has said of it.
type listedServer struct {
	decide.Server
	drainNotifiedAt time.Duration // when the node was notified that it drains or is removed; 0: it is ready
	startNotified   bool          // the node has been notified of the time of its latest start
}

// scheduledEvent is an event that reaches the module at a later time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	event    decide.Event
	id       decide.RequestID
}

// world is the environment of one node: its clients, its servers and discovery. Time passes in fixed steps.
type world struct {
	settings   decide.Settings
	random     *rand.Rand
	now        time.Duration
	queue      []scheduledEvent
	sequence   int
	requests   map[decide.RequestID]*liveRequest
	servers    map[decide.ServerID]*listedServer
	serverIDs  []decide.ServerID
	sendTimes  map[decide.ServerID][]time.Duration
	capacity   float64 // requests per second: this node's share of what a warm server can serve
	module     *decide.Module
	mutate     func(w *world, a []decide.Action) []decide.Action // alters actions, to test the checker; may be nil
	events     []decide.Event
	times      []time.Duration
	actions    []string
	violations []string
	lastID     int
}

// reportViolation records that the module has broken a rule.
func (w *world) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// schedule queues an event after a delay, which is at least Settings.MinTick.
func (w *world) schedule(delay time.Duration, event scheduledEvent) {
	w.sequence++
	event.at, event.sequence = w.now+max(delay, w.settings.MinTick), w.sequence
	w.queue = append(w.queue, event)
}

// handle passes an event to the module, and checks and executes the actions that it returns.
func (w *world) handle(event decide.Event) {
	w.events, w.times = append(w.events, event), append(w.times, w.now)
	actions := w.module.Handle(w.now, event)
	w.actions = append(w.actions, fmt.Sprintf("%#v", actions))
	if w.mutate != nil {
		actions = w.mutate(w, actions)
	}
	for _, a := range actions {
		w.execute(a)
	}
}

// sameScope tells whether two servers share their knowledge of keys. The checker has its own implementation of that
// rule, so that it does not depend on the module's.
func sameScope(scope decide.Scope, a, b *listedServer) bool {
	return scope == decide.ScopeAll || scope == decide.ScopeZone && a.Zone == b.Zone ||
		scope == decide.ScopeCell && a.Cell == b.Cell
}

// neverRan tells whether an outcome proves that the server did not execute the request.
func neverRan(c decide.OutcomeCode) bool {
	return c == decide.Full || c == decide.ConnectFailed || c == decide.Moot
}

// checkSend checks an attempt against every rule on sending: the request's state and deadline, the state of the server,
// repeats by effect, and the budget of a server in slow start.
func (w *world) checkSend(request *liveRequest, send decide.Send) {
	server := w.servers[send.Server]
	if server == nil {
		w.reportViolation("send to server %d, which was never listed", send.Server)
		return
	}
	if request.answered || request.streaming {
		w.reportViolation("send for a request that is over")
	}
	if w.now > request.deadline {
		w.reportViolation("send after the deadline")
	}
	if len(request.attempts) >= w.settings.MaxAttempts {
		w.reportViolation("more than %d attempts", w.settings.MaxAttempts)
	}
	if server.drainNotifiedAt > 0 && w.now > server.drainNotifiedAt+w.settings.DrainGrace {
		w.reportViolation("send to a server that drains or is gone")
	}
	for _, earlier := range request.attempts {
		if !earlier.ended && !w.settings.MayOverlap {
			w.reportViolation("two attempts out at once")
		}
		if earlier.ended && neverRan(earlier.code) || request.class.Effect == decide.Safe {
			continue
		}
		if request.class.Effect == decide.Unsafe {
			w.reportViolation("unsafe request sent again")
		} else if !sameScope(request.class.KeyScope, server, w.servers[earlier.server]) ||
			w.now > earlier.sentAt+request.class.DedupWindow {
			w.reportViolation("keyed request sent outside its group or window")
		}
	}
	w.sendTimes[send.Server] = append(w.sendTimes[send.Server], w.now)
	warmth := (w.now - server.StartedAt).Seconds() / w.settings.ColdTime.Seconds()
	if server.startNotified && warmth < 1 {
		capacityPart := w.settings.ColdFrom + (1-w.settings.ColdFrom)*max(0, warmth)
		sentWithinWindow := 0
		for _, at := range w.sendTimes[send.Server] {
			if at > w.now-w.settings.OverloadTime && at >= server.StartedAt {
				sentWithinWindow++
			}
		}
		if limit := w.settings.OverloadFactor * capacityPart * w.capacity *
			w.settings.OverloadTime.Seconds(); float64(sentWithinWindow) > limit+3 {
			w.reportViolation("cold server %d was sent %d, its budget is %.1f", send.Server, sentWithinWindow, limit)
		}
	}
}

// execute checks an action and schedules the events that follow from it.
func (w *world) execute(action decide.Action) {
	switch action := action.(type) {
	case decide.Send:
		request := w.requests[action.ID]
		if request == nil {
			w.reportViolation("send for an unknown request")
			return
		}
		w.checkSend(request, action)
		if w.servers[action.Server] == nil {
			return
		}
		request.attempts = append(request.attempts, sentAttempt{server: action.Server, sentAt: w.now})
		w.scheduleOutcome(action, request, len(request.attempts)-1)
	case decide.Refuse:
		request := w.recordFinalAnswer(action.ID)
		if request == nil {
			return
		}
		for _, attempt := range request.attempts {
			ran := !attempt.ended || !neverRan(attempt.code)
			if ran && (request.class.Effect == decide.Unsafe ||
				request.class.Effect == decide.Keyed && request.class.KeyScope != decide.ScopeAll) {
				w.reportViolation("refused although it may have run")
			}
		}
	case decide.Fail:
		w.recordFinalAnswer(action.ID)
	case decide.CancelAttempt:
		request := w.requests[action.ID]
		if !w.settings.MayCancel || request == nil || action.Attempt >= len(request.attempts) {
			w.reportViolation("forbidden or unknown cancel")
			return
		}
		w.schedule(time.Millisecond, scheduledEvent{id: action.ID, event: decide.AttemptEnded{ID: action.ID,
			Attempt: action.Attempt, Server: request.attempts[action.Attempt].server, Code: decide.Cancelled}})
	case decide.Probe:
		if !w.settings.MayProbe {
			w.reportViolation("forbidden probe")
		}
	case decide.SendMessage:
		if !w.settings.MayMessage || len(action.Data) > 256 {
			w.reportViolation("forbidden message")
		}
	case decide.SetTimer:
		late := time.Duration(0)
		if w.random.Intn(20) == 0 {
			late = time.Duration(w.random.Intn(200)) * time.Millisecond
		}
		w.schedule(action.After+late, scheduledEvent{event: decide.TimerFired{Token: action.Token}})
	case decide.Subscribe, decide.FetchList:
		if w.random.Intn(3) == 0 {
			w.schedule(time.Second, scheduledEvent{event: decide.ListUpdate{Kind: decide.ListFailed}})
		} else {
			w.schedule(50*time.Millisecond, scheduledEvent{event: decide.ListUpdate{Kind: decide.ListChanges}})
		}
	}
}

// recordFinalAnswer marks a request as answered, and reports an answer that is the second one.
func (w *world) recordFinalAnswer(id decide.RequestID) *liveRequest {
	request := w.requests[id]
	if request == nil {
		w.reportViolation("answer to an unknown request")
		return nil
	}
	if request.answered {
		w.reportViolation("second final answer")
	}
	request.answered = true
	return request
}

// scheduleOutcome draws how an attempt ends, and when, and schedules its events.
func (w *world) scheduleOutcome(send decide.Send, request *liveRequest, attempt int) {
	limit := request.deadline - w.now
	if send.Timeout != 0 {
		limit = min(limit, send.Timeout)
	}
	codes := []decide.OutcomeCode{decide.OK, decide.OK, decide.OK, decide.OK, decide.OK, decide.ServerError,
		decide.Full, decide.TimedOut, decide.ConnectFailed, decide.Reset, decide.Moot}
	code, took := codes[w.random.Intn(len(codes))], time.Duration(1+w.random.Intn(400))*time.Millisecond
	if uint32(send.Server)%5 == uint32(w.now.Seconds()/7)%5 && w.random.Intn(2) == 0 {
		code = decide.TimedOut // some servers are unresponsive for a while
	}
	if code == decide.TimedOut || took > limit {
		code, took = decide.TimedOut, limit
	}
	if request.class.Streamed && code == decide.OK && took > 10*time.Millisecond && w.random.Intn(2) == 0 {
		w.schedule(took/2, scheduledEvent{event: decide.StreamStarted{ID: send.ID, Attempt: attempt,
			Server: send.Server, Elapsed: took / 2}})
	}
	var report *decide.Report
	if w.random.Intn(3) == 0 {
		report = &decide.Report{InFlight: float64(w.random.Intn(30)), HasInFlight: w.random.Intn(4) > 0}
	}
	w.schedule(took, scheduledEvent{id: send.ID, event: decide.AttemptEnded{ID: send.ID, Attempt: attempt,
		Server: send.Server, Elapsed: took, Code: code, Report: report}})
}

// deliver passes a scheduled event to the module as a network would: one outcome for each attempt, and none for a
// request that the node no longer knows.
func (w *world) deliver(scheduled scheduledEvent) {
	switch event := scheduled.event.(type) {
	case decide.AttemptEnded:
		request := w.requests[event.ID]
		if request == nil || request.attempts[event.Attempt].ended {
			return
		}
		attempt := &request.attempts[event.Attempt]
		attempt.ended, attempt.code = true, event.Code
		event.RequestDone = request.answered || event.Code == decide.OK
		if event.Code == decide.OK && !request.answered {
			request.answered = true
		}
		w.handle(event)
		return
	case decide.StreamStarted:
		request := w.requests[event.ID]
		if request == nil || request.answered || request.attempts[event.Attempt].ended {
			return
		}
		request.streaming = true
	case decide.RequestAbandoned:
		request := w.requests[event.ID]
		if request == nil || request.answered {
			return
		}
		request.answered = true
	}
	w.handle(scheduled.event)
}

// arrive brings a request of a random class.
func (w *world) arrive() {
	w.lastID++
	id := decide.RequestID(fmt.Sprintf("%036d", w.lastID))
	class := w.settings.Classes[w.random.Intn(len(w.settings.Classes))]
	patience := time.Duration(float64(class.Deadline) * (0.3 + 0.7*w.random.Float64()))
	if w.random.Intn(50) == 0 {
		patience = 0
	}
	w.requests[id] = &liveRequest{class: class, deadline: w.now + patience}
	if w.random.Intn(40) == 0 {
		w.schedule(patience/2, scheduledEvent{event: decide.RequestAbandoned{ID: id}})
	}
	event := decide.RequestArrived{ID: id, Class: class.Name, Patience: patience}
	if len(w.settings.Tenants) > 0 {
		event.Tenant = w.settings.Tenants[w.random.Intn(len(w.settings.Tenants))].Name
	}
	w.handle(event)
}

// newServer makes a server with a new id and a random zone and cell.
func (w *world) newServer(started time.Duration) decide.Server {
	w.lastID++
	return decide.Server{ID: decide.ServerID(w.lastID*2654435761 + 1), Zone: fmt.Sprint("z", w.random.Intn(2)),
		Cell: w.random.Intn(3), Size: 1, StartedAt: started}
}

// applyList records what a list says of its servers, for the checker, and passes the list to the module.
func (w *world) applyList(kind decide.ListKind, entries []decide.Server) {
	present := map[decide.ServerID]bool{}
	for _, entry := range entries {
		server := w.servers[entry.ID]
		if server == nil {
			server = &listedServer{}
			w.servers[entry.ID] = server
			w.serverIDs = append(w.serverIDs, entry.ID)
		}
		server.startNotified = entry.State == decide.Ready && entry.StartedAt > 0
		server.Server = entry
		present[entry.ID] = true
		if entry.State == decide.Ready {
			server.drainNotifiedAt = 0
		} else if server.drainNotifiedAt == 0 {
			server.drainNotifiedAt = w.now
		}
	}
	if kind != decide.ListChanges {
		for _, id := range w.serverIDs {
			if server := w.servers[id]; !present[id] && server.drainNotifiedAt == 0 {
				server.drainNotifiedAt, server.State = w.now, decide.Removed
			}
		}
	}
	w.handle(decide.ListUpdate{Kind: kind, Entries: entries})
}

// changeList makes one random change: a server drains, is removed, restarts or is added; or the whole list comes again,
// or discovery fails.
func (w *world) changeList() {
	server := w.servers[w.serverIDs[w.random.Intn(len(w.serverIDs))]].Server
	switch w.random.Intn(6) {
	case 0:
		server.State = decide.Draining
	case 1:
		server.State = decide.Removed
	case 2:
		server.State, server.StartedAt = decide.Ready, w.now
	case 3:
		server = w.newServer(w.now)
	case 4:
		var all []decide.Server
		for _, id := range w.serverIDs {
			if entry := w.servers[id].Server; entry.State != decide.Removed {
				all = append(all, entry)
			}
		}
		w.applyList(decide.ListFull, all)
		return
	case 5:
		if w.settings.ListOnRequest {
			w.handle(decide.ListUpdate{Kind: decide.ListFailed})
		}
		return
	}
	w.applyList(decide.ListChanges, []decide.Server{server})
}

// start starts the node's process anew: a new module, which begins with the cached list and no requests.
func (w *world) start() {
	w.module = decide.New(w.settings, w.random.Int63())
	w.requests, w.queue = map[decide.RequestID]*liveRequest{}, nil
	var all []decide.Server
	for _, id := range w.serverIDs {
		if entry := w.servers[id].Server; entry.State != decide.Removed {
			all = append(all, entry)
		}
	}
	for len(all) < 4 {
		all = append(all, w.newServer(0))
	}
	w.servers, w.serverIDs = map[decide.ServerID]*listedServer{}, nil
	w.applyList(decide.ListCached, all)
}

// run simulates a period of time with so many arrivals per second. The node may be restarted during it if restarts is
// set.
func (w *world) run(length time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := w.now + length; w.now < end; w.now += step {
		sort.SliceStable(w.queue, func(i, j int) bool {
			return w.queue[i].at < w.queue[j].at ||
				w.queue[i].at == w.queue[j].at && w.queue[i].sequence < w.queue[j].sequence
		})
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			event := w.queue[0]
			w.queue = w.queue[1:]
			w.deliver(event)
		}
		for expected := rate * step.Seconds(); expected > 0; expected-- {
			if w.random.Float64() < expected {
				w.arrive()
			}
		}
		if w.random.Intn(150) == 0 {
			w.changeList()
		}
		if restarts && w.random.Intn(1500) == 0 {
			w.start()
		}
		for id, request := range w.requests {
			if !request.answered && !request.streaming && w.now > request.deadline+w.settings.AnswerSlack+step {
				w.reportViolation("request %s has no answer in time", id)
				request.answered = true
			}
		}
	}
}

// newWorld draws settings and classes at random, within what the interface permits, and starts the node.
func newWorld(seed int64) *world {
	random := rand.New(rand.NewSource(seed))
	w := &world{random: random, now: time.Hour, servers: map[decide.ServerID]*listedServer{},
		sendTimes: map[decide.ServerID][]time.Duration{}}
	randomMillis := func(lo, hi int) time.Duration { return time.Duration(lo+random.Intn(hi-lo)) * time.Millisecond }
	w.settings = decide.Settings{Nodes: 1 + random.Intn(6), Zone: "z0", MaxAttempts: 1 + random.Intn(5),
		MayOverlap: random.Intn(2) == 0, MayCancel: random.Intn(3) > 0, MayProbe: random.Intn(2) == 0,
		MayMessage: random.Intn(2) == 0, HoldOffs: random.Intn(2) == 0,
		MaxHoldOff: time.Second, ConnectTimeout: 100 * time.Millisecond, MinTick: 5 * time.Millisecond,
		ListOnRequest: random.Intn(2) == 0, AnswerSlack: 20 * time.Millisecond, MaxListRequestInterval: 10 * time.Second,
		DrainGrace: randomMillis(0, 1000), ColdFrom: 0.3, ColdTime: randomMillis(3000, 9000), OverloadFactor: 2.5,
		OverloadTime: time.Second}
	for i, n := 0, 1+random.Intn(4); i < n; i++ {
		aim := randomMillis(100, 1500)
		w.settings.Classes = append(w.settings.Classes, decide.Class{Name: fmt.Sprint("c", i),
			Worth: float64(random.Intn(13)), Aim: aim, Deadline: 2*aim + randomMillis(0, 2000),
			LateWorth: float64(random.Intn(2)) / 2, Effect: decide.Effect(random.Intn(3)),
			KeyScope: decide.Scope(random.Intn(3)), DedupWindow: randomMillis(100, 4000), Streamed: random.Intn(4) == 0})
	}
	if random.Intn(3) == 0 {
		w.settings.Tenants = []decide.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	w.start()
	return w
}
