package fleet

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/fleet/fleetpb"
)

// States of a release.
const (
	Running     = "running"
	Paused      = "paused"
	Halted      = "halted"       // starts no more nodes; those that are out return with the version before
	RollingBack = "turning back" // rolls back to the version before, in waves, under the same budgets
	Done        = "done"
	RolledBack  = "turned back"
	Failed      = "failed" // the rollback failed as well: an operator must act
)

// States of a node's process as its supervisor reports them.
const (
	UnitStarting = "starting"
	UnitReady    = "ready"
	UnitCrashed  = "crashed"
)

// Health of a wave, as the leader judges it.
const (
	HealthWell    = "well"
	HealthWorse   = "worse"
	HealthUnknown = "unknown" // not known, and half of the limit for judging is over
)

const (
	maxWaves       = 100
	maxBadVersions = 100
)

// CheckPlan validates a plan. It returns the first invalid field and the reason, or an empty field and nil.
func CheckPlan(p *fleetpb.Plan) (field string, err error) {
	if err := checkText(p.Name, p.Version, p.Before, p.By, p.Why); err != nil || p.Name == "" {
		return "name", fmt.Errorf("want a name: %v", err)
	}
	switch {
	case p.Version == "" || p.Version == p.Before:
		return "version", fmt.Errorf("want a version that is not the one before, have %.50q", p.Version)
	case p.Before == "":
		return "before", fmt.Errorf("want the version to turn back to")
	case p.SoakMs < 0:
		return "soak_ms", fmt.Errorf("want 0 or more, have %d", p.SoakMs)
	case p.LimitMs <= 0:
		return "limit_ms", fmt.Errorf("want a limit of a wave, have %d", p.LimitMs)
	case len(p.Waves) == 0 || len(p.Waves) > maxWaves:
		return "wave", fmt.Errorf("want 1 to %d waves, have %d", maxWaves, len(p.Waves))
	}
	seen := map[string]bool{}
	for i, w := range p.Waves {
		if len(w.Nodes) == 0 {
			return fmt.Sprintf("wave[%d].nodes", i), fmt.Errorf("want some")
		}
		for _, n := range w.Nodes {
			if seen[n] || n == "" {
				return fmt.Sprintf("wave[%d].nodes", i), fmt.Errorf("%.50q stands twice, or is empty", n)
			}
			seen[n] = true
		}
	}
	return "", nil
}

// isFinished reports whether a release in that state has ended.
func isFinished(state string) bool { return state == Done || state == RolledBack || state == Failed }

// ExplainPlan returns the result that a plan would have now, and does not change the state.
func (m *Machine) ExplainPlan(p *fleetpb.Plan) *fleetpb.Result {
	return m.dryRun(func(trial *Machine) *fleetpb.Result { return trial.startRelease(proto.CloneOf(p)) })
}

// ReleaseActive reports whether a release is running or rolling back, or has nodes out of service. The leader must
// append clock entries then, since the release has time limits.
func (m *Machine) ReleaseActive() bool {
	r := m.state.Release
	return r != nil && (r.State == Running || r.State == RollingBack || len(r.Turns) > 0)
}

// startRelease begins the release of a plan. It is refused while another release is not finished.
func (m *Machine) startRelease(p *fleetpb.Plan) *fleetpb.Result {
	if field, err := CheckPlan(p); err != nil {
		return invalid("plan: %s: %v", field, err)
	}
	if r := m.state.Release; r != nil && !isFinished(r.State) {
		return refused("release %s is %s: one at a time", r.Plan.Name, r.State)
	}
	if slices.Contains(m.state.Bad, p.Version) && !p.Again {
		return refused("version %s was turned back before; a hand may say so (again)", p.Version)
	}
	for _, w := range p.Waves {
		for _, n := range w.Nodes {
			if u := m.state.Units[n]; u == nil {
				return refused("no supervisor has told of %s", n)
			}
		}
	}
	if why := m.wavesProblem(p.Waves); why != "" && m.state.Level >= levelWaves {
		return refused("%s", why)
	}
	m.state.Release = &fleetpb.Release{Plan: p, State: Running, WaveMs: m.state.NowMs, Cause: p.Why, Turns: map[string]*fleetpb.Turn{}}
	m.state.Samples = nil
	m.addEvent(p.By, "release %s of %s begins, %d waves: %s", p.Name, p.Version, len(p.Waves), p.Why)
	return doneResult(m.nextEpoch())
}

