package experiment

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Guards against intervals that cover the true difference less (or more) often than their confidence says, and
// against chance that both runs of a pair share but that does not cancel out.
func TestCoverage(t *testing.T) {
	covered, different := 0, 0
	const trials = 2000
	for trial := range trials {
		noise := func(seed uint64, salt uint64) float64 {
			return rand.New(rand.NewPCG(seed, salt+uint64(trial)<<8)).NormFloat64()
		}
		a := func(seed uint64) float64 { return 100*noise(seed, 1) + noise(seed, 2) }
		b := func(seed uint64) float64 { return 100*noise(seed, 1) + noise(seed, 3) + 2 }
		i, err := Compare(a, b, 1, 20, 0.95)
		if err != nil {
			t.Fatal(err)
		}
		if i.Covers(2) {
			covered++
		}
		if i.Differs() {
			different++
		}
	}
	if covered < trials*93/100 || covered > trials*97/100 {
		t.Errorf("%d of %d intervals cover the truth, want 95%%", covered, trials)
	}
	if different < trials*98/100 {
		t.Errorf("a difference of two deviations is detected %d times of %d", different, trials)
	}
	if i, _ := Compare(func(s uint64) float64 { return float64(s) },
		func(s uint64) float64 { return float64(s) }, 1, 5, 0.95); i.Differs() || i.Mean != 0 || i.A != 3 {
		t.Errorf("a version against itself: %v", i)
	}
	for _, bad := range []struct {
		pairs      int
		confidence float64
	}{{1, 0.95}, {5, 0}, {5, 1}} {
		if _, err := Compare(nil, nil, 1, bad.pairs, bad.confidence); err == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}

// noisy returns a plan whose versions differ by shift in the main measure, with a standard deviation of 1, and do
// not differ in the second measure.
func noisy(salt uint64, shift, width float64) Plan {
	draw := func(seed, side uint64) float64 {
		return rand.New(rand.NewPCG(seed, salt<<8+side)).NormFloat64() / math.Sqrt2
	}
	return Plan{Measures: []string{"main", "other"}, Width: width, FirstSeed: 1, Workers: 1,
		A: func(s uint64) []float64 { return []float64{10 + draw(s, 1), draw(s, 3)} },
		B: func(s uint64) []float64 { return []float64{10 + shift + draw(s, 2), draw(s, 4)} }}
}

// Guards against a stopping rule that makes intervals too narrow: the two-stage rule must reach the wanted width
// and still cover the truth as often as its confidence says. Stopping as soon as the interval looks narrow covers
// it less often; the test shows this for comparison.
func TestStoppingKeepsItsCoverage(t *testing.T) {
	covered, tooWide, sequential := 0, 0, 0
	const trials, width = 1000, 0.5
	for trial := range uint64(trials) {
		p := noisy(trial, 0.3, width)
		r, err := Run(t.Context(), p)
		if err != nil {
			t.Fatal(err)
		}
		if i := r.Intervals[0]; i.Covers(0.3) {
			covered++
		} else if i.High-i.Low > 2*width*1.0001 {
			tooWide++
		}
		for n := 3; ; n++ { // checks after each pair from the third on
			if i := interval("", r.firstPairs(p, n), 0,
				standardDeviation(r.firstPairs(p, n), 0), n-1, 0.95); i.High-i.Low <= 2*width {
				if i.Covers(0.3) {
					sequential++
				}
				break
			}
		}
	}
	if covered < trials*93/100 || tooWide > 0 {
		t.Errorf("%d of %d intervals cover the truth, %d are too wide", covered, trials, tooWide)
	}
	if sequential >= covered {
		t.Errorf("stopping after each pair covers %d of %d, two stages %d: this test shows nothing", sequential,
			trials, covered)
	}
}

// firstPairs returns the first n pairs of a plan; it runs those that the result lacks.
func (r *Result) firstPairs(p Plan, n int) (pairs []Pair) {
	for i := range n {
		if i < len(r.Pairs) {
			pairs = append(pairs, r.Pairs[i])
			continue
		}
		seed := p.FirstSeed + uint64(i)
		pairs = append(pairs, Pair{seed, p.A(seed), p.B(seed)})
	}
	return pairs
}

// Guards against results that depend on the number of parallel runs or on an interruption: they must be the same
// in one go and when resumed. Limits must be kept and reported.
func TestSameFiguresInAnyOrder(t *testing.T) {
	inOneGo, err := Run(t.Context(), noisy(7, 0.1, 0.3))
	if err != nil {
		t.Fatal(err)
	}
	p := noisy(7, 0.1, 0.3)
	p.Workers = 8
	var pairs []Pair
	p.OnPair = func(x Pair) error {
		pairs = append(pairs, x)
		if len(pairs) == 13 {
			return errors.New("the disk is full")
		}
		return nil
	}
	if _, err := Run(t.Context(), p); err == nil || err.Error() != "the disk is full" {
		t.Fatalf("a pair that can't be kept: %v", err)
	}
	ran := 0
	p.KnownPairs, p.OnPair = pairs[:12], func(Pair) error { ran++; return nil }
	resumed, err := Run(t.Context(), p)
	if err != nil || !reflect.DeepEqual(inOneGo, resumed) {
		t.Errorf("in one go %+v, in two %+v, %v", inOneGo.Intervals, resumed.Intervals, err)
	}
	if ran != len(inOneGo.Pairs)-12 {
		t.Errorf("%d run again of %d, 12 known", ran, len(inOneGo.Pairs))
	}
	p.KnownPairs = []Pair{{1, []float64{1}, []float64{1}}}
	if _, err := Run(t.Context(), p); err == nil {
		t.Error("a pair of another plan is accepted")
	}
	p = noisy(7, 0.1, 0.01)
	p.MaxPairs = 15
	if r, err := Run(t.Context(), p); err != nil || len(r.Pairs) != 15 || r.WidthReached() || r.WantedPairs < 1000 {
		t.Errorf("bounded: %d pairs, %d wanted, %v", len(r.Pairs), r.WantedPairs, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, noisy(7, 0, 1)); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: %v", err)
	}
}
