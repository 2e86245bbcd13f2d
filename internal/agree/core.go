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
	ErrOutcomeUnknown = errors.New("leadership was lost meanwhile: the outcome is not known yet")
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
	Load() (DiskState, error)
	// Save appends entries, which replace the stored entries with the same or a higher index. A snapshot replaces all
	// entries up to its index. hs and snap may be nil.
	Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
}

// DiskState is the content of a disk.
type DiskState struct {
	HardState *raftpb.HardState // nil if there is none
	Snapshot  *raftpb.Snapshot  // nil if there is none
	Entries   []*raftpb.Entry   // those after the snapshot
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
	maxMessageBytes     = 256 << 10 // bytes of entries in one message
	maxUncommittedBytes = 4 << 20   // bytes of entries that are not committed yet
	maxInflightMessages = 64        // unacknowledged messages with entries to one voter
	envelopeSize        = 16        // bytes before each entry: ID of the proposing Core, number of the proposal
	keptEntries         = 200       // entries kept from before a snapshot, so that voters that lag a little need no snapshot
)

// Core is a voter without a clock, network or goroutines of its own. It is not safe for concurrent use.
type Core struct {
	options       Options
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	applied       uint64
	snapshotIndex uint64                      // index of the last snapshot
	proposerID    uint64                      // random ID of this Core, which marks its proposals
	lastNumber    uint64                      // of the last proposal or read
	proposals     map[uint64]func(any, error) // callbacks of the proposals without a result yet, by number
	activeReads   []pendingRead               // reads that were sent to raft, by number
	queuedReads   []func(error)               // callbacks of reads that wait to be sent
	votersChanged bool                        // since the last snapshot; a new voter accepts only a snapshot that includes it
	isLeader      bool
	leader        uint64 // ID of the leader; 0 if not known
}

type pendingRead struct {
	number uint64
	index  uint64 // commit index of the read; 0 if raft has not returned it yet
	done   []func(error)
}

// NewCore creates a Core that continues from the disk. With an empty disk and without Join it starts a new log with
// the given voters. The caller must be sure that these voters have no log yet.
func NewCore(options Options) (*Core, error) {
	if options.ElectionTicks <= 0 {
		options.ElectionTicks, options.HeartbeatTicks = 10, 1
	}
	if options.CompactEvery == 0 {
		options.CompactEvery = 2000
	}
	loaded, err := options.Disk.Load()
	if err != nil {
		return nil, err
	}
	core := &Core{options: options, storage: raft.NewMemoryStorage(), proposerID: rand.Uint64(), proposals: map[uint64]func(any, error){}}
	if loaded.Snapshot == nil && !options.Join {
		if len(loaded.Entries) > 0 || loaded.HardState != nil {
			return nil, errors.New("the disk has a log without the snapshot that it begins with: it is damaged")
		}
		state, err := options.Machine.Snapshot()
		if err != nil {
			return nil, err
		}
		loaded.Snapshot = &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
			ConfState: &raftpb.ConfState{Voters: options.Voters}}}
		loaded.HardState = &raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}
		if err := options.Disk.Save(loaded.HardState, nil, loaded.Snapshot); err != nil {
			return nil, err
		}
	}
	if loaded.Snapshot != nil {
		if err := core.storage.ApplySnapshot(loaded.Snapshot); err != nil {
			return nil, err
		}
		if err := options.Machine.Restore(loaded.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	core.confState = loaded.Snapshot.GetMetadata().GetConfState()
	core.applied = loaded.Snapshot.GetMetadata().GetIndex()
	core.snapshotIndex = core.applied
	if loaded.HardState != nil {
		core.storage.SetHardState(loaded.HardState)
	}
	if err := core.storage.Append(loaded.Entries); err != nil {
		return nil, err
	}
	core.node, err = raft.NewRawNode(&raft.Config{ID: options.ID, ElectionTick: options.ElectionTicks, HeartbeatTick: options.HeartbeatTicks, Storage: core.storage,
		Applied: core.applied, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: raftLog{options.Log}})
	return core, err
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
	if !c.isLeader {
		done(nil, ErrNotLeader)
		return
	}
	c.lastNumber++
	data := binary.BigEndian.AppendUint64(make([]byte, 0, envelopeSize+len(entry)), c.proposerID)
	data = append(binary.BigEndian.AppendUint64(data, c.lastNumber), entry...)
	if err := c.node.Propose(data); err != nil {
		done(nil, fmt.Errorf("%w (%w)", ErrNotLeader, err)) // raft dropped it: nothing was appended
		return
	}
	c.proposals[c.lastNumber] = done
}

// ReadIndex makes the next reads of the machine linearizable. done is called once, by Process, ReadIndex or Close:
// with nil after a majority confirmed that this voter was still the leader after the call, and the machine has
// applied all entries that were committed before; or with ErrNotLeader.
func (c *Core) ReadIndex(done func(error)) {
	if !c.isLeader {
		done(ErrNotLeader)
		return
	}
	c.queuedReads = append(c.queuedReads, done)
}

// Transfer hands the leadership to another voter if this one is the leader.
func (c *Core) Transfer(to uint64) { c.node.TransferLeader(to) }

// Reconfigure changes the voters of the log to these if this voter is the leader and no other change is in progress.
// The change uses joint consensus: until it is complete, decisions need a majority of the old voters and one of the
// new voters. There is no result; Status has the new voters once the change is committed.
func (c *Core) Reconfigure(voters []uint64) {
	if !c.isLeader || len(c.confState.GetVotersOutgoing()) > 0 {
		return
	}
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum()}
	change := func(kind raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: &id})
	}
	for _, id := range voters {
		if !slices.Contains(c.confState.GetVoters(), id) {
			change(raftpb.ConfChangeAddNode, id)
		}
	}
	for _, id := range c.confState.GetVoters() {
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
	IsLeader            bool
	Leader              uint64 // ID; 0 if not known
	Term                uint64
	Applied, FirstIndex uint64   // indices of the log: last applied entry; first entry that is not compacted
	Voters              []uint64 // IDs of the log's present voters
}

