// Package peer carries datagrams between the nodes of a tier.
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
	// DatagramLimit is the longest datagram, in bytes.
	DatagramLimit = 256
	datagramQueue = 512 // datagrams that wait to be sent, some words to each of those who meet the same servers; more are lost
)

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Peers carries datagrams between nodes. A nil *Peers carries none.
type Peers struct {
	conn  *net.UDPConn
	nodes []netip.AddrPort
	all   netip.AddrPort
	self  int
	queue chan datagram
	gate  pause.Gate // shut: another process of this node speaks for it
	log   *slog.Logger
}

// New begins to carry datagrams on a socket. nodes has one address for each node of the tier, this one's own at self; all, if
// it is valid, reaches every node.
func New(conn *net.UDPConn, nodes []netip.AddrPort, all netip.AddrPort, self int, log *slog.Logger) *Peers {
	return &Peers{conn: conn, nodes: nodes, all: all, self: self, queue: make(chan datagram, datagramQueue), log: log}
}

// Speak has datagrams sent and heard, or left to another process that has the socket too.
func (p *Peers) Speak(on bool) {
	if p != nil {
		p.gate.Set(on, p.conn.SetReadDeadline)
	}
}

// Send never blocks.
func (p *Peers) Send(to int, toAll bool, data []byte) {
	if p == nil || len(data) > DatagramLimit || p.gate.Shut() {
		return
	}
	var dest []netip.AddrPort
	switch {
	case toAll && p.all.IsValid():
		dest = []netip.AddrPort{p.all}
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
		case p.queue <- datagram{a, data}:
		default:
		}
	}
}

// Write sends what is queued until ctx ends, and then ends Read too.
func (p *Peers) Write(ctx context.Context) {
	defer p.gate.End()
	defer p.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.queue:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				p.log.Debug("datagram not sent", "to", d.to, "err", err)
			}
		}
	}
}

// Read hands on what nodes of the tier say. Anything else is dropped.
func (p *Peers) Read(heard func(from int, data []byte)) {
	number := map[netip.AddrPort]int{}
	for i, a := range p.nodes {
		number[a] = i
	}
	buf := make([]byte, DatagramLimit+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && p.gate.Retry(err) {
			continue
		}
		if err != nil { // an earlier datagram's refusal: no reason to stop, nor to spin
			time.Sleep(time.Millisecond)
			continue
		}
		i, known := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && i != p.self && n <= DatagramLimit {
			heard(i, append([]byte(nil), buf[:n]...))
		}
	}
}
