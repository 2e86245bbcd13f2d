// Package watch distributes the configuration from control machines to nodes, by long polling. A node requests the
// revisions after its own from one machine. The request acknowledges the node's revision. It is answered as soon as
// there is a newer one, or without content after Limits.LongPollTimeout. So a machine queues nothing for a node: a slow
// node sends its next request later, and a node that is too far behind gets a snapshot instead of the revisions. Server
// is the machine's side, Client the node's; the caller transports the messages.
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

// Limits bound what a machine keeps in memory and sends.
type Limits struct {
	LongPollTimeout    time.Duration // a request is answered after this time at the latest
	DeltaBytes         int           // size of the revisions in one answer
	BacklogBytes       int           // size of the revisions kept for nodes; a node further behind gets a snapshot
	ChunkBytes         int           // size of the part of a snapshot in one answer
	NodeRate           float64       // bytes per second of snapshots to one node
	MachineRate        float64       // bytes per second of snapshots to all nodes
	SnapshotRetention  time.Duration // an encoded snapshot is dropped after this time without a reader
	WatcherTimeout     time.Duration // a node without a request for longer than this is left out of reports
	MaxReportedLagging int           // nodes that a report names as behind, at most
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		LongPollTimeout:    time.Second,
		DeltaBytes:         64 << 10,
		BacklogBytes:       512 << 10,
		ChunkBytes:         16 << 10,
		NodeRate:           64 << 10,
		MachineRate:        1 << 20,
		SnapshotRetention:  time.Minute,
		WatcherTimeout:     1500 * time.Millisecond,
		MaxReportedLagging: 100,
	}
}

// ServerOptions are the options of a Server.
type ServerOptions struct {
	Limits Limits
	// Snapshot returns all entries that the machine has applied.
	Snapshot func(ctx context.Context) (*configpb.Snapshot, error)
}

// Server serves the configuration of a control machine to nodes. It is safe for concurrent use.
type Server struct {
	options ServerOptions

	mu           sync.Mutex
	log          string
	revision     uint64
	backlogAfter uint64 // the backlog has the revisions after this one
	backlog      []*configpb.Revision
	backlogBytes int               // size of the backlog
	changed      chan struct{}     // closed when there is a new revision
	sessions     map[string]uint64 // epochs of the live sessions, by node
	watchers     map[string]*watcher
	snapshots    snapshotCache
	nextChunkAt  time.Time // when MachineRate allows the next chunk of a snapshot
}

// NewServer returns a Server that has no configuration until Publish.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, changed: make(chan struct{}), watchers: map[string]*watcher{}}
}

