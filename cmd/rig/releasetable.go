package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"starlingvalve/internal/health"
)

// The model of releases: a hundred nodes in four zones in virtual time, a second a step, under three ways to release. The first is the product's own: its state
// machine, its findings on health. The other two are what it is held against:
//
//   - by hand at 10%: ten nodes are replaced at a time, 5 minutes apart. Whoever does it sees the whole fleet's failures of the last minute, and processes that don't
//     start or have ended; over 1%, or two such processes, they turn back 2 minutes later, ten nodes at a time, 30 s apart.
//   - a fixed threshold: the same waves as the product's, each watched for 60 s; the new nodes' failures of that minute over 5%, answers half as slow again at the median,
//     or two crashes turn back at once, ten nodes at a time, 10 s apart.
const (
	modelNodes  = 100
	modelZones  = 4
	modelVoters = 5
	modelRate   = 40.0 // requests a second at each node
	modelFails  = 0.0005
	modelSpread = 0.4   // deviation of the logarithm of times
	modelMedian = 20e-3 // s
	modelOut    = 10    // by the budget
	modelOlds   = 10    // nodes of the version before whose traffic is drawn; others are like them
	leakRate    = 1.0   // MB/s
	leakFrom    = 25.0
	leakMost    = 192.0
	modelLimit  = 2 * 3600 // s
)

// modelKind is how a version is bad in the model.
type modelKind struct {
	name   string
	fails  map[string]float64 // further chance of a class's requests; "": of each
	slower float64
	crash  bool // at its start
	leaks  bool
	zone   int // only there; -1: everywhere
	leads  bool
}

var modelKinds = []modelKind{
	{name: "good", zone: -1},
	{name: "crashes at start", crash: true, zone: -1},
	{name: "refuses everything", fails: map[string]float64{"": 1}, zone: -1},
	{name: "fails 2% of a class", fails: map[string]float64{"cut-order": 0.02}, zone: -1},
	{name: "10% slow", slower: 1.1, zone: -1},
	{name: "leaks 1 MB/s", leaks: true, zone: -1},
	{name: "refuses in one zone", fails: map[string]float64{"": 1}, zone: modelZones - 1},
	{name: "ends once it leads", leads: true, zone: -1},
}

// modelNode is a node: it has a version, or is being replaced until a moment.
type modelNode struct {
	name    string
	zone    int
	voter   bool
	fresh   bool // has the new version
	began   int  // s
	until   int  // it is being replaced
	turn    uint64
	crashed bool
}

// modelTrial is one release in the model.
type modelTrial struct {
	k       modelKind
	r       *rand.Rand
	now     int
	nodes   []*modelNode
	leader  int // index of a voter
	met     map[string]bool
	harmed  float64 // requests
	crashes int
	halted  int // s; 0: not
	back    int
}

// modelRun is what became of it.
type modelRun struct {
	met          int
	halted, back int // s; 0: never
	harmed       float64
	done         bool
}

func newModelTrial(k modelKind, seed uint64) *modelTrial {
	p := &modelTrial{k: k, r: rand.New(rand.NewPCG(seed, 0x7461626c65)), met: map[string]bool{}}
	for i := range modelNodes {
		p.nodes = append(p.nodes, &modelNode{name: fmt.Sprintf("n%03d", i), zone: i % modelZones, voter: i < modelVoters})
	}
	return p
}

// bad tells whether a node has the new version where that is bad.
func (p *modelTrial) bad(n *modelNode) bool { return n.fresh && (p.k.zone < 0 || n.zone == p.k.zone) }

// replace begins to bring a node to a version: ready tells a second later whether it was.
func (p *modelTrial) replace(n *modelNode, fresh bool) {
	n.fresh, n.until, n.crashed = fresh, p.now+2, false
	if fresh {
		p.met[n.name] = true
	}
}

// starts tells of a node whose replacing is over whether its new process runs.
func (p *modelTrial) starts(n *modelNode) bool {
	n.began = p.now
	n.crashed = p.bad(n) && p.k.crash
	if n.crashed {
		p.crashes++
	}
	return !n.crashed
}

// second lets one pass: what is harmed, who ends. It gives the nodes that crashed.
func (p *modelTrial) second() (ended []*modelNode) {
	p.now++
	for i, n := range p.nodes {
		if p.now < n.until || n.crashed {
			continue
		}
		if p.bad(n) {
			for _, c := range kampklip {
				share := modelRate * c.Share
				switch {
				case p.k.slower > 1:
					p.harmed += share
				default:
					p.harmed += share * min(1, p.k.fails[""]+p.k.fails[c.Name])
				}
			}
		}
		dies := p.k.leaks && p.bad(n) && leakFrom+leakRate*float64(p.now-n.began) > leakMost || p.k.leads && p.bad(n) && i == p.leader
		if dies {
			p.harmed += modelRate // what it had, and what came before others noticed
			p.crashes++
			n.began = p.now
			ended = append(ended, n)
		}
		if i == p.leader && (dies || n.until == p.now) { // another one leads
			p.leader = (p.leader + 1) % modelVoters
		}
	}
	return ended
}

// ends draws a second's requests of a node.
func (p *modelTrial) ends(n *modelNode, into map[string]health.ClassCounts) {
	for _, c := range kampklip {
		e := into[c.Name]
		if e.Latencies == nil {
			e.Latencies = make([]uint64, health.Buckets)
		}
		count := modelRate * c.Share
		for range int(count) + map[bool]int{true: 1}[p.r.Float64() < count-math.Floor(count)] {
			fails, slower := modelFails, 1.0
			if p.bad(n) {
				fails += p.k.fails[""] + p.k.fails[c.Name]
				slower = max(1, p.k.slower)
			}
			if p.r.Float64() < fails {
				e.Failed++
				continue
			}
			e.Served++
			at, _ := slices.BinarySearch(modelBounds[c.Name], time.Duration(modelMedian*slower*math.Exp(modelSpread*p.r.NormFloat64())*1e9))
			e.Latencies[at]++
		}
		into[c.Name] = e
	}
}

var modelBounds = func() map[string][]time.Duration {
	all := map[string][]time.Duration{}
	for _, c := range kampklip {
		all[c.Name] = health.LatencyBounds(c.Aim)
	}
	return all
}()

func (p *modelTrial) resident(n *modelNode) uint64 {
	if p.k.leaks && p.bad(n) {
		return uint64((leakFrom + leakRate*float64(p.now-n.began)) * (1 << 20))
	}
	return uint64(leakFrom * (1 << 20))
}

func (p *modelTrial) has(fresh bool) (n int) {
	for _, x := range p.nodes {
		if x.fresh == fresh && !x.crashed && p.now >= x.until {
			n++
		}
	}
	return n
}

func (p *modelTrial) run() modelRun {
	r := modelRun{met: len(p.met), halted: p.halted, back: p.back, harmed: p.harmed, done: p.has(true) == modelNodes && p.halted == 0}
	return r
}

// modelCell is a kind of version under a way, over some trials: means, and the most nodes that met it.
type modelCell struct {
	kind, way                 string
	met, halted, back, harmed float64
	mostMet, stopped, done    int
}

// releaseTable runs so many trials of each kind under each way.
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
