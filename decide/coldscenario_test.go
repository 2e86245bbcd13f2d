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
	trafficEven    trafficSplit = iota
	trafficUneven               // some nodes get several times the mean; drawn anew until the servers start
	trafficWanders              // most requests go to a fifth of the nodes, every two seconds to another fifth
)

func (s trafficSplit) String() string { return [...]string{"even", "uneven", "wanders"}[s] }

// coldScenario describes one run. All of it follows from the seed.
type coldScenario struct {
	seed        uint64
	size, fleet int // numbers of nodes and of servers
	messages    messagePath
	traffic     trafficSplit
	burst       bool    // 1.5 times the requests during the first 80 % of the warm-up (after idlePeriod, if both are set)
	lull        bool    // a tenth of the requests during the first half of the warm-up
	lost        bool    // all warm servers become unreachable at half of the warm-up
	restarts    bool    // half of the nodes are restarted during the warm-up
	rejoin      bool    // the cold servers are unreachable ones that come back under their old ids; else they are new
	cold        int     // number of servers that start cold
	capacity    float64 // mean requests per second that a warm server can serve
	load        float64 // arrivals as a part of all warm servers' capacity
}

func (c coldScenario) String() string {
	return fmt.Sprintf("seed %d (%d nodes, %d servers of %.0f/s, %d cold, load %.2f, messages %v, traffic %v, "+
		"burst %v, lull %v, lost %v, restarts %v, rejoin %v)", c.seed, c.size, c.fleet, c.capacity, c.cold, c.load,
		c.messages, c.traffic, c.burst, c.lull, c.lost, c.restarts, c.rejoin)
}

// coldNodeCounts are the fleet sizes, in nodes, that are run.
var coldSizes = []int{1, 5, 20, 30, 300}

// drawScenario draws the scenario of a seed. Consecutive seeds go through the fleet sizes in turn, so that any five of them
// cover all sizes.
func scenarioOf(seed uint64) coldScenario {
	r := rand.New(rand.NewPCG(seed, 39))
	c := coldScenario{seed: seed, fleet: 12, size: coldSizes[seed%uint64(len(coldSizes))],
		messages: messagePath(seed / uint64(len(coldSizes)) % 3),
		traffic:  trafficSplit(r.IntN(3)), burst: r.IntN(2) == 0, lull: r.IntN(2) == 0, lost: r.IntN(2) == 0,
		restarts: r.IntN(2) == 0, rejoin: r.IntN(2) == 0,
		cold: []int{1, 3, 8}[r.IntN(3)], capacity: 3 * math.Pow(20, r.Float64()), load: 0.3 + 1.2*r.Float64()}
	return c
}

// quietThenLost draws a scenario with few requests until all warm servers are lost. From then on every request needs the
// budget of a cold server, and the budgets have had an idle period in which to accumulate.
func quietThenLost(seed uint64) coldScenario {
	c, r := scenarioOf(seed), rand.New(rand.NewPCG(seed, 41))
	c.lull, c.lost, c.cold, c.size = true, true, 3, []int{5, 20, 30}[seed%3]
	c.capacity, c.load = 3*math.Pow(5, r.Float64()), 0.9+0.6*r.Float64()
	return c
}
