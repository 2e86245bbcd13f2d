package core

import (
	"context"
	"time"

	"starlingvalve/decide"
)

// When a process that has just started can serve requests, and when it is to get them.

// maxAgentWait is the longest wait of a request for the first result of the node's agent. An agent answers at once
// unless it is silent.
const maxAgentWait = 100 * time.Millisecond

// CanServe reports whether some server is ready, and the list has been usable at least once since the start.
func (l *Loop) CanServe() bool { return l.canServe.Load() }

// Ready reports whether the node is to get requests: it can serve them, or it has waited for its agent for
// decide.StartWait. In that case it refuses them until the agent answers. Where lists are asked for, the module itself
// decides how long a start may last.
func (l *Loop) Ready() bool {
	if l.CanServe() {
		return true
	}
	return !l.settings.ListOnRequest && l.hasServers.Load() && time.Since(l.startedAt) >= decide.StartWait
}

// updateCanServe updates the result of CanServe. A process that has just started can't serve before its list is usable.
// If the list gets too old later, the node refuses requests but stays in service: its peers may be in the same state.
func (l *Loop) updateCanServe() {
	if !l.listWasUsable && l.module.HasUsableServers() {
		l.listWasUsable = true
		l.log.Info("the list is usable", "after", time.Since(l.startedAt).Round(time.Millisecond))
	}
	_, ready := l.view.Size()
	l.hasServers.Store(ready > 0)
	l.canServe.Store(ready > 0 && l.listWasUsable)
}

// agentResult ends the wait of requests for the first result of the node's agent.
func (l *Loop) agentResult() { l.agentHeard.Do(func() { close(l.firstAgentResult) }) }

// awaitAgent has a request of a process that has just started wait for the first result of the node's agent, by which it
// is served or refused.
func (l *Loop) awaitAgent(ctx context.Context, request *Request) {
	select {
	case <-l.firstAgentResult:
		return
	default:
	}
	timeout := time.NewTimer(min(maxAgentWait, time.Until(request.Deadline)/2))
	defer timeout.Stop()
	select {
	case <-l.firstAgentResult:
	case <-timeout.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
}
