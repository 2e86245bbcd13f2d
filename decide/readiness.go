package decide

import (
	"encoding/binary"
	"time"
)

// Readiness queries between nodes. A node whose list has expired, or soon will, asks other nodes which
// servers of its subset are ready, and how old that knowledge is. A server that another node confirms may
// be used for as long as the list of that node may. A readiness report also shows that discovery answers
// and is only overloaded, where calls that fail after a wait look like an outage. A report never adds a
// server, and a server that this node's own list has as draining is not used. Where lists are pushed, there
// are no such queries: what one node's agent has says nothing of what another one's has.

const (
	queryMark       = 'q' // first byte of a readiness query
	readinessMark   = 'v' // first byte of a readiness report
	maxQueryServers = 60  // servers in one datagram, at most
	// Bytes of a query before its server ids: the mark and the query's number.
	queryHeaderSize = 2
	// Bytes of a report before its server ids: the mark, the query's number and the age of what it says.
	readinessHeaderSize = 4
	readinessAgeUnit    = 10 * time.Millisecond // unit of that age
	peersPerQuery       = 2                     // nodes to which one query is sent

	queryInterval     = 250 * time.Millisecond // mean interval between two queries
	queryIntervalDown = time.Second            // the same while discovery seems to be down
	queryAhead        = 2 * time.Second        // queries begin so long before the list expires
	maxReadinessAge   = 4 * time.Second        // greatest age of knowledge that a node still reports
	minReadyTime      = 7 * time.Second        // a reported server has been ready, and watched, for this time
	// Discovery is back if it has answered some node this long after it went down.
	downMargin = 50 * time.Millisecond
)

// serverUsable tells whether a server may be used now: by the list, or by another node's readiness report.
func (m *Module) serverUsable(s *serverRecord) bool {
	return m.ListUsable() || s.peerConfirmed && m.now < s.peerConfirmedAt+m.listLifetime()
}

// serverUsableFor is how long a server may still be used, and thus an attempt may wait for its connection;
// 0: without limit.
func (m *Module) serverUsableFor(s *serverRecord) time.Duration {
	until := m.usableUntil()
	if until >= forever {
		return 0
	}
	if s.peerConfirmed {
		until = max(until, s.peerConfirmedAt+m.listLifetime())
	}
	return max(until-m.now, 1)
}

// HasUsableServers tells whether there may be a server that may be used: by the list, or by a readiness
// report.
func (m *Module) HasUsableServers() bool {
	return m.ListUsable() || m.now < m.peerConfirmedUntil
}

// placeByListAge updates the pools after a change of what may be used by the age of the list.
func (m *Module) placeByListAge() {
	if usable := m.ListUsable(); usable != m.placedUsable || !usable {
		m.placedUsable = usable
		for _, s := range m.subset {
			m.placeInPool(s)
		}
	}
}

// noticeUsable updates the pools if time alone has made the list usable since the last tick.
func (m *Module) noticeUsable() {
	if !m.placedUsable && m.ListUsable() {
		m.placeByListAge()
	}
}

// queryPeers sends readiness queries for servers of the subset to other nodes while the list is about to
// expire or has expired.
func (m *Module) queryPeers() {
	if m.listLifetime() == 0 || !m.settings.MayMessage || m.settings.Nodes < 2 || m.now < m.nextQueryAt {
		return
	}
	if !m.listAge.down && m.usableUntil()-m.now > queryAhead {
		return
	}
	interval := queryInterval
	if m.listAge.down {
		interval = queryIntervalDown
	}
	m.nextQueryAt = m.now + m.jitter(interval)
	m.queriedAt = m.now
	m.queryNumber++
	data := []byte{queryMark, m.queryNumber}
	start := int(m.random() * float64(len(m.subset)))
	for i := range min(len(m.subset), maxQueryServers) {
		data = binary.BigEndian.AppendUint32(data, uint32(m.subset[(start+i)%len(m.subset)].ID))
	}
	for range peersPerQuery {
		to := (m.settings.Self + 1 + int(m.random()*float64(m.settings.Nodes-1))) % m.settings.Nodes
		m.emit(SendMessage{To: to, Data: data})
	}
}

// answerReadinessQuery answers another node's readiness query. If discovery has answered this node within
// maxReadinessAge, and it has had an open watch for minReadyTime, the report names the queried servers that
// have been ready for minReadyTime. The delay keeps the order of events: the other node must not count as
// notified that a server is back before it counts as notified of the drain before that. An answer must be
// recent, as a watch that sends nothing may have stalled. Otherwise the report says only that discovery
// answers some node, if that is known.
func (m *Module) answerReadinessQuery(from int, data []byte) {
	age := &m.listAge
	at := age.answeredAnyAt
	listed := m.subscribed && !age.watchStalled && m.now-age.answeredAt <= maxReadinessAge
	if listed {
		at = age.answeredAt
	}
	if m.listLifetime() == 0 || !m.settings.MayMessage || m.now-at > maxReadinessAge {
		return
	}
	answer := []byte{readinessMark, data[1]}
	answer = binary.BigEndian.AppendUint16(answer, uint16((m.now-at+readinessAgeUnit-1)/readinessAgeUnit))
	listed = listed && m.now-m.subscribedAt >= minReadyTime
	for ids := data[queryHeaderSize:]; listed && len(ids) >= 4; ids = ids[4:] {
		server := m.known[ServerID(binary.BigEndian.Uint32(ids))]
		if server != nil && server.State == Ready && m.now-server.readySince >= minReadyTime {
			answer = append(answer, ids[:4]...)
		}
	}
	m.emit(SendMessage{To: from, Data: answer})
}

// applyReadiness applies a report of another node that answers the latest query. The time for which the
// report holds is the time of the query less the reported age. This is the earliest possible time, however
// long the messages took.
func (m *Module) applyReadiness(from int, data []byte) {
	if m.listLifetime() == 0 || data[1] != m.queryNumber || m.queriedAt == 0 {
		return
	}
	at := m.queriedAt - time.Duration(binary.BigEndian.Uint16(data[queryHeaderSize:]))*readinessAgeUnit
	m.listAge.answeredOther(at)
	for ids := data[readinessHeaderSize:]; len(ids) >= 4; ids = ids[4:] {
		server := m.known[ServerID(binary.BigEndian.Uint32(ids))]
		if server == nil || server.peerConfirmed && server.peerConfirmedAt >= at {
			continue
		}
		server.peerConfirmed, server.peerConfirmedAt, server.peerConfirmedBy = true, at, from
		m.peerConfirmedUntil = max(m.peerConfirmedUntil, at+m.listLifetime())
		m.placeInPool(server)
	}
}
