package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Fleets of many nodes with little traffic each. Each test here guards against an effect that only many nodes together
// have.

// lowTrafficSettings are those of one of so many nodes, which send one another no messages and make no probes.
func lowTrafficSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, ColdFrom: 0.2,
		ColdTime: 20 * time.Second, OverloadFactor: 3, OverloadTime: 2 * time.Second,
		Classes: []Class{
			{Name: "expensive", Worth: 8, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe},
			{Name: "cheap", Worth: 1, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe}}}
}

// cachedServerList is a list of so many servers, as a node has it from before its start.
func cachedServerList(servers int) ListUpdate {
	list := ListUpdate{Kind: ListCached}
	for i := range servers {
		list.Entries = append(list.Entries, Server{ID: ServerID(i + 1)})
	}
	return list
}

// runTraffic simulates some seconds of traffic at one node, four requests per second, each answered after the given
// latency and with the given report. It returns how many requests of each class were sent to a server, and the time at
// the end.
func runTraffic(module *Module, from Time, seconds int, latency time.Duration, report *Report) (map[string]int, Time) {
	sent, id := map[string]int{}, 0
	now := from
	type due struct {
		at Time
		e  AttemptEnded
	}
	var outcomes []due
	for step := range seconds * 40 {
		now = from + time.Duration(step)*25*time.Millisecond
		module.Handle(now, TimerFired{})
		for len(outcomes) > 0 && outcomes[0].at <= now {
			module.Handle(now, outcomes[0].e)
			outcomes = outcomes[1:]
		}
		if step%10 != 0 {
			continue
		}
		id++
		class := []string{"expensive", "cheap"}[id%2]
		for _, a := range module.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, id)), Class: class,
			Patience: 2 * time.Second}) {
			if send, ok := a.(Send); ok {
				sent[class]++
				outcomes = append(outcomes, due{now + latency, AttemptEnded{ID: send.ID, Server: send.Server,
					RequestDone: true, Elapsed: latency, Report: report}})
			}
		}
	}
	return sent, now
}

// A node with few requests uses few servers, and all nodes together use all servers about equally often. Otherwise the
// servers' connection tables fill, or some servers are overloaded.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 600, 180
	use := map[ServerID]int{}
	for self := range nodes {
		s := lowTrafficSettings(nodes)
		s.Self = self
		m := New(s, int64(self))
		m.Handle(time.Hour, cachedServerList(servers))
		runTraffic(m, time.Hour, 3, 100*time.Millisecond, nil)
		if len(m.subset) < 8 || len(m.subset) > 16 {
			t.Fatalf("node %d uses %d of %d servers", self, len(m.subset), servers)
		}
		for _, s := range m.subset {
			use[s.ID]++
		}
	}
	for id := ServerID(1); id <= servers; id++ {
		if mean := nodes * 8 / servers; use[id] < mean*3/4 || use[id] > mean*5/3 {
			t.Errorf("server %d is used by %d nodes, %d on average", id, use[id], mean)
		}
	}
}

// A node with many requests uses every server.
func TestBusyNodeUsesAll(t *testing.T) {
	m := New(lowTrafficSettings(2), 1)
	m.Handle(time.Hour, cachedServerList(20))
	for i := range 400 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "expensive", Patience: time.Second})
		m.Handle(now, TimerFired{})
	}
	if len(m.subset) != 20 {
		t.Errorf("%d of 20 servers in use at 100 requests a second", len(m.subset))
	}
}

// A node of a large fleet, whose own count of requests in flight at a server is nearly always 0, sheds by delay. In
// light load nothing is shed; in an overload the class of low worth is, and in a heavier one also part of the class of
// high worth. What the node has learned of the overload lapses, so that it does not refuse requests for ever.
func TestLowTrafficNodeShedsByDelayAndRecovers(t *testing.T) {
	module := New(lowTrafficSettings(600), 3)
	module.Handle(time.Hour, cachedServerList(180))
	light, now := runTraffic(module, time.Hour, 20, 60*time.Millisecond, nil)
	if light["expensive"] < 39 || light["cheap"] < 39 {
		t.Errorf("light load: %v sent of 40 each", light)
	}
	overloaded, now := runTraffic(module, now, 10, 240*time.Millisecond, nil)
	if overloaded["cheap"] > 15 || overloaded["expensive"] < 6 || module.q2 == 0 {
		t.Errorf("overload: %v sent of 20 each, q2 %v", overloaded, module.q2)
	}
	saturated, now := runTraffic(module, now, 10, 700*time.Millisecond, nil)
	if saturated["cheap"] > 10 || saturated["expensive"] > 15 || module.q1 == 0 {
		t.Errorf("heavier overload: %v sent of 20 each, q1 %v", saturated, module.q1)
	}
	_, now = runTraffic(module, now, 15, 60*time.Millisecond, nil)
	if after, _ := runTraffic(module, now, 10, 60*time.Millisecond, nil); after["cheap"] < 18 || after["expensive"] < 18 {
		t.Errorf("light load again: %v sent of 20 each", after)
	}
}

// A server's report counts all nodes' requests. It can put the server into any of the three modes at a node that has no
// requests in flight there.
func TestLowTrafficNodeTakesModesFromReports(t *testing.T) {
	for _, c := range []struct {
		inFlight float64
		want     Mode
	}{{0, Normal}, {3, Overloaded}, {30, Blocking}} {
		m := New(lowTrafficSettings(600), 3)
		m.Handle(time.Hour, cachedServerList(8))
		_, now := runTraffic(m, time.Hour, 10, 60*time.Millisecond, nil)
		m.now = now
		s := m.subset[0]
		m.applyReport(s, &Report{InFlight: c.inFlight, HasInFlight: true})
		if got := m.modeOf(s); got != c.want {
			t.Errorf("a report of %v requests makes mode %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// A server is ejected after three failed connects in a row, as after other failures. Two may just mean that its
// connection table is full.
func TestFailedConnectsCountAsConsecutiveFailures(t *testing.T) {
	m := New(lowTrafficSettings(600), 1)
	m.Handle(time.Hour, cachedServerList(1))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		now := time.Hour + time.Duration(i)*time.Second
		m.Handle(now, RequestArrived{ID: id, Class: "expensive", Patience: time.Second})
		m.Handle(now+100*time.Millisecond, AttemptEnded{ID: id, Server: 1, Code: ConnectFailed,
			Elapsed: 100 * time.Millisecond})
		if got, want := m.subset[0].ejected, i == 2; got != want {
			t.Errorf("after %d failed connects: ejected %v", i+1, got)
		}
	}
}

// Reports with impossible numbers change little, and not for long.
func TestAbsurdReportsAreBounded(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5, 1e300} {
		m := New(lowTrafficSettings(600), 3)
		m.Handle(time.Hour, cachedServerList(8))
		_, now := runTraffic(m, time.Hour, 5, 60*time.Millisecond, &Report{InFlight: v, HasInFlight: true})
		_, now = runTraffic(m, now, 30, 60*time.Millisecond, nil)
		if sent, _ := runTraffic(m, now, 10, 60*time.Millisecond, nil); sent["expensive"]+sent["cheap"] < 36 {
			t.Errorf("35 s after reports of %v: %v sent of 20 each", v, sent)
		}
	}
}
