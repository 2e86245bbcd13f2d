package capacity

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"starlingvalve/internal/link"
	"starlingvalve/internal/rig/capacity/hollow"
)

const (
	calibrateWindow = 30 * time.Second
	maxDifference   = 0.15 // relative difference between hollow and real nodes above which it is reported
)

// realTotals are the totals of some real nodes since their start.
type realTotals struct {
	cpuTime  time.Duration
	resident int // KiB
	traffic  link.Traffic
}

func readRealNodes(ctx context.Context, list []*machine, inFleet bool) (all realTotals, err error) {
	for _, m := range list {
		all.cpuTime += processorOf(m.pid())
		all.resident += memoryOf(m.pid(), "VmRSS")
		if !inFleet {
			continue
		}
		h, err := m.client.Status(ctx)
		if err != nil {
			return all, fmt.Errorf("%s: %w", m.name, err)
		}
		all.traffic = sumTraffic(all.traffic, h.Traffic)
	}
	return all, nil
}

// sumTraffic returns the sum of two traffic counts.
func sumTraffic(a, b link.Traffic) link.Traffic {
	t := link.Traffic{DatagramsOut: a.DatagramsOut + b.DatagramsOut, DatagramsIn: a.DatagramsIn + b.DatagramsIn,
		BytesOut: a.BytesOut + b.BytesOut, BytesIn: a.BytesIn + b.BytesIn,
		Calls: map[uint64]uint64{}}
	for _, calls := range []map[uint64]uint64{a.Calls, b.Calls} {
		for kind, n := range calls {
			t.Calls[kind] += n
		}
	}
	return t
}

// addCounts returns the totals of two processes of hollow nodes; the pause is the longer one.
func addCounts(a, b hollow.Counts) hollow.Counts {
	return hollow.Counts{Nodes: a.Nodes + b.Nodes, Live: a.Live + b.Live, Traffic: sumTraffic(a.Traffic, b.Traffic),
		CPUTime:     a.CPUTime + b.CPUTime,
		ResidentKiB: a.ResidentKiB + b.ResidentKiB, LongestPause: max(a.LongestPause, b.LongestPause)}
}

// calibrate compares hollow nodes with real ones that run in the same fleet at the same time. The cost of a real
// node's control part is the cost of a real node minus that of a real node outside the fleet. The cost of the
// hollow nodes is that of their process minus that of an empty one.
func (r *run) calibrate(ctx context.Context, s *Section) error {
	for _, size := range []int{10, 40} {
		if err := r.calibrateAt(ctx, s, size); err != nil {
			return fmt.Errorf("%d nodes: %w", size, err)
		}
	}
	return nil
}

func (r *run) calibrateAt(ctx context.Context, s *Section, size int) error {
	const realNode = 40 << 10 // KiB of memory of one real node, an estimate for the check of the run's bounds
	if err := r.checkFits(controlMachines+2+2*size, 2*size*realNode); err != nil {
		return err
	}
	site, err := r.openSite(ctx, serviceSize, false)
	if err != nil {
		return err
	}
	defer site.close()
	empty, err := hollow.StartProcess(r.hollowProgram, filepath.Join(site.folder, "empty.json"),
		hollow.Options{Folder: site.folder})
	if err != nil {
		return err
	}
	defer empty.Stop()
	if err := site.addHollow(size); err != nil {
		return err
	}
	with, without, err := site.addReal(ctx, size)
	if err != nil {
		return err
	}
	if err := site.awaitSessions(ctx); err != nil {
		return err
	}
	if err := allSessions(ctx, with); err != nil {
		return err
	}
	if err := sleep(ctx, r.settleTime()); err != nil {
		return err
	}
	before, err := readComparison(ctx, site, empty, with, without)
	if err != nil {
		return err
	}
	if err := sleep(ctx, calibrateWindow); err != nil {
		return err
	}
	after, err := readComparison(ctx, site, empty, with, without)
	if err != nil {
		return err
	}
	r.reportDifferences(s, size, before, after)
	return nil
}

// comparison holds the totals of all processes that are compared, at one time.
type comparison struct {
	at            time.Time
	hollow, empty hollow.Counts
	with, without realTotals
}

