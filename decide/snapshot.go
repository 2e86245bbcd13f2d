package decide

// What a module has learned, as plain data for the process that takes over its node. A module that starts with nothing
// takes every server for normal and the fleet for slow, and for seconds refuses requests that the servers could serve.

import (
	"fmt"
	"math"
	"time"
)

// SnapshotVersion is the version of the format below. Restore takes no other.
const SnapshotVersion = 1

// Snapshot is what a module has learned. It is written as JSON under the names of its fields, so these stay. Points in
// time are given as ages: how long before the snapshot they were, negative for later ones.
type Snapshot struct {
	Version int
	// Number of answers; Module.mean, recentMean and leastMean in seconds; peakRate in answers per second.
	Answers, Mean, Recent, Least, Peak float64
	// fleetRate and evenRate in answers per second; arrivals per second; this node's part of all requests.
	FleetRate, EvenRate, Arrivals, Share float64
	// Arrivals of the period with and without priority; meanWorth; slots of the mean server; subsetSize.
	N1, N2, Worth, Slots, Size float64
	Learned                    bool          // the rates of the subset are known
	ListAge                    time.Duration // time since discovery last had no newer list; 0: not known
	// Module.startAt; arrivedAt; firstAnswerAt; answeredAt.
	Started, Arrived, FirstAnswer, Answerd time.Duration
	Classes                                []ClassSnapshot
	Servers                                []ServerSnapshot
}

// ClassSnapshot is what is known of a class.
type ClassSnapshot struct {
	Name string // empty: all classes that the settings don't have
	// Number of answers; in seconds, latency, fleetLatency (Ambient) and baseLatency; relativeCost.
	Count, Latency, Ambient, Base, Relative float64
	At                                      time.Duration // answeredAt
}

// ServerSnapshot is what is known of a server.
type ServerSnapshot struct {
	ID        ServerID
	StartedAt Time // when the process started of which this is known
	// excess in seconds; rate in answers per second; lastLatency in seconds; provenLoad in requests; slots.
	Excess, Rate, Last, Room, Slots float64
	// listedAt; latencyAt; rateAt; provenLoadAt.
	Since, LatencyAt, RateAt, RoomAt time.Duration
	Strikes                          int           // failures since the last success
	Suspect, Broken, Cold            bool          // ejected; connectFailed; in slow start
	TrialWait, TrialAt, ColdSince    time.Duration // mean wait between trial requests; next trial; start of slow start
	Imposed                          Mode
	ImposedUntil, FullAt, Backoff    time.Duration // end of Imposed; last full answer that counted; fullBackoff
}

// Snapshot returns what the module has learned. It does not change the module.
func (m *Module) Snapshot(now Time) Snapshot {
	age := func(t Time) time.Duration { return now - t }
	s := Snapshot{Version: SnapshotVersion, Answers: m.answers, Mean: m.mean, Recent: m.recentMean, Least: m.leastMean, Peak: m.peakRate, FleetRate: m.fleetRate,
		EvenRate: m.evenRate, Arrivals: m.arrivals, Share: m.share, N1: m.n1, N2: m.n2, Worth: m.meanWorth, Slots: m.slots, Size: m.subsetSize, Learned: m.learned,
		Started: age(m.startAt), Arrived: age(m.arrivedAt), FirstAnswer: age(m.firstAnswerAt), Answerd: age(m.answeredAt)}
	switch {
	case m.subscribed && !m.listAge.watchStalled:
		s.ListAge = 1
	case m.listAge.confirmedAt != never:
		s.ListAge = max(1, age(m.listAge.confirmedAt))
	}
	for _, c := range m.classList {
		s.Classes = append(s.Classes, ClassSnapshot{Name: c.Name, Count: c.count, Latency: c.latency, Ambient: c.fleetLatency, Base: c.baseLatency, Relative: c.relativeCost, At: age(c.answeredAt)})
	}
	for _, v := range m.ring {
		s.Servers = append(s.Servers, ServerSnapshot{ID: v.ID, StartedAt: v.StartedAt, Excess: v.excess, Rate: v.rate, Last: v.lastLatency, Room: v.provenLoad, Slots: v.slots,
			Since: age(v.listedAt), LatencyAt: age(v.latencyAt), RateAt: age(v.rateAt), RoomAt: age(v.provenLoadAt), Strikes: v.consecutiveFailures, Suspect: v.ejected,
			Broken: v.connectFailed, Cold: v.cold, TrialWait: v.trialWait, TrialAt: age(v.trialAt), ColdSince: age(v.coldSince), Imposed: v.imposed,
			ImposedUntil: age(v.imposedUntil), FullAt: age(v.fullAt), Backoff: v.fullBackoff})
	}
	return s
}

