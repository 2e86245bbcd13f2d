package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/chunk"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/relay"
)

const (
	// streamBufferSize is the buffer of one streamed body, in bytes.
	streamBufferSize = 16 << 10
	// freeBuffer is the largest buffer of an answer, in bytes, that needs no reservation of its own.
	freeBuffer = 4 << 10
	// smallStreamBuffer is the buffer, in bytes, of a body whose stream begins when the node's buffer budget is spent:
	// no stream waits for the buffer of another.
	smallStreamBuffer = 2 << 10
)

var (
	errTooLarge     = errors.New("the response is too large")
	errTrailingData = errors.New("the response is longer than its declared length")
	errTruncated    = errors.New("the response ends before its declared length")

	errClientStopped = fmt.Errorf("the client stopped reading: %w", context.Canceled)
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
	progress  relay.Body
	complete  bool // the end of the body has been read
	reusable  bool // the connection can carry another request; valid once complete is set
	ctx       context.Context
	holding   func(until time.Time) // called before the body is held beyond the deadline of its request
	limit     relay.End             // the limit that has ended the body; Whole: none has

	// The fields below are used while the remainder is streamed.
	memory     *memory.Account
	held       *memory.Reservation // for the beginning
	beginning  []byte              // read before the forwarding began
	readErr    error               // error on the server's side
	clientGone bool                // the client's side takes no more data
	// finish releases the connection, once, and returns the outcome. Its arguments are the server's error, if any, and
	// whether the connection may be reused.
	finish func(error, bool) decide.OutcomeCode
}

// newResponseBody prepares to read the body of resp, whose header has been read from conn. It fails with errTooLarge if
// the declared length is above relay.MaxSize.
func newResponseBody(conn *conn, resp *http.Response) (*responseBody, error) {
	body := &responseBody{conn: conn, framing: byLength, remaining: resp.ContentLength}
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
	if body.remaining > relay.MaxSize {
		return nil, errTooLarge
	}
	return body, nil
}

