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
	sentAt    time.Time // when the module decided on it; with an upload: when the request's body was written whole
	startedAt time.Time // when its goroutine started, or as sentAt with an upload; zero: not yet
	cancel    context.CancelFunc
	neverRan  bool // it has ended, and its server did not run the request
	server    decide.ServerID
	streaming bool // its answer is being streamed to the client: it ends when the front closes the answer
	ended     bool
}

// send starts an attempt, unless the guard refuses it. The attempt runs in the goroutine of the request's front where
// possible, else in one of its own.
func (l *Loop) send(a decide.Send) {
	request := l.requests[a.ID]
	if request == nil {
		l.handle(decide.AttemptEnded{ID: a.ID, Server: a.Server, RequestDone: true, Code: decide.Moot})
		return
	}
	now := time.Now()
	effect, mayHaveRun := l.classes[request.Arrived.Class].Effect, request.mayHaveRun()
	ctx, cancel := context.WithCancel(l.ctx)
	current := &attempt{sentAt: now, cancel: cancel, server: a.Server}
	index := len(request.attempts)
	request.attempts = append(request.attempts, current)
	request.outstanding++
	refused := l.guard.Admit(guard.Attempt{Now: now, Deadline: request.Deadline, ClientDeadline: request.Deadline,
		Over: request.over || l.ending || index >= max(1, l.settings.MaxAttempts), Effect: effect, MayHaveRun: mayHaveRun})
	if refused != guard.None {
		l.attemptEnded(a, index, Result{Code: decide.Moot, Err: refused})
		return
	}
	l.recordUnwatched(a, index, now)
	if l.debug {
		l.log.Debug("send", "request", a.ID, "attempt", index, "server", a.Server,
			"left", time.Until(request.Deadline), "list age", l.view.Age(now))
	}
	exchange := &Exchange{Method: request.Method, URL: request.URL, Header: request.Header, Body: request.Body,
		Deadline: request.Deadline, RequestDeadline: request.Deadline, RequestContext: request.ctx,
		ClientGone: request.ClientGone, Effect: effect, MayHaveRun: mayHaveRun, SlowStartLimit: a.SlowStartLimit,
		ReadLag: l.lag.current(), OnWritten: l.metrics.AttemptSent}
	if !request.Arrived.HandedOff { // the other site waits until the deadline only
		exchange.OnOvertime = func(until time.Time) { l.startOvertime(request, index, until) }
	}
	if a.Timeout != 0 && now.Add(a.Timeout).Before(request.Deadline) {
		exchange.Deadline = now.Add(a.Timeout)
	}
	if a.UsableFor > 0 {
		exchange.ListValidUntil = now.Add(a.UsableFor)
	}
	for _, earlier := range request.attempts[:index] {
		if request.dedupWindow > 0 && !earlier.neverRan {
			exchange.WriteBy = earlier.sentAt.Add(request.dedupWindow - dedupWindowMargin)
			break
		}
	}
	if exchange.Upload = request.Upload; exchange.Upload != nil {
		exchange.OnWritten = func() { l.bodyWritten(request, current, index) }
	}
	server := l.transport.Find(a.Server)
	run := func() {
		current.startedAt = time.Now()
		result := Result{Code: decide.ConnectFailed, Err: errUnlisted}
		if server != nil {
			result = server.Do(ctx, exchange)
		}
		result.EndedAt = time.Now()
		l.post(func() { l.attemptEnded(a, index, result) })
	}
	if request.uploadAttempts != nil {
		request.uploadAttempts <- run // never blocks: the buffer holds MaxAttempts
		return
	}
	// If attempts can't be cancelled, the front must not wait in one: its client may leave meanwhile.
	if request.arriving && request.firstAttempt == nil && l.settings.MayCancel {
		request.firstAttempt = run
		return
	}
	l.work.Go(run)
}

