package agree

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var (
	bucketLog   = []byte("log")
	bucketMeta  = []byte("meta")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyBirth    = []byte("birth")
	keyFounding = []byte("founding")
)

// Bolt is a voter's disk: one file, of which one process at a time has hold.
type Bolt struct{ db *bbolt.DB }

// OpenBolt opens a file, or makes it.
func OpenBolt(path string) (*Bolt, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it: a node has one process, or two while it is replaced; end the other one", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	b := &Bolt{db}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil || meta.Get(keyBirth) != nil {
			return err
		}
		birth := make([]byte, 8)
		rand.Read(birth)
		return meta.Put(keyBirth, []byte(hex.EncodeToString(birth)))
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// Close lets go of the file.
func (b *Bolt) Close() error { return b.db.Close() }

// Birth is drawn when the file is made.
func (b *Bolt) Birth() (birth string) {
	b.db.View(func(tx *bbolt.Tx) error {
		birth = string(tx.Bucket(bucketMeta).Get(keyBirth))
		return nil
	})
	return birth
}

// Founding is which log a voter is part of.
type Founding struct {
	Log    string            // its name; empty: none yet
	Voters map[string]string // by name, the births of their disks, as this one took part
	Joined bool              // the log had begun without this disk
}

// Founding tells it.
func (b *Bolt) Founding() (f Founding, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketMeta).Get(keyFounding); raw != nil {
			return json.Unmarshal(raw, &f)
		}
		return nil
	})
	return f, err
}

// Found notes it for good.
func (b *Bolt) Found(f Founding) error {
	raw, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return b.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyFounding, raw) })
}

// Load is Disk's.
func (b *Bolt) Load() (k Kept, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if raw := meta.Get(keyHard); raw != nil {
			k.Hard = &raftpb.HardState{}
			if err := proto.Unmarshal(raw, k.Hard); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
		}
		if raw := meta.Get(keySnapshot); raw != nil {
			k.Snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(raw, k.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		next := k.Snapshot.GetMetadata().GetIndex() + 1
		return tx.Bucket(bucketLog).ForEach(func(key, raw []byte) error {
			index := binary.BigEndian.Uint64(key)
			if index < next {
				return nil // behind the snapshot already
			}
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(raw, e); err != nil || e.GetIndex() != index || index != next {
				return fmt.Errorf("entry %d: want entry %d whole: %w", index, next, errors.Join(err))
			}
			k.Entries = append(k.Entries, e)
			next++
			return nil
		})
	})
	return k, err
}

// Save is Disk's, as one transaction.
func (b *Bolt) Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	return b.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		put := func(to *bbolt.Bucket, key []byte, m proto.Message) error {
			raw, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return to.Put(key, raw)
		}
		if hs != nil {
			if err := put(meta, keyHard, hs); err != nil {
				return err
			}
		}
		if snap != nil {
			if err := put(meta, keySnapshot, snap); err != nil {
				return err
			}
			if err := drop(log, func(index uint64) bool { return index <= snap.GetMetadata().GetIndex() }); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		first := entries[0].GetIndex()
		if key, _ := log.Cursor().Last(); key != nil && binary.BigEndian.Uint64(key) >= first {
			if err := drop(log, func(index uint64) bool { return index >= first }); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := put(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
}

// drop takes entries out of the log.
func drop(log *bbolt.Bucket, which func(index uint64) bool) error {
	var keys [][]byte
	c := log.Cursor()
	for key, _ := c.First(); key != nil; key, _ = c.Next() {
		if which(binary.BigEndian.Uint64(key)) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}
