// Command rig tests the real program end to end. It starts the program as separate processes, with stand-ins from
// internal/standin for servers, discovery and clients, causes faults, and judges the outcome. Most verdicts rest on the
// logs of the stand-ins and clients alone.
//
//	rig NAME [-seed N] [-quick] [flags of NAME]
//
// It prints a line "figure value unit" for each figure and a line that begins with "kept" or "BROKEN" for each promise.
// The exit status is 1 if a promise is broken and 2 if the rig could not run. All traffic stays on loopback, and all child
// processes end with the rig.
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

// rig is one of the command's test rigs.
type rig struct {
	summary string
	run     func(ctx context.Context, o *options) error
	flags   func(fs *pflag.FlagSet, o *options) // adds the rig's own flags; nil: none
}

// options are the values of the flags, both those of all rigs and those of single rigs.
type options struct {
	seed   uint64
	quick  bool
	binary string
	out    *report

	base, only     string // of scale
	servers        int    // of fleet
	cuts, requests int    // of gateway
	scenarios      string // of rehearse

	schedule, history string // of drains, configuration, release and soak
	length            time.Duration
	model             bool // of release

	sections, results string // of capacity
	page              bool
}

// rigs are all rigs by name.
var rigs = map[string]rig{
	"agreement": {"the cost of the replicated log: grants, a new leader, 12 to 1,000 sessions", agreementRig, nil},
	"capacity": {"resources that each role needs as fleet, backends, services and tenants grow, with simulated nodes and real control machines", capacityRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.sections, "only", "", "some of "+strings.Join(capacity.Sections(), ", ")+", separated by commas")
		fs.StringVar(&o.results, "results", "", "write the results of the sections that are run to this JSON `FILE`")
		fs.BoolVar(&o.page, "page", false, "run nothing, but write the tables of "+capacity.PageFile+" from "+capacity.ResultsFile)
	}},
	"configuration": {"operators change a fleet's configuration through any node, while nodes and the paths between them break", configurationRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "history", "", "keep the history of all that happened in this `FILE`")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 5 minutes, or 28 s for -quick")
	}},
	"demo": {"two sites on loopback, of which one hands off requests to the other, until interrupted", demo, nil},
	"gateway": {"two sites with two nodes each and a link that breaks in many ways, compared with the same sites without a link", gatewayRig, func(fs *pflag.FlagSet, o *options) {
		fs.IntVar(&o.cuts, "cuts", 60, "how many times the link breaks")
		fs.IntVar(&o.requests, "requests", 20_000, "least number of requests")
	}},
	"drains": {"operators drain servers through any node of a fleet, while nodes and the paths between them break", drainsRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "history", "", "keep the history of all that happened in this `FILE`")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 20 minutes, or 28 s for -quick")
	}},
	"fleet": {"thousands of servers, replaced and flapping, compared with twelve", fleetRig, func(fs *pflag.FlagSet, o *options) {
		fs.IntVar(&o.servers, "servers", 10_000, "servers of the large fleet; each takes a file descriptor of the rig")
	}},
	"release": {"releases of versions that are good, and bad in each way, under load, while nodes, supervisors and the paths between them break", releaseRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "history", "", "keep the history of all that happened in this `FILE`")
		fs.StringVar(&o.only, "only", "", "some `KINDS` of versions, separated by commas")
		fs.BoolVar(&o.model, "model", false, "start no processes, and print the table of kinds of versions and ways to release in the model, 20 trials each")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 20 minutes, or one round for -quick")
	}},
	"scale": {"limits and request path compared with a plain proxy; load steps, mixes, overload, a node short of processor time", scale, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.base, "base", "", "`binary` of an earlier build to measure too")
		fs.StringVar(&o.only, "only", "", "some of table, step, mix, slow, starved, overload, separated by commas")
	}},
	"rehearse": {"scenarios in the simulation model: the program's policy compared with others, with confidence intervals", rehearse, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.scenarios, "scenarios", "deploy/scenarios", "`folder` of scenario files")
	}},
	"record": {"the cost of recording traffic, compared with the same node without", recordRig, nil},
	"soak": {"a fleet of real processes under random faults that overlap, judged by what clients, servers and discovery logged", soakRig, func(fs *pflag.FlagSet, o *options) {
		fs.StringVar(&o.schedule, "schedule", "", "replay the faults of this `FILE`, as an earlier run printed them")
		fs.StringVar(&o.history, "logs", "", "keep the logs of all processes in this `FOLDER`")
		fs.DurationVar(&o.length, "length", 0, "of the run; 0: 3 minutes, or 26 s for -quick")
	}},
	"rules": {"the four rules under drains, cold starts, unresponsive servers and overload", rules, nil},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run runs the command line args and returns the exit status.
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

