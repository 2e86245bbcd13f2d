package model

import (
	"fmt"
	"time"

	"starlingvalve/decide"
)

// Decider makes a node's decisions: decide.Module, or a baseline in its place. Handle takes an event and returns
// actions. The next call may reuse the slice.
type Decider interface {
	Handle(now decide.Time, e decide.Event) []decide.Action
}

// Class is a kind of request as clients send it.
type Class struct {
	decide.Class
	Share  float64       // part of all requests, relative to the other classes' shares
	Work   time.Duration // mean processing time on one core of speed 1
	WorkCV float64       // coefficient of variation of the processing time
	Wait   time.Duration // mean wait before a client's further try
}

// ServerSpec describes a model server.
type ServerSpec struct {
	Name        string
	Zone        string
	Cell        int
	Cores       int
	Speed       float64 // of a core; 1 is the speed that Class.Work refers to
	MaxRequests int     // requests processed or waiting; further ones are rejected
	ColdFrom    float64 // speed right after a start, as a part of full speed
	ColdTime    time.Duration
	// Congestion: a server with more than CongestedFrom requests gets slower with each further one, by the factor
	// 1 + CongestionSlowdown at twice as many. 0: never.
	CongestedFrom      int
	CongestionSlowdown float64
}

// Scenario describes a fleet, its clients, and the faults of a run.
type Scenario struct {
	Length         time.Duration
	Rate           float64 // orders a second, over all nodes
	Classes        []Class
	Servers        []ServerSpec
	Nodes          int
	Hop            time.Duration // network delay from node to server, one way
	Retries        int           // further tries of a client after refusals
	IgnoresHoldOff float64       // part of the clients that try again without waiting for the hold-off they were given
	NodeCost       time.Duration // time on a node's core for each event that the node handles
	RegistryLag    time.Duration // delay of the registry: how much later nodes are notified that a server is gone or back
	Settings       decide.Settings
	Policy         Policy // what decides at each node; the zero value: the module
	Salt           string // seeds the deciders' own random numbers: compared versions have different salts
	Faults         []Fault

	arrivals []arrival // if set, in place of orders at Rate: see Replay
}

// Fault is a fault of one server, from At on, for the time For.
type Fault struct {
	At, For time.Duration
	Server  int
	Kind    FaultKind
}

// FaultKind is a kind of server fault.
type FaultKind int

const (
	// Unresponsive: the server accepts and runs requests, and answers none.
	Unresponsive FaultKind = iota
	// Crash: the server loses its requests and refuses connections. It comes back cold.
	Crash
	// Slow: the server has a tenth of its speed.
	Slow
)

// Sums count the orders of a run and their outcomes.
type Sums struct {
	Orders, Served, InAim, Refused, Failed, Tries int
	OfferedWorth, ServedWorth                     float64 // of all orders; of those answered within their aims
	Executions, DuplicateRuns                     int     // at servers; repeated runs of unsafe orders
}

// WorthFraction returns the worth of orders answered within their aims, as a part (0 to 1) of all orders' worth.
func (s Sums) WorthFraction() float64 { return s.ServedWorth / max(s.OfferedWorth, 1e-9) }

// Fleet is a run in progress.
type Fleet struct {
	Clock
	Outcome
	scenario    *Scenario
	streams     *Streams
	servers     []*server
	byID        map[decide.ServerID]*server
	nodes       []*node
	nextID      int
	listVersion uint64 // version of the registry's list
	classSums   map[*Class]*ClassSums
}

// server is a model server and its present state.
type server struct {
	ServerSpec
	fleet        *Fleet
	id           decide.ServerID
	busy         int
	queue        []*job
	started      time.Duration
	epoch        int // number of crashes; work that began in an earlier epoch is lost
	down         bool
	unresponsive bool
	slow         bool
	workStream   *Stream
}

