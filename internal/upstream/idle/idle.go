// Package idle learns how long a connection to a server may stand idle and still be used. Servers, and what stands between,
// close idle connections earlier than they say, and some without a word: a request that is written to such a connection ends
// as a reset, after which it may have run. The package is pure: no I/O, no clock.
package idle

import (
	"math"
	"time"
)

const (
	firstEdge = 25 * time.Millisecond // ages are told apart from here on, by powers of two
	edges     = 12                    // up to 51 s
	halfLife  = 10 * time.Second      // of what is known: a limit is tried again after some of these
	leastBad  = 4.0                   // breaks beyond an age before it counts: fewer are chance
	leastUsed = 20.0                  // uses below that age before their rate of breaks counts
	factor    = 3.0                   // beyond the age breaks are that many times as frequent as below,
	margin    = 0.1                   // and by that part of the uses more: else other troubles are to blame
)

// Limit holds what uses of idle connections have shown, by age in classes. Its zero value knows nothing. It is not safe for
// concurrent use.
type Limit struct {
	at     time.Duration // of the last use
	used   [edges + 1]float64
	broken [edges + 1]float64
}

// Used takes the use of a connection that had stood idle for age, at a time on a clock that runs evenly. broken: it came down
// before an answer was complete.
func (l *Limit) Used(now, age time.Duration, broken bool) {
	l.fade(now)
	i := 0
	for edge := firstEdge; i < edges && age >= edge; edge *= 2 {
		i++
	}
	l.used[i]++
	if broken {
		l.broken[i]++
	}
}

// Longest is the age from which on connections are not to be used; 0: no such age is known.
func (l *Limit) Longest(now time.Duration) time.Duration {
	l.fade(now)
	belowUsed, belowBad, aboveUsed, aboveBad := 0.0, 0.0, 0.0, 0.0
	for i := range l.used {
		aboveUsed, aboveBad = aboveUsed+l.used[i], aboveBad+l.broken[i]
	}
	for i := range edges {
		belowUsed, belowBad = belowUsed+l.used[i], belowBad+l.broken[i]
		aboveUsed, aboveBad = aboveUsed-l.used[i], aboveBad-l.broken[i]
		if belowUsed >= leastUsed && aboveBad >= leastBad && aboveBad/aboveUsed > factor*belowBad/belowUsed+margin {
			return firstEdge << i
		}
	}
	return 0
}

func (l *Limit) fade(now time.Duration) {
	if now <= l.at {
		return
	}
	keep := math.Exp2(-float64(now-l.at) / float64(halfLife))
	for i := range l.used {
		l.used[i] *= keep
		l.broken[i] *= keep
	}
	l.at = now
}
