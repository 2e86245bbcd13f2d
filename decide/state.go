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
type server struct {
	Server
	// Overload modes: by this node's count; by the server's load reports; and the one that a full answer or a
	// report imposes until imposedUntil.
	mode, told, imposed Mode
	imposedUntil        Time
	n, report           float64 // own attempts in flight; requests in flight by the server's last report
	toldN               float64 // the n that the other nodes were last sent
	others              float64 // attempts in flight of the other nodes, by their load reports
	slots               float64 // requests that the server works on at once, smoothed; 0: not known
	asked               bool    // a probe is outstanding
	askedAt             Time    // when it was sent
	// Smoothed latency of a mean request, in seconds above Module.mean; smoothed rate of answers to this node,
	// in answers per second.
	excess, rate        float64
	last                float64 // latency of the last answer, in seconds, converted to a mean request
	brisk               float64 // number of recent answers to this node; each counts less with shortRateTau
	latencyAt, rateAt   Time    // when excess and rate were last updated
	since, reportAt     Time    // when it was first in the list; when it last reported its load
	strikes, unanswered int     // failures since the last success; sends since the last answer
	muteSince           Time    // when the first of the unanswered sends was made
	suspect, cold       bool    // it gets trial requests only; it is in slow start
	broken              bool    // a connection to it has failed since its last answer
	near, ringed        bool    // it is in the subset; it is in the ring, that is, ready
	touched, was        bool    // the list update in progress changes it; it was in the ring before that
	chosen, seen        int     // numbers of the last choice of a subset and of the last full list with this server
	trialAt, coldSince  Time    // when its next trial request is due; when its slow start began
	// Mean wait from one trial request to the next; time that is added to a block after full answers in a row.
	trialWait, backoff time.Duration
	fullAt             Time    // when the last full answer that counted came
	room               float64 // number of requests it has carried with a low latency, and a step; see updateProvenLoad
	roomAt             Time    // when that was last updated; it decays from then on
	tokens             float64 // sends that its budget allows while it is cold
	tokensAt           Time
	quietUntil         Time   // when the next log line about it may be written
	readySince         Time   // when it became ready, as far as this node knows
	vouched            bool   // another node has reported that it is ready
	vouchedAt          Time   // the time for which that is known
	place              uint64 // its position in the ring, an order of servers that all nodes share

	// By grouping: the pool that it is in, and its index there.
	in   [groupings]*pool
	slot [groupings]int
	// The heap that it is in, or nil, its index there, and the time by which the heap is ordered.
	alarms    *alarms
	alarmSlot int
	alarmAt   Time
}

// classRecord is what this node knows of a class.
type class struct {
	Class
	count, latency float64 // number of answers; their latency in seconds, smoothed over all servers
	at             Time    // when the last answer came
	// In seconds, Module.mean at the times of this class's answers, smoothed as latency is; in seconds, the lowest
	// that latency has been; the class's cost as a multiple of the mean request's: latency by fleetLatency.
	ambient, base, relative float64
}

// attemptRecord is one attempt of an open request.
type attempt struct {
	server        *server
	sent          Time
	loads         bool // it is counted in its server's n
	ended, mayRun bool // its outcome is known; it may run or have run, as there is no proof that it never did
}

// requestRecord is a request without a final answer, or with attempts that are still outstanding.
type request struct {
	id                             RequestID
	class                          *class
	arrived, deadline              Time
	attempts                       []attempt
	first                          [1]attempt // memory for attempts, as most requests have only one
	out                            int        // attempts without an outcome
	foreign                        bool       // another site has handed it off
	priority, done, started, trial bool       // done: it has its final answer; started: a stream has begun
	uploading, spent               bool       // its body is still coming; too little of the body is left for a retry
}

