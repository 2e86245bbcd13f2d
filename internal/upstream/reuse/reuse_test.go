package reuse

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// The decision for each state of the idle connections, for a request with enough time left.
func TestChoose(t *testing.T) {
	t.Parallel()
	used := func(idle ...time.Duration) (all []Idle) {
		for _, d := range idle {
			all = append(all, Idle{Used: true, IdleTime: d})
		}
		return all
	}
	for name, c := range map[string]struct {
		idle []Idle
		want Decision
	}{
		"none":                          {nil, Decision{Step: Dial}},
		"a used one after its cooldown": {used(Cooldown), Decision{Step: Use}},
		"the most recent of those after their cooldown":     {used(9*time.Second, 2*Cooldown, 10*ms), Decision{Step: Use, Index: 1}},
		"one never used has no cooldown":                    {[]Idle{{IdleTime: 0}}, Decision{Step: Use}},
		"one never used, behind one in its cooldown":        {append(used(10*ms), Idle{IdleTime: ms}), Decision{Step: Use, Index: 1}},
		"one in its cooldown":                               {used(Cooldown - ms), Decision{Step: Wait, Wait: ms}},
		"the one idle longest of several in their cooldown": {used(20*ms, 10*ms, 0), Decision{Step: Wait, Wait: Cooldown - 20*ms}},
		"many in their cooldown: no new connection": {used(9*ms, 8*ms, 7*ms, 6*ms, 5*ms, 4*ms, 3*ms),
			Decision{Step: Wait, Wait: Cooldown - 9*ms}},
		"1 ns before the end of the cooldown": {used(Cooldown - 1), Decision{Step: Wait, Wait: 1}},
	} {
		if got := new(Server).Choose(0, c.idle, time.Second); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// A request does not wait for a cooldown that takes more than half of its remaining time.
func TestLittleTimeLeft(t *testing.T) {
	t.Parallel()
	for timeLeft, want := range map[time.Duration]Step{time.Second: Wait, 40 * ms: Wait, 39 * ms: Dial, 0: Dial,
		-ms: Dial} {
		if got := new(Server).Choose(0, []Idle{{Used: true, IdleTime: Cooldown - 20*ms}}, timeLeft); got.Step != want {
			t.Errorf("%v left, 20 ms of cooldown to wait for: wrong step in %+v", timeLeft, got)
		}
		if got := new(Server).Choose(0, []Idle{{Used: true, IdleTime: Cooldown}}, timeLeft); got.Step != Use {
			t.Errorf("%v left, a connection that has cooled down: %+v, want it used", timeLeft, got)
		}
	}
}

// In any state of the pool, and with any history of handshakes, no used connection is given a request before its
// cooldown is over, and no request waits for longer than one cooldown. A request with enough time left gets no
// connection of its own (Step Dial) while there are idle ones; a spare one (AddConn) may be made and is not checked.
// Enough is 2*Cooldown: a wait is at most Cooldown, and may take half of the time left (maxWaitShare).
func TestNoneIsUsedBeforeCooldownEnds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		var server Server
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(r, "requests") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(r, "later"))
			if rapid.Bool().Draw(r, "dialled") {
				server.RecordDial(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(r, "took")))
			}
			var idle []Idle
			for range rapid.IntRange(0, 12).Draw(r, "idle") {
				idle = append(idle, Idle{Used: rapid.Bool().Draw(r, "used"),
					IdleTime: time.Duration(rapid.Int64Range(0, int64(3*Cooldown)).Draw(r, "for"))})
			}
			slices.SortFunc(idle, func(a, b Idle) int { return int(b.IdleTime - a.IdleTime) })
			timeLeft := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Second)).Draw(r, "left"))
			decision := server.Choose(now, idle, timeLeft)
			if decision.Step == Dial {
				if len(idle) > 0 && timeLeft >= 2*Cooldown {
					r.Fatalf("a dial for the request beside the idle %v, with %v left", idle, timeLeft)
				}
				continue
			}
			conn := idle[decision.Index]
			if conn.Used && conn.IdleTime+decision.Wait < Cooldown {
				r.Fatalf("%+v uses a connection before its cooldown is over; idle: %v", decision, idle)
			}
			if decision.Wait < 0 || decision.Wait > Cooldown || decision.Step == Use && decision.Wait > 0 {
				r.Fatalf("%+v has a wrong wait; idle: %v", decision, idle)
			}
		}
	})
}

// Frequent waits lead to a spare connection once they add up to the price of a handshake, so after more waits if
// handshakes take longer; rare waits decay in between and lead to none. Every request waits for a whole Cooldown.
// Without decay, the prices of 60, 200 and 1000 ms are reached with 3, 8 and 40 waits; the ranges leave a margin.
func TestGrowsWhenWaitsCostAsMuch(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		dialTime, interval time.Duration
		most               int // the latest request at which a spare connection may be added; 0: none may be
		least              int // the earliest such request
	}{
		"one wait after the other": {0, 30 * ms, 5, 2},
		"a slow handshake":         {50 * ms, 30 * ms, 30, 6},
		"handshakes that time out": {250 * ms, 30 * ms, 100, 40},
		"a wait every 5 seconds":   {0, 5 * time.Second, 0, 0},
	} {
		var s Server
		if c.dialTime > 0 {
			s.RecordDial(c.dialTime)
		}
		addedAt := 0
		for i := 1; i <= 200 && addedAt == 0; i++ {
			if s.Choose(time.Duration(i)*c.interval, []Idle{{Used: true}}, time.Second).AddConn {
				addedAt = i
			}
		}
		if addedAt < c.least || addedAt > c.most {
			t.Errorf("%s: a connection was added at request %d, want %d to %d", name, addedAt, c.least, c.most)
		}
	}
}
