package health

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Latency buckets: each bound is about a twelfth (2^(1/8)) above the one before, from 1/128 of a class's aim to twice
// the aim.
const (
	boundsPerOctave = 8
	octavesBelow    = 7
	octavesAbove    = 1
	aimBound        = boundsPerOctave * octavesBelow // index of the bound that equals the aim
	// Buckets is the number of counts: one up to each bound, and one above the last.
	Buckets = boundsPerOctave*(octavesBelow+octavesAbove) + 2
)

// LatencyBounds returns the upper bounds of all latency buckets of a class but the last, for the class's aim.
func LatencyBounds(aim time.Duration) []time.Duration {
	bounds := make([]time.Duration, Buckets-1)
	for i := range bounds {
		bounds[i] = time.Duration(float64(aim) * math.Exp2(float64(i-aimBound)/boundsPerOctave))
	}
	return bounds
}

// countLate returns the number of answers with a latency above the aim.
func countLate(took []uint64) (n uint64) {
	if len(took) > aimBound+1 {
		for _, k := range took[aimBound+1:] {
			n += k
		}
	}
	return n
}

func sumOf(took []uint64) (n uint64) {
	for _, k := range took {
		n += k
	}
	return n
}

const (
	toleratedStep = 0.25 // part of a bucket's width by which latencies may grow and still count as equal: about 2%
	minTailShare  = 0.02 // least share of answers assumed on each side of a bound, also where all latencies are alike
	enoughAnswers = 2000 // sum of n*o/(n+o) over classes, of n new and o old answers, from which a ratio of at most 0 is Well
	minOldAnswers = 300  // answers of the version before that are needed to know its latencies
)

// latencyRatio returns the log likelihood ratio of two hypotheses on the new version's latencies: that each is one
// bucket (about a twelfth) above the old version's, against that they equal the old ones or are a quarter of a bucket
// above. It uses a single bound, the one that separates the hypotheses best given the old latencies, and counts the
// new answers above it as Bernoulli trials. An increase of three fifths of a bucket is about equally likely under
// both: where all latencies are alike, a tiny increase may move them across a bound. ok is false if the old version
// has too few answers or no bound separates the hypotheses.
func latencyRatio(fresh, old []uint64) (llr float64, ok bool) {
	all, new := sumOf(old), sumOf(fresh)
	if all < minOldAnswers {
		return 0, false
	}
	clampedShare := func(n uint64) float64 { return min(max((float64(n)+1)/(float64(all)+2), minTailShare), 1-minTailShare) }
	bound, p0, p1, best := 0, 0.0, 0.0, 0.0
	remaining := all
	for i := 0; i < len(old)-1; i++ { // remaining counts the answers above bound i-1
		longer, behind := clampedShare(remaining), clampedShare(remaining-old[i])
		behind += toleratedStep * (longer - behind)
		remaining -= old[i]
		if information := longer*math.Log(longer/behind) + (1-longer)*math.Log((1-longer)/(1-behind)); i > 0 && information > best {
			bound, p0, p1, best = i+1, behind, longer, information
		}
	}
	if best == 0 {
		return 0, false
	}
	longer := uint64(0)
	if bound < len(fresh) {
		longer = sumOf(fresh[bound:])
	}
	// The old share is a sample as well. The difference of the two shares has the variance of a sample of
	// new*all/(new+all) answers against a known share, so the ratio is weighted by all/(new+all).
	weight := float64(all) / float64(all+new)
	return weight * (float64(longer)*math.Log(p1/p0) + float64(new-longer)*math.Log((1-p1)/(1-p0))), true
}

// JudgeLatency judges whether the new version's latencies are above the old version's. It is Worse if one class by
// itself or all classes together are slower (a class may have too few requests to be judged by itself), and Well if
// all classes together are not slower. why describes what is slower, or that more answers are needed.
func JudgeLatency(fresh, old map[string]ClassCounts) (v Verdict, why string) {
	sum, answers, compared := 0.0, 0.0, false
	for _, class := range slices.Sorted(maps.Keys(fresh)) {
		compared = compared || sumOf(old[class].Latencies) > 0
		llr, _ := latencyRatio(fresh[class].Latencies, old[class].Latencies)
		sum += llr
		if n, o := float64(sumOf(fresh[class].Latencies)), float64(sumOf(old[class].Latencies)); o > 0 {
			answers += n * o / (n + o)
		}
		if decide(llr) == Worse {
			return Worse, fmt.Sprintf("%s: %d answers take %v times as long as %d at the version before, at the median", class, sumOf(fresh[class].Latencies),
				math.Round(100*medianRatio(fresh[class].Latencies, old[class].Latencies))/100, sumOf(old[class].Latencies))
		}
	}
	switch v := decide(sum); {
	case !compared:
		return Well, "" // there are no answers of the old version to compare with
	case v == Worse:
		return Worse, "all classes together take longer than at the version before"
	// With enough answers the test ends, since a latency between the hypotheses may leave it undecided for long.
	case v == Unknown && (answers < enoughAnswers || sum > 0):
		return Unknown, "whether answers take longer: more are wanted"
	}
	return Well, ""
}

// medianRatio returns the new median latency divided by the old one, interpolated within the buckets.
func medianRatio(fresh, old []uint64) float64 {
	at := func(took []uint64) float64 {
		half := float64(sumOf(took)) / 2
		for i, n := range took {
			if float64(n) >= half && n > 0 {
				return float64(i) + half/float64(n)
			}
			half -= float64(n)
		}
		return 0
	}
	return math.Exp2((at(fresh) - at(old)) / boundsPerOctave)
}

// UsesMoreMemory reports whether the largest process of the new version uses much more memory than the largest of the
// old one, in bytes: more than 1.5 times as much plus 16 MB. It is a fixed limit and no statistical test, since
// memory use varies little by chance. The old size is 0 if there is none to compare with.
func UsesMoreMemory(freshBytes, oldBytes uint64) (bool, string) {
	if oldBytes > 0 && float64(freshBytes) > memoryFactor*float64(oldBytes)+memorySlack {
		return true, fmt.Sprintf("a process holds %d MB of memory, %d MB the largest of the version before", freshBytes>>20, oldBytes>>20)
	}
	return false, ""
}

// Limits of UsesMoreMemory.
const (
	memoryFactor = 1.5
	memorySlack  = 16 << 20 // bytes
)
