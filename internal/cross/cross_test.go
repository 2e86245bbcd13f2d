package cross

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingvalve/decide"
)

const ms = time.Millisecond

// newReadyDecider returns a decider for one connected site with a credit.
func newReadyDecider(most, credit int) *Decider {
	d := New([]string{"b"}, most, 1)
	d.SetLink(0, 0, true)
	d.SetCredit(0, 0, credit, 2*ms)
	return d
}

var safeRequest = Request{Effect: decide.Safe, TimeLeft: time.Second}

// Guards against hand-offs that could take effect twice: keyed requests, unsafe ones that may have run, those that
// came from another site; and against those without time for a round trip.
func TestWhatMayCross(t *testing.T) {
	for name, c := range map[string]struct {
		r    Request
		want int
	}{
		"safe":               {safeRequest, 0},
		"unsafe":             {Request{Effect: decide.Unsafe, TimeLeft: time.Second}, 0},
		"unsafe that ran":    {Request{Effect: decide.Unsafe, TimeLeft: time.Second, MayHaveRun: true}, -1},
		"safe that ran":      {Request{Effect: decide.Safe, TimeLeft: time.Second, MayHaveRun: true}, 0},
		"keyed":              {Request{Effect: decide.Keyed, TimeLeft: time.Second}, -1},
		"from another site":  {Request{Effect: decide.Safe, TimeLeft: time.Second, HandedOff: true}, -1},
		"no time for a trip": {Request{Effect: decide.Safe, TimeLeft: 2 * ms}, -1},
	} {
		if got := newReadyDecider(9, 9).ChooseSite(0, c.r); got != c.want {
			t.Errorf("%s: site %d, want %d", name, got, c.want)
		}
	}
}

// Guards against use of outdated credit: it expires after CreditLifetime, and with the loss of the link.
func TestCreditLapses(t *testing.T) {
	d := newReadyDecider(9, 9)
	if d.ChooseSite(CreditLifetime, safeRequest) != 0 || d.ChooseSite(CreditLifetime+1, safeRequest) != -1 {
		t.Error("credit does not expire after exactly CreditLifetime")
	}
	d.SetCredit(time.Second, 0, 9, 0)
	d.SetLink(time.Second, 0, false)
	d.SetLink(time.Second, 0, true)
	if d.ChooseSite(time.Second, safeRequest) != -1 {
		t.Error("credit is still used after the link was lost")
	}
}

// The second site is chosen only when the first has no credit left.
func TestOrderOfSites(t *testing.T) {
	d := New([]string{"b", "c"}, 9, 1)
	for i := range 2 {
		d.SetLink(0, i, true)
		d.SetCredit(0, i, 1, 0)
	}
	for _, want := range []int{0, 1, -1} {
		if got := d.ChooseSite(0, safeRequest); got != want {
			t.Errorf("site %d, want %d", got, want)
		}
	}
}

// Guards against hand-offs to a site that keeps failing. Uncertain outcomes open its circuit breaker; trials with one
// safe request each follow at growing intervals, and the first answer closes the breaker.
func TestBreakerOpensAndTries(t *testing.T) {
	decider := newReadyDecider(9, 9)
	now := time.Duration(0)
	renewCredit := func() { decider.SetCredit(now, 0, 9, 2*ms) }
	for range breakerThreshold {
		if decider.ChooseSite(now, safeRequest) != 0 {
			t.Fatal("the breaker opened too early")
		}
		decider.HandOffEnded(now, 0, Uncertain, time.Second)
	}
	last := time.Duration(0)
	for round := range 6 {
		began := now
		for renewCredit(); decider.ChooseSite(now, safeRequest) < 0; renewCredit() {
			now += 10 * ms
			if now-began > 2*maxBreakerWait {
				t.Fatal("no trial was allowed in time")
			}
		}
		if decider.ChooseSite(now, safeRequest) >= 0 || decider.ChooseSite(now, Request{Effect: decide.Unsafe, TimeLeft: time.Second}) >= 0 {
			t.Error("a second hand-off was allowed during a trial")
		}
		if pause := now - began; round > 0 && pause < last/4 {
			t.Errorf("the breaker waited %v, after %v the time before", pause, last)
		} else {
			last = pause
		}
		decider.HandOffEnded(now, 0, NotReceived, 0)
	}
	now += 2 * maxBreakerWait
	renewCredit()
	if decider.ChooseSite(now, Request{Effect: decide.Unsafe, TimeLeft: time.Second}) >= 0 {
		t.Error("an unsafe request was allowed as the trial")
	}
	if decider.ChooseSite(now, safeRequest) < 0 {
		t.Fatal("no trial was allowed")
	}
	decider.HandOffEnded(now, 0, Served, 10*ms)
	for range 2 {
		if decider.ChooseSite(now, safeRequest) < 0 {
			t.Error("the breaker is still open after an answer")
		}
	}
}

// Guards against more hand-offs at a site than its latest credit and the configured bound allow, and against a wrong
// count of those in flight, over random sequences of events.
func TestNeverMoreThanCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		decider := New([]string{"b", "c"}, most, 3)
		now := time.Duration(0)
		credit, at, up, out := [2]int{}, [2]time.Duration{}, [2]bool{}, [2]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "site")
			switch rapid.SampledFrom([]string{"credit", "offer", "offer", "end", "link", "wait"}).Draw(t, "step") {
			case "credit":
				credit[index], at[index] = rapid.IntRange(-1, 8).Draw(t, "n"), now
				decider.SetCredit(now, index, credit[index], 0)
			case "offer":
				if got := decider.ChooseSite(now, safeRequest); got >= 0 {
					if !up[got] || now-at[got] > CreditLifetime || out[got] >= min(credit[got], most) {
						t.Fatalf("site %d was chosen: up %v, credit %d, %v old, %d in flight", got, up[got], credit[got], now-at[got], out[got])
					}
					out[got]++
				}
			case "end":
				if out[index] > 0 {
					out[index]--
					decider.HandOffEnded(now, index, rapid.SampledFrom([]Outcome{Served, Rejected, NotReceived, Uncertain, ClientGone}).Draw(t, "outcome"), ms)
				}
			case "link":
				if up[index] = !up[index]; !up[index] {
					credit[index] = 0
				}
				decider.SetLink(now, index, up[index])
			case "wait":
				now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * ms
			}
			if view := decider.Views(now)[index]; view.InFlight != out[index] || view.Up != up[index] {
				t.Fatalf("got %+v, want %d in flight", view, out[index])
			}
		}
	})
}

// BenchmarkStaysHome measures a request for which no site is available.
func BenchmarkStaysHome(b *testing.B) {
	d := New([]string{"b", "c", "d"}, 256, 1)
	b.ReportAllocs()
	for b.Loop() {
		if d.ChooseSite(time.Second, safeRequest) >= 0 {
			b.Fatal("a disconnected site was chosen")
		}
	}
}
