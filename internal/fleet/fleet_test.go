package fleet

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"starlingvalve/internal/fleet/fleetpb"
)

// harness is a machine with a clock and shortcuts to apply entries to it.
type harness struct {
	*Machine
	now int64
}

func (w *harness) apply(ask string, what any) *fleetpb.Result {
	e := &fleetpb.Entry{Level: Level, AtMs: w.now, Ask: ask}
	switch x := what.(type) {
	case *fleetpb.Drain:
		e.What = &fleetpb.Entry_Drain{Drain: x}
	case *fleetpb.Return:
		e.What = &fleetpb.Entry_Return{Return: x}
	case *fleetpb.Withdraw:
		e.What = &fleetpb.Entry_Withdraw{Withdraw: x}
	case *fleetpb.Listed:
		e.What = &fleetpb.Entry_Listed{Listed: x}
	case *fleetpb.SetBudgets:
		e.What = &fleetpb.Entry_Budgets{Budgets: x}
	case *fleetpb.OpenSession:
		e.What = &fleetpb.Entry_Open{Open: x}
	case *fleetpb.EndSession:
		e.What = &fleetpb.Entry_End{End: x}
	case *fleetpb.Leaving:
		e.What = &fleetpb.Entry_Leaving{Leaving: x}
	case *fleetpb.Ack:
		e.What = &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{Acks: []*fleetpb.Ack{x}}}
	case *fleetpb.Forget:
		e.What = &fleetpb.Entry_Forget{Forget: x}
	case *fleetpb.Hold:
		e.What = &fleetpb.Entry_Hold{Hold: x}
	case *fleetpb.Observed:
		e.What = &fleetpb.Entry_Observed{Observed: x}
	case *fleetpb.Clock:
		e.What = &fleetpb.Entry_Clock{Clock: x}
	}
	raw, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	return w.Apply(raw)
}

func (w *harness) drain(id string, waitMs int64) *fleetpb.Result {
	return w.apply("", &fleetpb.Drain{Target: ServerTarget(id), By: "eva", WaitMs: waitMs})
}

func (w *harness) open(node string) uint64 {
	return w.apply("", &fleetpb.OpenSession{Node: node, Zone: "a", Process: node + "-1", Level: Level}).Epoch
}

// newHarness has eight servers, s-0 to s-7, the even ones in zone a and the odd ones in zone b, two per cell. The
// weight of s-0 is 3, that of the others 1.
func newHarness(budgets ...*fleetpb.Budget) *harness {
	w := &harness{Machine: New(), now: 1000}
	l := &fleetpb.Listed{}
	for i := range 8 {
		s := &fleetpb.Server{Id: fmt.Sprintf("s-%d", i), Zone: string(rune('a' + i%2)), Kind: "std", Cell: int32(i / 2), Weight: 1, State: Ready}
		if i == 0 {
			s.Weight = 3
		}
		l.Servers = append(l.Servers, s)
	}
	w.apply("", l)
	w.apply("", &fleetpb.SetBudgets{Budgets: budgets})
	return w
}

func zoneBudget(most uint32) *fleetpb.Budget {
	return &fleetpb.Budget{Name: "a-hall", On: "servers", By: "zone", Bounded: true, MostOut: most}
}

