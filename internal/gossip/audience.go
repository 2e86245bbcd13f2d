// Package gossip decides which nodes of a tier receive a node's load reports, and estimates the load from other nodes
// while no reports arrive. It does no I/O, reads no clock and starts no goroutine.
//
// All servers form a ring, in an order that all nodes share. The subset of a node is an arc of that ring: the node
// sends its requests to those servers and, except for rare retries, to no others. Its load at a server matters only to
// nodes whose subsets contain that server, too.
package gossip

import "math"

// Slack is the largest distance between two arcs, in servers, at which they still count as overlapping. Lists reach
// nodes at different times, and one server more or less shifts the arcs as one node sees them against those that
// another sees.
const Slack = 1

// Start returns the place in [0,servers) at which the arc of a node begins, in a ring of that many servers. The starts
// are spread evenly for any number of nodes: multiples of the golden ratio, modulo 1, divide a ring most evenly.
func Start(node, servers int) int {
	return int(math.Mod((float64(node)+0.5)*math.Phi, 1) * float64(servers))
}

// Overlap reports whether two arcs of a ring have a server in common, or are at most Slack apart. a and b are the
// places at which they begin, and aLen and bLen their lengths, all in servers.
func Overlap(a, aLen, b, bLen, servers int) bool {
	return servers > 0 && (mod(b-a, servers) < aLen+Slack || mod(a-b, servers) < bLen+Slack)
}

// Audience returns the nodes whose arcs overlap that of self, in ascending order and without self: those that should
// receive its load reports. ownSize is the length of its own arc, and othersSize the assumed length of every other, in
// servers.
func Audience(nodes, self, servers, ownSize, othersSize int) (audience []int) {
	start := Start(self, servers)
	for j := range nodes {
		if j != self && Overlap(start, ownSize, Start(j, servers), othersSize, servers) {
			audience = append(audience, j)
		}
	}
	return audience
}

// SubsetContains reports whether the subset of size servers that begins at start contains a place in the ring, or is
// at most Slack servers away from it.
func SubsetContains(start, size, place, servers int) bool {
	d := mod(place-start, servers)
	return d < size+Slack || d >= servers-Slack
}

// DistanceFromStart returns how many servers a place lies after the start of a node's arc, going round the ring. The
// smaller the distance, the more likely the node's subset contains the server at that place.
func DistanceFromStart(node, place, servers int) int { return mod(place-Start(node, servers), servers) }

// mod returns a modulo n, in [0,n) for negative a, too.
func mod(a, n int) int { return ((a % n) + n) % n }
