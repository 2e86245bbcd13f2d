package decide

// The datagrams in which the nodes of a tier report to one another the servers' slots and their own attempts in flight.
// Other files decide by them.

import (
	"encoding/binary"
	"math"
	"slices"

	"starlingvalve/internal/gossip"
)

const (
	slotsMark  = 'l' // first byte of a slots report
	slotsSize  = 7   // its length in bytes: the mark, the server's id, the number of slots in eighths
	countMark  = 'n' // first byte of a report of all of a node's counts
	changeMark = 'c' // first byte of a report of the counts that have changed
	countSize  = 3   // bytes for each server in either: its tag, the number of attempts
	countMost  = 84  // servers in one datagram: datagrams hold 256 bytes
)

// peerReport is what another node last reported of its attempts in flight.
type told struct {
	at Time // when it last sent a report
	// When it last named a server of this node's subset that would be in no arc of minSubsetSize at its position: its
	// subset must be longer than that.
	longAt Time
	counts []count
}

// serverCount is the number of a node's attempts in flight at a server.
type count struct {
	server *server
	n      float64
}

// slotsReport encodes the number of a server's slots.
func slotsWord(id ServerID, slots float64) []byte {
	data := append(make([]byte, 0, slotsSize), slotsMark)
	data = binary.BigEndian.AppendUint32(data, uint32(id))
	return binary.BigEndian.AppendUint16(data, uint16(math.Min(math.MaxUint16, 8*slots)))
}

// messageReceived handles a datagram from another node. A forged one can do no more harm than a wrong load report of a
// server: it adds and removes no server, and its effect fades.
func (m *Module) heard(e MessageReceived) {
	switch {
	case e.From == m.set.Self || len(e.Data) == 0:
	case string(e.Data) == shortWord:
		m.heardShortAt = m.now
	case e.Data[0] == vouchAsk && len(e.Data) >= vouchHead && (len(e.Data)-vouchHead)%4 == 0:
		m.heardVouchAsk(e.From, e.Data)
	case e.Data[0] == vouchAnswer && len(e.Data) >= vouchAged && (len(e.Data)-vouchAged)%4 == 0:
		m.heardVouch(e.Data)
	case !m.shared():
	case len(e.Data) == slotsSize && e.Data[0] == slotsMark:
		if s := m.known[ServerID(binary.BigEndian.Uint32(e.Data[1:]))]; s != nil {
			m.learnSlots(s, float64(binary.BigEndian.Uint16(e.Data[5:]))/8)
		}
	case (len(e.Data)-1)%countSize != 0 || e.From < 0 || e.From >= m.set.Nodes:
	case e.Data[0] == countMark || e.Data[0] == changeMark:
		m.heardCounts(e.From, e.Data[1:], e.Data[0] == countMark)
	}
}

// applyCounts replaces the counts of another node by those that it reports: of all servers, or of those that it names.
func (m *Module) heardCounts(from int, data []byte, all bool) {
	if m.others == nil {
		m.others = make([]told, m.set.Nodes)
	}
	o := &m.others[from]
	if all {
		m.drop(o)
	}
	m.reckoning.Heard(m.now)
	for o.at = m.now; len(data) > 0; data = data[countSize:] {
		s, n := m.tagged(binary.BigEndian.Uint16(data), from), float64(data[2])
		if s == nil {
			continue
		}
		i := slices.IndexFunc(o.counts, func(c count) bool { return c.server == s })
		if i < 0 {
			i, o.counts = len(o.counts), append(o.counts, count{server: s})
		}
		if s.near && !gossip.Meets(gossip.Start(from, len(m.ring)), int(subsetLeast), m.placeOf(s), len(m.ring)) {
			o.longAt = m.now
		}
		s.others += n - o.counts[i].n
		o.counts[i].n = n
		m.place(s)
	}
}

// forgetCounts removes the counts that a node has reported.
func (m *Module) drop(o *told) {
	for _, c := range o.counts {
		c.server.others -= c.n
		m.place(c.server)
	}
	clear(o.counts)
	o.counts = o.counts[:0]
}

// countItem is this node's number of attempts at a server, as it is reported.
type item struct {
	place int // the server's index in the ring
	tag   uint16
	n     uint8
}

