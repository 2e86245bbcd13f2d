package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingvalve/decide"
)

const arrivalsPerSecond = 60 // arrivals a second

// runWorld simulates a world and returns it with the violations that its checker has found.
func runWorld(seed int64, length time.Duration, mutate func(*world, []decide.Action) []decide.Action) *world {
	w := newWorld(seed)
	w.capacity, w.mutate = arrivalsPerSecond/3, mutate
	w.run(length, arrivalsPerSecond, true)
	w.run(12*time.Second, 0, false) // let all deadlines pass
	return w
}

// Whatever legal order events come in, under whatever settings, the module's actions break no rule.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w := runWorld(seed, 15*time.Second, nil)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first:\n%s", seed, len(w.violations),
				strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
		}
	}
}

// FuzzRules is TestRulesUnderRandomEvents with seeds from the fuzzer.
func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if w := runWorld(seed, 5*time.Second, nil); len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
	})
}

// Two worlds with the same seed: the same events, in the same order, give the same actions. The module is
// deterministic.
func TestSameEventsSameActions(t *testing.T) {
	w := newWorld(7)
	w.run(10*time.Second, arrivalsPerSecond, false)
	again := newWorld(7)
	again.run(10*time.Second, arrivalsPerSecond, false)
	if len(w.actions) < 500 || len(w.actions) != len(again.actions) {
		t.Fatalf("%d and %d steps", len(w.actions), len(again.actions))
	}
	for i := range w.actions {
		if w.actions[i] != again.actions[i] {
			t.Fatalf("step %d: %s, then %s", i, w.actions[i], again.actions[i])
		}
	}
}

// The checker of world_test.go finds each kind of violation: the module's actions are altered so that they break one
// rule at a time, and the checker must report that rule.
func TestCheckerCatches(t *testing.T) {
	perAction := func(change func(*world, decide.Action) []decide.Action) func(*world, []decide.Action) []decide.Action {
		return func(w *world, in []decide.Action) (out []decide.Action) {
			for _, a := range in {
				out = append(out, change(w, a)...)
			}
			return out
		}
	}
	otherServer := func(w *world, s decide.Send) decide.Send {
		for _, id := range w.serverIDs {
			if l := w.servers[id]; id != s.Server && l.drainNotifiedAt == 0 {
				s.Server = id
				return s
			}
		}
		return s
	}
	for _, c := range []struct {
		want   string
		change func(w *world, a decide.Action) []decide.Action
	}{
		{"no answer in time", func(w *world, a decide.Action) []decide.Action {
			switch a.(type) {
			case decide.Fail, decide.Refuse:
				return nil
			}
			return []decide.Action{a}
		}},
		{"second final answer", func(w *world, a decide.Action) []decide.Action {
			if f, ok := a.(decide.Fail); ok {
				return []decide.Action{a, f}
			}
			return []decide.Action{a}
		}},
		{"never listed", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				s.Server = 12345
				return []decide.Action{s}
			}
			return []decide.Action{a}
		}},
		{"drains or is gone", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				for _, id := range w.serverIDs {
					if w.servers[id].drainNotifiedAt > 0 {
						s.Server = id
					}
				}
				return []decide.Action{s}
			}
			return []decide.Action{a}
		}},
		{"unsafe request sent again", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				return []decide.Action{a, otherServer(w, s)}
			}
			return []decide.Action{a}
		}},
		{"two attempts out", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				return []decide.Action{a, otherServer(w, s)}
			}
			return []decide.Action{a}
		}},
		{"outside its group or window", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				return []decide.Action{a, otherServer(w, s)}
			}
			return []decide.Action{a}
		}},
		{"attempts", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				return []decide.Action{a, s, s, s, s, s}
			}
			return []decide.Action{a}
		}},
		{"for a request that is over", func(w *world, a decide.Action) []decide.Action {
			if r, ok := a.(decide.Refuse); ok {
				return []decide.Action{a, decide.Send{ID: r.ID, Server: w.serverIDs[0]}}
			}
			return []decide.Action{a}
		}},
		{"refused although", func(w *world, a decide.Action) []decide.Action {
			if f, ok := a.(decide.Fail); ok {
				return []decide.Action{decide.Refuse{ID: f.ID}}
			}
			return []decide.Action{a}
		}},
		{"its budget is", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				for _, id := range w.serverIDs {
					if l := w.servers[id]; l.startNotified && l.drainNotifiedAt == 0 &&
						w.now-l.StartedAt < 2*time.Second {
						s.Server = id
					}
				}
				return []decide.Action{s}
			}
			return []decide.Action{a}
		}},
		{"cancel", func(w *world, a decide.Action) []decide.Action {
			if s, ok := a.(decide.Send); ok {
				return []decide.Action{a, decide.CancelAttempt{ID: s.ID, Attempt: 9}}
			}
			return []decide.Action{a}
		}},
		{"forbidden probe", func(w *world, a decide.Action) []decide.Action {
			return []decide.Action{a, decide.Probe{Server: w.serverIDs[0]}}
		}},
		{"forbidden message", func(w *world, a decide.Action) []decide.Action {
			return []decide.Action{a, decide.SendMessage{ToAll: true}}
		}},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			w := runWorld(seed, 10*time.Second, perAction(c.change))
			found = strings.Contains(fmt.Sprint(w.violations), c.want)
		}
		if !found {
			t.Errorf("the checker did not report %q of a module that was altered to cause it", c.want)
		}
	}
}
