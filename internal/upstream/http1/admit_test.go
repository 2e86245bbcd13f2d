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

// newGuardedTransport returns a transport with a guard of its own, and one server that answers at once. grace is the
// time after the notification of a drain in which attempts still do not count as violations.
func guarded(t *testing.T, grace time.Duration) (*Transport, *guard.Guard) {
	t.Helper()
	addr := testkit.Server(t, testkit.Answering(func(*http.Request, []byte) string { return testkit.OK("x") }))
	g := guard.New(grace, nil)
	b := New(testkit.Settings(), 192, 10, g, testkit.Quiet)
	b.Update(testkit.Known(addr))
	t.Cleanup(func() { b.Update(core.List{Full: true}) })
	return b, g
}

// A list that removes a server arrives on a watch that was resumed too late, so that the node counts as notified
// earlier. An attempt sent to the server after the grace from that moment is counted as a violation of the drain rule;
// one within the grace is not, and none is if the watch was resumed in time.
func TestLateDrainIsCounted(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		stale time.Duration // how long before the list the node counts as notified; 0: the watch was resumed in time
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
			t.Errorf("%s: %d violations, want %d", name, violated, c.want)
		}
	}
}

// An attempt at a server that was closed in the meantime is refused right before its first byte, and the refusal is
// counted. So is an attempt at a server in slow start above the number that may be sent to it in one window, however
// long its connection took to be made.
func TestRefusalsAreCounted(t *testing.T) {
	t.Parallel()
	b, g := guarded(t, time.Minute)
	h := b.find(1)
	b.Update(core.List{Version: 2, Full: true})
	if r := b.do(t.Context(), h, get(testkit.Patient)); r.Code != decide.ConnectFailed {
		t.Errorf("to a closed host: %v", r.Code)
	}
	if _, refused := b.admit(t.Context(), h, get(testkit.Patient)); refused.Code != decide.ConnectFailed || refused.Err == nil {
		t.Errorf("right before the first byte: %v %v, want a failure to connect", refused.Code, refused.Err)
	}
	if refused, _ := g.Counts(guard.Drain); refused != 1 {
		t.Errorf("%d attempts refused by the drain rule, want 1", refused)
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
		t.Errorf("%d attempts refused by the failback rule, %d violations; want 1 and 0", refused, violated)
	}
}
