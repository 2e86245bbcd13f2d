package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"starlingvalve/internal/standin"
)

// runCase runs a case for each target in turn, prints the figures, and returns the sums by the target's name.
func (r *scaleRig) runCase(ctx context.Context, name string, servers, cores int, work map[string]standin.Work, classes []standin.Class,
	run func(n *node, f *fleet) standin.Sums) (map[string]standin.Sums, error) {
	out := map[string]standin.Sums{}
	for _, t := range r.targets {
		f, err := newFleet(servers, cores, 0, work)
		if err != nil {
			return nil, err
		}
		f.setLog(false)
		n, err := t.start(ctx, f, classes)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("%s: %w", t.name, err)
		}
		r.warmUpRefusals = 0
		s := run(n, f)
		n.kill()
		r.out.figure(name+"."+t.name+".early", r.warmUpRefusals, "requests refused while it warmed up")
		f.Close()
		out[t.name] = s
		r.out.figure(name+"."+t.name+".worth", s.WorthFraction(), "of the worth offered")
		r.out.figure(name+"."+t.name+".refused", s.RefusedTries, fmt.Sprintf("of %d requests, %d of them by the node's own limit", s.Orders, s.RefusedByNode))
		r.out.figure(name+"."+t.name+".p99", float64(s.Times.Quantile(0.99))/1e6, "ms")
		var names []string
		for c := range s.ByClass {
			names = append(names, c)
		}
		slices.SortFunc(names, cmp.Compare)
		for _, c := range names {
			if b := s.ByClass[c]; len(names) > 1 {
				r.out.figure(name+"."+t.name+"."+c, float64(b[1])/float64(max(1, b[0])), "answered in time")
			}
		}
	}
	return out, ctx.Err()
}

// checkWorth checks that the node's worth is not below that of the other targets.
func (r *scaleRig) checkWorth(name string, s map[string]standin.Sums) {
	const slack = 0.03 // random variation of the worth
	for _, other := range []string{"plain", "base"} {
		if o, ok := s[other]; ok {
			r.out.promise(s["node"].WorthFraction() >= o.WorthFraction()-slack, "%s: worth %.3f, %s %.3f", name, s["node"].WorthFraction(), other, o.WorthFraction())
		}
	}
}

// checkNothingRefused checks that the node refuses nothing and that its worth is not below the others'. It is for cases
// in which all requests can be answered within their aim.
func (r *scaleRig) checkNothingRefused(name string, s map[string]standin.Sums) {
	r.out.promise(s["node"].RefusedTries == 0, "%s: nothing is refused", name)
	r.checkWorth(name, s)
}

// shortenIfQuick returns d or, with -quick, a fifth of it.
func (r *scaleRig) shortenIfQuick(d time.Duration) time.Duration {
	if r.quick {
		return d / 5
	}
	return d
}

// lastIfQuick returns all cases or, with -quick, only the last.
func lastIfQuick[T any](r *scaleRig, cases ...T) []T {
	if r.quick {
		return cases[len(cases)-1:]
	}
	return cases
}

// step simulates servers whose cache goes cold: five times their work rises from 0.2 ms to 40 ms for 100 ms, then once for
// seconds.
func (r *scaleRig) step(ctx context.Context) error {
	fast := map[string]standin.Work{scaleClass.Name: {Time: 200 * time.Microsecond, Bytes: answerBytes}}
	cold := map[string]standin.Work{scaleClass.Name: {Time: 40 * time.Millisecond, Bytes: answerBytes}}
	for _, conns := range lastIfQuick(r, 256, 1024) {
		name := fmt.Sprintf("step.%d", conns)
		s, err := r.runCase(ctx, name, tableServers, 64, fast, []standin.Class{scaleClass}, func(n *node, f *fleet) standin.Sums {
			return r.runClosed(ctx, n, []standin.Class{scaleClass}, conns, 0, func() {
				for range 5 {
					f.setWork(cold)
					time.Sleep(100 * time.Millisecond)
					f.setWork(fast)
					time.Sleep(r.shortenIfQuick(400 * time.Millisecond))
				}
				f.setWork(cold)
				time.Sleep(r.shortenIfQuick(3 * time.Second))
				f.setWork(fast)
				time.Sleep(r.shortenIfQuick(2 * time.Second))
			})
		})
		if err != nil {
			return err
		}
		r.checkNothingRefused(name, s)
	}
	return nil
}

