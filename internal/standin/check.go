package standin

import (
	"fmt"
	"sort"
	"time"
)

// Evidence is what the logs of the stand-ins and clients say about one run. None of it comes from the program
// under test.
type Evidence struct {
	Classes    []Class
	Answers    []Answer
	Executions []Execution
	Told       []Telling
	Cold       []Cold
}

// ColdStart is a server that started during the run.
type Cold struct {
	Server  string
	Started time.Time
	Cores   int
	From    float64 // speed right after the start, as a part of full speed
	Time    time.Duration
}

// Limits of the rules.
const (
	AnswerSlack = 70 * time.Millisecond // allowed past the deadline: 20 ms by the rule, 50 ms for sockets
	DrainGrace  = 550 * time.Millisecond // 500 ms by the rule, 50 ms for sockets
	PushFactor  = 2.5 // multiple of the work that a cold server can do at its present speed
	PushWindow  = time.Second
)

// Verdict is the checker's result for one rule.
type Verdict struct {
	Promise string
	Broken  []string // descriptions of violations, ten at most
	Count   int // number of violations
	Seen    int // cases in the logs that the rule applies to: with none, the rule was not tested
}

// AddViolation counts a case that broke the rule, and keeps the descriptions of the first ten.
func (v *Verdict) Fault(format string, args ...any) {
	if v.Count++; len(v.Broken) < 10 {
		v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
	}
}

// String returns "kept", "BROKEN", or "void" for a rule without cases, followed by the rule and its counts, and by
// the descriptions of violations, one a line.
func (v Verdict) String() string {
	word := "kept"
	switch {
	case v.Count > 0:
		word = "BROKEN"
	case v.Seen == 0:
		word = "void"
	}
	s := fmt.Sprintf("%s %s: %d cases, %d broken", word, v.Promise, v.Seen, v.Count)
	for _, b := range v.Broken {
		s += "\n    " + b
	}
	return s
}

// Check judges a run by the four rules for nodes, and also checks that answers are the servers' own and that each
// request has one answer in time.
func Check(e Evidence) []Verdict {
	classes := map[string]Class{}
	for _, c := range e.Classes {
		classes[c.Name] = c
	}
	return []Verdict{answered(e), unchanged(e), once(e, classes), refusedUnrun(e, classes), drains(e), pushes(e)}
}

// checkAnswered: each try that reached a node has exactly one answer, before its client gives up. A try that was
// sent again because a close seemed to cross it counts as lost if a server received it before that: the node had
// then taken the first sending.
func answered(e Evidence) Verdict {
	v := Verdict{Promise: "each request has one final answer in time"}
	seen, had := map[string]bool{}, map[string]time.Time{}
	for _, x := range e.Executions {
		if at, ok := had[x.ID]; !ok || x.Got.Before(at) {
			had[x.ID] = x.Got
		}
	}
	for _, a := range e.Answers {
		if a.Status == 0 && len(a.Fault) > 13 && a.Fault[:13] == "no connection" {
			continue // no node accepted the request
		}
		v.Seen++
		switch {
		case seen[a.ID]:
			v.Fault("%s: a second answer", a.ID)
		case !a.Resent.IsZero() && !had[a.ID].IsZero() && had[a.ID].Before(a.Resent):
			v.Fault("%s %s: lost, though a server received it %v before it was sent again", a.Class, a.ID, a.Resent.Sub(had[a.ID]))
		case a.Status == 0:
			v.Fault("%s %s: no answer, %s after %v", a.Class, a.ID, a.Fault, a.At.Sub(a.Sent))
		case a.At.After(a.Deadline.Add(AnswerSlack)):
			v.Fault("%s %s: %v past the deadline", a.Class, a.ID, a.At.Sub(a.Deadline))
		case a.Fault != "" && a.Status != 200:
			v.Fault("%s %s: %s", a.Class, a.ID, a.Fault)
		}
		seen[a.ID] = true
	}
	return v
}

// checkUnchanged: each answer with status 200 comes from a server that ran this very request.
func unchanged(e Evidence) Verdict {
	v := Verdict{Promise: "what is served is a server's own answer"}
	ran := map[string]bool{}
	for _, x := range e.Executions {
		if x.Ran {
			ran[x.Server+" "+x.ID] = true
		}
	}
	for _, a := range e.Answers {
		if a.Status != 200 {
			continue
		}
		v.Seen++
		switch {
		case a.Fault != "":
			v.Fault("%s: %s", a.ID, a.Fault)
		case !ran[a.First]:
			v.Fault("%s: %q, which no server answered", a.ID, a.First)
		}
	}
	return v
}

