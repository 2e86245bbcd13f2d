package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

// gatewayTrial is one run of load on two sites.
type gatewayTrial struct {
	sites    []*site
	load     [2]float64 // load of each site, as a multiple of its capacity
	capacity float64    // capacity of a site, in requests a second
	seed     uint64
	loads    [2][]*standin.Load
	sums     [2]standin.Sums
}

// run sends p.load to the two sites while during runs, then waits for the outstanding answers. Request IDs begin with
// prefix and the name of the client's site.
func (p *gatewayTrial) run(ctx context.Context, prefix string, during func(context.Context)) {
	inner, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i, times := range p.load {
		h := p.sites[i]
		nodes := h.nodes
		if i == 1 {
			nodes = nodes[:1] // the second node may be killed, so it serves hand-offs only
		}
		for n, node := range nodes {
			l := &standin.Load{Addr: node.addr, Classes: mediaClasses, Retries: 2, Prefix: fmt.Sprintf("%s-%s-%d-", prefix, h.name, n), KeepLog: true, Seed: p.seed + uint64(10*i+n)}
			for m, other := range nodes {
				if m != n {
					l.RetryAddrs = append(l.RetryAddrs, other.addr)
				}
			}
			p.loads[i] = append(p.loads[i], l)
			running.Go(func() { l.RunOpen(inner, times*p.capacity/float64(len(nodes)), 2000) })
		}
	}
	sleepFor(ctx, 2*time.Second) // time for the nodes to learn the servers' speed
	for i := range p.loads {
		for _, l := range p.loads[i] {
			l.ResetCounts()
		}
	}
	during(ctx)
	cancel()
	running.Wait()
	for i := range p.loads {
		for _, l := range p.loads[i] {
			s := l.Sums()
			t := &p.sums[i]
			t.Orders, t.InAim, t.OfferedWorth, t.ServedWorth, t.Failed, t.RefusedTries = t.Orders+s.Orders, t.InAim+s.InAim, t.OfferedWorth+s.OfferedWorth, t.ServedWorth+s.ServedWorth, t.Failed+s.Failed, t.RefusedTries+s.RefusedTries
		}
	}
}

// orders counts the requests of all clients, without their retries.
func (p *gatewayTrial) orders() (n int) {
	for i := range p.loads {
		for _, l := range p.loads[i] {
			n += l.Sums().Orders
		}
	}
	return n
}

// crossed counts requests that ran in another site than the one whose clients sent them.
func (p *gatewayTrial) crossed() (n int) {
	for i := range p.sites {
		n += executedForOtherSite(p.sites, i)
	}
	return n
}

// judge prints the verdicts on the logs of all clients and servers.
func (p *gatewayTrial) judge(out *report) {
	e := p.evidence()
	out.verdicts(append(standin.Check(e), standin.CheckAccounted(e)))
}

// keyedCrossed counts keyed requests that reached a server of the other site.
func (p *gatewayTrial) keyedCrossed() (n int) {
	for i, h := range p.sites {
		for _, x := range h.fleet.executions() {
			if x.Key != "" && strings.Contains(x.ID, p.sites[1-i].name) {
				n++
			}
		}
	}
	return n
}

// executedForOtherSite counts the requests of the other site's clients that ran at servers of site i.
func executedForOtherSite(sites []*site, i int) (n int) {
	for _, x := range sites[i].fleet.executions() {
		if x.Ran && strings.Contains(x.ID, sites[1-i].name) {
			n++
		}
	}
	return n
}

// evidence collects the logs of all clients, servers and registries.
func (p *gatewayTrial) evidence() standin.Evidence {
	e := standin.Evidence{Classes: mediaClasses}
	for i, h := range p.sites {
		e.Executions = append(e.Executions, h.fleet.executions()...)
		e.Notifications = append(e.Notifications, h.fleet.registry.Notifications()...)
		for _, l := range p.loads[i] {
			e.Answers = append(e.Answers, l.Log()...)
		}
	}
	return e
}