func TestBudgets(t *testing.T) {
	list := func(id, state string) *fleetpb.Listed {
		return &fleetpb.Listed{Servers: []*fleetpb.Server{{Id: id, Zone: "a", Kind: "std", Weight: 1, State: state}}}
	}
	for name, c := range map[string]struct {
		budget *fleetpb.Budget
		before func(w *harness)
		drain  string
		reason string // part of the refusal; empty: it is granted
	}{
		"first":        {zoneBudget(1), nil, "s-0", ""},
		"other zone":   {zoneBudget(1), func(w *harness) { w.drain("s-1", 0) }, "s-0", ""},
		"second":       {zoneBudget(1), func(w *harness) { w.drain("s-2", 0) }, "s-0", "budget a-hall, zone a: 2 of 4 out, 1 at most: s-0 (asked for), s-2 (drained)"},
		"none at all":  {zoneBudget(0), nil, "s-0", "1 of 4 out, 0 at most"},
		"one is gone":  {zoneBudget(1), func(w *harness) { w.apply("", list("s-2", Removed)) }, "s-0", "s-2 (gone from the registry)"},
		"one drains":   {zoneBudget(1), func(w *harness) { w.apply("", list("s-2", Draining)) }, "s-0", "s-2 (draining in the registry)"},
		"itself gone":  {zoneBudget(0), func(w *harness) { w.apply("", list("s-2", Removed)) }, "s-2", ""},
		"share":        {&fleetpb.Budget{Name: "b", On: "servers", By: "fleet", MostShare: 0.3}, func(w *harness) { w.drain("s-1", 0); w.drain("s-2", 0) }, "s-3", "fleet: 3 of 8 out, 2 at most (0.3 of them)"},
		"share fits":   {&fleetpb.Budget{Name: "b", On: "servers", By: "fleet", MostShare: 0.375}, func(w *harness) { w.drain("s-1", 0); w.drain("s-2", 0) }, "s-3", ""},
		"weight":       {&fleetpb.Budget{Name: "b", On: "servers", By: "zone", LeastLeft: 0.6}, nil, "s-0", "3 of a weight of 6 left, 3.6 at least"},
		"weight fits":  {&fleetpb.Budget{Name: "b", On: "servers", By: "zone", LeastLeft: 0.6}, nil, "s-2", ""},
		"cell":         {&fleetpb.Budget{Name: "b", On: "servers", By: "cell", Bounded: true, MostOut: 1}, func(w *harness) { w.drain("s-2", 0) }, "s-3", "cell 1: 2 of 2 out"},
		"only another": {&fleetpb.Budget{Name: "b", On: "servers", By: "zone", Only: "b", Bounded: true}, nil, "s-0", ""},
		"unknown":      {zoneBudget(1), nil, "s-9", "no such server"},
		"twice":        {zoneBudget(2), func(w *harness) { w.drain("s-0", 0) }, "s-0", "drained already, by eva"},
	} {
		w := newHarness(c.budget)
		if c.before != nil {
			c.before(w)
		}
		dryRun := w.Explain(&fleetpb.Drain{Target: ServerTarget(c.drain)})
		r := w.drain(c.drain, 0)
		if (r.Code == fleetpb.Result_DONE) != (c.reason == "") || !strings.Contains(r.Reason, c.reason) {
			t.Errorf("%s: %v, want %q", name, r, c.reason)
		}
		if dryRun.Code != r.Code || dryRun.Reason != r.Reason {
			t.Errorf("%s: the dry run returned %v, the drain %v", name, dryRun, r)
		}
	}
}

// Guards against nodes that are leaving or whose session lapsed and that their budget does not count as out, and
// against an old session that still has an effect after the node came back.
func TestNodesOut(t *testing.T) {
	w := newHarness(&fleetpb.Budget{Name: "nodes", On: "nodes", By: "zone", Bounded: true, MostOut: 1})
	epochs := map[string]uint64{}
	for _, n := range []string{"n1", "n2", "n3"} {
		epochs[n] = w.open(n)
	}
	over := func() string { return w.Groups()[0].Exceeded() }
	w.apply("", &fleetpb.Leaving{Node: "n1", Epoch: epochs["n1"]})
	if g := w.Groups()[0]; len(g.Out) != 1 || g.Out[0] != "n1 (leaving)" || over() != "" {
		t.Errorf("%v", g)
	}
	w.apply("", &fleetpb.EndSession{Node: "n2", Epoch: epochs["n2"], Lapsed: true})
	if over() != "2 of 3 out, 1 at most" {
		t.Errorf("%q", over())
	}
	w.apply("", &fleetpb.OpenSession{Node: "n2", Zone: "a", Process: "n2-2", Level: Level})
	if r := w.apply("", &fleetpb.EndSession{Node: "n2", Epoch: epochs["n2"]}); r.Code != fleetpb.Result_FENCED || over() != "" {
		t.Errorf("entry of an old session: %v, %q", r, over())
	}
	if r := w.apply("", &fleetpb.Forget{Target: "node/n3"}); r.Code != fleetpb.Result_REFUSED {
		t.Errorf("a node with a live session was forgotten: %v", r)
	}
}

