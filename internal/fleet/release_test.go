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
type yard struct {
	t       *testing.T
	m       *Machine
	r       *rand.Rand
	now     int64
	level   uint32 // level of the entries
	nodes   []string
	version map[string]string
	zone    map[string]string
	turned  map[string]uint64 // by node, the epoch of the last turn that it began
	at      map[string]int64  // by node, when it reports its next state
	down    map[string]bool   // nodes that serve no requests
	bad     func(node, version string) string
	most    int // limit of nodes down at once, by the budget
	worst   int // largest number of nodes that were down at once
	touched map[string]bool // nodes that were ever ordered to the new version
}

const yardOld, yardNew = "v-old", "v-new"

func newYard(t *testing.T, seed uint64, n, most int, bad func(node, version string) string) *yard {
	y := &yard{t: t, m: New(), r: rand.New(rand.NewPCG(seed, 7)), now: 1000, level: Level, version: map[string]string{}, turned: map[string]uint64{}, at: map[string]int64{}, down: map[string]bool{},
		bad: bad, most: most, touched: map[string]bool{}}
	y.say(&fleetpb.Entry{What: &fleetpb.Entry_Budgets{Budgets: &fleetpb.SetBudgets{Budgets: []*fleetpb.Budget{{Name: "nodes", On: "nodes", By: "fleet", Bounded: true, MostOut: uint32(most)}}}}})
	for i := range n {
		name := fmt.Sprintf("n%02d", i)
		y.nodes, y.version[name] = append(y.nodes, name), yardOld
		y.open(name)
		y.told(name, UnitReady)
	}
	return y
}

func (y *yard) say(e *fleetpb.Entry) *fleetpb.Result {
	e.Level, e.AtMs = y.level, y.now
	raw, err := proto.Marshal(e)
	if err != nil {
		y.t.Fatal(err)
	}
	return y.m.Apply(raw)
}

func (y *yard) open(n string) {
	y.say(&fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: n, Zone: y.zone[n], Process: fmt.Sprint(y.now), Level: Level}}})
}

func (y *yard) told(n, state string) {
	y.say(&fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: &fleetpb.Supervised{Node: n, Version: y.version[n], State: state, Turn: y.turned[n]}}})
}

func (y *yard) plan(edit func(p *fleetpb.Plan)) *fleetpb.Result {
	p := &fleetpb.Plan{Name: "r1", Version: yardNew, Before: yardOld, SoakMs: 3000, LimitMs: 30_000, MostCrashes: 1, TurnBack: true, By: "eva"}
	for from, size := 0, 1; from < len(y.nodes); from, size = from+size, 2*size {
		p.Waves = append(p.Waves, &fleetpb.Wave{Nodes: y.nodes[from:min(from+size, len(y.nodes))]})
	}
	if edit != nil {
		edit(p)
	}
	return y.say(&fleetpb.Entry{What: &fleetpb.Entry_Plan{Plan: p}})
}

func (y *yard) steer(verb string) *fleetpb.Result {
	return y.say(&fleetpb.Entry{What: &fleetpb.Entry_Steer{Steer: &fleetpb.Steer{Release: "r1", Verb: verb, By: "ole"}}})
}

// step lets 100 ms pass.
func (y *yard) step() {
	y.now += 100
	y.say(&fleetpb.Entry{What: &fleetpb.Entry_Clock{Clock: &fleetpb.Clock{}}})
	for _, t := range y.m.Orders().Turns {
		if n := t.Node; y.turned[n] != t.Epoch { // a new turn: the node goes down, and comes up as failureOf says for the version
			y.turned[n], y.version[n], y.down[n] = t.Epoch, t.Version, true
			y.touched[n] = y.touched[n] || t.Version == yardNew
			e := y.m.State().Nodes[n].Epoch
			y.say(&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: n, Epoch: e}}})
			y.told(n, UnitStarting)
			y.at[n] = y.now + 200 + y.r.Int64N(2000)
		}
	}
	for _, n := range y.nodes {
		if !y.down[n] || y.now < y.at[n] {
			continue
		}
		switch what := y.bad(n, y.version[n]); what {
		case "":
			y.open(n)
			y.told(n, UnitReady)
			y.down[n] = false
		case "crashes":
			y.told(n, UnitCrashed)
			y.at[n] = y.now + 1000
		case "crashes later": // after it was ready for a moment
			y.open(n)
			y.told(n, UnitReady)
			y.told(n, UnitCrashed)
			y.at[n] = y.now + 1000
		}
	}
	out := 0
	for _, n := range y.nodes {
		if y.down[n] {
			out++
		}
	}
	y.worst = max(y.worst, out)
}

