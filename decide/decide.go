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
	tickEvery = 25 * time.Millisecond
	// oc-validity of the paper: an imposed mode lapses after this time.
	validity = time.Second
	// A server that has answered Full is blocked for this multiple of the mean latency, at most for ocValidity.
	freshFactor = 4.0
	// Interval at which q1 and q2 are renewed: long enough for many arrivals, far shorter than an overload.
	recompute = 500 * time.Millisecond
	// Part of the arrival counts n1 and n2 that is carried into the next interval, which may see no arrival.
	mixMemory = 0.9

	// Part of a class's aim that its mean delay may take. The rest is for the long tail of the delays.
	aimPart = 0.4
	// The same on low-traffic nodes, whose smoothed delays come from the servers of the whole subset.
	sparsePart = 0.6
	// Queue limit of a low-traffic node, in requests ahead of its own: shorter than what slows servers down.
	sparseQueue = 2.0
	// Queue limit as a multiple of the uncongested latency. Some servers slow down when queues are long.
	queueFactor = 1.8
	// Queue limit as a part of the delay that the aims allow. The larger of this and queueLatencyFactor holds.
	roomyPart = 0.6
	// The same on low-traffic nodes.
	sparseRoom = 1.0 / 3
	// Multiple of the uncongested latency. However long the aims are, no more than the larger of this and
	// longAimSeconds is allowed.
	farFactor = 6.0
	farRoom   = 0.6
	// By how much chance alone takes a smoothed mean below its true value, as a part of that value.
	baseNoise = 0.15

	lowPart  = 0.5 // L as a part of H; the hysteresis lies between them
	highPart = 2.0 // R as a multiple of H; the requests between them are for priority work
	// Factor on the thresholds for the servers' reports: these lag, and the node's own counts apply as well.
	reportSlack = 1.25
	// Upper bound of a reported number of requests. No server does useful work on more at once.
	reportCap = 1000.0
	// Part of the highest class worth that makes a request a priority one: classes of similar worth are alike.
	worthPart = 0.5
	// Least H of a server, in requests of all nodes together, also before anything is learned.
	leastWindow = 2.0
	// Part of H that comes from the fleet's mean rate: noise in a server's own rate must not starve the server.
	anchor = 0.3

	rateTau    = 3.0 // time constant of a server's rate of answers, in seconds
	briskTau   = 0.1 // time constant of the short-term rate, in seconds; it is used where answers are many
	briskDoubt = 3.0 // standard deviations of chance that are taken off the short-term rate
	staleTau   = 3.0 // seconds; time constant with which a latency without answers drifts to the fleet's mean
	// Time constant for forgetting peak rates and uncongested latencies, in seconds: longer than an overload.
	memoryTau = 600.0
	// Time constant of the mean latency, in seconds, where answers are many: the mean must not follow each
	// change of the mix of classes.
	meanTau = 0.25
	// A class is expensive beyond this multiple of the mean request's cost. The fleet's mean says little of its
	// latency; if it was answered within expensiveLatencyValidity, its own smoothed latency is used.
	dearCost    = 4.0
	expectFresh = time.Second
	leastCost   = 0.25 // least cost by which latencies are scaled, in mean requests; see asMeanRequest
	latencyGain = 0.1  // weight of a new latency in a server's smoothed one
	classGain   = 0.02 // weight of a new value in means over all servers, where samples are many
	// Upper bound of a latency as a multiple of the smoothed one: one heavy request does not make a server slow.
	outlierCap = 4.0

	// Failures in a row, or sends without any answer, after which a server is ejected. Fewer happen by chance.
	suspectAt = 3
	// A server is unresponsive if there is no answer for this multiple of the expected latency.
	muteFactor = 4.0
	trialFirst = 500 * time.Millisecond // mean wait before an ejected server's first trial request; it doubles
	trialLast  = 16 * time.Second       // longest such wait: about the length of an outage
	trialQuick = 2 * time.Second        // longest such wait for an ejected server that fails fast
	// Part of the aim that a trial request may take, so that a second attempt can be in time.
	trialPart = 1.0 / 3
	// A trial may take at least this multiple of the uncongested latency. With less, none would succeed.
	trialFactor = 2.0
	retryBudget = 0.1  // retries that each arrival adds to the retry budget: bounds retry storms
	retryBurst  = 10.0 // retries that the budget holds at most
	holdPart    = 0.15 // mean hold-off of a refused client, as a part of the aim

	// Seconds after which a node sends to each server of its subset again, at the mean. With longer ones, what
	// it knows of a server would be out of date. Also the time constant of recentMean.
	subsetTime  = 2.0
	subsetLeast = 8.0  // servers; fewer leave no choice once some of them fail
	rateMemory  = 10.0 // time constant of this node's arrival rate, in seconds: keeps the subset size steady
	// A server is lightly loaded below this part of the delay that the aims allow.
	calmPart = 0.24
	// With each answer of a lightly loaded server, its proven load grows by provenLoadStep requests, up to
	// maxProvenLoadGrowth times the number of requests that it has.
	calmStep = 1.0
	calmMost = 1.6
	// Time constant of the node's own delay, in seconds, and of its decay without answers.
	ownTau = 1.0

	scanMost = 32 // servers of a long list that are examined for a retry, which must avoid those already tried
	drawMost = 32 // draws; each may find that a server has changed its mode since it was put into its pool
	// Ticks in which the sweep covers the subset, within the bounds of servers per tick below.
	roundTicks = 20
	sweepLeast = 256
	sweepMost  = 1024
	spareMost  = 256 // servers sampled for Headroom
	atOnce     = 512 // servers; a subset up to this size is chosen anew right after a change of the list

	// Interval between two overload notices to the other nodes of the site.
	shortEvery = validity / 4
	shortWord  = "short" // the datagram of an overload notice
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
	m.now, m.out = now, m.out[:0]
	timer := SetTimer{After: max(tickEvery, m.set.MinTick)} // the only timer in use
	if !m.ticking {
		m.ticking, m.periodAt = true, now
		m.resetAsk()
		m.startAt, m.size = now, subsetLeast
		m.askAt = now + m.spreadFirst()
		m.do(timer)
	}
	switch e := e.(type) {
	case RequestArrived:
		m.arrive(e)
	case ListUpdate:
		m.follow(e)
	case AttemptEnded:
		m.ended(e)
	case BodyEnded:
		m.bodyEnded(e)
	case StreamStarted:
		m.streamStarted(e)
	case RequestAbandoned:
		if r := m.requests[e.ID]; r != nil && !r.done {
			m.close(r)
		}
	case Ending:
		for _, r := range m.open {
			if !r.done && !r.started {
				m.finish(r, ByNode)
			}
		}
	case MessageReceived:
		m.heard(e)
	case ProbeEnded:
		m.probed(e)
	case TimerFired:
		m.tick()
		m.do(timer)
	}
	return m.out
}

