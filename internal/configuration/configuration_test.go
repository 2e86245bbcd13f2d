package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"starlingvalve/internal/configuration/configpb"
)

func service(name string) *configpb.Change {
	return put(&configpb.Entry{Value: &configpb.Entry_Service{Service: &configpb.Service{Name: name}}})
}

func slowService(name string, timeoutMs uint32) *configpb.Change {
	s := &configpb.Service{Name: name, TimeoutMs: timeoutMs}
	return put(&configpb.Entry{Value: &configpb.Entry_Service{Service: s}})
}

func route(name, host, prefix, service string) *configpb.Change {
	r := &configpb.Route{Name: name, Host: host, PathPrefix: prefix, Service: service}
	return put(&configpb.Entry{Value: &configpb.Entry_Route{Route: r}})
}

func tenant(name string, limits ...*configpb.Limit) *configpb.Change {
	return put(&configpb.Entry{Value: &configpb.Entry_Tenant{Tenant: &configpb.Tenant{Name: name, Limits: limits}}})
}

func share(service string, share float64) *configpb.Limit {
	return &configpb.Limit{Service: service, Share: share}
}

func put(e *configpb.Entry) *configpb.Change {
	return &configpb.Change{What: &configpb.Change_Put{Put: e}}
}

func drop(key string) *configpb.Change {
	return &configpb.Change{What: &configpb.Change_Delete{Delete: key}}
}

func transaction(changes ...*configpb.Change) *configpb.Transaction {
	return &configpb.Transaction{Changes: changes, By: "eva"}
}

// commit commits a transaction that has to be valid, and returns the store's revision.
func commit(t testing.TB, s *Store, changes ...*configpb.Change) uint64 {
	t.Helper()
	o, err := s.Commit(1000, transaction(changes...))
	if err != nil {
		t.Fatal(err)
	}
	return o.Revision
}

