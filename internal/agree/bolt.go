package agree

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/faultpoint"
)

var (
	bucketLog    = []byte("log")
	bucketMeta   = []byte("meta")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyBirth     = []byte("birth")
	keyFounding  = []byte("founding")
	// Checksums of the records in the other buckets, by bucket and key, and the ID of the bbolt transaction that
	// wrote them. An older program, to which a release was rolled back, writes no checksums. If the file has a newer
	// transaction than the checksums, they are computed anew.
	bucketSums = []byte("sums")
	keySumsOf  = []byte("of")
)

// Bolt is the Disk of a voter: one bbolt file, which one process at a time has open.
type Bolt struct{ db *bbolt.DB }

// ErrDamaged is returned for a file whose content differs from what was written to it.
var ErrDamaged = errors.New("the file is damaged; move it away, start the node without it, and have the voter admitted again (fleet renew)")

// OpenBolt opens a file, or creates it. It reads all records and compares them with their checksums, since a voter
// must not vote by what is left of a damaged log.
func OpenBolt(path string) (bolt *Bolt, err error) {
	// bbolt maps also a file that is too short into memory; a read behind its end is a memory fault, which becomes a
	// panic here.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			bolt, err = nil, fmt.Errorf("%s: %w: %v", path, ErrDamaged, r)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another process has it: a node has one process, or two while it is replaced; end the other one", path)
	case errors.As(err, new(*fs.PathError)): // an error of the operating system, such as a missing folder or permission
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	bolt = &Bolt{db}
	if err := db.View(verify); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	}
	err = bolt.update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if meta.Get(keyBirth) == nil {
			birth := make([]byte, 8)
			rand.Read(birth)
			if err := putRecord(tx, bucketMeta, keyBirth, []byte(hex.EncodeToString(birth))); err != nil {
				return err
			}
		}
		if sumsCurrent(tx, uint64(tx.ID())-1) {
			return nil
		}
		tx.DeleteBucket(bucketSums)
		for _, name := range [][]byte{bucketLog, bucketMeta} {
			err := tx.Bucket(name).ForEach(func(key, raw []byte) error { return putSum(tx, name, key, raw) })
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return bolt, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordSum(key, raw []byte) []byte {
	return binary.BigEndian.AppendUint32(nil, crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, raw))
}

func sumKey(bucket, key []byte) []byte { return append(append(slices.Clone(bucket), '/'), key...) }

// sumsCurrent reports whether the checksums were written by the transaction with that ID.
func sumsCurrent(tx *bbolt.Tx, of uint64) bool {
	sums := tx.Bucket(bucketSums)
	if sums == nil {
		return false
	}
	raw := sums.Get(keySumsOf)
	return len(raw) == 8 && binary.BigEndian.Uint64(raw) == of
}

