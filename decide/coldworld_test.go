package decide

// A simulation, in virtual time, of a fleet of nodes that run the real module and share the same servers. Some of the
// servers start cold. The simulation records which attempts each cold server gets, and which of them came from nodes that
// had been notified of its start; coldverdict_test.go compares that with what the settings allow.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	coldWarmUp   = 12 * time.Second // of traffic before the cold servers start
	coldShift    = 2 * time.Second  // between two draws of the nodes' shares of the traffic
	coldLoss     = 0.3              // part of the datagrams that a lossy path drops
	coldNotice   = 2.5              // s; a node is notified of a start at most this long, and 50 ms, after it
	coldLost     = 2 * time.Second  // for which a server that rejoins was unreachable
	coldCores    = 6                // requests that a server works on at once
	coldPatience = 2 * time.Second  // until a client gives up, over all its tries
	coldTries    = 5                // by a client whose request is refused
)

// coldClasses gives each class's share of the requests, and its work as a multiple of the mean request's:
// 0.625 x 0.6 + 0.375 x 5/3 = 1.
var coldClasses = []struct {
	name        string
	share, work float64
}{{"cheap", 0.625, 0.6}, {"dear", 0.375, 5.0 / 3}}

// coldSend is one attempt that a cold server was sent.
type coldSend struct {
	at   Time
	work float64 // as a multiple of the mean request's
	told bool    // its node had been notified of the server's start
}

// coldServer is a server with a queue in front of coldServerCores cores.
type coldServer struct {
	entry   Server
	away    bool   // connections to it fail
	cores   []Time // when each core is free
	held    []Time // when each request that it holds will be done
	sends   []coldSend
	tracked bool // it starts cold during the run
}

// coldNode is a node of the fleet.
type coldNode struct {
	m       *Module
	life    int               // counts the node's processes: events of an earlier process are dropped
	up      bool              // its process runs
	weight  float64           // its part of all requests, beside the other nodes' weights
	told    map[ServerID]bool // servers whose cold start it has been notified of
	pending map[RequestID]*coldRequest
}

// coldRequest is a request of a client, over all its tries.
type coldRequest struct {
	class, attempts, tries int
	deadline               Time
}

// coldFleet is the simulation of one scenario.
type coldFleet struct {
	coldScenario
	set     Settings
	now     Time
	start   Time // when the cold servers start
	end     Time // of the run, ColdTime later
	queue   worldQueue
	seq     int
	rand    *rand.Rand
	nodes   []*coldNode
	servers map[ServerID]*coldServer
	ids     []ServerID
	next    int
}

// newColdFleet builds the fleet of a scenario. It draws the settings of slow start from the scenario's seed.
func newColdFleet(c coldScenario) *coldFleet {
	f := &coldFleet{coldScenario: c, now: time.Hour, servers: map[ServerID]*coldServer{}}
	f.rand = rand.New(rand.NewPCG(c.seed, 40))
	f.start = f.now + coldWarmUp
	f.set = fleetSettings(0)
	f.set.Nodes = c.size
	f.set.ColdFrom = 0.1 + 0.4*f.rand.Float64()
	f.set.ColdTime = time.Duration(4 * math.Pow(5, f.rand.Float64()) * float64(time.Second))
	f.set.OverloadFactor = 2 + f.rand.Float64()
	f.set.OverloadTime = time.Duration(1+f.rand.IntN(2)) * time.Second
	f.set.MayMessage = c.messages != messagesOff
	f.end = f.start + f.set.ColdTime
	for i := range c.fleet {
		f.addServer(ServerID(i+1), 0)
	}
	for i := range c.size {
		f.nodes = append(f.nodes, &coldNode{told: map[ServerID]bool{}})
		f.boot(i)
	}
	return f
}

// addServer adds a server that is ready. It was started at the given time; 0: long ago.
func (f *coldFleet) addServer(id ServerID, started Time) {
	entry := Server{ID: id, Zone: "a", Kind: "k", Cell: int(id) % 4, State: Ready, Size: 1, StartedAt: started}
	f.servers[id] = &coldServer{entry: entry, cores: make([]Time, coldCores)}
	f.ids = append(f.ids, id)
}

// drawWeights draws which part of all requests each node gets.
func (f *coldFleet) weigh() {
	busy := f.rand.IntN(len(f.nodes))
	for i, n := range f.nodes {
		n.weight = 1
		switch {
		case f.traffic == trafficUneven:
			n.weight = math.Exp(f.rand.NormFloat64())
		case f.traffic == trafficWanders:
			if (i-busy+len(f.nodes))%len(f.nodes) < max(1, len(f.nodes)/5) {
				n.weight = 20
			}
		}
	}
}

// schedule has a function called at a time, or now if that time has passed.
func (f *coldFleet) at(t Time, do func()) {
	f.seq++
	heap.Push(&f.queue, worldEvent{max(t, f.now), f.seq, do})
}

