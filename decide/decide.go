package decide

// The decisions on requests, servers and the subset. Settings, events and actions are in api.go, the state
// is in state.go; docs/design gives the reasons.

import (
	"fmt"
	"math"
	"time"

	"starlingvalve/internal/gossip"
)

const (
	// Interval of the periodic checks: well under every latency target.
	tickInterval = 25 * time.Millisecond
	// oc-validity of the paper: an imposed mode lapses after this time.
	ocValidity = time.Second
	// A server that has answered Full is blocked for this multiple of the mean latency, at most for ocValidity.
	fullValidityFactor = 4.0
	// Interval at which q1 and q2 are renewed: long enough for many arrivals, far shorter than an overload.
	recomputeInterval = 500 * time.Millisecond
	// Part of the arrival counts n1 and n2 that is carried into the next interval, which may see no arrival.
	arrivalCarryOver = 0.9

	// Part of a class's aim that its mean delay may take. The rest is for the long tail of the delays.
	aimFraction = 0.4
	// The same on low-traffic nodes, whose smoothed delays come from the servers of the whole subset.
	lowTrafficAimFraction = 0.6
	// Queue limit of a low-traffic node, in requests ahead of its own: shorter than what slows servers down.
	lowTrafficQueue = 2.0
	// Queue limit as a multiple of the uncongested latency. Some servers slow down when queues are long.
	queueLatencyFactor = 1.8
	// Queue limit as a part of the delay that the aims allow. The larger of this and queueLatencyFactor holds.
	looseAimFraction = 0.6
	// The same on low-traffic nodes.
	lowTrafficLooseFraction = 1.0 / 3
	// Multiple of the uncongested latency. However long the aims are, no more than the larger of this and
	// longAimSeconds is allowed.
	longAimFactor  = 6.0
	longAimSeconds = 0.6
	// By how much chance alone takes a smoothed mean below its true value, as a part of that value.
	meanNoise = 0.15

	lowFraction = 0.5 // L as a part of H; the hysteresis lies between them
	blockFactor = 2.0 // R as a multiple of H; the requests between them are for priority work
	// Factor on the thresholds for the servers' reports: these lag, and the node's own counts apply as well.
	reportThresholdFactor = 1.25
	// Upper bound of a reported number of requests. No server does useful work on more at once.
	maxReportedRequests = 1000.0
	// Part of the highest class worth that makes a request a priority one: classes of similar worth are alike.
	priorityWorthFraction = 0.5
	// Least H of a server, in requests of all nodes together, also before anything is learned.
	minWindow = 2.0
	// Part of H that comes from the fleet's mean rate: noise in a server's own rate must not starve the server.
	fleetWeight = 0.3

	rateTau             = 3.0 // time constant of a server's rate of answers, in seconds
	shortRateTau        = 0.1 // time constant of the short-term rate, in seconds; it is used where answers are many
	shortRateDeviations = 3.0 // standard deviations of chance that are taken off the short-term rate
	latencyDriftTau     = 3.0 // seconds; time constant with which a latency without answers drifts to the fleet's mean
	// Time constant for forgetting peak rates and uncongested latencies, in seconds: longer than an overload.
	baselineTau = 600.0
	// Time constant of the mean latency, in seconds, where answers are many: the mean must not follow each
	// change of the mix of classes.
	meanTau = 0.25
	// A class is expensive beyond this multiple of the mean request's cost. The fleet's mean says little of its
	// latency; if it was answered within expensiveLatencyValidity, its own smoothed latency is used.
	expensiveCost            = 4.0
	expensiveLatencyValidity = time.Second
	minRelativeCost          = 0.25 // least cost by which latencies are scaled, in mean requests; see asMeanRequest
	latencyGain              = 0.1  // weight of a new latency in a server's smoothed one
	fleetGain                = 0.02 // weight of a new value in means over all servers, where samples are many
	// Upper bound of a latency as a multiple of the smoothed one: one heavy request does not make a server slow.
	latencyCapFactor = 4.0

	// Failures in a row, or sends without any answer, after which a server is ejected. Fewer happen by chance.
	ejectThreshold = 3
	// A server is unresponsive if there is no answer for this multiple of the expected latency.
	unresponsiveFactor = 4.0
	firstTrialWait     = 500 * time.Millisecond // mean wait before an ejected server's first trial request; it doubles
	maxTrialWait       = 16 * time.Second       // longest such wait: about the length of an outage
	maxQuickTrialWait  = 2 * time.Second        // longest such wait for an ejected server that fails fast
	// Part of the aim that a trial request may take, so that a second attempt can be in time.
	trialAimFraction = 1.0 / 3
	// A trial may take at least this multiple of the uncongested latency. With less, none would succeed.
	trialBaseFactor    = 2.0
	retriesPerArrival  = 0.1  // retries that each arrival adds to the retry budget: bounds retry storms
	maxRetryTokens     = 10.0 // retries that the budget holds at most
	holdOffAimFraction = 0.15 // mean hold-off of a refused client, as a part of the aim

	// Seconds after which a node sends to each server of its subset again, at the mean. With longer ones, what
	// it knows of a server would be out of date. Also the time constant of recentMean.
	subsetSendInterval = 2.0
	minSubsetSize      = 8.0  // servers; fewer leave no choice once some of them fail
	arrivalTau         = 10.0 // time constant of this node's arrival rate, in seconds: keeps the subset size steady
	// A server is lightly loaded below this part of the delay that the aims allow.
	lightLoadFraction = 0.24
	// With each answer of a lightly loaded server, its proven load grows by provenLoadStep requests, up to
	// maxProvenLoadGrowth times the number of requests that it has.
	provenLoadStep      = 1.0
	maxProvenLoadGrowth = 1.6
	// Time constant of the node's own delay, in seconds, and of its decay without answers.
	nodeDelayTau = 1.0

	maxScanned = 32 // servers of a long list that are examined for a retry, which must avoid those already tried
	maxDraws   = 32 // draws; each may find that a server has changed its mode since it was put into its pool
	// Ticks in which the sweep covers the subset, within the bounds of servers per tick below.
	sweepRoundTicks    = 20
	minSweepPerTick    = 256
	maxSweepPerTick    = 1024
	maxHeadroomSample  = 256 // servers sampled for Headroom
	maxImmediateSubset = 512 // servers; a subset up to this size is chosen anew right after a change of the list

	// Interval between two overload notices to the other nodes of the site.
	overloadNoticeInterval = ocValidity / 4
	overloadNotice         = "short" // the datagram of an overload notice
)

// NextMode is the paper's hysteresis: it returns the mode that follows m for a server with n requests and the
// thresholds L (low), H (high) and R (block). Modes change exactly where the paper's inequalities hold.
func NextMode(m Mode, n, low, high, block float64) Mode {
	switch {
	case m != Blocking && n > block-1:
		return Blocking
	case m == Normal && n > high-1, m == Blocking && n < high+1:
		return Overloaded
	case m == Overloaded && n < low:
		return Normal
	}
	return m
}

