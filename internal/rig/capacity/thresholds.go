package capacity

import (
	"fmt"
	"io"
	"slices"
)

// threshold is the highest value of a figure at which its promise is kept. It is stated before the run.
type threshold struct {
	figure string // its name without the section's name
	limit  float64
	unit   string
}

const maxFailureMs = 10e3 // ms until a change reaches all nodes after a control machine has failed: two session lifetimes

// nodeThresholds returns the thresholds of the section nodes.
func nodeThresholds(sizes []int) (list []threshold) {
	for _, size := range sizes {
		name := func(rest string) string { return fmt.Sprintf("%d.%s", size, rest) }
		list = append(list,
			threshold{name("rest.entries"), 0, "entries of the log a second: sessions are kept alive without any"},
			threshold{name("rest.node.bytes"), BudgetBytes, "bytes a second of a node at rest"},
			threshold{name("drain.known.last.worst"), BudgetInForce * 1e3,
				"ms until a drain is known at the last node"},
			threshold{name("drain.proven.worst"), BudgetInForce * 1e3, "ms until it is proven that all have stopped"})
		if size == slices.Max(sizes) {
			list = append(list,
				threshold{name("burst10.known.last.worst"), BudgetInForce * 1e3,
					"ms until each of 10 drains within 10 s is known at the last node"},
				threshold{name("fault.leader.drain.known.last"), maxFailureMs,
					"ms from the leader's death until a drain is known at the last node"},
				threshold{name("fault.machine.drain.known.last"), maxFailureMs,
					"ms from a control machine's stop until a drain is known at the last node"})
		}
	}
	return list
}

// printThresholds prints thresholds before a run.
func printThresholds(out io.Writer, list []threshold) {
	for _, t := range list {
		fmt.Fprintln(out, "threshold", t.figure, "at most", formatValue(t.limit), t.unit)
	}
}

// judge compares the section's figures with thresholds. The promise of a missing figure is broken.
func (s *Section) judge(out io.Writer, list []threshold) {
	for _, t := range list {
		at := slices.IndexFunc(s.Figures, func(f Figure) bool { return f.Name == s.Name+"."+t.figure })
		if at < 0 {
			s.addPromise(out, false, "%s: not measured; at most %s %s", t.figure, formatValue(t.limit), t.unit)
			continue
		}
		have := s.Figures[at].Value
		s.addPromise(out, have <= t.limit, "%s: %s, at most %s %s", t.figure, formatValue(have), formatValue(t.limit), t.unit)
	}
}
