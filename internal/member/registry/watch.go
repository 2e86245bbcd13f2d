package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/serverlist"
)

const (
	// maxOpenCalls is the greatest number of calls of one watch that are open at a time.
	maxOpenCalls = 4
	// renewalMargin is how long before the list expires the answer of a renewal is to come.
	renewalMargin = 250 * time.Millisecond
	// minRenewalInterval is the shortest time between the beginnings of two renewals.
	minRenewalInterval = 500 * time.Millisecond
	// maxQueueTime is the longest time that a call waits for its turn at discovery. An answer that takes longer shows
	// that discovery itself is slow.
	maxQueueTime = 2 * time.Second
	// maxUnmeasuredWaits, times the mean wait of a poll, is the longest time without an answer that tells how late
	// discovery's answers are. A poll that is answered with a change does not.
	maxUnmeasuredWaits = 2
	// answerCheckInterval is how often the time of an answer that has begun is looked at.
	answerCheckInterval = 100 * time.Millisecond
)

// errOlderList is the error of an answer with a lower version than the watch has already delivered: a server that
// drains by now may be ready in it.
var errOlderList = errors.New("list: older than one that this watch has delivered")

// watcher runs one watch. Usually it has one call open, a long poll. If that call is overdue, or if discovery is so slow
// that the list would expire before the next answer, the watcher begins a renewal beside it: a call that is to be
// answered at once. Whichever call is answered counts, and each for the time at which it began: the answer of a slow
// discovery may say what was so when it took up the call.
type watcher struct {
	registry *Registry
	timing   callTiming
	onList   func(core.List)
	ended    chan *openCall // calls that have ended
	begun    chan struct{}  // the answer of a call has begun
	calls    []*openCall    // that are open, the oldest first
	running  sync.WaitGroup

	since      *uint64       // version from which the next first call asks for changes; nil: it asks for the whole list
	version    uint64        // of the latest list that was delivered
	answered   bool          // a list has been delivered
	answeredAt time.Time     // when the latest one was delivered
	broughtBy  time.Time     // when the call began that brought version
	asOf       time.Time     // discovery had nothing newer than version then
	latency    time.Duration // by which discovery's latest answer was late; 0: it came at once, or in turn
	renewed    bool          // restarted because of a bad answer, and only the first answer has been good since
	stalled    bool          // the list counts as one that no watch keeps up to date
	renewedAt  time.Time     // when the latest renewal began
	measuredAt time.Time     // when an answer last told how late discovery's answers are
}

// openCall is one call of a watch.
type openCall struct {
	poll     bool // it waits for a change, and continues the watch; otherwise it is to be answered at once
	since    *uint64
	began    time.Time
	wait     time.Duration // a poll's
	late     time.Time     // a poll that continues the watch too late: when the watch was answered before
	progress *progress
	cancel   context.CancelFunc

	// Of an ended call:
	list core.List
	err  error
	took time.Duration
}

// newWatcher returns a watcher that starts from a version, or with the whole list if since is nil.
func newWatcher(r *Registry, timing callTiming, since *uint64, onList func(core.List)) *watcher {
	return &watcher{registry: r, timing: timing, since: since, onList: onList,
		ended: make(chan *openCall, maxOpenCalls), begun: make(chan struct{}, 1)}
}

// run runs the watch until a call fails for good, or ctx ends. It returns a core.CallError.
func (w *watcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer w.running.Wait()
	defer cancel()
	w.beginFirst(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.timing.callError(ctx.Err(), !w.answered, 0)
		case call := <-w.ended:
			if !w.remove(call) {
				continue // it was given up
			}
			if err := w.handleEnded(ctx, call); err != nil {
				return err
			}
		case <-w.begun:
		case <-timer.C:
		}
		if len(w.calls) == 0 {
			w.beginFirst(ctx)
		}
		w.renewIfDue(ctx, time.Now())
		timer.Reset(w.nextCheck(time.Now()))
	}
}

// remove takes a call off the open ones, and reports whether it was one.
func (w *watcher) remove(call *openCall) bool {
	i := slices.Index(w.calls, call)
	if i < 0 {
		return false
	}
	w.calls = slices.Delete(w.calls, i, i+1)
	return true
}

// giveUp ends a call without regard to its answer.
func (w *watcher) giveUp(call *openCall) {
	call.cancel()
	w.remove(call)
}

// openPoll returns the open long poll, or nil.
func (w *watcher) openPoll() *openCall {
	for _, call := range w.calls {
		if call.poll {
			return call
		}
	}
	return nil
}

// openFirst returns the latest open call that is not a poll, or nil.
func (w *watcher) openFirst() *openCall {
	for _, call := range slices.Backward(w.calls) {
		if !call.poll {
			return call
		}
	}
	return nil
}

// beginFirst begins a call that is to be answered at once: the first one of a watch, or a renewal.
func (w *watcher) beginFirst(ctx context.Context) {
	w.renewedAt = time.Now()
	w.begin(ctx, &openCall{since: w.since, progress: &progress{limits: progressLimits{
		silence: w.silenceLimit(), pause: w.timing.readTimeout, total: w.timing.maxCallTime}}})
}

// beginPoll begins a call that waits for a change.
func (w *watcher) beginPoll(ctx context.Context) {
	wait := w.timing.drawWait()
	call := &openCall{poll: true, since: new(w.version), wait: wait, progress: &progress{limits: progressLimits{
		silence: wait + w.silenceLimit(), pause: w.timing.readTimeout, total: wait + w.timing.maxCallTime}}}
	if gap := time.Since(w.answeredAt); gap > serverlist.MaxWatchGap {
		w.registry.log.Warn("discovery: the watch was resumed too late", "after", gap, "since", w.version)
		call.late = w.answeredAt
	}
	w.begin(ctx, call)
}

