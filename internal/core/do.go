package core

import (
	"context"
	"net/http"
	"time"

	"starlingvalve/decide"
)

// Do serves a request of a front and blocks until the request has its final answer. It returns by answerGrace after the
// request's deadline at the latest, whatever happens. ctx ends when the client leaves: if that is before the answer,
// the request is abandoned and ok is false. The caller has to close the Rest of the answer, if it has one.
func (l *Loop) Do(ctx context.Context, r *Request) (a Answer, ok bool) {
	if ctx.Err() != nil {
		return Answer{}, false // the client had left before the request got here
	}
	r.answer, r.arriving = make(chan Answer, 1), true
	if r.Upload != nil {
		r.runs = make(chan func(), max(1, l.settings.MaxAttempts))
	}
	if !l.post(func() { l.arrive(r) }) {
		return Answer{Status: http.StatusServiceUnavailable, Reason: decide.ByNode}, true
	}
	if r.attempt != nil {
		l.run(ctx, r, r.attempt)
	}
	for {
		select {
		case a := <-r.answer:
			return a, true
		default:
		}
		late := time.NewTimer(max(0, time.Until(l.deadline(r))) + overdue)
		select {
		case a := <-r.answer:
			late.Stop()
			return a, true
		case run := <-r.runs:
			late.Stop()
			l.run(ctx, r, run)
			continue
		case <-ctx.Done():
			a, ok = Answer{}, false
		case <-late.C:
			l.log.Warn("overdue", "id", r.Arrived.ID)
			a, ok = Answer{Status: http.StatusGatewayTimeout}, true
		case <-l.ctx.Done():
			a, ok = Answer{Status: http.StatusBadGateway}, true
		}
		late.Stop()
		l.post(func() { l.abandon(r) })
		select {
		case last := <-r.answer: // an answer that came just before abandon; after abandon there is none
			if ok {
				a = last
			} else if last.Rest != nil {
				last.Rest.Close()
			}
		default:
		}
		l.skip(r)
		return a, ok
	}
}

// runAttempt makes an attempt in the front's goroutine, and abandons the request if ctx ends meanwhile. It returns when
// the attempt has ended: by the request's deadline, or when it is cancelled.
func (l *Loop) run(ctx context.Context, r *Request, attempt func()) {
	stop := context.AfterFunc(ctx, func() { l.post(func() { l.abandon(r) }) })
	defer stop()
	attempt()
}

// drainUploadAttempts runs the attempts of an abandoned request that are still queued. All of them have been cancelled,
// so each ends at once and reports that to the module.
func (l *Loop) skip(r *Request) {
	for {
		select {
		case run := <-r.runs:
			run()
		default:
			return
		}
	}
}

// deadline returns the request's deadline. With an Upload it takes the lock, because bodyWritten moves the deadline.
func (l *Loop) deadline(r *Request) (at time.Time) {
	if r.Upload == nil {
		return r.Deadline
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.Deadline
}
