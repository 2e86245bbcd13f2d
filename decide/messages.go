package decide

// The datagrams in which the nodes of a tier report to one another the servers' slots and their own attempts in flight.
// The other files decide what follows from them.

import (
	"encoding/binary"
	"math"
	"slices"

	"starlingvalve/internal/gossip"
)

const (
	slotsReportMark   = 'l' // first byte of a slots report
	slotsReportSize   = 7   // its length in bytes: the mark, the server's id, the number of slots in eighths
	fullCountsMark    = 'n' // first byte of a report of all of a node's counts
	changedCountsMark = 'c' // first byte of a report of the counts that have changed
	countSize         = 3   // bytes for each server in either: its tag, the number of attempts
	maxCounts         = 84  // servers in one datagram: datagrams hold 256 bytes
)

// peerReport is what another node last reported of its attempts in flight.
type peerReport struct {
	at Time // when it last sent a report
	// When it last named a server of this node's subset that would be in no arc of minSubsetSize at its position: its
	// subset must be longer than that.
	longArcAt Time
	counts    []serverCount
}

// serverCount is the number of a node's attempts in flight at a server.
type serverCount struct {
	server *serverRecord
	n      float64
}

// slotsReport encodes the number of a server's slots.
func slotsReport(id ServerID, slots float64) []byte {
	data := append(make([]byte, 0, slotsReportSize), slotsReportMark)
	data = binary.BigEndian.AppendUint32(data, uint32(id))
	return binary.BigEndian.AppendUint16(data, uint16(math.Min(math.MaxUint16, 8*slots)))
}

// messageReceived handles a datagram from another node. A forged one can do no more harm than a wrong load report of a
// server: it adds and removes no server, and its effect fades.
func (m *Module) messageReceived(message MessageReceived) {
	switch {
	case message.From == m.settings.Self || len(message.Data) == 0:
	case string(message.Data) == overloadNotice:
		m.peerOverloadedAt = m.now
	case message.Data[0] == queryMark && len(message.Data) >= queryHeaderSize &&
		(len(message.Data)-queryHeaderSize)%4 == 0:
		m.answerReadinessQuery(message.From, message.Data)
	case message.Data[0] == readinessMark && len(message.Data) >= readinessHeaderSize &&
		(len(message.Data)-readinessHeaderSize)%4 == 0:
		m.applyReadiness(message.From, message.Data)
	case !m.sharesLoad():
	case len(message.Data) == slotsReportSize && message.Data[0] == slotsReportMark:
		if server := m.known[ServerID(binary.BigEndian.Uint32(message.Data[1:]))]; server != nil {
			m.learnSlots(server, float64(binary.BigEndian.Uint16(message.Data[5:]))/8)
		}
	case (len(message.Data)-1)%countSize != 0 || message.From < 0 || message.From >= m.settings.Nodes:
	case message.Data[0] == fullCountsMark || message.Data[0] == changedCountsMark:
		m.applyCounts(message.From, message.Data[1:], message.Data[0] == fullCountsMark)
	}
}

// applyCounts replaces the counts of another node by those that it reports: of all servers, or of those that it names.
func (m *Module) applyCounts(from int, data []byte, all bool) {
	if m.peerReports == nil {
		m.peerReports = make([]peerReport, m.settings.Nodes)
	}
	report := &m.peerReports[from]
	if all {
		m.forgetCounts(report)
	}
	m.othersEstimate.MessageReceived(m.now)
	for report.at = m.now; len(data) > 0; data = data[countSize:] {
		server, attempts := m.serverByTag(binary.BigEndian.Uint16(data), from), float64(data[2])
		if server == nil {
			continue
		}
		index := slices.IndexFunc(report.counts, func(c serverCount) bool { return c.server == server })
		if index < 0 {
			index, report.counts = len(report.counts), append(report.counts, serverCount{server: server})
		}
		if server.inSubset && !gossip.SubsetContains(gossip.Start(from, len(m.ring)), int(minSubsetSize),
			m.ringIndex(server), len(m.ring)) {
			report.longArcAt = m.now
		}
		server.othersInFlight += attempts - report.counts[index].n
		report.counts[index].n = attempts
		m.placeInPool(server)
	}
}

// forgetCounts removes the counts that a node has reported.
func (m *Module) forgetCounts(report *peerReport) {
	for _, c := range report.counts {
		c.server.othersInFlight -= c.n
		m.placeInPool(c.server)
	}
	clear(report.counts)
	report.counts = report.counts[:0]
}

// countItem is this node's number of attempts at a server, as it is reported.
type countItem struct {
	ringIndex int // the server's index in the ring
	tag       uint16
	n         uint8
}

