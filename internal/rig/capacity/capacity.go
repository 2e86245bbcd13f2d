// Package capacity is the rig behind docs/CAPACITY.md. It measures what each role of the program costs (processor
// time, memory, traffic, time) as the numbers of nodes, backends, services and tenants grow towards the design
// size, at four sizes or more each, with real control machines and hollow nodes (package hollow). Results go into
// a JSON file, from which the page's tables are made.
package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Design is the size that the program is planned for. Requests are those of the whole fleet in a second.
var Design = struct {
	Nodes, Backends, Services, Routes, Tenants, Requests, ChangesADay float64
}{Nodes: 730, Backends: 8600, Services: 340, Routes: 2600, Tenants: 18_000, Requests: 65_000, ChangesADay: 4000}

// Budgets of the control part of one node, and of the latency that a node adds to a request.
const (
	BudgetCores        = 0.041  // of a core
	BudgetMemory       = 32.0   // MiB
	BudgetBytes        = 7000.0 // bytes a second
	BudgetInForce      = 3.0    // seconds from the commit of a change until the last node has it
	BudgetAddedLatency = 6.6    // ms at the 99th percentile
)

// Options are the options of a run.
type Options struct {
	Seed          uint64
	Quick         bool   // the short form for CI, with 40 hollow nodes
	SectionNames  string // names of sections, separated by commas; empty: all, or those of the quick form
	Program       string // path of the node program; empty: it is built
	HollowProgram string // path of a program that calls hollow.Main when its arguments are "hollow FILE"
	Results       string // file to which the results of the sections are written; empty: none
	Out           io.Writer
}

// run is a run of the rig.
type run struct {
	Options
	program, hollowProgram string
	folder                 string
	bounds                 bounds
	guard                  *guard
}

// section is one part of the rig's measurements.
type section struct {
	name  string
	quick bool // part of the quick form
	run   func(r *run, ctx context.Context, s *Section) error
}

var sections = []section{
	{"calibrate", false, (*run).calibrate},
	{"nodes", true, (*run).nodes},
	{"regions", false, (*run).regions},
	{"modules", true, (*run).modules},
	{"messages", true, (*run).messages},
	{"latency", false, (*run).latency},
	{"configuration", true, (*run).configuration},
}

// Sections returns the names of all sections, in the order in which they run.
func Sections() (names []string) {
	for _, s := range sections {
		names = append(names, s.name)
	}
	return names
}

// Run runs the selected sections and returns how many promises were broken. A section that fails counts as one.
func Run(ctx context.Context, o Options) (broken int, err error) {
	r := &run{Options: o, program: o.Program, hollowProgram: o.HollowProgram}
	if r.bounds, err = machineBounds(); err != nil {
		return 0, err
	}
	if r.folder, err = os.MkdirTemp("", "capacity"); err != nil {
		return 0, err
	}
	defer os.RemoveAll(r.folder)
	list, err := selectedSections(o)
	if err != nil {
		return 0, err
	}
	if r.program == "" {
		r.program = filepath.Join(r.folder, "starlingvalve")
		if err := build(ctx, r.program); err != nil {
			return 0, err
		}
	}
	ctx, r.guard = watch(ctx, r.bounds, o.Out)
	if err := r.guard.measureDisk(ctx, r.folder); err != nil {
		return 0, err
	}
	for _, part := range list {
		s := &Section{Name: part.name, Began: time.Now().UTC().Truncate(time.Second), Seed: o.Seed, Quick: o.Quick,
			Machine: machineNote(r.bounds), Load: loadNote()}
		began := time.Now()
		err := part.run(r, ctx, s)
		if ctx.Err() != nil {
			return broken, context.Cause(ctx)
		}
		if err != nil {
			s.addMissing(o.Out, "", err) // the figures that it has measured so far are kept
			broken++
		}
		s.Took, s.Load = time.Since(began), s.Load+" to "+loadNote()
		s.Peak.Processes, s.Peak.Memory = int(r.guard.peak.processes.Swap(0)), int(r.guard.peak.memory.Swap(0))
		s.addFigure(o.Out, "harness.late", s.MaxDelay.Seconds()*1e3,
			"ms, the longest by which cores or disk were late where times were measured")
		s.addFigure(o.Out, "harness.void", float64(r.guard.voidRuns.Swap(0)),
			"runs that were void as the machine was late, and made again")
		broken += s.brokenPromises()
		if err := r.saveResults(s); err != nil {
			return broken, err
		}
	}
	return broken, ctx.Err()
}

// selectedSections returns the sections that the options select, or an error for an unknown name.
func selectedSections(o Options) (list []section, err error) {
	var names []string
	if o.SectionNames != "" {
		names = strings.Split(o.SectionNames, ",")
	}
	for _, s := range sections {
		if at := slices.Index(names, s.name); at >= 0 {
			names = slices.Delete(names, at, at+1)
			list = append(list, s)
		} else if o.SectionNames == "" && (s.quick || !o.Quick) {
			list = append(list, s)
		}
	}
	if len(names) > 0 {
		return nil, fmt.Errorf("no section %q", names[0])
	}
	return list, nil
}

// saveResults writes a section's run to the results file, in place of an earlier run of that section.
func (r *run) saveResults(s *Section) error {
	if r.Results == "" {
		return nil
	}
	all, err := Read(r.Results)
	if err != nil {
		return err
	}
	all.replaceSection(s)
	return all.Write(r.Results)
}
