package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// roleEntry is a row of a role's table: the quantity, the load condition, the figure, its budget, and the
// mechanism that handles the load.
type roleEntry struct {
	what, when string
	figure     string // name of a figure or a slope; empty: not run
	budget     float64
	budgetNote string // unit and meaning of the budget
	mechanism  string
	// multiplier is applied to the figure to extrapolate beyond what was run; 0: the figure itself.
	multiplier float64
	// budgetFigure names a measured figure that is the budget: the maximum that is possible.
	budgetFigure string
}

// valueOf returns an entry's value, and the entry with its budget filled in.
func (r *Results) valueOf(e roleEntry) (value, roleEntry, error) {
	v, err := r.find(e.figure)
	if err != nil {
		return v, e, err
	}
	if e.multiplier > 0 {
		v.value, v.extrapolated, v.formula = e.multiplier*v.value, true, fmt.Sprintf("%s x %s", formatValue(e.multiplier), e.figure)
	}
	if e.budgetFigure == "" {
		return v, e, nil
	}
	available, err := r.find(e.budgetFigure)
	e.budget, e.budgetNote = available.value, available.unit
	return v, e, err
}

func (e roleEntry) budgetText() string {
	if e.budget == 0 {
		return cmp.Or(e.budgetNote, "none stated")
	}
	return formatValue(e.budget) + " " + e.budgetNote
}

// role is a part of the program with its capacity table.
type role struct {
	name    string
	entries []roleEntry
}

// Load conditions.
const (
	atRest  = "at rest"
	atPeak  = "at the peak of changes: 100 drains in 10 s"
	atSome  = "10 drains in 10 s"
	onFault = "in failures: "
	missing = "missing"
)

// Notes of budgets, and names of mechanisms.
const (
	ofMemory  = "MiB, the node's control part"
	ofCore    = "cores, the node's control part"
	ofBytes   = "bytes/s, the node's control part"
	ofInForce = "ms, in force everywhere"
	// carriesConfiguration is the mechanism that brings changes to the nodes' control parts. Their data planes don't apply
	// these changes yet.
	carriesConfiguration = "internal/configuration, internal/control"
	ofListTake           = "bytes, what a node takes"
)

const (
	platformMemory = 192 // MiB of memory of the largest node
	memoryNote     = "MiB, the largest node of the platform, all of it"
)

