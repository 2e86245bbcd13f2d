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
	// The same on low-traffic nodes, whose delays are means over the whole subset.
	lowTrafficAimFraction = 0.6
	// Queue limit of a low-traffic node, in requests ahead of its own: too short to slow servers down.
	lowTrafficQueue = 2.0
	// Queue limit as a multiple of the uncongested latency. Some servers slow down when queues are long.
	queueLatencyFactor = 1.8
	// Queue limit as a part of the delay that the aims allow. The larger of this and queueLatencyFactor holds.
	looseAimFraction = 0.6
	// The same on low-traffic nodes. The larger of this and lowTrafficQueue holds.
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
	shortRateTau        = 0.1 // time constant of the short-term rate, in seconds, used where answers are many
	shortRateDeviations = 3.0 // standard deviations of chance that are taken off the short-term rate
	latencyDriftTau     = 3.0 // time constant of the drift of latencies to the fleet's mean, in seconds
	// Time constant for forgetting peak rates and uncongested latencies, in seconds: longer than an overload.
	baselineTau = 600.0
	// Time constant of the mean latency, in seconds, where answers are many: the mean must not follow each
	// change of the mix of classes.
	meanTau = 0.25
	// A class is expensive beyond this multiple of the mean request's cost. The fleet's mean says little of its
	// latency; if it was answered within expensiveLatencyValidity, its own smoothed latency is used.
	expensiveCost            = 4.0
	expensiveLatencyValidity = time.Second
	minRelativeCost          = 0.25 // lowest cost by which latencies are scaled; see asMeanRequest
	latencyGain              = 0.1  // weight of a new latency in a server's smoothed one
	fleetGain                = 0.02 // weight of a new value in means over all servers, where samples are many
	// Upper bound of a latency as a multiple of the smoothed one: one heavy request does not make a server slow.
	latencyCapFactor = 4.0

	// Failures in a row, or sends without any answer, after which a server is ejected. Fewer happen by chance.
	ejectThreshold = 3
	// A server is unresponsive if there is no answer for this multiple of the expected latency.
	unresponsiveFactor = 4.0
	firstTrialWait     = 500 * time.Millisecond // mean wait before an ejected server's first trial; it doubles
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
	arrivalTau         = 10.0 // time constant of the arrival rate, in seconds: keeps the subset size steady
	// A server is lightly loaded below this part of the delay that the aims allow.
	lightLoadFraction = 0.24
	// With each answer of a lightly loaded server, its proven load grows by provenLoadStep requests, up to
	// maxProvenLoadGrowth times the number of requests that it has.
	provenLoadStep      = 1.0
	maxProvenLoadGrowth = 1.6
	// Time constant of the node's own delay, in seconds; without answers it decays with the same one.
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
func (m *Module) Handle(now Time, event Event) []Action {
	m.now, m.actions = now, m.actions[:0]
	timer := SetTimer{After: max(tickInterval, m.settings.MinTick)} // the only timer in use
	if !m.ticking {
		m.ticking, m.periodAt = true, now
		m.resetBackoffs()
		m.startAt, m.subsetSize = now, minSubsetSize
		m.nextListRequestAt = now + m.firstRequestDelay()
		m.emit(timer)
	}
	switch event := event.(type) {
	case RequestArrived:
		m.requestArrived(event)
	case ListUpdate:
		m.applyList(event)
	case AttemptEnded:
		m.attemptEnded(event)
	case BodyEnded:
		m.bodyEnded(event)
	case OvertimeStarted:
		m.overtimeStarted(event)
	case StreamStarted:
		m.streamStarted(event)
	case RequestAbandoned:
		if request := m.requests[event.ID]; request != nil && !request.done {
			m.closeRequest(request)
		}
	case Shutdown:
		for _, request := range m.openRequests {
			if !request.done && !request.started {
				m.finish(request, ByNode)
			}
		}
	case MessageReceived:
		m.messageReceived(event)
	case ProbeEnded:
		m.probeEnded(event)
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
	if totals := m.sweepTotals; complete {
		if totals.all > 0 {
			m.share += (totals.own/totals.all - m.share) *
				math.Min(1, tickInterval.Seconds()*m.ticksPerSweep()/rateTau)
		}
		if totals.count > 0 { // while no server is warm, the last rates of warm servers stay
			m.fleetRate, m.evenRate = totals.rate/totals.count, totals.rate/float64(len(m.subset))
			m.learned = totals.rate > 0 && m.answers >= 2*float64(len(m.subset))
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
	baseSum, expectedSum := 0.0, 0.0
	for _, class := range m.classList {
		expected := m.mean * class.relativeCost
		if class.relativeCost > expensiveCost && m.now-class.answeredAt < expensiveLatencyValidity {
			expected = math.Min(expected, class.latency)
		}
		if class.baseLatency *= grow; class.count >= 1/fleetGain &&
			(class.baseLatency == 0 || class.latency < class.baseLatency*(1-meanNoise)) {
			class.baseLatency = class.latency / (1 - meanNoise)
		}
		if class.baseLatency > 0 {
			baseSum, expectedSum = baseSum+class.baseLatency, expectedSum+expected
			m.baseMean = m.mean * baseSum / expectedSum
		}
		if class.count > 0 && class.Aim > 0 {
			m.aimedMean = math.Min(m.aimedMean, m.mean*aimFraction*class.Aim.Seconds()/expected)
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
func (m *Module) highThreshold(server *serverRecord) float64 {
	if !m.learned {
		return 2 * minWindow / float64(m.settings.Nodes)
	}
	rate := (1-fleetWeight)*m.rateOf(server) + fleetWeight*m.fleetRate*math.Min(1, m.mean/m.latencyOf(server))
	delay := math.Min(math.Max(queueLatencyFactor*m.baseMean, looseAimFraction*m.allowedDelay()), m.aimedMean)
	if m.latencyOf(server) <= delay {
		rate = math.Max(rate, m.shortTermRate(server))
	}
	high := rate * math.Max(m.baseMean*m.peakRate/m.fleetRate, delay*math.Min(3, delay/m.mean))
	return math.Max(math.Max(high, minWindow/float64(m.settings.Nodes)),
		server.provenLoad*decay(m.now-server.provenLoadAt, rateTau))
}

// shortTermRate is a server's rate of answers over shortRateTau, in answers per second, less the part that
// chance may have added. The smoothed rate takes seconds to follow a rise; in that time, a server whose
// answers meet the aims must not count as overloaded. For a server with ten answers a second the time is
// too short to show anything, and the result is 0.
func (m *Module) shortTermRate(s *serverRecord) float64 {
	answers := s.recentAnswers * decay(m.now-s.rateAt, shortRateTau)
	// In a Poisson process, the variance of this number is half of it.
	return math.Max(0, answers-shortRateDeviations*math.Sqrt(answers/2)) / shortRateTau
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
func (m *Module) updateProvenLoad(server *serverRecord) {
	load := server.provenLoad * decay(m.now-server.provenLoadAt, rateTau)
	if m.lightlyLoaded(server) {
		load = math.Max(load, math.Min(math.Max(load, server.n)+provenLoadStep, maxProvenLoadGrowth*(server.n+1)))
	} else if m.latencyOf(server) > lightLoadFraction*m.allowedDelay() {
		load /= 2
	}
	server.provenLoad, server.provenLoadAt = load, m.now
}

// loadAndHigh returns n and H of a server for the hysteresis. H is rounded up or down at random, which
// keeps its mean over the nodes. A low-traffic node sends a server less than one request per ocValidity, so
// its own count shows nothing. There n is the load that all nodes report, waiting requests per slot, where
// it is known; else the number of requests that the server reports; else an estimate of the requests ahead
// of the node's own: the server's latency in units of the uncongested one, less 1. Reports and estimates
// lapse.
func (m *Module) loadAndHigh(server *serverRecord) (n, h float64) {
	if !m.lowTraffic() {
		n = server.n
		if nodeDelay := m.nodeDelay(); nodeDelay > 0 {
			n *= m.mean / (m.mean + nodeDelay) // by Little's law the rest waits in this node, not at the server
		}
		return n, math.Floor(m.highThreshold(server) + m.dither(server))
	}
	if m.judgedByCounts(server) {
		return m.waitingPerSlot(server), 1 + lowQueue + (highQueue-lowQueue)*m.dither(server)
	}
	if m.leastMean == 0 || m.aimedMean == 0 {
		return server.n, 1
	}
	aimed := m.aimedMean * lowTrafficAimFraction / aimFraction
	unit := math.Min(m.leastMean, aimed) // leastMean is too high on a node that starts during an overload
	latency := m.recentMean + server.excess*decay(m.now-server.latencyAt, latencyDriftTau)
	if n = (latency/unit - 1) * decay(m.now-m.answeredAt, latencyDriftTau); server.reportedLoad > 0 {
		n = server.reportedLoad * decay(m.now-server.reportedAt, latencyDriftTau)
	}
	if server.unanswered > 0 && server.n > 0 { // the latency is at least the age of the oldest unanswered send
		n = math.Max(n, (m.now-server.unansweredSince).Seconds()/unit-1)
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
func (m *Module) modeOf(server *serverRecord) Mode {
	n, h := m.loadAndHigh(server)
	low, block := m.lowAndBlock(server, h)
	for range 2 { // from Blocking to Normal takes two steps
		server.mode = NextMode(server.mode, n, low, h, block)
	}
	if m.now < server.imposedUntil && server.imposed > server.mode {
		return server.imposed
	}
	return server.mode
}

// fullValidity is how long a full answer blocks its server: ocValidity, or fullValidityFactor times the mean
// latency if that is less. By then, the server has finished the requests that filled it.
func (m *Module) fullValidity() time.Duration {
	if m.mean == 0 {
		return ocValidity
	}
	return min(ocValidity, time.Duration(fullValidityFactor*m.mean*float64(time.Second)))
}

// imposeMode imposes a mode on a server for ocValidity.
func (m *Module) imposeMode(s *serverRecord, mode Mode) {
	s.imposed, s.imposedUntil = mode, m.now+ocValidity
}

// applyReport imposes a mode on a server by the server's own load report, until the mode lapses. Reports
// are late and count the requests of every node, so this node's thresholds are scaled up by its share of
// all requests that the servers report.
func (m *Module) applyReport(server *serverRecord, report *Report) {
	if report == nil || !report.HasInFlight || !(report.InFlight >= 0) { // NaN fails this test, too
		return
	}
	// The number is bounded, as a huge one would block the server for too long.
	server.reportedLoad, server.reportedAt = math.Min(report.InFlight, maxReportedRequests), m.now
	if m.lowTraffic() {
		return
	}
	high := reportThresholdFactor * m.highThreshold(server) / math.Max(m.share, 1e-9)
	server.reportedMode =
		NextMode(server.reportedMode, server.reportedLoad, lowFraction*high, high, blockFactor*high+1)
	// A report never imposes Blocking: reports are late, and with Blocking all nodes would stop sending at once,
	// and the servers would be idle.
	m.imposeMode(server, min(server.reportedMode, Overloaded))
}

// recompute renews the drop probabilities q1 and q2. They apply only while no server is in Normal mode.
// Then all requests without priority are shed first, and the more of the priority ones, the closer the
// servers are to R.
func (m *Module) recompute() {
	q := 0.0
	if arrivals := m.n1 + m.n2; arrivals > 0 {
		q = (m.n2 + m.n1*m.overloadSum/math.Max(1, m.modeChecks)) / arrivals
		if m.sharesLoad() {
			m.updateShed()
			q = math.Min(q, m.totalShed*m.n2/arrivals)
		}
	}
	m.q1, m.q2 = ShedSplit(q, m.n1, m.n2)
	m.recomputeNodeMode()
	m.n1, m.n2, m.overloadSum, m.modeChecks, m.periodAt =
		arrivalCarryOver*m.n1, arrivalCarryOver*m.n2, 0, 0, m.now
	m.period++
	m.chooseSubset()
}

// recomputeNodeMode applies the same hysteresis to the node itself, with its own part of the delay, in
// milliseconds, in place of n. H is the delay that the tightest aim allows in all. The drop fraction grows
// from L to R, so that a node that lacks CPU sheds no more than it must, and not all requests of low worth.
func (m *Module) recomputeNodeMode() {
	high, delay, previous := math.Inf(1), 1e3*m.nodeDelay(), m.nodeMode // ms, in place of requests
	for _, class := range m.classList {
		if class.count > 0 && class.Aim > 0 {
			high = math.Min(high, 1e3*aimFraction*class.Aim.Seconds())
		}
	}
	m.nodeMode, m.nodeDropFraction = NextMode(previous, delay, lowFraction*high, high, blockFactor*high), 0
	if m.nodeMode != Normal {
		m.nodeDropFraction = math.Min(1, math.Max(0, (delay-lowFraction*high)/((blockFactor-lowFraction)*high)))
	}
	if previous != m.nodeMode && m.mayLog() {
		m.emit(Log{fmt.Sprintf("this node is %s: it adds %.0f ms to the latency, %.0f ms allowed",
			[]string{"well", "short of CPU", "far short of CPU"}[m.nodeMode], delay, high)})
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
	warmUp := 1 - decay(m.now-m.startAt+tickInterval, arrivalTau)
	m.arrivalRate = m.arrivals * decay(m.now-m.arrivedAt, arrivalTau) / warmUp
	wanted := subsetSendInterval * m.arrivalRate
	if m.sharesLoad() {
		wanted = sharedSendInterval * m.arrivalRate
	}
	previousSize := min(len(m.ring), int(m.subsetSize))
	if wanted > m.subsetSize || wanted < m.subsetSize/2 {
		m.subsetSize = math.Max(wanted, minSubsetSize) // small changes are skipped: a new server costs a connection
	}
	size := min(len(m.ring), int(m.subsetSize))
	if size > 0 { // the same answers now come from a different number of servers
		m.peakRate *= float64(previousSize) / float64(size)
	}
	if !m.subsetStale && size == len(m.subset) {
		return
	}
	start := gossip.Start(m.settings.Self, len(m.ring))
	m.subsetChoices++
	previous := m.subset
	next := make([]*serverRecord, 0, size)
	for i := range size {
		server := m.ring[(start+i)%len(m.ring)]
		server.chosenIn = m.subsetChoices
		next = append(next, server)
	}
	for _, server := range previous {
		if server.inSubset && server.chosenIn != m.subsetChoices {
			server.inSubset = false
			m.placeInPool(server)
		}
	}
	if m.subsetIsRing = size == len(m.ring); m.subsetIsRing {
		next = m.ring
	}
	m.subset, m.subsetStale = next, false
	for _, server := range m.subset {
		if !server.inSubset {
			server.inSubset = true
			m.placeInPool(server)
		}
	}
}

// placeInPool puts a server into the pool of its mode, where pick finds it. An ejected server is queued for
// its next trial request instead, and a cold one whose budget is spent for its next token. A server outside
// the subset, or one that may not be used at the list's age, is removed from both. A server with an imposed
// mode is in its pool and also queued for the end of that mode.
func (m *Module) placeInPool(server *serverRecord) {
	switch {
	case !server.inSubset, !m.serverUsable(server):
		removeFromPool(server, byMode)
		unschedule(server)
	case server.ejected:
		removeFromPool(server, byMode)
		m.trials.schedule(server, server.trialAt)
	case m.coldBudgetSpent(server):
		removeFromPool(server, byMode)
		wait := time.Duration((1 - server.tokens) / math.Max(m.coldSendRate(server), 1e-9) * float64(time.Second))
		m.wakeups.schedule(server, m.now+min(max(wait, time.Millisecond), ocValidity))
	default:
		m.pools[m.modeOf(server)].add(server)
		if m.now < server.imposedUntil {
			m.wakeups.schedule(server, server.imposedUntil)
		} else {
			unschedule(server)
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

// learn updates the smoothed latencies with an answer of a server to a request of a class. nodeTime is the
// part of the latency that passed in this node. At first the means are plain averages, not exponential ones,
// as the first answers are those of the shortest requests.
func (m *Module) learn(server *serverRecord, class *classRecord, latency, nodeTime time.Duration) {
	nodeTime = min(max(0, nodeTime), latency)
	gain := 1 - decay(m.now-m.nodeDelayAt, nodeDelayTau)
	m.smoothedNodeDelay, m.nodeDelayAt =
		m.smoothedNodeDelay+math.Max(gain, fleetGain/10)*(nodeTime.Seconds()-m.smoothedNodeDelay), m.now
	latency -= nodeTime
	seconds := math.Max(latency.Seconds(), 1e-6)
	if m.answers++; m.answers == 1 {
		m.firstAnswerAt = m.now
	}
	class.count++
	m.mean += math.Max(m.meanGain(m.now-m.answeredAt), 1/m.answers) * (seconds - m.mean)
	m.recentMean += math.Max(1-decay(m.now-m.answeredAt, subsetSendInterval), 1/m.answers) *
		(m.asMeanRequest(class, seconds) - m.recentMean)
	m.answeredAt = m.now
	gain = math.Max(m.meanGain(m.now-class.answeredAt), 1/class.count)
	class.latency, class.answeredAt = class.latency+gain*(seconds-class.latency), m.now
	class.fleetLatency += gain * (m.mean - class.fleetLatency)
	// With m.mean in place of fleetLatency, a rare class would keep its latency of a past overload.
	class.relativeCost = class.latency / class.fleetLatency
	m.updateServerLatency(server, class, latency)
}

// meanGain is the weight of an answer in the means over all servers; since is the time since the last
// answer. In the first second after the first answer it is larger, as the first answers are those of the
// shortest requests.
func (m *Module) meanGain(since time.Duration) float64 {
	tau := math.Min(meanTau, math.Max(meanTau/10, (m.now-m.firstAnswerAt).Seconds()/4))
	return math.Min(fleetGain, 1-decay(since, tau))
}

// asMeanRequest converts a latency of a class, in seconds, to that of a mean request: it divides by the
// class's relative cost. For a class that costs far less than the mean request, only the difference from its
// expected latency is scaled, by 1/minRelativeCost: else a pause of a millisecond would make a server look
// ten times slower.
func (m *Module) asMeanRequest(class *classRecord, seconds float64) float64 {
	if class.relativeCost >= minRelativeCost {
		return seconds / class.relativeCost
	}
	return math.Max(0, m.mean+(seconds-class.relativeCost*m.mean)/minRelativeCost)
}

// updateServerLatency adds a latency to a server's smoothed one. It is capped at a multiple of that, as a
// very slow answer is more likely that of a heavy request than of a slow server.
func (m *Module) updateServerLatency(server *serverRecord, class *classRecord, latency time.Duration) {
	smoothed := m.latencyOf(server)
	gain := math.Max(latencyGain, 1-decay(m.now-server.latencyAt, latencyDriftTau)) // rare answers weigh more
	server.lastLatency = m.asMeanRequest(class, latency.Seconds())
	smoothed += gain * (math.Min(server.lastLatency, latencyCapFactor*math.Max(smoothed, m.mean)) - smoothed)
	server.excess, server.latencyAt = smoothed-m.mean, m.now
}

// applyOutcome updates what is known of a server with the outcome of an attempt. A failure also counts as a
// slow answer, as a server that fails fast must not attract requests. An ejected server that answers is
// readmitted. If it answers a trial request, and a connection to it failed since its last answer, it may
// have restarted, and begins with a slow start. Else it is the old process, which was unresponsive or
// failing until now.
func (m *Module) applyOutcome(server *serverRecord, request *requestRecord, outcome AttemptEnded) {
	switch outcome.Code {
	case Cancelled, Moot:
	case Full:
		// The block grows with each full answer in a row: many nodes that each came back after one ocValidity would
		// keep the server overloaded. Attempts sent before the last counted full answer don't count again.
		server.unanswered = 0
		if m.now-outcome.Elapsed >= server.fullAt {
			blockTime := m.fullValidity()
			m.imposeMode(server, Blocking)
			server.imposedUntil += blockTime - ocValidity + m.jitter(server.fullBackoff)
			server.fullAt, server.fullBackoff = m.now, min(max(2*server.fullBackoff, blockTime), maxTrialWait)
		}
	case OK:
		server.recentAnswers = server.recentAnswers*decay(m.now-server.rateAt, shortRateTau) + 1
		server.rate, server.rateAt, server.unanswered =
			server.rate*decay(m.now-server.rateAt, rateTau)+1/rateTau, m.now, 0
		server.fullBackoff = 0
		if !request.started {
			m.learn(server, request.class, outcome.Elapsed, outcome.NodeTime)
			m.updateProvenLoad(server)
		}
		if server.consecutiveFailures = 0; server.ejected {
			server.ejected = false
			if request.trial && server.connectFailed {
				m.startCold(server, m.now)
			}
			m.logServer(server, fmt.Sprintf("answers again and is readmitted; slow start: %v", server.cold))
		}
		server.connectFailed = false
	default:
		server.connectFailed = server.connectFailed || outcome.Code == ConnectFailed
		// A trial that fails fast costs its request little, so the next one may come soon.
		if server.ejected && request.trial && outcome.Elapsed.Seconds() < m.mean {
			server.trialWait = min(server.trialWait, maxQuickTrialWait)
			server.trialAt = min(server.trialAt, m.now+m.jitter(server.trialWait))
		}
		m.updateServerLatency(server, request.class, max(outcome.Elapsed, request.class.Aim))
		if server.consecutiveFailures++; server.consecutiveFailures >= ejectThreshold {
			m.eject(server, fmt.Sprintf("failures in a row, the last with outcome code %d", outcome.Code))
		}
	}
}

// eject stops normal traffic to a server. From then on it gets trial requests only, until it answers one.
func (m *Module) eject(s *serverRecord, reason string) {
	if !s.ejected {
		s.ejected, s.trialWait, s.trialAt = true, firstTrialWait, m.now+m.jitter(firstTrialWait)
		m.placeInPool(s)
		m.logServer(s, fmt.Sprintf("ejected: %s; it gets trial requests only", reason))
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
func (m *Module) trialTimeout(class *classRecord) time.Duration {
	expected := m.mean * class.relativeCost
	idleLatency := expected
	if class.baseLatency > 0 {
		idleLatency = math.Min(idleLatency, class.baseLatency)
	}
	limit := math.Max(trialAimFraction*class.Aim.Seconds(), trialBaseFactor*idleLatency)
	wait := math.Max(m.settings.ConnectTimeout.Seconds(), unresponsiveFactor*expected)
	return time.Duration(math.Min(wait, limit) * float64(time.Second))
}

// longestTrialWait is the longest mean time between two trial requests to an ejected server. It is shorter,
// the more servers are ejected: that many rarely fail for reasons of their own, and few others are left to
// serve. It grows with the number of nodes, so that all nodes' trials together stay few: a server that is
// overloaded with requests whose clients have given up needs its capacity to work through them.
func (m *Module) longestTrialWait() time.Duration {
	healthyPart := 1 - float64(len(m.trials.servers))/float64(max(1, len(m.subset)))
	fleetWait := time.Duration(float64(m.settings.Nodes) / coldStartRate * float64(time.Second))
	return min(max(fleetWait, time.Duration(healthyPart*float64(maxTrialWait))), maxTrialWait)
}

// maySend holds every rule on whether a request may be sent to a server. No send bypasses it.
func (m *Module) maySend(request *requestRecord, server *serverRecord) bool {
	if !m.serverUsable(server) || request.done || request.started || request.bodyConsumed ||
		m.now >= request.deadline || len(request.attempts) >= max(1, m.settings.MaxAttempts) ||
		server.State != Ready || request.outstanding >= 2 || request.outstanding > 0 && !m.settings.MayOverlap {
		return false
	}
	for i := range request.attempts {
		attempt, class := &request.attempts[i], request.class
		if attempt.server == server || attempt.mayRun && class.Effect != Safe && (class.Effect == Unsafe ||
			m.now+m.settings.MinTick >= attempt.sent+class.DedupWindow ||
			class.KeyScope == ScopeZone && server.Zone != attempt.server.Zone ||
			class.KeyScope == ScopeCell && server.Cell != attempt.server.Cell) {
			return false
		}
	}
	return true
}

// mayRefuse tells whether a request may be answered with Refuse, which promises that a new try does no
// harm: no attempt of it can have run, or a second execution has no effect.
func (m *Module) mayRefuse(request *requestRecord) bool {
	mayHaveRun := false
	for _, attempt := range request.attempts {
		mayHaveRun = mayHaveRun || attempt.mayRun
	}
	return !mayHaveRun || request.class.Effect == Safe ||
		request.class.Effect == Keyed && request.class.KeyScope == ScopeAll
}

// send starts an attempt of a request at a server if the rules allow it, and tells whether it did. No other
// function sends to servers.
func (m *Module) send(request *requestRecord, server *serverRecord, timeout time.Duration) bool {
	if server == nil || !m.maySend(request, server) {
		return false
	}
	if request.attempts == nil {
		request.attempts = request.firstAttempt[:0]
	}
	request.attempts = append(request.attempts, attemptRecord{server: server, sent: m.now, mayRun: true})
	request.outstanding++
	server.tokens--
	if !request.uploading {
		m.load(&request.attempts[len(request.attempts)-1])
		m.await(server)
	}
	m.placeInPool(server)
	m.emit(Send{ID: request.id, Server: server.ID, Timeout: min(timeout, request.deadline-m.now),
		UsableFor: m.serverUsableFor(server), Basis: m.sendBasis(server), SlowStartLimit: m.slowStartLimit(server)})
	return true
}

// finish gives a request its final answer in place of a server's: a refusal if the rules allow one, else a
// failure. The hold-off is a part of the class's aim, so that an answer to the client's next try can still
// have its worth, and at most MaxHoldOff.
func (m *Module) finish(request *requestRecord, reason Reason) {
	holdOff := m.jitter(time.Duration(holdOffAimFraction * float64(request.class.Aim)))
	holdOff = min(holdOff, m.settings.MaxHoldOff)
	if reason == ByServers && !m.HasUsableServers() { // the list has expired while the request was open
		reason = ByList
	}
	if !m.mayRefuse(request) {
		m.emit(Fail{ID: request.id})
	} else {
		m.emit(Refuse{ID: request.id, HoldOff: holdOff, Reason: reason})
	}
	m.closeRequest(request)
}

// closeRequest ends a request, cancels its outstanding attempts, and forgets it if there are none. Else it is
// forgotten with the last outcome.
func (m *Module) closeRequest(request *requestRecord) {
	request.done = true
	for i := range request.attempts {
		if m.settings.MayCancel && !request.attempts[i].ended && !request.started {
			m.emit(CancelAttempt{ID: request.id, Attempt: i})
		}
	}
	if request.outstanding == 0 {
		delete(m.requests, request.id)
	}
}

// requestArrived handles a new request: as a trial request to an ejected server if one is due, else by
// pick. It is refused if the list has expired, if this node lacks CPU, or if the servers can't take it.
func (m *Module) requestArrived(event RequestArrived) {
	if m.requests[event.ID] != nil {
		return
	}
	class := m.classOf(event.Class)
	request := &requestRecord{id: event.ID, class: class, arrived: m.now, deadline: m.now + event.Patience,
		uploading: event.Uploading}
	m.requests[event.ID], m.openRequests = request, append(m.openRequests, request)
	m.arrivals, m.arrivedAt = m.arrivals*decay(m.now-m.arrivedAt, arrivalTau)+1/arrivalTau, m.now
	m.meanWorth += fleetGain * (class.Worth - m.meanWorth)
	request.handedOff = event.HandedOff
	// The paper's priority messages.
	request.priority = class.Worth >= math.Min(m.meanWorth, priorityWorthFraction*m.topWorth)
	if tenant := m.tenants[event.Tenant]; tenant != nil && !tenant.takeToken(m.now) {
		request.priority = false // a request over its tenant's share is worth little
	}
	switch {
	case request.handedOff: // served from headroom only, so it doesn't count for the shedding of own requests
		request.priority = false
	case request.priority:
		m.n1++
	default:
		m.n2++
	}
	m.retryTokens = math.Min(maxRetryTokens, m.retryTokens+retriesPerArrival)
	if !m.HasUsableServers() {
		m.finish(request, ByList)
		return
	}
	m.noticeUsable()
	if server := m.dueTrial(request); !request.handedOff && m.send(request, server, m.trialTimeout(class)) {
		server.trialWait = min(2*server.trialWait, m.longestTrialWait())
		request.trial, server.trialAt = true, m.now+m.jitter(server.trialWait)
		m.placeInPool(server)
		return
	}
	if request.handedOff && m.nodeMode != Normal ||
		m.nodeDropFraction > 0 && m.random() < request.dropProbability(ShedSplit(m.nodeDropFraction, m.n1, m.n2)) {
		m.finish(request, ByNode)
		return
	}
	server, mode := m.pick(request)
	if request.handedOff && !m.mayTakeHandOff(server, mode) {
		server, mode = nil, Blocking
	}
	// A server between H and R may have more requests than it can serve soon, or traffic has just risen.
	// The delay shows which of the two it is, so nothing is shed while the delay is low.
	if mode == Overloaded && !m.lightlyLoaded(server) && m.random() < request.dropProbability(m.q1, m.q2) {
		server = nil
	}
	if !m.send(request, server, request.deadline) {
		if !request.handedOff {
			m.overloadedAt = m.now
			m.notifyOverload()
		}
		m.finish(request, ByServers)
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
	leastLow := minWindow / float64(m.settings.Nodes)
	return math.Max(0, math.Max(lowFraction*h, leastLow)-math.Max(n, s.n))
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
	if m.settings.NotifyOverload && m.settings.MayMessage &&
		m.now-m.overloadNotifiedAt >= overloadNoticeInterval {
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
	sampled := min(len(m.subset), maxHeadroomSample)
	headroom, start := 0.0, m.sweepCursor
	for i := range sampled {
		server := m.subset[(start+i)%len(m.subset)]
		if server.ejected || server.cold || m.modeOf(server) != Normal {
			continue
		}
		headroom += m.headroomOf(server)
	}
	return headroom * float64(len(m.subset)) / float64(sampled)
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
func (m *Module) pick(request *requestRecord) (*serverRecord, Mode) {
	m.placeDue()
	mode := Normal
	for range maxDraws {
		first, second := m.drawTwo(m.pools[mode].servers, request)
		if first == nil {
			if mode++; mode == Blocking {
				return nil, Blocking
			}
			continue
		}
		// Their modes may have changed since they were put into the pool.
		m.placeInPool(first)
		m.placeInPool(second)
		switch current := &m.pools[mode]; {
		case first.pools[byMode] == current && second.pools[byMode] == current:
			return m.faster(first, second), mode
		case first.pools[byMode] == &m.pools[Normal] || second.pools[byMode] == &m.pools[Normal]:
			mode = Normal
		}
	}
	// Modes change faster than servers are drawn: settle for overloaded ones.
	first, second := m.drawTwo(m.pools[Overloaded].servers, request)
	if first == nil {
		return nil, Blocking
	}
	return m.faster(first, second), Overloaded
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
func (m *Module) drawTwo(list []*serverRecord, request *requestRecord) (first, second *serverRecord) {
	if len(request.attempts) > 0 {
		list = m.filter(list, func(s *serverRecord) bool { return m.maySend(request, s) })
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
func (m *Module) pickKeyed(request *requestRecord) (*serverRecord, Mode) {
	list := []*serverRecord(m.ring)
	for i := range request.attempts {
		group := (*pool)(nil)
		if attempt := &request.attempts[i]; attempt.mayRun && request.class.KeyScope == ScopeCell {
			group = m.cells[attempt.server.Cell]
		} else if attempt.mayRun && request.class.KeyScope == ScopeZone {
			group = m.zones[attempt.server.Zone]
		} else {
			continue
		}
		if group == nil {
			return nil, Blocking
		}
		list = group.servers
	}
	for _, inSubset := range []bool{true, false} {
		for mode := Normal; mode < Blocking; mode++ {
			first, second := m.drawTwo(m.filter(list, func(s *serverRecord) bool {
				return (s.inSubset || !inSubset) && !s.ejected && m.maySend(request, s) &&
					!m.coldBudgetSpent(s) && m.modeOf(s) == mode
			}), request)
			if first != nil {
				return m.faster(first, second), mode
			}
		}
	}
	return nil, Blocking
}

// attemptEnded handles the outcome of an attempt: it updates the server, and retries the request or ends it.
func (m *Module) attemptEnded(outcome AttemptEnded) {
	request := m.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) ||
		request.attempts[outcome.Attempt].ended {
		return
	}
	attempt := &request.attempts[outcome.Attempt]
	attempt.ended, attempt.mayRun =
		true, outcome.Code != Full && outcome.Code != ConnectFailed && outcome.Code != Moot
	request.outstanding--
	request.bodyConsumed = request.bodyConsumed || outcome.BodyConsumed
	m.unload(attempt)
	m.forgetRemoved(attempt.server)
	m.applyReport(attempt.server, outcome.Report)
	m.applyOutcome(attempt.server, request, outcome)
	m.placeInPool(attempt.server)
	switch {
	case request.done && request.outstanding == 0:
		delete(m.requests, request.id)
	case outcome.RequestDone && !request.done:
		m.closeRequest(request)
	case !request.done && request.outstanding == 0:
		m.retry(request, attempt.mayRun)
	}
}

// retry makes another attempt of a request if the rules, the retry budget and the servers allow it; else it
// ends the request. costly says that the last attempt may have run, so that the retry takes a token of the
// budget.
func (m *Module) retry(request *requestRecord, costly bool) {
	worthless := request.class.LateWorth == 0 && request.class.Aim > 0 &&
		m.now-request.arrived >= request.class.Aim
	if !worthless && (m.retryTokens >= 1 || !costly) {
		server, mode := (*serverRecord)(nil), Blocking
		if m.mayRefuse(request) {
			server, mode = m.pick(request)
		} else if request.class.Effect == Keyed {
			server, mode = m.pickKeyed(request) // possibly a server outside the subset
		}
		if (mode == Normal || request.priority) && m.send(request, server, request.deadline) {
			if costly {
				m.retryTokens--
			}
			return
		}
	}
	m.finish(request, ByServers)
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
		server := m.subset[m.sweepCursor]
		m.sweepCursor++
		if !server.inSubset {
			continue
		}
		if totals := &m.sweepTotals; !server.ejected && !server.cold {
			totals.rate, totals.count = totals.rate+m.rateOf(server), totals.count+1
		}
		if server.reportedLoad > 0 && m.now-server.reportedAt < 2*ocValidity {
			m.sweepTotals.own, m.sweepTotals.all = m.sweepTotals.own+server.n, m.sweepTotals.all+server.reportedLoad
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
	for _, server := range m.subset[from:min(len(m.subset), from+m.sweepStride())] {
		if !server.inSubset {
			continue
		}
		// Unresponsive: several sends and no answer at all, for several times the expected latency.
		if server.unanswered >= ejectThreshold && m.mean > 0 && (m.now-server.unansweredSince).Seconds() >
			math.Max(m.minUnresponsiveSeconds(), unresponsiveFactor*math.Max(m.mean, m.latencyOf(server))) {
			m.eject(server, "no answer to its last requests")
		}
		if server.ejected {
			continue
		}
		m.placeInPool(server)
		if m.modeChecks++; m.modeOf(server) != Normal {
			n, h := m.loadAndHigh(server)
			_, block := m.lowAndBlock(server, h)
			m.overloadSum += math.Min(1, math.Max(0, (n-h)/(block-h)))
		}
	}
	stillOpen := m.openRequests[:0]
	for _, request := range m.openRequests {
		if !request.done && !request.started && !(request.uploading && request.outstanding > 0) &&
			m.now >= max(request.deadline, request.overtimeEnd) {
			m.finish(request, ByServers) // in case the outcome of an attempt never comes
		}
		if !request.done {
			stillOpen = append(stillOpen, request)
		}
	}
	clear(m.openRequests[len(stillOpen):])
	m.openRequests = stillOpen
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
func (m *Module) applyList(update ListUpdate) {
	switch update.Kind {
	case ListFailed:
		if m.settings.ListOnRequest {
			m.listRequestFailed(update)
		} else {
			m.agentFailed(update)
		}
		m.placeByListAge()
		return
	case ListStalled:
		m.listAge.watchStalls(m.now, m.listLifetime(), update.UsableFor)
		return
	case ListChanges, ListFull:
		m.listAge.confirm(m.now - update.ConfirmedAge)
	}
	if update.Kind != ListCached && m.listRequested {
		m.subscribed, m.listRequested, m.subscribedAt = true, false, m.now
		m.resetBackoffs()
	}
	if update.Kind != ListCached && !m.settings.ListOnRequest {
		m.agentAnswered()
	}
	m.placeByListAge()
	if update.Kind != ListChanges {
		m.listCount++
	}
	m.changedServers = m.changedServers[:0]
	named := 0
	for _, entry := range update.Entries {
		server := m.serverOf(entry.ID)
		if server.seenIn != m.listCount {
			server.seenIn, named = m.listCount, named+1
		}
		if server.Server == entry {
			continue // an entry that has not changed has no effect
		}
		// After a restart, what was learned of the old process is void.
		if entry.State == Ready && entry.StartedAt > server.StartedAt {
			server.ejected, server.connectFailed, server.consecutiveFailures, server.unanswered,
				server.imposedUntil = false, false, 0, 0, m.now
			m.startCold(server, m.coldStartTime(entry.StartedAt, update.Age))
		}
		m.applyEntry(server, entry)
	}
	if update.Kind != ListChanges && named < len(m.known) {
		for _, server := range m.known {
			if server.seenIn != m.listCount {
				removed := server.Server
				removed.State = Removed
				m.applyEntry(server, removed)
			}
		}
	}
	var left, joined []*serverRecord
	for _, server := range m.changedServers {
		server.changed = false
		switch {
		case server.wasInRing && !server.inRing:
			left = append(left, server)
		case server.inRing && !server.wasInRing:
			joined = append(joined, server)
		}
	}
	if len(m.changedServers) == 0 {
		return
	}
	m.ring, m.subsetStale = m.ring.update(left, joined), true
	for _, server := range left {
		m.removeTag(server)
	}
	for _, server := range joined {
		m.tags[server.tag()] = append(m.tags[server.tag()], server)
	}
	if m.subsetIsRing {
		m.subset = m.ring // the ring may have a new array
	}
	switch {
	case m.subsetIsRing && len(m.ring) <= int(m.subsetSize):
		m.subsetStale = false
		for _, server := range m.changedServers {
			if server.inSubset = server.inRing; server.inSubset {
				m.placeInPool(server)
			}
		}
	case len(m.subset) <= maxImmediateSubset:
		m.chooseSubset()
	} // a larger subset is chosen anew by the next recompute; removed servers have left the pools already
	clear(m.changedServers)
}

// applyEntry applies an entry of the list to a server.
func (m *Module) applyEntry(server *serverRecord, entry Server) {
	if !server.changed {
		server.changed, server.wasInRing = true, server.inRing
		m.changedServers = append(m.changedServers, server)
	}
	if server.inRing && (server.Cell != entry.Cell || server.Zone != entry.Zone || entry.State != Ready) {
		removeFromGroup(m.cells, server.Cell, server, byCell)
		removeFromGroup(m.zones, server.Zone, server, byZone)
	}
	server.Server = entry
	if entry.State == Ready && !server.inRing {
		server.readySince = m.now
	}
	if server.inRing = entry.State == Ready; server.inRing {
		poolFor(m.cells, entry.Cell, byCell).add(server)
		poolFor(m.zones, entry.Zone, byZone).add(server)
	} else {
		server.inSubset = false
	}
	m.placeInPool(server)
	m.forgetRemoved(server)
}