// tenantRecord is the token bucket of a tenant's share at this node.
type tenant struct {
	perNode, tokens float64 // requests per second, also the bucket's size; tokens at the time below
	at              Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	set           Settings
	rng           uint64
	now, periodAt Time // time of the event in progress; when the present period of q1 and q2 began
	shortAt       Time // when a request of this site was last refused on arrival because of the servers
	heardShortAt  Time // when the last overload notice of another node came
	toldShortAt   Time // when this node last sent one
	out           []Action
	classes       map[string]*class
	order         []*class // the classes of the settings in their order, then unknownClass
	other         *class   // for requests of classes that the settings don't have
	tenants       map[string]*tenant
	known         map[ServerID]*server
	ring          ring      // the ready servers
	near          []*server // the subset in use; the ring itself if that is all of it
	whole         bool      // subset is the ring itself
	stale         bool      // the ring has changed since the subset was chosen
	cells         map[int]*pool
	zones         map[string]*pool
	pools         [Blocking + 1]pool // the subset by mode, without ejected servers and cold ones without a token
	// Servers whose pool changes with time alone, by the time of the change; ejected servers, by their next trial.
	wake, trials     alarms
	drawn, touched   []*server // scratch memory of filter; servers that the list update in progress changes
	lists            int       // number of full lists so far
	cursor           int       // index in the subset at which the sweep goes on
	sweep            sweep
	requests         map[RequestID]*request
	open             []*request // in order of arrival
	ticking, learned bool       // the timer runs; the rates of the subset are known
	answers          float64    // number of answers whose latency was learned
	// Latencies of a mean request in seconds: smoothed; uncongested; and the one up to which each class meets its aim.
	mean, base, aimed  float64
	arrivals, rate     float64 // arrivals per second: smoothed; the same without the bias that starting at 0 has
	size               float64 // number of servers that the subset is meant to have
	arrivedAt, startAt Time    // when the last request came; when this process, or the first it took over from, started
	choices            int     // number of subsets chosen so far
	fleetRate, peak    float64 // answers per second to this node of the mean warm server; the highest this has been
	recent             float64 // like mean, with the time constant subsetSendInterval, in seconds
	firstAt,
	answeredAt Time // when the first and the last answer came
	least              float64 // the lowest that mean has been, in seconds
	evenRate           float64 // like fleetRate, spread over the whole subset with ejected and cold servers
	share              float64 // this node's part of all requests at the servers
	n1, n2, q1, q2     float64 // arrivals of this period with and without priority; their drop probabilities
	fill, visits       float64 // sum of how far servers were from H (0) to R (1) when checked; checks of this period
	period, salt       uint64  // number of this period; a random number of this node
	own                float64 // the part of an answer's latency that passes in this node, smoothed, in seconds
	ownAt              Time    // when that was last updated
	ownMode            Mode    // overload mode of this node
	ownQ               float64 // drop fraction because of this node's own overload
	notes              float64 // log lines that may be written
	notesAt            Time
	worth, top         float64 // smoothed worth of the arrivals; highest worth of any class
	budget             float64 // retries that the retry budget allows
	subscribed, asking bool    // a watch is open; a list request is outstanding
	subscribedAt       Time    // when the watch was opened
	askAt, askedAt     Time    // when the next list request is due; when the last one was made
	probedAt, tellAt   Time    // when the last probe was sent; when the next report of counts is due
	dice               float64 // random part of the time to the next probe, from 0 to 1
	words              int     // number of reports of counts sent so far
	toldSome           bool    // the last full report, or one after it, named a server
	others             []told  // last reports of the other nodes by node number; nil until the first one
	reckoning          gossip.Reckoning
	// No current reports of other nodes; then, the estimated attempts of the others at each server of the subset.
	deaf         bool
	reckoned     float64
	items        []item               // scratch memory for the report of counts
	toldPeer     []bool               // like announcedSome, for each other node by its number
	inAudience   []bool               // by node number: nodes whose arcs of the ring overlap this node's
	audienceOf   [2]int               // lengths of the ring and of this node's arc for which that holds
	tags         map[uint16][]*server // servers of the ring by tag, which several may share
	slots        float64              // requests that the mean server works on at once; 0: not known
	shed, shedNow float64             // drop fraction while no server is normal: its persistent part; all of it
	// Backoff of list requests after a failure, after waiting in vain for a turn, and after an unusable answer.
	askWait      time.Duration
	crowdedWait  time.Duration
	uselessWait  time.Duration
	crowdedRow   int // list requests in a row that waited in vain for their turn
	listAge      listAge
	placedUsable bool // the list was usable when servers were last put into pools by its age
	vouchAskAt   Time // when the next readiness query is due
	vouchAskedAt Time // when the last one was sent
	vouchNumber  byte // the number of that one
	vouchedUntil Time // until then, some server may be used by the readiness reports of other nodes
}

