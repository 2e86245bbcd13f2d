package core

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/faultpoint"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/recentid"
	"starlingvalve/internal/serverlist"
	"starlingvalve/internal/stats"
)

const (
	// answerGrace is how long after a request's deadline the loop answers it without the module. It bounds the wait
	// of every request, whatever the module does.
	answerGrace = 20 * time.Millisecond
	// overtimeMargin is how long a request waits beyond the overtime of an answer for the attempt to end.
	overtimeMargin = 10 * time.Millisecond
	// dedupWindowMargin is how long before backends forget an idempotency key the last retry with that key is written.
	dedupWindowMargin = 100 * time.Millisecond
)

// Loop owns the decision module: it turns everything that happens into events of the module, one at a time, and carries
// out the actions that the module returns. Nothing waits for the network under its lock. The goroutine that has an
// event takes the lock and handles the event itself: one goroutine for all events cost two more goroutine switches per
// request.
type Loop struct {
	module     *decide.Module
	settings   decide.Settings
	classes    map[string]decide.Class
	transport  Transport
	membership Membership
	messenger  Messenger
	remote     Remote // nil: no request is handed off to another site
	metrics    *stats.Metrics
	learned    *decide.Snapshot // from the predecessor process; nil: none
	log        *slog.Logger
	debug      bool         // each decision on a request is logged
	guard      *guard.Guard // nil: attempts are checked, but not counted
	lag        *lagMeter    // nil: not measured
	recentIDs  *recentid.Table

	ctx         context.Context // of all goroutines and calls that the loop starts
	initialised chan struct{}   // closed once the initial list has been applied
	work        sync.WaitGroup  // the goroutines that the loop starts
	canServe    atomic.Bool     // a server is ready, and the list has been usable at least once
	hasServers  atomic.Bool     // a server is ready
	// firstAgentResult is closed once the node's agent has answered or a call to it has failed, and at the start where
	// lists are not pushed. agentHeard closes it.
	firstAgentResult chan struct{}
	agentHeard       sync.Once
	startedAt        time.Time
	clockBase        decide.Time // the module's time at startedAt

	mu              sync.Mutex  // guards all fields below, and the module
	ended           bool        // the loop handles nothing more
	ending          bool        // open requests have been answered, and no attempt is started any more
	endTimer        *time.Timer // answers all open requests when it fires; nil: not set
	wakeTimer       *time.Timer // fires when the first of timers is due
	requests        map[decide.RequestID]*Request
	timers          timerHeap
	queue           []decide.Event // for the module, while it handles another event
	handling        bool           // handle is running further up the stack
	view            *serverlist.View
	endWatch        context.CancelFunc // nil: no watch is open
	watchAnswered   bool               // the watch has had its first answer
	listFailed      bool               // the latest call to discovery or the watch has failed, by lastListFailure
	lastListFailure decide.FailureCause
	listWasUsable   bool // the list has been usable at least once
	unwatched       unwatchedSends
}

// Options are the settings and ports of a Loop. Settings, Transport, Membership and Log are required. Without a
// Messenger no messages to other nodes are sent.
type Options struct {
	Settings   decide.Settings
	Seed       int64
	Transport  Transport
	Membership Membership
	Messenger  Messenger
	Remote     Remote           // nil: no request is handed off to another site
	Metrics    *stats.Metrics   // nil: nothing is counted
	Learned    *decide.Snapshot // the initial state of the module, from the predecessor process; nil: none
	Guard      *guard.Guard     // nil: attempts are checked, but not counted
	RecentIDs  *recentid.Table  // ids of requests that may have had an effect; nil: only open requests are known
	Log        *slog.Logger
}

// New returns the loop of a node, which Run starts. All goroutines and calls that the loop starts end with ctx.
func New(ctx context.Context, options Options) (*Loop, error) {
	lag, err := newLagMeter()
	if err != nil {
		return nil, fmt.Errorf("pipe: %w", err)
	}
	now := time.Now()
	classes := map[string]decide.Class{}
	for _, c := range options.Settings.Classes {
		classes[c.Name] = c
	}
	if options.Messenger == nil {
		options.Messenger = noMessenger{}
	}
	return &Loop{classes: classes, module: decide.New(options.Settings, options.Seed), settings: options.Settings,
		transport: options.Transport, membership: options.Membership,
		messenger: options.Messenger, remote: options.Remote, log: options.Log, lag: lag, ctx: ctx,
		initialised: make(chan struct{}), firstAgentResult: make(chan struct{}),
		wakeTimer: time.NewTimer(time.Hour), startedAt: now,
		clockBase: time.Duration(now.Add(faultpoint.WallStep).UnixNano()), requests: map[decide.RequestID]*Request{},
		metrics: options.Metrics, learned: options.Learned, guard: options.Guard, view: serverlist.NewView(),
		recentIDs: options.RecentIDs,
		debug:     options.Log.Enabled(ctx, slog.LevelDebug)}, nil
}