// Status returns the state of this voter.
func (c *Core) Status() Status {
	first, _ := c.storage.FirstIndex()
	return Status{IsLeader: c.isLeader, Leader: c.leader, Term: c.node.BasicStatus().GetTerm(), Applied: c.applied, FirstIndex: first, Voters: c.confState.GetVoters()}
}

// Process handles everything that the calls since the last Process caused: it saves entries to the disk, applies
// committed ones, calls the callbacks, and returns the messages to send. An error means that the disk failed or that
// this program can't apply the log. The Core must not be used afterwards.
func (c *Core) Process() (messages []*raftpb.Message, err error) {
	for {
		if len(c.queuedReads) > 0 && len(c.activeReads) == 0 && c.isLeader {
			c.lastNumber++
			c.activeReads = append(c.activeReads, pendingRead{number: c.lastNumber, done: c.queuedReads})
			c.queuedReads = nil
			c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.lastNumber))
		}
		if !c.node.HasReady() {
			return messages, nil
		}
		ready := c.node.Ready()
		if ready.HardState != nil || len(ready.Entries) > 0 || ready.Snapshot != nil {
			if err := c.options.Disk.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
				return nil, fmt.Errorf("the log can't be written, so this voter stops: %w", err)
			}
		}
		if ready.Snapshot != nil && ready.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := c.storage.ApplySnapshot(ready.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return nil, err
			}
			if err := c.options.Machine.Restore(ready.Snapshot.Data); err != nil {
				return nil, err
			}
			c.applied = ready.Snapshot.GetMetadata().GetIndex()
			c.snapshotIndex, c.confState = c.applied, ready.Snapshot.GetMetadata().GetConfState()
		}
		if ready.HardState != nil {
			c.storage.SetHardState(ready.HardState)
		}
		if err := c.storage.Append(ready.Entries); err != nil {
			return nil, err
		}
		for _, m := range ready.Messages { // copied, since they share memory with the log
			messages = append(messages, proto.CloneOf(m))
		}
		if ready.SoftState != nil {
			c.leader = ready.SoftState.Lead
			if c.isLeader = ready.SoftState.RaftState == raft.StateLeader; !c.isLeader {
				c.failPending()
			}
		}
		for _, e := range ready.CommittedEntries {
			if err := c.apply(e); err != nil {
				return nil, err
			}
		}
		for _, s := range ready.ReadStates {
			for i := range c.activeReads {
				if len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == c.activeReads[i].number {
					c.activeReads[i].index = s.Index
				}
			}
		}
		for len(c.activeReads) > 0 && c.activeReads[0].index > 0 && c.activeReads[0].index <= c.applied {
			done := c.activeReads[0].done
			c.activeReads = c.activeReads[1:]
			for _, f := range done {
				f(nil)
			}
		}
		c.node.Advance(ready)
		if err := c.compact(); err != nil {
			return nil, err
		}
	}
}

// failPending calls all pending callbacks with an error, after the leadership was lost.
func (c *Core) failPending() {
	proposals, reads, queued := c.proposals, c.activeReads, c.queuedReads
	c.proposals, c.activeReads, c.queuedReads = map[uint64]func(any, error){}, nil, nil
	for _, done := range proposals {
		done(nil, ErrOutcomeUnknown)
	}
	for _, r := range reads {
		queued = append(queued, r.done...)
	}
	for _, done := range queued {
		done(ErrNotLeader)
	}
}

// Close calls all pending callbacks with an error.
func (c *Core) Close() {
	c.isLeader = false
	c.failPending()
}

func (c *Core) apply(e *raftpb.Entry) error {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.Data, cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		c.confState, c.votersChanged = c.node.ApplyConfChange(cc), true
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.Data, cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		c.confState, c.votersChanged = c.node.ApplyConfChange(cc), true
	default:
		if len(e.Data) < envelopeSize { // the empty entry that a leader appends at the start of its term
			return nil
		}
		result := c.options.Machine.Apply(e.Data[envelopeSize:])
		if err, cannot := result.(error); cannot {
			return err
		}
		if binary.BigEndian.Uint64(e.Data) == c.proposerID {
			number := binary.BigEndian.Uint64(e.Data[8:])
			if done := c.proposals[number]; done != nil {
				delete(c.proposals, number)
				done(result, nil)
			}
		}
	}
	return nil
}

// compact saves a snapshot once CompactEvery entries were applied since the last one or the voters changed, and then
// drops the entries before it from memory, but for the last keptEntries.
func (c *Core) compact() error {
	if c.applied-c.snapshotIndex < c.options.CompactEvery && !c.votersChanged {
		return nil
	}
	c.votersChanged = false
	state, err := c.options.Machine.Snapshot()
	if err != nil {
		return err
	}
	snap, err := c.storage.CreateSnapshot(c.applied, c.confState, state)
	if err != nil {
		return err
	}
	if err := c.options.Disk.Save(nil, nil, snap); err != nil {
		return fmt.Errorf("the snapshot can't be written, so this voter stops: %w", err)
	}
	c.snapshotIndex = c.applied
	if c.applied <= keptEntries {
		return nil
	}
	if err := c.storage.Compact(c.applied - keptEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
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
