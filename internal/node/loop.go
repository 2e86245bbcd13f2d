package node

import (
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
)

const (
	// overdue is how long after a request's deadline the node answers by itself if the module has not: nothing
	// may wait for ever, whatever the module does.
	overdue = 20 * time.Millisecond
	// windowMargin is kept from the end of the time in which backends remember a key.
	windowMargin = 100 * time.Millisecond
)

// request is a client's request as the front end has read it.
type request struct {
	arrived  decide.RequestArrived // but for Patience
	deadline time.Time             // the client has its answer by then
	method   string
	url      *url.URL
	header   http.Header
	body     []byte
	answer   chan answer // holds one: the final answer

	// The rest belongs to the loop.
	arriving bool   // in the front's own goroutine, which can make the first attempt itself
	attempt  func() // that attempt; the front calls it
	over     bool
	out      int
	attempts []*attempt
	window   time.Duration // for keyed ones: how long backends remember the key
}

// answer is a request's final answer.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	holdOff time.Duration
	reason  decide.Reason // of a refusal
}

type attempt struct {
	sent     time.Time
	begun    time.Time // its goroutine ran
	cancel   context.CancelFunc
	neverRan bool // and has ended
}

// loop owns the module: all that happens is put into words for it here, one thing at a time, and what it wants
// is set going. Nothing in it waits for the network. Whoever has news takes the lock and tells it; a goroutine of its
// own, to which all news went, cost two changes of goroutine more for each request.
type loop struct {
	module   *decide.Module
	settings decide.Settings
	windows  map[string]time.Duration // of keyed classes: how long backends remember a key
	backends *backends
	disco    *discovery
	peers    *peers
	log      *slog.Logger
	lag      *lagMeter // nil: not measured

	ctx   context.Context // of all that the loop sets going
	begun chan struct{}   // closed once the list of the start is taken in
	work  sync.WaitGroup
	able  atomic.Bool // some backend is ready
	began time.Time
	base  decide.Time // the clock's reading at began

	mu        sync.Mutex // over all that follows, and the module
	ended     bool
	alarm     *time.Timer // for the first of timers
	requests  map[decide.RequestID]*request
	timers    timerHeap
	queue     []decide.Event
	handling  bool
	ready     map[decide.ServerID]bool
	version   *uint64 // of the list; nil if discovery has moved and not told it yet
	endWatch  context.CancelFunc
	watchOpen bool // the watch has had its first answer
}

func newLoop(ctx context.Context, c *Config, b *backends, d *discovery, p *peers, log *slog.Logger) *loop {
	now := time.Now()
	windows := map[string]time.Duration{}
	for _, class := range c.Settings.Classes {
		if class.Effect == decide.Keyed {
			windows[class.Name] = class.DedupWindow
		}
	}
	return &loop{windows: windows, module: decide.New(c.Settings, c.Seed), settings: c.Settings, backends: b, disco: d, peers: p, log: log,
		ctx: ctx, begun: make(chan struct{}), alarm: time.NewTimer(time.Hour), began: now, base: time.Duration(now.UnixNano()),
		requests: map[decide.RequestID]*request{}, ready: map[decide.ServerID]bool{}}
}

// now is the module's clock: it goes on evenly from the time of day at the start, so that the times at which
// backends started can be told on it.
func (l *loop) now() decide.Time { return l.base + time.Since(l.began) }