// attemptEnded handles the result of an attempt: it passes the outcome to the module, and the first answer to the
// client.
func (l *Loop) attemptEnded(send decide.Send, index int, result Result) {
	request := l.requests[send.ID]
	ended := request.attempts[index]
	if result.Rest != nil && !request.over {
		l.startStream(request, ended, send, index, result)
		return
	}
	ended.cancel()
	if result.Rest != nil { // the request has another answer already
		result.Code = result.Rest.Close()
	}
	if request.over || result.Code != decide.OK {
		result.Held.Release()
	}
	ended.ended = true
	ended.neverRan = result.Code == decide.Full || result.Code == decide.ConnectFailed || result.Code == decide.Moot
	request.outstanding--
	switch {
	case request.over:
	case result.Code == decide.OK:
		request.answer <- Answer{Status: http.StatusOK, Header: result.Header, Body: result.Body,
			Held: result.Held, AttemptTime: time.Since(ended.sentAt)}
		request.over = true
	case result.ClientErrorStatus > 0:
		// The request is invalid: other backends would reject it too, and this one has not failed.
		request.answer <- Answer{Status: result.ClientErrorStatus}
		request.over = true
	}
	l.metrics.AttemptEnded(int(result.Code))
	if l.debug {
		l.log.Debug("attempt ended", "request", send.ID, "attempt", index, "server", send.Server,
			"code", result.Code, "took", time.Since(ended.sentAt), "over", request.over, "err", result.Err)
	}
	if request.over {
		l.closeRequest(request)
	}
	elapsed := time.Since(ended.sentAt)
	l.handle(decide.AttemptEnded{ID: send.ID, Attempt: index, Server: send.Server, RequestDone: request.over,
		Elapsed: elapsed, NodeTime: ended.ownTime(result.EndedAt, l.lag.current(), elapsed), Code: result.Code,
		Report: result.Report, BodyConsumed: request.Upload != nil && request.Upload.PartlySent})
}

// bodyWritten handles the end of an upload: the body has been written to the server whole. The client's time counts
// from when it had written the last byte.
func (l *Loop) bodyWritten(request *Request, current *attempt, index int) {
	l.metrics.AttemptSent()
	answerBy := request.Upload.AnswerBy()
	l.post(func() {
		current.sentAt = time.Now()
		current.startedAt = current.sentAt
		request.Deadline = answerBy
		l.handle(decide.BodyEnded{ID: request.Arrived.ID, Attempt: index, Patience: time.Until(answerBy)})
	})
}

// startOvertime has a request wait for an answer that is held beyond its deadline: it may be a long one, of which only the
// first bytes are due.
func (l *Loop) startOvertime(request *Request, index int, until time.Time) {
	until = until.Add(overtimeMargin)
	l.post(func() {
		if request.over {
			return
		}
		request.overtimeEnd = until
		l.handle(decide.OvertimeStarted{ID: request.Arrived.ID, Attempt: index, Length: time.Until(until)})
	})
}

// startStream gives the client the beginning of a streamed answer. The attempt ends when the front closes the rest.
func (l *Loop) startStream(request *Request, current *attempt, send decide.Send, index int, result Result) {
	elapsed := time.Since(current.sentAt)
	if !result.BegunAt.IsZero() { // what the body was held back for is no latency of the server
		elapsed = result.BegunAt.Sub(current.sentAt)
	}
	current.streaming = true
	l.closeRequest(request) // this attempt stays outstanding until the answer has been streamed
	request.answer <- Answer{Status: http.StatusOK, Header: result.Header, Length: result.Length,
		AttemptTime: elapsed, Rest: &streamedBody{Rest: result.Rest, end: func(code decide.OutcomeCode) {
			current.cancel()
			l.post(func() {
				current.ended = true
				if request.outstanding--; request.outstanding == 0 {
					l.forget(request)
				}
				l.handle(decide.AttemptEnded{ID: send.ID, Attempt: index, Server: send.Server, RequestDone: true,
					Elapsed: time.Since(current.sentAt), Code: code, Report: result.Report})
			})
		}}}
	l.handle(decide.StreamStarted{ID: send.ID, Attempt: index, Server: send.Server, Elapsed: elapsed,
		NodeTime: current.ownTime(time.Now(), l.lag.current(), elapsed)})
}

// streamedBody is a Rest that reports its end to the loop.
type streamedBody struct {
	Rest
	end func(decide.OutcomeCode)
}

// Close closes the Rest and reports the attempt's outcome to the loop.
func (p *streamedBody) Close() decide.OutcomeCode {
	code := p.Rest.Close()
	p.end(code)
	return code
}

// ownTime is the part of an attempt's elapsed time that was spent in this node and not at the server: until its
// goroutine started, until the process noticed the answer (lag), and from its end at the time at until now, as it
// waited for the loop's lock.
func (t *attempt) ownTime(at time.Time, lag, elapsed time.Duration) time.Duration {
	if t.startedAt.IsZero() || at.IsZero() {
		return 0
	}
	return min(t.startedAt.Sub(t.sentAt)+lag+time.Since(at), elapsed)
}

// mayHaveRun reports whether an earlier attempt of the request may have run at its server, or may still run, or another
// site may have run it.
func (r *Request) mayHaveRun() bool {
	if r.ranElsewhere {
		return true
	}
	for _, earlier := range r.attempts {
		if !earlier.neverRan {
			return true
		}
	}
	return false
}
