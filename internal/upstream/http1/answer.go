package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/chunk"
)

const (
	longLimit = 40 << 20 // of an answer's body, in any form
	pieceSize = 16 << 10 // one stream's buffer,
	smallSize = 2 << 10  // or so much once the budget is spent: no stream waits for another's
	stallWait = 8 * time.Second
	longPace  = 16 << 10               // bytes a second, of an answer that says no length: it may be a long one, a slow server's;
	longWait  = 400 * time.Millisecond // but its pieces come so soon: what stops is over half a second after its time at the latest
	leastPace = 8 << 10                // bytes a second, of a long answer over all the time that it is waited for: an eighth of the slowest good peer's

	// An answer of unknown length is held until it has bodyLimit, or so much has come in heldMost, or nothing more for startWait.
	heldMost  = time.Second
	startWait = 300 * time.Millisecond
)

var (
	errTooLarge = errors.New("the answer is too large")
	errNoise    = errors.New("the answer is longer than its length")
	errShort    = errors.New("the answer ends before its length")
)

// framing is how the end of an answer's body is known.
type framing int

const (
	byLength framing = iota
	byChunks
	byClose // the connection's clean end; a reset is none
)

// answer is the body of one answer as it comes. It is a core.Rest once its beginning has gone on.
type answer struct {
	c       *conn
	frame   framing
	left    int64 // byLength: bytes still to come
	decoder chunk.Decoder
	taken   int64 // bytes of the body so far
	whole   bool  // its end has come
	keep    bool  // the connection can take another request: known once it is whole

	// As a Rest.
	ctx     context.Context
	passed  time.Time     // its beginning has gone on
	wholeBy time.Time     // unless it turns out to be long
	waited  time.Duration // for its server, since it is passed on
	room    *atomic.Int64 // bytes of the node's budget that are free
	err     error         // of the server's side
	broken  bool          // the other side would take no more
	end     func(error, bool) decide.OutcomeCode
}

func newAnswer(c *conn, resp *http.Response) (*answer, error) {
	a := &answer{c: c, frame: byLength, left: resp.ContentLength}
	switch {
	case resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		a.left = 0
	case len(resp.TransferEncoding) > 0:
		a.frame, a.left = byChunks, 0
	case resp.ContentLength < 0:
		a.frame, a.left = byClose, 0
	}
	a.whole = a.frame == byLength && a.left == 0
	a.keep = !resp.Close && a.frame != byClose
	if a.left > longLimit {
		return nil, errTooLarge
	}
	return a, nil
}

// read reads some of the body into p. It gives io.EOF once the body is whole, which the last bytes never come with.
func (a *answer) read(p []byte) (int, error) {
	for {
		if a.whole {
			return 0, io.EOF
		}
		if a.taken > longLimit {
			return 0, errTooLarge
		}
		a.c.left = pieceSize + headLimit // each read may have so much: the body's own bounds are here
		n, err := a.some(p)
		a.taken += int64(n)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

func (a *answer) some(p []byte) (int, error) {
	switch a.frame {
	case byLength:
		n, err := a.c.r.Read(p[:min(int64(len(p)), a.left)])
		if a.left -= int64(n); a.left == 0 {
			a.whole = true
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			err = errShort
		}
		return n, err
	case byClose:
		n, err := a.c.r.Read(p)
		if errors.Is(err, io.EOF) {
			a.whole, err = true, nil
		}
		return n, err
	}
	// What has been buffered is decoded in place; the buffer is filled where there is none.
	if _, err := a.c.r.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			err = errShort
		}
		return 0, err
	}
	text, _ := a.c.r.Peek(min(a.c.r.Buffered(), len(p)))
	content, used, err := a.decoder.Next(text)
	n := copy(p, content)
	a.c.r.Discard(used)
	a.whole = a.decoder.Done()
	return n, err
}