// sendCounts reports the counts of this node's attempts that have changed to the other nodes, and every
// fullCountsEvery reports all of them, as datagrams may be lost. It forgets the counts of nodes that have reported
// nothing for countsLifetime.
func (m *Module) sendCounts() {
	if !m.sharesLoad() || m.now < m.nextCountsAt {
		return
	}
	m.nextCountsAt = m.now + m.jitter(countsInterval)
	all := m.countsSent%fullCountsEvery == 0
	m.countsSent++
	// The other nodes assume an arc of minSubsetSize. If this node's is longer, the full report names all its servers.
	long := len(m.subset) > int(minSubsetSize) && !m.subsetIsRing
	m.countItems = m.countItems[:0]
	for i, server := range m.ring {
		if all && (server.n > 0 || long && server.inSubset) || server.n != server.announcedN {
			server.announcedN = server.n
			m.countItems = append(m.countItems, countItem{i, server.tag(), uint8(math.Min(math.MaxUint8, server.n))})
		}
	}
	if m.subsetIsRing {
		m.sendItems(&m.announcedSome, all, func(countItem) bool { return true }, SendMessage{ToAll: true})
	} else {
		m.eachPeer(func(node int, contains func(index int) bool) {
			m.sendItems(&m.announcedSomeTo[node], all, func(t countItem) bool { return contains(t.ringIndex) },
				SendMessage{To: node})
		})
	}
	for i := range m.peerReports {
		if report := &m.peerReports[i]; len(report.counts) > 0 && m.now-report.at > countsLifetime {
			m.forgetCounts(report)
		}
	}
}

// sendItems sends the items that pass, in as many datagrams as they need. Of a full report only the first datagram is
// marked as such, as the next ones add to it. An empty full report is sent only if the receiver has earlier counts.
func (m *Module) sendItems(announced *bool, all bool, pass func(countItem) bool, to SendMessage) {
	mark, anyPassed := byte(changedCountsMark), false
	if all {
		mark = fullCountsMark
	}
	for _, item := range m.countItems {
		if !pass(item) {
			continue
		}
		if anyPassed = true; len(to.Data) > countSize*maxCounts {
			m.emit(to)
			mark, to.Data = changedCountsMark, nil // a report of changes adds to the full one
		}
		if to.Data == nil {
			to.Data = append(make([]byte, 0, 1+countSize*4), mark)
		}
		to.Data = append(binary.BigEndian.AppendUint16(to.Data, item.tag), item.n)
	}
	if !anyPassed && all && *announced {
		to.Data = []byte{fullCountsMark}
	}
	if to.Data != nil {
		m.emit(to)
	}
	*announced = anyPassed || *announced && !all
}

// eachPeer calls f with the nodes whose subsets have servers in common with this node's, and with a function that tells
// whether such a subset contains the server at an index of the ring. These are the nodes whose arcs, if of
// minSubsetSize, overlap this node's; and those that have lately reported of a server outside such an arc, with all
// servers, as the length of their arcs is not known. No other node needs this node's reports, and if each node sent
// reports to all, the number of messages would grow with the square of the number of nodes.
func (m *Module) eachPeer(f func(node int, contains func(index int) bool)) {
	ring, usual := len(m.ring), int(minSubsetSize)
	if sizes := [2]int{ring, len(m.subset)}; sizes != m.audienceSizes {
		m.audienceSizes = sizes
		clear(m.inAudience)
		for _, node := range gossip.Audience(m.settings.Nodes, m.settings.Self, ring, len(m.subset), usual) {
			m.inAudience[node] = true
		}
	}
	for node, overlaps := range m.inAudience {
		if m.peerReports != nil && m.peerReports[node].longArcAt > 0 &&
			m.now-m.peerReports[node].longArcAt <= 2*countsLifetime {
			f(node, func(int) bool { return true })
		} else if overlaps {
			start := gossip.Start(node, ring)
			f(node, func(index int) bool { return gossip.SubsetContains(start, usual, index, ring) })
		}
	}
}

// serverByTag is the server that a node means by a tag. If several servers have the tag, it is the first one after the
// beginning of that node's arc.
func (m *Module) serverByTag(tag uint16, from int) (best *serverRecord) {
	servers, least := m.tags[tag], len(m.ring)
	if len(servers) == 1 {
		return servers[0]
	}
	for _, s := range servers {
		if ahead := gossip.DistanceFromStart(from, m.ringIndex(s), len(m.ring)); ahead < least {
			best, least = s, ahead
		}
	}
	return best
}

// ringIndex is the index of a server in the ring.
func (m *Module) ringIndex(s *serverRecord) int {
	i, _ := slices.BinarySearchFunc(m.ring, s, byRingKey)
	return i
}

// removeTag removes a server from those of its tag.
func (m *Module) removeTag(s *serverRecord) {
	if rest := slices.DeleteFunc(m.tags[s.tag()], func(t *serverRecord) bool { return t == s }); len(rest) > 0 {
		m.tags[s.tag()] = rest
	} else {
		delete(m.tags, s.tag())
	}
}

// othersAt is the number of the other nodes' attempts at a server: as they report, or, while reports are missing,
// estimated from this node's own attempts and its share of all.
func (m *Module) othersAt(s *serverRecord) float64 {
	if m.reportsMissing {
		return m.estimatedOthers
	}
	return s.othersInFlight
}

// estimateOthers updates that estimate.
func (m *Module) estimateOthers() {
	if !m.sharesLoad() || len(m.subset) == 0 {
		return
	}
	own, others := 0.0, 0.0
	for _, s := range m.subset {
		own, others = own+s.n, others+s.othersInFlight
	}
	m.othersEstimate.Observe(m.now, own, others)
	all, ok := m.othersEstimate.EstimateOthers()
	m.reportsMissing, m.estimatedOthers = ok && m.othersEstimate.ReportsStale(m.now), all/float64(len(m.subset))
}

// tag is the short id by which nodes refer to a server in their reports. Several servers may have the same.
func (s *serverRecord) tag() uint16 { return uint16(s.ringKey >> 32) }
