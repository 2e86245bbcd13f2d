package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/gossip"
)

// The load messages of a service are measured in virtual time. Each node of the fleet has a real decision module,
// with the service's backends. Requests of each node arrive at random, and each message reaches its receiver's
// module. Services don't share messages, so the messages of a node are the sum over its services.

const (
	simStep    = 5 * time.Millisecond // of virtual time; minimum time between two events of a module
	simWarm    = 20 * time.Second     // virtual time until counting begins
	simLength  = 40 * time.Second     // virtual time of counting
	simWheel   = 1 << 12              // maximum number of steps for which events are scheduled ahead: 20 s
	answerTime = 50 * time.Millisecond
	subset     = 8 // backends that a low-traffic node sends to
)

// service is the simulation of one service in the fleet.
type service struct {
	modules  []*decide.Module
	rate     float64 // requests a second at a node
	answer   time.Duration
	now      time.Duration
	wheel    [simWheel][]delivery // events by step
	random   *rand.Rand
	next     []time.Duration // times of the nodes' next requests
	requests int
	counting bool
	sent     int // datagrams, while counting
	bytes    int // payload of these datagrams
}

// delivery is an event on its way to a module.
type delivery struct {
	to    int
	event decide.Event
}

func newService(nodes, backends int, rate float64, answer time.Duration, seed uint64) *service {
	v := &service{rate: rate, answer: answer, random: rand.New(rand.NewPCG(seed, uint64(nodes))), now: moduleStart}
	list := backendList(0, backends)
	for i := range nodes {
		settings := nodeSettings(i, 0)
		settings.Nodes = nodes
		m := decide.New(settings, int64(seed)+int64(i))
		v.modules = append(v.modules, m)
		v.schedule(time.Duration(v.random.Int64N(int64(tickLength))), delivery{i, decide.TimerFired{}})
		v.next = append(v.next, v.now+v.arrivalGap())
		v.execute(i, m.Handle(v.now, list))
	}
	return v
}

func (v *service) arrivalGap() time.Duration {
	return time.Duration(v.random.ExpFloat64() / v.rate * float64(time.Second))
}

// schedule schedules an event after a time, at the next step at the earliest.
func (v *service) schedule(after time.Duration, d delivery) {
	step := min(simWheel-1, max(1, int(after/simStep)))
	at := (int(v.now/simStep) + step) % simWheel
	v.wheel[at] = append(v.wheel[at], d)
}

// execute carries out the actions of a module.
func (v *service) execute(node int, actions []decide.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case decide.SetTimer:
			v.schedule(a.After, delivery{node, decide.TimerFired{}})
		case decide.Send:
			took := time.Duration(v.random.ExpFloat64() * float64(v.answer))
			v.schedule(took, delivery{node, decide.AttemptEnded{ID: a.ID, Server: a.Server, RequestDone: true, Elapsed: max(took,
				simStep)}})
		case decide.Probe:
			v.schedule(simStep, delivery{node, decide.ProbeEnded{Server: a.Server, Elapsed: simStep,
				Report: &decide.Report{InFlight: 6, HasInFlight: true, Queue: 2, HasQueue: true}}})
		case decide.SendMessage:
			v.deliver(node, a)
		}
	}
}

func (v *service) deliver(from int, a decide.SendMessage) {
	to := []int{a.To}
	if a.ToAll {
		to = to[:0]
		for i := range v.modules {
			if i != from {
				to = append(to, i)
			}
		}
	}
	for _, i := range to {
		v.schedule(simStep, delivery{i, decide.MessageReceived{From: from, Data: a.Data}})
	}
	if v.counting {
		v.sent += len(to)
		v.bytes += len(to) * len(a.Data)
	}
}

