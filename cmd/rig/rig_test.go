package main

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"starlingvalve/internal/standin"
)

// capture returns the output of a report and the number of broken promises.
func capture(t *testing.T, print func(r *report)) (string, int) {
	t.Helper()
	f, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r := &report{w: f}
	print(r)
	text, err := os.ReadFile(f.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text), r.broken
}

func TestReport(t *testing.T) {
	text, broken := capture(t, func(r *report) {
		r.figure("a.rate", 1.25, "requests/s")
		r.figure("a.refused", 0, "requests")
		r.promise(true, "a: %d", 1)
		r.promise(false, "b")
		r.verdicts([]standin.Verdict{{Rule: "c", Cases: 1}, {Rule: "d", ViolationCount: 2, Violations: []string{"x"}}})
	})
	want := "a.rate 1.250 requests/s\na.refused 0 requests\nkept a: 1\nBROKEN b\nkept c: 1 cases, 0 broken\nBROKEN d: 0 cases, 2 broken\n    x\n"
	if text != want || broken != 2 {
		t.Errorf("%d broken:\n%s\nwant\n%s", broken, text, want)
	}
}

func TestUnknownRig(t *testing.T) {
	for _, args := range [][]string{nil, {"nothing"}, {"scale", "-quick", "-no-such-flag"}} {
		if code := run(t.Context(), args); code != 2 {
			t.Errorf("%v: status %d", args, code)
		}
	}
}

// Guards against rigs that judge wrongly or leave processes and files behind. The real program runs as a process with
// stand-ins, serves, and is judged by their logs; then the process has ended in order and the directory is removed.
func TestNodeAsAProcess(t *testing.T) {
	w, err := newWorkspace(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	f, err := newFleet(2, 4, 50, mediaWork(0.1))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n, err := w.node(t.Context(), w.binary, nodeOptions{name: "n", registry: f.registry.Addr, classes: mediaClasses, memoryMB: 64, sockets: 256, zone: "z"})
	if err != nil {
		t.Fatal(err)
	}
	l := &standin.Load{Addr: n.addr, Classes: mediaClasses, Retries: 2, KeepLog: true}
	ctx, cancel := contextUntil(t, func() bool { return len(l.Log()) >= 200 })
	defer cancel()
	l.RunClosed(ctx, 4, 0)
	log := l.Log()
	served := 0
	for i := range log {
		if log[i].Served() {
			served++
		}
	}
	if served < 190 {
		t.Errorf("%d of %d served", served, len(log))
	}
	e := standin.Evidence{Classes: mediaClasses, Answers: log, Executions: f.executions(), Notifications: f.registry.Notifications()}
	for _, v := range standin.Check(e) {
		if v.ViolationCount > 0 {
			t.Error(v)
		}
	}
	if n.peakMemory() == 0 || n.cpu() < 0 {
		t.Error("the memory or the processor time is not read")
	}
	w.Close()
	select {
	case <-n.ended:
	default:
		t.Error("the node runs on")
	}
	if _, err := os.Stat(w.dir); !os.IsNotExist(err) {
		t.Errorf("%s is left: %v", w.dir, err)
	}
	if text := n.log.String(); !strings.Contains(text, "drained") {
		t.Errorf("it did not end in order: %s", text)
	}
}

func TestTailKeepsTheEnd(t *testing.T) {
	var l tail
	l.Write(make([]byte, tailLimit))
	l.Write([]byte("end"))
	if s := l.String(); len(s) != tailLimit || !strings.HasSuffix(s, "end") {
		t.Errorf("%d bytes", len(s))
	}
}

func TestQuantiles(t *testing.T) {
	var v, both standin.Times
	for _, ms := range []time.Duration{4, 1, 3, 2} {
		v.Add(ms * time.Millisecond)
	}
	both.Merge(v)
	both.Merge(standin.Times{})
	if about := both.Quantile(0.5).Round(100 * time.Microsecond); about != 2*time.Millisecond || both.Count() != 4 ||
		v.Quantile(1).Round(100*time.Microsecond) != 4*time.Millisecond || (standin.Times{}).Quantile(0.5) != 0 {
		t.Errorf("median %v of %d", about, both.Count())
	}
	if median([]float64{3, 1, 2}) != 2 || median(nil) != 0 {
		t.Error("median")
	}
}

// Guards against hand-offs that are not counted: requests that run in the other site are counted, and keyed ones
// separately.
func TestCrossedRequestsAreCounted(t *testing.T) {
	sites := []*site{{name: "hall-a"}, {name: "hall-b"}}
	for _, h := range sites {
		var err error
		if h.fleet, err = newFleet(1, 1, 9, mediaWork(0.01)); err != nil {
			t.Fatal(err)
		}
		defer h.close()
	}
	send := func(at *site, class, id, key string) {
		t.Helper()
		method := http.MethodGet
		if key != "" {
			method = http.MethodPost
		}
		req, err := http.NewRequest(method, "http://"+at.fleet.servers[0].Addr+"/"+class, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Correlation-Id", id)
		req.Header.Set("X-Time-Left", "5")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		resp.Body.Close()
	}
	p := &gatewayTrial{sites: sites}
	send(sites[0], "tag-event", "x-hall-a-0-o1.0", "k1")
	send(sites[1], "viewer-clip", "x-hall-b-0-o1.0", "")
	if p.crossed() != 0 || p.keyedCrossed() != 0 {
		t.Errorf("%d crossed, %d keyed, want none", p.crossed(), p.keyedCrossed())
	}
	send(sites[1], "viewer-clip", "x-hall-a-0-o2.0", "")
	send(sites[0], "tag-event", "x-hall-b-0-o2.0", "k2")
	if p.crossed() != 2 || p.keyedCrossed() != 1 {
		t.Errorf("%d crossed, %d keyed, want 2 and 1", p.crossed(), p.keyedCrossed())
	}
}

// contextUntil returns a context that ends once enough returns true, or after 20 s.
func contextUntil(t *testing.T, enough func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	go func() {
		for ctx.Err() == nil && !enough() {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	return ctx, cancel
}
