// Package watch brings the configuration from control machines to nodes. A node asks one machine for what is behind
// its revision; the question acknowledges that revision, and it is answered when there is news, or after a while
// without. So a machine queues nothing for a node: one that is slow asks later, and one that has fallen too far behind
// gets a snapshot in place of the revisions. Server is a machine's side, Client a node's; whoever uses them carries
// the bytes.
package watch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
)

// Limits bound what a machine holds and sends.
type Limits struct {
	Hold            time.Duration // a question is answered by then, news or not
	DeltaBytes      int           // of revisions in one answer
	BacklogBytes    int           // of revisions that are kept for nodes; a node further behind gets a snapshot
	ChunkBytes      int           // of a snapshot in one answer
	NodeRate        float64       // bytes a second of snapshots to one node
	MachineRate     float64       // bytes a second of snapshots to all nodes
	SnapshotKept    time.Duration // after its last reader
	WatcherKept     time.Duration // a node that asks no more does not count after so long
	ReportedLagging int           // nodes named in a report
}

// DefaultLimits are those of a program in operation.
func DefaultLimits() Limits {
	return Limits{
		Hold:            time.Second,
		DeltaBytes:      64 << 10,
		BacklogBytes:    512 << 10,
		ChunkBytes:      16 << 10,
		NodeRate:        64 << 10,
		MachineRate:     1 << 20,
		SnapshotKept:    time.Minute,
		WatcherKept:     1500 * time.Millisecond,
		ReportedLagging: 100,
	}
}

// ServerOptions are what a Server is made of.
type ServerOptions struct {
	Limits Limits
	// Snapshot gives all entries that the machine has applied.
	Snapshot func(ctx context.Context) (*configpb.Snapshot, error)
}

// Server is a control machine's side. It is safe for concurrent use.
type Server struct {
	o ServerOptions

	mu        sync.Mutex
	log       string
	revision  uint64
	after     uint64 // revisions behind this one are kept
	revisions []*configpb.Revision
	bytes     int           // of the revisions kept
	changed   chan struct{} // closed at the next news
	sessions  map[string]uint64
	watchers  map[string]*watcher
	snapshots snapshots
	next      time.Time // when the machine may send the next chunk of a snapshot
}

// NewServer makes one that knows nothing until Publish.
func NewServer(o ServerOptions) *Server {
	return &Server{o: o, changed: make(chan struct{}), watchers: map[string]*watcher{}}
}

