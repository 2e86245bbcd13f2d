package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"starlingvalve/internal/guard"
	"starlingvalve/internal/standin"
	"starlingvalve/internal/standin/discovery"
)

// Limits of the rules. TimingTolerance allows for delays of the machine itself: a run on a machine that is later than
// this is void, and most rules add it to their limit.
const (
	DrainGrace      = 550 * time.Millisecond // after a drain notice: 500 ms by the settings, 50 ms for sockets
	TimingTolerance = 150 * time.Millisecond // delay of the machine above which a run is void
	answerGrace     = 500 * time.Millisecond // after the deadline: an answer within it is worthless, a later one lost
	departureGrace  = 100 * time.Millisecond // after a client has left, in which an attempt may still reach a server
	deadlineSlack   = 150 * time.Millisecond // by which the time sent to a server may exceed the time left
	stalledWithin   = 3 * time.Second        // until a client that stopped within a request gets an error or a close
	closeWithin     = 300 * time.Millisecond // under connection pressure, until an unread new connection is closed
	handoverGrace   = 2 * time.Second        // after a successor serves: from then on discovery's notifications bind it
	usualStartTime  = 10 * time.Second       // limit for nine in ten starts
	maxStartTime    = 30 * time.Second       // limit for every start
	largeBody       = 64 << 10               // bytes; a larger body is passed on as it arrives
	slowStartFactor = 2.5                    // permitted load in slow start, relative to the server's capacity then
	slowStartWindow = time.Second
)

// Evidence is what clients, servers, discovery and nodes have logged in a run.
type Evidence struct {
	Classes            []standin.Class
	Answers            []standin.Answer
	Executions         []standin.Execution
	Notified           map[string][]discovery.Notification // by node
	Killed             map[string][]Span                   // by node: when it was down after a SIGKILL, or not yet ready
	ConnectionPressure map[string][]Span                   // by node: when idle clients used up its descriptors
	HandedOver         map[string][]Span                   // by node: from the start of a successor until it served
	ColdStarts         []ColdStart
	ClientLeft         map[string]time.Time // when the client left, by request id
	Stalled            []StalledClient
	RepeatedIDs        []RepeatedID
	LumpAnswers        []LumpAnswer
	ServerFaults       map[string][]Span      // by server: when it ended, or connections to it broke
	KilledAtEnd        map[string][]Span      // by node: around each SIGKILL of a process that had not ended after SIGTERM
	ProcessEnds        map[string][]time.Time // by node: when a process ended that had no successor
	Resources          []Resources
	StartTimes         []time.Duration           // time from start to ready of each process
	UnexpectedEnds     []string                  // processes that ended on their own, or did not end when signalled
	GuardViolations    map[string]map[string]int // violations by node and rule, as the nodes count them
}

// Span is a period, both ends included.
type Span struct{ From, To time.Time }

// StalledClient is a client that stopped in the middle of a request.
type StalledClient struct {
	Node     string
	From     time.Time
	Duration time.Duration // until the node answered or closed the connection, or the wait was given up
	Ended    bool          // the node answered or closed the connection
}

// RepeatedID is a request with an effect whose client left, and whose id came again.
type RepeatedID struct {
	ID, Node   string
	Sent       time.Time
	RepeatedAt time.Time
}

// Resources are the most that a process has used of what its settings limit.
type Resources struct {
	Node                        string
	MemoryKB, MaxMemoryKB       int // resident
	Descriptors, MaxDescriptors int
}

// ColdStart is a server that started within the run.
type ColdStart struct {
	Server       string
	Started      time.Time
	Rate         float64       // requests a second that it can serve once warm
	InitialShare float64       // share of Rate that it can serve at its start
	RampTime     time.Duration // in which its capacity grows linearly from that share to Rate
}

// NodeOf returns the name of the node that a request was sent to: the part of the request id before the first "-".
func NodeOf(id string) string {
	node, _, _ := strings.Cut(id, "-")
	return node
}

