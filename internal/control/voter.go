package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/agree"
	"starlingvalve/internal/configuration/watch"
	"starlingvalve/internal/faultpoint"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/link"
	"starlingvalve/internal/vitals"
)

// Kinds of calls and messages between nodes. A call has an answer, a message has none.
const (
	kindRaft     = iota + 1 // message to a voter: a raft message
	kindFounding            // call to a voter, without content: answered by its foundingInfo
	kindEntry               // call to the leader: a fleetpb.Entry; answered by its fleetpb.Result
	kindOrders              // long poll of any voter: the node's fleetpb.Orders; answered by newer ones, or by nothing
	kindState               // call to the leader, without content: answered by a fleetpb.State without the configuration
	kindWatch               // long poll of any voter: a configpb.WatchRequest; answered by a configpb.WatchAnswer
	kindReport              // call to any voter: a configpb.ReportRequest; answered by a configpb.Report
	kindQuery               // call to the leader: a configpb.Query; answered by a configpb.Answer
)

// Statuses of the answers to calls.
const (
	statusOK             = iota
	statusNotLeader      // the answer is the leader's name, or empty if the voter does not know it
	statusOutcomeUnknown // the entry may have been applied, or may be applied later; the answer is the error
	statusRejected       // the request was rejected; the answer is the reason
)

const (
	foundingInterval  = 500 * time.Millisecond
	foundingTimeout   = time.Second     // for one voter's answer
	ordersPollTimeout = 4 * time.Second // a long poll for orders is answered after this time at the latest
	entryTimeout      = 2 * time.Second
	ackBatchDelay     = 10 * time.Millisecond // acknowledgements that arrive within this time go into one entry
	maxAckBatch       = 1000                  // acknowledgements in one entry
	clockInterval     = time.Second           // between clock entries, while something waits for time to pass
	listInterval      = 500 * time.Millisecond
	maxListedServers  = 500 // servers in one entry
)

// voter is this node's part in the replicated log. It takes part once it knows which log it belongs to.
type voter struct {
	config          *Config
	calls           *link.Calls
	registryServers func() []*fleetpb.Server // the servers by this node's registry; nil: the registry has not reported yet
	log             *slog.Logger
	machine         *fleet.Machine // used by the member's goroutine only
	watch           *watch.Server  // serves the configuration to nodes

	mu            sync.Mutex
	disk          *agree.Bolt
	founding      agree.Founding
	birth         string
	raftIDs       map[string]uint64 // raft IDs of the voters, by name
	openBatch     *ackBatch         // batch that still takes acknowledgements; nil: none
	vitals        vitals.Vitals     // the nodes' health reports, used by the leader only
	member        *agree.Member     // nil until awaitFounding has succeeded
	ordersChanged chan struct{}     // closed when orders changes
	// The following are of the leader only, by node name.
	heardAt        map[string]time.Time // last keep-alive
	endingSessions map[string]uint64    // epochs of the timed-out sessions whose end this leader has proposed
	deadReports    map[string][]string  // the servers that the node last reported as dead

	orders   atomic.Pointer[encodedOrders]
	minLevel atomic.Uint32 // highest level of entries that all members understand
}

// encodedOrders is a fleetpb.Orders with its encoded form, which is encoded once for all nodes.
type encodedOrders struct {
	log     string
	version uint64
	raw     []byte
}

// raftIDOf returns the raft ID of a voter, from its name and the birth ID of its disk. A voter that lost its disk gets
// another ID: raft must not take it for the member that voted before.
func raftIDOf(name, birth string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "=" + birth))
	return max(1, h.Sum64())
}

