package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingvalve/internal/control"
)

// processesOf returns the process IDs of the nodes that run with a member's fleet file; supervisors are not included.
func processesOf(m *clusterMember) (pids []string) {
	files, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	for _, f := range files {
		if raw, err := os.ReadFile(f); err == nil && strings.Contains(string(raw), "-fleet\x00"+m.file) {
			pids = append(pids, filepath.Base(filepath.Dir(f)))
		}
	}
	return pids
}

// Guards against two processes of one node, which could serve at once. Of two supervisors, the second starts nothing while
// the first runs, and adopts the same process once the first is killed. A supervisor that is killed in the middle of a turn
// leaves two processes; the next one ends the process that does not serve, completes the turn, and one process is left.
func TestSupervisors(t *testing.T) {
	w, err := newWorkspace(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	f, err := openZones(2, []string{"a"}, 4, mediaWork(0.2))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p, err := (&cluster{w: w, registry: f.registry.Addr, voters: 3, watched: true, history: &history{out: os.Stderr, began: time.Now()}}).open(t.Context(), 3, []string{"a"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	m := p.members[0]
	pid := func() int {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h, err := control.NewAPIClient(m.socket).Status(ctx)
		if err != nil {
			return 0
		}
		return h.Pid
	}
	waitUntil := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(settleWait); !done(); sleepFor(t.Context(), 20*time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within %v; processes %v\n%s", what, settleWait, processesOf(m), strings.Join(m.logs(), "\n"))
			}
		}
	}
	logged := func(part string) func() bool {
		return func() bool { return strings.Contains(strings.Join(m.logs(), ""), part) }
	}
	node, first := pid(), m.proc
	if err := p.startMember(t.Context(), 0); err != nil { // the first supervisor's node answers the readiness check
		t.Fatal(err)
	}
	waitUntil("the second waits", logged("another supervisor keeps this node"))
	if list := processesOf(m); len(list) != 1 || pid() != node {
		t.Errorf("two supervisors run %v; %d served before, %d now", list, node, pid())
	}
	first.kill()
	waitUntil("the second adopts the node", logged(fmt.Sprintf("takes up the node that runs\" pid=%d", node)))
	if list := processesOf(m); len(list) != 1 || pid() != node {
		t.Errorf("adopted as %v; %d served before, %d now", list, node, pid())
	}

	// A program that starts slowly: the supervisor is killed before that program has taken over.
	r := &releaseTrial{p: p}
	program, err := os.ReadFile(w.binary)
	if err != nil {
		t.Fatal(err)
	}
	before, err := r.addProgram(program)
	if err != nil {
		t.Fatal(err)
	}
	late, err := r.addProgram([]byte("#!/bin/sh\nsleep 2\nexec " + filepath.Join(w.dir, m.name+"-programs", before) + " \"$@\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	plan := filepath.Join(w.dir, "late.toml")
	text := fmt.Sprintf("[release]\nname = \"late\"\nversion = %q\nbefore = %q\nlimit_ms = 60000\nmost_crashes = 5\n\n[[wave]]\nnodes = [%q]\n", late, before, m.name)
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, code := p.command(t.Context(), m, "release", "start", plan); code != 0 {
		t.Fatalf("%d: %s", code, text)
	}
	waitUntil("the turn has begun", func() bool { return len(processesOf(m)) == 2 })
	left := processesOf(m)
	m.kill()
	if err := p.startMember(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	waitUntil("the process that was left is ended", logged("ends a process that a supervisor before this one has left"))
	waitUntil("the turn is complete", func() bool {
		list, now := processesOf(m), fmt.Sprint(pid())
		return len(list) == 1 && list[0] == now && now != left[0] && now != left[1]
	})
}
