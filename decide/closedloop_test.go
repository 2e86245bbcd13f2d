package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A simulation, in virtual time, of one node with its clients and servers. Clients are either connections that send
// their next request once they have an answer (a closed loop), or arrivals at a given rate (an open loop). Servers have
// a number of cores. The node has one core of its own, whose queue adds delay that no server causes.

// timedEvent is a function that is to run at a time. Those of the same time run in the order in which they were
// scheduled.
type timedEvent struct {
	at       Time
	sequence int
	run      func()
}

// timedQueue is a heap of events by time.
type timedQueue []timedEvent

func (q timedQueue) Len() int { return len(q) }
func (q timedQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q timedQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timedQueue) Push(e any)   { *q = append(*q, e.(timedEvent)) }
func (q *timedQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// tally counts the requests of a class.
type tally struct{ arrived, served, withinAim, refused, refusedByNode int }

// nodeSimulation is a node with its clients and servers.
type nodeSimulation struct {
	module            *Module
	now               Time
	queue             timedQueue
	sequence          int
	random            *rand.Rand
	stepCost          time.Duration // that the node's core spends on an arriving request, and again on its answer
	coreFreeAt        Time          // when the node's core is free
	workOf            func(s ServerID, class string) time.Duration
	coresPerServer    int                             // of each server; 0: any number
	serverCoresFreeAt map[ServerID][]Time             // when each core of a server is free
	tallies           map[string]*tally               // by class
	longestAnswer     time.Duration                   // longest time from a request's arrival to its answer
	lastID            int                             // number of the latest request
	onEnd             map[RequestID]func(served bool) // called once when the request ends
	attempts          map[RequestID]int               // attempts so far
	logLines          []string                        // what the module has logged
}

// newNodeSimulation starts a node with a list of so many servers.
func newNodeSimulation(settings Settings, servers int) *nodeSimulation {
	simulation := &nodeSimulation{module: New(settings, 7), now: time.Hour, random: rand.New(rand.NewPCG(3, 4)),
		serverCoresFreeAt: map[ServerID][]Time{}, onEnd: map[RequestID]func(bool){},
		attempts: map[RequestID]int{}}
	simulation.resetCounts()
	simulation.handle(ListUpdate{Kind: ListCached, Entries: cachedServerList(servers).Entries})
	return simulation
}

// resetCounts begins the counting anew.
func (v *nodeSimulation) resetCounts() { v.tallies, v.longestAnswer = map[string]*tally{}, 0 }

// tallyOf is the tally of a class.
func (v *nodeSimulation) tallyOf(class string) *tally {
	if v.tallies[class] == nil {
		v.tallies[class] = &tally{}
	}
	return v.tallies[class]
}

// schedule has a function called at a time, or now if that time has passed.
func (v *nodeSimulation) schedule(at Time, run func()) {
	v.sequence++
	heap.Push(&v.queue, timedEvent{max(at, v.now), v.sequence, run})
}

// useCore queues one step of work for the node's core, and returns when it will be done.
func (v *nodeSimulation) useCore() Time {
	v.coreFreeAt = max(v.coreFreeAt, v.now) + v.stepCost
	return v.coreFreeAt
}

// finishTime adds a request that arrives now to a server's work, and returns when it will be done.
func (v *nodeSimulation) finishTime(server ServerID, class string) Time {
	work := v.workOf(server, class)
	if v.coresPerServer == 0 {
		return v.now + work
	}
	freeAt := v.serverCoresFreeAt[server]
	if len(freeAt) < v.coresPerServer {
		freeAt = append(freeAt, 0)
	}
	i := 0
	for j := range freeAt {
		if freeAt[j] < freeAt[i] {
			i = j
		}
	}
	freeAt[i] = max(freeAt[i], v.now) + work
	v.serverCoresFreeAt[server] = freeAt
	return freeAt[i]
}

// handle passes an event to the module and executes the actions that it returns.
func (v *nodeSimulation) handle(event Event) {
	for _, a := range slices.Clone(v.module.Handle(v.now, event)) {
		switch a := a.(type) {
		case Send:
			attempt, sentAt := v.attempts[a.ID], v.now
			v.attempts[a.ID]++
			class, _, _ := classOfID(a.ID)
			answerAt, code := v.finishTime(a.Server, class), OK
			if limit := v.now + a.Timeout; answerAt > limit {
				answerAt, code = limit, TimedOut
			}
			v.schedule(answerAt, func() {
				noticed := v.useCore()
				own := noticed - v.now
				v.schedule(noticed, func() {
					if finish := v.onEnd[a.ID]; finish != nil && code == OK {
						delete(v.onEnd, a.ID)
						finish(true)
					}
					v.handle(AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server,
						RequestDone: v.onEnd[a.ID] == nil, Elapsed: v.now - sentAt, NodeTime: own, Code: code})
					if v.onEnd[a.ID] == nil {
						delete(v.attempts, a.ID)
					}
				})
			})
		case Refuse:
			class, _, _ := classOfID(a.ID)
			v.tallyOf(class).refused++
			if a.Reason == ByNode {
				v.tallyOf(class).refusedByNode++
			}
			v.endRequest(a.ID)
		case Fail:
			v.endRequest(a.ID)
		case SetTimer:
			v.schedule(v.now+a.After, func() { v.handle(TimerFired{Token: a.Token}) })
		case Log:
			v.logLines = append(v.logLines, a.Line)
		}
	}
}

