package agree

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var quiet = slog.New(slog.DiscardHandler)

// recordingMachine is a machine that records the entries that it applies.
type recordingMachine struct{ entries []string }

func (w *recordingMachine) Apply(entry []byte) any {
	w.entries = append(w.entries, string(entry))
	return len(w.entries)
}

func (w *recordingMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(w.entries, " ")), nil
}

func (w *recordingMachine) Restore(raw []byte) error {
	w.entries = strings.Fields(string(raw))
	return nil
}

// memoryDisk is a disk in memory, which stays when its Core is replaced, and can fail.
type memoryDisk struct {
	DiskState
	fails     bool // every write fails and stores nothing
	failsNext bool // the next write stores its data and then fails, as if the process died before it could go on
}

var errDisk = errors.New("no space left")

func (d *memoryDisk) Load() (DiskState, error) { return d.DiskState, nil }

func (d *memoryDisk) Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) (err error) {
	if d.fails {
		return errDisk
	}
	if hs != nil {
		d.HardState = proto.CloneOf(hs)
	}
	if snap != nil {
		d.Snapshot = proto.CloneOf(snap)
	}
	for _, e := range entries {
		for len(d.Entries) > 0 && d.Entries[len(d.Entries)-1].GetIndex() >= e.GetIndex() {
			d.Entries = d.Entries[:len(d.Entries)-1]
		}
		d.Entries = append(d.Entries, proto.CloneOf(e))
	}
	if d.failsNext {
		d.failsNext = false
		defer func() { err = errDisk }()
	}
	for len(d.Entries) > 0 && d.Entries[0].GetIndex() <= d.Snapshot.GetMetadata().GetIndex() {
		d.Entries = d.Entries[1:]
	}
	return nil
}

// testCluster is a group of voters in virtual time, with memory disks and a network that loses, delays, reorders and
// duplicates messages and can be partitioned.
type testCluster struct {
	t         interface{ Fatalf(string, ...any) }
	random    *rand.Rand
	cores     []*Core // nil for a voter that is killed
	disks     []*memoryDisk
	machines  []*recordingMachine
	inTransit []*raftpb.Message
	cutLinks  [][2]uint64     // partitioned directions: from, to
	confirmed map[string]bool // proposals that returned without an error
	longest   []string        // the longest list of entries that any machine had
	compact   uint64
}

func newTestCluster(t interface{ Fatalf(string, ...any) }, n int, seed uint64) *testCluster {
	s := &testCluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), confirmed: map[string]bool{}, compact: 20}
	for range n {
		s.disks = append(s.disks, &memoryDisk{})
	}
	s.cores, s.machines = make([]*Core, n), make([]*recordingMachine, n)
	for i := range n {
		s.start(i)
	}
	return s
}

func (s *testCluster) start(i int) {
	var ids []uint64
	for j := range s.disks {
		ids = append(ids, uint64(j+1))
	}
	s.machines[i] = &recordingMachine{}
	c, err := NewCore(Options{ID: uint64(i + 1), Voters: ids, Disk: s.disks[i], Machine: s.machines[i], CompactEvery: s.compact, Log: quiet})
	if err != nil {
		s.t.Fatalf("voter %d: %v", i+1, err)
	}
	s.cores[i] = c
}

func (s *testCluster) kill(i int) {
	s.cores[i].Close()
	s.cores[i] = nil
}

func (s *testCluster) isCut(m *raftpb.Message) bool {
	for _, c := range s.cutLinks {
		if c == [2]uint64{m.GetFrom(), m.GetTo()} {
			return true
		}
	}
	return false
}

// step ticks all voters once and delivers messages in transit for up to three hops. loss is the chance to lose a
// message; half of it is the chance to deliver one twice.
func (s *testCluster) step(loss float64) {
	for i, c := range s.cores {
		if c == nil {
			continue
		}
		c.Tick()
		s.process(i)
	}
	for range 3 {
		flying := s.inTransit
		s.inTransit = nil
		s.random.Shuffle(len(flying), func(i, j int) { flying[i], flying[j] = flying[j], flying[i] })
		for _, m := range flying {
			to := int(m.GetTo()) - 1
			if s.isCut(m) || s.random.Float64() < loss || s.cores[to] == nil {
				if m.GetType() == raftpb.MsgSnap && s.cores[m.GetFrom()-1] != nil {
					s.cores[m.GetFrom()-1].SnapshotSent(m.GetTo(), false)
				}
				continue
			}
			if s.random.Float64() < loss/2 {
				s.inTransit = append(s.inTransit, m) // a duplicate
			}
			s.cores[to].Step(proto.CloneOf(m))
			s.process(to)
			if m.GetType() == raftpb.MsgSnap && s.cores[m.GetFrom()-1] != nil {
				s.cores[m.GetFrom()-1].SnapshotSent(m.GetTo(), true)
			}
		}
	}
}

