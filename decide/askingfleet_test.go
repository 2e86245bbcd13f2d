package decide

// A simulation, in virtual time, of many modules that get their list from one discovery service. It also does the part of
// the code between them: what the membership and core packages do with a call and its outcome.

import (
	"container/heap"
	"math/rand"
	"time"
)

const (
	discoveryTimeout = 2 * time.Second         // discovery ends a call that has waited so long in its queue with status 503
	silentCallLimit  = 3001 * time.Millisecond // after which the node gives up a call that has no answer
	quickFailure     = time.Millisecond        // until a refusal or a reset is noticed
)

// discoveryFault is how calls end while discovery can't be reached.
type discoveryFault string

const (
	faultRefused discoveryFault = "refused"
	faultReset   discoveryFault = "reset after 1 s"
	faultSilent  discoveryFault = "silent, or half an answer"
	faultTurned  discoveryFault = "turned away after 2 s, as where there are too many calls"
	faultMixed   discoveryFault = "any of these"
)

// queuedDiscovery is one service for all nodes that works through calls in turn. A watch is a sequence of calls, and the
// next one, which follows an answer at once, takes no turn in the queue: on the operators' benchmark the first answers of
// six nodes come at the same moments whether or not each node continues its watch at once.
type queuedDiscovery struct {
	chargesAll       bool          // a stricter service: a watch's further calls take a turn as well
	perCall          time.Duration // its work for one call
	overbook         float64       // it refuses calls that would be answered only after this multiple of discoveryTimeout
	fault            discoveryFault
	downFrom, backAt time.Duration
	freeAt           time.Duration // when it has worked through its queue
	calls, refused   int
	late             int // calls that it worked on although they had timed out
}

// down tells whether there is an outage.
func (d *queuedDiscovery) down(now time.Duration) bool { return now >= d.downFrom && now < d.backAt }

// call returns when a call that begins now ends, and how.
func (d *queuedDiscovery) call(now time.Duration, r *rand.Rand) (end time.Duration, how callResult) {
	d.calls++
	if d.down(now) {
		fault := d.fault
		if fault == faultMixed {
			fault = []discoveryFault{faultRefused, faultReset, faultSilent, faultTurned}[r.Intn(4)]
		}
		switch fault {
		case faultSilent:
			return now + silentCallLimit, callFailed
		case faultReset:
			return now + time.Second, callFailed
		case faultTurned:
			return now + discoveryTimeout, callCrowded
		}
		return now + quickFailure, callFailed
	}
	answer := max(now, d.freeAt) + d.perCall
	if answer-now > time.Duration(d.overbook*float64(discoveryTimeout)) {
		d.refused++
		return now + quickFailure, callFailed
	}
	d.freeAt = answer
	if answer-now > discoveryTimeout {
		d.late++
		return now + discoveryTimeout, callCrowded
	}
	return answer, callOK
}

// subscribingNode is a node's process, and what discovery and the tests know of it.
type askingNode struct {
	module   *Module
	calling  bool          // a list request is under way
	began    time.Duration // when its latest call began
	watching bool          // a watch is open
	followed time.Duration // when it had applied the change; 0: not yet
	serves   time.Duration // when it had a list; 0: not yet
	life     int           // of its connections to discovery: ends of calls of an earlier generation are dropped
}

// callResult is how a call to discovery ends.
type callResult int

const (
	callOK callResult = iota
	callFailed
	callCrowded // it timed out in discovery's queue
)

// callEnd is the scheduled end of a call.
type callEnd struct {
	at   time.Duration
	node int
	life int
	kept bool // it is a further call of a watch
	how  callResult
}

// callEnds is a heap by the time of the end.
type callEnds []callEnd

