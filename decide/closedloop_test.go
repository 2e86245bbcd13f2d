package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A simulation, in virtual time, of one node with its clients and servers. Clients are either connections that send their
// next request once they have an answer (a closed loop), or arrivals at a given rate (an open loop). Servers have a number
// of cores. The node has one core of its own, whose queue adds delay that no server causes.

// timedEvent is a function that is to run at a time. Those of the same time run in the order in which they were scheduled.
type worldEvent struct {
	at  Time
	seq int
	do  func()
}

// timedQueue is a heap of events by time.
type worldQueue []worldEvent

func (q worldQueue) Len() int { return len(q) }
func (q worldQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q worldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *worldQueue) Push(e any)   { *q = append(*q, e.(worldEvent)) }
func (q *worldQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// tally counts the requests of a class.
type tally struct{ asked, served, inAim, refused, byNode int }

// nodeSimulation is a node with its clients and servers.
type virtual struct {
	m      *Module
	now    Time
	queue  worldQueue
	seq    int
	rand   *rand.Rand
	cost   time.Duration // that the node's core spends on an arriving request, and again on its answer
	free   Time          // when the node's core is free
	work   func(s ServerID, class string) time.Duration
	cores  int                             // of each server; 0: any number
	busy   map[ServerID][]Time             // when each core of a server is free
	counts map[string]*tally               // by class
	worst  time.Duration                   // longest time from a request's arrival to its answer
	next   int                             // number of the latest request
	done   map[RequestID]func(served bool) // called once when the request ends
	sent   map[RequestID]int               // attempts so far
	lines  []string                        // what the module has logged
}

// newNodeSimulation starts a node with a list of so many servers.
func newVirtual(s Settings, servers int) *virtual {
	v := &virtual{m: New(s, 7), now: time.Hour, rand: rand.New(rand.NewPCG(3, 4)), busy: map[ServerID][]Time{}, done: map[RequestID]func(bool){},
		sent: map[RequestID]int{}}
	v.count()
	v.feed(ListUpdate{Kind: ListCached, Entries: sparseList(servers).Entries})
	return v
}

// resetCounts begins the counting anew.
func (v *virtual) count() { v.counts, v.worst = map[string]*tally{}, 0 }

// tallyOf is the tally of a class.
func (v *virtual) of(class string) *tally {
	if v.counts[class] == nil {
		v.counts[class] = &tally{}
	}
	return v.counts[class]
}

// schedule has a function called at a time, or now if that time has passed.
func (v *virtual) at(t Time, do func()) {
	v.seq++
	heap.Push(&v.queue, worldEvent{max(t, v.now), v.seq, do})
}

// useCore queues one step of work for the node's core, and returns when it will be done.
func (v *virtual) core() Time {
	v.free = max(v.free, v.now) + v.cost
	return v.free
}

// finishTime adds a request that arrives now to a server's work, and returns when it will be done.
func (v *virtual) serve(s ServerID, class string) Time {
	work := v.work(s, class)
	if v.cores == 0 {
		return v.now + work
	}
	b := v.busy[s]
	if len(b) < v.cores {
		b = append(b, 0)
	}
	i := 0
	for j := range b {
		if b[j] < b[i] {
			i = j
		}
	}
	b[i] = max(b[i], v.now) + work
	v.busy[s] = b
	return b[i]
}

// handle passes an event to the module and executes the actions that it returns.
func (v *virtual) feed(e Event) {
	for _, a := range slices.Clone(v.m.Handle(v.now, e)) {
		switch a := a.(type) {
		case Send:
			n, sent := v.sent[a.ID], v.now
			v.sent[a.ID]++
			class, _, _ := classOfID(a.ID)
			back, code := v.serve(a.Server, class), OK
			if limit := v.now + a.Timeout; back > limit {
				back, code = limit, TimedOut
			}
			v.at(back, func() {
				noticed := v.core()
				own := noticed - v.now
				v.at(noticed, func() {
					if finish := v.done[a.ID]; finish != nil && code == OK {
						delete(v.done, a.ID)
						finish(true)
					}
					v.feed(AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Over: v.done[a.ID] == nil, Elapsed: v.now - sent, Own: own, Code: code})
					if v.done[a.ID] == nil {
						delete(v.sent, a.ID)
					}
				})
			})
		case Refuse:
			class, _, _ := classOfID(a.ID)
			v.of(class).refused++
			if a.Reason == ByNode {
				v.of(class).byNode++
			}
			v.end(a.ID)
		case Fail:
			v.end(a.ID)
		case SetTimer:
			v.at(v.now+a.After, func() { v.feed(TimerFired{Token: a.Token}) })
		case Log:
			v.lines = append(v.lines, a.Line)
		}
	}
}

