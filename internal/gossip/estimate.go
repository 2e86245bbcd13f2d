package gossip

import (
	"math"
	"time"
)

// LoadEstimator estimates the load from other nodes while no load reports arrive: if the network loses all datagrams
// between nodes, the other nodes still send requests. A node's own share of all requests at its servers changes
// slowly, so the others' requests are estimated from its own. The zero value has received no report. It is not safe
// for concurrent use.
type LoadEstimator struct {
	lastMessage  time.Duration // when the latest message arrived
	resumedAt    time.Duration // when the first message after the latest gap arrived
	lastObserved time.Duration // when Observe was last called
	everReceived bool          // at least one message has arrived
	interrupted  bool          // there has been a gap of more than silenceLimit between messages
	ownSeconds   float64       // own requests times seconds, over the recent time with complete reports
	allSeconds   float64       // the same for the requests of all nodes
	recentOwn    float64       // own requests in flight, smoothed
}

const (
	// silenceLimit is the time without any message after which the last reports are out of date: the nodes that share
	// servers with a busy node send several messages in this time.
	silenceLimit = time.Second
	// settleTime is how long after a gap it takes until all other nodes have reported their whole load again.
	settleTime = 1500 * time.Millisecond
	// shareMemory is the time constant of the average by which the node's share is known, in seconds.
	shareMemory = 5.0
	// smoothingTime is the time constant by which the number of own requests, which is small, is smoothed, in seconds.
	smoothingTime = 1.0
	// minObserved is how many requests times seconds, of all nodes, must have been observed for the share to be useful.
	minObserved = 4.0
)

// MessageReceived records that a message of another node arrived. now is the time on any monotonic clock, here and
// below.
func (e *LoadEstimator) MessageReceived(now time.Duration) {
	if e.everReceived && now-e.lastMessage > silenceLimit {
		e.resumedAt, e.interrupted = now, true
	}
	e.lastMessage, e.everReceived = now, true
}

// ReportsStale reports whether the last load reports are out of date: none has arrived for longer than silenceLimit, or
// reports arrive again after such a gap, for less than settleTime, and may not be complete yet.
func (e *LoadEstimator) ReportsStale(now time.Duration) bool {
	return e.everReceived && (now-e.lastMessage > silenceLimit || e.interrupted && now-e.resumedAt < settleTime)
}

// Observe updates the share. own is the number of requests that this node has in flight at its servers, and others the
// number that the other nodes have reported there. It should be called several times a second.
func (e *LoadEstimator) Observe(now time.Duration, own, others float64) {
	dt := math.Min(1, (now - e.lastObserved).Seconds())
	e.lastObserved = now
	e.recentOwn += (1 - math.Exp(-dt/smoothingTime)) * (own - e.recentOwn)
	if e.everReceived && now-e.lastMessage <= silenceLimit/2 && !e.ReportsStale(now) {
		decay := math.Exp(-dt / shareMemory)
		e.ownSeconds, e.allSeconds = decay*e.ownSeconds+own*dt, decay*e.allSeconds+(own+others)*dt
	}
}

// EstimateOthers returns the estimated number of requests that the other nodes have in flight at all servers of this
// node together. ok is false as long as the node's share is not known.
func (e *LoadEstimator) EstimateOthers() (requests float64, ok bool) {
	if e.allSeconds < minObserved || e.ownSeconds <= 0 {
		return 0, false
	}
	return e.recentOwn * (e.allSeconds/e.ownSeconds - 1), true
}
