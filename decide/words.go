package decide

// The datagrams by which nodes of a tier tell one another of the servers. What is made of them is decided elsewhere.

import (
	"encoding/binary"
	"math"
	"slices"
)

const (
	slotsMark  = 'l' // first byte of a datagram with how many requests a server works on at once
	slotsSize  = 7   // its bytes: the server's id, the number in eighths
	countMark  = 'n' // first byte of a datagram with what a node has at servers,
	changeMark = 'c' // and of one with those that have changed;
	countSize  = 3   // bytes for each: the server's tag, the number
	countMost  = 84  // servers in one: datagrams hold 256 bytes
)

// told is what another node last said that it has at servers.
type told struct {
	at     Time
	counts []count
}

type count struct {
	server *server
	n      float64
}

// slotsWord says how many requests a server works on at once.
func slotsWord(id ServerID, slots float64) []byte {
	data := append(make([]byte, 0, slotsSize), slotsMark)
	data = binary.BigEndian.AppendUint32(data, uint32(id))
	return binary.BigEndian.AppendUint16(data, uint16(math.Min(math.MaxUint16, 8*slots)))
}

// heard takes a datagram from another node. One that is forged can do no more than a server's own wrong report: no server
// is taken in or out for it, and it fades.
func (m *Module) heard(e MessageReceived) {
	switch {
	case e.From == m.set.Self || len(e.Data) == 0:
	case string(e.Data) == shortWord:
		m.heardShortAt = m.now
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

// heardCounts takes what another node has at servers, in place of what it said before: of all servers, or of those that
// it names.
func (m *Module) heardCounts(from int, data []byte, all bool) {
	if m.others == nil {
		m.others = make([]told, m.set.Nodes)
	}
	o := &m.others[from]
	if all {
		m.drop(o)
	}
	for o.at = m.now; len(data) > 0; data = data[countSize:] {
		s, n := m.tags[binary.BigEndian.Uint16(data)], float64(data[2])
		if s == nil {
			continue
		}
		i := slices.IndexFunc(o.counts, func(c count) bool { return c.server == s })
		if i < 0 {
			i, o.counts = len(o.counts), append(o.counts, count{server: s})
		}
		s.others += n - o.counts[i].n
		o.counts[i].n = n
		m.place(s)
	}
}

// drop forgets what a node said.
func (m *Module) drop(o *told) {
	for _, c := range o.counts {
		c.server.others -= c.n
		m.place(c.server)
	}
	clear(o.counts)
	o.counts = o.counts[:0]
}

// tell says what has changed of what this node has at servers, and now and then all of it, as words are lost. It forgets
// what nodes that have fallen silent said.
func (m *Module) tell() {
	if !m.shared() || m.now < m.tellAt {
		return
	}
	m.tellAt = m.now + m.jitter(countsEvery)
	all := m.words%wholeEvery == 0
	data := append(make([]byte, 0, 1+countSize*8), changeMark)
	if all {
		data[0] = countMark
	}
	for _, s := range m.ring {
		if len(data) <= countSize*countMost && (all && s.n > 0 || s.n != s.toldN) {
			data, s.toldN = append(binary.BigEndian.AppendUint16(data, s.tag()), uint8(math.Min(math.MaxUint8, s.n))), s.n
		}
	}
	some := len(data) > 1
	if some || all && m.toldSome {
		m.do(SendMessage{ToAll: true, Data: data})
	}
	m.words, m.toldSome = m.words+1, some || m.toldSome && !all
	for i := range m.others {
		if o := &m.others[i]; len(o.counts) > 0 && m.now-o.at > countsLife {
			m.drop(o)
		}
	}
}

// tag is a server's short name among nodes.
func (s *server) tag() uint16 { return uint16(s.place >> 32) }
