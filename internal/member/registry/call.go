package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

// callKind is the purpose of a call to discovery, as it is logged.
type callKind string

// The kinds of calls. Calls that continue a watch are frequent, and are logged at the debug level unless they fail.
// Calls to an agent are made several times a second, and fail while discovery is down: they are logged at the debug
// level only.
const (
	callWholeList  callKind = "whole list"
	callBeginWatch callKind = "begin watch"
	callKeepWatch  callKind = "keep watch"
	callAgent      callKind = "ask agent"
)

// call makes one call with the given query, and logs its start and its end. progress ends it if no bytes come.
func (r *Registry) call(ctx context.Context, kind callKind, query string, progress *progress) (core.List, error) {
	log := r.log.With("call", r.calls.Add(1), "kind", string(kind), "at", r.addr, "query", query)
	usualLevel, failureLevel := slog.LevelInfo, slog.LevelInfo
	switch kind {
	case callKeepWatch:
		usualLevel = slog.LevelDebug
	case callAgent:
		usualLevel, failureLevel = slog.LevelDebug, slog.LevelDebug
	}
	log.Log(ctx, usualLevel, "call begins")
	began := time.Now()
	list, err := r.request(ctx, query, progress)
	if err != nil {
		log.Log(ctx, failureLevel, "call failed", "took", time.Since(began).Round(time.Millisecond),
			"answer begun after", progress.firstByteAfter(began).Round(time.Millisecond), "err", err)
		return list, err
	}
	log.Log(ctx, usualLevel, "call answered", "took", time.Since(began).Round(time.Millisecond),
		"revision", list.Version, "whole", list.Full, "entries", len(list.Entries))
	return list, nil
}

// request makes one call and decodes the list in the answer. Failures of this machine are retried for a while.
func (r *Registry) request(ctx context.Context, query string, progress *progress) (core.List, error) {
	ctx, stop := progress.start(ctx)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr.String()+instancesPath+query, nil)
	if err != nil {
		return core.List{}, err
	}
	retryUntil := time.Now().Add(progress.limits.local - localRetryPause)
	resp, err := r.client.Do(req)
	for err != nil && isLocalFailure(err) && ctx.Err() == nil && time.Now().Before(retryUntil) {
		sleep(ctx, localRetryPause)
		resp, err = r.client.Do(req)
	}
	switch {
	case err != nil && isLocalShortage(err): // also once the call's time is over: nothing was asked
		return core.List{}, err
	case err != nil:
		return core.List{}, progress.explain(err)
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(progress.reader(io.LimitReader(resp.Body, maxListSize))); err != nil {
		return core.List{}, fmt.Errorf("%w: %w", errIncomplete, progress.explain(err))
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return core.List{}, errUnavailable
	}
	if resp.StatusCode != http.StatusOK {
		return core.List{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return Decode(body.Bytes())
}

// localErrors are errors of this machine in making a connection: the call has not reached discovery.
var localErrors = []error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN, syscall.EINTR}

// isLocalFailure reports whether a call failed because of a shortage on this machine. A retry soon after costs
// discovery nothing, while the backoff after failures of discovery could last longer than a change may go unnoticed.
func isLocalFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, error(errno))
}

// isLocalShortage reports whether a call failed because this machine has run out of something. Where its network is
// down, discovery can't be reached.
func isLocalShortage(err error) bool {
	return isLocalFailure(err) && !errors.Is(err, syscall.ENETUNREACH) && !errors.Is(err, syscall.ENETDOWN)
}

// errUnavailable is the answer of a discovery service that is down, or has no capacity for the call.
var errUnavailable = errors.New("discovery answered 503")

// callError returns the core.CallError for a failed call: the cause, and how long the call took if it was the first
// one of its watch. The time of a further call holds its wait for a change, and is left out.
func (t *callTiming) callError(err error, first bool, took time.Duration) error {
	failure := &core.CallError{Cause: t.cause(err, first, took), Err: err}
	if first {
		failure.Took = took
	}
	return failure
}

// cause classifies the error of a failed call or watch. An overloaded discovery service ends calls that it has queued
// for too long with 503 or a reset, and refuses others at once, as it also does while it is down. Only a failure to
// connect or a missing answer shows that it is unreachable. A shortage of this machine shows nothing of it.
func (t *callTiming) cause(err error, first bool, took time.Duration) decide.FailureCause {
	unavailable := errors.Is(err, errUnavailable)
	switch {
	case t.agent:
		return agentCause(err)
	case !first && unavailable && took >= t.overloadWait: // an accepted call was ended
		return decide.CauseWentDown
	case !first:
		return decide.CauseBroken
	case isLocalShortage(err):
		return decide.CauseLocal
	case timedOut(err), dialFailed(err):
		return decide.CauseUnreachable
	case errors.Is(err, errIncomplete):
		return decide.CauseUseless
	case unavailable, errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF):
		return decide.CauseOverloaded
	}
	return decide.CauseUseless
}

// agentCause classifies the error of a failed call to the node's own agent, which answers at once unless it is silent.
// Only silence, and an agent that does not run, show that it learns nothing. An answer that has begun, or that can't be
// used, may have held a change.
func agentCause(err error) decide.FailureCause {
	switch {
	case isLocalShortage(err):
		return decide.CauseLocal
	case errors.Is(err, errIncomplete):
		return decide.CauseUseless
	case timedOut(err), dialFailed(err):
		return decide.CauseUnreachable
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF):
		return decide.CauseBroken
	}
	return decide.CauseUseless
}

// dialFailed reports whether a call failed because no connection was made.
func dialFailed(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// errIncomplete is the error of an answer that has begun and was cut off: it shows that there are changes.
var errIncomplete = errors.New("the answer was cut off")

// timedOut reports whether a call ended because no answer arrived in time.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
