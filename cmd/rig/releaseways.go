package main

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	agreed "starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
	"starlingvalve/internal/vitals"
)

// modelWaves are the waves of the program's way to release.
var modelWaves = []agreed.Wave{{Name: "canary", Count: 1}, {Name: "some", Share: 0.05}, {Name: "a quarter", Share: 0.25}, {Name: "half", Share: 0.5}, {Name: "all", Share: 1}, {Name: "voters", Voters: true}}

// byAgreement releases as the program does, by its replicated state machine and its judgement of health.
func (p *modelTrial) byAgreement() modelRun {
	voters := map[string]string{}
	for _, n := range p.nodes[:modelVoters] {
		voters[n.name] = "birth"
	}
	machine := agreed.NewWithVoters(voters)
	apply := func(e *fleetpb.Entry) *fleetpb.Result {
		e.Level, e.AtMs = agreed.Level, 1000*int64(p.now+1)
		raw, err := proto.Marshal(e)
		if err != nil {
			panic(err)
		}
		return machine.Apply(raw)
	}
	version := func(fresh bool) string {
		if fresh {
			return "new"
		}
		return "old"
	}
	reportUnit := func(n *modelNode, state string) {
		apply(&fleetpb.Entry{What: &fleetpb.Entry_Supervised{Supervised: &fleetpb.Supervised{Node: n.name, Version: version(n.fresh), State: state, Turn: n.turn}}})
	}
	apply(&fleetpb.Entry{What: &fleetpb.Entry_Budgets{Budgets: &fleetpb.SetBudgets{Budgets: []*fleetpb.Budget{{Name: "nodes", On: "nodes", By: "fleet", Bounded: true, MostOut: modelMaxOut}}}}})
	for _, n := range p.nodes {
		apply(&fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: n.name, Zone: fmt.Sprint(n.zone), Process: "p", Level: agreed.Level, Voter: n.voter}}})
		reportUnit(n, agreed.UnitReady)
	}
	waves, err := machine.BuildWaves(modelWaves)
	if err != nil {
		panic(err)
	}
	plan := &fleetpb.Plan{Name: "r", Version: "new", Before: "old", Waves: waves, SoakMs: 30_000, LimitMs: 600_000, MostCrashes: 1, Health: true, TurnBack: true}
	if r := apply(&fleetpb.Entry{What: &fleetpb.Entry_Plan{Plan: plan}}); r.Code != fleetpb.Result_DONE {
		panic(r.Reason)
	}
	var v vitals.Vitals
	counts, soak := map[string]map[string]health.ClassCounts{}, int64(0)
	for p.now < modelLimit {
		for _, n := range p.step() {
			reportUnit(n, agreed.UnitCrashed)
			reportUnit(n, agreed.UnitReady)
		}
		apply(&fleetpb.Entry{What: &fleetpb.Entry_Clock{Clock: &fleetpb.Clock{}}})
		for _, t := range machine.Orders().Turns {
			if n := p.nodes[slices.IndexFunc(p.nodes, func(n *modelNode) bool { return n.name == t.Node })]; n.turn != t.Epoch {
				n.turn = t.Epoch
				p.replace(n, t.Version == "new")
			}
		}
		for _, n := range p.nodes {
			if n.replacedAt == p.now && p.finishReplace(n) {
				reportUnit(n, agreed.UnitReady)
			} else if n.replacedAt == p.now {
				reportUnit(n, agreed.UnitCrashed)
				n.replacedAt = p.now + 1 + p.random.IntN(3) // retry
			}
		}
		state := machine.State()
		at, wanted := vitals.ActiveSoak(state)
		if at != soak {
			soak, counts = at, map[string]map[string]health.ClassCounts{}
		}
		if wanted && soak > 0 {
			oldSampled := 0
			for _, n := range p.nodes {
				unit := state.Units[n.name]
				inWave := slices.Contains(state.Release.Plan.Waves[state.Release.Wave].Nodes, n.name)
				if unit.State != agreed.UnitReady || !inWave && (n.fresh || oldSampled >= modelOldSampled) && !(n.fresh && p.countRunning(false) == 0) {
					continue
				}
				if !inWave {
					oldSampled++
				}
				if counts[n.name] == nil {
					counts[n.name] = map[string]health.ClassCounts{}
				}
				p.drawRequests(n, counts[n.name])
				report := &fleetpb.OpenSession{Soak: soak, Resident: p.resident(n)}
				for class, e := range counts[n.name] {
					x := &fleetpb.Ends{Class: class, Served: e.Served, Failed: e.Failed}
					vitals.SetTrimmedLatencies(x, e.Latencies)
					report.Ends = append(report.Ends, x)
				}
				v.SetReport(n.name, state.Nodes[n.name].Epoch, report)
			}
			if j := v.Judge(state); j != nil {
				apply(&fleetpb.Entry{What: &fleetpb.Entry_Judged{Judged: j}})
			}
		}
		switch state := machine.State().Release.State; {
		case state == agreed.RollingBack && p.halted == 0:
			p.halted = p.now
		case state == agreed.Done:
			return p.result()
		case state == agreed.RolledBack || state == agreed.Failed:
			p.back = p.now
			return p.result()
		}
	}
	return p.result()
}

