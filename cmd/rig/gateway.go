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
	overloadFactor  = 1.5  // load of the overloaded site, as a multiple of its capacity
	lightLoadFactor = 0.4  // load of the other site, as a multiple of its capacity
	minGain         = 1.4  // least ratio of the overloaded site's worth with the link to its worth without
	maxHarm         = 0.02 // most by which the other site's own worth may fall
)

// oneOverloaded is the load of each site as a multiple of its capacity.
var oneOverloaded = [2]float64{overloadFactor, lightLoadFactor}

// evenSites is the number of servers of each site.
var evenSites = [2]int{siteServers, siteServers}

// gatewayRig overloads one of two sites while the other has spare capacity. It compares the worth with and without a link
// between them, then breaks the link in many ways and checks that no promise is broken.
func gatewayRig(ctx context.Context, o *options) error {
	cuts, requests, doublings := o.cuts, o.requests, 6 // a break lasts 50 ms, doubled up to five times
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	steady := 15 * time.Second
	if o.quick {
		cuts, requests, steady, doublings = 10, 3000, 3*time.Second, 3
	}
	if err := o.measureHop(ctx, w); err != nil {
		return fmt.Errorf("hop: %w", err)
	}
	capacity := siteServers * siteCores / meanWork()
	var worth, inTime [2][2]float64 // by link (off, on) and site
	for on := range 2 {
		sites, err := openSites(ctx, w, on == 1, evenSites, siteCores)
		if err != nil {
			return err
		}
		p := &gatewayTrial{sites: sites, capacity: capacity, seed: o.seed, load: oneOverloaded}
		p.run(ctx, fmt.Sprintf("calm%d", on), func(ctx context.Context) { sleepFor(ctx, steady) })
		for i := range sites {
			worth[on][i], inTime[on][i] = p.sums[i].WorthFraction(), float64(p.sums[i].InAim)/float64(max(1, p.sums[i].Orders))
			o.out.figure(fmt.Sprintf("gateway.calm.link=%v.%s.worth", on == 1, sites[i].name), worth[on][i], "of the worth offered")
			o.out.figure(fmt.Sprintf("gateway.calm.link=%v.%s.refused", on == 1, sites[i].name), p.sums[i].RefusedTries, "attempts")
		}
		if on == 1 {
			o.out.figure("gateway.calm.crossed", p.crossed(), "requests of one site that ran in the other")
			o.out.promise(p.crossed() > 0, "calm: the overloaded site hands off requests")
			p.judge(o.out)
		}
		closeSites(sites)
	}
	gain := worth[1][0] / max(worth[0][0], 1e-9)
	o.out.figure("gateway.calm.gain", gain, "times the worth without the link, at the overloaded site")
	o.out.figure("gateway.calm.gain.most", 1/max(worth[0][0], 1e-9), "times, if all were answered in time")
	o.out.figure("gateway.calm.gain.orders", inTime[1][0]/max(inTime[0][0], 1e-9), "times the requests answered in time")
	o.out.promise(gain >= minGain, "calm: worth at least %.1f times that without the link", minGain)
	o.out.promise(worth[1][1] >= worth[0][1]-maxHarm, "calm: the other site's own worth falls by at most %.2f: %.3f, %.3f without the link", maxHarm, worth[1][1], worth[0][1])

	if err := o.runOtherLoads(ctx, w, capacity, steady/2); err != nil {
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
	o.out.figure("gateway.cuts.orders", p.orders(), "requests")
	o.out.figure("gateway.cuts.crossed", p.crossed(), "requests of one site that ran in the other")
	for i, h := range sites {
		o.out.figure("gateway.cuts."+h.name+".worth", p.sums[i].WorthFraction(), "of the worth offered")
		o.out.figure("gateway.cuts."+h.name+".failed", p.sums[i].Failed, "requests")
	}
	statuses := map[string]int{}
	for _, a := range p.evidence().Answers {
		if a.Status != 200 {
			statuses[fmt.Sprintf("%s.%d", a.Class, a.Status)]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		o.out.figure("gateway.cuts.tries."+name, statuses[name], "attempts that ended with this status")
	}
	o.out.promise(p.crossed() > 0, "cuts: requests cross the link")
	o.out.promise(p.keyedCrossed() == 0, "cuts: no keyed request crosses, whichever node its client tries next: %d did", p.keyedCrossed())
	o.out.promise(total >= cuts && p.orders() >= requests, "cuts: %d requests and %d cuts at least", requests, cuts)
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

// runOtherLoads runs cases other than a broken link: both sites overloaded at once, with and without the link, and a link
// that is up but too slow for any deadline. The second site's clients use only one of its nodes. The other node refuses
// nothing, and must not accept hand-offs for servers that the first node needs for its own clients.
func (o *options) runOtherLoads(ctx context.Context, w *workspace, capacity float64, length time.Duration) error {
	var alone [2]float64
	for _, c := range []struct {
		name  string
		link  bool
		load  [2]float64
		delay time.Duration // each way
	}{{"both-short-alone", false, [2]float64{overloadFactor, overloadFactor}, 0}, {"both-short", true, [2]float64{overloadFactor, overloadFactor}, time.Millisecond},
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
			o.out.figure("gateway."+c.name+"."+h.name+".worth", p.sums[i].WorthFraction(), "of the worth offered")
			switch c.name {
			case "both-short-alone":
				alone[i] = p.sums[i].WorthFraction()
			case "both-short":
				o.out.promise(p.sums[i].WorthFraction() >= alone[i]-maxHarm, "both overloaded: the worth of %s is as without the link: %.3f, %.3f without", h.name,
					p.sums[i].WorthFraction(), alone[i])
			}
		}
		p.judge(o.out)
		closeSites(sites)
	}
	return ctx.Err()
}

// meanWork returns the mean work of a request over all classes, in seconds of a core.
func meanWork() (seconds float64) {
	work := mediaWork(1)
	for _, c := range mediaClasses {
		seconds += c.Share * work[c.Name].Time.Seconds()
	}
	return seconds
}

// sleepFor waits for d or until ctx ends.
func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