// Guards against a zone that is drained in part, a node's drain that another node's confirmation proves, a drain past
// a hold without force, and servers found dead that the budgets do not count as out.
func TestOtherTargets(t *testing.T) {
	w := newHarness(&fleetpb.Budget{Name: "half", On: "servers", By: "fleet", MostShare: 0.5}, &fleetpb.Budget{Name: "nodes", On: "nodes", By: "fleet", Bounded: true, MostOut: 1})
	want := func(what string, r *fleetpb.Result, code fleetpb.Result_Code, reason string) {
		t.Helper()
		if r.Code != code || !strings.Contains(r.Reason, reason) {
			t.Errorf("%s: %v, want %v: %s", what, r, code, reason)
		}
	}
	drain := func(target string) *fleetpb.Result { return w.apply("", &fleetpb.Drain{Target: target, By: "eva"}) }
	w.apply("", &fleetpb.Observed{Dead: []string{"s-1", "s-9"}})
	want("a zone beside a dead server", drain("zone/a"), fleetpb.Result_REFUSED, "budget half, fleet: 5 of 8 out, 4 at most (0.5 of them): s-0 (asked for), s-1 (found dead by the nodes)")
	if n := len(w.State().Outs); n != 0 {
		t.Errorf("the refused drain of a zone left %d targets out of service", n)
	}
	w.apply("", &fleetpb.Observed{})
	want("a zone", drain("zone/a"), fleetpb.Result_DONE, "")
	want("a server of it", drain("server/s-0"), fleetpb.Result_DONE, "")
	want("another zone's server", drain("server/s-1"), fleetpb.Result_REFUSED, "s-2 (drained with its zone)")
	w.apply("", &fleetpb.Return{Target: "zone/a"})
	want("no zone", drain("zone/x"), fleetpb.Result_INVALID, "no server")
	want("no kind", drain("s-1"), fleetpb.Result_INVALID, "want server/NAME")
	want("no node", drain("node/n9"), fleetpb.Result_INVALID, "has had a session")

	w.apply("", &fleetpb.Hold{Target: "zone/b", By: "ole", Why: "a match"})
	want("held with its zone", drain("server/s-1"), fleetpb.Result_REFUSED, "zone/b is held by ole: a match")
	w.apply("", &fleetpb.Hold{Target: FleetTarget, By: "ole", Why: "a final"})
	want("all is held", drain("server/s-2"), fleetpb.Result_REFUSED, "fleet is held by ole: a final")
	want("by force", w.apply("", &fleetpb.Drain{Target: "server/s-2", Force: true}), fleetpb.Result_DONE, "")
	w.apply("", &fleetpb.Hold{Target: FleetTarget, Lift: true})
	want("lifted twice", w.apply("", &fleetpb.Hold{Target: FleetTarget, Lift: true}), fleetpb.Result_INVALID, "is not held")

	n1, n2 := w.open("n1"), w.open("n2")
	out := drain("node/n1")
	want("a node", out, fleetpb.Result_DONE, "")
	want("another", drain("node/n2"), fleetpb.Result_REFUSED, "budget nodes, fleet: 2 of 2 out, 1 at most: n1 (drained), n2 (asked for)")
	w.apply("", &fleetpb.Ack{Node: "n2", Session: n2, Target: "node/n1", Epoch: out.Epoch})
	if p := w.Proof("node/n1"); p.Proven || strings.Join(p.Unconfirmed, " ") != "n1" {
		t.Errorf("another node's confirmation counts: %+v", p)
	}
	w.apply("", &fleetpb.Ack{Node: "n1", Session: n1, Target: "node/n1", Epoch: out.Epoch})
	if p := w.Proof("node/n1"); !p.Proven {
		t.Errorf("%+v", p)
	}
}

