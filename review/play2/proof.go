package main

import (
	"context"
	"fmt"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["proof"] = playProof }

// playProof: an operator drains a server, waits for the proof, and switches the server off, while a node's process is replaced.
func playProof(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "cut-order", Method: "POST", Worth: 1, Aim: 4 * time.Second, Patience: 6 * time.Second}}
	servers, registry, err := w.servers(3, map[string]standin.Work{"cut-order": {Time: 2 * time.Second}})
	if err != nil {
		return err
	}
	members, err := w.writeFleet(3, registry.Addr, classes, false, "")
	if err != nil {
		return err
	}
	procs, err := w.startFleet(ctx, members)
	if err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	replaced := 2 // a node that does not lead
	if status, err := nodeStatus(ctx, members[2]); err == nil && status.Voter == "leads" {
		replaced = 1
	}
	target := members[replaced]
	requests := w.stream(loading, "client", target.listen, "POST", "cut-order", 6*time.Second, 150*time.Millisecond)
	sleep(ctx, 3*time.Second)
	if w.trouble {
		ops, err := freePort("tcp")
		if err != nil {
			return err
		}
		successor, err := w.startMember(target, ops)
		if err != nil {
			return err
		}
		if err := awaitStatus(ctx, successor, "http://"+ops+"/healthcheck"); err != nil {
			return err
		}
		w.signal(procs[replaced], 15)
	}
	sleep(ctx, 1500*time.Millisecond)
	drained := servers[0]
	if text, code := w.operate(ctx, members[0], "fleet", "drain", drained.Name, "--why", "new disks"); code != 0 {
		return fmt.Errorf("the drain was not granted: %s", text)
	}
	text, code := w.operate(ctx, members[0], "fleet", "wait", drained.Name, "--timeout", "30s")
	proven := time.Now()
	if code != 0 {
		return fmt.Errorf("no proof: %s", text)
	}
	open := drained.InFlight()
	w.note(drained.Name, "%d requests run here as the operator has the proof", open)
	if open > 0 {
		w.fault("the drain of %s is proven (%s), and %d requests still run there", drained.Name, text, open)
	}
	drained.Close()
	w.note("operator", "switched %s off", drained.Name)
	sleep(ctx, 500*time.Millisecond)
	stop()
	list := requests()
	byID := map[string]sent{}
	for _, s := range list {
		byID[s.id] = s
	}
	for _, s := range servers {
		for _, e := range s.Log() {
			w.noteAt(e.ReceivedAt, s.Name, "runs %s", e.ID)
			if s == drained && e.ReceivedAt.After(proven) {
				w.fault("%s came to %s %v after the proof", e.ID, s.Name, e.ReceivedAt.Sub(proven))
			}
			if got, ok := byID[e.ID]; s == drained && ok && got.status != 200 && got.endedAt.After(proven) {
				w.note("client", "lost its order to the switch-off: %s", got.String())
			}
		}
	}
	return nil
}
