package guard

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingvalve/decide"
)

const grace = 500 * time.Millisecond

var now = time.Now()

// validAttempt is an attempt that breaks no rule.
func validAttempt() Attempt {
	return Attempt{Now: now, TimeLeft: time.Second, Deadline: now.Add(time.Second),
		ClientDeadline: now.Add(time.Second), Effect: decide.Unsafe}
}

// plantedFaults holds for each rule of attempts a fault that breaks it: before is the one that Admit has to refuse, after
// the one that RecordSent has to count.
var plantedFaults = map[Rule]struct{ before, after func(*Attempt) }{
	Duplicate: {
		func(a *Attempt) { a.MayHaveRun = true },
		func(a *Attempt) { a.MayHaveRun = true },
	},
	Drain: {
		func(a *Attempt) { a.UnavailableSince = now },
		func(a *Attempt) { a.UnavailableSince = now.Add(-grace - time.Millisecond) },
	},
	Failback: {
		func(a *Attempt) { a.SlowStartSent, a.SlowStartLimit = 9, 8 },
		func(a *Attempt) { a.SlowStartSent, a.SlowStartLimit = 9, 8 },
	},
	Deadline: {
		func(a *Attempt) { a.Deadline = now },
		func(a *Attempt) { a.TimeLeft = time.Second + DeadlineSlack + time.Millisecond },
	},
	Departed: {
		func(a *Attempt) { a.ClientGone = true },
		func(a *Attempt) { a.ClientGone = true },
	},
}

// For each rule the guard refuses its planted fault before an attempt and counts it after one, and refuses or counts
// nothing under the other rules.
func TestEachRuleCatchesItsFault(t *testing.T) {
	t.Parallel()
	for _, r := range Rules() {
		if r == Lost {
			continue // a rule of requests: TestLostIsCounted
		}
		t.Run(r.String(), func(t *testing.T) {
			t.Parallel()
			var reported []Rule
			g := New(grace, func(r Rule, _ Attempt) { reported = append(reported, r) })
			before, after := validAttempt(), validAttempt()
			if got := g.Admit(before); got != None {
				t.Fatalf("a valid attempt is refused: %v", got)
			}
			g.RecordSent(before, before.Now)
			plantedFaults[r].before(&before)
			if got := g.Admit(before); got != r {
				t.Errorf("refused for %v", got)
			}
			plantedFaults[r].after(&after)
			g.RecordSent(after, after.Now)
			for _, other := range Rules() {
				refused, violated := g.Counts(other)
				if want := int64(len(slices.DeleteFunc([]Rule{r}, func(x Rule) bool { return x != other }))); refused != want ||
					violated != want {
					t.Errorf("%v: refused %d, broken %d, want %d each", other, refused, violated, want)
				}
			}
			if !slices.Equal(reported, []Rule{r}) || g.Violations() != 1 {
				t.Errorf("reported %v, %d violations", reported, g.Violations())
			}
		})
	}
}

// A request that ends without an answer counts as lost.
func TestLostIsCounted(t *testing.T) {
	t.Parallel()
	g := New(grace, nil)
	g.RecordRequestEnd(true)
	g.RecordRequestEnd(false)
	if _, violated := g.Counts(Lost); violated != 1 {
		t.Errorf("%d, want 1", violated)
	}
}

// Attempts just within the bounds of each rule are neither refused nor counted.
func TestBounds(t *testing.T) {
	t.Parallel()
	for name, modify := range map[string]func(*Attempt){
		"safe again":            func(a *Attempt) { a.Effect, a.MayHaveRun = decide.Safe, true },
		"keyed, in its window":  func(a *Attempt) { a.Effect, a.MayHaveRun, a.WriteBy = decide.Keyed, true, now.Add(1) },
		"just in time":          func(a *Attempt) { a.Deadline = now.Add(1) },
		"cold, its last one":    func(a *Attempt) { a.SlowStartSent, a.SlowStartLimit = 8, 8 },
		"a probe has no client": func(a *Attempt) { a.Probe, a.ClientDeadline, a.MayHaveRun = true, time.Time{}, true },
	} {
		a := validAttempt()
		modify(&a)
		g := New(grace, nil)
		if r := g.Admit(a); r != None {
			t.Errorf("%s: refused for %v", name, r)
		}
		if g.RecordSent(a, a.Now); g.Violations() != 0 {
			t.Errorf("%s: counted", name)
		}
	}
	a := validAttempt()
	a.Effect, a.MayHaveRun, a.WriteBy = decide.Keyed, true, now
	if r := Check(a); r != Duplicate {
		t.Errorf("an idempotency key after its window: %v", r)
	}
	a = validAttempt()
	a.UnavailableSince = now.Add(-grace)
	g := New(grace, nil)
	if g.RecordSent(a, now); g.Violations() != 0 {
		t.Error("an attempt within the drain grace, sent as the server began to drain after the check, is counted")
	}
}

