package http1

import (
	"context"
	"errors"
	"math"
	"os"
	"slices"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/guard"
)

var errKeyForgotten = errors.New("the time in which servers remember the idempotency key is over")

// attemptState describes the attempt of an exchange at host h as the guard judges it, at the present time. maxAge is the
// greatest age of an earlier check whether the client has left; if the last check is older, the client's connection is
// checked again.
func (b *Transport) facts(h *host, x *core.Exchange, age time.Duration) guard.Attempt {
	a := x.Facts(time.Now(), age)
	a.OffSince = b.offSince(h)
	return a
}

// closedSince returns when h was closed because its server drains or was removed; the zero time if h is open.
func (b *Transport) offSince(h *host) time.Time {
	if at := h.off.Load(); at != 0 {
		return b.made.Add(time.Duration(at))
	}
	return time.Time{}
}

// admit has the guard decide, right before the first byte, whether an attempt may be written. It returns the attempt
// as the guard saw it. If the attempt was refused, the result holds an outcome code and an error; otherwise its Err is
// nil.
func (b *Transport) admit(ctx context.Context, h *host, x *core.Exchange) (guard.Attempt, core.Result) {
	a := b.facts(h, x, core.LookAge)
	a.Over = ctx.Err() != nil || x.Wanted != nil && x.Wanted.Err() != nil
	if x.ColdMost > 0 {
		a.ColdMost, a.ColdSent = x.ColdMost, b.countCold(h, a.Now)
	}
	switch b.guard.May(a) {
	case guard.None:
		h.sent.Store(int64(a.Now.Sub(b.made)))
		return a, core.Result{}
	case guard.Departed:
		if ctx.Err() != nil {
			return a, core.Result{Code: decide.Cancelled, Err: ctx.Err()}
		}
		return a, core.Result{Code: decide.Moot, Err: errUnwanted}
	case guard.Drain:
		return a, core.Result{Code: decide.ConnectFailed, Err: errClosed}
	case guard.Deadline:
		return a, core.Result{Code: decide.ConnectFailed, Err: os.ErrDeadlineExceeded}
	case guard.Duplicate:
		return a, core.Result{Code: decide.Moot, Err: errKeyForgotten}
	default:
		return a, core.Result{Code: decide.Moot, Err: guard.Failback}
	}
}

// unlimitedAge makes attemptState use the last known state of the client without a new check: a check that finds the
// client gone, or cannot tell, would end its request.
const anyAge = time.Duration(math.MaxInt64)

// checkWritten has the guard count the rules that an attempt broke although it was admitted, by what is known once all
// of it has been written. The attempt itself is not affected.
func (b *Transport) written(h *host, x *core.Exchange, admitted guard.Attempt) {
	a := b.facts(h, x, anyAge)
	a.ColdMost, a.ColdSent = admitted.ColdMost, admitted.ColdSent
	b.guard.Sent(a, admitted.Now)
}

// countSlowStart records an attempt, made at now, at a server in slow start. It returns the number of attempts at this
// server within the last slowStartWindow, this one included.
func (b *Transport) countCold(h *host, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.cold = slices.DeleteFunc(h.cold, func(at time.Time) bool { return now.Sub(at) > b.coldWindow })
	h.cold = append(h.cold, now)
	return len(h.cold)
}
