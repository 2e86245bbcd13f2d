package fleet

import (
	"fmt"
	"strings"
	"testing"

	"starlingvalve/internal/fleet/fleetpb"
)

// newZonedFleet returns a simulated fleet of n nodes that alternate between zones a, b and c. The first ones are
// voters.
func newZonedFleet(t *testing.T, n, most, voters int) *simFleet {
	y := newSimFleet(t, 1, n, most, func(string, string) string { return "" })
	y.machine.state.Voters, y.zoneOf = map[string]string{}, map[string]string{}
	for i, name := range y.nodes {
		y.zoneOf[name] = string(rune('a' + i%3))
		y.machine.state.Nodes[name].Zone = y.zoneOf[name]
		if i < voters {
			y.machine.state.Voters[name] = "birth"
		}
	}
	return y
}

// Guards against waves that are filled in another order than that of zones and names, that have nodes of several
// zones without being mixed, or that have a node twice. Waves are given by count, share, zone, voters and names.
func TestWaves(t *testing.T) {
	y := newZonedFleet(t, 12, 2, 3) // voters: n00 to n02; zone a: n00 n03 n06 n09
	for name, c := range map[string]struct {
		list []Wave
		want string
	}{
		"a canary, shares, the rest, voters": {[]Wave{{Name: "canary", Count: 1}, {Name: "some", Share: 0.25}, {Name: "most", Share: 0.75}, {Name: "voters", Voters: true}},
			"canary: n03; some b: n04; some c: n05; most a: n06 n09; most b: n07 n10; most c: n08 n11; voters a: n00; voters b: n01; voters c: n02"},
		"by zone":          {[]Wave{{Zone: "b", Share: 0.5}, {Zone: "c", Count: 9}, {Zone: "b", Share: 1}}, ": n04 n07; : n05 n08 n11; : n10"},
		"mixed":            {[]Wave{{Name: "all", Share: 1, Mixed: true}}, "all: n03 n04 n05 n06 n07 n08 n09 n10 n11"},
		"named ones stay":  {[]Wave{{Name: "x", Count: 2}, {Name: "y", Nodes: []string{"n06", "n03"}}}, "x a: n09; x b: n04; y: n06 n03"},
		"nothing is said":  {[]Wave{{Name: "x"}}, "wave[0]: want one of nodes, count, share"},
		"two ways":         {[]Wave{{Count: 1, Share: 0.5}}, "wave[0]: want one of"},
		"over a whole":     {[]Wave{{Share: 1.5}}, "wave[0]: want one of"},
		"a share is there": {[]Wave{{Share: 0.25}, {Share: 0.25}}, "a: n03; b: n04; c: n05"},
	} {
		waves, err := y.machine.BuildWaves(c.list)
		parts := []string{}
		for _, w := range waves {
			parts = append(parts, w.Name+": "+strings.Join(w.Nodes, " "))
		}
		if got := strings.Join(parts, "; "); err == nil && got != c.want || err != nil && !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %s, %v; want %s", name, got, err, c.want)
		}
	}
}

// Guards against a plan that is accepted although a wave has nodes of several zones and is not marked as mixed, or
// although other nodes come after voters. Below the level of these rules all members must accept such plans.
func TestPlansOfZones(t *testing.T) {
	for name, c := range map[string]struct {
		waves []*fleetpb.Wave
		want  string
	}{
		"two zones":            {[]*fleetpb.Wave{{Nodes: []string{"n03", "n04"}}}, "wave 1 has nodes of zone a and of zone b"},
		"mixed wave allowed":   {[]*fleetpb.Wave{{Nodes: []string{"n03", "n04"}, Mixed: true}}, ""},
		"voters in between":    {[]*fleetpb.Wave{{Nodes: []string{"n00"}}, {Nodes: []string{"n03"}}}, "wave 2 has n03, behind n00, which votes"},
		"voters beside others": {[]*fleetpb.Wave{{Nodes: []string{"n00", "n03"}}, {Nodes: []string{"n01"}}}, ""},
	} {
		for _, level := range []uint32{levelFirst, Level} {
			y := newZonedFleet(t, 6, 2, 3)
			y.level, y.machine.state.Level = level, level
			r := y.plan(func(p *fleetpb.Plan) { p.Waves = c.waves })
			if level == levelFirst && r.Code != fleetpb.Result_DONE || level == Level && !strings.HasPrefix(r.Reason, c.want) || c.want == "" && r.Code != fleetpb.Result_DONE {
				t.Errorf("%s, level %d: %v", name, level, r)
			}
		}
	}
}

