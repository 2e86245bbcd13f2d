// Package fleet is the replicated state machine of a fleet of nodes, driven by the Raft log of internal/agree. Its
// state has the nodes and their sessions, the servers, which targets are out of service and why, the budgets that
// limit how many may be out at once, the queue of waiting drains, how far each drain is confirmed, and the release
// that is in progress. The effect of an entry depends on the state and the entry only: no I/O, clock, goroutine,
// randomness or map order has a part in it. The time is the timestamp that the leader writes into each entry.
package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/fleet/fleetpb"
)

// Level is the version of the rules that this program implements. The leader writes into each entry the lowest level
// of all members at that time; an entry that needs newer rules has a higher one. The level of the state rises with
// that of the entries and decides by which rules entries take effect, so that members that run two versions of the
// program compute the same state. The texts of results and history events are part of that state.
const Level = 3

// The level from which on a set of rules applies.
const (
	levelFirst         = 1
	levelWaves         = 2 // waves of one zone unless marked as mixed, voters last, never a majority of voters out for a release
	levelConfiguration = 3 // entries that change the configuration
)

// Limits that bound the size of the state.
const (
	maxHistory    = 500
	maxResults    = 1000 // results that are kept to answer a repeated request
	maxQueue      = 100
	maxServers    = 20_000
	maxNodes      = 4_000
	maxBudgets    = 100
	maxTextBytes  = 200            // bytes of a name or a reason
	removedKeptMs = 15 * 60 * 1000 // ms that a server stays in the state after its removal from the registry
)

// States of a node's session (Live, Lapsed, Ended) and of a server in the registry (Ready, Draining, Removed).
const (
	Live     = "live"
	Lapsed   = "lapsed"
	Ended    = "ended"
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// FleetTarget is the target of a hold that keeps every server and node in service.
const FleetTarget = "fleet"

// ServerTarget returns the name of a server as the target of a drain or a hold.
func ServerTarget(id string) string { return "server/" + id }

// NodeTarget returns the target name of a node.
func NodeTarget(name string) string { return "node/" + name }

// ZoneTarget returns the target name of all servers of a zone.
func ZoneTarget(zone string) string { return "zone/" + zone }

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	state         *fleetpb.State // without the configuration
	configuration *configuration.Store
}

// New returns a machine with an empty state.
func New() *Machine {
	return &Machine{state: initMaps(&fleetpb.State{Level: levelFirst}), configuration: configuration.New()}
}

// NewWithVoters returns the machine that a new log begins with. voters has the disk ID (agree.Bolt.Birth) of each
// voter by the voter's name.
func NewWithVoters(voters map[string]string) *Machine {
	m := New()
	m.state.Voters = maps.Clone(voters)
	return m
}

func initMaps(s *fleetpb.State) *fleetpb.State {
	if s.Servers == nil {
		s.Servers = map[string]*fleetpb.Server{}
	}
	if s.Nodes == nil {
		s.Nodes = map[string]*fleetpb.Node{}
	}
	if s.Outs == nil {
		s.Outs = map[string]*fleetpb.Out{}
	}
	if s.Units == nil {
		s.Units = map[string]*fleetpb.Unit{}
	}
	if s.Holds == nil {
		s.Holds = map[string]*fleetpb.Hold{}
	}
	return s
}

// State returns the state without the configuration. The caller must not modify it.
func (m *Machine) State() *fleetpb.State { return m.state }

// Snapshot returns the encoded state, including the configuration. Equal states have equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.fullState())
}