// Headroom is the number of further requests that the servers could take while all of them stay lightly loaded: see
// decide.Module.Headroom.
func (l *Loop) Headroom() (n float64) {
	l.post(func() { n = l.module.Headroom(l.now()) })
	return n
}

// ServerList returns the server list as this node has it now. It is empty, and Full is false, as long as no list has
// been applied since the start or since SetMembership.
func (l *Loop) ServerList() (list List) {
	l.post(func() { list, _ = l.view.List() })
	return list
}

// Learned returns a snapshot of what the module has learned, for a successor process. ok is false once the loop has
// ended.
func (l *Loop) Learned() (s decide.Snapshot, ok bool) {
	ok = l.post(func() { s = l.module.Snapshot(l.now()) })
	return s, ok
}

// now is the module's clock: the wall clock at the start plus the monotonic time since. So it never jumps, and the
// start times of backends, which are given in wall-clock time, can be compared with it.
func (l *Loop) now() decide.Time { return l.clockBase + time.Since(l.startedAt) }

// post runs f under the lock, after the initial list has been applied, and reports whether it did. Once the loop has
// ended it does not. f must not call post.
func (l *Loop) post(f func()) bool {
	select {
	case <-l.initialised:
	case <-l.ctx.Done():
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	f()
	return true
}

// Run starts the loop with the given list, which is the last one that the node knew, and fires the module's timers. It
// returns after the context has ended and all goroutines that the loop started have returned.
func (l *Loop) Run(initial List) {
	var metering sync.WaitGroup
	metering.Go(l.lag.run)
	defer metering.Wait()
	defer l.lag.close()
	defer func() { l.work.Wait(); l.membership.Close() }() // in this order: a call may open a connection until it returns
	defer l.wakeTimer.Stop()
	defer l.EndBy(time.Time{})
	l.mu.Lock()
	initial.Full = true
	if initial.Source == serverlist.SourceNone {
		initial.Source = serverlist.SourceCache
	}
	l.applyList(initial, decide.ListCached)
	if l.learned != nil {
		if err := l.module.Restore(l.now(), *l.learned); err != nil {
			l.log.Warn("the snapshot of the predecessor cannot be restored", "err", err)
		}
	}
	if !l.settings.ListOnRequest {
		l.followPushedLists()
	}
	if l.module.ListUsable() || l.settings.ListOnRequest {
		l.agentResult()
	}
	l.mu.Unlock()
	close(l.initialised)
	for {
		select {
		case <-l.ctx.Done():
			l.mu.Lock()
			l.ended = true
			l.mu.Unlock()
			return
		case <-l.wakeTimer.C:
			l.post(l.fireTimers)
		}
	}
}

// fireTimers passes the timers that are due to the module, sets the timer for the next one, and updates the metrics.
func (l *Loop) fireTimers() {
	l.lag.ping()
	for now := time.Now(); len(l.timers) > 0 && !l.timers[0].at.After(now); {
		l.handle(decide.TimerFired{Token: heap.Pop(&l.timers).(runningTimer).token})
	}
	l.resetWakeTimer()
	l.setMetrics()
}

// setMetrics sets the metrics of the servers and of the list. Draining servers, and those that the module avoids, count
// as unhealthy.
func (l *Loop) setMetrics() {
	listed, ready := l.view.Size()
	l.metrics.SetServers(listed, listed-ready+l.module.UnhealthyCount())
	l.setListMetrics()
}

// resetWakeTimer sets the timer of Run to the first of the module's timers.
func (l *Loop) resetWakeTimer() {
	if len(l.timers) > 0 {
		l.wakeTimer.Reset(time.Until(l.timers[0].at))
	}
}

// handle passes an event to the module and carries out the actions that it returns. An event that arises while another
// is handled is queued, and handled after it.
func (l *Loop) handle(event decide.Event) {
	l.queue = append(l.queue, event)
	if l.handling {
		return
	}
	l.handling = true
	for len(l.queue) > 0 {
		event := l.queue[0]
		l.queue = l.queue[1:]
		for _, action := range l.module.Handle(l.now(), event) {
			l.execute(action)
		}
	}
	l.handling, l.queue = false, nil
	l.updateCanServe()
}

// execute carries out one action of the module.
func (l *Loop) execute(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.send(a)
	case decide.Refuse:
		if l.debug {
			l.log.Debug("refuse", "request", a.ID, "for", a.Reason)
		}
		if a.Reason == decide.ByList {
			l.metrics.RefusedNoList()
		}
		refusal := Answer{Status: http.StatusServiceUnavailable, HoldOff: a.HoldOff, Reason: a.Reason}
		if !l.handOff(a.ID, refusal) {
			l.finish(a.ID, refusal)
		}
	case decide.Fail:
		l.finish(a.ID, Answer{Status: http.StatusBadGateway})
	case decide.CancelAttempt:
		if request := l.requests[a.ID]; request != nil && a.Attempt >= 0 && a.Attempt < len(request.attempts) &&
			l.settings.MayCancel {
			request.attempts[a.Attempt].cancel()
		}
	case decide.SetTimer:
		timer := runningTimer{time.Now().Add(a.After), a.Token}
		if heap.Push(&l.timers, timer); l.timers[0] == timer {
			l.resetWakeTimer()
		}
	case decide.Probe:
		l.probe(a.Server)
	case decide.SendMessage:
		l.messenger.Send(a.To, a.ToAll, a.Data)
	case decide.Subscribe:
		l.subscribe(a.On)
	case decide.FetchList:
		source := l.membership
		l.work.Go(func() {
			list, err := source.Fetch(l.ctx)
			l.post(func() { l.handleFetchedList(source, list, err) })
		})
	case decide.CloseIdle:
		l.transport.CloseIdle(a.Server)
	case decide.Log:
		l.log.Info(a.Line)
	}
}

