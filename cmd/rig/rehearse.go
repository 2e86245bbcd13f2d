package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"starlingvalve/internal/experiment"
	"starlingvalve/internal/model"
)

// rehearse runs scenarios in the simulation model, and compares the program's policy with the usual ones, random and the
// least loaded of two, with confidence intervals. It also checks the method: the policy compared with itself must show no
// difference, and servers that are 2% slower must show one.
func rehearse(ctx context.Context, o *options) error {
	files, err := filepath.Glob(filepath.Join(o.scenarios, "*.toml"))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("%s: no scenario there; name a folder with -scenarios", o.scenarios)
	}
	pairs := 12
	if o.quick {
		pairs = 4
	}
	for _, path := range files {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		sc, err := model.LoadScenario(path)
		if err != nil {
			return err
		}
		doubled := 0
		worth := func(make func() *model.Scenario) func(uint64) float64 {
			return func(seed uint64) float64 {
				if ctx.Err() != nil {
					return 0
				}
				s := model.Simulate(make(), seed)
				doubled += s.DuplicateRuns
				return s.WorthFraction()
			}
		}
		with := func(change func(*model.Scenario)) func() *model.Scenario {
			return func() *model.Scenario {
				c := *sc
				c.Servers = append([]model.ServerSpec(nil), sc.Servers...)
				change(&c)
				return &c
			}
		}
		ours := with(func(*model.Scenario) {})
		for _, other := range []struct {
			name   string
			change func(*model.Scenario)
		}{{"random", func(c *model.Scenario) { c.Policy = model.Random() }},
			{"least-of-two", func(c *model.Scenario) { c.Policy = model.LeastOfTwo() }}} {
			i, err := experiment.Compare(worth(with(other.change)), worth(ours), o.seed, pairs, 0.95)
			if err != nil {
				return err
			}
			o.out.figure("rehearse."+name+"."+other.name, i, "worth, the program's less that of the other policy")
		}
		o.out.promise(doubled == 0, "%s: no unsafe request runs twice", name)
		if name != "retry-storm" { // the scenario that has too few servers all the time
			continue
		}
		slower := with(func(c *model.Scenario) {
			for i := range c.Servers {
				c.Servers[i].Speed *= 0.98
			}
		})
		same, err := experiment.Compare(worth(ours), worth(ours), o.seed, pairs, 0.95)
		if err != nil {
			return err
		}
		o.out.promise(same.Covers(0), "%s: against itself the interval covers zero: %v", name, same)
		planted, err := experiment.Compare(worth(ours), worth(slower), o.seed, pairs, 0.95)
		if err != nil {
			return err
		}
		o.out.promise(planted.High < 0, "%s: servers 2%% slower are detected: %v", name, planted)
	}
	if err := ctx.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return ctx.Err()
}
