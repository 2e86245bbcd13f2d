package decide

import (
	"testing"
	"time"
)

// agentGrace is the drain grace of the tests of pushed lists.
const agentGrace = 500 * time.Millisecond

// agentStep is one event of a pushed list: an answer of the agent, or a failure.
type agentStep struct {
	at     Time
	kind   ListKind
	failed ListUpdate // of a ListFailed
}

// agentAnswer is an answer of the agent.
func agentAnswer(at Time) agentStep { return agentStep{at: at, kind: ListFull} }

// agentFailure is a failure of the agent. took is how long the call took; confirmed is how long ago the list had been
// confirmed.
func agentFailure(at Time, cause FailureCause, took, confirmed time.Duration) agentStep {
	return agentStep{at, ListFailed, ListUpdate{Kind: ListFailed, Cause: cause, Took: took, ConfirmedAge: confirmed}}
}

// pushedModule returns a module whose lists are pushed. It started at 1 s, with one server on the list of its
// configuration.
func pushedModule() *Module {
	settings := fleetSettings(0)
	settings.Nodes, settings.ListOnRequest, settings.MayMessage = 3, false, true
	settings.NotifiedWithin, settings.DrainGrace = notifyBound, agentGrace
	m := New(settings, 1)
	m.Handle(time.Second, ListUpdate{Kind: ListCached, Entries: basisList()})
	return m
}

// apply passes the step to a module.
func (s agentStep) apply(m *Module) {
	update := s.failed
	if update.Kind = s.kind; s.kind == ListFull {
		update.Entries = basisList()
	}
	m.Handle(s.at, update)
}

// Guards against requests to draining servers by a pushed list that nothing confirms: a pushed list counted as valid
// for ever, so a process that started while its agent was silent sent by the list of its configuration.
func TestPushedListIsValid(t *testing.T) {
	const second = time.Second
	silent, useless, broken, moved, local := CauseUnreachable, CauseUseless, CauseBroken, CauseMoved, CauseLocal
	const call, poll = agentGrace / 2, agentGrace / 2
	silentFrom := func(from, to Time) (steps []agentStep) { // an agent that is silent is called again and again
		for at := from; at <= to; at += 300 * time.Millisecond {
			steps = append(steps, agentFailure(at, silent, call, at-from+poll))
		}
		return steps
	}
	join := func(parts ...[]agentStep) (all []agentStep) {
		for _, part := range parts {
			all = append(all, part...)
		}
		return all
	}
	steps := func(s ...agentStep) []agentStep { return s }
	for name, c := range map[string]struct {
		steps []agentStep
		until Time // from then on nothing may be sent; forever: without end
	}{
		"start, no answer":       {nil, never},
		"start, silent for 40 s": {silentFrom(2*second, 40*second), never},
		"start, refused":         {steps(agentFailure(2*second, useless, 0, 0)), never},
		"start, another agent, silent": {steps(agentFailure(2*second, moved, 0, 0),
			agentFailure(3*second, silent, call, 0)), never},
		"answered": {steps(agentAnswer(2 * second)), forever},
		"start silent, then answered": {join(silentFrom(2*second, 30*second),
			steps(agentAnswer(31*second))), forever},
		"answered, silent for 30 s": {join(steps(agentAnswer(2*second)),
			silentFrom(4*second, 34*second)), forever},
		"watch ended, then silent": {join(steps(agentAnswer(2*second), agentFailure(3*second, broken, 0, poll)),
			silentFrom(3300*time.Millisecond, 20*second)), forever},
		"watch ended": {steps(agentAnswer(2*second),
			agentFailure(3*second, broken, 0, poll)), 3*second + agentGrace},
		"watches end again and again": {steps(agentAnswer(2*second),
			agentFailure(3*second, broken, 0, poll),
			agentFailure(3200*time.Millisecond, broken, 0, poll)), 3*second + agentGrace},
		"an answer that can't be used": {steps(agentAnswer(2*second),
			agentFailure(3*second, useless, 0, poll)), 3*second - poll + agentGrace},
		"such an answer, then silent": {join(steps(agentAnswer(2*second), agentFailure(3*second, useless, 0, poll)),
			silentFrom(3300*time.Millisecond, 20*second)), 3*second - poll + agentGrace},
		"silent, then an answer that can't be": {join(steps(agentAnswer(2*second)),
			silentFrom(4*second, 10*second),
			steps(agentFailure(10200*time.Millisecond, useless, 0, 6*second))), 10*second - call + agentGrace},
		"this machine can make no calls": {steps(agentAnswer(2*second),
			agentFailure(3*second, local, call, poll)), 3*second - poll + agentGrace},
		"no calls, and silent too late": {steps(agentAnswer(2*second),
			agentFailure(3*second, local, call, poll),
			agentFailure(5*second, silent, call, 0)), 3*second - poll + agentGrace},
		"useless, then a list": {steps(agentAnswer(2*second),
			agentFailure(3*second, useless, 0, poll),
			agentAnswer(5*second)), forever},
		"useless, a list, silent": {join(steps(agentAnswer(2*second), agentFailure(3*second, useless, 0, poll), agentAnswer(5*second)),
			silentFrom(6*second, 12*second)), forever},
		"another agent": {steps(agentAnswer(2*second),
			agentFailure(3*second, moved, 0, 0)), 3*second + movedAgentNotifies},
		"another agent, silent": {join(steps(agentAnswer(2*second), agentFailure(3*second, moved, 0, 0)),
			silentFrom(3300*time.Millisecond, 20*second)), 3*second + movedAgentNotifies},
		"another agent while the first is mute": {join(steps(agentAnswer(2*second)),
			silentFrom(3*second, 6*second),
			steps(agentFailure(6200*time.Millisecond, moved, 0, 0))), 6200*time.Millisecond + movedAgentNotifies},
		"agents in a row": {steps(agentAnswer(2*second),
			agentFailure(3*second, moved, 0, 0),
			agentFailure(4*second, moved, 0, 0)), 3*second + movedAgentNotifies},
		"another agent after a useless answer": {steps(agentAnswer(2*second),
			agentFailure(3*second, useless, 0, poll),
			agentFailure(3100*time.Millisecond, moved, 0, 0)), 3*second - poll + agentGrace},
		"another agent, which answers": {steps(agentAnswer(2*second),
			agentFailure(3*second, moved, 0, 0),
			agentAnswer(4*second)), forever},
		"another agent, which answers, silent": {join(steps(agentAnswer(2*second), agentFailure(3*second, moved, 0, 0), agentAnswer(4*second)),
			silentFrom(5*second, 20*second)), forever},
	} {
		t.Run(name, func(t *testing.T) {
			m := pushedModule()
			end := 2 * second
			for _, step := range c.steps {
				step.apply(m)
				end = step.at + time.Millisecond
			}
			if c.until == never || c.until == forever {
				for _, after := range []time.Duration{0, time.Second, 10 * time.Second, 40 * time.Second} {
					if _, sent := basisAt(m, end+after); sent != (c.until == forever) {
						t.Errorf("%v after the last event: sent %v", after, sent)
					}
				}
				return
			}
			if got := m.usableUntil(); got != c.until {
				t.Errorf("valid until %v, want %v", got, c.until)
			}
			if _, sent := basisAt(m, max(end, c.until)+time.Millisecond); sent {
				t.Error("sent after the list's validity")
			}
		})
	}
}

