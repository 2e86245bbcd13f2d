package decide

// A simulation, in virtual time, of a fleet of nodes that run the real module and share the same servers. Some of the
// servers start cold. The simulation records which attempts each cold server gets, and which of them came from nodes
// that had been notified of its start; coldverdict_test.go compares that with what the settings allow.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	coldLeadTime      = 12 * time.Second // of traffic before the cold servers start
	coldShiftInterval = 2 * time.Second  // between two draws of the nodes' shares of the traffic
	coldMessageLoss   = 0.3              // part of the datagrams that a lossy path drops
	coldNotifySeconds = 2.5              // in seconds; a node is notified of a start at most this long plus 50 ms after it
	coldAbsence       = 2 * time.Second  // for which a server that rejoins was unreachable
	coldServerCores   = 6                // requests that a server works on at once
	coldPatience      = 2 * time.Second  // until a client gives up, over all its tries
	coldMaxTries      = 5                // by a client whose request is refused
)

// coldClasses gives each class's share of the requests, and its work as a multiple of the mean request's:
// 0.625 x 0.6 + 0.375 x 5/3 = 1.
var coldClasses = []struct {
	name        string
	share, work float64
}{{"cheap", 0.625, 0.6}, {"expensive", 0.375, 5.0 / 3}}

// coldSend is one attempt that a cold server was sent.
type coldSend struct {
	sentAt   Time
	work     float64 // as a multiple of the mean request's
	notified bool    // its node had been notified of the server's start
}

// coldServer is a server with a queue in front of coldServerCores cores.
type coldServer struct {
	entry       Server
	unreachable bool   // connections to it fail
	coreFreeAt  []Time // when each core is free
	heldUntil   []Time // when each request that it holds will be done
	sends       []coldSend
	startsCold  bool // it starts cold during the run
}

// coldNode is a node of the fleet.
type coldNode struct {
	module        *Module
	processNumber int               // counts the node's processes: events of an earlier process are dropped
	up            bool              // its process runs
	weight        float64           // its part of all requests, beside the other nodes' weights
	notified      map[ServerID]bool // servers whose cold start it has been notified of
	pending       map[RequestID]*coldRequest
}

// coldRequest is a request of a client, over all its tries.
type coldRequest struct {
	class, attempts, tries int
	deadline               Time
}

// coldFleet is the simulation of one scenario.
type coldFleet struct {
	coldScenario
	settings      Settings
	now           Time
	coldStartAt   Time // when the cold servers start
	endAt         Time // of the run, ColdTime later
	queue         timedQueue
	sequence      int
	random        *rand.Rand
	nodes         []*coldNode
	servers       map[ServerID]*coldServer
	serverIDs     []ServerID
	lastRequestID int
}

// newColdFleet builds the fleet of a scenario. It draws the settings of slow start from the scenario's seed.
func newColdFleet(scenario coldScenario) *coldFleet {
	fleet := &coldFleet{coldScenario: scenario, now: time.Hour, servers: map[ServerID]*coldServer{}}
	fleet.random = rand.New(rand.NewPCG(scenario.seed, 40))
	fleet.coldStartAt = fleet.now + coldLeadTime
	fleet.settings = fleetSettings(0)
	fleet.settings.Nodes = scenario.nodeCount
	fleet.settings.ColdFrom = 0.1 + 0.4*fleet.random.Float64()
	fleet.settings.ColdTime = time.Duration(4 * math.Pow(5, fleet.random.Float64()) * float64(time.Second))
	fleet.settings.OverloadFactor = 2 + fleet.random.Float64()
	fleet.settings.OverloadTime = time.Duration(1+fleet.random.IntN(2)) * time.Second
	fleet.settings.MayMessage = scenario.messages != messagesOff
	fleet.endAt = fleet.coldStartAt + fleet.settings.ColdTime
	for i := range scenario.serverCount {
		fleet.addServer(ServerID(i+1), 0)
	}
	for i := range scenario.nodeCount {
		fleet.nodes = append(fleet.nodes, &coldNode{notified: map[ServerID]bool{}})
		fleet.startProcess(i)
	}
	return fleet
}