func encoded(t testing.TB, m proto.Message) []byte {
	t.Helper()
	raw, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against invalid configurations that reach the nodes: each invalid transaction has to be refused with the
// entry, the field and the reason, and must not change the store, not even by its valid part.
func TestRefusals(t *testing.T) {
	long := strings.Repeat("x", maxName+1)
	var many []*configpb.Change
	for i := range MaxChanges + 1 {
		many = append(many, service(fmt.Sprint("s", i)))
	}
	var large []*configpb.Limit
	for i := range 100 {
		large = append(large, share(fmt.Sprintf("%050d", i), 0.1))
	}
	var heavy []*configpb.Change
	for i := range 400 {
		heavy = append(heavy, route(fmt.Sprint("r", i), "*", "/"+strings.Repeat("x", 900)+fmt.Sprint(i), "pay"))
	}
	for _, c := range []struct {
		name         string
		changes      []*configpb.Change
		entry, field string
		reason       string
	}{
		{"nothing", nil, "", "", "without a change"},
		{"empty change", []*configpb.Change{{}}, "", "", "does not know"},
		{"empty entry", []*configpb.Change{put(&configpb.Entry{})}, "", "", "does not know"},
		{"no name", []*configpb.Change{service("")}, "service/", "name", "letters"},
		{"slash in name", []*configpb.Change{service("a/b")}, "service/a/b", "name", "letters"},
		{"long name", []*configpb.Change{service(long)}, "service/" + long[:maxName] + "...", "name", "letters"},
		{"long timeout", []*configpb.Change{slowService("x", maxTimeoutMs+1)}, "service/x", "timeout_ms", "600001"},
		{"twice", []*configpb.Change{service("x"), service("x")}, "service/x", "", "twice"},
		{"put and deleted", []*configpb.Change{service("pay"), drop("service/pay")}, "service/pay", "", "twice"},
		{"no such service", []*configpb.Change{route("r", "a.org", "/", "x")}, "route/r", "service", "no service x"},
		{"bad host", []*configpb.Change{route("r", "A.org", "/", "pay")}, "route/r", "host", `"A.org"`},
		{"bad path", []*configpb.Change{route("r", "a.org", "a?", "pay")}, "route/r", "path_prefix", "want /"},
		{"match taken", []*configpb.Change{route("r", "a.org", "/pay", "pay")}, "route/r", "path_prefix", "route/pay"},
		{"match twice", []*configpb.Change{route("r", "b.org", "/", "pay"), route("q", "b.org", "/", "pay")},
			"route/q", "path_prefix", "route/r"},
		{"share above 1", []*configpb.Change{tenant("t", share("pay", 1.01))}, "tenant/t", "limits", "1.01"},
		{"share below 0", []*configpb.Change{tenant("t", share("pay", -0.1))}, "tenant/t", "limits", "-0.1"},
		{"share not a number", []*configpb.Change{tenant("t", share("pay", math.NaN()))}, "tenant/t", "limits", "NaN"},
		{"limit of nothing", []*configpb.Change{tenant("t", share("pay", 0))}, "tenant/t", "limits", "neither"},
		{"limits twice", []*configpb.Change{tenant("t", share("pay", 0.1), share("pay", 0.1))},
			"tenant/t", "limits", "two"},
		{"limit elsewhere", []*configpb.Change{tenant("t", share("x", 0.1))}, "tenant/t", "limits", "no service x"},
		{"large", []*configpb.Change{tenant("t", large...)}, "tenant/t", "", "bytes"},
		{"delete nothing", []*configpb.Change{drop("route/x")}, "route/x", "", "no such entry"},
		{"delete no kind", []*configpb.Change{drop("x/pay")}, "x/pay", "", "want service/NAME"},
		{"delete in use", []*configpb.Change{drop("service/pay")}, "service/pay", "", "route/pay names it"},
		{"delete and name", []*configpb.Change{drop("service/cart"), route("r", "b.org", "/", "cart")},
			"route/r", "service", "no service cart"},
		{"too many", many, "", "", "1001 changes"},
		{"too heavy", heavy, "", "", "bytes"},
		{"first is good", []*configpb.Change{service("x"), route("r", "a.org", "/", "y")},
			"route/r", "service", "no service y"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			commit(t, s, service("pay"), service("cart"), route("pay", "a.org", "/pay", "pay"))
			commit(t, s, tenant("acme", share("pay", 0.5)))
			before := encoded(t, s.State())
			_, err := s.Commit(2000, transaction(c.changes...))
			var refused *InvalidError
			if !errors.As(err, &refused) {
				t.Fatalf("%v", err)
			}
			if refused.Entry != c.entry || refused.Field != c.field || !strings.Contains(refused.Reason, c.reason) {
				t.Errorf("%+v", refused)
			}
			if checked := s.Check(transaction(c.changes...)); checked == nil || checked.Error() != err.Error() {
				t.Errorf("Check returned another error: %v", checked)
			}
			if !bytes.Equal(before, encoded(t, s.State())) {
				t.Error("the store has changed")
			}
		})
	}
	s := New()
	bad := &configpb.Transaction{Changes: []*configpb.Change{service("x")}, By: strings.Repeat("x", maxText+1)}
	if _, err := s.Commit(1, bad); err == nil || s.Revision() != 0 {
		t.Errorf("an author that is too long: %v", err)
	}
}

// Guards against changes that overwrite another operator's: a transaction is refused, and changes nothing, unless each
// of its conditions names the revision of the entry's last change, or 0 for an entry that does not exist.
func TestConditions(t *testing.T) {
	s := New()
	commit(t, s, service("pay"))
	commit(t, s, service("cart"))
	for _, c := range []struct {
		key      string
		revision uint64
		holds    bool
	}{
		{"service/pay", 1, true},
		{"service/pay", 2, false},
		{"service/pay", 0, false},
		{"service/x", 0, true},
		{"service/x", 1, false},
	} {
		tx := transaction(slowService("cart", 5))
		tx.Conditions = []*configpb.Condition{{Key: "service/cart", Revision: 2}, {Key: c.key, Revision: c.revision}}
		err, conflict := s.Check(tx), (*ConflictError)(nil)
		if (err == nil) != c.holds || err != nil && (!errors.As(err, &conflict) || conflict.Entry != c.key) {
			t.Errorf("%s of revision %d: %v", c.key, c.revision, err)
		}
	}
	tx := transaction(slowService("pay", 5))
	tx.Conditions = []*configpb.Condition{{Key: "service/pay", Revision: 1}}
	if o, err := s.Commit(1, tx); err != nil || o != (Outcome{3, true}) || s.Entry("service/pay").Revision != 3 {
		t.Errorf("%v, %v", o, err)
	}
	if o, err := s.Commit(1, tx); err == nil || o.Revision != 3 || ResultOf(o, err).Code != configpb.Result_CONFLICT {
		t.Errorf("once more: %v, %v", o, err)
	}
}