// Guards against a drain that counts as proven too early: while a node has not confirmed it in its present session,
// while one lapsed unconfirmed, or by confirmations of an older session or an older drain.
func TestProof(t *testing.T) {
	w := newHarness(zoneBudget(2))
	e1, e2, e3 := w.open("n1"), w.open("n2"), w.open("n3")
	drain := w.drain("s-0", 0).Epoch
	target := ServerTarget("s-0")
	ack := func(node string, session, epoch uint64) {
		w.apply("", &fleetpb.Ack{Node: node, Session: session, Target: target, Epoch: epoch})
	}
	check := func(what string, proven bool, unheard, lapsed string) {
		t.Helper()
		p := w.Proof(target)
		if p.Proven != proven || strings.Join(p.Unconfirmed, " ") != unheard || strings.Join(p.Lapsed, " ") != lapsed || !p.Granted {
			t.Errorf("%s: %+v", what, p)
		}
	}
	check("granted", false, "n1 n2 n3", "")
	ack("n1", e1, drain)
	ack("n2", e1, drain)
	ack("n2", e2, drain-1)
	check("n2 acknowledged another drain, and in n1's session", false, "n2 n3", "")
	ack("n2", e2, drain)
	w.apply("", &fleetpb.EndSession{Node: "n3", Epoch: e3, Lapsed: true})
	check("n3 lapsed", false, "", "n3")
	if w.State().Outs[target].ProvenMs != 0 {
		t.Error("the drain was recorded as proven")
	}
	e3 = w.apply("", &fleetpb.OpenSession{Node: "n3", Zone: "a", Process: "n3-2", Level: Level}).Epoch
	check("n3 is back", false, "n3", "")
	ack("n3", e3, drain)
	check("all", true, "", "")
	w.open("n4")
	check("a node has come", false, "n4", "")
	w.apply("", &fleetpb.EndSession{Node: "n4", Epoch: w.State().Nodes["n4"].Epoch})
	check("it has ended in order", true, "", "")
	w.apply("", &fleetpb.Return{Target: target})
	again := w.drain("s-0", 0)
	check("drained once more", false, "n1 n2 n3", "")
	ack("n1", e1, drain)
	if r := w.apply("", &fleetpb.Return{Target: target, Epoch: drain}); r.Code != fleetpb.Result_FENCED {
		t.Errorf("a return with the first drain's epoch ended the second drain: %v", r)
	}
	if again.Epoch <= drain {
		t.Errorf("epoch %d after %d", again.Epoch, drain)
	}
	check("a late acknowledgement of the first drain", false, "n1 n2 n3", "")
}

// Guards against queued drains that are granted out of order, have no place number, or stay in the queue after their
// wait time, and against a later drain that uses the part of a budget for which an earlier one waits.
func TestQueue(t *testing.T) {
	w := newHarness(zoneBudget(1), &fleetpb.Budget{Name: "all", On: "servers", By: "fleet", Bounded: true, MostOut: 2})
	w.drain("s-0", 0)
	if r := w.drain("s-2", 5000); r.Code != fleetpb.Result_QUEUED || r.Place != 1 {
		t.Fatal(r)
	}
	if r := w.drain("s-4", 60_000); r.Place != 2 {
		t.Fatal(r)
	}
	if r := w.drain("s-1", 0); r.Code != fleetpb.Result_REFUSED || !strings.Contains(r.Reason, "s-2 (waits before it)") {
		t.Errorf("a later drain overtook the queue in the fleet's budget: %v", r)
	}
	w.apply("", &fleetpb.Return{Target: ServerTarget("s-0")})
	if w.State().Outs[ServerTarget("s-2")] == nil || len(w.State().Queue) != 1 {
		t.Error("the first drain in the queue was not granted")
	}
	if r := w.apply("", &fleetpb.Withdraw{Target: ServerTarget("s-4")}); r.Code != fleetpb.Result_DONE || len(w.State().Queue) != 0 {
		t.Error("not withdrawn", r)
	}
	r := w.apply("late", &fleetpb.Drain{Target: ServerTarget("s-6"), WaitMs: 1000})
	w.now += 1000
	w.apply("", &fleetpb.Clock{})
	if r.Code != fleetpb.Result_QUEUED || len(w.State().Queue) != 0 {
		t.Error("the drain still waits after its wait time", r)
	}
	if r := w.apply("late", &fleetpb.Drain{Target: ServerTarget("s-6"), WaitMs: 1000}); r.Code != fleetpb.Result_REFUSED {
		t.Errorf("repeated request after the wait time: %v", r)
	}
}

