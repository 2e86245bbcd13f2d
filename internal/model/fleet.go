package model

import (
	"fmt"
	"time"

	"starlingvalve/decide"
)

// Decider is what decides for a node: decide.Module, or a baseline in its place. It is told of events and gives actions, which
// the next call may reuse.
type Decider interface {
	Handle(now decide.Time, e decide.Event) []decide.Action
}

// Class is a kind of request as clients know it.
type Class struct {
	decide.Class
	Share  float64       // of all requests
	Work   time.Duration // mean, on one core of speed 1
	WorkCV float64       // coefficient of variation of the work
	Wait   time.Duration // mean, before a client's further try
}

// ServerSpec is a model server.
type ServerSpec struct {
	Name     string
	Zone     string
	Cell     int
	Cores    int
	Speed    float64 // of a core
	Room     int     // requests held, at work and waiting; more are turned away
	ColdFrom float64 // part of its speed right after a start
	ColdTime time.Duration
	// A server that holds more than CrowdFrom requests is the slower, the more it holds: at twice as many by the factor 1 +
	// CrowdSlow. 0: it never is.
	CrowdFrom int
	CrowdSlow float64
}

// Scenario is a fleet and what it is asked.
type Scenario struct {
	Length   time.Duration
	Rate     float64 // orders a second, over all nodes
	Classes  []Class
	Servers  []ServerSpec
	Nodes    int
	Hop      time.Duration // one way, node to server
	Retries  int           // further tries of a client, after refusals
	Heedless float64       // part of the clients that come back without the hold-off that they are told
	NodeCost time.Duration // of a node's core, for each event that it handles
	Lag      time.Duration // of the registry: nodes hear so much later that a server is gone or back
	Settings decide.Settings
	Policy   Policy // what decides at each node; its zero value: the module
	Salt     string // of the deciders' own random numbers: versions that are compared have different ones
	Faults   []Fault

	arrivals []arrival // in the place of orders at Rate: see Replay
}

// Fault is something that befalls a server.
type Fault struct {
	At, For time.Duration
	Server  int
	Kind    FaultKind
}

// FaultKind is what a Fault does.
type FaultKind int

const (
	// Mute: it takes requests and answers none.
	Mute FaultKind = iota
	// Crash: it is gone, and comes back cold.
	Crash
	// Slow: a tenth of its speed.
	Slow
)

// Sums are what came of a run.
type Sums struct {
	Orders, Served, InAim, Refused, Failed, Tries int
	Asked, Got                                    float64 // worth
	Executions, Doubled                           int     // at servers; of unsafe orders, beyond the first
}

// Worth is the part of the worth asked for that was answered within the aims.
func (s Sums) Worth() float64 { return s.Got / max(s.Asked, 1e-9) }

// Fleet is a run under way.
type Fleet struct {
	Clock
	Outcome
	sc      *Scenario
	streams *Streams
	servers []*server
	byID    map[decide.ServerID]*server
	nodes   []*node
	nextID  int
	version uint64 // of the registry's list
	ofClass map[*Class]*ClassSums
}

type server struct {
	ServerSpec
	f       *Fleet
	id      decide.ServerID
	busy    int
	queue   []*job
	started time.Duration
	epoch   int // counts its crashes: what an earlier life worked on is lost
	down    bool
	mute    bool
	slow    bool
	work    *Stream
}

// job is an attempt at a server.
type job struct {
	try    *try
	work   float64 // s on a core of speed 1
	done   func(code decide.OutcomeCode)
	called bool // off, or given up: it does not begin any more
}

type node struct {
	f       *Fleet
	decider Decider
	free    time.Duration // when its core is
	tries   map[decide.RequestID]*try
	name    string
}

// order is what a client wants, over all its tries.
type order struct {
	number   int // among all
	class    *Class
	began    time.Duration
	deadline time.Duration
	work     float64
	ran      int
	tries    int
	node     int
	heedless bool // of hold-offs
}

// try is one request to a node.
type try struct {
	id       decide.RequestID
	order    *order
	node     *node
	deadline time.Duration
	attempts []*attempt
	over     bool
}

type attempt struct {
	job   *job
	sent  time.Duration
	limit *Event
	ended bool
}

// NewFleet makes a run of a scenario.
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

// Play runs a scenario to its end and gives what came of it.
func Play(sc *Scenario, seed uint64) Sums { return PlayFull(sc, seed).Sums }

// PlayFull is Play with all that was measured.
func PlayFull(sc *Scenario, seed uint64) *Outcome {
	f := NewFleet(sc, seed)
	f.Run(sc.Length + 2*sc.Settings.LongestDeadline())
	return &f.Outcome
}

// tryOf finds a try at any node.
func (f *Fleet) tryOf(id decide.RequestID) *try {
	for _, n := range f.nodes {
		if t := n.tries[id]; t != nil {
			return t
		}
	}
	return nil
}

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

// try sends an order to a node, the next one at each further try.
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

// end is a try's final answer; refused: a further try does no harm.
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

// onCore runs something once the node's core has come to it.
func (n *node) onCore(do func()) {
	n.free = max(n.free, n.f.Now()) + n.f.sc.NodeCost
	n.f.At(n.free, do)
}

// epoch is the virtual time of day at a run's start: deciders take 0 for long ago.
const epochTime = time.Hour

func (n *node) tell(e decide.Event) {
	for _, a := range append([]decide.Action(nil), n.decider.Handle(n.f.Now()+epochTime, e)...) {
		n.do(a)
	}
}

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
	case decide.CancelAttempt: // the outcome comes as an event of its own
	case decide.Probe:
		n.probe(a.Server)
	case decide.SetTimer:
		f.After(a.After, func() { n.tell(decide.TimerFired{Token: a.Token}) })
	}
}

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

// probe asks a server how many requests it holds and what one that comes now may expect. It costs the server nothing.
func (n *node) probe(id decide.ServerID) {
	f, s := n.f, n.f.byID[id]
	sent := f.Now()
	f.After(f.sc.Hop, func() {
		e := decide.ProbeEnded{Server: id, Code: decide.ConnectFailed}
		if s != nil && s.mute {
			return // the node hears nothing, and asks others meanwhile
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

// held is the number of requests that it has, at work and waiting.
func (s *server) held() int { return s.busy + len(s.queue) }

// expects is how long a request of so much work that came now would take, in seconds, by what it holds.
func (s *server) expects(work float64) float64 {
	waiting := 0.0
	for _, j := range s.queue {
		if !j.called {
			waiting += j.work
		}
	}
	ahead := waiting / float64(s.Cores)
	if s.busy >= s.Cores {
		ahead += s.f.sc.meanWork() / float64(s.Cores) // what is at work is half done on the whole, and the first core counts
	}
	return (ahead + work) / s.speed()
}

// take is a request's arrival at a server.
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

// next begins what waits on cores that are free.
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

// speed is a core's, by now.
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

// befall begins a fault, and has it end.
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

// register has the nodes told, after the registry's lag, what a server's state is now.
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
