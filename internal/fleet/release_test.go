package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/fleet/fleetpb"
)

// simFleet is a fleet of supervised nodes in virtual time. A node with a new turn ends its session, and after a
// random time its new process is ready or fails.
type simFleet struct {
	t            *testing.T
	machine      *Machine
	random       *rand.Rand
	now          int64
	level        uint32 // level of the entries
	nodes        []string
	versionOf    map[string]string
	zoneOf       map[string]string
	turnEpoch    map[string]uint64 // by node, the epoch of the last turn that it began
	nextReportAt map[string]int64  // by node, when it reports its next state
	isDown       map[string]bool   // nodes that serve no requests
	failureOf    func(node, versionOf string) string
	maxDown      int             // limit of nodes down at once, by the budget
	worstDown    int             // largest number of nodes that were down at once
	updatedOnce  map[string]bool // nodes that were ever ordered to the new version
}

const simOldVersion, simNewVersion = "v-old", "v-new"

func newSimFleet(t *testing.T, seed uint64, n, most int, bad func(node, version string) string) *simFleet {
	y := &simFleet{t: t, machine: New(), random: rand.New(rand.NewPCG(seed, 7)), now: 1000, level: Level, versionOf: map[string]string{}, turnEpoch: map[string]uint64{}, nextReportAt: map[string]int64{}, isDown: map[string]bool{},
		failureOf: bad, maxDown: most, updatedOnce: map[string]bool{}}
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Budgets{Budgets: &fleetpb.SetBudgets{Budgets: []*fleetpb.Budget{{Name: "nodes", On: "nodes", By: "fleet", Bounded: true, MostOut: uint32(most)}}}}})
	for i := range n {
		name := fmt.Sprintf("n%02d", i)
		y.nodes, y.versionOf[name] = append(y.nodes, name), simOldVersion
		y.open(name)
		y.reportUnit(name, UnitReady)
	}
	return y
}

func (y *simFleet) apply(e *fleetpb.Entry) *fleetpb.Result {
	e.Level, e.AtMs = y.level, y.now
	raw, err := proto.Marshal(e)
	if err != nil {
		y.t.Fatal(err)
	}
	return y.machine.Apply(raw)
}

func (y *simFleet) open(n string) {
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: n, Zone: y.zoneOf[n], Process: fmt.Sprint(y.now), Level: Level}}})
}

func (y *simFleet) reportUnit(n, state string) {
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: &fleetpb.Supervised{Node: n, Version: y.versionOf[n], State: state, Turn: y.turnEpoch[n]}}})
}

func (y *simFleet) plan(edit func(p *fleetpb.Plan)) *fleetpb.Result {
	p := &fleetpb.Plan{Name: "r1", Version: simNewVersion, Before: simOldVersion, SoakMs: 3000, LimitMs: 30_000, MostCrashes: 1, TurnBack: true, By: "eva"}
	for from, size := 0, 1; from < len(y.nodes); from, size = from+size, 2*size {
		p.Waves = append(p.Waves, &fleetpb.Wave{Nodes: y.nodes[from:min(from+size, len(y.nodes))]})
	}
	if edit != nil {
		edit(p)
	}
	return y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Plan{Plan: p}})
}

func (y *simFleet) steer(verb string) *fleetpb.Result {
	return y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Steer{Steer: &fleetpb.Steer{Release: "r1", Verb: verb, By: "ole"}}})
}

// step lets 100 ms pass.
func (y *simFleet) step() {
	y.now += 100
	y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Clock{Clock: &fleetpb.Clock{}}})
	for _, t := range y.machine.Orders().Turns {
		if n := t.Node; y.turnEpoch[n] != t.Epoch { // a new turn: the node goes down, and comes up as failureOf says for the version
			y.turnEpoch[n], y.versionOf[n], y.isDown[n] = t.Epoch, t.Version, true
			y.updatedOnce[n] = y.updatedOnce[n] || t.Version == simNewVersion
			e := y.machine.State().Nodes[n].Epoch
			y.apply(&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: n, Epoch: e}}})
			y.reportUnit(n, UnitStarting)
			y.nextReportAt[n] = y.now + 200 + y.random.Int64N(2000)
		}
	}
	for _, n := range y.nodes {
		if !y.isDown[n] || y.now < y.nextReportAt[n] {
			continue
		}
		switch what := y.failureOf(n, y.versionOf[n]); what {
		case "":
			y.open(n)
			y.reportUnit(n, UnitReady)
			y.isDown[n] = false
		case "crashes":
			y.reportUnit(n, UnitCrashed)
			y.nextReportAt[n] = y.now + 1000
		case "crashes later": // after it was ready for a moment
			y.open(n)
			y.reportUnit(n, UnitReady)
			y.reportUnit(n, UnitCrashed)
			y.nextReportAt[n] = y.now + 1000
		}
	}
	out := 0
	for _, n := range y.nodes {
		if y.isDown[n] {
			out++
		}
	}
	y.worstDown = max(y.worstDown, out)
}

