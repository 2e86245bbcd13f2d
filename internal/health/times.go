package health

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Latency buckets: each bound is 2^(1/8) = 1.09 times the one before, about 9% above it, from 1/128 of a class's aim to
// twice the aim.
const (
	boundsPerOctave = 8
	octavesBelow    = 7
	octavesAbove    = 1
	aimBound        = boundsPerOctave * octavesBelow // index of the bound that equals the aim
	// Buckets is the number of counts: one up to each of the 65 bounds (8 octaves of 8, and the first), and one above
	// the last.
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

// countLate returns the number of requests with a latency above the aim. took is a histogram of latencies.
func countLate(took []uint64) (n uint64) {
	if len(took) > aimBound+1 {
		for _, k := range took[aimBound+1:] {
			n += k
		}
	}
	return n
}

// sumOf returns the number of requests in a histogram.
func sumOf(took []uint64) (n uint64) {
	for _, k := range took {
		n += k
	}
	return n
}

const (
	// toleratedStep is the part of a bucket's width by which latencies may grow and still count as equal: about 2%.
	toleratedStep = 0.25
	// minTailShare is the least share of requests assumed on each side of a bound, also where all latencies are alike.
	// It limits how much a single request adds to the log-likelihood ratio.
	minTailShare = 0.02
	// enoughAnswers is the effective sample size at which the latency test stops: if it is undecided then and the
	// log-likelihood ratio is at most 0, the verdict is Well. The size is the sum of n*o/(n+o) over the classes, of n
	// requests of the new version and o of the old.
	enoughAnswers = 2000
	// minOldAnswers is the number of old requests needed to know the latencies of a class. With fewer the ratio of the
	// class is 0, which favours neither hypothesis.
	minOldAnswers = 300
)

// latencyRatio returns the log-likelihood ratio of two hypotheses on the new version's latencies: that each is one
// bucket (about 9%) above the old version's, against that they are at most a quarter of a bucket above. fresh and old
// are histograms. It uses a single bound, the one that separates the hypotheses best given the old latencies, and
// counts the new requests above it as Bernoulli trials. If every latency grows by one bucket, the new share above bound
// i equals the old share above bound i-1. With an increase of about three fifths of a bucket, the data is about equally
// likely under both hypotheses. That matters where all latencies are alike: there a tiny increase may move many requests
// across a bound. ok is false, and the ratio 0, if the old version has fewer than minOldAnswers requests or no bound
// separates the hypotheses.
func latencyRatio(fresh, old []uint64) (llr float64, ok bool) {
	oldTotal, newTotal := sumOf(old), sumOf(fresh)
	if oldTotal < minOldAnswers {
		return 0, false
	}
	clampedShare := func(n uint64) float64 {
		return min(max((float64(n)+1)/(float64(oldTotal)+2), minTailShare), 1-minTailShare)
	}
	// p0 and p1 are the new share above the chosen bound if the latencies are equal (up to the tolerance) and if they
	// are slower by a bucket; firstAbove is the first bucket above that bound.
	firstAbove, p0, p1, best := 0, 0.0, 0.0, 0.0
	remaining := oldTotal
	for i := 0; i < len(old)-1; i++ { // remaining counts the old requests above bound i-1
		// slower and equal are the new share above bound i under the two hypotheses.
		slower, equal := clampedShare(remaining), clampedShare(remaining-old[i])
		equal += toleratedStep * (slower - equal)
		remaining -= old[i]
		// The bound with the largest Kullback-Leibler divergence separates the hypotheses best.
		if divergence := slower*math.Log(slower/equal) + (1-slower)*math.Log((1-slower)/(1-equal)); i > 0 && divergence > best {
			firstAbove, p0, p1, best = i+1, equal, slower, divergence
		}
	}
	if best == 0 {
		return 0, false
	}
	newAbove := uint64(0)
	if firstAbove < len(fresh) {
		newAbove = sumOf(fresh[firstAbove:])
	}
	// The old share is itself an estimate, from oldTotal requests. The difference of the two shares has the variance of a
	// sample of newTotal*oldTotal/(newTotal+oldTotal) requests against a known share, so the ratio is weighted by
	// oldTotal/(newTotal+oldTotal).
	weight := float64(oldTotal) / float64(oldTotal+newTotal)
	return weight * (float64(newAbove)*math.Log(p1/p0) + float64(newTotal-newAbove)*math.Log((1-p1)/(1-p0))), true
}

// JudgeLatency judges whether the new version's latencies are above the old version's. It is Worse if one class by
// itself or all classes together are slower (a class may have too few requests to be judged by itself). It is Well if
// all classes together are not slower, if the old version has no latencies of these classes to compare with, or if the
// test is still undecided at enoughAnswers and the log-likelihood ratio of all classes together is at most 0. why
// describes what is slower, or that more requests are needed; it is empty for Well.
func JudgeLatency(fresh, old map[string]ClassCounts) (v Verdict, why string) {
	// sum is the log-likelihood ratio of all classes together, and sampleSize their effective sample size.
	sum, sampleSize, compared := 0.0, 0.0, false
	for _, class := range slices.Sorted(maps.Keys(fresh)) {
		compared = compared || sumOf(old[class].Latencies) > 0
		llr, _ := latencyRatio(fresh[class].Latencies, old[class].Latencies)
		sum += llr
		if n, o := float64(sumOf(fresh[class].Latencies)), float64(sumOf(old[class].Latencies)); o > 0 {
			sampleSize += n * o / (n + o)
		}
		if decide(llr) == Worse {
			return Worse, fmt.Sprintf("%s: %d answers take %v times as long as %d at the version before, at the median", class, sumOf(fresh[class].Latencies),
				math.Round(100*medianRatio(fresh[class].Latencies, old[class].Latencies))/100, sumOf(old[class].Latencies))
		}
	}
	switch v := decide(sum); {
	case !compared:
		return Well, "" // the old version has no latencies to compare with
	case v == Worse:
		return Worse, "all classes together take longer than at the version before"
	// At enoughAnswers the test may end, since a latency between the hypotheses can leave it undecided for long.
	case v == Unknown && (sampleSize < enoughAnswers || sum > 0):
		return Unknown, "whether answers take longer: more are wanted"
	}
	return Well, ""
}

// medianRatio returns the new median latency divided by the old one, each interpolated within its bucket.
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
// old one, in bytes: more than memoryFactor times as much plus memorySlack. It is a fixed limit and no statistical
// test, since memory use varies little by chance. The old size is 0 if there is none to compare with.
func UsesMoreMemory(freshBytes, oldBytes uint64) (bool, string) {
	if oldBytes > 0 && float64(freshBytes) > memoryFactor*float64(oldBytes)+memorySlack {
		return true, fmt.Sprintf("a process holds %d MB of memory, %d MB the largest of the version before", freshBytes>>20, oldBytes>>20)
	}
	return false, ""
}

// Limits of UsesMoreMemory.
const (
	memoryFactor = 1.5
	memorySlack  = 16 << 20 // bytes: 16 MiB
)
