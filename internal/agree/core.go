// Package agree is a replicated log, kept by some of the nodes (the voters) with the Raft implementation of
// go.etcd.io/raft. Appended entries are on the disks of a majority of the voters, in the same order everywhere. The
// content of the entries is opaque to the package; a Machine applies them. Core is driven by ticks and messages from
// its caller, as the decision module is, so that tests run it in virtual time. Member runs a Core in a process, by
// the clock.
package agree

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var (
	// ErrNotLeader is returned for a call that only the leader accepts. Nothing was appended.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrOutcomeUnknown is returned for a proposal whose outcome this voter did not learn, since it lost the
	// leadership or stopped. The entry may still take effect. The caller should repeat the request under the same ID.
	ErrUnknown = errors.New("leadership was lost meanwhile: the outcome is not known yet")
)

// Machine is the state machine that the entries are applied to. It is called by one goroutine at a time. An Apply
// result that is an error stops the voter.
type Machine interface {
	Apply(entry []byte) (result any)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Disk stores a voter's log, vote and snapshot. The data of a call are durable once it returns without an error.
type Disk interface {
	Load() (Kept, error)
	// Save appends entries, which replace the stored entries with the same or a higher index. A snapshot replaces all
	// entries up to its index. hs and snap may be nil.
	Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
}

// DiskState is the content of a disk.
type Kept struct {
	Hard     *raftpb.HardState // nil if there is none
	Snapshot *raftpb.Snapshot  // nil if there is none
	Entries  []*raftpb.Entry   // those after the snapshot
}

// Options configure a Core.
type Options struct {
	ID      uint64   // of this voter; not 0
	Voters  []uint64 // of a new log; ignored if the disk has a log
	Join    bool     // the log exists already, and this voter gets it from the others
	Disk    Disk
	Machine Machine
	// A voter starts an election after ElectionTicks without a message from the leader, times a random factor of 1 to
	// 2. The leader sends heartbeats every HeartbeatTicks. Default 10 and 1.
	ElectionTicks, HeartbeatTicks int
	CompactEvery                  uint64 // entries between snapshots; default 2,000
	Log                           *slog.Logger
}

const (
	mostMessage = 256 << 10 // bytes of entries in one message
	mostUnsure  = 4 << 20   // bytes of entries that are not committed yet
	inflight    = 64        // unacknowledged messages with entries to one voter
	envelope    = 16        // bytes before each entry: ID of the proposing Core and number of the proposal there, 8 bytes each
	compactKeep = 200       // entries kept from before a snapshot, so that voters that lag a little need no snapshot
)

// Core is a voter without a clock, network or goroutines of its own. It is not safe for concurrent use.
type Core struct {
	o       Options
	node    *raft.RawNode
	storage *raft.MemoryStorage
	conf    *raftpb.ConfState
	applied uint64
	snapped uint64 // index of the last snapshot
	origin  uint64 // random ID of this Core, which marks its proposals
	number  uint64 // of the last proposal or read
	waiting map[uint64]func(any, error) // callbacks of the proposals without a result yet, by number
	reads   []read        // reads that were sent to raft, by number
	asked   []func(error) // callbacks of reads that wait to be sent
	renewed bool          // the voters changed since the last snapshot; a new voter accepts only a snapshot that includes it
	lead    bool
	led     uint64 // ID of the leader; 0 if not known
}

type read struct {
	number uint64
	index  uint64 // commit index of the read; 0 if raft has not returned it yet
	done   []func(error)
}

// NewCore creates a Core that continues from the disk. With an empty disk and without Join it starts a new log with
// the given voters. The caller must be sure that these voters have no log yet.
func NewCore(o Options) (*Core, error) {
	if o.ElectionTicks <= 0 {
		o.ElectionTicks, o.HeartbeatTicks = 10, 1
	}
	if o.CompactEvery == 0 {
		o.CompactEvery = 2000
	}
	kept, err := o.Disk.Load()
	if err != nil {
		return nil, err
	}
	c := &Core{o: o, storage: raft.NewMemoryStorage(), origin: rand.Uint64(), waiting: map[uint64]func(any, error){}}
	if kept.Snapshot == nil && !o.Join {
		if len(kept.Entries) > 0 || kept.Hard != nil {
			return nil, errors.New("the disk has a log without the snapshot that it begins with: it is damaged")
		}
		state, err := o.Machine.Snapshot()
		if err != nil {
			return nil, err
		}
		kept.Snapshot = &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
			ConfState: &raftpb.ConfState{Voters: o.Voters}}}
		kept.Hard = &raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}
		if err := o.Disk.Save(kept.Hard, nil, kept.Snapshot); err != nil {
			return nil, err
		}
	}
	if kept.Snapshot != nil {
		if err := c.storage.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, err
		}
		if err := o.Machine.Restore(kept.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	c.conf = kept.Snapshot.GetMetadata().GetConfState()
	c.applied = kept.Snapshot.GetMetadata().GetIndex()
	c.snapped = c.applied
	if kept.Hard != nil {
		c.storage.SetHardState(kept.Hard)
	}
	if err := c.storage.Append(kept.Entries); err != nil {
		return nil, err
	}
	c.node, err = raft.NewRawNode(&raft.Config{ID: o.ID, ElectionTick: o.ElectionTicks, HeartbeatTick: o.HeartbeatTicks, Storage: c.storage,
		Applied: c.applied, MaxSizePerMsg: mostMessage, MaxInflightMsgs: inflight, MaxUncommittedEntriesSize: mostUnsure, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: raftLog{o.Log}})
	return c, err
}