// Check judges a run and returns one verdict for each rule.
func Check(e Evidence) []standin.Verdict {
	return slices.Concat([]standin.Verdict{e.lost(), e.drain(), e.failback(), e.departed(), e.deadline(), e.stalled(),
		e.repeated(), e.lumps(), e.resources(), e.restarts(), e.guardCounts()}, e.effects())
}

// nodeWasKilled reports whether a node was down after a SIGKILL at some time between from and to.
// Violations at such times are excused.
func (e *Evidence) nodeWasKilled(node string, from, to time.Time) bool {
	return overlapsAny(e.Killed[node], from, to)
}

// overlapsAny reports whether the period between from and to, extended by TimingTolerance at both ends, overlaps
// one of the spans.
func overlapsAny(spans []Span, from, to time.Time) bool {
	for _, s := range spans {
		if !to.Add(TimingTolerance).Before(s.From) && !from.Add(-TimingTolerance).After(s.To) {
			return true
		}
	}
	return false
}

// closedUnread reports whether a connection was closed at once under connection pressure, before its request was
// read.
func (e *Evidence) closedUnread(a standin.Answer) bool {
	return a.Status == 0 && a.EndedAt.Sub(a.Sent) < closeWithin && overlapsAny(e.ConnectionPressure[NodeOf(a.ID)], a.Sent, a.EndedAt)
}

// lost checks that each request that a node accepted has exactly one final answer, half a second after its
// deadline at the latest.
func (e *Evidence) lost() standin.Verdict {
	v := standin.Verdict{Rule: "lost: each request has its final answer"}
	seen := map[string]bool{}
	for _, a := range e.Answers {
		if strings.HasPrefix(a.Failure, "no connection") || e.nodeWasKilled(NodeOf(a.ID), a.Sent, a.EndedAt) || e.closedUnread(a) {
			continue
		}
		v.Cases++
		switch {
		case seen[a.ID]:
			v.AddViolation("%s: two answers", a.ID)
		case a.Status == 0:
			v.AddViolation("%s %s: none, %s, %v after it was sent at %s", a.Class, a.ID, a.Failure, a.EndedAt.Sub(a.Sent), a.Sent.Format(clockFormat))
		case a.EndedAt.After(a.Deadline.Add(answerGrace)):
			v.AddViolation("%s %s: answered %v after its deadline", a.Class, a.ID, a.EndedAt.Sub(a.Deadline))
		}
		seen[a.ID] = true
	}
	return v
}

const clockFormat = "15:04:05.000"

// effects returns the verdicts of standin.Check on effects of requests and on the bodies of answers.
func (e *Evidence) effects() (list []standin.Verdict) {
	all := standin.Check(standin.Evidence{Classes: e.Classes, Answers: e.Answers, Executions: e.Executions})
	for _, v := range all {
		switch v.Rule {
		case "no effect twice", "what is served is a server's own answer", "what is refused may be tried again":
			list = append(list, v)
		}
	}
	return list
}

// noSendPeriod is a period in which a node may send nothing to a server.
type noSendPeriod struct {
	from, to   time.Time // a zero to: without end
	notifiedBy discovery.Way
}

// noSendPeriods returns the periods of one node, by server name. A notification that comes during a handover, or soon
// after it, counts from handoverGrace after the successor serves. A new process ends the periods of the one before.
func noSendPeriods(log []discovery.Notification, handovers []Span) map[string][]noSendPeriod {
	times := map[string][]noSendPeriod{}
	end := func(server string, at time.Time) {
		if list := times[server]; len(list) > 0 && list[len(list)-1].to.IsZero() {
			list[len(list)-1].to = at
		}
	}
	for _, n := range log {
		switch {
		case n.Server == "": // a new process
			for server := range times {
				end(server, n.At)
			}
		case n.State == "ready":
			end(n.Server, n.At)
		default:
			if list := times[n.Server]; len(list) > 0 && list[len(list)-1].to.IsZero() {
				continue
			}
			at := n.At
			for _, s := range handovers {
				if !at.Before(s.From) && at.Before(s.To.Add(handoverGrace)) {
					at = s.To.Add(handoverGrace)
				}
			}
			times[n.Server] = append(times[n.Server], noSendPeriod{from: at, notifiedBy: n.By})
		}
	}
	return times
}

