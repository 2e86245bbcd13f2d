package main

import (
	"context"
	"fmt"
	"time"

	"starlingvalve/internal/standin"
)

// fleetRig measures one node with thousands of servers under a constant load: with an unchanged list, with one server in
// a hundred replaced each second, and with a third of the list flapping. The same load on twelve servers is the baseline.
func fleetRig(ctx context.Context, o *options) error {
	many := &o.servers
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	length := 10 * time.Second
	if o.quick {
		*many, length = min(*many, 2000), 4*time.Second
	}
	idle := map[int]int{}
	for _, size := range []int{12, *many} {
		for _, churn := range []string{"still", "replaced", "flapping"} {
			if size == 12 && churn != "still" {
				continue
			}
			name := fmt.Sprintf("fleet.%d.%s", size, churn)
			memory, err := o.measureFleet(ctx, w, name, size, churn, length)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			if churn == "still" {
				idle[size] = memory
			}
		}
	}
	if *many <= 12 {
		return ctx.Err()
	}
	o.out.figure("fleet.memory_per_server", float64(idle[*many]-idle[12])/float64(*many-12), "KiB (VmHWM of the idle node)")
	return ctx.Err()
}

// measureFleet loads a node that has size servers, for length, and prints figures and verdicts. churn is how the list
// changes: still, replaced or flapping. The result is the peak memory of the node before the load, in KiB.
func (o *options) measureFleet(ctx context.Context, w *workspace, name string, size int, churn string, length time.Duration) (idle int, err error) {
	class := scaleClass
	work := map[string]standin.Work{class.Name: {Time: 2 * time.Millisecond, Bytes: 256}}
	f, err := newFleet(size, 0, 0, work)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	n, err := w.node(ctx, w.binary, nodeOptions{name: name, registry: f.registry.Addr, classes: []standin.Class{class}, memoryMB: 192, sockets: 1024,
		zone: "hall-a", coldFrom: 0.3, coldTime: time.Second})
	if err != nil {
		return 0, err
	}
	defer n.kill()
	time.Sleep(time.Second)
	idle = n.peakMemory()
	l := &standin.Load{Addr: n.addr, Classes: []standin.Class{class}, Retries: 1, Prefix: "f-", KeepLog: true, Seed: o.seed}
	done := make(chan struct{})
	running, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	before := n.cpu()
	go func() { defer close(done); l.RunOpen(running, 500, 2000) }()
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	next := 0
	for round := 0; running.Err() == nil; round++ {
		select {
		case <-running.Done():
			continue
		case <-n.ended:
			return idle, fmt.Errorf("the node ended: %v\n%s", n.err, n.log.String())
		case <-tick.C:
		}
		var news []standin.Entry
		switch {
		case churn == "replaced" && round%2 == 0:
			// One server in a hundred leaves as in an orderly shutdown, and a new one joins.
			for range size / 100 {
				old := f.servers[next]
				e := standin.EntryOf(old)
				e.State = "gone"
				s, err := standin.NewServer(standin.ServerOptions{Name: fmt.Sprintf("s-%08x", 0x70000000+round*size+next), Zone: "hall-a", Cell: next / 2}, work)
				if err != nil {
					return idle, err
				}
				f.servers[next] = s
				time.AfterFunc(2*time.Second, old.Close)
				f.replaced = append(f.replaced, old)
				news = append(news, e, standin.EntryOf(s))
				next = (next + 1) % size
			}
		case churn == "flapping":
			for _, s := range f.servers[:size/3] {
				e := standin.EntryOf(s)
				if round%2 == 0 {
					e.State = "gone"
				}
				news = append(news, e)
			}
		default:
			continue
		}
		f.registry.Set(news...)
	}
	<-done
	s := l.Sums()
	o.out.figure(name+".worth", s.WorthFraction(), "of the worth offered")
	o.out.figure(name+".refused", s.RefusedTries, fmt.Sprintf("of %d requests", s.Orders))
	o.out.figure(name+".resent", s.Resent, "requests that crossed the close of a kept connection")
	o.out.figure(name+".cpu", float64(n.cpu()-before)/float64(length), "cores")
	o.out.figure(name+".idle_memory", idle, "KiB (VmHWM)")
	o.out.figure(name+".memory", n.peakMemory(), "KiB (VmHWM)")
	e := standin.Evidence{Classes: []standin.Class{class}, Answers: l.Log(), Executions: f.executions(), Notifications: f.registry.Notifications()}
	for _, s := range f.replaced {
		e.Executions = append(e.Executions, s.Log()...)
	}
	o.out.promise(s.WorthFraction() >= 0.97, "%s: worth %.3f", name, s.WorthFraction())
	for _, v := range standin.Check(e) {
		if v.Cases > 0 {
			o.out.verdicts([]standin.Verdict{v})
		}
	}
	return idle, nil
}
