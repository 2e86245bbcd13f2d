package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["twice"] = playTwice }

// playTwice: a node of a new version crashes once while the leader's answers to its machine get lost.
func playTwice(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "cut-order", Method: "POST", Share: 1, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 100}}
	_, registry, err := w.servers(3, map[string]standin.Work{"cut-order": {Time: 200 * time.Millisecond}})
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
	ready := func(version string) func() bool {
		return func() bool {
			text, _ := w.command(ctx, members[0], "release", "status")
			return strings.Contains(text, version+"  ready")
		}
	}
	if err := await(ctx, "the supervisor's node is known", 20*time.Second, ready(before)); err != nil {
		return err
	}
	if text, code := w.operate(ctx, members[0], "release", "start", plan); code != 0 {
		return fmt.Errorf("the release was not started: %s", text)
	}
	if err := await(ctx, "the node is ready at the new version", 30*time.Second, ready(next)); err != nil {
		return err
	}
	sleep(ctx, 2*time.Second)
	leader := -1
	for i, v := range members[:3] {
		if status, err := nodeStatus(ctx, v); err == nil && status.Voter == "leads" {
			leader = i
		}
	}
	if leader < 0 {
		return fmt.Errorf("no leader")
	}
	if w.trouble {
		w.note("wire", "answers from %s, which leads, to %s get lost", members[leader].name, m.name)
		m.wires[leader].CutDirection(false, true)
	}
	status, err := nodeStatus(ctx, m)
	if err != nil {
		return err
	}
	w.note(m.name, "signal killed to the node, pid %d: the only crash", status.Pid)
	syscall.Kill(status.Pid, syscall.SIGKILL)
	sleep(ctx, 3*time.Second)
	if w.trouble {
		w.note("wire", "answers pass again")
		m.wires[leader].CutDirection(false, false)
	}
	sleep(ctx, 5*time.Second)
	text, code := w.operate(ctx, members[(leader+1)%3], "release", "status")
	if code != 0 {
		return fmt.Errorf("no status: %s", text)
	}
	history, _ := w.operate(ctx, members[(leader+1)%3], "fleet", "history")
	crashes := strings.Count(history, "crashed:")
	if strings.Contains(text, "crashes of version") || crashes > 1 {
		w.fault("one crash was counted as %d: %s", crashes, strings.SplitN(text, "\n", 2)[0])
	}
	raw, _ := os.ReadFile(file + ".log")
	for line := range strings.Lines(string(raw)) {
		w.note("log", "%s", strings.TrimSpace(line))
	}
	return nil
}
