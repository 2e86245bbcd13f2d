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
	followWithin = 6 * time.Second
	// discoveryQueueTimeout is how long a call waits for its turn at discovery until discovery ends it.
	queueWait = 2 * time.Second
	// requestMargin allows for the module's tick and the network time of the answer.
	askMargin = 100 * time.Millisecond
	// maxRetryInterval is the longest time from the beginning of a call that fails to that of the next one.
	askMost = followWithin - queueWait - askMargin

	// minBackoff is the shortest backoff. Backoffs double with each failure, up to maxRequestInterval.
	askFirst = 200 * time.Millisecond
	// spreadPerNode, times the number of nodes, is the time over which the first calls of all nodes are spread.
	askSpread = 40 * time.Millisecond
	// successorSpread bounds the random delay of the first call of a process that takes over from another one.
	// It is short because the process counts as notified soon of what discovery reports. Short delays do no
	// harm, as only some nodes are replaced at a time.
	succeedAsk = 500 * time.Millisecond
	// backoffJitter is the part of a backoff that is random.
	askJitter = 0.1

	// maxOverloadedCalls is the number of calls in a row that may wait for their turn in vain before a node
	// calls less often. A discovery that is down for some seconds may also let calls wait and then end them;
	// once it is back, changes must be applied within applyWithin. This does not concern a node without a list:
	// it has nothing to update.
	crowdedCalls = 4
	// maxOverloadBackoff bounds the backoff after further such calls. If all nodes called every
	// maxRetryInterval, that could be more than discovery can answer, and every call would wait in vain.
	crowdedMost = 16 * time.Second
	// overloadBackoffGrowth is the factor from one such backoff to the next. The first one is firstSpread.
	crowdedGrowth = 4
	// overloadBackoffJitter is the part of such a backoff that is random.
	crowdedJitter = 0.5

	// maxDownBackoff bounds the backoff while discovery seems to be down and lets calls wait. The node can't see
	// when it is back, and several calls must fit into the time that is left from then on.
	askDown = time.Second / 2

	// listRequestTimeout is longer than any call lasts. A call without an outcome after this time has failed.
	answerLost = 30 * time.Second
)

// firstSpread is the time over which calls are spread that all nodes may make at the same moment.
func (m *Module) firstAsk() time.Duration {
	return min(max(askFirst, time.Duration(m.set.Nodes)*askSpread), m.longestAsk())
}

// maxRequestInterval is the longest time from one call to the next. Without a watch, the settings may require
// more frequent calls than maxRetryInterval.
func (m *Module) longestAsk() time.Duration {
	if m.set.AskWithin > 0 {
		return min(askMost, m.set.AskWithin/2)
	}
	return askMost
}

// resetBackoffs resets the backoffs, at the start and after a call that was answered.
func (m *Module) resetAsk() {
	m.askWait, m.crowdedWait, m.crowdedRow, m.uselessWait = m.firstAsk(), m.firstAsk(), 0, askFirst
}

// requestTimeLeft is how long the next call may be delayed so that its answer comes before the list
// expires, even if the call waits for discoveryQueueTimeout. It is negative if it is too late for that.
func (m *Module) timeLeft() time.Duration {
	return m.usableUntil() - queueWait - askMargin - m.now
}

// firstRequestDelay returns the random delay of the first call of a process. If lists have a limited
// lifetime, the process serves only once a call is answered, so the delay leaves time for a second call
// within that lifetime.
func (m *Module) spreadFirst() time.Duration {
	spread := m.firstAsk()
	if bound := m.bound(); bound > 0 {
		spread = min(spread, max(askFirst, (bound-queueWait-askMargin)/2))
	}
	return time.Duration(m.random() * float64(spread))
}

// spreadDelay returns the random delay of a call that all nodes may make at the same moment, as their
// watches have broken or the list has moved to another source. It leaves time for a second call before the
// list expires.
func (m *Module) spreadAgain() time.Duration {
	spread := min(m.firstAsk(), max(askFirst, m.timeLeft()/2))
	return time.Duration(m.random() * float64(spread))
}

// listRequestFailed sets the time of the next call after one has failed or a watch has broken.
func (m *Module) askFailed(e ListUpdate) {
	took := e.Took
	if took == 0 && m.asking {
		took = m.now - m.askedAt
	}
	watched := m.subscribed
	m.subscribed = false
	m.listAge.fail(e.Cause, m.now-took, took >= hangsLeast || m.set.MayMessage, watched)
	wait := m.waitAgain(e.Cause, took)
	if left := m.timeLeft(); left > 0 {
		wait = min(wait, left)
	}
	m.askAt, m.asking = m.now+wait, false
}

// retryDelay returns the random delay of the next call after a failure. took is how long the failed call
// lasted, or 0 for a watch.
func (m *Module) waitAgain(cause FailureCause, took time.Duration) time.Duration {
	if cause == CauseCrowded && took >= hangsLeast {
		return m.waitCrowded(took)
	}
	switch {
	case cause == CauseUseless: // discovery is not overloaded, and has an update
		wait := m.partly(m.uselessWait, crowdedJitter)
		m.uselessWait = min(2*m.uselessWait, m.longestAsk())
		return wait
	case took == 0 && !m.asking: // a watch has broken, possibly those of all nodes
		return m.spreadAgain()
	default: // the backoff counts from the beginning of the call, which may have lasted for seconds
		wait := max(m.partly(m.askWait, askJitter)-took, m.partly(askFirst, askJitter))
		m.askWait = min(2*m.askWait, m.longestAsk())
		return wait
	}
}

// overloadRetryDelay is retryDelay after a call that waited for its turn at discovery in vain.
func (m *Module) waitCrowded(took time.Duration) time.Duration {
	m.crowdedRow++
	bounded, row := m.bound() > 0, m.crowdedRow <= crowdedCalls
	switch {
	case bounded && (m.listAge.down || row && m.listAge.confirmedAt == never):
		// The node can't see when discovery is back, or this process can't serve before a call is answered.
		return m.partly(min(m.firstAsk(), askDown), askJitter+crowdedJitter)
	case row && len(m.known) > 0:
		return max(m.partly(m.longestAsk(), crowdedJitter)-took, m.partly(askFirst, askJitter))
	default:
		wait := m.partly(m.crowdedWait, crowdedJitter)
		m.crowdedWait = min(crowdedGrowth*m.crowdedWait, crowdedMost)
		return wait
	}
}

// shortenRandomly returns d less a random part of it, which is at most the given part.
func (m *Module) partly(d time.Duration, part float64) time.Duration {
	return time.Duration((1 - part*m.random()) * float64(d))
}

// requestList opens a watch if updates come only on request, there is none, and the next call is due.
func (m *Module) ask() {
	if m.asking && m.now-m.askedAt >= answerLost {
		m.askFailed(ListUpdate{})
	}
	if !m.set.AskForList || m.subscribed || m.asking || m.now < m.askAt {
		return
	}
	m.asking, m.askedAt = true, m.now
	m.do(Subscribe{On: true})
}
