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
	if err := text(d.Target, d.By, d.Why); err != nil {
		return invalid("drain: %v", err)
	}
	if o := m.s.Outs[d.Target]; o != nil {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Epoch: o.Epoch, Reason: fmt.Sprintf("%s is drained already, by %s", d.Target, o.By)}
	}
	if m.queued(d.Target) >= 0 {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: d.Target + " waits already"}
	}
	if _, _, err := m.members(d.Target); err != nil {
		return invalid("drain: %v", err)
	}
	if d.Force {
		o := m.grant(d)
		m.log(d.By, "drain of %s FORCED past the budgets, epoch %d: %s", d.Target, o.Epoch, d.Why)
		return done(o.Epoch)
	}
	why := m.mayGo(d.Target, m.ahead(len(m.s.Queue)))
	if why == "" {
		o := m.grant(d)
		m.log(d.By, "drain of %s granted, epoch %d: %s", d.Target, o.Epoch, d.Why)
		return done(o.Epoch)
	}
	if d.WaitMs <= 0 {
		m.log(d.By, "drain of %s refused: %s", d.Target, why)
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: why}
	}
	if len(m.s.Queue) >= mostQueue {
		return &fleetpb.Result{Code: fleetpb.Result_REFUSED, Reason: fmt.Sprintf("%d drains wait already", len(m.s.Queue))}
	}
	m.s.Queue = append(m.s.Queue, &fleetpb.Waiting{Drain: d, Ask: ask, AskedMs: m.s.NowMs, UntilMs: m.s.NowMs + d.WaitMs, Reason: why})
	m.log(d.By, "drain of %s waits at place %d: %s", d.Target, len(m.s.Queue), why)
	return &fleetpb.Result{Code: fleetpb.Result_QUEUED, Reason: why, Place: uint32(len(m.s.Queue))}
}

func (m *Machine) grant(d *fleetpb.Drain) *fleetpb.Out {
	o := &fleetpb.Out{Target: d.Target, Epoch: m.next(), By: d.By, Why: d.Why, GrantedMs: m.s.NowMs, Forced: d.Force}
	m.s.Outs[d.Target] = o
	m.s.Orders++
	return o
}

func (m *Machine) queued(target string) int {
	return slices.IndexFunc(m.s.Queue, func(w *fleetpb.Waiting) bool { return w.Drain.Target == target })
}

// returnTarget ends the drain of a target, which then is back in service. With an epoch it ends only the drain of
// that epoch.
func (m *Machine) giveBack(r *fleetpb.Return) *fleetpb.Result {
	o := m.s.Outs[r.Target]
	if o == nil {
		return invalid("return: %s is not drained", r.Target)
	}
	if r.Epoch != 0 && r.Epoch != o.Epoch {
		return &fleetpb.Result{Code: fleetpb.Result_FENCED, Epoch: o.Epoch, Reason: fmt.Sprintf("%s is drained at epoch %d by %s, not at %d any more", r.Target, o.Epoch, o.By, r.Epoch)}
	}
	delete(m.s.Outs, r.Target)
	m.s.Orders++
	m.log(r.By, "%s returned, drained at epoch %d by %s: %s", r.Target, o.Epoch, o.By, r.Why)
	return done(m.next())
}

func (m *Machine) withdraw(w *fleetpb.Withdraw) *fleetpb.Result {
	i := m.queued(w.Target)
	if i < 0 {
		return invalid("withdraw: no drain of %s waits", w.Target)
	}
	m.s.Queue = slices.Delete(m.s.Queue, i, i+1)
	m.log(w.By, "drain of %s withdrawn", w.Target)
	return done(m.s.Epoch)
}

// targetMembers returns what a target consists of: on is "servers" or "nodes", names their sorted names.
func (m *Machine) members(target string) (on string, names []string, err error) {
	kind, name, _ := strings.Cut(target, "/")
	switch {
	case kind == "server" && m.s.Servers[name] != nil:
		return "servers", []string{name}, nil
	case kind == "server":
		return "", nil, fmt.Errorf("no such server in the registry's list: %s", target)
	case kind == "node" && m.s.Nodes[name] != nil:
		return "nodes", []string{name}, nil
	case kind == "node":
		return "", nil, fmt.Errorf("no node %s has had a session", name)
	case kind == "zone":
		for _, id := range slices.Sorted(maps.Keys(m.s.Servers)) {
			if m.s.Servers[id].Zone == name {
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
func (m *Machine) ahead(n int) (targets []string) {
	for _, w := range m.s.Queue[:n] {
		targets = append(targets, w.Drain.Target)
	}
	return targets
}

// serveQueue grants the queued drains that fit now, in the order of their arrival, and drops those whose target does
// not exist any more or that have waited for their whole wait time.
func (m *Machine) serveQueue() {
	for i := 0; i < len(m.s.Queue); {
		w := m.s.Queue[i]
		why := m.mayGo(w.Drain.Target, m.ahead(i))
		_, _, err := m.members(w.Drain.Target)
		switch {
		case err != nil:
			m.log(w.Drain.By, "drain of %s dropped: %v", w.Drain.Target, err)
		case why == "":
			o := m.grant(w.Drain)
			m.log(w.Drain.By, "drain of %s granted after %d ms in the queue, epoch %d: %s", w.Drain.Target, m.s.NowMs-w.AskedMs, o.Epoch, w.Drain.Why)
		case m.s.NowMs >= w.UntilMs:
			m.log(w.Drain.By, "drain of %s gave up after %d ms in the queue: %s", w.Drain.Target, m.s.NowMs-w.AskedMs, why)
		default:
			w.Reason = why
			i++
			continue
		}
		m.s.Queue = slices.Delete(m.s.Queue, i, i+1)
	}
}
