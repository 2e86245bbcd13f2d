package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/fleet/fleetpb"
)

// CheckBudgets validates budgets. It returns the index and the field of the first invalid one and the reason, or -1,
// an empty field and nil.
func CheckBudgets(list []*fleetpb.Budget) (index int, field string, err error) {
	if len(list) > maxBudgets {
		return maxBudgets, "name", fmt.Errorf("%d budgets, %d at most", len(list), maxBudgets)
	}
	seen := map[string]bool{}
	for i, b := range list {
		isFraction := func(v float64) bool { return v >= 0 && v <= 1 }
		switch {
		case b.Name == "" || len(b.Name) > maxTextBytes || seen[b.Name]:
			return i, "name", fmt.Errorf("want a name of its own, have %.50q", b.Name)
		case b.On != "servers" && b.On != "nodes":
			return i, "on", fmt.Errorf("want servers or nodes, have %.50q", b.On)
		case !slices.Contains([]string{"fleet", "zone", "kind", "cell"}, b.By) || b.On == "nodes" && b.By != "fleet" && b.By != "zone":
			return i, "by", fmt.Errorf("want fleet or zone, or of servers kind or cell, have %.50q", b.By)
		case !isFraction(b.MostShare):
			return i, "most_share", fmt.Errorf("want 0 to 1, have %v", b.MostShare)
		case !isFraction(b.LeastLeft):
			return i, "least_left", fmt.Errorf("want 0 to 1, have %v", b.LeastLeft)
		case !b.Bounded && b.MostShare == 0 && b.LeastLeft == 0:
			return i, "most_out", fmt.Errorf("want most_out, most_share or least_left: this budget bounds nothing")
		}
		seen[b.Name] = true
	}
	return -1, "", nil
}

func (m *Machine) setBudgets(s *fleetpb.SetBudgets) *fleetpb.Result {
	if i, field, err := CheckBudgets(s.Budgets); err != nil {
		return invalid("budget %d: %s: %v", i, field, err)
	}
	m.state.Budgets, m.state.BudgetsSet = s.Budgets, true
	m.addEvent(s.By, "%d budgets set", len(s.Budgets))
	return doneResult(m.nextEpoch())
}

// budgetMember is a server or a node that a budget counts.
type budgetMember struct {
	name      string
	weight    float64
	outReason string // why it is out of service; empty if it is in service
}

// Group is one group of a budget, with its members that are out of service.
type Group struct {
	Budget          *fleetpb.Budget
	Name            string // "fleet", or the zone, kind or cell
	Members         int
	Out             []string // members out of service with the reason, "s-1 (drained)", sorted by name
	TotalWeight     float64  // of all members
	RemainingWeight float64  // weight of the members in service
}

// serverOutReason returns why a server is out of service, be it drained or not; empty if it is in service.
func (m *Machine) serverOutReason(id string) string {
	s := m.state.Servers[id]
	switch {
	case m.state.Outs[ServerTarget(id)] != nil:
		return "drained"
	case m.state.Outs[ZoneTarget(s.Zone)] != nil:
		return "drained with its zone"
	case s.State == Draining:
		return "draining in the registry"
	case s.State == Removed:
		return "gone from the registry"
	case s.Dead:
		return "found dead by the nodes"
	}
	return ""
}

// nodeOutReason returns why a node is out of service; empty if it is in service.
func (m *Machine) nodeOutReason(name string) string {
	n := m.state.Nodes[name]
	switch {
	case m.state.Outs[NodeTarget(name)] != nil:
		return "drained"
	case n.State != Live:
		return "session " + n.State
	case n.Leaving:
		return "leaving"
	}
	return ""
}

// holdOn returns the hold that keeps a server or a node in service, or nil.
func (m *Machine) holdOn(on, name string) *fleetpb.Hold {
	targets := []string{FleetTarget, NodeTarget(name)}
	if on == "servers" {
		targets = []string{FleetTarget, ServerTarget(name), ZoneTarget(m.state.Servers[name].Zone)}
	}
	for _, t := range targets {
		if h := m.state.Holds[t]; h != nil {
			return h
		}
	}
	return nil
}

func groupOf(b *fleetpb.Budget, zone, kind string, cell int32) string {
	switch b.By {
	case "zone":
		return "zone " + zone
	case "kind":
		return "kind " + kind
	case "cell":
		return fmt.Sprintf("cell %d", cell)
	}
	return "fleet"
}