// addServer adds a server that is ready. It was started at the given time; 0: long ago.
func (f *coldFleet) addServer(id ServerID, started Time) {
	entry := Server{ID: id, Zone: "a", Kind: "k", Cell: int(id) % 4, State: Ready, Size: 1, StartedAt: started}
	f.servers[id] = &coldServer{entry: entry, coreFreeAt: make([]Time, coldServerCores)}
	f.serverIDs = append(f.serverIDs, id)
}

// drawWeights draws which part of all requests each node gets.
func (f *coldFleet) drawWeights() {
	busy := f.random.IntN(len(f.nodes))
	for i, node := range f.nodes {
		node.weight = 1
		switch {
		case f.traffic == trafficUneven:
			node.weight = math.Exp(f.random.NormFloat64())
		case f.traffic == trafficMoving:
			if (i-busy+len(f.nodes))%len(f.nodes) < max(1, len(f.nodes)/5) {
				node.weight = 20
			}
		}
	}
}

// schedule has a function called at a time, or now if that time has passed.
func (f *coldFleet) schedule(at Time, do func()) {
	f.sequence++
	heap.Push(&f.queue, timedEvent{max(at, f.now), f.sequence, do})
}

// startProcess starts a new process of a node with the list as discovery has it now.
func (f *coldFleet) startProcess(i int) {
	node, settings := f.nodes[i], f.settings
	settings.Self = i
	node.processNumber++
	node.module, node.up, node.pending = New(settings, f.random.Int64()), true, map[RequestID]*coldRequest{}
	var list []Server
	for _, id := range f.serverIDs {
		if server := f.servers[id]; server.entry.State == Ready {
			list = append(list, server.entry)
			node.notified[id] = server.startsCold
		}
	}
	f.handle(i, ListUpdate{Kind: ListCached, Entries: list})
}

// scheduleEvent passes a node an event at the given time, unless the process that runs now has ended by then.
func (f *coldFleet) scheduleEvent(i int, at Time, e Event) {
	processNumber := f.nodes[i].processNumber
	f.schedule(at, func() {
		if f.nodes[i].processNumber == processNumber && f.nodes[i].up {
			f.handle(i, e)
		}
	})
}

// handle passes an event to a node's module and executes the actions that it returns.
func (f *coldFleet) handle(i int, event Event) {
	node := f.nodes[i]
	if ended, ok := event.(AttemptEnded); ok {
		request := node.pending[ended.ID]
		if request == nil {
			return
		}
		if ended.Code == OK {
			ended.RequestDone = true
			delete(node.pending, ended.ID)
		}
		event = ended
	}
	var messages []SendMessage
	for _, a := range slices.Clone(node.module.Handle(f.now, event)) {
		switch a := a.(type) {
		case Send:
			f.sendAttempt(i, a)
		case Refuse:
			f.retryRefused(node.pending[a.ID], a.HoldOff)
			delete(node.pending, a.ID)
		case Fail:
			delete(node.pending, a.ID)
		case Probe:
			f.probe(i, a.Server)
		case SendMessage:
			messages = append(messages, a)
		case SetTimer:
			f.scheduleEvent(i, f.now+a.After, TimerFired{Token: a.Token})
		}
	}
	if len(messages) > 0 {
		f.schedule(f.now+time.Duration(3+f.random.IntN(15))*time.Millisecond, func() { f.deliver(i, messages) })
	}
}

// capacityPart is the part of its warm capacity that a server has at a time, from Settings.ColdFrom to 1.
func (f *coldFleet) capacityPart(server *coldServer, at Time) float64 {
	if server.entry.StartedAt == 0 {
		return 1
	}
	warmth := math.Min(1, math.Max(0, (at-server.entry.StartedAt).Seconds()/f.settings.ColdTime.Seconds()))
	return f.settings.ColdFrom + (1-f.settings.ColdFrom)*warmth
}