// A watch that is resumed too late brings the drain of a server (this has happened). Attempts that were sent after the
// drain grace are counted then, and attempts without a watch count as sent by a stale list.
func TestSentBeforeItWasKnown(t *testing.T) {
	t.Parallel()
	g := New(grace, nil)
	g.RecordSentBefore(now.Add(grace), now)
	g.RecordSentBefore(now.Add(time.Hour), time.Time{}) // resumed in time
	if _, violated := g.Counts(Drain); violated != 0 {
		t.Errorf("%d, want none", violated)
	}
	g.RecordSentBefore(now.Add(grace+1), now)
	if _, violated := g.Counts(Drain); violated != 1 {
		t.Errorf("%d, want 1", violated)
	}
	from := time.Now()
	g.SetWatched(false, from)
	g.RecordSent(validAttempt(), from.Add(time.Second))
	g.SetWatched(true, time.Time{})
	g.RecordSent(validAttempt(), from.Add(2*time.Second))
	if g.StaleSends() != 1 {
		t.Errorf("%d sent unwatched, want 1", g.StaleSends())
	}
}

// A nil guard checks attempts, too, and counts nothing.
func TestNilGuard(t *testing.T) {
	t.Parallel()
	var g *Guard
	a := validAttempt()
	a.ClientGone = true
	if g.Admit(a) != Departed || g.Violations() != 0 || g.StaleSends() != 0 {
		t.Error("a nil guard does not refuse, or counts")
	}
	g.RecordSent(a, now)
	g.RecordSentBefore(now, now.Add(-time.Hour))
	g.RecordRequestEnd(false)
	g.SetWatched(false, now)
}

// An attempt that is admitted breaks no rule if it is sent in the same moment.
func TestAdmittedBreaksNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Second)).Draw(t, name))
		}
		a := Attempt{Now: now, Deadline: now.Add(span("deadline")),
			Effect: rapid.SampledFrom([]decide.Effect{decide.Safe, decide.Keyed, decide.Unsafe}).Draw(t, "effect"),
			Over:   rapid.Bool().Draw(t, "over"), ClientGone: rapid.Bool().Draw(t, "departed"),
			MayHaveRun:    rapid.Bool().Draw(t, "ran"),
			SlowStartSent: rapid.IntRange(0, 5).Draw(t, "cold"), SlowStartLimit: rapid.IntRange(0, 5).Draw(t, "most")}
		a.ClientDeadline = a.Deadline.Add(max(0, span("patience")))
		a.TimeLeft = max(0, a.Deadline.Sub(now))
		if rapid.Bool().Draw(t, "off") {
			a.UnavailableSince = now.Add(span("since"))
		}
		if rapid.Bool().Draw(t, "window") {
			a.WriteBy = now.Add(span("window ends"))
		}
		g := New(grace, nil)
		if g.Admit(a) == None {
			if g.RecordSent(a, now); g.Violations() != 0 {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// BenchmarkAttempt measures the guard's cost per attempt: the check before it, and the one after.
func BenchmarkAttempt(b *testing.B) {
	g := New(grace, nil)
	a := validAttempt()
	b.ReportAllocs()
	for b.Loop() {
		if g.Admit(a) == None {
			g.RecordSent(a, a.Now)
		}
	}
}

// An attempt that has waited for its connection is not written once the list by which its server was chosen is no longer
// valid.
func TestExpiredListIsRefused(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for _, c := range []struct {
		good time.Duration // how long the list is still valid; 0: without limit
		want Rule
	}{{0, None}, {time.Millisecond, None}, {-time.Millisecond, Drain}} {
		a := Attempt{Now: now, Deadline: now.Add(time.Second)}
		if c.good != 0 {
			a.ListValidUntil = now.Add(c.good)
		}
		if got := Check(a); got != c.want {
			t.Errorf("list valid for %v: %v, want %v", c.good, got, c.want)
		}
	}
}