// setRaftIDs sets the voters' raft IDs from the birth IDs of their disks.
func (v *voter) setRaftIDs(births map[string]string) {
	ids := map[string]uint64{}
	for name, birth := range births {
		ids[name] = raftIDOf(name, birth)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raftIDs = ids
}

// raftID returns the raft ID of a voter, or 0 if the name is not a voter's.
func (v *voter) raftID(name string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.raftIDs[name]
}

// voterName returns the name of the voter with a raft ID, or an empty string if there is none.
func (v *voter) voterName(id uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, n := range v.raftIDs {
		if n == id {
			return name
		}
	}
	return ""
}

// newVoter opens the voter's disk.
func newVoter(config *Config, registryServers func() []*fleetpb.Server, log *slog.Logger) (*voter, error) {
	disk, err := agree.OpenBolt(filepath.Join(config.Folder, "log.db"))
	if err != nil {
		return nil, err
	}
	v := &voter{config: config, registryServers: registryServers, log: log, machine: fleet.New(), disk: disk,
		ordersChanged: make(chan struct{}), heardAt: map[string]time.Time{},
		endingSessions: map[string]uint64{}, deadReports: map[string][]string{}}
	v.birth = disk.Birth()
	v.watch = v.newWatchServer()
	if v.founding, err = disk.Founding(); err != nil {
		disk.Close()
		return nil, err
	}
	return v, nil
}

// run waits until the voter knows its log, then takes part in it until ctx ends or the disk fails. It closes the disk.
func (v *voter) run(ctx context.Context) {
	defer v.disk.Close()
	if !v.awaitFounding(ctx) {
		return
	}
	v.setRaftIDs(v.founding.Voters)
	var ids []uint64
	for name, birth := range v.founding.Voters {
		ids = append(ids, raftIDOf(name, birth))
	}
	slices.Sort(ids)
	if !v.founding.Joined {
		*v.machine = *fleet.NewWithVoters(v.founding.Voters)
	}
	core, err := agree.NewCore(agree.Options{ID: raftIDOf(v.config.Name, v.birth), Voters: ids,
		Join: v.founding.Joined, Disk: v.disk, Machine: stateMachine{v.machine}, Log: v.log})
	if err == nil && len(v.machine.State().Voters) > 0 {
		v.setRaftIDs(v.machine.State().Voters)
	}
	if err != nil {
		v.log.Error("fleet: can't use this voter's log; the node continues without a vote",
			"folder", v.config.Folder, "err", err)
		return
	}
	v.minLevel.Store(v.machine.MinLevel())
	member := agree.NewMember(core, v.config.TickInterval, v.send, v.publish)
	v.mu.Lock()
	v.member = member
	v.mu.Unlock()
	var work sync.WaitGroup
	work.Go(func() { v.leaderDuties(ctx, member) })
	if err := member.Run(ctx); !errors.Is(err, agree.ErrStopped) {
		v.log.Error("fleet: this voter has stopped; the node continues without a vote", "err", err)
	}
	work.Wait()
}

// stateMachine adapts fleet.Machine to the log's interface of a state machine.
type stateMachine struct{ *fleet.Machine }

// Apply returns the entry's result. It returns an error, which stops the member, for an entry that this version of the
// program can't apply.
func (m stateMachine) Apply(entry []byte) any {
	r, err := m.ApplyChecked(entry)
	if err != nil {
		return err
	}
	return r
}

// send posts a raft message to the voter that it is for. It tells the member what became of it, if it failed or carried
// a snapshot.
func (v *voter) send(m *raftpb.Message) {
	to := v.voterName(m.GetTo())
	for _, other := range v.config.Voters {
		if other.Name != to {
			continue
		}
		raw, err := proto.Marshal(m)
		if err != nil {
			return
		}
		isSnapshot := m.GetType() == raftpb.MsgSnap
		v.calls.Post(v.config.fullName(other.Name), other.Address, kindRaft, raw, func(err error) {
			if isSnapshot {
				v.member.SnapshotSent(m.GetTo(), err == nil)
			}
			if err != nil {
				v.member.Unreachable(m.GetTo())
			}
		})
	}
}

// transferLeadership transfers the leadership, if this voter has it, to a voter that is connected. It gives up after
// within.
func (v *voter) transferLeadership(within time.Duration) {
	member := v.currentMember()
	if member == nil {
		return
	}
	for end := time.Now().Add(within); member.Status().IsLeader && time.Now().Before(end); time.Sleep(v.config.TickInterval / 4) {
		for _, o := range v.config.Voters {
			if o.Name != v.config.Name && v.calls.Connected(v.config.fullName(o.Name), o.Address) {
				member.Transfer(v.raftID(o.Name))
				break
			}
		}
	}
}

// handlePost passes a raft message to the member. from is the name in the sender's certificate: a message is dropped
// unless the sender is the voter whose raft ID the message carries.
func (v *voter) handlePost(from string, kind uint64, raw []byte) {
	m := v.currentMember()
	if m == nil || kind != kindRaft {
		return
	}
	message := &raftpb.Message{}
	if proto.Unmarshal(raw, message) != nil || message.GetFrom() != v.raftID(v.config.shortName(from)) {
		return
	}
	m.Step(message)
}

// currentMember returns the member, or nil if the voter does not take part yet.
func (v *voter) currentMember() *agree.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.member
}