// sendAttempt has a server take an attempt of node i, or refuse it, and schedules its outcome. A server whose queue
// holds ten requests for each core answers that it is full.
func (f *coldFleet) sendAttempt(i int, send Send) {
	node, server := f.nodes[i], f.servers[send.Server]
	request := node.pending[send.ID]
	work := coldClasses[request.class].work
	attempt := request.attempts
	request.attempts++
	ended := AttemptEnded{ID: send.ID, Attempt: attempt, Server: send.Server}
	if server.unreachable {
		ended.Elapsed, ended.Code = time.Millisecond, ConnectFailed
		f.scheduleEvent(i, f.now+ended.Elapsed, ended)
		return
	}
	if server.startsCold {
		server.sends = append(server.sends, coldSend{f.now, work, node.notified[send.Server]})
	}
	server.heldUntil = slices.DeleteFunc(server.heldUntil, func(t Time) bool { return t <= f.now })
	if len(server.heldUntil) >= 10*coldServerCores {
		ended.Elapsed, ended.Code = 2*time.Millisecond, Full
		f.scheduleEvent(i, f.now+ended.Elapsed, ended)
		return
	}
	freest := 0
	for core := range server.coreFreeAt {
		if server.coreFreeAt[core] < server.coreFreeAt[freest] {
			freest = core
		}
	}
	seconds := work * f.random.ExpFloat64() * coldServerCores / f.capacity / f.capacityPart(server, f.now)
	server.coreFreeAt[freest] = max(server.coreFreeAt[freest], f.now) + time.Duration(seconds*float64(time.Second))
	doneAt := server.coreFreeAt[freest] + time.Millisecond
	server.heldUntil = append(server.heldUntil, doneAt)
	if ended.Code = OK; doneAt > f.now+send.Timeout {
		doneAt, ended.Code = f.now+send.Timeout, TimedOut
	}
	ended.Elapsed = doneAt - f.now
	f.scheduleEvent(i, doneAt, ended)
}

// probe schedules the result of a probe by node i.
func (f *coldFleet) probe(i int, id ServerID) {
	server, result := f.servers[id], ProbeEnded{Server: id, Elapsed: 2 * time.Millisecond}
	server.heldUntil = slices.DeleteFunc(server.heldUntil, func(t Time) bool { return t <= f.now })
	if result.Code = OK; server.unreachable {
		result.Code = ConnectFailed
	} else {
		held := float64(len(server.heldUntil))
		result.Report = &Report{InFlight: held, Queue: math.Max(0, held-coldServerCores), HasInFlight: true,
			HasQueue: true}
	}
	f.scheduleEvent(i, f.now+result.Elapsed, result)
}

// deliver passes a node's messages to their recipients. On a lossy path some of them are lost.
func (f *coldFleet) deliver(from int, messages []SendMessage) {
	for _, message := range messages {
		first, last := message.To, message.To
		if message.ToAll {
			first, last = 0, len(f.nodes)-1
		}
		for j := first; j <= last; j++ {
			lost := f.messages == messagesLossy && f.random.Float64() < coldMessageLoss
			if j != from && f.nodes[j].up && !lost {
				f.handle(j, MessageReceived{From: from, Data: message.Data})
			}
		}
	}
}

// retryRefused has the client of a refused request try again, after the hold-off that it was given or 10 to 110 ms,
// whichever is longer.
func (f *coldFleet) retryRefused(request *coldRequest, holdOff time.Duration) {
	if request == nil || request.tries >= coldMaxTries {
		return
	}
	at := f.now + max(holdOff, time.Duration(10+f.random.IntN(100))*time.Millisecond)
	retry := *request
	retry.attempts, retry.tries = 0, request.tries+1
	if at < retry.deadline {
		f.schedule(at, func() { f.sendRequest(&retry) })
	}
}

// sendRequest has a client's request arrive at one of the nodes that are up, drawn by their weights.
func (f *coldFleet) sendRequest(request *coldRequest) {
	totalWeight := 0.0
	for _, node := range f.nodes {
		if node.up {
			totalWeight += node.weight
		}
	}
	point := f.random.Float64() * totalWeight
	for i, node := range f.nodes {
		if !node.up {
			continue
		}
		if point -= node.weight; point <= 0 {
			f.lastRequestID++
			id := RequestID(fmt.Sprint(f.lastRequestID))
			node.pending[id] = request
			f.handle(i, RequestArrived{ID: id, Class: coldClasses[request.class].name,
				Patience: request.deadline - f.now})
			return
		}
	}
}