// endRequest ends a request that has not been served.
func (v *nodeSimulation) endRequest(id RequestID) {
	if finish := v.onEnd[id]; finish != nil {
		delete(v.onEnd, id)
		finish(false)
	}
}

// classOfID splits the id of a request into its class and number.
func classOfID(id RequestID) (class string, n int, err error) {
	_, err = fmt.Sscanf(string(id), "%s %d", &class, &n)
	return
}

// sendRequest has a request of a class arrive now, and calls then when it has ended. The request counts as within its
// aim if it is served in at most the given time.
func (v *nodeSimulation) sendRequest(class string, aim time.Duration, then func(served bool)) {
	v.lastID++
	id, began := RequestID(fmt.Sprint(class, " ", v.lastID)), v.now
	v.tallyOf(class).arrived++
	v.schedule(v.useCore(), func() {
		v.onEnd[id] = func(served bool) {
			if served {
				t := v.tallyOf(class)
				t.served++
				v.longestAnswer = max(v.longestAnswer, v.now-began)
				if v.now-began <= aim {
					t.withinAim++
				}
			}
			if then != nil {
				then(served)
			}
		}
		v.handle(RequestArrived{ID: id, Class: class, Patience: 2*time.Second - (v.now - began)})
	})
}

// openConnections opens so many connections, spread over ramp, each of which sends one request after the other. A
// connection whose request was not served waits 20 ms before the next one.
func (v *nodeSimulation) openConnections(connections int, ramp time.Duration, class func() string) {
	for i := range connections {
		var again func(bool)
		again = func(served bool) {
			wait := time.Duration(0)
			if !served {
				wait = 20 * time.Millisecond
			}
			v.schedule(v.now+wait, func() { v.sendRequest(class(), 600*time.Millisecond, again) })
		}
		v.schedule(v.now+ramp*time.Duration(i)/time.Duration(connections), func() { again(true) })
	}
}

// sendAtRate has requests arrive at random times for a period, so many per second on average, whatever becomes of them.
func (v *nodeSimulation) sendAtRate(rate float64, length time.Duration, class func() string) {
	for t := v.now; t < v.now+length; t += time.Duration(v.random.ExpFloat64() / rate * float64(time.Second)) {
		v.schedule(t, func() { v.sendRequest(class(), 600*time.Millisecond, nil) })
	}
}

// run simulates a period of time.
func (v *nodeSimulation) run(length time.Duration) {
	for end := v.now + length; len(v.queue) > 0 && v.queue[0].at <= end; {
		e := heap.Pop(&v.queue).(timedEvent)
		v.now = e.at
		e.run()
	}
}

// singleNodeSettings are those of a fleet of one node.
func singleNodeSettings() Settings {
	settings := lowTrafficSettings(1)
	settings.HoldOffs, settings.MaxHoldOff, settings.ConnectTimeout = true, time.Second, 100*time.Millisecond
	return settings
}

// constantClass draws the same class every time.
func constantClass(class string) func() string { return func() string { return class } }

// refusals is the number of refused requests of all classes.
func (v *nodeSimulation) refusals() (n int) {
	for _, t := range v.tallies {
		n += t.refused
	}
	return n
}

const coreStepCost = 30 * time.Microsecond // of the node's core, for an arriving request or an answer

