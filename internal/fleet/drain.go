package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"starlingvalve/internal/fleet/fleetpb"
)

// drain grants a drain, queues it, or refuses it. ask is the ID of the request, which a queued drain keeps.
func (m *Machine) drain(d *fleetpb.Drain, ask string) *fleetpb.Result {
	if err := checkText(d.Target, d.By, d.Why); err != nil {
		return invalid("drain: %v", err)
	}
	if o := m.state.Outs[d.Target]; o != nil {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Epoch: o.Epoch, Reason: fmt.Sprintf("%s is drained already, by %s", d.Target, o.By)}
	}
	if m.queueIndex(d.Target) >= 0 {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: d.Target + " waits already"}
	}
	if _, _, err := m.targetMembers(d.Target); err != nil {
		return invalid("drain: %v", err)
	}
	if d.Force {
		o := m.grant(d)
		m.addEvent(d.By, "drain of %s FORCED past the budgets, epoch %d: %s", d.Target, o.Epoch, d.Why)
		return doneResult(o.Epoch)
	}
	why := m.denialReason(d.Target, m.queuedTargets(len(m.state.Queue)))
	if why == "" {
		o := m.grant(d)
		m.addEvent(d.By, "drain of %s granted, epoch %d: %s", d.Target, o.Epoch, d.Why)
		return doneResult(o.Epoch)
	}
	if d.WaitMs <= 0 {
		m.addEvent(d.By, "drain of %s refused: %s", d.Target, why)
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: why}
	}
	if len(m.state.Queue) >= maxQueue {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf("%d drains wait already", len(m.state.Queue))}
	}
	m.state.Queue = append(m.state.Queue, &fleetpb.Waiting{Drain: d, Ask: ask, AskedMs: m.state.NowMs, UntilMs: m.state.NowMs + d.WaitMs, Reason: why})
	m.addEvent(d.By, "drain of %s waits at place %d: %s", d.Target, len(m.state.Queue), why)
	return &fleetpb.Result{Code: fleetpb.Result_QUEUED, Reason: why, Place: uint32(len(m.state.Queue))}
}

func (m *Machine) grant(d *fleetpb.Drain) *fleetpb.Out {
	o := &fleetpb.Out{Target: d.Target, Epoch: m.nextEpoch(), By: d.By, Why: d.Why, GrantedMs: m.state.NowMs, Forced: d.Force}
	m.state.Outs[d.Target] = o
	m.state.Orders++
	return o
}

func (m *Machine) queueIndex(target string) int {
	return slices.IndexFunc(m.state.Queue, func(w *fleetpb.Waiting) bool { return w.Drain.Target == target })
}

// returnTarget ends the drain of a target, which then is back in service. With an epoch it ends only the drain of
// that epoch.
func (m *Machine) returnTarget(r *fleetpb.Return) *fleetpb.Result {
	o := m.state.Outs[r.Target]
	if o == nil {
		return invalid("return: %s is not drained", r.Target)
	}
	if r.Epoch != 0 && r.Epoch != o.Epoch {
		return &fleetpb.Result{Code: fleetpb.Result_FENCED, Epoch: o.Epoch, Reason: fmt.Sprintf("%s is drained at epoch %d by %s, not at %d any more", r.Target, o.Epoch, o.By, r.Epoch)}
	}
	delete(m.state.Outs, r.Target)
	m.state.Orders++
	m.addEvent(r.By, "%s returned, drained at epoch %d by %s: %s", r.Target, o.Epoch, o.By, r.Why)
	return doneResult(m.nextEpoch())
}

func (m *Machine) withdraw(w *fleetpb.Withdraw) *fleetpb.Result {
	i := m.queueIndex(w.Target)
	if i < 0 {
		return invalid("withdraw: no drain of %s waits", w.Target)
	}
	m.state.Queue = slices.Delete(m.state.Queue, i, i+1)
	m.addEvent(w.By, "drain of %s withdrawn", w.Target)
	return doneResult(m.state.Epoch)
}

// targetMembers returns what a target consists of: on is "servers" or "nodes", names their sorted names.
func (m *Machine) targetMembers(target string) (on string, names []string, err error) {
	kind, name, _ := strings.Cut(target, "/")
	switch {
	case kind == "server" && m.state.Servers[name] != nil:
		return "servers", []string{name}, nil
	case kind == "server":
		return "", nil, fmt.Errorf("no such server in the registry's list: %s", target)
	case kind == "node" && m.state.Nodes[name] != nil:
		return "nodes", []string{name}, nil
	case kind == "node":
		return "", nil, fmt.Errorf("no node %s has had a session", name)
	case kind == "zone":
		for _, id := range slices.Sorted(maps.Keys(m.state.Servers)) {
			if m.state.Servers[id].Zone == name {
				names = append(names, id)
			}
		}
		if len(names) == 0 {
			return "", nil, fmt.Errorf("no server of the registry's list is in zone %s", name)
		}
		return "servers", names, nil
	}
	return "", nil, fmt.Errorf("want server/NAME, node/NAME or zone/NAME, have %.50q", target)
}

// queuedTargets returns the targets of the first n drains in the queue. Later drains must leave them their part of
// the budgets.
func (m *Machine) queuedTargets(n int) (targets []string) {
	for _, w := range m.state.Queue[:n] {
		targets = append(targets, w.Drain.Target)
	}
	return targets
}

// serveQueue grants the queued drains that fit now, in the order of their arrival, and drops those whose target does
// not exist any more or that have waited for their whole wait time.
func (m *Machine) serveQueue() {
	for i := 0; i < len(m.state.Queue); {
		w := m.state.Queue[i]
		why := m.denialReason(w.Drain.Target, m.queuedTargets(i))
		_, _, err := m.targetMembers(w.Drain.Target)
		switch {
		case err != nil:
			m.addEvent(w.Drain.By, "drain of %s dropped: %v", w.Drain.Target, err)
		case why == "":
			o := m.grant(w.Drain)
			m.addEvent(w.Drain.By, "drain of %s granted after %d ms in the queue, epoch %d: %s", w.Drain.Target, m.state.NowMs-w.AskedMs, o.Epoch, w.Drain.Why)
		case m.state.NowMs >= w.UntilMs:
			m.addEvent(w.Drain.By, "drain of %s gave up after %d ms in the queue: %s", w.Drain.Target, m.state.NowMs-w.AskedMs, why)
		default:
			w.Reason = why
			i++
			continue
		}
		m.state.Queue = slices.Delete(m.state.Queue, i, i+1)
	}
}
