package decide

import (
	"testing"
	"time"

	"starlingvalve/internal/gossip"
)

// newFleet makes many nodes with the same list of servers.
func newFleet(nodes, servers int) (fleet []*Module) {
	for self := range nodes {
		fleet = append(fleet, newFleetNode(nodes, self, servers))
	}
	return fleet
}

// deliverMessages delivers the messages among a node's actions, and returns the number of datagrams that other nodes
// got.
func deliverMessages(now Time, fleet []*Module, from int, actions []Action) (datagrams int) {
	for _, a := range actions {
		w, ok := a.(SendMessage)
		for j, m := range fleet {
			if ok && j != from && (w.ToAll || w.To == j) {
				m.Handle(now, MessageReceived{From: from, Data: w.Data})
				datagrams++
			}
		}
	}
	return datagrams
}

// In a fleet of 300 each node knows how many requests all others have in flight at the servers of its subset, although
// each node sends its load reports only to the few nodes whose subsets contain those servers. If reports went to all
// nodes, each would get 299 datagrams per second here. And the number per node does not grow with the fleet, as long as
// the number of servers grows with it.
func TestLoadReportsReachNodesWhoseSubsetContainsTheServer(t *testing.T) {
	datagramsPerSecond := map[int]float64{}
	for _, nodes := range []int{75, 300} {
		fleet := newFleet(nodes, nodes*2/3)
		now, datagrams := 2*time.Second, 0
		for i := range nodes {
			for range 1 + i%25/24*300 { // a busy node has a larger subset than the others assume
				now += 100 * time.Microsecond
				fleet[i].Handle(now, RequestArrived{ID: RequestID(now.String()), Class: "cheap", Patience: time.Hour})
			}
		}
		for range 80 { // 2 s
			now += 25 * time.Millisecond
			for i, module := range fleet {
				datagrams += deliverMessages(now, fleet, i, append([]Action(nil), module.Handle(now, TimerFired{})...))
			}
		}
		if got := len(fleet[24].subset); got <= int(minSubsetSize) {
			t.Fatalf("the subset of the busy node has %d servers", got)
		}
		datagramsPerSecond[nodes] = float64(datagrams) / float64(nodes) / 2
		for i, module := range fleet {
			for _, server := range module.subset {
				others := 0.0
				for j, other := range fleet {
					if j != i && other.known[server.ID].inSubset { // elsewhere a node has rare further attempts only
						others += other.known[server.ID].n
					}
				}
				if server.othersInFlight != others {
					t.Fatalf("of %d nodes, node %d counts %v requests of others at server %d; they have %v", nodes, i,
						server.othersInFlight, server.ID, others)
				}
			}
		}
	}
	if datagramsPerSecond[300] > 30 || datagramsPerSecond[300] > 1.3*datagramsPerSecond[75] {
		t.Errorf("a node of 300 gets %.0f datagrams per second, one of 75 %.0f", datagramsPerSecond[300],
			datagramsPerSecond[75])
	}
}

// Where two servers share a tag, a node's report is of the one that its subset contains. When one of them is removed,
// the tag still means the other one.
func TestSharedTag(t *testing.T) {
	module := newFleet(300, 200)[0]
	first, second := module.ring[0], module.ring[100]
	module.removeTag(second)
	second.ringKey = second.ringKey&^(0xffff<<32) | uint64(first.tag())<<32 // its place in the ring stays
	module.tags[first.tag()] = append(module.tags[first.tag()], second)
	nodeOf := func(place int) int {
		for j := range 300 {
			if start := place - gossip.Start(j, 200); start >= 0 && start < 8 {
				return j
			}
		}
		t.Fatalf("no subset contains server %d of the ring", place)
		return 0
	}
	report := []byte{fullCountsMark, byte(first.tag() >> 8), byte(first.tag()), 5}
	module.Handle(2*time.Second, MessageReceived{From: nodeOf(100), Data: report})
	if first.othersInFlight != 0 || second.othersInFlight != 5 {
		t.Errorf("report of a node whose subset contains the second server: %v and %v; want 0 and 5",
			first.othersInFlight, second.othersInFlight)
	}
	module.Handle(2*time.Second, MessageReceived{From: nodeOf(0), Data: report})
	if first.othersInFlight != 5 || second.othersInFlight != 5 {
		t.Errorf("and one of a node whose subset contains the first: %v and %v; want 5 and 5", first.othersInFlight,
			second.othersInFlight)
	}
	module.removeTag(second)
	if got := module.serverByTag(first.tag(), nodeOf(100)); got != first {
		t.Error("the tag no longer means the server that has stayed")
	}
}