// ShedSplit returns the drop probabilities of priority requests (q1) and of the others (q2) that together
// drop a part q of all arrivals. n1 and n2 count the arrivals of either kind. Priority requests are dropped
// only if dropping all others is not enough.
func ShedSplit(q, n1, n2 float64) (q1, q2 float64) {
	if n2 == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*(n1+n2)/n2)
	if n1 > 0 {
		q1 = math.Max(0, (q*(n1+n2)-q2*n2)/n1)
	}
	return q1, q2
}

// Handle takes an event that happened now and returns the actions to carry out, in order. The slice is
// valid until the next call.
func (m *Module) Handle(now Time, e Event) []Action {
	m.now, m.actions = now, m.actions[:0]
	timer := SetTimer{After: max(tickInterval, m.settings.MinTick)} // the only timer in use
	if !m.ticking {
		m.ticking, m.periodAt = true, now
		m.resetBackoffs()
		m.startAt, m.subsetSize = now, minSubsetSize
		m.nextListRequestAt = now + m.firstRequestDelay()
		m.emit(timer)
	}
	switch e := e.(type) {
	case RequestArrived:
		m.requestArrived(e)
	case ListUpdate:
		m.applyList(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case BodyEnded:
		m.bodyEnded(e)
	case StreamStarted:
		m.streamStarted(e)
	case RequestAbandoned:
		if r := m.requests[e.ID]; r != nil && !r.done {
			m.closeRequest(r)
		}
	case Shutdown:
		for _, r := range m.openRequests {
			if !r.done && !r.started {
				m.finish(r, ByNode)
			}
		}
	case MessageReceived:
		m.messageReceived(e)
	case ProbeEnded:
		m.probeEnded(e)
	case TimerFired:
		m.tick()
		m.emit(timer)
	}
	return m.actions
}

// survey renews the estimates that the thresholds depend on: with each tick those of latencies, and once a
// sweep over the subset is complete those of the fleet's rates.
func (m *Module) survey(complete bool) {
	grow := 1 + tickInterval.Seconds()/baselineTau
	if w := m.sweepTotals; complete {
		if w.all > 0 {
			m.share += (w.own/w.all - m.share) * math.Min(1, tickInterval.Seconds()*m.ticksPerSweep()/rateTau)
		}
		if w.count > 0 { // while no server is warm, the last rates of warm servers stay
			m.fleetRate, m.evenRate = w.rate/w.count, w.rate/float64(len(m.subset))
			m.learned = w.rate > 0 && m.answers >= 2*float64(len(m.subset))
		}
		m.sweepTotals = sweepTotals{}
	}
	if m.leastMean *= grow; m.leastMean == 0 || m.answers >= 1/fleetGain && m.mean < m.leastMean*(1-meanNoise) {
		m.leastMean = m.mean / (1 - meanNoise) // the minimum of a noisy mean lies below the true value
	}
	if m.peakRate /= grow; m.learned {
		m.peakRate = math.Max(m.peakRate, m.fleetRate)
	}
	m.aimedMean, m.baseMean = math.Inf(1), m.mean
	base, latency := 0.0, 0.0
	for _, c := range m.classList {
		expected := m.mean * c.relativeCost
		if c.relativeCost > expensiveCost && m.now-c.answeredAt < expensiveLatencyValidity {
			expected = math.Min(expected, c.latency)
		}
		if c.baseLatency *= grow; c.count >= 1/fleetGain && (c.baseLatency == 0 || c.latency < c.baseLatency*(1-meanNoise)) {
			c.baseLatency = c.latency / (1 - meanNoise)
		}
		if c.baseLatency > 0 {
			base, latency = base+c.baseLatency, latency+expected
			m.baseMean = m.mean * base / latency
		}
		if c.count > 0 && c.Aim > 0 {
			m.aimedMean = math.Min(m.aimedMean, m.mean*aimFraction*c.Aim.Seconds()/expected)
		}
	}
}

// allowedDelay is the delay of a mean request that the aims allow, in seconds. Long aims allow no more than
// longAimFactor times the uncongested latency, or longAimSeconds if that is more: a longer queue serves no
// more requests, and clients may give up on those that wait in it.
func (m *Module) allowedDelay() float64 {
	return math.Min(m.aimedMean, math.Max(longAimFactor*m.baseMean, longAimSeconds))
}

// highThreshold is H of a server, in requests of this node. By Little's law it is the server's rate of
// answers times the delay that the aims allow; it is higher where the mean latency is below that delay.
// Part of the rate is the fleet's mean, as noise in a single server's rate must not starve it. The delay is
// kept small, as some servers stay slow for a long time after an overload.
func (m *Module) highThreshold(s *serverRecord) float64 {
	if !m.learned {
		return 2 * minWindow / float64(m.settings.Nodes)
	}
	rate := (1-fleetWeight)*m.rateOf(s) + fleetWeight*m.fleetRate*math.Min(1, m.mean/m.latencyOf(s))
	want := math.Min(math.Max(queueLatencyFactor*m.baseMean, looseAimFraction*m.allowedDelay()), m.aimedMean)
	if m.latencyOf(s) <= want {
		rate = math.Max(rate, m.shortTermRate(s))
	}
	h := rate * math.Max(m.baseMean*m.peakRate/m.fleetRate, want*math.Min(3, want/m.mean))
	return math.Max(math.Max(h, minWindow/float64(m.settings.Nodes)), s.provenLoad*decay(m.now-s.provenLoadAt, rateTau))
}

// shortTermRate is a server's rate of answers over shortRateTau, in answers per second, less the part that
// chance may have added. The smoothed rate takes seconds to follow a rise; in that time, a server whose
// answers meet the aims must not count as overloaded. For a server with ten answers a second the time is
// too short to show anything, and the result is 0.
func (m *Module) shortTermRate(s *serverRecord) float64 {
	k := s.recentAnswers * decay(m.now-s.rateAt, shortRateTau)
	return math.Max(0, k-shortRateDeviations*math.Sqrt(k/2)) / shortRateTau // the variance of k is k/2 in a Poisson process
}

// lightlyLoaded tells whether a server's latency is far below the delay that the aims allow, however many
// requests it has.
func (m *Module) lightlyLoaded(s *serverRecord) bool {
	return m.learned && math.Max(s.lastLatency, m.latencyOf(s)) <= lightLoadFraction*m.allowedDelay()
}

// updateProvenLoad updates a server's proven load, a lower bound of H, after an answer. The rate of answers
// shows a server's capacity only under full load: after a quiet time, H from the rate alone would refuse a
// rise in traffic for as long as the rate takes to follow. So while the latency is low, the proven load is
// the number of requests that the server has, plus a step. It grows by a step an answer, and so only with
// requests that the server has taken. Once the latency is high, each answer halves it, and H follows the
// rate again.
func (m *Module) updateProvenLoad(s *serverRecord) {
	room := s.provenLoad * decay(m.now-s.provenLoadAt, rateTau)
	if m.lightlyLoaded(s) {
		room = math.Max(room, math.Min(math.Max(room, s.n)+provenLoadStep, maxProvenLoadGrowth*(s.n+1)))
	} else if m.latencyOf(s) > lightLoadFraction*m.allowedDelay() {
		room /= 2
	}
	s.provenLoad, s.provenLoadAt = room, m.now
}

// loadAndHigh returns n and H of a server for the hysteresis. H is rounded up or down at random, which
// keeps its mean over the nodes. A low-traffic node sends a server less than one request per ocValidity, so
// its own count shows nothing. There n is the load that all nodes report, waiting requests per slot, where
// it is known; else the number of requests that the server reports; else an estimate of the requests ahead
// of the node's own: the server's latency in units of the uncongested one, less 1. Reports and estimates
// lapse.
func (m *Module) loadAndHigh(s *serverRecord) (n, h float64) {
	if !m.lowTraffic() {
		n = s.n
		if own := m.nodeDelay(); own > 0 {
			n *= m.mean / (m.mean + own) // by Little's law the rest waits in this node, not at the server
		}
		return n, math.Floor(m.highThreshold(s) + m.dither(s))
	}
	if m.judgedByCounts(s) {
		return m.waitingPerSlot(s), 1 + lowQueue + (highQueue-lowQueue)*m.dither(s)
	}
	if m.leastMean == 0 || m.aimedMean == 0 {
		return s.n, 1
	}
	aimed := m.aimedMean * lowTrafficAimFraction / aimFraction
	unit := math.Min(m.leastMean, aimed) // a node that starts during an overload has too high a leastMean
	l := m.recentMean + s.excess*decay(m.now-s.latencyAt, latencyDriftTau)
	if n = (l/unit - 1) * decay(m.now-m.answeredAt, latencyDriftTau); s.reportedLoad > 0 {
		n = s.reportedLoad * decay(m.now-s.reportedAt, latencyDriftTau)
	}
	if s.unanswered > 0 && s.n > 0 { // the latency is at least as long as the oldest send has had no answer
		n = math.Max(n, (m.now-s.unansweredSince).Seconds()/unit-1)
	}
	return n, math.Max(1, math.Min(math.Max(lowTrafficQueue, lowTrafficLooseFraction*aimed/unit), aimed/unit))
}

// lowTraffic tells whether this node's own counts show too little of the servers' load: it sends a server
// of its subset less than one request per ocValidity, or it is one of many nodes that share their counts.
func (m *Module) lowTraffic() bool {
	return m.arrivalRate*ocValidity.Seconds() < float64(len(m.subset)) || m.sharesLoad()
}

// lowAndBlock returns L and R for a server's H.
func (m *Module) lowAndBlock(s *serverRecord, h float64) (low, block float64) {
	if m.judgedByCounts(s) {
		return h - 1, 1 + blockQueue
	}
	return lowFraction * h, blockFactor*h + 1
}

// modeOf updates and returns a server's mode.
func (m *Module) modeOf(s *serverRecord) Mode {
	n, h := m.loadAndHigh(s)
	low, block := m.lowAndBlock(s, h)
	for range 2 { // from Blocking to Normal takes two steps
		s.mode = NextMode(s.mode, n, low, h, block)
	}
	if m.now < s.imposedUntil && s.imposed > s.mode {
		return s.imposed
	}
	return s.mode
}

// fullValidity is how long a full answer blocks its server: ocValidity, or fullValidityFactor times the mean
// latency if that is less. By then, the server has finished the requests that filled it.
func (m *Module) fullValidity() time.Duration {
	if m.mean == 0 {
		return ocValidity
	}
	return min(ocValidity, time.Duration(fullValidityFactor*m.mean*float64(time.Second)))
}

func (m *Module) imposeMode(s *serverRecord, mode Mode) {
	s.imposed, s.imposedUntil = mode, m.now+ocValidity
}

// applyReport imposes a mode on a server by the server's own load report, until the mode lapses. Reports
// are late and count the requests of every node, so this node's thresholds are scaled up by its share of
// all requests that the servers report.
func (m *Module) applyReport(s *serverRecord, r *Report) {
	if r == nil || !r.HasInFlight || !(r.InFlight >= 0) { // NaN fails this test, too
		return
	}
	s.reportedLoad, s.reportedAt = math.Min(r.InFlight, maxReportedRequests), m.now // a huge number would block for too long
	if m.lowTraffic() {
		return
	}
	h := reportThresholdFactor * m.highThreshold(s) / math.Max(m.share, 1e-9)
	s.reportedMode = NextMode(s.reportedMode, s.reportedLoad, lowFraction*h, h, blockFactor*h+1)
	m.imposeMode(s, min(s.reportedMode, Overloaded)) // with Blocking, late reports would stop all nodes at once, then none
}

// recompute renews the drop probabilities q1 and q2. They apply only while no server is in Normal mode.
// Then all requests without priority are shed first, and the more of the priority ones, the closer the
// servers are to R.
func (m *Module) recompute() {
	q := 0.0
	if n := m.n1 + m.n2; n > 0 {
		q = (m.n2 + m.n1*m.overloadSum/math.Max(1, m.modeChecks)) / n
		if m.sharesLoad() {
			m.updateShed()
			q = math.Min(q, m.totalShed*m.n2/n)
		}
	}
	m.q1, m.q2 = ShedSplit(q, m.n1, m.n2)
	m.recomputeNodeMode()
	m.n1, m.n2, m.overloadSum, m.modeChecks, m.periodAt = arrivalCarryOver*m.n1, arrivalCarryOver*m.n2, 0, 0, m.now
	m.period++
	m.chooseSubset()
}

// recomputeNodeMode applies the same hysteresis to the node itself, with its own part of the delay, in
// milliseconds, in place of n. H is the delay that the tightest aim allows in all. The drop fraction grows
// from L to R, so that a node that lacks CPU sheds no more than it must, and not all requests of low worth.
func (m *Module) recomputeNodeMode() {
	h, own, was := math.Inf(1), 1e3*m.nodeDelay(), m.nodeMode // ms, in place of requests
	for _, c := range m.classList {
		if c.count > 0 && c.Aim > 0 {
			h = math.Min(h, 1e3*aimFraction*c.Aim.Seconds())
		}
	}
	m.nodeMode, m.nodeDropFraction = NextMode(was, own, lowFraction*h, h, blockFactor*h), 0
	if m.nodeMode != Normal {
		m.nodeDropFraction = math.Min(1, math.Max(0, (own-lowFraction*h)/((blockFactor-lowFraction)*h)))
	}
	if was != m.nodeMode && m.mayLog() {
		m.emit(Log{fmt.Sprintf("CPU of this node is %s: it adds %.0f ms to the latency, %.0f ms allowed",
			[]string{"sufficient", "overloaded", "heavily overloaded"}[m.nodeMode], own, h)})
	}
}

// nodeDelay is the smoothed time that an answer spends in this node, in seconds. It decays while no answers
// come.
func (m *Module) nodeDelay() float64 {
	return m.smoothedNodeDelay * decay(m.now-m.nodeDelayAt, nodeDelayTau)
}

// chooseSubset chooses the servers that pick uses. If each of many nodes used all servers, it would know
// little of any, and the connections would fill the servers' tables. All nodes have the same ring of
// servers and begin their subsets at evenly spread positions. Ejected servers are not replaced by others:
// all nodes would open connections to the remaining servers at once.
func (m *Module) chooseSubset() {
	known := 1 - decay(m.now-m.startAt+tickInterval, arrivalTau)
	m.arrivalRate = m.arrivals * decay(m.now-m.arrivedAt, arrivalTau) / known
	want := subsetSendInterval * m.arrivalRate
	if m.sharesLoad() {
		want = sharedSendInterval * m.arrivalRate
	}
	was := min(len(m.ring), int(m.subsetSize))
	if want > m.subsetSize || want < m.subsetSize/2 {
		m.subsetSize = math.Max(want, minSubsetSize) // smaller changes are skipped, as a new server costs a connection
	}
	n := min(len(m.ring), int(m.subsetSize))
	if n > 0 { // the same answers now come from a different number of servers
		m.peakRate *= float64(was) / float64(n)
	}
	if !m.subsetStale && n == len(m.subset) {
		return
	}
	start := gossip.Start(m.settings.Self, len(m.ring))
	m.subsetChoices++
	old := m.subset
	next := make([]*serverRecord, 0, n)
	for i := range n {
		s := m.ring[(start+i)%len(m.ring)]
		s.chosenIn = m.subsetChoices
		next = append(next, s)
	}
	for _, s := range old {
		if s.inSubset && s.chosenIn != m.subsetChoices {
			s.inSubset = false
			m.placeInPool(s)
		}
	}
	if m.subsetIsRing = n == len(m.ring); m.subsetIsRing {
		next = m.ring
	}
	m.subset, m.subsetStale = next, false
	for _, s := range m.subset {
		if !s.inSubset {
			s.inSubset = true
			m.placeInPool(s)
		}
	}
}

// placeInPool puts a server into the pool of its mode, where pick finds it. An ejected server is queued for
// its next trial request instead, and a cold one whose budget is spent for its next token. A server outside
// the subset, or one that may not be used at the list's age, is removed from both. A server with an imposed
// mode is in its pool and also queued for the end of that mode.
func (m *Module) placeInPool(s *serverRecord) {
	switch {
	case !s.inSubset, !m.serverUsable(s):
		removeFromPool(s, byMode)
		unschedule(s)
	case s.ejected:
		removeFromPool(s, byMode)
		m.trials.schedule(s, s.trialAt)
	case m.coldBudgetSpent(s):
		removeFromPool(s, byMode)
		wait := time.Duration((1 - s.tokens) / math.Max(m.coldSendRate(s), 1e-9) * float64(time.Second))
		m.wakeups.schedule(s, m.now+min(max(wait, time.Millisecond), ocValidity))
	default:
		m.pools[m.modeOf(s)].add(s)
		if m.now < s.imposedUntil {
			m.wakeups.schedule(s, s.imposedUntil)
		} else {
			unschedule(s)
		}
	}
}

// placeDue puts the servers into their pools whose wake-up time has come.
func (m *Module) placeDue() {
	for s := m.wakeups.due(m.now); s != nil; s = m.wakeups.due(m.now) {
		unschedule(s)
		m.placeInPool(s)
	}
}

// rateOf is a server's smoothed rate of answers to this node, in answers per second. It is corrected for
// the bias that starting at 0 has.
func (m *Module) rateOf(s *serverRecord) float64 {
	return s.rate * decay(m.now-s.rateAt, rateTau) / (1 - decay(m.now-s.listedAt+tickInterval, rateTau))
}

// latencyOf is the smoothed latency of a mean request at a server, in seconds. Without answers it drifts to
// the fleet's mean, so that a slow server is used again some time later.
func (m *Module) latencyOf(s *serverRecord) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, latencyDriftTau)
}

