package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["agent"] = playAgent }

// agent is the agent on a node's machine to which lists are pushed: it answers at once with what it has, and is silent while discovery
// is down.
type agent struct {
	addr string

	mu      sync.Mutex
	version int
	entries []standin.Entry
	changed []int         // version of each entry's latest change
	back    chan struct{} // closed unless discovery is down
}

func newAgent(w *world, servers []*standin.Server) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: l.Addr().String(), version: 1, back: make(chan struct{})}
	close(a.back)
	for _, s := range servers {
		a.entries, a.changed = append(a.entries, standin.EntryOf(s)), append(a.changed, 1)
	}
	srv := &http.Server{Handler: a}
	go srv.Serve(l)
	w.onClose(func() { srv.Close() })
	return a, nil
}

// list returns what changed after a version, or with -1 all.
func (a *agent) list(since int) map[string]any {
	changed := []standin.Entry{}
	for i, e := range a.entries {
		if a.changed[i] > since {
			changed = append(changed, e)
		}
	}
	return map[string]any{"version": a.version, "full": since < 0, "servers": changed}
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since := -1
	if text := r.URL.Query().Get("since"); text != "" {
		if json.Unmarshal([]byte(text), &since) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	a.mu.Lock()
	back := a.back
	a.mu.Unlock()
	select {
	case <-back:
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	json.NewEncoder(w).Encode(a.list(since))
}

// drain has the agent get the news that the first n servers drain.
func (a *agent) drain(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range n {
		a.entries[i].State, a.changed[i] = "draining", a.version
	}
}

// setDown has discovery go down, or return.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down {
		a.back = make(chan struct{})
	} else {
		close(a.back)
	}
}

// playAgent: a node is restarted; while it is down its agent has the news that servers drain, and then discovery goes down.
func playAgent(ctx context.Context, w *world) error {
	const draining, count = 3, 12
	classes := []standin.Class{{Name: "rumsjustering", Method: "POST", Share: 1, Worth: 10, Aim: 400 * time.Millisecond, Patience: time.Second, BodyBytes: 4}}
	servers, registry, err := w.servers(count, map[string]standin.Work{"rumsjustering": {Time: 50 * time.Millisecond}})
	if err != nil {
		return err
	}
	registry.Close()
	local, err := newAgent(w, servers)
	if err != nil {
		return err
	}
	listen, err := freePort("tcp")
	if err != nil {
		return err
	}
	path, err := w.writeConfig(nodeConfig{name: "n1", listen: listen, registry: local.addr, zone: "hall-a", nodes: 1, classes: classes})
	if err != nil {
		return err
	}
	var config map[string]any
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &config)
	}
	if err != nil {
		return err
	}
	config["settings"].(map[string]any)["membership_mode"] = "pushed"
	config["known"] = local.list(-1)
	if raw, err = json.Marshal(config); err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		return err
	}
	begin := func() (*process, error) {
		p, err := w.start("n1", []string{"GW_CONFIG=" + path})
		if err != nil {
			return nil, err
		}
		return p, awaitStatus(ctx, p, "http://"+listen+"/health/ready")
	}
	p, err := begin()
	if err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	requests := w.stream(loading, "client", listen, "POST", "rumsjustering", time.Second, 20*time.Millisecond)
	sleep(ctx, 3*time.Second)
	w.signal(p, 15)
	<-p.ended
	local.drain(draining)
	told := time.Now()
	w.note("agent", "has the news that s-1 to s-%d drain", draining)
	if w.trouble {
		sleep(ctx, 200*time.Millisecond)
		local.setDown(true)
		w.note("agent", "is silent: discovery is down")
	}
	started := time.Now()
	type outcome struct {
		p   *process
		err error
	}
	ready := make(chan outcome, 1)
	go func() { // it may wait for its agent
		p, err := begin()
		ready <- outcome{p, err}
	}()
	sleep(ctx, 9*time.Second)
	if w.trouble {
		local.setDown(false)
		w.note("agent", "answers again: discovery is back")
	}
	if o := <-ready; o.err != nil {
		return o.err
	}
	sleep(ctx, 2*time.Second)
	stop()
	requests()
	late, last := 0, started
	for _, s := range servers[:draining] {
		for _, e := range s.Log() {
			if e.ReceivedAt.After(told) {
				w.noteAt(e.ReceivedAt, s.Name, "got %s, and drains", e.ID)
			}
			if e.HeadAt.Sub(started) > 550*time.Millisecond { // drain_grace_ns, and 50 ms on sockets
				if late++; e.HeadAt.After(last) {
					last = e.HeadAt
				}
			}
		}
	}
	if late > 0 {
		w.fault("%d requests were sent to servers that drain more than 0.55 s after the process started, which counts as told from then on; the last one %.2f s after", late, last.Sub(started).Seconds())
	}
	return nil
}
