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

var errKeyWindowOver = errors.New("the time in which servers remember the idempotency key is over")

// attemptState describes the attempt of an exchange at a host as the guard judges it, at the present time. maxAge is
// the greatest age of an earlier check whether the client has left; if the last check is older, the client's
// connection is checked again.
func (t *Transport) attemptState(h *host, exchange *core.Exchange, maxAge time.Duration) guard.Attempt {
	attempt := exchange.GuardAttempt(time.Now(), maxAge)
	attempt.UnavailableSince = t.closedSince(h)
	return attempt
}

// closedSince returns when h was closed because its server drains or was removed; the zero time if h is open.
func (t *Transport) closedSince(h *host) time.Time {
	if at := h.closedAt.Load(); at != 0 {
		return t.clockStart.Add(time.Duration(at))
	}
	return time.Time{}
}

// admit has the guard decide, right before the first byte, whether an attempt may be written. It returns the attempt
// as the guard saw it. If the attempt was refused, the result holds an outcome code and an error; otherwise its Err is
// nil.
func (t *Transport) admit(ctx context.Context, h *host, exchange *core.Exchange) (guard.Attempt, core.Result) {
	attempt := t.attemptState(h, exchange, core.MaxClientCheckAge)
	attempt.Over = ctx.Err() != nil || exchange.RequestContext != nil && exchange.RequestContext.Err() != nil
	if exchange.SlowStartLimit > 0 {
		attempt.SlowStartLimit, attempt.SlowStartSent = exchange.SlowStartLimit, t.countSlowStart(h, attempt.Now)
	}
	switch t.guard.Admit(attempt) {
	case guard.None:
		h.lastSentAt.Store(int64(attempt.Now.Sub(t.clockStart)))
		return attempt, core.Result{}
	case guard.Departed:
		if ctx.Err() != nil {
			return attempt, core.Result{Code: decide.Cancelled, Err: ctx.Err()}
		}
		return attempt, core.Result{Code: decide.Moot, Err: errRequestOver}
	case guard.Drain:
		return attempt, core.Result{Code: decide.ConnectFailed, Err: errClosed}
	case guard.Deadline:
		return attempt, core.Result{Code: decide.ConnectFailed, Err: os.ErrDeadlineExceeded}
	case guard.Duplicate:
		return attempt, core.Result{Code: decide.Moot, Err: errKeyWindowOver}
	default:
		return attempt, core.Result{Code: decide.Moot, Err: guard.Failback}
	}
}

// unlimitedAge makes attemptState use the last known state of the client without a new check: a check that finds the
// client gone, or cannot tell, would end its request.
const unlimitedAge = time.Duration(math.MaxInt64)

// checkWritten has the guard count the rules that an attempt broke although it was admitted, by what is known once all
// of it has been written. The attempt itself is not affected.
func (t *Transport) checkWritten(h *host, exchange *core.Exchange, admitted guard.Attempt) {
	attempt := t.attemptState(h, exchange, unlimitedAge)
	attempt.SlowStartLimit, attempt.SlowStartSent = admitted.SlowStartLimit, admitted.SlowStartSent
	t.guard.RecordSent(attempt, admitted.Now)
}

// countSlowStart records an attempt, made at now, at a server in slow start. It returns the number of attempts at this
// server within the last slowStartWindow, this one included.
func (t *Transport) countSlowStart(h *host, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.slowStartSends = slices.DeleteFunc(h.slowStartSends, func(at time.Time) bool { return now.Sub(at) > t.slowStartWindow })
	h.slowStartSends = append(h.slowStartSends, now)
	return len(h.slowStartSends)
}
