package configuration

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

func delta(t testing.TB, s *Store, after uint64) *configpb.Delta {
	t.Helper()
	d, err := s.Delta(after, MaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	return proto.CloneOf(d)
}

// Guards against lost revisions: a delta that does not continue at the replica's revision, or has a gap, changes
// nothing.
func TestGaps(t *testing.T) {
	s := New()
	for i := range 4 {
		commit(t, s, slowService("pay", uint32(i+1)))
	}
	r := NewReplica(nil)
	if err := r.Apply(delta(t, s, 0)); err != nil || r.Revision() != 4 {
		t.Fatal(err)
	}
	hole := delta(t, s, 0)
	hole.Revisions = append(hole.Revisions[:1], hole.Revisions[2:]...)
	swapped := delta(t, s, 0)
	swapped.Revisions[0], swapped.Revisions[1] = swapped.Revisions[1], swapped.Revisions[0]
	for name, d := range map[string]*configpb.Delta{"from later": delta(t, s, 2), "hole": hole, "order": swapped} {
		r, gap := NewReplica(nil), (*GapError)(nil)
		if err := r.Apply(d); !errors.As(err, &gap) || r.Revision() != 0 || r.Len() != 0 {
			t.Errorf("%s: %v, revision %d", name, err, r.Revision())
		}
	}
	gap := (*GapError)(nil)
	if err := r.Apply(delta(t, s, 2)); !errors.As(err, &gap) || r.Revision() != 4 {
		t.Errorf("the same delta again: %v", err)
	}
	commit(t, s, service("cart"))
	next := delta(t, s, 4)
	next.After = 3
	if err := r.Apply(next); !errors.As(err, &gap) || r.Revision() != 4 {
		t.Errorf("a delta whose After does not fit its revisions: %v", err)
	}
}

// Guards against a revision that the node refuses, as it could stop the node for good or take effect in part: the
// replica stays at the revision before it, with the entry and the reason in the error, and a later revision that
// corrects it is applied together with it in one step.
func TestRefusedRevision(t *testing.T) {
	s := New()
	commit(t, s, service("pay"))
	commit(t, s, service("cart"), slowService("pay", 99))
	commit(t, s, service("more"))
	var seen [][]*configpb.Change
	r := NewReplica(func(changes []*configpb.Change) error {
		for _, c := range changes {
			if c.GetPut().GetService().GetTimeoutMs() == 99 {
				return &InvalidError{Entry: changeKey(c), Field: "timeout_ms", Reason: "not here"}
			}
		}
		seen = append(seen, changes)
		return nil
	})
	refused := (*RefusedError)(nil)
	if err := r.Apply(delta(t, s, 0)); !errors.As(err, &refused) || refused.Revision != 2 ||
		*refused.Cause != (InvalidError{"service/pay", "timeout_ms", "not here"}) {
		t.Fatal(err)
	}
	if r.Revision() != 1 || r.Len() != 1 || r.Entry("service/pay").Revision != 1 {
		t.Errorf("revision %d, %v", r.Revision(), r.Snapshot())
	}
	commit(t, s, slowService("pay", 98))
	if err := r.Apply(delta(t, s, 1)); err != nil || r.Revision() != 4 {
		t.Fatalf("corrected: %v, revision %d", err, r.Revision())
	}
	if !bytes.Equal(encoded(t, r.Snapshot()), encoded(t, s.Snapshot())) || len(seen) != 2 || len(seen[1]) != 3 {
		t.Errorf("%v; accepted %v", r.Snapshot(), seen)
	}
}

// The accept function is called once for each revision of a delta, with the changes of that revision only.
func TestAcceptedOneByOne(t *testing.T) {
	s := New()
	commit(t, s, service("pay"), service("cart"))
	commit(t, s, drop("service/cart"))
	var calls []int
	r := NewReplica(func(changes []*configpb.Change) error { calls = append(calls, len(changes)); return nil })
	if err := r.Apply(delta(t, s, 0)); err != nil || !slices.Equal(calls, []int{2, 1}) {
		t.Errorf("%v, calls with %v changes", err, calls)
	}
}

// Guards against deltas and snapshots that no store sends, as from a damaged or incompatible sender: they are refused
// as a whole.
func TestForeignDelta(t *testing.T) {
	s := New()
	commit(t, s, service("pay"), route("a", "a.org", "/", "pay"))
	for name, damage := range map[string]func(*configpb.Revision){
		"reference":         func(r *configpb.Revision) { r.Changes = r.Changes[1:] },
		"revision":          func(r *configpb.Revision) { r.Changes[0].GetPut().Revision = 9 },
		"kind":              func(r *configpb.Revision) { r.Changes[0].GetPut().Value = nil },
		"shape":             func(r *configpb.Revision) { r.Changes[0].GetPut().GetService().TimeoutMs = 1 << 30 },
		"delete":            func(r *configpb.Revision) { r.Changes = append(r.Changes, drop("tenant/x")) },
		"change of no kind": func(r *configpb.Revision) { r.Changes[0].What = nil },
	} {
		d, r, refused := delta(t, s, 0), NewReplica(nil), (*RefusedError)(nil)
		damage(d.Revisions[0])
		if err := r.Apply(d); !errors.As(err, &refused) || refused.Revision != 1 || r.Revision() != 0 || r.Len() != 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	bad, r := proto.CloneOf(s.Snapshot()), NewReplica(nil)
	bad.Entries = bad.Entries[:1]
	refused := (*RefusedError)(nil)
	if err := r.Restore(bad); !errors.As(err, &refused) || r.Revision() != 0 {
		t.Errorf("snapshot: %v", err)
	}
}

// A snapshot replaces all entries. The accept function also gets the deletion of the entries that it does not have.
func TestSnapshotOverOld(t *testing.T) {
	s, old := New(), New()
	commit(t, old, service("gone"))
	commit(t, s, service("pay"))
	commit(t, s, service("cart"))
	var last []*configpb.Change
	r := NewReplica(func(changes []*configpb.Change) error { last = changes; return nil })
	if err := r.Restore(old.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if err := r.Restore(s.Snapshot()); err != nil || r.Revision() != 2 || r.Len() != 2 {
		t.Errorf("%v: %v", err, r.Snapshot())
	}
	if len(last) != 3 || last[2].GetDelete() != "service/gone" {
		t.Errorf("accept was called with %v", last)
	}
	refuses := errors.New("not now")
	r.accept = func([]*configpb.Change) error { return refuses }
	if err := r.Restore(old.Snapshot()); err == nil || r.Revision() != 2 {
		t.Errorf("%v", err)
	}
}

// Guards against panics by any bytes of a delta, a snapshot, a state or a transaction, and against refused ones that
// change something.
func FuzzDecode(f *testing.F) {
	s := New()
	commit(f, s, service("pay"), route("a", "a.org", "/", "pay"), tenant("t", share("pay", 0.5)))
	commit(f, s, drop("route/a"), slowService("pay", 7))
	tx := transaction(service("x"), drop("tenant/t"))
	for _, m := range []proto.Message{delta(f, s, 0), delta(f, s, 1), s.Snapshot(), s.State(), tx} {
		f.Add(encoded(f, m))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReplica(nil)
		if d := new(configpb.Delta); proto.Unmarshal(raw, d) == nil {
			if err := r.Apply(d); err != nil && r.Revision() == 0 && r.Len() > 0 {
				t.Errorf("a refused delta left %d entries", r.Len())
			}
			if err := NewReplica(nil).Restore(r.Snapshot()); err != nil {
				t.Errorf("the applied delta leaves an invalid configuration: %v", err)
			}
		}
		if snapshot := new(configpb.Snapshot); proto.Unmarshal(raw, snapshot) == nil {
			if r := NewReplica(nil); r.Restore(snapshot) != nil && r.Len() > 0 {
				t.Error("a refused snapshot left entries")
			}
		}
		if state := new(configpb.State); proto.Unmarshal(raw, state) == nil {
			if s := New(); s.Restore(state) == nil {
				s.Rollback(1, &configpb.Rollback{To: s.Compacted()})
				if err := New().Restore(s.State()); err != nil {
					t.Errorf("after a rollback: %v", err)
				}
			}
		}
		if tx := new(configpb.Transaction); proto.Unmarshal(raw, tx) == nil {
			s := New()
			if _, err := s.Commit(1, tx); err != nil && s.Revision() > 0 {
				t.Errorf("refused: %v, but the store is at revision %d", err, s.Revision())
			}
			if err := New().Restore(s.State()); err != nil {
				t.Errorf("the committed transaction leaves an invalid state: %v", err)
			}
		}
	})
}