// read reads at least one byte of the body into p, or returns an error. After the last byte it returns 0 and io.EOF; it
// never returns io.EOF together with data.
func (r *responseBody) read(p []byte) (int, error) {
	for {
		if r.complete {
			return 0, io.EOF
		}
		r.conn.readAllowance = streamBufferSize + maxHeaderSize // more than one read can use: relay.MaxSize bounds the body
		n, err := r.readPart(p)
		if n > 0 {
			r.progress.Receive(time.Now(), n)
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readPart makes one attempt to read body data into p. It may return 0 bytes without an error, as when the data read
// held nothing but the frame of a chunk.
func (r *responseBody) readPart(p []byte) (int, error) {
	switch r.framing {
	case byLength:
		n, err := r.conn.reader.Read(p[:min(int64(len(p)), r.remaining)])
		if r.remaining -= int64(n); r.remaining == 0 {
			r.complete = true
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			err = errTruncated
		}
		return n, err
	case byClose:
		n, err := r.conn.reader.Read(p)
		if errors.Is(err, io.EOF) {
			r.complete, err = true, nil
		}
		return n, err
	}
	// Buffered bytes are decoded in place; Peek fills the buffer if it is empty.
	if _, err := r.conn.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			err = errTruncated
		}
		return 0, err
	}
	buffered, _ := r.conn.reader.Peek(min(r.conn.reader.Buffered(), len(p)))
	data, used, err := r.decoder.Next(buffered)
	n := copy(p, data)
	r.conn.reader.Discard(used)
	r.complete = r.decoder.Done()
	return n, err
}

// checkEnd is called once the body is complete. It returns errTrailingData if unexpected data follows the body, and
// clears reusable if the connection cannot carry another request. A last read that returned fewer bytes than it asked
// for has emptied the socket; the connection is then not checked again, which would cost a system call and show
// nothing new. It is checked in any case before its next use.
func (r *responseBody) checkEnd() error {
	trailing, open := "", true
	if r.framing != byClose && (!r.conn.shortRead || r.conn.reader.Buffered() > 0) {
		trailing, open = r.conn.pendingData()
	}
	// A further response after this one does not invalidate it. Any other data may belong to this body, so that the
	// declared length would be wrong.
	if trailing != "" && !strings.HasPrefix(responseStart, trailing) {
		return errTrailingData
	}
	r.reusable = r.reusable && open && trailing == ""
	return nil
}

// readBeginning reads the body while it is held. It returns what it read, and more = true if a remainder is still to be
// read with Copy.
func (r *responseBody) readBeginning() (body []byte, more bool, err error) {
	size := 512
	if r.framing == byLength {
		size = int(min(r.remaining, freeBuffer))
	}
	body = make([]byte, 0, size)
	for !r.complete {
		decision := r.progress.Next(time.Now())
		switch {
		case decision.Action == relay.Forward, len(body) == cap(body) && !r.grow(&body):
			r.progress.StartForwarding()
			return body, true, nil
		case decision.Action == relay.Fail:
			return nil, false, r.reachLimit(decision.Limit)
		case decision.Overtime && r.holding != nil:
			r.holding(r.progress.OvertimeEnd())
			r.holding = nil
		}
		if err := r.setReadDeadline(decision.Until); err != nil {
			return nil, false, err
		}
		n, err := r.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && !errors.Is(err, io.EOF) && !r.pausedUntil(decision.Until, err) {
			return nil, false, err
		}
	}
	return body, false, r.checkEnd()
}

// setReadDeadline sets until when the next read waits. It returns an error if the attempt has been cancelled.
func (r *responseBody) setReadDeadline(until time.Time) error {
	if !until.Equal(r.conn.readDeadline) {
		r.conn.readDeadline = until
		r.conn.SetReadDeadline(until)
	}
	return r.ctx.Err() // a ctx that has ended sets a deadline too, which the one above may have replaced
}

// pausedUntil reports whether a read failed only because nothing came until a deadline of the read.
func (r *responseBody) pausedUntil(until time.Time, err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && r.ctx.Err() == nil && !time.Now().Before(until)
}

// reachLimit records the limit that ends the body, and returns the error for it.
func (r *responseBody) reachLimit(limit relay.End) error {
	r.limit = limit
	if limit == relay.Size {
		return errTooLarge
	}
	return fmt.Errorf("the response has reached a limit: %v: %w", limit, os.ErrDeadlineExceeded)
}

// grow doubles the buffer of a body that is held back, up to what is held of any, and reports whether there is memory for
// that. Buffers of up to freeBuffer bytes are part of what each request has reserved.
func (r *responseBody) grow(body *[]byte) bool {
	size := min(2*cap(*body), relay.MaxHeld+freeBuffer)
	if size > freeBuffer && !r.held.Grow(int64(size)-r.held.Size()) {
		return false
	}
	*body = append(make([]byte, 0, size), *body...)
	return true
}

// Copy implements core.Rest.
func (r *responseBody) Copy(write func([]byte) error) error {
	if !r.forwardBeginning(write) {
		return errClientStopped
	}
	size := int64(streamBufferSize)
	if !r.memory.Reserve(memory.Buffers, size) {
		size = smallStreamBuffer
		r.memory.Take(memory.Buffers, size)
	}
	defer func() { r.memory.Release(memory.Buffers, size) }()
	piece := make([]byte, size)
	for r.readErr == nil && !r.clientGone {
		n, err := r.readPiece(piece)
		if err == nil && r.complete {
			err = r.checkEnd()
		}
		if err != nil {
			r.readErr = err
			break
		}
		if n > 0 && write(piece[:n]) != nil {
			r.clientGone = true
			break
		}
		if r.complete {
			return nil
		}
	}
	if r.clientGone {
		return errClientStopped
	}
	return r.readErr
}

// readPiece reads the next piece of a body that is passed on.
func (r *responseBody) readPiece(piece []byte) (int, error) {
	began := time.Now()
	decision := r.progress.Next(began)
	if decision.Action == relay.Fail {
		return 0, r.reachLimit(decision.Limit)
	}
	if err := r.setReadDeadline(decision.Until); err != nil {
		return 0, err
	}
	n, err := r.read(piece)
	r.progress.Wait(time.Since(began))
	switch {
	case errors.Is(err, io.EOF):
		return n, nil
	case err != nil && r.pausedUntil(decision.Until, err):
		return n, r.reachLimit(decision.Limit)
	}
	return n, err
}

// forwardBeginning passes on what was read before the forwarding began, and drops it. It returns false if the client's
// side takes no more data.
func (r *responseBody) forwardBeginning(write func([]byte) error) bool {
	r.clientGone = write(r.beginning) != nil
	r.beginning = nil
	r.held.Release()
	return !r.clientGone
}

// Close implements core.Rest.
func (r *responseBody) Close() decide.OutcomeCode {
	r.held.Release()
	switch {
	case r.readErr == nil && r.complete && !r.clientGone:
		return r.finish(nil, r.reusable)
	case r.readErr == nil: // given up on the client's side; says nothing about the server
		return r.finish(errClientStopped, false)
	}
	return r.finish(r.readErr, false)
}

// end tells how the body ended, whole if err is nil.
func (r *responseBody) end(err error) relay.End {
	switch {
	case err == nil:
		return relay.Whole
	case r.limit != relay.Whole:
		return r.limit
	case errors.Is(err, errClientStopped):
		return relay.ByClient
	case errors.Is(err, errTooLarge):
		return relay.Size
	case r.ctx.Err() != nil, errors.Is(err, context.Canceled):
		return relay.Cancelled
	}
	return relay.ByServer
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
