package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

// drainsTrial is a run in which operators drain and return servers during a schedule of faults.
type drainsTrial struct {
	p       *cluster
	servers *fleet
	maxOut  int // how many servers of a zone may be out at once, by the budget
	zones   map[string]string

	mu           sync.Mutex
	requests     []drainRequest
	switchedOff  []switchedOffSpan
	cold         []standin.ColdStart // servers that were restarted while they were switched off
	unproven     int                 // drains that were not proven in time
	requestCount int
	retries      int           // retries of requests whose answer was lost
	grants       standin.Times // time of each granted drain, the start of the command included
}

// drainRequest is an operator's request to drain or return a server, with its answer. from and to are the start of the
// first attempt and the end of the last.
type drainRequest struct {
	operator     int
	server, zone string
	giveBack     bool // a return, not a drain
	from, to     time.Time
	code         drainOutcome
	reason       string
}

// drainOutcome is the kind of answer to a drainRequest.
type drainOutcome int

const (
	drainDone       drainOutcome = iota
	drainAlready                 // the server is drained already
	drainOverBudget              // refused by a budget
	drainNotDrained              // the server is not drained
	drainUnknown                 // no answer
	drainUnexpected              // any other answer, which is a fault of the program
)

// switchedOffSpan is the time in which an operator had a server switched off: from the proof of its drain to the request
// for its return.
type switchedOffSpan struct {
	server, zone string
	span
}

// parseOutcome derives the outcome of a request, and the reason for it, from the command's output and exit code.
func parseOutcome(text string, code int, giveBack bool) (drainOutcome, string) {
	r := result(text)
	switch {
	case code == 0:
		return drainDone, ""
	case code == 6 || code < 0:
		return drainUnknown, strings.TrimSpace(text)
	case code == 3 && strings.Contains(r.Reason, "drained already"):
		return drainAlready, r.Reason
	case code == 3 && strings.HasPrefix(r.Reason, "budget "):
		return drainOverBudget, r.Reason
	case code == 1 && giveBack && strings.Contains(r.Reason, "is not drained"):
		return drainNotDrained, r.Reason
	}
	return drainUnexpected, fmt.Sprintf("exit code %d: %s", code, strings.TrimSpace(text))
}

// request requests a drain or a return through a random member. While the answer is lost it retries under the same request
// ID until the outcome is known; all attempts count as one request. For a return, epoch is the fencing token of the drain
// to end. The result has the epoch that the answer names.
func (d *drainsTrial) request(ctx context.Context, r *rand.Rand, operator int, s *standin.Server, giveBack bool, epoch uint64) (drainOutcome, uint64) {
	verb, fence := "drain", []string{}
	if giveBack {
		verb, fence = "return", []string{"--epoch", fmt.Sprint(epoch)}
	}
	d.mu.Lock()
	d.requestCount++
	number := fmt.Sprintf("ask-%d", d.requestCount)
	d.mu.Unlock()
	a := drainRequest{operator: operator, server: s.Name, zone: s.Zone, giveBack: giveBack, from: time.Now()}
	for end := a.from.Add(2 * settleWait); time.Now().Before(end); {
		m, patience := d.member(r), commandLimit
		if r.IntN(10) == 0 { // give up early, as an operator does whose machine loses power
			patience = time.Duration(r.IntN(40)) * time.Millisecond
		}
		once, cancel := context.WithTimeout(ctx, patience)
		text, code := d.p.fleetCommand(once, m, append([]string{verb, s.Name, "-o", "json", "--ask", number, "--by", fmt.Sprintf("op%d", operator)}, fence...)...)
		cancel()
		a.to = time.Now()
		a.code, a.reason = parseOutcome(text, code, giveBack)
		epoch = result(text).Epoch
		d.p.history.note(fmt.Sprintf("op%d", operator), "%s %s through %s: %v %s, epoch %d", verb, s.Name, m.name, a.code, a.reason, epoch)
		if a.code != drainUnknown {
			break
		}
		d.mu.Lock()
		d.retries++
		d.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, a)
	if a.code == drainDone && !giveBack {
		d.grants.Add(a.to.Sub(a.from))
	}
	return a.code, epoch
}

// String returns the outcome as the rig prints it.
func (c drainOutcome) String() string {
	return [...]string{"done", "out already", "refused by a budget", "not out", "no answer", "ODD"}[c]
}

// member returns a random member that runs, or the first member if none is found.
func (d *drainsTrial) member(r *rand.Rand) *clusterMember {
	for range 50 {
		if m := d.p.members[r.IntN(len(d.p.members))]; m.running() {
			return m
		}
	}
	return d.p.members[0]
}

