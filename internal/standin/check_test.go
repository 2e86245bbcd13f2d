package standin

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	t0      = time.Unix(1_700_000_000, 0)
	classes = []Class{{Name: "read", Method: "GET"}, {Name: "order", Method: "POST"},
		{Name: "tag", Method: "POST", Keyed: true}}
)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// cleanEvidence returns the logs of a run in which every rule applies to some case and is kept.
func cleanEvidence() Evidence {
	evidence := Evidence{Classes: classes}
	add := func(order, class, key string, ms int) {
		id := order + ".0"
		evidence.Executions = append(evidence.Executions, Execution{Server: "s1", ID: id, Class: class, Order: order,
			Key: key, ReceivedAt: at(ms), Work: time.Millisecond, Ran: true})
		evidence.Answers = append(evidence.Answers, Answer{Order: order, ID: id, Class: class, Key: key, Sent: at(ms),
			EndedAt: at(ms + 20), Deadline: at(ms + 500),
			Status: 200, FirstLine: "s1 " + id})
	}
	add("a", "read", "", 0)
	add("b", "order", "", 10)
	add("c", "tag", "k", 20)
	// An order that was refused unprocessed, and tried again.
	evidence.Answers = append(evidence.Answers, Answer{Order: "d", ID: "d.0", Class: "order", Sent: at(30),
		EndedAt: at(31), Deadline: at(600), Status: 503})
	evidence.Executions = append(evidence.Executions, Execution{Server: "s1", ID: "d.0", Class: "order", Order: "d",
		ReceivedAt: at(30)})
	add("d", "order", "", 40)
	evidence.Answers[len(evidence.Answers)-1].ID, evidence.Executions[len(evidence.Executions)-1].ID = "d.1", "d.1"
	evidence.Answers[len(evidence.Answers)-1].FirstLine = "s1 d.1"
	// An idempotency key that came twice to its cell, which recognized it.
	evidence.Executions = append(evidence.Executions, Execution{Server: "s2", ID: "c.0", Class: "tag", Order: "c",
		Key: "k", ReceivedAt: at(60), Ran: true, Repeat: true})
	// A server that drained, and one that became ready again after a drain.
	evidence.Notifications = []Notification{{"s1", "ready", at(0)}, {"s1", "draining", at(100)},
		{"s3", "draining", at(100)}, {"s3", "ready", at(3000)}}
	evidence.Executions = append(evidence.Executions,
		Execution{Server: "s1", ID: "late", Class: "read", ReceivedAt: at(100 + 540), Ran: true},
		Execution{Server: "s3", ID: "back", Class: "read", ReceivedAt: at(3100), Ran: true})
	// A cold server that got just as much work as the rule allows.
	evidence.ColdStarts = []ColdStart{{Server: "s4", Started: at(5000), Cores: 2, From: 0.3, Time: 8 * time.Second}}
	for i := range 15 {
		evidence.Executions = append(evidence.Executions, Execution{Server: "s4", ID: fmt.Sprint("w", i),
			Class: "read", ReceivedAt: at(5000 + 10*i), Work: 100 * time.Millisecond, Ran: true})
	}
	// A request that crossed the close of a kept connection: no server had received it by then.
	evidence.Answers[1].ResentAt = at(9)
	// A client that could not connect to any node.
	evidence.Answers = append(evidence.Answers, Answer{ID: "z.0", Class: "read", Failure: "no connection: refused"})
	return evidence
}

func TestCleanRunBreaksNoRule(t *testing.T) {
	for _, v := range Check(cleanEvidence()) {
		if v.ViolationCount > 0 || v.Cases == 0 || !strings.HasPrefix(v.String(), "kept") {
			t.Error(v)
		}
	}
}

// Guards against a checker that misses a violation, or reports it under another rule: each case breaks one rule in
// an otherwise clean run, and exactly that rule must fail.
func TestCheckerFindsEachViolation(t *testing.T) {
	const one, own, twice, refused, drain, push = 0, 1, 2, 3, 4, 5
	for name, c := range map[string]struct {
		promise int
		harm    func(e *Evidence)
	}{
		"no answer":         {one, func(e *Evidence) { e.Answers[0].Status, e.Answers[0].Failure = 0, "EOF" }},
		"lost, then resent": {one, func(e *Evidence) { e.Answers[0].ResentAt = at(1) }},
		"two answers":       {one, func(e *Evidence) { e.Answers = append(e.Answers, e.Answers[0]) }},
		"a late answer":     {one, func(e *Evidence) { e.Answers[0].EndedAt = e.Answers[0].Deadline.Add(AnswerSlack + time.Millisecond) }},
		"bytes behind one":  {one, func(e *Evidence) { e.Answers[3].Failure = "bytes behind the answer" }},
		"an invented one":   {own, func(e *Evidence) { e.Answers[0].FirstLine = "s9 a.0" }},
		"another's":         {own, func(e *Evidence) { e.Answers[0].Failure = "another request's answer" }},
		"an order twice": {twice, func(e *Evidence) {
			e.Executions = append(e.Executions, again(e, "b.0", "s2", "b.0"))
		}},
		"over two tries": {twice, func(e *Evidence) {
			e.Executions = append(e.Executions, again(e, "d.1", "s2", "d.2"))
		}},
		"a key twice": {twice, func(e *Evidence) {
			e.Executions = append(e.Executions, again(e, "c.0", "s9", "c.0"))
		}},
		"refused, but run": {refused, func(e *Evidence) {
			e.Executions[3].Ran, e.Executions[3].Order = true, "other"
		}},
		"sent while drains": {drain, func(e *Evidence) {
			e.Executions = append(e.Executions, execution("s1", 100+551))
		}},
		"sent once gone": {drain, func(e *Evidence) {
			e.Notifications = append(e.Notifications, Notification{"s2", "gone", at(200)})
			e.Executions = append(e.Executions, execution("s2", 900))
		}},
		"drains again": {drain, func(e *Evidence) {
			e.Notifications = append(e.Notifications, Notification{"s3", "draining", at(4000)})
			e.Executions = append(e.Executions, execution("s3", 4600))
		}},
		"pushed over": {push, func(e *Evidence) {
			for i := range 2 {
				x := execution("s4", 5200+i)
				x.Work = 100 * time.Millisecond
				e.Executions = append(e.Executions, x)
			}
		}},
	} {
		e := cleanEvidence()
		c.harm(&e)
		for i, v := range Check(e) {
			if broken := v.ViolationCount > 0; broken != (i == c.promise) {
				t.Errorf("%s: %v", name, v)
			}
		}
	}
}

func execution(server string, ms int) Execution {
	return Execution{Server: server, ID: fmt.Sprint("x", ms), Class: "read", ReceivedAt: at(ms), Ran: true}
}

func again(e *Evidence, id, server, as string) Execution {
	for _, x := range e.Executions {
		if x.ID == id && x.Ran {
			x.Server, x.ID = server, as
			return x
		}
	}
	panic("no such execution")
}

// Guards against a checker that overlooks a request on a server which no client sent.
func TestAccounted(t *testing.T) {
	e := Evidence{Answers: []Answer{{ID: "a.0"}, {ID: "a.1"}}, Executions: []Execution{execution("s1", 1),
		execution("s1", 2)}}
	e.Executions[0].ID, e.Executions[1].ID = "a.0", "a.1"
	if v := CheckAccounted(e); v.ViolationCount != 0 || v.Cases != 2 {
		t.Error(v)
	}
	e.Executions[1].ID = "a.2"
	if v := CheckAccounted(e); v.ViolationCount != 1 {
		t.Error(v)
	}
}
