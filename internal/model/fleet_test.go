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
func kampklipScenario(load float64, faults ...Fault) *Scenario {
	class := func(name string, share, worth float64, work, aim, patience time.Duration, e decide.Effect) Class {
		return Class{Class: decide.Class{Name: name, Worth: worth, Aim: aim, Deadline: patience, Effect: e,
			KeyScope: decide.ScopeCell, DedupWindow: 8 * time.Second},
			Share: share, Work: work, WorkCV: 0.5, Wait: 100 * time.Millisecond}
	}
	const ms = time.Millisecond
	sc := &Scenario{Length: 20 * time.Second, Nodes: 2, Hop: ms, Retries: 2, NodeCost: 30 * time.Microsecond,
		Faults: faults, Classes: []Class{
			class("broadcast-clip", 0.12, 12, 100*ms, 600*ms, 1200*ms, decide.Safe),
			class("viewer-clip", 0.40, 1, 70*ms, 600*ms, 2*time.Second, decide.Safe),
			class("cut-order", 0.24, 1, 200*ms, 2*time.Second, 6*time.Second, decide.Unsafe),
			class("tag-event", 0.24, 1, 150*ms, 1500*ms, 4*time.Second, decide.Keyed)}}
	mean := 0.0
	for _, c := range sc.Classes {
		mean += c.Share * c.Work.Seconds()
		sc.Settings.Classes = append(sc.Settings.Classes, c.Class)
	}
	for i := range 6 {
		sc.Servers = append(sc.Servers, ServerSpec{Name: fmt.Sprint("s-", i), Zone: "hall-a", Cell: i / 2, Cores: 4,
			Speed: 1, MaxRequests: 60, ColdFrom: 0.32, ColdTime: 8 * time.Second})
	}
	sc.Rate = load * 24 / mean
	sc.Settings.Zone, sc.Settings.Zones, sc.Settings.MaxAttempts, sc.Settings.MayCancel,
		sc.Settings.HoldOffs = "hall-a", []string{"hall-a"}, 4, true, true
	sc.Settings.MaxHoldOff, sc.Settings.ConnectTimeout, sc.Settings.ColdFrom, sc.Settings.ColdTime = 2*time.Second,
		250*time.Millisecond, 0.32, 8*time.Second
	return sc
}

// Guards against runs that depend on more than the scenario and the seed, such as the order of goroutines, and
// against orders that end twice or never.
func TestSameSeedSameRun(t *testing.T) {
	sc := kampklipScenario(0.8, Fault{At: 5 * time.Second, For: 5 * time.Second, Server: 1, Kind: Unresponsive},
		Fault{At: 8 * time.Second, For: 3 * time.Second, Server: 2, Kind: Crash})
	first := Simulate(sc, 1)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := Simulate(sc, 1); again != first {
		t.Errorf("%+v, then %+v", first, again)
	}
	if Simulate(sc, 2) == first {
		t.Error("the seed has no effect")
	}
	if first.Served+first.Refused+first.Failed != first.Orders || first.Orders < 1000 {
		t.Errorf("%+v: want one end for every order, and 1000 orders at least", first)
	}
}

// Guards against a model that behaves unlike the real node: a light load must be served, an overload must keep
// most of the worth, and no unsafe order may run twice, whatever faults occur.
func TestModelBehaves(t *testing.T) {
	light := Simulate(kampklipScenario(0.5), 3)
	if light.WorthFraction() < 0.98 || light.DuplicateRuns > 0 {
		t.Errorf("light load: worth %.3f, %+v", light.WorthFraction(), light)
	}
	over := Simulate(kampklipScenario(1.5), 3)
	if over.WorthFraction() < 0.65 || over.Refused == 0 || over.DuplicateRuns > 0 {
		t.Errorf("overload: worth %.3f, %+v", over.WorthFraction(), over)
	}
	var faults []Fault
	for i, kind := range []FaultKind{Unresponsive, Crash, Slow, Crash} {
		faults = append(faults, Fault{At: time.Duration(4+3*i) * time.Second, For: 4 * time.Second, Server: i,
			Kind: kind})
	}
	faulty := Simulate(kampklipScenario(0.6, faults...), 3)
	if faulty.WorthFraction() < 0.5 || faulty.WorthFraction() > light.WorthFraction() || faulty.DuplicateRuns > 0 ||
		faulty.Failed == 0 {
		t.Errorf("faults: worth %.3f, %+v", faulty.WorthFraction(), faulty)
	}
}