// roles holds all roles, in the order of the page.
var roles = []role{
	{"data-plane", []roleEntry{
		{"memory, one service of all 8,600 backends", atRest, "modules.backends.memory", platformMemory, memoryNote,
			"decide", 0, ""},
		{"memory, 18,000 tenants, one service", atRest, "modules.tenants.memory", platformMemory, memoryNote, "decide", 0, ""},
		{"memory, 340 services, a module each, idle", atRest, "modules.services.memory", platformMemory, memoryNote,
			missing + ": a node has one service", 0, ""},
		{"memory, 340 services, a module each with all tenants", atRest, "modules.services.tenants.memory",
			platformMemory, memoryNote, missing + ": tenants shared by services", 0, ""},
		{"memory, 340 services, a module each that has heard the others", atRest, "messages.services.memory",
			platformMemory, memoryNote, missing + ": a node has one service", 0, ""},
		{"processor time, 340 modules to which nothing comes", atRest, "modules.services.idle", 0, "",
			missing + ": one timer for all services", 0, ""},
		{"whole process, the design's backends and tenants, one service", atRest, "latency.design.memory",
			platformMemory, memoryNote, "internal/app", 0, ""},
		{"processor time at 89 requests a second, the design's state", atRest, "latency.design.processor", 0, "",
			"internal/app", 0, ""},
		{"added to a request, p99, the design's state", atRest, "latency.added.design.p99", BudgetAddedLatency,
			"ms, 99 in 100", "internal/core", 0, ""},
		{"added to a request, p50, the design's state", atRest, "latency.added.design.p50", BudgetAddedLatency,
			"ms, 99 in 100", "internal/core", 0, ""},
		{"more with the design's state than with little, p50", atRest, "latency.more.p50", BudgetAddedLatency,
			"ms, 99 in 100", "internal/core", 0, ""},
		{"more with the design's state than with little, p99", atRest, "latency.more.p99", BudgetAddedLatency,
			"ms, 99 in 100", "internal/core", 0, ""},
		{"added to a request, p99, little state", atRest, "latency.added.little.p99", BudgetAddedLatency, "ms, 99 in 100",
			"internal/core", 0, ""},
		{"load messages, 340 services", atRest, "messages.services.bytes", BudgetBytes, ofBytes,
			missing + ": internal/gossip carries one service", 0, ""},
		{"load messages, 340 services, processor time without system calls", atRest, "messages.services.processor",
			BudgetCores, ofCore, missing + ": internal/gossip carries one service", 0, ""},
		{"2,600 routes", atRest, "", 0, "", missing, 0, ""},
		{"list of backends changes", "at the peak of changes", "", 0, "", "decide, internal/member/registry", 0, ""},
		{"latency", onFault + "each", "", BudgetAddedLatency, "ms, 99 in 100", "internal/core", 0, ""},
	}},
	{"control-part", []roleEntry{
		{"processor time (hollow)", atRest, "nodes.rest.node.processor", BudgetCores, ofCore, "internal/control", 0, ""},
		{"processor time (40 real)", atRest, "calibrate.40.processor.real", BudgetCores, ofCore,
			"internal/control", 0, ""},
		{"memory (40 real)", atRest, "calibrate.40.memory.real", BudgetMemory, ofMemory, "internal/control", 0, ""},
		{"messages: sessions and watches", atRest, "nodes.rest.node.bytes", BudgetBytes, ofBytes, "internal/control", 0, ""},
		{"calls", atRest, "nodes.rest.node.calls", 0, "", "internal/control", 0, ""},
		{"processor time (hollow)", atPeak, "nodes.730.burst100.node.processor", BudgetCores, ofCore,
			"internal/control", 0, ""},
		{"messages", atSome, "nodes.730.burst10.node.bytes", BudgetBytes, ofBytes,
			"internal/control: each change sends all that is drained", 0, ""},
		{"messages", atPeak, "nodes.730.burst100.node.bytes", BudgetBytes, ofBytes,
			"internal/control: each change sends all that is drained", 0, ""},
		{"a drain known at the last node, p50", atRest, "nodes.drain.known.last.p50", BudgetInForce * 1e3, ofInForce,
			"internal/control", 0, ""},
		{"a drain known at the last node, worst of ten", atRest, "nodes.drain.known.last.worst", BudgetInForce * 1e3,
			ofInForce, "internal/control", 0, ""},
		{"a drain proven at all, p50", atRest, "nodes.drain.proven.p50", BudgetInForce * 1e3, ofInForce,
			"internal/fleet", 0, ""},
		{"a drain known at the last node, worst", atSome, "nodes.730.burst10.known.last.worst", BudgetInForce * 1e3,
			ofInForce, "internal/control", 0, ""},
		{"a drain known at the last node, worst", "30 drains in 10 s", "nodes.730.burst30.known.last.worst",
			BudgetInForce * 1e3, ofInForce, "internal/control", 0, ""},
		{"a drain known at the last node, worst", atPeak, "nodes.730.burst100.known.last.worst", BudgetInForce * 1e3,
			ofInForce, "internal/control", 0, ""},
		{"a drain known at the last node", onFault + "the leader killed", "nodes.730.fault.leader.drain.known.last",
			BudgetInForce * 1e3, ofInForce, "internal/agree", 0, ""},
		{"a drain known at the last node", onFault + "a control machine stopped",
			"nodes.730.fault.machine.drain.known.last", BudgetInForce * 1e3, ofInForce, "internal/agree", 0, ""},
		{"all have a session again", onFault + "a zone's nodes restarted at once", "nodes.730.fault.zone.live", 0, "",
			"internal/control", 0, ""},
		{"all have a session again", onFault + "a region's nodes restarted at once", "nodes.730.fault.region.live", 0,
			"", "internal/control", 0, ""},
		{"a change of configuration in force everywhere, worst", "each of 4,000 a day",
			"configuration.730.alone.inforce.worst", BudgetInForce * 1e3, ofInForce, carriesConfiguration, 0, ""},
		{"a change of configuration in force everywhere, p99", "at the peak of changes: 100 in 10 s",
			"configuration.730.burst.inforce.p99", BudgetInForce * 1e3, ofInForce, carriesConfiguration, 0, ""},
		{"a change of configuration in force everywhere, worst", "at the peak of changes: 100 in 10 s",
			"configuration.730.burst.inforce.worst", BudgetInForce * 1e3, ofInForce, carriesConfiguration, 0, ""},
		{"the whole configuration, no cache", onFault + "all nodes started at once", "configuration.730.start.inforce", 0,
			"", carriesConfiguration, 0, ""},
		{"messages, the configuration's watch among them", atRest, "configuration.730.rest.node.bytes", BudgetBytes,
			ofBytes, carriesConfiguration, 0, ""},
		{"a change of configuration acted on by the data plane", "each of 4,000 a day", "", BudgetInForce * 1e3, ofInForce,
			missing + ": nodes hold it and don't use it", 0, ""},
		{"regions apart for an hour", onFault + "regions apart", "", 0, "", "internal/agree", 0, ""},
		{"a drain known at the majority's last node", onFault + "regions apart", "regions.apart.known.majority",
			BudgetInForce * 1e3, ofInForce, "internal/agree", 0, ""},
		{"a drain known at the last node once they are joined", onFault + "regions apart for two minutes",
			"regions.apart.known.all", BudgetInForce * 1e3, ofInForce, "internal/control", 0, ""},
		{"all have a session again", onFault + "regions apart for two minutes", "regions.apart.live", 0, "",
			"internal/control", 0, ""},
		{"bytes of a node as they join", onFault + "regions apart for two minutes", "regions.apart.node.bytes", 0, "",
			"internal/control", 0, ""},
		{"a drain known at the majority's last node", onFault + "one way cut", "regions.oneway.known.majority",
			BudgetInForce * 1e3, ofInForce, "internal/agree", 0, ""},
		{"a rack of 40", onFault + "the rack lost", "", 0, "", "internal/fleet", 0, ""},
	}},
	{"leader", []roleEntry{
		{"memory", atRest, "nodes.rest.leader.memory", 0, "", "internal/control, internal/fleet", 0, ""},
		{"processor time", atRest, "nodes.rest.leader.processor", 0, "", "internal/control", 0, ""},
		{"an entry of the log, 100 drains not proven, processor time", "10 drains a second",
			"modules.entry.outs.took", 0, "", "internal/fleet: each entry proves all drains anew", 0, ""},
		{"entries a second at most, 100 drains not proven", "10 drains a second", "modules.entry.most", 0, "",
			"internal/fleet: one goroutine applies them, and heartbeats wait for it", 0, ""},
		{"an entry of the log, one drain not proven, processor time", atRest, "modules.entry.one.took", 0, "",
			"internal/fleet", 0, ""},
		{"entries of the log, what one core applies being the budget", "10 drains a second", "nodes.730.burst10.entries", 0, "",
			"internal/fleet: each node's acknowledgement goes through the log", 10, "modules.entry.most"},
		{"datagrams", atRest, "nodes.rest.leader.datagrams", 0, "", "internal/link", 0, ""},
		{"bytes", atRest, "nodes.rest.leader.bytes", 0, "", "internal/link", 0, ""},
		{"the log on disk", atRest, "nodes.rest.leader.disk", 0, "", "internal/agree", 0, ""},
		{"processor time", atPeak, "nodes.730.burst100.leader.processor", 0, "", "internal/fleet", 0, ""},
		{"bytes", atPeak, "nodes.730.burst100.leader.bytes", 0, "", "internal/link", 0, ""},
		{"entries of the log", atPeak, "nodes.730.burst100.entries", 0, "", "internal/agree", 0, ""},
		{"processor time in all", onFault + "a zone's nodes restarted at once",
			"nodes.730.fault.zone.leader.processor", 0, "", "internal/link", 0, ""},
		{"processor time in all", onFault + "a region's nodes restarted at once",
			"nodes.730.fault.region.leader.processor", 0, "", "internal/link", 0, ""},
		{"bytes for each node", onFault + "a region's nodes restarted at once", "nodes.730.fault.region.leader.bytes",
			0, "", "internal/link", 0, ""},
	}},
	{"follower", []roleEntry{
		{"memory", atRest, "nodes.rest.follower.memory", 0, "", "internal/agree, internal/fleet", 0, ""},
		{"processor time", atRest, "nodes.rest.follower.processor", 0, "", "internal/agree", 0, ""},
		{"bytes", atRest, "nodes.rest.follower.bytes", 0, "", "internal/agree", 0, ""},
		{"processor time", atPeak, "nodes.730.burst100.follower.processor", 0, "", "internal/agree", 0, ""},
		{"back after its process was killed while it led", onFault + "a control machine",
			"nodes.730.fault.leader.back", 0, "", "internal/agree", 0, ""},
		{"caught up after 30 s of standing still", onFault + "a control machine", "nodes.730.fault.machine.back", 0,
			"", "internal/agree", 0, ""},
		{"watches served to nodes", atRest, "", 0, "", missing + ": all watches hang on the leader", 0, ""},
	}},
	{"discovery", []roleEntry{
		{"a whole list of JSON", atRest, "modules.backends.list.json", listLimit, ofListTake,
			"internal/member/registry", 0, ""},
		{"taking it, JSON", atRest, "modules.backends.list.decoded", 0, "", "internal/member/registry", 0, ""},
		{"taking it, the module", atRest, "modules.backends.list.taken", 0, "", "decide", 0, ""},
		{"a whole list at the node's 7,000 bytes a second", onFault + "a node restarted",
			"modules.backends.list.paced", BudgetInForce, "s, in force everywhere", missing + ": a list by parts, or kept on disk", 0, ""},
		{"lists for 365 nodes that restart at once", onFault + "a region's nodes", "modules.backends.region.restart",
			0, "", "internal/member/registry", 0, ""},
		{"the outside registry under 730 watches", atRest, "", 0, "", "not this program's", 0, ""},
	}},
	{"others", []roleEntry{
		{"operator's tool: the whole state as JSON", atRest, "nodes.rest.state.bytes", 0, "", "internal/control", 0, ""},
		{"operator's tool: time to get it", atRest, "nodes.rest.state.took", 0, "", "internal/control", 0, ""},
		{"operator's tool: a drain granted, p50", atRest, "nodes.drain.granted.p50", 0, "", "internal/control", 0, ""},
		{"supervisor", "at rest, peak, failures", "", 0, "", "internal/supervise", 0, ""},
		{"gateway link", "at rest, peak, failures", "", 0, "", "internal/link", 0, ""},
	}},
}

