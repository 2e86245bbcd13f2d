package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// headerBytes is the size of the IPv4 and UDP headers, which the connections' counts don't include.
	headerBytes = 28
	// maxHollowPerProcess is the maximum number of hollow nodes in a process.
	maxHollowPerProcess = 250
	// drainsPerSize is the number of drains that are measured at each size.
	drainsPerSize = 10
	burstSize     = 100
	burstLength   = 10 * time.Second
	burstWait     = time.Minute
	burstRepeats  = 2 // repeats of a void burst
	knownWait     = time.Minute
	knownPoll     = 20 * time.Millisecond
	proofPoll     = 100 * time.Millisecond
)

// nodeSizes returns the fleet sizes, the time of each measurement at rest, and the number of drains at each size.
func (r *run) nodeSizes() (sizes []int, window time.Duration, drains int) {
	if r.Quick {
		return []int{40}, 5 * time.Second, 5
	}
	return []int{40, 120, 365, int(Design.Nodes)}, 15 * time.Second, drainsPerSize
}

// settleTime is the time without load after nodes have been added: somewhat more than a session lifetime.
func (r *run) settleTime() time.Duration {
	if r.Quick {
		return 2 * time.Second
	}
	return 6 * time.Second
}

// slopePoints collects the points of slopes by name.
type slopePoints struct {
	names  []string
	units  map[string]string
	values map[string][]Point
}

func (p *slopePoints) add(name, unit string, size, value float64) {
	if p.values == nil {
		p.units, p.values = map[string]string{}, map[string][]Point{}
	}
	if p.values[name] == nil {
		p.names = append(p.names, name)
	}
	p.units[name], p.values[name] = unit, append(p.values[name], Point{size, value})
}

// write adds the slopes to a section.
func (p *slopePoints) write(r *run, s *Section, per string, design float64) error {
	for _, name := range p.names {
		if len(p.values[name]) < minSizes {
			fmt.Fprintf(r.Out, "%s.%s: no line, of %d sizes\n", s.Name, name, len(p.values[name]))
			continue
		}
		if err := s.addSlope(r.Out, name, p.units[name], per, design, p.values[name]); err != nil {
			return err
		}
	}
	return nil
}

// nodes measures the cost of sessions, heartbeats, watches and drains as the fleet grows, with hollow nodes and
// five real control machines. At the largest size it adds failures and bursts of changes.
func (r *run) nodes(ctx context.Context, s *Section) error {
	sizes, window, drains := r.nodeSizes()
	largest := slices.Max(sizes)
	printThresholds(r.Out, nodeThresholds(sizes))
	if err := r.checkFits(controlMachines+2*len(sizes), 0); err != nil {
		return err
	}
	site, err := r.openSite(ctx,
		(1+maxRepeats)*drains*len(sizes)+(1+burstRepeats)*2*burstSize+drains*len(sizes)+faultDrains, false)
	if err != nil {
		return err
	}
	defer site.close()
	var p slopePoints
	have, next := 0, 0
	for _, size := range sizes {
		for have < size {
			n := min(maxHollowPerProcess, size-have)
			if err := site.addHollow(n); err != nil {
				return err
			}
			have += n
		}
		if err := site.awaitSessions(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, r.settleTime()); err != nil {
			return err
		}
		if err := r.rest(ctx, s, site, size, window, &p); err != nil {
			return err
		}
		if err := r.drains(ctx, s, site, size, drains, &next, &p); err != nil {
			return err
		}
	}
	if !r.Quick {
		if err := p.write(r, s, "node", Design.Nodes); err != nil {
			return err
		}
	}
	if err := r.faults(ctx, s, site, largest, &next); err != nil {
		return err
	}
	for _, count := range r.bursts() {
		if err := r.burst(ctx, s, site, largest, count, &next); err != nil {
			if ctx.Err() != nil {
				return err
			}
			s.addMissing(r.Out, fmt.Sprintf("%d.burst%d", largest, count),
				err) // the fleet may no longer be whole, so nothing more is measured
			break
		}
	}
	s.judge(r.Out, nodeThresholds(sizes))
	return nil
}

