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
	r := rand.New(rand.NewPCG(seed, 0x70726f66))
	p := Profile{Nodes: largeFleet, Rate: usualRate, Peers: r.IntN(2) == 0, DiscoveryCallTime: 30 * time.Millisecond}
	if r.IntN(3) == 0 {
		p.Nodes, p.DiscoveryCallTime = smallFleet, 150*time.Millisecond
	}
	p.Balancers = p.Nodes
	if r.IntN(3) == 0 {
		p.Balancers = hugeFleet
	}
	p.Patience = []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}[r.IntN(3)]
	if r.IntN(3) == 0 {
		p.Rate = heavyRate * largeFleet / float64(p.Nodes)
	}
	return p
}
