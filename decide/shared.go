package decide

// What the nodes of a large fleet tell one another about the servers' load. A node that is one of many at each server
// learns too late of a jam, and too late of its end, from its own answers alone.

import (
	"math"
	"time"
)

const (
	sharedNodes = 8.0                     // nodes that meet a server, at least, for their own counts to tell nothing
	sharedTime  = 0.15                    // s; subsetTime where news of a server comes from other nodes too
	probePart   = 0.01                    // probes for each arrival: they tell how many requests a server works on at once
	probeFirst  = 1.0                     // probes each second while no server has shown that number
	probeLeast  = 0.1                     // probes each second of a node to which nobody comes
	countsEvery = 150 * time.Millisecond  // between two words of what a node has at servers: far less than an answer takes
	wholeEvery  = 8                       // words, of which one tells all of it and the others what has changed
	countsLife  = 2 * time.Second         // a node that has said nothing for so long has nothing there
	probeWait   = 1500 * time.Millisecond // s; a probe that has not ended by then is no reason not to make another
	slotGain    = 0.05                    // weight of a new reading of how many requests a server works on at once
	calmQueue   = -0.4                    // requests that wait for each slot: up to so many all are welcome,
	fullQueue   = 0.1                     // beyond so many only those that are worth most,
	blockQueue  = 0.9                     // and beyond so many none
	shedGain    = 0.3                     // drop fraction for each request that waits for a slot beyond the aim,
	shedReset   = 0.1                     // and for each second of it
)

// shared tells whether nodes go by what all of them know of the servers: so many meet each server that a node's own part
// of its load is small, and they may probe and talk.
func (m *Module) shared() bool {
	return m.set.MayProbe && m.set.MayMessage && m.set.ReportVia != ReportNone && len(m.ring) > 0 &&
		float64(m.set.Nodes)*math.Min(m.size, float64(len(m.ring))) >= sharedNodes*float64(len(m.ring))
}

// scout probes a server of the subset, the one of two that shows more of how many requests it works on at once: whose
// number is not known, and that has more.
func (m *Module) scout() {
	if !m.shared() || len(m.near) == 0 {
		return
	}
	rate := math.Max(probeLeast, probePart*m.rate)
	if m.slots == 0 {
		rate = math.Max(rate, probeFirst)
	}
	if (m.now-m.probedAt).Seconds()*rate < 0.5+m.dice {
		return
	}
	m.probedAt, m.dice = m.now, m.random()
	s, t := m.near[int(m.random()*float64(len(m.near)))], m.near[int(m.random()*float64(len(m.near)))]
	if (t.slots == 0) != (s.slots == 0) && t.slots == 0 || (t.slots == 0) == (s.slots == 0) && t.n+m.othersAt(t) > s.n+m.othersAt(s) {
		s = t
	}
	if s.asked && m.now-s.askedAt < probeWait || s.suspect {
		return
	}
	s.asked, s.askedAt = true, m.now
	m.do(Probe{Server: s.ID})
}

// probed takes the result of a probe and tells the others.
func (m *Module) probed(e ProbeEnded) {
	s := m.known[e.Server]
	if s == nil {
		return
	}
	s.asked = false
	if e.Code != OK || e.Report == nil || !e.Report.HasInFlight || !(e.Report.InFlight >= 0) {
		return
	}
	// Where requests wait, those that don't are as many as it works on at once.
	if held, queue := math.Min(e.Report.InFlight, reportCap), e.Report.Queue; e.Report.HasQueue && queue >= 1 && queue < held {
		first := m.slots == 0 // of any server: all nodes wait for that
		m.learnSlots(s, held-queue)
		if word := slotsWord(s.ID, held-queue); m.shared() && (first || m.whole) {
			m.do(SendMessage{ToAll: true, Data: word})
		} else if m.shared() {
			place := m.placeOf(s)
			m.eachPeer(func(j int, meets func(int) bool) {
				if meets(place) {
					m.do(SendMessage{To: j, Data: word})
				}
			})
		}
	}
}

func (m *Module) learnSlots(s *server, slots float64) {
	slots = math.Max(1, slots)
	if m.slots == 0 {
		m.slots = slots
	}
	if m.slots += classGain * (slots - m.slots); s.slots == 0 {
		s.slots = m.slots
	}
	s.slots += slotGain * (slots - s.slots)
}

// slotsOf is how many requests a server works on at once; 0 until any server has shown it.
func (m *Module) slotsOf(s *server) float64 {
	if s.slots > 0 {
		return s.slots
	}
	return m.slots
}

// counted tells whether a server is judged by all nodes' counts.
func (m *Module) counted(s *server) bool { return m.shared() && m.slotsOf(s) > 0 }

// waiting is the number of requests that wait for each slot of a server by all nodes' counts, below 0 where slots are free.
func (m *Module) waiting(s *server) float64 { return (s.n+m.othersAt(s))/m.slotsOf(s) - 1 }

// balance renews the drop fraction for where no server is normal: by how far the mean queue is from what is aimed at, and
// by how long it has been. All nodes see about the same queues, and so shed about the same.
func (m *Module) balance() {
	sum, count := 0.0, 0.0
	for _, s := range m.near {
		if !s.suspect && m.counted(s) {
			sum, count = sum+math.Max(0, math.Min(2*blockQueue, m.waiting(s))), count+1
		}
	}
	if count == 0 {
		m.shed = 0
		return
	}
	over := sum/count - fullQueue/2
	m.shed = math.Max(0, math.Min(1, m.shed+shedReset*over*(m.now-m.periodAt).Seconds()))
	m.shedNow = math.Max(0, math.Min(1, m.shed+shedGain*over))
}

// speedOf is how fast a server is beside others, where that is known.
func (m *Module) speedOf(s *server) float64 {
	if m.set.SizeKnown && !m.set.SizeLive && s.Size > 0 {
		return s.Size
	}
	return 1
}
