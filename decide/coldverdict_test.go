package decide

// The result of a run of coldworld_test.go.

import (
	"math"
	"time"
)

// coldExcess is a window of time in which a server got more work than its bound, both in mean requests.
type coldExcess struct {
	server       ServerID
	from         time.Duration // after the server's start
	count, bound float64
}

// coldVerdict is the result of a run.
type coldVerdict struct {
	excess  []coldExcess // the worst window of each server that got too much work
	worst   float64      // largest count / bound of all windows of all cold servers
	used    float64      // work sent to the cold servers, as a part of what they could have done
	windows int          // all windows, also those that don't count
}

// judge checks every window of Settings.OverloadTime that ends with an attempt. The window's bound is N + 2 x root of N + 2
// requests, where N is Settings.OverloadFactor times what the server can do in it. A window counts only if over two thirds
// of its work came from nodes that had been notified of the server's start.
func (f *coldFleet) judge() (v coldVerdict) {
	sent, able := 0.0, 0.0
	for _, id := range f.ids {
		s := f.servers[id]
		if !s.tracked {
			continue
		}
		worst, all, told, first := coldExcess{server: id}, 0.0, 0.0, 0
		for _, e := range s.sends {
			if all += e.work; e.told {
				told += e.work
			}
			sent += e.work
			for ; s.sends[first].at <= e.at-f.set.OverloadTime; first++ {
				if all -= s.sends[first].work; s.sends[first].told {
					told -= s.sends[first].work
				}
			}
			from := max(s.entry.StartedAt, e.at-f.set.OverloadTime)
			part := f.part(s, from+f.set.OverloadTime/2)
			n := f.set.OverloadFactor * part * f.capacity * f.set.OverloadTime.Seconds()
			bound := n + 2*math.Sqrt(n) + 2
			if v.windows++; told*3 <= all*2 {
				continue
			}
			v.worst = math.Max(v.worst, all/bound)
			if all > bound && (worst.count == 0 || all/bound > worst.count/worst.bound) {
				worst = coldExcess{id, from - s.entry.StartedAt, all, bound}
			}
		}
		if worst.count > 0 {
			v.excess = append(v.excess, worst)
		}
		part := (f.part(s, s.entry.StartedAt) + f.part(s, f.end)) / 2
		able += f.capacity * part * (f.end - s.entry.StartedAt).Seconds()
	}
	v.used = sent / able
	return v
}