// verify reads all records of a file and compares them with their checksums if those are current. bbolt's own check
// is not used, since it reads in a goroutine of its own, where a memory fault ends the process; so the list of free
// pages is not checked.
func verify(tx *bbolt.Tx) error {
	current, count := sumsCurrent(tx, uint64(tx.ID())), 0
	for _, name := range [][]byte{bucketLog, bucketMeta} {
		b := tx.Bucket(name)
		if b == nil {
			continue
		}
		err := b.ForEach(func(key, raw []byte) error {
			count++
			if want := recordSum(key, raw); current && !bytes.Equal(tx.Bucket(bucketSums).Get(sumKey(name, key)), want) {
				return fmt.Errorf("%s %x does not match its checksum", name, key)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	if current {
		sums := 0
		tx.Bucket(bucketSums).ForEach(func(_, _ []byte) error { sums++; return nil })
		if sums != count+1 {
			return fmt.Errorf("%d records, but checksums of %d", count, sums-1)
		}
	}
	return nil
}

// update runs a write transaction and marks the checksums as written by it.
func (b *Bolt) update(do func(*bbolt.Tx) error) error {
	return b.db.Update(func(tx *bbolt.Tx) error {
		if err := do(tx); err != nil {
			return err
		}
		sums, err := tx.CreateBucketIfNotExists(bucketSums)
		if err != nil {
			return err
		}
		return sums.Put(keySumsOf, binary.BigEndian.AppendUint64(nil, uint64(tx.ID())))
	})
}

func putRecord(tx *bbolt.Tx, bucket, key, raw []byte) error {
	if err := tx.Bucket(bucket).Put(key, raw); err != nil {
		return err
	}
	return putSum(tx, bucket, key, raw)
}

func putSum(tx *bbolt.Tx, bucket, key, raw []byte) error {
	sums, err := tx.CreateBucketIfNotExists(bucketSums)
	if err != nil {
		return err
	}
	return sums.Put(sumKey(bucket, key), recordSum(key, raw))
}

// Close closes the file, which another process may open then.
func (b *Bolt) Close() error { return b.db.Close() }

// Birth returns the ID of this disk: 16 random hex digits, drawn when the file was created.
func (b *Bolt) Birth() (birth string) {
	b.db.View(func(tx *bbolt.Tx) error {
		birth = string(tx.Bucket(bucketMeta).Get(keyBirth))
		return nil
	})
	return birth
}

// Founding records which log the voter takes part in.
type Founding struct {
	Log    string            // name of the log; empty if the voter takes part in none yet
	Voters map[string]string // disk IDs (Birth) by voter name, as they were when this disk joined
	Joined bool              // the log existed before this disk, which got it from the other voters
}

// Founding returns the stored record, or the zero value if there is none.
func (b *Bolt) Founding() (f Founding, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketMeta).Get(keyFounding); raw != nil {
			return json.Unmarshal(raw, &f)
		}
		return nil
	})
	return f, err
}

// SaveFounding stores which log the voter takes part in.
func (b *Bolt) SaveFounding(f Founding) error {
	raw, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return b.update(func(tx *bbolt.Tx) error { return putRecord(tx, bucketMeta, keyFounding, raw) })
}

// Load implements Disk.
func (b *Bolt) Load() (loaded DiskState, err error) {
	err = b.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if raw := meta.Get(keyHardState); raw != nil {
			loaded.HardState = &raftpb.HardState{}
			if err := proto.Unmarshal(raw, loaded.HardState); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
		}
		if raw := meta.Get(keySnapshot); raw != nil {
			loaded.Snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(raw, loaded.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		next := loaded.Snapshot.GetMetadata().GetIndex() + 1
		return tx.Bucket(bucketLog).ForEach(func(key, raw []byte) error {
			index := binary.BigEndian.Uint64(key)
			if index < next {
				return nil // the snapshot contains it
			}
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(raw, e); err != nil || e.GetIndex() != index || index != next {
				return fmt.Errorf("entry %d: want a complete entry %d: %w", index, next, errors.Join(err))
			}
			loaded.Entries = append(loaded.Entries, e)
			next++
			return nil
		})
	})
	return loaded, err
}

// Save implements Disk, as one transaction.
func (b *Bolt) Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if err := faultpoint.Reached(faultpoint.BeforeSave); err != nil {
		return err
	}
	err := b.update(func(tx *bbolt.Tx) error {
		message := func(bucket, key []byte, m proto.Message) error {
			raw, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return putRecord(tx, bucket, key, raw)
		}
		if hs != nil {
			if err := message(bucketMeta, keyHardState, hs); err != nil {
				return err
			}
		}
		if snap != nil {
			if err := message(bucketMeta, keySnapshot, snap); err != nil {
				return err
			}
			if err := deleteEntries(tx, func(index uint64) bool { return index <= snap.GetMetadata().GetIndex() }); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		first := entries[0].GetIndex()
		if key, _ := tx.Bucket(bucketLog).Cursor().Last(); key != nil && binary.BigEndian.Uint64(key) >= first {
			if err := deleteEntries(tx, func(index uint64) bool { return index >= first }); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := message(bucketLog, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return faultpoint.Reached(faultpoint.AfterSave)
}

// deleteEntries deletes the log entries whose index matches, with their checksums.
func deleteEntries(tx *bbolt.Tx, which func(index uint64) bool) error {
	log, sums := tx.Bucket(bucketLog), tx.Bucket(bucketSums)
	var keys [][]byte
	c := log.Cursor()
	for key, _ := c.First(); key != nil; key, _ = c.Next() {
		if which(binary.BigEndian.Uint64(key)) {
			keys = append(keys, slices.Clone(key))
		}
	}
	for _, key := range keys {
		if err := errors.Join(log.Delete(key), sums.Delete(sumKey(bucketLog, key))); err != nil {
			return err
		}
	}
	return nil
}