// Guards against a release that takes the majority of the voters out of service when the budgets would allow it.
func TestVotersTurn(t *testing.T) {
	for voters, most := range map[int]int{1: 1, 3: 1, 5: 2, 7: 3} {
		y := newZonedFleet(t, voters, voters, voters)
		y.plan(func(p *fleetpb.Plan) { p.Waves = []*fleetpb.Wave{{Nodes: y.nodes, Mixed: true}} })
		y.runUntil(Done)
		if y.worstDown != most {
			t.Errorf("%d of %d voters were out at once, want %d: %s", y.worstDown, voters, most, fmt.Sprint(y.history()))
		}
	}
}

// Guards against samples that differ from what was out of service, and against sampling that ends before the last
// node of the release or of its rollback is back, or goes on afterwards.
func TestSamples(t *testing.T) {
	y := newZonedFleet(t, 6, 2, 0)
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Budgets{Budgets: &fleetpb.SetBudgets{Budgets: []*fleetpb.Budget{{Name: "all", On: "nodes", By: "fleet", Bounded: true, MostOut: 2}, {Name: "a-hall", On: "nodes", By: "zone", MostShare: 0.5}}}}})
	y.plan(func(p *fleetpb.Plan) { p.Waves = []*fleetpb.Wave{{Nodes: y.nodes, Mixed: true}} })
	out := func() (n uint32) {
		for _, g := range y.machine.Groups() {
			if g.Budget.Name == "all" {
				n = uint32(len(g.Out))
			}
		}
		return n
	}
	sampled := func() (n uint32) {
		for _, x := range y.machine.state.Samples {
			if x.Budget == "all" {
				n = x.Out
			}
		}
		return n
	}
	worst := uint32(0)
	for y.machine.State().Release.State == Running {
		y.step()
		worst = max(worst, sampled())
		if out() != sampled() {
			t.Fatalf("%d nodes are out, the samples have %d", out(), sampled())
		}
	}
	groups := map[string]int32{}
	for _, x := range y.machine.state.Samples {
		groups[x.Budget+" "+x.Group] = x.Most
	}
	if worst != 2 || sampled() != 0 || len(groups) != 4 || groups["all fleet"] != 2 || groups["a-hall zone b"] != 1 {
		t.Errorf("worst %d, last %d, groups %v", worst, sampled(), groups)
	}
	n := len(y.machine.state.Samples)
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: y.nodes[0], Epoch: y.machine.State().Nodes[y.nodes[0]].Epoch}}})
	if len(y.machine.state.Samples) != n {
		t.Error("a change after the release was sampled")
	}
	y.steer("back")
	y.runUntil(RolledBack)
	if sampled() != 0 || len(y.machine.state.Samples) == n {
		t.Errorf("the rollback was not sampled: %d out", sampled())
	}
}

// Guards against a resumed release that halts at once. One that halted because its health was unknown soaks and is
// judged again after a resume, with the full time limit; one that was halted for another reason keeps its soak.
func TestResumeJudgesAgain(t *testing.T) {
	y := newSimFleet(t, 1, 2, 1, func(string, string) string { return "" })
	y.plan(func(p *fleetpb.Plan) { p.Health, p.TurnBack = true, false })
	y.runUntil(Halted)
	if c := y.machine.State().Release.Cause; !strings.Contains(c, "too little traffic") {
		t.Fatal(c)
	}
	y.steer("resume")
	for range 50 {
		y.step()
	}
	r := y.machine.State().Release
	if r.State != Running || y.now-r.SoakMs > 5000 {
		t.Errorf("after the resume: %s: %s", r.State, r.Cause)
	}
	at := r.SoakMs
	y.steer("halt")
	y.steer("resume")
	y.step()
	if r.SoakMs != at {
		t.Error("the release lost its soak")
	}
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Judged{Judged: &fleetpb.Judged{Release: "r1", SoakMs: at, Health: HealthUnknown, Why: "c: 3 of 5"}}})
	y.runUntil(Halted)
	if c := r.Cause; !strings.Contains(c, "too little traffic: c: 3 of 5") {
		t.Error(c)
	}
}