// job is an attempt as its server sees it.
type job struct {
	try       *try
	work      float64 // processing time, in seconds on a core of speed 1
	done      func(code decide.OutcomeCode)
	abandoned bool // the attempt has ended for the node: the job must not begin any more
}

// node is a model node with its decider.
type node struct {
	fleet      *Fleet
	decider    Decider
	coreFreeAt time.Duration // when its core will be free
	tries      map[decide.RequestID]*try
	name       string
}

// order is what a client wants, over all its tries.
type order struct {
	number         int // counted over all orders of the run
	class          *Class
	began          time.Duration
	deadline       time.Duration
	work           float64
	executions     int
	tries          int
	firstNode      int
	ignoresHoldOff bool // the client does not wait for hold-offs
}

// try is one request of a client to a node.
type try struct {
	id       decide.RequestID
	order    *order
	node     *node
	deadline time.Duration
	attempts []*attempt
	ended    bool
}

// attempt is an attempt as its node sees it.
type attempt struct {
	job     *job
	sent    time.Duration
	timeout *Event
	ended   bool
}

// NewFleet prepares a run of a scenario. The seed determines all random numbers.
func NewFleet(scenario *Scenario, seed uint64) *Fleet {
	fleet := &Fleet{scenario: scenario, streams: NewStreams(seed), byID: map[decide.ServerID]*server{},
		classSums: map[*Class]*ClassSums{}}
	fleet.listVersion = 1
	fleet.Outcome = newOutcome(scenario)
	for i := range scenario.Classes {
		fleet.classSums[&scenario.Classes[i]] = &fleet.Classes[i]
	}
	fleet.At(0, fleet.sampleSecond)
	list := decide.ListUpdate{Kind: decide.ListFull, Version: fleet.listVersion}
	for i, spec := range scenario.Servers {
		s := &server{ServerSpec: spec, fleet: fleet, id: decide.ServerID(i + 1), started: -time.Hour,
			workStream: fleet.streams.Of("server "+spec.Name, "work")}
		fleet.servers, fleet.byID[s.id] = append(fleet.servers, s), s
		list.Entries = append(list.Entries, decide.Server{ID: s.id, Zone: spec.Zone, Cell: spec.Cell, Size: 1})
	}
	newDecider := scenario.Policy.newDecider
	if newDecider == nil {
		newDecider = Policies()[0].newDecider
	}
	for i := range scenario.Nodes {
		settings := scenario.Settings
		settings.Nodes, settings.Self = scenario.Nodes, i
		name := fmt.Sprint("node ", i)
		n := &node{fleet: fleet, name: name, decider: newDecider(fleet, settings,
			int64(fleet.streams.Of(name, "seed"+scenario.Salt).Uint64())), tries: map[decide.RequestID]*try{}}
		fleet.nodes = append(fleet.nodes, n)
		fleet.At(0, func() { n.deliver(list) })
	}
	for _, fault := range scenario.Faults {
		fleet.At(fault.At, func() { fleet.startFault(fault) })
	}
	arrivals, classes := fleet.streams.Of("clients", "arrivals"), fleet.streams.Of("clients", "classes")
	works, nodes, holdOffs := fleet.streams.Of("clients", "work"), fleet.streams.Of("clients", "node"),
		fleet.streams.Of("clients", "manners")
	addOrder := func(c *Class, work time.Duration) {
		o := &order{number: fleet.Orders, class: c, began: fleet.Now(), deadline: fleet.Now() + c.Deadline,
			firstNode: nodes.IntN(scenario.Nodes), work: work.Seconds(),
			ignoresHoldOff: holdOffs.Chance(scenario.IgnoresHoldOff)}
		fleet.Orders++
		fleet.OfferedWorth += c.Worth
		fleet.classSums[c].Orders++
		fleet.currentSecond().Orders++
		fleet.sendTry(o)
	}
	var nextArrival func()
	nextIndex := 0
	nextArrival = func() {
		switch {
		case fleet.Now() >= scenario.Length:
		case scenario.arrivals == nil:
			c := fleet.pickClass(classes)
			addOrder(c, works.LogNormal(c.Work, c.WorkCV))
			fleet.After(arrivals.Exp(time.Duration(float64(time.Second)/scenario.Rate)), nextArrival)
		default:
			for ; nextIndex < len(scenario.arrivals) && scenario.arrivals[nextIndex].at <= fleet.Now(); nextIndex++ {
				a := scenario.arrivals[nextIndex]
				c, work := &scenario.Classes[a.class], a.work
				if work == 0 {
					work = works.LogNormal(c.Work, c.WorkCV)
				}
				addOrder(c, work)
			}
			if nextIndex < len(scenario.arrivals) {
				fleet.At(scenario.arrivals[nextIndex].at, nextArrival)
			}
		}
	}
	fleet.At(0, nextArrival)
	return fleet
}

