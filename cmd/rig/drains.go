package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

const drainsOperators = 6 // operators that drain servers at the same time

// Restarted servers begin so slow that their full share of the load would overload them.
const (
	drainsColdFrom = 0.05
	drainsColdTime = 12 * time.Second
)

// drainsBudget allows two servers of each zone to be out at once.
const drainsBudget = `
[[budget]]
name = "a-hall"
on = "servers"
by = "zone"
most_out = 2
`

// openZones starts n servers, spread over the zones in turn, each in a separate cell.
func openZones(n int, zones []string, cores int, work map[string]standin.Work) (*fleet, error) {
	return openFleet(n, work, func(i int) standin.ServerOptions {
		return standin.ServerOptions{Name: fmt.Sprintf("s-%08x", 0x7a3f1000+i*7919), Zone: zones[i%len(zones)], Kind: "std", Cell: i, Cores: cores, MaxRequests: 60}
	})
}

//go:embed testdata/faulty.go
var faultySource []byte

// drainsRig has operators drain and return servers through random nodes of a fleet under constant load, while nodes are
// killed and stopped and paths between nodes are cut.
func drainsRig(ctx context.Context, o *options) error {
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	members, voters, servers, length, rate := 12, 5, 24, 20*time.Minute, 40.0
	if o.quick {
		members, voters, servers, length, rate = 6, 3, 12, 28*time.Second, 40
	}
	if o.length > 0 {
		length = o.length
	}
	if w.binary, err = w.buildWith(ctx, "faulty", map[string][]byte{"internal/faultpoint/rig.go": faultySource}); err != nil {
		return err
	}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	list, err := o.faults(length, members, faultKinds)
	if err != nil {
		return err
	}
	h, closeHistory, err := w.historyFile(o.history)
	if err != nil {
		return err
	}
	defer closeHistory()
	f, err := openZones(servers, zones, 1, mediaWork(1))
	if err != nil {
		return err
	}
	defer f.Close()
	p, err := (&cluster{w: w, registry: f.registry.Addr, voters: voters, budgets: drainsBudget, skew: 0.05, coldFrom: drainsColdFrom, coldTime: drainsColdTime, history: h}).open(ctx, members, zones)
	if err != nil {
		return err
	}
	defer p.close()
	printFaults(o.out.w, list)
	trial := &drainsTrial{p: p, servers: f, maxOut: 2, zones: map[string]string{}}
	for _, s := range f.servers {
		trial.zones[s.Name] = s.Zone
	}
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var running, operators sync.WaitGroup
	loads := p.load(loading, &running, mediaClasses, rate, o.seed)
	noise := startNoiseMeter(loading)
	operating, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	began := time.Now()
	h.mu.Lock()
	h.began = began
	h.mu.Unlock()
	for i := range drainsOperators {
		operators.Go(func() { trial.operate(operating, i, o.seed) })
	}
	injected := p.inject(ctx, began, list, f)
	if injected == nil {
		sleepFor(ctx, time.Until(began.Add(length)))
	}
	faultsOver := time.Now()
	stopOperators()
	operators.Wait()
	if err := errors.Join(injected, ctx.Err()); err != nil {
		return err
	}
	settled := p.awaitSettled(ctx)
	recoveryTime := time.Since(faultsOver)
	left, unserved := trial.awaitAllReturned(ctx)
	stopLoad()
	running.Wait()

	evidence := standin.Evidence{Classes: mediaClasses, Executions: f.executions(), Notifications: f.registry.Notifications(), ColdStarts: trial.cold}
	excused := 0
	for i, l := range loads {
		for _, a := range l.Log() {
			if a.Status != 200 && p.members[i].downDuring(a.Sent, a.EndedAt) {
				excused++ // the node was killed or stopped meanwhile
				continue
			}
			evidence.Answers = append(evidence.Answers, a)
		}
	}
	outcomes := map[drainOutcome]int{}
	for _, a := range trial.requests {
		outcomes[a.code]++
	}
	o.out.figure("drains.faults", len(list), "faults")
	o.out.figure("drains.asks", len(trial.requests), "requests of operators")
	for c := drainDone; c <= drainUnexpected; c++ {
		o.out.figure("drains.asks."+strings.ReplaceAll(c.String(), " ", "-"), outcomes[c], "requests")
	}
	o.out.figure("drains.asks.again", trial.retries, "retries of requests whose answer was lost")
	o.out.figure("drains.unplanned", len(p.removals), "times that a server left the registry without a drain; drains of it cost no budget then")
	o.out.figure("drains.proven", len(trial.switchedOff), "drains")
	o.out.figure("drains.cold", len(trial.cold), "servers that were returned cold")
	o.out.figure("drains.unproven", trial.unproven, "drains that were not proven within 6 s")
	o.out.figure("drains.grant.p50", trial.grants.Quantile(0.5).Seconds()*1e3, "ms, including the start of the command")
	o.out.figure("drains.grant.p99", trial.grants.Quantile(0.99).Seconds()*1e3, "ms")
	o.out.figure("drains.in-again", recoveryTime.Seconds(), "s after the last fault")
	o.out.figure("drains.tries", len(evidence.Answers), "attempts of clients")
	o.out.figure("drains.spared", excused, "attempts without an answer, as the node was killed or stopped")
	o.out.figure("drains.noise", noise.longest().Seconds()*1e3, "ms, the longest delay of the rig itself")
	o.out.promise(settled == nil && left == "" && recoveryTime < settleWait, "after the last fault all servers are returned within %v: %s%s", settleWait, errText(settled), left)
	o.out.promise(unserved == "", "every server gets work again: %s", unserved)
	o.out.verdicts(standin.Check(evidence))
	o.out.verdicts([]standin.Verdict{trial.checkBudget(), trial.checkLinearizable(), checkQuietAfterProof(trial.switchedOff, evidence.Executions), trial.checkNotices(evidence.Executions), trial.checkAnswers()})
	return nil
}

// errText returns the text of an error, empty for none.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