// Publish tells what the machine has applied: the store of a log, which is read before Publish returns, and the nodes'
// live sessions by their epochs, which are kept.
func (s *Server) Publish(log string, store *configuration.Store, sessions map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions = sessions
	if s.log == log && s.revision == store.Revision() {
		return
	}
	news, err := store.History(s.revision, math.MaxInt)
	if s.log != log || err != nil { // another log, or more has been applied at once than the history holds
		s.revisions, s.bytes, s.after = nil, 0, store.Compacted()
		s.snapshots.drop()
		news, _ = store.History(s.after, math.MaxInt)
	}
	s.log, s.revision = log, store.Revision()
	for _, r := range news {
		s.revisions = append(s.revisions, r)
		s.bytes += proto.Size(r)
	}
	drop := 0
	for ; s.bytes > s.o.Limits.BacklogBytes; drop++ {
		s.bytes -= proto.Size(s.revisions[drop])
	}
	if drop > 0 {
		s.after = s.revisions[drop-1].Number
		s.revisions = append([]*configpb.Revision(nil), s.revisions[drop:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

var (
	// ErrBadRequest answers a question that makes no sense.
	ErrBadRequest = errors.New("watch request")
	// ErrNotReady answers while the machine has not applied anything yet.
	ErrNotReady = errors.New("this control machine has no configuration yet")
)

// Handle answers a node's question; from is the node's name as its certificate shows it. It waits for news up to
// Limits.Hold, and less if ctx ends.
func (s *Server) Handle(ctx context.Context, from string, raw []byte) ([]byte, error) {
	q := &configpb.WatchRequest{}
	if err := proto.Unmarshal(raw, q); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	if q.Node != from {
		return nil, fmt.Errorf("%w: %s speaks for %s", ErrBadRequest, from, q.Node)
	}
	w, err := s.arrive(time.Now(), q)
	if err != nil {
		return nil, err
	}
	defer func() { s.leave(time.Now(), q, w, ctx.Err() != nil) }()
	hold := time.NewTimer(s.o.Limits.Hold)
	defer hold.Stop()
	for {
		now := s.look(time.Now(), q, w)
		if now.chunk {
			now.answer, err = s.chunkAfter(ctx, q, now.wait)
		}
		if err != nil {
			return nil, err
		}
		if now.answer != nil {
			return configuration.Encode(now.answer)
		}
		select {
		case <-now.changed:
		case <-hold.C:
			return configuration.Encode(s.nothing())
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// emptyAnswer is the answer where nothing is new.
func (s *Server) nothing() *configpb.WatchAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &configpb.WatchAnswer{Log: s.log, Revision: s.revision}
}

// pendingNews is what there is for a node: an answer, a part of a snapshot after a wait, or nothing until changed is closed.
type found struct {
	answer  *configpb.WatchAnswer
	chunk   bool
	wait    time.Duration
	changed <-chan struct{}
}

// findNews finds what there is for a node now.
func (s *Server) look(now time.Time, q *configpb.WatchRequest, w *watcher) found {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied, known := q.Applied, max(q.Applied, q.Refused)
	if q.Log == "" {
		applied, known = 0, 0
	} else if q.Log != s.log { // the node is told, and takes nothing
		return found{answer: &configpb.WatchAnswer{Log: s.log, Revision: s.revision}}
	}
	switch {
	case known >= s.revision:
		return found{changed: s.changed}
	case applied >= s.after:
		return found{answer: s.delta(applied, q.Refused > 0)}
	}
	wait, reserved := s.turn(now, w)
	if !reserved {
		return found{changed: s.changed}
	}
	return found{chunk: true, wait: wait}
}

// delta is the revisions behind one: all that are kept for a node that has refused one, as a later one may mend it.
func (s *Server) delta(after uint64, all bool) *configpb.WatchAnswer {
	d, bytes := &configpb.Delta{After: after}, 0
	for _, r := range s.revisions[after-s.after:] {
		bytes += proto.Size(r)
		if !all && bytes > s.o.Limits.DeltaBytes && len(d.Revisions) > 0 {
			break
		}
		d.Revisions = append(d.Revisions, r)
	}
	return &configpb.WatchAnswer{Log: s.log, Revision: s.revision, News: &configpb.WatchAnswer_Delta{Delta: d}}
}

// reserveChunk reserves the sending of a part of a snapshot and tells how long that has to wait. Nothing is reserved beyond
// Limits.Hold.
func (s *Server) turn(now time.Time, w *watcher) (wait time.Duration, reserved bool) {
	at := now
	for _, t := range []time.Time{s.next, w.next} {
		if t.After(at) {
			at = t
		}
	}
	if at.Sub(now) >= s.o.Limits.Hold {
		return 0, false
	}
	takes := func(rate float64) time.Duration {
		return time.Duration(float64(s.o.Limits.ChunkBytes) / rate * float64(time.Second))
	}
	s.next, w.next = at.Add(takes(s.o.Limits.MachineRate)), at.Add(takes(s.o.Limits.NodeRate))
	return at.Sub(now), true
}

// delayedChunk waits for the turn, then gives a part of a snapshot.
func (s *Server) chunkAfter(ctx context.Context, q *configpb.WatchRequest, wait time.Duration) (
	*configpb.WatchAnswer, error) {
	if wait > 0 {
		pause(ctx, wait)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return s.chunk(ctx, q)
}
