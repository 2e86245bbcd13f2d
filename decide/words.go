package decide

// The datagrams by which nodes of a tier tell one another of the servers. What is made of them is decided elsewhere.

import (
	"encoding/binary"
	"math"
)

const (
	loadWord  = 'l' // first byte of a datagram with how many requests a server works on at once
	loadSize  = 7   // its bytes: the server's id, the number in eighths
	countWord = 'n' // first byte of a datagram with what a node has at servers,
	countSize = 3   // bytes for each: the server's tag, the number
	countMost = 84  // servers in one: datagrams hold 256 bytes
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
	data := append(make([]byte, 0, loadSize), loadWord)
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
	case len(e.Data) == loadSize && e.Data[0] == loadWord:
		if s := m.known[ServerID(binary.BigEndian.Uint32(e.Data[1:]))]; s != nil {
			m.learnSlots(s, float64(binary.BigEndian.Uint16(e.Data[5:]))/8)
		}
	case e.Data[0] == countWord && (len(e.Data)-1)%countSize == 0 && e.From >= 0 && e.From < m.set.Nodes:
		m.heardCounts(e.From, e.Data[1:])
	}
}

// heardCounts takes what another node has at servers, in place of what it said before.
func (m *Module) heardCounts(from int, data []byte) {
	if m.others == nil {
		m.others = make([]told, m.set.Nodes)
	}
	o := &m.others[from]
	m.drop(o)
	for o.at = m.now; len(data) > 0; data = data[countSize:] {
		if s := m.tags[binary.BigEndian.Uint16(data)]; s != nil {
			n := float64(data[2])
			s.others += n
			o.counts = append(o.counts, count{s, n})
			m.place(s)
		}
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

// tell says what this node has at servers, and forgets what nodes that have fallen silent said.
func (m *Module) tell() {
	if !m.shared() || m.now < m.tellAt {
		return
	}
	m.tellAt = m.now + m.jitter(countsEvery)
	data := append(make([]byte, 0, 1+countSize*8), countWord)
	for _, s := range m.ring {
		if s.n > 0 && len(data) <= countSize*countMost {
			data = append(binary.BigEndian.AppendUint16(data, s.tag()), uint8(math.Min(math.MaxUint8, s.n)))
		}
	}
	if len(data) > 1 || m.toldSome {
		m.do(SendMessage{ToAll: true, Data: data})
	}
	m.toldSome = len(data) > 1
	for i := range m.others {
		if o := &m.others[i]; len(o.counts) > 0 && m.now-o.at > countsLife {
			m.drop(o)
		}
	}
}

// tag is a server's short name among nodes.
func (s *server) tag() uint16 { return uint16(s.place >> 32) }