// stepwise replaces the nodes batch by batch, pause seconds apart. Once seen reports a problem, it begins to roll back
// after reaction seconds, modelMaxOut nodes at a time, backPause seconds apart. seen is called once a second.
func (p *modelTrial) stepwise(batches [][]*modelNode, pause, reaction, backPause int, seen func() bool) modelRun {
	next, at, noticed := 0, 1, 0
	var fresh []*modelNode
	for p.now < modelLimit {
		p.step()
		for _, n := range p.nodes {
			if n.replacedAt == p.now && p.now > 0 && !p.finishReplace(n) && p.halted == 0 {
				n.replacedAt = p.now + 5 // retry
			}
		}
		if noticed == 0 && seen() {
			noticed = p.now
		}
		if noticed > 0 && p.halted == 0 && p.now >= noticed+reaction {
			p.halted, at = p.now, p.now
		}
		switch {
		case p.now < at:
		case p.halted > 0 && len(fresh) == 0:
			if p.countRunning(false) == modelNodes {
				p.back = p.now
				return p.result()
			}
		case p.halted > 0:
			for _, n := range fresh[max(0, len(fresh)-modelMaxOut):] {
				p.replace(n, false)
			}
			fresh, at = fresh[:max(0, len(fresh)-modelMaxOut)], p.now+backPause
		case next < len(batches):
			for _, n := range batches[next] {
				p.replace(n, true)
				fresh = append(fresh, n)
			}
			next, at = next+1, p.now+pause
		default:
			return p.result()
		}
	}
	return p.result()
}

// byHand releases to ten nodes at a time, in random order, as an operator would by hand.
func (p *modelTrial) byHand() modelRun {
	var batches [][]*modelNode
	order := p.random.Perm(modelNodes)
	for from := 0; from < modelNodes; from += modelNodes / 10 {
		var b []*modelNode
		for _, i := range order[from : from+modelNodes/10] {
			b = append(b, p.nodes[i])
		}
		batches = append(batches, b)
	}
	var harmed []float64
	return p.stepwise(batches, 300, 120, 30, func() bool {
		harmed = append(harmed, p.harmed)
		lost := 0.0
		if p.kind.workFactor <= 1 { // the figures of the whole fleet don't show that a tenth of the nodes is a tenth slower
			lost = harmed[len(harmed)-1] - harmed[max(0, len(harmed)-61)]
		}
		return lost > 0.01*60*modelRate*modelNodes || p.crashes >= 2
	})
}

// byThreshold releases in the program's waves, with a fixed bound on the failures of the new nodes.
func (p *modelTrial) byThreshold() modelRun {
	var batches [][]*modelNode
	rest := p.nodes[modelVoters:]
	for _, upTo := range []int{1, 5, 25, 50, 95} {
		for have := modelNodes - modelVoters - len(rest); have < upTo; have = modelNodes - modelVoters - len(rest) {
			n := min(upTo-have, modelMaxOut)
			batches, rest = append(batches, rest[:n]), rest[n:]
		}
	}
	batches = append(batches, p.nodes[:2], p.nodes[2:4], p.nodes[4:modelVoters])
	var harmed []float64
	return p.stepwise(batches, 60, 0, 10, func() bool {
		harmed = append(harmed, p.harmed)
		fresh := float64(max(1, p.countRunning(true)))
		lost := harmed[len(harmed)-1] - harmed[max(0, len(harmed)-61)]
		return p.kind.workFactor <= 1 && lost > 0.05*60*modelRate*fresh || p.kind.workFactor > 1.5 || p.crashes >= 2
	})
}

// modelWay is a way to release in the model.
type modelWay struct {
	name string
	run  func(*modelTrial) modelRun
}

// modelWays are the ways that are compared.
var modelWays = []modelWay{{"agreed", (*modelTrial).byAgreement}, {"by hand at 10%", (*modelTrial).byHand}, {"fixed threshold", (*modelTrial).byThreshold}}