// mix sends a class of 0.2 ms and one of 200 ms to the same servers.
func (r *scaleRig) mix(ctx context.Context) error {
	quick, slow := scaleClass, scaleClass
	quick.Share, slow.Share, slow.Name = 0.9, 0.1, "replay-clip"
	classes := []standin.Class{quick, slow}
	work := map[string]standin.Work{quick.Name: {Time: 200 * time.Microsecond, Bytes: answerBytes}, slow.Name: {Time: 200 * time.Millisecond, Bytes: answerBytes}}
	for _, conns := range lastIfQuick(r, 64, 256) {
		name := fmt.Sprintf("mix.%d", conns)
		s, err := r.runCase(ctx, name, tableServers, 64, work, classes, func(n *node, f *fleet) standin.Sums {
			return r.runClosed(ctx, n, classes, conns, r.shortenIfQuick(5*time.Second), nil)
		})
		if err != nil {
			return err
		}
		r.checkNothingRefused(name, s)
	}
	return nil
}

// slow runs two cases: one server of eight becomes 50 times slower; all servers become twice as slow.
func (r *scaleRig) slow(ctx context.Context) error {
	work := map[string]standin.Work{scaleClass.Name: {Time: 4 * time.Millisecond, Bytes: answerBytes}}
	for _, c := range []struct {
		name   string
		change func(f *fleet)
	}{
		{"slow.one", func(f *fleet) { f.servers[0].SetWorkFactor(50) }},
		{"slow.all", func(f *fleet) {
			for _, s := range f.servers {
				s.SetWorkFactor(2)
			}
		}},
	} {
		s, err := r.runCase(ctx, c.name, tableServers, 16, work, []standin.Class{scaleClass}, func(n *node, f *fleet) standin.Sums {
			return r.runClosed(ctx, n, []standin.Class{scaleClass}, 64, 0, func() {
				time.Sleep(r.shortenIfQuick(time.Second))
				c.change(f)
				time.Sleep(r.shortenIfQuick(4 * time.Second))
			})
		})
		if err != nil {
			return err
		}
		r.checkNothingRefused(c.name, s)
	}
	return nil
}

// starved runs a second process that takes half of the node's core.
func (r *scaleRig) starved(ctx context.Context) error {
	work := map[string]standin.Work{scaleClass.Name: {Time: 2 * time.Millisecond, Bytes: answerBytes}}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s, err := r.runCase(ctx, "starved", tableServers, 64, work, []standin.Class{scaleClass}, func(n *node, f *fleet) standin.Sums {
		return r.runClosed(ctx, n, []standin.Class{scaleClass}, 256, 0, func() {
			time.Sleep(r.shortenIfQuick(time.Second))
			c, err := r.w.start(nil, self, "spin", fmt.Sprintf("-for=%v", r.shortenIfQuick(4*time.Second)))
			if err != nil {
				return
			}
			onCore(c.cmd.Process.Pid, nodeCore)
			<-c.ended
		})
	})
	if err != nil {
		return err
	}
	r.checkWorth("starved", s)
	return nil
}

// overload sends loads below and above the capacity of the servers' cores, from clients that send at a fixed rate without
// waiting for answers.
func (r *scaleRig) overload(ctx context.Context) error {
	const servers, cores = 8, 2
	work := mediaWork(1.5)
	mean := 0.0
	for _, c := range mediaClasses {
		mean += c.Share * work[c.Name].Time.Seconds()
	}
	for _, times := range lastIfQuick(r, 0.7, 1.5, 3) {
		name := fmt.Sprintf("overload.%.1f", times)
		late := time.Duration(0)
		s, err := r.runCase(ctx, name, servers, cores, work, mediaClasses, func(n *node, f *fleet) standin.Sums {
			ctx, cancel := context.WithTimeout(ctx, r.shortenIfQuick(12*time.Second))
			defer cancel()
			l := &standin.Load{Addr: n.addr, Classes: mediaClasses, Retries: 2, Prefix: "o-", Seed: r.seed}
			late = max(late, l.RunOpen(ctx, times*servers*cores/mean, 4000))
			return l.Sums()
		})
		if err != nil {
			return err
		}
		r.out.figure(name+".late", float64(late)/1e6, "ms, the most by which a request was sent late")
		r.checkWorth(name, s)
	}
	return nil
}