// Simulate runs a scenario to its end and returns the counts.
func Simulate(sc *Scenario, seed uint64) Sums { return SimulateFull(sc, seed).Sums }

// SimulateFull runs a scenario to its end and returns all that was measured.
func SimulateFull(sc *Scenario, seed uint64) *Outcome {
	f := NewFleet(sc, seed)
	f.Run(sc.Length + 2*sc.Settings.LongestDeadline())
	return &f.Outcome
}

// tryOf returns a try that is in progress at any node, or nil.
func (f *Fleet) tryOf(id decide.RequestID) *try {
	for _, n := range f.nodes {
		if t := n.tries[id]; t != nil {
			return t
		}
	}
	return nil
}

// pickClass draws a class by the classes' shares.
func (f *Fleet) pickClass(s *Stream) *Class {
	totalShare := 0.0
	for i := range f.scenario.Classes {
		totalShare += f.scenario.Classes[i].Share
	}
	x := s.Float64() * totalShare
	for i := range f.scenario.Classes {
		if x -= f.scenario.Classes[i].Share; x < 0 {
			return &f.scenario.Classes[i]
		}
	}
	return &f.scenario.Classes[len(f.scenario.Classes)-1]
}

// sendTry sends an order to a node. Each further try goes to the next node.
func (f *Fleet) sendTry(o *order) {
	f.Tries++
	f.nextID++
	n := f.nodes[(o.firstNode+o.tries)%len(f.nodes)]
	o.tries++
	t := &try{id: decide.RequestID(fmt.Sprint(f.nextID)), order: o, node: n, deadline: o.deadline}
	n.tries[t.id] = t
	n.runOnCore(func() {
		if f.Now() >= t.deadline {
			t.end(false, 0, false)
			return
		}
		n.deliver(decide.RequestArrived{ID: t.id, Class: o.class.Name, Patience: t.deadline - f.Now()})
	})
}

// end ends a try with its final answer and counts the outcome. refused says that a further try does no harm; the
// client then tries again after holdOff and a random wait, if it has a try left and the deadline allows.
func (t *try) end(served bool, holdOff time.Duration, refused bool) {
	if t.ended {
		return
	}
	t.ended = true
	f, o := t.node.fleet, t.order
	delete(t.node.tries, t.id)
	took := f.Now() - o.began
	class := f.classSums[o.class]
	switch {
	case served && f.Now() <= o.deadline:
		f.Served++
		f.record(class, took)
		if took <= o.class.Aim {
			f.InAim++
			f.ServedWorth += o.class.Worth
			class.InAim++
			f.secondOf(o.began).InAim++
		}
	case refused && o.tries <= f.scenario.Retries:
		if o.ignoresHoldOff {
			holdOff = 0
		}
		wait := holdOff + f.streams.At("clients", "wait", uint64(o.number)<<8|uint64(o.tries)).Exp(o.class.Wait)
		if f.Now()+wait < o.deadline {
			f.After(wait, func() { f.sendTry(o) })
			return
		}
		f.Refused++
		class.Refused++
		f.secondOf(o.began).Refused++
	case refused:
		f.Refused++
		class.Refused++
		f.secondOf(o.began).Refused++
	default:
		f.Failed++
		class.Failed++
	}
}