// sendCounts reports the counts of this node's attempts that have changed to the other nodes, and every
// fullCountsEvery reports all of them, as datagrams may be lost. It forgets the counts of nodes that have reported
// nothing for countsLifetime.
func (m *Module) tell() {
	if !m.shared() || m.now < m.tellAt {
		return
	}
	m.tellAt = m.now + m.jitter(countsEvery)
	all := m.words%wholeEvery == 0
	m.words++
	// The other nodes assume an arc of minSubsetSize. If this node's is longer, the full report names all its servers.
	long := len(m.near) > int(subsetLeast) && !m.whole
	m.items = m.items[:0]
	for i, s := range m.ring {
		if all && (s.n > 0 || long && s.near) || s.n != s.toldN {
			s.toldN = s.n
			m.items = append(m.items, item{i, s.tag(), uint8(math.Min(math.MaxUint8, s.n))})
		}
	}
	if m.whole {
		m.tellItems(&m.toldSome, all, func(item) bool { return true }, SendMessage{ToAll: true})
	} else {
		m.eachPeer(func(j int, meets func(place int) bool) {
			m.tellItems(&m.toldPeer[j], all, func(t item) bool { return meets(t.place) }, SendMessage{To: j})
		})
	}
	for i := range m.others {
		if o := &m.others[i]; len(o.counts) > 0 && m.now-o.at > countsLife {
			m.drop(o)
		}
	}
}

// sendItems sends the items that pass, in as many datagrams as they need. Of a full report only the first datagram is
// marked as such, as the next ones add to it. An empty full report is sent only if the receiver has earlier counts.
func (m *Module) tellItems(told *bool, all bool, pass func(item) bool, to SendMessage) {
	mark, some := byte(changeMark), false // some: an item has passed
	if all {
		mark = countMark
	}
	for _, t := range m.items {
		if !pass(t) {
			continue
		}
		if some = true; len(to.Data) > countSize*countMost {
			m.do(to)
			mark, to.Data = changeMark, nil // a report of changes adds to the full one
		}
		if to.Data == nil {
			to.Data = append(make([]byte, 0, 1+countSize*4), mark)
		}
		to.Data = append(binary.BigEndian.AppendUint16(to.Data, t.tag), t.n)
	}
	if !some && all && *told {
		to.Data = []byte{countMark}
	}
	if to.Data != nil {
		m.do(to)
	}
	*told = some || *told && !all
}

// eachPeer calls f with the nodes whose subsets have servers in common with this node's, and with a function that tells
// whether such a subset contains the server at an index of the ring. These are the nodes whose arcs, if of
// minSubsetSize, overlap this node's; and those that have lately reported of a server outside such an arc, with all
// servers, as the length of their arcs is not known. No other node needs this node's reports, and if each node sent
// reports to all, the number of messages would grow with the square of the number of nodes.
func (m *Module) eachPeer(f func(j int, meets func(place int) bool)) {
	ring, usual := len(m.ring), int(subsetLeast)
	if now := [2]int{ring, len(m.near)}; now != m.audienceOf {
		m.audienceOf = now
		clear(m.inAudience)
		for _, j := range gossip.Audience(m.set.Nodes, m.set.Self, ring, len(m.near), usual) {
			m.inAudience[j] = true
		}
	}
	for j, in := range m.inAudience {
		if m.others != nil && m.others[j].longAt > 0 && m.now-m.others[j].longAt <= 2*countsLife {
			f(j, func(int) bool { return true })
		} else if in {
			start := gossip.Start(j, ring)
			f(j, func(place int) bool { return gossip.Meets(start, usual, place, ring) })
		}
	}
}

// serverByTag is the server that a node means by a tag. If several servers have the tag, it is the first one after the
// beginning of that node's arc.
func (m *Module) tagged(tag uint16, from int) (best *server) {
	same, least := m.tags[tag], len(m.ring)
	if len(same) == 1 {
		return same[0]
	}
	for _, s := range same {
		if ahead := gossip.Ahead(from, m.placeOf(s), len(m.ring)); ahead < least {
			best, least = s, ahead
		}
	}
	return best
}

// ringIndex is the index of a server in the ring.
func (m *Module) placeOf(s *server) int {
	i, _ := slices.BinarySearchFunc(m.ring, s, byPlace)
	return i
}

// removeTag removes a server from those of its tag.
func (m *Module) untag(s *server) {
	if rest := slices.DeleteFunc(m.tags[s.tag()], func(t *server) bool { return t == s }); len(rest) > 0 {
		m.tags[s.tag()] = rest
	} else {
		delete(m.tags, s.tag())
	}
}

// othersAt is the number of the other nodes' attempts at a server: as they report, or, while reports are missing,
// estimated from this node's own attempts and its share of all.
func (m *Module) othersAt(s *server) float64 {
	if m.deaf {
		return m.reckoned
	}
	return s.others
}

// estimateOthers updates that estimate.
func (m *Module) reckon() {
	if !m.shared() || len(m.near) == 0 {
		return
	}
	own, others := 0.0, 0.0
	for _, s := range m.near {
		own, others = own+s.n, others+s.others
	}
	m.reckoning.Look(m.now, own, others)
	all, ok := m.reckoning.Others()
	m.deaf, m.reckoned = ok && m.reckoning.Deaf(m.now), all/float64(len(m.near))
}

// tag is the short id by which nodes refer to a server in their reports. Several servers may have the same.
func (s *server) tag() uint16 { return uint16(s.place >> 32) }
