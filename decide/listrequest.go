package decide

import "time"

// When to request the server list, if updates come only on request (Settings.ListOnRequest). Discovery is
// one service for all nodes and answers their calls one after another. So the calls are spread over time,
// to keep the wait for a turn short. However many nodes there are, each one calls often enough to apply a
// change within applyWithin.

const (
	// applyWithin is the longest time from the moment at which discovery can be reached again until a change is
	// applied, however the node's earlier calls have ended. Settings.NotifiedWithin limits what may be sent by
	// an old list in the meantime.
	applyWithin = 6 * time.Second
	// discoveryQueueTimeout is how long a call waits for its turn at discovery until discovery ends it.
	discoveryQueueTimeout = 2 * time.Second
	// requestMargin allows for the module's tick and the network time of the answer.
	requestMargin = 100 * time.Millisecond
	// maxRetryInterval is the longest time from the beginning of a call that fails to that of the next one.
	maxRetryInterval = applyWithin - discoveryQueueTimeout - requestMargin

	// minBackoff is the shortest backoff. Backoffs double with each failure, up to maxRequestInterval.
	minBackoff = 200 * time.Millisecond
	// spreadPerNode, times the number of nodes, is the time over which the first calls of all nodes are spread.
	spreadPerNode = 40 * time.Millisecond
	// successorSpread bounds the random delay of the first call of a process that takes over from another one.
	// It is short because the process counts as notified soon of what discovery reports. Short delays do no
	// harm, as only some nodes are replaced at a time.
	successorSpread = 500 * time.Millisecond
	// backoffJitter is the part of a backoff that is random.
	backoffJitter = 0.1

	// maxOverloadedCalls is the number of calls in a row that may wait for their turn in vain before a node
	// calls less often. A discovery that is down for some seconds may also let calls wait and then end them;
	// once it is back, changes must be applied within applyWithin. This does not concern a node without a list:
	// it has nothing to update.
	maxOverloadedCalls = 4
	// maxOverloadBackoff bounds the backoff after further such calls. If all nodes called every
	// maxRetryInterval, that could be more than discovery can answer, and every call would wait in vain.
	maxOverloadBackoff = 16 * time.Second
	// overloadBackoffGrowth is the factor from one such backoff to the next. The first one is firstSpread.
	overloadBackoffGrowth = 4
	// overloadBackoffJitter is the part of such a backoff that is random.
	overloadBackoffJitter = 0.5

	// maxDownBackoff bounds the backoff while discovery seems to be down and lets calls wait. The node can't see
	// when it is back, and several calls must fit into the time that is left from then on.
	maxDownBackoff = time.Second / 2

	// The wait of a long poll, which continues a watch, grows from minPollWait by pollWaitPerNode for each node
	// of the fleet, up to maxPollWait: each call costs the one service that all nodes use. A connection that
	// carries no more data is noticed when the wait is over.
	minPollWait     = 2 * time.Second
	maxPollWait     = 20 * time.Second
	pollWaitPerNode = time.Second / 4
	// MissedPollSlack is how long after the wait of a poll a node counts as notified of what the poll missed, if
	// that is later than the end of the list's lifetime.
	MissedPollSlack = 2 * time.Second

	// listRequestTimeout is longer than any call lasts. A call without an outcome after this time has failed.
	listRequestTimeout = 30 * time.Second
)

// PollWait is the mean time that a long poll waits for a change.
func (s *Settings) PollWait() time.Duration {
	return min(max(minPollWait, time.Duration(s.Nodes)*pollWaitPerNode), maxPollWait)
}

// firstSpread is the time over which calls are spread that all nodes may make at the same moment.
func (m *Module) firstSpread() time.Duration {
	return min(max(minBackoff, time.Duration(m.settings.Nodes)*spreadPerNode), m.maxRequestInterval())
}

// maxRequestInterval is the longest time from one call to the next. Without a watch, the settings may require
// more frequent calls than maxRetryInterval.
func (m *Module) maxRequestInterval() time.Duration {
	if m.settings.MaxListRequestInterval > 0 {
		return min(maxRetryInterval, m.settings.MaxListRequestInterval/2)
	}
	return maxRetryInterval
}

// resetBackoffs resets the backoffs, at the start and after a call that was answered.
func (m *Module) resetBackoffs() {
	m.failedBackoff, m.overloadBackoff, m.overloadedCalls, m.uselessBackoff =
		m.firstSpread(), m.firstSpread(), 0, minBackoff
}

