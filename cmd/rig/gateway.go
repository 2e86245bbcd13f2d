package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	overload  = 1.5  // times its capacity: what the overloaded site is sent
	lightLoad = 0.4  // times its capacity: what the other site is sent
	leastGain = 1.4  // worth with the link over worth without it, at the overloaded site
	mostHarm  = 0.02 // by which the other site's own worth may fall
)

var oneOverloaded = [2]float64{overload, lightLoad}

var evenSites = [2]int{siteServers, siteServers}

// gatewayRig overloads one site beside one that has spare capacity, with a link between them that breaks.
func gatewayRig(ctx context.Context, o *options) error {
	cuts, requests, doublings := o.cuts, o.requests, 6 // breaks of 50 ms, doubled up to five times
	w, err := newWorkshop(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	steady := 15 * time.Second
	if o.quick {
		cuts, requests, steady, doublings = 10, 3000, 3*time.Second, 3
	}
	if err := o.hop(ctx, w); err != nil {
		return fmt.Errorf("hop: %w", err)
	}
	capacity := siteServers * siteCores / meanWork()
	var worth, inTime [2][2]float64 // by link off or on, by site
	for on := range 2 {
		sites, err := openSites(ctx, w, on == 1, evenSites, siteCores)
		if err != nil {
			return err
		}
		p := &gatewayTrial{sites: sites, capacity: capacity, seed: o.seed, load: oneOverloaded}
		p.run(ctx, fmt.Sprintf("calm%d", on), func(ctx context.Context) { sleepFor(ctx, steady) })
		for i := range sites {
			worth[on][i], inTime[on][i] = p.sums[i].WorthFraction(), float64(p.sums[i].InAim)/float64(max(1, p.sums[i].Orders))
			o.out.figure(fmt.Sprintf("gateway.calm.link=%v.%s.worth", on == 1, sites[i].name), worth[on][i], "of what was asked")
			o.out.figure(fmt.Sprintf("gateway.calm.link=%v.%s.refused", on == 1, sites[i].name), p.sums[i].RefusedTries, "tries")
		}
		if on == 1 {
			o.out.figure("gateway.calm.crossed", p.crossed(), "requests of one site that ran in the other")
			o.out.promise(p.crossed() > 0, "calm: the overloaded site hands work over")
			p.judge(o.out)
		}
		closeSites(sites)
	}
	gain := worth[1][0] / max(worth[0][0], 1e-9)
	o.out.figure("gateway.calm.gain", gain, "times the worth without the link, at the overloaded site")
	o.out.figure("gateway.calm.gain.most", 1/max(worth[0][0], 1e-9), "times, if all were answered in time")
	o.out.figure("gateway.calm.gain.orders", inTime[1][0]/max(inTime[0][0], 1e-9), "times the orders answered in time")
	o.out.promise(gain >= leastGain, "calm: worth at least %.1f times that without the link", leastGain)
	o.out.promise(worth[1][1] >= worth[0][1]-mostHarm, "calm: the other site's own worth falls by %.2f at most: %.3f, %.3f without", mostHarm, worth[1][1], worth[0][1])

	if err := o.odd(ctx, w, capacity, steady/2); err != nil {
		return err
	}
	sites, err := openSites(ctx, w, true, evenSites, siteCores)
	if err != nil {
		return err
	}
	defer closeSites(sites)
	p := &gatewayTrial{sites: sites, capacity: capacity, seed: o.seed + 1, load: oneOverloaded}
	kinds := map[string]int{}
	p.run(ctx, "cuts", func(ctx context.Context) {
		r := rand.New(rand.NewPCG(o.seed, 0x63757473))
		for i := 0; ctx.Err() == nil && (i < cuts || p.orders() < requests); i++ {
			kinds[breakLink(ctx, w, r, sites[1], i, doublings)]++
		}
		sleepFor(ctx, 2*time.Second)
	})
	if err := ctx.Err(); err != nil {
		return err
	}
	total := 0
	for kind, n := range kinds {
		o.out.figure("gateway.cuts."+kind, n, "times")
		total += n
	}
	o.out.figure("gateway.cuts", total, "times that the link broke")
	o.out.figure("gateway.cuts.orders", p.orders(), "orders")
	o.out.figure("gateway.cuts.crossed", p.crossed(), "requests of one site that ran in the other")
	for i, h := range sites {
		o.out.figure("gateway.cuts."+h.name+".worth", p.sums[i].WorthFraction(), "of what was asked")
		o.out.figure("gateway.cuts."+h.name+".failed", p.sums[i].Failed, "orders")
	}
	statuses := map[string]int{}
	for _, a := range p.evidence().Answers {
		if a.Status != 200 {
			statuses[fmt.Sprintf("%s.%d", a.Class, a.Status)]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		o.out.figure("gateway.cuts.tries."+name, statuses[name], "tries that ended so")
	}
	o.out.promise(p.crossed() > 0, "cuts: work crosses")
	o.out.promise(p.keysAbroad() == 0, "cuts: no keyed request crosses, whichever node its client asks next: %d did", p.keysAbroad())
	o.out.promise(total >= cuts && p.orders() >= requests, "cuts: %d orders and %d cuts at least", requests, cuts)
	for _, h := range sites {
		for i, n := range h.nodes {
			select {
			case <-n.ended:
				o.out.promise(false, "node %d of %s runs on: %v\n%s", i, h.name, n.err, n.log.String())
			default:
			}
		}
	}
	p.judge(o.out)
	return nil
}

// odd runs what no cut is: both sites overloaded at once, with and without the link, and a link that is up and too slow
// for any deadline. The second site's clients use one of its nodes only: the other, which refuses nobody, must not take
// foreign work to the servers that the first one lacks.
func (o *options) odd(ctx context.Context, w *workshop, capacity float64, length time.Duration) error {
	var alone [2]float64
	for _, c := range []struct {
		name  string
		link  bool
		load  [2]float64
		delay time.Duration // each way
	}{{"both-short-alone", false, [2]float64{overload, overload}, 0}, {"both-short", true, [2]float64{overload, overload}, time.Millisecond},
		{"too-slow", true, oneOverloaded, 12 * time.Second}} {
		sites, err := openSites(ctx, w, c.link, evenSites, siteCores)
		if err != nil {
			return err
		}
		for _, h := range sites {
			for _, wire := range h.wires {
				wire.Delay(c.delay)
			}
		}
		p := &gatewayTrial{sites: sites, capacity: capacity, seed: o.seed + 2, load: c.load}
		p.run(ctx, c.name, func(ctx context.Context) { sleepFor(ctx, length) })
		o.out.figure("gateway."+c.name+".crossed", p.crossed(), "requests of one site that ran in the other")
		for i, h := range sites {
			o.out.figure("gateway."+c.name+"."+h.name+".worth", p.sums[i].WorthFraction(), "of what was asked")
			switch c.name {
			case "both-short-alone":
				alone[i] = p.sums[i].WorthFraction()
			case "both-short":
				o.out.promise(p.sums[i].WorthFraction() >= alone[i]-mostHarm, "both overloaded: the requests of %s fare as without the link: %.3f, %.3f without", h.name,
					p.sums[i].WorthFraction(), alone[i])
			}
		}
		p.judge(o.out)
		closeSites(sites)
	}
	return ctx.Err()
}

func meanWork() (seconds float64) {
	work := kampklipWork(1)
	for _, c := range kampklip {
		seconds += c.Share * work[c.Name].Time.Seconds()
	}
	return seconds
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