func (y *simFleet) runUntil(state string) {
	y.t.Helper()
	for range 20_000 {
		if y.machine.State().Release.State == state {
			return
		}
		y.step()
	}
	y.t.Fatalf("not %s: %v\n%s", state, y.machine.State().Release, y.history())
}

func (y *simFleet) history() string {
	var b strings.Builder
	for _, e := range y.machine.State().History {
		fmt.Fprintf(&b, "%6d %s: %s\n", e.AtMs, e.By, e.What)
	}
	return b.String()
}

func (y *simFleet) countServing(version string) (n int) {
	for _, name := range y.nodes {
		if y.versionOf[name] == version && !y.isDown[name] {
			n++
		}
	}
	return n
}

// Guards against releases that exceed their budget, that reach more nodes than they must before they halt, that are
// not rolled back completely, or that start again with a version that was rolled back. Runs each kind of fault with
// twenty seeds.
func TestReleases(t *testing.T) {
	for name, c := range map[string]struct {
		bad   func(node, version string) string
		state string
		most  int    // limit of nodes that were ever ordered to the new version
		cause string // in the history
	}{
		"good": {func(string, string) string { return "" }, Done, 24, "all waves are ready"},
		"crashes at start": {func(_, v string) string {
			return map[string]string{simNewVersion: "crashes"}[v]
		}, RolledBack, 1, "2 crashes of version v-new, 1 at most"},
		"never ready": {func(_, v string) string {
			return map[string]string{simNewVersion: "never"}[v]
		}, RolledBack, 1, "wave 1 is not ready within 30000 ms"},
		"crashes once it is ready": {func(_, v string) string {
			return map[string]string{simNewVersion: "crashes later"}[v]
		}, RolledBack, 1, "2 crashes of version v-new, 1 at most"},
		"crashes at one node of the third wave": {func(n, v string) string {
			return map[string]string{simNewVersion + " n04": "crashes"}[v+" "+n]
		}, RolledBack, 7, "wave 3: halted, before running: 2 crashes of version v-new"},
		"nothing starts any more": {func(n, v string) string {
			return map[string]string{simNewVersion + " n00": "crashes", simOldVersion + " n00": "crashes"}[v+" "+n]
		}, Failed, 1, "2 crashes of version v-old on the way back"},
	} {
		for seed := range uint64(20) {
			y := newSimFleet(t, seed, 24, 2, c.bad)
			if r := y.plan(nil); r.Code != fleetpb.Result_DONE {
				t.Fatal(r)
			}
			y.runUntil(c.state)
			if len(y.updatedOnce) > c.most || y.worstDown > y.maxDown {
				t.Errorf("%s, seed %d: %d nodes were ordered to the version, %d at most; %d were down at once, %d at most\n%s", name, seed, len(y.updatedOnce), c.most, y.worstDown, y.maxDown, y.history())
			}
			if !strings.Contains(y.history(), c.cause) {
				t.Errorf("%s, seed %d: the history does not contain %q:\n%s", name, seed, c.cause, y.history())
			}
			want := map[string]int{Done: 0, RolledBack: 24, Failed: 23}[c.state]
			if n := y.countServing(simOldVersion); n != want {
				t.Errorf("%s, seed %d: %d nodes serve with the version before, want %d\n%s", name, seed, n, want, y.history())
			}
			if c.state != Failed && (len(y.machine.State().Outs) > 0 || len(y.machine.Orders().Turns) > 0) {
				t.Errorf("%s: the finished release leaves %v out of service", name, y.machine.State().Outs)
			}
			for range 100 { // the final state must not change
				y.step()
			}
			if y.machine.State().Release.State != c.state {
				t.Errorf("%s: state %s after %s", name, y.machine.State().Release.State, c.state)
			}
			if r := y.plan(func(p *fleetpb.Plan) { p.Name = "r2" }); c.state == RolledBack && (r.Code != fleetpb.Result_REFUSED || !strings.Contains(r.Reason, "turned back before")) {
				t.Errorf("%s: the same version was released again: %v", name, r)
			}
		}
	}
}