// survey renews the estimates that the thresholds depend on: with each tick those of latencies, and once a
// sweep over the subset is complete those of the fleet's rates.
func (m *Module) survey(complete bool) {
	grow := 1 + tickEvery.Seconds()/memoryTau
	if w := m.sweep; complete {
		if w.all > 0 {
			m.share += (w.own/w.all - m.share) * math.Min(1, tickEvery.Seconds()*m.round()/rateTau)
		}
		if w.count > 0 { // while no server is warm, the last rates of warm servers stay
			m.fleetRate, m.evenRate = w.rate/w.count, w.rate/float64(len(m.near))
			m.learned = w.rate > 0 && m.answers >= 2*float64(len(m.near))
		}
		m.sweep = sweep{}
	}
	if m.least *= grow; m.least == 0 || m.answers >= 1/classGain && m.mean < m.least*(1-baseNoise) {
		m.least = m.mean / (1 - baseNoise) // the minimum of a noisy mean lies below the true value
	}
	if m.peak /= grow; m.learned {
		m.peak = math.Max(m.peak, m.fleetRate)
	}
	m.aimed, m.base = math.Inf(1), m.mean
	base, latency := 0.0, 0.0
	for _, c := range m.order {
		expected := m.mean * c.relative
		if c.relative > dearCost && m.now-c.at < expectFresh {
			expected = math.Min(expected, c.latency)
		}
		if c.base *= grow; c.count >= 1/classGain && (c.base == 0 || c.latency < c.base*(1-baseNoise)) {
			c.base = c.latency / (1 - baseNoise)
		}
		if c.base > 0 {
			base, latency = base+c.base, latency+expected
			m.base = m.mean * base / latency
		}
		if c.count > 0 && c.Aim > 0 {
			m.aimed = math.Min(m.aimed, m.mean*aimPart*c.Aim.Seconds()/expected)
		}
	}
}

// allowedDelay is the delay of a mean request that the aims allow, in seconds. Long aims allow no more than
// longAimFactor times the uncongested latency, or longAimSeconds if that is more: a longer queue serves no
// more requests, and clients may give up on those that wait in it.
func (m *Module) allowed() float64 {
	return math.Min(m.aimed, math.Max(farFactor*m.base, farRoom))
}

// highThreshold is H of a server, in requests of this node. By Little's law it is the server's rate of
// answers times the delay that the aims allow; it is higher where the mean latency is below that delay.
// Part of the rate is the fleet's mean, as noise in a single server's rate must not starve it. The delay is
// kept small, as some servers stay slow for a long time after an overload.
func (m *Module) high(s *server) float64 {
	if !m.learned {
		return 2 * leastWindow / float64(m.set.Nodes)
	}
	rate := (1-anchor)*m.rateOf(s) + anchor*m.fleetRate*math.Min(1, m.mean/m.latencyOf(s))
	want := math.Min(math.Max(queueFactor*m.base, roomyPart*m.allowed()), m.aimed)
	if m.latencyOf(s) <= want {
		rate = math.Max(rate, m.briskRate(s))
	}
	h := rate * math.Max(m.base*m.peak/m.fleetRate, want*math.Min(3, want/m.mean))
	return math.Max(math.Max(h, leastWindow/float64(m.set.Nodes)), s.room*decay(m.now-s.roomAt, rateTau))
}

// shortTermRate is a server's rate of answers over shortRateTau, in answers per second, less the part that
// chance may have added. The smoothed rate takes seconds to follow a rise; in that time, a server whose
// answers meet the aims must not count as overloaded. For a server with ten answers a second the time is
// too short to show anything, and the result is 0.
func (m *Module) briskRate(s *server) float64 {
	k := s.brisk * decay(m.now-s.rateAt, briskTau)
	return math.Max(0, k-briskDoubt*math.Sqrt(k/2)) / briskTau // the variance of k is k/2 in a Poisson process
}

// lightlyLoaded tells whether a server's latency is far below the delay that the aims allow, however many
// requests it has.
func (m *Module) calm(s *server) bool {
	return m.learned && math.Max(s.last, m.latencyOf(s)) <= calmPart*m.allowed()
}

// updateProvenLoad updates a server's proven load, a lower bound of H, after an answer. The rate of answers
// shows a server's capacity only under full load: after a quiet time, H from the rate alone would refuse a
// rise in traffic for as long as the rate takes to follow. So while the latency is low, the proven load is
// the number of requests that the server has, plus a step. It grows by a step an answer, and so only with
// requests that the server has taken. Once the latency is high, each answer halves it, and H follows the
// rate again.
func (m *Module) widen(s *server) {
	room := s.room * decay(m.now-s.roomAt, rateTau)
	if m.calm(s) {
		room = math.Max(room, math.Min(math.Max(room, s.n)+calmStep, calmMost*(s.n+1)))
	} else if m.latencyOf(s) > calmPart*m.allowed() {
		room /= 2
	}
	s.room, s.roomAt = room, m.now
}