func (c callEnds) Len() int           { return len(c) }
func (c callEnds) Less(i, j int) bool { return c[i].at < c[j].at }
func (c callEnds) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callEnds) Push(x any)        { *c = append(*c, x.(callEnd)) }
func (c *callEnds) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// subscribingFleet is a fleet of nodes that get their list from one discovery service.
type askingFleet struct {
	nodes     []askingNode
	discovery *queuedDiscovery
	changeAt  time.Duration // when server 1 begins to drain
	known     bool          // a process starts with a list
	within    time.Duration // Settings.AskWithin
	ends      callEnds
	now       time.Duration
	random    *rand.Rand
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

func newAskingFleet(nodes int, within time.Duration, seed int64) *askingFleet {
	return &askingFleet{nodes: make([]askingNode, nodes), within: within, known: true, random: rand.New(rand.NewSource(seed))}
}

// start starts a new process of a node.
func (f *askingFleet) start(i int) {
	s := fleetSettings(i)
	s.Nodes, s.AskForList, s.AskWithin, s.MayMessage, s.MayProbe = len(f.nodes), true, f.within, false, false
	n := &f.nodes[i]
	*n = askingNode{module: New(s, f.random.Int63()), life: n.life + 1}
	cached := ListUpdate{Kind: ListCached}
	if f.known {
		n.serves, cached.Entries = f.now, readyServers()
	}
	f.handle(i, cached)
}

// handle passes an event to a node's module and begins the call that it asks for, if any.
func (f *askingFleet) handle(i int, e Event) {
	n := &f.nodes[i]
	for _, a := range n.module.Handle(f.now, e) {
		if s, ok := a.(Subscribe); ok && s.On && !n.calling && !n.watching {
			f.begin(i, false)
		}
	}
}

// beginCall begins a node's list request, or the further call that keeps its watch.
func (f *askingFleet) begin(i int, kept bool) {
	n := &f.nodes[i]
	n.calling, n.began = !kept, f.now
	if kept && !f.discovery.chargesAll && !f.discovery.down(f.now) {
		return // it waits for changes until breakWatch ends it
	}
	end, how := f.discovery.call(f.now, f.random)
	heap.Push(&f.ends, callEnd{at: end, node: i, life: n.life, kept: kept, how: how})
}

// endCall passes the outcome of a call to the module, as core.Loop does.
func (f *askingFleet) ended(c callEnd) {
	n := &f.nodes[c.node]
	if n.life != c.life || n.module == nil {
		return
	}
	n.calling = n.calling && c.kept
	switch {
	case c.how != callOK:
		f.broken(c.node, c.how == callCrowded)
	case !c.kept:
		n.watching = true
		f.handle(c.node, ListUpdate{Kind: ListFull, Entries: f.listed()})
		f.note(c.node)
		f.begin(c.node, true)
	}
}

// currentList is the list as discovery has it now.
func (f *askingFleet) listed() []Server {
	list := readyServers()
	if f.now >= f.changeAt {
		list[0] = changedServer
	}
	return list
}

// breakWatch ends a node's watch, or its list request, with a failure.
func (f *askingFleet) broken(i int, crowded bool) {
	f.nodes[i].watching, f.nodes[i].calling = false, false
	f.nodes[i].life++
	cause := CauseUnknown
	if crowded {
		cause = CauseCrowded
	}
	f.handle(i, ListUpdate{Kind: ListFailed, Cause: cause})
}

// recordProgress records when a node first had a list, and when it had applied the change.
func (f *askingFleet) note(i int) {
	n := &f.nodes[i]
	if n.serves == 0 {
		n.serves = f.now
	}
	if s := n.module.known[changedServer.ID]; n.followed == 0 && s != nil && s.State == Draining {
		n.followed = f.now
	}
}

// run simulates up to a time. The nodes' ticks are spread over the tick's period.
func (f *askingFleet) run(until time.Duration) {
	const step, tickSteps = 10 * time.Millisecond, 10
	for ; f.now < until; f.now += step {
		for len(f.ends) > 0 && f.ends[0].at <= f.now {
			f.ended(heap.Pop(&f.ends).(callEnd))
		}
		for i := range f.nodes {
			if n := &f.nodes[i]; n.module != nil && (int(f.now/step)+i)%tickSteps == 0 {
				f.handle(i, TimerFired{})
			}
		}
	}
}
