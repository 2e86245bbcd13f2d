package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/cobra"

	"starlingvalve/internal/model"
	"starlingvalve/internal/trace"
)

// traceCommand returns the command "trace", with its subcommands for trace files.
func (o *options) traceCommand() *cobra.Command {
	root := &cobra.Command{Use: "trace", Short: "Inspect, anonymise or generate recorded traffic"}
	var shape, outPath string
	var length, think time.Duration
	var rate, sessions float64
	var seed uint64
	synth := &cobra.Command{Use: "synth SCENARIO", Short: "Generate a trace with a scenario's classes",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			sc, err := model.LoadScenario(args[0])
			if err != nil {
				return err
			}
			s := trace.Synth{Length: length, Rate: rate, Shape: trace.Shape(shape), OrdersPerSession: sessions,
				ThinkTime: think, Seed: seed}
			if !slices.Contains(trace.Shapes, s.Shape) {
				return fmt.Errorf("--shape: want one of %v, have %q", trace.Shapes, shape)
			}
			if length == 0 {
				s.Length = sc.Length
			}
			if rate == 0 {
				s.Rate = sc.Rate
			}
			for _, c := range sc.Classes {
				s.Classes = append(s.Classes, trace.SynthClass{Name: c.Name, Share: c.Share, Work: c.Work,
					WorkCV: c.WorkCV, Patience: c.Deadline})
			}
			return writeTrace(outPath, s.Generate)
		}}
	flags := synth.Flags()
	flags.StringVarP(&outPath, "out", "o", "", "write to this `FILE`")
	flags.StringVar(&shape, "shape", "steady", fmt.Sprintf("course of the rate over time: one of %v", trace.Shapes))
	flags.DurationVar(&length, "length", 0, "length of the trace; 0: the scenario's")
	flags.Float64Var(&rate, "rate", 0, "orders a second; 0: the scenario's")
	flags.Float64Var(&sessions, "sessions", 0, "mean orders of a session; 0: no sessions")
	flags.DurationVar(&think, "think", time.Second, "mean time between a session's orders")
	flags.Uint64Var(&seed, "seed", 1, "")
	synth.MarkFlagRequired("out")
	var anonymous string
	anonymise := &cobra.Command{Use: "anonymise FILE",
		Short: "Copy a trace with new hashes for tenants and orders, under a random key that is not kept",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var key [16]byte
			if _, err := rand.Read(key[:]); err != nil {
				return err
			}
			rehash := func(v uint64) uint64 {
				if v == 0 {
					return 0
				}
				return xxhash.Sum64(binary.LittleEndian.AppendUint64(key[:], v)) | 1
			}
			return writeTrace(anonymous, func(each func(*trace.Record) error) error {
				return o.readTrace(args[0], func(r *trace.Record) error {
					r.Tenant, r.Order = rehash(r.Tenant), rehash(r.Order)
					return each(r)
				})
			})
		}}
	anonymise.Flags().StringVarP(&anonymous, "out", "o", "", "write to this `FILE`")
	anonymise.MarkFlagRequired("out")
	root.AddCommand(synth, anonymise,
		&cobra.Command{Use: "cat FILE", Short: "Print the records as JSON lines", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				out := bufio.NewWriter(o.out)
				lines := json.NewEncoder(out)
				return errors.Join(o.readTrace(args[0], func(r *trace.Record) error { return lines.Encode(r) }),
					out.Flush())
			}},
		&cobra.Command{Use: "info FILE", Short: "Summarise a trace", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return o.traceInfo(args[0]) }})
	return root
}

// readTrace passes each readable record of a trace to each. Damage in the file is reported in one line on
// o.progress and is not an error.
func (o *options) readTrace(path string, each func(*trace.Record) error) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	err = trace.Read(f, each)
	var damage *trace.Damage
	if errors.As(err, &damage) {
		fmt.Fprintf(o.progress, "%s: %v; the other records are used\n", path, damage)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// writeTrace creates a trace file with the records that all passes to its argument.
func writeTrace(path string, all func(each func(*trace.Record) error) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w, err := trace.NewWriter(f)
	if err == nil {
		err = all(w.Write)
	}
	if err == nil {
		err = w.Flush()
	}
	return errors.Join(err, f.Close())
}

// traceInfo prints a table of the classes of a trace, with their tries, mean work and outcomes.
func (o *options) traceInfo(path string) error {
	type sums struct {
		tries, orders int
		work          time.Duration
		worked        int
		outcomes      map[trace.Outcome]int
	}
	classes := map[string]*sums{}
	var last time.Duration
	total := 0
	err := o.readTrace(path, func(r *trace.Record) error {
		classSums := classes[r.Class]
		if classSums == nil {
			classSums = &sums{outcomes: map[trace.Outcome]int{}}
			classes[r.Class] = classSums
		}
		total++
		classSums.tries++
		if !r.Repeat {
			classSums.orders++
		}
		if r.Work > 0 {
			classSums.work, classSums.worked = classSums.work+r.Work, classSums.worked+1
		}
		classSums.outcomes[r.Outcome]++
		last = max(last, r.At)
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s: %d tries in %v\n", path, total, last.Round(time.Millisecond))
	var names []string
	for name := range classes {
		names = append(names, name)
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\ttries\tfirst tries\tmean work seen\toutcomes")
	for _, name := range names {
		classSums := classes[name]
		work := "-"
		if classSums.worked > 0 {
			work = (classSums.work / time.Duration(classSums.worked)).Round(time.Microsecond).String()
		}
		var outcomes []string
		for out := trace.Unknown; out <= trace.ClientGone; out++ {
			if n := classSums.outcomes[out]; n > 0 {
				outcomes = append(outcomes, fmt.Sprintf("%d %v", n, out))
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", name, classSums.tries, classSums.orders, work,
			strings.Join(outcomes, ", "))
	}
	return w.Flush()
}

// replay returns the scenario with the orders of a trace, and prints what is replayed and what is left out.
func (o *options) replay(sc *model.Scenario, path string, scale float64, out io.Writer) (*model.Scenario, error) {
	var records []trace.Record
	if err := o.readTrace(path, func(r *trace.Record) error { records = append(records, *r); return nil }); err != nil {
		return nil, err
	}
	replay, info, err := sc.Replay(records, scale)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "%s: %d orders in %v; left out: %d repeated tries, %d of other classes\n", path, info.Orders,
		replay.Length.Round(time.Millisecond), info.Repeats, info.Unknown)
	return replay, nil
}
