package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"starlingvalve/internal/rig/soak"
	"starlingvalve/internal/standin"
)

//go:embed testdata/wallstep.go
var wallStepSource []byte

// Sizes and lengths of soak runs.
const (
	soakServers = 12

	soakQuick     = 26 * time.Second
	soakLength    = 3 * time.Minute
	soakRuns      = 3 // most runs of a schedule until one is not void
	maxShrinkRuns = 8 // most runs that look for a smaller schedule
)

// maxSoakLateness is the longest delay of the rig's own timers with which a run still counts; beyond it the run is void.
const maxSoakLateness = soak.TimingTolerance

// errVoid reports a run in which the machine delayed the rig so much that no process can be judged.
var errVoid = errors.New("the machine was late: the run is void")

// soakRig causes random faults of all kinds, which overlap, in a fleet of real processes. It judges the nodes by the logs
// of clients, servers and discovery, and by the violations that the nodes' own guards count.
func soakRig(ctx context.Context, o *options) error {
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	if o.binary == "" {
		if w.binary, err = w.buildWith(ctx, "soak", map[string][]byte{"internal/faultpoint/rig.go": wallStepSource}); err != nil {
			return err
		}
	}
	length := soakLength
	if o.quick {
		length = soakQuick
	}
	if o.length > 0 {
		length = o.length
	}
	list := soak.Draw(o.seed, length, soak.ProfileOf(o.seed).Nodes, soakServers)
	if o.schedule != "" {
		if list, err = soak.Read(o.schedule, soak.ProfileOf(o.seed).Nodes, soakServers); err != nil {
			return err
		}
	}
	soak.Print(os.Stdout, list)
	verdicts, err := o.soakUntilValid(ctx, w, list, length, true)
	if err != nil {
		return err
	}
	o.out.verdicts(verdicts)
	if o.out.broken > 0 && !o.quick {
		o.shrinkSoak(ctx, w, list, length)
	}
	return ctx.Err()
}

// soakUntilValid runs a schedule, again while the run is void, and returns the verdicts. print selects whether the figures
// are printed.
func (o *options) soakUntilValid(ctx context.Context, w *workspace, list []soak.Fault, length time.Duration, print bool) ([]standin.Verdict, error) {
	runs := soakRuns
	if o.quick {
		runs = 1
	}
	for run := 1; ; run++ {
		p, err := openSoak(ctx, w, o.seed)
		if err != nil {
			return nil, err
		}
		p.keepLogs = o.history
		evidence, late, err := p.run(ctx, list, length)
		p.close()
		if err != nil {
			return nil, err
		}
		if print {
			o.soakFigures(p, evidence, late)
		}
		if late <= maxSoakLateness {
			return soak.Check(evidence), nil
		}
		if run == runs {
			return nil, fmt.Errorf("%w: %v", errVoid, late)
		}
	}
}

// soakFigures prints the figures of a run.
func (o *options) soakFigures(p *soakRun, e soak.Evidence, late time.Duration) {
	served, refused := 0, 0
	for _, a := range e.Answers {
		switch {
		case a.Served():
			served++
		case a.Refused():
			refused++
		}
	}
	o.out.figure("soak.balancers", p.profile.Balancers, fmt.Sprintf("configured at each process; peers %v, patience %v, %.0f requests a second at each", p.profile.Peers,
		p.profile.Patience, p.profile.Rate))
	o.out.figure("soak.killed", p.killedAtEnd.Load(), "processes that had not ended by the earliest SIGKILL after SIGTERM")
	o.out.figure("soak.processes", len(e.StartTimes), "started, of "+fmt.Sprint(p.profile.Nodes)+" nodes")
	o.out.figure("soak.faults", p.injected.Load(), "injected")
	o.out.figure("soak.requests", len(e.Answers), "attempts of clients")
	o.out.figure("soak.served", float64(served)/float64(max(1, len(e.Answers))), "of them")
	o.out.figure("soak.refused", float64(refused)/float64(max(1, len(e.Answers))), "of them")
	o.out.figure("soak.executions", len(e.Executions), "at servers")
	o.out.figure("soak.departed", len(e.ClientLeft), "requests whose clients closed the connection")
	o.out.figure("soak.refusals_of_guards", p.guardRefusals(), "attempts")
	o.out.figure("soak.late", late.Seconds(), "s, the longest delay of the rig itself")
}

// shrinkSoak looks for a smaller schedule that still breaks a promise, and prints the smallest one that it finds.
func (o *options) shrinkSoak(ctx context.Context, w *workspace, list []soak.Fault, length time.Duration) {
	smaller := soak.Shrink(list, maxShrinkRuns, func(some []soak.Fault) bool {
		verdicts, err := o.soakUntilValid(ctx, w, some, length, false)
		if err != nil {
			return false
		}
		for _, v := range verdicts {
			if v.ViolationCount > 0 {
				return true
			}
		}
		return false
	})
	fmt.Fprintf(os.Stdout, "smallest schedule that still fails, after %d runs at most: %d of %d faults\n", maxShrinkRuns, len(smaller), len(list))
	soak.Print(os.Stdout, smaller)
}

// soakClasses returns the classes of the clients' requests.
func soakClasses(patience time.Duration) []standin.Class {
	aim := patience * 2 / 3
	return []standin.Class{
		{Name: "read", Method: "GET", Share: 2, Worth: 1, Aim: aim, Patience: patience},
		{Name: "tag", Method: "POST", Keyed: true, Share: 1, Worth: 1, Aim: aim, Patience: patience, BodyBytes: 200},
		{Name: "order", Method: "POST", Share: 1, Worth: 1, Aim: aim, Patience: patience, BodyBytes: 200},
	}
}

// soakWork returns the work of a request of each class; a server has one core.
func soakWork() map[string]standin.Work {
	const work = 20 * time.Millisecond
	return map[string]standin.Work{"read": {Time: work, Bytes: 300}, "tag": {Time: work, Bytes: 300}, "order": {Time: work, Bytes: 300}}
}

// soakName makes a name of a prefix and a number of two digits.
func soakName(prefix string, i int) string { return fmt.Sprintf("%s%02d", prefix, i) }

// violationsLogged counts the log lines that report a broken rule, by rule.
func violationsLogged(log string) map[string]int {
	counts := map[string]int{}
	for line := range strings.Lines(log) {
		if _, rest, ok := strings.Cut(line, `msg="rule broken" rule=`); ok {
			rule, _, _ := strings.Cut(rest, " ")
			counts[rule]++
		}
	}
	return counts
}
