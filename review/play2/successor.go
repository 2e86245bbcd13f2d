package main

import (
	"context"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["successor"] = playSuccessor }

// playSuccessor: a node's process is being replaced, and the successor, which serves already, gets SIGTERM.
func playSuccessor(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "broadcast-clip", Method: "GET", Share: 1, Worth: 12, Aim: 600 * time.Millisecond, Patience: 1200 * time.Millisecond},
		{Name: "cut-order", Method: "POST", Share: 1, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 100}}
	servers, registry, err := w.servers(3, map[string]standin.Work{"broadcast-clip": {Time: 100 * time.Millisecond}, "cut-order": {Time: 200 * time.Millisecond}})
	if err != nil {
		return err
	}
	listen, err := freePort("tcp")
	if err != nil {
		return err
	}
	config, err := w.writeConfig(nodeConfig{name: "n1", listen: listen, registry: registry.Addr, zone: "hall-a", nodes: 1, classes: classes})
	if err != nil {
		return err
	}
	begin := func(name string) (*process, string, error) {
		ops, err := freePort("tcp")
		if err != nil {
			return nil, "", err
		}
		p, err := w.start(name, []string{"GW_CONFIG=" + config, "GW_OPS=" + ops})
		if err != nil {
			return nil, "", err
		}
		return p, ops, awaitStatus(ctx, p, "http://"+ops+"/healthcheck")
	}
	if _, _, err = begin("old"); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	requests := w.stream(loading, "client", listen, "GET", "broadcast-clip", 1200*time.Millisecond, 50*time.Millisecond)
	kept := standin.Load{Addr: listen, Classes: classes, Prefix: "kept-", KeepLog: true}
	keptDone := make(chan struct{})
	go func() { kept.RunClosed(loading, 4, 100*time.Millisecond); close(keptDone) }()
	sleep(ctx, 2*time.Second)
	next, _, err := begin("successor")
	if err != nil {
		return err
	}
	sleep(ctx, time.Second)
	if w.trouble {
		w.signal(next, 15)
	}
	sleep(ctx, 8*time.Second)
	stop()
	list := requests()
	<-keptDone
	lost := 0
	for _, s := range list {
		if s.lost() {
			lost++
		}
	}
	w.note("play", "%d of %d requests got no answer in time", lost, len(list))
	if lost > 0 {
		w.fault("%d of %d requests that the node's machine had taken got no answer within their time and 0.55 s", lost, len(list))
	}
	for _, s := range servers {
		w.note(s.Name, "ran %d", len(s.Log()))
	}
	return nil
}
