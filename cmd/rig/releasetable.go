package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"starlingvalve/internal/health"
)

// The model of releases simulates a hundred nodes in four zones in steps of a second, under three ways to release. The
// first way is the program's own: its replicated state machine and its judgement of health. It is compared with two others:
//
//   - by hand at 10%: ten nodes are replaced at a time, 5 minutes apart. The operator sees the failures of the whole fleet
//     in the last minute, and the processes that did not start or have ended. If the failures exceed 1% or there are two
//     such processes, the operator rolls back 2 minutes later, ten nodes at a time, 30 s apart.
//   - a fixed threshold: the same waves as the program's, each observed for 60 s. If the new nodes' failures of that minute
//     exceed 5%, the median latency rises by half, or two processes crash, the release is rolled back at once, ten nodes at
//     a time, 10 s apart.
const (
	modelNodes       = 100
	modelZones       = 4
	modelVoters      = 5
	modelRate        = 40.0     // requests a second at each node
	modelFailureRate = 0.0005   // chance that a request fails at a good node
	modelSpread      = 0.4      // standard deviation of the logarithm of the latency
	modelMedian      = 20e-3    // seconds, the median latency
	modelMaxOut      = 10       // nodes that may be out at once, by the budget
	modelOldSampled  = 10       // nodes of the old version whose requests are drawn; the others would be alike
	leakRate         = 1.0      // MB a second
	leakFrom         = 25.0     // MB at the start of a process
	leakLimit        = 192.0    // MB at which a leaking process ends
	modelLimit       = 2 * 3600 // seconds after which a trial ends
)

// modelKind is how a version is bad in the model.
type modelKind struct {
	name            string
	failureRates    map[string]float64 // added chance that a request fails, by class; "" is added for each class
	workFactor      float64            // factor on the latency; 0: none
	crash           bool               // crashes at its start
	leaks           bool               // leaks memory
	zone            int                // bad in this zone only; -1: everywhere
	crashesAsLeader bool               // crashes once the node is the leader
}

// modelKinds are the kinds of versions in the model.
var modelKinds = []modelKind{
	{name: "good", zone: -1},
	{name: "crashes at start", crash: true, zone: -1},
	{name: "refuses everything", failureRates: map[string]float64{"": 1}, zone: -1},
	{name: "fails 2% of a class", failureRates: map[string]float64{"cut-order": 0.02}, zone: -1},
	{name: "10% slow", workFactor: 1.1, zone: -1},
	{name: "leaks 1 MB/s", leaks: true, zone: -1},
	{name: "refuses in one zone", failureRates: map[string]float64{"": 1}, zone: modelZones - 1},
	{name: "ends once it leads", crashesAsLeader: true, zone: -1},
}

// modelNode is a node of the model. It runs a version or is being replaced.
type modelNode struct {
	name       string
	zone       int
	voter      bool
	fresh      bool   // has the new version
	began      int    // second at which its process started
	replacedAt int    // second at which its replacement is over
	turn       uint64 // epoch of the last turn in the release
	crashed    bool
}

// modelTrial is one release in the model.
type modelTrial struct {
	kind          modelKind
	random        *rand.Rand
	now           int // seconds since the start
	nodes         []*modelNode
	leader        int             // index of a voter
	replacedNodes map[string]bool // nodes that got the new version
	harmed        float64         // requests that failed or were slowed down by the new version
	crashes       int
	halted        int // second at which the release halted; 0: never
	back          int // second at which the rollback was complete; 0: never
}

// modelRun is the outcome of a modelTrial.
type modelRun struct {
	met          int     // nodes that got the new version
	halted, back int     // seconds; 0: never
	harmed       float64 // requests
	done         bool
}

// newModelTrial makes a trial in which all nodes have the old version.
func newModelTrial(k modelKind, seed uint64) *modelTrial {
	p := &modelTrial{kind: k, random: rand.New(rand.NewPCG(seed, 0x7461626c65)), replacedNodes: map[string]bool{}}
	for i := range modelNodes {
		p.nodes = append(p.nodes, &modelNode{name: fmt.Sprintf("n%03d", i), zone: i % modelZones, voter: i < modelVoters})
	}
	return p
}

// bad reports whether a node has the new version and is in a zone where that version is bad.
func (p *modelTrial) bad(n *modelNode) bool {
	return n.fresh && (p.kind.zone < 0 || n.zone == p.kind.zone)
}

// replace begins to replace a node's process by one of the new or the old version. This takes two seconds; then
// finishReplace is called.
func (p *modelTrial) replace(n *modelNode, fresh bool) {
	n.fresh, n.replacedAt, n.crashed = fresh, p.now+2, false
	if fresh {
		p.replacedNodes[n.name] = true
	}
}

// finishReplace starts the new process of a node whose replacement is over, and reports whether it runs.
func (p *modelTrial) finishReplace(n *modelNode) bool {
	n.began = p.now
	n.crashed = p.bad(n) && p.kind.crash
	if n.crashed {
		p.crashes++
	}
	return !n.crashed
}

