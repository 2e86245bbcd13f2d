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
	Share  float64 // part of all requests, relative to the other classes' shares
	Work   time.Duration // mean processing time on one core of speed 1
	WorkCV float64 // coefficient of variation of the processing time
	Wait   time.Duration // mean wait before a client's further try
}

// ServerSpec describes a model server.
type ServerSpec struct {
	Name     string
	Zone     string
	Cell     int
	Cores    int
	Speed    float64 // of a core; 1 is the speed that Class.Work refers to
	Room     int // requests processed or waiting; further ones are rejected
	ColdFrom float64 // speed right after a start, as a part of full speed
	ColdTime time.Duration
	// Congestion: a server with more than CongestedFrom requests gets slower with each further one, by the factor
	// 1 + CongestionSlowdown at twice as many. 0: never.
	CrowdFrom int
	CrowdSlow float64
}

// Scenario describes a fleet, its clients, and the faults of a run.
type Scenario struct {
	Length   time.Duration
	Rate     float64 // orders a second, over all nodes
	Classes  []Class
	Servers  []ServerSpec
	Nodes    int
	Hop      time.Duration // network delay from node to server, one way
	Retries  int // further tries of a client after refusals
	Heedless float64 // part of the clients that try again without waiting for the hold-off they were given
	NodeCost time.Duration // time on a node's core for each event that the node handles
	Lag      time.Duration // delay of the registry: how much later nodes are notified that a server is gone or back
	Settings decide.Settings
	Policy   Policy // what decides at each node; the zero value: the module
	Salt     string // seeds the deciders' own random numbers: compared versions have different salts
	Faults   []Fault

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
	Mute FaultKind = iota
	// Crash: the server loses its requests and refuses connections. It comes back cold.
	Crash
	// Slow: the server has a tenth of its speed.
	Slow
)

// Sums count the orders of a run and their outcomes.
type Sums struct {
	Orders, Served, InAim, Refused, Failed, Tries int
	Asked, Got                                    float64 // of all orders; of those answered within their aims
	Executions, Doubled                           int // at servers; repeated runs of unsafe orders
}

// WorthFraction returns the worth of orders answered within their aims, as a part (0 to 1) of all orders' worth.
func (s Sums) Worth() float64 { return s.Got / max(s.Asked, 1e-9) }

// Fleet is a run in progress.
type Fleet struct {
	Clock
	Outcome
	sc      *Scenario
	streams *Streams
	servers []*server
	byID    map[decide.ServerID]*server
	nodes   []*node
	nextID  int
	version uint64 // version of the registry's list
	ofClass map[*Class]*ClassSums
}

// server is a model server and its present state.
type server struct {
	ServerSpec
	f       *Fleet
	id      decide.ServerID
	busy    int
	queue   []*job
	started time.Duration
	epoch   int // number of crashes; work that began in an earlier epoch is lost
	down    bool
	mute    bool
	slow    bool
	work    *Stream
}

// job is an attempt as its server sees it.
type job struct {
	try    *try
	work   float64 // processing time, in seconds on a core of speed 1
	done   func(code decide.OutcomeCode)
	called bool // the attempt has ended for the node: the job must not begin any more
}

// node is a model node with its decider.
type node struct {
	f       *Fleet
	decider Decider
	free    time.Duration // when its core will be free
	tries   map[decide.RequestID]*try
	name    string
}

// order is what a client wants, over all its tries.
type order struct {
	number   int // counted over all orders of the run
	class    *Class
	began    time.Duration
	deadline time.Duration
	work     float64
	ran      int
	tries    int
	node     int
	heedless bool // the client does not wait for hold-offs
}

// try is one request of a client to a node.
type try struct {
	id       decide.RequestID
	order    *order
	node     *node
	deadline time.Duration
	attempts []*attempt
	over     bool
}

// attempt is an attempt as its node sees it.
type attempt struct {
	job   *job
	sent  time.Duration
	limit *Event
	ended bool
}