// Tick advances the clock by one unit.
func (c *Core) Tick() { c.node.Tick() }

// Step handles a message from another voter. An invalid message returns an error and changes nothing.
func (c *Core) Step(m *raftpb.Message) error {
	if raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("message of type %v from voter %x: this type is not sent between voters", m.GetType(), m.GetFrom())
	}
	return c.node.Step(m)
}

// Propose appends an entry if this voter is the leader. done is called once, by Process, Propose or Close: with the
// machine's result once the entry has been applied, or with an error.
func (c *Core) Propose(entry []byte, done func(any, error)) {
	if !c.lead {
		done(nil, ErrNotLeader)
		return
	}
	c.number++
	data := binary.BigEndian.AppendUint64(make([]byte, 0, envelope+len(entry)), c.origin)
	data = append(binary.BigEndian.AppendUint64(data, c.number), entry...)
	if err := c.node.Propose(data); err != nil {
		done(nil, fmt.Errorf("%w (%w)", ErrNotLeader, err)) // raft dropped it: nothing was appended
		return
	}
	c.waiting[c.number] = done
}

// ReadIndex makes the next reads of the machine linearizable. done is called once, by Process, ReadIndex or Close:
// with nil after a majority confirmed that this voter was still the leader after the call, and the machine has
// applied all entries that were committed before; or with ErrNotLeader.
func (c *Core) Read(done func(error)) {
	if !c.lead {
		done(ErrNotLeader)
		return
	}
	c.asked = append(c.asked, done)
}

// Transfer hands the leadership to another voter if this one is the leader.
func (c *Core) Transfer(to uint64) { c.node.TransferLeader(to) }

// Reconfigure changes the voters of the log to these if this voter is the leader and no other change is in progress.
// The change uses joint consensus: until it is complete, decisions need a majority of the old voters and one of the
// new voters. There is no result; Status has the new voters once the change is committed.
func (c *Core) Reconfigure(voters []uint64) {
	if !c.lead || len(c.conf.GetVotersOutgoing()) > 0 {
		return
	}
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum()}
	change := func(kind raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: &id})
	}
	for _, id := range voters {
		if !slices.Contains(c.conf.GetVoters(), id) {
			change(raftpb.ConfChangeAddNode, id)
		}
	}
	for _, id := range c.conf.GetVoters() {
		if !slices.Contains(voters, id) {
			change(raftpb.ConfChangeRemoveNode, id)
		}
	}
	if len(cc.Changes) > 0 {
		c.node.ProposeConfChange(cc)
	}
}

// Unreachable reports that a message to a voter could not be delivered.
func (c *Core) Unreachable(id uint64) { c.node.ReportUnreachable(id) }

// SnapshotSent reports whether a snapshot was delivered to a voter.
func (c *Core) SnapshotSent(id uint64, ok bool) {
	s := raft.SnapshotFinish
	if !ok {
		s = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, s)
}

// Status is the state of a voter.
type Status struct {
	Leads          bool
	Leader         uint64 // ID; 0 if not known
	Term           uint64
	Applied, First uint64   // indices of the log: last applied entry; first entry that is not compacted
	Voters         []uint64 // IDs of the log's present voters
}

// Status returns the state of this voter.
func (c *Core) Status() Status {
	first, _ := c.storage.FirstIndex()
	return Status{Leads: c.lead, Leader: c.led, Term: c.node.BasicStatus().GetTerm(), Applied: c.applied, First: first, Voters: c.conf.GetVoters()}
}

