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

var errKeyForgotten = errors.New("the keyed window is over")

// facts are what is known of an attempt at a host now. age is how old a look at the client may be.
func (b *Transport) facts(h *host, x *core.Exchange, age time.Duration) guard.Attempt {
	a := x.Facts(time.Now(), age)
	a.OffSince = b.offSince(h)
	return a
}

// offSince is when a host was closed, as its server drains or is gone; zero: it is not.
func (b *Transport) offSince(h *host) time.Time {
	if at := h.off.Load(); at != 0 {
		return b.made.Add(time.Duration(at))
	}
	return time.Time{}
}

// admit asks the guard whether an attempt may be written, right before its first byte. If it may not, the result has
// an error.
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

// anyAge has no look made at a client: one that finds it gone, or hidden, ends its request.
const anyAge = time.Duration(math.MaxInt64)

// written has the guard judge an attempt that has been written whole, by what is known now. It changes nothing.
func (b *Transport) written(h *host, x *core.Exchange, admitted guard.Attempt) {
	a := b.facts(h, x, anyAge)
	a.ColdMost, a.ColdSent = admitted.ColdMost, admitted.ColdSent
	b.guard.Sent(a, admitted.Now)
}

// countCold counts an attempt at a server in slow start, and gives how many there are in the present window.
func (b *Transport) countCold(h *host, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.cold = slices.DeleteFunc(h.cold, func(at time.Time) bool { return now.Sub(at) > b.coldWindow })
	h.cold = append(h.cold, now)
	return len(h.cold)
}
