// Package experiment compares two versions of something by paired runs. Both runs of a pair get the same arrivals,
// work and faults, so that the difference is caused by the versions, and chance that both share cancels out.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is the mean of the paired differences b - a of one measure, with its confidence interval (Student's t),
// in the unit of the measure. It is written out as JSON under the names of its fields.
type Interval struct {
	Name            string `json:"measure"`
	Mean, Low, High float64
	Pairs           int
	A, B            float64 // each version's own mean
	// Smallest is the smallest difference that this number of pairs detects in four runs of five (a power of 0.8),
	// given the spread of the pairs' differences.
	Smallest float64
}

// Covers reports whether a difference lies within the interval.
func (i Interval) Covers(x float64) bool { return i.Low <= x && x <= i.High }

// Differs reports whether the versions differ at the interval's confidence: whether the interval excludes zero.
func (i Interval) Differs() bool { return !i.Covers(0) }

// String returns the difference, its interval, both versions' means and the number of pairs, in one line.
func (i Interval) String() string {
	return fmt.Sprintf("%+.4f (%+.4f to %+.4f) from %.4f to %.4f, %d pairs", i.Mean, i.Low, i.High, i.A, i.B, i.Pairs)
}

// Plan describes a comparison. All fields except Measures, A, B and Width have defaults.
type Plan struct {
	// Measures are the names of what a run measures. The first is the main measure, which decides the number of
	// pairs.
	Measures []string
	// A and B run one version with a seed and return its measures, in the order of Measures. The results must
	// depend on the seed only. A and B are called from several goroutines at once.
	A, B func(seed uint64) []float64
	// Width is the wanted half-width of the main measure's interval, in the unit of that measure.
	Width float64
	// Confidence is the confidence of the intervals, between 0 and 1; 0: 0.95.
	Confidence float64
	// FirstSeed is the seed of the first pair; the following pairs use the following numbers.
	FirstSeed uint64
	// PilotPairs is the number of pairs of the first stage, at least 2; 0: 10.
	PilotPairs int
	// MaxPairs is the largest number of pairs; 0: 1000. Where it, or Budget, allows fewer pairs than Width needs,
	// the interval is wider, and Result.WidthReached returns false.
	MaxPairs int
	// Budget limits the time, as estimated from the time that the pilot took; 0: no limit.
	Budget time.Duration
	// Workers is the number of pairs that run at once; 0: one for each processor (GOMAXPROCS).
	Workers int
	// KnownPairs are pairs of an earlier, interrupted run of the same plan. They are not run again.
	KnownPairs []Pair
	// OnPair, if set, is called with each new pair, one at a time. An error ends the comparison.
	OnPair func(Pair) error
	// Progress, if set, is called after each pair, one at a time, with the number of pairs done and the number
	// wanted at this stage.
	Progress func(done, wanted int)
}

// Pair is what the two versions measured with one seed.
type Pair struct {
	Seed uint64    `json:"seed"`
	A    []float64 `json:"a"`
	B    []float64 `json:"b"`
}

// Result is the result of a comparison.
type Result struct {
	Intervals   []Interval // in the order of the measures
	Pairs       []Pair     // in the order of their seeds
	WantedPairs int        // pairs needed to reach Width
}

// WidthReached reports whether there were enough pairs for the wanted width.
func (r *Result) WidthReached() bool { return len(r.Pairs) >= r.WantedPairs }

const (
	defaultPilotPairs = 10
	defaultMaxPairs   = 1000
	defaultConfidence = 0.95
	power             = 0.8
)

// Run carries out a plan. The number of pairs follows Stein's two-stage rule (Annals of Mathematical Statistics
// 16, 1945): the spread of the pilot alone decides it, and the main measure's interval is computed from that
// spread. So stopping once the interval is narrow does not make it narrower than its confidence allows. A rule
// that checks after each pair would stop more often where the spread looks small by chance. The intervals of the
// other measures are ordinary ones for the resulting number of pairs.
func Run(ctx context.Context, p Plan) (*Result, error) {
	p.Confidence = orDefault(p.Confidence, defaultConfidence)
	p.PilotPairs, p.MaxPairs, p.Workers = orDefault(p.PilotPairs, defaultPilotPairs),
		orDefault(p.MaxPairs, defaultMaxPairs), orDefault(p.Workers, runtime.GOMAXPROCS(0))
	switch {
	case len(p.Measures) == 0 || p.A == nil || p.B == nil:
		return nil, errors.New("experiment: want measures and two versions")
	case p.PilotPairs < 2 || p.MaxPairs < p.PilotPairs:
		return nil, fmt.Errorf("experiment: want a pilot of at least 2 pairs, and a maximum of pairs that is not smaller, have %d and %d", p.PilotPairs, p.MaxPairs)
	case !(p.Confidence > 0 && p.Confidence < 1) || !(p.Width > 0):
		return nil, fmt.Errorf("experiment: want a confidence between 0 and 1 and a width above 0, have %v and %v",
			p.Confidence, p.Width)
	}
	began := time.Now()
	pairs, err := p.runPairs(ctx, nil, p.PilotPairs, p.PilotPairs)
	if err != nil {
		return nil, err
	}
	deviation := standardDeviation(pairs, 0)
	t := quantile(0.5+p.Confidence/2, p.PilotPairs-1)
	wanted := p.PilotPairs
	if need := math.Pow(t*deviation/p.Width, 2); need > float64(wanted) {
		wanted = int(math.Ceil(math.Min(need, math.MaxInt32)))
	}
	n := min(wanted, p.MaxPairs)
	if took := time.Since(began); p.Budget > 0 && took > 0 {
		n = max(p.PilotPairs, min(n, int(float64(p.PilotPairs)*float64(p.Budget)/float64(took))))
	}
	if pairs, err = p.runPairs(ctx, pairs, n, n); err != nil {
		return nil, err
	}
	result := &Result{Pairs: pairs, WantedPairs: wanted}
	for i, name := range p.Measures {
		d, degrees := deviation, p.PilotPairs-1
		if i > 0 {
			d, degrees = standardDeviation(pairs, i), len(pairs)-1
		}
		result.Intervals = append(result.Intervals, interval(name, pairs, i, d, degrees, p.Confidence))
	}
	return result, nil
}

