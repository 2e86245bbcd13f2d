package vitals

import (
	"strings"
	"testing"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
)

// newSoakingState returns a fleet of two zones, nodes a1, a2 and b1, whose first wave, a1, has been soaking since
// 1000 ms.
func newSoakingState() *fleetpb.State {
	s := &fleetpb.State{NowMs: 5000, Nodes: map[string]*fleetpb.Node{}, Units: map[string]*fleetpb.Unit{},
		Release: &fleetpb.Release{State: fleet.Running, SoakMs: 1000, Plan: &fleetpb.Plan{Name: "r", Version: "new", Before: "old", Health: true, LimitMs: 60_000, Waves: []*fleetpb.Wave{{Nodes: []string{"a1"}}}}}}
	for i, n := range []string{"a1", "a2", "b1"} {
		version := "old"
		if n == "a1" {
			version = "new"
		}
		s.Nodes[n] = &fleetpb.Node{Name: n, Zone: n[:1], Epoch: uint64(10 + i), State: fleet.Live}
		s.Units[n] = &fleetpb.Unit{Version: version, State: fleet.UnitReady}
	}
	return s
}

func newReport(served, failed uint64, edit func(*fleetpb.OpenSession)) *fleetpb.OpenSession {
	o := &fleetpb.OpenSession{Soak: 1000, Resident: 20 << 20, Ends: []*fleetpb.Ends{{Class: "c", Served: served, Failed: failed}}}
	took := make([]uint64, health.Buckets)
	took[20], took[22] = served/2, served-served/2
	SetTrimmedLatencies(o.Ends[0], took)
	if edit != nil {
		edit(o)
	}
	return o
}

// Guards against a new leader that can't judge by the nodes' first reports, and against verdicts that use reports of
// another soak or session, or nodes of other zones where the wave's own zone has nodes to compare with.
func TestJudge(t *testing.T) {
	plain := func(*fleetpb.State) {}
	for name, c := range map[string]struct {
		a1, a2, b1 *fleetpb.OpenSession
		session    uint64 // of a1's report
		edit       func(*fleetpb.State)
		want, why  string
	}{
		"well":                     {newReport(2000, 0, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, plain, fleet.HealthWell, ""},
		"fails":                    {newReport(2000, 100, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, plain, fleet.HealthWorse, "c: 100 of 2100 failed, 0 of 2000"},
		"so does its zone":         {newReport(2000, 200, nil), newReport(2000, 200, nil), newReport(200000, 0, nil), 10, plain, fleet.HealthWell, ""},
		"another zone does so":     {newReport(2000, 200, nil), newReport(2000, 0, nil), newReport(2000, 200, nil), 10, plain, fleet.HealthWorse, "0 of 2000"},
		"of an earlier soak":       {newReport(2000, 100, func(o *fleetpb.OpenSession) { o.Soak = 500 }), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, plain, "", ""},
		"of an earlier session":    {newReport(2000, 100, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 9, plain, "", ""},
		"too little":               {newReport(50, 0, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, plain, "", ""},
		"too little for long":      {newReport(50, 0, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, func(s *fleetpb.State) { s.NowMs = 60_000 }, fleet.HealthUnknown, "0 of 50"},
		"slower":                   {newReport(2000, 0, func(o *fleetpb.OpenSession) { o.Ends[0].TookFrom += 2 }), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, plain, fleet.HealthWorse, "1.19 times as long"},
		"memory":                   {newReport(2000, 0, func(o *fleetpb.OpenSession) { o.Resident = 90 << 20 }), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, plain, fleet.HealthWorse, "90 MB of memory, 20 MB"},
		"not warm":                 {newReport(2000, 100, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, func(s *fleetpb.State) { s.NowMs = 3999 }, "", ""},
		"paused":                   {newReport(2000, 100, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, func(s *fleetpb.State) { s.Release.State = fleet.Paused }, "", ""},
		"found well, worse since":  {newReport(2000, 100, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, func(s *fleetpb.State) { s.Release.Health = fleet.HealthWell }, fleet.HealthWorse, "failed"},
		"found well, and so still": {newReport(2000, 0, nil), newReport(2000, 0, nil), newReport(2000, 0, nil), 10, func(s *fleetpb.State) { s.Release.Health = fleet.HealthWell }, "", ""},
	} {
		s, v := newSoakingState(), &Vitals{}
		c.edit(s)
		v.SetReport("a1", c.session, c.a1)
		v.SetReport("a2", 11, c.a2)
		v.SetReport("b1", 12, c.b1)
		j := v.Judge(s)
		if j.GetHealth() != c.want || !strings.Contains(j.GetWhy(), c.why) {
			t.Errorf("%s: %v; want %q, %q", name, j, c.want, c.why)
		}
		if v.Remove("a1"); j != nil && c.want != fleet.HealthUnknown && v.Judge(s) != nil {
			t.Errorf("%s: a removed node is judged", name)
		}
	}
}

// Guards against wrong differences of counts, latency counts that a message changes, and a message with buckets that
// don't exist.
func TestReports(t *testing.T) {
	took := make([]uint64, health.Buckets)
	took[3], took[7] = 5, 6
	e := &fleetpb.Ends{}
	SetTrimmedLatencies(e, took)
	if e.TookFrom != 3 || len(e.Took) != 5 {
		t.Errorf("%v", e)
	}
	if got := expandLatencies(e); got[3] != 5 || got[7] != 6 || len(got) != health.Buckets {
		t.Errorf("%v", got)
	}
	if e.TookFrom = health.Buckets - 4; expandLatencies(e) != nil {
		t.Error("a message with too many buckets was accepted")
	}
	now := map[string]health.ClassCounts{"c": {Served: 9, Failed: 2, Latencies: took}, "d": {Refused: 4}}
	d := Subtract(now, map[string]health.ClassCounts{"c": {Served: 4, Failed: 1, Latencies: append([]uint64{0, 0, 0, 2}, make([]uint64, health.Buckets-4)...)}})
	if c := d["c"]; c.Served != 5 || c.Failed != 1 || c.Latencies[3] != 3 || c.Latencies[7] != 6 || d["d"].Refused != 4 || took[3] != 5 {
		t.Errorf("%v", d)
	}
}