// check returns an error for the first value that no module can have.
func (s *Snapshot) check() error {
	if s.Version != SnapshotVersion {
		return fmt.Errorf("snapshot: version %d, want %d", s.Version, SnapshotVersion)
	}
	amounts := []float64{s.Answers, s.Mean, s.Recent, s.Least, s.Peak, s.FleetRate, s.EvenRate, s.Arrivals, s.Share, s.N1, s.N2, s.Worth, s.Slots, s.Size}
	waits := []time.Duration{}
	for _, c := range s.Classes {
		amounts = append(amounts, c.Count, c.Latency, c.Ambient, c.Base, c.Relative)
		if c.Relative == 0 || c.Count > 0 && c.Ambient == 0 {
			return fmt.Errorf("snapshot: class %q has a cost or latency of 0", c.Name)
		}
	}
	for _, v := range s.Servers {
		amounts = append(amounts, v.Rate, v.Last, v.Room, v.Slots, math.Abs(v.Excess))
		waits = append(waits, v.TrialWait, v.Backoff, v.TrialAt+maxTrialWait*2, v.ImposedUntil+maxTrialWait*2)
		if v.Imposed < Normal || v.Imposed > Blocking || v.Strikes < 0 {
			return fmt.Errorf("snapshot: server %d has mode %d and %d failures", v.ID, v.Imposed, v.Strikes)
		}
	}
	for _, a := range amounts {
		if !(a >= 0 && a <= 1e12) { // NaN fails this test, too
			return fmt.Errorf("snapshot: amount %v is out of range", a)
		}
	}
	for _, w := range waits {
		if w < 0 {
			return fmt.Errorf("snapshot: wait %v is out of range", w)
		}
	}
	if s.Learned && (s.Mean <= 0 || s.FleetRate <= 0) {
		return fmt.Errorf("snapshot: rates are known, but the mean latency is %v and the rate %v", s.Mean, s.FleetRate)
	}
	return nil
}

// Restore takes over what another process of this node has learned. It must be called once, after the module's first
// list and before any request. If any part of the snapshot is invalid, it returns an error and changes nothing. Servers
// that are not in the list, or have restarted, are skipped.
func (m *Module) Restore(now Time, s Snapshot) error {
	if err := s.check(); err != nil {
		return err
	}
	at := func(age time.Duration) Time { return now - age }
	m.now = now
	m.answers, m.mean, m.recentMean, m.leastMean, m.peakRate, m.fleetRate, m.evenRate = s.Answers, s.Mean, s.Recent, s.Least, s.Peak, s.FleetRate, s.EvenRate
	m.arrivals, m.share, m.n1, m.n2, m.meanWorth, m.slots, m.learned = s.Arrivals, s.Share, s.N1, s.N2, s.Worth, s.Slots, s.Learned
	m.startAt, m.arrivedAt, m.firstAnswerAt, m.answeredAt = at(s.Started), at(s.Arrived), at(s.FirstAnswer), at(s.Answerd)
	m.subsetSize = math.Max(s.Size, minSubsetSize)
	for _, k := range s.Classes {
		c := m.classes[k.Name]
		if k.Name == "" {
			c = m.unknownClass
		}
		if c != nil {
			c.count, c.latency, c.fleetLatency, c.baseLatency, c.relativeCost, c.answeredAt = k.Count, k.Latency, k.Ambient, k.Base, k.Relative, at(k.At)
		}
	}
	for _, k := range s.Servers {
		v := m.known[k.ID]
		if v == nil || !v.inRing || v.StartedAt != k.StartedAt {
			continue
		}
		v.excess, v.rate, v.lastLatency, v.provenLoad, v.slots, v.consecutiveFailures = k.Excess, k.Rate, k.Last, k.Room, k.Slots, k.Strikes
		v.listedAt, v.latencyAt, v.rateAt, v.provenLoadAt = at(k.Since), at(k.LatencyAt), at(k.RateAt), at(k.RoomAt)
		v.ejected, v.connectFailed, v.trialWait, v.trialAt = k.Suspect, k.Broken, k.TrialWait, at(k.TrialAt)
		v.imposed, v.imposedUntil, v.fullAt, v.fullBackoff = k.Imposed, at(k.ImposedUntil), at(k.FullAt), k.Backoff
		if v.cold, v.coldSince = k.Cold, at(k.ColdSince); v.cold {
			v.tokens, v.tokensAt = 0, now // the other process may have used the tokens
		}
	}
	// What the other process learns from now on does not reach this one, which counts as notified of it soon. So the
	// list may be used for handedListTime at most.
	if s.ListAge > 0 {
		m.listAge.confirm(now - max(s.ListAge, m.listLifetime()-handedListTime))
	}
	m.nextListRequestAt = min(m.nextListRequestAt, now+time.Duration(m.random()*float64(successorSpread)))
	m.subsetStale = true
	m.chooseSubset()
	for _, v := range m.subset {
		m.placeInPool(v)
	}
	m.survey(false)
	return nil
}
