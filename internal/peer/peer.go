// Package peer carries messages, such as load reports, between the nodes of a tier as UDP datagrams, which may be lost.
package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"starlingvalve/internal/pause"
)

const (
	// DatagramLimit is the length of the longest datagram, in bytes.
	DatagramLimit = 256
	// queueLength is the most datagrams that wait to be sent, enough for some reports to each node that shares a
	// server. Further ones are dropped.
	queueLength = 512
)

// datagram is one message in the queue, with its destination.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Peers sends datagrams to the other nodes, and receives theirs. A nil *Peers sends none.
type Peers struct {
	conn      *net.UDPConn
	nodes     []netip.AddrPort
	broadcast netip.AddrPort
	self      int
	sendQueue chan datagram
	gate      pause.Gate // shut while another process of this node sends and receives for it
	log       *slog.Logger
}

// New returns peers that use the socket conn. nodes has the address of each node of the tier, with this node at index
// self. broadcast, if it is valid, is one address that reaches every node.
func New(conn *net.UDPConn, nodes []netip.AddrPort, broadcast netip.AddrPort, self int, log *slog.Logger) *Peers {
	return &Peers{conn: conn, nodes: nodes, broadcast: broadcast, self: self,
		sendQueue: make(chan datagram, queueLength), log: log}
}

// SetActive starts or stops sending and receiving. While it is stopped, another process that has the same socket does
// both.
func (p *Peers) SetActive(on bool) {
	if p != nil {
		p.gate.SetOpen(on, p.conn.SetReadDeadline)
	}
}

// Send queues a datagram for the node with index to, or for all other nodes if toAll is set. It never blocks. The
// datagram is dropped if the queue is full, if it is longer than DatagramLimit, or while sending is stopped.
func (p *Peers) Send(to int, toAll bool, data []byte) {
	if p == nil || len(data) > DatagramLimit || p.gate.IsShut() {
		return
	}
	var dest []netip.AddrPort
	switch {
	case toAll && p.broadcast.IsValid():
		dest = []netip.AddrPort{p.broadcast}
	case toAll:
		for i, a := range p.nodes {
			if i != p.self {
				dest = append(dest, a)
			}
		}
	case to >= 0 && to < len(p.nodes):
		dest = p.nodes[to : to+1]
	}
	for _, a := range dest {
		select {
		case p.sendQueue <- datagram{a, data}:
		default:
		}
	}
}

// SendQueued sends the queued datagrams until ctx ends. Then it closes the socket, which ends Receive, too.
func (p *Peers) SendQueued(ctx context.Context) {
	defer p.gate.Release()
	defer p.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.sendQueue:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				p.log.Debug("datagram not sent", "to", d.to, "err", err)
			}
		}
	}
}

// Receive calls received with each datagram from another node of the tier, and with the index of that node, until the
// socket is closed. Datagrams from other addresses, and those longer than DatagramLimit, are dropped.
func (p *Peers) Receive(received func(from int, data []byte)) {
	nodeAt := map[netip.AddrPort]int{}
	for i, a := range p.nodes {
		nodeAt[a] = i
	}
	buf := make([]byte, DatagramLimit+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && p.gate.WaitAndRetry(err) {
			continue
		}
		if err != nil { // the destination of an earlier datagram refused it; go on, but avoid a busy loop
			time.Sleep(time.Millisecond)
			continue
		}
		i, known := nodeAt[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && i != p.self && n <= DatagramLimit {
			received(i, append([]byte(nil), buf[:n]...))
		}
	}
}
