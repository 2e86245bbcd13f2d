package decide

// The state of a Module, its source of random numbers and its log. No decision is made here.

import (
	"fmt"
	"math"
	"time"

	"starlingvalve/internal/gossip"
)

// Mode is the overload state of a server as this node sees it: the paper's s = 0, 1, 2.
type Mode int

// Overload states, by how much more load a server can take.
const (
	Normal     Mode = iota // it takes all requests
	Overloaded             // it gets more requests than it should, and some are shed
	Blocking               // it takes no requests
)

// serverRecord is what this node knows of a server.
type serverRecord struct {
	Server
	// Overload modes: by this node's count; by the server's load reports; and the one that a full answer or a
	// report imposes until imposedUntil.
	mode, reportedMode, imposed Mode
	imposedUntil                Time
	n, reportedLoad             float64 // own attempts in flight; requests in flight by the server's last report
	announcedN                  float64 // the n that the other nodes were last sent
	othersInFlight              float64 // attempts in flight of the other nodes, by their load reports
	slots                       float64 // requests that the server works on at once, smoothed; 0: not known
	probing                     bool    // a probe is outstanding
	probedAt                    Time    // when it was sent
	// Smoothed latency of a mean request, in seconds above Module.mean; smoothed rate of answers to this node,
	// in answers per second.
	excess, rate                    float64
	lastLatency                     float64 // latency of the last answer, in seconds, converted to a mean request
	recentAnswers                   float64 // number of recent answers to this node; each counts less with shortRateTau
	latencyAt, rateAt               Time    // when excess and rate were last updated
	listedAt, reportedAt            Time    // when it was first in the list; when it last reported its load
	consecutiveFailures, unanswered int     // failures since the last success; sends since the last answer
	unansweredSince                 Time    // when the first of the unanswered sends was made
	ejected, cold                   bool    // it gets trial requests only; it is in slow start
	connectFailed                   bool    // a connection to it has failed since its last answer
	inSubset, inRing                bool    // it is in the subset; it is in the ring, that is, ready
	changed, wasInRing              bool    // the list update in progress changes it; it was in the ring before that
	chosenIn, seenIn                int     // numbers of the last choice of a subset, and last full list, with this server
	trialAt, coldSince              Time    // when its next trial request is due; when its slow start began
	// Mean wait from one trial request to the next; time that is added to a block after full answers in a row.
	trialWait, fullBackoff time.Duration
	fullAt                 Time    // when the last full answer that counted came
	provenLoad             float64 // number of requests it has carried with a low latency; see updateProvenLoad
	provenLoadAt           Time    // when that was last updated; it decays from then on
	tokens                 float64 // sends that its budget allows while it is cold
	tokensAt               Time
	logAgainAt             Time   // when the next log line about it may be written
	readySince             Time   // when it became ready, as far as this node knows
	peerConfirmed          bool   // another node has reported that it is ready
	peerConfirmedAt        Time   // the time for which that is known
	peerConfirmedBy        int    // the node that reported it
	ringKey                uint64 // its position in the ring, an order of servers that all nodes share

	// By grouping: the pool that it is in, and its index there.
	pools     [groupings]*pool
	poolIndex [groupings]int
	// The heap that it is in, or nil, its index there, and the time by which the heap is ordered.
	heap      *timeHeap
	heapIndex int
	dueAt     Time
}

// classRecord is what this node knows of a class.
type classRecord struct {
	Class
	count, latency float64 // number of answers; their latency in seconds, smoothed over all servers
	answeredAt     Time    // when the last answer came
	// In seconds, Module.mean at the times of this class's answers, smoothed as latency is; in seconds, the lowest
	// that latency has been; the class's cost as a multiple of the mean request's: latency by fleetLatency.
	fleetLatency, baseLatency, relativeCost float64
}

// attemptRecord is one attempt of an open request.
type attemptRecord struct {
	server        *serverRecord
	sent          Time
	counted       bool // it is counted in its server's n
	ended, mayRun bool // its outcome is known; it may run or have run, as there is no proof that it never did
}