func (s *testCluster) process(i int) {
	messages, err := s.cores[i].Process()
	if err != nil {
		if !errors.Is(err, errDisk) {
			s.t.Fatalf("voter %d: %v", i+1, err)
		}
		s.kill(i)
		return
	}
	s.inTransit = append(s.inTransit, messages...)
	list := s.machines[i].entries
	for j := range min(len(list), len(s.longest)) {
		if list[j] != s.longest[j] {
			s.t.Fatalf("voter %d has %q at %d, another voter %q", i+1, list[j], j, s.longest[j])
		}
	}
	if len(list) > len(s.longest) {
		s.longest = append([]string(nil), list...)
	}
}

func (s *testCluster) leader() int {
	for i, c := range s.cores {
		if c != nil && c.Status().IsLeader {
			return i
		}
	}
	return -1
}

func (s *testCluster) propose(i int, word string) {
	s.cores[i].Propose([]byte(word), func(_ any, err error) {
		if err == nil {
			s.confirmed[word] = true
		}
	})
	s.process(i)
}

func (s *testCluster) runUntil(what string, done func() bool) {
	for range 2000 {
		if done() {
			return
		}
		s.step(0)
	}
	s.t.Fatalf("%s: not within 2,000 ticks", what)
}

// Guards against voters that apply different entries, against a confirmed entry that is lost, and against a log that
// stays stuck once all faults are over. The faults are lost and duplicated messages, partitions, killed and restarted
// voters, and disks that fail before or after a write, in random order for each seed.
func TestAgreement(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		n := 3 + 2*int(seed%2)
		s := newTestCluster(t, n, seed)
		for i := range 250 {
			switch {
			case s.random.IntN(25) == 0:
				s.cutLinks = append(s.cutLinks, [2]uint64{uint64(1 + s.random.IntN(n)), uint64(1 + s.random.IntN(n))})
			case s.random.IntN(30) == 0:
				s.cutLinks = nil
			case s.random.IntN(40) == 0:
				if x := s.random.IntN(n); s.cores[x] != nil {
					s.kill(x)
				} else {
					s.start(x)
				}
			case s.random.IntN(60) == 0:
				s.disks[s.random.IntN(n)].fails = true
			case s.random.IntN(20) == 0:
				s.disks[s.random.IntN(n)].failsNext = true
			}
			if x := s.leader(); x >= 0 && s.random.IntN(2) == 0 {
				s.propose(x, fmt.Sprintf("w%d", i))
			}
			s.step(0.1)
		}
		s.cutLinks = nil
		for i := range n {
			s.disks[i].fails, s.disks[i].failsNext = false, false
			if s.cores[i] == nil {
				s.start(i)
			}
		}
		s.runUntil(fmt.Sprintf("seed %d: a confirmed entry after all faults", seed), func() bool {
			if x := s.leader(); x >= 0 {
				s.propose(x, "last")
			}
			return s.confirmed["last"]
		})
		has := map[string]bool{}
		for _, w := range s.longest {
			has[w] = true
		}
		for w := range s.confirmed {
			if !has[w] {
				t.Fatalf("seed %d: %s was confirmed and is not in the log", seed, w)
			}
		}
	}
}

// Guards against a leader without a majority that still answers. Within two election timeouts after a partition it
// must fail pending entries and reads, another voter must lead, and its entry must not take effect afterwards.
func TestCutLeader(t *testing.T) {
	s := newTestCluster(t, 3, 1)
	s.runUntil("a leader", func() bool { return s.leader() >= 0 })
	old := s.leader()
	for i := range 3 {
		s.cutLinks = append(s.cutLinks, [2]uint64{uint64(old + 1), uint64(i + 1)}, [2]uint64{uint64(i + 1), uint64(old + 1)})
	}
	var writeErr, readErr error = errDisk, errDisk
	s.cores[old].Propose([]byte("x"), func(_ any, err error) { writeErr = err })
	s.cores[old].ReadIndex(func(err error) { readErr = err })
	for range 40 {
		s.step(0)
	}
	if !errors.Is(writeErr, ErrOutcomeUnknown) || !errors.Is(readErr, ErrNotLeader) {
		t.Errorf("entry: %v, read: %v", writeErr, readErr)
	}
	if s.cores[old].Status().IsLeader || s.leader() < 0 {
		t.Error("no other voter took over the leadership")
	}
	s.cutLinks = nil
	s.runUntil("the old leader follows the new one", func() bool { return s.cores[old].Status().Leader == uint64(s.leader()+1) })
	if s.confirmed["x"] || strings.Contains(strings.Join(s.longest, " "), "x") {
		t.Error("an entry took effect that no majority had stored")
	}
}

