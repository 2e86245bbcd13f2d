package decide

// Data structures for fleets of any size: each change costs what changed, a draw costs the same in a fleet of ten
// and of ten thousand. Nothing is decided here.

import (
	"cmp"
	"slices"
)

// The groups that a server can be in at once, each with a slot of its own.
const (
	byMode = iota
	byCell
	byZone
	groupings
)

// pool is a set of servers that gives any of them by number. Adding and removing cost the same at any size.
type pool struct {
	by   int
	list []*server
}

func (p *pool) put(s *server) {
	if s.in[p.by] == p {
		return
	}
	leave(s, p.by)
	s.in[p.by], s.slot[p.by] = p, len(p.list)
	p.list = append(p.list, s)
}

// leave takes a server out of the pool that it is in by that grouping, if it is in one.
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

// alarms is a heap of servers by the time at which each is to be looked at. A server is in one such heap at most.
type alarms struct{ list []*server }

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

// due gives the first server whose time has come, or nil.
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

func (h *alarms) up(i int) int {
	for i > 0 && h.list[i].alarmAt < h.list[(i-1)/2].alarmAt {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

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

// ring holds the ready servers by their place, an order that all nodes share.
type ring []*server

func byPlace(a, b *server) int { return cmp.Compare(a.place, b.place) }

const fewChanges = 32 // so many are put in one by one; more are cheaper merged in one go

// change takes out those that have left and puts in those that have come, each once. It may keep the old array.
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
