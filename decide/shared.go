package decide

// How the nodes of a large fleet share their knowledge of the servers' load. A node that is one of many at each server
// notices an overload, and its end, too late from its own answers alone.

import (
	"math"
	"time"
)

const (
	// Nodes per server from which on their own counts show too little, so that they share their counts.
	minSharedNodes = 8.0
	// subsetSendInterval, in seconds, where nodes share their counts and so also learn of a server from others.
	sharedSendInterval = 0.15
	// Probes for each arrival. They show the number of a server's slots: the requests that it works on at once.
	probesPerArrival = 0.01
	// Probes per second while no server has shown its slots.
	slotsUnknownProbeRate = 1.0
	// Probes per second of a node without traffic.
	minProbeRate = 0.1
	// Mean interval between two reports of a node's counts to the others: far shorter than an answer takes.
	countsInterval = 150 * time.Millisecond
	// One of this number of reports gives all of a node's counts, the others only those that have changed.
	fullCountsEvery = 8
	// A node that has reported nothing for this time counts as having no requests at the servers.
	countsLifetime = 2 * time.Second
	// A probe without a result after this time does not prevent another one.
	probeTimeout = 1500 * time.Millisecond
	// Weight of a new measurement in a server's smoothed number of slots.
	slotGain = 0.05
	// Queue lengths, in waiting requests per slot; negative ones are free slots. Up to lowQueue a server takes all
	// requests, beyond highQueue only those that are worth most, beyond blockQueue none.
	lowQueue   = -0.4
	highQueue  = 0.1
	blockQueue = 0.9
	// Drop fraction for each waiting request per slot beyond the target, and for each second of that.
	shedProportionalGain = 0.3
	shedIntegralGain     = 0.1
)

// sharesLoad tells whether the nodes go by the counts of all of them: each server is used by so many that a node's own
// part of its load is small, and the nodes may probe and exchange messages.
func (m *Module) sharesLoad() bool {
	return m.settings.MayProbe && m.settings.MayMessage && m.settings.ReportVia != ReportNone && len(m.ring) > 0 &&
		float64(m.settings.Nodes)*math.Min(m.subsetSize, float64(len(m.ring))) >= minSharedNodes*float64(len(m.ring))
}

// probeServer probes a server of the subset if a probe is due. Of two random servers it chooses the one that will show
// more of its slots: one whose slots are not known, else the one with more requests.
func (m *Module) probeServer() {
	if !m.sharesLoad() || len(m.subset) == 0 {
		return
	}
	rate := math.Max(minProbeRate, probesPerArrival*m.arrivalRate)
	if m.slots == 0 {
		rate = math.Max(rate, slotsUnknownProbeRate)
	}
	if (m.now-m.lastProbeAt).Seconds()*rate < 0.5+m.probeJitter {
		return
	}
	m.lastProbeAt, m.probeJitter = m.now, m.random()
	first, second := m.subset[int(m.random()*float64(len(m.subset)))], m.subset[int(m.random()*float64(len(m.subset)))]
	if (second.slots == 0) != (first.slots == 0) && second.slots == 0 ||
		(second.slots == 0) == (first.slots == 0) && second.n+m.othersAt(second) > first.n+m.othersAt(first) {
		first = second
	}
	if first.probing && m.now-first.probedAt < probeTimeout || first.ejected {
		return
	}
	first.probing, first.probedAt = true, m.now
	m.emit(Probe{Server: first.ID})
}

// probeEnded learns a server's slots from the result of a probe, and sends them to the other nodes that use the server.
func (m *Module) probeEnded(result ProbeEnded) {
	server := m.known[result.Server]
	if server == nil {
		return
	}
	server.probing = false
	if result.Code != OK || result.Report == nil || !result.Report.HasInFlight || !(result.Report.InFlight >= 0) {
		return
	}
	// While requests wait, all slots are in use: their number is that of the requests that don't wait.
	if inFlight, queue := math.Min(result.Report.InFlight, maxReportedRequests),
		result.Report.Queue; result.Report.HasQueue && queue >= 1 && queue < inFlight {
		first := m.slots == 0 // the first number of any server: all nodes need it
		m.learnSlots(server, inFlight-queue)
		if report := slotsReport(server.ID, inFlight-queue); m.sharesLoad() && (first || m.subsetIsRing) {
			m.emit(SendMessage{ToAll: true, Data: report})
		} else if m.sharesLoad() {
			index := m.ringIndex(server)
			m.eachPeer(func(node int, contains func(int) bool) {
				if contains(index) {
					m.emit(SendMessage{To: node, Data: report})
				}
			})
		}
	}
}

// learnSlots updates the smoothed number of slots of a server and of the mean server.
func (m *Module) learnSlots(s *serverRecord, slots float64) {
	slots = math.Max(1, slots)
	if m.slots == 0 {
		m.slots = slots
	}
	if m.slots += fleetGain * (slots - m.slots); s.slots == 0 {
		s.slots = m.slots
	}
	s.slots += slotGain * (slots - s.slots)
}

// slotsOf is the number of requests that a server works on at once: its own, or that of the mean server if its own is
// not known, or 0 if no server has shown any.
func (m *Module) slotsOf(s *serverRecord) float64 {
	if s.slots > 0 {
		return s.slots
	}
	return m.slots
}

// judgedByCounts tells whether a server's load is taken from the counts of all nodes.
func (m *Module) judgedByCounts(s *serverRecord) bool { return m.sharesLoad() && m.slotsOf(s) > 0 }

// waitingPerSlot is the number of requests that wait for each slot of a server, by the counts of all nodes. It is
// negative if slots are free.
func (m *Module) waitingPerSlot(s *serverRecord) float64 { return (s.n+m.othersAt(s))/m.slotsOf(s) - 1 }

// updateShed renews the drop fraction that applies while no server is in Normal mode. It is a PI controller: the drop
// fraction is proportional to how far the mean queue is beyond its target, half of highQueue, plus the integral of that
// over time. All nodes see about the same queues, and so shed about the same.
func (m *Module) updateShed() {
	sum, count := 0.0, 0.0
	for _, server := range m.subset {
		if !server.ejected && m.judgedByCounts(server) {
			sum, count = sum+math.Max(0, math.Min(2*blockQueue, m.waitingPerSlot(server))), count+1
		}
	}
	if count == 0 {
		m.persistentShed = 0
		return
	}
	over := sum/count - highQueue/2
	m.persistentShed = math.Max(0, math.Min(1, m.persistentShed+shedIntegralGain*over*(m.now-m.periodAt).Seconds()))
	m.totalShed = math.Max(0, math.Min(1, m.persistentShed+shedProportionalGain*over))
}

// speedOf is a server's speed relative to the others by its size, or 1 if the size does not show it.
func (m *Module) speedOf(s *serverRecord) float64 {
	if m.settings.SizeKnown && !m.settings.SizeLive && s.Size > 0 {
		return s.Size
	}
	return 1
}
