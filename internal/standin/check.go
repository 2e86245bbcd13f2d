package standin

import (
	"fmt"
	"sort"
	"time"
)

// Evidence is what the logs of the stand-ins and clients say about one run. None of it comes from the program
// under test.
type Evidence struct {
	Classes       []Class
	Answers       []Answer
	Executions    []Execution
	Notifications []Notification
	ColdStarts    []ColdStart
}

// ColdStart is a server that started during the run.
type ColdStart struct {
	Server  string
	Started time.Time
	Cores   int
	From    float64 // speed right after the start, as a part of full speed
	Time    time.Duration
}

// Limits of the rules.
const (
	AnswerSlack        = 70 * time.Millisecond  // allowed past the deadline: 20 ms by the rule, 50 ms for sockets
	DrainGrace         = 550 * time.Millisecond // 500 ms by the rule, 50 ms for sockets
	ColdOverloadFactor = 2.5                    // multiple of the work that a cold server can do at its present speed
	ColdOverloadWindow = time.Second
)

// Verdict is the checker's result for one rule.
type Verdict struct {
	Rule           string
	Violations     []string // descriptions of violations, ten at most
	ViolationCount int      // number of violations
	Cases          int      // cases in the logs that the rule applies to: with none, the rule was not tested
}

// AddViolation counts a case that broke the rule, and keeps the descriptions of the first ten.
func (v *Verdict) AddViolation(format string, args ...any) {
	if v.ViolationCount++; len(v.Violations) < 10 {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// String returns "kept", "BROKEN", or "void" for a rule without cases, followed by the rule and its counts, and by
// the descriptions of violations, one a line.
func (v Verdict) String() string {
	result := "kept"
	switch {
	case v.ViolationCount > 0:
		result = "BROKEN"
	case v.Cases == 0:
		result = "void"
	}
	text := fmt.Sprintf("%s %s: %d cases, %d broken", result, v.Rule, v.Cases, v.ViolationCount)
	for _, b := range v.Violations {
		text += "\n    " + b
	}
	return text
}

// Check judges a run by the four rules for nodes, and also checks that answers are the servers' own and that each
// request has one answer in time.
func Check(e Evidence) []Verdict {
	classes := map[string]Class{}
	for _, c := range e.Classes {
		classes[c.Name] = c
	}
	return []Verdict{checkAnswered(e), checkUnchanged(e), checkEffectsOnce(e, classes),
		checkRefusedNotRun(e, classes), checkDrains(e), checkColdOverload(e)}
}

// checkAnswered: each try that reached a node has exactly one answer, before its client gives up. A try that was
// sent again because a close seemed to cross it counts as lost if a server received it before that: the node had
// then taken the first sending.
func checkAnswered(e Evidence) Verdict {
	verdict := Verdict{Rule: "each request has one final answer in time"}
	seen, receivedAt := map[string]bool{}, map[string]time.Time{}
	for _, execution := range e.Executions {
		if at, ok := receivedAt[execution.ID]; !ok || execution.ReceivedAt.Before(at) {
			receivedAt[execution.ID] = execution.ReceivedAt
		}
	}
	for _, answer := range e.Answers {
		if answer.Status == 0 && len(answer.Failure) > 13 && answer.Failure[:13] == "no connection" {
			continue // no node accepted the request
		}
		verdict.Cases++
		switch {
		case seen[answer.ID]:
			verdict.AddViolation("%s: a second answer", answer.ID)
		case !answer.ResentAt.IsZero() && !receivedAt[answer.ID].IsZero() &&
			receivedAt[answer.ID].Before(answer.ResentAt):
			verdict.AddViolation("%s %s: lost, though a server received it %v before it was sent again", answer.Class,
				answer.ID, answer.ResentAt.Sub(receivedAt[answer.ID]))
		case answer.Status == 0:
			verdict.AddViolation("%s %s: no answer, %s after %v", answer.Class, answer.ID, answer.Failure,
				answer.EndedAt.Sub(answer.Sent))
		case answer.EndedAt.After(answer.Deadline.Add(AnswerSlack)):
			verdict.AddViolation("%s %s: %v past the deadline", answer.Class, answer.ID,
				answer.EndedAt.Sub(answer.Deadline))
		case answer.Failure != "" && answer.Status != 200:
			verdict.AddViolation("%s %s: %s", answer.Class, answer.ID, answer.Failure)
		}
		seen[answer.ID] = true
	}
	return verdict
}

// checkUnchanged: each answer with status 200 comes from a server that ran this very request.
func checkUnchanged(e Evidence) Verdict {
	verdict := Verdict{Rule: "what is served is a server's own answer"}
	ran := map[string]bool{}
	for _, x := range e.Executions {
		if x.Ran {
			ran[x.Server+" "+x.ID] = true
		}
	}
	for _, answer := range e.Answers {
		if answer.Status != 200 {
			continue
		}
		verdict.Cases++
		switch {
		case answer.Failure != "":
			verdict.AddViolation("%s: %s", answer.ID, answer.Failure)
		case !ran[answer.FirstLine]:
			verdict.AddViolation("%s: %q, which no server answered", answer.ID, answer.FirstLine)
		}
	}
	return verdict
}

// checkEffectsOnce: no unsafe order runs twice, and no idempotency key has its effect twice.
func checkEffectsOnce(e Evidence, classes map[string]Class) Verdict {
	verdict := Verdict{Rule: "no effect twice"}
	runs := map[string]int{}
	for _, execution := range e.Executions {
		class := classes[execution.Class]
		if !execution.Ran || execution.Repeat || class.Method == "GET" {
			continue
		}
		name := execution.Class + " " + execution.Order
		if runs[name]++; runs[name] == 1 {
			verdict.Cases++
		} else {
			verdict.AddViolation("%s: run %d times, the last as %s at %s", name, runs[name], execution.ID,
				execution.Server)
		}
	}
	return verdict
}

// checkRefusedNotRun: a refusal says that trying again does no harm, so an unsafe try that was refused must not
// have run.
func checkRefusedNotRun(e Evidence, classes map[string]Class) Verdict {
	verdict := Verdict{Rule: "what is refused may be tried again"}
	ran := map[string]string{}
	for _, x := range e.Executions {
		if x.Ran {
			ran[x.ID] = x.Server
		}
	}
	for _, answer := range e.Answers {
		if c := classes[answer.Class]; answer.Refused() && c.Unsafe() {
			verdict.Cases++
			if s := ran[answer.ID]; s != "" {
				verdict.AddViolation("%s %s: refused, but %s has run it", answer.Class, answer.ID, s)
			}
		}
	}
	return verdict
}

// checkDrains: a server receives no request later than DrainGrace after the node was notified that the server
// drains or is gone, until it is ready again.
func checkDrains(e Evidence) Verdict {
	verdict := Verdict{Rule: "drains are kept"}
	notifications := append([]Notification(nil), e.Notifications...)
	sort.SliceStable(notifications, func(i, j int) bool { return notifications[i].At.Before(notifications[j].At) })
	type span struct{ from, to time.Time } // a zero to: not ready again
	drainSpans := map[string][]span{}
	for _, t := range notifications {
		s := drainSpans[t.ID]
		open := len(s) > 0 && s[len(s)-1].to.IsZero()
		switch {
		case t.State == "ready" && open:
			s[len(s)-1].to = t.At
		case t.State != "ready" && !open:
			drainSpans[t.ID] = append(s, span{from: t.At})
			verdict.Cases++
		}
	}
	for _, execution := range e.Executions {
		for _, s := range drainSpans[execution.Server] {
			if execution.ReceivedAt.After(s.from.Add(DrainGrace)) &&
				(s.to.IsZero() || execution.ReceivedAt.Before(s.to)) {
				verdict.AddViolation("%s received %s %v after the node was notified", execution.Server, execution.ID,
					execution.ReceivedAt.Sub(s.from))
			}
		}
	}
	return verdict
}

// checkColdOverload: the work sent to a cold server within any ColdOverloadWindow stays below ColdOverloadFactor
// times what the server can do at that moment.
func checkColdOverload(e Evidence) Verdict {
	verdict := Verdict{Rule: "no cold server is pushed over"}
	for _, c := range e.ColdStarts {
		verdict.Cases++
		var executions []Execution
		for _, x := range e.Executions {
			if x.Server == c.Server && !x.ReceivedAt.Before(c.Started) &&
				x.ReceivedAt.Before(c.Started.Add(c.Time+ColdOverloadWindow)) {
				executions = append(executions, x)
			}
		}
		sort.Slice(executions, func(i, j int) bool { return executions[i].ReceivedAt.Before(executions[j].ReceivedAt) })
		first, windowWork := 0, time.Duration(0)
		for _, x := range executions {
			windowWork += x.Work
			for x.ReceivedAt.Sub(executions[first].ReceivedAt) > ColdOverloadWindow {
				windowWork -= executions[first].Work
				first++
			}
			speed := min(1, c.From+(1-c.From)*x.ReceivedAt.Sub(c.Started).Seconds()/c.Time.Seconds())
			if limit := ColdOverloadFactor * speed * float64(c.Cores) * ColdOverloadWindow.Seconds(); windowWork.Seconds() > limit {
				verdict.AddViolation("%s: %.2f s of work within %v, %v after its start; the limit is %.2f s",
					c.Server, windowWork.Seconds(), ColdOverloadWindow,
					x.ReceivedAt.Sub(c.Started).Round(time.Millisecond), limit)
				break
			}
		}
	}
	return verdict
}

// CheckAccounted checks that each request a server received is some client's try: no request was invented on the
// way, and no client's log is incomplete. It needs the complete logs of all clients.
func CheckAccounted(e Evidence) Verdict {
	v := Verdict{Rule: "what servers are sent is a client's try"}
	tries := map[string]bool{}
	for _, a := range e.Answers {
		tries[a.ID] = true
	}
	for _, x := range e.Executions {
		v.Cases++
		if !tries[x.ID] {
			v.AddViolation("%s: %s %s, which no client sent", x.Server, x.Class, x.ID)
		}
	}
	return v
}