// loadAndHigh returns n and H of a server for the hysteresis. H is rounded up or down at random, which
// keeps its mean over the nodes. A low-traffic node sends a server less than one request per ocValidity, so
// its own count shows nothing. There n is the load that all nodes report, waiting requests per slot, where
// it is known; else the number of requests that the server reports; else an estimate of the requests ahead
// of the node's own: the server's latency in units of the uncongested one, less 1. Reports and estimates
// lapse.
func (m *Module) crowd(s *server) (n, h float64) {
	if !m.sparse() {
		n = s.n
		if own := m.ownDelay(); own > 0 {
			n *= m.mean / (m.mean + own) // by Little's law the rest waits in this node, not at the server
		}
		return n, math.Floor(m.high(s) + m.dither(s))
	}
	if m.counted(s) {
		return m.waiting(s), 1 + calmQueue + (fullQueue-calmQueue)*m.dither(s)
	}
	if m.least == 0 || m.aimed == 0 {
		return s.n, 1
	}
	aimed := m.aimed * sparsePart / aimPart
	unit := math.Min(m.least, aimed) // a node that starts during an overload has too high a leastMean
	l := m.recent + s.excess*decay(m.now-s.latencyAt, staleTau)
	if n = (l/unit - 1) * decay(m.now-m.answeredAt, staleTau); s.report > 0 {
		n = s.report * decay(m.now-s.reportAt, staleTau)
	}
	if s.unanswered > 0 && s.n > 0 { // the latency is at least as long as the oldest send has had no answer
		n = math.Max(n, (m.now-s.muteSince).Seconds()/unit-1)
	}
	return n, math.Max(1, math.Min(math.Max(sparseQueue, sparseRoom*aimed/unit), aimed/unit))
}

// lowTraffic tells whether this node's own counts show too little of the servers' load: it sends a server
// of its subset less than one request per ocValidity, or it is one of many nodes that share their counts.
func (m *Module) sparse() bool {
	return m.rate*validity.Seconds() < float64(len(m.near)) || m.shared()
}

// lowAndBlock returns L and R for a server's H.
func (m *Module) edges(s *server, h float64) (low, block float64) {
	if m.counted(s) {
		return h - 1, 1 + blockQueue
	}
	return lowPart * h, highPart*h + 1
}

