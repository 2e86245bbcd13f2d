package model

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/experiment"
)

// kampklipScenario returns a scenario with two nodes, six servers of four cores, and the Kampklip classes. load is
// the work offered, as a part of the servers' capacity.
func sunday(load float64, faults ...Fault) *Scenario {
	class := func(name string, share, worth float64, work, aim, patience time.Duration, e decide.Effect) Class {
		return Class{Class: decide.Class{Name: name, Worth: worth, Aim: aim, Deadline: patience, Effect: e, KeyScope: decide.ScopeCell, DedupWindow: 8 * time.Second},
			Share: share, Work: work, WorkCV: 0.5, Wait: 100 * time.Millisecond}
	}
	const ms = time.Millisecond
	sc := &Scenario{Length: 20 * time.Second, Nodes: 2, Hop: ms, Retries: 2, NodeCost: 30 * time.Microsecond, Faults: faults, Classes: []Class{
		class("broadcast-clip", 0.12, 12, 100*ms, 600*ms, 1200*ms, decide.Safe), class("viewer-clip", 0.40, 1, 70*ms, 600*ms, 2*time.Second, decide.Safe),
		class("cut-order", 0.24, 1, 200*ms, 2*time.Second, 6*time.Second, decide.Unsafe), class("tag-event", 0.24, 1, 150*ms, 1500*ms, 4*time.Second, decide.Keyed)}}
	mean := 0.0
	for _, c := range sc.Classes {
		mean += c.Share * c.Work.Seconds()
		sc.Settings.Classes = append(sc.Settings.Classes, c.Class)
	}
	for i := range 6 {
		sc.Servers = append(sc.Servers, ServerSpec{Name: fmt.Sprint("s-", i), Zone: "hall-a", Cell: i / 2, Cores: 4, Speed: 1, Room: 60, ColdFrom: 0.32, ColdTime: 8 * time.Second})
	}
	sc.Rate = load * 24 / mean
	sc.Settings.Zone, sc.Settings.Zones, sc.Settings.MaxAttempts, sc.Settings.MayCancel, sc.Settings.HoldOffs = "hall-a", []string{"hall-a"}, 4, true, true
	sc.Settings.MaxHoldOff, sc.Settings.ConnectTimeout, sc.Settings.ColdFrom, sc.Settings.ColdTime = 2*time.Second, 250*time.Millisecond, 0.32, 8*time.Second
	return sc
}

// Guards against runs that depend on more than the scenario and the seed, such as the order of goroutines, and
// against orders that end twice or never.
func TestSameSeedSameRun(t *testing.T) {
	sc := sunday(0.8, Fault{At: 5 * time.Second, For: 5 * time.Second, Server: 1, Kind: Mute}, Fault{At: 8 * time.Second, For: 3 * time.Second, Server: 2, Kind: Crash})
	first := Play(sc, 1)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := Play(sc, 1); again != first {
		t.Errorf("%+v, then %+v", first, again)
	}
	if Play(sc, 2) == first {
		t.Error("the seed has no effect")
	}
	if first.Served+first.Refused+first.Failed != first.Orders || first.Orders < 1000 {
		t.Errorf("%+v: want one end for every order, and 1000 orders at least", first)
	}
}

// Guards against a model that behaves unlike the real node: a light load must be served, an overload must keep
// most of the worth, and no unsafe order may run twice, whatever faults occur.
func TestModelBehaves(t *testing.T) {
	calm := Play(sunday(0.5), 3)
	if calm.Worth() < 0.98 || calm.Doubled > 0 {
		t.Errorf("light load: worth %.3f, %+v", calm.Worth(), calm)
	}
	over := Play(sunday(1.5), 3)
	if over.Worth() < 0.65 || over.Refused == 0 || over.Doubled > 0 {
		t.Errorf("overload: worth %.3f, %+v", over.Worth(), over)
	}
	var faults []Fault
	for i, kind := range []FaultKind{Mute, Crash, Slow, Crash} {
		faults = append(faults, Fault{At: time.Duration(4+3*i) * time.Second, For: 4 * time.Second, Server: i, Kind: kind})
	}
	rough := Play(sunday(0.6, faults...), 3)
	if rough.Worth() < 0.5 || rough.Worth() > calm.Worth() || rough.Doubled > 0 || rough.Failed == 0 {
		t.Errorf("faults: worth %.3f, %+v", rough.Worth(), rough)
	}
}

