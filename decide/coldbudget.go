package decide

// Budgets of cold servers. One falls over under what all nodes send it, and no node sees what the others send.

import (
	"math"
	"time"
)

const (
	coldStart = 4.0             // 1/s, of all nodes to a cold server with no warm one to compare
	coldPeak  = 0.5             // of m.peak: a cold server's part is of so much at least
	startLag  = 2 * time.Second // until a list names a server that has started
	coldFew   = 30.0            // requests; below, the bound leaves more to chance
	coldSaved = 0.25            // of this node's part of the bound: what a budget saves up beyond one request
)

// startCold gives a budget a random beginning: first requests from all nodes at once would be a burst that none sees.
func (m *Module) startCold(s *server, at Time) {
	s.cold, s.coldSince, s.tokens, s.tokensAt, s.rate, s.brisk = true, at, m.random(), m.now, 0, 0 // learned anew
}

// coldFrom is when a server that is new in a list counts as started. Its start is told by the wall clock, which may have been stepped on either
// side. It can't lie ahead, and hardly before the list that did not have it yet, which is so old: else it counts as now.
func (m *Module) coldFrom(started Time, age time.Duration) Time {
	if started > m.now || age > 0 && started < m.now-age-startLag {
		return m.now
	}
	return started
}

// paced tells whether a cold server's budget is spent. Nodes that lack the server in their subsets send nothing. What
// a budget saves up beyond one request and a part of the node's share of the bound lapses: where many nodes earn one
// request in seconds each, all could send theirs at once when the other servers fail or a quiet time ends.
func (m *Module) paced(s *server) bool {
	if s.cold = s.cold && m.warmth(s) < 1; !s.cold {
		return false
	}
	s.tokens, s.tokensAt = s.tokens+m.coldRate(s)*(m.now-s.tokensAt).Seconds(), m.now
	nodes := m.meeting()
	n := m.coldAllowed(s)
	s.tokens -= math.Max(0, math.Ceil(s.tokens-1-coldSaved*(n+2*math.Sqrt(n)+2)/nodes))
	return s.tokens < 1 || !s.near
}

// meeting is the number of nodes whose subsets contain a server.
func (m *Module) meeting() float64 {
	return math.Max(1, float64(m.set.Nodes*len(m.near))/math.Max(1, float64(len(m.ring))))
}

// coldAllowed is the number of requests that the settings allow a cold server within OverloadTime, from all nodes.
func (m *Module) coldAllowed(s *server) float64 {
	return m.set.OverloadFactor * m.set.OverloadTime.Seconds() * m.coldRate(s) * m.meeting()
}

// coldMost is the most that all nodes may send a cold server within OverloadTime, chance included; 0: it is warm.
func (m *Module) coldMost(s *server) int {
	if !s.cold || m.warmth(s) >= 1 {
		return 0
	}
	n := m.coldAllowed(s)
	if n < coldFew {
		return int(n + 3*math.Sqrt(n) + 3)
	}
	return int(n + 2*math.Sqrt(n) + 2)
}

// warmth is how much of ColdTime has passed since a server started, from 0 to 1.
func (m *Module) warmth(s *server) float64 {
	return math.Min(1, math.Max(0, (m.now-s.coldSince).Seconds()/math.Max(m.set.ColdTime.Seconds(), 1e-9)))
}

// coldRate is what this node may send a cold server each second: the part that the server can do by now of what each
// server of the subset would get of this node's answers. All nodes' rates sum up to a part of a server's capacity.
func (m *Module) coldRate(s *server) float64 {
	part := m.set.ColdFrom + (1-m.set.ColdFrom)*m.warmth(s)
	return part * math.Max(math.Max(m.evenRate, coldPeak*m.peak), coldStart/float64(m.set.Nodes))
}
