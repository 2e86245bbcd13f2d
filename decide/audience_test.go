package decide

import (
	"testing"
	"time"

	"starlingvalve/internal/gossip"
)

// newFleet makes many nodes with the same list of servers.
func fleetOf(nodes, servers int) (fleet []*Module) {
	for self := range nodes {
		fleet = append(fleet, nodeOf(nodes, self, servers))
	}
	return fleet
}

// deliverMessages delivers the messages among a node's actions, and returns the number of datagrams that other nodes got.
func pass(now Time, fleet []*Module, from int, actions []Action) (datagrams int) {
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

// In a fleet of 300 each node knows how many requests all others have in flight at the servers of its subset, although each
// node sends its load reports only to the few nodes whose subsets contain those servers. If reports went to all nodes, each
// would get 299 datagrams per second here. And the number per node does not grow with the fleet, if there are as many more
// servers.
func TestWordsReachThoseWhoMeetTheServer(t *testing.T) {
	heard := map[int]float64{}
	for _, nodes := range []int{75, 300} {
		fleet := fleetOf(nodes, nodes*2/3)
		now, datagrams := 2*time.Second, 0
		for i := range nodes {
			for range 1 + i%25/24*300 { // a busy node has a larger subset than the others assume
				now += 100 * time.Microsecond
				fleet[i].Handle(now, RequestArrived{ID: RequestID(now.String()), Class: "cheap", Patience: time.Hour})
			}
		}
		for range 80 { // 2 s
			now += 25 * time.Millisecond
			for i, m := range fleet {
				datagrams += pass(now, fleet, i, append([]Action(nil), m.Handle(now, TimerFired{})...))
			}
		}
		if got := len(fleet[24].near); got <= int(subsetLeast) {
			t.Fatalf("the subset of the busy node has %d servers", got)
		}
		heard[nodes] = float64(datagrams) / float64(nodes) / 2
		for i, m := range fleet {
			for _, s := range m.near {
				others := 0.0
				for j, o := range fleet {
					if j != i && o.known[s.ID].near { // outside its subset a node has rare further attempts only
						others += o.known[s.ID].n
					}
				}
				if s.others != others {
					t.Fatalf("of %d nodes, node %d counts %v requests of others at server %d; they have %v", nodes, i, s.others, s.ID, others)
				}
			}
		}
	}
	if heard[300] > 30 || heard[300] > 1.3*heard[75] {
		t.Errorf("a node of 300 gets %.0f datagrams per second, one of 75 %.0f", heard[300], heard[75])
	}
}

// Where two servers share a tag, a node's report is of the one that its subset contains. When one of them is removed, the
// tag still means the other one.
func TestSharedTag(t *testing.T) {
	m := fleetOf(300, 200)[0]
	a, b := m.ring[0], m.ring[100]
	m.untag(b)
	b.place = b.place&^(0xffff<<32) | uint64(a.tag())<<32 // the upper bits, and so its place in the ring, stay
	m.tags[a.tag()] = append(m.tags[a.tag()], b)
	from := func(place int) int {
		for j := range 300 {
			if start := place - gossip.Start(j, 200); start >= 0 && start < 8 {
				return j
			}
		}
		t.Fatalf("no subset contains server %d of the ring", place)
		return 0
	}
	word := []byte{countMark, byte(a.tag() >> 8), byte(a.tag()), 5}
	m.Handle(2*time.Second, MessageReceived{From: from(100), Data: word})
	if a.others != 0 || b.others != 5 {
		t.Errorf("report of a node whose subset contains the second server: %v and %v; want 0 and 5", a.others, b.others)
	}
	m.Handle(2*time.Second, MessageReceived{From: from(0), Data: word})
	if a.others != 5 || b.others != 5 {
		t.Errorf("and one of a node whose subset contains the first: %v and %v; want 5 and 5", a.others, b.others)
	}
	m.untag(b)
	if got := m.tagged(a.tag(), from(100)); got != a {
		t.Error("the tag no longer means the server that has stayed")
	}
}

// A node with requests at more servers than one datagram holds reports all of them to a node with a larger subset than
// usual. To a node with a subset of the usual size it reports only the servers of that subset.
func TestManyServersTold(t *testing.T) {
	fleet := fleetOf(300, 200)
	m, audience := fleet[0], gossip.Audience(300, 0, 200, 8, 8)
	long, usual := fleet[audience[0]], fleet[audience[1]]
	m.Handle(2*time.Second, MessageReceived{From: audience[1], Data: []byte{countMark}})
	for _, s := range m.ring {
		s.n = 2
	}
	for now := 2 * time.Second; now < 4*time.Second; now += 25 * time.Millisecond {
		m.others[audience[0]].longAt = now
		pass(now, fleet, 0, append([]Action(nil), m.Handle(now, TimerFired{})...))
	}
	for i, s := range long.ring {
		if s.others != 2 {
			t.Errorf("server %d of the ring: the other node counts %v; want 2", i, s.others)
		}
	}
	told := 0
	for _, s := range usual.ring {
		if told += int(s.others) / 2; s.near && s.others != 2 {
			t.Errorf("server %d: a node whose subset contains it counts %v; want 2", s.ID, s.others)
		}
	}
	if told > 8+2*gossip.Slack {
		t.Errorf("a node with 8 servers in its subset gets reports of %d", told)
	}
}

// Guards against servers that look empty because the network between nodes carries no datagrams. A node that gets no report
// at all estimates the others' requests from its own, by the part of all that its own were; once reports come again it goes
// by them. Where reports of some nodes still come, those that send none have died, and their requests no longer count.
func TestSilenceIsNoEmptyFleet(t *testing.T) {
	for _, all := range []bool{true, false} {
		m := fleetOf(300, 200)[0]
		now := 2 * time.Second
		m.Handle(now, MessageReceived{From: 7, Data: slotsWord(m.near[0].ID, 6)})
		for _, s := range m.near {
			s.n = 1
		}
		const silent = -1
		step := func(has ...int) { // what nodes 1, 2, ... report to have at each server
			now += 25 * time.Millisecond
			m.Handle(now, TimerFired{})
			for i, n := range has {
				data := []byte{countMark}
				for _, s := range m.near {
					data = append(data, byte(s.tag()>>8), byte(s.tag()), byte(n))
				}
				if n != silent {
					m.Handle(now, MessageReceived{From: i + 1, Data: data})
				}
			}
		}
		for range 400 { // 10 s
			step(4, 2)
		}
		crowded := m.waiting(m.near[0])
		for range 160 { // 4 s
			if all {
				step()
			} else {
				step(silent, 2)
			}
		}
		switch got := m.waiting(m.near[0]); {
		case all && (got < crowded-0.1 || got > crowded+0.1):
			t.Errorf("without any reports %.2f wait for each slot; want about %.2f, as before", got, crowded)
		case !all && got > crowded-0.5:
			t.Errorf("with reports of one of two nodes %.2f wait for each slot; before %.2f", got, crowded)
		}
		for range 80 { // 2 s
			step(0, 1)
		}
		if got := m.waiting(m.near[0]); got > 2.0/6-0.99 {
			t.Errorf("with reports again: %.2f wait for each slot; two of six are taken", got)
		}
	}
}

// While the list changes, nodes that have applied different parts of the change still know of one another's requests at the
// servers that both their subsets contain.
func TestWordsWhileTheListChanges(t *testing.T) {
	fleet := fleetOf(120, 60)
	now := 2 * time.Second
	var changes []Server
	for i := range 30 { // first the new servers, then the drains of those that they replace
		changes = append(changes, Server{ID: ServerID(i + 101), Zone: "a", Kind: "k", State: Ready, Size: 1})
	}
	for i := range 30 {
		changes = append(changes, Server{ID: ServerID(i + 1), Zone: "a", Kind: "k", State: Draining, Size: 1})
	}
	for i, m := range fleet { // nodes have applied different parts of the change
		m.Handle(now, ListUpdate{Kind: ListChanges, Entries: changes[:10+i%3*20]})
		for _, s := range m.near {
			s.n = 1
		}
	}
	for range 80 { // 2 s
		now += 25 * time.Millisecond
		for i, m := range fleet {
			pass(now, fleet, i, append([]Action(nil), m.Handle(now, TimerFired{})...))
		}
	}
	have, believed := 0.0, 0.0
	for i, m := range fleet {
		for _, s := range m.near {
			believed += s.others
			for j, o := range fleet {
				if k := o.known[s.ID]; j != i && k != nil && k.near {
					have++
				}
			}
		}
	}
	if believed < 0.99*have {
		t.Errorf("the nodes count %.0f requests of others at their servers; there are %.0f", believed, have)
	}
}