// arrive passes a request from the front to the module. A request whose id is still open, or is that of an earlier one
// that may have had its effect, is answered with 409: its effect could happen twice.
func (l *Loop) arrive(request *Request) {
	if l.requests[request.Arrived.ID] != nil || !l.rememberID(request) {
		l.metrics.Count(stats.RepeatedID)
		if l.debug {
			l.log.Debug("an id comes again", "id", request.Arrived.ID, "class", request.Arrived.Class)
		}
		request.answer <- Answer{Status: http.StatusConflict}
		return
	}
	if c := l.classes[request.Arrived.Class]; c.Effect == decide.Keyed {
		request.dedupWindow = c.DedupWindow
	}
	l.requests[request.Arrived.ID] = request
	request.ctx, request.cancel = context.WithCancel(l.ctx)
	request.Arrived.Patience, request.Arrived.Uploading = time.Until(request.Deadline), request.Upload != nil
	l.handle(request.Arrived)
	request.arriving = false
}

// rememberID remembers the id of a request with an effect, and reports whether it was not known.
func (l *Loop) rememberID(request *Request) bool {
	return l.classes[request.Arrived.Class].Effect == decide.Safe || l.recentIDs.Add(string(request.Arrived.ID))
}

// forget removes a request whose attempts and hand-off have ended. Its id may come again if it has not run.
func (l *Loop) forget(request *Request) {
	delete(l.requests, request.Arrived.ID)
	if l.classes[request.Arrived.Class].Effect != decide.Safe && !request.mayHaveRun() {
		l.recentIDs.Remove(string(request.Arrived.ID))
	}
}

