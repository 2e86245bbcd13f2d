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
	statusOK        = iota
	statusNotLeader // the answer is the leader's name, or empty if the voter does not know it
	statusUnknown   // the entry may or may not have been applied, or may be applied later; the answer is the error's text
	statusBad       // the request was rejected; the answer is the reason
)

const (
	foundingEvery = 500 * time.Millisecond
	foundingWait  = time.Second     // for one voter's answer
	ordersHold    = 4 * time.Second // a long poll for orders is answered after this time at the latest
	entryWait     = 2 * time.Second
	gatherFor     = 10 * time.Millisecond // acknowledgements that arrive within this time go into one entry
	gatherMost    = 1000                  // acknowledgements in one entry
	clockEvery    = time.Second           // between clock entries, while something waits for time to pass
	listedEvery   = 500 * time.Millisecond
	listedMost    = 500 // servers in one entry
)

// voter is this node's part in the replicated log. It takes part once it knows which log it belongs to.
type voter struct {
	c       *Config
	calls   *link.Calls
	listed  func() []*fleetpb.Server // the servers by this node's registry; nil: the registry has not reported yet
	log     *slog.Logger
	machine *fleet.Machine // used by the member's goroutine only
	watch   *watch.Server  // serves the configuration to nodes

	mu        sync.Mutex
	disk      *agree.Bolt
	founding  agree.Founding
	birth     string
	ids       map[string]uint64 // raft IDs of the voters, by name
	gathering *gathering        // batch that still takes acknowledgements; nil: none
	vitals    vitals.Vitals     // the nodes' health reports, used by the leader only
	member    *agree.Member // nil until awaitFounding has succeeded
	changed   chan struct{} // closed when orders changes
	// The following are of the leader only, by node name.
	heard     map[string]time.Time // last keep-alive
	lapsing   map[string]uint64    // epochs of the timed-out sessions whose end this leader has proposed
	dead      map[string][]string  // the servers that the node last reported as dead

	orders atomic.Pointer[orders]
	least  atomic.Uint32 // highest level of entries that all members understand
}

// encodedOrders is a fleetpb.Orders with its encoded form, which is encoded once for all nodes.
type orders struct {
	log     string
	version uint64
	raw     []byte
}

// raftIDOf returns the raft ID of a voter, from its name and the birth ID of its disk. A voter that lost its disk gets
// another ID: raft must not take it for the member that voted before.
func voterID(name, birth string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "=" + birth))
	return max(1, h.Sum64())
}