// Guards against revisions without a change: a transaction that changes no value makes no revision, and an entry whose
// value stays the same keeps its revision.
func TestUnchanged(t *testing.T) {
	s := New()
	commit(t, s, service("pay"))
	if o, err := s.Commit(1, transaction(service("pay"))); err != nil || o != (Outcome{1, false}) {
		t.Errorf("%v, %v", o, err)
	}
	commit(t, s, service("pay"), service("cart"))
	if r := s.Entry("service/pay").Revision; r != 1 {
		t.Errorf("revision %d", r)
	}
	if h, err := s.History(1, 10); err != nil || len(h) != 1 || len(h[0].Changes) != 1 {
		t.Errorf("%v, %v", h, err)
	}
}

// Guards against a check of single changes in place of the whole transaction: in one transaction two routes may swap
// their matches, and a service may be deleted together with all entries that refer to it.
func TestWholeTransaction(t *testing.T) {
	s := New()
	commit(t, s, service("pay"), service("cart"), route("a", "a.org", "/a", "pay"), route("b", "a.org", "/b", "pay"))
	commit(t, s, route("a", "a.org", "/b", "pay"), route("b", "a.org", "/a", "pay"))
	commit(t, s, drop("service/pay"), drop("route/a"), route("b", "a.org", "/a", "cart"))
	commit(t, s, route("c", "a.org", "/b", "cart"))
	if _, err := s.Commit(1, transaction(route("d", "a.org", "/a", "cart"))); err == nil {
		t.Error("a second route with the match of route/b was accepted")
	}
}

// A rollback makes a new revision with the entries' values of an earlier one. A revision that the history does not
// reach, or that does not exist yet, is refused.
func TestRollback(t *testing.T) {
	s := New()
	commit(t, s, service("pay"), route("a", "a.org", "/", "pay"))
	commit(t, s, drop("service/pay"), drop("route/a"), service("cart"))
	commit(t, s, slowService("cart", 7))
	o, err := s.Rollback(5, &configpb.Rollback{To: 1, By: "eva", Why: "wrong"})
	if err != nil || o != (Outcome{4, true}) || s.Len() != 2 || s.Entry("route/a").GetRevision() != 4 {
		t.Fatalf("%v, %v", o, err)
	}
	if o, err := s.Rollback(5, &configpb.Rollback{To: 1}); err != nil || o.Changed {
		t.Errorf("again: %v, %v", o, err)
	}
	if o, err := s.Rollback(5, &configpb.Rollback{To: 0}); err != nil || o.Revision != 5 || s.Len() != 0 {
		t.Errorf("to nothing: %v, %v", o, err)
	}
	if _, err := s.Rollback(5, &configpb.Rollback{To: 6}); err == nil {
		t.Error("a rollback to a revision that does not exist was accepted")
	}
	s.historyLimit = 2
	commit(t, s, service("x"))
	if _, err := s.Rollback(5, &configpb.Rollback{To: s.Compacted() - 1}); err == nil || s.Revision() != 6 {
		t.Errorf("to a compacted revision: %v", err)
	}
	if _, err := s.Rollback(5, &configpb.Rollback{To: s.Compacted()}); err != nil {
		t.Error(err)
	}
}

// Guards against a history that grows without bound: it is limited in revisions and in bytes, and requests for
// revisions that it no longer has, or that do not exist yet, return errors.
func TestCompaction(t *testing.T) {
	s := New()
	s.historyLimit = 3
	for i := range 5 {
		commit(t, s, slowService("pay", uint32(i+1)))
	}
	if s.Compacted() != 2 || s.Revision() != 5 {
		t.Errorf("%d to %d", s.Compacted(), s.Revision())
	}
	if _, err := s.Delta(1, 1000); !errors.Is(err, ErrCompacted) {
		t.Error(err)
	}
	if _, err := s.Delta(6, 1000); !errors.Is(err, ErrAhead) {
		t.Error(err)
	}
	if d, err := s.Delta(2, 1); err != nil || len(d.Revisions) != 1 || d.Revisions[0].Number != 3 {
		t.Errorf("%v, %v", d, err)
	}
	if d, err := s.Delta(5, 1000); err != nil || len(d.Revisions) != 0 {
		t.Errorf("%v, %v", d, err)
	}
	s.historyByteLimit = 1
	commit(t, s, service("pay"))
	if s.Compacted() != 6 || len(s.history) != 0 || s.historyBytes != 0 {
		t.Errorf("%d records of %d bytes", len(s.history), s.historyBytes)
	}
	other := New()
	if err := other.Restore(s.State()); err != nil || other.Revision() != 6 || other.Compacted() != 6 {
		t.Error(err)
	}
}