// operate acts as one operator until ctx ends: it drains a random server, switches the server off once the drain is
// proven, and returns it.
func (d *drainsTrial) operate(ctx context.Context, operator int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(operator)))
	for ctx.Err() == nil {
		i := r.IntN(len(d.servers.servers))
		s := d.servers.serverAt(i)
		code, epoch := d.request(context.WithoutCancel(ctx), r, operator, s, false, 0)
		if code != drainDone {
			sleepFor(ctx, time.Duration(50+r.IntN(200))*time.Millisecond)
			continue
		}
		d.switchOff(ctx, r, operator, i, s)
		d.request(context.WithoutCancel(ctx), r, operator, s, true, epoch)
		sleepFor(ctx, time.Duration(r.IntN(150))*time.Millisecond)
	}
}

// switchOff waits for the proof of a drain and then has server i switched off for a while. One time in three the server
// is restarted meanwhile and returns cold.
func (d *drainsTrial) switchOff(ctx context.Context, r *rand.Rand, operator, i int, s *standin.Server) {
	text, code := d.p.fleetCommand(context.WithoutCancel(ctx), d.member(r), "wait", s.Name, "--timeout", "6s")
	d.p.history.note(fmt.Sprintf("op%d", operator), "wait %s: exit code %d, %s", s.Name, code, strings.TrimSpace(text))
	if code != 0 {
		d.mu.Lock()
		d.unproven++
		d.mu.Unlock()
		d.explain(text)
		return
	}
	off := switchedOffSpan{server: s.Name, zone: s.Zone, span: span{from: time.Now()}}
	sleepFor(ctx, time.Duration(200+r.IntN(800))*time.Millisecond)
	if r.IntN(3) == 0 { // the server returns cold
		if err := d.servers.restart(i, drainsColdFrom, drainsColdTime); err != nil {
			d.p.history.note("rig", "%s does not start: %v", s.Name, err)
		}
		fresh := d.servers.serverAt(i)
		d.mu.Lock()
		d.cold = append(d.cold, standin.ColdStart{Server: fresh.Name, Started: fresh.Started, Cores: fresh.Cores, From: drainsColdFrom, Time: drainsColdTime})
		d.mu.Unlock()
		sleepFor(ctx, listPropagationTime/10) // time for the nodes to get the changed list
	}
	off.to = time.Now()
	d.mu.Lock()
	d.switchedOff = append(d.switchedOff, off)
	d.mu.Unlock()
}

// explain copies the last log lines of each node that text names into the history. text is the output of a wait that
// failed, which names the nodes that have not acknowledged the drain.
func (d *drainsTrial) explain(text string) {
	for _, m := range d.p.members {
		if !slices.ContainsFunc(strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" ,;:\n", r) }), func(word string) bool { return word == m.name }) {
			continue
		}
		lines := strings.Split(strings.TrimSpace(strings.Join(m.logs(), "\n")), "\n")
		for _, line := range lines[max(0, len(lines)-12):] {
			d.p.history.note(m.name, "  logged: %s", line)
		}
	}
}

// listPropagationTime is how long a change of the registry's list takes at most to reach the replicated state.
const listPropagationTime = 3 * time.Second

// awaitAllReturned waits until no server is drained any more and each has received a request. left is the status that
// still shows a drain, unserved lists the servers without a request; both are empty on success.
func (d *drainsTrial) awaitAllReturned(ctx context.Context) (left, unserved string) {
	text, code := "", 0
	for end := time.Now().Add(settleWait); time.Now().Before(end); sleepFor(ctx, 100*time.Millisecond) {
		if text, code = d.p.fleetCommand(ctx, d.p.members[0], "status"); code == 0 && !strings.Contains(text, "out ") && !strings.Contains(text, "waits ") {
			break
		}
	}
	if code != 0 || strings.Contains(text, "out ") {
		left = text
	}
	from := time.Now()
	for end := from.Add(settleWait); time.Now().Before(end); sleepFor(ctx, 50*time.Millisecond) {
		idle := []string{}
		for i := range d.servers.servers {
			s := d.servers.serverAt(i)
			log := s.Log()
			if len(log) == 0 || log[len(log)-1].ReceivedAt.Before(from) {
				idle = append(idle, s.Name)
			}
		}
		if unserved = strings.Join(idle, ", "); unserved == "" {
			break
		}
	}
	return left, unserved
}
