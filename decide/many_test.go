package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Many nodes that see little: each test here guards against what only many nodes do together.

func sparseSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, ColdFrom: 0.2,
		ColdTime: 20 * time.Second, OverloadFactor: 3, OverloadTime: 2 * time.Second,
		Classes: []Class{
			{Name: "dear", Worth: 8, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe},
			{Name: "cheap", Worth: 1, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Effect: Safe}}}
}

func sparseList(servers int) ListUpdate {
	l := ListUpdate{Kind: ListCached}
	for i := range servers {
		l.Entries = append(l.Entries, Server{ID: ServerID(i + 1)})
	}
	return l
}

// drive plays seconds of traffic at one node, four requests a second, each answered after took. It returns how many of
// each class were sent and the last time.
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

// A node with few requests keeps to few servers, and all nodes together use all servers alike: else connection tables
// fill, or some servers are crowded.
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

// A busy node uses every server.
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

// In a quiet many-node fleet nothing is shed; in a crowded one the cheap class is, then part of the dear one, although
// this node's own count is nearly always 0; and what it knows lapses, so that it does not refuse for ever.
func TestSparseNodeShedsByDelayAndRecovers(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(180))
	quiet, now := drive(m, time.Hour, 20, 60*time.Millisecond, nil)
	if quiet["dear"] < 39 || quiet["cheap"] < 39 {
		t.Errorf("quiet: %v sent of 40 each", quiet)
	}
	crowded, now := drive(m, now, 10, 240*time.Millisecond, nil)
	if crowded["cheap"] > 15 || crowded["dear"] < 6 || m.q2 == 0 {
		t.Errorf("crowded: %v sent of 20 each, q2 %v", crowded, m.q2)
	}
	jammed, now := drive(m, now, 10, 700*time.Millisecond, nil)
	if jammed["cheap"] > 10 || jammed["dear"] > 15 || m.q1 == 0 {
		t.Errorf("jammed: %v sent of 20 each, q1 %v", jammed, m.q1)
	}
	_, now = drive(m, now, 15, 60*time.Millisecond, nil)
	if after, _ := drive(m, now, 10, 60*time.Millisecond, nil); after["cheap"] < 18 || after["dear"] < 18 {
		t.Errorf("calm again: %v sent of 20 each", after)
	}
}

// What servers report counts all nodes' requests, and brings all three modes about at a node that has none there.
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

// Two failed connects are no dead process: the connection table may be full. Three in a row make a suspect.
func TestFailedConnectsAreStrikesLikeOthers(t *testing.T) {
	m := New(sparseSettings(600), 1)
	m.Handle(time.Hour, sparseList(1))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		now := time.Hour + time.Duration(i)*time.Second
		m.Handle(now, RequestArrived{ID: id, Class: "dear", Patience: time.Second})
		m.Handle(now+100*time.Millisecond, AttemptEnded{ID: id, Server: 1, Code: ConnectFailed, Elapsed: 100 * time.Millisecond})
		if got, want := m.near[0].suspect, i == 2; got != want {
			t.Errorf("after %d failed connects: suspect %v", i+1, got)
		}
	}
}

// Absurd reports change little, and not for long.
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