// endRequest ends a request that has not been served.
func (v *virtual) end(id RequestID) {
	if finish := v.done[id]; finish != nil {
		delete(v.done, id)
		finish(false)
	}
}

// classOfID splits the id of a request into its class and number.
func classOfID(id RequestID) (class string, n int, err error) {
	_, err = fmt.Sscanf(string(id), "%s %d", &class, &n)
	return
}

// sendRequest has a request of a class arrive now, and calls then when it has ended. The request counts as within its aim
// if it is served in at most the given time.
func (v *virtual) ask(class string, aim time.Duration, then func(served bool)) {
	v.next++
	id, began := RequestID(fmt.Sprint(class, " ", v.next)), v.now
	v.of(class).asked++
	v.at(v.core(), func() {
		v.done[id] = func(served bool) {
			if served {
				t := v.of(class)
				t.served++
				v.worst = max(v.worst, v.now-began)
				if v.now-began <= aim {
					t.inAim++
				}
			}
			if then != nil {
				then(served)
			}
		}
		v.feed(RequestArrived{ID: id, Class: class, Patience: 2*time.Second - (v.now - began)})
	})
}

// openConnections opens so many connections, spread over ramp, each of which sends one request after the other. A
// connection whose request was not served waits 20 ms before the next one.
func (v *virtual) connect(n int, ramp time.Duration, class func() string) {
	for i := range n {
		var again func(bool)
		again = func(served bool) {
			wait := time.Duration(0)
			if !served {
				wait = 20 * time.Millisecond
			}
			v.at(v.now+wait, func() { v.ask(class(), 600*time.Millisecond, again) })
		}
		v.at(v.now+ramp*time.Duration(i)/time.Duration(n), func() { again(true) })
	}
}

// sendAtRate has requests arrive at random times for a period, so many per second on average, whatever becomes of them.
func (v *virtual) open(rate float64, length time.Duration, class func() string) {
	for t := v.now; t < v.now+length; t += time.Duration(v.rand.ExpFloat64() / rate * float64(time.Second)) {
		v.at(t, func() { v.ask(class(), 600*time.Millisecond, nil) })
	}
}

// run simulates a period of time.
func (v *virtual) run(length time.Duration) {
	for end := v.now + length; len(v.queue) > 0 && v.queue[0].at <= end; {
		e := heap.Pop(&v.queue).(worldEvent)
		v.now = e.at
		e.do()
	}
}

// singleNodeSettings are those of a fleet of one node.
func oneNode() Settings {
	s := sparseSettings(1)
	s.HoldOffs, s.MaxHoldOff, s.ConnectTimeout = true, time.Second, 100*time.Millisecond
	return s
}

// constantClass draws the same class every time.
func always(class string) func() string { return func() string { return class } }

// refusals is the number of refused requests of all classes.
func (v *virtual) refusals() (n int) {
	for _, t := range v.counts {
		n += t.refused
	}
	return n
}

const coreCost = 30 * time.Microsecond // of the node's core, for an arriving request or an answer