// Guards against operator commands (pause, resume, roll back) that don't take effect, a soak that is cut short, and a
// release that goes on although nodes lapsed and the budget of nodes is exceeded.
func TestReleaseByHand(t *testing.T) {
	fine := func(string, string) string { return "" }
	y := newSimFleet(t, 1, 8, 1, fine)
	y.plan(func(p *fleetpb.Plan) { p.TurnBack = false })
	if r := y.plan(func(p *fleetpb.Plan) { p.Name = "r2" }); r.Code != fleetpb.Result_REFUSED || !strings.Contains(r.Reason, "one at a time") {
		t.Errorf("two releases at once: %v", r)
	}
	for y.machine.State().Release.Wave == 0 {
		y.step()
	}
	if soaked := y.now - 1000; soaked < 3000 {
		t.Errorf("the first wave soaked for %d ms", soaked)
	}
	y.steer("pause")
	for range 30 { // nodes that are out finish their turns
		y.step()
	}
	n := len(y.updatedOnce)
	for range 200 {
		y.step()
	}
	if len(y.updatedOnce) != n || y.machine.State().Release.State != Paused || len(y.machine.State().Outs) != 0 {
		t.Errorf("the paused release went on: %d nodes, then %d", n, len(y.updatedOnce))
	}
	if r := y.steer("resume"); r.Code != fleetpb.Result_DONE {
		t.Error(r)
	}
	// Two nodes lapse: one more than the budget allows.
	for _, name := range y.nodes[6:] {
		y.apply(&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: name, Epoch: y.machine.State().Nodes[name].Epoch, Lapsed: true}}})
	}
	y.runUntil(Halted)
	if c := y.machine.State().Release.Cause; !strings.Contains(c, "budget nodes, fleet") {
		t.Errorf("halted: %s", c)
	}
	for range 100 {
		y.step()
	}
	if len(y.machine.State().Outs) != 0 || y.countServing(simNewVersion)+y.countServing(simOldVersion) != 8 {
		t.Errorf("nodes did not return to service: %v", y.machine.State().Outs)
	}
	for _, name := range y.nodes[6:] {
		y.open(name)
	}
	if r := y.steer("back"); r.Code != fleetpb.Result_DONE {
		t.Error(r)
	}
	y.runUntil(RolledBack)
	if y.countServing(simOldVersion) != 8 || y.worstDown > 1 {
		t.Errorf("%d nodes serve with the version before, %d were down at once", y.countServing(simOldVersion), y.worstDown)
	}
	for _, verb := range []string{"pause", "resume", "halt", "back", "dance"} {
		if r := y.steer(verb); r.Code != fleetpb.Result_REFUSED {
			t.Errorf("%s of a finished release: %v", verb, r)
		}
	}
}

