package model

import "starlingvalve/decide"

// What users would pick instead, to be set beside the module. They try once and know no list but that of the start.

// Random sends each request to any server.
func Random(servers int) func(decide.Settings, int64) Decider {
	return func(_ decide.Settings, seed int64) Decider {
		return &baseline{pick: NewStreams(uint64(seed)).Of("baseline", "pick"), out: make([]int, servers), draws: 1}
	}
}

// LeastOfTwo sends each request to the one of two random servers that holds fewer of this node's.
func LeastOfTwo(servers int) func(decide.Settings, int64) Decider {
	return func(_ decide.Settings, seed int64) Decider {
		return &baseline{pick: NewStreams(uint64(seed)).Of("baseline", "pick"), out: make([]int, servers), draws: 2}
	}
}

type baseline struct {
	pick  *Stream
	out   []int // own requests at each server
	draws int
}

// Handle is Decider's.
func (b *baseline) Handle(_ decide.Time, e decide.Event) []decide.Action {
	switch e := e.(type) {
	case decide.RequestArrived:
		best := b.pick.IntN(len(b.out))
		for range b.draws - 1 {
			if other := b.pick.IntN(len(b.out)); b.out[other] < b.out[best] {
				best = other
			}
		}
		b.out[best]++
		return []decide.Action{decide.Send{ID: e.ID, Server: decide.ServerID(best + 1)}}
	case decide.AttemptEnded:
		b.out[e.Server-1]--
		if e.Over || e.Code == decide.OK {
			return nil
		}
		if e.Code == decide.Full || e.Code == decide.ConnectFailed {
			return []decide.Action{decide.Refuse{ID: e.ID}}
		}
		return []decide.Action{decide.Fail{ID: e.ID}}
	}
	return nil
}
