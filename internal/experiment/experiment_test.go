package experiment

import (
	"math/rand/v2"
	"testing"
)

// The interval covers the true difference about as often as it says, and chance that a pair shares falls out.
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
		t.Errorf("a difference of two deviations is seen %d times of %d", different, trials)
	}
	if i, _ := Compare(func(s uint64) float64 { return float64(s) }, func(s uint64) float64 { return float64(s) }, 1, 5, 0.95); i.Differs() || i.Mean != 0 || i.A != 3 {
		t.Errorf("one against itself: %v", i)
	}
	for _, bad := range []struct {
		pairs      int
		confidence float64
	}{{1, 0.95}, {5, 0}, {5, 1}} {
		if _, err := Compare(nil, nil, 1, bad.pairs, bad.confidence); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