// step simulates one second: it counts the requests that the new version harms, and ends processes. It returns the nodes
// whose process crashed.
func (p *modelTrial) step() (ended []*modelNode) {
	p.now++
	for i, n := range p.nodes {
		if p.now < n.replacedAt || n.crashed {
			continue
		}
		if p.bad(n) {
			for _, c := range mediaClasses {
				share := modelRate * c.Share
				switch {
				case p.kind.workFactor > 1:
					p.harmed += share
				default:
					p.harmed += share * min(1, p.kind.failureRates[""]+p.kind.failureRates[c.Name])
				}
			}
		}
		dies := p.kind.leaks && p.bad(n) && leakFrom+leakRate*float64(p.now-n.began) > leakLimit || p.kind.crashesAsLeader && p.bad(n) && i == p.leader
		if dies {
			p.harmed += modelRate // its open requests, and those that arrive before others notice the crash
			p.crashes++
			n.began = p.now
			ended = append(ended, n)
		}
		if i == p.leader && (dies || n.replacedAt == p.now) { // another voter becomes the leader
			p.leader = (p.leader + 1) % modelVoters
		}
	}
	return ended
}

// drawRequests draws the requests of a node in one second and adds their results to into, by class.
func (p *modelTrial) drawRequests(n *modelNode, into map[string]health.ClassCounts) {
	for _, c := range mediaClasses {
		e := into[c.Name]
		if e.Latencies == nil {
			e.Latencies = make([]uint64, health.Buckets)
		}
		count := modelRate * c.Share
		for range int(count) + map[bool]int{true: 1}[p.random.Float64() < count-math.Floor(count)] {
			fails, slower := modelFailureRate, 1.0
			if p.bad(n) {
				fails += p.kind.failureRates[""] + p.kind.failureRates[c.Name]
				slower = max(1, p.kind.workFactor)
			}
			if p.random.Float64() < fails {
				e.Failed++
				continue
			}
			e.Served++
			at, _ := slices.BinarySearch(modelLatencyBounds[c.Name], time.Duration(modelMedian*slower*math.Exp(modelSpread*p.random.NormFloat64())*1e9))
			e.Latencies[at]++
		}
		into[c.Name] = e
	}
}

// modelLatencyBounds are the bounds of the latency histogram of each class.
var modelLatencyBounds = func() map[string][]time.Duration {
	all := map[string][]time.Duration{}
	for _, c := range mediaClasses {
		all[c.Name] = health.LatencyBounds(c.Aim)
	}
	return all
}()

// resident returns the resident memory of a node's process in bytes.
func (p *modelTrial) resident(n *modelNode) uint64 {
	if p.kind.leaks && p.bad(n) {
		return uint64((leakFrom + leakRate*float64(p.now-n.began)) * (1 << 20))
	}
	return uint64(leakFrom * (1 << 20))
}

// countRunning counts the nodes that run the new version or, if fresh is false, the old one.
func (p *modelTrial) countRunning(fresh bool) (n int) {
	for _, x := range p.nodes {
		if x.fresh == fresh && !x.crashed && p.now >= x.replacedAt {
			n++
		}
	}
	return n
}

// result returns the outcome of the trial.
func (p *modelTrial) result() modelRun {
	r := modelRun{met: len(p.replacedNodes), halted: p.halted, back: p.back, harmed: p.harmed, done: p.countRunning(true) == modelNodes && p.halted == 0}
	return r
}

// modelCell is the result of a kind of version under one way to release, over several trials. The floating-point fields
// are means over the trials, in nodes, seconds and requests; halted and back are means over the halted trials only. mostMet
// is the largest number of nodes that got the version in one trial; stopped and done count the trials that halted and that
// ended done.
type modelCell struct {
	kind, way                 string
	met, halted, back, harmed float64
	mostMet, stopped, done    int
}

// releaseTable runs each kind under each way to release, as often as trials says, with seeds from seed on.
func releaseTable(kinds []modelKind, trials int, seed uint64) (cells []modelCell) {
	for _, k := range kinds {
		for _, w := range modelWays {
			c := modelCell{kind: k.name, way: w.name}
			for i := range trials {
				r := w.run(newModelTrial(k, seed+uint64(i)))
				c.met += float64(r.met) / float64(trials)
				c.harmed += r.harmed / float64(trials)
				c.mostMet = max(c.mostMet, r.met)
				if r.done {
					c.done++
				}
				if r.halted > 0 {
					c.stopped++
					c.halted += float64(r.halted)
					c.back += float64(r.back - r.halted)
				}
			}
			if c.stopped > 0 {
				c.halted /= float64(c.stopped)
				c.back /= float64(c.stopped)
			}
			cells = append(cells, c)
		}
	}
	return cells
}
