package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["turn"] = playTurn }

// playTurn: a supervisor is killed in the middle of a turn, and started again.
func playTurn(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "broadcast-clip", Method: "GET", Share: 1, Worth: 12, Aim: 600 * time.Millisecond, Patience: 1200 * time.Millisecond},
		{Name: "cut-order", Method: "POST", Share: 1, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 100}}
	_, registry, err := w.servers(3, map[string]standin.Work{"broadcast-clip": {Time: 100 * time.Millisecond}, "cut-order": {Time: 200 * time.Millisecond}})
	if err != nil {
		return err
	}
	members, err := w.writeFleet(4, registry.Addr, classes, false, "")
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
	if err := await(ctx, "the supervisor's node is known", 20*time.Second, func() bool {
		text, _ := w.command(ctx, members[0], "release", "status")
		return strings.Contains(text, before+"  ready")
	}); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	requests := w.stream(loading, "client", m.listen, "GET", "broadcast-clip", 1200*time.Millisecond, 50*time.Millisecond)
	sleep(ctx, time.Second)
	old, err := nodeStatus(ctx, m)
	if err != nil {
		return err
	}
	if text, code := w.operate(ctx, members[0], "release", "start", plan); code != 0 {
		return fmt.Errorf("the release was not started: %s", text)
	}
	if err := await(ctx, "the turn begins", 20*time.Second, func() bool { return len(nodesOf(m)) == 2 }); err != nil {
		return err
	}
	if w.trouble {
		w.note(sup.name, "signal killed to pid %d; the nodes run on: %v", sup.Process.Pid, nodesOf(m))
		sup.kill()
		sleep(ctx, 2*time.Second)
		if status, err := nodeStatus(ctx, m); err == nil {
			w.note(m.name, "pid %d (at first %d) says that a successor serves: %v", status.Pid, old.Pid, status.Succeeded)
		}
		if sup, err = w.startSupervisor(m, file); err != nil {
			return err
		}
	}
	for range 40 {
		w.note(m.name, "processes %v", nodesOf(m))
		sleep(ctx, time.Second)
	}
	stop()
	refused, lost, first, last := 0, 0, time.Time{}, time.Time{}
	for _, s := range requests() {
		if s.connFailed {
			if refused++; first.IsZero() || s.sentAt.Before(first) {
				first = s.sentAt
			}
			if s.sentAt.After(last) {
				last = s.sentAt
			}
		}
		if s.lost() {
			lost++
			w.fault("%s", s.String())
		}
	}
	if refused > 0 {
		w.fault("%d clients were refused the connection, over %.3f s: the process that served was ended", refused, last.Sub(first).Seconds())
	}
	text, _ := w.command(ctx, members[0], "release", "status")
	w.note("play", "%d refused, %d lost; %s", refused, lost, text)
	raw, _ := os.ReadFile(file + ".log")
	for line := range strings.Lines(string(raw)) {
		w.note("log", "%s", strings.TrimSpace(line))
	}
	return nil
}