// runOnCore runs do once the node's core has processed all earlier events and this one.
func (n *node) runOnCore(do func()) {
	n.coreFreeAt = max(n.coreFreeAt, n.fleet.Now()) + n.fleet.scenario.NodeCost
	n.fleet.At(n.coreFreeAt, do)
}

// startOfRun is the time that deciders see at a run's start. It is not 0, as deciders take 0 for "long ago".
const startOfRun = time.Hour

// deliver passes an event to the node's decider and carries out the resulting actions.
func (n *node) deliver(e decide.Event) {
	for _, a := range append([]decide.Action(nil), n.decider.Handle(n.fleet.Now()+startOfRun, e)...) {
		n.perform(a)
	}
}

// perform carries out one action.
func (n *node) perform(a decide.Action) {
	f := n.fleet
	switch a := a.(type) {
	case decide.Send:
		n.send(a)
	case decide.Refuse:
		if t := n.tries[a.ID]; t != nil {
			t.end(false, a.HoldOff, true)
		}
	case decide.Fail:
		if t := n.tries[a.ID]; t != nil {
			t.end(false, 0, false)
		}
	case decide.CancelAttempt: // the outcome comes as a separate event
	case decide.Probe:
		n.probe(a.Server)
	case decide.SetTimer:
		f.After(a.After, func() { n.deliver(decide.TimerFired{Token: a.Token}) })
	}
}

// send starts an attempt at a server. Its outcome comes back to the decider as decide.AttemptEnded.
func (n *node) send(a decide.Send) {
	f, t := n.fleet, n.tries[a.ID]
	s := f.byID[a.Server]
	if t == nil || s == nil {
		f.After(0, func() {
			n.deliver(decide.AttemptEnded{ID: a.ID, Server: a.Server, RequestDone: true, Code: decide.Moot})
		})
		return
	}
	current := &attempt{sent: f.Now()}
	number := len(t.attempts)
	t.attempts = append(t.attempts, current)
	end := func(code decide.OutcomeCode, nodeTime time.Duration) {
		if current.ended {
			return
		}
		current.ended = true
		f.Cancel(current.timeout)
		if current.job != nil {
			current.job.abandoned = true
		}
		if code == decide.OK {
			t.end(true, 0, false)
		}
		n.deliver(decide.AttemptEnded{ID: a.ID, Attempt: number, Server: a.Server, RequestDone: t.ended,
			Elapsed: f.Now() - current.sent, NodeTime: nodeTime, Code: code})
	}
	limit := t.deadline - f.Now()
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	current.timeout = f.After(limit, func() { end(decide.TimedOut, 0) })
	current.job = &job{try: t, work: t.order.work, done: func(code decide.OutcomeCode) {
		f.After(f.scenario.Hop, func() {
			receivedAt := f.Now()
			n.runOnCore(func() { end(code, f.Now()-receivedAt) })
		})
	}}
	f.After(f.scenario.Hop, func() { s.accept(current.job) })
}

// probe asks a server how many requests it has and how long a request that comes now would take. A probe costs the
// server nothing.
func (n *node) probe(id decide.ServerID) {
	f, s := n.fleet, n.fleet.byID[id]
	sent := f.Now()
	f.After(f.scenario.Hop, func() {
		e := decide.ProbeEnded{Server: id, Code: decide.ConnectFailed}
		if s != nil && s.unresponsive {
			return // an unresponsive server sends no probe answer; the node probes others meanwhile
		}
		if s != nil && !s.down {
			e.Code, e.Report = decide.OK, &decide.Report{InFlight: float64(s.inFlight()), HasInFlight: true,
				ServiceTime: time.Duration(s.expectedSeconds(f.scenario.meanWork()) * float64(time.Second))}
		}
		f.After(f.scenario.Hop, func() {
			e.Elapsed = f.Now() - sent
			n.runOnCore(func() { n.deliver(e) })
		})
	})
}