// groups returns the members of each group of a budget by the group's name. Members in assumedOut count as out of
// service, with the reason given there.
func (m *Machine) groups(b *fleetpb.Budget, assumedOut map[string]string) map[string][]budgetMember {
	groups := map[string][]budgetMember{}
	add := func(group string, n budgetMember) {
		if b.Only == "" || group == b.By+" "+b.Only {
			groups[group] = append(groups[group], n)
		}
	}
	if b.On == "nodes" {
		for _, name := range slices.Sorted(maps.Keys(m.state.Nodes)) {
			why := m.nodeOutReason(name)
			if why == "" {
				why = assumedOut[name]
			}
			add(groupOf(b, m.state.Nodes[name].Zone, "", 0), budgetMember{name, 1, why})
		}
		return groups
	}
	for _, id := range slices.Sorted(maps.Keys(m.state.Servers)) {
		s, why := m.state.Servers[id], m.serverOutReason(id)
		if why == "" {
			why = assumedOut[id]
		}
		weight := s.Weight
		if !(weight > 0) || math.IsInf(weight, 0) {
			weight = 1
		}
		add(groupOf(b, s.Zone, s.Kind, s.Cell), budgetMember{id, weight, why})
	}
	return groups
}

func groupFrom(b *fleetpb.Budget, name string, members []budgetMember) Group {
	g := Group{Budget: b, Name: name, Members: len(members)}
	for _, n := range members {
		g.TotalWeight += n.weight
		if n.outReason != "" {
			g.Out = append(g.Out, n.name+" ("+n.outReason+")")
		} else {
			g.RemainingWeight += n.weight
		}
	}
	return g
}

// Groups returns the groups of all budgets, in the order of the budgets and then of the groups' names.
func (m *Machine) Groups() (all []Group) {
	for _, b := range m.state.Budgets {
		g := m.groups(b, nil)
		for _, name := range slices.Sorted(maps.Keys(g)) {
			all = append(all, groupFrom(b, name, g[name]))
		}
	}
	return all
}

// Exceeded describes the limit of the budget that the group exceeds; empty if it exceeds none.
func (g Group) Exceeded() string {
	b, n := g.Budget, len(g.Out)
	switch {
	case b.Bounded && n > int(b.MostOut):
		return fmt.Sprintf("%d of %d out, %d at most", n, g.Members, b.MostOut)
	case b.MostShare > 0 && n > int(b.MostShare*float64(g.Members)+1e-9):
		return fmt.Sprintf("%d of %d out, %d at most (%.4g of them)", n, g.Members, int(b.MostShare*float64(g.Members)+1e-9), b.MostShare)
	case b.LeastLeft > 0 && g.RemainingWeight < b.LeastLeft*g.TotalWeight-1e-9:
		return fmt.Sprintf("%.4g of a weight of %.4g left, %.4g at least", g.RemainingWeight, g.TotalWeight, b.LeastLeft*g.TotalWeight)
	}
	return ""
}

// denialReason returns why a target may not be taken out of service now, with the name of the hold or the budget and
// its numbers; empty if it may. The targets in ahead, for which earlier drains wait in the queue, count as out in the
// groups that they share with the target, so that a later drain does not overtake them. Members that are out already
// use no budget.
func (m *Machine) denialReason(target string, ahead []string) string {
	kind, names, err := m.targetMembers(target)
	if err != nil {
		return err.Error()
	}
	assumedOut := map[string]string{}
	for _, t := range ahead {
		if memberKind, waiting, err := m.targetMembers(t); err == nil && memberKind == kind {
			for _, name := range waiting {
				assumedOut[name] = "waits before it"
			}
		}
	}
	takesOut := false
	for _, name := range names {
		if kind == "servers" && m.serverOutReason(name) != "" || kind == "nodes" && m.nodeOutReason(name) != "" {
			continue
		}
		if h := m.holdOn(kind, name); h != nil {
			return fmt.Sprintf("%s is held by %s: %s", h.Target, h.By, h.Why)
		}
		assumedOut[name], takesOut = "asked for", true
	}
	if !takesOut {
		return ""
	}
	for _, b := range m.state.Budgets {
		if b.On != kind {
			continue
		}
		groups := m.groups(b, assumedOut)
		for _, name := range slices.Sorted(maps.Keys(groups)) {
			if !slices.ContainsFunc(groups[name], func(x budgetMember) bool { return x.outReason == "asked for" }) {
				continue
			}
			if group := groupFrom(b, name, groups[name]); group.Exceeded() != "" {
				return fmt.Sprintf("budget %s, %s: %s: %s", b.Name, name, group.Exceeded(), strings.Join(group.Out, ", "))
			}
		}
	}
	return ""
}

// Explain returns the result that a drain would have now, and does not change the state.
func (m *Machine) Explain(d *fleetpb.Drain) *fleetpb.Result {
	return m.dryRun(func(trial *Machine) *fleetpb.Result { return trial.drain(proto.CloneOf(d), "") })
}

// dryRun runs a function on a copy of the machine.
func (m *Machine) dryRun(do func(*Machine) *fleetpb.Result) *fleetpb.Result {
	raw, err := m.Snapshot()
	if err != nil {
		return invalid("%v", err)
	}
	copied := New()
	if err := copied.Restore(raw); err != nil {
		return invalid("%v", err)
	}
	return do(copied)
}