// advance runs the simulation for a length of virtual time.
func (v *service) advance(ctx context.Context, length time.Duration) error {
	for end := v.now + length; v.now < end; {
		v.now += simStep
		at := int(v.now/simStep) % simWheel
		due := v.wheel[at]
		v.wheel[at] = nil
		for _, d := range due {
			v.execute(d.to, v.modules[d.to].Handle(v.now, d.event))
		}
		for i, next := range v.next {
			if next > v.now {
				continue
			}
			v.requests++
			v.execute(i, v.modules[i].Handle(v.now, decide.RequestArrived{ID: decide.RequestID(strconv.Itoa(v.requests)),
				Class: requestClass.Name, Patience: requestClass.Patience}))
			v.next[i] = v.now + v.arrivalGap()
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// serviceTraffic is what one node sends for one service, per second, and what this costs.
type serviceTraffic struct {
	datagrams float64
	bytes     float64 // headers included
	processor float64 // cores of one node's module with its share of the simulation, without system calls
	memory    float64 // bytes of live heap for one node's module
}

func (v *service) measure(ctx context.Context, warm, length time.Duration) (t serviceTraffic, err error) {
	if err := v.advance(ctx, warm); err != nil {
		return t, err
	}
	v.counting = true
	began := processorTime()
	if err := v.advance(ctx, length); err != nil {
		return t, err
	}
	each := length.Seconds() * float64(len(v.modules))
	t.datagrams, t.bytes = float64(v.sent)/each, float64(v.bytes+headerBytes*v.sent)/each
	t.processor = (processorTime() - began).Seconds() / each
	v.wheel = [simWheel][]delivery{}
	with := liveHeap()
	nodes := float64(len(v.modules))
	v.modules = nil
	t.memory = (with - liveHeap()) / nodes
	return t, nil
}

// processorTime returns the processor time that this process has used, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// messages measures the load messages of a node, by fleet size for one service, and by number of services for the
// whole fleet. Each node gets the design's requests, spread evenly over its services.
func (r *run) messages(ctx context.Context, s *Section) error {
	perNode := Design.Requests / Design.Nodes
	audience := r.audiences(s)
	s.addFigure(r.Out, "request.each", Design.Services/perNode,
		"s between two requests of a service at a node, computed: 65,000 a second over 730 nodes and 340 services")
	warm, length := simWarm, simLength
	sizes, counts := []int{40, 120, 365, int(Design.Nodes)}, []int{10, 40, 100, int(Design.Services)}
	if r.Quick {
		warm, length = simWarm/10, simLength/20
		sizes, counts = []int{40}, nil
	}
	var byNodes, byServices slopePoints
	for _, size := range sizes {
		t, err := newService(size, serviceSize, perNode/Design.Services, answerTime, r.Seed).measure(ctx, warm, length)
		if err != nil {
			return err
		}
		r.addTrafficFigures(s, fmt.Sprintf("nodes.%d", size), t, 1, nil)
		byNodes.add("nodes.datagrams", "datagrams/s that a node sends for one of 340 services", float64(size),
			t.datagrams)
		byNodes.add("nodes.bytes", "bytes/s that a node sends for one of 340 services, with headers", float64(size),
			t.bytes)
		byNodes.add("nodes.memory", "bytes of a node's module for one of 340 services", float64(size), t.memory)
	}
	if r.Quick {
		return nil
	}
	if err := byNodes.write(r, s, "node", Design.Nodes); err != nil {
		return err
	}
	s.addFigure(r.Out, "words", slopeOf(s, "nodes.datagrams")/audience,
		"datagrams/s to each of the others that are told, for one of 340 services")
	for _, count := range counts {
		t, err := newService(int(Design.Nodes), serviceSize, perNode/float64(count), answerTime, r.Seed).measure(ctx,
			warm, length)
		if err != nil {
			return err
		}
		r.addTrafficFigures(s, fmt.Sprintf("services.%d", count), t, float64(count), &byServices)
	}
	if err := byServices.write(r, s, "service", Design.Services); err != nil {
		return err
	}
	for _, answer := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		t, err := newService(int(Design.Nodes), serviceSize, perNode/Design.Services, answer, r.Seed).measure(ctx,
			warm, length)
		if err != nil {
			return err
		}
		r.addTrafficFigures(s, fmt.Sprintf("answers.%dms", answer.Milliseconds()), t, Design.Services, nil)
	}
	return nil
}

// audiences adds the mean number of others that a node sends its load messages to, because their subsets overlap
// its own, and returns that for the design size.
func (r *run) audiences(s *Section) (design float64) {
	mean := func(nodes, backends int) float64 {
		sum := 0
		for self := range nodes {
			sum += len(gossip.Audience(nodes, self, backends, subset, subset))
		}
		return float64(sum) / float64(nodes)
	}
	const smallNodes, smallBackends = 300, 200
	s.addFigure(r.Out, "audience.small", mean(smallNodes, smallBackends),
		"others that a node tells, 300 nodes before 200 backends, subsets of 8")
	design = mean(int(Design.Nodes), serviceSize)
	s.addFigure(r.Out, "audience.design", design,
		"others that a node tells for a service, 730 nodes before 25 backends, subsets of 8")
	return design
}

// addTrafficFigures adds what a node sends and receives for a number of services, of which one was run.
func (r *run) addTrafficFigures(s *Section, name string, t serviceTraffic, services float64, p *slopePoints) {
	for _, f := range []struct {
		name  string
		value float64
		unit  string
	}{
		{"datagrams", services * t.datagrams, "datagrams/s that a node sends"},
		{"bytes", 2 * services * t.bytes, "bytes/s that a node sends and hears, with headers"},
		{"memory", services * t.memory / (1 << 20), "MiB of a node's modules"},
		{"processor", services * t.processor, "cores of a node for making and taking them, without system calls"},
	} {
		s.addFigure(r.Out, name+"."+f.name, f.value, f.unit)
		if p != nil {
			p.add("services."+f.name, f.unit, services, f.value)
		}
	}
}