// Guards against a voter that never catches up because the entries it misses were compacted: it must get a snapshot.
func TestSnapshotForLaggard(t *testing.T) {
	s := newTestCluster(t, 3, 2)
	s.runUntil("a leader", func() bool { return s.leader() >= 0 })
	away := (s.leader() + 1) % 3
	s.kill(away)
	for i := range keptEntries + 100 {
		s.runUntil("a leader", func() bool { return s.leader() >= 0 })
		s.propose(s.leader(), fmt.Sprintf("w%d", i))
		s.step(0)
	}
	if first := s.cores[s.leader()].Status().FirstIndex; first < 50 {
		t.Fatalf("the first entry is %d: the log was not compacted", first)
	}
	s.start(away)
	s.runUntil("the restarted voter has all entries", func() bool {
		return len(s.machines[away].entries) == len(s.longest) && len(s.longest) >= keptEntries+100
	})
}

// Guards against a transfer of the leadership that takes an election timeout: it must be done within three ticks.
func TestTransfer(t *testing.T) {
	s := newTestCluster(t, 5, 3)
	s.runUntil("a leader", func() bool { return s.leader() >= 0 })
	to := (s.leader() + 1) % 5
	s.cores[s.leader()].Transfer(uint64(to + 1))
	for range 3 {
		s.step(0)
	}
	if !s.cores[to].Status().IsLeader {
		t.Error("the leadership was not transferred within three ticks")
	}
}

