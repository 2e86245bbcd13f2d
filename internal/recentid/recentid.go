// Package recentid remembers the ids of requests that may have had an effect, so that none has it a second time. The
// table has a fixed size; an id is forgotten once enough others have come after it. Its memory can be shared with a
// successor process, so that both processes of a node see the ids of either at once.
package recentid

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	saltWords   = 2       // random words at the beginning, so that nobody can choose ids that collide
	bucketWords = 16      // the first word of a bucket counts its insertions, the others are its entries
	buckets     = 1 << 12 // some 61,000 ids
	tableWords  = saltWords + buckets*bucketWords
	// Size is the memory of a table, in bytes.
	Size      = tableWords * wordBytes
	wordBytes = 8
)

// Table is a set of recent ids. It is safe for concurrent use, also by two processes that share it. A nil Table remembers
// nothing.
type Table struct {
	words []atomic.Uint64
	file  *os.File // the shared memory; nil: it can't be shared
}

// New returns an empty table, whose memory can be shared if the system allows that. The memory is never unmapped.
func New() (*Table, error) {
	table, err := newShared()
	if err != nil {
		table = &Table{words: make([]atomic.Uint64, tableWords)}
	}
	var salt [saltWords * wordBytes]byte
	rand.Read(salt[:])
	for i := range saltWords {
		table.words[i].Store(binary.LittleEndian.Uint64(salt[i*wordBytes:]))
	}
	return table, err
}

// newShared returns a table in memory that another process can map.
func newShared() (*Table, error) {
	fd, err := unix.MemfdCreate("recent request ids", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("memfd_create: %w", err)
	}
	file := os.NewFile(uintptr(fd), "recent request ids")
	// Pages that could not be had later would end the process at their first use.
	if err := unix.Fallocate(fd, 0, 0, Size); err != nil {
		file.Close()
		return nil, fmt.Errorf("fallocate: %w", err)
	}
	return mapTable(file)
}

// Open returns the table in a file that another process has shared, and owns the file from then on.
func Open(file *os.File) (*Table, error) {
	info, err := file.Stat()
	if err == nil && info.Size() != Size {
		err = fmt.Errorf("%d bytes, want %d", info.Size(), Size)
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("recent request ids: %w", err)
	}
	return mapTable(file)
}

// mapTable maps the table in a file, which it closes if that fails.
func mapTable(file *os.File) (*Table, error) {
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, err
	}
	var memory []byte
	controlErr := raw.Control(func(fd uintptr) {
		memory, err = unix.Mmap(int(fd), 0, Size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	})
	if controlErr != nil {
		err = controlErr
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("mmap: %w", err)
	}
	words := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(memory))), tableWords)
	return &Table{words: words, file: file}, nil
}

// File returns the memory of the table as a file, for Open in another process; nil: it can't be shared.
func (t *Table) File() *os.File {
	if t == nil {
		return nil
	}
	return t.file
}

// Close closes the file of the table. The table stays usable.
func (t *Table) Close() error {
	if t.File() == nil {
		return nil
	}
	return t.file.Close()
}

// Add remembers an id, and reports whether it was not known.
func (t *Table) Add(id string) bool {
	if t == nil {
		return true
	}
	fingerprint, bucket := t.locate(id)
	entries := bucket[1:]
	for i := range entries {
		if entries[i].Load() == fingerprint {
			return false
		}
	}
	entries[(bucket[0].Add(1)-1)%uint64(len(entries))].Store(fingerprint)
	return true
}

// Remove forgets an id.
func (t *Table) Remove(id string) {
	if t == nil {
		return
	}
	fingerprint, bucket := t.locate(id)
	for i := range bucket[1:] {
		bucket[1+i].CompareAndSwap(fingerprint, 0)
	}
}

// locate returns the fingerprint of an id, which is not 0, and its bucket.
func (t *Table) locate(id string) (fingerprint uint64, bucket []atomic.Uint64) {
	hash := sha256.New()
	var salt [saltWords * wordBytes]byte
	for i := range saltWords {
		binary.LittleEndian.PutUint64(salt[i*wordBytes:], t.words[i].Load())
	}
	hash.Write(salt[:])
	io.WriteString(hash, id)
	sum := hash.Sum(nil)
	at := saltWords + bucketWords*int(binary.LittleEndian.Uint64(sum[wordBytes:])%buckets)
	return max(1, binary.LittleEndian.Uint64(sum)), t.words[at : at+bucketWords]
}
