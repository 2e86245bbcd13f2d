// Package stats holds the metrics of a node: counters of requests by their end, of attempts, lists and calls to
// discovery, and gauges of its present state. Each is an atomic that is updated where the event happens, so that
// readers never block.
package stats

import (
	"io"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/relay"
)

// ClassCounts counts the ended requests of one class, by how they ended. The counts never go down.
type ClassCounts struct {
	Answered atomic.Int64 // answered with 200
	Deferred atomic.Int64 // refused with 429 or 503: a retry is harmless
	Errored  atomic.Int64 // ended in any other way

	latencyBounds []time.Duration // upper bounds of the latency buckets, ascending; nil: latencies are not counted
	latencies     []atomic.Int64  // 200 responses by latency: one bucket up to each bound, and one above the last
}

// Metrics holds the metrics of one process, counted from its start. A nil *Metrics counts nothing.
type Metrics struct {
	classNames []string
	classes    map[string]*ClassCounts

	sends    atomic.Int64 // attempts whose last byte was written to a server, copies included and probes not
	inFlight atomic.Int64 // requests received completely and not ended
	servers  atomic.Int64 // servers on the list
	avoided  atomic.Int64 // servers on the list to which the node sends no normal traffic

	outcomes      [outcomeKinds]atomic.Int64      // attempts by outcome
	lists         [sourceKinds]atomic.Int64       // applied lists by source
	transitions   atomic.Int64                    // changes of the state of a server
	revision      atomic.Int64                    // of the list in force
	listAgeMS     atomic.Int64                    // ms since discovery last confirmed the list; -1: never
	watched       atomic.Int64                    // 1 while a watch keeps the list up to date, 0 otherwise
	usable        atomic.Int64                    // 1 while the list, or a server of it, is valid, 0 otherwise
	refusedNoList atomic.Int64                    // requests refused because there was no valid list
	calls         [callKinds]atomic.Int64         // calls to discovery by how they ended
	unwatched     [decide.BasisKinds]atomic.Int64 // attempts begun without a watch, by what allowed them
	guard         atomic.Pointer[guard.Guard]
	memory        atomic.Pointer[memory.Account]
	events        [eventCount]atomic.Int64
	answerEnds    [relay.EndKinds]atomic.Int64 // answers of servers by how they ended
}

// New returns the metrics of a node with these classes. Requests of other classes are not counted, as clients may send
// any name.
func New(classes []string) *Metrics {
	metrics := &Metrics{classNames: classes, classes: map[string]*ClassCounts{}}
	for _, name := range classes {
		metrics.classes[name] = new(ClassCounts)
	}
	return metrics
}

// Class returns the counts of a class, or nil if it is unknown.
func (m *Metrics) Class(name string) *ClassCounts {
	if m == nil {
		return nil
	}
	return m.classes[name]
}

// RequestEnded counts a request of a class by the status of its final response.
func (m *Metrics) RequestEnded(class string, status int) {
	counts := m.Class(class)
	switch {
	case counts == nil:
	case status == 200:
		counts.Answered.Add(1)
	case status == 429 || status == 503:
		counts.Deferred.Add(1)
	default:
		counts.Errored.Add(1)
	}
}

// TrackLatency enables the counting of latencies of a class, in buckets with these upper bounds, which must be
// ascending. It must be called before the first request of the class is answered.
func (m *Metrics) TrackLatency(class string, bounds []time.Duration) {
	if counts := m.Class(class); counts != nil {
		counts.latencyBounds, counts.latencies = bounds, make([]atomic.Int64, len(bounds)+1)
	}
}

// RecordLatency counts the time since the start of a request if its status is 200 and the latencies of its class are
// counted.
func (m *Metrics) RecordLatency(class string, status int, began time.Time) {
	counts := m.Class(class)
	if counts == nil || counts.latencyBounds == nil || status != 200 {
		return
	}
	i, _ := slices.BinarySearch(counts.latencyBounds, time.Since(began))
	counts.latencies[i].Add(1)
}

// LatencyCounts returns the number of responses in each latency bucket of a class, or nil if they are not counted.
func (m *Metrics) LatencyCounts(class string) (counts []uint64) {
	e := m.Class(class)
	if e == nil {
		return nil
	}
	for i := range e.latencies {
		counts = append(counts, uint64(e.latencies[i].Load()))
	}
	return counts
}

// EachClass calls visit with the counts of each class, in the order of New.
func (m *Metrics) EachClass(visit func(class string, answered, deferred, errored int64)) {
	for _, name := range m.classNames {
		counts := m.classes[name]
		visit(name, counts.Answered.Load(), counts.Deferred.Load(), counts.Errored.Load())
	}
}

// AttemptSent counts an attempt that was written completely to a server.
func (m *Metrics) AttemptSent() {
	if m != nil {
		m.sends.Add(1)
	}
}

// AddInFlight changes the number of requests in flight: n is 1 for a request received completely, and -1 at its end.
func (m *Metrics) AddInFlight(n int64) {
	if m != nil {
		m.inFlight.Add(n)
	}
}

// Names of outcomes of attempts and of sources of lists, in the order of decide.OutcomeCode and serverlist.Source.
var (
	outcomeNames = []string{"ok", "error", "full", "timeout", "connect", "reset", "cancelled", "moot"}
	sourceNames  = []string{"none", "cache", "predecessor", "call", "watch", "push", "cordon"}
)

// Names of the results of calls to discovery, in the order of decide.FailureCause; the first is for answered calls.
var callNames = []string{"answered", "moved", "went_down", "broken", "unreachable", "crowded", "useless", "local"}

const (
	callKinds    = 8
	outcomeKinds = 8
	sourceKinds  = 7
)

