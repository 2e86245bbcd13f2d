package main

import (
	"math/bits"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"starlingvalve/internal/standin"
)

// removedDuring reports whether the registry had stopped listing a server without a drain at some moment between from and
// to. An empty name stands for any server.
func removedDuring(gone []removalSpan, server string, from, to time.Time) bool {
	return slices.ContainsFunc(gone, func(g removalSpan) bool { return (server == "" || g.server == server) && g.overlaps(from, to) })
}

// checkBudget checks, by the operators' own records, that no zone ever had more servers switched off than its budget
// allows. A server that the registry did not list when its drain was requested is left out: it was out of service anyway,
// so its drain costs no budget.
func (d *drainsTrial) checkBudget() standin.Verdict {
	v := standin.Verdict{Rule: "never more switched off than the budget allows"}
	type edge struct {
		at   time.Time
		step int
		name string
	}
	edges := map[string][]edge{}
	for _, o := range d.switchedOff {
		if v.Cases++; removedDuring(d.p.removals, o.server, o.from.Add(-listPropagationTime), o.to) {
			continue
		}
		edges[o.zone] = append(edges[o.zone], edge{o.from, 1, o.server}, edge{o.to, -1, o.server})
	}
	for zone, list := range edges {
		sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
		out := map[string]int{}
		n := 0
		for _, e := range list {
			if n += e.step; n > d.maxOut {
				v.AddViolation("%s: %d at once at %s, with %s: %v", zone, n, e.at.Format(time.StampMilli), e.name, out)
			}
			out[e.name] += e.step
		}
	}
	return v
}

// checkQuietAfterProof checks, by the servers' own logs, that a server receives nothing from the proof of its drain until
// its return is requested.
func checkQuietAfterProof(off []switchedOffSpan, executions []standin.Execution) standin.Verdict {
	v := standin.Verdict{Rule: "no request reaches a server whose drain is proven"}
	spans := map[string][]span{}
	for _, o := range off {
		v.Cases++
		spans[o.server] = append(spans[o.server], o.span)
	}
	for _, x := range executions {
		for _, s := range spans[x.Server] {
			if x.ReceivedAt.After(s.from) && x.ReceivedAt.Before(s.to) {
				v.AddViolation("%s got %s %v after the proof", x.Server, x.ID, x.ReceivedAt.Sub(s.from))
			}
		}
	}
	return v
}

// followsLine matches the log line with which a node reports the drains that it applies, separated by commas.
var followsLine = regexp.MustCompile(`(?m)^time=(\S+) .*msg="fleet: follows" version=\d+ out="?([^\s"]*)`)

// drainNotice is the time in which a node knew of a server's drain: from the log line with which the node applied the
// drain until the one with which it applied the return.
type drainNotice struct {
	node, server string
	span
}

// drainNotices reads the log of one process of a node. A drain that is still in force at the end of the log is left out.
func drainNotices(node, log string) (list []drainNotice) {
	open := map[string]time.Time{}
	for _, m := range followsLine.FindAllStringSubmatch(log, -1) {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			continue
		}
		now := map[string]bool{}
		for t := range strings.SplitSeq(m[2], ",") {
			if name, ok := strings.CutPrefix(t, "server/"); ok {
				now[name] = true
				if open[name].IsZero() {
					open[name] = at
				}
			}
		}
		for name, from := range open {
			if !now[name] {
				list = append(list, drainNotice{node, name, span{from, at}})
				delete(open, name)
			}
		}
	}
	return list
}

// checkNotices checks, by the nodes' logs, that a node sends no new request to a server once DrainGrace has passed since
// the node applied the server's drain.
func (d *drainsTrial) checkNotices(executions []standin.Execution) standin.Verdict {
	var list []drainNotice
	for _, m := range d.p.members {
		for _, log := range m.logs() {
			list = append(list, drainNotices(m.name, log)...)
		}
	}
	return checkQuietAfterNotice(list, executions)
}

