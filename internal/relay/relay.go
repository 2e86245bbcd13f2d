// Package relay decides how the body of a response is passed on from a server to a client: until when its beginning is
// held, when it is forwarded, how long the node waits for more of it, and which limit ends it. It does no I/O and reads
// no clock.
//
// A body of at most MaxHeld bytes is owed whole by the request's deadline. Of a longer one the first bytes are, and the
// rest for as long as the server sends. While it is not known which of the two a body is, it is held, so that the request
// can still fail in time. Shortly before that time it is forwarded if it comes in this moment, and is probably a long one:
// by its lumps, or by its rate. What has been forwarded is passed on to its end.
package relay

import "time"

const (
	// MaxHeld is the size, in bytes, up to which a body is held until it is complete.
	MaxHeld = 64 << 10
	// MaxSize is the size of the largest body, in bytes, with any framing.
	MaxSize = 40 << 20

	// Silence is the longest wait for more of a body that is being forwarded.
	Silence = 20 * time.Second
	// MinAverageRate is the lowest average rate of a body that is being forwarded, in bytes a second of the time spent
	// waiting for it, beyond rateTolerance. It only bounds how long a server can occupy a connection.
	MinAverageRate = 256
	rateTolerance  = time.Minute

	// overtime is how long after a request's deadline a body that may be a long one is still held: an answer is lost half
	// a second after the client's time, of which 150 ms are left for a process that lags.
	overtime = 350 * time.Millisecond
	// lateLimit is how long after a request's deadline a body of at most MaxHeld bytes may end: half a second, and 50 ms
	// for sockets.
	lateLimit = 550 * time.Millisecond
	// forwardMargin is how long before the request's deadline a body that is probably a long one is forwarded.
	forwardMargin = 20 * time.Millisecond
	// overtimeNotice is how long before the request's deadline its owner learns that the body may be held beyond it, so
	// that a process that lags does not answer the request first.
	overtimeNotice = 200 * time.Millisecond
	// plausibleRate is the average rate, in bytes a second, from which a held body outlasts the deadline of its attempt,
	// or that of its request by overtime. Nothing is promised to the client by that.
	plausibleRate = 16 << 10
)

// UnknownLength is the length of a body that ends with its last chunk, or with its connection.
const UnknownLength = -1

// Action is what to do next with a body.
type Action int

const (
	// Hold means to wait for more until Decision.Until, and to keep what has come.
	Hold Action = iota
	// Forward means to pass on what has come, and then each piece as it comes, waiting until Decision.Until for it.
	Forward
	// Fail means to give up: Decision.Limit has been reached.
	Fail
)

// Decision is what to do next with a body.
type Decision struct {
	Action Action
	Until  time.Time // when to decide again if nothing has come
	Limit  End       // with Fail: the limit that has been reached; with Forward: the one that is reached at Until
	// Overtime is set if the body may be held beyond the deadline of its request, until OvertimeEnd at the latest. Whoever
	// answers the request must wait for that long.
	Overtime bool
}

// Options describe a body and the request that it answers.
type Options struct {
	Length      int64     // declared, in bytes, or UnknownLength
	AttemptBy   time.Time // deadline of the attempt
	RequestBy   time.Time // deadline of the request
	WholeInTime bool      // nobody waits beyond the deadline of the request, not even for the rest of a long body
}

// Body is the progress of one body.
type Body struct {
	options    Options
	received   int64
	begunAt    time.Time // when its first bytes came; zero: none have
	forwarding bool
	waited     time.Duration // spent waiting for the server since the forwarding began
	flow       flow
}

// New returns the progress of a body of which nothing has come.
func New(options Options) Body {
	if options.AttemptBy.After(options.RequestBy) {
		options.AttemptBy = options.RequestBy
	}
	return Body{options: options}
}

// Receive records that n bytes have come.
func (b *Body) Receive(now time.Time, n int) {
	if b.received == 0 {
		b.begunAt = now
	}
	b.received += int64(n)
	b.flow.receive(now, int64(n))
}

// Received is the number of bytes that have come.
func (b *Body) Received() int64 { return b.received }

// BegunAt is when the first bytes came; zero: none have.
func (b *Body) BegunAt() time.Time { return b.begunAt }

// Forwarding reports whether the body is being passed on.
func (b *Body) Forwarding() bool { return b.forwarding }

// StartForwarding has the body passed on from now on, also where Next would still hold it, as without memory to hold it.
func (b *Body) StartForwarding() { b.forwarding = true }

// Wait records time spent waiting for the server while the body is passed on.
func (b *Body) Wait(d time.Duration) { b.waited += d }

// OvertimeEnd is until when the body is held beyond the deadline of its request.
func (b *Body) OvertimeEnd() time.Time { return b.options.RequestBy.Add(overtime) }

