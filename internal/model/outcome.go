package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingvalve/decide"
)

const (
	longestTime = int64(10 * time.Minute / time.Microsecond) // longest time in a histogram; longer ones count as this
	timeDigits  = 2 // significant digits of a time in a histogram
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
	Orders, InAim, Refused                    int
	// Requests at servers; then the servers by mode as the nodes see them, summed over all nodes. Excluded servers
	// are ejected outliers or cold.
	Held, Normal, Overloaded, Blocking, Apart int
}

// Outcome is all that is measured in a run.
type Outcome struct {
	Sums
	Classes  []ClassSums             // in the scenario's order
	Times    *hdrhistogram.Histogram // us, of all served orders
	Timeline []Second
	// ModeChanges is the sum of the changes, from each second to the next, of the number of servers that are overloaded or
	// blocking, over all nodes.
	Turns int
}

func newOutcome(sc *Scenario) Outcome {
	o := Outcome{Times: hdrhistogram.New(1, longestTime, timeDigits), Timeline: make([]Second, int(sc.Length/time.Second)+1)}
	for _, c := range sc.Classes {
		o.Classes = append(o.Classes, ClassSums{Name: c.Name, Times: hdrhistogram.New(1, longestTime, timeDigits)})
	}
	return o
}

// record counts the response time of a served order.
func (o *Outcome) record(c *ClassSums, took time.Duration) {
	us := min(max(1, took.Microseconds()), longestTime)
	o.Times.RecordValue(us)
	c.Times.RecordValue(us)
}

// secondOf returns the second in which an order began.
func (o *Outcome) at(began time.Duration) *Second {
	return &o.Timeline[min(int(began/time.Second), len(o.Timeline)-1)]
}

// currentSecond returns the present second.
func (f *Fleet) second() *Second { return f.at(f.Now()) }

// modeCounter is a decider that counts its servers by mode.
type census interface{ ModeCounts() decide.ModeCounts }

// sampleSecond samples servers and nodes once a second.
func (f *Fleet) observe() {
	s := f.second()
	for _, x := range f.servers {
		s.Held += x.held()
	}
	for _, n := range f.nodes {
		if d, ok := n.decider.(census); ok {
			c := d.ModeCounts()
			s.Normal, s.Overloaded, s.Blocking, s.Apart = s.Normal+c.Normal, s.Overloaded+c.Overloaded, s.Blocking+c.Blocking, s.Apart+c.Excluded
		}
	}
	if i := int(f.Now() / time.Second); i > 0 && i < len(f.Timeline) {
		before := &f.Timeline[i-1]
		f.Turns += max(s.Overloaded+s.Blocking, before.Overloaded+before.Blocking) - min(s.Overloaded+s.Blocking, before.Overloaded+before.Blocking)
	}
	if f.Now()+time.Second < f.sc.Length {
		f.After(time.Second, f.observe)
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
