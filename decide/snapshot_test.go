package decide

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// trainedModule is a module with four servers after ten seconds of traffic with a latency of 100 ms. The last server
// has failed all its requests and is ejected.
func trainedModule(t *testing.T) (*Module, Time) {
	t.Helper()
	module := New(snapshotSettings(), 1)
	now := Time(time.Hour)
	module.Handle(now, snapshotList())
	for i := range 2000 {
		now += 5 * time.Millisecond
		if i%5 == 0 {
			module.Handle(now, TimerFired{})
		}
		id := RequestID(fmt.Sprint(i))
		for _, a := range module.Handle(now, RequestArrived{ID: id, Class: "read", Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				code := OK
				if s.Server == 4 {
					code = Reset
				}
				module.Handle(now, AttemptEnded{ID: id, Server: s.Server, RequestDone: code == OK,
					Elapsed: 100 * time.Millisecond, Code: code})
			}
		}
	}
	module.eject(module.known[4], "three failures")
	return module, now
}

func snapshotSettings() Settings {
	return Settings{Nodes: 1, MaxAttempts: 1, MayCancel: true, ConnectTimeout: time.Second, ColdFrom: 0.3,
		ColdTime: 5 * time.Second,
		Classes:  []Class{{Name: "read", Worth: 1, Aim: 600 * time.Millisecond, Deadline: time.Second, Effect: Safe}}}
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
	predecessor, now := trainedModule(t)
	raw, err := json.Marshal(predecessor.Snapshot(now))
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		t.Fatal(err)
	}
	successor := New(snapshotSettings(), 2)
	fresh := New(snapshotSettings(), 2)
	later := now + 50*time.Millisecond
	list := snapshotList()
	list.Entries[0].StartedAt = later
	successor.Handle(later, list)
	fresh.Handle(later, snapshotList())
	if err := successor.Restore(later, snapshot); err != nil {
		t.Fatal(err)
	}
	predecessor.now = later
	for id := ServerID(2); id <= 4; id++ {
		oldServer, newServer := predecessor.known[id], successor.known[id]
		if want, got := predecessor.highThreshold(oldServer),
			successor.highThreshold(newServer); math.Abs(got-want) > 0.05*want ||
			got <= fresh.highThreshold(fresh.known[id]) {
			t.Errorf("server %d: H %v, was %v, %v without a snapshot", id, got, want,
				fresh.highThreshold(fresh.known[id]))
		}
		if oldServer.ejected != newServer.ejected ||
			math.Abs(predecessor.latencyOf(oldServer)-successor.latencyOf(newServer)) > 0.01 {
			t.Errorf("server %d: ejected %v, latency %v; was %v, %v", id, newServer.ejected,
				successor.latencyOf(newServer), oldServer.ejected, predecessor.latencyOf(oldServer))
		}
	}
	if !successor.known[4].ejected {
		t.Error("the failing server is not ejected")
	}
	if v := successor.known[1]; v.rate != 0 || !v.cold {
		t.Errorf("the server that has restarted: rate %v, cold %v", v.rate, v.cold)
	}
}

// A snapshot with an impossible value in any of its parts is rejected, and changes nothing.
func TestBadSnapshot(t *testing.T) {
	predecessor, now := trainedModule(t)
	for name, corrupt := range map[string]func(*Snapshot){
		"another version":  func(snapshot *Snapshot) { snapshot.Version++ },
		"no number":        func(snapshot *Snapshot) { snapshot.Mean = math.NaN() },
		"infinite":         func(snapshot *Snapshot) { snapshot.Servers[1].Rate = math.Inf(1) },
		"negative":         func(snapshot *Snapshot) { snapshot.Servers[1].Room = -1 },
		"no such mode":     func(snapshot *Snapshot) { snapshot.Servers[1].Imposed = 7 },
		"blocked for ever": func(snapshot *Snapshot) { snapshot.Servers[1].ImposedUntil = -time.Hour },
		"costs nothing":    func(snapshot *Snapshot) { snapshot.Classes[0].Relative = 0 },
		"nothing learned":  func(snapshot *Snapshot) { snapshot.FleetRate = 0 },
	} {
		snapshot := predecessor.Snapshot(now)
		corrupt(&snapshot)
		module := New(snapshotSettings(), 2)
		module.Handle(now, snapshotList())
		if err := module.Restore(now, snapshot); err == nil || module.learned || module.answers != 0 ||
			module.known[2].rate != 0 {
			t.Errorf("%s: %v, restored: %v", name, err, module.learned)
		}
	}
}

// Guards against a late first list request of a process that takes over from another one, in a fleet of any size. What
// discovery announces counts for it from 2 s after it begins to serve. When its first request was spread over the time
// in which those of a whole fleet are spread, it came up to 3.9 s after the start.
func TestSuccessorRequestsTheListSoon(t *testing.T) {
	t.Parallel()
	for seed := range int64(50) {
		fleet := newSubscribingFleet(300, 10*time.Second, seed)
		fleet.now, fleet.changeAt = time.Second, time.Hour
		fleet.start(0)
		module := fleet.nodes[0].module
		if err := module.Restore(fleet.now, module.Snapshot(fleet.now)); err != nil {
			t.Fatal(err)
		}
		startedAt := fleet.now
		for requested := false; !requested; {
			fleet.now += tickInterval
			for _, a := range module.Handle(fleet.now, TimerFired{}) {
				_, subscribes := a.(Subscribe)
				requested = requested || subscribes
			}
		}
		if took := fleet.now - startedAt; took > successorSpread+tickInterval {
			t.Fatalf("seed %d: first list request after %v, %v at most", seed, took, successorSpread)
		}
	}
}
