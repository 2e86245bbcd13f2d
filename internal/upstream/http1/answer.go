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
	maxBodySize = 40 << 20
	// streamBufferSize is the buffer of one streamed body, in bytes.
	streamBufferSize = 16 << 10
	// smallStreamBuffer is the buffer, in bytes, of a body whose stream begins when the node's buffer budget is spent:
	// no stream waits for the buffer of another.
	smallStreamBuffer = 2 << 10
	// stallTimeout is the longest pause within a streamed body, and the time to write one piece of an upload.
	stallTimeout = 8 * time.Second
	// longBodyRate is a rate in bytes a second. A body of unknown length that arrives at least so fast may be a long
	// one of a slow server, and may go on beyond the deadline of its request.
	longBodyRate = 16 << 10
	// longBodyPause is the longest pause within such a body after that deadline: one that stops has ended half a second
	// after the deadline at the latest.
	longBodyPause = 400 * time.Millisecond
	// minAverageRate is the lowest average rate of a long body, in bytes a second of the time spent waiting for it: an
	// eighth of the rate of the slowest good server.
	minAverageRate = 8 << 10

	// A body of unknown length is buffered until it is complete or has more than maxBufferedBody bytes, until
	// maxHoldTime has passed since its first bytes, or until maxHoldPause passes with no data. Then it is streamed to
	// the client.
	maxHoldTime  = time.Second
	maxHoldPause = 300 * time.Millisecond
)

var (
	errTooLarge     = errors.New("the response is too large")
	errTrailingData = errors.New("the response is longer than its declared length")
	errTruncated    = errors.New("the response ends before its declared length")
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
type responseBody struct {
	conn      *conn
	framing   framing
	remaining int64 // bytes of the body still to be read; only byLength
	decoder   chunk.Decoder
	received  int64 // bytes of the body read so far
	complete  bool  // the end of the body has been read
	reusable  bool  // the connection can carry another request; valid once complete is set

	// The fields below are used while the remainder is streamed.
	ctx          context.Context
	forwardedAt  time.Time     // when the beginning of the body was forwarded
	completeBy   time.Time     // deadline of the whole body, unless it turns out to be long
	waitTime     time.Duration // spent waiting for data of the server since forwardedAt
	bufferBudget *atomic.Int64 // free bytes of the node's buffer budget
	readErr      error         // error on the server's side
	clientGone   bool          // the client's side takes no more data
	// finish releases the connection, once, and returns the outcome. Its arguments are the server's error, if any, and
	// whether the connection may be reused.
	finish func(error, bool) decide.OutcomeCode
}

// newResponseBody prepares to read the body of resp, whose header has been read from c. It fails with errTooLarge if
// the declared length is above maxBodySize.
func newResponseBody(c *conn, resp *http.Response) (*responseBody, error) {
	body := &responseBody{conn: c, framing: byLength, remaining: resp.ContentLength}
	switch {
	case resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		body.remaining = 0
	case len(resp.TransferEncoding) > 0:
		body.framing, body.remaining = byChunks, 0
	case resp.ContentLength < 0:
		body.framing, body.remaining = byClose, 0
	}
	body.complete = body.framing == byLength && body.remaining == 0
	body.reusable = !resp.Close && body.framing != byClose
	if body.remaining > maxBodySize {
		return nil, errTooLarge
	}
	return body, nil
}

// read reads at least one byte of the body into p, or returns an error. After the last byte it returns 0 and io.EOF; it
// never returns io.EOF together with data.
func (a *responseBody) read(p []byte) (int, error) {
	for {
		if a.complete {
			return 0, io.EOF
		}
		if a.received > maxBodySize {
			return 0, errTooLarge
		}
		a.conn.readAllowance = streamBufferSize + maxHeaderSize // more than one read can use: maxBodySize bounds the body
		n, err := a.readPart(p)
		a.received += int64(n)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readPart makes one attempt to read body data into p. It may return 0 bytes without an error, as when the data read
// held nothing but the frame of a chunk.
func (a *responseBody) readPart(p []byte) (int, error) {
	switch a.framing {
	case byLength:
		n, err := a.conn.reader.Read(p[:min(int64(len(p)), a.remaining)])
		if a.remaining -= int64(n); a.remaining == 0 {
			a.complete = true
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			err = errTruncated
		}
		return n, err
	case byClose:
		n, err := a.conn.reader.Read(p)
		if errors.Is(err, io.EOF) {
			a.complete, err = true, nil
		}
		return n, err
	}
	// Buffered bytes are decoded in place; Peek fills the buffer if it is empty.
	if _, err := a.conn.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			err = errTruncated
		}
		return 0, err
	}
	buffered, _ := a.conn.reader.Peek(min(a.conn.reader.Buffered(), len(p)))
	data, used, err := a.decoder.Next(buffered)
	n := copy(p, data)
	a.conn.reader.Discard(used)
	a.complete = a.decoder.Done()
	return n, err
}

// checkEnd is called once the body is complete. It returns errTrailingData if unexpected data follows the body, and
// clears reusable if the connection cannot carry another request. A last read that returned fewer bytes than it asked
// for has emptied the socket; the connection is then not checked again, which would cost a system call and show
// nothing new. It is checked in any case before its next use.
func (a *responseBody) checkEnd() error {
	trailing, open := "", true
	if a.framing != byClose && (!a.conn.shortRead || a.conn.reader.Buffered() > 0) {
		trailing, open = a.conn.pendingData()
	}
	// A further response after this one does not invalidate it. Any other data may belong to this body, so that the
	// declared length would be wrong.
	if trailing != "" && !strings.HasPrefix(responseStart, trailing) {
		return errTrailingData
	}
	a.reusable = a.reusable && open && trailing == ""
	return nil
}

// readBeginning reads a body of at most maxBufferedBody bytes to its end, and of a longer one as much as is needed to
// start streaming it. It returns what it read, and rest = true if the remainder is still to be read with Copy.
func (a *responseBody) readBeginning() (body []byte, rest bool, err error) {
	long := a.framing == byLength && a.remaining > maxBufferedBody
	size := 512
	if a.framing == byLength {
		size = int(min(a.remaining, streamBufferSize))
	}
	body = make([]byte, 0, size)
	mayStream := a.framing != byLength
	// The connection's deadline is that of the request. Once the first data has arrived, each read is also limited to
	// maxHoldPause.
	defer func() { a.conn.maxPause = 0 }()
	var firstData time.Time
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := a.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, false, a.checkEnd()
		case mayStream && len(body) > 0 && errors.Is(err, errPause):
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) > 0 && long, len(body) > maxBufferedBody:
			if !a.complete {
				return body, true, nil
			}
		case mayStream && firstData.IsZero():
			a.conn.maxPause, firstData = maxHoldPause, time.Now()
		case mayStream && !a.complete && time.Since(firstData) > maxHoldTime:
			return body, true, nil
		}
	}
}

