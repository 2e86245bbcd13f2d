package core

import (
	"context"
	"net/http"
	"time"

	"starlingvalve/decide"
)

// Do takes a request from a front and blocks until it has its final answer, which is the only one, and comes by
// overdue after the request's deadline whatever happens. ctx is the client: if it ends first the request is given up
// and ok is false; there is nobody to answer. An answer's Rest, if it has one, is the caller's to close.
func (l *Loop) Do(ctx context.Context, r *Request) (a Answer, ok bool) {
	if ctx.Err() != nil {
		return Answer{}, false // its client had left before it was taken up
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
		case last := <-r.answer: // it came in this moment; none comes from now on
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

// run makes an attempt in the front's goroutine. It ends by the request's deadline, or when it is called off.
func (l *Loop) run(ctx context.Context, r *Request, attempt func()) {
	stop := context.AfterFunc(ctx, func() { l.post(func() { l.abandon(r) }) })
	defer stop()
	attempt()
}

// skip runs the attempts that nobody waits for any more: each has been called off and ends at once, and the module is told.
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

// deadline changes where a request's time begins with its body's end.
func (l *Loop) deadline(r *Request) (at time.Time) {
	if r.Upload == nil {
		return r.Deadline
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.Deadline
}