// modeOf updates and returns a server's mode.
func (m *Module) modeOf(s *server) Mode {
	n, h := m.crowd(s)
	low, block := m.edges(s, h)
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
func (m *Module) freshness() time.Duration {
	if m.mean == 0 {
		return validity
	}
	return min(validity, time.Duration(freshFactor*m.mean*float64(time.Second)))
}

func (m *Module) impose(s *server, mode Mode) { s.imposed, s.imposedUntil = mode, m.now+validity }

// applyReport imposes a mode on a server by the server's own load report, until the mode lapses. Reports
// are late and count the requests of every node, so this node's thresholds are scaled up by its share of
// all requests that the servers report.
func (m *Module) reported(s *server, r *Report) {
	if r == nil || !r.HasInFlight || !(r.InFlight >= 0) { // NaN fails this test, too
		return
	}
	s.report, s.reportAt = math.Min(r.InFlight, reportCap), m.now // a huge number would block for too long
	if m.sparse() {
		return
	}
	h := reportSlack * m.high(s) / math.Max(m.share, 1e-9)
	s.told = NextMode(s.told, s.report, lowPart*h, h, highPart*h+1)
	m.impose(s, min(s.told, Overloaded)) // with Blocking, late reports would stop all nodes at once, then none
}

// recompute renews the drop probabilities q1 and q2. They apply only while no server is in Normal mode.
// Then all requests without priority are shed first, and the more of the priority ones, the closer the
// servers are to R.
func (m *Module) recompute() {
	q := 0.0
	if n := m.n1 + m.n2; n > 0 {
		q = (m.n2 + m.n1*m.fill/math.Max(1, m.visits)) / n
		if m.shared() {
			m.balance()
			q = math.Min(q, m.shedNow*m.n2/n)
		}
	}
	m.q1, m.q2 = ShedSplit(q, m.n1, m.n2)
	m.recomputeOwn()
	m.n1, m.n2, m.fill, m.visits, m.periodAt = mixMemory*m.n1, mixMemory*m.n2, 0, 0, m.now
	m.period++
	m.choose()
}

// recomputeNodeMode applies the same hysteresis to the node itself, with its own part of the delay, in
// milliseconds, in place of n. H is the delay that the tightest aim allows in all. The drop fraction grows
// from L to R, so that a node that lacks CPU sheds no more than it must, and not all requests of low worth.
func (m *Module) recomputeOwn() {
	h, own, was := math.Inf(1), 1e3*m.ownDelay(), m.ownMode // ms, in place of requests
	for _, c := range m.order {
		if c.count > 0 && c.Aim > 0 {
			h = math.Min(h, 1e3*aimPart*c.Aim.Seconds())
		}
	}
	m.ownMode, m.ownQ = NextMode(was, own, lowPart*h, h, highPart*h), 0
	if m.ownMode != Normal {
		m.ownQ = math.Min(1, math.Max(0, (own-lowPart*h)/((highPart-lowPart)*h)))
	}
	if was != m.ownMode && m.mayNote() {
		m.do(Log{fmt.Sprintf("CPU of this node is %s: it adds %.0f ms to the latency, %.0f ms allowed",
			[]string{"sufficient", "overloaded", "heavily overloaded"}[m.ownMode], own, h)})
	}
}

// nodeDelay is the smoothed time that an answer spends in this node, in seconds. It decays while no answers
// come.
func (m *Module) ownDelay() float64 { return m.own * decay(m.now-m.ownAt, ownTau) }

// chooseSubset chooses the servers that pick uses. If each of many nodes used all servers, it would know
// little of any, and the connections would fill the servers' tables. All nodes have the same ring of
// servers and begin their subsets at evenly spread positions. Ejected servers are not replaced by others:
// all nodes would open connections to the remaining servers at once.
func (m *Module) choose() {
	known := 1 - decay(m.now-m.startAt+tickEvery, rateMemory)
	m.rate = m.arrivals * decay(m.now-m.arrivedAt, rateMemory) / known
	want := subsetTime * m.rate
	if m.shared() {
		want = sharedTime * m.rate
	}
	was := min(len(m.ring), int(m.size))
	if want > m.size || want < m.size/2 {
		m.size = math.Max(want, subsetLeast) // smaller changes are skipped, as a new server costs a connection
	}
	n := min(len(m.ring), int(m.size))
	if n > 0 { // the same answers now come from a different number of servers
		m.peak *= float64(was) / float64(n)
	}
	if !m.stale && n == len(m.near) {
		return
	}
	start := gossip.Start(m.set.Self, len(m.ring))
	m.choices++
	old := m.near
	next := make([]*server, 0, n)
	for i := range n {
		s := m.ring[(start+i)%len(m.ring)]
		s.chosen = m.choices
		next = append(next, s)
	}
	for _, s := range old {
		if s.near && s.chosen != m.choices {
			s.near = false
			m.place(s)
		}
	}
	if m.whole = n == len(m.ring); m.whole {
		next = m.ring
	}
	m.near, m.stale = next, false
	for _, s := range m.near {
		if !s.near {
			s.near = true
			m.place(s)
		}
	}
}

// placeInPool puts a server into the pool of its mode, where pick finds it. An ejected server is queued for
// its next trial request instead, and a cold one whose budget is spent for its next token. A server outside
// the subset, or one that may not be used at the list's age, is removed from both. A server with an imposed
// mode is in its pool and also queued for the end of that mode.
func (m *Module) place(s *server) {
	switch {
	case !s.near, !m.usableServer(s):
		leave(s, byMode)
		unset(s)
	case s.suspect:
		leave(s, byMode)
		m.trials.set(s, s.trialAt)
	case m.paced(s):
		leave(s, byMode)
		wait := time.Duration((1 - s.tokens) / math.Max(m.coldRate(s), 1e-9) * float64(time.Second))
		m.wake.set(s, m.now+min(max(wait, time.Millisecond), validity))
	default:
		m.pools[m.modeOf(s)].put(s)
		if m.now < s.imposedUntil {
			m.wake.set(s, s.imposedUntil)
		} else {
			unset(s)
		}
	}
}

// placeDue puts the servers into their pools whose wake-up time has come.
func (m *Module) awake() {
	for s := m.wake.due(m.now); s != nil; s = m.wake.due(m.now) {
		unset(s)
		m.place(s)
	}
}

// rateOf is a server's smoothed rate of answers to this node, in answers per second. It is corrected for
// the bias that starting at 0 has.
func (m *Module) rateOf(s *server) float64 {
	return s.rate * decay(m.now-s.rateAt, rateTau) / (1 - decay(m.now-s.since+tickEvery, rateTau))
}

// latencyOf is the smoothed latency of a mean request at a server, in seconds. Without answers it drifts to
// the fleet's mean, so that a slow server is used again some time later.
func (m *Module) latencyOf(s *server) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, staleTau)
}

// learn updates the smoothed latencies with an answer of a server to a request of class c. took is its
// latency, own the part of it that passed in this node. At first the means are plain averages, not
// exponential ones, as the first answers are those of the shortest requests.
func (m *Module) learn(s *server, c *class, took, own time.Duration) {
	own = min(max(0, own), took)
	gain := 1 - decay(m.now-m.ownAt, ownTau)
	m.own, m.ownAt = m.own+math.Max(gain, classGain/10)*(own.Seconds()-m.own), m.now
	took -= own
	t := math.Max(took.Seconds(), 1e-6)
	if m.answers++; m.answers == 1 {
		m.firstAt = m.now
	}
	c.count++
	m.mean += math.Max(m.meanGain(m.now-m.answeredAt), 1/m.answers) * (t - m.mean)
	m.recent += math.Max(1-decay(m.now-m.answeredAt, subsetTime), 1/m.answers) * (m.asMean(c, t) - m.recent)
	m.answeredAt = m.now
	gain = math.Max(m.meanGain(m.now-c.at), 1/c.count)
	c.latency, c.at = c.latency+gain*(t-c.latency), m.now
	c.ambient += gain * (m.mean - c.ambient)
	c.relative = c.latency / c.ambient // with m.mean, a rare class would keep its latency of a past overload
	m.weigh(s, c, took)
}

// meanGain is the weight of an answer in the means over all servers; since is the time since the last
// answer. In the first second after the first answer it is larger, as the first answers are those of the
// shortest requests.
func (m *Module) meanGain(since time.Duration) float64 {
	tau := math.Min(meanTau, math.Max(meanTau/10, (m.now-m.firstAt).Seconds()/4))
	return math.Min(classGain, 1-decay(since, tau))
}

// asMeanRequest converts a latency t of a class, in seconds, to that of a mean request. It is proportional
// to the class's cost. For a class that costs far less than the mean request only the difference from its
// expected latency is scaled, by 1/minRelativeCost: else a pause of a millisecond would make a server look
// ten times slower.
func (m *Module) asMean(c *class, t float64) float64 {
	if c.relative >= leastCost {
		return t / c.relative
	}
	return math.Max(0, m.mean+(t-c.relative*m.mean)/leastCost)
}

