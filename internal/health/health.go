// Package health judges whether nodes with a new version do worse than those with the old one, from counts of
// completed requests by outcome and latency, and from memory use. Its functions are pure. The tests are sequential
// probability ratio tests (Wald 1945): they may be evaluated as often as the caller likes while the counts grow, and
// their error rates hold for the first verdict that is not Unknown. With too little traffic the verdict is Unknown.
package health

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Error rates of each test.
const (
	FalseAlarmRate = 0.001 // probability that a version which does no worse is judged Worse
	MissRate       = 0.01  // probability that a version which does worse is judged Well
)

// Hypotheses that the tests decide between.
const (
	goodRate    = 0.002 // share of bad outcomes that is good, whatever the share of the old version
	badRate     = 0.02  // share of bad outcomes that is bad by itself
	worseFactor = 2.0   // times the old version's share that counts as worse
	// A class is ignored if it has less than this share of the new version's requests, and fewer requests than this
	// count at each of the versions.
	minClassShare = 0.01
	minClassCount = 50
)

// ClassCounts are the completed requests of one class. Latencies counts the served ones by latency, one count for
// each bucket of LatencyBounds; nil if the latencies are not known.
type ClassCounts struct {
	Served, Refused, Failed uint64
	Latencies               []uint64
}

// Verdict is the result of a test.
type Verdict int

const (
	// Unknown means that more requests are needed.
	Unknown Verdict = iota
	// Well means that the new version does no worse.
	Well
	// Worse means that the new version does worse.
	Worse
)

// String returns the verdict in lower case, as reports print it.
func (v Verdict) String() string { return [...]string{"unknown", "well", "worse"}[v] }

// Thresholds of the log likelihood ratio (worse to well): at least worseThreshold is Worse, at most wellThreshold is
// Well.
var (
	worseThreshold = math.Log((1 - MissRate) / FalseAlarmRate)
	wellThreshold  = math.Log(MissRate / (1 - FalseAlarmRate))
)

func decide(llr float64) Verdict {
	switch {
	case llr >= worseThreshold:
		return Worse
	case llr <= wellThreshold:
		return Well
	}
	return Unknown
}

// JudgeRate tests the share of bad outcomes by itself: at most 0.002 (Well) against at least 0.02 (Worse).
func JudgeRate(bad, all uint64) Verdict {
	return decide(float64(bad)*math.Log(badRate/goodRate) + float64(all-bad)*math.Log((1-badRate)/(1-goodRate)))
}

// CompareRates tests whether the new version's share of bad outcomes equals the old version's (Well) or is twice as
// large (Worse). It takes the total number of bad outcomes as given: with equal shares, each of them is of the new
// version with a probability that equals the new version's share of the requests.
func CompareRates(newBad, newAll, oldBad, oldAll uint64) Verdict {
	if newAll == 0 || oldAll == 0 {
		return Unknown
	}
	alike := float64(newAll) / float64(newAll+oldAll)
	other := worseFactor * float64(newAll) / (worseFactor*float64(newAll) + float64(oldAll))
	return decide(float64(newBad)*math.Log(other/alike) + float64(oldBad)*math.Log((1-other)/(1-alike)))
}

// judgeKind judges one kind of bad outcome of one class. It is Well if either test says so, and Worse only if the
// share is bad by itself and, where the old version has requests, worse than that of the old version.
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
// late requests, and then the latencies. A request is late if it was served after its class's aim. why describes the
// class that is worse, or one that is not known yet.
func Judge(fresh, old map[string]ClassCounts) (v Verdict, why string) {
	total := uint64(0)
	all := func(e ClassCounts) uint64 { return e.Served + e.Refused + e.Failed }
	for _, e := range fresh {
		total += all(e)
	}
	if total == 0 {
		return Unknown, "no request has ended at the new version"
	}
	unknown := ""
	for _, class := range slices.Sorted(maps.Keys(fresh)) {
		freshCounts, oldCounts := fresh[class], old[class]
		if all(freshCounts) < minClassCount && float64(all(freshCounts)) < minClassShare*float64(total) && float64(all(oldCounts)) < minClassCount {
			continue
		}
		for _, kind := range []struct {
			name             string
			freshBad, oldBad uint64
		}{{"failed", freshCounts.Failed, oldCounts.Failed}, {"refused", freshCounts.Refused, oldCounts.Refused}, {"late", countLate(freshCounts.Latencies), countLate(oldCounts.Latencies)}} {
			text := fmt.Sprintf("%s: %d of %d %s, %d of %d at the version before", class, kind.freshBad, all(freshCounts), kind.name, kind.oldBad, all(oldCounts))
			switch judgeKind(kind.freshBad, all(freshCounts), kind.oldBad, all(oldCounts)) {
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
