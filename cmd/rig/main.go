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
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"

	"starlingvalve/internal/standin"
)

// rig is one proving rig.
type rig struct {
	about string
	run   func(ctx context.Context, o *options, args []string) error
}

// options are the flags that all rigs have.
type options struct {
	seed  uint64
	quick bool
	out   *report
}

var rigs = map[string]rig{
	"demo":    {"a registry, three servers and a node on loopback, with a small load, until interrupted", demo},
	"gateway": {"two halls with two nodes each and a link that is cut in many ways, beside the same without a link", gatewayRig},
	"fleet":   {"thousands of servers, replaced and flapping, beside twelve", fleetRig},
	"scale":   {"limits and path beside a plain proxy; steps, mixes, overload, a starved node", scale},
	"rules":   {"the four rules under drains, cold starts, silent servers and overload", rules},
}

// hidden are the parts of a rig that run as processes of their own.
var hidden = map[string]func(context.Context, []string) error{"proxy": plainProxy, "spin": spin}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		usage()
		return 2
	}
	if part := hidden[args[0]]; part != nil {
		return status(part(ctx, args[1:]))
	}
	r, known := rigs[args[0]]
	if !known {
		usage()
		return 2
	}
	o := &options{out: &report{w: os.Stdout}}
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.Uint64Var(&o.seed, "seed", 1, "of every random draw")
	fs.BoolVar(&o.quick, "quick", false, "end within a minute on two cores")
	var rest []string
	for _, a := range args[1:] { // the common flags first, the others are the rig's own
		if strings.HasPrefix(a, "-seed=") || a == "-quick" {
			if err := fs.Parse([]string{a}); err != nil {
				return 2
			}
			continue
		}
		rest = append(rest, a)
	}
	for i := 0; i+1 < len(rest); i++ {
		if rest[i] == "-seed" {
			if err := fs.Parse(rest[i : i+2]); err != nil {
				return 2
			}
			rest = append(rest[:i:i], rest[i+2:]...)
		}
	}
	if code := status(r.run(ctx, o, rest)); code != 0 {
		return code
	}
	if o.out.broken > 0 {
		return 1
	}
	return 0
}

func status(err error) int {
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	return 0
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: rig NAME [-seed N] [-quick]")
	var names []string
	for n := range rigs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(os.Stderr, "  %-8s %s\n", n, rigs[n].about)
	}
}

// report prints a rig's figures and verdicts.
type report struct {
	w      *os.File
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
		if v.Count > 0 {
			r.broken++
		}
		fmt.Fprintln(r.w, v)
	}
}
