package health

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

// simulate draws batches of 50 requests, of which part goes to the new version, with the given shares of failed ones,
// until Judge returns a verdict. It returns the verdict and the number of the new version's requests.
func simulate(seed uint64, newBad, oldBad float64, part float64) (Verdict, uint64) {
	src := rand.NewPCG(seed, 3)
	var n, o ClassCounts
	for range 4000 {
		fresh := uint64(distuv.Binomial{N: 50, P: part, Src: src}.Rand())
		add := func(e *ClassCounts, count uint64, p float64) {
			bad := uint64(distuv.Binomial{N: float64(count), P: p, Src: src}.Rand())
			e.Failed += bad
			e.Served += count - bad
		}
		add(&n, fresh, newBad)
		add(&o, 50-fresh, oldBad)
		if v, _ := Judge(map[string]ClassCounts{"c": n}, map[string]ClassCounts{"c": o}); v != Unknown {
			return v, n.Served + n.Failed
		}
	}
	return Unknown, n.Served + n.Failed
}

// Guards against verdicts that are wrong more often than the stated error rates, and against verdicts that need too
// many requests. Each case of failure rates and traffic shares runs a thousand times. The number of wrong verdicts may
// be 3.5 standard deviations plus 1 above the expected one. The number of requests that a verdict takes is smoothed over
// the runs (an exponentially weighted mean, to which each run adds a tenth) and may be up to twice the stated one.
func TestErrorRates(t *testing.T) {
	for name, c := range map[string]struct {
		newBad, oldBad, part float64
		want                 Verdict
		most                 uint64 // requests of the new version until the verdict; the check allows twice as many
	}{
		"no failures":                   {0, 0, 0.1, Well, 400},
		"both fail a little":            {0.001, 0.001, 0.1, Well, 1000},
		"both fail much":                {0.1, 0.1, 0.2, Well, 3000},
		"2% of one class":               {0.02, 0.0005, 0.1, Worse, 1500},
		"a canary of one in fifty":      {0.05, 0.001, 0.02, Worse, 800},
		"refuses everything":            {1, 0.001, 0.05, Worse, 100},
		"thrice as much as a poor one":  {0.15, 0.05, 0.2, Worse, 1000},
		"better than the one before it": {0.001, 0.05, 0.1, Well, 1000},
	} {
		wrong, undecided := 0, 0
		var counts []uint64
		const runs = 1000
		for seed := range uint64(runs) {
			v, n := simulate(seed, c.newBad, c.oldBad, c.part)
			counts = append(counts, n)
			switch v {
			case c.want:
			case Unknown:
				undecided++
			default:
				wrong++
			}
		}
		errorRate := MissRate
		if c.want == Well {
			errorRate = FalseAlarmRate
		}
		stated := errorRate * runs
		if most := stated + 3.5*math.Sqrt(stated) + 1; float64(wrong) > most || undecided > runs/100 { // 3.5 standard deviations
			t.Errorf("%s: %d wrong and %d undecided of %d, want about %.0f wrong", name, wrong, undecided, runs, stated)
		}
		typical := counts[0]
		for _, n := range counts {
			typical = (typical*9 + n) / 10
		}
		if typical > 2*c.most {
			t.Errorf("%s: a verdict after about %d requests, want at most twice %d", name, typical, c.most)
		}
	}
}

// Guards against a verdict on too little traffic, a verdict that a rare class decides, and a reason that does not
// name the class.
func TestJudge(t *testing.T) {
	good := map[string]ClassCounts{"a": {Served: 5000}, "b": {Served: 5000}}
	for name, c := range map[string]struct {
		fresh, old map[string]ClassCounts
		want       Verdict
		why        string
	}{
		"nothing":              {nil, good, Unknown, "no request has ended at the new version"},
		"little":               {map[string]ClassCounts{"a": {Served: 40}, "b": {Served: 40}}, good, Unknown, "b: 0 of 40 late, 0 of 5000 at the version before"},
		"well":                 {map[string]ClassCounts{"a": {Served: 400}, "b": {Served: 400}}, good, Well, ""},
		"one class fails":      {map[string]ClassCounts{"a": {Served: 400}, "b": {Served: 300, Failed: 60}}, good, Worse, "b: 60 of 360 failed, 0 of 5000 at the version before"},
		"one class is refused": {map[string]ClassCounts{"a": {Refused: 400}, "b": {Served: 400}}, good, Worse, "a: 400 of 400 refused, 0 of 5000 at the version before"},
		"a rare class":         {map[string]ClassCounts{"a": {Served: 9000}, "c": {Failed: 1}}, good, Well, ""},
		"no old version":       {map[string]ClassCounts{"a": {Served: 400}}, nil, Well, ""},
		"bad, no old version":  {map[string]ClassCounts{"a": {Served: 300, Failed: 60}}, nil, Worse, "a: 60 of 360 failed, 0 of 0 at the version before"},
	} {
		if v, why := Judge(c.fresh, c.old); v != c.want || why != c.why {
			t.Errorf("%s: %v, %q; want %v, %q", name, v, why, c.want, c.why)
		}
	}
}