// checkFits returns an error if the processes and memory that a run is about to add would exceed the bounds.
func (r *run) checkFits(processes, memoryKiB int) error {
	u := usageBelow(os.Getpid())
	return r.bounds.check(usage{u.processes + processes, u.memory + memoryKiB})
}

// rest measures a fleet without changes.
func (r *run) rest(ctx context.Context, s *Section, site *site, size int, window time.Duration, slopes *slopePoints) error {
	var rates usageRates
	late, err := r.guard.runUndelayed(ctx, "rest", counts, maxRepeats, func() (err error) {
		if rates, err = site.window(ctx, window, size); err == nil {
			raiseMax(&r.guard.coreDelay, rates.pause)
		}
		return err
	}, noCleanup)
	if err != nil {
		return err
	}
	s.MaxDelay = max(s.MaxDelay, late)
	leader, err := site.leader(ctx)
	if err != nil {
		return err
	}
	followers := 0.0
	for i, m := range site.voters {
		if i != leader {
			followers += float64(memoryOf(m.pid(), "VmRSS")) / 1024 / (controlMachines - 1)
		}
	}
	totals, err := site.counts()
	if err != nil {
		return err
	}
	stateBytes, stateTook, err := site.state(ctx, leader)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		name  string
		value float64
		unit  string
	}{
		{"leader.processor", rates.leaderProcessor, "cores"},
		{"leader.memory", float64(memoryOf(site.voters[leader].pid(), "VmRSS")) / 1024, "MiB"},
		{"leader.datagrams", rates.leaderIn + rates.leaderOut, "datagrams/s in and out"},
		{"leader.bytes", rates.leaderBytes, "bytes/s in and out, with headers"},
		{"follower.processor", rates.followerProcessor, "cores"},
		{"follower.memory", followers, "MiB"},
		{"follower.bytes", rates.followerBytes, "bytes/s in and out, with headers"},
		{"node.processor", rates.nodeProcessor, "cores, of a hollow node"},
		{"node.datagrams", rates.nodeDatagrams, "datagrams/s in and out"},
		{"node.bytes", rates.nodeBytes, "bytes/s in and out, with headers"},
		{"node.calls", rates.nodeCalls, "calls/s"},
		{"hollow.memory", float64(totals.ResidentKiB) / 1024, "MiB, of all hollow nodes"},
		{"state.bytes", stateBytes, "bytes of JSON, the whole state"},
		{"state.took", stateTook.Seconds() * 1e3, "ms until the whole state has come"},
		{"leader.disk", site.logSize(leader) / 1024, "KiB of the log's file"},
	} {
		s.addFigure(r.Out, fmt.Sprintf("%d.rest.%s", size, f.name), f.value, f.unit)
		slopes.add("rest."+f.name, f.unit, float64(size), f.value)
	}
	s.addFigure(r.Out, fmt.Sprintf("%d.rest.follower.share", size), rates.followerBytes/rates.leaderBytes, "of the leader's bytes")
	s.addFigure(r.Out, fmt.Sprintf("%d.rest.entries", size), rates.entries, "entries/s of the log")
	return nil
}

// state returns the size of the whole state as operators get it, and the time of the request.
func (s *site) state(ctx context.Context, leader int) (size float64, took time.Duration, err error) {
	began := time.Now()
	state, err := s.voters[leader].client.State(ctx)
	if err != nil {
		return 0, 0, err
	}
	took = time.Since(began)
	raw, err := protojson.Marshal(state)
	return float64(len(raw)), took, err
}

// logSize returns the bytes of a machine's log on disk.
func (s *site) logSize(at int) float64 {
	info, err := os.Stat(filepath.Join(s.folder, s.voters[at].name, "log.db"))
	if err != nil {
		return 0
	}
	return float64(info.Size())
}