// learn updates the smoothed latencies with an answer of a server to a request of class c. took is its
// latency, own the part of it that passed in this node. At first the means are plain averages, not
// exponential ones, as the first answers are those of the shortest requests.
func (m *Module) learn(s *serverRecord, c *classRecord, took, own time.Duration) {
	own = min(max(0, own), took)
	gain := 1 - decay(m.now-m.nodeDelayAt, nodeDelayTau)
	m.smoothedNodeDelay, m.nodeDelayAt = m.smoothedNodeDelay+math.Max(gain, fleetGain/10)*(own.Seconds()-m.smoothedNodeDelay), m.now
	took -= own
	t := math.Max(took.Seconds(), 1e-6)
	if m.answers++; m.answers == 1 {
		m.firstAnswerAt = m.now
	}
	c.count++
	m.mean += math.Max(m.meanGain(m.now-m.answeredAt), 1/m.answers) * (t - m.mean)
	m.recentMean += math.Max(1-decay(m.now-m.answeredAt, subsetSendInterval), 1/m.answers) * (m.asMeanRequest(c, t) - m.recentMean)
	m.answeredAt = m.now
	gain = math.Max(m.meanGain(m.now-c.answeredAt), 1/c.count)
	c.latency, c.answeredAt = c.latency+gain*(t-c.latency), m.now
	c.fleetLatency += gain * (m.mean - c.fleetLatency)
	c.relativeCost = c.latency / c.fleetLatency // with m.mean, a rare class would keep its latency of a past overload
	m.updateServerLatency(s, c, took)
}

