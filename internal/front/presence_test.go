package front

import (
	"net/http"
	"testing"
	"time"
)

// The result of a check is reused up to the age that the caller allows, and no longer. A client whose disconnect could
// not be seen counts as gone once its request has waited for disconnectHiddenWait, and not before. A client that is
// gone is gone at each check.
func TestPresence(t *testing.T) {
	t.Parallel()
	checks, gone, hidden, cancelled := 0, false, false, 0
	handler := &Handler{
		ClientGone:       func(*http.Request) bool { checks++; return gone },
		DisconnectHidden: func(*http.Request) bool { return hidden },
	}
	newPresence := func(waited time.Duration) *clientPresence {
		return &clientPresence{handler: handler, startedAt: time.Now().Add(-waited), cancel: func() { cancelled++ }}
	}
	p := newPresence(0)
	if p.gone(time.Hour) || checks != 0 {
		t.Errorf("%d checks of a client that was checked just now", checks)
	}
	p = newPresence(time.Hour)
	for range 2 {
		if p.gone(time.Minute) || checks != 1 {
			t.Errorf("%d checks, want one for both calls", checks)
		}
	}
	p.startedAt = p.startedAt.Add(-time.Hour) // as if that check were an hour ago
	if p.gone(time.Minute) || checks != 2 {
		t.Errorf("%d checks, want another after an hour", checks)
	}
	hidden = true
	if p = newPresence(time.Hour); !p.gone(time.Minute) || !p.presumedGone.Load() || cancelled != 1 {
		t.Error("a client that could not be seen for an hour counts as there")
	}
	p = newPresence(0)
	p.startedAt = time.Now()
	if p.gone(0) && time.Since(p.startedAt) < disconnectHiddenWait {
		t.Error("a client that could not be seen for a moment counts as gone")
	}
	hidden, gone = false, true
	p = newPresence(time.Hour)
	for check := range 2 {
		if !p.gone(time.Minute) || p.presumedGone.Load() {
			t.Errorf("check %d: a client that has left counts as there", check)
		}
	}
}
