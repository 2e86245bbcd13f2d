package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/relay"
	"starlingvalve/internal/wire"
)

// do makes an exchange with a host and blocks until it has ended, or until the beginning of a long body has been read;
// the result then has a Rest. If ctx ends, the exchange is aborted. A nil host fails with decide.ConnectFailed.
func (t *Transport) do(ctx context.Context, host *host, exchange *core.Exchange) core.Result {
	if host == nil {
		return core.Result{Code: decide.ConnectFailed, Err: errClosed}
	}
	began := time.Now()
	conn, err := t.connect(ctx, host, exchange)
	if err != nil {
		switch {
		case ctx.Err() != nil:
			return core.Result{Code: decide.Cancelled, Err: ctx.Err()}
		case exchange.RequestOver(core.MaxClientCheckAge):
			return core.Result{Code: decide.Moot, Err: errRequestOver}
		case errors.Is(err, errTooManyConns), localShortage(err): // a shortage of this node: not the backend's fault
			return core.Result{Code: decide.Moot, Err: err}
		}
		return core.Result{Code: decide.ConnectFailed, Err: err}
	}
	// Connecting takes time, in which the reasons for this attempt may have ceased to hold. Until its last byte is
	// written the request has not run, so that it can still be given up.
	admitted, refused := t.admit(ctx, host, exchange)
	if refused.Err != nil {
		t.release(host, conn, true) // closes it if the server drains or was removed
		return refused
	}
	reused, idleTime := conn.used, time.Since(conn.idleSince)
	conn.used = true
	conn.SetDeadline(exchange.Deadline)
	if !exchange.WriteBy.IsZero() && exchange.WriteBy.Before(exchange.Deadline) {
		conn.SetWriteDeadline(exchange.WriteBy) // applies to the last byte too
	}
	conn.readDeadline = exchange.Deadline
	stopCancel := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	abortedUnsent := conn.abortUnsent(exchange)
	result, body := t.roundTrip(ctx, conn, exchange, admitted)
	if abortedUnsent(result.Err) {
		result.Code = decide.Moot
	}
	// finish is called once the response is complete, has failed, or is no longer wanted.
	finish := func(result *core.Result, keep bool) {
		stopped := stopCancel()
		switch {
		case result.Err == nil:
			t.mu.Lock()
			host.lastResponseAt = time.Now()
			if reused {
				t.learnedIdle.Record(time.Since(t.clockStart), idleTime, false)
			}
			t.mu.Unlock()
		case result.Code == decide.ConnectFailed || result.Code == decide.Moot:
		case ctx.Err() != nil:
			result.Code = decide.Cancelled
		case errors.Is(result.Err, os.ErrDeadlineExceeded):
			result.Code = decide.TimedOut
		case reused && closedByServer(result.Err):
			t.mu.Lock()
			t.learnedIdle.Record(time.Since(t.clockStart), idleTime, true)
			t.mu.Unlock()
		}
		t.release(host, conn, keep && stopped && result.Err == nil)
		if result.Code == decide.TimedOut {
			t.dropIdleIfUnresponsive(host, began)
		}
	}
	if result.Rest == nil {
		finish(&result, body != nil && body.reusable)
		return result
	}
	body.memory = t.memory
	body.finish = func(err error, keep bool) decide.OutcomeCode {
		t.recordEnd(exchange, body, err)
		done := core.Result{Code: outcomeOf(ctx, err), Err: err}
		finish(&done, keep)
		return done.Code
	}
	return result
}

// localShortage reports whether a connection failed because this node lacks descriptors, ports or memory.
func localShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// closedByServer reports whether err means that the other side ended the connection.
func closedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// responseStart is the beginning of every HTTP/1 response.
const responseStart = "HTTP/1."