// Next decides what to do with a body that is not complete.
func (b *Body) Next(now time.Time) Decision {
	length := b.options.Length
	switch {
	case b.received > MaxSize:
		return Decision{Action: Fail, Limit: Size}
	case b.forwarding:
		return b.nextPiece(now)
	case b.received > MaxHeld, length > MaxHeld && b.received > 0:
		return Decision{Action: Forward}
	case b.received == 0, length >= 0, now.Before(b.options.AttemptBy) && b.attemptEndsFirst():
		limit := RequestDeadline
		if b.attemptEndsFirst() {
			limit = AttemptDeadline
		}
		return b.holdUntil(now, b.options.AttemptBy, limit)
	}
	return b.nextOfUnknown(now)
}

// attemptEndsFirst reports whether the attempt has a deadline of its own, before the one of the request.
func (b *Body) attemptEndsFirst() bool {
	return b.options.AttemptBy.Before(b.options.RequestBy.Add(-forwardMargin))
}

// nextOfUnknown decides about a held body of unknown length, once its attempt's own deadline is over.
func (b *Body) nextOfUnknown(now time.Time) Decision {
	if now.Before(b.options.RequestBy.Add(-forwardMargin)) {
		return b.holdBeforeDeadline(now)
	}
	if b.flow.moves(now) && b.nextLumpIsLong() || b.endsInTimeOrIsLong(now) {
		return Decision{Action: Forward}
	}
	plausibleUntil := b.plausibleUntil()
	if b.options.WholeInTime || plausibleUntil.Before(b.options.RequestBy) {
		return b.holdUntil(now, b.options.RequestBy, RequestDeadline)
	}
	decision := b.holdUntil(now, earlier(b.OvertimeEnd(), plausibleUntil), RequestDeadline)
	decision.Overtime = decision.Action == Hold
	return decision
}

// holdBeforeDeadline holds a body of unknown length until it is to be decided whether it is forwarded.
func (b *Body) holdBeforeDeadline(now time.Time) Decision {
	decision := Decision{Action: Hold, Until: b.options.RequestBy.Add(-forwardMargin)}
	if noticeAt := b.options.RequestBy.Add(-overtimeNotice); now.Before(noticeAt) {
		decision.Until = noticeAt
	} else {
		decision.Overtime = !b.options.WholeInTime && b.plausibleUntil().After(b.options.RequestBy)
	}
	if b.attemptEndsFirst() {
		attemptEnd := b.holdUntil(now, earlier(decision.Until, b.plausibleUntil()), AttemptDeadline)
		attemptEnd.Overtime = decision.Overtime && attemptEnd.Action == Hold
		return attemptEnd
	}
	return decision
}

// holdUntil holds the body until a limit, which ends it.
func (b *Body) holdUntil(now, until time.Time, limit End) Decision {
	if now.Before(until) {
		return Decision{Action: Hold, Until: until, Limit: limit}
	}
	return Decision{Action: Fail, Limit: limit}
}

// plausibleUntil is until when the body is at plausibleRate, if nothing more comes.
func (b *Body) plausibleUntil() time.Time {
	return b.begunAt.Add(timeFor(b.received, plausibleRate))
}

// nextLumpIsLong reports whether one more lump, as large as the largest so far, makes the body a long one. It is false for
// each body of at most MaxHeld bytes that comes in lumps of one size, or of growing sizes.
func (b *Body) nextLumpIsLong() bool { return b.received+b.flow.largest > MaxHeld }

// endsInTimeOrIsLong reports whether the body comes so steadily that, if it goes on so, it either is complete within
// lateLimit or turns out to be a long one by then.
func (b *Body) endsInTimeOrIsLong(now time.Time) bool {
	rate := b.flow.rate(now)
	if rate <= 0 {
		return false
	}
	return !now.Add(timeFor(MaxHeld+1-b.received, rate)).After(b.options.RequestBy.Add(lateLimit))
}

// nextPiece decides how long to wait for the next piece of a body that is passed on.
func (b *Body) nextPiece(now time.Time) Decision {
	wait, limit := Silence, SilenceLimit
	if left := rateTolerance + timeFor(b.received, MinAverageRate) - b.waited; left < wait {
		wait, limit = left, RateLimit
	}
	if left := b.options.RequestBy.Sub(now); b.options.WholeInTime && left < wait {
		wait, limit = left, RequestDeadline
	}
	if wait <= 0 {
		return Decision{Action: Fail, Limit: limit}
	}
	return Decision{Action: Forward, Until: now.Add(wait), Limit: limit}
}

// timeFor is how long n bytes take at a rate in bytes per second.
func timeFor(n int64, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