func refused(format string, args ...any) *fleetpb.Result {
	return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf(format, args...)}
}

// steer applies an operator's command to the release: pause, resume, halt or back (roll back).
func (m *Machine) steer(s *fleetpb.Steer) *fleetpb.Result {
	r := m.state.Release
	if r == nil || r.Plan.Name != s.Release {
		return invalid("no release %.50q goes on", s.Release)
	}
	to := map[string]map[string]string{
		"pause":  {Running: Paused},
		"resume": {Paused: Running, Halted: Running},
		"halt":   {Running: Halted, Paused: Halted},
		"back":   {Running: RollingBack, Paused: RollingBack, Halted: RollingBack, Done: RollingBack, Failed: RollingBack},
	}[s.Verb][r.State]
	if to == "" {
		return refused("release %s is %s: it can't %.20s", r.Plan.Name, r.State, s.Verb)
	}
	if to == Running {
		r.WaveMs, r.Crashes = m.state.NowMs, 0
		if m.state.Level >= levelWaves && m.healthOverdue(r) { // soak and judge the wave again
			r.SoakMs, r.Health = 0, ""
		}
	}
	m.setReleaseState(to, s.By, s.Why)
	return doneResult(m.nextEpoch())
}

// healthOverdue reports whether the time to judge a wave is over, which is the limit of a wave after its soak, and
// the wave was not found well.
func (m *Machine) healthOverdue(r *fleetpb.Release) bool {
	return r.Health != HealthWell && m.state.NowMs-r.SoakMs > r.Plan.SoakMs+r.Plan.LimitMs
}

// setReleaseState changes the state of the release and records who caused it and why.
func (m *Machine) setReleaseState(state, by, cause string) {
	r := m.state.Release
	if state == RollingBack {
		r.Crashes, r.WaveMs, r.SoakMs = 0, m.state.NowMs, 0
		if !slices.Contains(m.state.Bad, r.Plan.Version) {
			m.state.Bad = lastN(append(m.state.Bad, r.Plan.Version), maxBadVersions)
		}
	}
	m.addEvent(by, "release %s, wave %d: %s, before %s: %s", r.Plan.Name, r.Wave+1, state, r.State, cause)
	r.State, r.Cause = state, cause
	if !isFinished(state) {
		r.EndMs = 0
	}
}

// updateUnit applies a supervisor's report on its node. A report of an earlier turn is fenced.
func (m *Machine) updateUnit(s *fleetpb.Supervised) *fleetpb.Result {
	if err := checkText(s.Node, s.Version, s.State, s.Why); err != nil || s.Node == "" {
		return invalid("supervised: %v", err)
	}
	previous := m.state.Units[s.Node]
	if previous == nil && len(m.state.Units) >= maxNodes {
		return invalid("supervised: %d nodes are known already", len(m.state.Units))
	}
	turn := s.Turn
	if previous != nil && turn == 0 { // a supervisor that has just started has received no turn yet
		turn = previous.Turn
	}
	if previous != nil && turn < previous.Turn {
		return &fleetpb.Result{Code: fleetpb.Result_FENCED, Reason: fmt.Sprintf("a word of turn %d, and turn %d has begun", s.Turn, previous.Turn)}
	}
	unit := &fleetpb.Unit{Version: s.Version, State: s.State, SinceMs: m.state.NowMs, Turn: turn}
	if previous != nil && previous.Version == unit.Version && previous.State == unit.State {
		unit.SinceMs = previous.SinceMs
	}
	m.state.Units[s.Node] = unit
	if s.State == UnitCrashed {
		m.addEvent(s.Node, "%s of version %s crashed: %s", s.Node, s.Version, s.Why)
		if r := m.state.Release; r != nil && s.Version == m.targetVersion(r) {
			r.Crashes++
		}
	}
	return doneResult(m.state.Epoch)
}

