package standin

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times is a histogram of durations from 1 us to 10 min, to three significant digits. The zero value is empty.
type Times struct{ h *hdrhistogram.Histogram }

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Add counts one duration; a duration over 10 min counts as 10 min.
func (t *Times) Add(d time.Duration) {
	if t.h == nil {
		t.h = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	t.h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

// Merge adds the counts of another histogram.
func (t *Times) Merge(other Times) {
	if other.h == nil {
		return
	}
	if t.h == nil {
		t.h = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	t.h.Merge(other.h)
}

// Quantile returns the duration that a fraction q (0 to 1) of all counted durations does not exceed; 0 if the
// histogram is empty.
func (t Times) Quantile(q float64) time.Duration {
	if t.h == nil {
		return 0
	}
	return time.Duration(t.h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Count returns the number of durations counted.
func (t Times) Count() int64 {
	if t.h == nil {
		return 0
	}
	return t.h.TotalCount()
}

func (t Times) copy() (out Times) {
	out.Merge(t)
	return out
}
