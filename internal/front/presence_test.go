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
	looks, gone, hidden, left := 0, false, false, 0
	handler := &Handler{
		Gone:   func(*http.Request) bool { looks++; return gone },
		Hidden: func(*http.Request) bool { return hidden },
	}
	newcomer := func(waited time.Duration) *presence {
		return &presence{handler: handler, began: time.Now().Add(-waited), leave: func() { left++ }}
	}
	p := newcomer(0)
	if p.left(time.Hour) || looks != 0 {
		t.Errorf("%d checks of a client that was checked just now", looks)
	}
	p = newcomer(time.Hour)
	for range 2 {
		if p.left(time.Minute) || looks != 1 {
			t.Errorf("%d checks, want one for both calls", looks)
		}
	}
	p.began = p.began.Add(-time.Hour) // as if that check were an hour ago
	if p.left(time.Minute) || looks != 2 {
		t.Errorf("%d checks, want another after an hour", looks)
	}
	hidden = true
	if p = newcomer(time.Hour); !p.left(time.Minute) || !p.unseen.Load() || left != 1 {
		t.Error("a client that could not be seen for an hour counts as there")
	}
	p = newcomer(0)
	p.began = time.Now()
	if p.left(0) && time.Since(p.began) < hiddenWait {
		t.Error("a client that could not be seen for a moment counts as gone")
	}
	hidden, gone = false, true
	p = newcomer(time.Hour)
	for look := range 2 {
		if !p.left(time.Minute) || p.unseen.Load() {
			t.Errorf("check %d: a client that has left counts as there", look)
		}
	}
}
