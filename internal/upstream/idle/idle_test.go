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
func play(l *Limit, from, length, closes time.Duration, part, chance float64) (now time.Duration) {
	r := rand.New(rand.NewPCG(1, uint64(closes)))
	for now = from; now < from+length; now += 5 * time.Millisecond {
		age := time.Duration(r.ExpFloat64() * float64(60*time.Millisecond))
		if r.IntN(20) == 0 {
			age = time.Duration(r.Float64() * float64(2*time.Second))
		}
		if longest := l.Longest(now); longest > 0 && age >= longest {
			continue // a new connection is made instead
		}
		l.Used(now, age, r.Float64() < chance || closes > 0 && age > closes && r.Float64() < part)
	}
	return now
}

// The limit is learned if servers or devices between close connections after some time, within the range that the
// simulated idle times cover, and not from breaks that do not depend on the idle time.
func TestLimitIsLearned(t *testing.T) {
	for _, c := range []struct {
		name         string
		closes       time.Duration
		part, chance float64
		least, most  time.Duration // range of the learned limit; 0: none is learned
	}{
		{"none closes", 0, 0, 0, 0, 0},
		{"all break now and then", 0, 0, 0.3, 0, 0},
		{"closed after 100 ms", 100 * time.Millisecond, 0.4, 0.07, 50 * time.Millisecond, 200 * time.Millisecond},
		{"closed after 400 ms", 400 * time.Millisecond, 0.9, 0.01, 200 * time.Millisecond, 400 * time.Millisecond},
		{"closed after 3 s", 3 * time.Second, 0.9, 0.01, 0, 0},
	} {
		var l Limit
		now := play(&l, 0, 5*time.Second, c.closes, c.part, c.chance)
		if got := l.Longest(now); got < c.least || got > c.most {
			t.Errorf("%s: %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}

// Once servers no longer close connections early, the learned limit is forgotten within two minutes.
func TestLimitIsForgotten(t *testing.T) {
	var l Limit
	now := play(&l, 0, 5*time.Second, 100*time.Millisecond, 0.9, 0)
	if l.Longest(now) == 0 {
		t.Fatal("no limit was learned")
	}
	now = play(&l, now, 2*time.Minute, 0, 0, 0)
	if got := l.Longest(now); got != 0 {
		t.Errorf("limit %v two minutes after the last break, want none", got)
	}
}

// Three breaks may be chance: no limit is learned from them.
func TestFewBreaksAreChance(t *testing.T) {
	var l Limit
	for i := range 100 {
		l.Used(time.Duration(i)*time.Millisecond, time.Millisecond, false)
	}
	for range 3 {
		l.Used(time.Second, time.Second, true)
	}
	if got := l.Longest(time.Second); got != 0 {
		t.Errorf("limit %v after three breaks, want none", got)
	}
}
