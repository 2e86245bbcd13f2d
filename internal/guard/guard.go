// Package guard checks each attempt at a server right before it is sent, and again right after, and each client's
// request when it ends. It refuses attempts that would break a rule, and counts refusals and violations by rule. It
// does no I/O: times are arguments, and its only state are the counters.
package guard

import (
	"sync/atomic"
	"time"

	"starlingvalve/decide"
)

// Rule is one of the rules that the guard enforces.
type Rule int

// The rules. None means that no rule is broken.
const (
	None      Rule = iota
	Lost           // a request that was read whole gets its final answer
	Duplicate      // an unsafe request runs at most once, and no idempotency key is sent after its deduplication window
	Drain          // nothing is sent to a server that is draining or removed
	Failback       // a server in slow start gets no more than all processes together may send it
	Deadline       // nothing is sent after the client's deadline, and no server gets a longer time than the client has left
	Departed       // nothing is sent for a client that has left, or for a request that is over
	ruleCount
)

var ruleNames = [ruleCount]string{"none", "lost", "duplicate", "drain", "failback", "deadline", "departed"}

// String is the rule's name in logs and metrics.
func (r Rule) String() string { return ruleNames[r] }

// Error makes a rule an error, which says why an attempt was refused.
func (r Rule) Error() string { return "refused by the guard: " + r.String() }

// Rules returns all rules except None.
func Rules() []Rule { return []Rule{Lost, Duplicate, Drain, Failback, Deadline, Departed} }

const (
	// DepartedWithin is how long after its client has left an attempt may still start.
	DepartedWithin = 100 * time.Millisecond
	// DeadlineSlack is by how much the time limit that is sent to a server may exceed the time that the client has
	// left.
	DeadlineSlack = 150 * time.Millisecond
)

// Attempt describes an attempt at one moment: right before its first byte is written, or right after the last one.
type Attempt struct {
	Now            time.Time
	Probe          bool          // a health check, which belongs to no request
	TimeLeft       time.Duration // the time limit that is sent to the server (X-Time-Left), from Now; 0: not known yet
	Deadline       time.Time     // the server has to answer by then
	ClientDeadline time.Time     // the client's own deadline

	Over       bool // the request has its final answer, or has been cancelled
	ClientGone bool // the client has left, by a check that is as recent as the caller requires

	Effect     decide.Effect
	MayHaveRun bool      // an earlier attempt of the request may have run
	WriteBy    time.Time // the attempt has to be written by then, as servers forget the idempotency key; zero: no limit

	ListValidUntil   time.Time // the list by which the server was chosen is valid until then; zero: without limit
	UnavailableSince time.Time // since when the server is draining or removed; zero: it is ready

	SlowStartSent  int // attempts in the present window of the server's slow start, including this one; 0: it is warm
	SlowStartLimit int // attempts that all processes together may send the server per window; 0: it is warm
}

// Check returns the rule that an attempt would break if it started now, or None.
func Check(a Attempt) Rule {
	switch {
	case a.Over || a.ClientGone:
		return Departed
	case !a.UnavailableSince.IsZero(), !a.ListValidUntil.IsZero() && !a.Now.Before(a.ListValidUntil):
		return Drain
	case a.duplicatesEffect():
		return Duplicate
	case !a.Now.Before(a.Deadline):
		return Deadline
	case a.SlowStartLimit > 0 && a.SlowStartSent > a.SlowStartLimit:
		return Failback
	}
	return None
}

// duplicatesEffect reports whether the attempt could have its effect a second time.
func (a *Attempt) duplicatesEffect() bool {
	if a.Probe {
		return false
	}
	return a.MayHaveRun && a.Effect == decide.Unsafe || !a.WriteBy.IsZero() && !a.Now.Before(a.WriteBy)
}

// Guard checks attempts and counts refusals and violations. Its methods are safe for concurrent use. A nil Guard checks
// attempts, too, but counts nothing.
type Guard struct {
	drainGrace time.Duration // how long after a server starts to drain attempts may still be sent to it
	refused    [ruleCount]atomic.Int64
	violated   [ruleCount]atomic.Int64
	stale      atomic.Int64 // attempts sent while no watch kept the list fresh

	epoch          time.Time    // the zero of the guard's clock
	unwatchedSince atomic.Int64 // when the last watch ended, in ns since epoch; 0: the list is watched, or never was
	report         func(r Rule, a Attempt)
}

