package capacity

import (
	"context"
	"fmt"
	"time"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/rig/capacity/hollow"
)

const (
	partitionTime       = 2 * time.Minute // operators plan for an hour, but no state grows with the time
	oneWayPartitionTime = 30 * time.Second
)

// regions cuts the paths between the two regions, in both directions and in one, and restores them. Three of the five
// control machines are in the first region.
func (r *run) regions(ctx context.Context, s *Section) error {
	size, whole, oneWay := int(Design.Nodes), partitionTime, oneWayPartitionTime
	if r.Quick {
		size, whole, oneWay = 40, partitionTime/20, oneWayPartitionTime/10
	}
	if err := r.checkFits(controlMachines+2+size/maxHollowPerProcess, 0); err != nil {
		return err
	}
	site, err := r.openSite(ctx, serviceSize, true)
	if err != nil {
		return err
	}
	defer site.close()
	for have := 0; have < size; have += maxHollowPerProcess {
		if err := site.addHollow(min(maxHollowPerProcess, size-have)); err != nil {
			return err
		}
	}
	if err := site.awaitSessions(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, r.settleTime()); err != nil {
		return err
	}
	first, second := regionOf(zoneOf(0)), regionOf(zoneOf(1))
	for i, c := range []struct {
		name   string
		from   []string
		lasted time.Duration
	}{{"apart", []string{first, second}, whole}, {"oneway", []string{second}, oneWay}} {
		if err := r.partition(ctx, s, site, c.name, c.from, c.lasted, size, backendName(i)); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

// partition cuts the traffic from some regions to the others for a while and drains a backend in that time,
// through the side with the majority. It measures the drain on that side, and on all nodes once the paths are
// restored.
func (r *run) partition(ctx context.Context, s *Section, site *site, name string, from []string, lasted time.Duration,
	size int, backend string) error {
	if err := r.guard.awaitSteady(ctx, timesOfLog); err != nil {
		return err
	}
	r.guard.takeMaxDelay(timesOfLog)
	began := time.Now()
	for _, region := range from {
		site.cut(region, true)
	}
	what := hollow.ServerDrained(uint32(registry.ServerID(backend)))
	if err := propose(ctx, site.voters[0].client, drainEntry(fleet.ServerTarget(backend))); err != nil {
		return err
	}
	times, err := site.awaitKnown(ctx, what, size/regions)
	if err != nil {
		return err
	}
	last := time.Duration(0)
	for _, at := range times {
		last = max(last, at.Sub(began))
	}
	r.addUnlessDelayed(s, r.guard.takeMaxDelay(timesOfLog), name+".known.majority", last.Seconds()*1e3,
		"ms from the cut until a drain asked for at once is known at the last node of the majority's region")
	if err := sleep(ctx, lasted-time.Since(began)); err != nil {
		return err
	}
	totals, err := site.counts()
	if err != nil {
		return err
	}
	s.addFigure(r.Out, name+".lasted", time.Since(began).Seconds(), "s for which the paths were cut")
	s.addFigure(r.Out, name+".sessions", float64(totals.Live),
		fmt.Sprintf("hollow nodes that still have a session then, of %d", size))
	before, err := site.read(ctx)
	if err != nil {
		return err
	}
	if err := r.guard.awaitSteady(ctx, timesOfLog); err != nil {
		return err
	}
	r.guard.takeMaxDelay(timesOfLog)
	joined := time.Now()
	for _, region := range from {
		site.cut(region, false)
	}
	if times, err = site.awaitKnown(ctx, what, size); err != nil {
		return err
	}
	last = 0
	for _, at := range times {
		last = max(last, at.Sub(joined))
	}
	if err := site.awaitSessions(ctx); err != nil {
		return err
	}
	lived := time.Since(joined)
	after, err := site.read(ctx)
	if err != nil {
		return err
	}
	rates := ratesBetween(before, after, size)
	late := r.guard.takeMaxDelay(timesOfLog)
	r.addUnlessDelayed(s, late, name+".known.all", last.Seconds()*1e3,
		"ms from when the paths are whole until it is known at the last node")
	r.addUnlessDelayed(s, late, name+".live", lived.Seconds(), "s from then until all have a session")
	s.addFigure(r.Out, name+".node.bytes", rates.nodeBytes*rates.seconds,
		"bytes of a node in that time, in and out, with headers, the mean")
	s.addFigure(r.Out, name+".leader.processor", rates.leaderProcessor*rates.seconds,
		"s of the leader's processor time in that time")
	return nil
}

// addUnlessDelayed adds a time, or records it as missing if the machine was delayed while it was measured.
func (r *run) addUnlessDelayed(s *Section, late time.Duration, name string, value float64, unit string) {
	if late > timesOfLog.maxDelay() {
		r.guard.voidRuns.Add(1)
		s.addMissing(r.Out, name, errVoid)
		return
	}
	s.MaxDelay = max(s.MaxDelay, late)
	s.addFigure(r.Out, name, value, unit)
}
