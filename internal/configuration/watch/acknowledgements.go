package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"starlingvalve/internal/configuration/configpb"
)

// watcher is a node that sends requests to this machine, with the state in its last request.
type watcher struct {
	session      uint64 // epoch; 0: none
	applied      uint64 // revision in force at the node
	refused      uint64 // newest revision that the node refused; 0: none
	refusal      *configpb.Refusal
	openRequests int       // number of requests in progress
	answeredAt   time.Time // when the last request ended
	nextChunkAt  time.Time // when NodeRate allows the next chunk of a snapshot
}

// beginRequest records the node's state from its request.
func (s *Server) beginRequest(now time.Time, q *configpb.WatchRequest) (*watcher, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log == "" {
		return nil, ErrNotReady
	}
	s.snapshots.dropUnread(now, s.options.Limits.SnapshotRetention)
	w := s.watchers[q.Node]
	if w == nil {
		s.forgetWatchers(now)
		w = &watcher{}
		s.watchers[q.Node] = w
	}
	w.openRequests++
	w.session, w.applied, w.refused, w.refusal = q.Session, q.Applied, q.Refused, q.Refusal
	if q.Log != s.log {
		w.applied = 0
	}
	return w, nil
}

// endRequest records the end of a request. abandoned means that the node did not wait for the answer, as it has moved
// to another machine: without another request in progress it is forgotten at once.
func (s *Server) endRequest(now time.Time, q *configpb.WatchRequest, w *watcher, abandoned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.openRequests--
	w.answeredAt = now
	if abandoned && w.openRequests == 0 && s.watchers[q.Node] == w {
		delete(s.watchers, q.Node)
	}
}

// forgetWatchers removes the nodes without a request for longer than Limits.WatcherTimeout.
func (s *Server) forgetWatchers(now time.Time) {
	maps.DeleteFunc(s.watchers, func(_ string, w *watcher) bool {
		return w.openRequests == 0 && now.Sub(w.answeredAt) > s.options.Limits.WatcherTimeout
	})
}

// Report returns a summary of the nodes that send their requests to this machine and have a live session, by the
// sessions that the machine has applied. If names is set, it has the names and sessions of all of them.
func (s *Server) Report(names bool) *configpb.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetWatchers(time.Now())
	report := &configpb.Report{Applied: s.revision, Least: s.revision}
	for _, node := range slices.Sorted(maps.Keys(s.watchers)) {
		w := s.watchers[node]
		if w.session == 0 || s.sessions[node] != w.session {
			continue
		}
		report.Nodes++
		report.Digest += sessionHash(w.session)
		report.Least = min(report.Least, w.applied)
		if names {
			report.Watching = append(report.Watching, node)
			report.Sessions = append(report.Sessions, w.session)
		}
		if w.applied < s.revision {
			report.Lagging = append(report.Lagging, w.lag(node))
		}
	}
	slices.SortStableFunc(report.Lagging, func(a, b *configpb.Lag) int { return cmp.Compare(a.Applied, b.Applied) })
	report.Lagging = report.Lagging[:min(len(report.Lagging), s.options.Limits.MaxReportedLagging)]
	return report
}

// lag returns the watcher's state as an entry of a report's list of lagging nodes.
func (w *watcher) lag(node string) *configpb.Lag {
	return &configpb.Lag{
		Node:    node,
		Session: w.session,
		Applied: w.applied,
		Refused: w.refused,
		Refusal: w.refusal,
	}
}

// InForce returns the highest revision that every live session has acknowledged, by the reports of the control
// machines. sessions has the epochs of the live sessions by node. ok is false unless the reports show that every
// session is at one of the machines. The counts are enough for that if they show that each session is at exactly one
// machine. A node that has moved is counted at two machines for a while; then the reports have to name the sessions.
// The machine that it has left has an older revision of it, so the result is never too new.
func InForce(sessions map[string]uint64, reports []*configpb.Report) (revision uint64, ok bool) {
	first := true
	for _, r := range reports {
		if r.GetNodes() > 0 && (first || r.GetLeast() < revision) {
			revision, first = r.GetLeast(), false
		}
	}
	return revision, !first && (countedOnce(sessions, reports) || allNamed(sessions, reports))
}

// countedOnce reports whether, by the reports' counts and digests, each live session is at exactly one machine.
func countedOnce(sessions map[string]uint64, reports []*configpb.Report) bool {
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

// allNamed reports whether the reports name every live session.
func allNamed(sessions map[string]uint64, reports []*configpb.Report) bool {
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

// sessionHash returns a 64-bit hash of a session's epoch (the finalizer of SplitMix64), so that different sets of
// sessions have different sums, but for a negligible probability.
func sessionHash(epoch uint64) uint64 {
	x := epoch + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
