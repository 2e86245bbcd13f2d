// Command rehearse compares two versions of the decisions, of the settings or of the fleet in the model, with
// confidence intervals.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"starlingvalve/internal/experiment"
	"starlingvalve/internal/model"
	"starlingvalve/internal/report"
)

// Exit codes.
const (
	exitError = 1 // an invalid file or flag, or an I/O error
	exitWorse = 3 // --gate: b is worse
)

var errWorse = errors.New("b is worse")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command(os.Stdout, os.Stderr).ExecuteContext(ctx)
	switch {
	case errors.Is(err, errWorse):
		os.Exit(exitWorse)
	case err != nil:
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(exitError)
	}
}

// options are the values of the flags, and where output goes.
type options struct {
	a, b, json, html, resume string
	trace                    string
	width, scale             float64
	pairs, runs, workers     int
	budget                   time.Duration
	seed                     uint64
	gate                     bool
	policies                 []string
	loads                    []float64
	out, progress            io.Writer
}

// command returns the root command. Progress and warnings go to progress.
func command(out, progress io.Writer) *cobra.Command {
	opts := &options{out: out, progress: progress}
	root := &cobra.Command{Use: "rehearse",
		Short:         "Compare two versions in a model of the fleet, with confidence intervals",
		SilenceErrors: true, SilenceUsage: true}
	compare := &cobra.Command{Use: "compare SCENARIO",
		Short: "Run pairs of simulations until the interval is narrow enough", Args: cobra.ExactArgs(1),
		Long: "Simulates SCENARIO with two versions, a and b: each a policy (see rehearse policies) or a version file (*.toml).\n" +
			"Exit status 0; 1 if a file or a flag is invalid; 3 with --gate if b is worse.",
		RunE: func(c *cobra.Command, args []string) error { return opts.compare(c.Context(), args[0]) }}
	flags := compare.Flags()
	flags.StringVarP(&opts.a, "a", "a", "module", "one version: a `POLICY` or a version file")
	flags.StringVarP(&opts.b, "b", "b", "", "the other version")
	flags.Float64Var(&opts.width, "width", 0.005, "wanted half-width of the interval of worth")
	flags.IntVar(&opts.pairs, "pairs", 400, "maximum number of pairs")
	flags.DurationVar(&opts.budget, "budget", 2*time.Minute,
		"time limit, as estimated from the first ten pairs; 0: none")
	flags.Uint64Var(&opts.seed, "seed", 1, "seed of the first pair")
	flags.IntVar(&opts.workers, "workers", 0, "parallel runs; 0: one for each core")
	flags.StringVar(&opts.json, "json", "", "write the figures to this `FILE`")
	flags.StringVar(&opts.html, "html", "", "write a page with plots to this `FILE`")
	flags.StringVar(&opts.resume, "resume", "", "store the pairs in this `FILE`, and continue from those in it")
	flags.StringVar(&opts.trace, "trace", "", "replay the orders of this trace `FILE` in place of the scenario's")
	flags.Float64Var(&opts.scale, "trace-scale", 1,
		"orders replayed for each order of the trace, for a fleet of another size")
	flags.BoolVar(&opts.gate, "gate", false, "exit with status 3 if b is worse")
	compare.MarkFlagRequired("b")

	curve := &cobra.Command{Use: "curve SCENARIO", Short: "Worth against load for several policies",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return opts.curve(c.Context(), args[0]) }}
	flags = curve.Flags()
	flags.StringSliceVar(&opts.policies, "policies", policyNames(), "policies")
	flags.Float64SliceVar(&opts.loads, "loads", []float64{0.5, 1, 1.5, 2, 3}, "factors on the scenario's load")
	flags.IntVar(&opts.runs, "runs", 8, "runs of each policy at each load")
	flags.Uint64Var(&opts.seed, "seed", 1, "seed of the first run")
	flags.IntVar(&opts.workers, "workers", 0, "parallel runs; 0: one for each core")
	flags.StringVar(&opts.json, "json", "", "write the figures to this `FILE`")
	flags.StringVar(&opts.html, "html", "", "write a page with plots to this `FILE`")

	root.AddCommand(compare, curve, opts.traceCommand(),
		&cobra.Command{Use: "policies", Short: "List the policies and their sources", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				for _, p := range model.Policies() {
					fmt.Fprintf(out, "%-14s %s\n", p.Name, p.Source)
				}
				fmt.Fprintln(out, "\nSuffixes for a baseline's name: +retry adds Envoy's retry budget, +eject its outlier ejection.")
				return nil
			}},
		&cobra.Command{Use: "check FILE...", Short: "Check scenario and version files", Args: cobra.MinimumNArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				for _, path := range args {
					if err := checkFile(path); err != nil {
						return err
					}
					fmt.Fprintf(out, "%s: good\n", path)
				}
				return nil
			}})
	return root
}

// policyNames returns the names of all policies without options.
func policyNames() (list []string) {
	for _, p := range model.Policies() {
		list = append(list, p.Name)
	}
	return list
}

// checkFile accepts a file that is a valid scenario or a valid version file. Otherwise it returns the error of
// reading it as a scenario.
func checkFile(path string) error {
	_, err := model.LoadScenario(path)
	if err == nil {
		return nil
	}
	if _, second := model.FindVersion(path); second == nil && strings.HasSuffix(path, ".toml") {
		return nil
	}
	return err
}

