// Package reuse decides which connection to a server carries the next request: an idle one at once, an idle one after a
// wait, or a new one.
//
// A faulty server may send a second response to a request some milliseconds after the first. HTTP/1.1 has no request
// ids, so on a connection that carries another request by then, the duplicate would be taken for the response to that
// one. A connection therefore has a cooldown after each response. The caller (package http1) checks after the cooldown,
// before it writes the next request, that no data has arrived, and closes the connection if some has.
//
// A new connection has no cooldown, but costs the server a handshake and a slot in its connection table; it is refused
// if the table is full, and may be slow to come up. A wait takes at most Cooldown. So a request for which no connection
// is ready waits, if a connection is cooling down that no other request has claimed and the request's deadline leaves
// enough time; otherwise a new connection is made for it. Besides, each time the accumulated waiting time of a server's
// requests reaches the price of a handshake, one spare connection is made for later requests.
//
// The package does no I/O and reads no clock.
package reuse

import "time"

const (
	// Cooldown is the shortest time between a response on a connection and its next request. Duplicate
	// responses arrived up to 4 ms after the first, network delay included; no upper bound on their delay is known. The
	// cooldown covers those sent up to 20 ms after the first, with 5 ms for the network. A later duplicate is not
	// caught by it.
	Cooldown = 25 * time.Millisecond

	// minDialCost is the least price of a handshake, in accumulated waiting time of requests. It applies even if the
	// handshake is instant, since it stands for the server's work and for the slot that the connection occupies for
	// long.
	minDialCost = 60 * time.Millisecond
	// dialCostFactor times the mean duration of a handshake is its price, if that is above minDialCost.
	dialCostFactor = 4
	// dialSmoothing is the weight of the latest handshake in the moving average of their durations.
	dialSmoothing = 0.2
	// maxWaitShare is the largest part of the time until a request must have been written (timeLeft of Choose) that it
	// may spend waiting for a cooldown.
	maxWaitShare = 0.5
	// costDecayTime is the time in which the accumulated waiting time decays, linearly, by the price of one handshake:
	// about the lifetime of a connection that is hardly used.
	costDecayTime = 10 * time.Second
)

// Idle is the state of one idle connection.
type Idle struct {
	Used     bool          // it has carried a request, so that a duplicate response may still arrive
	IdleTime time.Duration // since it was made or, if it is used, since its last response
}

// cooledDown reports whether the cooldown of the connection, if it needs one, is over.
func (i Idle) cooledDown() bool { return !i.Used || i.IdleTime >= Cooldown }

// Step says how the next request gets its connection.
type Step int

const (
	Use  Step = iota // the idle connection at Index carries the request now
	Wait             // the idle connection at Index carries the request after the time in Decision.Wait
	Dial             // a new connection is made for it
)

// Decision is the result of Choose.
type Decision struct {
	Step    Step
	Index   int           // into the idle connections given to Choose; unused for Dial
	Wait    time.Duration // until the cooldown is over; 0 unless Step is Wait
	AddConn bool          // also make a spare connection for later requests, not for this one; only if Step is Wait
}

// Server decides for the connections to one server. It holds the accumulated waiting time of requests and the
// mean duration of handshakes. The zero value has no observations. It is not safe for concurrent use.
type Server struct {
	waitCost     time.Duration // accumulated waiting time, less what has decayed; 0 again after each AddConn
	lastWaitAt   time.Duration // when the last wait was added, on the clock of Choose's now
	meanDialTime time.Duration // moving average of the time that a handshake takes; 0 if unknown
}

// Choose decides for one request. now is the time since a fixed but arbitrary instant, and never goes back. idle holds
// the server's idle connections, the one idle for longest first, without those that another request already waits for.
// timeLeft is the time until the request must have been written.
//
// Of the connections that are ready (cooled down or never used), the one that became idle last is chosen: the server is
// least likely to have closed it, and connections that are not needed stay idle until they are closed. If none is
// ready, the request waits for the one that has been idle for longest, unless there is no idle connection or the wait
// is longer than maxWaitShare of timeLeft: then a new connection is made. A wait counts as accumulated waiting time as
// soon as it is chosen, whether or not the request waits to the end.
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

// addWait adds a wait to the accumulated waiting time, after its decay since the last wait, and reports whether the sum
// has reached the price of a handshake. If so, the sum starts again from zero.
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

// dialCost returns the price of a handshake, in accumulated waiting time of requests.
func (s *Server) dialCost() time.Duration { return max(minDialCost, dialCostFactor*s.meanDialTime) }

// RecordDial adds the duration of a handshake to the moving average. For a handshake that failed by itself the caller
// passes the connect timeout, however soon it failed.
func (s *Server) RecordDial(took time.Duration) {
	if s.meanDialTime == 0 {
		s.meanDialTime = took
		return
	}
	s.meanDialTime += time.Duration(dialSmoothing * float64(took-s.meanDialTime))
}