// Restore replaces the state by that of a snapshot. After an error the state is unchanged.
func (m *Machine) Restore(raw []byte) error {
	s := &fleetpb.State{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if s.Level > Level {
		return fmt.Errorf("snapshot of level %d, this program understands %d: start a program at least as new", s.Level, Level)
	}
	c, err := takeConfiguration(s)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.state, m.configuration = initMaps(s), c
	return nil
}

// MinLevel returns the highest level that all members understand: nodes with a live session, and all voters, also those
// without a session. Entries of a higher level must not be appended.
func (m *Machine) MinLevel() uint32 {
	least := uint32(Level)
	for _, n := range m.state.Nodes {
		if (n.State == Live || n.Voter) && n.Level < least {
			least = n.Level
		}
	}
	return least
}

// Apply applies one encoded log entry and returns its result for the client that requested it. An entry that can't be
// decoded changes nothing, on every member alike.
func (m *Machine) Apply(raw []byte) *fleetpb.Result {
	r, err := m.ApplyChecked(raw)
	if err != nil {
		return invalid("%v", err)
	}
	return r
}

// ApplyChecked is Apply for a member of the log. It returns an error for an entry of a level that this program does not
// implement. The member must stop then, since its state would differ from that of the others.
func (m *Machine) ApplyChecked(raw []byte) (*fleetpb.Result, error) {
	e := &fleetpb.Entry{}
	if err := proto.Unmarshal(raw, e); err != nil {
		return invalid("entry: %v", err), nil
	}
	if e.Level > Level {
		return nil, fmt.Errorf("an entry of level %d, this program understands %d: start a program at least as new as the others", e.Level, Level)
	}
	return m.applyEntry(e), nil
}

func (m *Machine) applyEntry(e *fleetpb.Entry) *fleetpb.Result {
	if e.AtMs > m.state.NowMs {
		m.state.NowMs = e.AtMs
	}
	if e.Ask != "" {
		for _, a := range m.state.Answered {
			if a.Ask == e.Ask {
				return m.repeatedResult(a)
			}
		}
	}
	if e.Level > m.state.Level {
		m.state.Level = e.Level
		m.addEvent("agreement", "all members understand level %d: its rules hold from here on", e.Level)
	}
	r := m.dispatch(e)
	m.applyConsequences()
	if e.Ask != "" {
		a := &fleetpb.Answered{Ask: e.Ask, Result: r}
		if d := e.GetDrain(); d != nil && r.Code == fleetpb.Result_QUEUED {
			a.Target = d.Target
			r = m.repeatedResult(a) // it may have been granted by now
		}
		m.state.Answered = lastN(append(m.state.Answered, a), maxResults)
	}
	return r
}

func (m *Machine) dispatch(e *fleetpb.Entry) *fleetpb.Result {
	switch w := e.What.(type) {
	case *fleetpb.Entry_Budgets:
		return m.setBudgets(w.Budgets)
	case *fleetpb.Entry_Open:
		return m.openSession(w.Open)
	case *fleetpb.Entry_End:
		return m.endSession(w.End)
	case *fleetpb.Entry_Leaving:
		return m.setLeaving(w.Leaving)
	case *fleetpb.Entry_Listed:
		return m.updateServers(w.Listed)
	case *fleetpb.Entry_Drain:
		return m.drain(w.Drain, e.Ask)
	case *fleetpb.Entry_Return:
		return m.returnTarget(w.Return)
	case *fleetpb.Entry_Stopped:
		return m.recordAcks(w.Stopped)
	case *fleetpb.Entry_Withdraw:
		return m.withdraw(w.Withdraw)
	case *fleetpb.Entry_Forget:
		return m.forget(w.Forget)
	case *fleetpb.Entry_Hold:
		return m.setHold(w.Hold)
	case *fleetpb.Entry_Observed:
		return m.setDeadServers(w.Observed)
	case *fleetpb.Entry_Renew:
		return m.renewVoter(w.Renew)
	case *fleetpb.Entry_Plan:
		return m.startRelease(w.Plan)
	case *fleetpb.Entry_Steer:
		return m.steer(w.Steer)
	case *fleetpb.Entry_Supervised:
		return m.updateUnit(w.Supervised)
	case *fleetpb.Entry_Judged:
		return m.setWaveHealth(w.Judged)
	case *fleetpb.Entry_Configure:
		return m.configure(w.Configure)
	case *fleetpb.Entry_RollBack:
		return m.rollBack(w.RollBack)
	case *fleetpb.Entry_Clock:
		return doneResult(m.state.Epoch)
	}
	return unknownEntry()
}

func unknownEntry() *fleetpb.Result { return invalid("an entry that asks for nothing") }

// repeatedResult returns the result of a request that was applied before. For a drain that was queued at that time it
// is the present outcome: still queued, granted, or not granted.
func (m *Machine) repeatedResult(a *fleetpb.Answered) *fleetpb.Result {
	if a.Target == "" {
		return a.Result
	}
	for i, w := range m.state.Queue {
		if w.Ask == a.Ask {
			return &fleetpb.Result{Code: fleetpb.Result_QUEUED, Reason: w.Reason, Place: uint32(i + 1)}
		}
	}
	if o := m.state.Outs[a.Target]; o != nil {
		return doneResult(o.Epoch)
	}
	return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: a.Target + " waited in vain, was withdrawn, or is back already: see the history"}
}

