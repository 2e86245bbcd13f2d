// Package front holds what all HTTP fronts share: checking a request, choosing the header fields that are forwarded,
// and writing the answer. The fronts themselves are in subfolders.
package front

import (
	"log/slog"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/stats"
)

const (
	firstBodyBuffer    = 1 << 10                // bytes of the first buffer of a body; its double, and so on, make BodyLimit
	BodyLimit          = 64 << 10               // bytes of a request's body that are buffered; the rest is streamed
	maxRequestBody     = 40 << 20               // bytes of a request's body, buffered or streamed
	maxHandedOffAnswer = 1 << 20                // bytes of an answer to a request from another site, which is buffered whole
	writeTimeout       = 10 * time.Second       // for the client to take its answer, or the next piece of a streamed one
	lingerTimeout      = 200 * time.Millisecond // for reading on after a rejection, so that the client gets to read the answer
	maxPatience        = time.Hour
	memoryWait         = 50 * time.Millisecond // for the memory of requests that are ended for another one
	memoryPoll         = 2 * time.Millisecond
	// answerMargin is subtracted from a client's patience, for the way of the answer to the client.
	answerMargin = 10 * time.Millisecond
	busyHoldOff  = 500 * time.Millisecond // Retry-After of requests that the node refuses because it is at its own limits
)

// Handler serves the HTTP requests of a front: it checks each, passes it to the loop and writes the answer.
type Handler struct {
	// Evicted, if set, reports whether a request's connection was evicted for a new one while the request was
	// arriving. The request is refused then.
	Evicted func(*http.Request) bool
	// EvictedForRoom, if set, reports whether a request's connection was evicted for the sake of another one. If its body
	// is not complete, the connection is then closed at once, without an answer.
	EvictedForRoom func(*http.Request) bool
	// ClientGone, if set, reports whether a request's client has left. No attempt is started for it from then on. It
	// is called at any time until the request has been answered.
	ClientGone func(*http.Request) bool
	// DisconnectHidden, if set, reports whether so many unread bytes follow a request that the end of its client's
	// connection could not be seen. No attempt is started then once the request has waited for disconnectHiddenWait.
	DisconnectHidden func(*http.Request) bool
	// AmbiguousEnd, if set, reports whether a request's end can be read in two ways, as it has both a length and a
	// transfer coding. It is called exactly once for each request, in the order of the requests on a connection.
	AmbiguousEnd func(*http.Request) bool
	// BodyArrival, if set, returns how many bytes of a request's body can be read from its connection without a wait,
	// and when bytes last arrived that a read had waited for; zero: no read had to. Without it each byte counts as
	// written when it is read.
	BodyArrival func(*http.Request) (readable int64, lastWait time.Time)
	// FreeMemory, if set, ends a request whose body has stalled, so that its memory is released soon. It reports whether
	// there was one.
	FreeMemory func() bool
	// ConnectionPressure, if set, reports whether answers should close their connections, as other clients need them.
	ConnectionPressure func() bool
	// HandedOff is set if the requests are handed off by another site. They are served from spare capacity only. Keyed
	// ones are rejected, because the servers here don't know the keys that the servers of the other site have seen.
	HandedOff bool
	// OnComplete, if set, is called for each request that was passed to the loop, once its client has been answered or
	// has left. It must not block.
	OnComplete func(*CompletedRequest)
	// Guard, if set, records the end of each request that was read whole.
	Guard *guard.Guard
	// Metrics, if set, counts the requests of each class by their answers' status.
	Metrics *stats.Metrics

	loop             *core.Loop
	log              *slog.Logger
	classes          map[string]decide.Class
	longestDeadline  time.Duration             // the longest deadline of any class
	drainEnd         atomic.Pointer[time.Time] // when a drain ends; nil: no drain has started
	refusing         atomic.Bool               // new requests are refused
	closeAfterAnswer atomic.Bool               // each answer closes its connection
	notReady         atomic.Bool               // the health check says that the node is not ready
	openRequests     atomic.Int64              // requests that have been passed to the loop and not answered
	maxOpenRequests  int64
	memory           *memory.Account
}

// CompletedRequest is a request that is over, as it is passed to Handler.OnComplete.
type CompletedRequest struct {
	Request    *core.Request
	Answer     core.Answer
	BodyBytes  int64 // of the request's body, as far as it was read
	ClientGone bool  // the client left before it was answered
	StartedAt  time.Time
	Duration   time.Duration // until the final answer was there
	Patience   time.Duration // how long the client waits, by its X-Time-Left
}

// NewHandler returns a handler that holds requests and their bodies within an account of memory; nil: without limit.
func NewHandler(eventLoop *core.Loop, settings decide.Settings, account *memory.Account, log *slog.Logger) *Handler {
	handler := &Handler{loop: eventLoop, log: log, classes: map[string]decide.Class{},
		longestDeadline: settings.LongestDeadline(), maxOpenRequests: math.MaxInt64, memory: account}
	if limit := settings.MaxOpen; limit > 0 {
		handler.maxOpenRequests = int64(limit)
	}
	for _, class := range settings.Classes {
		handler.classes[class.Name] = class
	}
	return handler
}

// Memory is the account of memory that requests are held within; nil: there is none.
func (f *Handler) Memory() *memory.Account { return f.memory }

// Drain has the health check say from now on that the node is not ready, and has each request answered by end.
func (f *Handler) Drain(end time.Time) {
	f.drainEnd.Store(&end)
	f.loop.EndBy(end)
}

// SetCloseAfterAnswer sets whether each answer closes its connection, so that the client has to open a new one.
func (f *Handler) SetCloseAfterAnswer(on bool) { f.closeAfterAnswer.Store(on) }

// LongestDeadline is the longest deadline of any class.
func (f *Handler) LongestDeadline() time.Duration { return f.longestDeadline }

// RefuseNewRequests has all requests from now on refused with 503.
func (f *Handler) RefuseNewRequests() { f.refusing.Store(true) }

// Ready is the result of the health check: the node is not draining, is not set not ready, and has a server to send to,
// or has to refuse requests by now.
func (f *Handler) Ready() bool {
	return f.drainEnd.Load() == nil && !f.notReady.Load() && f.loop.Ready()
}

// SetNotReady sets whether the health check says that the node is not ready. Requests are served in any case.
func (f *Handler) SetNotReady(on bool) { f.notReady.Store(on) }

// ServeHTTP answers one request. It answers GET /health/ready and /health/live itself, and passes requests of a known
// class to the loop. A malformed request gets a 4xx or 5xx status, but never 429 or 503, which invite a retry.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	takenAt := time.Now()
	ambiguous := f.AmbiguousEnd != nil && f.AmbiguousEnd(r)
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if class == "health" && (rest == "ready" || rest == "live") && r.ContentLength == 0 {
		f.closeIfLast(w)
		if rest == "ready" && !f.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	settings, known := f.classes[class]
	if !known {
		f.rejectNotTaken(w, http.StatusNotFound, "no such path")
		return
	}
	t := &transaction{handler: f, w: w, request: r, class: class, takenAt: takenAt}
	if status, problem := t.check(settings, ambiguous); problem != "" {
		t.reject(status, problem)
		return
	}
	t.serve()
}