// startProcess starts a new process of a node with the list as discovery has it now.
func (f *coldFleet) boot(i int) {
	n, s := f.nodes[i], f.set
	s.Self = i
	n.life++
	n.m, n.up, n.pending = New(s, f.rand.Int64()), true, map[RequestID]*coldRequest{}
	var list []Server
	for _, id := range f.ids {
		if v := f.servers[id]; v.entry.State == Ready {
			list = append(list, v.entry)
			n.told[id] = v.tracked
		}
	}
	f.feed(i, ListUpdate{Kind: ListCached, Entries: list})
}

// scheduleEvent passes a node an event at the given time, unless the process that runs now has ended by then.
func (f *coldFleet) later(i int, t Time, e Event) {
	life := f.nodes[i].life
	f.at(t, func() {
		if f.nodes[i].life == life && f.nodes[i].up {
			f.feed(i, e)
		}
	})
}

// handle passes an event to a node's module and executes the actions that it returns.
func (f *coldFleet) feed(i int, e Event) {
	n := f.nodes[i]
	if ended, ok := e.(AttemptEnded); ok {
		r := n.pending[ended.ID]
		if r == nil {
			return
		}
		if ended.Code == OK {
			ended.Over = true
			delete(n.pending, ended.ID)
		}
		e = ended
	}
	var messages []SendMessage
	for _, a := range slices.Clone(n.m.Handle(f.now, e)) {
		switch a := a.(type) {
		case Send:
			f.send(i, a)
		case Refuse:
			f.refused(n.pending[a.ID], a.HoldOff)
			delete(n.pending, a.ID)
		case Fail:
			delete(n.pending, a.ID)
		case Probe:
			f.probe(i, a.Server)
		case SendMessage:
			messages = append(messages, a)
		case SetTimer:
			f.later(i, f.now+a.After, TimerFired{Token: a.Token})
		}
	}
	if len(messages) > 0 {
		f.at(f.now+time.Duration(3+f.rand.IntN(15))*time.Millisecond, func() { f.deliver(i, messages) })
	}
}

// capacityPart is the part of its warm capacity that a server has at a time, from Settings.ColdFrom to 1.
func (f *coldFleet) part(v *coldServer, t Time) float64 {
	if v.entry.StartedAt == 0 {
		return 1
	}
	warm := math.Min(1, math.Max(0, (t-v.entry.StartedAt).Seconds()/f.set.ColdTime.Seconds()))
	return f.set.ColdFrom + (1-f.set.ColdFrom)*warm
}

// sendAttempt has a server take an attempt of node i, or refuse it, and schedules its outcome. A server whose queue holds
// ten requests for each core answers that it is full.
func (f *coldFleet) send(i int, a Send) {
	n, v := f.nodes[i], f.servers[a.Server]
	r := n.pending[a.ID]
	work := coldClasses[r.class].work
	attempt := r.attempts
	r.attempts++
	ended := AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server}
	if v.away {
		ended.Elapsed, ended.Code = time.Millisecond, ConnectFailed
		f.later(i, f.now+ended.Elapsed, ended)
		return
	}
	if v.tracked {
		v.sends = append(v.sends, coldSend{f.now, work, n.told[a.Server]})
	}
	v.held = slices.DeleteFunc(v.held, func(t Time) bool { return t <= f.now })
	if len(v.held) >= 10*coldCores {
		ended.Elapsed, ended.Code = 2*time.Millisecond, Full
		f.later(i, f.now+ended.Elapsed, ended)
		return
	}
	free := 0
	for c := range v.cores {
		if v.cores[c] < v.cores[free] {
			free = c
		}
	}
	took := work * f.rand.ExpFloat64() * coldCores / f.capacity / f.part(v, f.now)
	v.cores[free] = max(v.cores[free], f.now) + time.Duration(took*float64(time.Second))
	done := v.cores[free] + time.Millisecond
	v.held = append(v.held, done)
	if ended.Code = OK; done > f.now+a.Timeout {
		done, ended.Code = f.now+a.Timeout, TimedOut
	}
	ended.Elapsed = done - f.now
	f.later(i, done, ended)
}

// probe schedules the result of a probe by node i.
func (f *coldFleet) probe(i int, id ServerID) {
	v, e := f.servers[id], ProbeEnded{Server: id, Elapsed: 2 * time.Millisecond}
	v.held = slices.DeleteFunc(v.held, func(t Time) bool { return t <= f.now })
	if e.Code = OK; v.away {
		e.Code = ConnectFailed
	} else {
		held := float64(len(v.held))
		e.Report = &Report{InFlight: held, Queue: math.Max(0, held-coldCores), HasInFlight: true, HasQueue: true}
	}
	f.later(i, f.now+e.Elapsed, e)
}

// deliver passes a node's messages to their recipients. On a lossy path some of them are lost.
func (f *coldFleet) deliver(from int, messages []SendMessage) {
	for _, a := range messages {
		first, last := a.To, a.To
		if a.ToAll {
			first, last = 0, len(f.nodes)-1
		}
		for j := first; j <= last; j++ {
			lost := f.messages == messagesLossy && f.rand.Float64() < coldLoss
			if j != from && f.nodes[j].up && !lost {
				f.feed(j, MessageReceived{From: from, Data: a.Data})
			}
		}
	}
}

