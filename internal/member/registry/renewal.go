package registry

import (
	"context"
	"slices"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

// When a watch calls beside its open poll, and until when its list may be used.

const (
	// renewalMargin is how long before the list expires the answer of a renewal is to come.
	renewalMargin = 250 * time.Millisecond
	// The shortest time between the beginnings of two renewals is minRenewalInterval, or renewalIntervalPerNode for each
	// node of the fleet if that is longer: a slow discovery must not get ever more calls.
	minRenewalInterval     = 500 * time.Millisecond
	renewalIntervalPerNode = 7 * time.Millisecond
	// maxQueueTime is the longest time that a call waits for its turn at discovery. An answer that takes longer shows
	// that discovery itself is slow.
	maxQueueTime = 2 * time.Second
	// maxUnmeasuredWaits, times the mean wait of a poll, is the longest time without an answer that tells how late
	// discovery's answers are. A poll that is answered with a change does not.
	maxUnmeasuredWaits = 2
	// minCheckInterval is the shortest wait until a renewal that is due is looked at again.
	minCheckInterval = time.Millisecond
	// answerCheckInterval is how often the time of an answer that has begun is looked at.
	answerCheckInterval = 100 * time.Millisecond
)

// silenceLimit is how long a call may go without a byte of its answer until discovery counts as unreachable. Where
// discovery has just answered later than that, the next answer is waited for as long.
func (w *watcher) silenceLimit() time.Duration {
	switch {
	case w.timing.agent, w.registry.unresponsive.Load():
		return w.timing.firstTimeout
	}
	return max(w.timing.silenceTimeout, w.latency+w.timing.slack)
}

// noteLatency records by how much an answer was late.
func (w *watcher) noteLatency(call *openCall) {
	measured := true
	switch {
	case !call.poll && call.took > maxQueueTime+renewalMargin:
		w.latency = call.took
	case !call.poll:
		w.latency = 0
	case w.isEmpty(call):
		w.latency = max(0, call.took-call.wait)
	default: // when the change came is not known
		w.latency = max(w.latency, call.progress.bodyTime())
		measured = false
	}
	if measured {
		w.measuredAt = time.Now()
	}
	for _, open := range w.calls {
		open.progress.allowSilence(open.wait + w.silenceLimit())
	}
}

// isEmpty reports whether the answer of a poll says that nothing has changed until its wait was over.
func (w *watcher) isEmpty(call *openCall) bool {
	return call.poll && call.list.Empty(*call.since) && call.took >= call.wait
}

// contentTime returns the time at which discovery had nothing newer than the list of an answered call, at the least.
// Where polls outlast the list, a change is taken to have come at once, or as late as discovery is by its latest answers.
func (w *watcher) contentTime(call *openCall, now time.Time) time.Time {
	switch {
	case w.isEmpty(call):
		return call.began.Add(call.wait)
	case call.poll && w.pollsOutlastList():
		return now
	case call.poll && w.isLongPoll():
		return latest(call.began, now.Add(-max(w.latency, call.progress.bodyTime()+maxQueueTime)))
	}
	return call.began
}

// pollsOutlastList reports whether polls wait so long that the list stays usable until after their wait, rather than for
// its lifetime: the node counts as notified of what a poll missed two seconds after its wait. That does not hold while
// discovery is slow: it has a change for long before its answer comes.
func (w *watcher) pollsOutlastList() bool { return w.isLongPoll() && !w.isSlow() }

// isLongPoll reports whether the wait of polls alone is that long.
func (w *watcher) isLongPoll() bool {
	return w.timing.wait+decide.MissedPollSlack > w.timing.listLifetime
}

// overdue reports whether a poll's answer should have come by now.
func (w *watcher) overdue(poll *openCall, now time.Time) bool {
	return !now.Before(poll.began.Add(poll.wait + max(w.timing.slack, w.latency+renewalMargin)))
}

// isSlow reports whether discovery answers so late that the list may expire between two answers.
func (w *watcher) isSlow() bool { return w.timing.listLifetime > 0 && w.latency > w.timing.slack }

// expiry is when the list of a watch that gets no further answer may not be used any more. The node counts as
// notified of what it misses once the lifetime of the list is over, or two seconds after the wait of its poll if
// that is later.
func (w *watcher) expiry() time.Time {
	poll := w.openPoll()
	if poll != nil && w.pollsOutlastList() {
		return poll.began.Add(poll.wait + decide.MissedPollSlack)
	}
	return w.asOf.Add(w.timing.listLifetime)
}

// renewIfDue begins a renewal if it is due.
func (w *watcher) renewIfDue(ctx context.Context, now time.Time) {
	due, ok := w.renewalDue(now)
	if !ok || now.Before(due) {
		return
	}
	poll := w.openPoll()
	if poll != nil && !w.stalled && w.overdue(poll, now) {
		w.registry.log.Info("discovery: the watch is late; calling beside it", "since", w.version,
			"poll", now.Sub(poll.began).Round(time.Millisecond))
	}
	if poll != nil && !poll.progress.hasBegun() {
		w.registry.Close() // idle connections may be unresponsive too
	}
	if w.timing.agent && poll != nil {
		w.giveUp(poll)
	}
	w.beginFirst(ctx)
	if w.answered {
		w.notifyStalled()
	}
}

// notifyStalled reports until when the list may be used unless another answer comes.
func (w *watcher) notifyStalled() {
	w.stalled = true
	if !w.timing.agent {
		w.onList(core.List{Stalled: true, UsableUntil: w.expiry()})
	}
}

// renewalDue returns when the next renewal is due; ok is false if none is as things are.
func (w *watcher) renewalDue(now time.Time) (due time.Time, ok bool) {
	poll, first := w.openPoll(), w.openFirst()
	latency := w.openLatency(now)
	switch {
	case len(w.calls) >= maxOpenCalls:
		return due, false
	case w.timing.listLifetime > 0 && latency > w.timing.slack:
		covered := w.expiry()
		if first != nil {
			covered = first.began.Add(w.timing.listLifetime)
		}
		return latest(covered.Add(-latency-renewalMargin), w.renewedAt.Add(w.timing.renewalInterval)), true
	case w.timing.agent && first != nil:
		return due, false
	case first != nil: // its connection may be dead, or discovery back since it began
		return first.began.Add(w.timing.firstTimeout), true
	case poll == nil:
		return due, false
	}
	due = poll.began.Add(poll.wait + w.timing.slack)
	if pause := poll.progress.bodyTime(); pause > 0 && !w.timing.agent { // its answer has begun, and pauses
		due = now.Add(w.timing.slack - pause)
	}
	if unmeasured := w.measuredAt.Add(maxUnmeasuredWaits * w.timing.wait); !w.timing.agent && unmeasured.Before(due) {
		due = unmeasured
	}
	if beforeExpiry := w.expiry().Add(-renewalMargin); w.timing.listLifetime > 0 && beforeExpiry.Before(due) {
		due = beforeExpiry
	}
	return due, true
}

// openLatency is by how much the next answer will be late, by the latest answers and by those that have begun to come.
func (w *watcher) openLatency(now time.Time) time.Duration {
	latency := w.latency
	for _, call := range w.calls {
		if call.progress.hasBegun() {
			latency = max(latency, now.Sub(call.began)-call.wait)
		}
	}
	return latency
}

// nextCheck is how long to wait until a renewal may be due.
func (w *watcher) nextCheck(now time.Time) time.Duration {
	check := time.Hour
	if due, ok := w.renewalDue(now); ok {
		check = max(minCheckInterval, due.Sub(now))
	}
	if slices.ContainsFunc(w.calls, func(call *openCall) bool { return call.progress.hasBegun() }) {
		check = min(check, answerCheckInterval)
	}
	return check
}

// unansweredFor returns how long ago the latest call began that would have been answered or refused by now if discovery
// were only crowded, once one has had no answer for took.
func (w *watcher) unansweredFor(took time.Duration) time.Duration {
	for _, call := range w.calls {
		if age := time.Since(call.began); !call.poll && age >= maxQueueTime && age < took {
			took = age
		}
	}
	return took
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