// Guards against refusals when servers become slower but still meet every aim. Their latency rises from 0.2 to 40 ms,
// several times for 100 ms and once for 3 s, as when a cache has gone cold; the aims are 600 ms. With H limited to a
// multiple of the unloaded latency, nine in ten requests were refused; and with the time without an answer counted in
// multiples of a latency of 0.2 ms, all servers were taken for unresponsive.
func TestStepShedsNothing(t *testing.T) {
	for _, conns := range []int{256, 1024} {
		simulation := newNodeSimulation(singleNodeSettings(), 8)
		simulation.stepCost = coreStepCost
		work := 200 * time.Microsecond
		simulation.workOf = func(ServerID, string) time.Duration { return work }
		simulation.openConnections(conns, 200*time.Millisecond, constantClass("cheap"))
		simulation.run(time.Second)
		simulation.resetCounts()
		for range 5 {
			work = 40 * time.Millisecond
			simulation.run(100 * time.Millisecond)
			work = 200 * time.Microsecond
			simulation.run(400 * time.Millisecond)
		}
		work = 40 * time.Millisecond
		simulation.run(3 * time.Second)
		work = 200 * time.Microsecond
		simulation.run(300 * time.Millisecond)
		if n := simulation.refusals(); n > 0 {
			t.Errorf("%d connections: %d of %d refused", conns, n, simulation.tallyOf("cheap").arrived)
		}
		if c := simulation.tallyOf("cheap"); c.withinAim < c.served || c.served < 1000 {
			t.Errorf("%d connections: %+v", conns, *c)
		}
		simulation.resetCounts()
		simulation.run(500 * time.Millisecond)
		if limit := 4 * time.Duration(conns) * coreStepCost; simulation.longestAnswer > limit {
			t.Errorf("%d connections: an answer took %v after the change, %v of that is the node's own queue", conns,
				simulation.longestAnswer, limit/2)
		}
	}
}

// Guards against refusals where classes of very different cost, 0.2 and 200 ms, share servers.
func TestMixShedsNothing(t *testing.T) {
	for _, conns := range []int{64, 256} {
		simulation := newNodeSimulation(singleNodeSettings(), 8)
		simulation.stepCost = coreStepCost
		simulation.workOf = func(_ ServerID, class string) time.Duration {
			if class == "expensive" {
				return 200 * time.Millisecond
			}
			// Pauses of a millisecond don't make a server slow, though that is five times what this class costs.
			return 200*time.Microsecond + time.Duration(simulation.random.ExpFloat64()*float64(time.Millisecond))
		}
		simulation.openConnections(conns, 500*time.Millisecond, func() string {
			if simulation.random.IntN(10) == 0 {
				return "expensive"
			}
			return "cheap"
		})
		simulation.run(2 * time.Second)
		simulation.resetCounts()
		simulation.run(6 * time.Second)
		if n := simulation.refusals(); n > 0 || simulation.tallyOf("expensive").withinAim < 1000 ||
			simulation.tallyOf("cheap").withinAim < 5000 {
			t.Errorf("%d connections: %d refused, expensive %+v, cheap %+v", conns, n, *simulation.tallyOf("expensive"),
				*simulation.tallyOf("cheap"))
		}
	}
}

// Guards against refusals when load rises, here from 8 to 256 connections at servers that take 50 ms: the rate at which
// they answered 8 connections says nothing of their capacity.
func TestRiseShedsNothing(t *testing.T) {
	simulation := newNodeSimulation(singleNodeSettings(), 8)
	simulation.stepCost = coreStepCost
	simulation.workOf = func(ServerID, string) time.Duration { return 50 * time.Millisecond }
	simulation.openConnections(8, 100*time.Millisecond, constantClass("cheap"))
	simulation.run(5 * time.Second)
	simulation.resetCounts()
	simulation.openConnections(248, 300*time.Millisecond, constantClass("cheap"))
	simulation.run(2 * time.Second)
	if c := simulation.tallyOf("cheap"); c.refused > 0 || c.withinAim < 6000 {
		t.Errorf("%+v", *c)
	}
}

// The same, from 256 to 1,024 connections, at servers whose unloaded latency is about as long as what counts as lightly
// loaded. There no answer raises the limit on requests in flight, and the rate smoothed over seconds is still that of
// the 256. All answers come well within the aims.
func TestRiseAtSlowServersShedsNothing(t *testing.T) {
	for _, work := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 65 * time.Millisecond} {
		simulation := newNodeSimulation(singleNodeSettings(), 8)
		simulation.stepCost = 10 * time.Microsecond
		simulation.workOf = func(ServerID, string) time.Duration {
			return work + time.Duration(simulation.random.ExpFloat64()*float64(work/5))
		}
		simulation.openConnections(256, 100*time.Millisecond, constantClass("cheap"))
		simulation.run(2 * time.Second)
		simulation.resetCounts()
		simulation.openConnections(768, 200*time.Millisecond, constantClass("cheap"))
		simulation.run(2 * time.Second)
		if c := simulation.tallyOf("cheap"); c.refused > 0 || c.withinAim < 20_000 {
			t.Errorf("%v: %+v", work, *c)
		}
	}
}