// publish publishes the machine's state after a change: the minimum level, the voters' IDs, the configuration and the
// orders. The member's goroutine calls it, which owns the machine.
func (v *voter) publish() {
	v.minLevel.Store(v.machine.MinLevel())
	// A voter that joins a running log learns the voters from the log.
	if voters := v.machine.State().Voters; len(voters) > 0 {
		v.setRaftIDs(voters)
	}
	v.watch.Publish(v.founding.Log, v.machine.Configuration(), v.machine.Sessions())
	orders := v.machine.Orders()
	orders.Log = v.founding.Log
	if previous := v.orders.Load(); previous == nil || previous.version != orders.Version {
		raw, err := proto.Marshal(orders)
		if err != nil {
			return
		}
		v.orders.Store(&encodedOrders{orders.Log, orders.Version, raw})
		v.mu.Lock()
		close(v.ordersChanged)
		v.ordersChanged = make(chan struct{})
		v.mu.Unlock()
	}
}

// handleCall answers a call of another node, or of this one. from is the name in the caller's certificate. It returns
// the status and the answer.
func (v *voter) handleCall(ctx context.Context, from string, kind uint64, raw []byte) (uint64, []byte) {
	if kind == kindFounding {
		v.mu.Lock()
		info := foundingInfo{Birth: v.birth, Founding: v.founding.Log}
		v.mu.Unlock()
		if member := v.currentMember(); member != nil {
			info.Voters, _ = agree.View(ctx, member,
				func() (map[string]string, error) { return maps.Clone(v.machine.State().Voters), nil })
		}
		out, _ := json.Marshal(info)
		return statusOK, out
	}
	member := v.currentMember()
	if member == nil {
		return statusNotLeader, nil
	}
	if kind == kindOrders { // a long poll, so without entryTimeout
		known := &fleetpb.Orders{}
		if err := proto.Unmarshal(raw, known); err != nil {
			return statusRejected, []byte(err.Error())
		}
		return statusOK, v.awaitOrders(ctx, known)
	}
	if kind == kindWatch { // a long poll, too
		return v.handleWatch(ctx, member, v.config.shortName(from), raw)
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	switch kind {
	case kindEntry:
		entry := &fleetpb.Entry{}
		if err := proto.Unmarshal(raw, entry); err != nil {
			return statusRejected, []byte(err.Error())
		}
		if err := checkSender(v.config.shortName(from), entry); err != nil {
			return statusRejected, []byte(err.Error())
		}
		if o := entry.GetOpen(); o != nil {
			return v.encodeResult(v.keepSessionAlive(ctx, member, entry, o))
		}
		if r := entry.GetRenew(); r != nil {
			return v.encodeResult(v.renewVoter(ctx, member, entry, r))
		}
		if stopped := entry.GetStopped(); stopped != nil {
			return v.encodeResult(v.batchAcks(ctx, member, stopped.Acks))
		}
		if r, err := v.precheckChange(ctx, member, entry); r != nil || err != nil {
			return v.encodeResult(r, err)
		}
		return v.encodeResult(v.propose(ctx, member, entry))
	case kindReport:
		return v.handleReport(raw)
	case kindQuery:
		return v.handleQuery(ctx, member, raw)
	case kindState:
		if err := member.ConfirmLeadership(ctx); err != nil {
			return v.encodeResult(nil, err)
		}
		state, err := agree.View(ctx, member, v.machine.Overview)
		if err != nil {
			return v.encodeResult(nil, err)
		}
		return statusOK, state
	}
	return statusRejected, []byte("unknown kind of call")
}

// checkSender returns an error if the node may not submit the entry. A node may report its own state only, and must not
// submit the entries that only the leader writes. Operators' entries are accepted from every node.
func checkSender(from string, e *fleetpb.Entry) error {
	checkOwn := func(name string) error {
		if name != from {
			return fmt.Errorf("%s submitted an entry in the name of %s", from, name)
		}
		return nil
	}
	switch what := e.What.(type) {
	case *fleetpb.Entry_Open:
		return checkOwn(what.Open.Node)
	case *fleetpb.Entry_End:
		if what.End.Lapsed {
			return errors.New("only the leader may end a session as lapsed")
		}
		return checkOwn(what.End.Node)
	case *fleetpb.Entry_Leaving:
		return checkOwn(what.Leaving.Node)
	case *fleetpb.Entry_Supervised:
		return checkOwn(what.Supervised.Node)
	case *fleetpb.Entry_Stopped:
		for _, a := range what.Stopped.Acks {
			if err := checkOwn(a.Node); err != nil {
				return err
			}
		}
		return nil
	case *fleetpb.Entry_Budgets, *fleetpb.Entry_Drain, *fleetpb.Entry_Return, *fleetpb.Entry_Withdraw,
		*fleetpb.Entry_Forget, *fleetpb.Entry_Hold, *fleetpb.Entry_Renew,
		*fleetpb.Entry_Plan, *fleetpb.Entry_Steer, *fleetpb.Entry_Configure, *fleetpb.Entry_RollBack:
		return nil
	}
	return errors.New("a node may not submit an entry of this kind")
}

// encodeResult returns a result or an error in the form of an answer to a call.
func (v *voter) encodeResult(r proto.Message, err error) (uint64, []byte) {
	switch {
	case errors.Is(err, agree.ErrNotLeader):
		name := ""
		if m := v.currentMember(); m != nil {
			name = v.voterName(m.Status().Leader)
		}
		return statusNotLeader, []byte(name)
	case err != nil:
		return statusOutcomeUnknown, []byte(err.Error())
	}
	raw, err := proto.Marshal(r)
	if err != nil {
		return statusOutcomeUnknown, []byte(err.Error())
	}
	return statusOK, raw
}

// propose appends an entry to the log, with the time of this leader's clock, and returns its result. The entry gets the
// highest level that all members understand; one that needs a higher level is refused.
func (v *voter) propose(ctx context.Context, member *agree.Member, entry *fleetpb.Entry) (*fleetpb.Result, error) {
	minLevel := v.minLevel.Load()
	entry.AtMs, entry.Level = time.Now().UnixMilli(), max(fleet.RequiredLevel(entry), min(minLevel, fleet.Level))
	if entry.Level > minLevel {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf(
			"the entry needs level %d, and some member understands only %d: release this version to all members first",
			entry.Level, minLevel)}, nil
	}
	raw, err := proto.Marshal(entry)
	if err != nil {
		return nil, err
	}
	result, err := member.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	return result.(*fleetpb.Result), faultpoint.Reached(faultpoint.AfterApply)
}

