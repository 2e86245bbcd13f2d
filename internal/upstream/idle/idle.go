// Package idle learns how long a connection to a server may be idle and still be reused. Servers, and devices between
// them and the node, close idle connections earlier than configured, and some without notice: a request written to
// such a connection ends with a reset, after which it may have run. The package does no I/O and reads no clock.
package idle

import (
	"math"
	"time"
)

const (
	// Idle times are sorted into classes. firstBound is the upper bound of the first; each further bound is twice the
	// one before it. With 12 bounds the last one is 51 s.
	firstBound = 25 * time.Millisecond
	bounds     = 12
	// halfLife is the time after which an observation counts half. After a few half-lives a learned limit is forgotten,
	// and longer idle times are tried again.
	halfLife = 10 * time.Second
	// minBreaks is how many breaks above an idle time are needed to conclude that servers close there: fewer may be
	// chance.
	minBreaks = 4.0
	// minUses is how many uses below an idle time are needed to know the rate of breaks there.
	minUses = 20.0
	// Above a limit, the rate of breaks is at least rateFactor times the rate below it, plus rateMargin. With a smaller
	// difference, breaks have another cause than the idle time.
	rateFactor = 3.0
	rateMargin = 0.1
)

// Limit learns the longest idle time of reusable connections, from counts of uses and breaks by class of idle time. The
// zero value has no observations. It is not safe for concurrent use.
type Limit struct {
	lastUpdate time.Duration // the time up to which the counts have been decayed
	uses       [bounds + 1]float64
	breaks     [bounds + 1]float64
}

// Record adds the use of a connection that had been idle for age. now is the time on any monotonic clock. broken is
// set if the connection was ended by the other side before the response was complete.
func (l *Limit) Record(now, age time.Duration, broken bool) {
	l.decay(now)
	i := 0
	for bound := firstBound; i < bounds && age >= bound; bound *= 2 {
		i++
	}
	l.uses[i]++
	if broken {
		l.breaks[i]++
	}
}

// MaxIdle returns the idle time from which on connections should not be reused, or 0 if no limit is known. now is the
// time on the clock of Record.
func (l *Limit) MaxIdle(now time.Duration) time.Duration {
	l.decay(now)
	usesBelow, breaksBelow, usesAbove, breaksAbove := 0.0, 0.0, 0.0, 0.0
	for i := range l.uses {
		usesAbove, breaksAbove = usesAbove+l.uses[i], breaksAbove+l.breaks[i]
	}
	for i := range bounds {
		usesBelow, breaksBelow = usesBelow+l.uses[i], breaksBelow+l.breaks[i]
		usesAbove, breaksAbove = usesAbove-l.uses[i], breaksAbove-l.breaks[i]
		if usesBelow >= minUses && breaksAbove >= minBreaks &&
			breaksAbove/usesAbove > rateFactor*breaksBelow/usesBelow+rateMargin {
			return firstBound << i
		}
	}
	return 0
}

// decay reduces all counts by the time since the last call.
func (l *Limit) decay(now time.Duration) {
	if now <= l.lastUpdate {
		return
	}
	keep := math.Exp2(-float64(now-l.lastUpdate) / float64(halfLife))
	for i := range l.uses {
		l.uses[i] *= keep
		l.breaks[i] *= keep
	}
	l.lastUpdate = now
}
