package watch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
)

const (
	maxSnapshotBytes = 2 * configuration.MaxBytes // uncompressed; all entries have at most MaxBytes
	zstdWindow       = 1 << 20                    // bytes; a node's decoder needs about this much memory
)

// encodedSnapshot is a snapshot in the form in which it is sent to nodes.
type encodedSnapshot struct {
	revision uint64
	checksum [sha256.Size]byte
	data     []byte
}

// encode encodes and compresses a snapshot. Equal snapshots have equal bytes with one version of the zstd library, so
// that a node can get the parts from several machines.
func encode(s *configpb.Snapshot) (*encodedSnapshot, error) {
	raw, err := configuration.Encode(s)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindow))
	if err != nil {
		return nil, err
	}
	defer w.Close()
	e := &encodedSnapshot{revision: s.GetRevision(), data: w.EncodeAll(raw, nil)}
	e.checksum = sha256.Sum256(e.data)
	return e, nil
}

// decode is the inverse of encode.
func decode(data []byte) (*configpb.Snapshot, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxSnapshotBytes), zstd.WithDecoderMaxWindow(zstdWindow))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	raw, err := r.DecodeAll(data, nil)
	if err != nil {
		return nil, err
	}
	s := &configpb.Snapshot{}
	return s, proto.Unmarshal(raw, s)
}

// snapshotCache holds the snapshot that is being sent to nodes. It is dropped after a time without a reader.
type snapshotCache struct {
	current  *encodedSnapshot
	readAt   time.Time     // of its last part
	building chan struct{} // closed once the next snapshot is built; nil: none is being built
}

func (s *snapshotCache) drop() { s.current = nil }

// dropUnread drops a snapshot that has not been read for longer than retention.
func (s *snapshotCache) dropUnread(now time.Time, retention time.Duration) {
	if s.current != nil && now.Sub(s.readAt) > retention {
		s.current = nil
	}
}

// chunk returns an answer with the next part of a snapshot. The part continues the snapshot that the node has begun if
// this machine has the same one, else it is the first part of this machine's snapshot.
func (s *Server) chunk(ctx context.Context, request *configpb.WatchRequest) (*configpb.WatchAnswer, error) {
	snapshot, log, revision, err := s.currentSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	offset := uint64(0)
	if request.Snapshot == snapshot.revision && bytes.Equal(request.Checksum, snapshot.checksum[:]) &&
		request.Offset <= uint64(len(snapshot.data)) {
		offset = request.Offset
	}
	end := min(len(snapshot.data), int(offset)+s.options.Limits.ChunkBytes)
	c := &configpb.Chunk{
		Revision: snapshot.revision,
		Size:     uint64(len(snapshot.data)),
		Checksum: snapshot.checksum[:],
		Offset:   offset,
		Data:     snapshot.data[offset:end],
	}
	return &configpb.WatchAnswer{Log: log, Revision: revision, News: &configpb.WatchAnswer_Chunk{Chunk: c}}, nil
}

// currentSnapshot returns the snapshot to send, with the log and the revision of the machine. If the backlog does not
// reach back to the cached snapshot, it builds a new one, once for all requests that wait for it.
func (s *Server) currentSnapshot(ctx context.Context) (e *encodedSnapshot, log string, revision uint64, err error) {
	for {
		s.mu.Lock()
		log, revision = s.log, s.revision
		if e = s.snapshots.current; e != nil && e.revision >= s.backlogAfter {
			s.snapshots.readAt = time.Now()
			s.mu.Unlock()
			return e, log, revision, nil
		}
		building := s.snapshots.building
		if building == nil {
			building = make(chan struct{})
			s.snapshots.building = building
			s.mu.Unlock()
			if err := s.makeSnapshot(ctx, building); err != nil {
				return nil, "", 0, err
			}
			continue
		}
		s.mu.Unlock()
		select {
		case <-building:
		case <-ctx.Done():
			return nil, "", 0, ctx.Err()
		}
	}
}

// makeSnapshot builds the next snapshot. At the end, also after an error, it closes done, on which other requests wait.
func (s *Server) makeSnapshot(ctx context.Context, done chan struct{}) error {
	var e *encodedSnapshot
	snapshot, err := s.options.Snapshot(ctx)
	if err == nil {
		e, err = encode(snapshot)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.snapshots.current = e
	}
	s.snapshots.building = nil
	close(done)
	return err
}

// assembly is a snapshot that a node receives in parts.
type assembly struct {
	revision uint64
	size     uint64
	checksum []byte
	data     []byte
}

var errChunk = errors.New("part of a snapshot")

// add adds a part, and returns the snapshot once it is complete, else nil. A part of another snapshot discards the
// earlier parts. A part that does not continue where the last one ended is an error.
func (a *assembly) add(c *configpb.Chunk) (*configpb.Snapshot, error) {
	if c.Size == 0 || c.Size > maxSnapshotBytes || len(c.Checksum) != sha256.Size {
		return nil, fmt.Errorf("%w: the snapshot has %d bytes, and its checksum %d", errChunk, c.Size, len(c.Checksum))
	}
	if c.Revision != a.revision || c.Size != a.size || !bytes.Equal(c.Checksum, a.checksum) {
		*a = assembly{revision: c.Revision, size: c.Size, checksum: bytes.Clone(c.Checksum)}
	}
	have := uint64(len(a.data))
	if c.Offset != have || len(c.Data) == 0 || uint64(len(c.Data)) > a.size-have {
		return nil, fmt.Errorf("%w: %d bytes at offset %d, after %d of %d bytes",
			errChunk, len(c.Data), c.Offset, have, a.size)
	}
	a.data = append(a.data, c.Data...)
	if uint64(len(a.data)) < a.size {
		return nil, nil
	}
	whole := *a
	*a = assembly{}
	if sum := sha256.Sum256(whole.data); !bytes.Equal(sum[:], whole.checksum) {
		return nil, fmt.Errorf("%w: the checksum of the complete snapshot is wrong", errChunk)
	}
	s, err := decode(whole.data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errChunk, err)
	}
	if s.Revision != whole.revision {
		return nil, fmt.Errorf("%w: the parts are of revision %d, the snapshot of revision %d",
			errChunk, whole.revision, s.Revision)
	}
	return s, nil
}