// Guards against refusals when servers slow down: one of eight becomes 50 times slower, or all become twice as slow.
func TestSlowServersShedNothing(t *testing.T) {
	for name, factor := range map[string]func(ServerID) time.Duration{
		"one": func(s ServerID) time.Duration {
			if s == 1 {
				return 50
			}
			return 1
		},
		"all": func(ServerID) time.Duration { return 2 },
	} {
		simulation := newNodeSimulation(singleNodeSettings(), 8)
		simulation.stepCost, simulation.coresPerServer = coreStepCost, 16
		slow := false
		simulation.workOf = func(s ServerID, _ string) time.Duration {
			if slow {
				return factor(s) * 4 * time.Millisecond
			}
			return 4 * time.Millisecond
		}
		simulation.openConnections(64, 200*time.Millisecond, constantClass("cheap"))
		simulation.run(2 * time.Second)
		simulation.resetCounts()
		slow = true
		simulation.run(5 * time.Second)
		if c := simulation.tallyOf("cheap"); c.refused > 0 || c.withinAim < c.served || c.served < 10_000 {
			t.Errorf("%s: %+v", name, *c)
		}
	}
}

// An overload of fast servers, by 1.5 and by 3 times their capacity: the class of high worth is still served, the
// servers stay busy, and what is served is served in time.
func TestOverloadOfFastServers(t *testing.T) {
	for _, times := range []float64{1.5, 3} {
		simulation := newNodeSimulation(singleNodeSettings(), 8)
		simulation.stepCost, simulation.coresPerServer = 10*time.Microsecond, 2
		simulation.workOf = func(ServerID, string) time.Duration { return 4 * time.Millisecond }
		const capacity = 8 * 2 * 250
		class := func() string {
			if simulation.random.IntN(8) == 0 {
				return "expensive"
			}
			return "cheap"
		}
		simulation.sendAtRate(0.5*capacity, 2*time.Second, class)
		simulation.run(2 * time.Second)
		simulation.sendAtRate(times*capacity, 8*time.Second, class)
		simulation.run(2 * time.Second)
		simulation.resetCounts()
		simulation.run(5 * time.Second)
		expensive, cheap := *simulation.tallyOf("expensive"), *simulation.tallyOf("cheap")
		if got := expensive.withinAim * 100 / expensive.arrived; got < 95 {
			t.Errorf("%v times: %d%% of the class of high worth in time: %+v", times, got, expensive)
		}
		if got := (expensive.withinAim + cheap.withinAim) * 100 / (5 * capacity); got < 85 {
			t.Errorf("%v times: %d%% of what the servers can do: high worth %+v, low worth %+v", times, got, expensive,
				cheap)
		}
		if late := expensive.served + cheap.served - expensive.withinAim - cheap.withinAim; late > expensive.served/20 {
			t.Errorf("%v times: %d answers too late", times, late)
		}
	}
}

// A node that lacks CPU ejects no server. It sheds requests of low worth as its own refusals (ByNode), no more than it
// must, logs that in a few lines, and stops when it has its core back.
func TestStarvedNodeShedsAsItself(t *testing.T) {
	simulation := newNodeSimulation(singleNodeSettings(), 8)
	simulation.stepCost = 100 * time.Microsecond // 5,000 requests a second are all that the core does
	simulation.workOf = func(ServerID, string) time.Duration { return 2 * time.Millisecond }
	class := func() string {
		if simulation.random.IntN(8) == 0 {
			return "expensive"
		}
		return "cheap"
	}
	simulation.sendAtRate(2000, 2*time.Second, class)
	simulation.run(2 * time.Second)
	simulation.stepCost = 400 * time.Microsecond // a second process takes most of the core: 1,250 a second are left
	simulation.sendAtRate(2000, 4*time.Second, class)
	simulation.run(4 * time.Second)
	byNode, byServers := 0, 0
	for _, c := range simulation.tallies {
		byNode, byServers = byNode+c.refusedByNode, byServers+c.refused-c.refusedByNode
	}
	if byNode == 0 || byServers > byNode/10 {
		t.Errorf("%d refused as the node lacks CPU, %d because of its servers", byNode, byServers)
	}
	for _, s := range simulation.module.known {
		if s.ejected {
			t.Errorf("server %d is ejected as an outlier", s.ID)
		}
	}
	if len(simulation.logLines) == 0 || len(simulation.logLines) > 20 {
		t.Errorf("log: %q", simulation.logLines)
	}
	simulation.stepCost = 100 * time.Microsecond
	simulation.run(3 * time.Second)
	simulation.resetCounts()
	simulation.sendAtRate(2000, 2*time.Second, class)
	simulation.run(2 * time.Second)
	if n := simulation.refusals(); n > 0 {
		t.Errorf("%d refused with the core back", n)
	}
}