func (y *yard) until(state string) {
	y.t.Helper()
	for range 20_000 {
		if y.m.State().Release.State == state {
			return
		}
		y.step()
	}
	y.t.Fatalf("not %s: %v\n%s", state, y.m.State().Release, y.history())
}

func (y *yard) history() string {
	var b strings.Builder
	for _, e := range y.m.State().History {
		fmt.Fprintf(&b, "%6d %s: %s\n", e.AtMs, e.By, e.What)
	}
	return b.String()
}

func (y *yard) has(version string) (n int) {
	for _, name := range y.nodes {
		if y.version[name] == version && !y.down[name] {
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
			return map[string]string{yardNew: "crashes"}[v]
		}, TurnedBack, 1, "2 crashes of version v-new, 1 at most"},
		"never ready": {func(_, v string) string {
			return map[string]string{yardNew: "never"}[v]
		}, TurnedBack, 1, "wave 1 is not ready within 30000 ms"},
		"crashes once it is ready": {func(_, v string) string {
			return map[string]string{yardNew: "crashes later"}[v]
		}, TurnedBack, 1, "2 crashes of version v-new, 1 at most"},
		"crashes at one node of the third wave": {func(n, v string) string {
			return map[string]string{yardNew + " n04": "crashes"}[v+" "+n]
		}, TurnedBack, 7, "wave 3: halted, before running: 2 crashes of version v-new"},
		"nothing starts any more": {func(n, v string) string {
			return map[string]string{yardNew + " n00": "crashes", yardOld + " n00": "crashes"}[v+" "+n]
		}, Failed, 1, "2 crashes of version v-old on the way back"},
	} {
		for seed := range uint64(20) {
			y := newYard(t, seed, 24, 2, c.bad)
			if r := y.plan(nil); r.Code != fleetpb.Result_DONE {
				t.Fatal(r)
			}
			y.until(c.state)
			if len(y.touched) > c.most || y.worst > y.most {
				t.Errorf("%s, seed %d: %d nodes were ordered to the version, %d at most; %d were down at once, %d at most\n%s", name, seed, len(y.touched), c.most, y.worst, y.most, y.history())
			}
			if !strings.Contains(y.history(), c.cause) {
				t.Errorf("%s, seed %d: the history does not contain %q:\n%s", name, seed, c.cause, y.history())
			}
			want := map[string]int{Done: 0, TurnedBack: 24, Failed: 23}[c.state]
			if n := y.has(yardOld); n != want {
				t.Errorf("%s, seed %d: %d nodes serve with the version before, want %d\n%s", name, seed, n, want, y.history())
			}
			if c.state != Failed && (len(y.m.State().Outs) > 0 || len(y.m.Orders().Turns) > 0) {
				t.Errorf("%s: the finished release leaves %v out of service", name, y.m.State().Outs)
			}
			for range 100 { // the final state must not change
				y.step()
			}
			if y.m.State().Release.State != c.state {
				t.Errorf("%s: state %s after %s", name, y.m.State().Release.State, c.state)
			}
			if r := y.plan(func(p *fleetpb.Plan) { p.Name = "r2" }); c.state == TurnedBack && (r.Code != fleetpb.Result_REFUSED || !strings.Contains(r.Reason, "turned back before")) {
				t.Errorf("%s: the same version was released again: %v", name, r)
			}
		}
	}
}