// requestRecord is a request without a final answer, or with attempts that are still outstanding.
type requestRecord struct {
	id                             RequestID
	class                          *classRecord
	arrived, deadline              Time
	attempts                       []attemptRecord
	firstAttempt                   [1]attemptRecord // memory for attempts, as most requests have only one
	outstanding                    int              // attempts without an outcome
	handedOff                      bool             // another site has handed it off
	priority, done, started, trial bool             // done: it has its final answer; started: a stream has begun
	overtimeEnd                    Time             // an answer may be held until then, beyond the deadline; 0: none is
	uploading, bodyConsumed        bool             // its body is still coming; too little of the body is left for a retry
}

// tenantRecord is the token bucket of a tenant's share at this node.
type tenantRecord struct {
	perNode, tokens float64 // requests per second, which is also the bucket's size; tokens at tokensAt
	tokensAt        Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	settings           Settings
	rng                uint64
	now, periodAt      Time // time of the event in progress; when the present period of q1 and q2 began
	overloadedAt       Time // when a request of this site was last refused on arrival because of the servers
	peerOverloadedAt   Time // when the last overload notice of another node came
	overloadNotifiedAt Time // when this node last sent one
	actions            []Action
	classes            map[string]*classRecord
	classList          []*classRecord // the classes of the settings in their order, then unknownClass
	unknownClass       *classRecord   // for requests of classes that the settings don't have
	tenants            map[string]*tenantRecord
	known              map[ServerID]*serverRecord
	ring               ring            // the ready servers
	subset             []*serverRecord // the subset in use; the ring itself if that is all of it
	subsetIsRing       bool            // subset is the ring itself
	subsetStale        bool            // the ring has changed since the subset was chosen
	cells              map[int]*pool
	zones              map[string]*pool
	pools              [Blocking + 1]pool // the subset by mode, without ejected servers and cold ones without a token
	// Servers whose pool changes with time alone, by the time of the change; ejected servers, by their next trial.
	wakeups, trials            timeHeap
	candidates, changedServers []*serverRecord // scratch memory of filter; servers that the present list update changes
	listCount                  int             // number of full lists so far
	sweepCursor                int             // index in the subset at which the sweep goes on
	sweepTotals                sweepTotals
	requests                   map[RequestID]*requestRecord
	openRequests               []*requestRecord // in order of arrival
	ticking, learned           bool             // the timer runs; the rates of the subset are known
	answers                    float64          // number of answers whose latency was learned
	// Latencies of a mean request in seconds: smoothed; uncongested; and the one up to which each class meets its aim.
	mean, baseMean, aimedMean float64
	arrivals, arrivalRate     float64 // arrivals per second: smoothed; the same without the bias that starting at 0 has
	subsetSize                float64 // number of servers that the subset is meant to have
	arrivedAt, startAt        Time    // when the last request came; when this process or its first predecessor started
	subsetChoices             int     // number of subsets chosen so far
	fleetRate, peakRate       float64 // answers per second to this node of the mean warm server; the highest this has been
	recentMean                float64 // like mean, with the time constant subsetSendInterval, in seconds
	firstAnswerAt,
	answeredAt Time // when the first and the last answer came
	leastMean                          float64 // the lowest that mean has been, in seconds
	evenRate                           float64 // like fleetRate, but the mean of the whole subset
	share                              float64 // this node's part of all requests at the servers
	n1, n2, q1, q2                     float64 // this period's arrivals with and without priority; drop probabilities
	overloadSum, modeChecks            float64 // sum of loads, from 0 at H to 1 at R, over this period's checks; checks
	period, nodeSalt                   uint64  // number of this period; a random number of this node
	smoothedNodeDelay                  float64 // smoothed part of an answer's latency in this node, in seconds
	nodeDelayAt                        Time    // when that was last updated
	nodeMode                           Mode    // overload mode of this node
	nodeDropFraction                   float64 // drop fraction because of this node's own overload
	logTokens                          float64 // log lines that may be written
	logTokensAt                        Time
	meanWorth, topWorth                float64      // smoothed worth of the arrivals; highest worth of any class
	retryTokens                        float64      // retries that the retry budget allows
	subscribed, listRequested          bool         // a watch is open; a list request is outstanding
	subscribedAt                       Time         // when the watch was opened
	nextListRequestAt, listRequestedAt Time         // when the next list request is due; when the last one was made
	lastProbeAt, nextCountsAt          Time         // when the last probe was sent; when the next report of counts is due
	probeJitter                        float64      // random part of the time to the next probe, from 0 to 1
	countsSent                         int          // number of reports of counts sent so far
	announcedSome                      bool         // the last full report, or one after it, named a server
	peerReports                        []peerReport // last reports of the others by node number; nil until the first
	othersEstimate                     gossip.LoadEstimator
	// No current reports of other nodes; then, the estimated attempts of the others at each server of the subset.
	reportsMissing  bool
	estimatedOthers float64
	countItems      []countItem                // scratch memory for the report of counts
	announcedSomeTo []bool                     // like announcedSome, for each other node by its number
	inAudience      []bool                     // by node number: its arc of the ring overlaps this node's
	audienceSizes   [2]int                     // lengths of the ring and of this node's arc for which that holds
	tags            map[uint16][]*serverRecord // servers of the ring by tag, which several may share
	slots           float64                    // requests that the mean server works on at once; 0: not known
	// Drop fraction while no server is in Normal mode: its integral part; all of it.
	persistentShed, totalShed float64
	// Backoff of list requests after a failure, after waiting in vain for a turn, and after an unusable answer.
	failedBackoff      time.Duration
	overloadBackoff    time.Duration
	uselessBackoff     time.Duration
	overloadedCalls    int // list requests in a row that waited in vain for their turn
	listAge            listAge
	placedUsable       bool // the list was usable when servers were last put into pools by its age
	nextQueryAt        Time // when the next readiness query is due
	queriedAt          Time // when the last one was sent
	queryNumber        byte // the number of that one
	peerConfirmedUntil Time // until then, some server may be used by the readiness reports of other nodes
}