// A node with requests at more servers than one datagram holds reports all of them to a node with a larger subset than
// usual. To a node with a subset of the usual size it reports only the servers of that subset.
func TestManyServersReported(t *testing.T) {
	fleet := newFleet(300, 200)
	module, audience := fleet[0], gossip.Audience(300, 0, 200, 8, 8)
	longArc, usualArc := fleet[audience[0]], fleet[audience[1]]
	module.Handle(2*time.Second, MessageReceived{From: audience[1], Data: []byte{fullCountsMark}})
	for _, server := range module.ring {
		server.n = 2
	}
	for now := 2 * time.Second; now < 4*time.Second; now += 25 * time.Millisecond {
		module.peerReports[audience[0]].longArcAt = now
		deliverMessages(now, fleet, 0, append([]Action(nil), module.Handle(now, TimerFired{})...))
	}
	for i, server := range longArc.ring {
		if server.othersInFlight != 2 {
			t.Errorf("server %d of the ring: the other node counts %v; want 2", i, server.othersInFlight)
		}
	}
	reported := 0
	for _, server := range usualArc.ring {
		if reported += int(server.othersInFlight) / 2; server.inSubset && server.othersInFlight != 2 {
			t.Errorf("server %d: a node whose subset contains it counts %v; want 2", server.ID, server.othersInFlight)
		}
	}
	if reported > 8+2*gossip.Slack {
		t.Errorf("a node with 8 servers in its subset gets reports of %d", reported)
	}
}

// Guards against servers that look empty because the network between nodes carries no datagrams. A node that gets no
// report at all estimates the others' requests from its own, by the share that its own had in all requests before; once
// reports come again it goes by them. Where reports of some nodes still come, those that send none have died, and their
// requests no longer count.
func TestMissingReportsAreNoEmptyFleet(t *testing.T) {
	for _, allSilent := range []bool{true, false} {
		module := newFleet(300, 200)[0]
		now := 2 * time.Second
		module.Handle(now, MessageReceived{From: 7, Data: slotsReport(module.subset[0].ID, 6)})
		for _, server := range module.subset {
			server.n = 1
		}
		const silent = -1
		step := func(counts ...int) { // what nodes 1, 2, ... report to have at each server
			now += 25 * time.Millisecond
			module.Handle(now, TimerFired{})
			for i, count := range counts {
				data := []byte{fullCountsMark}
				for _, server := range module.subset {
					data = append(data, byte(server.tag()>>8), byte(server.tag()), byte(count))
				}
				if count != silent {
					module.Handle(now, MessageReceived{From: i + 1, Data: data})
				}
			}
		}
		for range 400 { // 10 s
			step(4, 2)
		}
		before := module.waitingPerSlot(module.subset[0])
		for range 160 { // 4 s
			if allSilent {
				step()
			} else {
				step(silent, 2)
			}
		}
		switch got := module.waitingPerSlot(module.subset[0]); {
		case allSilent && (got < before-0.1 || got > before+0.1):
			t.Errorf("without any reports %.2f wait for each slot; want about %.2f, as before", got, before)
		case !allSilent && got > before-0.5:
			t.Errorf("with reports of one of two nodes %.2f wait for each slot; before %.2f", got, before)
		}
		for range 80 { // 2 s
			step(0, 1)
		}
		if got := module.waitingPerSlot(module.subset[0]); got > 2.0/6-0.99 {
			t.Errorf("with reports again: %.2f wait for each slot; two of six are taken", got)
		}
	}
}

// While the list changes, nodes that have applied different parts of the change still know of one another's requests at
// the servers that both their subsets contain.
func TestLoadReportsWhileTheListChanges(t *testing.T) {
	fleet := newFleet(120, 60)
	now := 2 * time.Second
	var changes []Server
	for i := range 30 { // first the new servers, then the drains of those that they replace
		changes = append(changes, Server{ID: ServerID(i + 101), Zone: "a", Kind: "k", State: Ready, Size: 1})
	}
	for i := range 30 {
		changes = append(changes, Server{ID: ServerID(i + 1), Zone: "a", Kind: "k", State: Draining, Size: 1})
	}
	for i, module := range fleet { // nodes have applied different parts of the change
		module.Handle(now, ListUpdate{Kind: ListChanges, Entries: changes[:10+i%3*20]})
		for _, server := range module.subset {
			server.n = 1
		}
	}
	for range 80 { // 2 s
		now += 25 * time.Millisecond
		for i, module := range fleet {
			deliverMessages(now, fleet, i, append([]Action(nil), module.Handle(now, TimerFired{})...))
		}
	}
	actual, counted := 0.0, 0.0
	for i, module := range fleet {
		for _, server := range module.subset {
			counted += server.othersInFlight
			for j, other := range fleet {
				if record := other.known[server.ID]; j != i && record != nil && record.inSubset {
					actual++
				}
			}
		}
	}
	if counted < 0.99*actual {
		t.Errorf("the nodes count %.0f requests of others at their servers; there are %.0f", counted, actual)
	}
}
