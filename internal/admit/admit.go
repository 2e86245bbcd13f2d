// Package admit decides which of a node's client connections makes room when all of its descriptors are taken: by what a connection
// has brought and how lately, not by its age. It is pure: no I/O, no clock.
package admit

import (
	"container/list"
	"time"
)

// State is what a connection does.
type State int

const (
	// Mute: nothing has come yet.
	Mute State = iota
	// Writing: a part of a head has come.
	Writing
	// Idle: its requests have been answered, and nothing has come since.
	Idle
	// Busy: a request is open. It never makes room.
	Busy
	states
)

// What a connection is given before it may make room.
const (
	MuteLeast  = 250 * time.Millisecond // clients that want something send at once
	StallLeast = 700 * time.Millisecond // between two pieces of a head: good clients take 2 s for all of it
	IdleLeast  = 2 * time.Second        // clients may count on it
)

// crowdedPart of the limit: from there on answers close their connections, as many clients ask once and keep what others then lack. True
// clients' open requests take less.
const crowdedPart = 0.5

// Conn is one connection, as its owner knows it.
type Conn struct {
	Owner any

	state State
	last  time.Duration // when something last came, or the state was entered
	place *list.Element // in the list of its state; nil: it has left
}

// State is the connection's.
func (c *Conn) State() State { return c.state }

// Last is when something last came on it, or its state was entered.
func (c *Conn) Last() time.Duration { return c.last }

// Room is all of a node's client connections. It is not safe for concurrent use. Times are readings of the caller's clock, which does not go back.
type Room struct {
	limit int
	count int
	by    [states]list.List // of *Conn, the longest without progress first
}

// New makes room for so many connections.
func New(limit int) *Room { return &Room{limit: limit} }

// SetLimit changes the limit. Connections beyond it stay.
func (r *Room) SetLimit(n int) { r.limit = n }

// Count is how many connections there are.
func (r *Room) Count() int { return r.count }

// Full tells whether another connection needs room to be made.
func (r *Room) Full() bool { return r.count >= r.limit }

// Crowded tells whether answers are to close their connections.
func (r *Room) Crowded() bool { return float64(r.count) >= crowdedPart*float64(r.limit) }

// Enter takes a new connection in.
func (r *Room) Enter(c *Conn, now time.Duration) {
	r.count++
	r.put(c, Mute, now)
}

// Set notes what a connection does now: progress, where that is what it did. One that has left stays out.
func (r *Room) Set(c *Conn, s State, now time.Duration) {
	if c.place != nil {
		r.by[c.state].Remove(c.place)
		r.put(c, s, now)
	}
}

func (r *Room) put(c *Conn, s State, now time.Duration) {
	c.state, c.last = s, now
	c.place = r.by[s].PushBack(c)
}

// Leave takes a connection out, once or more.
func (r *Room) Leave(c *Conn) {
	if c.place != nil {
		r.by[c.state].Remove(c.place)
		c.place = nil
		r.count--
	}
}

// Victim is the connection that makes room: the mute before the idle, and those before one whose head has stalled. It gives nil if each
// may still have something to say.
func (r *Room) Victim(now time.Duration) *Conn {
	for _, of := range []struct {
		s     State
		least time.Duration
	}{{Mute, MuteLeast}, {Idle, IdleLeast}, {Writing, StallLeast}} {
		if e := r.by[of.s].Front(); e != nil && now-e.Value.(*Conn).last >= of.least {
			return e.Value.(*Conn)
		}
	}
	return nil
}

// Unused gives the connections on which no request is open.
func (r *Room) Unused() []*Conn { return r.in(Mute, Writing, Idle) }

// Used gives those on which one is.
func (r *Room) Used() []*Conn { return r.in(Busy) }

func (r *Room) in(states ...State) (out []*Conn) {
	for _, s := range states {
		for e := r.by[s].Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*Conn))
		}
	}
	return out
}
