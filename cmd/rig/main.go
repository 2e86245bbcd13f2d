// Command rig proves what the program promises: it starts the real program as processes of their own, with stand-ins
// from internal/standin around them, causes trouble, and judges by the stand-ins' and clients' logs alone.
//
//	rig NAME [-seed N] [-quick] [flags of NAME]
//
// It prints one "figure value unit" a line, then "kept" or "BROKEN" for each promise, and ends with status 1 if any is
// broken, 2 if it could not run. Everything stays on loopback, and every child ends with it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"starlingvalve/internal/rig/capacity"
	"starlingvalve/internal/rig/capacity/hollow"
	"starlingvalve/internal/standin"
)

// rig is one proving rig.
type rig struct {
	about string
	run   func(ctx context.Context, o *options) error
	flags func(fs *pflag.FlagSet, o *options) // of its own; nil: none
}

// options are the flags: those that all rigs have, and those of single ones.
type options struct {
	seed   uint64
	quick  bool
	binary string
	out    *report

	base, only     string // of scale
	servers        int    // of fleet
	cuts, requests int    // of gateway
	scenarios      string // of rehearse

	schedule, history string // of drains
	length            time.Duration
	model             bool // of release

	sections, results string // of capacity
	page              bool
}

var rigs = map[string]rig{
	"agreement": {"what agreement costs: grants, a new leader, 12 to 1,000 sessions", agreementRig, nil},
	"capacity": {"what each role takes as fleet, backends, services and tenants grow: hollow nodes before real control machines", capacityRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.sections, "only", "", "some of "+strings.Join(capacity.Sections(), ", ")+", by commas")
		fs.StringVar(&o.results, "results", "", "put the results of the sections that are run into this JSON `FILE`")
		fs.BoolVar(&o.page, "page", false, "run nothing: make the tables of "+capacity.PageFile+" from "+capacity.ResultsFile)
	}},
	"configuration": {"operators change a fleet's configuration through any node, while nodes and the paths between them break", configurationRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "history", "", "keep the history of all that happened in this `FILE`")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 5 minutes, or 28 s for -quick")
	}},
	"demo": {"two halls on loopback, of which one hands work to the other, until interrupted", demo, nil},
	"gateway": {"two halls with two nodes each and a link that is cut in many ways, beside the same without a link", gatewayRig, func(fs *pflag.FlagSet, o *options) {
		fs.IntVar(&o.cuts, "cuts", 60, "how often the link breaks")
		fs.IntVar(&o.requests, "requests", 20_000, "how many orders at least")
	}},
	"drains": {"operators drain servers through any node of a fleet, while nodes and the paths between them break", drainsRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "history", "", "keep the history of all that happened in this `FILE`")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 20 minutes, or 28 s for -quick")
	}},
	"fleet": {"thousands of servers, replaced and flapping, beside twelve", fleetRig, func(fs *pflag.FlagSet, o *options) {
		fs.IntVar(&o.servers, "servers", 10_000, "size of the large fleet: each takes a descriptor of the rig")
	}},
	"release": {"releases of versions that are good, and bad in each way, under load, while nodes, supervisors and the paths between them break", releaseRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "history", "", "keep the history of all that happened in this `FILE`")
		fs.StringVar(&o.only, "only", "", "some `KINDS` of versions, by commas")
		fs.BoolVar(&o.model, "model", false, "no processes: the table of kinds and ways in the model, 20 trials each")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 20 minutes, or one round for -quick")
	}},
	"scale": {"limits and path beside a plain proxy; steps, mixes, overload, a starved node", scale, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.base, "base", "", "a `build` of an earlier program, to be measured beside it")
		fs.StringVar(&o.only, "only", "", "some of table, step, mix, slow, starved, overload, by commas")
	}},
	"rehearse": {"scenarios in the model: the module beside baselines, with error bars", rehearse, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.scenarios, "scenarios", "deploy/scenarios", "`folder` of scenario files")
	}},
	"record": {"what recording traffic costs, beside the same node without", recordRig, nil},
	"soak": {"a fleet of real processes under random faults that overlap, judged by what clients, servers and discovery logged", soakRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "logs", "", "keep the logs of all processes in this `FOLDER`")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 3 minutes, or 26 s for -quick")
	}},
	"rules": {"the four rules under drains, cold starts, silent servers and overload", rules, nil},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run gives the exit status.
func run(ctx context.Context, args []string) int {
	o := &options{out: &report{w: os.Stdout}}
	if code := status(command(o, args).ExecuteContext(ctx)); code != 0 {
		return code
	}
	if o.out.broken > 0 {
		return 1
	}
	return 0
}

func command(o *options, args []string) *cobra.Command {
	root := &cobra.Command{Use: "rig NAME", Short: "Prove what the program promises, with stand-ins around the real one", SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE: func(c *cobra.Command, args []string) error {
			c.Help()
			return errors.New("want the name of a rig")
		}}
	root.PersistentFlags().Uint64Var(&o.seed, "seed", 1, "of every random draw")
	root.PersistentFlags().BoolVar(&o.quick, "quick", false, "end within a minute on two cores")
	root.PersistentFlags().StringVar(&o.binary, "bin", "", "the `program`; it is built where none is named")
	for name, r := range rigs {
		c := &cobra.Command{Use: name, Short: r.about, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return r.run(c.Context(), o) }}
		if r.flags != nil {
			r.flags(c.Flags(), o)
		}
		root.AddCommand(c)
	}
	// The parts of a rig that run as processes of their own.
	var listen, servers string
	proxy := &cobra.Command{Use: "proxy", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return plainProxy(c.Context(), listen, servers) }}
	proxy.Flags().StringVar(&listen, "listen", "", "address")
	proxy.Flags().StringVar(&servers, "servers", "", "addresses, by commas")
	var length time.Duration
	busy := &cobra.Command{Use: "spin", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return spin(c.Context(), length) }}
	busy.Flags().DurationVar(&length, "for", time.Second, "time, at most a minute")
	nodes := &cobra.Command{Use: "hollow FILE", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		return hollow.Main(args[0], os.Stdin, os.Stdout)
	}}
	// A flag of the program's own is not this command's.
	broken := &cobra.Command{Use: "failing PROGRAM", Hidden: true, DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error { return failing(args) }}
	root.AddCommand(proxy, busy, nodes, broken)
	root.SetArgs(dashes(args))
	return root
}

// dashes lets long flags have one dash, as in -quick: no flag here has a short form but -h.
func dashes(args []string) []string {
	out := append([]string(nil), args...)
	for i, a := range out {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' && (a[1] < '0' || a[1] > '9') {
			out[i] = "-" + a
		}
	}
	return out
}

func status(err error) int {
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	return 0
}

// report prints a rig's figures and verdicts.
type report struct {
	w      io.Writer
	broken int
}

func (r *report) figure(name string, value any, unit string) {
	if f, ok := value.(float64); ok {
		value = fmt.Sprintf("%.3f", f)
	}
	fmt.Fprintln(r.w, name, value, unit)
}

// promise prints kept or BROKEN.
func (r *report) promise(kept bool, format string, args ...any) {
	word := "kept"
	if !kept {
		word = "BROKEN"
		r.broken++
	}
	fmt.Fprintln(r.w, word, fmt.Sprintf(format, args...))
}

func (r *report) verdicts(list []standin.Verdict) {
	for _, v := range list {
		if v.ViolationCount > 0 {
			r.broken++
		}
		fmt.Fprintln(r.w, v)
	}
}
