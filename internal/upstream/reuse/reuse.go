// Package reuse decides which connection to a server carries the next request: an idle one at once, an idle one after a
// wait, or a new one.
//
// A faulty server may send a second response some milliseconds after the first. Nothing in it shows which request it
// belongs to, so on a connection that carries another request by then it would be taken for the response to that one.
// A connection therefore has a cooldown after each response, and is reused only if no data has arrived by its end.
// A new connection instead costs the server a handshake and a slot in its connection table; it is refused if the table
// is full, and may be slow to come up. Waiting costs a few milliseconds. So requests wait, and a further connection is
// made only once the waits at a server have cost as much as a handshake.
//
// The package does no I/O and reads no clock.
package reuse

import "time"

const (
	// Cooldown is the shortest time between a response on a connection and its next request. Second responses arrived
	// up to 4 ms after the first, network delay included, and nothing bounds their delay. The cooldown covers those
	// sent up to 20 ms after the first, with 5 ms for the network.
	Cooldown = 25 * time.Millisecond

	// minDialCost is the least cost of a handshake, as a time spent waiting: it covers the work of the server, and the
	// slot that the connection occupies for long.
	minDialCost = 60 * time.Millisecond
	// dialCostFactor: a handshake costs as much as a wait that is so many times as long as the handshake takes.
	dialCostFactor = 4
	// dialSmoothing is the weight of the latest handshake in the moving average of their durations.
	dialSmoothing = 0.2
	// maxWaitShare is the largest part of a request's remaining time that it may spend waiting for a cooldown.
	maxWaitShare = 0.5
	// costDecayTime is the time over which a sum of waits as large as the cost of a handshake is forgotten: about the
	// lifetime of a connection that is hardly used.
	costDecayTime = 10 * time.Second
)

// Idle is the state of one idle connection.
type Idle struct {
	Used     bool          // it has carried a request, so that a second response may still arrive
	IdleTime time.Duration // how long it has been idle
}

// cooledDown reports whether the cooldown of the connection, if it needs one, is over.
func (i Idle) cooledDown() bool { return !i.Used || i.IdleTime >= Cooldown }

// Step says how the next request gets its connection.
type Step int

const (
	Use  Step = iota // the idle connection at Index carries the request now
	Wait             // the idle connection at Index carries the request after Wait
	Dial             // a new connection is made for it
)

// Decision is the result of Choose.
type Decision struct {
	Step    Step
	Index   int           // into the idle connections given to Choose; unused for Dial
	Wait    time.Duration // until the cooldown is over; 0 unless Step is Wait
	AddConn bool          // also make a connection for later requests
}

// Server decides for the connections to one server. It holds the cost of recent waits and of handshakes. The zero
// value has no observations. It is not safe for concurrent use.
type Server struct {
	waitCost     time.Duration // sum of recent waits, less what has decayed
	lastWaitAt   time.Duration // time of the last wait
	meanDialTime time.Duration // moving average of the time that a handshake takes; 0 if unknown
}

// Choose decides for one request. now is the time on any monotonic clock. idle holds the server's idle connections,
// the one idle for longest first, without those that another request already waits for. timeLeft is the time until the
// request must have been written.
//
// Of the connections that have cooled down, the one used last is chosen: the server is least likely to have closed it,
// and connections that are not needed stay idle until they are closed. If none has cooled down, the request waits for
// the one that has been idle for longest.
func (s *Server) Choose(now time.Duration, idle []Idle, timeLeft time.Duration) Decision {
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i].cooledDown() {
			return Decision{Step: Use, Index: i}
		}
	}
	if len(idle) == 0 {
		return Decision{Step: Dial}
	}
	wait := Cooldown - idle[0].IdleTime
	if float64(wait) > maxWaitShare*float64(timeLeft) {
		return Decision{Step: Dial}
	}
	return Decision{Step: Wait, Wait: wait, AddConn: s.addWait(now, wait)}
}

// addWait adds a wait to the cost of recent waits, and reports whether that cost has reached the cost of a handshake.
// If so, the sum starts again from zero.
func (s *Server) addWait(now, wait time.Duration) bool {
	dialCost := s.dialCost()
	decayed := time.Duration(float64(dialCost) * float64(now-s.lastWaitAt) / float64(costDecayTime))
	s.waitCost, s.lastWaitAt = max(0, s.waitCost-decayed)+wait, now
	if s.waitCost < dialCost {
		return false
	}
	s.waitCost = 0
	return true
}

// dialCost returns the cost of a handshake, as a time spent waiting.
func (s *Server) dialCost() time.Duration { return max(minDialCost, dialCostFactor*s.meanDialTime) }

// RecordDial adds the duration of a handshake. For one that failed, took is the timeout of connecting.
func (s *Server) RecordDial(took time.Duration) {
	if s.meanDialTime == 0 {
		s.meanDialTime = took
		return
	}
	s.meanDialTime += time.Duration(dialSmoothing * float64(took-s.meanDialTime))
}