// Guards against a peer's report being taken for leave to send by a pushed list: its agent is another agent.
func TestNoPeerConfirmsPushedList(t *testing.T) {
	m := pushedModule()
	for at := 2 * time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		for _, action := range m.Handle(at, TimerFired{}) {
			if message, ok := action.(SendMessage); ok && message.Data[0] == queryMark {
				t.Fatalf("%v: a readiness query", at)
			}
		}
		m.Handle(at, MessageReceived{From: 2, Data: []byte{readinessMark, m.queryNumber, 0, 0, 0, 0, 0, 1}})
		if _, sent := basisAt(m, at); sent {
			t.Fatalf("%v: sent by another node's report", at)
		}
	}
}

// Guards against incidents that the logs can't explain: where lists are pushed, all attempts counted as covered by a
// watch.
func TestPushedSendBasis(t *testing.T) {
	const answered, at = 2 * time.Second, 10 * time.Second
	for name, c := range map[string]struct {
		failed *agentStep
		want   SendBasis
	}{
		"an open watch": {nil, SendBasis{Kind: BasisWatch}},
		"a silent agent": {new(agentFailure(at-time.Second, CauseUnreachable, agentGrace/2, time.Second)),
			SendBasis{Kind: BasisUnreachable, Age: time.Second + agentGrace/2}},
		"an answer that can't be used": {new(agentFailure(at-100*time.Millisecond, CauseUseless, 0, 200*time.Millisecond)),
			SendBasis{Kind: BasisConfirmed, Age: 300 * time.Millisecond}},
		"another agent": {new(agentFailure(at-time.Second, CauseMoved, 0, 0)), SendBasis{Kind: BasisConfirmed, Age: at - answered}},
	} {
		t.Run(name, func(t *testing.T) {
			m := pushedModule()
			agentAnswer(answered).apply(m)
			if c.failed != nil {
				c.failed.apply(m)
			}
			if basis, sent := basisAt(m, at); !sent || basis != c.want {
				t.Errorf("sent %v, %+v; want %+v", sent, basis, c.want)
			}
		})
	}
}

// Guards against a successor that sends by its predecessor's pushed list: its own agent may know more from the first
// moment on.
func TestSuccessorAwaitsItsAgent(t *testing.T) {
	predecessor := pushedModule()
	agentAnswer(2 * time.Second).apply(predecessor)
	m := pushedModule()
	if err := m.Restore(3*time.Second, predecessor.Snapshot(3*time.Second)); err != nil {
		t.Fatal(err)
	}
	for _, at := range []Time{3 * time.Second, 4 * time.Second, 40 * time.Second} {
		if _, sent := basisAt(m, at); sent {
			t.Errorf("sent at %v", at)
		}
	}
	agentAnswer(41 * time.Second).apply(m)
	if _, sent := basisAt(m, 42*time.Second); !sent {
		t.Error("nothing is sent after the agent's answer")
	}
}