// Guards against operator commands (pause, resume, roll back) that don't take effect, a soak that is cut short, and a
// release that goes on although nodes lapsed and the budget of nodes is exceeded.
func TestReleaseByHand(t *testing.T) {
	fine := func(string, string) string { return "" }
	y := newYard(t, 1, 8, 1, fine)
	y.plan(func(p *fleetpb.Plan) { p.TurnBack = false })
	if r := y.plan(func(p *fleetpb.Plan) { p.Name = "r2" }); r.Code != fleetpb.Result_REFUSED || !strings.Contains(r.Reason, "one at a time") {
		t.Errorf("two releases at once: %v", r)
	}
	for y.m.State().Release.Wave == 0 {
		y.step()
	}
	if took := y.now - 1000; took < 3000 {
		t.Errorf("the first wave soaked for %d ms", took)
	}
	y.steer("pause")
	for range 30 { // nodes that are out finish their turns
		y.step()
	}
	n := len(y.touched)
	for range 200 {
		y.step()
	}
	if len(y.touched) != n || y.m.State().Release.State != Paused || len(y.m.State().Outs) != 0 {
		t.Errorf("the paused release went on: %d nodes, then %d", n, len(y.touched))
	}
	if r := y.steer("resume"); r.Code != fleetpb.Result_DONE {
		t.Error(r)
	}
	// Two nodes lapse: one more than the budget allows.
	for _, name := range y.nodes[6:] {
		y.say(&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: name, Epoch: y.m.State().Nodes[name].Epoch, Lapsed: true}}})
	}
	y.until(Halted)
	if c := y.m.State().Release.Cause; !strings.Contains(c, "budget nodes, fleet") {
		t.Errorf("halted: %s", c)
	}
	for range 100 {
		y.step()
	}
	if len(y.m.State().Outs) != 0 || y.has(yardNew)+y.has(yardOld) != 8 {
		t.Errorf("nodes did not return to service: %v", y.m.State().Outs)
	}
	for _, name := range y.nodes[6:] {
		y.open(name)
	}
	if r := y.steer("back"); r.Code != fleetpb.Result_DONE {
		t.Error(r)
	}
	y.until(TurnedBack)
	if y.has(yardOld) != 8 || y.worst > 1 {
		t.Errorf("%d nodes serve with the version before, %d were down at once", y.has(yardOld), y.worst)
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
	y := newYard(t, 3, 4, 1, func(string, string) string { return "" })
	y.plan(nil)
	first := y.m.Orders().Turns[0]
	if first.Node != "n00" || first.Version != yardNew {
		t.Fatal(first)
	}
	y.steer("back") // the supervisor has not begun the turn, and still reports the node as ready
	y.told("n00", UnitReady)
	turns := y.m.Orders().Turns
	if len(turns) != 1 || turns[0].Version != yardOld || turns[0].Epoch <= first.Epoch || y.m.State().Release.State != TurningBack {
		t.Fatalf("the turn ended before the supervisor received it: %v, %v", turns, y.m.State().Release)
	}
	y.turned["n00"], y.version["n00"] = first.Epoch, yardNew // the supervisor receives the first turn late
	y.told("n00", UnitReady)
	if y.m.State().Release.State != TurningBack {
		t.Fatal("rolled back while a node has the new version")
	}
	y.turned["n00"], y.version["n00"] = turns[0].Epoch, yardOld
	y.told("n00", UnitReady)
	if y.m.State().Release.State != TurnedBack {
		t.Error(y.m.State().Release)
	}
	y.turned["n00"] = first.Epoch
	if r := y.say(&fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: &fleetpb.Supervised{Node: "n00", Version: yardNew, State: UnitReady, Turn: first.Epoch}}}); r.Code != fleetpb.Result_FENCED {
		t.Errorf("report of an earlier turn: %v", r)
	}
}

// Guards against a release that goes on although a wave does worse or its health stays unknown, against one that
// halts although the wave is well, and against verdicts on another soak that take effect.
func TestReleaseHealth(t *testing.T) {
	for health, state := range map[string]string{HealthWell: Done, HealthWorse: TurnedBack, "": TurnedBack} {
		y := newYard(t, 2, 4, 1, func(string, string) string { return "" })
		y.plan(func(p *fleetpb.Plan) { p.Health = true })
		judge := func(soak int64) *fleetpb.Result {
			r := y.m.State().Release
			return y.say(&fleetpb.Entry{What: &fleetpb.Entry_Judged{Judged: &fleetpb.Judged{Release: "r1", Wave: r.Wave, SoakMs: soak, Health: health, Why: "cut-order: 9 of 10 failed"}}})
		}
		for range 3000 {
			r := y.m.State().Release
			if over(r.State) {
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
		r := y.m.State().Release
		if r.State != state || health == HealthWorse && (!strings.Contains(y.history(), "wave 1 does worse: cut-order: 9 of 10 failed") || len(y.touched) != 1) ||
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
		y := newYard(t, 1, 8, 1, func(string, string) string { return "" })
		var plan *fleetpb.Plan
		r := y.plan(func(p *fleetpb.Plan) { edit(p); plan = proto.CloneOf(p) })
		got, err := CheckPlan(plan)
		if got != field || (err == nil) != (field == "") || (r.Code == fleetpb.Result_DONE) != (field == "") {
			t.Errorf("%s: %s, %v; %v", field, got, err, r)
		}
	}
}
