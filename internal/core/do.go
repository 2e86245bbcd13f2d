package core

import (
	"context"
	"net/http"
	"time"

	"starlingvalve/decide"
)

// Do takes a request from a front and blocks until it has its final answer, which is the only one, and comes by
// overdue after the request's deadline whatever happens. ctx is the client: if it ends first the request is given up
// and ok is false; there is nobody to answer.
func (l *Loop) Do(ctx context.Context, r *Request) (a Answer, ok bool) {
	r.answer, r.arriving = make(chan Answer, 1), true
	if !l.post(func() { l.arrive(r) }) {
		return Answer{Status: http.StatusServiceUnavailable, Reason: decide.ByNode}, true
	}
	if r.attempt != nil {
		// It ends by the request's deadline, or when it is called off.
		stop := context.AfterFunc(ctx, func() { l.post(func() { l.abandon(r) }) })
		r.attempt()
		stop()
		select {
		case a := <-r.answer:
			return a, true
		default:
		}
	}
	late := time.NewTimer(max(0, time.Until(r.Deadline)) + overdue)
	defer late.Stop()
	select {
	case a := <-r.answer:
		return a, true
	case <-ctx.Done():
		l.post(func() { l.abandon(r) })
		return Answer{}, false
	case <-late.C:
		l.post(func() { l.abandon(r) })
		l.log.Warn("overdue", "id", r.Arrived.ID)
		return Answer{Status: http.StatusGatewayTimeout}, true
	case <-l.ctx.Done():
		return Answer{Status: http.StatusBadGateway}, true
	}
}