// post runs f under the lock. It tells whether it did: once the loop has ended it does not. f may not post.
func (l *loop) post(f func()) bool {
	select {
	case <-l.begun:
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

// run begins with the list that the node last had, and tells the module of its timers. It ends with the context, once
// all that the loop has set going has ended.
func (l *loop) run(known list) {
	defer l.work.Wait()
	defer l.alarm.Stop()
	l.mu.Lock()
	known.full = true
	l.follow(known, decide.ListCached)
	if !l.settings.AskForList {
		l.listen()
	}
	l.mu.Unlock()
	close(l.begun)
	for {
		select {
		case <-l.ctx.Done():
			l.mu.Lock()
			l.ended = true
			l.mu.Unlock()
			return
		case <-l.alarm.C:
			l.post(l.ring)
		}
	}
}

// ring tells the module of the timers whose time has come, and sets the alarm for the next.
func (l *loop) ring() {
	l.lag.ping()
	for now := time.Now(); len(l.timers) > 0 && !l.timers[0].at.After(now); {
		l.handle(decide.TimerFired{Token: heap.Pop(&l.timers).(runningTimer).token})
	}
	l.setAlarm()
}

func (l *loop) setAlarm() {
	if len(l.timers) > 0 {
		l.alarm.Reset(time.Until(l.timers[0].at))
	}
}

// handle gives the module an event and does what it asks for. What that brings about at once comes after it.
func (l *loop) handle(e decide.Event) {
	l.queue = append(l.queue, e)
	if l.handling {
		return
	}
	l.handling = true
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		for _, a := range l.module.Handle(l.now(), e) {
			l.do(a)
		}
	}
	l.handling, l.queue = false, nil
}

func (l *loop) do(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.send(a)
	case decide.Refuse:
		l.finish(a.ID, answer{status: http.StatusServiceUnavailable, holdOff: a.HoldOff, reason: a.Reason})
	case decide.Fail:
		l.finish(a.ID, answer{status: http.StatusBadGateway})
	case decide.CancelAttempt:
		if r := l.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && l.settings.MayCancel {
			r.attempts[a.Attempt].cancel()
		}
	case decide.SetTimer:
		timer := runningTimer{time.Now().Add(a.After), a.Token}
		if heap.Push(&l.timers, timer); l.timers[0] == timer {
			l.setAlarm()
		}
	case decide.Probe:
		l.probe(a.Server)
	case decide.SendMessage:
		l.peers.send(a.To, a.ToAll, a.Data)
	case decide.Subscribe:
		l.subscribe(a.On)
	case decide.FetchList:
		d := l.disco
		l.work.Go(func() {
			n, err := d.fetch(l.ctx)
			l.post(func() {
				if d != l.disco {
					n, err = list{}, errors.New("discovery has moved")
				}
				l.told(n, err)
			})
		})
	case decide.CloseIdle:
		l.backends.closeIdle(a.Server)
	case decide.Log:
		l.log.Info(a.Line)
	}
}