// New makes the module of a node that has just started. seed makes the random numbers of nodes differ.
func New(settings Settings, seed int64) *Module {
	m := &Module{settings: settings, rng: uint64(seed)*2 + 1, retryTokens: maxRetryTokens,
		classes: map[string]*classRecord{}, tenants: map[string]*tenantRecord{}, known: map[ServerID]*serverRecord{},
		requests: map[RequestID]*requestRecord{}, listAge: newListAge(), tags: map[uint16][]*serverRecord{},
		cells: map[int]*pool{}, zones: map[string]*pool{}}
	m.nodeSalt = mix(m.rng)
	for i := range m.pools {
		m.pools[i].grouping = byMode
	}
	m.settings.Nodes = max(1, settings.Nodes)
	m.inAudience, m.announcedSomeTo = make([]bool, m.settings.Nodes), make([]bool, m.settings.Nodes)
	m.share = 1 / float64(m.settings.Nodes)
	if !settings.HoldOffs {
		m.settings.MaxHoldOff = 0
	}
	for _, class := range settings.Classes {
		record := &classRecord{Class: class, relativeCost: 1}
		m.classes[class.Name], m.classList, m.topWorth =
			record, append(m.classList, record), math.Max(m.topWorth, class.Worth)
	}
	m.unknownClass = &classRecord{relativeCost: 1}
	m.classList, m.meanWorth = append(m.classList, m.unknownClass), m.topWorth
	for _, tenant := range settings.Tenants {
		m.tenants[tenant.Name] = &tenantRecord{perNode: tenant.Quota / float64(m.settings.Nodes)}
	}
	return m
}

// classOf returns the class of a name. All names that the settings don't have share one class, unsafe and without
// worth: clients may send any name, so a record for each could fill the memory.
func (m *Module) classOf(name string) *classRecord {
	if c := m.classes[name]; c != nil {
		return c
	}
	return m.unknownClass
}

