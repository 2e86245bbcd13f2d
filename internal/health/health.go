// Package health judges whether nodes of the balancer that run a new version of this program do worse than those that
// run the old one, from counts of completed requests by outcome and latency, and from memory use. Its functions are
// pure. The tests are sequential probability ratio tests (Wald 1945): they may be evaluated as often as the caller
// likes while the counts grow. The error rates hold for each test by itself and its first verdict that is not Unknown;
// Judge runs several tests, and the latency test also stops early (see JudgeLatency). With too little traffic the
// verdict is Unknown.
package health

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Error rates of each single test. "Does worse" means: by at least the amount of the test's alternative hypothesis.
const (
	FalseAlarmRate = 0.001 // probability that a version which does no worse is judged Worse
	MissRate       = 0.01  // probability that a version which does worse is judged Well
)

// Hypotheses that the tests of rates decide between. A rate is the share of requests with a bad outcome.
const (
	goodRate    = 0.002 // acceptable, whatever the old version's rate
	badRate     = 0.02  // unacceptable by itself; the verdict also depends on the old version's rate
	worseFactor = 2.0   // a rate that is so many times the old version's counts as worse
	// The tests of rates ignore a class if all three hold: it has less than minClassShare of the new version's
	// requests, fewer than minClassCount requests at the new version, and fewer than minClassCount at the old one.
	minClassShare = 0.01
	minClassCount = 50
)

// ClassCounts are the completed requests of one class, a kind of requests with a latency target of its own (aim).
// Served ones were answered with status 200, Refused ones with 429 or 503, and Failed ones are all others. Latencies is
// a histogram of the latencies of the served ones: a count for each bucket of LatencyBounds, and a last one for those
// above all bounds; nil if the latencies are not known.
type ClassCounts struct {
	Served, Refused, Failed uint64
	Latencies               []uint64
}

// Verdict is the result of a test.
type Verdict int

const (
	// Unknown means that more requests are needed.
	Unknown Verdict = iota
	// Well means that the new version is acceptable or was not shown to be worse. That includes a rate of bad outcomes
	// that is several times the old one but still good, such as 0.2% after 0.01%.
	Well
	// Worse means that the new version was shown to do worse.
	Worse
)

// String returns the verdict in lower case, as reports print it.
func (v Verdict) String() string { return [...]string{"unknown", "well", "worse"}[v] }

// Thresholds of the log-likelihood ratio, the logarithm of the probability of the observed counts if the new version
// does worse, divided by their probability if it does not: at least worseThreshold is Worse, at most wellThreshold is
// Well.
var (
	worseThreshold = math.Log((1 - MissRate) / FalseAlarmRate)
	wellThreshold  = math.Log(MissRate / (1 - FalseAlarmRate))
)

// decide returns the verdict for a log-likelihood ratio (llr).
func decide(llr float64) Verdict {
	switch {
	case llr >= worseThreshold:
		return Worse
	case llr <= wellThreshold:
		return Well
	}
	return Unknown
}

// JudgeRate tests the share of bad outcomes among all requests by itself: at most goodRate (Well) against at least
// badRate (Worse).
func JudgeRate(bad, all uint64) Verdict {
	return decide(float64(bad)*math.Log(badRate/goodRate) + float64(all-bad)*math.Log((1-badRate)/(1-goodRate)))
}

// CompareRates tests whether the new version's share of bad outcomes equals the old version's (Well) or is worseFactor
// times as large (Worse). The test is conditional on the total number of bad outcomes: with equal shares, each of them
// is the new version's with probability newAll/(newAll+oldAll). pEqual and pWorse are that probability under the two
// hypotheses.
func CompareRates(newBad, newAll, oldBad, oldAll uint64) Verdict {
	if newAll == 0 || oldAll == 0 {
		return Unknown
	}
	pEqual := float64(newAll) / float64(newAll+oldAll)
	pWorse := worseFactor * float64(newAll) / (worseFactor*float64(newAll) + float64(oldAll))
	return decide(float64(newBad)*math.Log(pWorse/pEqual) + float64(oldBad)*math.Log((1-pWorse)/(1-pEqual)))
}

// judgeKind judges one kind of bad outcome of one class. It is Well if either test says so: a good share is acceptable
// whatever the old version's, and a bad one if it is no worse than that. It is Worse only if the share is bad by itself
// and, where the old version has requests, worse than that of the old version.
func judgeKind(newBad, newAll, oldBad, oldAll uint64) Verdict {
	byRate, compared := JudgeRate(newBad, newAll), CompareRates(newBad, newAll, oldBad, oldAll)
	switch {
	case byRate == Well || compared == Well:
		return Well
	case byRate == Worse && (compared == Worse || oldAll == 0):
		return Worse
	}
	return Unknown
}

// Judge compares the new version's counts (fresh) with the old version's by class: the shares of failed, refused and
// late requests among all of the class, and then the latencies. A request is late if it was served with a latency above
// the aim, the latency target of its class. Classes that only the old version has are ignored; classes that are too
// rare for the tests of shares still enter the latency test. why describes what is worse or, if the verdict is Unknown,
// what is undecided (of several classes the last); it is empty for Well.
func Judge(fresh, old map[string]ClassCounts) (v Verdict, why string) {
	total := uint64(0)
	sum := func(e ClassCounts) uint64 { return e.Served + e.Refused + e.Failed }
	for _, e := range fresh {
		total += sum(e)
	}
	if total == 0 {
		return Unknown, "no request has ended at the new version"
	}
	unknown := ""
	for _, class := range slices.Sorted(maps.Keys(fresh)) {
		freshCounts, oldCounts := fresh[class], old[class]
		if sum(freshCounts) < minClassCount && float64(sum(freshCounts)) < minClassShare*float64(total) && float64(sum(oldCounts)) < minClassCount {
			continue
		}
		for _, kind := range []struct {
			name             string
			freshBad, oldBad uint64
		}{{"failed", freshCounts.Failed, oldCounts.Failed}, {"refused", freshCounts.Refused, oldCounts.Refused}, {"late", countLate(freshCounts.Latencies), countLate(oldCounts.Latencies)}} {
			text := fmt.Sprintf("%s: %d of %d %s, %d of %d at the version before", class, kind.freshBad, sum(freshCounts), kind.name, kind.oldBad, sum(oldCounts))
			switch judgeKind(kind.freshBad, sum(freshCounts), kind.oldBad, sum(oldCounts)) {
			case Worse:
				return Worse, text
			case Unknown:
				unknown = text
			}
		}
	}
	v, why = JudgeLatency(fresh, old)
	if unknown != "" && v != Worse {
		return Unknown, unknown
	}
	return v, why
}
