package capacity

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/rig/capacity/hollow"
	"starlingvalve/internal/standin"
)

// drainResult holds the times of one drain.
type drainResult struct {
	granted time.Duration // from the request until the answer that grants it
	last    time.Duration // from the request until the last hollow node has stopped
	proven  time.Duration // from the grant's log entry to the proof's, by the leader's timestamps
	each    standin.Times // from the request until each node has stopped
}

// propose proposes an entry under a new random id, and returns an error unless it was applied.
func propose(ctx context.Context, d *control.APIClient, e *fleetpb.Entry) error {
	e.Ask = rand.Text()
	res, err := d.Propose(ctx, e)
	if err != nil {
		return err
	}
	if res.Code != fleetpb.Result_DONE {
		return fmt.Errorf("%v: %s", res.Code, res.Reason)
	}
	return nil
}

func drainEntry(target string) *fleetpb.Entry {
	return &fleetpb.Entry{What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{Target: target, By: "capacity"}}}
}

func returnEntry(target string) *fleetpb.Entry {
	return &fleetpb.Entry{What: &fleetpb.Entry_Return{Return: &fleetpb.Return{Target: target, By: "capacity"}}}
}

// drain drains a backend that is not drained yet, through the given machine, and waits until all hollow nodes know
// it.
func (s *site) drain(ctx context.Context, through *machine, backend string, nodes int) (result drainResult, err error) {
	began := time.Now()
	if err := propose(ctx, through.client, drainEntry(fleet.ServerTarget(backend))); err != nil {
		return result, fmt.Errorf("drain of %s: %w", backend, err)
	}
	result.granted = time.Since(began)
	times, err := s.awaitKnown(ctx, hollow.ServerDrained(uint32(registry.ServerID(backend))), nodes)
	if err != nil {
		return result, err
	}
	for _, at := range times {
		result.last = max(result.last, at.Sub(began))
		result.each.Add(at.Sub(began))
	}
	return result, nil
}

// awaitKnown waits until something is known at the given number of hollow nodes, and returns the time of each.
func (s *site) awaitKnown(ctx context.Context, what string, nodes int) ([]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, knownWait)
	defer cancel()
	for {
		var all []time.Time
		for _, p := range s.hollow {
			k, err := p.Known(what)
			if err != nil {
				return nil, err
			}
			all = append(all, k.Times...)
		}
		if len(all) >= nodes {
			return all, nil
		}
		if err := sleep(ctx, knownPoll); err != nil {
			return nil, fmt.Errorf("%s: known at %d of %d nodes: %w", what, len(all), nodes, err)
		}
	}
}

// awaitProof waits until a drain is proven, which means all nodes have stopped sending to the backend, and returns
// the time between its grant and its proof by the leader's own timestamps. It polls seldom, because for each poll
// the leader encodes its whole state.
func (s *site) awaitProof(ctx context.Context, through *machine, backend string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, knownWait)
	defer cancel()
	target := fleet.ServerTarget(backend)
	for {
		state, err := through.client.State(ctx)
		if err != nil {
			return 0, err
		}
		if o := state.Outs[target]; o != nil && o.ProvenMs > 0 {
			return time.Duration(o.ProvenMs-o.GrantedMs) * time.Millisecond, nil
		}
		if err := sleep(ctx, proofPoll); err != nil {
			return 0, fmt.Errorf("%s is not proven: %w", target, err)
		}
	}
}

// drains measures single drains: the times until they are granted, until the last node has stopped, and until that
// is proven.
func (r *run) drains(ctx context.Context, s *Section, site *site, size, count int, next *int, slopes *slopePoints) error {
	var granted, each, last, proven, looked standin.Times
	for range count {
		var result drainResult
		backend, through := "", (*machine)(nil)
		late, err := r.guard.runUndelayed(ctx, "drain", timesOfLog, maxRepeats, func() (err error) {
			backend, through = backendName(*next), site.voters[*next%controlMachines]
			*next++
			if result, err = site.drain(ctx, through, backend, size); err == nil {
				result.proven, err = site.awaitProof(ctx, through, backend)
			}
			return err
		}, func() error { return propose(ctx, through.client, returnEntry(fleet.ServerTarget(backend))) })
		if errors.Is(err, errVoid) {
			fmt.Fprintln(r.Out, err)
			continue
		}
		if err != nil {
			return err
		}
		s.MaxDelay = max(s.MaxDelay, late)
		granted.Add(result.granted)
		last.Add(result.last)
		proven.Add(result.proven)
		each.Merge(result.each)
	}
	if last.Count() == 0 {
		s.addMissing(r.Out, fmt.Sprintf("%d.drain", size), errVoid)
		s.addMissing(r.Out, "drain", errVoid)
		return nil
	}
	milliseconds := func(t standin.Times, q float64) float64 { return t.Quantile(q).Seconds() * 1e3 }
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"drain.granted.p50", milliseconds(granted, 0.5)},
		{"drain.granted.worst", milliseconds(granted, 1)},
		{"drain.known.each.p50", milliseconds(each, 0.5)},
		{"drain.known.each.p99", milliseconds(each, 0.99)},
		{"drain.known.last.p50", milliseconds(last, 0.5)},
		{"drain.known.last.worst", milliseconds(last, 1)},
		{"drain.proven.p50", milliseconds(proven, 0.5)},
		{"drain.proven.worst", milliseconds(proven, 1)},
	} {
		s.addFigure(r.Out, fmt.Sprintf("%d.%s", size, f.name), f.value, "ms")
		slopes.add(f.name, "ms", float64(size), f.value)
	}
	if r.Quick {
		return nil
	}
	// The method of the agreement rig: the whole state is requested every 5 ms until it holds the proof.
	for range count / 2 {
		backend := backendName(*next)
		*next++
		leader, err := site.leader(ctx)
		if err != nil {
			return err
		}
		took, err := site.proofByPolling(ctx, site.voters[leader], backend)
		if err != nil {
			return err
		}
		looked.Add(took)
	}
	s.addFigure(r.Out, fmt.Sprintf("%d.drain.looked.p50", size), milliseconds(looked, 0.5),
		"ms, the whole state asked for each 5 ms")
	slopes.add("drain.looked.p50", "ms, the whole state asked for each 5 ms", float64(size), milliseconds(looked, 0.5))
	return nil
}

const statePollInterval = 5 * time.Millisecond

// proofByPolling drains a backend, requests the whole state every statePollInterval until it holds the proof, and
// returns the time that this took.
func (s *site) proofByPolling(ctx context.Context, through *machine, backend string) (time.Duration, error) {
	target, began := fleet.ServerTarget(backend), time.Now()
	if err := propose(ctx, through.client, drainEntry(target)); err != nil {
		return 0, err
	}
	for {
		state, err := through.client.State(ctx)
		if err != nil {
			return 0, err
		}
		if o := state.Outs[target]; o != nil && o.ProvenMs > 0 {
			took := time.Since(began)
			return took, propose(ctx, through.client, returnEntry(target))
		}
		if err := sleep(ctx, statePollInterval); err != nil {
			return 0, err
		}
	}
}
