package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"starlingvalve/internal/rig/capacity/hollow"
)

// TestMain lets the test binary also serve as the program of hollow nodes.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "hollow" {
		if err := hollow.Main(os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// The quick form of the rig must run whole: 40 hollow nodes with five real control machines, single drains, a
// burst of drains, failures, and changes of the configuration. All figures must be within the thresholds.
func TestSmallForm(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	results := filepath.Join(t.TempDir(), "results.json")
	broken, err := Run(t.Context(), Options{Seed: 1, Quick: true, SectionNames: "nodes,configuration", HollowProgram: self, Results: results,
		Out: &out})
	if err != nil || broken > 0 {
		t.Fatalf("%d broken, %v\n%s", broken, err, out.String())
	}
	all, err := Read(results)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"nodes.40.rest.node.bytes", "nodes.40.rest.node.calls",
		"nodes.40.drain.known.each.p99", "nodes.40.burst10.known.last.worst", "nodes.40.fault.region.live",
		"configuration.40.start.inforce", "configuration.40.alone.inforce.worst",
		"configuration.40.burst.inforce.worst"} {
		if f, s, ok := all.Find(name); !ok || f.Value <= 0 || !s.Quick {
			t.Errorf("%s: %+v, %v", name, f, ok)
		}
		if !strings.Contains(out.String(), name+" ") {
			t.Errorf("%s is not printed", name)
		}
	}
}

// A promise must be kept by a figure at its threshold, and broken by a figure just beyond it and by a missing figure.
// Otherwise a regression, or a measurement that did not take place, would pass.
func TestThresholds(t *testing.T) {
	list := nodeThresholds([]int{10, 40})
	if len(list) != 11 {
		t.Fatalf("%d thresholds", len(list))
	}
	figures := func() *Section {
		s := &Section{Name: "nodes"}
		for _, l := range list {
			s.Figures = append(s.Figures, Figure{Name: "nodes." + l.figure, Value: l.limit})
		}
		return s
	}
	s := figures()
	if s.judge(io.Discard, list); s.brokenPromises() != 0 || len(s.Promises) != len(list) {
		t.Errorf("at the thresholds: %+v", s.Promises)
	}
	for i, l := range list {
		s := figures()
		s.Figures[i].Value = l.limit + 1e-6
		if s.judge(io.Discard, list); s.brokenPromises() != 1 || s.Promises[i].Kept {
			t.Errorf("%s beyond its threshold: %+v", l.figure, s.Promises[i])
		}
		s = figures()
		s.Figures[i].Name = "other"
		if s.judge(io.Discard, list); s.brokenPromises() != 1 || s.Promises[i].Kept {
			t.Errorf("%s missing: %+v", l.figure, s.Promises[i])
		}
	}
}

func TestFit(t *testing.T) {
	straight := []Point{{10, 25}, {20, 45}, {40, 85}, {100, 205}}
	for _, x := range []struct {
		points       []Point
		design       float64
		base, slope  float64
		at, residual float64
		extrapolated bool
	}{
		{straight, 100, 5, 2, 205, 0, false},
		{straight, 300, 5, 2, 605, 0, true},
		{[]Point{{0, 0}, {1, 0}, {2, 3}, {3, 0}}, 2, 0.3, 0.3, 3, 0.7,
			false}, // at the design size the measured value counts, not the line
	} {
		s, err := fitSlope("a", "b", "c", x.design, x.points)
		if err != nil || math.Abs(s.Base-x.base)+math.Abs(s.Slope-x.slope)+math.Abs(s.AtDesign-x.at)+math.Abs(s.Residual-x.residual) > 1e-9 || s.Extrapolated != x.extrapolated {
			t.Errorf("%v: %+v, %v", x.points, s, err)
		}
	}
	if _, err := fitSlope("a", "b", "c", 1, straight[:3]); err == nil {
		t.Error("a slope was made from three sizes")
	}
}

func TestBounds(t *testing.T) {
	b := bounds{processes: 10, memory: 1 << 20}
	for _, x := range []struct {
		u    usage
		want string
	}{{usage{10, 1 << 20}, ""}, {usage{11, 0}, "11 processes, 10 may be"}, {usage{1, 1<<20 + 1<<10},
		"1025 MiB of memory, half of the machine's is 1024 MiB"}} {
		err := b.check(x.u)
		if (err == nil) != (x.want == "") || err != nil && (!errors.Is(err,
			ErrBounds) || !strings.Contains(err.Error(), x.want)) {
			t.Errorf("%+v: %v, want %q", x.u, err, x.want)
		}
	}
	machine, err := machineBounds()
	if err != nil || machine.processes != maxProcesses || machine.memory < 64<<10 {
		t.Errorf("%+v, %v", machine, err)
	}
}

