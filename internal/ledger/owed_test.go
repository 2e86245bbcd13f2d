package ledger

import "testing"

// Guards against a wrong count of unacknowledged hand-offs, by which a node decides at shutdown whether to wait:
// those that have ended and whose sender is connected.
func TestUnacknowledged(t *testing.T) {
	l := New(Limits{})
	s := l.Attach(0, "near", 1)
	s.Accept(0, 1, 10)
	s.Accept(0, 2, 10)
	s.Query(0, 3) // fenced: not counted
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"running", func() {}, 0},
		{"the second has ended", func() { s.Finish(1, 2, Done, []byte("x")) }, 1},
		{"the first is refused", func() { s.Finish(1, 1, Refused, nil) }, 2},
		{"the first is acknowledged", func() { s.Ack(2) }, 1},
		{"the sender is disconnected", func() { s.Detach(2) }, 0},
		{"the sender is back", func() { l.Attach(3, "near", 3) }, 1},
		{"all is acknowledged", func() { s.Ack(4) }, 0},
	}
	for _, step := range steps {
		step.do()
		if got := l.Unacknowledged(); got != step.want {
			t.Errorf("%s: %d unacknowledged, want %d", step.name, got, step.want)
		}
	}
}