// Guards against a voter that can't come back after it lost its disk. It joins with an empty disk and a new ID, which
// replaces its old one. It must get all entries, and must count for the majority: afterwards it decides with one of
// the other two.
func TestReconfigure(t *testing.T) {
	s := newTestCluster(t, 3, 4)
	s.runUntil("a leader", func() bool { return s.leader() >= 0 })
	for i := range 50 {
		s.propose(s.leader(), fmt.Sprintf("w%d", i))
		s.step(0)
	}
	lost := (s.leader() + 1) % 3
	s.kill(lost)
	s.disks = append(s.disks, &memoryDisk{})
	s.machines = append(s.machines, &recordingMachine{})
	c, err := NewCore(Options{ID: 4, Join: true, Disk: s.disks[3], Machine: s.machines[3], CompactEvery: s.compact, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	s.cores = append(s.cores, c)
	want := []uint64{4}
	for i := range 3 {
		if i != lost {
			want = append(want, uint64(i+1))
		}
	}
	slices.Sort(want)
	s.runUntil("the voters have changed", func() bool {
		if x := s.leader(); x >= 0 {
			s.cores[x].Reconfigure(want)
			s.process(x)
		}
		got := slices.Clone(s.cores[3].Status().Voters)
		slices.Sort(got)
		return slices.Equal(got, want)
	})
	s.propose(s.leader(), "after")
	s.runUntil("the new voter has all entries", func() bool { return len(s.machines[3].entries) == 51 })
	oldLeader := s.leader()
	s.kill(oldLeader) // the majority is now the new voter and the one that is left
	s.runUntil("the new voter decides with the one that is left", func() bool {
		if x := s.leader(); x >= 0 {
			s.propose(x, "last")
		}
		return s.confirmed["last"]
	})
}

// failingMachine is a machine that can't apply an entry.
type failingMachine struct{ recordingMachine }

func (*failingMachine) Apply([]byte) any { return errDisk }

// Guards against a voter that goes on after its machine could not apply an entry.
func TestMachineStops(t *testing.T) {
	c := &Core{options: Options{Machine: &failingMachine{}}}
	if err := c.apply(&raftpb.Entry{Data: make([]byte, envelopeSize+1)}); !errors.Is(err, errDisk) {
		t.Errorf("the voter goes on: %v", err)
	}
}

// Guards against a file that two processes have open at once, and against a log, hard state, snapshot, founding
// record or disk ID that is lost or changed when the file is opened again.
func TestBolt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log.db")
	b, err := OpenBolt(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenBolt(path); err == nil {
		t.Error("the file was opened twice")
	}
	entry := func(index uint64, word string) *raftpb.Entry {
		return &raftpb.Entry{Index: &index, Term: new(uint64(1)), Data: []byte(word)}
	}
	snap := &raftpb.Snapshot{Data: []byte("s"), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}}
	for _, save := range []error{
		b.Save(&raftpb.HardState{Term: new(uint64(3)), Vote: new(uint64(0)), Commit: new(uint64(1))}, nil, snap),
		b.Save(nil, []*raftpb.Entry{entry(2, "a"), entry(3, "b"), entry(4, "c")}, nil),
		b.Save(nil, []*raftpb.Entry{entry(3, "d")}, nil),
		b.SaveFounding(Founding{Log: "f", Voters: map[string]string{"n1": "b"}}),
	} {
		if save != nil {
			t.Fatal(save)
		}
	}
	birth := b.Birth()
	b.Close()
	if b, err = OpenBolt(path); err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	k, err := b.Load()
	if err != nil || len(k.Entries) != 2 || string(k.Entries[1].Data) != "d" || k.HardState.GetTerm() != 3 || !bytes.Equal(k.Snapshot.Data, snap.Data) {
		t.Errorf("%v, %v", k, err)
	}
	if f, err := b.Founding(); err != nil || b.Birth() != birth || f.Log != "f" || f.Voters["n1"] != "b" || len(birth) != 16 {
		t.Errorf("birth %q, then %q; founding %+v, %v", birth, b.Birth(), f, err)
	}
}

// writeDisk creates a file with a snapshot and 38 entries, and returns the file's bytes.
func writeDisk(t *testing.T, path string) []byte {
	t.Helper()
	b, err := OpenBolt(path)
	if err != nil {
		t.Fatal(err)
	}
	entries := []*raftpb.Entry{}
	for i := uint64(2); i < 40; i++ {
		entries = append(entries, &raftpb.Entry{Index: new(i), Term: new(uint64(1)), Data: bytes.Repeat([]byte{byte(i)}, 300)})
	}
	snap := &raftpb.Snapshot{Data: bytes.Repeat([]byte("s"), 9000), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}}
	err = errors.Join(b.Save(&raftpb.HardState{Term: new(uint64(3)), Vote: new(uint64(0)), Commit: new(uint64(1))}, nil, snap), b.Save(nil, entries, nil), b.SaveFounding(Founding{Log: "f"}), b.Close())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against a voter that uses a part of a damaged log, and against a damaged file that crashes the process. A
// file that is truncated at a random byte, or has a sector of zeros or random bytes, must be refused as damaged or
// give all that was written.
func TestTornDisk(t *testing.T) {
	dir := t.TempDir()
	raw := writeDisk(t, filepath.Join(dir, "whole.db"))
	random, refused := rand.New(rand.NewPCG(1, 2)), 0
	for i := range 400 {
		damaged, what := slices.Clone(raw), ""
		if i%2 == 0 {
			n := random.IntN(len(damaged))
			damaged, what = damaged[:n], fmt.Sprintf("truncated at %d of %d", n, len(raw))
		} else {
			from := 512 * random.IntN(len(damaged)/512)
			for j := range 512 {
				if damaged[from+j] = 0; i%4 == 1 {
					damaged[from+j] = byte(random.Uint32())
				}
			}
			what = fmt.Sprintf("sector at %d", from)
		}
		path := filepath.Join(dir, fmt.Sprint(i))
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		b, err := OpenBolt(path)
		if err != nil {
			if refused++; !errors.Is(err, ErrDamaged) {
				t.Errorf("%s: %v", what, err)
			}
			continue
		}
		if k, err := b.Load(); len(damaged) > 0 && (err != nil || len(k.Entries) != 38 || k.HardState.GetTerm() != 3 || len(k.Snapshot.GetData()) != 9000) {
			t.Errorf("%s: accepted, with %d entries, %v", what, len(k.Entries), err)
		}
		b.Close()
	}
	if refused < 100 {
		t.Errorf("%d of 400 refused", refused)
	}
}

// Guards against a file that counts as damaged after an older program wrote to it, which writes no checksums. The
// checksums must be computed anew when the file is opened.
func TestSumsMadeAnew(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log.db")
	writeDisk(t, path)
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := proto.Marshal(&raftpb.HardState{Term: new(uint64(9)), Vote: new(uint64(0)), Commit: new(uint64(1))})
	err = db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyHardState, raw) })
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		b, err := OpenBolt(path)
		if err != nil {
			t.Fatal(err)
		}
		if k, err := b.Load(); err != nil || k.HardState.GetTerm() != 9 {
			t.Errorf("%v, %v", k.HardState, err)
		}
		b.Close()
	}
}
