package idle

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulate records 200 uses a second, for duration from the time from on, of connections idle for up to two seconds,
// most of them for less than 0.2 s. Uses above the learned limit are left out, as a new connection would be made.
// After an idle time above closesAfter (0: no limit) a use breaks with probability breakShare; any use breaks with
// probability baseRate. It returns the time at the end.
func simulate(l *Limit, from, duration, closesAfter time.Duration, breakShare, baseRate float64) (now time.Duration) {
	r := rand.New(rand.NewPCG(1, uint64(closesAfter)))
	for now = from; now < from+duration; now += 5 * time.Millisecond {
		age := time.Duration(r.ExpFloat64() * float64(60*time.Millisecond))
		if r.IntN(20) == 0 {
			age = time.Duration(r.Float64() * float64(2*time.Second))
		}
		if longest := l.MaxIdle(now); longest > 0 && age >= longest {
			continue // a new connection is made instead
		}
		l.Record(now, age, r.Float64() < baseRate || closesAfter > 0 && age > closesAfter && r.Float64() < breakShare)
	}
	return now
}

// The limit is learned if servers or devices between close connections after some time, within the range that the
// simulated idle times cover, and not from breaks that do not depend on the idle time.
func TestLimitIsLearned(t *testing.T) {
	for _, c := range []struct {
		name                 string
		closesAfter          time.Duration
		breakShare, baseRate float64
		lowest, highest      time.Duration // range of the learned limit; 0: none is learned
	}{
		{"none closes", 0, 0, 0, 0, 0},
		{"all break now and then", 0, 0, 0.3, 0, 0},
		{"closed after 100 ms", 100 * time.Millisecond, 0.4, 0.07, 50 * time.Millisecond, 200 * time.Millisecond},
		{"closed after 400 ms", 400 * time.Millisecond, 0.9, 0.01, 200 * time.Millisecond, 400 * time.Millisecond},
		{"closed after 3 s", 3 * time.Second, 0.9, 0.01, 0, 0},
	} {
		var l Limit
		now := simulate(&l, 0, 5*time.Second, c.closesAfter, c.breakShare, c.baseRate)
		if got := l.MaxIdle(now); got < c.lowest || got > c.highest {
			t.Errorf("%s: %v, want %v to %v", c.name, got, c.lowest, c.highest)
		}
	}
}

// Once servers no longer close connections early, the learned limit is forgotten within two minutes.
func TestLimitIsForgotten(t *testing.T) {
	var l Limit
	now := simulate(&l, 0, 5*time.Second, 100*time.Millisecond, 0.9, 0)
	if l.MaxIdle(now) == 0 {
		t.Fatal("no limit was learned")
	}
	now = simulate(&l, now, 2*time.Minute, 0, 0, 0)
	if got := l.MaxIdle(now); got != 0 {
		t.Errorf("limit %v two minutes after the last break, want none", got)
	}
}

// Three breaks may be chance: no limit is learned from them.
func TestFewBreaksAreChance(t *testing.T) {
	var l Limit
	for i := range 100 {
		l.Record(time.Duration(i)*time.Millisecond, time.Millisecond, false)
	}
	for range 3 {
		l.Record(time.Second, time.Second, true)
	}
	if got := l.MaxIdle(time.Second); got != 0 {
		t.Errorf("limit %v after three breaks, want none", got)
	}
}
