package health

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const simulatedAim = 600 * time.Millisecond

// simulateLatencies draws batches of 50 answers, of which part is the new version's, until JudgeLatency returns a
// verdict. The latencies are log-normal around 20 ms, with the given spread, and the new version's are multiplied by
// times. It returns the verdict and the number of the new version's answers.
func simulateLatencies(seed uint64, times, spread, part float64) (Verdict, uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	bounds := LatencyBounds(simulatedAim)
	n, o := make([]uint64, Buckets), make([]uint64, Buckets)
	for range 2000 {
		for range 50 {
			to, factor := o, 1.0
			if r.Float64() < part {
				to, factor = n, times
			}
			at, _ := slices.BinarySearch(bounds, time.Duration(20e6*factor*math.Exp(spread*r.NormFloat64())))
			to[at]++
		}
		if v, _ := JudgeLatency(map[string]ClassCounts{"c": {Latencies: n}}, map[string]ClassCounts{"c": {Latencies: o}}); v != Unknown {
			return v, sumOf(n)
		}
	}
	return Unknown, sumOf(n)
}

// Guards against a version that is 10% slower and passes, one that is not slower and is rejected (both beyond the
// stated error rates), and verdicts that need too many answers. The latencies are nearly alike in some cases and
// spread widely in others.
func TestSlower(t *testing.T) {
	for name, c := range map[string]struct {
		times, spread, part float64
		want                Verdict
		most                uint64 // requests of the new version, at the median
	}{
		"no slower":                      {1, 0.4, 0.1, Well, 1500},
		"2% slower":                      {1.02, 0.4, 0.1, Well, 3000},
		"much faster":                    {0.7, 0.4, 0.1, Well, 500},
		"10% slower":                     {1.1, 0.4, 0.1, Worse, 2000},
		"10% slower, times are alike":    {1.1, 0.005, 0.1, Worse, 300},
		"no slower, times are alike":     {1, 0.005, 0.1, Well, 3000},
		"twice as slow, times spread":    {2, 1, 0.1, Worse, 300},
		"10% slower, half of all nodes":  {1.1, 0.3, 0.5, Worse, 2000},
		"no slower, hardly any are left": {1, 0.4, 0.95, Well, 40000},
		"10% slower, few are left":       {1.1, 0.4, 0.9, Worse, 15000},
	} {
		wrong, undecided := 0, 0
		var counts []uint64
		const runs = 300
		for seed := range uint64(runs) {
			v, n := simulateLatencies(seed, c.times, c.spread, c.part)
			counts = append(counts, n)
			switch v {
			case c.want:
			case Unknown:
				undecided++
			default:
				wrong++
			}
		}
		stated := MissRate * runs
		if c.want == Well {
			stated = FalseAlarmRate * runs
		}
		if most := stated + 3.5*math.Sqrt(stated) + 1; float64(wrong) > most || undecided > 0 {
			t.Errorf("%s: %d wrong and %d undecided of %d, want about %.1f wrong", name, wrong, undecided, runs, stated)
		}
		slices.Sort(counts)
		if median := counts[runs/2]; median > c.most {
			t.Errorf("%s: a verdict after %d requests, want %d", name, median, c.most)
		}
	}
}

// Guards against a test that never ends when the new version's latency lies between the two hypotheses.
func TestInBetween(t *testing.T) {
	well := 0
	var counts []uint64
	for seed := range uint64(200) {
		v, n := simulateLatencies(seed, 1.045, 0.4, 0.5)
		if counts = append(counts, n); v == Well {
			well++
		}
	}
	slices.Sort(counts)
	if worst := counts[len(counts)-1]; worst > 12_000 || counts[100] > 5000 || well < 100 {
		t.Errorf("well in %d of 200 runs, after %d answers at the median and %d at worst", well, counts[100], worst)
	}
}

// Guards against rare classes that are never judged (they are judged together), a slower class that is not named, and
// a verdict of Worse where no answers of the old version exist. Also checks that answers above the aim count as late,
// and the memory limit.
func TestSlowerOfMany(t *testing.T) {
	at := func(bucket int, n uint64) []uint64 {
		took := make([]uint64, Buckets)
		took[bucket], took[bucket+4] = n/2, n-n/2
		return took
	}
	old := map[string]ClassCounts{"a": {Served: 2000, Latencies: at(20, 2000)}, "b": {Served: 2000, Latencies: at(30, 2000)}}
	for name, c := range map[string]struct {
		fresh map[string]ClassCounts
		want  Verdict
		why   string
	}{
		"alike":             {map[string]ClassCounts{"a": {Latencies: at(20, 1000)}, "b": {Latencies: at(30, 1000)}}, Well, ""},
		"few":               {map[string]ClassCounts{"a": {Latencies: at(20, 1)}}, Unknown, "more are wanted"},
		"few of each":       {map[string]ClassCounts{"a": {Latencies: at(20, 700)}, "b": {Latencies: at(30, 700)}}, Well, ""},
		"one is slower":     {map[string]ClassCounts{"a": {Latencies: at(20, 1000)}, "b": {Latencies: at(32, 1000)}}, Worse, "b: 1000 answers take 1.19 times as long as 2000"},
		"nobody to compare": {map[string]ClassCounts{"c": {Latencies: at(20, 1000)}}, Well, ""},
	} {
		if v, why := JudgeLatency(c.fresh, old); v != c.want || !strings.Contains(why, c.why) {
			t.Errorf("%s: %v, %q; want %v, %q", name, v, why, c.want, c.why)
		}
	}
	much := map[string]ClassCounts{"a": {Served: 1000, Latencies: at(aimBound+1, 1000)}}
	if v, why := Judge(much, old); v != Worse || !strings.Contains(why, "1000 of 1000 late") {
		t.Errorf("late answers: %v, %q", v, why)
	}
	if n := countLate(at(aimBound-4, 10)); n != 0 {
		t.Errorf("%d answers below their aim count as late", n)
	}
	if fat, _ := UsesMoreMemory(60<<20, 20<<20); !fat {
		t.Error("three times the memory is accepted")
	}
	if fat, _ := UsesMoreMemory(40<<20, 20<<20); fat {
		t.Error("20 MB more are rejected")
	}
}