// Guards against a configuration beyond its bounds in entries of a kind and in bytes: the next entry is refused.
func TestBounds(t *testing.T) {
	s := New()
	for i := 0; i < MaxServices; i += MaxChanges {
		var changes []*configpb.Change
		for j := range MaxChanges {
			changes = append(changes, service(fmt.Sprint("s", i+j)))
		}
		commit(t, s, changes...)
	}
	if _, err := s.Commit(1, transaction(service("x"))); err == nil || !strings.Contains(err.Error(), "2001") {
		t.Error(err)
	}
	commit(t, s, drop("service/s0"), service("x"))
	s.table.bytes = MaxBytes
	if _, err := s.Commit(1, transaction(slowService("x", 1))); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Error(err)
	}
}

// Guards against a damaged state that replaces a good one: it is refused, and the store is unchanged.
func TestRestoreRefuses(t *testing.T) {
	s := New()
	commit(t, s, service("pay"), route("a", "a.org", "/", "pay"))
	commit(t, s, service("cart"))
	for name, damage := range map[string]func(*configpb.State){
		"order":       func(state *configpb.State) { slices.Reverse(state.Entries) },
		"reference":   func(state *configpb.State) { state.Entries[0].GetRoute().Service = "x" },
		"revision":    func(state *configpb.State) { state.Entries[0].Revision = 9 },
		"no revision": func(state *configpb.State) { state.Entries[0].Revision = 0 },
		"gap":         func(state *configpb.State) { state.History[0].Revision.Number = 7 },
		"lost record": func(state *configpb.State) { state.History = state.History[1:] },
		"no before":   func(state *configpb.State) { state.History[0].Before = nil },
	} {
		state, other := proto.CloneOf(s.State()), New()
		commit(t, other, service("x"))
		damage(state)
		if err := other.Restore(state); err == nil || other.Revision() != 1 || other.Entry("service/x") == nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// drawTransaction draws a transaction with few names and values, so that it is often refused.
func drawTransaction(t *rapid.T) *configpb.Transaction {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	number := rapid.IntRange(0, 3)
	tx := transaction()
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0, 1:
			tx.Changes = append(tx.Changes, slowService(name.Draw(t, "name"), uint32(number.Draw(t, "timeout"))))
		case 2:
			path := "/" + name.Draw(t, "path")
			tx.Changes = append(tx.Changes, route(name.Draw(t, "name"), "a.org", path, name.Draw(t, "service")))
		case 3:
			limit := share(name.Draw(t, "service"), float64(number.Draw(t, "share"))/2)
			tx.Changes = append(tx.Changes, tenant(name.Draw(t, "name"), limit))
		case 4, 5:
			kind := rapid.SampledFrom([]string{KindService, KindRoute, KindTenant}).Draw(t, "kind")
			tx.Changes = append(tx.Changes, drop(kind+"/"+name.Draw(t, "name")))
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "conditional") == 0 {
		c := &configpb.Condition{Key: ServiceKey(name.Draw(t, "name")), Revision: uint64(number.Draw(t, "revision"))}
		tx.Conditions = append(tx.Conditions, c)
	}
	return tx
}

// model is a simple reference for Store: a map of all entries, each check of which goes over all of them.
type model map[string]*configpb.Entry

// after returns the model after a transaction. ok is false if the transaction has to be refused.
func (m model) after(tx *configpb.Transaction, revision uint64) (next model, ok bool) {
	for _, c := range tx.Conditions {
		if m[c.Key].GetRevision() != c.Revision {
			return m, false
		}
	}
	next = maps.Clone(m)
	seen := map[string]bool{}
	for _, c := range tx.Changes {
		key := changeKey(c)
		if seen[key] || c.GetPut() == nil && m[key] == nil {
			return m, false
		}
		seen[key] = true
		switch put := c.GetPut(); {
		case put == nil:
			delete(next, key)
		case !SameValue(put, m[key]):
			next[key] = &configpb.Entry{Revision: revision, Value: put.Value}
		}
	}
	return next, next.valid()
}

func (m model) valid() bool {
	paths := map[string]bool{}
	for _, e := range m {
		if r := e.GetRoute(); r != nil {
			if m[ServiceKey(r.Service)] == nil || paths[r.PathPrefix] {
				return false
			}
			paths[r.PathPrefix] = true
		}
		for _, l := range e.GetTenant().GetLimits() {
			if m[ServiceKey(l.Service)] == nil || l.Share > 1 || l.Share == 0 {
				return false
			}
		}
	}
	return true
}

func (m model) equal(entries []*configpb.Entry) bool {
	if len(m) != len(entries) {
		return false
	}
	for _, e := range entries {
		if !proto.Equal(e, m[Key(e)]) {
			return false
		}
	}
	return true
}

// Compares the store with a simple model over random changes, rollbacks, compactions and restores. Both have to have
// the same entries. Two stores with the same operations have to have the same bytes, else the members of the log would
// differ. A replica that follows by deltas and snapshots has to have the store's entries at each revision.
func TestStoreBesideMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, twin := New(), New()
		s.historyLimit, twin.historyLimit = 6, 6
		now, states := model{}, []model{{}}
		replica := NewReplica(nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0: // encode, decode and restore
				state := &configpb.State{}
				raw, err := Encode(s.State())
				if err = errors.Join(err, proto.Unmarshal(raw, state)); err != nil {
					t.Fatal(err)
				}
				restored := New()
				restored.historyLimit = 6
				if err := restored.Restore(state); err != nil {
					t.Fatal(err)
				}
				s = restored
			case 1:
				to := uint64(rapid.IntRange(0, len(states)).Draw(t, "to"))
				o, err := s.Rollback(7, &configpb.Rollback{To: to})
				known := to >= s.Compacted() && to < uint64(len(states))
				if (err == nil) != (known || o.Changed) {
					t.Fatalf("rollback to %d of %d to %d: %v", to, s.Compacted(), s.Revision(), err)
				}
				twin.Rollback(7, &configpb.Rollback{To: to})
				if o.Changed {
					now = rolledBack(now, states[to], o.Revision)
					states = append(states, now)
				}
			case 2, 3:
				followStore(t, s, replica, states)
			default:
				tx := drawTransaction(t)
				next, ok := now.after(tx, s.Revision()+1)
				o, err := s.Commit(7, tx)
				twin.Commit(7, tx)
				if (err == nil) != ok {
					t.Fatalf("%v: %v", tx, err)
				}
				if o.Changed {
					now = next
					states = append(states, now)
				}
			}
			if s.Revision() != uint64(len(states)-1) || !now.equal(s.Entries()) {
				t.Fatalf("revision %d of %d: %v, the model has %v", s.Revision(), len(states)-1, s.Entries(), now)
			}
			a, _ := Encode(s.State())
			b, _ := Encode(twin.State())
			if !bytes.Equal(a, b) {
				t.Fatalf("two stores with the same operations differ")
			}
		}
		for replica.Revision() < s.Revision() {
			followStore(t, s, replica, states)
		}
	})
}

// rolledBack returns the model after a rollback from now to then, which makes the given revision.
func rolledBack(now, then model, revision uint64) model {
	next := model{}
	for key, e := range then {
		if SameValue(e, now[key]) {
			next[key] = now[key]
		} else {
			next[key] = &configpb.Entry{Revision: revision, Value: e.Value}
		}
	}
	return next
}

// followStore brings a replica closer to the store's revision, by a delta or a snapshot, and checks it.
func followStore(t *rapid.T, s *Store, replica *Replica, states []model) {
	d, err := s.Delta(replica.Revision(), rapid.IntRange(1, 500).Draw(t, "bytes"))
	if errors.Is(err, ErrCompacted) {
		err = replica.Restore(s.Snapshot())
	} else if err == nil {
		err = replica.Apply(d)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !states[replica.Revision()].equal(replica.Snapshot().Entries) {
		t.Fatalf("at revision %d the replica has %v", replica.Revision(), replica.Snapshot().Entries)
	}
}