// meanGain is the weight of an answer in the means over all servers; since is the time since the last
// answer. In the first second after the first answer it is larger, as the first answers are those of the
// shortest requests.
func (m *Module) meanGain(since time.Duration) float64 {
	tau := math.Min(meanTau, math.Max(meanTau/10, (m.now-m.firstAnswerAt).Seconds()/4))
	return math.Min(fleetGain, 1-decay(since, tau))
}

// asMeanRequest converts a latency t of a class, in seconds, to that of a mean request. It is proportional
// to the class's cost. For a class that costs far less than the mean request only the difference from its
// expected latency is scaled, by 1/minRelativeCost: else a pause of a millisecond would make a server look
// ten times slower.
func (m *Module) asMeanRequest(c *classRecord, t float64) float64 {
	if c.relativeCost >= minRelativeCost {
		return t / c.relativeCost
	}
	return math.Max(0, m.mean+(t-c.relativeCost*m.mean)/minRelativeCost)
}

// updateServerLatency adds a latency to a server's smoothed one. It is capped at a multiple of that, as a
// very slow answer is more likely that of a heavy request than of a slow server.
func (m *Module) updateServerLatency(s *serverRecord, c *classRecord, took time.Duration) {
	l := m.latencyOf(s)
	gain := math.Max(latencyGain, 1-decay(m.now-s.latencyAt, latencyDriftTau)) // rare answers weigh more
	s.lastLatency = m.asMeanRequest(c, took.Seconds())
	l += gain * (math.Min(s.lastLatency, latencyCapFactor*math.Max(l, m.mean)) - l)
	s.excess, s.latencyAt = l-m.mean, m.now
}