// command makes the command line: a command for each rig, and hidden ones for parts of rigs that run as processes.
func command(o *options, args []string) *cobra.Command {
	root := &cobra.Command{Use: "rig NAME", Short: "Test the real program end to end, with stand-ins for servers, discovery and clients", SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE: func(c *cobra.Command, args []string) error {
			c.Help()
			return errors.New("name a rig to run")
		}}
	root.PersistentFlags().Uint64Var(&o.seed, "seed", 1, "seed of all random draws")
	root.PersistentFlags().BoolVar(&o.quick, "quick", false, "end within a minute on two cores")
	root.PersistentFlags().StringVar(&o.binary, "bin", "", "`path` of the program; built if empty")
	for name, r := range rigs {
		c := &cobra.Command{Use: name, Short: r.summary, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return r.run(c.Context(), o) }}
		if r.flags != nil {
			r.flags(c.Flags(), o)
		}
		root.AddCommand(c)
	}
	// Parts of rigs that run as separate processes.
	var listen, servers string
	proxyCmd := &cobra.Command{Use: "proxy", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return plainProxy(c.Context(), listen, servers) }}
	proxyCmd.Flags().StringVar(&listen, "listen", "", "address")
	proxyCmd.Flags().StringVar(&servers, "servers", "", "addresses, separated by commas")
	var length time.Duration
	spinCmd := &cobra.Command{Use: "spin", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return spin(c.Context(), length) }}
	spinCmd.Flags().DurationVar(&length, "for", time.Second, "time, at most a minute")
	hollowCmd := &cobra.Command{Use: "hollow FILE", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		return hollow.Main(args[0], os.Stdin, os.Stdout)
	}}
	// The program's flags must not be parsed as flags of this command.
	failingCmd := &cobra.Command{Use: "failing PROGRAM", Hidden: true, DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error { return execWithFailingCalls(args) }}
	root.AddCommand(proxyCmd, spinCmd, hollowCmd, failingCmd)
	root.SetArgs(doubleDashFlags(args))
	return root
}

// doubleDashFlags lets long flags have one dash, as in -quick, by adding the second. Only -h has a short form.
func doubleDashFlags(args []string) []string {
	out := append([]string(nil), args...)
	for i, a := range out {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' && (a[1] < '0' || a[1] > '9') {
			out[i] = "-" + a
		}
	}
	return out
}

// status prints an error and returns the exit status for it: 2, or 0 for no error or an interruption.
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

// figure prints a measured value with its unit.
func (r *report) figure(name string, value any, unit string) {
	if f, ok := value.(float64); ok {
		value = fmt.Sprintf("%.3f", f)
	}
	fmt.Fprintln(r.w, name, value, unit)
}

// promise prints a promise after kept or BROKEN, and counts the broken ones.
func (r *report) promise(kept bool, format string, args ...any) {
	verdict := "kept"
	if !kept {
		verdict = "BROKEN"
		r.broken++
	}
	fmt.Fprintln(r.w, verdict, fmt.Sprintf(format, args...))
}

// verdicts prints the verdicts of checkers, and counts the broken ones.
func (r *report) verdicts(list []standin.Verdict) {
	for _, v := range list {
		if v.ViolationCount > 0 {
			r.broken++
		}
		fmt.Fprintln(r.w, v)
	}
}