// orDefault returns v, or the default if v is zero.
func orDefault[T int | float64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// runPairs extends pairs to the length upTo. It takes known pairs as they are, and runs the others.
func (p *Plan) runPairs(ctx context.Context, pairs []Pair, upTo, wanted int) ([]Pair, error) {
	knownPairs := map[uint64]Pair{}
	for _, k := range p.KnownPairs {
		if len(k.A) != len(p.Measures) || len(k.B) != len(p.Measures) {
			return nil, fmt.Errorf("experiment: seed %d has %d and %d measures, want %d: it belongs to another plan",
				k.Seed, len(k.A), len(k.B), len(p.Measures))
		}
		knownPairs[k.Seed] = k
	}
	from := len(pairs)
	pairs = append(pairs, make([]Pair, max(0, upTo-from))...)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	var failed error
	done := from
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(p.Workers, max(1, upTo-from)) {
		workers.Go(func() {
			for i := range next {
				seed := p.FirstSeed + uint64(i)
				pair, isKnown := knownPairs[seed]
				if !isKnown {
					pair = Pair{seed, p.A(seed), p.B(seed)}
				}
				mu.Lock()
				pairs[i] = pair
				done++
				if !isKnown && p.OnPair != nil && failed == nil {
					if failed = p.OnPair(pair); failed != nil {
						stop()
					}
				}
				if p.Progress != nil {
					p.Progress(done, wanted)
				}
				mu.Unlock()
			}
		})
	}
	for i := from; i < upTo && ctx.Err() == nil; i++ {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	workers.Wait()
	if failed != nil {
		return nil, failed
	}
	return pairs, ctx.Err()
}

// differences returns measure i of all pairs: the differences b - a, and both sides.
func differences(pairs []Pair, i int) (d, a, b []float64) {
	for _, p := range pairs {
		d, a, b = append(d, p.B[i]-p.A[i]), append(a, p.A[i]), append(b, p.B[i])
	}
	return d, a, b
}

// standardDeviation returns the standard deviation of the differences of measure i.
func standardDeviation(pairs []Pair, i int) float64 {
	d, _, _ := differences(pairs, i)
	_, deviation := stat.MeanStdDev(d, nil)
	return deviation
}

// quantile returns the q-quantile of Student's t distribution.
func quantile(q float64, degrees int) float64 {
	return distuv.StudentsT{Sigma: 1, Nu: float64(degrees)}.Quantile(q)
}

// interval computes the confidence interval of measure i from a standard deviation with so many degrees of
// freedom.
func interval(name string, pairs []Pair, i int, deviation float64, degrees int, confidence float64) Interval {
	d, a, b := differences(pairs, i)
	mean, standardError := stat.Mean(d, nil), deviation/math.Sqrt(float64(len(d)))
	t := quantile(0.5+confidence/2, degrees)
	return Interval{Name: name, Mean: mean, Low: mean - t*standardError, High: mean + t*standardError, Pairs: len(d),
		A: stat.Mean(a, nil), B: stat.Mean(b, nil),
		Smallest: (t + quantile(power, degrees)) * standardError}
}

// Compare compares one measure of two versions over a fixed number of pairs (at least 2), with the seeds first,
// first+1, and so on.
func Compare(a, b func(seed uint64) float64, first uint64, pairs int, confidence float64) (Interval, error) {
	one := func(f func(uint64) float64) func(uint64) []float64 {
		return func(seed uint64) []float64 { return []float64{f(seed)} }
	}
	if pairs < 2 || !(confidence > 0 && confidence < 1) {
		return Interval{}, errors.New("experiment: want at least 2 pairs and a confidence between 0 and 1")
	}
	r, err := Run(context.Background(), Plan{Measures: []string{""}, A: one(a), B: one(b), FirstSeed: first,
		PilotPairs: pairs, MaxPairs: pairs, Width: math.MaxFloat64,
		Confidence: confidence, Workers: 1})
	if err != nil {
		return Interval{}, err
	}
	return r.Intervals[0], nil
}
