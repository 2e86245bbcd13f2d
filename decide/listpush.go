package decide

// What the failed calls to the node's own agent say of the list, where lists are pushed. The agent's watch
// is kept open by membership, which reports each answer and each failure.

// agentAnswered records an answer of the agent.
func (m *Module) agentAnswered() { m.subscribed, m.subscribedAt = true, m.now }

// agentFailed records that a call to the agent has failed or that its watch has broken, or that the node
// has been given another agent.
func (m *Module) agentFailed(failure ListUpdate) {
	age, end := &m.listAge, m.usableUntil()
	m.subscribed, age.agentSilent = false, false
	switch {
	case failure.Cause == CauseMoved:
		age.newAgent, age.agentEnd = true, min(end, m.now+movedAgentNotifies)
		return
	case end == never, age.newAgent: // this agent has not answered
		return
	}
	if failure.ConfirmedAge > 0 {
		age.confirmedAt = max(age.confirmedAt, m.now-failure.ConfirmedAge)
	}
	began := m.now - failure.Took
	if failure.Cause == CauseUnreachable && !age.unusable && began < end {
		age.agentSilent, age.unreachableAt = true, began
		return
	}
	age.unusable = age.unusable || failure.Cause == CauseUseless
	confirmed := max(age.confirmedAt, age.unreachableAt)
	if failure.Cause == CauseBroken { // until then the watch would have told of a change
		confirmed = m.now
	}
	age.agentEnd = min(end, confirmed+m.settings.DrainGrace)
}
