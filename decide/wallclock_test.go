package decide

import (
	"testing"
	"time"
)

// Guards against servers without slow start, or with one that does not end, when a wall clock is wrong. The list gives
// a server's start by a wall clock, which may have been stepped by an hour in either direction before this process
// began or since. A start that the previous list did not have yet begins slow start all the same, which ends after
// ColdTime.
func TestSlowStartThoughTheWallClockWasStepped(t *testing.T) {
	t.Parallel()
	const second, hour = time.Second, time.Hour
	for name, step := range map[string]time.Duration{"none": 0, "an hour ahead": hour, "an hour back": -hour,
		"seconds ahead": 9 * second, "seconds back": -9 * second} {
		settings := fleetSettings(0)
		settings.ColdFrom, settings.ColdTime = 0.1, 8*second
		module := New(settings, 1)
		now := 100 * hour
		module.Handle(now, ListUpdate{Kind: ListFull, Entries: readyServers()})
		now += 5 * second
		started := Server{ID: 1, Zone: "a", Kind: "k", State: Ready, Size: 1, StartedAt: now - second/2 + step}
		module.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{started}, Age: second})
		if v := module.known[1]; !v.cold || module.warmth(v) > 0.1 {
			t.Errorf("%s: cold %v, warmth %.2f right after its start", name, v.cold, module.warmth(v))
		}
		module.now = now + 9*second
		if w := module.warmth(module.known[1]); w < 1 {
			t.Errorf("%s: warmth %.2f once it is over", name, w)
		}
	}
}
