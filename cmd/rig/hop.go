package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"starlingvalve/internal/standin"
)

// measureHop measures the cost of a hand-off to another site. The first site's only server is closed, so that all its
// requests cross the link.
func (o *options) measureHop(ctx context.Context, w *workspace) error {
	sites, err := openSites(ctx, w, true, [2]int{1, siteServers}, 64)
	if err != nil {
		return err
	}
	defer closeSites(sites)
	work := map[string]standin.Work{scaleClass.Name: {Time: time.Millisecond, Bytes: answerBytes}}
	sites[1].fleet.setWork(work)
	sites[0].fleet.servers[0].Close()
	length := 4 * time.Second
	if o.quick {
		length = time.Second
	}
	measure := func(n *node, conns int) standin.Sums {
		ctx, cancel := context.WithTimeout(ctx, length+2*time.Second)
		defer cancel()
		l := &standin.Load{Addr: n.addr, Classes: []standin.Class{scaleClass}, Retries: 2, Prefix: fmt.Sprintf("hop%d-%s-", conns, n.addr), Seed: o.seed}
		time.AfterFunc(2*time.Second, l.ResetCounts)
		l.RunClosed(ctx, conns, 100*time.Millisecond)
		return l.Sums()
	}
	for _, wire := range sites[1].wires {
		wire.Delay(0)
	}
	trip, err := roundTrip()
	if err != nil {
		return err
	}
	o.out.figure("gateway.hop.wire", float64(trip)/1e6, "ms, the round trip of a datagram through the stand-in for the link, median")
	local, crossing := measure(sites[1].nodes[0], 1), measure(sites[0].nodes[0], 1)
	for _, q := range []float64{0.5, 0.99} {
		delay := crossing.Times.Quantile(q) - local.Times.Quantile(q) - trip
		o.out.figure(fmt.Sprintf("gateway.hop.added.p%.0f", 100*q), float64(delay)/1e6, "ms beyond the time of a local request and the round trip of the link")
	}
	o.out.figure("gateway.hop.served", fmt.Sprintf("%d of %d", crossing.Served, crossing.Orders), "requests, one connection")
	carried := func() (datagrams, bytes int64) {
		for _, wire := range sites[1].wires {
			d, b := wire.Carried()
			datagrams, bytes = datagrams+d, bytes+b
		}
		return datagrams, bytes
	}
	d0, b0 := carried()
	cpu0, ran0 := sites[0].nodes[0].cpu(), ranInSecond(sites)
	s := measure(sites[0].nodes[0], 64)
	d1, b1 := carried()
	ran := ranInSecond(sites) - ran0
	if ran > 0 {
		o.out.figure("gateway.hop.rate", float64(s.Served)/length.Seconds(), "requests/s over 64 connections")
		o.out.figure("gateway.hop.cpu", float64(sites[0].nodes[0].cpu()-cpu0)/float64(ran)/1e3, "us of the sending node's core for each hand-off")
		o.out.figure("gateway.hop.bytes", (b1-b0)/int64(ran), "bytes for each hand-off, both ways, with an answer of 2 KiB")
		o.out.figure("gateway.hop.datagrams", float64(d1-d0)/float64(ran), "datagrams for each hand-off, both ways")
	}
	o.out.promise(crossing.Served > 0 && ran > 0, "hop: requests cross")
	return nil
}

// ranInSecond counts executions in the second site, whichever site received the request.
func ranInSecond(sites []*site) (n int) { return len(sites[1].fleet.executions()) }

// roundTrip measures the median round trip time of a datagram through a wire to an echo server and back.
func roundTrip() (time.Duration, error) {
	echo, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer echo.Close()
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := echo.ReadFrom(buf)
			if err != nil {
				return
			}
			echo.WriteTo(buf[:n], from)
		}
	}()
	wire, err := standin.NewWire(echo.LocalAddr().String())
	if err != nil {
		return 0, err
	}
	defer wire.Close()
	c, err := net.Dial("udp", wire.Addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	var times standin.Times
	buf := make([]byte, 1200)
	for range 200 {
		began := time.Now()
		c.SetDeadline(began.Add(time.Second))
		if _, err := c.Write(buf); err != nil {
			return 0, err
		}
		if _, err := c.Read(buf); err != nil {
			return 0, err
		}
		times.Add(time.Since(began))
		time.Sleep(time.Millisecond)
	}
	return times.Quantile(0.5), nil
}