// checkEffectsOnce: no unsafe order runs twice, and no idempotency key has its effect twice.
func once(e Evidence, classes map[string]Class) Verdict {
	v := Verdict{Promise: "no effect twice"}
	runs := map[string]int{}
	for _, x := range e.Executions {
		c := classes[x.Class]
		if !x.Ran || x.Repeat || c.Method == "GET" {
			continue
		}
		name := x.Class + " " + x.Order
		if runs[name]++; runs[name] == 1 {
			v.Seen++
		} else {
			v.Fault("%s: run %d times, the last as %s at %s", name, runs[name], x.ID, x.Server)
		}
	}
	return v
}

// checkRefusedNotRun: a refusal says that trying again does no harm, so an unsafe try that was refused must not
// have run.
func refusedUnrun(e Evidence, classes map[string]Class) Verdict {
	v := Verdict{Promise: "what is refused may be tried again"}
	ran := map[string]string{}
	for _, x := range e.Executions {
		if x.Ran {
			ran[x.ID] = x.Server
		}
	}
	for _, a := range e.Answers {
		if c := classes[a.Class]; a.Refused() && c.Unsafe() {
			v.Seen++
			if s := ran[a.ID]; s != "" {
				v.Fault("%s %s: refused, but %s has run it", a.Class, a.ID, s)
			}
		}
	}
	return v
}

// checkDrains: a server receives no request later than DrainGrace after the node was notified that the server
// drains or is gone, until it is ready again.
func drains(e Evidence) Verdict {
	v := Verdict{Promise: "drains are kept"}
	told := append([]Telling(nil), e.Told...)
	sort.SliceStable(told, func(i, j int) bool { return told[i].At.Before(told[j].At) })
	type span struct{ from, to time.Time } // a zero to: not ready again
	off := map[string][]span{}
	for _, t := range told {
		s := off[t.ID]
		open := len(s) > 0 && s[len(s)-1].to.IsZero()
		switch {
		case t.State == "ready" && open:
			s[len(s)-1].to = t.At
		case t.State != "ready" && !open:
			off[t.ID] = append(s, span{from: t.At})
			v.Seen++
		}
	}
	for _, x := range e.Executions {
		for _, s := range off[x.Server] {
			if x.Got.After(s.from.Add(DrainGrace)) && (s.to.IsZero() || x.Got.Before(s.to)) {
				v.Fault("%s received %s %v after the node was notified", x.Server, x.ID, x.Got.Sub(s.from))
			}
		}
	}
	return v
}

// checkColdOverload: the work sent to a cold server within any ColdOverloadWindow stays below ColdOverloadFactor
// times what the server can do at that moment.
func pushes(e Evidence) Verdict {
	v := Verdict{Promise: "no cold server is pushed over"}
	for _, c := range e.Cold {
		v.Seen++
		var at []Execution
		for _, x := range e.Executions {
			if x.Server == c.Server && !x.Got.Before(c.Started) && x.Got.Before(c.Started.Add(c.Time+PushWindow)) {
				at = append(at, x)
			}
		}
		sort.Slice(at, func(i, j int) bool { return at[i].Got.Before(at[j].Got) })
		first, sum := 0, time.Duration(0)
		for _, x := range at {
			sum += x.Work
			for x.Got.Sub(at[first].Got) > PushWindow {
				sum -= at[first].Work
				first++
			}
			part := min(1, c.From+(1-c.From)*x.Got.Sub(c.Started).Seconds()/c.Time.Seconds())
			if can := PushFactor * part * float64(c.Cores) * PushWindow.Seconds(); sum.Seconds() > can {
				v.Fault("%s: %.2f s of work within %v, %v after its start; the limit is %.2f s", c.Server, sum.Seconds(), PushWindow,
					x.Got.Sub(c.Started).Round(time.Millisecond), can)
				break
			}
		}
	}
	return v
}

// CheckAccounted checks that each request a server received is some client's try: no request was invented on the
// way, and no client's log is incomplete. It needs the complete logs of all clients.
func Accounted(e Evidence) Verdict {
	v := Verdict{Promise: "what servers are sent is a client's try"}
	tries := map[string]bool{}
	for _, a := range e.Answers {
		tries[a.ID] = true
	}
	for _, x := range e.Executions {
		v.Seen++
		if !tries[x.ID] {
			v.Fault("%s: %s %s, which no client sent", x.Server, x.Class, x.ID)
		}
	}
	return v
}