// setWaveHealth records the leader's verdict if it is about the present soak of the present wave.
func (m *Machine) setWaveHealth(j *fleetpb.Judged) *fleetpb.Result {
	r := m.state.Release
	if r == nil || r.State != Running || r.Plan.Name != j.Release || r.Wave != j.Wave || r.SoakMs != j.SoakMs || r.SoakMs == 0 {
		return &fleetpb.Result{Code: fleetpb.Result_FENCED, Reason: "that wave soaks no more"}
	}
	if r.Health = j.Health; j.Health == HealthWorse || j.Health == HealthUnknown {
		r.Cause = j.Why
	}
	m.addEvent(m.releaseName(r), "health of wave %d: %s %s", r.Wave+1, j.Health, j.Why)
	return doneResult(m.state.Epoch)
}

// targetVersion returns the version that the release brings nodes to in its present state.
func (m *Machine) targetVersion(r *fleetpb.Release) string {
	if r.State == RollingBack || r.State == Halted {
		return r.Plan.Before
	}
	return r.Plan.Version
}

func (m *Machine) releaseName(r *fleetpb.Release) string { return "release " + r.Plan.Name }

// advanceRelease takes the next steps of the release. It runs after each entry.
func (m *Machine) advanceRelease() {
	r := m.state.Release
	if r == nil || isFinished(r.State) && len(r.Turns) == 0 {
		return
	}
	m.finishTurns(r)
	switch r.State {
	case Running:
		m.advanceWaves(r)
	case Halted:
		m.revertTurns(r)
		if r.Plan.TurnBack && r.State == Halted {
			m.setReleaseState(RollingBack, "agreement", "the plan turns back by itself: "+r.Cause)
			m.advanceRollback(r)
		}
	case RollingBack:
		m.advanceRollback(r)
	}
}

// finishTurns returns to service the nodes that are ready with the version of their turn.
func (m *Machine) finishTurns(r *fleetpb.Release) {
	for _, n := range slices.Sorted(maps.Keys(r.Turns)) {
		t, u := r.Turns[n], m.state.Units[n]
		// A supervisor that has not received this turn yet may still be executing an earlier one.
		if u == nil || u.State != UnitReady || u.Version != t.Version || u.Turn < t.Epoch {
			continue
		}
		delete(r.Turns, n)
		if o := m.state.Outs[NodeTarget(n)]; o != nil && o.By == m.releaseName(r) {
			delete(m.state.Outs, NodeTarget(n))
		}
		m.state.Orders++
		m.addEvent(m.releaseName(r), "%s is ready at version %s", n, t.Version)
	}
}

// startTurn drains a node, if the budgets and the majority of voters allow it now, and orders it to a version. A node
// that has a turn to another version is ordered to the new one.
func (m *Machine) startTurn(r *fleetpb.Release, n, version string) {
	if t := r.Turns[n]; t != nil {
		if t.Version != version { // the node is out already: no budget is needed
			t.Version, t.Epoch = version, m.nextEpoch()
			m.state.Orders++
		}
		return
	}
	target := NodeTarget(n)
	if m.state.Nodes[n] == nil || m.state.Outs[target] == nil && m.denialReason(target, m.queuedTargets(len(m.state.Queue))) != "" {
		return // tried again after a later entry
	}
	if m.state.Level >= levelWaves && m.state.Voters[n] != "" && m.nodeOutReason(n) == "" && !m.canTakeVoterOut() {
		return // tried again after a later entry
	}
	if m.state.Outs[target] == nil {
		m.grant(&fleetpb.Drain{Target: target, By: m.releaseName(r), Why: "to version " + version})
	}
	r.Turns[n] = &fleetpb.Turn{Node: n, Version: version, Epoch: m.nextEpoch()}
	m.state.Orders++
	m.addEvent(m.releaseName(r), "%s goes to version %s, epoch %d", n, version, r.Turns[n].Epoch)
}