// silenceLimit is how long a call may go without a byte of its answer until discovery counts as unreachable. Where
// discovery has just answered later than that, the next answer is waited for as long.
func (w *watcher) silenceLimit() time.Duration {
	switch {
	case w.timing.agent, w.registry.unresponsive.Load():
		return w.timing.firstTimeout
	}
	return max(w.timing.silenceTimeout, w.latency+w.timing.slack)
}

// begin begins a call.
func (w *watcher) begin(ctx context.Context, call *openCall) {
	ctx, call.cancel = context.WithCancel(ctx)
	call.began = time.Now()
	call.progress.onFirstByte = func() {
		w.registry.unresponsive.Store(false)
		select {
		case w.begun <- struct{}{}:
		default:
		}
	}
	w.calls = append(w.calls, call)
	timing := w.timing
	w.running.Go(func() {
		defer call.cancel()
		call.list, call.err = w.registry.runCall(ctx, call, timing)
		call.took = time.Since(call.began)
		select {
		case w.ended <- call:
		case <-ctx.Done():
		}
	})
}

// runCall makes a call of a watch. A discovery service that was restarted may count versions from the start again. A
// list of changes with a lower version than asked for then means nothing, and the whole list is requested. Within one
// watch versions only rise.
func (r *Registry) runCall(ctx context.Context, call *openCall, timing callTiming) (core.List, error) {
	if call.since == nil {
		return r.fetch(ctx, timing.kind(callWholeList), call.progress)
	}
	kind, wait := callBeginWatch, firstWatchWait
	if call.poll {
		kind, wait = callKeepWatch, call.wait
	}
	list, err := r.call(ctx, timing.kind(kind),
		fmt.Sprintf("?since=%d&timeout_ms=%d", *call.since, wait.Milliseconds()), call.progress)
	switch {
	case err != nil || list.Version >= *call.since:
		return list, err
	case call.poll:
		return list, errOlderList
	case !list.Full:
		return r.fetch(ctx, timing.kind(callWholeList), &progress{limits: call.progress.limits})
	}
	return list, nil
}

// handleEnded handles a call that has ended by itself. An error ends the watch.
func (w *watcher) handleEnded(ctx context.Context, call *openCall) error {
	if call.err != nil {
		return w.handleFailed(ctx, call)
	}
	w.noteLatency(call)
	if !w.answered || call.list.Version >= w.version || call.began.After(w.broughtBy) {
		w.deliver(ctx, call)
	} // otherwise a call that began later has brought a newer list
	if poll := w.openPoll(); poll != nil {
		w.giveUp(poll) // discovery ends a watch if no call follows its latest answer
	}
	w.beginPoll(ctx)
	if w.isSlow() {
		w.notifyStalled()
	}
	return nil
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

// deliver passes on the list of an answered call.
func (w *watcher) deliver(ctx context.Context, call *openCall) {
	now := time.Now()
	w.asOf = latest(w.asOf, w.contentTime(call, now))
	list, unchanged := call.list, call.poll && call.list.Version == w.version
	list.Source, list.AsOf, list.StaleSince = w.timing.source(!call.poll), w.asOf, call.late
	w.renewed = w.renewed && !call.poll
	w.answered, w.answeredAt, w.broughtBy, w.stalled = true, now, call.began, false
	w.version, w.since = list.Version, new(list.Version)
	w.onList(list)
	if unchanged && call.took < agentPause {
		sleep(ctx, agentPause) // an agent may answer every call at once; avoid a busy loop
	}
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

// handleFailed handles a call that has failed. It returns an error if that ends the watch.
func (w *watcher) handleFailed(ctx context.Context, call *openCall) error {
	log, poll := w.registry.log, w.openPoll()
	switch {
	case ctx.Err() != nil:
	case call.poll && errors.Is(call.err, errOlderList) && !w.renewed:
		log.Info("discovery: an answer is older than the one before; requesting the whole list",
			"since", w.version, "revision", call.list.Version)
		w.since, w.renewed = nil, true
		w.beginFirst(ctx)
		return nil
	case call.poll && errors.Is(call.err, errIncomplete) && !timedOut(call.err) && !w.renewed:
		log.Info("discovery: an answer was cut off; requesting it again", "since", w.version, "err", call.err)
		w.renewed = true
		w.beginFirst(ctx)
		return nil
	case call.poll && timedOut(call.err), call.poll && w.openFirst() != nil && !errors.Is(call.err, errUnavailable):
		return nil // a renewal is open, or is begun next
	case !call.poll && poll != nil && !w.overdue(poll, time.Now()):
		return nil // the watch goes on without the renewal
	case !call.poll && slices.ContainsFunc(w.calls, func(open *openCall) bool { return open.progress.hasBegun() }):
		return nil // discovery answers another call
	}
	if !call.poll && timedOut(call.err) {
		w.registry.unresponsive.Store(true)
		call.took = w.unansweredFor(call.took)
	}
	return w.timing.callError(call.err, !call.poll, call.took)
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
		return latest(covered.Add(-latency-renewalMargin), w.renewedAt.Add(minRenewalInterval)), true
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

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
		check = max(0, due.Sub(now))
	}
	if slices.ContainsFunc(w.calls, func(call *openCall) bool { return call.progress.hasBegun() }) {
		check = min(check, answerCheckInterval)
	}
	return check
}