// arrive has a new request arrive now, and schedules the next one after a random interval, up to the end of the run.
func (f *coldFleet) arrive() {
	rate := f.load * f.capacity * float64(f.serverCount)
	switch sinceStart := f.now - f.coldStartAt; {
	case sinceStart < 0:
	case f.idlePeriod && sinceStart < f.settings.ColdTime/2:
		rate /= 10
	case f.burst && sinceStart < f.settings.ColdTime*8/10:
		rate *= 1.5
	}
	request := &coldRequest{tries: 1, deadline: f.now + coldPatience}
	if f.random.Float64() > coldClasses[0].share {
		request.class = 1
	}
	f.sendRequest(request)
	if next := f.now + time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)); next < f.endAt {
		f.schedule(next, f.arrive)
	}
}

// notify passes the changed entry of a server to every node, to each after 50 ms and a random part of within seconds.
func (f *coldFleet) notify(server *coldServer, within float64) {
	for i, node := range f.nodes {
		processNumber, entry := node.processNumber, server.entry
		f.schedule(f.now+time.Duration((0.05+within*f.random.Float64())*float64(time.Second)), func() {
			// A process that started later has the entry from its first list.
			if node.processNumber == processNumber && node.up {
				node.notified[entry.ID] = server.startsCold
				f.handle(i, ListUpdate{Kind: ListChanges, Entries: []Server{entry}})
			}
		})
	}
}

// scheduleColdStarts schedules the starts of the cold servers. Each is a server that was unreachable and rejoins under
// its old id, or a new server that replaces one that drains.
func (f *coldFleet) scheduleColdStarts() {
	for k := range f.coldCount {
		id := ServerID(k + 1)
		if f.rejoin {
			f.schedule(f.coldStartAt-coldAbsence, func() { f.servers[id].unreachable = true })
		}
		f.schedule(f.coldStartAt+time.Duration(k)*100*time.Millisecond, func() {
			if !f.rejoin {
				replaced := f.servers[id]
				replaced.entry.State = Draining
				f.notify(replaced, 0.5)
				id += 1000
				f.addServer(id, f.now)
			}
			server := f.servers[id]
			server.entry.StartedAt, server.unreachable, server.startsCold, server.heldUntil = f.now, false, true, nil
			clear(server.coreFreeAt)
			f.notify(server, coldNotifySeconds)
		})
	}
}

// loseWarm makes all warm servers unreachable, so that only cold ones are left.
func (f *coldFleet) loseWarm() {
	for k := f.coldCount + 1; k <= f.serverCount; k++ {
		f.servers[ServerID(k)].unreachable = true
	}
}

// restartHalf schedules restarts of half of the nodes, drawn at random, while the servers warm up. Each node is back
// within a second. The node of a fleet of one is replaced without a pause.
func (f *coldFleet) restartHalf() {
	for i := range f.nodes {
		if f.random.IntN(2) == 0 || len(f.nodes) == 1 && f.random.IntN(2) == 0 {
			continue
		}
		down := f.coldStartAt + time.Duration(f.random.Float64()*0.6*float64(f.settings.ColdTime))
		f.schedule(down, func() { f.nodes[i].up = len(f.nodes) == 1 })
		f.schedule(down+time.Duration(200+f.random.IntN(800))*time.Millisecond, func() { f.startProcess(i) })
	}
}

// run simulates the whole scenario.
func (f *coldFleet) run() {
	f.scheduleColdStarts()
	for t := f.now; t < f.endAt; t += coldShiftInterval {
		if t < f.coldStartAt || f.traffic == trafficMoving {
			f.schedule(t, f.drawWeights)
		}
	}
	if f.warmLost {
		f.schedule(f.coldStartAt+f.settings.ColdTime/2, f.loseWarm)
	}
	if f.restarts {
		f.restartHalf()
	}
	f.schedule(f.now, f.arrive)
	for len(f.queue) > 0 && f.queue[0].at <= f.endAt {
		event := heap.Pop(&f.queue).(timedEvent)
		f.now = event.at
		event.run()
	}
}