// Publish sets what the machine has applied: the name of the log, its store, and the epochs of the live sessions by
// node. The store is only used until Publish returns; sessions must not be changed later.
func (s *Server) Publish(log string, store *configuration.Store, sessions map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions = sessions
	if s.log == log && s.revision == store.Revision() {
		return
	}
	news, err := store.History(s.revision, math.MaxInt)
	if s.log != log || err != nil { // another log, or more revisions since the last Publish than the history has
		s.backlog, s.backlogBytes, s.backlogAfter = nil, 0, store.Compacted()
		s.snapshots.drop()
		news, _ = store.History(s.backlogAfter, math.MaxInt)
	}
	s.log, s.revision = log, store.Revision()
	for _, r := range news {
		s.backlog = append(s.backlog, r)
		s.backlogBytes += proto.Size(r)
	}
	drop := 0
	for ; s.backlogBytes > s.options.Limits.BacklogBytes; drop++ {
		s.backlogBytes -= proto.Size(s.backlog[drop])
	}
	if drop > 0 {
		s.backlogAfter = s.backlog[drop-1].Number
		s.backlog = append([]*configpb.Revision(nil), s.backlog[drop:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

var (
	// ErrBadRequest means that a request can't be decoded, or is not in the caller's own name.
	ErrBadRequest = errors.New("watch request")
	// ErrNotReady means that the machine has not applied anything yet.
	ErrNotReady = errors.New("this control machine has no configuration yet")
)

// Handle returns the encoded answer to an encoded configpb.WatchRequest. from is the node's name in its certificate. It
// waits for a new revision until Limits.LongPollTimeout, or until ctx ends.
func (s *Server) Handle(ctx context.Context, from string, raw []byte) ([]byte, error) {
	request := &configpb.WatchRequest{}
	if err := proto.Unmarshal(raw, request); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	if request.Node != from {
		return nil, fmt.Errorf("%w: %s sent a request in the name of %s", ErrBadRequest, from, request.Node)
	}
	watched, err := s.beginRequest(time.Now(), request)
	if err != nil {
		return nil, err
	}
	defer func() { s.endRequest(time.Now(), request, watched, ctx.Err() != nil) }()
	timeout := time.NewTimer(s.options.Limits.LongPollTimeout)
	defer timeout.Stop()
	for {
		pending := s.findNews(time.Now(), request, watched)
		if pending.chunk {
			pending.answer, err = s.delayedChunk(ctx, request, pending.wait)
		}
		if err != nil {
			return nil, err
		}
		if pending.answer != nil {
			return configuration.Encode(pending.answer)
		}
		select {
		case <-pending.changed:
		case <-timeout.C:
			return configuration.Encode(s.emptyAnswer())
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// emptyAnswer returns the answer to a node that has the newest revision.
func (s *Server) emptyAnswer() *configpb.WatchAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &configpb.WatchAnswer{Log: s.log, Revision: s.revision}
}

// pendingNews is what a node is to get: answer, or if chunk is set a part of a snapshot after wait, or nothing until
// changed is closed.
type pendingNews struct {
	answer  *configpb.WatchAnswer
	chunk   bool
	wait    time.Duration
	changed <-chan struct{}
}

// findNews returns what a node is to get now.
func (s *Server) findNews(now time.Time, request *configpb.WatchRequest, watched *watcher) pendingNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied, known := request.Applied, max(request.Applied, request.Refused)
	if request.Log == "" {
		applied, known = 0, 0
	} else if request.Log != s.log { // the answer has no content: the node sees the other log's name and logs that
		return pendingNews{answer: &configpb.WatchAnswer{Log: s.log, Revision: s.revision}}
	}
	switch {
	case known >= s.revision:
		return pendingNews{changed: s.changed}
	case applied >= s.backlogAfter:
		return pendingNews{answer: s.delta(applied, request.Refused > 0)}
	}
	wait, reserved := s.reserveChunk(now, watched)
	if !reserved {
		return pendingNews{changed: s.changed}
	}
	return pendingNews{chunk: true, wait: wait}
}

// delta returns an answer with the revisions after the given one, up to Limits.DeltaBytes. With all set, for a node
// that has refused a revision, it returns the complete backlog, as a later revision may correct the refused one.
func (s *Server) delta(after uint64, all bool) *configpb.WatchAnswer {
	d, bytes := &configpb.Delta{After: after}, 0
	for _, r := range s.backlog[after-s.backlogAfter:] {
		bytes += proto.Size(r)
		if !all && bytes > s.options.Limits.DeltaBytes && len(d.Revisions) > 0 {
			break
		}
		d.Revisions = append(d.Revisions, r)
	}
	return &configpb.WatchAnswer{Log: s.log, Revision: s.revision, News: &configpb.WatchAnswer_Delta{Delta: d}}
}

// reserveChunk reserves the sending of a part of a snapshot at the next time that both rates allow, and returns the
// wait until then. It reserves nothing if the wait would reach Limits.LongPollTimeout.
func (s *Server) reserveChunk(now time.Time, watched *watcher) (wait time.Duration, reserved bool) {
	sendAt := now
	for _, t := range []time.Time{s.nextChunkAt, watched.nextChunkAt} {
		if t.After(sendAt) {
			sendAt = t
		}
	}
	if sendAt.Sub(now) >= s.options.Limits.LongPollTimeout {
		return 0, false
	}
	sendTime := func(rate float64) time.Duration {
		return time.Duration(float64(s.options.Limits.ChunkBytes) / rate * float64(time.Second))
	}
	s.nextChunkAt, watched.nextChunkAt = sendAt.Add(sendTime(s.options.Limits.MachineRate)),
		sendAt.Add(sendTime(s.options.Limits.NodeRate))
	return sendAt.Sub(now), true
}

// delayedChunk waits, then returns an answer with the next part of a snapshot.
func (s *Server) delayedChunk(ctx context.Context, q *configpb.WatchRequest, wait time.Duration) (
	*configpb.WatchAnswer, error) {
	if wait > 0 {
		pause(ctx, wait)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return s.chunk(ctx, q)
}
