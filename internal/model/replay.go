package model

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"starlingvalve/internal/trace"
)

// arrival is an order of a trace.
type arrival struct {
	at    time.Duration
	class int           // index into the scenario's classes
	work  time.Duration // processing time on a core of speed 1; 0: drawn at random for the class
}

// ReplaySummary counts what a trace contained.
type ReplaySummary struct {
	Orders  int // orders that are replayed
	Repeats int // repeated tries: left out, as the model's clients decide on their own tries
	Unknown int // orders of classes that the scenario lacks
	Length  time.Duration
}

// Replay returns the scenario with the orders of a trace in place of its own. The trace says when an order comes,
// its class, and its work; servers, nodes, faults and the clients' behavior stay the scenario's. Repeated tries
// are left out, as they were reactions to the conditions during the recording: those of an outage must not occur
// without the outage.
//
// scale is the number of orders replayed for each order of the trace, for a fleet of another size. Below 1, a
// random part of the orders is replayed; above 1, copies follow an order after short random gaps. The run ends
// with the trace if the trace is shorter than the scenario.
func (sc *Scenario) Replay(records []trace.Record, scale float64) (*Scenario, ReplaySummary, error) {
	if !(scale > 0 && scale <= 1000) {
		return nil, ReplaySummary{}, fmt.Errorf("replay: want a scale above 0 and at most 1000, have %v", scale)
	}
	classes := map[string]int{}
	for i, replay := range sc.Classes {
		classes[replay.Name] = i
	}
	replay := *sc
	replay.arrivals = []arrival{}
	var info ReplaySummary
	seen := map[uint64]bool{}
	copyStream := NewStreams(0).Of("replay", "copies")
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
		if work > 0 { // the work was measured at a node, so it includes the network delay there and back
			work = max(work-2*sc.Hop, time.Microsecond)
		}
		n := int(scale)
		if copyStream.Chance(scale - float64(n)) {
			n++
		}
		for i := range n {
			at := r.At
			if i > 0 {
				at += copyStream.Exp(meanCopyGap)
			}
			replay.arrivals = append(replay.arrivals, arrival{at, class, work})
		}
	}
	if len(replay.arrivals) == 0 {
		var names []string
		for name := range unknown {
			names = append(names, name)
		}
		slices.Sort(names)
		return nil, info, fmt.Errorf("replay: nothing to play: %d repeated tries, %d orders of classes that the scenario lacks (%s)", info.Repeats, info.Unknown, strings.Join(names, ", "))
	}
	if len(replay.arrivals) > maxReplayedOrders {
		return nil, info, fmt.Errorf("replay: %d orders, at most %d are allowed", len(replay.arrivals),
			maxReplayedOrders)
	}
	slices.SortStableFunc(replay.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	replay.Length = min(sc.Length, info.Length+1)
	for _, a := range replay.arrivals {
		if a.at < replay.Length {
			info.Orders++
		}
	}
	return &replay, info, nil
}

const (
	meanCopyGap       = 50 * time.Millisecond // mean time from an order to each of its copies
	maxReplayedOrders = 20_000_000
)
