package decide

import (
	"math"
	"time"
)

// How long the list may be used. A process counts as notified of a change at the latest
// Settings.NotifiedWithin after discovery had the change and could be reached. This holds whether or not
// its calls were answered, however recently it started, and however many other nodes call. So the list is
// valid for that time from the last moment at which discovery is known to have had no newer one, or to have
// been unreachable. usableUntil is the end of that time: no attempt begins after it, and calls are planned
// so that they are answered before it.
//
// Where lists are pushed, the node's own agent has what discovery tells it, and the node counts as notified
// of that from the first moment of a process, whether or not the process has it. The agent answers at once,
// except while discovery is down: then it is silent and learns nothing. So the list is valid while a watch
// of the agent is open, and while an agent that has answered this process is silent. It is not valid before
// the first answer, however long that takes. After an answer that cannot be used it is valid for
// Settings.DrainGrace, and silence that follows says nothing of what that answer held.

const (
	// StartWait is how long a new process sends nothing while there is no answer from discovery, no sign
	// that discovery is unreachable, and no other node's report that it answers. After that time the
	// process reports itself ready. Where lists are asked for, it takes discovery for down then and uses
	// the list of its configuration: a process that starts during an outage in which calls hang must
	// serve.
	StartWait = 9700 * time.Millisecond
	// maxStartWait is the longest time from a process's start until it serves, whatever it receives.
	maxStartWait = 29 * time.Second
	// handedListTime is how long a process that takes over from another one may use the list it was handed.
	// After that, the new process also counts as notified of what the other one has learned in the meantime.
	handedListTime = 2 * time.Second

	// movedAgentNotifies is how long after the node was given another agent it counts as notified of what
	// that agent has.
	movedAgentNotifies = 4 * time.Second

	// minHang is the shortest time that a call waits while discovery is down and lets calls wait. A call
	// that is refused sooner reached a discovery that is up and overloaded. Where nodes exchange messages,
	// and none has reported that discovery is up, it may also be down.
	minHang = 300 * time.Millisecond

	never   = Time(math.MinInt64 / 4)
	forever = Time(math.MaxInt64 / 4)
)

// listAge is what is known of the age of the list and of the state of discovery.
type listAge struct {
	confirmedAt   Time // when discovery last had no newer list, as far as is known
	answeredAt    Time // when discovery last answered this process
	unreachableAt Time // when discovery was last found to be unreachable
	down          bool // discovery has gone down, and has not answered since
	downAt        Time
	answeredAnyAt Time // when discovery last answered any node, also with something that can't be used
	watchStalled  bool // the open watch sends nothing any more, and is begun anew

	// Where lists are pushed:
	agentSilent bool // the agent is silent, and the list was valid when that began
	// unusable says that an answer since the latest list could not be used: silence proves nothing then.
	unusable bool
	newAgent bool // the node has been given another agent, which has not answered yet
	agentEnd Time // end of the list's validity, unless a watch is open or the agent is silent
}

func newListAge() listAge {
	return listAge{confirmedAt: never, answeredAt: never, unreachableAt: never, answeredAnyAt: never,
		agentEnd: never}
}

// confirm records an answer of discovery, by which the list was up to date at a time. An answer that came
// slowly may say what was so when its call began.
func (a *listAge) confirm(at Time) {
	others := a.answeredAnyAt
	*a = newListAge()
	a.confirmedAt, a.answeredAt, a.answeredAnyAt = at, at, others
}

// answeredOther records that discovery answered another node at a time. If it was taken for down or
// unreachable, it is back, and the list's lifetime no longer counts from the outage: when that ended is not
// known.
func (a *listAge) answeredOther(at Time) {
	a.answeredAnyAt = max(a.answeredAnyAt, at)
	if a.down && at > a.downAt+downMargin || !a.down && at > a.unreachableAt {
		a.down, a.unreachableAt = false, never
	}
}

// watchStalls records that the open watch is begun anew, and that the list may be used for the time left.
func (a *listAge) watchStalls(now Time, lifetime, left time.Duration) {
	a.watchStalled, a.confirmedAt = true, now+left-lifetime
}

// endWatch records that the open watch has ended, which confirmed the list up to a time.
func (a *listAge) endWatch(confirmed Time) { a.confirmedAt, a.watchStalled = confirmed, false }

// fail records that a call that began at a time has failed, or that the open watch broke then. stillDown says
// that a call which waited in vain does not show that a discovery taken for down is back.
func (a *listAge) fail(cause FailureCause, began Time, stillDown bool) {
	switch cause {
	case CauseWentDown:
		a.down, a.downAt, a.unreachableAt = true, began, began
	case CauseUnreachable, CauseUnknown: // calls fail at once: one that waits later shows that discovery is back
		a.down, a.unreachableAt = false, max(a.unreachableAt, began)
	case CauseUseless:
		a.down, a.answeredAnyAt = false, began
	case CauseOverloaded:
		if a.down && stillDown { // a discovery that is down lets calls wait until it is back
			a.unreachableAt = max(a.unreachableAt, began)
		}
	}
}

// listMayExpire tells whether there are times at which nothing may be sent by the list.
func (s *Settings) listMayExpire() bool { return s.NotifiedWithin > 0 }

// ListLifetime is how long a list that is asked for may be used after discovery had no newer one; 0:
// without limit.
func (s *Settings) ListLifetime() time.Duration {
	if !s.ListOnRequest || s.NotifiedWithin == 0 {
		return 0
	}
	if s.MaxListRequestInterval > 0 {
		return min(s.NotifiedWithin, s.MaxListRequestInterval)
	}
	return s.NotifiedWithin
}

// listLifetime is ListLifetime of the module's settings.
func (m *Module) listLifetime() time.Duration { return m.settings.ListLifetime() }

// watchConfirms is the time up to which the open watch confirms the list. Discovery may be slow to send a
// change, so only an answer says that there was none before its call. Where polls outlast the list's
// lifetime, changes are taken to come at once until the watch stalls.
func (m *Module) watchConfirms() Time {
	if m.listAge.watchStalled || m.settings.PollWait()+MissedPollSlack <= m.listLifetime() {
		return m.listAge.confirmedAt
	}
	return m.now
}

// usableUntil is the time from which nothing may be sent by the list, unless an answer of discovery comes
// first.
func (m *Module) usableUntil() Time {
	age := &m.listAge
	confirmed := max(age.confirmedAt, age.unreachableAt)
	switch {
	case !m.settings.listMayExpire(), m.subscribed && !age.watchStalled, age.agentSilent:
		return forever
	case !m.settings.ListOnRequest:
		return age.agentEnd
	case confirmed == never && m.now-max(m.startAt, age.answeredAnyAt) >= StartWait,
		confirmed == never && m.now-m.startAt >= maxStartWait:
		return forever
	case confirmed == never:
		return never
	}
	return confirmed + m.listLifetime()
}

// ListUsable tells whether requests may be sent by the list now.
func (m *Module) ListUsable() bool { return m.now < m.usableUntil() }