// inFlight returns the number of the server's requests, processed or waiting.
func (s *server) inFlight() int { return s.busy + len(s.queue) }

// expectedSeconds returns how long a request of so much work (seconds on a core of speed 1) would take if it came
// now, in seconds, estimated from the server's present requests.
func (s *server) expectedSeconds(work float64) float64 {
	waiting := 0.0
	for _, j := range s.queue {
		if !j.abandoned {
			waiting += j.work
		}
	}
	ahead := waiting / float64(s.Cores)
	if s.busy >= s.Cores {
		// Requests in process are half done on average, and the first core that becomes free counts.
		ahead += s.fleet.scenario.meanWork() / float64(s.Cores)
	}
	return (ahead + work) / s.coreSpeed()
}

// accept takes a request that arrives at the server, or rejects it.
func (s *server) accept(j *job) {
	switch {
	case s.down:
		j.done(decide.ConnectFailed)
	case s.inFlight() >= s.MaxRequests:
		j.done(decide.Full)
	default:
		s.queue = append(s.queue, j)
		s.startNext()
	}
}

// startNext starts waiting requests on free cores.
func (s *server) startNext() {
	for s.busy < s.Cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.abandoned {
			continue
		}
		s.busy++
		s.fleet.Executions++
		if o := j.try.order; o.class.Effect == decide.Unsafe {
			if o.executions++; o.executions > 1 {
				s.fleet.DuplicateRuns++
			}
		}
		epoch := s.epoch
		s.fleet.After(time.Duration(j.work/s.coreSpeed()*float64(time.Second)), func() {
			if s.epoch != epoch {
				return
			}
			s.busy--
			if !s.unresponsive {
				j.done(decide.OK)
			}
			s.startNext()
		})
	}
}

// coreSpeed returns the present speed of a core.
func (s *server) coreSpeed() float64 {
	v := s.Speed
	if warm := float64(s.fleet.Now()-s.started) / float64(max(1, s.ColdTime)); warm < 1 {
		v *= s.ColdFrom + (1-s.ColdFrom)*max(0, warm)
	}
	if s.slow {
		v /= 10
	}
	if held := s.inFlight(); s.CongestedFrom > 0 && held > s.CongestedFrom {
		v /= 1 + s.CongestionSlowdown*float64(held-s.CongestedFrom)/float64(s.CongestedFrom)
	}
	return v
}

// startFault begins a fault and schedules its end.
func (f *Fleet) startFault(x Fault) {
	s := f.servers[x.Server]
	set := func(on bool) {
		switch x.Kind {
		case Unresponsive:
			s.unresponsive = on
		case Slow:
			s.slow = on
		case Crash:
			if s.down = on; on {
				s.epoch++
				lost := s.queue
				s.queue, s.busy = nil, 0
				for _, j := range lost {
					j.done(decide.Reset)
				}
			} else {
				s.started = f.Now()
			}
			f.publishState(s)
		}
	}
	set(true)
	f.After(x.For, func() { set(false) })
}

// publishState notifies the nodes of a server's present state, after the registry's delay.
func (f *Fleet) publishState(s *server) {
	f.listVersion++
	e := decide.ListUpdate{Kind: decide.ListChanges, Version: f.listVersion,
		Entries: []decide.Server{{ID: s.id, Zone: s.Zone, Cell: s.Cell, Size: 1,
			StartedAt: s.started + startOfRun}}}
	if s.down {
		e.Entries[0].State = decide.Removed
	}
	for _, n := range f.nodes {
		f.After(f.scenario.RegistryLag, func() { n.deliver(e) })
	}
}