// setRaftIDs sets the voters' raft IDs from the birth IDs of their disks.
func (v *voter) number(births map[string]string) {
	ids := map[string]uint64{}
	for name, birth := range births {
		ids[name] = voterID(name, birth)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ids = ids
}

// raftID returns the raft ID of a voter, or 0 if the name is not a voter's.
func (v *voter) id(name string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ids[name]
}

// voterName returns the name of the voter with a raft ID, or an empty string if there is none.
func (v *voter) name(id uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, n := range v.ids {
		if n == id {
			return name
		}
	}
	return ""
}

// newVoter opens the voter's disk.
func newVoter(c *Config, listed func() []*fleetpb.Server, log *slog.Logger) (*voter, error) {
	disk, err := agree.OpenBolt(filepath.Join(c.Folder, "log.db"))
	if err != nil {
		return nil, err
	}
	v := &voter{c: c, listed: listed, log: log, machine: fleet.New(), disk: disk, changed: make(chan struct{}), heard: map[string]time.Time{}, lapsing: map[string]uint64{}, dead: map[string][]string{}}
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
	if !v.found(ctx) {
		return
	}
	v.number(v.founding.Voters)
	var ids []uint64
	for name, birth := range v.founding.Voters {
		ids = append(ids, voterID(name, birth))
	}
	slices.Sort(ids)
	if !v.founding.Joined {
		*v.machine = *fleet.Found(v.founding.Voters)
	}
	core, err := agree.NewCore(agree.Options{ID: voterID(v.c.Name, v.birth), Voters: ids, Join: v.founding.Joined, Disk: v.disk, Machine: machine{v.machine}, Log: v.log})
	if err == nil && len(v.machine.State().Voters) > 0 {
		v.number(v.machine.State().Voters)
	}
	if err != nil {
		v.log.Error("fleet: can't use this voter's log; the node continues without a vote", "folder", v.c.Folder, "err", err)
		return
	}
	v.least.Store(v.machine.LeastLevel())
	m := agree.NewMember(core, v.c.Tick, v.send, v.news)
	v.mu.Lock()
	v.member = m
	v.mu.Unlock()
	var work sync.WaitGroup
	work.Go(func() { v.duties(ctx, m) })
	if err := m.Run(ctx); !errors.Is(err, agree.ErrStopped) {
		v.log.Error("fleet: this voter has stopped; the node continues without a vote", "err", err)
	}
	work.Wait()
}

// stateMachine adapts fleet.Machine to the log's interface of a state machine.
type machine struct{ *fleet.Machine }

// Apply returns the entry's result. It returns an error, which stops the member, for an entry that this version of the
// program can't apply.
func (m machine) Apply(entry []byte) any {
	r, err := m.Follow(entry)
	if err != nil {
		return err
	}
	return r
}

// send posts a raft message to the voter that it is for. It tells the member what became of it, if it failed or carried
// a snapshot.
func (v *voter) send(m *raftpb.Message) {
	to := v.name(m.GetTo())
	for _, o := range v.c.Voters {
		if o.Name != to {
			continue
		}
		raw, err := proto.Marshal(m)
		if err != nil {
			return
		}
		snap := m.GetType() == raftpb.MsgSnap
		v.calls.Post(v.c.full(o.Name), o.Address, kindRaft, raw, func(err error) {
			if snap {
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
func (v *voter) leave(within time.Duration) {
	m := v.current()
	if m == nil {
		return
	}
	for end := time.Now().Add(within); m.Status().Leads && time.Now().Before(end); time.Sleep(v.c.Tick / 4) {
		for _, o := range v.c.Voters {
			if o.Name != v.c.Name && v.calls.Up(v.c.full(o.Name), o.Address) {
				m.Transfer(v.id(o.Name))
				break
			}
		}
	}
}

// handlePost passes a raft message to the member. from is the name in the sender's certificate: a message is dropped
// unless the sender is the voter whose raft ID the message carries.
func (v *voter) posted(from string, kind uint64, raw []byte) {
	m := v.current()
	if m == nil || kind != kindRaft {
		return
	}
	message := &raftpb.Message{}
	if proto.Unmarshal(raw, message) != nil || message.GetFrom() != v.id(v.c.short(from)) {
		return
	}
	m.Step(message)
}

// currentMember returns the member, or nil if the voter does not take part yet.
func (v *voter) current() *agree.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.member
}

// publish publishes the machine's state after a change: the minimum level, the voters' IDs, the configuration and the
// orders. The member's goroutine calls it, which owns the machine.
func (v *voter) news() {
	v.least.Store(v.machine.LeastLevel())
	// A voter that joins a running log learns the voters from the log.
	if voters := v.machine.State().Voters; len(voters) > 0 {
		v.number(voters)
	}
	v.watch.Publish(v.founding.Log, v.machine.Configuration(), v.machine.Sessions())
	o := v.machine.Orders()
	o.Log = v.founding.Log
	if was := v.orders.Load(); was == nil || was.version != o.Version {
		raw, err := proto.Marshal(o)
		if err != nil {
			return
		}
		v.orders.Store(&orders{o.Log, o.Version, raw})
		v.mu.Lock()
		close(v.changed)
		v.changed = make(chan struct{})
		v.mu.Unlock()
	}
}

// handleCall answers a call of another node, or of this one. from is the name in the caller's certificate. It returns
// the status and the answer.
func (v *voter) handle(ctx context.Context, from string, kind uint64, raw []byte) (uint64, []byte) {
	if kind == kindFounding {
		v.mu.Lock()
		w := foundingWord{Birth: v.birth, Founding: v.founding.Log}
		v.mu.Unlock()
		if m := v.current(); m != nil {
			w.Voters, _ = agree.View(ctx, m, func() (map[string]string, error) { return maps.Clone(v.machine.State().Voters), nil })
		}
		out, _ := json.Marshal(w)
		return statusOK, out
	}
	m := v.current()
	if m == nil {
		return statusNotLeader, nil
	}
	if kind == kindOrders { // a long poll, so without entryTimeout
		e := &fleetpb.Orders{}
		if err := proto.Unmarshal(raw, e); err != nil {
			return statusBad, []byte(err.Error())
		}
		return statusOK, v.ordersBehind(ctx, e)
	}
	if kind == kindWatch { // a long poll, too
		return v.watchFor(ctx, m, v.c.short(from), raw)
	}
	ctx, cancel := context.WithTimeout(ctx, entryWait)
	defer cancel()
	switch kind {
	case kindEntry:
		e := &fleetpb.Entry{}
		if err := proto.Unmarshal(raw, e); err != nil {
			return statusBad, []byte(err.Error())
		}
		if err := mayAsk(v.c.short(from), e); err != nil {
			return statusBad, []byte(err.Error())
		}
		if o := e.GetOpen(); o != nil {
			return v.answer(v.keepAlive(ctx, m, e, o))
		}
		if r := e.GetRenew(); r != nil {
			return v.answer(v.renew(ctx, m, e, r))
		}
		if w := e.GetStopped(); w != nil {
			return v.answer(v.gather(ctx, m, w.Acks))
		}
		if r, err := v.refuseEarly(ctx, m, e); r != nil || err != nil {
			return v.answer(r, err)
		}
		return v.answer(v.propose(ctx, m, e))
	case kindReport:
		return v.reportFor(raw)
	case kindQuery:
		return v.query(ctx, m, raw)
	case kindState:
		if err := m.Lead(ctx); err != nil {
			return v.answer(nil, err)
		}
		state, err := agree.View(ctx, m, v.machine.Overview)
		if err != nil {
			return v.answer(nil, err)
		}
		return statusOK, state
	}
	return statusBad, []byte("unknown kind of call")
}

// checkSender returns an error if the node may not submit the entry. A node may report its own state only, and must not
// submit the entries that only the leader writes. Operators' entries are accepted from every node.
func mayAsk(from string, e *fleetpb.Entry) error {
	own := func(name string) error {
		if name != from {
			return fmt.Errorf("%s submitted an entry in the name of %s", from, name)
		}
		return nil
	}
	switch w := e.What.(type) {
	case *fleetpb.Entry_Open:
		return own(w.Open.Node)
	case *fleetpb.Entry_End:
		if w.End.Lapsed {
			return errors.New("only the leader may end a session as lapsed")
		}
		return own(w.End.Node)
	case *fleetpb.Entry_Leaving:
		return own(w.Leaving.Node)
	case *fleetpb.Entry_Supervised:
		return own(w.Supervised.Node)
	case *fleetpb.Entry_Stopped:
		for _, a := range w.Stopped.Acks {
			if err := own(a.Node); err != nil {
				return err
			}
		}
		return nil
	case *fleetpb.Entry_Budgets, *fleetpb.Entry_Drain, *fleetpb.Entry_Return, *fleetpb.Entry_Withdraw, *fleetpb.Entry_Forget, *fleetpb.Entry_Hold, *fleetpb.Entry_Renew,
		*fleetpb.Entry_Plan, *fleetpb.Entry_Steer, *fleetpb.Entry_Configure, *fleetpb.Entry_RollBack:
		return nil
	}
	return errors.New("a node may not submit an entry of this kind")
}

// encodeResult returns a result or an error in the form of an answer to a call.
func (v *voter) answer(r proto.Message, err error) (uint64, []byte) {
	switch {
	case errors.Is(err, agree.ErrNotLeader):
		name := ""
		if m := v.current(); m != nil {
			name = v.name(m.Status().Leader)
		}
		return statusNotLeader, []byte(name)
	case err != nil:
		return statusUnknown, []byte(err.Error())
	}
	raw, err := proto.Marshal(r)
	if err != nil {
		return statusUnknown, []byte(err.Error())
	}
	return statusOK, raw
}

// propose appends an entry to the log, with the time of this leader's clock, and returns its result. The entry gets the
// highest level that all members understand; one that needs a higher level is refused.
func (v *voter) propose(ctx context.Context, m *agree.Member, e *fleetpb.Entry) (*fleetpb.Result, error) {
	least := v.least.Load()
	e.AtMs, e.Level = time.Now().UnixMilli(), max(fleet.NeededLevel(e), min(least, fleet.Level))
	if e.Level > least {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf("the entry needs level %d, and some member understands only %d: release this version to all members first", e.Level, least)}, nil
	}
	raw, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	r, err := m.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	return r.(*fleetpb.Result), faultpoint.At(faultpoint.Granted)
}

// renewVoter admits a voter whose disk is new: it requests the birth ID of the disk from the voter and proposes it.
func (v *voter) renew(ctx context.Context, m *agree.Member, e *fleetpb.Entry, r *fleetpb.RenewVoter) (*fleetpb.Result, error) {
	if err := m.Lead(ctx); err != nil {
		return nil, err
	}
	at := slices.IndexFunc(v.c.Voters, func(o Voter) bool { return o.Name == r.Node })
	switch {
	case at < 0:
		return &fleetpb.Result{Code: fleetpb.Result_INVALID, Reason: fmt.Sprintf("renew: %s is no voter", r.Node)}, nil
	case r.Node == v.c.Name:
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: r.Node + " is the leader, so it has not lost its disk"}, nil
	}
	w, err := v.askFounding(ctx, v.c.Voters[at])
	if err != nil {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf("renew: %s does not answer; start it with its new disk first: %v", r.Node, err)}, nil
	}
	r.Birth = w.Birth
	return v.propose(ctx, m, e)
}

// ackBatch is a batch of acknowledgements for one entry of the log. All nodes stop sending to a drained target at about
// the same time, so one entry for each node would be a burst of entries.
type gathering struct {
	acks   []*fleetpb.Ack
	done   chan struct{} // closed once result and err are set
	result *fleetpb.Result
	err    error
}

// batchAcks adds acknowledgements to the open batch and returns the result of the batch's entry. The call that opens a
// batch waits for ackBatchDelay and then proposes it.
func (v *voter) gather(ctx context.Context, m *agree.Member, acks []*fleetpb.Ack) (*fleetpb.Result, error) {
	v.mu.Lock()
	g := v.gathering
	first := g == nil
	if first {
		g = &gathering{done: make(chan struct{})}
		v.gathering = g
	}
	g.acks = append(g.acks, acks...)
	if len(g.acks) >= gatherMost {
		v.gathering = nil
	}
	v.mu.Unlock()
	if !first {
		select {
		case <-g.done:
			return g.result, g.err
		case <-ctx.Done():
			return nil, agree.ErrUnknown
		}
	}
	// Other calls wait for this batch, so the end of this call must not end it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), entryWait)
	defer cancel()
	time.Sleep(gatherFor)
	v.mu.Lock()
	if v.gathering == g {
		v.gathering = nil
	}
	v.mu.Unlock()
	g.result, g.err = v.propose(ctx, m, &fleetpb.Entry{What: &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{Acks: g.acks}}})
	close(g.done)
	return g.result, g.err
}

// keepSessionAlive opens a node's session with an entry of the log, or records the keep-alive of a live one, which
// needs no entry. It first confirms that this voter still leads. So a later leader, which counts timeouts from the
// begin of its own term, counts from a later time than the node does, and can't end the session too early.
func (v *voter) keepAlive(ctx context.Context, m *agree.Member, e *fleetpb.Entry, o *fleetpb.OpenSession) (*fleetpb.Result, error) {
	dead, word := o.Dead, &fleetpb.OpenSession{Ends: o.Ends, Resident: o.Resident, Soak: o.Soak}
	// The log gets the leader's conclusions from these, not each node's report.
	o.Dead, o.Ends, o.Resident, o.Soak = nil, nil, 0, 0
	if err := m.Lead(ctx); err != nil {
		return nil, err
	}
	answer := &fleetpb.Result{Code: fleetpb.Result_DONE}
	epoch, err := agree.View(ctx, m, func() (uint64, error) {
		answer.Soak, answer.Tell = vitals.Soak(v.machine.State())
		if n := v.machine.State().Nodes[o.Node]; n != nil && n.State == fleet.Live && n.Process == o.Process {
			return n.Epoch, nil
		}
		return 0, nil
	})
	if err != nil {
		return nil, err
	}
	if epoch == 0 {
		r, err := v.propose(ctx, m, e)
		if err != nil || r.Code != fleetpb.Result_DONE {
			return r, err
		}
		epoch = r.Epoch
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lapsing[o.Node] == epoch {
		return &fleetpb.Result{Code: fleetpb.Result_FENCED, Reason: "the session has lapsed"}, nil
	}
	v.heard[o.Node], v.dead[o.Node] = time.Now(), dead
	v.vitals.Tell(o.Node, epoch, word)
	answer.Epoch = epoch
	return answer, nil
}

// awaitOrders waits up to ordersPollTimeout for orders of a later version than the known ones, or of another log. It
// returns them encoded, or nil if there were none.
func (v *voter) ordersBehind(ctx context.Context, known *fleetpb.Orders) []byte {
	ctx, cancel := context.WithTimeout(ctx, ordersHold)
	defer cancel()
	for {
		v.mu.Lock()
		changed := v.changed
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
