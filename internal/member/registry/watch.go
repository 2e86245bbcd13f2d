package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/core"
	"starlingvalve/internal/serverlist"
)

// maxOpenCalls is the greatest number of calls of one watch that are open at a time.
const maxOpenCalls = 5

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
	unfinished bool          // since the latest list the answer of a call has begun and not come whole
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
	timer := time.NewTimer(w.nextCheck(time.Now()))
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
	w.unfinished = w.unfinished || call.progress.hasBegun()
	call.cancel()
	w.remove(call)
}

// openPoll returns the latest open long poll, or nil.
func (w *watcher) openPoll() *openCall {
	for _, call := range slices.Backward(w.calls) {
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
	w.begin(ctx, &openCall{since: w.since})
}

// beginPoll begins a call that waits for a change. The poll before it may still be open. Its answer may be on its way,
// and the node counts as notified of what discovery has written. The one before that is given up.
func (w *watcher) beginPoll(ctx context.Context) {
	if latest := w.openPoll(); latest != nil {
		for _, call := range slices.Clone(w.calls) {
			if call.poll && call != latest {
				w.giveUp(call)
			}
		}
	}
	call := &openCall{poll: true, since: new(w.version), wait: w.timing.drawWait()}
	if gap := time.Since(w.answeredAt); gap > serverlist.MaxWatchGap {
		w.registry.log.Warn("discovery: the watch was resumed too late", "after", gap, "since", w.version)
		call.late = w.answeredAt
	}
	w.begin(ctx, call)
}

// begin begins a call.
func (w *watcher) begin(ctx context.Context, call *openCall) {
	ctx, call.cancel = context.WithCancel(ctx)
	call.began = time.Now()
	call.progress = &progress{onFirstByte: w.noteBegun, limits: progressLimits{silence: call.wait + w.silenceLimit(),
		pause: w.timing.readTimeout, total: call.wait + w.timing.maxCallTime, local: w.timing.localRetryTime}}
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

// noteBegun records that the answer of a call has begun.
func (w *watcher) noteBegun() {
	w.registry.unresponsive.Store(false)
	select {
	case w.begun <- struct{}{}:
	default:
	}
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
	w.beginPoll(ctx) // also beside an open poll: discovery ends a watch if no call follows its latest answer
	if w.isSlow() {
		w.notifyStalled()
	}
	return nil
}

// deliver passes on the list of an answered call.
func (w *watcher) deliver(ctx context.Context, call *openCall) {
	now := time.Now()
	w.asOf = latest(w.asOf, w.contentTime(call, now))
	list, unchanged := call.list, call.poll && call.list.Version == w.version
	list.Source, list.AsOf, list.StaleSince = w.timing.source(!call.poll), w.asOf, call.late
	w.renewed = w.renewed && !call.poll
	w.answered, w.answeredAt, w.broughtBy, w.stalled, w.unfinished = true, now, call.began, false, false
	w.version, w.since = list.Version, new(list.Version)
	w.onList(list)
	if unchanged && call.took < agentPause {
		sleep(ctx, agentPause) // an agent may answer every call at once; avoid a busy loop
	}
}

// handleFailed handles a call that has failed. It returns an error if that ends the watch.
func (w *watcher) handleFailed(ctx context.Context, call *openCall) error {
	log, poll := w.registry.log, w.openPoll()
	w.unfinished = w.unfinished || call.progress.hasBegun()
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
	case call.poll && timedOut(call.err), call.poll && len(w.calls) > 0 && !errors.Is(call.err, errUnavailable):
		return nil // another call is open, or is begun next
	case !call.poll && poll != nil && !w.overdue(poll, time.Now()):
		return nil // the watch goes on without the renewal
	case !call.poll && slices.ContainsFunc(w.calls, func(open *openCall) bool { return open.progress.hasBegun() }):
		return nil // discovery answers another call
	}
	if !call.poll && timedOut(call.err) {
		w.registry.unresponsive.Store(true)
		call.took = w.unansweredFor(call.took)
	}
	if w.timing.agent && w.unfinished && !errors.Is(call.err, errIncomplete) {
		return w.timing.callError(fmt.Errorf("%w: %w", errIncomplete, call.err), !call.poll, call.took)
	}
	return w.timing.callError(call.err, !call.poll, call.took)
}
