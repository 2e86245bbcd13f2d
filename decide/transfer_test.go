package decide

import (
	"testing"
	"time"
)

// The seconds in which a request's body or an answer is transferred count neither as latency nor as a time without an
// answer, and the request does not count as in flight at its server meanwhile.
func TestTransfers(t *testing.T) {
	m := New(snapshotSettings(), 1)
	now := Time(time.Hour)
	l := snapshotList()
	l.Entries = l.Entries[:1]
	m.Handle(now, l)
	s := m.known[1]
	step := func(d time.Duration) {
		for end := now + d; now < end; {
			now += tickEvery
			m.Handle(now, TimerFired{})
		}
	}
	send := func(id RequestID) {
		t.Helper()
		out := m.Handle(now, RequestArrived{ID: id, Class: "read", Patience: time.Second, Uploading: true})
		if len(out) != 1 || out[0] != (Send{ID: id, Server: 1, Timeout: time.Second}) {
			t.Fatalf("%s: %+v", id, out)
		}
	}
	for _, id := range []RequestID{"a", "b", "c", "d"} { // more than it takes to eject an unresponsive server
		send(id)
	}
	step(5 * time.Second) // the bodies are transferred
	if s.n != 0 || s.suspect || m.requests["a"] == nil {
		t.Fatalf("during the bodies' transfer: n %v, ejected %v", s.n, s.suspect)
	}
	for _, id := range []RequestID{"a", "b", "c"} {
		m.Handle(now, BodyEnded{ID: id, Patience: time.Second})
	}
	if s.n != 3 || s.unanswered != 3 {
		t.Errorf("after the bodies' transfer: n %v, unanswered %d", s.n, s.unanswered)
	}
	step(100 * time.Millisecond)
	for _, id := range []RequestID{"a", "b", "c"} {
		m.Handle(now, StreamStarted{ID: id, Server: 1, Elapsed: 100 * time.Millisecond})
	}
	step(10 * time.Second) // the answers are transferred
	if s.n != 0 || s.suspect || m.mean > 0.11 {
		t.Errorf("during the answers' transfer: n %v, ejected %v, mean %v", s.n, s.suspect, m.mean)
	}
	for _, id := range []RequestID{"a", "b", "c"} {
		m.Handle(now, AttemptEnded{ID: id, Server: 1, Over: true, Elapsed: 10 * time.Second, Code: OK})
	}
	// A request whose body has been consumed gets no further attempt. As it never ran it may be refused.
	out := m.Handle(now, AttemptEnded{ID: "d", Server: 1, Elapsed: time.Second, Code: ConnectFailed, Spent: true})
	if len(out) != 1 {
		t.Fatalf("body consumed: %+v", out)
	}
	if _, ok := out[0].(Refuse); !ok || len(m.requests) != 0 || s.n != 0 || m.mean > 0.11 {
		t.Errorf("body consumed: %+v, %d open, n %v, mean %v", out, len(m.requests), s.n, m.mean)
	}
}
