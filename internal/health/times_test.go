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

// simulateLatencies draws batches of 50 requests, of which part is the new version's, until JudgeLatency returns a
// verdict. The latencies are log-normal around 20 ms, with the given spread, and the new version's are multiplied by
// slowdown. It returns the verdict and the number of the new version's requests.
func simulateLatencies(seed uint64, slowdown, spread, part float64) (Verdict, uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	bounds := LatencyBounds(simulatedAim)
	n, o := make([]uint64, Buckets), make([]uint64, Buckets)
	for range 2000 {
		for range 50 {
			to, factor := o, 1.0
			if r.Float64() < part {
				to, factor = n, slowdown
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
		times, spread, part float64 // times is the factor by which the new version's latencies are longer
		want                Verdict
		most                uint64 // requests of the new version, at the median
	}{
		"no slower":                     {1, 0.4, 0.1, Well, 1500},
		"2% slower":                     {1.02, 0.4, 0.1, Well, 3000},
		"much faster":                   {0.7, 0.4, 0.1, Well, 500},
		"10% slower":                    {1.1, 0.4, 0.1, Worse, 2000},
		"10% slower, all alike":         {1.1, 0.005, 0.1, Worse, 300},
		"no slower, all alike":          {1, 0.005, 0.1, Well, 3000},
		"twice as slow, wide spread":    {2, 1, 0.1, Worse, 300},
		"10% slower, half of all nodes": {1.1, 0.3, 0.5, Worse, 2000},
		"no slower, few old nodes left": {1, 0.4, 0.95, Well, 40000},
		"10% slower, a tenth old":       {1.1, 0.4, 0.9, Worse, 15000},
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
			t.Errorf("%s: a verdict after %d requests at the median, want at most %d", name, median, c.most)
		}
	}
}

// Guards against a test that never ends when the new version's latency lies between the two hypotheses: it is 4.5%
// slower, about half a bucket. At least half of the 200 runs must end with Well, half of the runs within 5000 requests of the
// new version, and all within 12000.
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
		t.Errorf("well in %d of 200 runs, after %d requests at the median and %d at worst", well, counts[100], worst)
	}
}

// Guards against rare classes that are never judged (they are judged together), a slower class that is not named, and
// a verdict of Worse where the old version has no requests of the class. Also checks that only latencies above the aim
// count as late,
// and the memory limit.
func TestSlowerOfMany(t *testing.T) {
	// split returns a histogram of n requests: half of them in the bucket, the other half four buckets higher.
	split := func(bucket int, n uint64) []uint64 {
		took := make([]uint64, Buckets)
		took[bucket], took[bucket+4] = n/2, n-n/2
		return took
	}
	old := map[string]ClassCounts{"a": {Served: 2000, Latencies: split(20, 2000)}, "b": {Served: 2000, Latencies: split(30, 2000)}}
	for name, c := range map[string]struct {
		fresh map[string]ClassCounts
		want  Verdict
		why   string
	}{
		"alike":                              {map[string]ClassCounts{"a": {Latencies: split(20, 1000)}, "b": {Latencies: split(30, 1000)}}, Well, ""},
		"one request":                        {map[string]ClassCounts{"a": {Latencies: split(20, 1)}}, Unknown, "more are wanted"},
		"700 of each class":                  {map[string]ClassCounts{"a": {Latencies: split(20, 700)}, "b": {Latencies: split(30, 700)}}, Well, ""},
		"one is slower":                      {map[string]ClassCounts{"a": {Latencies: split(20, 1000)}, "b": {Latencies: split(32, 1000)}}, Worse, "b: 1000 answers take 1.19 times as long as 2000"},
		"a class that the old version lacks": {map[string]ClassCounts{"c": {Latencies: split(20, 1000)}}, Well, ""},
	} {
		if v, why := JudgeLatency(c.fresh, old); v != c.want || !strings.Contains(why, c.why) {
			t.Errorf("%s: %v, %q; want %v, %q", name, v, why, c.want, c.why)
		}
	}
	much := map[string]ClassCounts{"a": {Served: 1000, Latencies: split(aimBound+1, 1000)}}
	if v, why := Judge(much, old); v != Worse || !strings.Contains(why, "1000 of 1000 late") {
		t.Errorf("late answers: %v, %q", v, why)
	}
	if n := countLate(split(aimBound-4, 10)); n != 0 {
		t.Errorf("%d requests within their aim count as late", n)
	}
	if fat, _ := UsesMoreMemory(60<<20, 20<<20); !fat {
		t.Error("three times the memory is accepted")
	}
	if fat, _ := UsesMoreMemory(40<<20, 20<<20); fat {
		t.Error("20 MB more are rejected")
	}
}