// New makes the module of a node that has just started. seed makes the random numbers of nodes differ.
func New(s Settings, seed int64) *Module {
	m := &Module{set: s, rng: uint64(seed)*2 + 1, budget: retryBurst, classes: map[string]*class{},
		tenants: map[string]*tenant{}, known: map[ServerID]*server{}, requests: map[RequestID]*request{}, listAge: newListAge(),
		tags: map[uint16][]*server{}, cells: map[int]*pool{}, zones: map[string]*pool{}}
	m.salt = mix(m.rng)
	for i := range m.pools {
		m.pools[i].by = byMode
	}
	m.set.Nodes = max(1, s.Nodes)
	m.inAudience, m.toldPeer = make([]bool, m.set.Nodes), make([]bool, m.set.Nodes)
	m.share = 1 / float64(m.set.Nodes)
	if !s.HoldOffs {
		m.set.MaxHoldOff = 0
	}
	for _, c := range s.Classes {
		k := &class{Class: c, relative: 1}
		m.classes[c.Name], m.order, m.top = k, append(m.order, k), math.Max(m.top, c.Worth)
	}
	m.other = &class{relative: 1}
	m.order, m.worth = append(m.order, m.other), m.top
	for _, t := range s.Tenants {
		m.tenants[t.Name] = &tenant{perNode: t.Quota / float64(m.set.Nodes)}
	}
	return m
}

// classOf returns the class of a name. All names that the settings don't have are one class, unsafe and without
// worth: clients may send any name, and there is no end of them.
func (m *Module) classOf(name string) *class {
	if c := m.classes[name]; c != nil {
		return c
	}
	return m.other
}

// takeToken takes a token of the tenant's share and tells whether there was one.
func (t *tenant) within(now Time) bool {
	t.tokens, t.at = math.Min(t.perNode, t.tokens+t.perNode*(now-t.at).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}

// serverOf returns the record of a server, made if there is none.
func (m *Module) serverOf(id ServerID) *server {
	if m.known[id] == nil {
		m.known[id] = &server{Server: Server{State: Gone}, since: m.now, quietUntil: m.now, place: mix(uint64(id) * 0x9e3779b97f4a7c15)}
	}
	return m.known[id]
}

// forgetRemoved deletes the record of a removed server once it has no attempts. New servers get new ids without
// end, so records would fill the memory.
func (m *Module) forget(s *server) {
	if s.State == Gone && s.n <= 0 && m.known[s.ID] == s {
		delete(m.known, s.ID)
	}
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

// logServer logs a line about a server, at most one in 5 s, as a server that fails and recovers all the time would
// fill the disk. The lines about all servers have a bound, too: thousands of servers may fail at once.
func (m *Module) note(s *server, line string) {
	if m.now >= s.quietUntil && m.mayNote() {
		s.quietUntil = m.now + 5*time.Second
		m.do(Log{fmt.Sprintf("server %d %s", s.ID, line)})
	}
}

// The token bucket for log lines.
const (
	notesPerSecond = 10
	notesAtOnce    = 200
)

// mayLog takes a token for a log line and tells whether there was one.
func (m *Module) mayNote() bool {
	m.notes, m.notesAt = math.Min(notesAtOnce, m.notes+notesPerSecond*(m.now-m.notesAt).Seconds()), m.now
	ok := m.notes >= 1
	if ok {
		m.notes--
	}
	return ok
}

// sweepTotals are the sums over the servers that a sweep has examined so far: rates of answers and number of the warm
// servers; of servers with a recent load report, this node's requests and all requests that they report.
type sweep struct{ rate, count, own, all float64 }

// poolFor returns the pool of a key, made if there is none.
func group[K comparable](groups map[K]*pool, key K, by int) *pool {
	p := groups[key]
	if p == nil {
		p = &pool{by: by}
		groups[key] = p
	}
	return p
}

// removeFromGroup removes a server from the pool of a key. An empty pool is deleted, as new keys come without end.
func ungroup[K comparable](groups map[K]*pool, key K, s *server, by int) {
	if leave(s, by); groups[key] != nil && len(groups[key].list) == 0 {
		delete(groups, key)
	}
}

// dither is a pseudo-random number in [0,1) that depends on the server, the node and the period.
func (m *Module) dither(s *server) float64 {
	return float64(mix(s.place^m.salt+m.period*0x9e3779b97f4a7c15)>>11) / (1 << 53)
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
func (m *Module) Avoided() int { return len(m.trials.list) + len(m.pools[Blocking].list) }

// ModeCounts is the number of servers of the subset in each mode, as each server was last checked. Excluded counts
// those that are in no pool: ejected servers, cold ones whose budget is spent, and all without a valid list.
type Census struct{ Normal, Overloaded, Blocking, Apart int }

// ModeCounts counts the servers of the subset by mode. It does not change the module.
func (m *Module) Census() Census {
	c := Census{Normal: len(m.pools[Normal].list), Overloaded: len(m.pools[Overloaded].list), Blocking: len(m.pools[Blocking].list)}
	c.Apart = max(0, len(m.near)-c.Normal-c.Overloaded-c.Blocking)
	return c
}
