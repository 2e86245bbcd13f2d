package core

import (
	"context"
	"net/http"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/guard"
)

// attempt is the state of one attempt of a Request.
type attempt struct {
	sent     time.Time // when the module decided on it; with an upload: when the request's body was written whole
	begun    time.Time // when its goroutine started, or as sentAt with an upload; zero: not yet
	cancel   context.CancelFunc
	neverRan bool // it has ended, and its server did not run the request
	server   decide.ServerID
	streams  bool // its answer is being streamed to the client: it ends when the front closes the answer
	ended    bool
}

// send starts an attempt, unless the guard refuses it. The attempt runs in the goroutine of the request's front where
// possible, else in one of its own.
func (l *Loop) send(a decide.Send) {
	r := l.requests[a.ID]
	if r == nil {
		l.handle(decide.AttemptEnded{ID: a.ID, Server: a.Server, Over: true, Code: decide.Moot})
		return
	}
	now := time.Now()
	effect, mayHaveRun := l.classes[r.Arrived.Class].Effect, r.mayHaveRun()
	ctx, cancel := context.WithCancel(l.ctx)
	t := &attempt{sent: now, cancel: cancel, server: a.Server}
	n := len(r.attempts)
	r.attempts = append(r.attempts, t)
	r.out++
	refused := l.guard.May(guard.Attempt{Now: now, Deadline: r.Deadline, Patience: r.Deadline, Over: r.over || l.ending || n >= max(1, l.settings.MaxAttempts),
		Effect: effect, MayHaveRun: mayHaveRun})
	if refused != guard.None {
		l.over(a, n, Result{Code: decide.Moot, Err: refused})
		return
	}
	if l.debug {
		l.log.Debug("send", "request", a.ID, "attempt", n, "server", a.Server, "left", time.Until(r.Deadline), "list age", l.view.Age(now))
	}
	x := &Exchange{Method: r.Method, URL: r.URL, Header: r.Header, Body: r.Body, Deadline: r.Deadline, Whole: r.Deadline, Wanted: r.wanted, Left: r.Left,
		Effect: effect, MayHaveRun: mayHaveRun, ColdMost: a.ColdMost, Written: l.figures.Sent}
	if a.Timeout != 0 && now.Add(a.Timeout).Before(r.Deadline) {
		x.Deadline = now.Add(a.Timeout)
	}
	if a.UsableFor > 0 {
		x.ListBy = now.Add(a.UsableFor)
	}
	for _, earlier := range r.attempts[:n] {
		if r.window > 0 && !earlier.neverRan {
			x.WriteBy = earlier.sent.Add(r.window - windowMargin)
			break
		}
	}
	if x.Upload = r.Upload; x.Upload != nil {
		x.Written = func() { l.uploaded(r, t, n) }
	}
	h := l.transport.Find(a.Server)
	run := func() {
		t.begun = time.Now()
		res := Result{Code: decide.ConnectFailed, Err: errUnlisted}
		if h != nil {
			res = h.Do(ctx, x)
		}
		res.At = time.Now()
		l.post(func() { l.over(a, n, res) })
	}
	if r.runs != nil {
		r.runs <- run // never blocks: the buffer holds MaxAttempts
		return
	}
	// If attempts can't be cancelled, the front must not wait in one: its client may leave meanwhile.
	if r.arriving && r.attempt == nil && l.settings.MayCancel {
		r.attempt = run
		return
	}
	l.work.Go(run)
}

// attemptEnded handles the result of an attempt: it passes the outcome to the module, and the first answer to the
// client.
func (l *Loop) over(a decide.Send, n int, res Result) {
	r := l.requests[a.ID]
	t := r.attempts[n]
	if res.Rest != nil && !r.over {
		l.stream(r, t, a, n, res)
		return
	}
	t.cancel()
	if res.Rest != nil { // the request has another answer already
		res.Code = res.Rest.Close()
	}
	t.ended = true
	t.neverRan = res.Code == decide.Full || res.Code == decide.ConnectFailed || res.Code == decide.Moot
	r.out--
	switch {
	case r.over:
	case res.Code == decide.OK:
		r.answer <- Answer{Status: http.StatusOK, Header: res.Header, Body: res.Body, Work: time.Since(t.sent)}
		r.over = true
	case res.Client > 0: // the request is invalid: other backends would reject it too, and the backend has not failed
		r.answer <- Answer{Status: res.Client}
		r.over = true
	}
	l.figures.Ended(int(res.Code))
	if l.debug {
		l.log.Debug("attempt ended", "request", a.ID, "attempt", n, "server", a.Server, "code", res.Code, "took", time.Since(t.sent), "over", r.over, "err", res.Err)
	}
	if r.over {
		l.close(r)
	}
	elapsed := time.Since(t.sent)
	l.handle(decide.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Over: r.over, Elapsed: elapsed, Own: t.own(res.At, l.lag.value(), elapsed),
		Code: res.Code, Report: res.Report, Spent: r.Upload != nil && r.Upload.Spent})
}

// bodyWritten handles the end of an upload: the body has been written to the server whole, and the client's patience
// counts from now on.
func (l *Loop) uploaded(r *Request, t *attempt, n int) {
	l.figures.Sent()
	l.post(func() {
		t.sent = time.Now()
		t.begun = t.sent
		r.Deadline = t.sent.Add(r.Upload.Patience)
		l.handle(decide.BodyEnded{ID: r.Arrived.ID, Attempt: n, Patience: r.Upload.Patience})
	})
}

// startStream gives the client the beginning of a streamed answer. The attempt ends when the front closes the rest.
func (l *Loop) stream(r *Request, t *attempt, a decide.Send, n int, res Result) {
	elapsed := time.Since(t.sent)
	t.streams = true
	l.close(r) // this attempt stays outstanding until the answer has been streamed
	r.answer <- Answer{Status: http.StatusOK, Header: res.Header, Body: res.Body, Length: res.Length, Work: elapsed,
		Rest: &passing{Rest: res.Rest, end: func(code decide.OutcomeCode) {
			t.cancel()
			l.post(func() {
				t.ended = true
				if r.out--; r.out == 0 {
					delete(l.requests, a.ID)
				}
				l.handle(decide.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Over: true, Elapsed: time.Since(t.sent), Code: code, Report: res.Report})
			})
		}}}
	l.handle(decide.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: elapsed, Own: t.own(res.At, l.lag.value(), elapsed)})
}

// streamedBody is a Rest that reports its end to the loop.
type passing struct {
	Rest
	end func(decide.OutcomeCode)
}

// Close closes the Rest and reports the attempt's outcome to the loop.
func (p *passing) Close() decide.OutcomeCode {
	code := p.Rest.Close()
	p.end(code)
	return code
}

// ownTime is the part of an attempt's elapsed time that was spent in this node and not at the server: until its
// goroutine started, until the process noticed the answer (lag), and from its end at the time at until now, as it
// waited for the loop's lock.
func (t *attempt) own(at time.Time, lag, elapsed time.Duration) time.Duration {
	if t.begun.IsZero() || at.IsZero() {
		return 0
	}
	return min(t.begun.Sub(t.sent)+lag+time.Since(at), elapsed)
}

// mayHaveRun reports whether an earlier attempt of the request may have run at its server, or may still run.
func (r *Request) mayHaveRun() bool {
	for _, t := range r.attempts {
		if !t.neverRan {
			return true
		}
	}
	return false
}
