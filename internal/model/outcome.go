package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingvalve/decide"
)

const (
	longestTime = int64(10 * time.Minute / time.Microsecond) // in a histogram
	timeDigits  = 2                                          // that a histogram keeps of a time
)

// ClassSums are what came of the orders of a class.
type ClassSums struct {
	Name                           string
	Orders, InAim, Refused, Failed int
	Times                          *hdrhistogram.Histogram // us, of served orders, over all their tries
}

// Second is what happened in one second of virtual time: orders by when they began, the rest as it was at its start.
type Second struct {
	Orders, InAim, Refused                    int
	Held, Normal, Overloaded, Blocking, Apart int // requests at servers; servers as all nodes see them: by mode, and suspect or cold
}

// Outcome is all that is measured of a run.
type Outcome struct {
	Sums
	Classes  []ClassSums             // in the scenario's order
	Times    *hdrhistogram.Histogram // us, of all served orders
	Timeline []Second
	Turns    int // changes of the number of servers that are not normal, from one second to the next, over all nodes
}

func newOutcome(sc *Scenario) Outcome {
	o := Outcome{Times: hdrhistogram.New(1, longestTime, timeDigits), Timeline: make([]Second, int(sc.Length/time.Second)+1)}
	for _, c := range sc.Classes {
		o.Classes = append(o.Classes, ClassSums{Name: c.Name, Times: hdrhistogram.New(1, longestTime, timeDigits)})
	}
	return o
}

func (o *Outcome) record(c *ClassSums, took time.Duration) {
	us := min(max(1, took.Microseconds()), longestTime)
	o.Times.RecordValue(us)
	c.Times.RecordValue(us)
}

// at is the second in which something began.
func (o *Outcome) at(began time.Duration) *Second {
	return &o.Timeline[min(int(began/time.Second), len(o.Timeline)-1)]
}

func (f *Fleet) second() *Second { return f.at(f.Now()) }

// census is what a decider that has modes tells of its servers.
type census interface{ ModeCounts() decide.ModeCounts }

// observe looks at servers and nodes once a second.
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

// meanWork is the mean work of an order, in seconds on a core of speed 1.
func (sc *Scenario) meanWork() float64 {
	work, share := 0.0, 0.0
	for i := range sc.Classes {
		work, share = work+sc.Classes[i].Share*sc.Classes[i].Work.Seconds(), share+sc.Classes[i].Share
	}
	return work / share
}