// roundTrip writes a request and reads its response, or as much of it as is needed to start streaming the body; the
// result then has a Rest. It also returns the body, or nil if none was read. admitted is the attempt as the guard
// admitted it.
func (t *Transport) roundTrip(ctx context.Context, conn *conn, exchange *core.Exchange,
	admitted guard.Attempt) (core.Result, *responseBody) {
	if exchange.Upload != nil && exchange.Upload.PartlySent {
		return core.Result{Code: decide.Moot, Err: errors.New("an earlier attempt has consumed a part of the client's body")}, nil
	}
	if err := conn.writeRequest(exchange); err != nil {
		// The last byte was not written, so the request has not run.
		return core.Result{Code: decide.ConnectFailed, Err: err}, nil
	}
	if exchange.Upload != nil {
		if result := t.upload(ctx, conn, exchange); result.Err != nil {
			return result, nil
		}
	}
	if exchange.OnWritten != nil {
		exchange.OnWritten()
	}
	t.checkWritten(conn.host, exchange, admitted)
	conn.readAllowance = maxHeaderSize            // http.ReadResponse itself does not bound the header
	req := &http.Request{Method: exchange.Method} // ReadResponse uses only its method
	resp, err := http.ReadResponse(conn.reader, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(conn.reader, req) // the previous one was an interim response
	}
	if err == nil && resp.StatusCode < 200 {
		err = errors.New("the backend switched to another protocol")
	}
	if err != nil {
		return core.Result{Code: decide.Reset, Err: err}, nil
	}
	respBody, err := newResponseBody(conn, resp)
	if err != nil {
		return core.Result{Code: decide.Reset, Err: err}, nil
	}
	respBody.held = t.memory.NewReservation(memory.Answers)
	respBody.ctx, respBody.holding = ctx, exchange.OnOvertime
	respBody.progress = relay.New(relayOptions(exchange, resp))
	body, more, err := respBody.readBeginning()
	if err == nil && more && resp.StatusCode != http.StatusOK {
		err = errTooLarge // a long error response is of no use to the client
	}
	if err != nil {
		t.recordEnd(exchange, respBody, err)
		respBody.held.Release()
		return core.Result{Code: decide.Reset, Err: err}, nil
	}
	if !more {
		t.recordEnd(exchange, respBody, nil)
	}
	result := core.Result{Code: decide.ServerError, Report: parseReport(resp.Header.Get("X-Backend-Load")),
		Header: resp.Header, Body: body, Held: respBody.held}
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		result.Code = decide.OK
		if more {
			respBody.beginning = body
			result.Rest, result.Length, result.Body, result.Held = respBody, resp.ContentLength, nil, nil
			result.BegunAt = respBody.progress.BegunAt()
		}
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		result.Code = decide.Full
	case status >= 400 && status < 500:
		result.Code, result.ClientErrorStatus = decide.Cancelled, status
	}
	return result, respBody
}

// relayOptions describes the body of a response to an exchange.
func relayOptions(exchange *core.Exchange, resp *http.Response) relay.Options {
	options := relay.Options{Length: resp.ContentLength, AttemptBy: exchange.Deadline, RequestBy: exchange.RequestDeadline,
		WholeInTime: exchange.OnOvertime == nil || resp.StatusCode != http.StatusOK}
	if options.RequestBy.IsZero() {
		options.RequestBy = exchange.Deadline
	}
	return options
}

// recordEnd counts how the body of a response ended, and logs it if it did not end whole; err is nil if it did.
func (t *Transport) recordEnd(exchange *core.Exchange, body *responseBody, err error) {
	if exchange.Probe {
		return
	}
	end := body.end(err)
	if t.OnAnswerEnd != nil {
		t.OnAnswerEnd(end)
	}
	if end == relay.Whole {
		return
	}
	var age time.Duration
	if begunAt := body.progress.BegunAt(); !begunAt.IsZero() {
		age = time.Since(begunAt)
	}
	t.log.Info("answer ended early", "id", exchange.Header.Get("X-Correlation-Id"), "server", body.conn.host.addr,
		"end", end.String(), "forwarded", body.progress.Forwarding(), "bytes", body.progress.Received(), "age", age, "err", err)
}

// parseReport parses a load report, "name=value" fields separated by commas. It returns nil if any field is malformed
// or out of range, or if no field is known.
func parseReport(text string) *decide.Report {
	var report decide.Report
	known := false
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxLoadValue) {
			return nil
		}
		known = wire.SetReport(&report, name, v) || known
	}
	if !known {
		return nil
	}
	return &report
}
