package serverlist

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingvalve/decide"
)

var began = time.Now()

func entry(id decide.ServerID, state decide.ServerState, started decide.Time) Entry {
	return Entry{Server: decide.Server{ID: id, Zone: "z", State: state, StartedAt: started}, Addr: "127.0.0.1:9"}
}

func whole(version uint64, entries ...Entry) List {
	return List{Version: version, Full: true, Entries: entries, Source: SourceCall}
}

func changes(version uint64, entries ...Entry) List {
	return List{Version: version, Entries: entries, Source: SourceWatch}
}

func expect(t *testing.T, v *View, id decide.ServerID, want decide.ServerState) {
	t.Helper()
	if got := v.state(id); got != want {
		t.Errorf("server %d: state %d, want %d", id, got, want)
	}
}

// Age and source are those of the latest answer of discovery, with changes or without.
func TestAge(t *testing.T) {
	t.Parallel()
	v := NewView()
	v.Apply(List{Full: true, Entries: []Entry{entry(1, decide.Ready, 0)}, Source: SourceCache}, began)
	if age := v.Age(began.Add(time.Hour)); age >= 0 {
		t.Errorf("a cached list, which was never confirmed, has the age %v", age)
	}
	v.Apply(changes(2), began.Add(time.Second))
	v.Confirm(SourceWatch, began.Add(3*time.Second))
	if age := v.Age(began.Add(4 * time.Second)); age != time.Second {
		t.Errorf("age %v", age)
	}
	if watched, _ := v.Watched(); !watched || v.Source() != SourceWatch {
		t.Errorf("watched %v, source %v", watched, v.Source())
	}
	v.Unwatch(began.Add(5 * time.Second))
	if watched, since := v.Watched(); watched || !since.Equal(began.Add(5*time.Second)) {
		t.Errorf("watched %v since %v", watched, since)
	}
	v.SourceChanged(began.Add(6 * time.Second))
	if v.Revision() != nil {
		t.Error("the revision of the previous source is kept")
	}
}

// Transitions name the servers whose state has changed, the old and the new state, and the age of the list before.
func TestTransitions(t *testing.T) {
	t.Parallel()
	v := NewView()
	v.Apply(whole(1, entry(1, decide.Ready, 0), entry(2, decide.Ready, 0)), began)
	u := v.Apply(whole(2, entry(1, decide.Draining, 0), entry(3, decide.Ready, 0)), began.Add(time.Second))
	got := map[decide.ServerID][2]decide.ServerState{}
	for _, x := range u.Transitions {
		got[x.Server.ID] = [2]decide.ServerState{x.From, x.To}
		if x.Age != time.Second || x.Revision != 2 || x.Source != SourceCall {
			t.Errorf("%+v", x)
		}
	}
	want := map[decide.ServerID][2]decide.ServerState{1: {decide.Ready, decide.Draining},
		2: {decide.Ready, decide.Removed}, 3: {decide.Removed, decide.Ready}}
	if len(got) != len(want) || got[1] != want[1] || got[2] != want[2] || got[3] != want[3] {
		t.Errorf("%v, want %v", got, want)
	}
	if listed, ready := v.Size(); listed != 2 || ready != 1 {
		t.Errorf("%d listed, %d ready", listed, ready)
	}
}

// A list with a lower revision than the one by which a server became draining or removed does not make it ready again,
// unless the server has started since, or the lower revisions stand for OlderListTrustedAfter.
func TestOlderListBringsNothingBack(t *testing.T) {
	t.Parallel()
	for name, off := range map[string]List{
		"drains":    changes(9, entry(1, decide.Draining, 5)),
		"gone":      changes(9, entry(1, decide.Removed, 5)),
		"not named": whole(9, entry(2, decide.Ready, 0)),
	} {
		v := NewView()
		v.Apply(whole(8, entry(1, decide.Ready, 5), entry(2, decide.Ready, 0)), began)
		v.Apply(off, began)
		v.Apply(whole(7, entry(1, decide.Ready, 5), entry(2, decide.Ready, 0)), began.Add(time.Second))
		if v.state(1) == decide.Ready {
			t.Errorf("%s: ready again by an older list", name)
		}
		expect(t, v, 2, decide.Ready)
		v.Confirm(SourceWatch, began.Add(OlderListTrustedAfter))
		if v.state(1) == decide.Ready {
			t.Errorf("%s: ready again too soon", name)
		}
		u := v.Confirm(SourceWatch, began.Add(time.Second+OlderListTrustedAfter))
		if v.state(1) != decide.Ready || len(u.List.Entries) != 1 {
			t.Errorf("%s: not ready again although the lower revisions stand: %+v", name, u)
		}
	}
	v := NewView()
	v.Apply(changes(9, entry(1, decide.Draining, 5)), began)
	v.Apply(whole(7, entry(1, decide.Ready, 6)), began)
	expect(t, v, 1, decide.Ready) // another process
	v.Apply(changes(10, entry(1, decide.Draining, 6)), began)
	v.Apply(changes(11, entry(1, decide.Ready, 6)), began)
	expect(t, v, 1, decide.Ready) // newer
}

