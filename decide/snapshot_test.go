package decide

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// trainedModule is a module with four servers after ten seconds of traffic with a latency of 100 ms. The last server has
// failed all its requests and is ejected.
func trained(t *testing.T) (*Module, Time) {
	t.Helper()
	m := New(snapshotSettings(), 1)
	now := Time(time.Hour)
	m.Handle(now, snapshotList())
	for i := range 2000 {
		now += 5 * time.Millisecond
		if i%5 == 0 {
			m.Handle(now, TimerFired{})
		}
		id := RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(now, RequestArrived{ID: id, Class: "read", Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				code := OK
				if s.Server == 4 {
					code = Reset
				}
				m.Handle(now, AttemptEnded{ID: id, Server: s.Server, Over: code == OK, Elapsed: 100 * time.Millisecond, Code: code})
			}
		}
	}
	m.accuse(m.known[4], "three failures")
	return m, now
}

func snapshotSettings() Settings {
	return Settings{Nodes: 1, MaxAttempts: 1, MayCancel: true, ConnectTimeout: time.Second, ColdFrom: 0.3, ColdTime: 5 * time.Second,
		Classes: []Class{{Name: "read", Worth: 1, Aim: 600 * time.Millisecond, Deadline: time.Second, Effect: Safe}}}
}

func snapshotList() ListUpdate {
	l := ListUpdate{Kind: ListFull, Version: 1}
	for id := range ServerID(4) {
		l.Entries = append(l.Entries, Server{ID: id + 1, Zone: "z", State: Ready, Size: 1})
	}
	return l
}

// A successor that restores the predecessor's snapshot has its thresholds and latencies, and its ejected servers. Of a
// server that has restarted in between nothing is restored.
func TestSnapshot(t *testing.T) {
	old, now := trained(t)
	raw, err := json.Marshal(old.Snapshot(now))
	if err != nil {
		t.Fatal(err)
	}
	var s Snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	m := New(snapshotSettings(), 2)
	fresh := New(snapshotSettings(), 2)
	later := now + 50*time.Millisecond
	list := snapshotList()
	list.Entries[0].StartedAt = later
	m.Handle(later, list)
	fresh.Handle(later, snapshotList())
	if err := m.Restore(later, s); err != nil {
		t.Fatal(err)
	}
	old.now = later
	for id := ServerID(2); id <= 4; id++ {
		a, b := old.known[id], m.known[id]
		if want, got := old.high(a), m.high(b); math.Abs(got-want) > 0.05*want || got <= fresh.high(fresh.known[id]) {
			t.Errorf("server %d: H %v, was %v, %v without a snapshot", id, got, want, fresh.high(fresh.known[id]))
		}
		if a.suspect != b.suspect || math.Abs(old.latencyOf(a)-m.latencyOf(b)) > 0.01 {
			t.Errorf("server %d: ejected %v, latency %v; was %v, %v", id, b.suspect, m.latencyOf(b), a.suspect, old.latencyOf(a))
		}
	}
	if !m.known[4].suspect {
		t.Error("the failing server is not ejected")
	}
	if v := m.known[1]; v.rate != 0 || !v.cold {
		t.Errorf("the server that has restarted: rate %v, cold %v", v.rate, v.cold)
	}
}

// A snapshot with an impossible value in any of its parts is rejected, and changes nothing.
func TestBadSnapshot(t *testing.T) {
	old, now := trained(t)
	for name, spoil := range map[string]func(*Snapshot){
		"another version":  func(s *Snapshot) { s.Version++ },
		"no number":        func(s *Snapshot) { s.Mean = math.NaN() },
		"infinite":         func(s *Snapshot) { s.Servers[1].Rate = math.Inf(1) },
		"negative":         func(s *Snapshot) { s.Servers[1].Room = -1 },
		"no such mode":     func(s *Snapshot) { s.Servers[1].Imposed = 7 },
		"blocked for ever": func(s *Snapshot) { s.Servers[1].ImposedUntil = -time.Hour },
		"costs nothing":    func(s *Snapshot) { s.Classes[0].Relative = 0 },
		"nothing learned":  func(s *Snapshot) { s.FleetRate = 0 },
	} {
		s := old.Snapshot(now)
		spoil(&s)
		m := New(snapshotSettings(), 2)
		m.Handle(now, snapshotList())
		if err := m.Restore(now, s); err == nil || m.learned || m.answers != 0 || m.known[2].rate != 0 {
			t.Errorf("%s: %v, restored: %v", name, err, m.learned)
		}
	}
}

// Guards against a late first list request of a process that takes over from another one, in a fleet of any size. What
// discovery announces counts for it from 2 s after it begins to serve. When its first request was spread over the time in
// which those of a whole fleet are spread, it came up to 3.9 s after the start.
func TestSuccessorAsksSoon(t *testing.T) {
	t.Parallel()
	for seed := range int64(50) {
		f := newAskingFleet(300, 10*time.Second, seed)
		f.now, f.changeAt = time.Second, time.Hour
		f.start(0)
		m := f.nodes[0].module
		if err := m.Restore(f.now, m.Snapshot(f.now)); err != nil {
			t.Fatal(err)
		}
		began := f.now
		for asked := false; !asked; {
			f.now += tickEvery
			for _, a := range m.Handle(f.now, TimerFired{}) {
				_, asks := a.(Subscribe)
				asked = asked || asks
			}
		}
		if took := f.now - began; took > succeedAsk+tickEvery {
			t.Fatalf("seed %d: first list request after %v, %v at most", seed, took, succeedAsk)
		}
	}
}
