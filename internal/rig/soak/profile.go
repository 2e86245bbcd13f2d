package soak

import (
	"math/rand/v2"
	"time"
)

// Profile describes the fleet and the load of a run. ProfileOf draws it from the run's seed.
type Profile struct {
	Nodes             int           // number of real node processes
	Balancers         int           // fleet size that each process is given; it spreads its calls to discovery accordingly
	Peers             bool          // processes exchange datagrams
	Patience          time.Duration // time that clients give each request
	Rate              float64       // requests a second to each node
	DiscoveryCallTime time.Duration // time that discovery works on one call
}

// Fleet sizes, and rates in requests a second to each node.
const (
	smallFleet = 5
	largeFleet = 24
	hugeFleet  = 300 // size that processes are given; the nodes beyond the real ones are callers that overload discovery

	usualRate = 10.0
	heavyRate = 40.0 // more than the servers can serve: requests are refused
)

// ProfileOf draws a run's profile. The same seed gives the same profile.
func ProfileOf(seed uint64) Profile {
	random := rand.New(rand.NewPCG(seed, 0x70726f66))
	profile := Profile{Nodes: largeFleet, Rate: usualRate, Peers: random.IntN(2) == 0, DiscoveryCallTime: 30 * time.Millisecond}
	if random.IntN(3) == 0 {
		profile.Nodes, profile.DiscoveryCallTime = smallFleet, 150*time.Millisecond
	}
	profile.Balancers = profile.Nodes
	if random.IntN(3) == 0 {
		profile.Balancers = hugeFleet
	}
	profile.Patience = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}[random.IntN(3)]
	if random.IntN(3) == 0 {
		profile.Rate = heavyRate * largeFleet / float64(profile.Nodes)
	}
	return profile
}
