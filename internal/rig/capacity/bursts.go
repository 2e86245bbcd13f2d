package capacity

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/rig/capacity/hollow"
	"starlingvalve/internal/standin"
)

// bursts returns the numbers of changes that are made within burstLength; the last is the design's.
func (r *run) bursts() []int {
	if r.Quick {
		return []int{10}
	}
	return []int{10, 30, burstSize}
}

// burstResult is the result of a burst of drains.
type burstResult struct {
	each, last standin.Times
	refused    int // drains that were not granted within burstWait
	unknown    int // drains that were granted, but not known at all nodes within burstWait
	rates      usageRates
}

// burst drains count backends within burstLength, through all control machines in turn, and adds the figures.
func (r *run) burst(ctx context.Context, s *Section, site *site, size, count int, next *int) error {
	var result burstResult
	first := 0
	name := fmt.Sprintf("%d.burst%d", size, count)
	late, err := r.guard.runUndelayed(ctx, name, timesOfLog, burstRepeats, func() (err error) {
		first = *next
		*next += count
		result, err = site.drainBurst(ctx, size, first, count)
		return err
	}, func() error {
		for i := range count { // ending a drain that was not granted is refused, which is no error here
			if err := site.endDrain(ctx, backendName(first+i), i%controlMachines); err != nil {
				return err
			}
		}
		return site.awaitSessions(ctx)
	})
	if errors.Is(err, errVoid) {
		s.addMissing(r.Out, name, err)
		return nil
	}
	if err != nil {
		return err
	}
	s.MaxDelay = max(s.MaxDelay, late)
	for _, f := range []struct {
		name  string
		value float64
		unit  string
	}{
		{"changes", float64(count) / burstLength.Seconds(), "drains/s, for 10 s"},
		{"refused", float64(result.refused), "drains without a grant within a minute"},
		{"unknown", float64(result.unknown), "granted drains that were not known at each node within a minute"},
		{"known.each.p50", result.each.Quantile(0.5).Seconds() * 1e3, "ms"},
		{"known.each.p99", result.each.Quantile(0.99).Seconds() * 1e3, "ms"},
		{"known.last.p50", result.last.Quantile(0.5).Seconds() * 1e3, "ms"},
		{"known.last.worst", result.last.Quantile(1).Seconds() * 1e3, "ms"},
		{"leader.processor", result.rates.leaderProcessor, "cores"},
		{"leader.bytes", result.rates.leaderBytes, "bytes/s in and out, with headers"},
		{"follower.processor", result.rates.followerProcessor, "cores"},
		{"node.processor", result.rates.nodeProcessor, "cores, of a hollow node"},
		{"node.bytes", result.rates.nodeBytes, "bytes/s in and out, with headers"},
		{"entries", result.rates.entries, "entries/s of the log"},
	} {
		s.addFigure(r.Out, name+"."+f.name, f.value, f.unit)
	}
	return nil
}

// drainBurst drains backends one after the other, evenly over burstLength, and waits until all hollow nodes know
// each drain.
func (s *site) drainBurst(ctx context.Context, nodes, first, count int) (result burstResult, err error) {
	before, err := s.read(ctx)
	if err != nil {
		return result, err
	}
	within, cancel := context.WithTimeout(ctx, burstWait)
	defer cancel()
	began, errs := make([]time.Time, count), make([]error, count)
	var work sync.WaitGroup
	for i := range count {
		began[i] = time.Now()
		work.Go(func() {
			errs[i] = propose(within, s.voters[i%controlMachines].client,
				drainEntry(fleet.ServerTarget(backendName(first+i))))
		})
		if err := sleep(ctx, burstLength/time.Duration(count)); err != nil {
			return result, err
		}
	}
	work.Wait()
	after, err := s.read(ctx)
	if err != nil {
		return result, err
	}
	result.rates = ratesBetween(before, after, nodes)
	for i := range count {
		if errs[i] != nil {
			result.refused++
			continue
		}
		times, err := s.awaitKnown(within, hollow.ServerDrained(uint32(registry.ServerID(backendName(first+i)))), nodes)
		if errors.Is(err, context.DeadlineExceeded) {
			result.unknown++
			continue
		}
		if err != nil {
			return result, err
		}
		slices.SortFunc(times, time.Time.Compare)
		result.last.Add(times[len(times)-1].Sub(began[i]))
		for _, at := range times {
			result.each.Add(at.Sub(began[i]))
		}
	}
	return result, nil
}

// endDrain ends a drain, if there is one.
func (s *site) endDrain(ctx context.Context, backend string, through int) error {
	e := returnEntry(fleet.ServerTarget(backend))
	e.Ask = rand.Text()
	_, err := s.voters[through].client.Propose(ctx, e)
	return err
}
