package gossip

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Two nodes whose subsets share a server are in each other's audience, for any number of nodes and servers and any
// size of subset. The audience holds only a few other nodes.
func TestAudienceSharesServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, servers := rapid.IntRange(1, 160).Draw(t, "nodes"), rapid.IntRange(1, 250).Draw(t, "servers")
		size := min(servers, rapid.IntRange(1, 30).Draw(t, "size"))
		self := rapid.IntRange(0, nodes-1).Draw(t, "self")
		arc := func(node int) (places []int) {
			for i := range size {
				places = append(places, (Start(node, servers)+i)%servers)
			}
			return places
		}
		audience, mine := Audience(nodes, self, servers, size, size), arc(self)
		if slices.Contains(audience, self) || !slices.IsSorted(audience) {
			t.Fatalf("the audience of %d is %v", self, audience)
		}
		for j := range nodes {
			in := slices.Contains(audience, j)
			shared := slices.ContainsFunc(arc(j), func(place int) bool { return slices.Contains(mine, place) })
			if shared && !in && j != self {
				t.Fatalf("node %d shares a server with node %d and is not in its audience", j, self)
			}
			if in != slices.Contains(Audience(nodes, j, servers, size, size), self) && j != self {
				t.Fatalf("of the nodes %d and %d, only one is in the audience of the other", self, j)
			}
		}
		if most := nodes*(2*(size+Slack)+1)/servers + 4; len(audience) > most {
			t.Fatalf("%d of %d nodes are in the audience; want %d at most", len(audience), nodes, most)
		}
	})
}

// An empty ring and a single node have no audience, and each start lies within the ring.
func TestEdges(t *testing.T) {
	if Overlap(0, 8, 0, 8, 0) || len(Audience(5, 0, 0, 8, 8)) != 0 {
		t.Error("an empty ring has an audience")
	}
	if a := Audience(1, 0, 10, 8, 8); len(a) != 0 {
		t.Errorf("a single node has the audience %v", a)
	}
	for j := range 1000 {
		if s := Start(j, 7); s < 0 || s >= 7 || DistanceFromStart(j, s, 7) != 0 ||
			DistanceFromStart(j, (s+6)%7, 7) != 6 {
			t.Fatalf("the arc of node %d begins at %d of 7, or distances from there are wrong", j, s)
		}
	}
}