// checked tells, of an answer that is whole, whether what comes behind it leaves it good, and whether its connection can take another.
// A read that found less than it had room for has taken all that had come: to look again at once would tell nothing new, and costs
// a system call. Before it is used again the connection is looked at in any case.
func (a *answer) checked() error {
	more, open := "", true
	if a.frame != byClose && (!a.c.short || a.c.r.Buffered() > 0) {
		more, open = a.c.behind()
	}
	// Another answer behind this one leaves this one good. Anything else may be its own end, and its length wrong.
	if more != "" && !strings.HasPrefix(httpStart, more) {
		return errNoise
	}
	a.keep = a.keep && open && more == ""
	return nil
}

// begin reads an answer until it is whole, if it has bodyLimit at most, or else so much that it may go on to the client. It tells whether
// there is a rest.
func (a *answer) begin() (body []byte, rest bool, err error) {
	long := a.frame == byLength && a.left > bodyLimit
	size := 512
	if a.frame == byLength {
		size = int(min(a.left, pieceSize))
	}
	body = make([]byte, 0, size)
	pauses := a.frame != byLength
	// The connection's deadline is the request's; that of the pause comes first, once something has come.
	defer func() { a.c.pause = 0 }()
	var first time.Time
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := a.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, false, a.checked()
		case pauses && len(body) > 0 && errors.Is(err, errPause):
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) > 0 && long, len(body) > bodyLimit:
			if !a.whole {
				return body, true, nil
			}
		case pauses && first.IsZero():
			a.c.pause, first = startWait, time.Now()
		case pauses && !a.whole && time.Since(first) > heldMost:
			return body, true, nil
		}
	}
}

// patience is until when the next piece may come. An answer is timed by its last byte if it has bodyLimit at most: one that does not say its length ends
// with its request, unless it comes so fast that it must be a long one. A long one may take longer, as long as it comes at leastPace but for stallWait: one that only trickles would hold its client, and
// the node's end, for ever. What a slow client takes is not its server's time.
func (a *answer) patience(now time.Time) time.Time {
	until := now.Add(min(stallWait, stallWait+time.Duration(float64(a.taken)/leastPace*float64(time.Second))-a.waited))
	if a.frame != byLength && a.taken <= bodyLimit {
		by := a.wholeBy
		if float64(a.taken) >= longPace*(heldMost+now.Sub(a.passed)).Seconds() {
			by = now.Add(longWait)
		}
		if a.wholeBy.After(by) {
			by = a.wholeBy
		}
		if by.Before(until) {
			until = by
		}
	}
	return until
}

// Copy is core.Rest's.
func (a *answer) Copy(write func([]byte) error) error {
	size := int64(pieceSize)
	if a.room.Add(-size) < 0 {
		a.room.Add(size)
		size = smallSize
		a.room.Add(-size)
	}
	defer a.room.Add(size)
	a.passed = time.Now()
	piece := make([]byte, size)
	for a.err == nil && !a.broken {
		now := time.Now()
		a.c.SetDeadline(a.patience(now))
		if a.ctx.Err() != nil { // which sets a deadline too
			a.err = a.ctx.Err()
			break
		}
		n, err := a.read(piece)
		a.waited += time.Since(now)
		if a.whole {
			if err := a.checked(); err != nil {
				a.err = err
				break
			}
		}
		if n > 0 && write(piece[:n]) != nil {
			a.broken = true
			break
		}
		if a.whole {
			return nil
		}
		a.err = err
	}
	if a.broken {
		return fmt.Errorf("the client takes no more: %w", context.Canceled)
	}
	return a.err
}

// Close is core.Rest's.
func (a *answer) Close() decide.OutcomeCode {
	switch {
	case a.err == nil && a.whole && !a.broken:
		return a.end(nil, a.keep)
	case a.err == nil: // given up: nothing is said of the server
		return a.end(context.Canceled, false)
	}
	return a.end(a.err, false)
}

// codeOf is the outcome of an attempt that had its request whole and ended with an error.
func codeOf(ctx context.Context, err error) decide.OutcomeCode {
	switch {
	case err == nil:
		return decide.OK
	case ctx.Err() != nil, errors.Is(err, context.Canceled):
		return decide.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decide.TimedOut
	}
	return decide.Reset
}