// A run that exceeds its bounds must be stopped with an error that says why, before it harms other work on the
// machine.
func TestRunIsStoppedAtItsBounds(t *testing.T) {
	ctx, g := watch(t.Context(), bounds{processes: 0, memory: 1 << 40}, io.Discard)
	select {
	case <-ctx.Done():
	case <-time.After(time.Minute):
		t.Fatal("the run was not stopped")
	}
	if err := context.Cause(ctx); !errors.Is(err, ErrBounds) || !strings.Contains(err.Error(), "processes, 0 may be") {
		t.Errorf("%v", err)
	}
	if g.peak.processes.Load() < 1 || g.peak.memory.Load() < 1 {
		t.Error("its own process is not counted")
	}
	r := &run{bounds: bounds{processes: 300, memory: 1 << 40}}
	if err := r.checkFits(100, 0); err != nil {
		t.Errorf("100 processes: %v", err)
	}
	if err := r.checkFits(300, 0); !errors.Is(err, ErrBounds) {
		t.Errorf("300 processes beside this one: %v", err)
	}
}

// Delays of the machine would falsify measured times: a run with such a delay must be repeated, and is void if all
// repeats have one, too.
func TestLateRunsAreRepeated(t *testing.T) { synctest.Test(t, lateRuns) } // in virtual time

func lateRuns(t *testing.T) {
	for _, x := range []struct {
		late  int // runs that are
		tries int
		void  bool
	}{{0, 1, false}, {2, 3, false}, {100, 1 + maxRepeats, true}} {
		g, tries, cleared := &guard{out: io.Discard}, 0, 0
		_, err := g.runUndelayed(t.Context(), "x", times, maxRepeats, func() error {
			if tries++; tries <= x.late {
				g.coreDelay.Store(int64(maxDelay) + 1)
			}
			return nil
		}, func() error { cleared++; return nil })
		if tries != x.tries || cleared != tries || errors.Is(err, errVoid) != x.void {
			t.Errorf("%d late runs: %d tries, %v", x.late, tries, err)
		}
	}
	const again = 1 + maxRepeats
	for _, x := range []struct {
		m            timingNeed
		cores, disks time.Duration
		tries        int
	}{{counts, maxDelay + 1, time.Hour, 1}, {counts, maxDelayCounts + 1, 0, again}, {times, maxDelay, time.Hour,
		1}, {times, maxDelay + 1, 0, again},
		{timesOfLog, maxDelay, maxDelay, 1}, {timesOfLog, maxDelay + 1, 0, again}, {timesOfLog, 0, maxDelay + 1,
			again}} {
		g, tries := &guard{out: io.Discard}, 0
		g.runUndelayed(t.Context(), "x", x.m, maxRepeats, func() error {
			tries++
			g.coreDelay.Store(int64(x.cores))
			g.diskDelay.Store(int64(x.disks))
			return nil
		}, noCleanup)
		if tries != x.tries {
			t.Errorf("%+v: %d tries", x, tries)
		}
	}
	g := &guard{out: io.Discard}
	if _, err := g.runUndelayed(t.Context(), "x", times, maxRepeats, func() error { return io.EOF },
		noCleanup); err != io.EOF {
		t.Errorf("a run's own error: %v", err)
	}
}

// Load messages of a node must reach all nodes whose subsets overlap its own: a change by one request at one
// server is sent to each of them.
func TestServiceSimulation(t *testing.T) {
	const (
		nodes       = 60
		leastChange = 3 // mean bytes: a change of one server has four bytes, a message that nothing is left has one
	)
	quiet, err := newService(nodes, serviceSize, 1e-9, answerTime, 1).measure(t.Context(), time.Second, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	busy, err := newService(nodes, serviceSize, 4, 10*answerTime, 1).measure(t.Context(), time.Second, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if quiet.datagrams > 2 || busy.datagrams < 20 || busy.datagrams > 8*nodes {
		t.Errorf("%v datagrams a second without requests, %v with four a second", quiet.datagrams, busy.datagrams)
	}
	if busy.bytes < busy.datagrams*(headerBytes+leastChange) || busy.memory < 1<<10 || busy.memory > 1<<20 {
		t.Errorf("%+v", busy)
	}
	again, err := newService(nodes, serviceSize, 4, 10*answerTime, 1).measure(t.Context(), time.Second, 4*time.Second)
	if err != nil || again.datagrams != busy.datagrams || again.bytes != busy.bytes {
		t.Errorf("the same seed gives %+v, then %+v, %v", busy, again, err)
	}
}

func TestChosenSections(t *testing.T) {
	for _, x := range []struct {
		o    Options
		want string
	}{{Options{}, "calibrate nodes regions modules messages latency configuration"}, {Options{Quick: true},
		"nodes modules messages configuration"}, {Options{SectionNames: "latency,nodes"}, "nodes latency"}, {Options{SectionNames: "nodes,x"}, ""}} {
		list, err := selectedSections(x.o)
		var names []string
		for _, s := range list {
			names = append(names, s.name)
		}
		if (err == nil) != (x.want != "") || err == nil && strings.Join(names, " ") != x.want {
			t.Errorf("%+v: %v, %v", x.o, names, err)
		}
	}
}

func TestShort(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.04567: "0.0457", 12.345: "12.3", 1234.5: "1234", -0.5: "-0.5",
		100: "100", 1e-5: "0.00001"} {
		if got := formatValue(v); got != want {
			t.Errorf("%v: %s, want %s", v, got, want)
		}
	}
}
