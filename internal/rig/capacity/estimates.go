package capacity

import (
	"fmt"
	"math"
	"strings"
)

// estimate is one of the numbers that the plan used before anything was measured.
type estimate struct {
	text   string
	figure string  // name of the measured figure
	want   float64 // in the figure's unit
}

// estimateTolerance is the relative difference from an estimate up to which a measured value confirms it.
const estimateTolerance = 0.25

const mebi = 1 << 20

var estimates = []estimate{
	{"one module with 8,600 servers holds 5.1 MB", "modules.backends.memory", 5.1e6 / mebi},
	{"it takes a whole list in 28 ms", "modules.backends.list.taken", 28},
	{"18,000 tenants add 2.1 MB", "modules.tenants.memory", 2.1e6 / mebi},
	{"a module per service that each hold all tenants: 730 MB a node", "modules.services.tenants.memory", 730e6 / mebi},
	{"300 nodes before 200 servers tell 24 others each", "messages.audience.small", 24},
	{"25 backends, subsets of 8, 730 nodes: 495 others for each service", "messages.audience.design", 495},
	{"some seven times a second to each of them", "messages.words", 7},
	{"at a node a request of a service comes in 4 s at the mean", "messages.request.each", 4},
	{"a whole list of 8,600 entries: 1.1 MB of JSON", "modules.backends.list.json", 1.1e6},
	{"365 nodes that restart at once ask for 400 MB", "modules.backends.region.restart", 400},
	{"sessions: some 600 bytes a second a node", "nodes.rest.node.bytes", 600},
	{"10,627 datagrams a second at the leader of 1,000; at 730 in proportion 7,758", "nodes.rest.leader.datagrams",
		7758},
	{"0.39 of a core there at 1,000; at 730 in proportion 0.28", "nodes.rest.leader.processor", 0.28},
	{"127 MB there at 1,000; at 730 in proportion 93", "nodes.rest.leader.memory", 93e6 / mebi},
	{"a proof took 485 ms at 300 and 2,492 ms at 1,000; between them at 730 1,719, looked for each 5 ms",
		"nodes.drain.looked.p50", 1719},
	{"all watches hang on the leader, the others idle: a follower's bytes over the leader's, some 0",
		"nodes.730.rest.follower.share", 0},
}

func estimatesTable(r *Results) (string, error) {
	var table grid
	table.head("estimate", "the run", "")
	for _, e := range estimates {
		v, err := r.find(e.figure)
		if why := r.missingReason(e.figure); err != nil && why != "" {
			table.row(e.text, "*"+why+"*", "not run")
			continue
		}
		if err != nil {
			return "", err
		}
		verdict := "refuted"
		if math.Abs(v.value-e.want) <= max(estimateTolerance*math.Abs(e.want), maxIdleShare*boolean(e.want == 0)) {
			verdict = "confirmed"
		}
		table.row(e.text, fmt.Sprintf("%s (%s)", v, e.figure), verdict)
	}
	return table.String(), nil
}

const maxIdleShare = 0.15 // share of the leader's bytes up to which a follower counts as idle

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// assumption is something that only the operators know, with the figures that depend on it.
type assumption struct {
	text    string
	figures []string
}

var assumptions = []assumption{
	{"**Time of an answer** (50 ms in the runs; load messages tell of what is under way when a node speaks, each 75 to 225 ms): bytes a second of a node with answers of 20 ms, and of 200 ms",
		[]string{"messages.answers.20ms.bytes", "messages.answers.200ms.bytes"}},
	{"**Skew of services** (even in the runs): with the same requests over fewer services a node's load messages are fewer; 10, 40, 100 and 340 services",
		[]string{"messages.services.10.bytes", "messages.services.40.bytes", "messages.services.100.bytes",
			"messages.services.340.bytes"}},
	{"**Backends shared by services** (none in the runs): a backend of several services is listed once and told of once for each; one module of all backends stands for full sharing", []string{"modules.backends.memory"}},
	{"**Bytes of a tenant** (a name of 12 bytes, quota and share): what the module holds, and its settings",
		[]string{"modules.tenants.memory", "modules.tenants.settings"}},
	{"**Bytes of a backend in the list** (a name of 10 bytes, zone, kind, cell, weight, start)",
		[]string{"modules.backends.list.json"}},
	{"**Bytes of a route**: not known, no routes yet", nil},
	{"**A control machine's cores and memory**: none stated, so that no factor is given there", nil},
}

func assumptionsTable(r *Results) (string, error) {
	var table grid
	table.head("assumption", "what hangs on it")
	for _, e := range assumptions {
		var list []string
		for _, name := range e.figures {
			v, err := r.find(name)
			if err != nil {
				return "", err
			}
			list = append(list, v.String())
		}
		if len(list) == 0 {
			list = []string{"*not run*"}
		}
		table.row(e.text, strings.Join(list, "; "))
	}
	return table.String(), nil
}