// updateServerLatency adds a latency to a server's smoothed one. It is capped at a multiple of that, as a
// very slow answer is more likely that of a heavy request than of a slow server.
func (m *Module) weigh(s *server, c *class, took time.Duration) {
	l := m.latencyOf(s)
	gain := math.Max(latencyGain, 1-decay(m.now-s.latencyAt, staleTau)) // rare answers weigh more
	s.last = m.asMean(c, took.Seconds())
	l += gain * (math.Min(s.last, outlierCap*math.Max(l, m.mean)) - l)
	s.excess, s.latencyAt = l-m.mean, m.now
}

// applyOutcome updates what is known of a server with the outcome of an attempt. A failure also counts as a
// slow answer, as a server that fails fast must not attract requests. An ejected server that answers is
// readmitted. If it answers a trial request, and a connection to it failed since its last answer, it may
// have restarted, and begins with a slow start. Else it is the old process, which was unresponsive or
// failing until now.
func (m *Module) judge(s *server, r *request, e AttemptEnded) {
	switch e.Code {
	case Cancelled, Moot:
	case Full:
		// The block grows with each full answer in a row: many nodes that each came back after one ocValidity would
		// keep the server overloaded. Attempts sent before the last counted full answer don't count again.
		s.unanswered = 0
		if m.now-e.Elapsed >= s.fullAt {
			fresh := m.freshness()
			m.impose(s, Blocking)
			s.imposedUntil += fresh - validity + m.jitter(s.backoff)
			s.fullAt, s.backoff = m.now, min(max(2*s.backoff, fresh), trialLast)
		}
	case OK:
		s.brisk = s.brisk*decay(m.now-s.rateAt, briskTau) + 1
		s.rate, s.rateAt, s.unanswered = s.rate*decay(m.now-s.rateAt, rateTau)+1/rateTau, m.now, 0
		s.backoff = 0
		if !r.started {
			m.learn(s, r.class, e.Elapsed, e.Own)
			m.widen(s)
		}
		if s.strikes = 0; s.suspect {
			s.suspect = false
			if r.trial && s.broken {
				m.startCold(s, m.now)
			}
			m.note(s, fmt.Sprintf("answers again and is readmitted; slow start: %v", s.cold))
		}
		s.broken = false
	default:
		s.broken = s.broken || e.Code == ConnectFailed
		if s.suspect && r.trial && e.Elapsed.Seconds() < m.mean { // a fast failure costs the request little
			s.trialWait = min(s.trialWait, trialQuick)
			s.trialAt = min(s.trialAt, m.now+m.jitter(s.trialWait))
		}
		m.weigh(s, r.class, max(e.Elapsed, r.class.Aim))
		if s.strikes++; s.strikes >= suspectAt {
			m.accuse(s, fmt.Sprintf("failures in a row, the last with outcome code %d", e.Code))
		}
	}
}

// eject stops normal traffic to a server. From then on it gets trial requests only, until it answers one.
func (m *Module) accuse(s *server, why string) {
	if !s.suspect {
		s.suspect, s.trialWait, s.trialAt = true, trialFirst, m.now+m.jitter(trialFirst)
		m.place(s)
		m.note(s, fmt.Sprintf("ejected: %s; it gets trial requests only", why))
	}
}

// dueTrial returns an ejected server whose next trial request is due, or nil. A request that must not run
// twice is never a trial request.
func (m *Module) dueTrial(r *request) *server {
	if r.class.Effect == Unsafe {
		return nil
	}
	return m.trials.due(m.now)
}

// trialTimeout is how long a trial request waits for its answer. It leaves time for a second attempt if
// possible, also while all servers are slow. But it is more than the request takes on an idle server: with
// less, no trial would ever be answered.
func (m *Module) trialTime(c *class) time.Duration {
	expected := m.mean * c.relative
	least := expected
	if c.base > 0 {
		least = math.Min(least, c.base)
	}
	most := math.Max(trialPart*c.Aim.Seconds(), trialFactor*least)
	wait := math.Max(m.set.ConnectTimeout.Seconds(), muteFactor*expected)
	return time.Duration(math.Min(wait, most) * float64(time.Second))
}

// longestTrialWait is the longest mean time between two trial requests to an ejected server. It is shorter,
// the more servers are ejected: that many rarely fail for reasons of their own, and few others are left to
// serve. It grows with the number of nodes, so that all nodes' trials together stay few: a server that is
// overloaded with requests whose clients have given up needs its capacity to work through them.
func (m *Module) longestTrialWait() time.Duration {
	rest := 1 - float64(len(m.trials.list))/float64(max(1, len(m.near)))
	few := time.Duration(float64(m.set.Nodes) / coldStart * float64(time.Second))
	return min(max(few, time.Duration(rest*float64(trialLast))), trialLast)
}

// maySend holds every rule on whether a request may be sent to a server. No send bypasses it.
func (m *Module) maySend(r *request, s *server) bool {
	if !m.usableServer(s) || r.done || r.started || r.spent || m.now >= r.deadline ||
		len(r.attempts) >= max(1, m.set.MaxAttempts) ||
		s.State != Ready || r.out >= 2 || r.out > 0 && !m.set.MayOverlap {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		if a.server == s || a.mayRun && c.Effect != Safe && (c.Effect == Unsafe ||
			m.now+m.set.MinTick >= a.sent+c.DedupWindow || c.KeyScope == ScopeZone && s.Zone != a.server.Zone ||
			c.KeyScope == ScopeCell && s.Cell != a.server.Cell) {
			return false
		}
	}
	return true
}

// mayRefuse tells whether a request may be answered with Refuse, which promises that a new try does no
// harm: no attempt of it can have run, or a second execution has no effect.
func (m *Module) mayRefuse(r *request) bool {
	ran := false
	for _, a := range r.attempts {
		ran = ran || a.mayRun
	}
	return !ran || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.KeyScope == ScopeAll
}

