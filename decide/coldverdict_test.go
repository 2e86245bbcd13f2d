package decide

// The result of a run of coldworld_test.go.

import (
	"math"
	"time"
)

// coldExcess is a window of time in which a server got more work than its bound, both in mean requests.
type coldExcess struct {
	server       ServerID
	start        time.Duration // after the server's start
	count, bound float64
}

// coldVerdict is the result of a run.
type coldVerdict struct {
	excess     []coldExcess // the worst window of each server that got too much work
	worstRatio float64      // largest count / bound of all windows of all cold servers
	usedPart   float64      // work sent to the cold servers, as a part of what they could have done
	windows    int          // all windows, also those that don't count
}

// judge checks every window of Settings.OverloadTime that ends with an attempt. The window's bound is
// N + 2*sqrt(N) + 2 requests, where N is Settings.OverloadFactor times what the server can do in it. A window counts only
// if over two thirds of its work came from nodes that had been notified of the server's start.
func (f *coldFleet) judge() (verdict coldVerdict) {
	sentWork, possibleWork := 0.0, 0.0
	for _, id := range f.serverIDs {
		server := f.servers[id]
		if !server.startsCold {
			continue
		}
		worst, received, fromNotified, first := coldExcess{server: id}, 0.0, 0.0, 0
		for _, send := range server.sends {
			if received += send.work; send.notified {
				fromNotified += send.work
			}
			sentWork += send.work
			for ; server.sends[first].sentAt <= send.sentAt-f.settings.OverloadTime; first++ {
				if received -= server.sends[first].work; server.sends[first].notified {
					fromNotified -= server.sends[first].work
				}
			}
			start := max(server.entry.StartedAt, send.sentAt-f.settings.OverloadTime)
			part := f.capacityPart(server, start+f.settings.OverloadTime/2)
			allowed := f.settings.OverloadFactor * part * f.capacity * f.settings.OverloadTime.Seconds()
			bound := allowed + 2*math.Sqrt(allowed) + 2
			if verdict.windows++; fromNotified*3 <= received*2 {
				continue
			}
			verdict.worstRatio = math.Max(verdict.worstRatio, received/bound)
			if received > bound && (worst.count == 0 || received/bound > worst.count/worst.bound) {
				worst = coldExcess{id, start - server.entry.StartedAt, received, bound}
			}
		}
		if worst.count > 0 {
			verdict.excess = append(verdict.excess, worst)
		}
		part := (f.capacityPart(server, server.entry.StartedAt) + f.capacityPart(server, f.endAt)) / 2
		possibleWork += f.capacity * part * (f.endAt - server.entry.StartedAt).Seconds()
	}
	verdict.usedPart = sentWork / possibleWork
	return verdict
}
