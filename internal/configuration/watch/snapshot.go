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
	maxSnapshotBytes = 2 * configuration.MaxBytes // not compressed; entries are MaxBytes at most
	zstdWindow       = 1 << 20                    // bytes; a node's decoder holds about as much
)

// encodedSnapshot is a snapshot as it goes to nodes.
type encoded struct {
	revision uint64
	checksum [sha256.Size]byte
	data     []byte
}

// encode gives a snapshot's form on the wire, the same bytes for the same snapshot and version of the library.
func encode(s *configpb.Snapshot) (*encoded, error) {
	raw, err := configuration.Encode(s)
	if err != nil {
		return nil, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindow))
	if err != nil {
		return nil, err
	}
	defer w.Close()
	e := &encoded{revision: s.GetRevision(), data: w.EncodeAll(raw, nil)}
	e.checksum = sha256.Sum256(e.data)
	return e, nil
}

// decode reads what encode made.
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

// snapshotCache is the snapshot that nodes read now. It goes once nobody has read it for a while.
type snapshots struct {
	now    *encoded
	read   time.Time
	making chan struct{} // closed once the next one is made; nil: none is
}

func (s *snapshots) drop() { s.now = nil }

// dropUnread lets go of a snapshot that nobody has read for so long.
func (s *snapshots) forget(now time.Time, kept time.Duration) {
	if s.now != nil && now.Sub(s.read) > kept {
		s.now = nil
	}
}

// chunk gives the next part of a snapshot to a node: of the one that it has begun, if the machine has the same one.
func (s *Server) chunk(ctx context.Context, q *configpb.WatchRequest) (*configpb.WatchAnswer, error) {
	e, log, revision, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	offset := uint64(0)
	if q.Snapshot == e.revision && bytes.Equal(q.Checksum, e.checksum[:]) && q.Offset <= uint64(len(e.data)) {
		offset = q.Offset
	}
	end := min(len(e.data), int(offset)+s.o.Limits.ChunkBytes)
	c := &configpb.Chunk{
		Revision: e.revision,
		Size:     uint64(len(e.data)),
		Checksum: e.checksum[:],
		Offset:   offset,
		Data:     e.data[offset:end],
	}
	return &configpb.WatchAnswer{Log: log, Revision: revision, News: &configpb.WatchAnswer_Chunk{Chunk: c}}, nil
}

// currentSnapshot gives the snapshot that nodes read, made anew where the revisions kept do not reach back to it. It is made
// once for all that wait.
func (s *Server) current(ctx context.Context) (e *encoded, log string, revision uint64, err error) {
	for {
		s.mu.Lock()
		log, revision = s.log, s.revision
		if e = s.snapshots.now; e != nil && e.revision >= s.after {
			s.snapshots.read = time.Now()
			s.mu.Unlock()
			return e, log, revision, nil
		}
		making := s.snapshots.making
		if making == nil {
			making = make(chan struct{})
			s.snapshots.making = making
			s.mu.Unlock()
			if err := s.makeSnapshot(ctx, making); err != nil {
				return nil, "", 0, err
			}
			continue
		}
		s.mu.Unlock()
		select {
		case <-making:
		case <-ctx.Done():
			return nil, "", 0, ctx.Err()
		}
	}
}

// makeSnapshot makes the next snapshot, and tells those that wait for it.
func (s *Server) makeSnapshot(ctx context.Context, done chan struct{}) error {
	var e *encoded
	snapshot, err := s.o.Snapshot(ctx)
	if err == nil {
		e, err = encode(snapshot)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.snapshots.now = e
	}
	s.snapshots.making = nil
	close(done)
	return err
}

// assembly is a snapshot that a node takes in parts.
type assembly struct {
	revision uint64
	size     uint64
	checksum []byte
	data     []byte
}

var errChunk = errors.New("part of a snapshot")

// add takes a part. Once the snapshot is whole it is given. A part of another snapshot begins that one, and one that
// does not continue where the last one ended is an error.
func (a *assembly) add(c *configpb.Chunk) (*configpb.Snapshot, error) {
	if c.Size == 0 || c.Size > maxSnapshotBytes || len(c.Checksum) != sha256.Size {
		return nil, fmt.Errorf("%w: of %d bytes, with a checksum of %d", errChunk, c.Size, len(c.Checksum))
	}
	if c.Revision != a.revision || c.Size != a.size || !bytes.Equal(c.Checksum, a.checksum) {
		*a = assembly{revision: c.Revision, size: c.Size, checksum: bytes.Clone(c.Checksum)}
	}
	have := uint64(len(a.data))
	if c.Offset != have || len(c.Data) == 0 || uint64(len(c.Data)) > a.size-have {
		return nil, fmt.Errorf("%w: %d bytes at %d, where %d of %d are known",
			errChunk, len(c.Data), c.Offset, have, a.size)
	}
	a.data = append(a.data, c.Data...)
	if uint64(len(a.data)) < a.size {
		return nil, nil
	}
	whole := *a
	*a = assembly{}
	if sum := sha256.Sum256(whole.data); !bytes.Equal(sum[:], whole.checksum) {
		return nil, fmt.Errorf("%w: the checksum of the whole is wrong", errChunk)
	}
	s, err := decode(whole.data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errChunk, err)
	}
	if s.Revision != whole.revision {
		return nil, fmt.Errorf("%w: of revision %d, and the whole is of %d", errChunk, whole.revision, s.Revision)
	}
	return s, nil
}