// Guards against scenario settings without an effect: servers that slow down under congestion must serve less of
// an overload, and clients that ignore hold-offs must try more often.
func TestCongestionAndIgnoredHoldOffs(t *testing.T) {
	random := func(change func(*Scenario)) Sums {
		sc := kampklipScenario(1.1)
		sc.Policy = Random()
		change(sc)
		return Simulate(sc, 4)
	}
	plain := random(func(*Scenario) {})
	congested := random(func(sc *Scenario) {
		for i := range sc.Servers {
			sc.Servers[i].CongestedFrom, sc.Servers[i].CongestionSlowdown = 8, 1
		}
	})
	if congested.Served >= plain.Served*9/10 || congested.Orders != plain.Orders {
		t.Errorf("%d served of %d, %d with congestion", plain.Served, plain.Orders, congested.Served)
	}
	over := kampklipScenario(1.5)
	heeding := Simulate(over, 4)
	over.IgnoresHoldOff = 1
	if ignoring := Simulate(over, 4); ignoring.Tries <= heeding.Tries || ignoring.Orders != heeding.Orders {
		t.Errorf("%d tries, %d by clients that ignore hold-offs", heeding.Tries, ignoring.Tries)
	}
}

// listRecorder is a decider that records list changes and does nothing else.
type listRecorder struct {
	received *[]string
}

func (l *listRecorder) Handle(now decide.Time, e decide.Event) []decide.Action {
	if e, ok := e.(decide.ListUpdate); ok && e.Kind == decide.ListChanges {
		*l.received = append(*l.received, fmt.Sprint(now-startOfRun, " ", e.Entries[0].ID, " ", e.Entries[0].State,
			" ", e.Entries[0].StartedAt-startOfRun))
	}
	return nil
}

// Guards against nodes that learn of a crash or a restart at once: the registry must notify them after its delay.
func TestRegistryLag(t *testing.T) {
	scenario := kampklipScenario(0.01, Fault{At: 5 * time.Second, For: 4 * time.Second, Server: 2, Kind: Crash})
	scenario.Nodes, scenario.RegistryLag = 1, 3*time.Second
	var received []string
	scenario.Policy = Policy{newDecider: func(*Fleet, decide.Settings, int64) Decider {
		return &listRecorder{&received}
	}}
	Simulate(scenario, 1)
	want := []string{fmt.Sprint("8s 3 ", decide.Removed, " ", -time.Hour), fmt.Sprint("12s 3 ", decide.Ready, " 9s")}
	if !slices.Equal(received, want) {
		t.Errorf("%q, want %q", received, want)
	}
}

// Guards against a model tied to one decider: another one must fit in its place and get the same arrivals.
func TestAnotherDecider(t *testing.T) {
	sc, randomScenario := kampklipScenario(1.2), kampklipScenario(1.2)
	randomScenario.Policy = Random()
	module, random := Simulate(sc, 5), Simulate(randomScenario, 5)
	if module.Orders != random.Orders || module.OfferedWorth != random.OfferedWorth {
		t.Errorf("%d and %d orders: not the same arrivals", module.Orders, random.Orders)
	}
	if module.WorthFraction() < random.WorthFraction()+0.2 {
		t.Errorf("worth %.3f, random choice %.3f", module.WorthFraction(), random.WorthFraction())
	}
}

func BenchmarkKampklip(b *testing.B) {
	for b.Loop() {
		Simulate(kampklipScenario(0.8), 1)
	}
}

// Guards against comparisons that report a difference where there is none, or miss a small one: a version against
// itself must give an interval that covers zero, and servers that are 2% slower must show in twelve pairs.
func TestSlowdownIsDetected(t *testing.T) {
	measure := func(speed float64) func(uint64) float64 {
		return func(seed uint64) float64 {
			sc := kampklipScenario(1.2)
			for i := range sc.Servers {
				sc.Servers[i].Speed = speed
			}
			return Simulate(sc, seed).WorthFraction()
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