// send starts an attempt of a request at a server if the rules allow it, and tells whether it did. No other
// function sends to servers.
func (m *Module) send(r *request, s *server, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	if r.attempts == nil {
		r.attempts = r.first[:0]
	}
	r.attempts = append(r.attempts, attempt{server: s, sent: m.now, mayRun: true})
	r.out++
	s.tokens--
	if !r.uploading {
		m.load(&r.attempts[len(r.attempts)-1])
		m.await(s)
	}
	m.place(s)
	m.do(Send{ID: r.id, Server: s.ID, Timeout: min(timeout, r.deadline-m.now), UsableFor: m.usableServerFor(s),
		ColdMost: m.coldMost(s)})
	return true
}

// finish gives a request its final answer in place of a server's: a refusal if the rules allow one, else a
// failure. The hold-off is a part of the class's aim, so that an answer to the client's next try can still
// have its worth, and at most MaxHoldOff.
func (m *Module) finish(r *request, why Reason) {
	wait := m.jitter(time.Duration(holdPart * float64(r.class.Aim)))
	wait = min(wait, m.set.MaxHoldOff)
	if why == ByServers && !m.UsableServers() { // the list has expired while the request was open
		why = ByList
	}
	if !m.mayRefuse(r) {
		m.do(Fail{ID: r.id})
	} else {
		m.do(Refuse{ID: r.id, HoldOff: wait, Reason: why})
	}
	m.close(r)
}