// Guards against refusals when servers become slower but still meet every aim. Their latency rises from 0.2 to 40 ms,
// several times for 100 ms and once for 3 s, as when a cache has gone cold; the aims are 600 ms. With H limited to a
// multiple of the unloaded latency, nine in ten requests were refused; and with the time without an answer counted in
// multiples of a latency of 0.2 ms, all servers were taken for unresponsive.
func TestStepShedsNothing(t *testing.T) {
	for _, conns := range []int{256, 1024} {
		v := newVirtual(oneNode(), 8)
		v.cost = coreCost
		work := 200 * time.Microsecond
		v.work = func(ServerID, string) time.Duration { return work }
		v.connect(conns, 200*time.Millisecond, always("cheap"))
		v.run(time.Second)
		v.count()
		for range 5 {
			work = 40 * time.Millisecond
			v.run(100 * time.Millisecond)
			work = 200 * time.Microsecond
			v.run(400 * time.Millisecond)
		}
		work = 40 * time.Millisecond
		v.run(3 * time.Second)
		work = 200 * time.Microsecond
		v.run(300 * time.Millisecond)
		if n := v.refusals(); n > 0 {
			t.Errorf("%d connections: %d of %d refused", conns, n, v.of("cheap").asked)
		}
		if c := v.of("cheap"); c.inAim < c.served || c.served < 1000 {
			t.Errorf("%d connections: %+v", conns, *c)
		}
		v.count()
		v.run(500 * time.Millisecond)
		if limit := 4 * time.Duration(conns) * coreCost; v.worst > limit {
			t.Errorf("%d connections: an answer took %v after the change, %v of that is the node's own queue", conns, v.worst, limit/2)
		}
	}
}

// Guards against refusals where classes of very different cost, 0.2 and 200 ms, share servers.
func TestMixShedsNothing(t *testing.T) {
	for _, conns := range []int{64, 256} {
		v := newVirtual(oneNode(), 8)
		v.cost = coreCost
		v.work = func(_ ServerID, class string) time.Duration {
			if class == "dear" {
				return 200 * time.Millisecond
			}
			// Pauses of a millisecond don't make a server slow, though that is five times what this class costs.
			return 200*time.Microsecond + time.Duration(v.rand.ExpFloat64()*float64(time.Millisecond))
		}
		v.connect(conns, 500*time.Millisecond, func() string {
			if v.rand.IntN(10) == 0 {
				return "dear"
			}
			return "cheap"
		})
		v.run(2 * time.Second)
		v.count()
		v.run(6 * time.Second)
		if n := v.refusals(); n > 0 || v.of("dear").inAim < 1000 || v.of("cheap").inAim < 5000 {
			t.Errorf("%d connections: %d refused, expensive %+v, cheap %+v", conns, n, *v.of("dear"), *v.of("cheap"))
		}
	}
}

// Guards against refusals when load rises, here from 8 to 256 connections at servers that take 50 ms: the rate at which
// they answered 8 connections says nothing of their capacity.
func TestRiseShedsNothing(t *testing.T) {
	v := newVirtual(oneNode(), 8)
	v.cost = coreCost
	v.work = func(ServerID, string) time.Duration { return 50 * time.Millisecond }
	v.connect(8, 100*time.Millisecond, always("cheap"))
	v.run(5 * time.Second)
	v.count()
	v.connect(248, 300*time.Millisecond, always("cheap"))
	v.run(2 * time.Second)
	if c := v.of("cheap"); c.refused > 0 || c.inAim < 6000 {
		t.Errorf("%+v", *c)
	}
}

