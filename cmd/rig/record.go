package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"starlingvalve/internal/standin"
	"starlingvalve/internal/trace"
)

// minRecordingRateRatio is the least accepted request rate of a node that records, as a fraction of the rate of one that
// does not.
const minRecordingRateRatio = 0.98

// recordRig measures the cost of recording traffic. It loads two nodes in turn on one core; one of them records all
// requests.
func recordRig(ctx context.Context, o *options) error {
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	rounds, window := 11, 2*time.Second
	if o.quick {
		rounds, window = 7, time.Second
	}
	f, err := newFleet(tableServers, 0, 0, map[string]standin.Work{scaleClass.Name: {Bytes: answerBytes}})
	if err != nil {
		return err
	}
	defer f.Close()
	f.setLog(false)
	into := filepath.Join(w.dir, "traffic")
	file := filepath.Join(w.dir, "record.toml")
	text := fmt.Sprintf("[record]\npath = %q\nper_second = 100000\nfiles = 1\nkey = \"00112233445566778899aabbccddeeff\"\n", into)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	rate, cost, with, err := o.compareWithFlags(ctx, w, f, "record", rounds, window, "-record", file)
	if err != nil {
		return err
	}
	with.stop()
	o.out.figure("record.rate", rate, "times the requests a second without recording, median of the rounds")
	o.out.figure("record.cpu", cost, "times the processor time a request, median of the rounds")
	records := 0
	from, err := os.Open(into)
	if err != nil {
		return err
	}
	defer from.Close()
	err = trace.Read(from, func(*trace.Record) error { records++; return nil })
	size, _ := from.Stat()
	o.out.figure("record.records", records, "attempts recorded")
	o.out.figure("record.bytes", float64(size.Size())/float64(max(1, records)), "bytes for each attempt")
	o.out.promise(err == nil && records > 0, "the trace is complete: %v", err)
	o.out.promise(rate >= minRecordingRateRatio, "with recording at least %.2f of the requests a second", minRecordingRateRatio)
	return nil
}

// compareWithFlags compares a node that has the flags args with one that has none. Both run on one core and are loaded in
// turn, for window in each of rounds. rate and cost are the requests a second and the processor time of a request, each as
// the median over the rounds of its ratio to that of the node without flags. The node with the flags keeps running.
func (o *options) compareWithFlags(ctx context.Context, w *workspace, f *fleet, name string, rounds int, window time.Duration, args ...string) (rate, cost float64, flagged *node, err error) {
	var nodes [2]*node
	for i := range nodes {
		opts := nodeOptions{name: fmt.Sprint(name, i), registry: f.registry.Addr, classes: []standin.Class{scaleClass}, memoryMB: 192, sockets: 1024, zone: "hall-a", coldFrom: 0.3, coldTime: time.Second}
		if i == 1 {
			opts.args = args
		}
		if nodes[i], err = w.node(ctx, w.binary, opts); err != nil {
			return 0, 0, nil, err
		}
		if err := onCore(nodes[i].cmd.Process.Pid, runtime.NumCPU()-1); err != nil {
			return 0, 0, nil, err
		}
	}
	r := &scaleRig{options: o}
	var ratios, costs []float64
	for range rounds {
		var rate, cpu [2]float64
		for i, n := range nodes {
			if ctx.Err() != nil {
				return 0, 0, nil, ctx.Err()
			}
			before := n.cpu()
			s := r.runClosed(ctx, n, []standin.Class{scaleClass}, 64, window, nil)
			rate[i] = float64(s.Served)
			cpu[i] = float64(n.cpu()-before) / float64(max(1, s.Served))
		}
		ratios, costs = append(ratios, rate[1]/max(rate[0], 1)), append(costs, cpu[1]/max(cpu[0], 1))
	}
	return median(ratios), median(costs), nodes[1], nil
}
