// Package cross decides whether a request that this site has refused may be handed off to another site, to which one,
// and how many hand-offs may be in flight there. A circuit breaker per site stops hand-offs to a site whose hand-offs
// fail. The package is pure: it has no I/O, no clock and no goroutine, and its callers pass in events and the time.
// How a request is handled within a site is decided by package decide.
//
// A keyed request is never handed off. The servers of a cell drop a repeated key that they have seen, but the servers
// of another site have not seen it. And the client's next attempt may reach another node of this site, which does not
// know of the hand-off, so that the request could take effect at both sites. See docs/design/gateway.md.
package cross

import (
	"math/rand/v2"
	"time"

	"starlingvalve/decide"
)

const (
	// CreditLifetime is how long the credit that a site has granted may be used.
	CreditLifetime = 500 * time.Millisecond
	// After breakerThreshold outcomes NotReceived or Uncertain in a row the circuit breaker of a site opens. The wait
	// until a trial doubles from minBreakerWait to maxBreakerWait with each failed trial. The trial is one hand-off
	// of a safe request, while the breaker is half-open.
	breakerThreshold = 3
	minBreakerWait   = 500 * time.Millisecond
	maxBreakerWait   = 16 * time.Second
	// A request is handed off only if its time left exceeds timeLeftFactor times the sum of a round trip and the usual
	// response time of the site.
	timeLeftFactor   = 1.5
	responseTimeGain = 0.1 // weight of a new value in the smoothed response time
)

// Outcome tells how a hand-off ended.
type Outcome int

const (
	// Served: the other site has answered it.
	Served Outcome = iota
	// Rejected: the other site has refused it without running it.
	Rejected
	// NotReceived: it did not reach the other site, and will not be run if it still arrives.
	NotReceived
	// Uncertain: it may have run.
	Uncertain
	// ClientGone: the client disconnected before the outcome was known.
	ClientGone
)

// Request describes a request that this site has refused.
type Request struct {
	Effect     decide.Effect
	TimeLeft   time.Duration // until the answer has to be at this node
	MayHaveRun bool          // an attempt at this site may have run
	HandedOff  bool          // it came from another site, so it is not handed off again
}

// site is one other site.
type site struct {
	name                string
	maxHandOffs         int  // hand-offs in flight at once, whatever the credit
	up                  bool // a node of the site is connected
	credit              int  // hand-offs that the site accepts at once from this node
	creditAt            time.Duration
	inFlight            int           // hand-offs in flight
	responseTime        time.Duration // smoothed time until an answer; 0: none yet
	rtt                 time.Duration // round trip of the link
	consecutiveFailures int           // NotReceived or Uncertain outcomes since the last answer
	breakerWait         time.Duration // from opening the breaker to the trial, without jitter
	openedAt            time.Duration // when the breaker opened
	trialAt             time.Duration // when a trial is allowed: openedAt plus 0.5 to 1.5 times breakerWait
	breakerOpen         bool          // no hand-offs but a trial
	trialInFlight       bool          // half-open: the trial is in flight
}

// Decider holds the state of all other sites. Its methods take a site as its index in the configuration, and now as
// the time since any fixed point. It is not safe for concurrent use.
type Decider struct {
	sites  []*site
	random *rand.Rand
}

// New returns a decider for sites in order of preference, with at most maxHandOffs hand-offs in flight at each. All
// sites start disconnected and without credit.
func New(names []string, maxHandOffs int, seed uint64) *Decider {
	d := &Decider{random: rand.New(rand.NewPCG(seed, 0x6761746577617973))}
	for _, n := range names {
		d.sites = append(d.sites, &site{name: n, maxHandOffs: maxHandOffs})
	}
	return d
}

// ChooseSite returns the index of the first site to which a request may be handed off, or -1 if there is none. The
// hand-off counts as in flight there until HandOffEnded.
func (d *Decider) ChooseSite(now time.Duration, r Request) int {
	if r.HandedOff || r.Effect == decide.Keyed || r.MayHaveRun && r.Effect != decide.Safe {
		return -1
	}
	for i, s := range d.sites {
		if d.accepts(now, s, r) {
			s.inFlight++
			return i
		}
	}
	return -1
}

// accepts reports whether a request may be handed off to a site now. If it is the trial of a half-open breaker, it
// marks the trial as in flight.
func (d *Decider) accepts(now time.Duration, s *site, r Request) bool {
	if !s.up || now-s.creditAt > CreditLifetime || s.inFlight >= min(s.credit, s.maxHandOffs) {
		return false
	}
	if need := time.Duration(timeLeftFactor * float64(s.rtt+s.responseTime)); r.TimeLeft <= need {
		return false
	}
	if s.breakerOpen {
		if now < s.trialAt || s.trialInFlight || r.Effect != decide.Safe {
			return false
		}
		s.trialInFlight = true
	}
	return true
}

// HandOffEnded records the outcome of a hand-off to a site, and the time that it took.
func (d *Decider) HandOffEnded(now time.Duration, index int, outcome Outcome, took time.Duration) {
	s := d.sites[index]
	s.inFlight--
	wasTrial := s.trialInFlight
	switch outcome {
	case Served, Rejected:
		if outcome == Served {
			if s.responseTime == 0 {
				s.responseTime = took
			}
			s.responseTime += time.Duration(responseTimeGain * float64(took-s.responseTime))
		}
		s.consecutiveFailures, s.breakerOpen, s.trialInFlight, s.breakerWait = 0, false, false, 0
	case ClientGone:
		s.trialInFlight = false
	case NotReceived, Uncertain:
		if s.consecutiveFailures++; wasTrial || !s.breakerOpen && s.consecutiveFailures >= breakerThreshold {
			s.breakerOpen, s.trialInFlight = true, false
			s.breakerWait = min(max(2*s.breakerWait, minBreakerWait), maxBreakerWait)
			s.openedAt, s.trialAt = now, now+time.Duration(float64(s.breakerWait)*(0.5+d.random.Float64()))
		}
	}
}

// SetCredit records how many hand-offs of this node a site accepts at once, and the round trip of the link.
func (d *Decider) SetCredit(now time.Duration, index, n int, rtt time.Duration) {
	s := d.sites[index]
	s.credit, s.creditAt, s.rtt = max(0, n), now, max(0, rtt)
}

// SetLink records whether any node of a site is connected. The credit of a site that is not is dropped.
func (d *Decider) SetLink(now time.Duration, index int, up bool) {
	s := d.sites[index]
	if s.up = up; !up {
		s.credit = 0
	}
}

// View is the state of a site, for operators.
type View struct {
	Name              string
	Up, BreakerOpen   bool
	Credit, InFlight  int
	RTT, ResponseTime time.Duration
	BreakerOpenFor    time.Duration // time since the circuit breaker opened
}

// Views returns the state of all sites.
func (d *Decider) Views(now time.Duration) []View {
	var out []View
	for _, s := range d.sites {
		v := View{Name: s.name, Up: s.up, BreakerOpen: s.breakerOpen, InFlight: s.inFlight, RTT: s.rtt, ResponseTime: s.responseTime}
		if s.breakerOpen {
			v.BreakerOpenFor = now - s.openedAt
		}
		if now-s.creditAt <= CreditLifetime {
			v.Credit = s.credit
		}
		out = append(out, v)
	}
	return out
}