// The same, from 256 to 1,024 connections, at servers whose unloaded latency is about as long as what counts as lightly
// loaded. There no answer raises the limit on requests in flight, and the rate smoothed over seconds is still that of the
// 256. All answers come well within the aims.
func TestRiseAtSlowServersShedsNothing(t *testing.T) {
	for _, work := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 65 * time.Millisecond} {
		v := newVirtual(oneNode(), 8)
		v.cost = 10 * time.Microsecond
		v.work = func(ServerID, string) time.Duration {
			return work + time.Duration(v.rand.ExpFloat64()*float64(work/5))
		}
		v.connect(256, 100*time.Millisecond, always("cheap"))
		v.run(2 * time.Second)
		v.count()
		v.connect(768, 200*time.Millisecond, always("cheap"))
		v.run(2 * time.Second)
		if c := v.of("cheap"); c.refused > 0 || c.inAim < 20_000 {
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
		v := newVirtual(oneNode(), 8)
		v.cost, v.cores = coreCost, 16
		slow := false
		v.work = func(s ServerID, _ string) time.Duration {
			if slow {
				return factor(s) * 4 * time.Millisecond
			}
			return 4 * time.Millisecond
		}
		v.connect(64, 200*time.Millisecond, always("cheap"))
		v.run(2 * time.Second)
		v.count()
		slow = true
		v.run(5 * time.Second)
		if c := v.of("cheap"); c.refused > 0 || c.inAim < c.served || c.served < 10_000 {
			t.Errorf("%s: %+v", name, *c)
		}
	}
}

// An overload of fast servers, by 1.5 and by 3 times their capacity: the class of high worth is still served, the servers
// stay busy, and what is served is served in time.
func TestOverloadOfFastServers(t *testing.T) {
	for _, times := range []float64{1.5, 3} {
		v := newVirtual(oneNode(), 8)
		v.cost, v.cores = 10*time.Microsecond, 2
		v.work = func(ServerID, string) time.Duration { return 4 * time.Millisecond }
		const capacity = 8 * 2 * 250
		class := func() string {
			if v.rand.IntN(8) == 0 {
				return "dear"
			}
			return "cheap"
		}
		v.open(0.5*capacity, 2*time.Second, class)
		v.run(2 * time.Second)
		v.open(times*capacity, 8*time.Second, class)
		v.run(2 * time.Second)
		v.count()
		v.run(5 * time.Second)
		dear, cheap := *v.of("dear"), *v.of("cheap")
		if got := dear.inAim * 100 / dear.asked; got < 95 {
			t.Errorf("%v times: %d%% of the class of high worth in time: %+v", times, got, dear)
		}
		if got := (dear.inAim + cheap.inAim) * 100 / (5 * capacity); got < 85 {
			t.Errorf("%v times: %d%% of what the servers can do: high worth %+v, low worth %+v", times, got, dear, cheap)
		}
		if late := dear.served + cheap.served - dear.inAim - cheap.inAim; late > dear.served/20 {
			t.Errorf("%v times: %d answers too late", times, late)
		}
	}
}

// A node that lacks CPU ejects no server. It sheds requests of low worth as its own refusals (ByNode), no more than it
// must, logs that in a few lines, and stops when it has its core back.
func TestStarvedNodeShedsAsItself(t *testing.T) {
	v := newVirtual(oneNode(), 8)
	v.cost = 100 * time.Microsecond // 5,000 requests a second are all that the core does
	v.work = func(ServerID, string) time.Duration { return 2 * time.Millisecond }
	class := func() string {
		if v.rand.IntN(8) == 0 {
			return "dear"
		}
		return "cheap"
	}
	v.open(2000, 2*time.Second, class)
	v.run(2 * time.Second)
	v.cost = 400 * time.Microsecond // a second process takes most of the core: 1,250 requests a second are left
	v.open(2000, 4*time.Second, class)
	v.run(4 * time.Second)
	byNode, servers := 0, 0
	for _, c := range v.counts {
		byNode, servers = byNode+c.byNode, servers+c.refused-c.byNode
	}
	if byNode == 0 || servers > byNode/10 {
		t.Errorf("%d refused as the node lacks CPU, %d because of its servers", byNode, servers)
	}
	for _, s := range v.m.known {
		if s.suspect {
			t.Errorf("server %d is ejected as an outlier", s.ID)
		}
	}
	if len(v.lines) == 0 || len(v.lines) > 20 {
		t.Errorf("log: %q", v.lines)
	}
	v.cost = 100 * time.Microsecond
	v.run(3 * time.Second)
	v.count()
	v.open(2000, 2*time.Second, class)
	v.run(2 * time.Second)
	if n := v.refusals(); n > 0 {
		t.Errorf("%d refused with the core back", n)
	}
}