// NewFleet prepares a run of a scenario. The seed determines all random numbers.
func NewFleet(sc *Scenario, seed uint64) *Fleet {
	f := &Fleet{sc: sc, streams: NewStreams(seed), byID: map[decide.ServerID]*server{}, ofClass: map[*Class]*ClassSums{}}
	f.version = 1
	f.Outcome = newOutcome(sc)
	for i := range sc.Classes {
		f.ofClass[&sc.Classes[i]] = &f.Classes[i]
	}
	f.At(0, f.observe)
	list := decide.ListUpdate{Kind: decide.ListFull, Version: f.version}
	for i, spec := range sc.Servers {
		s := &server{ServerSpec: spec, f: f, id: decide.ServerID(i + 1), started: -time.Hour, work: f.streams.Of("server "+spec.Name, "work")}
		f.servers, f.byID[s.id] = append(f.servers, s), s
		list.Entries = append(list.Entries, decide.Server{ID: s.id, Zone: spec.Zone, Cell: spec.Cell, Size: 1})
	}
	make := sc.Policy.make
	if make == nil {
		make = Policies()[0].make
	}
	for i := range sc.Nodes {
		settings := sc.Settings
		settings.Nodes, settings.Self = sc.Nodes, i
		name := fmt.Sprint("node ", i)
		n := &node{f: f, name: name, decider: make(f, settings, int64(f.streams.Of(name, "seed"+sc.Salt).Uint64())), tries: map[decide.RequestID]*try{}}
		f.nodes = append(f.nodes, n)
		f.At(0, func() { n.tell(list) })
	}
	for _, fault := range sc.Faults {
		f.At(fault.At, func() { f.befall(fault) })
	}
	arrivals, classes := f.streams.Of("clients", "arrivals"), f.streams.Of("clients", "classes")
	works, nodes, manners := f.streams.Of("clients", "work"), f.streams.Of("clients", "node"), f.streams.Of("clients", "manners")
	come := func(c *Class, work time.Duration) {
		o := &order{number: f.Orders, class: c, began: f.Now(), deadline: f.Now() + c.Deadline, node: nodes.IntN(sc.Nodes), work: work.Seconds(),
			heedless: manners.Chance(sc.Heedless)}
		f.Orders++
		f.Asked += c.Worth
		f.ofClass[c].Orders++
		f.second().Orders++
		f.try(o)
	}
	var arrive func()
	next := 0
	arrive = func() {
		switch {
		case f.Now() >= sc.Length:
		case sc.arrivals == nil:
			c := f.pick(classes)
			come(c, works.LogNormal(c.Work, c.WorkCV))
			f.After(arrivals.Exp(time.Duration(float64(time.Second)/sc.Rate)), arrive)
		default:
			for ; next < len(sc.arrivals) && sc.arrivals[next].at <= f.Now(); next++ {
				a := sc.arrivals[next]
				c, work := &sc.Classes[a.class], a.work
				if work == 0 {
					work = works.LogNormal(c.Work, c.WorkCV)
				}
				come(c, work)
			}
			if next < len(sc.arrivals) {
				f.At(sc.arrivals[next].at, arrive)
			}
		}
	}
	f.At(0, arrive)
	return f
}

// Simulate runs a scenario to its end and returns the counts.
func Play(sc *Scenario, seed uint64) Sums { return PlayFull(sc, seed).Sums }

