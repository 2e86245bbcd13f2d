package decide

// Data structures for fleets of any size. A change costs time by the number of servers that change; a random draw costs
// the same among ten servers and ten thousand. No decision is made here.

import (
	"cmp"
	"slices"
)

// The groupings of servers. A server is in at most one pool of each grouping.
const (
	byMode = iota
	byCell
	byZone
	groupings
)

// pool is a set of servers with access by index. Adding and removing take constant time.
type pool struct {
	by   int
	list []*server
}

// add moves a server to the pool from any other pool of the same grouping.
func (p *pool) put(s *server) {
	if s.in[p.by] == p {
		return
	}
	leave(s, p.by)
	s.in[p.by], s.slot[p.by] = p, len(p.list)
	p.list = append(p.list, s)
}

// removeFromPool removes a server from its pool of a grouping, if it is in one.
func leave(s *server, by int) {
	p := s.in[by]
	if p == nil {
		return
	}
	at, last := s.slot[by], len(p.list)-1
	p.list[at] = p.list[last]
	p.list[at].slot[by] = at
	p.list[last] = nil
	p.list, s.in[by] = p.list[:last], nil
}

// timeHeap is a binary heap of servers by the time at which each is due. A server is in at most one heap.
type alarms struct{ list []*server }

// schedule sets the time at which a server is due, and moves it here from any other heap.
func (h *alarms) set(s *server, at Time) {
	if s.alarms != h {
		unset(s)
		s.alarms, s.alarmSlot, s.alarmAt = h, len(h.list), at
		h.list = append(h.list, s)
		h.up(s.alarmSlot)
		return
	}
	s.alarmAt = at
	h.down(h.up(s.alarmSlot))
}

// unschedule removes a server from the heap that it is in, if any.
func unset(s *server) {
	h := s.alarms
	if h == nil {
		return
	}
	at, last := s.alarmSlot, len(h.list)-1
	h.swap(at, last)
	h.list[last] = nil
	h.list, s.alarms = h.list[:last], nil
	if at < last {
		h.down(h.up(at))
	}
}

// due returns the server with the earliest time if that is not after now, else nil.
func (h *alarms) due(now Time) *server {
	if len(h.list) == 0 || h.list[0].alarmAt > now {
		return nil
	}
	return h.list[0]
}

func (h *alarms) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].alarmSlot, h.list[j].alarmSlot = i, j
}

// siftUp moves the server at an index up to its place in the heap and returns its new index.
func (h *alarms) up(i int) int {
	for i > 0 && h.list[i].alarmAt < h.list[(i-1)/2].alarmAt {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

// siftDown moves the server at an index down to its place in the heap.
func (h *alarms) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.list); c++ {
			if h.list[c].alarmAt < h.list[least].alarmAt {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

// ring holds the ready servers by their ring keys, an order that all nodes share.
type ring []*server

func byPlace(a, b *server) int { return cmp.Compare(a.place, b.place) }

const fewChanges = 32 // up to this number of changes are made one by one; more are cheaper to merge in one pass

// update removes the servers that left and inserts those that have come, each only once. The result may use the same
// array as the old ring.
func (r ring) change(left, come []*server) ring {
	if len(left)+len(come) <= fewChanges {
		for _, s := range left {
			if i, ok := slices.BinarySearchFunc(r, s, byPlace); ok {
				r = slices.Delete(r, i, i+1)
			}
		}
		for _, s := range come {
			i, _ := slices.BinarySearchFunc(r, s, byPlace)
			r = slices.Insert(r, i, s)
		}
		return r
	}
	slices.SortFunc(come, byPlace)
	out := make(ring, 0, len(r)+len(come))
	for _, s := range r {
		if !s.ringed {
			continue
		}
		for len(come) > 0 && come[0].place < s.place {
			out, come = append(out, come[0]), come[1:]
		}
		out = append(out, s)
	}
	return append(out, come...)
}
