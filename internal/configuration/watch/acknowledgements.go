package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"starlingvalve/internal/configuration/configpb"
)

// watcher is a node that asks this machine, as it said last.
type watcher struct {
	session uint64
	applied uint64
	refused uint64
	refusal *configpb.Refusal
	asks    int       // questions that wait for an answer
	last    time.Time // when the last one was answered
	next    time.Time // when it may have the next chunk of a snapshot
}

// beginRequest notes what a node says with its question.
func (s *Server) arrive(now time.Time, q *configpb.WatchRequest) (*watcher, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log == "" {
		return nil, ErrNotReady
	}
	s.snapshots.forget(now, s.o.Limits.SnapshotKept)
	w := s.watchers[q.Node]
	if w == nil {
		s.forgetWatchers(now)
		w = &watcher{}
		s.watchers[q.Node] = w
	}
	w.asks++
	w.session, w.applied, w.refused, w.refusal = q.Session, q.Applied, q.Refused, q.Refusal
	if q.Log != s.log {
		w.applied = 0
	}
	return w, nil
}

// endRequest notes that a question is over; gone: its node did not wait for the answer.
func (s *Server) leave(now time.Time, q *configpb.WatchRequest, w *watcher, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.asks--
	w.last = now
	if gone && w.asks == 0 && s.watchers[q.Node] == w {
		delete(s.watchers, q.Node)
	}
}

// forgetWatchers drops the nodes that ask no more.
func (s *Server) forgetWatchers(now time.Time) {
	maps.DeleteFunc(s.watchers, func(_ string, w *watcher) bool {
		return w.asks == 0 && now.Sub(w.last) > s.o.Limits.WatcherKept
	})
}

// Report tells what this machine knows of the nodes that watch here and have a live session by what the machine has
// applied. names: all of them are named.
func (s *Server) Report(names bool) *configpb.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetWatchers(time.Now())
	r := &configpb.Report{Applied: s.revision, Least: s.revision}
	for _, node := range slices.Sorted(maps.Keys(s.watchers)) {
		w := s.watchers[node]
		if w.session == 0 || s.sessions[node] != w.session {
			continue
		}
		r.Nodes++
		r.Digest += sessionHash(w.session)
		r.Least = min(r.Least, w.applied)
		if names {
			r.Watching = append(r.Watching, node)
			r.Sessions = append(r.Sessions, w.session)
		}
		if w.applied < s.revision {
			r.Lagging = append(r.Lagging, w.lag(node))
		}
	}
	slices.SortStableFunc(r.Lagging, func(a, b *configpb.Lag) int { return cmp.Compare(a.Applied, b.Applied) })
	r.Lagging = r.Lagging[:min(len(r.Lagging), s.o.Limits.ReportedLagging)]
	return r
}

func (w *watcher) lag(node string) *configpb.Lag {
	return &configpb.Lag{
		Node:    node,
		Session: w.session,
		Applied: w.applied,
		Refused: w.refused,
		Refusal: w.refusal,
	}
}

// InForce is the revision that every live session has acknowledged, by the reports of the control machines. ok is false
// where some session is heard by none. Where counts show that each is heard just once, that is enough. A node that has
// moved is counted at two machines for a while: then the reports have to name the sessions. What the machine that it has
// left knows of it is older, so that the least revision is never too new.
func InForce(sessions map[string]uint64, reports []*configpb.Report) (revision uint64, ok bool) {
	first := true
	for _, r := range reports {
		if r.GetNodes() > 0 && (first || r.GetLeast() < revision) {
			revision, first = r.GetLeast(), false
		}
	}
	return revision, !first && (heardOnce(sessions, reports) || heardSomewhere(sessions, reports))
}

// countedOnce tells, by counts alone, whether each live session is heard by just one machine.
func heardOnce(sessions map[string]uint64, reports []*configpb.Report) bool {
	var nodes, digest, want uint64
	for _, epoch := range sessions {
		want += sessionHash(epoch)
	}
	for _, r := range reports {
		nodes += r.GetNodes()
		digest += r.GetDigest()
	}
	return nodes == uint64(len(sessions)) && digest == want
}

// allNamed tells whether the reports name every live session.
func heardSomewhere(sessions map[string]uint64, reports []*configpb.Report) bool {
	named := map[uint64]bool{}
	for _, r := range reports {
		for _, epoch := range r.GetSessions() {
			named[epoch] = true
		}
	}
	for _, epoch := range sessions {
		if !named[epoch] {
			return false
		}
	}
	return true
}

// sessionHash spreads a session's epoch over 64 bits, so that sums tell sets of sessions apart (the finalizer of
// SplitMix64).
func sessionHash(epoch uint64) uint64 {
	x := epoch + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
