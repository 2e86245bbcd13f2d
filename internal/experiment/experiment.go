// Package experiment compares two versions of something by paired runs: each pair meets the same arrivals, works and faults, so
// that what differs is the versions' doing, and chance that both share falls out.
package experiment

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is the mean of the paired differences b - a and its confidence interval (Student's t).
type Interval struct {
	Mean, Low, High float64
	Pairs           int
	A, B            float64 // the versions' own means
}

// Covers tells whether a difference lies within the interval.
func (i Interval) Covers(x float64) bool { return i.Low <= x && x <= i.High }

// Differs tells whether the versions differ, as far as the interval can say: it does not cover zero.
func (i Interval) Differs() bool { return !i.Covers(0) }

func (i Interval) String() string {
	return fmt.Sprintf("%+.4f (%+.4f to %+.4f) from %.4f to %.4f, %d pairs", i.Mean, i.Low, i.High, i.A, i.B, i.Pairs)
}

// Compare plays so many pairs (2 at least), of the seeds first, first+1, ..., and gives the interval of a confidence between 0 and
// 1, such as 0.95. a and b give a run's measure and depend on nothing but the seed.
func Compare(a, b func(seed uint64) float64, first uint64, pairs int, confidence float64) (Interval, error) {
	if pairs < 2 || !(confidence > 0 && confidence < 1) {
		return Interval{}, errors.New("experiment: want 2 pairs at least and a confidence between 0 and 1")
	}
	var as, bs, differences []float64
	for i := range pairs {
		x, y := a(first+uint64(i)), b(first+uint64(i))
		as, bs, differences = append(as, x), append(bs, y), append(differences, y-x)
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(pairs - 1)}.Quantile(0.5 + confidence/2)
	half := t * deviation / math.Sqrt(float64(pairs))
	return Interval{Mean: mean, Low: mean - half, High: mean + half, Pairs: pairs, A: stat.Mean(as, nil), B: stat.Mean(bs, nil)}, nil
}