// applyOutcome updates what is known of a server with the outcome of an attempt. A failure also counts as a
// slow answer, as a server that fails fast must not attract requests. An ejected server that answers is
// readmitted. If it answers a trial request, and a connection to it failed since its last answer, it may
// have restarted, and begins with a slow start. Else it is the old process, which was unresponsive or
// failing until now.
func (m *Module) applyOutcome(s *serverRecord, r *requestRecord, e AttemptEnded) {
	switch e.Code {
	case Cancelled, Moot:
	case Full:
		// The block grows with each full answer in a row: many nodes that each came back after one ocValidity would
		// keep the server overloaded. Attempts sent before the last counted full answer don't count again.
		s.unanswered = 0
		if m.now-e.Elapsed >= s.fullAt {
			fresh := m.fullValidity()
			m.imposeMode(s, Blocking)
			s.imposedUntil += fresh - ocValidity + m.jitter(s.fullBackoff)
			s.fullAt, s.fullBackoff = m.now, min(max(2*s.fullBackoff, fresh), maxTrialWait)
		}
	case OK:
		s.recentAnswers = s.recentAnswers*decay(m.now-s.rateAt, shortRateTau) + 1
		s.rate, s.rateAt, s.unanswered = s.rate*decay(m.now-s.rateAt, rateTau)+1/rateTau, m.now, 0
		s.fullBackoff = 0
		if !r.started {
			m.learn(s, r.class, e.Elapsed, e.NodeTime)
			m.updateProvenLoad(s)
		}
		if s.consecutiveFailures = 0; s.ejected {
			s.ejected = false
			if r.trial && s.connectFailed {
				m.startCold(s, m.now)
			}
			m.logServer(s, fmt.Sprintf("answers again and is readmitted; slow start: %v", s.cold))
		}
		s.connectFailed = false
	default:
		s.connectFailed = s.connectFailed || e.Code == ConnectFailed
		if s.ejected && r.trial && e.Elapsed.Seconds() < m.mean { // a fast failure costs the request little
			s.trialWait = min(s.trialWait, maxQuickTrialWait)
			s.trialAt = min(s.trialAt, m.now+m.jitter(s.trialWait))
		}
		m.updateServerLatency(s, r.class, max(e.Elapsed, r.class.Aim))
		if s.consecutiveFailures++; s.consecutiveFailures >= ejectThreshold {
			m.eject(s, fmt.Sprintf("failures in a row, the last with outcome code %d", e.Code))
		}
	}
}

// eject stops normal traffic to a server. From then on it gets trial requests only, until it answers one.
func (m *Module) eject(s *serverRecord, why string) {
	if !s.ejected {
		s.ejected, s.trialWait, s.trialAt = true, firstTrialWait, m.now+m.jitter(firstTrialWait)
		m.placeInPool(s)
		m.logServer(s, fmt.Sprintf("ejected: %s; it gets trial requests only", why))
	}
}

// dueTrial returns an ejected server whose next trial request is due, or nil. A request that must not run
// twice is never a trial request.
func (m *Module) dueTrial(r *requestRecord) *serverRecord {
	if r.class.Effect == Unsafe {
		return nil
	}
	return m.trials.due(m.now)
}

// trialTimeout is how long a trial request waits for its answer. It leaves time for a second attempt if
// possible, also while all servers are slow. But it is more than the request takes on an idle server: with
// less, no trial would ever be answered.
func (m *Module) trialTimeout(c *classRecord) time.Duration {
	expected := m.mean * c.relativeCost
	least := expected
	if c.baseLatency > 0 {
		least = math.Min(least, c.baseLatency)
	}
	most := math.Max(trialAimFraction*c.Aim.Seconds(), trialBaseFactor*least)
	wait := math.Max(m.settings.ConnectTimeout.Seconds(), unresponsiveFactor*expected)
	return time.Duration(math.Min(wait, most) * float64(time.Second))
}

// longestTrialWait is the longest mean time between two trial requests to an ejected server. It is shorter,
// the more servers are ejected: that many rarely fail for reasons of their own, and few others are left to
// serve. It grows with the number of nodes, so that all nodes' trials together stay few: a server that is
// overloaded with requests whose clients have given up needs its capacity to work through them.
func (m *Module) longestTrialWait() time.Duration {
	rest := 1 - float64(len(m.trials.servers))/float64(max(1, len(m.subset)))
	few := time.Duration(float64(m.settings.Nodes) / coldStartRate * float64(time.Second))
	return min(max(few, time.Duration(rest*float64(maxTrialWait))), maxTrialWait)
}

// maySend holds every rule on whether a request may be sent to a server. No send bypasses it.
func (m *Module) maySend(r *requestRecord, s *serverRecord) bool {
	if !m.serverUsable(s) || r.done || r.started || r.bodyConsumed || m.now >= r.deadline ||
		len(r.attempts) >= max(1, m.settings.MaxAttempts) ||
		s.State != Ready || r.outstanding >= 2 || r.outstanding > 0 && !m.settings.MayOverlap {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		if a.server == s || a.mayRun && c.Effect != Safe && (c.Effect == Unsafe ||
			m.now+m.settings.MinTick >= a.sent+c.DedupWindow || c.KeyScope == ScopeZone && s.Zone != a.server.Zone ||
			c.KeyScope == ScopeCell && s.Cell != a.server.Cell) {
			return false
		}
	}
	return true
}

// mayRefuse tells whether a request may be answered with Refuse, which promises that a new try does no
// harm: no attempt of it can have run, or a second execution has no effect.
func (m *Module) mayRefuse(r *requestRecord) bool {
	ran := false
	for _, a := range r.attempts {
		ran = ran || a.mayRun
	}
	return !ran || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.KeyScope == ScopeAll
}

