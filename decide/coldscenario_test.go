package decide

// The random scenarios in which a fleet of nodes sends to servers that start cold.

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// messagePath says what happens to the datagrams between nodes.
type messagePath int

const (
	messagesArrive messagePath = iota
	messagesLossy              // coldMessageLoss of them are lost
	messagesOff                // Settings.MayMessage is false: there are none
)

func (p messagePath) String() string { return [...]string{"arrive", "lossy", "off"}[p] }

// trafficSplit says how the requests are distributed over the nodes.
type trafficSplit int

const (
	trafficEven   trafficSplit = iota
	trafficUneven              // some nodes get several times the mean; drawn anew until the servers start
	trafficMoving              // most requests go to a fifth of the nodes, every two seconds to another fifth
)

func (s trafficSplit) String() string { return [...]string{"even", "uneven", "wanders"}[s] }

// coldScenario describes one run. All of it follows from the seed.
type coldScenario struct {
	seed                   uint64
	nodeCount, serverCount int // numbers of nodes and of servers
	messages               messagePath
	traffic                trafficSplit
	burst                  bool    // 1.5 times the requests for 80 % of the warm-up (after idlePeriod, if that is set)
	idlePeriod             bool    // a tenth of the requests for the first half of the warm-up
	warmLost               bool    // all warm servers become unreachable at half of the warm-up
	restarts               bool    // half of the nodes are restarted during the warm-up
	rejoin                 bool    // the cold servers come back after an absence, under their old ids; else they are new
	coldCount              int     // number of servers that start cold
	capacity               float64 // mean requests per second that a warm server can serve
	load                   float64 // arrivals as a part of all warm servers' capacity
}

func (c coldScenario) String() string {
	return fmt.Sprintf("seed %d (%d nodes, %d servers of %.0f/s, %d cold, load %.2f, messages %v, traffic %v, "+
		"burst %v, idle period %v, lost %v, restarts %v, rejoin %v)", c.seed, c.nodeCount, c.serverCount, c.capacity,
		c.coldCount, c.load,
		c.messages, c.traffic, c.burst, c.idlePeriod, c.warmLost, c.restarts, c.rejoin)
}

// coldNodeCounts are the fleet sizes, in nodes, that are run.
var coldNodeCounts = []int{1, 5, 20, 30, 300}

// drawScenario draws the scenario of a seed. Consecutive seeds go through the fleet sizes in turn, so that any five of
// them cover all sizes.
func drawScenario(seed uint64) coldScenario {
	random := rand.New(rand.NewPCG(seed, 39))
	scenario := coldScenario{seed: seed, serverCount: 12, nodeCount: coldNodeCounts[seed%uint64(len(coldNodeCounts))],
		messages: messagePath(seed / uint64(len(coldNodeCounts)) % 3),
		traffic:  trafficSplit(random.IntN(3)), burst: random.IntN(2) == 0, idlePeriod: random.IntN(2) == 0,
		warmLost: random.IntN(2) == 0, restarts: random.IntN(2) == 0, rejoin: random.IntN(2) == 0,
		coldCount: []int{1, 3, 8}[random.IntN(3)], capacity: 3 * math.Pow(20, random.Float64()),
		load: 0.3 + 1.2*random.Float64()}
	return scenario
}

// quietThenLost draws a scenario with few requests until all warm servers are lost. From then on every request needs
// the budget of a cold server, and the budgets have had an idle period in which to accumulate.
func quietThenLost(seed uint64) coldScenario {
	scenario, random := drawScenario(seed), rand.New(rand.NewPCG(seed, 41))
	scenario.idlePeriod, scenario.warmLost, scenario.coldCount, scenario.nodeCount = true, true, 3,
		[]int{5, 20, 30}[seed%3]
	scenario.capacity, scenario.load = 3*math.Pow(5, random.Float64()), 0.9+0.6*random.Float64()
	return scenario
}