func doneResult(epoch uint64) *fleetpb.Result {
	return &fleetpb.Result{Code: fleetpb.Result_DONE, Epoch: epoch}
}

func invalid(format string, args ...any) *fleetpb.Result {
	return &fleetpb.Result{Code: fleetpb.Result_INVALID, Reason: fmt.Sprintf(format, args...)}
}

// lastN returns the last n elements of a list, or all of it if it is shorter.
func lastN[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Clone(list[len(list)-n:])
}

// addEvent appends an event to the history.
func (m *Machine) addEvent(by, format string, args ...any) {
	m.state.History = lastN(append(m.state.History, &fleetpb.Event{AtMs: m.state.NowMs, Epoch: m.state.Epoch, By: by, What: fmt.Sprintf(format, args...)}), maxHistory)
}

func (m *Machine) nextEpoch() uint64 {
	m.state.Epoch++
	return m.state.Epoch
}

func checkText(parts ...string) error {
	for _, p := range parts {
		if len(p) > maxTextBytes {
			return fmt.Errorf("a name or a reason of %d bytes, %d at most", len(p), maxTextBytes)
		}
	}
	return nil
}

// openSession begins a session for a node's process. The drain confirmations of an earlier process of that node are
// dropped.
func (m *Machine) openSession(o *fleetpb.OpenSession) *fleetpb.Result {
	if err := checkText(o.Node, o.Zone, o.Process); err != nil || o.Node == "" {
		return invalid("session: node %.50q: %v", o.Node, err)
	}
	previous := m.state.Nodes[o.Node]
	if previous == nil && len(m.state.Nodes) >= maxNodes {
		return invalid("session: %d nodes are known already; forget those that are no more", len(m.state.Nodes))
	}
	if previous != nil && previous.State == Live && previous.Process == o.Process {
		return doneResult(previous.Epoch)
	}
	epoch := m.nextEpoch()
	m.state.Nodes[o.Node] = &fleetpb.Node{Name: o.Node, Zone: o.Zone, Process: o.Process, Epoch: epoch, Level: o.Level, Voter: o.Voter, State: Live, SinceMs: m.state.NowMs}
	for _, out := range m.state.Outs {
		delete(out.Heard, o.Node)
	}
	m.addEvent(o.Node, "session %d of %s opened", epoch, o.Node)
	return doneResult(epoch)
}

// liveSession returns the node if its session has that epoch and is live. Else it returns the FENCED result for the
// caller.
func (m *Machine) liveSession(node string, epoch uint64) (*fleetpb.Node, *fleetpb.Result) {
	n := m.state.Nodes[node]
	if n == nil || n.Epoch != epoch || n.State != Live {
		return nil, &fleetpb.Result{Code: fleetpb.Result_FENCED, Reason: fmt.Sprintf("session %d of %s is over", epoch, node)}
	}
	return n, nil
}

func (m *Machine) setLeaving(l *fleetpb.Leaving) *fleetpb.Result {
	n, ended := m.liveSession(l.Node, l.Epoch)
	if ended != nil {
		return ended
	}
	if !n.Leaving {
		n.Leaving = true
		m.addEvent(l.Node, "%s is leaving", l.Node)
	}
	return doneResult(l.Epoch)
}

func (m *Machine) endSession(e *fleetpb.EndSession) *fleetpb.Result {
	n, ended := m.liveSession(e.Node, e.Epoch)
	if ended != nil {
		return ended
	}
	n.State, n.SinceMs = Ended, m.state.NowMs
	if e.Lapsed {
		n.State = Lapsed
	}
	m.addEvent(e.Node, "session %d of %s %s", e.Epoch, e.Node, n.State)
	return doneResult(e.Epoch)
}