// send starts an attempt of a request at a server if the rules allow it, and tells whether it did. No other
// function sends to servers.
func (m *Module) send(r *requestRecord, s *serverRecord, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	if r.attempts == nil {
		r.attempts = r.firstAttempt[:0]
	}
	r.attempts = append(r.attempts, attemptRecord{server: s, sent: m.now, mayRun: true})
	r.outstanding++
	s.tokens--
	if !r.uploading {
		m.load(&r.attempts[len(r.attempts)-1])
		m.await(s)
	}
	m.placeInPool(s)
	m.emit(Send{ID: r.id, Server: s.ID, Timeout: min(timeout, r.deadline-m.now), UsableFor: m.serverUsableFor(s),
		SlowStartLimit: m.slowStartLimit(s)})
	return true
}

// finish gives a request its final answer in place of a server's: a refusal if the rules allow one, else a
// failure. The hold-off is a part of the class's aim, so that an answer to the client's next try can still
// have its worth, and at most MaxHoldOff.
func (m *Module) finish(r *requestRecord, why Reason) {
	wait := m.jitter(time.Duration(holdOffAimFraction * float64(r.class.Aim)))
	wait = min(wait, m.settings.MaxHoldOff)
	if why == ByServers && !m.HasUsableServers() { // the list has expired while the request was open
		why = ByList
	}
	if !m.mayRefuse(r) {
		m.emit(Fail{ID: r.id})
	} else {
		m.emit(Refuse{ID: r.id, HoldOff: wait, Reason: why})
	}
	m.closeRequest(r)
}

