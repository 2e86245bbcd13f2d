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
	grouping int
	servers  []*serverRecord
}

// add moves a server to the pool from any other pool of the same grouping.
func (p *pool) add(s *serverRecord) {
	if s.pools[p.grouping] == p {
		return
	}
	removeFromPool(s, p.grouping)
	s.pools[p.grouping], s.poolIndex[p.grouping] = p, len(p.servers)
	p.servers = append(p.servers, s)
}

// removeFromPool removes a server from its pool of a grouping, if it is in one.
func removeFromPool(s *serverRecord, grouping int) {
	p := s.pools[grouping]
	if p == nil {
		return
	}
	at, last := s.poolIndex[grouping], len(p.servers)-1
	p.servers[at] = p.servers[last]
	p.servers[at].poolIndex[grouping] = at
	p.servers[last] = nil
	p.servers, s.pools[grouping] = p.servers[:last], nil
}

// timeHeap is a binary heap of servers by the time at which each is due. A server is in at most one heap.
type timeHeap struct{ servers []*serverRecord }

// schedule sets the time at which a server is due, and moves it here from any other heap.
func (h *timeHeap) schedule(s *serverRecord, at Time) {
	if s.heap != h {
		unschedule(s)
		s.heap, s.heapIndex, s.dueAt = h, len(h.servers), at
		h.servers = append(h.servers, s)
		h.siftUp(s.heapIndex)
		return
	}
	s.dueAt = at
	h.siftDown(h.siftUp(s.heapIndex))
}

// unschedule removes a server from the heap that it is in, if any.
func unschedule(s *serverRecord) {
	h := s.heap
	if h == nil {
		return
	}
	at, last := s.heapIndex, len(h.servers)-1
	h.swap(at, last)
	h.servers[last] = nil
	h.servers, s.heap = h.servers[:last], nil
	if at < last {
		h.siftDown(h.siftUp(at))
	}
}

// due returns the server with the earliest time if that is not after now, else nil.
func (h *timeHeap) due(now Time) *serverRecord {
	if len(h.servers) == 0 || h.servers[0].dueAt > now {
		return nil
	}
	return h.servers[0]
}

func (h *timeHeap) swap(i, j int) {
	h.servers[i], h.servers[j] = h.servers[j], h.servers[i]
	h.servers[i].heapIndex, h.servers[j].heapIndex = i, j
}

// siftUp moves the server at an index up to its place in the heap and returns its new index.
func (h *timeHeap) siftUp(i int) int {
	for i > 0 && h.servers[i].dueAt < h.servers[(i-1)/2].dueAt {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i
}

// siftDown moves the server at an index down to its place in the heap.
func (h *timeHeap) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.servers); c++ {
			if h.servers[c].dueAt < h.servers[least].dueAt {
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
type ring []*serverRecord

func byRingKey(a, b *serverRecord) int { return cmp.Compare(a.ringKey, b.ringKey) }

const fewChanges = 32 // up to this number of changes are made one by one; more are cheaper to merge in one pass

// update removes the servers that left and inserts those that have come, each only once. The result may use the same
// array as the old ring.
func (r ring) update(left, joined []*serverRecord) ring {
	if len(left)+len(joined) <= fewChanges {
		for _, s := range left {
			if i, ok := slices.BinarySearchFunc(r, s, byRingKey); ok {
				r = slices.Delete(r, i, i+1)
			}
		}
		for _, s := range joined {
			i, _ := slices.BinarySearchFunc(r, s, byRingKey)
			r = slices.Insert(r, i, s)
		}
		return r
	}
	slices.SortFunc(joined, byRingKey)
	merged := make(ring, 0, len(r)+len(joined))
	for _, s := range r {
		if !s.inRing {
			continue
		}
		for len(joined) > 0 && joined[0].ringKey < s.ringKey {
			merged, joined = append(merged, joined[0]), joined[1:]
		}
		merged = append(merged, s)
	}
	return append(merged, joined...)
}
