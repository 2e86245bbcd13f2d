// Package http1 is the front for clients that speak HTTP/1.1 over plain TCP.
package http1

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"starlingvalve/internal/front"
)

const (
	// A connection without a whole request header has to be answered or closed after 3 s at the latest. Well-behaved
	// clients take 2 s for a header.
	headerTimeout  = 2600 * time.Millisecond // for the whole header of a request
	idleTimeout    = 2100 * time.Millisecond // clients may rely on 2 s; many send one request, and hold what others need
	maxHeaderBytes = 16 << 10

	// After SIGTERM clients connect for 0.4 s more; the rest of the time is for the accept queue. Clients go on using
	// the connections that they have.
	drainAcceptTime   = 600 * time.Millisecond
	refuseNewBefore   = 300 * time.Millisecond // so long before the drain's end new requests are refused
	drainPollInterval = 20 * time.Millisecond
	// drainGrace is how long after the drain's end answers that have not begun may still begin.
	drainGrace = 100 * time.Millisecond
	// answerStall is how long an answer that has begun may pause after the drain's end, as servers and clients take
	// seconds for a piece.
	answerStall = 3 * time.Second
	drainSlack  = 700 * time.Millisecond // beyond the longest deadline: requests from before the drain may end so late
	// maxMovingAnswers is how much longer answers that go on moving may take.
	maxMovingAnswers = time.Minute
)

// Front is a core.Front on one listener.
type Front struct {
	handler   *front.Handler
	admission *admission
	server    *http.Server
	log       *slog.Logger
}

type connKey struct{}

// New returns a front that keeps at most limit client connections open. It sets the hooks of httpHandler that check
// connections.
func New(listener *net.TCPListener, limit int, httpHandler *front.Handler, log *slog.Logger) *Front {
	newFront := &Front{handler: httpHandler, admission: newAdmission(listener, limit, httpHandler.Memory()), log: log}
	httpHandler.Evicted = func(r *http.Request) bool { return r.Context().Value(connKey{}).(*clientConn).wasEvicted() }
	httpHandler.ClientGone = func(r *http.Request) bool { return r.Context().Value(connKey{}).(*clientConn).clientGone() }
	httpHandler.DisconnectHidden = func(r *http.Request) bool {
		return r.Context().Value(connKey{}).(*clientConn).disconnectHidden()
	}
	httpHandler.BodyArrival = func(r *http.Request) (int64, time.Time) {
		return r.Context().Value(connKey{}).(*clientConn).bodyArrival()
	}
	httpHandler.EvictedForRoom = func(r *http.Request) bool {
		return r.Context().Value(connKey{}).(*clientConn).evictedForRoom()
	}
	httpHandler.FreeMemory = newFront.admission.evictStalledBody
	httpHandler.ConnectionPressure = newFront.admission.underPressure
	newFront.admission.log = log
	newFront.admission.count = httpHandler.Metrics.Count
	newFront.admission.countRefused = func(class string) {
		httpHandler.Metrics.RequestEnded(class, http.StatusServiceUnavailable)
	}
	httpHandler.AmbiguousEnd = func(r *http.Request) bool {
		return r.Context().Value(connKey{}).(*clientConn).ambiguousEnd()
	}
	newFront.server = &http.Server{Handler: httpHandler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: newFront.admission.track, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return newFront
}

// Serve implements core.Front.
func (f *Front) Serve() error { return f.server.Serve(f.admission) }

// Close implements core.Front.
func (f *Front) Close() {
	f.server.Close()
	f.admission.refusals.Wait()
}

// SetAccepting sets whether connections are accepted, or left in the listener's queue for another process that shares
// the listener.
func (f *Front) SetAccepting(on bool) { f.admission.gate.SetOpen(on, f.admission.SetDeadline) }

// SetLimit changes how many client connections may be open. Open connections beyond the new limit stay open.
func (f *Front) SetLimit(n int) { f.admission.setLimit(n) }

// OpenConnections is the number of open client connections, without the evicted ones.
func (f *Front) OpenConnections() int { return f.admission.openConns() }

// Drain implements core.Front. Clients go on connecting for a moment, and have to be served once the kernel has
// accepted the connection, so the listener stays open for that long. Requests on open connections are served for as
// long as an answer can come by end: the zone may have few other nodes, which get this node's clients soon enough. Then
// connections without an open request are closed. http.Server.Shutdown is not used, because it waits for new
// connections and for half-received heads.
func (f *Front) Drain(end time.Time) {
	f.handler.Drain(end)            // all requests are answered by then
	if !f.admission.gate.IsShut() { // if it is shut, a successor accepts the connections from the same queue
		time.Sleep(drainAcceptTime)
	}
	f.admission.Close()
	for time.Until(end) > refuseNewBefore && f.admission.openConns() > 0 {
		time.Sleep(drainPollInterval)
	}
	f.handler.RefuseNewRequests()
	f.admission.closeWithoutRequest()
	// From now on each answer closes its connection. Requests that are still with the loop at end are answered then.
	// Answers that are being written may go on while they make progress, but not if the client takes nothing or the
	// server sends nothing. http.Server.Shutdown would close connections whose next head is being read.
	for latest := time.Now().Add(f.handler.LongestDeadline() + drainSlack); f.admission.open.Load() > 0; time.Sleep(drainPollInterval) {
		f.admission.closeWithoutRequest() // including connections that have become idle since
		now, moving := time.Now(), 0
		if now.Sub(end) > drainGrace {
			moving = f.admission.closeStalled()
		}
		if now.After(latest) && moving == 0 || now.After(latest.Add(maxMovingAnswers)) {
			f.log.Warn("drained with connections open", "connections", f.admission.open.Load())
			return
		}
	}
}
