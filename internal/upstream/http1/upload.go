package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

const (
	// chunkPrefix is the length, in bytes, of what precedes the data of a chunk: four hex digits, CR, LF.
	chunkPrefix = 6
	// chunkSuffix is the most bytes that follow it: CR, LF, and after the last chunk the end of the body.
	chunkSuffix = 7

	// uploadStall is the longest time to write one piece of an upload.
	uploadStall = 8 * time.Second

	// minUnsentBody is the smallest body, in bytes, of which the operating system may not be able to send all at once.
	minUnsentBody = streamBufferSize
)

// errUploadTooLate: the client's time ended before its body could be written whole.
var errUploadTooLate = errors.New("the server has not taken the body in time")

// upload streams to the server the part of the client's body that is still being received. Until its last byte is
// written the request has not run, so each failure is known to be without effect; but bytes read from the client are
// gone for another attempt. If the client leaves before the end, the last byte is not written. Each wait for the server
// ends by when the client has to have its answer, by what is known of when it has written its last byte; after the last
// byte that is the exchange's deadline.
func (t *Transport) upload(ctx context.Context, conn *conn, exchange *core.Exchange) core.Result {
	body := exchange.Upload
	buffer := make([]byte, streamBufferSize)
	remaining := body.Length - int64(len(body.Beginning))
	for ended := body.Length >= 0 && remaining == 0; !ended; {
		n, err := body.Read(buffer[chunkPrefix : streamBufferSize-chunkSuffix])
		if n > 0 {
			body.PartlySent, body.Beginning = true, nil
		}
		remaining -= int64(n)
		ended = errors.Is(err, io.EOF) || body.Length >= 0 && remaining <= 0
		if err != nil && !ended || remaining < 0 && body.Length >= 0 || ended && body.Length >= 0 && remaining > 0 {
			// The fault is the client's, not the server's.
			return core.Result{Code: decide.Moot, ClientErrorStatus: body.FailureStatus(),
				Err: fmt.Errorf("reading the client's body: %w", err)}
		}
		out := buffer[chunkPrefix : chunkPrefix+n]
		if body.Length < 0 {
			out = frameChunk(buffer, n, ended)
		}
		maxAge := core.MaxClientCheckAge
		if ended {
			maxAge = 0 // an older check may have missed that the client left: unread data of its body hid the end
		}
		answerBy := body.AnswerBy()
		conn.SetDeadline(earlier(time.Now().Add(uploadStall), answerBy))
		if ctx.Err() != nil { // an ended ctx sets a deadline too, as the end of the request may
			return core.Result{Code: decide.Moot, Err: ctx.Err()}
		}
		if exchange.RequestOver(maxAge) {
			return core.Result{Code: decide.Moot, Err: errRequestOver}
		}
		if _, err := conn.Write(out); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(answerBy) {
				return core.Result{Code: decide.Moot, Err: errUploadTooLate} // slow for this body, and no more is known
			}
			return core.Result{Code: decide.ConnectFailed, Err: err}
		}
	}
	exchange.Deadline = body.AnswerBy()
	exchange.RequestDeadline = exchange.Deadline
	conn.readDeadline = exchange.Deadline
	conn.SetDeadline(exchange.Deadline)
	if ctx.Err() != nil ||
		exchange.RequestContext != nil && exchange.RequestContext.Err() != nil && conn.unsentBytes() > 0 {
		conn.SetDeadline(time.Unix(1, 0))
	}
	return core.Result{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// abortUnsent aborts an exchange with a large body when its request ends while the operating system still holds unsent
// bytes of that body: the server cannot have begun it then, so this is right even where attempts must not be cancelled.
// The caller calls the returned function, with the error of the exchange, once the exchange is over. It ends the
// watching, and returns true if the request was aborted in this way; the connection must then be closed.
func (c *conn) abortUnsent(exchange *core.Exchange) (stop func(failed error) bool) {
	if exchange.Upload == nil && len(exchange.Body) < minUnsentBody || exchange.RequestContext == nil {
		return func(error) bool { return false }
	}
	stopWatching := context.AfterFunc(exchange.RequestContext, func() {
		if c.unsentBytes() > 0 {
			c.SetDeadline(time.Unix(1, 0))
		}
	})
	return func(failed error) bool {
		stopWatching()
		return failed != nil && exchange.RequestContext.Err() != nil && c.discardUnsent()
	}
}

// discardUnsent makes the next Close discard the bytes that the operating system has not sent, as an orderly close
// would still deliver them. It returns false if there are none.
func (c *conn) discardUnsent() bool {
	if c.unsentBytes() == 0 {
		return false
	}
	return c.Conn.(*net.TCPConn).SetLinger(0) == nil
}

// unsentBytes returns how many bytes written to the connection the operating system has not sent yet; 0 if unknown.
func (c *conn) unsentBytes() (n int) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err != nil {
			n = 0
		}
	})
	return n
}

// frameChunk frames, in place, the n data bytes at offset chunkPrefix of the buffer as a chunk; n = 0 gives no chunk.
// If ended is set, the end of the body follows. It returns the part of the buffer to be written.
func frameChunk(buffer []byte, n int, ended bool) []byte {
	from, to := chunkPrefix, chunkPrefix+n
	if n > 0 {
		from = 0
		copy(buffer, fmt.Sprintf("%04x\r\n", n))
		to += copy(buffer[to:], "\r\n")
	}
	if ended {
		to += copy(buffer[to:], "0\r\n\r\n")
	}
	return buffer[from:to]
}