// checkQuietAfterNotice checks that no execution at a drained server came from a node that had applied the drain more
// than DrainGrace before. The name of the node is the part of the request ID before the first dash.
func checkQuietAfterNotice(list []drainNotice, executions []standin.Execution) standin.Verdict {
	v := standin.Verdict{Rule: "a node sends no new request to a server 500 ms after it applied the drain"}
	spans := map[string][]span{}
	for _, h := range list {
		v.Cases++
		key := h.node + " " + h.server
		spans[key] = append(spans[key], h.span)
	}
	for _, x := range executions {
		node, _, _ := strings.Cut(x.ID, "-")
		for _, s := range spans[node+" "+x.Server] {
			if x.ReceivedAt.After(s.from.Add(standin.DrainGrace)) && x.ReceivedAt.Before(s.to) {
				v.AddViolation("%s got %s of %s %v after the node applied the drain", x.Server, x.ID, node, x.ReceivedAt.Sub(s.from))
			}
		}
	}
	return v
}

// checkAnswers checks that each request of an operator got one of the expected answers.
func (d *drainsTrial) checkAnswers() standin.Verdict {
	v := standin.Verdict{Rule: "every request of an operator gets an expected answer"}
	for _, a := range d.requests {
		if v.Cases++; a.code == drainUnexpected {
			v.AddViolation("op%d, %s, return %v: %s", a.operator, a.server, a.giveBack, a.reason)
		}
	}
	return v
}

// checkLinearizable checks that the answers to drains and returns are linearizable: each request took effect at one moment
// between the request and its answer. A request without an answer may have taken effect at any later time, or never.
func (d *drainsTrial) checkLinearizable() standin.Verdict {
	return linearizable(d.requests, d.zones, d.maxOut, d.p.removals)
}

// zoneRequest is a drainRequest as the input of the checker's model.
type zoneRequest struct {
	server  int // index of the server in its zone
	back    bool
	lenient bool // some server was removed without a drain meanwhile, so the budget may have refused below its bound
	free    bool // this server was removed without a drain, so its own drain costs no budget
}

// linearizable checks the requests against a model of each zone: the set of drained servers, which may have maxOut members
// at most. zones has the zone of each server, removals the times in which the registry did not list a server.
func linearizable(requests []drainRequest, zones map[string]string, maxOut int, removals []removalSpan) standin.Verdict {
	verdict := standin.Verdict{Rule: "the answers to drains and returns are linearizable"}
	index := map[string]int{}
	count := map[string]int{}
	names := []string{}
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		index[name] = count[zones[name]]
		count[zones[name]]++
	}
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, input, output any) []any {
			out, a, code := state.(uint64), input.(zoneRequest), output.(drainOutcome)
			bit := uint64(1) << a.server
			full := bits.OnesCount64(out) >= maxOut
			ifValid := func(ok bool, next uint64) []any {
				if ok {
					return []any{next}
				}
				return nil
			}
			switch {
			case code == drainUnknown && a.back:
				return []any{out, out &^ bit}
			case code == drainUnknown:
				if out&bit != 0 || full && !a.free {
					return []any{out}
				}
				return []any{out, out | bit}
			case code == drainDone && a.back:
				return ifValid(out&bit != 0, out&^bit)
			case code == drainDone:
				return ifValid(out&bit == 0 && (!full || a.free), out|bit)
			case code == drainAlready:
				return ifValid(out&bit != 0, out)
			case code == drainNotDrained:
				return ifValid(out&bit == 0, out)
			case code == drainOverBudget:
				return ifValid(out&bit == 0 && (full || a.lenient), out)
			}
			return nil
		},
	}
	model := nondeterministic.ToModel()
	end := int64(1) << 62
	operations := map[string][]porcupine.Operation{}
	for _, a := range requests {
		verdict.Cases++
		to := a.to.UnixNano()
		if a.code == drainUnknown {
			to = end
			end-- // calls of one client must not overlap
		}
		lenient, nondeterministic := removedDuring(removals, "", a.from, a.to), removedDuring(removals, a.server, a.from, a.to)
		operations[a.zone] = append(operations[a.zone], porcupine.Operation{ClientId: len(operations[a.zone]), Input: zoneRequest{index[a.server], a.giveBack, lenient, nondeterministic}, Call: a.from.UnixNano(), Output: a.code, Return: to})
	}
	for zone, list := range operations {
		switch porcupine.CheckOperationsTimeout(model, list, time.Minute) {
		case porcupine.Illegal:
			verdict.AddViolation("%s: no order of its %d requests explains the answers", zone, len(list))
		case porcupine.Unknown:
			verdict.AddViolation("%s: no verdict on its %d requests within a minute", zone, len(list))
		}
	}
	return verdict
}
