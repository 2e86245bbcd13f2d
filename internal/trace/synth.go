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
func (s Shape) rateAt(t, length time.Duration) float64 {
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

const maxShapeRate = 4.0 // upper bound of rateAt for all shapes

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
	OrdersPerSession float64
	ThinkTime        time.Duration
	Seed             uint64
}

// Generate calls each with the records of a trace, ordered by time, until it returns an error. All records are first
// tries with an unknown outcome: the model that replays the trace computes what becomes of them.
func (s *Synth) Generate(each func(*Record) error) error {
	totalShare := 0.0
	for _, class := range s.Classes {
		totalShare += class.Share
	}
	switch {
	case s.Length <= 0 || !(s.Rate > 0) || !(totalShare > 0):
		return fmt.Errorf("trace: want a length, a rate and classes over 0, have length %v, rate %v, %d classes", s.Length, s.Rate, len(s.Classes))
	case s.Length.Seconds()*s.Rate > 1e8:
		return fmt.Errorf("trace: %.0f orders, at most 100,000,000 are allowed", s.Length.Seconds()*s.Rate)
	}
	random := rand.New(rand.NewPCG(s.Seed, 0x73796e7468))
	var pending []Record // of sessions that have started; they are few, so a linear search is enough
	emit := func(until time.Duration) error {
		for {
			first := -1
			for i := range pending {
				if pending[i].At <= until && (first < 0 || pending[i].At < pending[first].At) {
					first = i
				}
			}
			if first < 0 {
				return nil
			}
			record := pending[first]
			pending[first] = pending[len(pending)-1]
			pending = pending[:len(pending)-1]
			if err := each(&record); err != nil {
				return err
			}
		}
	}
	newOrder := func(at time.Duration, tenant uint64) Record {
		x := random.Float64() * totalShare
		class := s.Classes[len(s.Classes)-1]
		for _, candidate := range s.Classes {
			if x -= candidate.Share; x < 0 {
				class = candidate
				break
			}
		}
		variance := math.Log(1 + class.WorkCV*class.WorkCV)
		work := time.Duration(float64(class.Work) * math.Exp(math.Sqrt(variance)*random.NormFloat64()-variance/2))
		return Record{At: at.Truncate(time.Microsecond), Class: class.Name, Tenant: tenant, Order: random.Uint64() | 1, Work: min(work.Truncate(time.Microsecond), maxDuration), Patience: class.Patience}
	}
	perSession := max(1, s.OrdersPerSession)
	for sessionStart := time.Duration(0); ; {
		sessionStart += time.Duration(random.ExpFloat64() / (s.Rate / perSession * maxShapeRate) * float64(time.Second))
		if sessionStart >= s.Length {
			return emit(s.Length)
		}
		if random.Float64()*maxShapeRate >= s.Shape.rateAt(sessionStart, s.Length) {
			continue
		}
		if err := emit(sessionStart); err != nil {
			return err
		}
		tenant := random.Uint64() | 1
		at := sessionStart
		for {
			pending = append(pending, newOrder(at, tenant))
			if random.Float64()*perSession >= perSession-1 { // the number of orders is geometric, with mean perSession
				break
			}
			if at += time.Duration(random.ExpFloat64() * float64(s.ThinkTime)); at >= s.Length {
				break
			}
		}
	}
}