// retryRefused has the client of a refused request try again, after the hold-off that it was given or 10 to 110 ms,
// whichever is longer.
func (f *coldFleet) refused(r *coldRequest, wait time.Duration) {
	if r == nil || r.tries >= coldTries {
		return
	}
	at := f.now + max(wait, time.Duration(10+f.rand.IntN(100))*time.Millisecond)
	again := *r
	again.attempts, again.tries = 0, r.tries+1
	if at < again.deadline {
		f.at(at, func() { f.ask(&again) })
	}
}

// sendRequest has a client's request arrive at one of the nodes that are up, drawn by their weights.
func (f *coldFleet) ask(r *coldRequest) {
	sum := 0.0
	for _, n := range f.nodes {
		if n.up {
			sum += n.weight
		}
	}
	x := f.rand.Float64() * sum
	for i, n := range f.nodes {
		if !n.up {
			continue
		}
		if x -= n.weight; x <= 0 {
			f.next++
			id := RequestID(fmt.Sprint(f.next))
			n.pending[id] = r
			f.feed(i, RequestArrived{ID: id, Class: coldClasses[r.class].name, Patience: r.deadline - f.now})
			return
		}
	}
}

// arrive has a new request arrive now, and schedules the next one after a random interval, up to the end of the run.
func (f *coldFleet) arrive() {
	rate := f.load * f.capacity * float64(f.fleet)
	switch into := f.now - f.start; {
	case into < 0:
	case f.lull && into < f.set.ColdTime/2:
		rate /= 10
	case f.burst && into < f.set.ColdTime*8/10:
		rate *= 1.5
	}
	r := &coldRequest{tries: 1, deadline: f.now + coldPatience}
	if f.rand.Float64() > coldClasses[0].share {
		r.class = 1
	}
	f.ask(r)
	if t := f.now + time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)); t < f.end {
		f.at(t, f.arrive)
	}
}

// notify passes the changed entry of a server to every node, to each after 50 ms and a random part of within seconds.
func (f *coldFleet) notify(v *coldServer, within float64) {
	for i, n := range f.nodes {
		life, entry := n.life, v.entry
		f.at(f.now+time.Duration((0.05+within*f.rand.Float64())*float64(time.Second)), func() {
			if n.life == life && n.up { // a process that started later has the entry from its first list
				n.told[entry.ID] = v.tracked
				f.feed(i, ListUpdate{Kind: ListChanges, Entries: []Server{entry}})
			}
		})
	}
}

// scheduleColdStarts schedules the starts of the cold servers. Each is a server that was unreachable and rejoins under its
// old id, or a new server that replaces one that drains.
func (f *coldFleet) coldStarts() {
	for k := range f.cold {
		id := ServerID(k + 1)
		if f.rejoin {
			f.at(f.start-coldLost, func() { f.servers[id].away = true })
		}
		f.at(f.start+time.Duration(k)*100*time.Millisecond, func() {
			if !f.rejoin {
				old := f.servers[id]
				old.entry.State = Draining
				f.notify(old, 0.5)
				id += 1000
				f.addServer(id, f.now)
			}
			v := f.servers[id]
			v.entry.StartedAt, v.away, v.tracked, v.held = f.now, false, true, nil
			clear(v.cores)
			f.notify(v, coldNotice)
		})
	}
}

// loseWarm makes all warm servers unreachable, so that only cold ones are left.
func (f *coldFleet) loseWarm() {
	for k := f.cold + 1; k <= f.fleet; k++ {
		f.servers[ServerID(k)].away = true
	}
}

// restartHalf schedules restarts of half of the nodes, drawn at random, while the servers warm up. Each node is back within
// a second. The node of a fleet of one is replaced without a pause.
func (f *coldFleet) restartHalf() {
	for i := range f.nodes {
		if f.rand.IntN(2) == 0 || len(f.nodes) == 1 && f.rand.IntN(2) == 0 {
			continue
		}
		down := f.start + time.Duration(f.rand.Float64()*0.6*float64(f.set.ColdTime))
		f.at(down, func() { f.nodes[i].up = len(f.nodes) == 1 })
		f.at(down+time.Duration(200+f.rand.IntN(800))*time.Millisecond, func() { f.boot(i) })
	}
}

// run simulates the whole scenario.
func (f *coldFleet) run() {
	f.coldStarts()
	for t := f.now; t < f.end; t += coldShift {
		if t < f.start || f.traffic == trafficWanders {
			f.at(t, f.weigh)
		}
	}
	if f.lost {
		f.at(f.start+f.set.ColdTime/2, f.loseWarm)
	}
	if f.restarts {
		f.restartHalf()
	}
	f.at(f.now, f.arrive)
	for len(f.queue) > 0 && f.queue[0].at <= f.end {
		e := heap.Pop(&f.queue).(worldEvent)
		f.now = e.at
		e.do()
	}
}