func readComparison(ctx context.Context, site *site, empty *hollow.Process, with, without []*machine) (totals comparison,
	err error) {
	var errs [4]error
	totals.hollow, errs[0] = site.counts()
	totals.empty, errs[1] = empty.Counts()
	totals.with, errs[2] = readRealNodes(ctx, with, true)
	totals.without, errs[3] = readRealNodes(ctx, without, false)
	totals.at = time.Now()
	return totals, errors.Join(errs[:]...)
}

// reportDifferences adds the figures of real and hollow nodes and their ratios, and prints ratios that differ too
// much.
func (r *run) reportDifferences(s *Section, size int, before, after comparison) {
	seconds, nodes := after.at.Sub(before.at).Seconds(), float64(size)
	per := func(n float64) float64 { return n / seconds / nodes }
	datagrams := func(t link.Traffic) float64 { return float64(t.DatagramsIn + t.DatagramsOut) }
	calls := func(t link.Traffic) (n float64) {
		for _, c := range t.Calls {
			n += float64(c)
		}
		return n
	}
	for _, f := range []struct {
		name         string
		real, hollow float64
		unit         string
	}{
		{"calls", per(calls(after.with.traffic) - calls(before.with.traffic)),
			per(calls(after.hollow.Traffic) - calls(before.hollow.Traffic)), "calls/s a node"},
		{"datagrams", per(datagrams(after.with.traffic) - datagrams(before.with.traffic)),
			per(datagrams(after.hollow.Traffic) - datagrams(before.hollow.Traffic)), "datagrams/s a node, in and out"},
		{"bytes", per(wireBytes(after.with.traffic) - wireBytes(before.with.traffic)),
			per(wireBytes(after.hollow.Traffic) - wireBytes(before.hollow.Traffic)), "bytes/s a node, in and out, with headers"},
		{"processor", per((after.with.cpuTime - before.with.cpuTime - after.without.cpuTime + before.without.cpuTime).Seconds()),
			per((after.hollow.CPUTime - before.hollow.CPUTime - after.empty.CPUTime + before.empty.CPUTime).Seconds()), "cores a node"},
		{"memory", float64(after.with.resident-after.without.resident) / 1024 / nodes,
			float64(after.hollow.ResidentKiB-after.empty.ResidentKiB) / 1024 / nodes, "MiB a node"},
	} {
		name := fmt.Sprintf("%d.%s", size, f.name)
		s.addFigure(r.Out, name+".real", f.real, f.unit)
		s.addFigure(r.Out, name+".hollow", f.hollow, f.unit)
		ratio := f.hollow / f.real
		s.addFigure(r.Out, name+".ratio", ratio, "hollow over real")
		if math.Abs(ratio-1) > maxDifference {
			fmt.Fprintf(r.Out, "%s: differs by more than %.0f%%: the figure of real nodes is the one to use\n", name,
				100*maxDifference)
		}
	}
	s.addFigure(r.Out, fmt.Sprintf("%d.whole.memory", size), float64(after.without.resident)/1024/nodes,
		"MiB of a real node without the fleet")
}

// addReal starts n real nodes in the fleet and n outside it, and waits until all are ready.
func (s *site) addReal(ctx context.Context, n int) (with, without []*machine, err error) {
	folder, err := os.MkdirTemp(s.folder, "r")
	if err != nil {
		return nil, nil, err
	}
	for i := range 2 * n {
		name := fmt.Sprintf("real%d", i+1)
		if i < n {
			if err := s.fleet.Write(folder, name, zoneOf(i), ""); err != nil {
				return nil, nil, err
			}
		}
		m, err := s.startMachine(name, folder, i < n)
		if err != nil {
			return nil, nil, err
		}
		s.others = append(s.others, m)
	}
	for _, m := range s.others {
		if err := m.awaitReady(ctx, "http://"+m.listen+"/health/ready"); err != nil {
			return nil, nil, err
		}
	}
	return s.others[:n], s.others[n:], nil
}

// allSessions waits until all the given real nodes have a session.
func allSessions(ctx context.Context, list []*machine) error {
	ctx, cancel := context.WithTimeout(ctx, liveWait)
	defer cancel()
	for _, m := range list {
		for {
			h, err := m.client.Status(ctx)
			if err == nil && h.Session > 0 {
				break
			}
			if err := sleep(ctx, readyPoll); err != nil {
				return fmt.Errorf("%s has no session: %w", m.name, err)
			}
		}
	}
	return nil
}
