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
	// maxBodySize is the size of the largest response body, in bytes, with any framing.
	longLimit = 40 << 20
	// streamBufferSize is the buffer of one streamed body, in bytes.
	pieceSize = 16 << 10
	// smallStreamBuffer is the buffer, in bytes, of a body whose stream begins when the node's buffer budget is spent:
	// no stream waits for the buffer of another.
	smallSize = 2 << 10
	// stallTimeout is the longest pause within a streamed body, and the time to write one piece of an upload.
	stallWait = 8 * time.Second
	// longBodyRate is a rate in bytes a second. A body of unknown length that arrives at least so fast may be a long
	// one of a slow server, and may go on beyond the deadline of its request.
	longPace = 16 << 10
	// longBodyPause is the longest pause within such a body after that deadline: one that stops has ended half a second
	// after the deadline at the latest.
	longWait = 400 * time.Millisecond
	// minAverageRate is the lowest average rate of a long body, in bytes a second of the time spent waiting for it: an
	// eighth of the rate of the slowest good server.
	leastPace = 8 << 10

	// A body of unknown length is buffered until it is complete or has more than maxBufferedBody bytes, until
	// maxHoldTime has passed since its first bytes, or until maxHoldPause passes with no data. Then it is streamed to
	// the client.
	heldMost  = time.Second
	startWait = 300 * time.Millisecond
)

var (
	errTooLarge = errors.New("the response is too large")
	errNoise    = errors.New("the response is longer than its declared length")
	errShort    = errors.New("the response ends before its declared length")
)

// framing is how the end of a response body is recognised.
type framing int

const (
	byLength framing = iota // Content-Length
	byChunks                // chunked transfer encoding
	byClose                 // orderly close of the connection; a reset does not end the body
)

// responseBody reads the body of one response from its connection. Once the beginning of the body has been forwarded
// it serves as the core.Rest that streams the remainder.
type answer struct {
	c       *conn
	frame   framing
	left    int64 // bytes of the body still to be read; only byLength
	decoder chunk.Decoder
	taken   int64 // bytes of the body read so far
	whole   bool  // the end of the body has been read
	keep    bool  // the connection can carry another request; valid once complete is set

	// The fields below are used while the remainder is streamed.
	ctx     context.Context
	passed  time.Time     // when the beginning of the body was forwarded
	wholeBy time.Time     // deadline of the whole body, unless it turns out to be long
	waited  time.Duration // spent waiting for data of the server since forwardedAt
	room    *atomic.Int64 // free bytes of the node's buffer budget
	err     error         // error on the server's side
	broken  bool          // the client's side takes no more data
	// finish releases the connection, once, and returns the outcome. Its arguments are the server's error, if any, and
	// whether the connection may be reused.
	end func(error, bool) decide.OutcomeCode
}

// newResponseBody prepares to read the body of resp, whose header has been read from c. It fails with errTooLarge if
// the declared length is above maxBodySize.
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

// read reads at least one byte of the body into p, or returns an error. After the last byte it returns 0 and io.EOF; it
// never returns io.EOF together with data.
func (a *answer) read(p []byte) (int, error) {
	for {
		if a.whole {
			return 0, io.EOF
		}
		if a.taken > longLimit {
			return 0, errTooLarge
		}
		a.c.left = pieceSize + headLimit // more than one read can use: maxBodySize bounds the body
		n, err := a.some(p)
		a.taken += int64(n)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readPart makes one attempt to read body data into p. It may return 0 bytes without an error, as when the data read
// held nothing but the frame of a chunk.
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
	// Buffered bytes are decoded in place; Peek fills the buffer if it is empty.
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

// checkEnd is called once the body is complete. It returns errTrailingData if unexpected data follows the body, and
// clears reusable if the connection cannot carry another request. A last read that returned fewer bytes than it asked
// for has emptied the socket; the connection is then not checked again, which would cost a system call and show
// nothing new. It is checked in any case before its next use.
func (a *answer) checked() error {
	more, open := "", true
	if a.frame != byClose && (!a.c.short || a.c.r.Buffered() > 0) {
		more, open = a.c.behind()
	}
	// A further response after this one does not invalidate it. Any other data may belong to this body, so that the
	// declared length would be wrong.
	if more != "" && !strings.HasPrefix(httpStart, more) {
		return errNoise
	}
	a.keep = a.keep && open && more == ""
	return nil
}

// readBeginning reads a body of at most maxBufferedBody bytes to its end, and of a longer one as much as is needed to
// start streaming it. It returns what it read, and rest = true if the remainder is still to be read with Copy.
func (a *answer) begin() (body []byte, rest bool, err error) {
	long := a.frame == byLength && a.left > bodyLimit
	size := 512
	if a.frame == byLength {
		size = int(min(a.left, pieceSize))
	}
	body = make([]byte, 0, size)
	pauses := a.frame != byLength
	// The connection's deadline is that of the request. Once the first data has arrived, each read is also limited to
	// maxHoldPause.
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

// nextDeadline returns the deadline of the next read of a streamed body. A long body may take any time, as long as its
// average rate stays at minAverageRate, with stallTimeout of tolerance: a server that sends a few bytes now and then
// would otherwise keep its client, and the node's shutdown, waiting for ever. A body of unknown length that has at
// most maxBufferedBody bytes so far has to end by completeBy, as other bodies of that size do, unless it has arrived
// so fast that it must be a long one. Time spent writing to a slow client does not count.
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

// Copy implements core.Rest.
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
		if a.ctx.Err() != nil { // an ended ctx sets a deadline too, which SetDeadline above may have replaced
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
		return fmt.Errorf("the client stopped reading: %w", context.Canceled)
	}
	return a.err
}

// Close implements core.Rest.
func (a *answer) Close() decide.OutcomeCode {
	switch {
	case a.err == nil && a.whole && !a.broken:
		return a.end(nil, a.keep)
	case a.err == nil: // given up on the client's side; says nothing about the server
		return a.end(context.Canceled, false)
	}
	return a.end(a.err, false)
}

// outcomeOf returns the outcome of an attempt whose request was written completely, and which ended with err, or well
// if err is nil. ctx is the context of the attempt.
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