// SimulateFull runs a scenario to its end and returns all that was measured.
func PlayFull(sc *Scenario, seed uint64) *Outcome {
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
func (f *Fleet) pick(s *Stream) *Class {
	all := 0.0
	for i := range f.sc.Classes {
		all += f.sc.Classes[i].Share
	}
	x := s.Float64() * all
	for i := range f.sc.Classes {
		if x -= f.sc.Classes[i].Share; x < 0 {
			return &f.sc.Classes[i]
		}
	}
	return &f.sc.Classes[len(f.sc.Classes)-1]
}

// sendTry sends an order to a node. Each further try goes to the next node.
func (f *Fleet) try(o *order) {
	f.Tries++
	f.nextID++
	n := f.nodes[(o.node+o.tries)%len(f.nodes)]
	o.tries++
	t := &try{id: decide.RequestID(fmt.Sprint(f.nextID)), order: o, node: n, deadline: o.deadline}
	n.tries[t.id] = t
	n.onCore(func() {
		if f.Now() >= t.deadline {
			t.end(false, 0, false)
			return
		}
		n.tell(decide.RequestArrived{ID: t.id, Class: o.class.Name, Patience: t.deadline - f.Now()})
	})
}

// end ends a try with its final answer and counts the outcome. refused says that a further try does no harm; the
// client then tries again after holdOff and a random wait, if it has a try left and the deadline allows.
func (t *try) end(served bool, holdOff time.Duration, refused bool) {
	if t.over {
		return
	}
	t.over = true
	f, o := t.node.f, t.order
	delete(t.node.tries, t.id)
	took := f.Now() - o.began
	class := f.ofClass[o.class]
	switch {
	case served && f.Now() <= o.deadline:
		f.Served++
		f.record(class, took)
		if took <= o.class.Aim {
			f.InAim++
			f.Got += o.class.Worth
			class.InAim++
			f.at(o.began).InAim++
		}
	case refused && o.tries <= f.sc.Retries:
		if o.heedless {
			holdOff = 0
		}
		wait := holdOff + f.streams.At("clients", "wait", uint64(o.number)<<8|uint64(o.tries)).Exp(o.class.Wait)
		if f.Now()+wait < o.deadline {
			f.After(wait, func() { f.try(o) })
			return
		}
		f.Refused++
		class.Refused++
		f.at(o.began).Refused++
	case refused:
		f.Refused++
		class.Refused++
		f.at(o.began).Refused++
	default:
		f.Failed++
		class.Failed++
	}
}

// runOnCore runs do once the node's core has processed all earlier events and this one.
func (n *node) onCore(do func()) {
	n.free = max(n.free, n.f.Now()) + n.f.sc.NodeCost
	n.f.At(n.free, do)
}

// startOfRun is the time that deciders see at a run's start. It is not 0, as deciders take 0 for "long ago".
const epochTime = time.Hour

// deliver passes an event to the node's decider and carries out the resulting actions.
func (n *node) tell(e decide.Event) {
	for _, a := range append([]decide.Action(nil), n.decider.Handle(n.f.Now()+epochTime, e)...) {
		n.do(a)
	}
}

// perform carries out one action.
func (n *node) do(a decide.Action) {
	f := n.f
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
		f.After(a.After, func() { n.tell(decide.TimerFired{Token: a.Token}) })
	}
}

// send starts an attempt at a server. Its outcome comes back to the decider as decide.AttemptEnded.
func (n *node) send(a decide.Send) {
	f, t := n.f, n.tries[a.ID]
	s := f.byID[a.Server]
	if t == nil || s == nil {
		f.After(0, func() { n.tell(decide.AttemptEnded{ID: a.ID, Server: a.Server, RequestDone: true, Code: decide.Moot}) })
		return
	}
	at := &attempt{sent: f.Now()}
	number := len(t.attempts)
	t.attempts = append(t.attempts, at)
	end := func(code decide.OutcomeCode, own time.Duration) {
		if at.ended {
			return
		}
		at.ended = true
		f.Cancel(at.limit)
		if at.job != nil {
			at.job.called = true
		}
		if code == decide.OK {
			t.end(true, 0, false)
		}
		n.tell(decide.AttemptEnded{ID: a.ID, Attempt: number, Server: a.Server, RequestDone: t.over, Elapsed: f.Now() - at.sent, NodeTime: own, Code: code})
	}
	limit := t.deadline - f.Now()
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	at.limit = f.After(limit, func() { end(decide.TimedOut, 0) })
	at.job = &job{try: t, work: t.order.work, done: func(code decide.OutcomeCode) {
		f.After(f.sc.Hop, func() {
			came := f.Now()
			n.onCore(func() { end(code, f.Now()-came) })
		})
	}}
	f.After(f.sc.Hop, func() { s.take(at.job) })
}

