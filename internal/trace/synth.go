package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is the course of the rate of orders over a trace. Every shape keeps the mean rate.
type Shape string

const (
	// Steady: constant.
	Steady Shape = "steady"
	// Bursts: one second in ten has four times the rate of the others.
	Bursts Shape = "bursts"
	// Daily: the curve of one day over the length of the trace, which rises from a fifth of the peak rate and falls
	// back.
	Daily Shape = "daily"
	// Flash: five times the rate during the middle fifth, with a rise and a fall of one second each.
	Flash Shape = "flash"
)

// Shapes lists all shapes.
var Shapes = []Shape{Steady, Bursts, Daily, Flash}

// rateAt returns the rate at time t of a trace of that length, as a multiple of the mean rate.
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

const shapeMost = 4.0 // upper bound of rateAt for all shapes

// SynthClass is a class of requests in a generated trace.
type SynthClass struct {
	Name     string
	Share    float64       // of the orders, relative to the other classes'
	Work     time.Duration // mean time that a server works on one
	WorkCV   float64       // coefficient of variation of the work, which is log-normal
	Patience time.Duration // how long the client waits for an answer
}

// Synth describes a generated trace.
type Synth struct {
	Length  time.Duration
	Rate    float64 // mean number of orders a second
	Shape   Shape
	Classes []SynthClass
	// OrdersPerSession, if over 0, is the mean number of orders in a session. A session is a series of orders of one
	// tenant, with a mean pause of ThinkTime between them. The mean rate of orders stays the same; they come in
	// clusters.
	Sessions float64
	Think    time.Duration
	Seed     uint64
}

// Generate calls each with the records of a trace, ordered by time, until it returns an error. All records are first
// tries with an unknown outcome: the model that replays the trace computes what becomes of them.
func (s *Synth) Generate(each func(*Record) error) error {
	share := 0.0
	for _, c := range s.Classes {
		share += c.Share
	}
	switch {
	case s.Length <= 0 || !(s.Rate > 0) || !(share > 0):
		return fmt.Errorf("trace: want a length, a rate and classes over 0, have length %v, rate %v, %d classes", s.Length, s.Rate, len(s.Classes))
	case s.Length.Seconds()*s.Rate > 1e8:
		return fmt.Errorf("trace: %.0f orders, at most 100,000,000 are allowed", s.Length.Seconds()*s.Rate)
	}
	r := rand.New(rand.NewPCG(s.Seed, 0x73796e7468))
	var waiting []Record // of sessions that have started; they are few, so a linear search is enough
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
			if r.Float64()*per >= per-1 { // the number of orders is geometric, with mean perSession
				break
			}
			if at += time.Duration(r.ExpFloat64() * float64(s.Think)); at >= s.Length {
				break
			}
		}
	}
}
