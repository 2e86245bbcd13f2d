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

// Sizes of a soak run.
const (
	soakServers = 12

	soakQuick  = 26 * time.Second
	soakLength = 3 * time.Minute
	soakRuns   = 3 // until one is not void
	soakShrink = 8 // plays, at most, that look for a smaller schedule
)

// soakLate is how late the machine may be before a run is void.
const soakLate = soak.LateSlack

// errVoid is a run in which the machine was too late to judge anybody.
var errVoid = errors.New("the machine was late: the run is void")

// soakRig has faults of all kinds overlap in a fleet of real processes, and judges it by what clients, servers and
// discovery log, and by the count of the nodes' guards.
func soakRig(ctx context.Context, o *options) error {
	w, err := newWorkshop(ctx, o.binary)
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

// soakUntilValid plays a schedule again while the machine is too late.
func (o *options) soakUntilValid(ctx context.Context, w *workshop, list []soak.Fault, length time.Duration, print bool) ([]standin.Verdict, error) {
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
		evidence, late, err := p.play(ctx, list, length)
		p.close()
		if err != nil {
			return nil, err
		}
		if print {
			o.soakFigures(p, evidence, late)
		}
		if late <= soakLate {
			return soak.Check(evidence), nil
		}
		if run == runs {
			return nil, fmt.Errorf("%w: %v", errVoid, late)
		}
	}
}

func (o *options) soakFigures(p *soakPlay, e soak.Evidence, late time.Duration) {
	served, refused := 0, 0
	for _, a := range e.Answers {
		switch {
		case a.Served():
			served++
		case a.Refused():
			refused++
		}
	}
	o.out.figure("soak.balancers", p.profile.Balancers, fmt.Sprintf("that processes are told of; peers %v, patience %v, %.0f requests a second at each", p.profile.Peers,
		p.profile.Patience, p.profile.Rate))
	o.out.figure("soak.killed", p.killedAtEnd.Load(), "processes that had not ended when SIGKILL may come after SIGTERM")
	o.out.figure("soak.processes", len(e.Ready), "started, of "+fmt.Sprint(p.profile.Nodes)+" nodes")
	o.out.figure("soak.faults", p.injected.Load(), "injected")
	o.out.figure("soak.requests", len(e.Answers), "tries of clients")
	o.out.figure("soak.served", float64(served)/float64(max(1, len(e.Answers))), "of them")
	o.out.figure("soak.refused", float64(refused)/float64(max(1, len(e.Answers))), "of them")
	o.out.figure("soak.executions", len(e.Executions), "at servers")
	o.out.figure("soak.departed", len(e.Departed), "requests whose clients left")
	o.out.figure("soak.refusals_of_guards", p.guardRefusals(), "attempts")
	o.out.figure("soak.late", late.Seconds(), "s, the rig's own clock at worst")
}

// shrinkSoak prints a smaller schedule that still breaks a promise.
func (o *options) shrinkSoak(ctx context.Context, w *workshop, list []soak.Fault, length time.Duration) {
	smaller := soak.Shrink(list, soakShrink, func(some []soak.Fault) bool {
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
	fmt.Fprintf(os.Stdout, "smallest schedule that still fails, after %d plays at most: %d of %d faults\n", soakShrink, len(smaller), len(list))
	soak.Print(os.Stdout, smaller)
}

// soakClasses are what clients ask for.
func soakClasses(patience time.Duration) []standin.Class {
	aim := patience * 2 / 3
	return []standin.Class{
		{Name: "read", Method: "GET", Share: 2, Worth: 1, Aim: aim, Patience: patience},
		{Name: "tag", Method: "POST", Keyed: true, Share: 1, Worth: 1, Aim: aim, Patience: patience, BodyBytes: 200},
		{Name: "order", Method: "POST", Share: 1, Worth: 1, Aim: aim, Patience: patience, BodyBytes: 200},
	}
}

// soakWork is what they ask of servers with one core.
func soakWork() map[string]standin.Work {
	const work = 20 * time.Millisecond
	return map[string]standin.Work{"read": {Time: work, Bytes: 300}, "tag": {Time: work, Bytes: 300}, "order": {Time: work, Bytes: 300}}
}

func soakName(prefix string, i int) string { return fmt.Sprintf("%s%02d", prefix, i) }

// violationsLogged counts, by rule, the lines of a log that say that a rule was broken.
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