// Guards against a request that takes effect twice. A client whose answer was lost repeats its request under the same
// ID; it must get the first result again. The number of kept results and events stays bounded.
func TestRepeatedRequest(t *testing.T) {
	w := newHarness(zoneBudget(1))
	first := w.apply("x", &fleetpb.Drain{Target: ServerTarget("s-0")})
	if r := w.apply("x", &fleetpb.Drain{Target: ServerTarget("s-0")}); !proto.Equal(r, first) || r.Code != fleetpb.Result_DONE {
		t.Errorf("%v, then %v", first, r)
	}
	w.apply("y", &fleetpb.Return{Target: ServerTarget("s-0")})
	if r := w.apply("x", &fleetpb.Drain{Target: ServerTarget("s-0")}); r.Epoch != first.Epoch || len(w.State().Outs) != 0 {
		t.Errorf("a late repetition drained the server again: %v", r)
	}
	for i := range maxResults + 5 {
		w.apply(fmt.Sprint(i), &fleetpb.Withdraw{Target: "server/none"})
	}
	if len(w.State().Answered) != maxResults || len(w.State().History) > maxHistory {
		t.Errorf("%d results and %d events are kept", len(w.State().Answered), len(w.State().History))
	}
}

// Guards against entries that change the state although the program does not understand them (a later level, an
// unknown kind, damaged bytes), and against a snapshot of a later level that is accepted.
func TestNotUnderstood(t *testing.T) {
	w := newHarness(zoneBudget(1))
	was, _ := w.Snapshot()
	later, _ := proto.Marshal(&fleetpb.Entry{Level: Level + 1, AtMs: 9e9, What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{Target: ServerTarget("s-0")}}})
	empty, _ := proto.Marshal(&fleetpb.Entry{Level: Level})
	for _, raw := range [][]byte{later, empty, {0xff, 0xff}} {
		if r := w.Apply(raw); r.Code != fleetpb.Result_INVALID {
			t.Errorf("%x: %v", raw, r)
		}
	}
	if now, _ := w.Snapshot(); !bytes.Equal(was, now) {
		t.Error("the state changed")
	}
	raw, _ := proto.Marshal(&fleetpb.State{Level: Level + 1})
	if err := New().Restore(raw); err == nil {
		t.Error("a snapshot of a later level was accepted")
	}
	w.apply("", &fleetpb.OpenSession{Node: "old", Process: "p", Level: 0})
	if w.MinLevel() != 0 {
		t.Error("the minimum level ignores an older member")
	}
	if _, err := w.ApplyChecked(later); err == nil {
		t.Error("a member continued past an entry of a level that it does not implement")
	}
	if _, err := w.ApplyChecked(empty); err != nil {
		t.Error(err)
	}
}