// handOff hands a request that the module has refused off to another site, if Remote accepts it, and reports whether it
// does. The client gets refusal if the hand-off ends without effect. The request's id stays open until then, because a
// second request with the same id would be a second copy.
func (l *Loop) handOff(id decide.RequestID, refusal Answer) bool {
	request := l.requests[id]
	if l.remote == nil || l.ending || request == nil || request.over || request.cancelHandOff != nil ||
		request.Upload != nil {
		return false
	}
	mayHaveRun := request.outstanding > 0
	for _, earlier := range request.attempts {
		mayHaveRun = mayHaveRun || !earlier.neverRan
	}
	class, known := l.classes[request.Arrived.Class]
	if !known {
		return false
	}
	handOff := l.remote.Offer(request, class.Effect, mayHaveRun)
	if handOff == nil {
		return false
	}
	ctx, cancel := context.WithCancel(l.ctx)
	request.cancelHandOff = cancel
	request.outstanding++
	l.work.Go(func() {
		defer cancel()
		if request.ClientGone != nil && request.ClientGone(MaxClientCheckAge) {
			cancel() // so that nothing is sent to the other site
		}
		answer, result := handOff.Run(ctx)
		switch {
		case result == HandOffServed:
		case result == HandOffNotRun, class.Effect == decide.Safe:
			answer = refusal
		default:
			answer = Answer{Status: http.StatusBadGateway}
		}
		l.post(func() {
			request.outstanding--
			request.ranElsewhere = result != HandOffNotRun
			if !request.over {
				request.answer <- answer
			}
			l.closeRequest(request)
		})
	})
	return true
}

// abandon ends a request whose client has gone.
func (l *Loop) abandon(request *Request) {
	if l.requests[request.Arrived.ID] == request && !request.over {
		if request.cancelHandOff != nil {
			request.cancelHandOff()
		}
		l.closeRequest(request)
		l.handle(decide.RequestAbandoned{ID: request.Arrived.ID})
	}
}

// EndBy sets the time at which all requests that are open then are answered, as the node may be killed soon after.
// Their attempts are cancelled then even where the settings don't allow that: the connections would break with the
// process anyway. A zero time takes an earlier call back.
func (l *Loop) EndBy(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endTimer != nil {
		l.endTimer.Stop()
		l.endTimer = nil
	}
	if !end.IsZero() && !l.ended {
		l.endTimer = time.AfterFunc(time.Until(end), func() { l.post(l.endAll) })
	}
}

// endAll has the module answer all open requests, and cancels their hand-offs and attempts. An attempt whose answer is
// being streamed to the client goes on.
func (l *Loop) endAll() {
	if l.ending {
		return
	}
	l.ending = true
	l.handle(decide.Shutdown{})
	for _, request := range l.requests {
		if request.cancelHandOff != nil {
			request.cancelHandOff()
		}
		for _, open := range request.attempts {
			if !open.ended && !open.streaming {
				open.cancel()
			}
		}
	}
}

// finish gives a request its final answer, unless it has one.
func (l *Loop) finish(id decide.RequestID, final Answer) {
	if request := l.requests[id]; request != nil && !request.over {
		request.answer <- final
		l.closeRequest(request)
	}
}

// closeRequest marks a request as over: nothing more is sent for it. It is removed once its last attempt has ended.
func (l *Loop) closeRequest(request *Request) {
	request.over = true
	request.cancel()
	if request.outstanding == 0 {
		l.forget(request)
	}
}

// ReceiveMessage passes a datagram from another node to the module.
func (l *Loop) ReceiveMessage(sender int, data []byte) {
	l.post(func() { l.handle(decide.MessageReceived{From: sender, Data: data}) })
}

// probe checks a server in a goroutine of its own: by its load report, or by its health check where there are none.
func (l *Loop) probe(id decide.ServerID) {
	server := l.transport.Find(id)
	path := "/stats"
	if l.settings.ReportVia == decide.ReportNone {
		path = "/health/live"
	}
	startedAt := time.Now()
	l.work.Go(func() {
		result := Result{Code: decide.ConnectFailed, Err: errUnlisted}
		if server != nil {
			result = server.Probe(l.ctx, path)
		}
		l.post(func() {
			l.handle(decide.ProbeEnded{Server: id, Code: result.Code, Elapsed: time.Since(startedAt),
				Report: result.Report})
		})
	})
}

// runningTimer is a decide.SetTimer that has not fired yet.
type runningTimer struct {
	at    time.Time
	token int64
}

type timerHeap []runningTimer

// Len is the number of running timers, for container/heap.
func (h timerHeap) Len() int { return len(h) }

// Less puts the timer that fires first at the top, for container/heap.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two timers, for container/heap.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a runningTimer, for container/heap.
func (h *timerHeap) Push(t any) { *h = append(*h, t.(runningTimer)) }

// Pop removes the last runningTimer, for container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