// updateServers applies the registry's entries of servers. Entries with an unknown state or a text that is too long are
// skipped, and so are new servers above the limit.
func (m *Machine) updateServers(l *fleetpb.Listed) *fleetpb.Result {
	for _, s := range l.Servers {
		if checkText(s.Id, s.Zone, s.Kind, s.State) != nil || s.Id == "" || s.State != Ready && s.State != Draining && s.State != Removed {
			continue
		}
		previous := m.state.Servers[s.Id]
		if previous == nil && (s.State == Removed || len(m.state.Servers) >= maxServers) {
			continue
		}
		updated := proto.CloneOf(s)
		updated.SinceMs = m.state.NowMs
		if previous != nil {
			updated.Dead = previous.Dead
			if previous.State == s.State {
				updated.SinceMs = previous.SinceMs
			}
			if s.State == Removed { // it keeps the attributes that it had
				updated.Zone, updated.Kind, updated.Cell, updated.Weight = previous.Zone, previous.Kind, previous.Cell, previous.Weight
			}
		}
		m.state.Servers[s.Id] = updated
	}
	return doneResult(m.state.Epoch)
}

// setDeadServers marks the servers that the nodes find dead, and clears the mark of all others.
func (m *Machine) setDeadServers(o *fleetpb.Observed) *fleetpb.Result {
	for _, id := range slices.Sorted(maps.Keys(m.state.Servers)) {
		s := m.state.Servers[id]
		if dead := slices.Contains(o.Dead, id); dead != s.Dead {
			s.Dead = dead
			word := "dead"
			if !dead {
				word = "alive again"
			}
			m.addEvent("nodes", "server %s found %s by the nodes", id, word)
		}
	}
	return doneResult(m.state.Epoch)
}

// setHold places a hold, which keeps a target in service, or lifts it.
func (m *Machine) setHold(h *fleetpb.Hold) *fleetpb.Result {
	if err := checkText(h.Target, h.By, h.Why); err != nil {
		return invalid("hold: %v", err)
	}
	if h.Lift {
		if m.state.Holds[h.Target] == nil {
			return invalid("hold: %s is not held", h.Target)
		}
		delete(m.state.Holds, h.Target)
		m.addEvent(h.By, "hold on %s lifted: %s", h.Target, h.Why)
		return doneResult(m.nextEpoch())
	}
	if _, _, err := m.targetMembers(h.Target); err != nil && h.Target != FleetTarget {
		return invalid("hold: %v", err)
	}
	m.state.Holds[h.Target] = h
	m.addEvent(h.By, "hold on %s: %s", h.Target, h.Why)
	return doneResult(m.nextEpoch())
}

// renewVoter replaces the disk ID of a voter whose disk was lost.
func (m *Machine) renewVoter(r *fleetpb.RenewVoter) *fleetpb.Result {
	if err := checkText(r.Node, r.Birth, r.By, r.Why); err != nil || r.Birth == "" {
		return invalid("renew: disk %.50q: %v", r.Birth, err)
	}
	oldBirth, ok := m.state.Voters[r.Node]
	switch {
	case !ok:
		return invalid("renew: %s is no voter", r.Node)
	case oldBirth == r.Birth:
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: r.Node + " has the disk that it had: nothing is lost"}
	}
	m.state.Voters[r.Node] = r.Birth
	m.addEvent(r.By, "voter %s taken in with a new disk, %s in place of %s: %s", r.Node, r.Birth, oldBirth, r.Why)
	return doneResult(m.nextEpoch())
}

// recordAcks records that nodes have stopped sending to drained targets. Acknowledgements of an older session or an
// older drain are ignored.
func (m *Machine) recordAcks(s *fleetpb.Stopped) *fleetpb.Result {
	for _, a := range s.Acks {
		o := m.state.Outs[a.Target]
		if _, ended := m.liveSession(a.Node, a.Session); ended != nil || o == nil || o.Epoch != a.Epoch {
			continue
		}
		if o.Heard == nil {
			o.Heard = map[string]uint64{}
		}
		o.Heard[a.Node] = a.Session
	}
	return doneResult(m.state.Epoch)
}