// requestTimeLeft is how long the next call may be delayed so that its answer comes before the list
// expires, even if the call waits for discoveryQueueTimeout. It is negative if it is too late for that.
func (m *Module) requestTimeLeft() time.Duration {
	return m.usableUntil() - discoveryQueueTimeout - requestMargin - m.now
}

// firstRequestDelay returns the random delay of the first call of a process. If lists have a limited
// lifetime, the process serves only once a call is answered, so the delay leaves time for a second call
// within that lifetime.
func (m *Module) firstRequestDelay() time.Duration {
	spread := m.firstSpread()
	if lifetime := m.listLifetime(); lifetime > 0 {
		spread = min(spread, max(minBackoff, (lifetime-discoveryQueueTimeout-requestMargin)/2))
	}
	return time.Duration(m.random() * float64(spread))
}

// spreadDelay returns the random delay of a call that all nodes may make at the same moment, as their
// watches have broken or the list has moved to another source. It leaves time for a second call before the
// list expires.
func (m *Module) spreadDelay() time.Duration {
	spread := min(m.firstSpread(), max(minBackoff, m.requestTimeLeft()/2))
	return time.Duration(m.random() * float64(spread))
}

// listRequestFailed sets the time of the next call after one has failed or a watch has broken.
func (m *Module) listRequestFailed(failure ListUpdate) {
	took := failure.Took
	if took == 0 && m.listRequested {
		took = m.now - m.listRequestedAt
	}
	if m.subscribed {
		m.listAge.endWatch(m.watchConfirms())
		m.subscribed = false
	}
	m.listAge.fail(failure.Cause, m.now-took, took >= minHang || m.settings.MayMessage)
	wait := m.retryDelay(failure.Cause, took)
	if left := m.requestTimeLeft(); left > 0 {
		wait = min(wait, left)
	}
	m.nextListRequestAt, m.listRequested = m.now+wait, false
}

// retryDelay returns the random delay of the next call after a failure. took is how long the failed call
// lasted, or 0 for a watch.
func (m *Module) retryDelay(cause FailureCause, took time.Duration) time.Duration {
	if cause == CauseOverloaded && took >= minHang {
		return m.overloadRetryDelay(took)
	}
	switch {
	case cause == CauseUseless: // discovery is not overloaded, and has an update
		wait := m.shortenRandomly(m.uselessBackoff, overloadBackoffJitter)
		m.uselessBackoff = min(2*m.uselessBackoff, m.maxRequestInterval())
		return wait
	case took == 0 && !m.listRequested: // a watch has broken, possibly those of all nodes
		return m.spreadDelay()
	default: // the backoff counts from the beginning of the call, which may have lasted for seconds
		wait := max(m.shortenRandomly(m.failedBackoff, backoffJitter)-took,
			m.shortenRandomly(minBackoff, backoffJitter))
		m.failedBackoff = min(2*m.failedBackoff, m.maxRequestInterval())
		return wait
	}
}

// overloadRetryDelay is retryDelay after a call that waited for its turn at discovery in vain.
func (m *Module) overloadRetryDelay(took time.Duration) time.Duration {
	m.overloadedCalls++
	limited, fewInRow := m.listLifetime() > 0, m.overloadedCalls <= maxOverloadedCalls
	switch {
	case limited && (m.listAge.down || fewInRow && m.listAge.confirmedAt == never):
		// The node can't see when discovery is back, or this process can't serve before a call is answered.
		return m.shortenRandomly(min(m.firstSpread(), maxDownBackoff), backoffJitter+overloadBackoffJitter)
	case fewInRow && len(m.known) > 0:
		return max(m.shortenRandomly(m.maxRequestInterval(), overloadBackoffJitter)-took,
			m.shortenRandomly(minBackoff, backoffJitter))
	default:
		wait := m.shortenRandomly(m.overloadBackoff, overloadBackoffJitter)
		m.overloadBackoff = min(overloadBackoffGrowth*m.overloadBackoff, maxOverloadBackoff)
		return wait
	}
}

// shortenRandomly returns d less a random part of it, which is at most the given part.
func (m *Module) shortenRandomly(d time.Duration, part float64) time.Duration {
	return time.Duration((1 - part*m.random()) * float64(d))
}

// requestList opens a watch if updates come only on request, there is none, and the next call is due.
func (m *Module) requestList() {
	if m.listRequested && m.now-m.listRequestedAt >= listRequestTimeout {
		m.listRequestFailed(ListUpdate{})
	}
	if !m.settings.ListOnRequest || m.subscribed || m.listRequested || m.now < m.nextListRequestAt {
		return
	}
	m.listRequested, m.listRequestedAt = true, m.now
	m.emit(Subscribe{On: true})
}