// advanceWaves starts turns of the present wave, goes on to the next wave once this one has soaked and is found well,
// or halts the release on too many crashes, an exceeded budget of nodes, a timeout or worse health.
func (m *Machine) advanceWaves(r *fleetpb.Release) {
	p := r.Plan
	halt := func(format string, args ...any) {
		m.setReleaseState(Halted, "agreement", fmt.Sprintf(format, args...))
		m.advanceRelease()
	}
	if r.Crashes > p.MostCrashes {
		halt("%d crashes of version %s, %d at most", r.Crashes, p.Version, p.MostCrashes)
		return
	}
	for _, g := range m.Groups() {
		if g.Budget.On == "nodes" && g.Exceeded() != "" {
			halt("budget %s, %s: %s", g.Budget.Name, g.Name, g.Exceeded())
			return
		}
	}
	ready := true
	for _, n := range p.Waves[r.Wave].Nodes {
		if u := m.state.Units[n]; u != nil && u.State == UnitReady && u.Version == p.Version {
			continue
		}
		ready = false
		m.startTurn(r, n, p.Version)
	}
	switch {
	case !ready && m.state.NowMs-r.WaveMs > p.LimitMs:
		halt("wave %d is not ready within %d ms", r.Wave+1, p.LimitMs)
	case !ready:
		r.SoakMs, r.Health = 0, ""
	case r.SoakMs == 0:
		r.SoakMs, r.Health = m.state.NowMs, ""
	case p.Health && r.Health == HealthWorse:
		halt("wave %d does worse: %s", r.Wave+1, r.Cause)
	case p.Health && r.Health != HealthWell:
		if m.healthOverdue(r) {
			why := "too little traffic"
			if r.Health == HealthUnknown {
				why += ": " + r.Cause
			}
			halt("the health of wave %d is not known within %d ms behind its soak: %s", r.Wave+1, p.LimitMs, why)
		}
	case m.state.NowMs-r.SoakMs >= p.SoakMs && int(r.Wave) == len(p.Waves)-1:
		m.setReleaseState(Done, "agreement", "all waves are ready")
	case m.state.NowMs-r.SoakMs >= p.SoakMs:
		m.addEvent(m.releaseName(r), "wave %d is done", r.Wave+1)
		r.Wave, r.WaveMs, r.SoakMs, r.Health = r.Wave+1, m.state.NowMs, 0, ""
		m.advanceWaves(r)
	}
}

// revertTurns orders all nodes that have a turn to the version before.
func (m *Machine) revertTurns(r *fleetpb.Release) {
	for _, n := range slices.Sorted(maps.Keys(r.Turns)) {
		m.startTurn(r, n, r.Plan.Before)
	}
}

// advanceRollback brings the nodes that have the new version, or have a turn to it, to the version before. A node
// that is out of service already uses no budget.
func (m *Machine) advanceRollback(r *fleetpb.Release) {
	p := r.Plan
	if r.Crashes > p.MostCrashes {
		m.setReleaseState(Failed, "agreement", fmt.Sprintf("%d crashes of version %s on the way back, %d at most: a hand is needed", r.Crashes, p.Before, p.MostCrashes))
		return
	}
	m.revertTurns(r)
	allReverted := true
	for _, w := range slices.Backward(p.Waves) {
		for _, n := range w.Nodes {
			if u := m.state.Units[n]; u == nil || u.Version == p.Before && u.State == UnitReady {
				continue
			} else if u.Version == p.Before && r.Turns[n] == nil {
				continue // has the version before and no turn: that it is not ready is not caused by the release
			}
			allReverted = false
			m.startTurn(r, n, p.Before)
		}
	}
	switch {
	case allReverted && len(r.Turns) == 0:
		m.setReleaseState(RolledBack, "agreement", r.Cause)
	case m.state.NowMs-r.WaveMs > p.LimitMs*int64(len(p.Waves)):
		m.setReleaseState(Failed, "agreement", fmt.Sprintf("the way back took over %d ms: a hand is needed", p.LimitMs*int64(len(p.Waves))))
	}
}
