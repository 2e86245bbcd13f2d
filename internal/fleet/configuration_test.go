package fleet

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/fleet/fleetpb"
)

func putService(name string, timeoutMs uint32) *configpb.Transaction {
	s := &configpb.Service{Name: name, TimeoutMs: timeoutMs}
	put := &configpb.Entry{Value: &configpb.Entry_Service{Service: s}}
	return &configpb.Transaction{Changes: []*configpb.Change{{What: &configpb.Change_Put{Put: put}}}, By: "eva"}
}

// configure applies a transaction as an entry of a level.
func (w *harness) configure(level uint32, ask string, tx *configpb.Transaction) *fleetpb.Result {
	raw, err := proto.Marshal(&fleetpb.Entry{Level: level, AtMs: w.now, Ask: ask,
		What: &fleetpb.Entry_Configure{Configure: tx}})
	if err != nil {
		panic(err)
	}
	return w.Apply(raw)
}

func bytesOf(t *testing.T, m *Machine) []byte {
	t.Helper()
	raw, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against configuration changes that are missing in a snapshot of the log, that appear in the overview for
// operators, or that take effect twice when a request is repeated under its ID. A rollback counts as a change.
func TestConfigurationInTheState(t *testing.T) {
	w := &harness{Machine: New(), now: 1000}
	for _, timeout := range []uint32{1, 2} {
		r := w.configure(Level, "a", putService("pay", timeout))
		if r.Code != fleetpb.Result_DONE || r.Configuration.Revision != 1 || !w.HasResult("a") {
			t.Errorf("request with timeout %d: %v", timeout, r)
		}
	}
	w.configure(Level, "b", putService("pay", 2))
	other := New()
	if err := other.Restore(bytesOf(t, w.Machine)); err != nil {
		t.Fatal(err)
	}
	if e := other.Configuration().Entry("service/pay"); e.GetRevision() != 2 || e.GetService().GetTimeoutMs() != 2 {
		t.Errorf("restored: %v", e)
	}
	if !bytes.Equal(bytesOf(t, other), bytesOf(t, w.Machine)) {
		t.Error("the restored machine has a different snapshot")
	}
	raw, err := w.Overview()
	state := &fleetpb.State{}
	if err != nil || proto.Unmarshal(raw, state) != nil || state.Configuration != nil || state.Level != Level {
		t.Errorf("the overview contains %v, %v", state, err)
	}
	back := &fleetpb.Entry_RollBack{RollBack: &configpb.Rollback{To: 1}}
	raw, _ = proto.Marshal(&fleetpb.Entry{Level: Level, What: back})
	if r := w.Apply(raw); r.Code != fleetpb.Result_DONE || r.Configuration.Revision != 3 {
		t.Errorf("rolled back: %v", r)
	}
	if e := w.Configuration().Entry("service/pay"); e.GetService().GetTimeoutMs() != 1 {
		t.Errorf("rolled back: %v", e)
	}
}

// Guards against a refused change that has no reason, the wrong result code, or takes effect. The refused changes are
// one with a stale condition and one with an invalid value.
func TestConfigurationRefused(t *testing.T) {
	w := &harness{Machine: New(), now: 1000}
	w.configure(Level, "", putService("pay", 1))
	stale := putService("pay", 2)
	stale.Conditions = []*configpb.Condition{{Key: "service/pay", Revision: 7}}
	r := w.configure(Level, "", stale)
	if r.Code != fleetpb.Result_REFUSED || r.Configuration.Code != configpb.Result_CONFLICT {
		t.Error(r)
	}
	r = w.configure(Level, "", putService("pay", 1<<30))
	if r.Code != fleetpb.Result_INVALID || r.Reason == "" || r.Configuration.Refusal.GetEntry() != "service/pay" {
		t.Error(r)
	}
	if w.Configuration().Revision() != 1 {
		t.Errorf("revision %d", w.Configuration().Revision())
	}
}

// Guards against members of two program versions that compute different states. While a member does not know
// configuration entries, they need a level above the minimum. One that is in the log nevertheless, at a lower level,
// must change nothing and give the same snapshot as on a member that does not know it.
func TestConfigurationNeedsLevel(t *testing.T) {
	w := &harness{Machine: New(), now: 1000}
	w.apply("", &fleetpb.OpenSession{Node: "old", Process: "p", Voter: true, Level: levelWaves})
	entry := &fleetpb.Entry{What: &fleetpb.Entry_Configure{Configure: putService("pay", 1)}}
	rollBack := &fleetpb.Entry{What: &fleetpb.Entry_RollBack{RollBack: &configpb.Rollback{}}}
	if least := w.MinLevel(); RequiredLevel(entry) <= least || RequiredLevel(rollBack) <= least {
		t.Errorf("least level %d", least)
	}
	if RequiredLevel(&fleetpb.Entry{What: &fleetpb.Entry_Clock{}}) != levelFirst {
		t.Error("an entry of the first level needs a higher one")
	}
	newer := &harness{Machine: New(), now: 1000}
	newer.configure(levelWaves, "a", putService("pay", 1))
	older := &harness{Machine: New(), now: 1000}
	// An older program decodes the entry without the field that it does not know.
	raw, _ := proto.Marshal(&fleetpb.Entry{Level: levelWaves, AtMs: 1000, Ask: "a"})
	older.Apply(raw)
	if !bytes.Equal(bytesOf(t, newer.Machine), bytesOf(t, older.Machine)) {
		t.Error("members of two program versions have different states")
	}
}

// Guards against a snapshot with a damaged configuration (a revision that can't be) that is accepted or changes the
// state.
func TestDamagedConfiguration(t *testing.T) {
	w, other := &harness{Machine: New(), now: 1000}, &harness{Machine: New(), now: 1000}
	w.configure(Level, "", putService("pay", 1))
	other.configure(Level, "", putService("cart", 1))
	state := &fleetpb.State{}
	if err := proto.Unmarshal(bytesOf(t, w.Machine), state); err != nil {
		t.Fatal(err)
	}
	state.Configuration.Entries[0].Revision = 9
	raw, _ := proto.Marshal(state)
	before := bytesOf(t, other.Machine)
	if err := other.Restore(raw); err == nil || !bytes.Equal(before, bytesOf(t, other.Machine)) {
		t.Errorf("%v", err)
	}
}
