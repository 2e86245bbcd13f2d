package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"
)

const (
	datagramLimit = 256 // bytes
	datagramQueue = 64  // datagrams that wait to be sent; more are lost, as datagrams may be
)

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peers carries datagrams between nodes. A nil *peers carries none.
type peers struct {
	conn  *net.UDPConn
	nodes []netip.AddrPort
	all   netip.AddrPort
	self  int
	queue chan datagram
	log   *slog.Logger
}

func listenPeers(c *Config, log *slog.Logger) (*peers, error) {
	if !c.PeerListen.IsValid() || !c.Settings.MayMessage {
		return nil, nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &peers{conn: conn, nodes: c.Peers, all: c.PeersAll, self: c.Settings.Self, queue: make(chan datagram, datagramQueue), log: log}, nil
}

// send never blocks.
func (p *peers) send(to int, toAll bool, data []byte) {
	if p == nil || len(data) > datagramLimit {
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

// write sends what is queued until ctx ends, and then ends read too.
func (p *peers) write(ctx context.Context) {
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

// read hands on what nodes of the tier say. Anything else is dropped.
func (p *peers) read(heard func(from int, data []byte)) {
	number := map[netip.AddrPort]int{}
	for i, a := range p.nodes {
		number[a] = i
	}
	buf := make([]byte, datagramLimit+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier datagram's refusal: no reason to stop, nor to spin
			time.Sleep(time.Millisecond)
			continue
		}
		i, known := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && i != p.self && n <= datagramLimit {
			heard(i, append([]byte(nil), buf[:n]...))
		}
	}
}
