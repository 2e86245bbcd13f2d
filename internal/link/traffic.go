package link

import (
	"context"
	"maps"
	"sync"

	"github.com/quic-go/quic-go"
)

// Traffic counts what the connections of a node to the other nodes of its fleet have carried since its start. Bytes
// are UDP payloads, without IP and UDP headers.
type Traffic struct {
	DatagramsOut uint64 `json:"datagrams_out"`
	DatagramsIn  uint64 `json:"datagrams_in"`
	BytesOut     uint64 `json:"bytes_out"`
	BytesIn      uint64 `json:"bytes_in"`
	// Calls is the number of calls that this node made and that were answered, by kind.
	Calls map[uint64]uint64 `json:"calls,omitempty"`
}

// traffic adds up the counters of the open connections and of those that have ended. The zero value is ready to use.
type traffic struct {
	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
	ended Traffic // sums over the connections that have ended; and all calls
}

// track includes a connection, and adds its final counters to the sums when it ends.
func (t *traffic) track(conn *quic.Conn) {
	t.mu.Lock()
	if t.conns == nil {
		t.conns = map[*quic.Conn]struct{}{}
	}
	t.conns[conn] = struct{}{}
	t.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, conn)
		t.ended.add(conn)
	})
}

// countCall counts an answered call.
func (t *traffic) countCall(kind uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended.Calls == nil {
		t.ended.Calls = map[uint64]uint64{}
	}
	t.ended.Calls[kind]++
}

// sum returns the totals so far.
func (t *traffic) sum() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.ended
	all.Calls = maps.Clone(t.ended.Calls)
	for conn := range t.conns {
		all.add(conn)
	}
	return all
}

// add adds the counters of a connection.
func (t *Traffic) add(conn *quic.Conn) {
	s := conn.ConnectionStats()
	t.DatagramsOut += s.PacketsSent
	t.DatagramsIn += s.PacketsReceived
	t.BytesOut += s.BytesSent
	t.BytesIn += s.BytesReceived
}

// Traffic returns the totals over all connections so far: those that this node opened and those that it accepted.
func (c *Calls) Traffic() Traffic { return c.traffic.sum() }
