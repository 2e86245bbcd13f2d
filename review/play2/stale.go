package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["stale"] = playStale }

// playStale: a voter is cut off from the others while a release is turned back, and then a supervisor is started again.
func playStale(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "cut-order", Method: "POST", Share: 1, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 100}}
	_, registry, err := w.servers(3, map[string]standin.Work{"cut-order": {Time: 1500 * time.Millisecond}})
	if err != nil {
		return err
	}
	members, err := w.writeFleet(4, registry.Addr, classes, true, "")
	if err != nil {
		return err
	}
	m := members[3]
	file, err := w.supervisorFile(m)
	if err != nil {
		return err
	}
	if _, err := w.startFleet(ctx, members[:3]); err != nil {
		return err
	}
	sup, err := w.startSupervisor(m, file)
	if err != nil {
		return err
	}
	defer func() { w.endSupervised(m, sup) }()
	if err := awaitStatus(ctx, sup, "http://"+m.listen+"/health/ready"); err != nil {
		return err
	}
	if err := w.awaitLive(ctx, members[0], 4); err != nil {
		return err
	}
	program, err := os.ReadFile(w.binary)
	if err != nil {
		return err
	}
	before, err := w.addProgram(file, "before", program)
	if err != nil {
		return err
	}
	next, err := w.addProgram(file, "next", append(program, "next"...))
	if err != nil {
		return err
	}
	plan, err := w.planRelease(next, before, m.name)
	if err != nil {
		return err
	}
	status := func(parts ...string) func() bool {
		return func() bool {
			text, _ := w.command(ctx, members[1], "release", "status")
			for _, part := range parts {
				if !strings.Contains(text, part) {
					return false
				}
			}
			return true
		}
	}
	if err := await(ctx, "the supervisor's node is known", 20*time.Second, status(before+"  ready")); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	requests := w.stream(loading, "client", m.listen, "POST", "cut-order", 6*time.Second, 250*time.Millisecond)
	defer requests()
	defer stop()
	sleep(ctx, 2*time.Second)
	if text, code := w.operate(ctx, members[1], "release", "start", plan); code != 0 {
		return fmt.Errorf("the release was not started: %s", text)
	}
	if err := await(ctx, "the turn", 10*time.Second, status("turn ")); err != nil {
		return err
	}
	sleep(ctx, 200*time.Millisecond)
	if w.trouble {
		w.note("wire", "n1 is cut off from n2 and n3")
		for _, other := range []int{1, 2} {
			members[0].wires[other].Cut(true, true)
			members[other].wires[0].Cut(true, true)
		}
	}
	if err := await(ctx, "the node is ready at the new version", 30*time.Second, status(next+"  ready")); err != nil {
		return err
	}
	if text, code := w.operate(ctx, members[1], "release", "back", "2026-12-a", "--why", "wrong prices"); code != 0 {
		return fmt.Errorf("the release was not turned back: %s", text)
	}
	if err := await(ctx, "turned back", 30*time.Second, status("turned back", before+"  ready")); err != nil {
		return err
	}
	w.operate(ctx, members[1], "release", "status")
	w.note(m.name, "runs %s", versionsOf(m))
	sleep(ctx, time.Second)
	w.note(sup.name, "signal killed to pid %d", sup.Process.Pid)
	sup.kill()
	sleep(ctx, 500*time.Millisecond)
	if sup, err = w.startSupervisor(m, file); err != nil {
		return err
	}
	stop()
	worst := ""
	for range 20 {
		sleep(ctx, time.Second)
		worst = versionsOf(m)
		w.note(m.name, "runs %s", worst)
	}
	text, _ := w.operate(ctx, members[1], "release", "status")
	if strings.Contains(worst, next) {
		w.fault("20 s after its supervisor was started again n4 runs %s, which was turned back: %s", next, strings.SplitN(text, "\n", 2)[0])
	}
	raw, _ := os.ReadFile(file + ".log")
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, "supervise") {
			w.note("log", "%s", strings.TrimSpace(line))
		}
	}
	return nil
}

// versionsOf returns the programs that a member's processes run.
func versionsOf(m *member) string {
	var list []string
	for _, pid := range nodesOf(m) {
		if exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); err == nil {
			list = append(list, filepath.Base(exe))
		}
	}
	return strings.Join(list, " and ")
}
