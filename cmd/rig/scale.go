package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"starlingvalve/internal/standin"
)

// scaleClass is the class of all requests of the table.
var scaleClass = standin.Class{Name: "viewer-clip", Method: "GET", Share: 1, Worth: 1, Aim: 600 * time.Millisecond, Patience: 2 * time.Second}

const (
	tableServers = 8
	answerBytes  = 2048
	minRatio     = 0.8 // least accepted request rate, as a fraction of the plain proxy's
	// A round of 150 ms on a core that other processes use is noise: a cell whose median is under minRatio gets up to this
	// many further rounds.
	maxExtraRounds = 4
	nodeCore       = 0 // processor core of the measured program
)

// target is one of the programs that are compared.
type target struct {
	name  string
	start func(ctx context.Context, f *fleet, classes []standin.Class) (*node, error)
}

// scaleRig compares the program with a plain proxy and, if there is one, an earlier build.
type scaleRig struct {
	*options
	w              *workspace
	targets        []target
	rounds         int
	window         time.Duration
	warmUpRefusals int // refusals of the present target while it warmed up
}

// scale measures the table of request rates and runs the difficult cases of docs/design/limits.md.
func scale(ctx context.Context, o *options) error {
	base, only := o.base, o.only
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	cores := min(runtime.NumCPU(), 63)
	if cores < 2 {
		return errors.New("at least two cores are needed: one for the program, the others for the stand-ins")
	}
	if err := affinity(os.Getpid(), (1<<cores-1)&^(1<<nodeCore)); err != nil {
		return err
	}
	r := &scaleRig{options: o, w: w, rounds: 5, window: time.Second}
	if o.quick {
		r.rounds, r.window = 1, 150*time.Millisecond
	}
	r.targets = []target{{"node", r.startNode(w.binary, "node")}, {"plain", r.startPlain}}
	if base != "" {
		r.targets = append(r.targets, target{"base", r.startNode(base, "base")})
	}
	for _, part := range []struct {
		name string
		run  func(context.Context) error
	}{{"table", r.table}, {"step", r.step}, {"mix", r.mix}, {"slow", r.slow}, {"starved", r.starved}, {"overload", r.overload}} {
		if only == "" || slices.Contains(strings.Split(only, ","), part.name) {
			if err := part.run(ctx); err != nil {
				return fmt.Errorf("%s: %w", part.name, err)
			}
		}
	}
	return nil
}

// startNode returns a function that starts the program binary as a node on nodeCore.
func (r *scaleRig) startNode(binary, name string) func(context.Context, *fleet, []standin.Class) (*node, error) {
	return func(ctx context.Context, f *fleet, classes []standin.Class) (*node, error) {
		n, err := r.w.node(ctx, binary, nodeOptions{name: name, registry: f.registry.Addr, classes: classes, memoryMB: 512, sockets: 8192, zone: "hall-a"})
		if err != nil {
			return nil, err
		}
		return n, onCore(n.cmd.Process.Pid, nodeCore)
	}
}

// startPlain starts the plain proxy on nodeCore.
func (r *scaleRig) startPlain(ctx context.Context, f *fleet, _ []standin.Class) (*node, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	var list []string
	for _, s := range f.servers {
		list = append(list, s.Addr)
	}
	c, err := r.w.start([]string{"GOMAXPROCS=1"}, self, "proxy", "-listen="+addr, "-servers="+strings.Join(list, ","))
	if err != nil {
		return nil, err
	}
	if err := ready(ctx, c, "http://"+addr+"/health/ready"); err != nil {
		return nil, err
	}
	return &node{child: c, addr: addr}, onCore(c.cmd.Process.Pid, nodeCore)
}

// runClosed sends requests to a node over conns connections, each of which waits for its answer, and returns the sums of
// a window that begins once the node has warmed up. If script is not nil, it runs in place of the wait, and the window ends
// when it returns.
func (r *scaleRig) runClosed(ctx context.Context, n *node, classes []standin.Class, conns int, window time.Duration, script func()) standin.Sums {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &standin.Load{Addr: n.addr, Classes: classes, Prefix: "c-", Seed: r.seed}
	done := make(chan struct{})
	ramp := 200 * time.Millisecond
	go func() { defer close(done); l.RunClosed(ctx, conns, ramp) }()
	time.Sleep(2 * ramp)
	if len(classes) > 1 {
		time.Sleep(time.Second) // time for the node to learn the relative cost of the classes
	}
	r.warmUpRefusals += l.Sums().RefusedTries
	l.ResetCounts()
	if script != nil {
		script()
	} else {
		time.Sleep(window)
	}
	cancel()
	<-done
	return l.Sums()
}