// Process handles everything that the calls since the last Process caused: it saves entries to the disk, applies
// committed ones, calls the callbacks, and returns the messages to send. An error means that the disk failed or that
// this program can't apply the log. The Core must not be used afterwards.
func (c *Core) Work() (messages []*raftpb.Message, err error) {
	for {
		if len(c.asked) > 0 && len(c.reads) == 0 && c.lead {
			c.number++
			c.reads = append(c.reads, read{number: c.number, done: c.asked})
			c.asked = nil
			c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.number))
		}
		if !c.node.HasReady() {
			return messages, nil
		}
		rd := c.node.Ready()
		if rd.HardState != nil || len(rd.Entries) > 0 || rd.Snapshot != nil {
			if err := c.o.Disk.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				return nil, fmt.Errorf("the log can't be written, so this voter stops: %w", err)
			}
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return nil, err
			}
			if err := c.o.Machine.Restore(rd.Snapshot.Data); err != nil {
				return nil, err
			}
			c.applied = rd.Snapshot.GetMetadata().GetIndex()
			c.snapped, c.conf = c.applied, rd.Snapshot.GetMetadata().GetConfState()
		}
		if rd.HardState != nil {
			c.storage.SetHardState(rd.HardState)
		}
		if err := c.storage.Append(rd.Entries); err != nil {
			return nil, err
		}
		for _, m := range rd.Messages { // copied, since they share memory with the log
			messages = append(messages, proto.CloneOf(m))
		}
		if rd.SoftState != nil {
			c.led = rd.SoftState.Lead
			if c.lead = rd.SoftState.RaftState == raft.StateLeader; !c.lead {
				c.lost()
			}
		}
		for _, e := range rd.CommittedEntries {
			if err := c.apply(e); err != nil {
				return nil, err
			}
		}
		for _, s := range rd.ReadStates {
			for i := range c.reads {
				if len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == c.reads[i].number {
					c.reads[i].index = s.Index
				}
			}
		}
		for len(c.reads) > 0 && c.reads[0].index > 0 && c.reads[0].index <= c.applied {
			done := c.reads[0].done
			c.reads = c.reads[1:]
			for _, f := range done {
				f(nil)
			}
		}
		c.node.Advance(rd)
		if err := c.compact(); err != nil {
			return nil, err
		}
	}
}

// failPending calls all pending callbacks with an error, after the leadership was lost.
func (c *Core) lost() {
	waiting, reads, asked := c.waiting, c.reads, c.asked
	c.waiting, c.reads, c.asked = map[uint64]func(any, error){}, nil, nil
	for _, done := range waiting {
		done(nil, ErrUnknown)
	}
	for _, r := range reads {
		asked = append(asked, r.done...)
	}
	for _, done := range asked {
		done(ErrNotLeader)
	}
}

// Close calls all pending callbacks with an error.
func (c *Core) Close() {
	c.lead = false
	c.lost()
}

func (c *Core) apply(e *raftpb.Entry) error {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.Data, cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		c.conf, c.renewed = c.node.ApplyConfChange(cc), true
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.Data, cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		c.conf, c.renewed = c.node.ApplyConfChange(cc), true
	default:
		if len(e.Data) < envelope { // the empty entry that a leader appends at the start of its term
			return nil
		}
		result := c.o.Machine.Apply(e.Data[envelope:])
		if err, cannot := result.(error); cannot {
			return err
		}
		if binary.BigEndian.Uint64(e.Data) == c.origin {
			number := binary.BigEndian.Uint64(e.Data[8:])
			if done := c.waiting[number]; done != nil {
				delete(c.waiting, number)
				done(result, nil)
			}
		}
	}
	return nil
}

// compact saves a snapshot once CompactEvery entries were applied since the last one or the voters changed, and then
// drops the entries before it from memory, but for the last keptEntries.
func (c *Core) compact() error {
	if c.applied-c.snapped < c.o.CompactEvery && !c.renewed {
		return nil
	}
	c.renewed = false
	state, err := c.o.Machine.Snapshot()
	if err != nil {
		return err
	}
	snap, err := c.storage.CreateSnapshot(c.applied, c.conf, state)
	if err != nil {
		return err
	}
	if err := c.o.Disk.Save(nil, nil, snap); err != nil {
		return fmt.Errorf("the snapshot can't be written, so this voter stops: %w", err)
	}
	c.snapped = c.applied
	if c.applied <= compactKeep {
		return nil
	}
	if err := c.storage.Compact(c.applied - compactKeep); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// raftLog passes the log messages of the raft library to a slog.Logger.
type raftLog struct{ log *slog.Logger }

// Debug drops the message.
func (l raftLog) Debug(v ...any) {}

// Debugf drops the message.
func (l raftLog) Debugf(f string, v ...any) {}

// Info logs at debug level: raft reports each step of an election.
func (l raftLog) Info(v ...any) { l.log.Debug(fmt.Sprint(v...)) }

// Infof logs at debug level, as Info does.
func (l raftLog) Infof(f string, v ...any) { l.log.Debug(fmt.Sprintf(f, v...)) }

// Warning logs at warning level.
func (l raftLog) Warning(v ...any) { l.log.Warn(fmt.Sprint(v...)) }

// Warningf logs at warning level.
func (l raftLog) Warningf(f string, v ...any) { l.log.Warn(fmt.Sprintf(f, v...)) }

// Error logs at error level.
func (l raftLog) Error(v ...any) { l.log.Error(fmt.Sprint(v...)) }

// Errorf logs at error level.
func (l raftLog) Errorf(f string, v ...any) { l.log.Error(fmt.Sprintf(f, v...)) }

// Fatal panics, since raft's state is not reliable then.
func (l raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics, as Fatal does.
func (l raftLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Panic panics with the message.
func (l raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with the message.
func (l raftLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