// probe asks a server how many requests it has and how long a request that comes now would take. A probe costs the
// server nothing.
func (n *node) probe(id decide.ServerID) {
	f, s := n.f, n.f.byID[id]
	sent := f.Now()
	f.After(f.sc.Hop, func() {
		e := decide.ProbeEnded{Server: id, Code: decide.ConnectFailed}
		if s != nil && s.mute {
			return // an unresponsive server sends no probe answer; the node probes others meanwhile
		}
		if s != nil && !s.down {
			e.Code, e.Report = decide.OK, &decide.Report{InFlight: float64(s.held()), HasInFlight: true,
				ServiceTime: time.Duration(s.expects(f.sc.meanWork()) * float64(time.Second))}
		}
		f.After(f.sc.Hop, func() {
			e.Elapsed = f.Now() - sent
			n.onCore(func() { n.tell(e) })
		})
	})
}

// inFlight returns the number of the server's requests, processed or waiting.
func (s *server) held() int { return s.busy + len(s.queue) }

// expectedSeconds returns how long a request of so much work (seconds on a core of speed 1) would take if it came
// now, in seconds, estimated from the server's present requests.
func (s *server) expects(work float64) float64 {
	waiting := 0.0
	for _, j := range s.queue {
		if !j.called {
			waiting += j.work
		}
	}
	ahead := waiting / float64(s.Cores)
	if s.busy >= s.Cores {
		// Requests in process are half done on average, and the first core that becomes free counts.
		ahead += s.f.sc.meanWork() / float64(s.Cores)
	}
	return (ahead + work) / s.speed()
}

// accept takes a request that arrives at the server, or rejects it.
func (s *server) take(j *job) {
	switch {
	case s.down:
		j.done(decide.ConnectFailed)
	case s.held() >= s.Room:
		j.done(decide.Full)
	default:
		s.queue = append(s.queue, j)
		s.next()
	}
}

// startNext starts waiting requests on free cores.
func (s *server) next() {
	for s.busy < s.Cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.called {
			continue
		}
		s.busy++
		s.f.Executions++
		if o := j.try.order; o.class.Effect == decide.Unsafe {
			if o.ran++; o.ran > 1 {
				s.f.Doubled++
			}
		}
		epoch := s.epoch
		s.f.After(time.Duration(j.work/s.speed()*float64(time.Second)), func() {
			if s.epoch != epoch {
				return
			}
			s.busy--
			if !s.mute {
				j.done(decide.OK)
			}
			s.next()
		})
	}
}

// coreSpeed returns the present speed of a core.
func (s *server) speed() float64 {
	v := s.Speed
	if warm := float64(s.f.Now()-s.started) / float64(max(1, s.ColdTime)); warm < 1 {
		v *= s.ColdFrom + (1-s.ColdFrom)*max(0, warm)
	}
	if s.slow {
		v /= 10
	}
	if held := s.held(); s.CrowdFrom > 0 && held > s.CrowdFrom {
		v /= 1 + s.CrowdSlow*float64(held-s.CrowdFrom)/float64(s.CrowdFrom)
	}
	return v
}

// startFault begins a fault and schedules its end.
func (f *Fleet) befall(x Fault) {
	s := f.servers[x.Server]
	set := func(on bool) {
		switch x.Kind {
		case Mute:
			s.mute = on
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
			f.register(s)
		}
	}
	set(true)
	f.After(x.For, func() { set(false) })
}

// publishState notifies the nodes of a server's present state, after the registry's delay.
func (f *Fleet) register(s *server) {
	f.version++
	e := decide.ListUpdate{Kind: decide.ListChanges, Version: f.version, Entries: []decide.Server{{ID: s.id, Zone: s.Zone, Cell: s.Cell, Size: 1,
		StartedAt: s.started + epochTime}}}
	if s.down {
		e.Entries[0].State = decide.Removed
	}
	for _, n := range f.nodes {
		f.After(f.sc.Lag, func() { n.tell(e) })
	}
}
