package capacity

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
)

// fleetState is a fleet's replicated state machine as every control machine holds it.
type fleetState struct{ machine *fleet.Machine }

func (a fleetState) apply(e *fleetpb.Entry) error {
	e.Level = 1
	raw, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	if res := a.machine.Apply(raw); res.Code != fleetpb.Result_DONE {
		return fmt.Errorf("%T: %v: %s", e.What, res.Code, res.Reason)
	}
	return nil
}

// newFleetState returns a state with the given numbers of nodes and of drains that no node has acknowledged yet.
func newFleetState(nodes, drains int) (state fleetState, err error) {
	state.machine = fleet.New()
	listed := &fleetpb.Listed{}
	for i := range drains {
		listed.Servers = append(listed.Servers, &fleetpb.Server{Id: backendName(i), Zone: zoneOf(i),
			State: fleet.Ready, Weight: 1})
	}
	entries := []*fleetpb.Entry{
		{What: &fleetpb.Entry_Budgets{Budgets: &fleetpb.SetBudgets{Budgets: []*fleetpb.Budget{{Name: "all",
			On: "servers", By: "fleet", Bounded: true, MostOut: uint32(drains)}}}}},
		{What: &fleetpb.Entry_Listed{Listed: listed}},
	}
	for i := range nodes {
		entries = append(entries,
			&fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: fmt.Sprintf("n%d", i+1),
				Zone: zoneOf(i), Process: "1", Level: 1}}})
	}
	for i := range drains {
		entries = append(entries, drainEntry(fleet.ServerTarget(backendName(i))))
	}
	for _, e := range entries {
		if err := state.apply(e); err != nil {
			return state, err
		}
	}
	return state, nil
}

const entryTries = 50

// ackTime returns the processor time that one node's acknowledgement costs each control machine, the median of
// entryTries.
func (a fleetState) ackTime() (took time.Duration, err error) {
	target := fleet.ServerTarget(backendName(0))
	e := &fleetpb.Entry{What: &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{Acks: []*fleetpb.Ack{{Node: "n1",
		Session: a.machine.State().Nodes["n1"].Epoch,
		Target:  target, Epoch: a.machine.State().Outs[target].Epoch}}}}}
	took = median(entryTries, func() time.Duration {
		began := processorTime()
		if e := a.apply(e); e != nil {
			err = e
		}
		return processorTime() - began
	})
	return took, err
}

// entries measures the processor time that one log entry costs each control machine, by the numbers of nodes and
// of drains that are not proven yet.
func (r *run) entries(_ context.Context, s *Section) error {
	const nodes = 730
	var byDrains, byNodes slopePoints
	for _, drains := range []int{1, 10, 40, burstSize} {
		took, err := r.entry(s, nodes, drains)
		if err != nil {
			return err
		}
		byDrains.add("entry.outs.took", "ms of processor time for one entry, 730 nodes", float64(drains), took)
		if drains == burstSize {
			s.addFigure(r.Out, "entry.most", 1e3/took, "entries/s that one core applies, 730 nodes, 100 drains, computed")
		}
		if drains == 1 {
			s.addFigure(r.Out, "entry.one.took", took, "ms of processor time for one entry, 730 nodes")
		}
	}
	for _, size := range []int{40, 120, 365, nodes} {
		took, err := r.entry(s, size, burstSize)
		if err != nil {
			return err
		}
		byNodes.add("entry.nodes.took", "ms of processor time for one entry, 100 drains", float64(size), took)
	}
	if err := byDrains.write(r, s, "drain", burstSize); err != nil {
		return err
	}
	return byNodes.write(r, s, "node", Design.Nodes)
}

func (r *run) entry(s *Section, nodes, drains int) (ms float64, err error) {
	a, err := newFleetState(nodes, drains)
	if err != nil {
		return 0, err
	}
	took, err := a.ackTime()
	if err != nil {
		return 0, err
	}
	ms = took.Seconds() * 1e3
	s.addFigure(r.Out, fmt.Sprintf("entry.%dnodes.%ddrains.took", nodes, drains), ms, "ms of processor time for one entry")
	return ms, nil
}