// renewVoter admits a voter whose disk is new: it requests the birth ID of the disk from the voter and proposes it.
func (v *voter) renewVoter(ctx context.Context, member *agree.Member, entry *fleetpb.Entry,
	renewal *fleetpb.RenewVoter) (*fleetpb.Result, error) {
	if err := member.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	index := slices.IndexFunc(v.config.Voters, func(o Voter) bool { return o.Name == renewal.Node })
	switch {
	case index < 0:
		return &fleetpb.Result{Code: fleetpb.Result_INVALID, Reason: fmt.Sprintf("renew: %s is no voter", renewal.Node)}, nil
	case renewal.Node == v.config.Name:
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: renewal.Node + " is the leader, so it has not lost its disk"}, nil
	}
	info, err := v.requestFounding(ctx, v.config.Voters[index])
	if err != nil {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf(
			"renew: %s does not answer; start it with its new disk first: %v", renewal.Node, err)}, nil
	}
	renewal.Birth = info.Birth
	return v.propose(ctx, member, entry)
}

// ackBatch is a batch of acknowledgements for one entry of the log. All nodes stop sending to a drained target at about
// the same time, so one entry for each node would be a burst of entries.
type ackBatch struct {
	acks   []*fleetpb.Ack
	done   chan struct{} // closed once result and err are set
	result *fleetpb.Result
	err    error
}

