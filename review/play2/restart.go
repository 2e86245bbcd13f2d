package main

import (
	"context"
	"fmt"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["restart"] = playRestart }

// playRestart: a drain is granted and proven while a node is down for a planned restart. Then a voter dies, and the node is back.
func playRestart(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "cut-order", Method: "POST", Share: 1, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 100}}
	servers, registry, err := w.servers(3, map[string]standin.Work{"cut-order": {Time: 200 * time.Millisecond}})
	if err != nil {
		return err
	}
	members, err := w.writeFleet(4, registry.Addr, classes, false, "")
	if err != nil {
		return err
	}
	procs, err := w.startFleet(ctx, members)
	if err != nil {
		return err
	}
	m := members[3]
	loading, stop := context.WithCancel(ctx)
	defer stop()
	requests := w.stream(loading, "client", m.listen, "POST", "cut-order", 6*time.Second, 25*time.Millisecond)
	sleep(ctx, 2*time.Second)
	if w.trouble {
		w.signal(procs[3], 15)
		<-procs[3].ended
	}
	drained := servers[0]
	if text, code := w.operate(ctx, members[1], "fleet", "drain", drained.Name, "--why", "new disks"); code != 0 {
		return fmt.Errorf("the drain was not granted: %s", text)
	}
	text, code := w.operate(ctx, members[1], "fleet", "wait", drained.Name, "--timeout", "30s")
	proven := time.Now()
	if code != 0 {
		return fmt.Errorf("no proof: %s", text)
	}
	if w.trouble {
		w.signal(procs[0], 9)
		sleep(ctx, time.Second)
		p, err := w.startMember(m, m.ops)
		if err != nil {
			return err
		}
		if err := awaitStatus(ctx, p, "http://"+m.listen+"/health/ready"); err != nil {
			return err
		}
		w.note(m.name, "ready again")
	}
	sleep(ctx, 8*time.Second)
	stop()
	requests()
	late, last := 0, proven
	for _, e := range drained.Log() {
		if e.ReceivedAt.After(proven) {
			late, last = late+1, e.ReceivedAt
			w.noteAt(e.ReceivedAt, drained.Name, "got %s after the proof", e.ID)
		}
	}
	if late > 0 {
		w.fault("%d requests came to %s after the proof that no node sends there, the last one %.3f s after it", late, drained.Name, last.Sub(proven).Seconds())
	}
	return nil
}