// compare runs the command "compare" with the scenario file path.
func (o *options) compare(ctx context.Context, path string) error {
	sc, err := model.LoadScenario(path)
	if err != nil {
		return err
	}
	depends := []string{path, o.a, o.b}
	if o.trace != "" {
		if sc, err = o.replay(sc, o.trace, o.scale, o.out); err != nil {
			return err
		}
		depends = append(depends, o.trace, fmt.Sprint(o.scale))
	}
	var sides [2]*model.Scenario
	for i, name := range []string{o.a, o.b} {
		v, err := model.FindVersion(name)
		if err != nil {
			return err
		}
		sides[i] = v.Apply(sc, [...]string{"a", "b"}[i])
	}
	values := func(sc *model.Scenario) func(uint64) []float64 {
		return func(seed uint64) []float64 {
			if ctx.Err() != nil { // interrupted: the pair is discarded
				return make([]float64, len(sc.Measures()))
			}
			return model.SimulateFull(sc, seed).Values()
		}
	}
	plan := experiment.Plan{Measures: sc.Measures(), A: values(sides[0]), B: values(sides[1]), Width: o.width,
		MaxPairs: o.pairs, Budget: o.budget, FirstSeed: o.seed, Workers: o.workers,
		Progress: func(done, wanted int) { fmt.Fprintf(o.progress, "\r%d of %d pairs ", done, wanted) }}
	if o.resume != "" {
		journal, err := openJournal(o.resume, depends, sc.Measures())
		if err != nil {
			return err
		}
		defer journal.Close()
		plan.KnownPairs = journal.pairs
		plan.OnPair = func(p experiment.Pair) error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return journal.add(p)
		}
	}
	result, err := experiment.Run(ctx, plan)
	fmt.Fprintln(o.progress)
	if err != nil {
		return err
	}
	comparison := &report.Comparison{Scenario: strings.TrimSuffix(filepath.Base(path), ".toml"), A: o.a, B: o.b,
		Seed: o.seed, Width: o.width, Wanted: result.WantedPairs, Intervals: result.Intervals}
	if err := comparison.Text(o.out); err != nil {
		return err
	}
	if o.html != "" {
		for i, side := range sides {
			comparison.Timelines[i] = model.SimulateFull(side, o.seed).Timeline
		}
	}
	if err := o.write(comparison); err != nil {
		return err
	}
	if o.gate && comparison.Intervals[0].High < 0 {
		return errWorse
	}
	return nil
}

// curve runs the command "curve" with the scenario file path.
func (o *options) curve(ctx context.Context, path string) error {
	sc, err := model.LoadScenario(path)
	if err != nil {
		return err
	}
	curve := &report.Curve{Loads: o.loads, Names: o.policies, Lines: map[string][]report.Estimate{}}
	fmt.Fprintf(o.out, "%-24s", "worth in time")
	for _, load := range o.loads {
		if !(load > 0 && load <= 10) {
			return fmt.Errorf("--loads: want above 0 and at most 10, have %v", load)
		}
		fmt.Fprintf(o.out, "%8.2f", load)
	}
	fmt.Fprintln(o.out)
	for _, name := range o.policies {
		v, err := model.FindVersion(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%-24s", name)
		for _, load := range o.loads {
			side := v.Apply(sc.ScaleLoad(load), "a")
			e, err := estimate(ctx, side, o)
			if err != nil {
				return err
			}
			curve.Lines[name] = append(curve.Lines[name], e)
			fmt.Fprintf(o.out, "%8.3f", e.Mean)
		}
		fmt.Fprintln(o.out)
	}
	return o.write(&report.Comparison{Scenario: strings.TrimSuffix(filepath.Base(path), ".toml"), Seed: o.seed,
		Curve: curve})
}

// estimate returns the mean worth in time over some runs, with its interval. It compares with a version that
// always measures 0, so that the difference is the worth itself.
func estimate(ctx context.Context, sc *model.Scenario, o *options) (report.Estimate, error) {
	r, err := experiment.Run(ctx, experiment.Plan{Measures: []string{"worth in time"}, FirstSeed: o.seed,
		PilotPairs: max(2, o.runs), MaxPairs: max(2, o.runs), Width: 1, Workers: o.workers,
		A: func(uint64) []float64 { return []float64{0} },
		B: func(seed uint64) []float64 { return []float64{model.Simulate(sc, seed).WorthFraction()} }})
	if err != nil {
		return report.Estimate{}, err
	}
	i := r.Intervals[0]
	return report.Estimate{Mean: i.Mean, Low: i.Low, High: i.High}, nil
}

// write writes the JSON and HTML files that the flags name.
func (o *options) write(c *report.Comparison) error {
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{o.json, c.JSON}, {o.html, c.HTML}} {
		if f.path == "" {
			continue
		}
		to, err := os.Create(f.path)
		if err != nil {
			return err
		}
		if err := errors.Join(f.write(to), to.Close()); err != nil {
			return fmt.Errorf("%s: %w", f.path, err)
		}
	}
	return nil
}
