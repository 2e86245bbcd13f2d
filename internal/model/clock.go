// Package model simulates the fleet in virtual time, with the real deciders. All events are on one heap; there are
// no goroutines and no real clock, so the same seed gives the same run at any GOMAXPROCS. See
// docs/design/rehearsal.md.
package model

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their times, and events of the same time in the order in which they were
// scheduled.
type Clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// Event is a scheduled callback. The zero value is no event.
type Event struct {
	at        time.Duration
	seq       uint64
	callback  func()
	heapIndex int // index in the heap; -1: the event has run or was cancelled
}

// Now returns the virtual time since the run's start.
func (c *Clock) Now() time.Duration { return c.now }

// Len returns the number of pending events.
func (c *Clock) Len() int { return len(c.events) }

// At schedules do for a time, or for now if that time has passed.
func (c *Clock) At(at time.Duration, do func()) *Event {
	c.seq++
	e := &Event{at: max(at, c.now), seq: c.seq, callback: do}
	heap.Push(&c.events, e)
	return e
}

// After schedules do for a time d from now.
func (c *Clock) After(d time.Duration, do func()) *Event { return c.At(c.now+max(0, d), do) }

// Cancel removes an event. It reports whether the event was pending.
func (c *Clock) Cancel(e *Event) bool {
	if e == nil || e.heapIndex < 0 {
		return false
	}
	heap.Remove(&c.events, e.heapIndex)
	return true
}

// Step runs the next event, if its time is not after until. It reports whether it ran one.
func (c *Clock) Step(until time.Duration) bool {
	if len(c.events) == 0 || c.events[0].at > until {
		return false
	}
	e := heap.Pop(&c.events).(*Event)
	c.now = e.at
	e.callback()
	return true
}

// Run runs all events up to the time until, and sets the clock to that time.
func (c *Clock) Run(until time.Duration) {
	for c.Step(until) {
	}
	c.now = max(c.now, until)
}

type eventHeap []*Event

// Len returns the number of events, for container/heap.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and those of one time by when they were scheduled, for container/heap.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap exchanges two events and updates their indices, for container/heap.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

// Push appends an *Event and sets its index, for container/heap.
func (h *eventHeap) Push(e any) {
	e.(*Event).heapIndex = len(*h)
	*h = append(*h, e.(*Event))
}

// Pop removes the last *Event and marks it as no longer pending, for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h, e.heapIndex = old[:len(old)-1], -1
	return e
}
