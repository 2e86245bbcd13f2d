package decide

// A simulation, in virtual time, of many modules that get their list from one discovery service. It also does the part
// of the code between them: what the membership and core packages do with a call and its outcome.

import (
	"container/heap"
	"math/rand"
	"time"
)

const (
	discoveryTimeout    = 2 * time.Second         // after which discovery ends a call in its queue with status 503
	unansweredCallLimit = 3001 * time.Millisecond // after which the node gives up a call that has no answer
	quickFailure        = time.Millisecond        // until a refusal or a reset is noticed
)

// discoveryFault is how calls end while discovery can't be reached.
type discoveryFault string

const (
	faultRefused      discoveryFault = "refused"
	faultReset        discoveryFault = "reset after 1 s"
	faultUnresponsive discoveryFault = "silent, or half an answer"
	faultQueueTimeout discoveryFault = "turned away after 2 s, as where there are too many calls"
	faultMixed        discoveryFault = "any of these"
)

// queuedDiscovery is one service for all nodes that works through calls in turn. A watch is a sequence of calls, and
// the next one, which follows an answer at once, takes no turn in the queue: on the operators' benchmark the first
// answers of six nodes come at the same moments whether or not each node continues its watch at once.
type queuedDiscovery struct {
	chargesWatches   bool          // a stricter service: a watch's further calls take a turn as well
	workPerCall      time.Duration // its work for one call
	overbook         float64       // it refuses calls that would be answered only after this multiple of discoveryTimeout
	fault            discoveryFault
	downFrom, backAt time.Duration
	freeAt           time.Duration // when it has worked through its queue
	calls, refused   int
	expired          int // calls that it worked on although they had timed out
}

// down tells whether there is an outage.
func (d *queuedDiscovery) down(now time.Duration) bool { return now >= d.downFrom && now < d.backAt }

// call returns when a call that begins now ends, and how.
func (d *queuedDiscovery) call(now time.Duration, random *rand.Rand) (end time.Duration, result callResult) {
	d.calls++
	if d.down(now) {
		fault := d.fault
		if fault == faultMixed {
			fault = []discoveryFault{faultRefused, faultReset, faultUnresponsive, faultQueueTimeout}[random.Intn(4)]
		}
		switch fault {
		case faultUnresponsive:
			return now + unansweredCallLimit, callFailed
		case faultReset:
			return now + time.Second, callFailed
		case faultQueueTimeout:
			return now + discoveryTimeout, callQueueTimeout
		}
		return now + quickFailure, callFailed
	}
	answer := max(now, d.freeAt) + d.workPerCall
	if answer-now > time.Duration(d.overbook*float64(discoveryTimeout)) {
		d.refused++
		return now + quickFailure, callFailed
	}
	d.freeAt = answer
	if answer-now > discoveryTimeout {
		d.expired++
		return now + discoveryTimeout, callQueueTimeout
	}
	return answer, callOK
}

// subscribingNode is a node's process, and what discovery and the tests know of it.
type subscribingNode struct {
	module     *Module
	calling    bool          // a list request is under way
	began      time.Duration // when its latest call began
	watching   bool          // a watch is open
	appliedAt  time.Duration // when it had applied the change of the list; 0: not yet
	listSince  time.Duration // when it had a list; 0: not yet
	generation int           // of its connections to discovery: ends of calls of an earlier generation are dropped
}

// callResult is how a call to discovery ends.
type callResult int

const (
	callOK callResult = iota
	callFailed
	callQueueTimeout // it timed out in discovery's queue
)

// callEnd is the scheduled end of a call.
type callEnd struct {
	endsAt     time.Duration
	node       int
	generation int
	keepsWatch bool // it is a further call of a watch
	result     callResult
}

// callEnds is a heap by the time of the end.
type callEnds []callEnd

func (c callEnds) Len() int           { return len(c) }
func (c callEnds) Less(i, j int) bool { return c[i].endsAt < c[j].endsAt }
func (c callEnds) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callEnds) Push(x any)        { *c = append(*c, x.(callEnd)) }
func (c *callEnds) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// subscribingFleet is a fleet of nodes that get their list from one discovery service.
type subscribingFleet struct {
	nodes                  []subscribingNode
	discovery              *queuedDiscovery
	changeAt               time.Duration // when server 1 begins to drain
	listKnown              bool          // a process starts with a list
	maxListRequestInterval time.Duration // Settings.MaxListRequestInterval
	callEnds               callEnds
	now                    time.Duration
	random                 *rand.Rand
}