// Guards against a reversed turn that ends too early. When a release is rolled back while a node has a turn, the
// node's supervisor may not have received the new turn and may still execute the first one; a report "ready with the
// old version" is then from before the first turn. Only a report with the new turn's epoch may end it, and late
// reports are fenced.
func TestTurnRound(t *testing.T) {
	y := newSimFleet(t, 3, 4, 1, func(string, string) string { return "" })
	y.plan(nil)
	first := y.machine.Orders().Turns[0]
	if first.Node != "n00" || first.Version != simNewVersion {
		t.Fatal(first)
	}
	y.steer("back") // the supervisor has not begun the turn, and still reports the node as ready
	y.reportUnit("n00", UnitReady)
	turns := y.machine.Orders().Turns
	if len(turns) != 1 || turns[0].Version != simOldVersion || turns[0].Epoch <= first.Epoch || y.machine.State().Release.State != RollingBack {
		t.Fatalf("the turn ended before the supervisor received it: %v, %v", turns, y.machine.State().Release)
	}
	y.turnEpoch["n00"], y.versionOf["n00"] = first.Epoch, simNewVersion // the supervisor receives the first turn late
	y.reportUnit("n00", UnitReady)
	if y.machine.State().Release.State != RollingBack {
		t.Fatal("rolled back while a node has the new version")
	}
	y.turnEpoch["n00"], y.versionOf["n00"] = turns[0].Epoch, simOldVersion
	y.reportUnit("n00", UnitReady)
	if y.machine.State().Release.State != RolledBack {
		t.Error(y.machine.State().Release)
	}
	y.turnEpoch["n00"] = first.Epoch
	if r := y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: &fleetpb.Supervised{Node: "n00", Version: simNewVersion, State: UnitReady, Turn: first.Epoch}}}); r.Code != fleetpb.Result_FENCED {
		t.Errorf("report of an earlier turn: %v", r)
	}
}

// Guards against a release that goes on although a wave does worse or its health stays unknown, against one that
// halts although the wave is well, and against verdicts on another soak that take effect.
func TestReleaseHealth(t *testing.T) {
	for health, state := range map[string]string{HealthWell: Done, HealthWorse: RolledBack, "": RolledBack} {
		y := newSimFleet(t, 2, 4, 1, func(string, string) string { return "" })
		y.plan(func(p *fleetpb.Plan) { p.Health = true })
		judge := func(soak int64) *fleetpb.Result {
			r := y.machine.State().Release
			return y.apply(&fleetpb.Entry{What: &fleetpb.Entry_Judged{Judged: &fleetpb.Judged{Release: "r1", Wave: r.Wave, SoakMs: soak, Health: health, Why: "cut-order: 9 of 10 failed"}}})
		}
		for range 3000 {
			r := y.machine.State().Release
			if isFinished(r.State) {
				break
			}
			if r.State == Running && r.SoakMs > 0 && r.Health == "" && health != "" {
				if late := judge(r.SoakMs - 1); late.Code != fleetpb.Result_FENCED {
					t.Errorf("verdict on another soak: %v", late)
				}
				judge(r.SoakMs)
			}
			y.step()
		}
		r := y.machine.State().Release
		if r.State != state || health == HealthWorse && (!strings.Contains(y.history(), "wave 1 does worse: cut-order: 9 of 10 failed") || len(y.updatedOnce) != 1) ||
			health == "" && !strings.Contains(y.history(), "too little traffic") {
			t.Errorf("health %q: %s, %s\n%s", health, r.State, r.Cause, y.history())
		}
	}
}

func TestCheckPlan(t *testing.T) {
	for field, edit := range map[string]func(p *fleetpb.Plan){
		"":              func(*fleetpb.Plan) {},
		"name":          func(p *fleetpb.Plan) { p.Name = "" },
		"version":       func(p *fleetpb.Plan) { p.Version = p.Before },
		"before":        func(p *fleetpb.Plan) { p.Before = "" },
		"limit_ms":      func(p *fleetpb.Plan) { p.LimitMs = 0 },
		"soak_ms":       func(p *fleetpb.Plan) { p.SoakMs = -1 },
		"wave":          func(p *fleetpb.Plan) { p.Waves = nil },
		"wave[1].nodes": func(p *fleetpb.Plan) { p.Waves = slices.Insert(p.Waves, 1, &fleetpb.Wave{}) },
		"wave[2].nodes": func(p *fleetpb.Plan) { p.Waves[2].Nodes = []string{"n00"} },
	} {
		y := newSimFleet(t, 1, 8, 1, func(string, string) string { return "" })
		var plan *fleetpb.Plan
		r := y.plan(func(p *fleetpb.Plan) { edit(p); plan = proto.CloneOf(p) })
		got, err := CheckPlan(plan)
		if got != field || (err == nil) != (field == "") || (r.Code == fleetpb.Result_DONE) != (field == "") {
			t.Errorf("%s: %s, %v; %v", field, got, err, r)
		}
	}
}
