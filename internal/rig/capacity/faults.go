package capacity

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"starlingvalve/internal/fleet"
)

const (
	faultDrains = 2 * (1 + maxRepeats) // maximum number of backends that are drained during faults
	stopTime    = 30 * time.Second     // for which a control machine is stopped
)

// faults makes parts of the fleet fail while all hollow nodes have a session, and measures drains and recovery.
func (r *run) faults(ctx context.Context, s *Section, site *site, size int, next *int) error {
	name := fmt.Sprintf("%d.fault.", size)
	if err := r.leaderKilled(ctx, s, site, name, size, next); err != nil {
		return fmt.Errorf("leader killed: %w", err)
	}
	if err := r.followerStopped(ctx, s, site, name, size, next); err != nil {
		return fmt.Errorf("control machine stopped: %w", err)
	}
	for _, f := range []struct {
		name string
		hits func(zone string) bool
	}{
		{"zone", func(zone string) bool { return zone == zoneOf(0) }},
		{"region", func(zone string) bool { return regionOf(zone) == regionOf(zoneOf(0)) }},
	} {
		if err := r.restartNodes(ctx, s, site, name+f.name, f.hits); err != nil {
			return fmt.Errorf("nodes of a %s restarted: %w", f.name, err)
		}
	}
	return nil
}

// drainDuringFault drains a backend during a fault and returns the time from the failure until the last node knows
// the drain.
func (s *site) drainDuringFault(ctx context.Context, size int, next *int, through *machine,
	failed time.Time) (time.Duration, error) {
	backend := backendName(*next)
	*next++
	requestedAt := time.Now()
	d, err := s.drain(ctx, through, backend, size)
	if err != nil {
		return 0, err
	}
	return d.last + requestedAt.Sub(failed), propose(ctx, through.client, returnEntry(fleet.ServerTarget(backend)))
}

const drainDuringFaultUnit = "ms from the failure until a drain asked for at once is known at the last node"

// leaderKilled kills the leader's process and starts it again.
func (r *run) leaderKilled(ctx context.Context, s *Section, site *site, name string, size int, next *int) error {
	var at int
	var last, back time.Duration
	late, err := r.guard.runUndelayed(ctx, "leader killed", timesOfLog, maxRepeats, func() (err error) {
		if at, err = site.leader(ctx); err != nil {
			return err
		}
		failed := time.Now()
		site.voters[at].kill()
		last, err = site.drainDuringFault(ctx, size, next, site.voters[(at+1)%controlMachines], failed)
		return err
	}, func() (err error) {
		if site.voters[at], err = site.startMachine(site.voters[at].name, site.folder, true); err != nil {
			return err
		}
		began := time.Now()
		if err := site.awaitCaughtUp(ctx, site.voters[at]); err != nil {
			return err
		}
		back = time.Since(began)
		return site.awaitSessions(ctx)
	})
	if errors.Is(err, errVoid) {
		s.addMissing(r.Out, name+"leader", err)
		return nil
	}
	if err != nil {
		return err
	}
	s.MaxDelay = max(s.MaxDelay, late)
	s.addFigure(r.Out, name+"leader.drain.known.last", last.Seconds()*1e3, drainDuringFaultUnit)
	s.addFigure(r.Out, name+"leader.back", back.Seconds()*1e3, "ms from the start of its process until it follows")
	return nil
}

// awaitCaughtUp waits until a machine has applied all entries that the leader had applied when the wait began.
func (s *site) awaitCaughtUp(ctx context.Context, m *machine) error {
	at, err := s.leader(ctx)
	if err != nil {
		return err
	}
	want, err := s.voters[at].client.Status(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		h, err := m.client.Status(ctx)
		if err == nil && h.Applied >= want.Applied && h.Leader != "" {
			return nil
		}
		if err := sleep(ctx, readyPoll); err != nil {
			return fmt.Errorf("%s has applied %d of %d entries: %w", m.name, h.Applied, want.Applied, err)
		}
	}
}

// followerStopped stops a follower's process with SIGSTOP for a while and lets it continue.
func (r *run) followerStopped(ctx context.Context, s *Section, site *site, name string, size int, next *int) error {
	length := stopTime
	if r.Quick {
		length /= 10
	}
	var stopped *machine
	var failed time.Time
	var last, back time.Duration
	late, err := r.guard.runUndelayed(ctx, "control machine stopped", timesOfLog, maxRepeats, func() error {
		at, err := site.leader(ctx)
		if err != nil {
			return err
		}
		stopped, failed = site.voters[(at+1)%controlMachines], time.Now()
		if err := stopped.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		last, err = site.drainDuringFault(ctx, size, next, site.voters[at], failed)
		return err
	}, func() error {
		if err := sleep(ctx, length-time.Since(failed)); err != nil {
			return err
		}
		if err := stopped.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		began := time.Now()
		if err := site.awaitCaughtUp(ctx, stopped); err != nil {
			return err
		}
		back = time.Since(began)
		return site.awaitSessions(ctx)
	})
	if errors.Is(err, errVoid) {
		s.addMissing(r.Out, name+"machine", err)
		return nil
	}
	if err != nil {
		return err
	}
	s.MaxDelay = max(s.MaxDelay, late)
	s.addFigure(r.Out, name+"machine.drain.known.last", last.Seconds()*1e3, drainDuringFaultUnit)
	s.addFigure(r.Out, name+"machine.back", back.Seconds()*1e3, "ms from when it goes on until it has caught up")
	return nil
}

// restartNodes ends the hollow nodes of the zones for which hits is true at once, and starts them again.
func (r *run) restartNodes(ctx context.Context, s *Section, site *site, name string, hits func(zone string) bool) error {
	before, err := site.read(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	done, count, place := make(chan error, len(site.hollow)), 0, 0
	for i, p := range site.hollow {
		var list []string
		for _, node := range site.names[i] {
			if hits(zoneOf(place)) {
				list = append(list, node)
			}
			place++
		}
		count += len(list)
		go func() { done <- p.Restart(list) }()
	}
	for range site.hollow {
		if e := <-done; e != nil {
			err = e
		}
	}
	if err != nil {
		return err
	}
	if err := site.awaitSessions(ctx); err != nil {
		return err
	}
	after, err := site.read(ctx)
	if err != nil {
		return err
	}
	took := after.at.Sub(began).Seconds()
	rates := ratesBetween(before, after, count)
	s.addFigure(r.Out, name+".nodes", float64(count), "nodes that are ended at once and started again")
	s.addFigure(r.Out, name+".live", took, "s until all have a session again")
	s.addFigure(r.Out, name+".leader.processor", rates.leaderProcessor*rates.seconds, "s of the leader's processor time in all")
	s.addFigure(r.Out, name+".leader.bytes", rates.leaderBytes*rates.seconds/float64(count),
		"bytes at the leader for each of them, in and out, with headers")
	return nil
}