// cell is the results of one target in one cell of the table, over all rounds.
type cell struct {
	rate           []float64 // requests a second, one for each round
	times          standin.Times
	refused        int
	byNode         int // of refused: by the node's own limit
	warmUpRefusals int
	failed         int
}

// median returns the median of v, the upper one of an even number of values, and 0 for none.
func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	if len(v) == 0 {
		return 0
	}
	return v[len(v)/2]
}

// table measures the request rates of all targets, for each work time of the servers and each number of connections.
func (r *scaleRig) table(ctx context.Context) error {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		work := map[string]standin.Work{scaleClass.Name: {Time: delay, Bytes: answerBytes}}
		f, err := newFleet(tableServers, 0, 0, work)
		if err != nil {
			return err
		}
		defer f.Close()
		f.setLog(false)
		nodes, stop, err := r.startAll(ctx, f, []standin.Class{scaleClass})
		if err != nil {
			return err
		}
		for _, conns := range []int{1, 8, 64, 256, 1024} {
			cells := make([]cell, len(nodes))
			var ratios []float64
			for round := 0; round < r.rounds || round < r.rounds+maxExtraRounds && median(ratios) < minRatio; round++ {
				for i, n := range nodes {
					s := r.runClosed(ctx, n, []standin.Class{scaleClass}, conns, r.window, nil)
					c := &cells[i]
					c.warmUpRefusals, r.warmUpRefusals = c.warmUpRefusals+r.warmUpRefusals, 0
					c.rate = append(c.rate, float64(s.Served)/r.window.Seconds())
					c.times.Merge(s.Times)
					c.refused, c.byNode, c.failed = c.refused+s.RefusedTries, c.byNode+s.RefusedByNode, c.failed+s.Failed
				}
				last := len(cells[0].rate) - 1
				ratios = append(ratios, cells[0].rate[last]/max(cells[1].rate[last], 1))
			}
			name := fmt.Sprintf("table.%v.%d", delay, conns)
			for i, t := range r.targets {
				r.out.figure(name+"."+t.name+".rate", median(cells[i].rate), "requests/s")
				r.out.figure(name+"."+t.name+".p99", float64(cells[i].times.Quantile(0.99))/1e6, "ms")
				r.out.figure(name+"."+t.name+".refused", cells[i].refused, fmt.Sprintf("requests, %d of them by the node's own limit; %d more while it warmed up", cells[i].byNode, cells[i].warmUpRefusals))
			}
			ratio := median(ratios)
			if n := len(ratios) - r.rounds; n > 0 {
				r.out.figure(name+".again", n, "further rounds, all of which count, as the median of the first ones was under the bound")
			}
			r.out.figure(name+".ratio", fmt.Sprintf("%.2f (%.2f to %.2f)", ratio, slices.Min(ratios), slices.Max(ratios)), "of the plain proxy's rate")
			r.out.promise(ratio >= minRatio, "%s: at least %.1f of the plain proxy's rate", name, minRatio)
			if half := scaleClass.Aim / 2; cells[1].times.Quantile(0.99) <= half {
				r.out.promise(cells[0].refused == 0, "%s: nothing is refused, as the plain proxy answers within %v", name, half)
			}
		}
		stop()
	}
	return ctx.Err()
}

// startAll starts all targets with one fleet of servers. The returned function ends them.
func (r *scaleRig) startAll(ctx context.Context, f *fleet, classes []standin.Class) ([]*node, func(), error) {
	var nodes []*node
	stop := func() {
		for _, n := range nodes {
			n.kill()
		}
	}
	for _, t := range r.targets {
		n, err := t.start(ctx, f, classes)
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("%s: %w", t.name, err)
		}
		nodes = append(nodes, n)
	}
	return nodes, stop, nil
}
