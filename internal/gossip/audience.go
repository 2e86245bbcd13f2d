// Package gossip decides who of a tier of nodes is told what. It does no I/O, reads no clock and starts no goroutine.
//
// Servers stand in a ring, an order that all nodes share. A node meets an arc of it: it sends to those servers and to no others,
// but for a rare further attempt. What it has at a server is of use to the nodes that meet that server too, and to nobody else.
package gossip

import "math"

// Slack is by how many servers two arcs may miss one another and still count as overlapping, in servers. Lists reach nodes at
// different times, and a server more or less moves the arcs of one node against those of another.
const Slack = 1

// Start is where in a ring of so many servers the arc of a node begins, in [0,servers). Nodes lie at even distances, however many
// there are: by the golden ratio, the fractional parts of whose multiples divide the ring most evenly.
func Start(node, servers int) int {
	return int(math.Mod((float64(node)+0.5)*math.Phi, 1) * float64(servers))
}

// Overlap tells whether two arcs of a ring have a server in common, or miss one another by Slack at most.
func Overlap(a, aLen, b, bLen, servers int) bool {
	return servers > 0 && (mod(b-a, servers) < aLen+Slack || mod(a-b, servers) < bLen+Slack)
}

// Audience gives the nodes whose arcs overlap one's own, in order, but for self. size is the length of its own arc, others of
// everybody else's, as far as is known.
func Audience(nodes, self, servers, size, others int) (audience []int) {
	start := Start(self, servers)
	for j := range nodes {
		if j != self && Overlap(start, size, Start(j, servers), others, servers) {
			audience = append(audience, j)
		}
	}
	return audience
}

// Meets tells whether a place in the ring lies in an arc that begins at start, or misses it by Slack at most.
func Meets(start, size, place, servers int) bool {
	d := mod(place-start, servers)
	return d < size+Slack || d >= servers-Slack
}

// Ahead is how far a server lies behind the beginning of a node's arc, in servers, going round: the smaller, the more likely
// it is that the node meets the server.
func Ahead(node, place, servers int) int { return mod(place-Start(node, servers), servers) }

func mod(a, n int) int { return ((a % n) + n) % n }
