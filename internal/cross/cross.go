// Package cross decides whether a request that its own hall has just refused may cross to another site, to which, how much may
// be out there, and when a site is left alone. It is pure: no I/O, no clock, no goroutine; it is fed with events and
// asked. What becomes of a request at home and within the other hall stays with package decide.
//
// A keyed request never crosses: the servers of a pod drop a repeat of a key that they have seen, and those of another hall
// have not; the next try of the client may come to another node of the home hall, which knows nothing of the first.
// See docs/design/gateway.md.
package cross

import (
	"math/rand/v2"
	"time"

	"starlingvalve/decide"
)

const (
	// CreditLife is how long a site's word on its spare capacity counts.
	CreditLife = 500 * time.Millisecond
	// doubtful outcomes in a row close a site for a pause, which doubles from pauseFirst to pauseLast; after it one
	// hand-off of a safe class tries the site (half-open).
	doubtful   = 3
	pauseFirst = 500 * time.Millisecond
	pauseLast  = 16 * time.Second
	// A request crosses only if its time left is tripFactor times a round trip and a usual answer there.
	tripFactor = 1.5
	tripGain   = 0.1 // weight of a new time in the smoothed one
)

// Outcome is how a hand-off ended.
type Outcome int

const (
	// Served: the far site answered it.
	Served Outcome = iota
	// TurnedAway: it has never run; the far site had no room.
	TurnedAway
	// Unseen: it never reached the far site, and is fenced.
	Unseen
	// Doubt: it may have run.
	Doubt
	// Withdrawn: the client has gone.
	Withdrawn
)

// Request is what counts of a request that may cross.
type Request struct {
	Effect decide.Effect
	Left   time.Duration // until its client must have the answer
	Ran    bool          // some attempt at home may have run
	Came   bool          // it came from another site itself
}

// Site is one other site, by its place in the configuration.
type site struct {
	name     string
	most     int // hand-offs out at once, whatever its credit
	up       bool
	credit   int
	creditAt time.Duration
	out      int
	trip     time.Duration // smoothed, of answers; 0: none yet
	rtt      time.Duration // of the link
	strikes  int
	pause    time.Duration
	closedAt time.Duration // since when it is left alone, for pause (jittered: until)
	until    time.Duration
	closed   bool
	trying   bool // half-open: one is out
}

// Decider holds the state of all sites. It is not safe for concurrent use.
type Decider struct {
	sites []*site
	rng   *rand.Rand
}

// New makes a decider for sites in order of preference; most bounds the hand-offs out at each.
func New(names []string, most int, seed uint64) *Decider {
	d := &Decider{rng: rand.New(rand.NewPCG(seed, 0x6761746577617973))}
	for _, n := range names {
		d.sites = append(d.sites, &site{name: n, most: most})
	}
	return d
}

// Offer tells to which site a request that home has just refused may cross, by its place, or -1. It counts as out there
// until Ended.
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

// Ended tells how a hand-off to a site ended, after so long.
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

// Credit is a site's word on how many hand-offs of this node it takes at once.
func (d *Decider) Credit(now time.Duration, at, n int, rtt time.Duration) {
	s := d.sites[at]
	s.credit, s.creditAt, s.rtt = max(0, n), now, max(0, rtt)
}

// Link tells that some path to a site is up, or that none is.
func (d *Decider) Link(now time.Duration, at int, up bool) {
	s := d.sites[at]
	if s.up = up; !up {
		s.credit = 0
	}
}

// View is a site's state, for operators.
type View struct {
	Name        string
	Up, Closed  bool
	Credit, Out int
	RTT, Trip   time.Duration
	ClosedFor   time.Duration // since it is left alone
}

// Views gives all sites' states.
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
