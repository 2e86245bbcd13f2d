package http1

import (
	"net/http"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/testkit"
)

// guarded is a transport with a guard of its own, before one server that answers at once.
func guarded(t *testing.T, grace time.Duration) (*Transport, *guard.Guard) {
	t.Helper()
	addr := testkit.Server(t, testkit.Answering(func(*http.Request, []byte) string { return testkit.OK("x") }))
	g := guard.New(grace, nil)
	b := New(testkit.Settings(), 192, 10, g, testkit.Quiet)
	b.Update(testkit.Known(addr))
	t.Cleanup(func() { b.Update(core.List{Full: true}) })
	return b, g
}

// A watch that was resumed too late brings a drain: an attempt that went to the server after the grace is counted.
// Where the watch was resumed in time, or nothing went there, nothing is.
func TestLateDrainIsCounted(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		stale time.Duration // before the attempt; 0: the watch was resumed in time
		want  int64
	}{"in time": {0, 0}, "within the grace": {time.Millisecond, 0}, "late": {time.Hour, 1}} {
		b, g := guarded(t, time.Minute)
		if r := b.do(t.Context(), b.find(1), get(testkit.Patient)); r.Code != decide.OK {
			t.Fatalf("%v %v", r.Code, r.Err)
		}
		l := core.List{Version: 2, Full: true}
		if c.stale > 0 {
			l.StaleSince = time.Now().Add(-c.stale)
		}
		b.Update(l)
		if _, violated := g.Counts(guard.Drain); violated != c.want {
			t.Errorf("%s: %d, want %d", name, violated, c.want)
		}
	}
}

// A server that was closed while an attempt connected gets nothing, and the refusal is counted; so is one in slow
// start beyond what all nodes may send it, however late its connections came up.
func TestRefusalsAreCounted(t *testing.T) {
	t.Parallel()
	b, g := guarded(t, time.Minute)
	h := b.find(1)
	b.Update(core.List{Version: 2, Full: true})
	if r := b.do(t.Context(), h, get(testkit.Patient)); r.Code != decide.ConnectFailed {
		t.Errorf("to a closed host: %v", r.Code)
	}
	if _, refused := b.admit(t.Context(), h, get(testkit.Patient)); refused.Code != decide.ConnectFailed || refused.Err == nil {
		t.Errorf("at the last moment: %v %v", refused.Code, refused.Err)
	}
	if refused, _ := g.Counts(guard.Drain); refused != 1 {
		t.Errorf("%d refused for drain, want 1", refused)
	}
	b, g = guarded(t, time.Minute)
	h = b.find(1)
	for i, want := range []decide.OutcomeCode{decide.OK, decide.OK, decide.Moot} {
		x := get(testkit.Patient)
		x.ColdMost = 2
		if r := b.do(t.Context(), h, x); r.Code != want {
			t.Errorf("attempt %d at a server in slow start: %v, want %v", i+1, r.Code, want)
		}
	}
	if refused, violated := g.Counts(guard.Failback); refused != 1 || violated != 0 {
		t.Errorf("%d refused for failback, %d got past, want 1 and 0", refused, violated)
	}
}