// arrive takes a request from the front end. An id that is still open is not taken twice: the module would not
// answer it, and its effect could happen twice.
func (l *loop) arrive(r *request) {
	if l.requests[r.arrived.ID] != nil {
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	r.window = l.windows[r.arrived.Class]
	l.requests[r.arrived.ID] = r
	r.arrived.Patience = time.Until(r.deadline)
	l.handle(r.arrived)
	r.arriving = false
}

// abandon ends a request whose client is gone.
func (l *loop) abandon(r *request) {
	if l.requests[r.arrived.ID] == r && !r.over {
		l.close(r)
		l.handle(decide.RequestAbandoned{ID: r.arrived.ID})
	}
}

func (l *loop) finish(id decide.RequestID, a answer) {
	if r := l.requests[id]; r != nil && !r.over {
		r.answer <- a
		l.close(r)
	}
}

// close marks a request as over and forgets it once its attempts are in.
func (l *loop) close(r *request) {
	r.over = true
	if r.out == 0 {
		delete(l.requests, r.arrived.ID)
	}
}

func (l *loop) send(a decide.Send) {
	r := l.requests[a.ID]
	if r == nil {
		l.handle(decide.AttemptEnded{ID: a.ID, Server: a.Server, Over: true, Code: decide.Moot})
		return
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	t := &attempt{sent: now, cancel: cancel}
	n := len(r.attempts)
	r.attempts = append(r.attempts, t)
	r.out++
	if r.over || n >= max(1, l.settings.MaxAttempts) || !now.Before(r.deadline) {
		l.over(a, n, result{code: decide.Moot})
		return
	}
	x := &exchange{method: r.method, url: r.url, header: r.header, body: r.body, deadline: r.deadline}
	if a.Timeout != 0 && now.Add(a.Timeout).Before(r.deadline) {
		x.deadline = now.Add(a.Timeout)
	}
	for _, earlier := range r.attempts[:n] {
		if r.window > 0 && !earlier.neverRan {
			x.writeBy = earlier.sent.Add(r.window - windowMargin)
			break
		}
	}
	h := l.backends.find(a.Server)
	run := func() {
		defer cancel()
		t.begun = time.Now()
		res := l.backends.do(ctx, h, x)
		res.at = time.Now()
		l.post(func() { l.over(a, n, res) })
	}
	// Where an attempt can't be called off, the front may not be held by it: its client may go.
	if r.arriving && r.attempt == nil && l.settings.MayCancel {
		r.attempt = run
		return
	}
	l.work.Go(run)
}

// over tells the module of an attempt's end; the first answer goes to the client.
func (l *loop) over(a decide.Send, n int, res result) {
	r := l.requests[a.ID]
	t := r.attempts[n]
	t.cancel()
	t.neverRan = res.code == decide.Full || res.code == decide.ConnectFailed || res.code == decide.Moot
	r.out--
	switch {
	case r.over:
	case res.code == decide.OK:
		r.answer <- answer{status: http.StatusOK, header: res.header, body: res.body}
		r.over = true
	case res.client > 0: // the backend can't use the request: no other could, and it is not to blame
		r.answer <- answer{status: res.client}
		r.over = true
	}
	if res.err != nil {
		l.log.Debug("attempt", "id", a.ID, "server", a.Server, "code", res.code, "err", res.err)
	}
	if r.over && r.out == 0 {
		delete(l.requests, a.ID)
	}
	elapsed := time.Since(t.sent)
	l.handle(decide.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Over: r.over, Elapsed: elapsed, Own: t.own(res.at, l.lag.value(), elapsed),
		Code: res.code, Report: res.report})
}

// own is the part of an attempt's time that passed in this node: before it began, until its answer was noticed, and
// until the loop was free.
func (t *attempt) own(at time.Time, lag, elapsed time.Duration) time.Duration {
	if t.begun.IsZero() || at.IsZero() {
		return 0
	}
	return min(t.begun.Sub(t.sent)+lag+time.Since(at), elapsed)
}

// heard takes a datagram from another node.
func (l *loop) heard(from int, data []byte) {
	l.post(func() { l.handle(decide.MessageReceived{From: from, Data: data}) })
}

func (l *loop) probe(id decide.ServerID) {
	h := l.backends.find(id)
	path := "/stats"
	if l.settings.ReportVia == decide.ReportNone {
		path = "/health/live"
	}
	began := time.Now()
	l.work.Go(func() {
		res := l.backends.probe(l.ctx, h, path)
		l.post(func() {
			l.handle(decide.ProbeEnded{Server: id, Code: res.code, Elapsed: time.Since(began), Report: res.report})
		})
	})
}

// subscribe begins a watch, or begins it anew so that there is an answer, unless the answer is still to come.
func (l *loop) subscribe(on bool) {
	if on && l.endWatch != nil && !l.watchOpen {
		return
	}
	l.unwatch()
	if !on {
		return
	}
	ctx, current := l.watching()
	d, since := l.disco, l.version
	l.work.Go(func() {
		err := d.watch(ctx, since, func(n list) { current(func() { l.watchOpen = true; l.news(n) }) })
		current(func() { l.unwatch(); l.told(list{}, err) })
	})
}

// listen keeps a watch where lists are pushed and so nobody asks for one.
func (l *loop) listen() {
	ctx, current := l.watching()
	d, since := l.disco, l.version
	l.work.Go(func() { d.follow(ctx, since, func(n list) { current(func() { l.news(n) }) }) })
}

// watching gives what a new watch needs: a context, and a way into the loop for as long as it is not ended.
func (l *loop) watching() (context.Context, func(func())) {
	ctx, cancel := context.WithCancel(l.ctx)
	l.endWatch, l.watchOpen = cancel, false
	return ctx, func(f func()) {
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
}

func (l *loop) unwatch() {
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
}

// reload reads the configuration again whenever it is told to, until ctx ends. A bad one changes nothing; of a good
// one discovery's address takes effect, what else is new in it at the next start.
func (l *loop) reload(ctx context.Context, c *Config, asked <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		next, err := c.reread()
		if err != nil {
			l.log.Error("configuration not taken", "err", err)
			continue
		}
		l.post(func() { l.move(next.Discovery) })
	}
}

// move has discovery asked at another address, for the whole list at once: its versions need not go on from those
// that the old one gave. A watch at the old address may hang, and would be taken for one that is kept.
func (l *loop) move(to netip.AddrPort) {
	if to == l.disco.addr {
		return
	}
	l.log.Info("discovery moves", "to", to)
	l.unwatch()
	l.disco.client.CloseIdleConnections()
	l.disco, l.version = newDiscovery(to, l.log), nil
	if l.settings.AskForList {
		l.subscribe(true)
	} else {
		l.listen()
	}
}

// told takes the answer to a call that the module made.
func (l *loop) told(n list, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.handle(decide.ListUpdate{Kind: decide.ListFailed})
		return
	}
	l.news(n)
}

func (l *loop) news(n list) {
	kind := decide.ListChanges
	if n.full {
		kind = decide.ListFull
	}
	l.follow(n, kind)
}

// follow takes a list: connections first, so that nothing goes where the list says no.
func (l *loop) follow(n list, kind decide.ListKind) {
	l.version = &n.version
	l.backends.update(n)
	if n.full {
		clear(l.ready)
	}
	e := decide.ListUpdate{Kind: kind, Version: n.version}
	for _, s := range n.entries {
		delete(l.ready, s.ID)
		if s.State == decide.Ready {
			l.ready[s.ID] = true
		}
		e.Entries = append(e.Entries, s.Server)
	}
	l.able.Store(len(l.ready) > 0)
	l.handle(e)
}

// runningTimer is a SetTimer that is running.
type runningTimer struct {
	at    time.Time
	token int64
}

type timerHeap []runningTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(runningTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