// drain checks that a server gets no request later than DrainGrace after the sending node counts as notified that the
// server drains or is removed.
func (e *Evidence) drain() standin.Verdict {
	v := standin.Verdict{Rule: "drain: nothing goes to a server that drains or is gone"}
	times := map[string]map[string][]noSendPeriod{}
	for node, log := range e.Notified {
		times[node] = noSendPeriods(log, e.HandedOver[node])
		for _, list := range times[node] {
			v.Cases += len(list)
		}
	}
	for _, x := range e.Executions {
		for _, o := range times[NodeOf(x.ID)][x.Server] {
			if x.ReceivedAt.After(o.from.Add(DrainGrace+TimingTolerance)) && (o.to.IsZero() || x.ReceivedAt.Before(o.to)) {
				v.AddViolation("%s got %s at %s, %v after the node was notified (%s)", x.Server, x.ID, x.ReceivedAt.Format(clockFormat), x.ReceivedAt.Sub(o.from), o.notifiedBy)
			}
		}
	}
	return v
}

// failback checks that no server in slow start gets more requests in a sliding window than all nodes together may
// send it.
func (e *Evidence) failback() standin.Verdict {
	v := standin.Verdict{Rule: "failback: no server in slow start is overloaded"}
	for _, c := range e.ColdStarts {
		v.Cases++
		var got []time.Time
		for _, x := range e.Executions {
			if x.Server == c.Server && !x.ReceivedAt.Before(c.Started) && x.ReceivedAt.Before(c.Started.Add(c.RampTime)) {
				got = append(got, x.ReceivedAt)
			}
		}
		slices.SortFunc(got, time.Time.Compare)
		first := 0
		for i, at := range got {
			for at.Sub(got[first]) > slowStartWindow {
				first++
			}
			if n := i - first + 1; n > c.maxRequests(at) {
				v.AddViolation("%s: %d requests within %v, %v after its start; %d are too many", c.Server, n, slowStartWindow, at.Sub(c.Started).Round(time.Millisecond), c.maxRequests(at)+1)
				break
			}
		}
	}
	return v
}

// maxRequests returns how many requests a server may get in the window that ends at a time: slowStartFactor times
// its capacity then, plus room for chance: two standard deviations of a Poisson count and 2 (three and 3 if it is
// below 30).
func (c ColdStart) maxRequests(at time.Time) int {
	part := min(1, c.InitialShare+(1-c.InitialShare)*at.Sub(c.Started).Seconds()/c.RampTime.Seconds())
	n := slowStartFactor * part * c.Rate * slowStartWindow.Seconds()
	if n < 30 {
		return int(n + 3*math.Sqrt(n) + 3)
	}
	return int(n + 2*math.Sqrt(n) + 2)
}

// departed checks that no attempt reaches a server for a client that left more than departureGrace ago.
func (e *Evidence) departed() standin.Verdict {
	v := standin.Verdict{Rule: "departed: nothing is sent for a client that has left", Cases: len(e.ClientLeft)}
	for _, x := range e.Executions {
		if at, left := e.ClientLeft[x.ID]; left && x.ReceivedAt.After(at.Add(departureGrace+TimingTolerance)) {
			v.AddViolation("%s got %s %v after its client had left", x.Server, x.ID, x.ReceivedAt.Sub(at))
		}
	}
	return v
}

// deadline checks that the time left that a server is sent does not exceed what its client has left.
func (e *Evidence) deadline() standin.Verdict {
	v := standin.Verdict{Rule: "deadline: servers are told no more than what is left"}
	deadlines := map[string]time.Time{}
	for _, a := range e.Answers {
		deadlines[a.ID] = a.Deadline
	}
	for _, x := range e.Executions {
		deadline, known := deadlines[x.ID]
		if !known {
			continue
		}
		v.Cases++
		toldAt := x.ReceivedAt
		if x.BodyBytes > largeBody { // the head was sent long before the last byte
			toldAt = x.HeadAt
		}
		if over := x.TimeLeft - max(0, deadline.Sub(toldAt)); over > deadlineSlack+TimingTolerance {
			v.AddViolation("%s was sent a time left of %v for %s at %s, %v more than was left", x.Server, x.TimeLeft, x.ID, x.ReceivedAt.Format(clockFormat), over)
		}
	}
	return v
}

