package watch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minBackoff     = 100 * time.Millisecond // after the first failure of a machine; doubled with each further one
	maxBackoff     = 5 * time.Second        // a wait is random, from half of the backoff to all of it
	minReturnDelay = 10 * time.Second       // before a node that has moved goes back to its preferred machine
	returnJitter   = 20 * time.Second       // random addition, so that not all nodes go back at once
)

// rendezvous returns the machines in the node's order of preference, by rendezvous hashing: each node has its own
// order, and removing a machine does not change the order of the others.
func rendezvous(node string, machines []string) []string {
	order := slices.Clone(machines)
	weight := func(machine string) uint64 { return xxhash.Sum64String(node + "\x00" + machine) }
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return order
}

// chooser chooses the machine that a node sends its next request to. It is not safe for concurrent use.
type chooser struct {
	order    []string    // machines by preference; the following slices have the same order
	current  int         // index of the machine in use
	returnAt time.Time   // when a node that has moved goes back to its most preferred machine
	failures []int       // consecutive failures of each machine
	retryAt  []time.Time // end of each machine's backoff
	random   *rand.Rand
}

func newChooser(node string, machines []string, random *rand.Rand) *chooser {
	return &chooser{
		order:    rendezvous(node, machines),
		failures: make([]int, len(machines)),
		retryAt:  make([]time.Time, len(machines)),
		random:   random,
	}
}

// next returns the machine for the next request, or the time to wait if all machines are in backoff.
func (c *chooser) next(now time.Time) (machine string, wait time.Duration) {
	if c.current > 0 && !now.Before(c.returnAt) {
		c.current = 0
		c.returnAt = c.returnTime(now)
	}
	soonest := time.Duration(-1)
	for i := range c.order {
		at := (c.current + i) % len(c.order)
		left := c.retryAt[at].Sub(now)
		if left <= 0 {
			if at != c.current {
				c.current, c.returnAt = at, c.returnTime(now)
			}
			return c.order[at], 0
		}
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	return "", soonest
}

// returnTime returns a random time for the return to the preferred machine.
func (c *chooser) returnTime(now time.Time) time.Time {
	return now.Add(minReturnDelay + time.Duration(c.random.Int64N(int64(returnJitter))))
}

// failed records that the machine in use has not answered, and starts its backoff.
func (c *chooser) failed(now time.Time) {
	backoff := min(maxBackoff, minBackoff<<min(c.failures[c.current], 10))
	c.failures[c.current]++
	c.retryAt[c.current] = now.Add(backoff/2 + time.Duration(c.random.Int64N(int64(backoff/2))))
}

// answered records an answer of the machine in use, which resets its backoff.
func (c *chooser) answered() { c.failures[c.current] = 0 }