// Guards against members that differ after the same entries. Random entries are applied to two machines, of which one
// is restored from its snapshot after each entry: their snapshots stay equal, no granted drain exceeds a budget
// (servers that leave by themselves and forced drains may), and epochs never decrease.
func TestMachineHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(zoneBudget(2), &fleetpb.Budget{Name: "all", On: "servers", By: "fleet", MostShare: 0.4, LeastLeft: 0.5})
		twin := newHarness(w.State().Budgets...)
		epoch := w.State().Epoch
		server := rapid.SampledFrom([]string{"s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8"})
		node := rapid.SampledFrom([]string{"n1", "n2", "n3"})
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			w.now += rapid.Int64Range(-500, 5000).Draw(t, "passed")
			twin.now = w.now
			target := ServerTarget(server.Draw(t, "server"))
			unplanned := false
			var what any
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1:
				what = &fleetpb.Drain{Target: target, WaitMs: rapid.Int64Range(0, 8000).Draw(t, "wait")}
			case 2:
				what = &fleetpb.Return{Target: target}
			case 3:
				what, unplanned = &fleetpb.Listed{Servers: []*fleetpb.Server{{Id: target[len("server/"):], Zone: "a", Weight: 1,
					State: rapid.SampledFrom([]string{Ready, Draining, Removed, "odd"}).Draw(t, "state")}}}, true
			case 4:
				what = &fleetpb.OpenSession{Node: node.Draw(t, "node"), Process: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "process"), Level: Level}
			case 5:
				what = &fleetpb.EndSession{Node: node.Draw(t, "node"), Epoch: rapid.Uint64Range(0, 30).Draw(t, "epoch"), Lapsed: rapid.Bool().Draw(t, "lapsed")}
			case 6:
				what = &fleetpb.Ack{Node: node.Draw(t, "node"), Session: rapid.Uint64Range(0, 30).Draw(t, "session"), Target: target, Epoch: rapid.Uint64Range(0, 30).Draw(t, "epoch")}
			case 7:
				what, unplanned = &fleetpb.Drain{Target: target, Force: true}, true
			default:
				what = &fleetpb.Withdraw{Target: target}
			}
			over := excessOut(w.Machine)
			ask := rapid.SampledFrom([]string{"", "", "", "a1", "a2"}).Draw(t, "ask")
			if a, b := w.apply(ask, what), twin.apply(ask, what); !proto.Equal(a, b) {
				t.Fatalf("the machines returned %v and %v", a, b)
			}
			for group, n := range excessOut(w.Machine) {
				if !unplanned && n > over[group] {
					t.Fatalf("%v: %s exceeds its limit by %d members, by %d before", what, group, n, over[group])
				}
			}
			if w.State().Epoch < epoch {
				t.Fatal("the epoch decreased")
			}
			epoch = w.State().Epoch
			snapshot, _ := w.Snapshot()
			twinSnapshot, _ := twin.Snapshot()
			if !bytes.Equal(snapshot, twinSnapshot) {
				t.Fatal("the two machines have different snapshots")
			}
			twin.Machine = New()
			if err := twin.Restore(twinSnapshot); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// excessOut returns by how many servers each group exceeds its limit. It counts without the machine's own code.
func excessOut(m *Machine) map[string]int {
	s, out := m.State(), map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
		x := s.Servers[id]
		if s.Outs["server/"+id] == nil && x.State == Ready {
			continue
		}
		out["zone "+x.Zone]++
		out["fleet"]++
	}
	over := map[string]int{}
	for g, n := range out {
		most := 2
		if g == "fleet" {
			most = int(0.4 * float64(len(s.Servers)))
		}
		over[g] = max(0, n-most)
	}
	return over
}

func FuzzApply(f *testing.F) {
	raw, _ := proto.Marshal(&fleetpb.Entry{Level: 1, AtMs: 5, What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{Target: "server/s-0", WaitMs: 5}}})
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := newHarness(zoneBudget(1))
		w.Apply(raw)
		snap, err := w.Snapshot()
		if err == nil {
			err = New().Restore(snap)
		}
		if err != nil && !strings.Contains(err.Error(), "invalid UTF-8") {
			t.Fatal(err)
		}
	})
}
