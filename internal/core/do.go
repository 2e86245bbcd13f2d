package core

import (
	"context"
	"net/http"
	"time"

	"starlingvalve/decide"
)

// Do serves a request of a front and blocks until the request has its final answer. It returns by answerGrace after the
// request's deadline at the latest, or after the overtime of an answer that may be a long one, whatever happens. ctx ends
// when the client leaves: if that is before the answer, the request is abandoned and ok is false. The caller has to close
// the Rest of the answer, if it has one.
func (l *Loop) Do(ctx context.Context, request *Request) (answer Answer, ok bool) {
	if ctx.Err() != nil {
		return Answer{}, false // the client had left before the request got here
	}
	request.answer, request.arriving = make(chan Answer, 1), true
	if request.Upload != nil {
		request.uploadAttempts = make(chan func(), max(1, l.settings.MaxAttempts))
	}
	l.awaitAgent(ctx, request)
	if !l.post(func() { l.arrive(request) }) {
		return Answer{Status: http.StatusServiceUnavailable, Reason: decide.ByNode}, true
	}
	if request.firstAttempt != nil {
		l.runAttempt(ctx, request, request.firstAttempt)
	}
	var overtimeEnd time.Time
	for {
		select {
		case answer := <-request.answer:
			return answer, true
		default:
		}
		due := l.deadline(request)
		if overtimeEnd.After(due) {
			due = overtimeEnd
		}
		timeout := time.NewTimer(max(0, time.Until(due)) + answerGrace)
		select {
		case answer := <-request.answer:
			timeout.Stop()
			return answer, true
		case attempt := <-request.uploadAttempts:
			timeout.Stop()
			l.runAttempt(ctx, request, attempt)
			continue
		case <-ctx.Done():
			answer, ok = Answer{}, false
		case <-timeout.C:
			if end := l.overtimeEnd(request); end.After(overtimeEnd) {
				overtimeEnd = end
				continue
			}
			l.log.Warn("overdue", "id", request.Arrived.ID)
			answer, ok = Answer{Status: http.StatusGatewayTimeout}, true
		case <-l.ctx.Done():
			answer, ok = Answer{Status: http.StatusBadGateway}, true
		}
		timeout.Stop()
		l.post(func() { l.abandon(request) })
		select {
		case lateAnswer := <-request.answer: // an answer that came just before abandon; after abandon there is none
			if ok {
				answer = lateAnswer
			} else {
				lateAnswer.drop()
			}
		default:
		}
		l.drainUploadAttempts(request)
		return answer, ok
	}
}

// drop releases what an answer holds that nobody gets.
func (a *Answer) drop() {
	a.Held.Release()
	if a.Rest != nil {
		a.Rest.Close()
	}
}

// runAttempt makes an attempt in the front's goroutine, and abandons the request if ctx ends meanwhile. It returns when
// the attempt has ended: by the request's deadline, or when it is cancelled.
func (l *Loop) runAttempt(ctx context.Context, request *Request, attempt func()) {
	stop := context.AfterFunc(ctx, func() { l.post(func() { l.abandon(request) }) })
	defer stop()
	attempt()
}

// drainUploadAttempts runs the attempts of an abandoned request that are still queued. All of them have been cancelled,
// so each ends at once and reports that to the module.
func (l *Loop) drainUploadAttempts(request *Request) {
	for {
		select {
		case run := <-request.uploadAttempts:
			run()
		default:
			return
		}
	}
}

// deadline returns the request's deadline. With an Upload it takes the lock, because bodyWritten moves the deadline.
func (l *Loop) deadline(request *Request) (at time.Time) {
	if request.Upload == nil {
		return request.Deadline
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return request.Deadline
}

// overtimeEnd returns until when an answer to the request may be held beyond its deadline; zero: none is.
func (l *Loop) overtimeEnd(request *Request) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return request.overtimeEnd
}