// changedServer is the entry of server 1 from changeAt on.
var changedServer = Server{ID: 1, Zone: "a", Kind: "k", State: Draining, Size: 1}

// readyServers is a list of eight servers, all of them ready.
func readyServers() (list []Server) {
	for i := range 8 {
		list = append(list, Server{ID: ServerID(i + 1), Zone: "a", Kind: "k", State: Ready, Size: 1})
	}
	return list
}

func newSubscribingFleet(nodes int, maxListRequestInterval time.Duration, seed int64) *subscribingFleet {
	return &subscribingFleet{nodes: make([]subscribingNode, nodes), maxListRequestInterval: maxListRequestInterval,
		listKnown: true, random: rand.New(rand.NewSource(seed))}
}

// start starts a new process of a node.
func (f *subscribingFleet) start(i int) {
	settings := fleetSettings(i)
	settings.Nodes, settings.ListOnRequest, settings.MaxListRequestInterval, settings.MayMessage, settings.MayProbe =
		len(f.nodes), true, f.maxListRequestInterval, false, false
	node := &f.nodes[i]
	*node = subscribingNode{module: New(settings, f.random.Int63()), generation: node.generation + 1}
	cached := ListUpdate{Kind: ListCached}
	if f.listKnown {
		node.listSince, cached.Entries = f.now, readyServers()
	}
	f.handle(i, cached)
}

// handle passes an event to a node's module and begins the call that it asks for, if any.
func (f *subscribingFleet) handle(i int, e Event) {
	node := &f.nodes[i]
	for _, a := range node.module.Handle(f.now, e) {
		if s, ok := a.(Subscribe); ok && s.On && !node.calling && !node.watching {
			f.beginCall(i, false)
		}
	}
}

// beginCall begins a node's list request, or the further call that keeps its watch.
func (f *subscribingFleet) beginCall(i int, keepsWatch bool) {
	node := &f.nodes[i]
	node.calling, node.began = !keepsWatch, f.now
	if keepsWatch && !f.discovery.chargesWatches && !f.discovery.down(f.now) {
		return // it waits for changes until breakWatch ends it
	}
	end, result := f.discovery.call(f.now, f.random)
	heap.Push(&f.callEnds, callEnd{endsAt: end, node: i, generation: node.generation, keepsWatch: keepsWatch,
		result: result})
}

// endCall passes the outcome of a call to the module, as core.Loop does.
func (f *subscribingFleet) endCall(call callEnd) {
	node := &f.nodes[call.node]
	if node.generation != call.generation || node.module == nil {
		return
	}
	node.calling = node.calling && call.keepsWatch
	switch {
	case call.result != callOK:
		f.breakWatch(call.node, call.result == callQueueTimeout)
	case !call.keepsWatch:
		node.watching = true
		f.handle(call.node, ListUpdate{Kind: ListFull, Entries: f.currentList()})
		f.recordProgress(call.node)
		f.beginCall(call.node, true)
	}
}

// currentList is the list as discovery has it now.
func (f *subscribingFleet) currentList() []Server {
	list := readyServers()
	if f.now >= f.changeAt {
		list[0] = changedServer
	}
	return list
}

// breakWatch ends a node's watch, or its list request, with a failure.
func (f *subscribingFleet) breakWatch(i int, queueTimeout bool) {
	f.nodes[i].watching, f.nodes[i].calling = false, false
	f.nodes[i].generation++
	cause := CauseUnknown
	if queueTimeout {
		cause = CauseOverloaded
	}
	f.handle(i, ListUpdate{Kind: ListFailed, Cause: cause})
}

// recordProgress records when a node first had a list, and when it had applied the change.
func (f *subscribingFleet) recordProgress(i int) {
	node := &f.nodes[i]
	if node.listSince == 0 {
		node.listSince = f.now
	}
	if s := node.module.known[changedServer.ID]; node.appliedAt == 0 && s != nil && s.State == Draining {
		node.appliedAt = f.now
	}
}

// run simulates up to a time. The nodes' ticks are spread over the tick's period.
func (f *subscribingFleet) run(until time.Duration) {
	const step, tickSteps = 10 * time.Millisecond, 10
	for ; f.now < until; f.now += step {
		for len(f.callEnds) > 0 && f.callEnds[0].endsAt <= f.now {
			f.endCall(heap.Pop(&f.callEnds).(callEnd))
		}
		for i := range f.nodes {
			if n := &f.nodes[i]; n.module != nil && (int(f.now/step)+i)%tickSteps == 0 {
				f.handle(i, TimerFired{})
			}
		}
	}
}
