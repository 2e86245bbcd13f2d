package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

// rules runs a scenario of faults against one node and judges it by the four rules. A server drains and leaves, and a cold
// one joins; a server accepts requests and answers none for a while; a server dies; clients send twice the load that the
// servers can serve.
func rules(ctx context.Context, o *options) error {
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	const servers, cores = 6, 4
	work := mediaWork(2)
	mean := 0.0
	for _, c := range mediaClasses {
		mean += c.Share * work[c.Name].Time.Seconds()
	}
	f, err := newFleet(servers, cores, 60, work)
	if err != nil {
		return err
	}
	defer f.Close()
	const coldFrom, coldTime = 0.32, 8300 * time.Millisecond
	n, err := w.node(ctx, w.binary, nodeOptions{name: "rules", registry: f.registry.Addr, classes: mediaClasses, memoryMB: 192, sockets: 1024, zone: "hall-a",
		coldFrom: coldFrom, coldTime: coldTime})
	if err != nil {
		return err
	}
	unit := time.Second
	if o.quick {
		unit = 500 * time.Millisecond
	}
	capacity := servers * cores / mean
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loads []*standin.Load
	var running sync.WaitGroup
	load := func(times float64, length time.Duration) {
		l := &standin.Load{Addr: n.addr, Classes: mediaClasses, Retries: 2, Prefix: fmt.Sprintf("r%d-", len(loads)), KeepLog: true, Seed: o.seed + uint64(len(loads))}
		loads = append(loads, l)
		ctx, cancel := context.WithTimeout(ctx, length)
		running.Go(func() { defer cancel(); l.RunOpen(ctx, times*capacity, 2000) })
	}
	set := func(s *standin.Server, state string) {
		evidence := standin.EntryOf(s)
		evidence.State = state
		f.registry.Set(evidence)
	}
	load(0.55, 22*unit)
	var cold []standin.ColdStart
	for _, step := range []struct {
		at time.Duration
		do func() error
	}{
		{2, func() error { set(f.servers[0], "draining"); return nil }},
		{4, func() error { set(f.servers[0], "gone"); return nil }},
		{5, func() error {
			s, err := standin.NewServer(standin.ServerOptions{Name: "s-0c01dc01", Zone: "hall-a", Kind: "std", Cell: 9, Cores: cores, MaxRequests: 60,
				ColdFrom: coldFrom, ColdTime: coldTime, Dedup: &standin.Dedup{Window: 8 * time.Second}}, work)
			if err != nil {
				return err
			}
			f.servers = append(f.servers, s)
			set(s, "ready")
			cold = append(cold, standin.ColdStart{Server: s.Name, Started: s.Started, Cores: cores, From: coldFrom, Time: coldTime})
			return nil
		}},
		{8, func() error { f.servers[1].SetUnresponsive(true); return nil }},
		{11, func() error { f.servers[1].SetUnresponsive(false); return nil }},
		{12, func() error { load(1.5, 3*unit); return nil }},
		{17, func() error { f.servers[2].Close(); return nil }},
		{18, func() error { set(f.servers[2], "gone"); return nil }},
		{22, func() error { return nil }},
	} {
		if !sleepUntil(ctx, n, step.at*unit) {
			break
		}
		if err := step.do(); err != nil {
			return err
		}
	}
	running.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	evidence := standin.Evidence{Classes: mediaClasses, Executions: f.executions(), Notifications: f.registry.Notifications(), ColdStarts: cold}
	served, offered, resent := 0.0, 0.0, 0
	for _, l := range loads {
		s := l.Sums()
		served, offered, resent = served+s.ServedWorth, offered+s.OfferedWorth, resent+s.Resent
		evidence.Answers = append(evidence.Answers, l.Log()...)
	}
	select {
	case <-n.ended:
		o.out.promise(false, "the node runs on: %v\n%s", n.err, n.log.String())
	default:
	}
	o.out.figure("rules.tries", len(evidence.Answers), "attempts of clients")
	o.out.figure("rules.executions", len(evidence.Executions), "at servers")
	o.out.figure("rules.resent", resent, "requests that crossed the close of a kept connection")
	o.out.figure("rules.worth", served/offered, "of the worth offered")
	o.out.figure("rules.memory", n.peakMemory(), "KiB (VmHWM)")
	o.out.verdicts(standin.Check(evidence))
	return nil
}

// sleepUntil waits until at has passed since its first call for the node, which counts as the start of the load. It
// reports whether the scenario goes on: the node still runs and ctx has not ended.
func sleepUntil(ctx context.Context, n *node, at time.Duration) bool {
	if n.began.IsZero() {
		n.began = time.Now()
	}
	t := time.NewTimer(time.Until(n.began.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ended:
		return false
	case <-ctx.Done():
		return false
	}
}