// batchAcks adds acknowledgements to the open batch and returns the result of the batch's entry. The call that opens a
// batch waits for ackBatchDelay and then proposes it.
func (v *voter) batchAcks(ctx context.Context, member *agree.Member, acks []*fleetpb.Ack) (*fleetpb.Result, error) {
	v.mu.Lock()
	batch := v.openBatch
	first := batch == nil
	if first {
		batch = &ackBatch{done: make(chan struct{})}
		v.openBatch = batch
	}
	batch.acks = append(batch.acks, acks...)
	if len(batch.acks) >= maxAckBatch {
		v.openBatch = nil
	}
	v.mu.Unlock()
	if !first {
		select {
		case <-batch.done:
			return batch.result, batch.err
		case <-ctx.Done():
			return nil, agree.ErrOutcomeUnknown
		}
	}
	// Other calls wait for this batch, so the end of this call must not end it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), entryTimeout)
	defer cancel()
	time.Sleep(ackBatchDelay)
	v.mu.Lock()
	if v.openBatch == batch {
		v.openBatch = nil
	}
	v.mu.Unlock()
	batch.result, batch.err = v.propose(ctx, member, &fleetpb.Entry{What: &fleetpb.Entry_Stopped{
		Stopped: &fleetpb.Stopped{Acks: batch.acks}}})
	close(batch.done)
	return batch.result, batch.err
}

// keepSessionAlive opens a node's session with an entry of the log, or records the keep-alive of a live one, which
// needs no entry. It first confirms that this voter still leads. So a later leader, which counts timeouts from the
// begin of its own term, counts from a later time than the node does, and can't end the session too early.
func (v *voter) keepSessionAlive(ctx context.Context, member *agree.Member, entry *fleetpb.Entry,
	open *fleetpb.OpenSession) (*fleetpb.Result, error) {
	dead, report := open.Dead, &fleetpb.OpenSession{Ends: open.Ends, Resident: open.Resident, Soak: open.Soak}
	// The log gets the leader's conclusions from these, not each node's report.
	open.Dead, open.Ends, open.Resident, open.Soak = nil, nil, 0, 0
	if err := member.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	answer := &fleetpb.Result{Code: fleetpb.Result_DONE}
	epoch, err := agree.View(ctx, member, func() (uint64, error) {
		answer.Soak, answer.Tell = vitals.ActiveSoak(v.machine.State())
		if n := v.machine.State().Nodes[open.Node]; n != nil && n.State == fleet.Live && n.Process == open.Process {
			return n.Epoch, nil
		}
		return 0, nil
	})
	if err != nil {
		return nil, err
	}
	if epoch == 0 {
		r, err := v.propose(ctx, member, entry)
		if err != nil || r.Code != fleetpb.Result_DONE {
			return r, err
		}
		epoch = r.Epoch
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endingSessions[open.Node] == epoch {
		return &fleetpb.Result{Code: fleetpb.Result_FENCED, Reason: "the session has lapsed"}, nil
	}
	v.heardAt[open.Node], v.deadReports[open.Node] = time.Now(), dead
	v.vitals.SetReport(open.Node, epoch, report)
	answer.Epoch = epoch
	return answer, nil
}

// awaitOrders waits up to ordersPollTimeout for orders of a later version than the known ones, or of another log. It
// returns them encoded, or nil if there were none.
func (v *voter) awaitOrders(ctx context.Context, known *fleetpb.Orders) []byte {
	ctx, cancel := context.WithTimeout(ctx, ordersPollTimeout)
	defer cancel()
	for {
		v.mu.Lock()
		changed := v.ordersChanged
		v.mu.Unlock()
		if o := v.orders.Load(); o != nil && (o.version > known.Version || o.log != known.Log) {
			return o.raw
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
