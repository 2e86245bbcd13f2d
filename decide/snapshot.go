package decide

// What a module has learned, as plain data for the process that takes over its node. A module that starts
// with nothing takes every server for normal and the fleet for slow, and for seconds refuses requests that
// the servers could serve.

import (
	"fmt"
	"math"
	"time"
)

// SnapshotVersion is the version of the format below. Restore takes no other.
const SnapshotVersion = 1

// Snapshot is what a module has learned. It is written as JSON under the names of its fields, so these
// stay. Points in time are given as ages: how long before the snapshot they were, negative for later ones.
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
	snapshot := Snapshot{Version: SnapshotVersion,
		Answers: m.answers, Mean: m.mean, Recent: m.recentMean, Least: m.leastMean, Peak: m.peakRate,
		FleetRate: m.fleetRate, EvenRate: m.evenRate, Arrivals: m.arrivals, Share: m.share,
		N1: m.n1, N2: m.n2, Worth: m.meanWorth, Slots: m.slots, Size: m.subsetSize, Learned: m.learned,
		Started: age(m.startAt), Arrived: age(m.arrivedAt), FirstAnswer: age(m.firstAnswerAt), Answerd: age(m.answeredAt)}
	switch {
	case m.subscribed:
		snapshot.ListAge = max(1, age(m.watchConfirms()))
	case m.listAge.confirmedAt != never:
		snapshot.ListAge = max(1, age(m.listAge.confirmedAt))
	}
	for _, class := range m.classList {
		snapshot.Classes = append(snapshot.Classes, ClassSnapshot{Name: class.Name, Count: class.count,
			Latency: class.latency, Ambient: class.fleetLatency, Base: class.baseLatency,
			Relative: class.relativeCost, At: age(class.answeredAt)})
	}
	for _, server := range m.ring {
		snapshot.Servers = append(snapshot.Servers, ServerSnapshot{ID: server.ID, StartedAt: server.StartedAt,
			Excess: server.excess, Rate: server.rate, Last: server.lastLatency, Room: server.provenLoad,
			Slots: server.slots, Since: age(server.listedAt), LatencyAt: age(server.latencyAt),
			RateAt: age(server.rateAt), RoomAt: age(server.provenLoadAt), Strikes: server.consecutiveFailures,
			Suspect: server.ejected, Broken: server.connectFailed, Cold: server.cold,
			TrialWait: server.trialWait, TrialAt: age(server.trialAt), ColdSince: age(server.coldSince),
			Imposed: server.imposed, ImposedUntil: age(server.imposedUntil), FullAt: age(server.fullAt),
			Backoff: server.fullBackoff})
	}
	return snapshot
}

// check returns an error for the first value that no module can have.
func (s *Snapshot) check() error {
	if s.Version != SnapshotVersion {
		return fmt.Errorf("snapshot: version %d, want %d", s.Version, SnapshotVersion)
	}
	amounts := []float64{s.Answers, s.Mean, s.Recent, s.Least, s.Peak, s.FleetRate, s.EvenRate, s.Arrivals, s.Share,
		s.N1, s.N2, s.Worth, s.Slots, s.Size}
	waits := []time.Duration{}
	for _, class := range s.Classes {
		amounts = append(amounts, class.Count, class.Latency, class.Ambient, class.Base, class.Relative)
		if class.Relative == 0 || class.Count > 0 && class.Ambient == 0 {
			return fmt.Errorf("snapshot: class %q has a cost or latency of 0", class.Name)
		}
	}
	for _, server := range s.Servers {
		amounts = append(amounts, server.Rate, server.Last, server.Room, server.Slots, math.Abs(server.Excess))
		waits = append(waits, server.TrialWait, server.Backoff,
			server.TrialAt+maxTrialWait*2, server.ImposedUntil+maxTrialWait*2)
		if server.Imposed < Normal || server.Imposed > Blocking || server.Strikes < 0 {
			return fmt.Errorf("snapshot: server %d has mode %d and %d failures", server.ID, server.Imposed, server.Strikes)
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

// Restore takes over what another process of this node has learned. It must be called once, after the
// module's first list and before any request. If any part of the snapshot is invalid, it returns an error
// and changes nothing. Servers that are not in the list, or have restarted, are skipped.
func (m *Module) Restore(now Time, snapshot Snapshot) error {
	if err := snapshot.check(); err != nil {
		return err
	}
	at := func(age time.Duration) Time { return now - age }
	m.now = now
	m.answers, m.mean, m.recentMean, m.leastMean, m.peakRate, m.fleetRate, m.evenRate =
		snapshot.Answers, snapshot.Mean, snapshot.Recent, snapshot.Least, snapshot.Peak, snapshot.FleetRate, snapshot.EvenRate
	m.arrivals, m.share, m.n1, m.n2, m.meanWorth, m.slots, m.learned =
		snapshot.Arrivals, snapshot.Share, snapshot.N1, snapshot.N2, snapshot.Worth, snapshot.Slots, snapshot.Learned
	m.startAt, m.arrivedAt, m.firstAnswerAt, m.answeredAt =
		at(snapshot.Started), at(snapshot.Arrived), at(snapshot.FirstAnswer), at(snapshot.Answerd)
	m.subsetSize = math.Max(snapshot.Size, minSubsetSize)
	for _, saved := range snapshot.Classes {
		class := m.classes[saved.Name]
		if saved.Name == "" {
			class = m.unknownClass
		}
		if class != nil {
			class.count, class.latency, class.fleetLatency, class.baseLatency, class.relativeCost, class.answeredAt =
				saved.Count, saved.Latency, saved.Ambient, saved.Base, saved.Relative, at(saved.At)
		}
	}
	for _, saved := range snapshot.Servers {
		server := m.known[saved.ID]
		if server == nil || !server.inRing || server.StartedAt != saved.StartedAt {
			continue
		}
		server.excess, server.rate, server.lastLatency, server.provenLoad, server.slots, server.consecutiveFailures =
			saved.Excess, saved.Rate, saved.Last, saved.Room, saved.Slots, saved.Strikes
		server.listedAt, server.latencyAt, server.rateAt, server.provenLoadAt =
			at(saved.Since), at(saved.LatencyAt), at(saved.RateAt), at(saved.RoomAt)
		server.ejected, server.connectFailed, server.trialWait, server.trialAt =
			saved.Suspect, saved.Broken, saved.TrialWait, at(saved.TrialAt)
		server.imposed, server.imposedUntil, server.fullAt, server.fullBackoff =
			saved.Imposed, at(saved.ImposedUntil), at(saved.FullAt), saved.Backoff
		if server.cold, server.coldSince = saved.Cold, at(saved.ColdSince); server.cold {
			server.tokens, server.tokensAt = 0, now // the other process may have used the tokens
		}
	}
	// What the other process learns from now on does not reach this one, which counts as notified of it
	// soon. So the list may be used for handedListTime at most. Where lists are pushed, it counts as
	// notified at once, and its own agent has to answer first.
	if snapshot.ListAge > 0 && m.settings.ListOnRequest {
		m.listAge.confirm(now - max(snapshot.ListAge, m.listLifetime()-handedListTime))
	}
	m.nextListRequestAt = min(m.nextListRequestAt, now+time.Duration(m.random()*float64(successorSpread)))
	m.subsetStale = true
	m.chooseSubset()
	for _, server := range m.subset {
		m.placeInPool(server)
	}
	m.survey(false)
	return nil
}
