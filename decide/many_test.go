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
func sparseSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, ColdFrom: 0.2,
		ColdTime: 20 * time.Second, OverloadFactor: 3, OverloadTime: 2 * time.Second,
		Classes: []Class{
			{Name: "dear", Worth: 8, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe},
			{Name: "cheap", Worth: 1, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe}}}
}

// cachedServerList is a list of so many servers, as a node has it from before its start.
func sparseList(servers int) ListUpdate {
	l := ListUpdate{Kind: ListCached}
	for i := range servers {
		l.Entries = append(l.Entries, Server{ID: ServerID(i + 1)})
	}
	return l
}

// runTraffic simulates some seconds of traffic at one node, four requests per second, each answered after the given latency
// and with the given report. It returns how many requests of each class were sent to a server, and the time at the end.
func drive(m *Module, from Time, seconds int, took time.Duration, report *Report) (map[string]int, Time) {
	sent, id := map[string]int{}, 0
	now := from
	type due struct {
		at Time
		e  AttemptEnded
	}
	var out []due
	for step := range seconds * 40 {
		now = from + time.Duration(step)*25*time.Millisecond
		m.Handle(now, TimerFired{})
		for len(out) > 0 && out[0].at <= now {
			m.Handle(now, out[0].e)
			out = out[1:]
		}
		if step%10 != 0 {
			continue
		}
		id++
		class := []string{"dear", "cheap"}[id%2]
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, id)), Class: class, Patience: 2 * time.Second}) {
			if s, ok := a.(Send); ok {
				sent[class]++
				out = append(out, due{now + took, AttemptEnded{ID: s.ID, Server: s.Server, Over: true, Elapsed: took, Report: report}})
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
		s := sparseSettings(nodes)
		s.Self = self
		m := New(s, int64(self))
		m.Handle(time.Hour, sparseList(servers))
		drive(m, time.Hour, 3, 100*time.Millisecond, nil)
		if len(m.near) < 8 || len(m.near) > 16 {
			t.Fatalf("node %d uses %d of %d servers", self, len(m.near), servers)
		}
		for _, s := range m.near {
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
	m := New(sparseSettings(2), 1)
	m.Handle(time.Hour, sparseList(20))
	for i := range 400 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "dear", Patience: time.Second})
		m.Handle(now, TimerFired{})
	}
	if len(m.near) != 20 {
		t.Errorf("%d of 20 servers in use at 100 requests a second", len(m.near))
	}
}

// A node of a large fleet, whose own count of requests in flight at a server is nearly always 0, sheds by delay. In light
// load nothing is shed; in an overload the class of low worth is, and in a heavier one also part of the class of high
// worth. What the node has learned of the overload lapses, so that it does not refuse requests for ever.
func TestSparseNodeShedsByDelayAndRecovers(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(180))
	quiet, now := drive(m, time.Hour, 20, 60*time.Millisecond, nil)
	if quiet["dear"] < 39 || quiet["cheap"] < 39 {
		t.Errorf("light load: %v sent of 40 each", quiet)
	}
	crowded, now := drive(m, now, 10, 240*time.Millisecond, nil)
	if crowded["cheap"] > 15 || crowded["dear"] < 6 || m.q2 == 0 {
		t.Errorf("overload: %v sent of 20 each, q2 %v", crowded, m.q2)
	}
	jammed, now := drive(m, now, 10, 700*time.Millisecond, nil)
	if jammed["cheap"] > 10 || jammed["dear"] > 15 || m.q1 == 0 {
		t.Errorf("heavier overload: %v sent of 20 each, q1 %v", jammed, m.q1)
	}
	_, now = drive(m, now, 15, 60*time.Millisecond, nil)
	if after, _ := drive(m, now, 10, 60*time.Millisecond, nil); after["cheap"] < 18 || after["dear"] < 18 {
		t.Errorf("light load again: %v sent of 20 each", after)
	}
}

// A server's report counts all nodes' requests. It can put the server into any of the three modes at a node that has no
// requests in flight there.
func TestSparseNodeTakesModesFromReports(t *testing.T) {
	for _, c := range []struct {
		inFlight float64
		want     Mode
	}{{0, Normal}, {3, Overloaded}, {30, Blocking}} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, sparseList(8))
		_, now := drive(m, time.Hour, 10, 60*time.Millisecond, nil)
		m.now = now
		s := m.near[0]
		m.reported(s, &Report{InFlight: c.inFlight, HasInFlight: true})
		if got := m.modeOf(s); got != c.want {
			t.Errorf("a report of %v requests makes mode %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// A server is ejected after three failed connects in a row, as after other failures. Two may just mean that its connection
// table is full.
func TestFailedConnectsAreStrikesLikeOthers(t *testing.T) {
	m := New(sparseSettings(600), 1)
	m.Handle(time.Hour, sparseList(1))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		now := time.Hour + time.Duration(i)*time.Second
		m.Handle(now, RequestArrived{ID: id, Class: "dear", Patience: time.Second})
		m.Handle(now+100*time.Millisecond, AttemptEnded{ID: id, Server: 1, Code: ConnectFailed, Elapsed: 100 * time.Millisecond})
		if got, want := m.near[0].suspect, i == 2; got != want {
			t.Errorf("after %d failed connects: ejected %v", i+1, got)
		}
	}
}

// Reports with impossible numbers change little, and not for long.
func TestAbsurdReportsAreBounded(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5, 1e300} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, sparseList(8))
		_, now := drive(m, time.Hour, 5, 60*time.Millisecond, &Report{InFlight: v, HasInFlight: true})
		_, now = drive(m, now, 30, 60*time.Millisecond, nil)
		if sent, _ := drive(m, now, 10, 60*time.Millisecond, nil); sent["dear"]+sent["cheap"] < 36 {
			t.Errorf("35 s after reports of %v: %v sent of 20 each", v, sent)
		}
	}
}