// New returns a guard. grace is how long after a server starts to drain attempts may still be sent to it. report, if
// not nil, is called with each violation; it must not block.
func New(grace time.Duration, report func(r Rule, a Attempt)) *Guard {
	return &Guard{drainGrace: grace, report: report, epoch: time.Now()}
}

// Admit checks an attempt right before its first byte is written. It returns None, or the rule for which the attempt is
// refused, and counts the refusal.
func (g *Guard) Admit(a Attempt) Rule {
	r := Check(a)
	if r != None && g != nil {
		g.refused[r].Add(1)
	}
	return r
}

// RecordSent checks an attempt that has been written, by what is known now, and counts the rules that it has broken
// although it was admitted. startedAt is when its first byte was written.
func (g *Guard) RecordSent(a Attempt, startedAt time.Time) {
	if g == nil {
		return
	}
	if a.ClientGone {
		g.RecordViolation(Departed, a)
	}
	if !a.UnavailableSince.IsZero() && startedAt.Sub(a.UnavailableSince) > g.drainGrace {
		g.RecordViolation(Drain, a)
	}
	if a.duplicatesEffect() {
		g.RecordViolation(Duplicate, a)
	}
	if a.exceedsDeadline() {
		g.RecordViolation(Deadline, a)
	}
	if a.SlowStartLimit > 0 && a.SlowStartSent > a.SlowStartLimit {
		g.RecordViolation(Failback, a)
	}
	if since := g.unwatchedSince.Load(); since != 0 && int64(startedAt.Sub(g.epoch)) > since {
		g.stale.Add(1)
	}
}

// exceedsDeadline reports whether an attempt was written after its client's deadline, or sent the server a longer time
// limit than the client had left, with DeadlineSlack allowed in both cases.
func (a *Attempt) exceedsDeadline() bool {
	if a.Probe || a.ClientDeadline.IsZero() {
		return false
	}
	left := a.ClientDeadline.Sub(a.Now)
	return left < -DeadlineSlack || a.TimeLeft > max(0, left)+DeadlineSlack
}

// RecordSentBefore checks attempts at a server that were sent before the process knew that the server is draining or
// removed. The process may have counted as notified of that earlier, since the time notified, because its watch was
// resumed too late. lastSent is the time of the latest of these attempts.
func (g *Guard) RecordSentBefore(lastSent, notifiedAt time.Time) {
	if g != nil && !notifiedAt.IsZero() && lastSent.Sub(notifiedAt) > g.drainGrace {
		g.RecordViolation(Drain, Attempt{Now: lastSent, UnavailableSince: notifiedAt})
	}
}

// RecordRequestEnd checks the end of a request that was read whole: it counts as lost if it was not answered.
func (g *Guard) RecordRequestEnd(answered bool) {
	if g != nil && !answered {
		g.RecordViolation(Lost, Attempt{})
	}
}

// RecordViolation counts and reports a violation.
func (g *Guard) RecordViolation(r Rule, a Attempt) {
	if g == nil {
		return
	}
	g.violated[r].Add(1)
	if g.report != nil {
		g.report(r, a)
	}
}

// SetWatched sets whether a watch keeps the list fresh, and if not, since when. The zero time means since the start:
// attempts are then not counted as stale.
func (g *Guard) SetWatched(watched bool, since time.Time) {
	if g == nil {
		return
	}
	at := time.Duration(0)
	if !watched && !since.IsZero() {
		at = max(1, since.Sub(g.epoch))
	}
	g.unwatchedSince.Store(int64(at))
}

// Counts returns how many attempts were refused for a rule, and how often the rule was broken.
func (g *Guard) Counts(r Rule) (refused, violated int64) {
	if g == nil {
		return 0, 0
	}
	return g.refused[r].Load(), g.violated[r].Load()
}

// Violations is the number of violations of all rules.
func (g *Guard) Violations() (n int64) {
	for _, r := range Rules() {
		_, violated := g.Counts(r)
		n += violated
	}
	return n
}

// StaleSends is the number of attempts that were sent while no watch kept the list fresh.
func (g *Guard) StaleSends() int64 {
	if g == nil {
		return 0
	}
	return g.stale.Load()
}
