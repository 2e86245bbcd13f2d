package decide

// Slow start. A server that has just started is cold: it has only a part of its capacity, and collapses if all nodes
// together send it more. No node sees what the others send, so each node has a token budget for each cold server.

import (
	"math"
	"time"
)

const (
	coldStartRate     = 4.0             // requests per second from all nodes to a cold server if no other rate is known
	coldPeakFraction  = 0.5             // part of peakRate from which a cold server's rate is derived, at least
	listLag           = 2 * time.Second // longest time from a server's start until a list has it
	coldFewRequests   = 30.0            // requests; a smaller limit has a wider margin for chance
	coldSavedFraction = 0.25            // part of this node's share of the limit that a budget may save beyond one request
)

// startCold begins the slow start of a server whose process started at a time. The budget begins with a random part of
// a token: else the first requests of all nodes could come at once, a burst that no node sees.
func (m *Module) startCold(s *serverRecord, at Time) {
	s.cold, s.coldSince, s.tokens, s.tokensAt, s.rate, s.recentAnswers = true, at, m.random(), m.now, 0, 0 // learned anew
}

// coldStartTime is the time at which the slow start of a server that is new in a list begins. The list gives its start
// by the wall clock, which may have been stepped here or there. The start can't lie in the future, and hardly before
// the previous list, which is age old and did not have the server; in both cases the slow start begins now.
func (m *Module) coldStartTime(started Time, age time.Duration) Time {
	if started > m.now || age > 0 && started < m.now-age-listLag {
		return m.now
	}
	return started
}

// coldBudgetSpent tells whether a server is cold and must get no request now. That is always so if it is outside this
// node's subset. Tokens beyond one and coldSavedFraction of this node's share of the limit lapse: many nodes that get a
// token every few seconds could else send all their requests at once when other servers fail or traffic returns.
func (m *Module) coldBudgetSpent(server *serverRecord) bool {
	if server.cold = server.cold && m.warmth(server) < 1; !server.cold {
		return false
	}
	server.tokens, server.tokensAt = server.tokens+m.coldSendRate(server)*(m.now-server.tokensAt).Seconds(), m.now
	nodes := m.nodesPerServer()
	allowed := m.coldAllowed(server)
	server.tokens -= math.Max(0, math.Ceil(server.tokens-1-coldSavedFraction*(allowed+2*math.Sqrt(allowed)+2)/nodes))
	return server.tokens < 1 || !server.inSubset
}

// nodesPerServer is the number of nodes whose subsets contain a server, at the mean.
func (m *Module) nodesPerServer() float64 {
	return math.Max(1, float64(m.settings.Nodes*len(m.subset))/math.Max(1, float64(len(m.ring))))
}

// coldAllowed is the number of requests that a cold server may get from all nodes within OverloadTime, by the settings.
func (m *Module) coldAllowed(s *serverRecord) float64 {
	return m.settings.OverloadFactor * m.settings.OverloadTime.Seconds() * m.coldSendRate(s) * m.nodesPerServer()
}

// slowStartLimit is the number of requests that all nodes together may send a cold server within OverloadTime, with a
// margin of two or three standard deviations for chance; 0 if the server is warm.
func (m *Module) slowStartLimit(s *serverRecord) int {
	if !s.cold || m.warmth(s) >= 1 {
		return 0
	}
	allowed := m.coldAllowed(s)
	if allowed < coldFewRequests {
		return int(allowed + 3*math.Sqrt(allowed) + 3)
	}
	return int(allowed + 2*math.Sqrt(allowed) + 2)
}

// warmth is the part of ColdTime that has passed since a server started, from 0 to 1.
func (m *Module) warmth(s *serverRecord) float64 {
	return math.Min(1, math.Max(0, (m.now-s.coldSince).Seconds()/math.Max(m.settings.ColdTime.Seconds(), 1e-9)))
}

// coldSendRate is the number of requests per second that this node may send a cold server: the part of its capacity
// that the server has by now, times the rate that each server of the subset would get with an even load. The rates of
// all nodes add up to that part of a server's capacity.
func (m *Module) coldSendRate(s *serverRecord) float64 {
	part := m.settings.ColdFrom + (1-m.settings.ColdFrom)*m.warmth(s)
	return part * math.Max(math.Max(m.evenRate, coldPeakFraction*m.peakRate), coldStartRate/float64(m.settings.Nodes))
}
