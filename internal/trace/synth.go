package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is how the rate of orders goes over a trace, as a multiple of its mean.
type Shape string

const (
	// Steady: the same all the time.
	Steady Shape = "steady"
	// Bursts: a second in ten at four times the rate of the others.
	Bursts Shape = "bursts"
	// Daily: one whole day's curve in the length of the trace, from a fifth of its highest point and back.
	Daily Shape = "daily"
	// Flash: in the middle fifth five times the rate of the rest, reached within a second.
	Flash Shape = "flash"
)

// Shapes are all there are.
var Shapes = []Shape{Steady, Bursts, Daily, Flash}

// at is the rate at a time, times the mean, and most its highest value.
func (s Shape) at(t, length time.Duration) float64 {
	x := t.Seconds() / length.Seconds()
	switch s {
	case Bursts:
		if int(t.Seconds())%10 == 9 {
			return 4 / 1.3
		}
		return 1 / 1.3
	case Daily:
		return (0.6 - 0.4*math.Cos(2*math.Pi*x)) / 0.6
	case Flash:
		rise := min(1, max(0, (t-2*length/5).Seconds()), max(0, (3*length/5-t).Seconds()))
		return (1 + 4*rise) / 1.8
	}
	return 1
}

const shapeMost = 4.0 // no shape exceeds it

// SynthClass is a class of the orders of a generated trace.
type SynthClass struct {
	Name     string
	Share    float64
	Work     time.Duration // mean
	WorkCV   float64       // coefficient of variation, log-normal
	Patience time.Duration
}

// Synth says what a generated trace is like.
type Synth struct {
	Length  time.Duration
	Rate    float64 // orders a second, in the mean
	Shape   Shape
	Classes []SynthClass
	// Sessions, if over 0, is the mean number of orders of a session: one tenant's, Think apart in the mean. The rate of orders is
	// the same, in clusters.
	Sessions float64
	Think    time.Duration
	Seed     uint64
}

// Generate hands on the records of a trace in the order of their times. All are first tries whose outcome is unknown: what becomes
// of them is the model's to say.
func (s *Synth) Generate(each func(*Record) error) error {
	share := 0.0
	for _, c := range s.Classes {
		share += c.Share
	}
	switch {
	case s.Length <= 0 || !(s.Rate > 0) || !(share > 0):
		return fmt.Errorf("trace: want a length, a rate and classes, have %v, %v and %d", s.Length, s.Rate, len(s.Classes))
	case s.Length.Seconds()*s.Rate > 1e8:
		return fmt.Errorf("trace: %.0f orders, 100,000,000 at most", s.Length.Seconds()*s.Rate)
	}
	r := rand.New(rand.NewPCG(s.Seed, 0x73796e7468))
	var waiting []Record // of sessions that have begun, a heap by time would do more than is needed: they are few
	emit := func(until time.Duration) error {
		for {
			first := -1
			for i := range waiting {
				if waiting[i].At <= until && (first < 0 || waiting[i].At < waiting[first].At) {
					first = i
				}
			}
			if first < 0 {
				return nil
			}
			record := waiting[first]
			waiting[first] = waiting[len(waiting)-1]
			waiting = waiting[:len(waiting)-1]
			if err := each(&record); err != nil {
				return err
			}
		}
	}
	order := func(at time.Duration, tenant uint64) Record {
		x := r.Float64() * share
		c := s.Classes[len(s.Classes)-1]
		for _, k := range s.Classes {
			if x -= k.Share; x < 0 {
				c = k
				break
			}
		}
		variance := math.Log(1 + c.WorkCV*c.WorkCV)
		work := time.Duration(float64(c.Work) * math.Exp(math.Sqrt(variance)*r.NormFloat64()-variance/2))
		return Record{At: at.Truncate(time.Microsecond), Class: c.Name, Tenant: tenant, Order: r.Uint64() | 1, Work: min(work.Truncate(time.Microsecond), longest), Patience: c.Patience}
	}
	per := max(1, s.Sessions)
	for t := time.Duration(0); ; {
		t += time.Duration(r.ExpFloat64() / (s.Rate / per * shapeMost) * float64(time.Second))
		if t >= s.Length {
			return emit(s.Length)
		}
		if r.Float64()*shapeMost >= s.Shape.at(t, s.Length) {
			continue
		}
		if err := emit(t); err != nil {
			return err
		}
		tenant := r.Uint64() | 1
		at := t
		for {
			waiting = append(waiting, order(at, tenant))
			if r.Float64()*per >= per-1 { // a geometric number, per in the mean
				break
			}
			if at += time.Duration(r.ExpFloat64() * float64(s.Think)); at >= s.Length {
				break
			}
		}
	}
}