// takeToken takes a token of the tenant's share and tells whether there was one.
func (t *tenantRecord) takeToken(now Time) bool {
	t.tokens, t.tokensAt = math.Min(t.perNode, t.tokens+t.perNode*(now-t.tokensAt).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}

// serverOf returns the record of a server, made if there is none.
func (m *Module) serverOf(id ServerID) *serverRecord {
	if m.known[id] == nil {
		m.known[id] = &serverRecord{Server: Server{State: Removed}, listedAt: m.now, logAgainAt: m.now,
			ringKey: mix(uint64(id) * 0x9e3779b97f4a7c15)}
	}
	return m.known[id]
}

// forgetRemoved deletes the record of a removed server once it has no attempts. New servers get new ids without
// end, so records would fill the memory.
func (m *Module) forgetRemoved(s *serverRecord) {
	if s.State == Removed && s.n <= 0 && m.known[s.ID] == s {
		delete(m.known, s.ID)
	}
}

// emit adds an action to those that Handle returns.
func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

// logServer logs a line about a server, at most one in 5 s, as a server that fails and recovers all the time would
// fill the disk. The lines about all servers have a bound, too: thousands of servers may fail at once.
func (m *Module) logServer(s *serverRecord, line string) {
	if m.now >= s.logAgainAt && m.mayLog() {
		s.logAgainAt = m.now + 5*time.Second
		m.emit(Log{fmt.Sprintf("server %d %s", s.ID, line)})
	}
}

// The token bucket for log lines.
const (
	logLinesPerSecond = 10
	logBurst          = 200
)

// mayLog takes a token for a log line and tells whether there was one.
func (m *Module) mayLog() bool {
	m.logTokens, m.logTokensAt = math.Min(logBurst, m.logTokens+logLinesPerSecond*(m.now-m.logTokensAt).Seconds()), m.now
	ok := m.logTokens >= 1
	if ok {
		m.logTokens--
	}
	return ok
}

// sweepTotals are the sums over the servers that a sweep has examined so far: the rates of answers and the number of
// those that are neither ejected nor cold; of those with a recent load report, this node's requests and all requests
// that they report.
type sweepTotals struct{ rate, count, own, all float64 }

// poolFor returns the pool of a key, made if there is none.
func poolFor[K comparable](groups map[K]*pool, key K, by int) *pool {
	p := groups[key]
	if p == nil {
		p = &pool{grouping: by}
		groups[key] = p
	}
	return p
}

// removeFromGroup removes a server from the pool of a key. An empty pool is deleted, as new keys come without end.
func removeFromGroup[K comparable](groups map[K]*pool, key K, s *serverRecord, by int) {
	if removeFromPool(s, by); groups[key] != nil && len(groups[key].servers) == 0 {
		delete(groups, key)
	}
}

// dither is a pseudo-random number in [0,1) that depends on the server, the node and the period.
func (m *Module) dither(s *serverRecord) float64 {
	return float64(mix(s.ringKey^m.nodeSalt+m.period*0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// decay is the factor by which a value fades over a time with the time constant tau, in seconds.
func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

// mix is the finalizer of splitmix64: all bits of z affect all bits of the result.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// random returns a pseudo-random number in [0,1).
func (m *Module) random() float64 {
	m.rng += 0x9e3779b97f4a7c15
	return float64(mix(m.rng)>>11) / (1 << 53)
}

// jitter returns a random time between 0.5 and 1.5 times d.
func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}

// UnhealthyCount is the number of servers of the subset that get no normal traffic because of their health: ejected
// ones and those in Blocking mode.
func (m *Module) UnhealthyCount() int { return len(m.trials.servers) + len(m.pools[Blocking].servers) }

// ModeCounts is the number of servers of the subset in each mode, as each server was last checked. Excluded counts
// those that are in no pool: ejected servers, cold ones whose budget is spent, and all without a valid list.
type ModeCounts struct{ Normal, Overloaded, Blocking, Excluded int }

// ModeCounts counts the servers of the subset by mode. It does not change the module.
func (m *Module) ModeCounts() ModeCounts {
	counts := ModeCounts{Normal: len(m.pools[Normal].servers), Overloaded: len(m.pools[Overloaded].servers),
		Blocking: len(m.pools[Blocking].servers)}
	counts.Excluded = max(0, len(m.subset)-counts.Normal-counts.Overloaded-counts.Blocking)
	return counts
}
