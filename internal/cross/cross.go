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
	CreditLife = 500 * time.Millisecond
	// After breakerThreshold outcomes NotReceived or Uncertain in a row the circuit breaker of a site opens. The wait
	// until a trial doubles from minBreakerWait to maxBreakerWait with each failed trial. The trial is one hand-off
	// of a safe request, while the breaker is half-open.
	doubtful   = 3
	pauseFirst = 500 * time.Millisecond
	pauseLast  = 16 * time.Second
	// A request is handed off only if its time left exceeds timeLeftFactor times the sum of a round trip and the usual
	// response time of the site.
	tripFactor = 1.5
	tripGain   = 0.1 // weight of a new value in the smoothed response time
)

// Outcome tells how a hand-off ended.
type Outcome int

const (
	// Served: the other site has answered it.
	Served Outcome = iota
	// Rejected: the other site has refused it without running it.
	TurnedAway
	// NotReceived: it did not reach the other site, and will not be run if it still arrives.
	Unseen
	// Uncertain: it may have run.
	Doubt
	// ClientGone: the client disconnected before the outcome was known.
	Withdrawn
)

// Request describes a request that this site has refused.
type Request struct {
	Effect decide.Effect
	Left   time.Duration // until the answer has to be at this node
	Ran    bool          // an attempt at this site may have run
	Came   bool          // it came from another site, so it is not handed off again
}

// site is one other site.
type site struct {
	name     string
	most     int // hand-offs in flight at once, whatever the credit
	up       bool // a node of the site is connected
	credit   int  // hand-offs that the site accepts at once from this node
	creditAt time.Duration
	out      int // hand-offs in flight
	trip     time.Duration // smoothed time until an answer; 0: none yet
	rtt      time.Duration // round trip of the link
	strikes  int           // NotReceived or Uncertain outcomes since the last answer
	pause    time.Duration // from opening the breaker to the trial, without jitter
	closedAt time.Duration // when the breaker opened
	until    time.Duration // when a trial is allowed: openedAt plus 0.5 to 1.5 times breakerWait
	closed   bool          // no hand-offs but a trial
	trying   bool          // half-open: the trial is in flight
}

// Decider holds the state of all other sites. Its methods take a site as its index in the configuration, and now as
// the time since any fixed point. It is not safe for concurrent use.
type Decider struct {
	sites []*site
	rng   *rand.Rand
}

// New returns a decider for sites in order of preference, with at most maxHandOffs hand-offs in flight at each. All
// sites start disconnected and without credit.
func New(names []string, most int, seed uint64) *Decider {
	d := &Decider{rng: rand.New(rand.NewPCG(seed, 0x6761746577617973))}
	for _, n := range names {
		d.sites = append(d.sites, &site{name: n, most: most})
	}
	return d
}

// ChooseSite returns the index of the first site to which a request may be handed off, or -1 if there is none. The
// hand-off counts as in flight there until HandOffEnded.
func (d *Decider) Offer(now time.Duration, r Request) int {
	if r.Came || r.Effect == decide.Keyed || r.Ran && r.Effect != decide.Safe {
		return -1
	}
	for i, s := range d.sites {
		if d.takes(now, s, r) {
			s.out++
			return i
		}
	}
	return -1
}

// accepts reports whether a request may be handed off to a site now. If it is the trial of a half-open breaker, it
// marks the trial as in flight.
func (d *Decider) takes(now time.Duration, s *site, r Request) bool {
	if !s.up || now-s.creditAt > CreditLife || s.out >= min(s.credit, s.most) {
		return false
	}
	if need := time.Duration(tripFactor * float64(s.rtt+s.trip)); r.Left <= need {
		return false
	}
	if s.closed {
		if now < s.until || s.trying || r.Effect != decide.Safe {
			return false
		}
		s.trying = true
	}
	return true
}

// HandOffEnded records the outcome of a hand-off to a site, and the time that it took.
func (d *Decider) Ended(now time.Duration, at int, o Outcome, took time.Duration) {
	s := d.sites[at]
	s.out--
	tried := s.trying
	switch o {
	case Served, TurnedAway:
		if o == Served {
			if s.trip == 0 {
				s.trip = took
			}
			s.trip += time.Duration(tripGain * float64(took-s.trip))
		}
		s.strikes, s.closed, s.trying, s.pause = 0, false, false, 0
	case Withdrawn:
		s.trying = false
	case Unseen, Doubt:
		if s.strikes++; tried || !s.closed && s.strikes >= doubtful {
			s.closed, s.trying = true, false
			s.pause = min(max(2*s.pause, pauseFirst), pauseLast)
			s.closedAt, s.until = now, now+time.Duration(float64(s.pause)*(0.5+d.rng.Float64()))
		}
	}
}

// SetCredit records how many hand-offs of this node a site accepts at once, and the round trip of the link.
func (d *Decider) Credit(now time.Duration, at, n int, rtt time.Duration) {
	s := d.sites[at]
	s.credit, s.creditAt, s.rtt = max(0, n), now, max(0, rtt)
}

// SetLink records whether any node of a site is connected. The credit of a site that is not is dropped.
func (d *Decider) Link(now time.Duration, at int, up bool) {
	s := d.sites[at]
	if s.up = up; !up {
		s.credit = 0
	}
}

// View is the state of a site, for operators.
type View struct {
	Name        string
	Up, Closed  bool
	Credit, Out int
	RTT, Trip   time.Duration
	ClosedFor   time.Duration // time since the circuit breaker opened
}

// Views returns the state of all sites.
func (d *Decider) Views(now time.Duration) []View {
	var out []View
	for _, s := range d.sites {
		v := View{Name: s.name, Up: s.up, Closed: s.closed, Out: s.out, RTT: s.rtt, Trip: s.trip}
		if s.closed {
			v.ClosedFor = now - s.closedAt
		}
		if now-s.creditAt <= CreditLife {
			v.Credit = s.credit
		}
		out = append(out, v)
	}
	return out
}