// SetGuard adds the counts of a guard to the metrics that are written.
func (m *Metrics) SetGuard(g *guard.Guard) {
	if m != nil {
		m.guard.Store(g)
	}
}

// SetMemory adds an account of memory to the metrics that are written.
func (m *Metrics) SetMemory(account *memory.Account) {
	if m != nil {
		m.memory.Store(account)
	}
}

// AttemptEnded counts an attempt by its outcome, a decide.OutcomeCode.
func (m *Metrics) AttemptEnded(outcome int) {
	if m != nil && outcome >= 0 && outcome < outcomeKinds {
		m.outcomes[outcome].Add(1)
	}
}

// AnswerEnded counts the body of a server's answer by how it ended.
func (m *Metrics) AnswerEnded(end relay.End) {
	if m != nil && end >= 0 && int(end) < relay.EndKinds {
		m.answerEnds[end].Add(1)
	}
}

// ListApplied counts an applied list by its source, a serverlist.Source, and the number of servers whose state it
// changed.
func (m *Metrics) ListApplied(source, transitions int) {
	if m != nil && source >= 0 && source < sourceKinds {
		m.lists[source].Add(1)
		m.transitions.Add(int64(transitions))
	}
}

// SetList sets the gauges of the list in force: its revision, the time since discovery last confirmed it (negative:
// never), and whether a watch keeps it up to date.
func (m *Metrics) SetList(revision uint64, age time.Duration, watched bool) {
	if m == nil {
		return
	}
	m.revision.Store(int64(revision))
	m.listAgeMS.Store(max(-1, age.Milliseconds()))
	m.watched.Store(0)
	if watched {
		m.watched.Store(1)
	}
}

// CallEnded counts an ended call to discovery, or a failed watch, by its decide.FailureCause; 0 means that it was
// answered.
func (m *Metrics) CallEnded(cause int) {
	if m != nil && cause >= 0 && cause < callKinds {
		m.calls[cause].Add(1)
	}
}

// UnwatchedSend counts an attempt that begins without a watch, by what allows it.
func (m *Metrics) UnwatchedSend(basis decide.BasisKind) {
	if m != nil && basis >= 0 && basis < decide.BasisKinds {
		m.unwatched[basis].Add(1)
	}
}

// SetUsable sets whether the list, or at least one server of it, is valid, so that requests can be sent.
func (m *Metrics) SetUsable(usable bool) {
	if m == nil {
		return
	}
	m.usable.Store(0)
	if usable {
		m.usable.Store(1)
	}
}

// RefusedNoList counts a request that was refused because there was no valid list.
func (m *Metrics) RefusedNoList() {
	if m != nil {
		m.refusedNoList.Add(1)
	}
}

// SetServers sets the number of servers on the list, and how many of them get no normal traffic from this node.
func (m *Metrics) SetServers(servers, avoided int) {
	if m != nil {
		m.servers.Store(int64(servers))
		m.avoided.Store(int64(avoided))
	}
}

// WriteTo writes the metrics, one per line, in the form of statsd: counters as NAME:N|c, gauges as NAME:N|g.
func (m *Metrics) WriteTo(w io.Writer) (int64, error) {
	text := make([]byte, 0, 256+128*len(m.classNames))
	line := func(name string, value int64, kind string) {
		text = append(append(text, "gw."...), name...)
		text = append(strconv.AppendInt(append(text, ':'), value, 10), kind...)
	}
	for _, name := range m.classNames {
		counts := m.classes[name]
		line("transactions."+name+".answered", counts.Answered.Load(), "|c\n")
		line("transactions."+name+".deferred", counts.Deferred.Load(), "|c\n")
		line("transactions."+name+".errored", counts.Errored.Load(), "|c\n")
	}
	line("sends", m.sends.Load(), "|c\n")
	line("current", max(0, m.inFlight.Load()), "|g\n")
	line("cluster_size", m.servers.Load(), "|g\n")
	line("cluster_unhealthy", m.avoided.Load(), "|g\n")
	for i, name := range outcomeNames {
		line("attempts."+name, m.outcomes[i].Load(), "|c\n")
	}
	for i, name := range sourceNames[1:] {
		line("lists."+name, m.lists[i+1].Load(), "|c\n")
	}
	line("transitions", m.transitions.Load(), "|c\n")
	line("list.revision", m.revision.Load(), "|g\n")
	line("list.age_ms", m.listAgeMS.Load(), "|g\n")
	line("list.watched", m.watched.Load(), "|g\n")
	line("list.usable", m.usable.Load(), "|g\n")
	line("list.refused", m.refusedNoList.Load(), "|c\n")
	for i, name := range callNames {
		line("calls."+name, m.calls[i].Load(), "|c\n")
	}
	for kind := decide.BasisWatch + 1; kind < decide.BasisKinds; kind++ {
		line("unwatched."+kind.String(), m.unwatched[kind].Load(), "|c\n")
	}
	g := m.guard.Load()
	for _, rule := range guard.Rules() {
		refused, violated := g.Counts(rule)
		line("guard."+rule.String()+".refused", refused, "|c\n")
		line("guard."+rule.String()+".violated", violated, "|c\n")
	}
	line("guard.unwatched_sends", g.StaleSends(), "|c\n")
	account := m.memory.Load()
	line("memory.limit", account.Limit(), "|g\n")
	for _, kind := range memory.Kinds() {
		line("memory."+kind.String(), account.Held(kind), "|g\n")
	}
	for event, name := range eventNames {
		line("events."+name, m.events[event].Load(), "|c\n")
	}
	for end := range m.answerEnds {
		line("answers."+relay.End(end).String(), m.answerEnds[end].Load(), "|c\n")
	}
	n, err := w.Write(text)
	return int64(n), err
}