// nextDeadline returns the deadline of the next read of a streamed body. A long body may take any time, as long as its
// average rate stays at minAverageRate, with stallTimeout of tolerance: a server that sends a few bytes now and then
// would otherwise keep its client, and the node's shutdown, waiting for ever. A body of unknown length that has at
// most maxBufferedBody bytes so far has to end by completeBy, as other bodies of that size do, unless it has arrived
// so fast that it must be a long one. Time spent writing to a slow client does not count.
func (a *responseBody) nextDeadline(now time.Time) time.Time {
	deadline := now.Add(min(stallTimeout, stallTimeout+time.Duration(float64(a.received)/minAverageRate*float64(time.Second))-a.waitTime))
	if a.framing != byLength && a.received <= maxBufferedBody {
		responseDeadline := a.completeBy
		if float64(a.received) >= longBodyRate*(maxHoldTime+now.Sub(a.forwardedAt)).Seconds() {
			responseDeadline = now.Add(longBodyPause)
		}
		if a.completeBy.After(responseDeadline) {
			responseDeadline = a.completeBy
		}
		if responseDeadline.Before(deadline) {
			deadline = responseDeadline
		}
	}
	return deadline
}

// Copy implements core.Rest.
func (a *responseBody) Copy(write func([]byte) error) error {
	size := int64(streamBufferSize)
	if a.bufferBudget.Add(-size) < 0 {
		a.bufferBudget.Add(size)
		size = smallStreamBuffer
		a.bufferBudget.Add(-size)
	}
	defer a.bufferBudget.Add(size)
	a.forwardedAt = time.Now()
	piece := make([]byte, size)
	for a.readErr == nil && !a.clientGone {
		now := time.Now()
		a.conn.SetDeadline(a.nextDeadline(now))
		if a.ctx.Err() != nil { // an ended ctx sets a deadline too, which SetDeadline above may have replaced
			a.readErr = a.ctx.Err()
			break
		}
		n, err := a.read(piece)
		a.waitTime += time.Since(now)
		if a.complete {
			if err := a.checkEnd(); err != nil {
				a.readErr = err
				break
			}
		}
		if n > 0 && write(piece[:n]) != nil {
			a.clientGone = true
			break
		}
		if a.complete {
			return nil
		}
		a.readErr = err
	}
	if a.clientGone {
		return fmt.Errorf("the client stopped reading: %w", context.Canceled)
	}
	return a.readErr
}

// Close implements core.Rest.
func (a *responseBody) Close() decide.OutcomeCode {
	switch {
	case a.readErr == nil && a.complete && !a.clientGone:
		return a.finish(nil, a.reusable)
	case a.readErr == nil: // given up on the client's side; says nothing about the server
		return a.finish(context.Canceled, false)
	}
	return a.finish(a.readErr, false)
}

// outcomeOf returns the outcome of an attempt whose request was written completely, and which ended with err, or well
// if err is nil. ctx is the context of the attempt.
func outcomeOf(ctx context.Context, err error) decide.OutcomeCode {
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
