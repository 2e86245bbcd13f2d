package front

import (
	"context"
	"net/http"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/stats"
)

// transaction is one request of a known class, from its head to its answer.
type transaction struct {
	handler  *Handler
	w        http.ResponseWriter
	request  *http.Request
	class    string
	takenAt  time.Time     // when it was taken up
	patience time.Duration // how long the client waits, by its X-Time-Left
	body     requestBody
	held     *heldMemory
}

// check checks the head, and returns a status and a message for the client if the request is rejected. ambiguous is set if
// its end can be read in two ways.
func (t *transaction) check(settings decide.Class, ambiguous bool) (status int, problem string) {
	if t.handler.HandedOff && settings.Effect == decide.Keyed {
		return http.StatusForbidden, "keyed requests do not cross"
	}
	if ambiguous {
		return http.StatusBadRequest, "the body's end is in doubt: Content-Length beside Transfer-Encoding, or folded"
	}
	t.patience, status, problem = check(t.request, settings)
	return status, problem
}

// reject answers a request that is not sent to a server, and counts it.
func (t *transaction) reject(status int, problem string) {
	t.handler.rejectNotTaken(t.w, status, problem)
	t.handler.Metrics.RequestEnded(t.class, status)
}

// answer writes an answer without a Rest, and counts it.
func (t *transaction) answer(answer core.Answer) {
	t.handler.writeAnswer(t.w, answer)
	t.handler.Metrics.RequestEnded(t.class, answer.Status)
}

// refuse refuses the request, as the node is at its own limits.
func (t *transaction) refuse() {
	t.answer(core.Answer{Status: http.StatusServiceUnavailable, HoldOff: busyHoldOff, Reason: decide.ByNode})
}

// closeWithUnreadBody has the answer close the connection, as the rest of the body is not read.
func (t *transaction) closeWithUnreadBody() {
	t.w.Header().Set("Connection", "close")
	http.NewResponseController(t.w).SetReadDeadline(time.Now().Add(lingerTimeout))
}

// serve reads the body and answers the request.
func (t *transaction) serve() {
	f := t.handler
	t.held = f.awaitMemory(t.request.ContentLength)
	defer t.held.release()
	if t.held == nil {
		f.Metrics.Count(stats.RefusedForMemory)
		t.closeWithUnreadBody()
		t.refuse()
		return
	}
	var status int
	var problem string
	if t.body, status, problem = f.readBody(t.w, t.request, t.takenAt); problem != "" {
		f.abortIfEvictedForRoom(t.request)
		t.reject(status, problem)
		return
	}
	defer t.countInFlight()()
	tracked := &answerTracker{ResponseWriter: t.w}
	t.w = tracked
	defer func() {
		if t.body.received() {
			f.Guard.RecordRequestEnd(tracked.answered)
		}
	}()
	presentAt := time.Now() // must not be later than the check of the client's presence
	if f.ClientGone != nil && f.ClientGone(t.request) {
		reject(t.w, http.StatusBadRequest, "the client has closed") // or has closed only its own direction, and reads this
		return
	}
	evicted := f.Evicted != nil && f.Evicted(t.request)
	if evicted {
		t.w.Header().Set("Connection", "close")
	}
	defer f.openRequests.Add(-1)
	if f.openRequests.Add(1) > f.maxOpenRequests || f.refusing.Load() || evicted {
		t.refuse()
		return
	}
	t.run(presentAt)
}

// countInFlight counts the request as in flight once its body is complete. The returned function ends that.
func (t *transaction) countInFlight() (end func()) {
	metrics := t.handler.Metrics
	if t.body.upload == nil {
		metrics.AddInFlight(1)
	} else {
		t.body.upload.onReceived = func() { metrics.AddInFlight(1) }
	}
	return func() {
		if t.body.received() {
			metrics.AddInFlight(-1)
		}
	}
}

// run passes the request to the loop and writes the answer. presentAt is when the client was last seen to be there.
func (t *transaction) run(presentAt time.Time) {
	f := t.handler
	request := t.newRequest()
	ctx := t.request.Context()
	var presence *clientPresence // nil: the front can't check whether the client has left
	if f.ClientGone != nil {
		client, cancel := context.WithCancel(ctx)
		defer cancel()
		presence = &clientPresence{handler: f, request: t.request, cancel: cancel, startedAt: presentAt}
		ctx, request.ClientGone = client, presence.gone
	}
	result, ok := f.loop.Do(ctx, request)
	defer result.Held.Release()
	bodyBytes := t.body.bytes()
	request.Body, t.body.buffered = nil, nil // no further attempt is made
	t.held.releaseBody()
	f.Metrics.RecordLatency(t.class, result.Status, presentAt)
	if f.OnComplete != nil {
		completed := &CompletedRequest{Request: request, Answer: result, BodyBytes: bodyBytes, ClientGone: !ok,
			StartedAt: presentAt, Duration: time.Since(presentAt), Patience: t.patience}
		defer func() { f.OnComplete(completed) }() // deferred until the client has its answer
	}
	if !ok {
		t.answerDeparted(presence)
		return
	}
	if !t.body.received() {
		f.abortIfEvictedForRoom(t.request)
		t.closeWithUnreadBody()
	}
	if result.Rest != nil {
		f.streamAnswer(t.w, t.class, result)
		return
	}
	t.answer(result)
}

// newRequest returns the request for the loop. The client's time counts from when it wrote the last byte.
func (t *transaction) newRequest() *core.Request {
	request := newRequest(t.request, t.class, t.body.buffered)
	request.Deadline = t.body.writtenAt().Add(t.patience - answerMargin)
	request.Arrived.HandedOff = t.handler.HandedOff
	if upload := t.body.upload; upload != nil {
		upload.AnswerBy = func() time.Time { return t.body.writtenAt().Add(t.patience - answerMargin) }
		request.Upload = &upload.Upload
	}
	if end := t.handler.drainEnd.Load(); end != nil && request.Deadline.After(*end) {
		request.Deadline = *end
	}
	return request
}

// answerDeparted answers a request whose client has left, or counts as gone. If it has closed only its own direction, it
// learns that no answer comes.
func (t *transaction) answerDeparted(presence *clientPresence) {
	if presence != nil && presence.presumedGone.Load() {
		t.handler.Metrics.Count(stats.PresumedGone)
		t.refuse()
		return
	}
	reject(t.w, http.StatusBadRequest, "the client has closed")
}