// missingTable lists the loads that no part of the program can handle at the design size, the furthest over budget
// first.
func missingTable(r *Results) (string, error) {
	type lack struct {
		roleEntry
		value  value
		why    string // reason why the value is missing
		factor float64
	}
	var list []lack
	for _, role := range roles {
		for _, e := range role.entries {
			l := lack{roleEntry: e}
			if e.figure != "" {
				v, e, err := r.valueOf(e)
				if l.roleEntry = e; err != nil {
					l.why = r.missingReason(e.figure)
				}
				if err != nil && l.why == "" {
					return "", err
				}
				if l.value = v; e.budget > 0 {
					l.factor = v.value / e.budget
				}
			}
			if len(e.mechanism) >= len(missing) && e.mechanism[:len(missing)] == missing || l.factor > 1 {
				list = append(list, l)
			}
		}
	}
	// An entry that has a budget and no mechanism comes first, because its factor has no bound.
	order := func(l lack) float64 {
		if l.figure == "" && l.budget > 0 {
			return 1e18
		}
		return l.factor
	}
	slices.SortStableFunc(list, func(a, b lack) int { return cmp.Compare(order(b), order(a)) })
	var table grid
	table.head("", "what", "measured", "budget", "factor", "carried by")
	for i, l := range list {
		measured, over := l.value.String(), factor(l.value.value, l.budget)
		if l.why != "" {
			measured, over = "*"+l.why+"*", "-"
		}
		if l.figure == "" {
			measured, over = "nothing to run", "-"
			if l.budget > 0 {
				over = "**no bound**: nothing carries it"
			}
		}
		table.row(fmt.Sprint(i+1), l.what+", "+l.when, measured, l.budgetText(), over, l.mechanism)
	}
	return table.String(), nil
}