// Guards against scenario settings without an effect: servers that slow down under congestion must serve less of
// an overload, and clients that ignore hold-offs must try more often.
func TestCrowdsAndManners(t *testing.T) {
	random := func(change func(*Scenario)) Sums {
		sc := sunday(1.1)
		sc.Policy = Random()
		change(sc)
		return Play(sc, 4)
	}
	plain := random(func(*Scenario) {})
	crowded := random(func(sc *Scenario) {
		for i := range sc.Servers {
			sc.Servers[i].CrowdFrom, sc.Servers[i].CrowdSlow = 8, 1
		}
	})
	if crowded.Served >= plain.Served*9/10 || crowded.Orders != plain.Orders {
		t.Errorf("%d served of %d, %d with congestion", plain.Served, plain.Orders, crowded.Served)
	}
	over := sunday(1.5)
	calm := Play(over, 4)
	over.Heedless = 1
	if heedless := Play(over, 4); heedless.Tries <= calm.Tries || heedless.Orders != calm.Orders {
		t.Errorf("%d tries, %d by clients that ignore hold-offs", calm.Tries, heedless.Tries)
	}
}

// listRecorder is a decider that records list changes and does nothing else.
type listener struct {
	heard *[]string
}

func (l *listener) Handle(now decide.Time, e decide.Event) []decide.Action {
	if e, ok := e.(decide.ListUpdate); ok && e.Kind == decide.ListChanges {
		*l.heard = append(*l.heard, fmt.Sprint(now-epochTime, " ", e.Entries[0].ID, " ", e.Entries[0].State, " ", e.Entries[0].StartedAt-epochTime))
	}
	return nil
}

// Guards against nodes that learn of a crash or a restart at once: the registry must notify them after its delay.
func TestRegistryLag(t *testing.T) {
	sc := sunday(0.01, Fault{At: 5 * time.Second, For: 4 * time.Second, Server: 2, Kind: Crash})
	sc.Nodes, sc.Lag = 1, 3*time.Second
	var heard []string
	sc.Policy = Policy{make: func(*Fleet, decide.Settings, int64) Decider { return &listener{&heard} }}
	Play(sc, 1)
	want := []string{fmt.Sprint("8s 3 ", decide.Removed, " ", -time.Hour), fmt.Sprint("12s 3 ", decide.Ready, " 9s")}
	if !slices.Equal(heard, want) {
		t.Errorf("%q, want %q", heard, want)
	}
}

// Guards against a model tied to one decider: another one must fit in its place and get the same arrivals.
func TestAnotherDecider(t *testing.T) {
	sc, plain := sunday(1.2), sunday(1.2)
	plain.Policy = Random()
	ours, theirs := Play(sc, 5), Play(plain, 5)
	if ours.Orders != theirs.Orders || ours.Asked != theirs.Asked {
		t.Errorf("%d and %d orders: not the same arrivals", ours.Orders, theirs.Orders)
	}
	if ours.Worth() < theirs.Worth()+0.2 {
		t.Errorf("worth %.3f, random choice %.3f", ours.Worth(), theirs.Worth())
	}
}

func BenchmarkSunday(b *testing.B) {
	for b.Loop() {
		Play(sunday(0.8), 1)
	}
}

// Guards against comparisons that report a difference where there is none, or miss a small one: a version against
// itself must give an interval that covers zero, and servers that are 2% slower must show in twelve pairs.
func TestSlowdownIsSeen(t *testing.T) {
	measure := func(speed float64) func(uint64) float64 {
		return func(seed uint64) float64 {
			sc := sunday(1.2)
			for i := range sc.Servers {
				sc.Servers[i].Speed = speed
			}
			return Play(sc, seed).Worth()
		}
	}
	same, err := experiment.Compare(measure(1), measure(1), 1, 4, 0.95)
	if err != nil || same.Differs() || same.Mean != 0 {
		t.Errorf("a version against itself: %v, %v", same, err)
	}
	slower, err := experiment.Compare(measure(1), measure(0.98), 1, 12, 0.95)
	if err != nil || !slower.Differs() || slower.Mean >= 0 {
		t.Errorf("2%% slower: %v, %v", slower, err)
	}
	t.Log(slower)
}