// closeRequest ends a request, cancels its outstanding attempts, and forgets it if there are none. Else it is
// forgotten with the last outcome.
func (m *Module) close(r *request) {
	r.done = true
	for i := range r.attempts {
		if m.set.MayCancel && !r.attempts[i].ended && !r.started {
			m.do(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(m.requests, r.id)
	}
}

// requestArrived handles a new request: as a trial request to an ejected server if one is due, else by
// pick. It is refused if the list has expired, if this node lacks CPU, or if the servers can't take it.
func (m *Module) arrive(e RequestArrived) {
	if m.requests[e.ID] != nil {
		return
	}
	c := m.classOf(e.Class)
	r := &request{id: e.ID, class: c, arrived: m.now, deadline: m.now + e.Patience, uploading: e.Uploading}
	m.requests[e.ID], m.open = r, append(m.open, r)
	m.arrivals, m.arrivedAt = m.arrivals*decay(m.now-m.arrivedAt, rateMemory)+1/rateMemory, m.now
	m.worth += classGain * (c.Worth - m.worth)
	r.foreign = e.Foreign
	r.priority = c.Worth >= math.Min(m.worth, worthPart*m.top) // the paper's priority messages
	if t := m.tenants[e.Tenant]; t != nil && !t.within(m.now) {
		r.priority = false // a request over its tenant's share is worth little
	}
	switch {
	case r.foreign: // it is served from headroom only, and so doesn't count for the shedding of own requests
		r.priority = false
	case r.priority:
		m.n1++
	default:
		m.n2++
	}
	m.budget = math.Min(retryBurst, m.budget+retryBudget)
	if !m.UsableServers() {
		m.finish(r, ByList)
		return
	}
	m.noticeUsable()
	if s := m.dueTrial(r); !r.foreign && m.send(r, s, m.trialTime(c)) {
		s.trialWait = min(2*s.trialWait, m.longestTrialWait())
		r.trial, s.trialAt = true, m.now+m.jitter(s.trialWait)
		m.place(s)
		return
	}
	if r.foreign && m.ownMode != Normal ||
		m.ownQ > 0 && m.random() < r.drop(ShedSplit(m.ownQ, m.n1, m.n2)) {
		m.finish(r, ByNode)
		return
	}
	s, mode := m.pick(r)
	if r.foreign && !m.spare(s, mode) {
		s, mode = nil, Blocking
	}
	// A server between H and R may have more requests than it can serve soon, or traffic has just risen.
	// The delay shows which of the two it is, so nothing is shed while the delay is low.
	if mode == Overloaded && !m.calm(s) && m.random() < r.drop(m.q1, m.q2) {
		s = nil
	}
	if !m.send(r, s, r.deadline) {
		if !r.foreign {
			m.shortAt = m.now
			m.tellShort()
		}
		m.finish(r, ByServers)
	}
}

// mayTakeHandOff tells whether a request that another site hands off may go to a server: none of this
// site's own requests has been refused within ocValidity, and the server is below L. So it displaces no
// request of this site.
func (m *Module) spare(s *server, mode Mode) bool {
	if mode != Normal || m.short() {
		return false
	}
	return m.room(s) > 0
}

// headroomOf is how many more requests a server may have and stay below L. It is positive also on an idle
// node that knows nothing of its servers yet: as many requests as harm no server, however slow it is.
func (m *Module) room(s *server) float64 {
	n, h := m.crowd(s)
	least := leastWindow / float64(m.set.Nodes)
	return math.Max(0, math.Max(lowPart*h, least)-math.Max(n, s.n))
}

// overloadedLately tells whether, within ocValidity, this node has refused a request of its own site
// because of its servers, or another node of the site has sent a notice that it did.
func (m *Module) short() bool {
	at := max(m.shortAt, m.heardShortAt)
	return at > 0 && m.now-at < validity
}

// notifyOverload sends an overload notice to the other nodes of the site. If all clients use this node,
// another node refuses nobody, and would send handed-off requests to the servers that this node needs. A
// lost notice is made up for by the one after the next refusal; a forged one does no more than keep
// handed-off requests out.
func (m *Module) tellShort() {
	if m.set.TellShort && m.set.MayMessage && m.now-m.toldShortAt >= shortEvery {
		m.toldShortAt = m.now
		m.do(SendMessage{ToAll: true, Data: []byte(shortWord)})
	}
}

// Headroom is how many more requests this node may have at its servers while each stays in Normal mode and
// below L: the number that other sites may hand off to it. Of many servers it examines a sample.
func (m *Module) Headroom(now Time) float64 {
	if m.now = max(m.now, now); m.ownMode != Normal || m.short() || len(m.near) == 0 {
		return 0
	}
	looks := min(len(m.near), spareMost)
	spare, start := 0.0, m.cursor
	for i := range looks {
		s := m.near[(start+i)%len(m.near)]
		if s.suspect || s.cold || m.modeOf(s) != Normal {
			continue
		}
		spare += m.room(s)
	}
	return spare * float64(len(m.near)) / float64(looks)
}

// dropProbability is q1 for a priority request and q2 for another one.
func (r *request) drop(q1, q2 float64) float64 {
	if r.priority {
		return q1
	}
	return q2
}

// pick chooses a server for a request: of two random servers in Normal mode, or in Overloaded mode if there
// are none in Normal, the one with the lower expected delay. It returns the mode that it chose from, and
// nil and Blocking if there is no server.
func (m *Module) pick(r *request) (*server, Mode) {
	m.awake()
	mode := Normal
	for range drawMost {
		a, b := m.draw(m.pools[mode].list, r)
		if a == nil {
			if mode++; mode == Blocking {
				return nil, Blocking
			}
			continue
		}
		// Their modes may have changed since they were put into the pool.
		m.place(a)
		m.place(b)
		switch p := &m.pools[mode]; {
		case a.in[byMode] == p && b.in[byMode] == p:
			return m.sooner(a, b), mode
		case a.in[byMode] == &m.pools[Normal] || b.in[byMode] == &m.pools[Normal]:
			mode = Normal
		}
	}
	a, b := m.draw(m.pools[Overloaded].list, r) // modes change faster than servers are drawn: use what there is
	if a == nil {
		return nil, Blocking
	}
	return m.sooner(a, b), Overloaded
}

// faster returns the server with the lower expected delay: by all nodes' requests and the servers' sizes
// where these are known, else by this node's own requests and the servers' latencies.
func (m *Module) sooner(a, b *server) *server {
	if m.counted(a) && m.counted(b) {
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
func (m *Module) draw(list []*server, r *request) (a, b *server) {
	if len(r.attempts) > 0 {
		list = m.filter(list, func(s *server) bool { return m.maySend(r, s) })
	}
	if len(list) == 0 {
		return nil, nil
	}
	i := int(m.random() * float64(len(list)))
	return list[i], list[(i+1+int(m.random()*float64(len(list)-1)))%len(list)]
}

// filter returns the servers of a list that pass, of a long list those of a random sample of maxScanned.
// The result is valid until the next call.
func (m *Module) filter(list []*server, pass func(*server) bool) []*server {
	m.drawn = m.drawn[:0]
	start := 0
	if len(list) > scanMost {
		start = int(m.random() * float64(len(list)))
	}
	for i := range min(len(list), scanMost) {
		if s := list[(start+i)%len(list)]; pass(s) {
			m.drawn = append(m.drawn, s)
		}
	}
	return m.drawn
}

// pickKeyed is pick for a retry of a keyed request: once an attempt may have run, only the same cell or
// zone drops the repeat. Servers of the subset come first, then the others of that group.
func (m *Module) pickBound(r *request) (*server, Mode) {
	list := []*server(m.ring)
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
		list = p.list
	}
	for _, near := range []bool{true, false} {
		for mode := Normal; mode < Blocking; mode++ {
			a, b := m.draw(m.filter(list, func(s *server) bool {
				return (s.near || !near) && !s.suspect && m.maySend(r, s) && !m.paced(s) && m.modeOf(s) == mode
			}), r)
			if a != nil {
				return m.sooner(a, b), mode
			}
		}
	}
	return nil, Blocking
}

// attemptEnded handles the outcome of an attempt: it updates the server, and retries the request or ends it.
func (m *Module) ended(e AttemptEnded) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayRun = true, e.Code != Full && e.Code != ConnectFailed && e.Code != Moot
	r.out--
	r.spent = r.spent || e.Spent
	m.unload(a)
	m.forget(a.server)
	m.reported(a.server, e.Report)
	m.judge(a.server, r, e)
	m.place(a.server)
	switch {
	case r.done && r.out == 0:
		delete(m.requests, r.id)
	case e.Over && !r.done:
		m.close(r)
	case !r.done && r.out == 0:
		m.again(r, a.mayRun)
	}
}

// retry makes another attempt of a request if the rules, the retry budget and the servers allow it; else it
// ends the request. costly says that the last attempt may have run, so that the retry takes a token of the
// budget.
func (m *Module) again(r *request, costly bool) {
	worthless := r.class.LateWorth == 0 && r.class.Aim > 0 && m.now-r.arrived >= r.class.Aim
	if !worthless && (m.budget >= 1 || !costly) {
		s, mode := (*server)(nil), Blocking
		if m.mayRefuse(r) {
			s, mode = m.pick(r)
		} else if r.class.Effect == Keyed {
			s, mode = m.pickBound(r) // possibly a server outside the subset
		}
		if (mode == Normal || r.priority) && m.send(r, s, r.deadline) {
			if costly {
				m.budget--
			}
			return
		}
	}
	m.finish(r, ByServers)
}

// minUnresponsiveSeconds is the shortest time without answers after which a server may be ejected as
// unresponsive, 0 until a class with an aim has been answered. Where answers take a millisecond, a few of
// them missing are only a pause, as long as the pause is short beside the delay that the aims allow.
func (m *Module) muteLeast() float64 {
	if math.IsInf(m.aimed, 1) {
		return 0
	}
	return calmPart * m.allowed()
}

// ticksPerSweep is the number of ticks in which the sweep examines every server of the subset once.
func (m *Module) round() float64 {
	return math.Max(1, math.Ceil(float64(len(m.near))/float64(m.stride())))
}

// sweepStride is the number of servers that the sweep examines in a tick.
func (m *Module) stride() int { return min(max(sweepLeast, len(m.near)/roundTicks), sweepMost) }

// continueSweep adds the next servers of the subset to sweepTotals. It tells whether the sweep is complete.
func (m *Module) look() bool {
	for range min(m.stride(), len(m.near)) {
		if m.cursor >= len(m.near) {
			break
		}
		s := m.near[m.cursor]
		m.cursor++
		if !s.near {
			continue
		}
		if w := &m.sweep; !s.suspect && !s.cold {
			w.rate, w.count = w.rate+m.rateOf(s), w.count+1
		}
		if s.report > 0 && m.now-s.reportAt < 2*validity {
			m.sweep.own, m.sweep.all = m.sweep.own+s.n, m.sweep.all+s.report
		}
	}
	if m.cursor < len(m.near) {
		return false
	}
	m.cursor = 0
	return true
}

// tick runs the periodic checks. Changes that come with time alone and with no event of a server, such as
// missing answers, are noticed here.
func (m *Module) tick() {
	if m.cursor > len(m.near) {
		m.cursor = 0
	}
	from := m.cursor
	complete := m.look()
	m.survey(complete)
	m.reckon()
	m.awake()
	for _, s := range m.near[from:min(len(m.near), from+m.stride())] {
		if !s.near {
			continue
		}
		// Unresponsive: several sends and no answer at all, for several times the expected latency.
		if s.unanswered >= suspectAt && m.mean > 0 && (m.now-s.muteSince).Seconds() >
			math.Max(m.muteLeast(), muteFactor*math.Max(m.mean, m.latencyOf(s))) {
			m.accuse(s, "no answer to its last requests")
		}
		if s.suspect {
			continue
		}
		m.place(s)
		if m.visits++; m.modeOf(s) != Normal {
			n, h := m.crowd(s)
			_, block := m.edges(s, h)
			m.fill += math.Min(1, math.Max(0, (n-h)/(block-h)))
		}
	}
	open := m.open[:0]
	for _, r := range m.open {
		if !r.done && !r.started && !(r.uploading && r.out > 0) && m.now >= r.deadline {
			m.finish(r, ByServers) // in case the outcome of an attempt never comes
		}
		if !r.done {
			open = append(open, r)
		}
	}
	clear(m.open[len(open):])
	m.open = open
	if m.now-m.periodAt >= recompute {
		m.recompute()
	}
	m.ask()
	m.placeByAge()
	m.askPeers()
	m.scout()
	m.tell()
}

// applyList applies an update of the server list, or the failure of a list request or watch. It updates
// only the servers that changed, then the ring, the subset and the pools.
func (m *Module) follow(e ListUpdate) {
	switch e.Kind {
	case ListFailed:
		m.askFailed(e)
		m.placeByAge()
		return
	case ListSilent:
		m.listAge.fallSilent(m.now, m.bound(), silentLeft)
		return
	case ListChanges, ListFull:
		m.listAge.confirm(m.now)
	}
	if e.Kind != ListCached && m.asking {
		m.subscribed, m.asking, m.subscribedAt = true, false, m.now
		m.resetAsk()
	}
	m.placeByAge()
	if e.Kind != ListChanges {
		m.lists++
	}
	m.touched = m.touched[:0]
	named := 0
	for _, n := range e.Entries {
		s := m.serverOf(n.ID)
		if s.seen != m.lists {
			s.seen, named = m.lists, named+1
		}
		if s.Server == n {
			continue // an entry that has not changed has no effect
		}
		if n.State == Ready && n.StartedAt > s.StartedAt { // a restart: what was learned of the old process is void
			s.suspect, s.broken, s.strikes, s.unanswered, s.imposedUntil = false, false, 0, 0, m.now
			m.startCold(s, m.coldFrom(n.StartedAt, e.Age))
		}
		m.enter(s, n)
	}
	if e.Kind != ListChanges && named < len(m.known) {
		for _, s := range m.known {
			if s.seen != m.lists {
				gone := s.Server
				gone.State = Gone
				m.enter(s, gone)
			}
		}
	}
	var left, come []*server
	for _, s := range m.touched {
		s.touched = false
		switch {
		case s.was && !s.ringed:
			left = append(left, s)
		case s.ringed && !s.was:
			come = append(come, s)
		}
	}
	if len(m.touched) == 0 {
		return
	}
	m.ring, m.stale = m.ring.change(left, come), true
	for _, s := range left {
		m.untag(s)
	}
	for _, s := range come {
		m.tags[s.tag()] = append(m.tags[s.tag()], s)
	}
	if m.whole {
		m.near = m.ring // the ring may have a new array
	}
	switch {
	case m.whole && len(m.ring) <= int(m.size):
		m.stale = false
		for _, s := range m.touched {
			if s.near = s.ringed; s.near {
				m.place(s)
			}
		}
	case len(m.near) <= atOnce:
		m.choose()
	} // a larger subset is chosen anew by the next recompute; removed servers have left the pools already
	clear(m.touched)
}

// applyEntry applies an entry of the list to a server.
func (m *Module) enter(s *server, n Server) {
	if !s.touched {
		s.touched, s.was = true, s.ringed
		m.touched = append(m.touched, s)
	}
	if s.ringed && (s.Cell != n.Cell || s.Zone != n.Zone || n.State != Ready) {
		ungroup(m.cells, s.Cell, s, byCell)
		ungroup(m.zones, s.Zone, s, byZone)
	}
	s.Server = n
	if n.State == Ready && !s.ringed {
		s.readySince = m.now
	}
	if s.ringed = n.State == Ready; s.ringed {
		group(m.cells, n.Cell, byCell).put(s)
		group(m.zones, n.Zone, byZone).put(s)
	} else {
		s.near = false
	}
	m.place(s)
	m.forget(s)
}
