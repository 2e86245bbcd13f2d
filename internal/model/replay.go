package model

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"starlingvalve/internal/trace"
)

// arrival is an order as a trace has it.
type arrival struct {
	at    time.Duration
	class int           // in the scenario's order
	work  time.Duration // on a core of speed 1; 0: drawn by the class
}

// Replayed tells what a trace held.
type Replayed struct {
	Orders  int // that are played
	Repeats int // tries again, which the model's clients make themselves, by the answers that they get
	Unknown int // of classes that the scenario lacks
	Length  time.Duration
}

// Replay gives the scenario with the orders of a trace in place of its own. The trace says when an order comes, of which class it
// is and how much work it was; servers, nodes, faults and clients' manners stay the scenario's. Tries again are left out, as
// they were answers to what happened then: an outage's must not come again without it. scale is the number of orders that come for
// each of the trace's, for a fleet of another size: a part of them, by chance, or copies some moments apart. The run ends with
// the trace if that is shorter than the scenario.
func (sc *Scenario) Replay(records []trace.Record, scale float64) (*Scenario, Replayed, error) {
	if !(scale > 0 && scale <= 1000) {
		return nil, Replayed{}, fmt.Errorf("replay: want a scale over 0 and 1000 at most, have %v", scale)
	}
	classes := map[string]int{}
	for i, c := range sc.Classes {
		classes[c.Name] = i
	}
	c := *sc
	c.arrivals = []arrival{}
	var info Replayed
	seen := map[uint64]bool{}
	copies := NewStreams(0).Of("replay", "copies")
	unknown := map[string]bool{}
	for _, r := range records {
		info.Length = max(info.Length, r.At)
		if r.Repeat || r.Order != 0 && seen[r.Order] {
			info.Repeats++
			continue
		}
		seen[r.Order] = true
		class, known := classes[r.Class]
		if !known {
			info.Unknown++
			unknown[r.Class] = true
			continue
		}
		work := r.Work
		if work > 0 { // it was seen from a node: the way there and back is no work
			work = max(work-2*sc.Hop, time.Microsecond)
		}
		n := int(scale)
		if copies.Chance(scale - float64(n)) {
			n++
		}
		for i := range n {
			at := r.At
			if i > 0 {
				at += copies.Exp(copyApart)
			}
			c.arrivals = append(c.arrivals, arrival{at, class, work})
		}
	}
	if len(c.arrivals) == 0 {
		var names []string
		for name := range unknown {
			names = append(names, name)
		}
		slices.Sort(names)
		return nil, info, fmt.Errorf("replay: nothing to play: %d tries again, %d of classes that the scenario lacks (%s)", info.Repeats, info.Unknown, strings.Join(names, ", "))
	}
	if len(c.arrivals) > mostReplayed {
		return nil, info, fmt.Errorf("replay: %d orders, %d at most", len(c.arrivals), mostReplayed)
	}
	slices.SortStableFunc(c.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	c.Length = min(sc.Length, info.Length+1)
	for _, a := range c.arrivals {
		if a.at < c.Length {
			info.Orders++
		}
	}
	return &c, info, nil
}

const (
	copyApart    = 50 * time.Millisecond // mean, of an order's copies
	mostReplayed = 20_000_000
)