func (m *Machine) forget(f *fleetpb.Forget) *fleetpb.Result {
	kind, name, _ := strings.Cut(f.Target, "/")
	switch {
	case kind == "node" && m.state.Nodes[name] != nil:
		if n := m.state.Nodes[name]; n.State == Live {
			return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: name + " has a live session: end its process first"}
		}
		delete(m.state.Nodes, name)
		for _, o := range m.state.Outs {
			delete(o.Heard, name)
		}
	case kind == "server" && m.state.Servers[name] != nil:
		if s := m.state.Servers[name]; s.State != Removed {
			return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: name + " is listed by the registry: take it out there first"}
		}
		delete(m.state.Servers, name)
	default:
		return invalid("%s is not known", f.Target)
	}
	m.addEvent(f.By, "%s forgotten: %s", f.Target, f.Why)
	return doneResult(m.state.Epoch)
}

// applyConsequences runs after each entry: it drops servers that were removed long ago, advances the release, grants
// queued drains that now fit, samples the groups, and marks drains that are now proven.
func (m *Machine) applyConsequences() {
	for _, id := range slices.Sorted(maps.Keys(m.state.Servers)) {
		s := m.state.Servers[id]
		if s.State == Removed && m.state.NowMs-s.SinceMs > removedKeptMs && m.state.Outs[ServerTarget(id)] == nil {
			delete(m.state.Servers, id)
		}
	}
	m.advanceRelease()
	m.serveQueue()
	m.sample()
	for _, t := range slices.Sorted(maps.Keys(m.state.Outs)) {
		o := m.state.Outs[t]
		if p := m.Proof(t); o.ProvenMs == 0 && p.Proven {
			o.ProvenMs = m.state.NowMs
			m.addEvent(o.By, "drain of %s proven", t)
		}
	}
}

// Proof tells whether all nodes have confirmed that they no longer send to a drained target.
type Proof struct {
	Granted     bool     // the target is drained; if false, the other fields are empty
	Epoch       uint64   // of the drain
	Proven      bool     // no node is missing: Unconfirmed and Lapsed are empty
	Unconfirmed []string // nodes with a live session that have not confirmed yet
	Lapsed      []string // nodes whose session lapsed before they confirmed: they may still send
}

// Proof returns which nodes have not confirmed that they stopped sending to a target. A node confirms in its present
// session; the drain is proven once none is missing.
func (m *Machine) Proof(target string) (p Proof) {
	o := m.state.Outs[target]
	if o == nil {
		return p
	}
	p.Granted, p.Epoch = true, o.Epoch
	node, ownOnly := strings.CutPrefix(target, "node/") // the drain of a node needs only that node's own confirmation
	for _, name := range slices.Sorted(maps.Keys(m.state.Nodes)) {
		n := m.state.Nodes[name]
		if o.Heard[name] == n.Epoch || ownOnly && name != node {
			continue
		}
		switch n.State {
		case Live:
			p.Unconfirmed = append(p.Unconfirmed, name)
		case Lapsed:
			p.Lapsed = append(p.Lapsed, name)
		}
	}
	p.Proven = len(p.Unconfirmed)+len(p.Lapsed) == 0
	return p
}

// Orders returns the drained targets and the turns of the release, which nodes and supervisors have to carry out.
func (m *Machine) Orders() *fleetpb.Orders {
	o := &fleetpb.Orders{Version: m.state.Orders}
	for _, t := range slices.Sorted(maps.Keys(m.state.Outs)) {
		o.Out = append(o.Out, &fleetpb.Order{Target: t, Epoch: m.state.Outs[t].Epoch})
	}
	if r := m.state.Release; r != nil {
		for _, n := range slices.Sorted(maps.Keys(r.Turns)) {
			o.Turns = append(o.Turns, proto.CloneOf(r.Turns[n]))
		}
	}
	return o
}

// FromState returns a machine that continues from a state. It takes ownership of the state.
func FromState(s *fleetpb.State) *Machine {
	return &Machine{state: initMaps(s), configuration: configuration.New()}
}
