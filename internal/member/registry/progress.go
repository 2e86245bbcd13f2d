package registry

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"time"
)

// progressError is why a progress ended its call.
type progressError struct {
	text    string
	timeout bool
}

// Error returns the reason.
func (e *progressError) Error() string { return e.text }

// Timeout reports whether nothing came for too long; it is false for an answer that came steadily but never ended.
func (e *progressError) Timeout() bool { return e.timeout }

// Temporary implements net.Error.
func (e *progressError) Temporary() bool { return e.timeout }

// The reasons for which a progress ends its call.
var (
	errNoAnswer = &progressError{"no byte of an answer came in time", true}
	errPaused   = &progressError{"the answer paused for too long", true}
	errTooLong  = &progressError{"the answer took too long as a whole", false}
)

// progressLimits bounds the times of one call.
type progressLimits struct {
	silence time.Duration // from the beginning to the first byte of the answer
	pause   time.Duration // between two reads of the answer
	total   time.Duration // from the beginning to the end of the answer
	local   time.Duration // for which a call is repeated that this machine could not make
}

// progress ends one call when nothing has come for too long. A call whose answer comes slowly goes on: discovery can be
// reached, and another call would not be answered sooner.
type progress struct {
	limits      progressLimits
	onFirstByte func() // called once, when the answer begins; may be nil

	mu        sync.Mutex
	began     time.Time
	firstByte time.Time // zero: none has come
	end       context.CancelCauseFunc
	timer     *time.Timer // ends the call for want of progress
	cause     error       // why the call was ended; nil: it was not ended here
}

// start begins the call's time limits. The call must use the returned context, and stop must be called after it.
func (p *progress) start(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began, p.end = time.Now(), cancel
	p.timer = time.AfterFunc(p.limits.silence, p.expire)
	total := time.AfterFunc(p.limits.total, p.expireWhole)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: p.bytesCame})
	return ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.timer.Stop()
		total.Stop()
		cancel(nil)
	}
}

// expire ends the call for want of progress.
func (p *progress) expire() {
	if p.hasBegun() {
		p.endWith(errPaused)
		return
	}
	p.endWith(errNoAnswer)
}

// expireWhole ends the call because its time as a whole is over.
func (p *progress) expireWhole() {
	if p.hasBegun() {
		p.endWith(errTooLong)
		return
	}
	p.endWith(errNoAnswer)
}

// endWith ends the call.
func (p *progress) endWith(cause *progressError) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cause == nil {
		p.cause = cause
	}
	p.end(cause)
}

// bytesCame records that a part of the answer has come.
func (p *progress) bytesCame() {
	p.mu.Lock()
	first := p.firstByte.IsZero()
	if first {
		p.firstByte = time.Now()
	}
	p.timer.Reset(p.limits.pause)
	p.mu.Unlock()
	if first && p.onFirstByte != nil {
		p.onFirstByte()
	}
}

// allowSilence lets a call that has no byte of its answer yet go on for so long from its beginning.
func (p *progress) allowSilence(silence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil && p.firstByte.IsZero() && p.cause == nil && silence > p.limits.silence {
		p.limits.silence = silence
		p.timer.Reset(silence - time.Since(p.began))
	}
}

// answerBegan returns when the first byte of the answer came; zero: none has.
func (p *progress) answerBegan() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstByte
}

// hasBegun reports whether a part of the answer has come.
func (p *progress) hasBegun() bool { return !p.answerBegan().IsZero() }

// firstByteAfter returns how long after a time the answer began; 0: it has not.
func (p *progress) firstByteAfter(began time.Time) time.Duration {
	if !p.hasBegun() {
		return 0
	}
	return p.answerBegan().Sub(began)
}

// bodyTime returns how long ago the answer began; 0: it has not.
func (p *progress) bodyTime() time.Duration { return -p.firstByteAfter(time.Now()) }

// explain returns the reason for which the call was ended here, or err if it was not.
func (p *progress) explain(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cause != nil {
		return p.cause
	}
	return err
}

// reader returns a reader that records the progress of the answer's body.
func (p *progress) reader(body io.Reader) io.Reader { return &progressReader{body, p} }

// progressReader is the body of an answer.
type progressReader struct {
	body     io.Reader
	progress *progress
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		r.progress.bytesCame()
	}
	return n, err
}