// An older list by which a server is ready is forgotten once a newer one has the server as removed.
func TestOlderListIsNotBelievedLater(t *testing.T) {
	t.Parallel()
	v := NewView()
	v.Apply(changes(9, entry(1, decide.Draining, 0)), began)
	v.Apply(whole(8, entry(1, decide.Ready, 0)), began)
	v.Apply(changes(10, entry(1, decide.Removed, 0)), began.Add(time.Second))
	v.Confirm(SourceWatch, began.Add(time.Minute/2))
	expect(t, v, 1, decide.Removed)
}

// Cordoned servers are draining whatever the list says, and are ready after the end of the cordon only if they are ready
// by the list.
func TestCordon(t *testing.T) {
	t.Parallel()
	v := NewView()
	v.Apply(whole(1, entry(1, decide.Ready, 0), entry(2, decide.Ready, 0)), began)
	u := v.SetCordon(Cordon{Servers: map[decide.ServerID]bool{1: true}})
	if _, ready := v.Size(); ready != 1 || len(u.Transitions) != 1 || u.Transitions[0].To != decide.Draining {
		t.Errorf("%d ready, %+v", ready, u.Transitions)
	}
	v.Apply(changes(2, entry(1, decide.Ready, 0)), began)
	expect(t, v, 1, decide.Draining)
	if l, ok := v.List(); !ok || len(l.Entries) != 2 || l.Entries[0].State != decide.Ready ||
		l.Entries[1].State != decide.Ready {
		t.Errorf("want the list as discovery has it, without the cordon: %+v", l)
	}
	v.SetCordon(Cordon{})
	expect(t, v, 1, decide.Ready)
}

// Whatever lists come in whatever order, the count of ready servers agrees with the states in force, and no server that
// is draining by a revision becomes ready by a lower one within OlderListTrustedAfter, unless its process is another one.
func TestViewUnderAnyLists(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		now := began
		drained := map[decide.ServerID]uint64{} // by which revision
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			now = now.Add(10 * time.Millisecond)
			l := List{Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Full: rapid.Bool().Draw(t, "full"),
				Source: SourceWatch}
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint32Range(1, 4), 0, 4, rapid.ID).Draw(t, "servers") {
				l.Entries = append(l.Entries, entry(decide.ServerID(id),
					rapid.SampledFrom([]decide.ServerState{decide.Ready, decide.Draining, decide.Removed}).Draw(t, "state"), 0))
			}
			v.Apply(l, now)
			ready := 0
			for id := range decide.ServerID(5) {
				if v.state(id) != decide.Ready {
					continue
				}
				ready++
				if l.Version < drained[id] {
					t.Fatalf("server %d drained by revision %d is ready by %d", id, drained[id], l.Version)
				}
			}
			for _, e := range l.Entries {
				switch {
				case e.State != decide.Ready:
					drained[e.ID] = max(drained[e.ID], l.Version)
				case v.state(e.ID) == decide.Ready:
					delete(drained, e.ID)
				}
			}
			if _, got := v.Size(); got != ready {
				t.Fatalf("%d ready, want %d", got, ready)
			}
		}
	})
}

// Servers that are draining by a list from a source that has been replaced become draining, but no other entry of that
// list counts, nor does its revision: the whole list is requested from the next source.
func TestWithdraw(t *testing.T) {
	now := time.Now()
	v := NewView()
	entry := func(id decide.ServerID, s decide.ServerState) Entry {
		return Entry{Server: decide.Server{ID: id, State: s}}
	}
	v.Apply(List{Version: 7, Full: true, Source: SourceCall, Entries: []Entry{entry(1, decide.Ready),
		entry(2, decide.Ready), entry(3, decide.Draining)}}, now)
	v.SourceChanged(now)
	u := v.Withdraw(List{Version: 8, Entries: []Entry{entry(1, decide.Draining), entry(3, decide.Ready),
		entry(4, decide.Ready)}}, now)
	if len(u.Transitions) != 1 || u.Transitions[0].To != decide.Draining || !u.List.Full || len(u.List.Entries) != 3 {
		t.Errorf("%+v", u)
	}
	if v.Revision() != nil || v.state(1) != decide.Draining || v.state(2) != decide.Ready ||
		v.state(3) != decide.Draining || v.state(4) != decide.Removed {
		t.Errorf("revision %v, states %v %v %v %v", v.Revision(), v.state(1), v.state(2), v.state(3), v.state(4))
	}
}