// stalled checks that clients that stop in the middle of a request get an error or a close in time.
func (e *Evidence) stalled() standin.Verdict {
	v := standin.Verdict{Rule: "stalled clients get an error or a close within 3 s"}
	for _, s := range e.Stalled {
		if e.nodeWasKilled(s.Node, s.From, s.From.Add(s.Duration)) {
			continue
		}
		if v.Cases++; !s.Ended || s.Duration > stalledWithin+2*TimingTolerance {
			v.AddViolation("%s: ended %v after %v", s.Node, s.Ended, s.Duration)
		}
	}
	return v
}

// repeated checks that a request with an effect runs once, also if its client has left and its id comes again. A process
// without a predecessor does not know the ids of one that has ended.
func (e *Evidence) repeated() standin.Verdict {
	v := standin.Verdict{Rule: "repeated: an id that comes again after its client has left runs once"}
	runs := map[string]int{}
	for _, x := range e.Executions {
		if x.Ran {
			runs[x.ID]++
		}
	}
	for _, r := range e.RepeatedIDs {
		ended := slices.ContainsFunc(e.ProcessEnds[r.Node], func(at time.Time) bool {
			return at.After(r.Sent) && at.Before(r.RepeatedAt.Add(time.Second))
		})
		if ended || e.nodeWasKilled(r.Node, r.Sent, r.RepeatedAt) {
			continue
		}
		if v.Cases++; runs[r.ID] > 1 {
			v.AddViolation("%s ran %d times; sent at %s, again %v later", r.ID, runs[r.ID],
				r.Sent.Format(clockFormat), r.RepeatedAt.Sub(r.Sent))
		}
	}
	return v
}

// resources checks that each process stays within the limits in its settings.
func (e *Evidence) resources() standin.Verdict {
	v := standin.Verdict{Rule: "resources: memory and descriptors stay within their limits", Cases: len(e.Resources)}
	for _, r := range e.Resources {
		if r.MemoryKB > r.MaxMemoryKB || r.Descriptors > r.MaxDescriptors {
			v.AddViolation("%s: %d KB of %d, %d descriptors of %d", r.Node, r.MemoryKB, r.MaxMemoryKB, r.Descriptors, r.MaxDescriptors)
		}
	}
	return v
}

// restarts checks that processes end when they are signalled and never on their own, that nine in ten starts are
// ready within usualStartTime, and that all are within maxStartTime. Not all starts can be fast: a process has no
// usable list if all its calls to discovery time out while other nodes report that discovery answers them.
func (e *Evidence) restarts() standin.Verdict {
	v := standin.Verdict{Rule: "nine in ten processes start within 10 s, and all end only when they are told to", Cases: len(e.StartTimes) + len(e.UnexpectedEnds)}
	for _, why := range e.UnexpectedEnds {
		v.AddViolation("%s", why)
	}
	var late []time.Duration
	for _, took := range e.StartTimes {
		if took > usualStartTime {
			late = append(late, took)
		}
		if took > maxStartTime {
			v.AddViolation("ready after %v", took)
		}
	}
	if len(late) > len(e.StartTimes)/10 {
		v.AddViolation("%d of %d starts took over %v: %v", len(late), len(e.StartTimes), usualStartTime, late)
	}
	return v
}

// guardCounts checks that the nodes' own guards have counted no violation.
func (e *Evidence) guardCounts() standin.Verdict {
	v := standin.Verdict{Rule: "the guards of the nodes count no violation"}
	for node, rules := range e.GuardViolations {
		for _, r := range guard.Rules() {
			n, known := rules[r.String()]
			if known {
				v.Cases++
			}
			if n > 0 {
				v.AddViolation("%s: %s %d times", node, r, n)
			}
		}
	}
	return v
}

// String gives a fault's time, length, kind and target.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s, for %.2f s: %s (%s)", f.At, f.Length, f.Kind, f.target())
}
