package decide

import (
	"encoding/binary"
	"time"
)

// Readiness queries between nodes. A node whose list has expired, or soon will, asks other nodes which
// servers of its subset are ready, and how old that knowledge is. A server that another node confirms may
// be used for as long as the list of that node may. A readiness report also shows that discovery answers
// and is only overloaded, where calls that fail after a wait look like an outage. A report never adds a
// server, and a server that this node's own list has as draining is not used.

const (
	vouchAsk    = 'q' // first byte of a readiness query
	vouchAnswer = 'v' // first byte of a readiness report
	vouchIDs    = 60  // servers in one datagram, at most
	vouchHead   = 2   // bytes of a query before its server ids: the mark and the query's number
	vouchAged   = 4   // bytes of a report before its server ids: the mark, the query's number and the age
	vouchUnit   = 10 * time.Millisecond // unit of that age
	vouchPeers  = 2 // nodes to which one query is sent

	vouchEvery     = 250 * time.Millisecond // mean interval between two queries
	vouchEveryDown = time.Second            // the same while discovery seems to be down
	vouchAhead     = 2 * time.Second        // queries begin so long before the list expires
	vouchOldest    = 4 * time.Second        // greatest age of knowledge that a node still reports
	vouchSettled   = 7 * time.Second        // a reported server has been ready, and watched, for this time
	// Discovery is back if it has answered some node this long after it went down.
	downMargin = 50 * time.Millisecond
)

// serverUsable tells whether a server may be used now: by the list, or by another node's readiness report.
func (m *Module) usableServer(s *server) bool {
	return m.Usable() || s.vouched && m.now < s.vouchedAt+m.bound()
}

// serverUsableFor is how long a server may still be used, and thus an attempt may wait for its connection;
// 0: without limit.
func (m *Module) usableServerFor(s *server) time.Duration {
	until := m.usableUntil()
	if until >= forever {
		return 0
	}
	if s.vouched {
		until = max(until, s.vouchedAt+m.bound())
	}
	return max(until-m.now, 1)
}

// HasUsableServers tells whether there may be a server that may be used: by the list, or by a readiness
// report.
func (m *Module) UsableServers() bool {
	return m.Usable() || m.now < m.vouchedUntil
}

// placeByListAge updates the pools after a change of what may be used by the age of the list.
func (m *Module) placeByAge() {
	if usable := m.Usable(); usable != m.placedUsable || !usable {
		m.placedUsable = usable
		for _, s := range m.near {
			m.place(s)
		}
	}
}

// noticeUsable updates the pools if time alone has made the list usable since the last tick.
func (m *Module) noticeUsable() {
	if !m.placedUsable && m.Usable() {
		m.placeByAge()
	}
}

// queryPeers sends readiness queries for servers of the subset to other nodes while the list is about to
// expire or has expired.
func (m *Module) askPeers() {
	if m.bound() == 0 || !m.set.MayMessage || m.set.Nodes < 2 || m.now < m.vouchAskAt {
		return
	}
	if !m.listAge.down && m.usableUntil()-m.now > vouchAhead {
		return
	}
	every := vouchEvery
	if m.listAge.down {
		every = vouchEveryDown
	}
	m.vouchAskAt = m.now + m.jitter(every)
	m.vouchAskedAt = m.now
	m.vouchNumber++
	data := []byte{vouchAsk, m.vouchNumber}
	start := int(m.random() * float64(len(m.near)))
	for i := range min(len(m.near), vouchIDs) {
		data = binary.BigEndian.AppendUint32(data, uint32(m.near[(start+i)%len(m.near)].ID))
	}
	for range vouchPeers {
		to := (m.set.Self + 1 + int(m.random()*float64(m.set.Nodes-1))) % m.set.Nodes
		m.do(SendMessage{To: to, Data: data})
	}
}

// answerReadinessQuery answers another node's readiness query. If discovery has answered this node within
// maxReadinessAge, and it has had an open watch for minReadyTime, the report names the queried servers that
// have been ready for minReadyTime. The delay keeps the order of events: the other node must not count as
// notified that a server is back before it counts as notified of the drain before that. An answer must be
// recent, as a watch that sends nothing may have stalled. Otherwise the report says only that discovery
// answers some node, if that is known.
func (m *Module) heardVouchAsk(from int, data []byte) {
	a := &m.listAge
	at := a.answeringAt
	listed := m.subscribed && !a.silent && m.now-a.answeredAt <= vouchOldest
	if listed {
		at = a.answeredAt
	}
	if m.bound() == 0 || !m.set.MayMessage || m.now-at > vouchOldest {
		return
	}
	answer := []byte{vouchAnswer, data[1]}
	answer = binary.BigEndian.AppendUint16(answer, uint16((m.now-at+vouchUnit-1)/vouchUnit))
	listed = listed && m.now-m.subscribedAt >= vouchSettled
	for ids := data[vouchHead:]; listed && len(ids) >= 4; ids = ids[4:] {
		s := m.known[ServerID(binary.BigEndian.Uint32(ids))]
		if s != nil && s.State == Ready && m.now-s.readySince >= vouchSettled {
			answer = append(answer, ids[:4]...)
		}
	}
	m.do(SendMessage{To: from, Data: answer})
}

// applyReadiness applies a report that answers the latest query. The time for which the report holds is the
// time of the query less the reported age. This is the earliest possible time, however long the messages
// took.
func (m *Module) heardVouch(data []byte) {
	if m.bound() == 0 || data[1] != m.vouchNumber || m.vouchAskedAt == 0 {
		return
	}
	at := m.vouchAskedAt - time.Duration(binary.BigEndian.Uint16(data[vouchHead:]))*vouchUnit
	m.listAge.answersOthers(at)
	for ids := data[vouchAged:]; len(ids) >= 4; ids = ids[4:] {
		s := m.known[ServerID(binary.BigEndian.Uint32(ids))]
		if s == nil || s.vouched && s.vouchedAt >= at {
			continue
		}
		s.vouched, s.vouchedAt = true, at
		m.vouchedUntil = max(m.vouchedUntil, at+m.bound())
		m.place(s)
	}
}
