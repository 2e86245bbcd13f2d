// Package admit is the admission control of client connections: at the limit it decides which connection is closed for
// a new one. It goes by a connection's state and the time since its last progress, not by its age. It does no I/O and
// reads no clock.
package admit

import (
	"container/list"
	"time"
)

// State is what a connection is doing.
type State int

const (
	// NothingRead: nothing has been read from it since it was accepted.
	NothingRead State = iota
	// ReadingHead: a part of a request's head has been read.
	ReadingHead
	// Idle: its requests have been answered, and nothing has been read since.
	Idle
	// ReadingBody: a request's head has been read, and a part of its body. Nothing else is in flight.
	ReadingBody
	// Busy: a request is in flight. A busy connection is never closed for another.
	Busy
	stateCount
)

// How long a connection must have been without progress before it may be closed for a new one.
const (
	NothingReadTimeout = 250 * time.Millisecond // in state NothingRead: a client with a request sends it at once
	StalledHeadTimeout = 700 * time.Millisecond // in state ReadingHead: well-behaved clients take 2 s for the whole head
	StalledBodyTimeout = 700 * time.Millisecond // in state ReadingBody: well-behaved clients go on writing
	IdleTimeout        = 2 * time.Second        // in state Idle: clients may rely on it
)

// pressureShare is the part of the limit from which on answers close their connections. Many clients send one request
// only and hold a connection that others need. The requests in flight of well-behaved clients take less than this part.
const pressureShare = 0.5

// Conn is one connection. Owner is set by the caller, in order to find what belongs to a connection that Victim
// returns.
type Conn struct {
	Owner any

	state        State
	lastProgress time.Duration // when something was last read, or the state was entered
	listElement  *list.Element // in the list of its state; nil: the connection has been removed
}

// State is what the connection is doing.
func (c *Conn) State() State { return c.state }

// LastProgress is when something was last read from the connection, or its state was entered, on the clock of the set's
// caller.
func (c *Conn) LastProgress() time.Duration { return c.lastProgress }

// ConnSet is the set of all open client connections of a node, which has a limit. It is not safe for concurrent use.
// Times are readings of the caller's clock, which must not go back.
type ConnSet struct {
	limit int
	count int
	lists [stateCount]list.List // of *Conn, the one longest without progress first
}

// New returns an empty set with a limit.
func New(limit int) *ConnSet { return &ConnSet{limit: limit} }

// SetLimit changes the limit. Connections beyond it stay in the set.
func (r *ConnSet) SetLimit(n int) { r.limit = n }

// Count is the number of connections.
func (r *ConnSet) Count() int { return r.count }

// Full reports whether the limit is reached, so that a Victim has to be closed for a new connection.
func (r *ConnSet) Full() bool { return r.count >= r.limit }

// UnderPressure reports whether so many connections are open that answers should close theirs.
func (r *ConnSet) UnderPressure() bool { return float64(r.count) >= pressureShare*float64(r.limit) }

// Add adds a new connection, in state NothingRead.
func (r *ConnSet) Add(c *Conn, now time.Duration) {
	r.count++
	r.move(c, NothingRead, now)
}

// SetState sets the state of a connection and counts as progress, also if the state stays the same. It has no effect on
// a connection that has been removed.
func (r *ConnSet) SetState(c *Conn, s State, now time.Duration) {
	if c.listElement != nil {
		r.lists[c.state].Remove(c.listElement)
		r.move(c, s, now)
	}
}

func (r *ConnSet) move(c *Conn, s State, now time.Duration) {
	c.state, c.lastProgress = s, now
	c.listElement = r.lists[s].PushBack(c)
}

// Remove removes a connection. Further calls have no effect.
func (r *ConnSet) Remove(c *Conn) {
	if c.listElement != nil {
		r.lists[c.state].Remove(c.listElement)
		c.listElement = nil
		r.count--
	}
}

// Victim returns the connection to close for a new one: one from which nothing has been read before an idle one, and
// either of these before one whose head or body has stalled. It returns nil if none has been without progress for long
// enough.
func (r *ConnSet) Victim(now time.Duration) *Conn {
	for _, candidate := range []struct {
		s     State
		least time.Duration
	}{{NothingRead, NothingReadTimeout}, {Idle, IdleTimeout}, {ReadingHead, StalledHeadTimeout},
		{ReadingBody, StalledBodyTimeout}} {
		if c := r.oldest(candidate.s); c != nil && now-c.lastProgress >= candidate.least {
			return c
		}
	}
	return nil
}

// StalledBody returns the connection whose body has been without progress for longest, if that is StalledBodyTimeout at
// least; nil: there is none.
func (r *ConnSet) StalledBody(now time.Duration) *Conn {
	if c := r.oldest(ReadingBody); c != nil && now-c.lastProgress >= StalledBodyTimeout {
		return c
	}
	return nil
}

// oldest returns the connection in a state that has been without progress for longest; nil: there is none.
func (r *ConnSet) oldest(s State) *Conn {
	if e := r.lists[s].Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// WithoutRequest returns the connections on which no request is in flight.
func (r *ConnSet) WithoutRequest() []*Conn { return r.inStates(NothingRead, ReadingHead, Idle) }

// WithRequest returns the connections on which a request is in flight, or its body is being read.
func (r *ConnSet) WithRequest() []*Conn { return r.inStates(ReadingBody, Busy) }

func (r *ConnSet) inStates(states ...State) (out []*Conn) {
	for _, s := range states {
		for e := r.lists[s].Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*Conn))
		}
	}
	return out
}
