package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingvalve/decide"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond) // longest time in a histogram; longer ones count as this
	significantDigits = 2                                          // significant digits of a time in a histogram
)

// ClassSums count the orders of one class and their outcomes.
type ClassSums struct {
	Name                           string
	Orders, InAim, Refused, Failed int
	Times                          *hdrhistogram.Histogram // us, of served orders, over all their tries
}

// Second is what happened in one second of virtual time. Orders, InAim and Refused count the orders that began in
// it; the other fields are samples at its start.
type Second struct {
	Orders, InAim, Refused int
	// Requests at servers; then the servers by mode as the nodes see them, summed over all nodes. Excluded servers
	// are ejected outliers or cold.
	InFlight, Normal, Overloaded, Blocking, Excluded int
}

// Outcome is all that is measured in a run.
type Outcome struct {
	Sums
	Classes  []ClassSums             // in the scenario's order
	Times    *hdrhistogram.Histogram // us, of all served orders
	Timeline []Second
	// ModeChanges is the sum of the changes, from each second to the next, of the number of servers that are overloaded or
	// blocking, over all nodes.
	ModeChanges int
}

func newOutcome(sc *Scenario) Outcome {
	o := Outcome{Times: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		Timeline: make([]Second, int(sc.Length/time.Second)+1)}
	for _, c := range sc.Classes {
		o.Classes = append(o.Classes, ClassSums{Name: c.Name,
			Times: hdrhistogram.New(1, maxMicroseconds, significantDigits)})
	}
	return o
}

// record counts the response time of a served order.
func (o *Outcome) record(c *ClassSums, took time.Duration) {
	us := min(max(1, took.Microseconds()), maxMicroseconds)
	o.Times.RecordValue(us)
	c.Times.RecordValue(us)
}

// secondOf returns the second in which an order began.
func (o *Outcome) secondOf(began time.Duration) *Second {
	return &o.Timeline[min(int(began/time.Second), len(o.Timeline)-1)]
}

// currentSecond returns the present second.
func (f *Fleet) currentSecond() *Second { return f.secondOf(f.Now()) }

// modeCounter is a decider that counts its servers by mode.
type modeCounter interface{ ModeCounts() decide.ModeCounts }

// sampleSecond samples servers and nodes once a second.
func (f *Fleet) sampleSecond() {
	s := f.currentSecond()
	for _, x := range f.servers {
		s.InFlight += x.inFlight()
	}
	for _, n := range f.nodes {
		if d, ok := n.decider.(modeCounter); ok {
			c := d.ModeCounts()
			s.Normal, s.Overloaded, s.Blocking, s.Excluded = s.Normal+c.Normal, s.Overloaded+c.Overloaded,
				s.Blocking+c.Blocking, s.Excluded+c.Excluded
		}
	}
	if i := int(f.Now() / time.Second); i > 0 && i < len(f.Timeline) {
		before := &f.Timeline[i-1]
		f.ModeChanges += max(s.Overloaded+s.Blocking, before.Overloaded+before.Blocking) -
			min(s.Overloaded+s.Blocking, before.Overloaded+before.Blocking)
	}
	if f.Now()+time.Second < f.scenario.Length {
		f.After(time.Second, f.sampleSecond)
	}
}

// meanWork returns the mean work of an order, in seconds on a core of speed 1.
func (sc *Scenario) meanWork() float64 {
	work, share := 0.0, 0.0
	for i := range sc.Classes {
		work, share = work+sc.Classes[i].Share*sc.Classes[i].Work.Seconds(), share+sc.Classes[i].Share
	}
	return work / share
}