// closeRequest ends a request, cancels its outstanding attempts, and forgets it if there are none. Else it is
// forgotten with the last outcome.
func (m *Module) closeRequest(r *requestRecord) {
	r.done = true
	for i := range r.attempts {
		if m.settings.MayCancel && !r.attempts[i].ended && !r.started {
			m.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.outstanding == 0 {
		delete(m.requests, r.id)
	}
}

// requestArrived handles a new request: as a trial request to an ejected server if one is due, else by
// pick. It is refused if the list has expired, if this node lacks CPU, or if the servers can't take it.
func (m *Module) requestArrived(e RequestArrived) {
	if m.requests[e.ID] != nil {
		return
	}
	c := m.classOf(e.Class)
	r := &requestRecord{id: e.ID, class: c, arrived: m.now, deadline: m.now + e.Patience, uploading: e.Uploading}
	m.requests[e.ID], m.openRequests = r, append(m.openRequests, r)
	m.arrivals, m.arrivedAt = m.arrivals*decay(m.now-m.arrivedAt, arrivalTau)+1/arrivalTau, m.now
	m.meanWorth += fleetGain * (c.Worth - m.meanWorth)
	r.handedOff = e.HandedOff
	r.priority = c.Worth >= math.Min(m.meanWorth, priorityWorthFraction*m.topWorth) // the paper's priority messages
	if t := m.tenants[e.Tenant]; t != nil && !t.takeToken(m.now) {
		r.priority = false // a request over its tenant's share is worth little
	}
	switch {
	case r.handedOff: // it is served from headroom only, and so doesn't count for the shedding of own requests
		r.priority = false
	case r.priority:
		m.n1++
	default:
		m.n2++
	}
	m.retryTokens = math.Min(maxRetryTokens, m.retryTokens+retriesPerArrival)
	if !m.HasUsableServers() {
		m.finish(r, ByList)
		return
	}
	m.noticeUsable()
	if s := m.dueTrial(r); !r.handedOff && m.send(r, s, m.trialTimeout(c)) {
		s.trialWait = min(2*s.trialWait, m.longestTrialWait())
		r.trial, s.trialAt = true, m.now+m.jitter(s.trialWait)
		m.placeInPool(s)
		return
	}
	if r.handedOff && m.nodeMode != Normal ||
		m.nodeDropFraction > 0 && m.random() < r.dropProbability(ShedSplit(m.nodeDropFraction, m.n1, m.n2)) {
		m.finish(r, ByNode)
		return
	}
	s, mode := m.pick(r)
	if r.handedOff && !m.mayTakeHandOff(s, mode) {
		s, mode = nil, Blocking
	}
	// A server between H and R may have more requests than it can serve soon, or traffic has just risen.
	// The delay shows which of the two it is, so nothing is shed while the delay is low.
	if mode == Overloaded && !m.lightlyLoaded(s) && m.random() < r.dropProbability(m.q1, m.q2) {
		s = nil
	}
	if !m.send(r, s, r.deadline) {
		if !r.handedOff {
			m.overloadedAt = m.now
			m.notifyOverload()
		}
		m.finish(r, ByServers)
	}
}

// mayTakeHandOff tells whether a request that another site hands off may go to a server: none of this
// site's own requests has been refused within ocValidity, and the server is below L. So it displaces no
// request of this site.
func (m *Module) mayTakeHandOff(s *serverRecord, mode Mode) bool {
	if mode != Normal || m.overloadedLately() {
		return false
	}
	return m.headroomOf(s) > 0
}

// headroomOf is how many more requests a server may have and stay below L. It is positive also on an idle
// node that knows nothing of its servers yet: as many requests as harm no server, however slow it is.
func (m *Module) headroomOf(s *serverRecord) float64 {
	n, h := m.loadAndHigh(s)
	least := minWindow / float64(m.settings.Nodes)
	return math.Max(0, math.Max(lowFraction*h, least)-math.Max(n, s.n))
}

// overloadedLately tells whether, within ocValidity, this node has refused a request of its own site
// because of its servers, or another node of the site has sent a notice that it did.
func (m *Module) overloadedLately() bool {
	at := max(m.overloadedAt, m.peerOverloadedAt)
	return at > 0 && m.now-at < ocValidity
}

// notifyOverload sends an overload notice to the other nodes of the site. If all clients use this node,
// another node refuses nobody, and would send handed-off requests to the servers that this node needs. A
// lost notice is made up for by the one after the next refusal; a forged one does no more than keep
// handed-off requests out.
func (m *Module) notifyOverload() {
	if m.settings.NotifyOverload && m.settings.MayMessage && m.now-m.overloadNotifiedAt >= overloadNoticeInterval {
		m.overloadNotifiedAt = m.now
		m.emit(SendMessage{ToAll: true, Data: []byte(overloadNotice)})
	}
}

// Headroom is how many more requests this node may have at its servers while each stays in Normal mode and
// below L: the number that other sites may hand off to it. Of many servers it examines a sample.
func (m *Module) Headroom(now Time) float64 {
	if m.now = max(m.now, now); m.nodeMode != Normal || m.overloadedLately() || len(m.subset) == 0 {
		return 0
	}
	looks := min(len(m.subset), maxHeadroomSample)
	spare, start := 0.0, m.sweepCursor
	for i := range looks {
		s := m.subset[(start+i)%len(m.subset)]
		if s.ejected || s.cold || m.modeOf(s) != Normal {
			continue
		}
		spare += m.headroomOf(s)
	}
	return spare * float64(len(m.subset)) / float64(looks)
}

// dropProbability is q1 for a priority request and q2 for another one.
func (r *requestRecord) dropProbability(q1, q2 float64) float64 {
	if r.priority {
		return q1
	}
	return q2
}

// pick chooses a server for a request: of two random servers in Normal mode, or in Overloaded mode if there
// are none in Normal, the one with the lower expected delay. It returns the mode that it chose from, and
// nil and Blocking if there is no server.
func (m *Module) pick(r *requestRecord) (*serverRecord, Mode) {
	m.placeDue()
	mode := Normal
	for range maxDraws {
		a, b := m.drawTwo(m.pools[mode].servers, r)
		if a == nil {
			if mode++; mode == Blocking {
				return nil, Blocking
			}
			continue
		}
		// Their modes may have changed since they were put into the pool.
		m.placeInPool(a)
		m.placeInPool(b)
		switch p := &m.pools[mode]; {
		case a.pools[byMode] == p && b.pools[byMode] == p:
			return m.faster(a, b), mode
		case a.pools[byMode] == &m.pools[Normal] || b.pools[byMode] == &m.pools[Normal]:
			mode = Normal
		}
	}
	a, b := m.drawTwo(m.pools[Overloaded].servers, r) // modes change faster than servers are drawn: use what there is
	if a == nil {
		return nil, Blocking
	}
	return m.faster(a, b), Overloaded
}

// faster returns the server with the lower expected delay: by all nodes' requests and the servers' sizes
// where these are known, else by this node's own requests and the servers' latencies.
func (m *Module) faster(a, b *serverRecord) *serverRecord {
	if m.judgedByCounts(a) && m.judgedByCounts(b) {
		if m.speedOf(b)*(a.n+m.othersAt(a)+1) > m.speedOf(a)*(b.n+m.othersAt(b)+1) {
			return b
		}
		return a
	}
	if (b.n+1)*m.latencyOf(b) < (a.n+1)*m.latencyOf(a) {
		return b
	}
	return a
}

// drawTwo returns two random servers of a list for a request: nil if there is none, twice the same if there
// is only one. A first attempt may go to any server. For a retry the list is filtered by maySend; of a long
// list a sample is enough, as maySend excludes few servers.
func (m *Module) drawTwo(list []*serverRecord, r *requestRecord) (a, b *serverRecord) {
	if len(r.attempts) > 0 {
		list = m.filter(list, func(s *serverRecord) bool { return m.maySend(r, s) })
	}
	if len(list) == 0 {
		return nil, nil
	}
	i := int(m.random() * float64(len(list)))
	return list[i], list[(i+1+int(m.random()*float64(len(list)-1)))%len(list)]
}

// filter returns the servers of a list that pass, of a long list those of a random sample of maxScanned.
// The result is valid until the next call.
func (m *Module) filter(list []*serverRecord, pass func(*serverRecord) bool) []*serverRecord {
	m.candidates = m.candidates[:0]
	start := 0
	if len(list) > maxScanned {
		start = int(m.random() * float64(len(list)))
	}
	for i := range min(len(list), maxScanned) {
		if s := list[(start+i)%len(list)]; pass(s) {
			m.candidates = append(m.candidates, s)
		}
	}
	return m.candidates
}

// pickKeyed is pick for a retry of a keyed request: once an attempt may have run, only the same cell or
// zone drops the repeat. Servers of the subset come first, then the others of that group.
func (m *Module) pickKeyed(r *requestRecord) (*serverRecord, Mode) {
	list := []*serverRecord(m.ring)
	for i := range r.attempts {
		p := (*pool)(nil)
		if a := &r.attempts[i]; a.mayRun && r.class.KeyScope == ScopeCell {
			p = m.cells[a.server.Cell]
		} else if a.mayRun && r.class.KeyScope == ScopeZone {
			p = m.zones[a.server.Zone]
		} else {
			continue
		}
		if p == nil {
			return nil, Blocking
		}
		list = p.servers
	}
	for _, near := range []bool{true, false} {
		for mode := Normal; mode < Blocking; mode++ {
			a, b := m.drawTwo(m.filter(list, func(s *serverRecord) bool {
				return (s.inSubset || !near) && !s.ejected && m.maySend(r, s) && !m.coldBudgetSpent(s) && m.modeOf(s) == mode
			}), r)
			if a != nil {
				return m.faster(a, b), mode
			}
		}
	}
	return nil, Blocking
}

// attemptEnded handles the outcome of an attempt: it updates the server, and retries the request or ends it.
func (m *Module) attemptEnded(e AttemptEnded) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayRun = true, e.Code != Full && e.Code != ConnectFailed && e.Code != Moot
	r.outstanding--
	r.bodyConsumed = r.bodyConsumed || e.BodyConsumed
	m.unload(a)
	m.forgetRemoved(a.server)
	m.applyReport(a.server, e.Report)
	m.applyOutcome(a.server, r, e)
	m.placeInPool(a.server)
	switch {
	case r.done && r.outstanding == 0:
		delete(m.requests, r.id)
	case e.RequestDone && !r.done:
		m.closeRequest(r)
	case !r.done && r.outstanding == 0:
		m.retry(r, a.mayRun)
	}
}

// retry makes another attempt of a request if the rules, the retry budget and the servers allow it; else it
// ends the request. costly says that the last attempt may have run, so that the retry takes a token of the
// budget.
func (m *Module) retry(r *requestRecord, costly bool) {
	worthless := r.class.LateWorth == 0 && r.class.Aim > 0 && m.now-r.arrived >= r.class.Aim
	if !worthless && (m.retryTokens >= 1 || !costly) {
		s, mode := (*serverRecord)(nil), Blocking
		if m.mayRefuse(r) {
			s, mode = m.pick(r)
		} else if r.class.Effect == Keyed {
			s, mode = m.pickKeyed(r) // possibly a server outside the subset
		}
		if (mode == Normal || r.priority) && m.send(r, s, r.deadline) {
			if costly {
				m.retryTokens--
			}
			return
		}
	}
	m.finish(r, ByServers)
}

// minUnresponsiveSeconds is the shortest time without answers after which a server may be ejected as
// unresponsive, 0 until a class with an aim has been answered. Where answers take a millisecond, a few of
// them missing are only a pause, as long as the pause is short beside the delay that the aims allow.
func (m *Module) minUnresponsiveSeconds() float64 {
	if math.IsInf(m.aimedMean, 1) {
		return 0
	}
	return lightLoadFraction * m.allowedDelay()
}

// ticksPerSweep is the number of ticks in which the sweep examines every server of the subset once.
func (m *Module) ticksPerSweep() float64 {
	return math.Max(1, math.Ceil(float64(len(m.subset))/float64(m.sweepStride())))
}

// sweepStride is the number of servers that the sweep examines in a tick.
func (m *Module) sweepStride() int {
	return min(max(minSweepPerTick, len(m.subset)/sweepRoundTicks), maxSweepPerTick)
}

// continueSweep adds the next servers of the subset to sweepTotals. It tells whether the sweep is complete.
func (m *Module) continueSweep() bool {
	for range min(m.sweepStride(), len(m.subset)) {
		if m.sweepCursor >= len(m.subset) {
			break
		}
		s := m.subset[m.sweepCursor]
		m.sweepCursor++
		if !s.inSubset {
			continue
		}
		if w := &m.sweepTotals; !s.ejected && !s.cold {
			w.rate, w.count = w.rate+m.rateOf(s), w.count+1
		}
		if s.reportedLoad > 0 && m.now-s.reportedAt < 2*ocValidity {
			m.sweepTotals.own, m.sweepTotals.all = m.sweepTotals.own+s.n, m.sweepTotals.all+s.reportedLoad
		}
	}
	if m.sweepCursor < len(m.subset) {
		return false
	}
	m.sweepCursor = 0
	return true
}

// tick runs the periodic checks. Changes that come with time alone and with no event of a server, such as
// missing answers, are noticed here.
func (m *Module) tick() {
	if m.sweepCursor > len(m.subset) {
		m.sweepCursor = 0
	}
	from := m.sweepCursor
	complete := m.continueSweep()
	m.survey(complete)
	m.estimateOthers()
	m.placeDue()
	for _, s := range m.subset[from:min(len(m.subset), from+m.sweepStride())] {
		if !s.inSubset {
			continue
		}
		// Unresponsive: several sends and no answer at all, for several times the expected latency.
		if s.unanswered >= ejectThreshold && m.mean > 0 && (m.now-s.unansweredSince).Seconds() >
			math.Max(m.minUnresponsiveSeconds(), unresponsiveFactor*math.Max(m.mean, m.latencyOf(s))) {
			m.eject(s, "no answer to its last requests")
		}
		if s.ejected {
			continue
		}
		m.placeInPool(s)
		if m.modeChecks++; m.modeOf(s) != Normal {
			n, h := m.loadAndHigh(s)
			_, block := m.lowAndBlock(s, h)
			m.overloadSum += math.Min(1, math.Max(0, (n-h)/(block-h)))
		}
	}
	open := m.openRequests[:0]
	for _, r := range m.openRequests {
		if !r.done && !r.started && !(r.uploading && r.outstanding > 0) && m.now >= r.deadline {
			m.finish(r, ByServers) // in case the outcome of an attempt never comes
		}
		if !r.done {
			open = append(open, r)
		}
	}
	clear(m.openRequests[len(open):])
	m.openRequests = open
	if m.now-m.periodAt >= recomputeInterval {
		m.recompute()
	}
	m.requestList()
	m.placeByListAge()
	m.queryPeers()
	m.probeServer()
	m.sendCounts()
}

// applyList applies an update of the server list, or the failure of a list request or watch. It updates
// only the servers that changed, then the ring, the subset and the pools.
func (m *Module) applyList(e ListUpdate) {
	switch e.Kind {
	case ListFailed:
		m.listRequestFailed(e)
		m.placeByListAge()
		return
	case ListStalled:
		m.listAge.watchStalls(m.now, m.listLifetime(), stalledWatchTime)
		return
	case ListChanges, ListFull:
		m.listAge.confirm(m.now)
	}
	if e.Kind != ListCached && m.listRequested {
		m.subscribed, m.listRequested, m.subscribedAt = true, false, m.now
		m.resetBackoffs()
	}
	m.placeByListAge()
	if e.Kind != ListChanges {
		m.listCount++
	}
	m.changedServers = m.changedServers[:0]
	named := 0
	for _, n := range e.Entries {
		s := m.serverOf(n.ID)
		if s.seenIn != m.listCount {
			s.seenIn, named = m.listCount, named+1
		}
		if s.Server == n {
			continue // an entry that has not changed has no effect
		}
		if n.State == Ready && n.StartedAt > s.StartedAt { // a restart: what was learned of the old process is void
			s.ejected, s.connectFailed, s.consecutiveFailures, s.unanswered, s.imposedUntil = false, false, 0, 0, m.now
			m.startCold(s, m.coldStartTime(n.StartedAt, e.Age))
		}
		m.applyEntry(s, n)
	}
	if e.Kind != ListChanges && named < len(m.known) {
		for _, s := range m.known {
			if s.seenIn != m.listCount {
				gone := s.Server
				gone.State = Removed
				m.applyEntry(s, gone)
			}
		}
	}
	var left, come []*serverRecord
	for _, s := range m.changedServers {
		s.changed = false
		switch {
		case s.wasInRing && !s.inRing:
			left = append(left, s)
		case s.inRing && !s.wasInRing:
			come = append(come, s)
		}
	}
	if len(m.changedServers) == 0 {
		return
	}
	m.ring, m.subsetStale = m.ring.update(left, come), true
	for _, s := range left {
		m.removeTag(s)
	}
	for _, s := range come {
		m.tags[s.tag()] = append(m.tags[s.tag()], s)
	}
	if m.subsetIsRing {
		m.subset = m.ring // the ring may have a new array
	}
	switch {
	case m.subsetIsRing && len(m.ring) <= int(m.subsetSize):
		m.subsetStale = false
		for _, s := range m.changedServers {
			if s.inSubset = s.inRing; s.inSubset {
				m.placeInPool(s)
			}
		}
	case len(m.subset) <= maxImmediateSubset:
		m.chooseSubset()
	} // a larger subset is chosen anew by the next recompute; removed servers have left the pools already
	clear(m.changedServers)
}

// applyEntry applies an entry of the list to a server.
func (m *Module) applyEntry(s *serverRecord, n Server) {
	if !s.changed {
		s.changed, s.wasInRing = true, s.inRing
		m.changedServers = append(m.changedServers, s)
	}
	if s.inRing && (s.Cell != n.Cell || s.Zone != n.Zone || n.State != Ready) {
		removeFromGroup(m.cells, s.Cell, s, byCell)
		removeFromGroup(m.zones, s.Zone, s, byZone)
	}
	s.Server = n
	if n.State == Ready && !s.inRing {
		s.readySince = m.now
	}
	if s.inRing = n.State == Ready; s.inRing {
		poolFor(m.cells, n.Cell, byCell).add(s)
		poolFor(m.zones, n.Zone, byZone).add(s)
	} else {
		s.inSubset = false
	}
	m.placeInPool(s)
	m.forgetRemoved(s)
}
