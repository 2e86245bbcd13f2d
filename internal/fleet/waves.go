package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"starlingvalve/internal/fleet/fleetpb"
)

// Wave is a wave of a plan file. It has exactly one of Nodes, Count, Share and Voters.
type Wave struct {
	Name   string   `toml:"name"`
	Nodes  []string `toml:"nodes"`  // by name
	Count  int      `toml:"count"`  // that many nodes
	Share  float64  `toml:"share"`  // as many nodes as bring this share of all nodes to the version; above 0, up to 1
	Zone   string   `toml:"zone"`   // only nodes of this zone; Share then is of the zone's nodes
	Voters bool     `toml:"voters"` // all voters; other waves have voters only by name
	Mixed  bool     `toml:"mixed"`  // may have nodes of several zones; if false, a wave of chosen nodes is split by zone
}

// Check validates the fields of a wave.
func (w Wave) Check() error {
	ways := 0
	for _, given := range []bool{len(w.Nodes) > 0, w.Count != 0, w.Share != 0, w.Voters} {
		if given {
			ways++
		}
	}
	if ways != 1 || w.Count < 0 || w.Share < 0 || w.Share > 1 {
		return fmt.Errorf("want one of nodes, count, share (over 0 to 1) and voters, have %d nodes, count = %d, share = %v, voters = %v", len(w.Nodes), w.Count, w.Share, w.Voters)
	}
	return nil
}

// BuildWaves turns the waves of a plan file into waves of named nodes. The nodes to choose from are those that
// supervisors have reported. A wave whose chosen nodes are of several zones becomes one wave per zone, unless it is
// mixed. Count and Share take nodes evenly from all zones. No chosen node is in two waves.
func (m *Machine) BuildWaves(list []Wave) (waves []*fleetpb.Wave, err error) {
	taken := map[string]bool{}
	for _, w := range list {
		for _, n := range w.Nodes {
			taken[n] = true
		}
	}
	updated := map[string]int{} // number of nodes in the waves so far, by zone; "": in all zones
	for i, w := range list {
		if err := w.Check(); err != nil {
			return nil, fmt.Errorf("wave[%d]: %w", i, err)
		}
		nodes := w.Nodes
		if len(nodes) == 0 {
			nodes = m.pickNodes(w, taken, updated)
		}
		byZone := map[string][]string{}
		for _, n := range nodes {
			zone := m.zoneOf(n)
			updated[""]++
			updated[zone]++
			if w.Mixed || len(w.Nodes) > 0 {
				zone = ""
			}
			byZone[zone] = append(byZone[zone], n)
		}
		for _, zone := range slices.Sorted(maps.Keys(byZone)) {
			name := w.Name
			if len(byZone) > 1 {
				name = strings.TrimSpace(name + " " + zone)
			}
			waves = append(waves, &fleetpb.Wave{Name: name, Nodes: byZone[zone], Mixed: w.Mixed})
		}
	}
	return waves, nil
}

// pickNodes chooses the nodes of a wave that does not name them, and adds them to taken.
func (m *Machine) pickNodes(w Wave, taken map[string]bool, updated map[string]int) (nodes []string) {
	total, free := 0, []string{}
	rank, seen := map[string]int{}, map[string]int{} // rank: by node, how many nodes of its zone come before it; seen: by zone
	for _, n := range slices.Sorted(maps.Keys(m.state.Units)) {
		zone := m.zoneOf(n)
		if w.Zone != "" && zone != w.Zone {
			continue
		}
		total++
		if !taken[n] && w.Voters == (m.state.Voters[n] != "") {
			rank[n], free = updated[zone]+seen[zone], append(free, n)
			seen[zone]++
		}
	}
	// Zones alternate, those with fewer updated nodes first, so that a fault which only one zone has shows early.
	slices.SortStableFunc(free, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), cmp.Compare(m.zoneOf(a), m.zoneOf(b)))
	})
	if want := int(math.Ceil(w.Share*float64(total) - 1e-9)); w.Share > 0 {
		free = free[:min(max(0, want-updated[w.Zone]), len(free))]
	} else if w.Count > 0 {
		free = free[:min(w.Count, len(free))]
	}
	for _, n := range free {
		taken[n] = true
	}
	return free
}

func (m *Machine) zoneOf(node string) string {
	if n := m.state.Nodes[node]; n != nil {
		return n.Zone
	}
	return ""
}

// wavesProblem returns what is wrong with waves, given the zones and voters of the state; empty if nothing is.
func (m *Machine) wavesProblem(waves []*fleetpb.Wave) string {
	voter := ""
	for i, w := range waves {
		zone := m.zoneOf(w.Nodes[0])
		for _, n := range w.Nodes {
			if z := m.zoneOf(n); z != zone && !w.Mixed {
				return fmt.Sprintf("wave %d has nodes of zone %s and of zone %s: make it two, or say mixed = true", i+1, zone, z)
			}
			if m.state.Voters[n] == "" && voter != "" {
				return fmt.Sprintf("wave %d has %s, behind %s, which votes: voters come last", i+1, n, voter)
			}
		}
		for _, n := range w.Nodes {
			if m.state.Voters[n] != "" {
				voter = n
			}
		}
	}
	return ""
}

// canTakeVoterOut reports whether a release may take one more voter out of service, which leaves a majority of the
// voters. With one or two voters no majority can be kept, so one may always go.
func (m *Machine) canTakeVoterOut() bool {
	out := 0
	for v := range m.state.Voters {
		if m.state.Nodes[v] == nil || m.nodeOutReason(v) != "" {
			out++
		}
	}
	return out+1 <= max(1, (len(m.state.Voters)-1)/2)
}
