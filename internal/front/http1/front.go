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
	// A connection that brings no whole header within 3 s has been answered or closed by then; good clients take 2 s
	// for one.
	headerWait  = 2600 * time.Millisecond // for a request's header, all of it
	idleWait    = 2100 * time.Millisecond // a client may count on 2 s; many ask once and keep what others then lack
	headerLimit = 16 << 10

	// SIGTERM: connections come for 0.4 s more; the rest is for the accept queue. Clients go on using those that
	// they have.
	drainAccept = 600 * time.Millisecond
	lastCall    = 300 * time.Millisecond // before the end no more requests are taken
	drainLook   = 20 * time.Millisecond
	// After the end an answer that has not moved for drainStall is ended, within what is left before SIGKILL. A long
	// one may be of a slow peer: it is lost after 2 s in any case.
	drainStall = 100 * time.Millisecond
	longStall  = 2 * time.Second
	drainSlack = 700 * time.Millisecond // beyond the longest deadline: what was taken before the drain may end so late
)

// Front is a core.Front on one listener.
type Front struct {
	handler *front.Handler
	door    *admission
	server  *http.Server
	log     *slog.Logger
}

type connKey struct{}

// New returns a front that keeps at most conns client connections open. It sets the hooks of h that check connections.
func New(tcp *net.TCPListener, conns int, h *front.Handler, log *slog.Logger) *Front {
	f := &Front{handler: h, door: newAdmission(tcp, conns), log: log}
	h.Lost = func(r *http.Request) bool { return r.Context().Value(connKey{}).(*clientConn).lost() }
	h.Gone = func(r *http.Request) bool { return r.Context().Value(connKey{}).(*clientConn).gone() }
	h.Hidden = func(r *http.Request) bool { return r.Context().Value(connKey{}).(*clientConn).hidden() }
	h.Crowded = f.door.crowded
	f.door.refused = func(class string) { h.Figures.End(class, http.StatusServiceUnavailable) }
	h.Doubtful = func(r *http.Request) bool { return r.Context().Value(connKey{}).(*clientConn).doubtful() }
	f.server = &http.Server{Handler: h, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: headerLimit,
		ConnState: f.door.track, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return f
}

// Serve implements core.Front.
func (f *Front) Serve() error { return f.server.Serve(f.door) }

// Close implements core.Front.
func (f *Front) Close() {
	f.server.Close()
	f.door.ends.Wait()
}

// SetAccepting sets whether connections are accepted, or left in the listener's queue for another process that shares
// the listener.
func (f *Front) Accept(on bool) { f.door.gate.Set(on, f.door.SetDeadline) }

// SetLimit changes how many client connections may be open. Open connections beyond the new limit stay open.
func (f *Front) SetLimit(n int) { f.door.setLimit(n) }

// OpenConnections is the number of open client connections, without the evicted ones.
func (f *Front) Held() int { return f.door.held() }

// Drain is core.Front's. Clients still come for a moment, and what the kernel has accepted counts as taken: so the
// listener stays open for that long. On the connections that they have they are served for as long as an answer can
// come by the end: the others of its zone may be few, and have its clients soon enough. Then what has no request open
// is closed, as the server's own Shutdown would wait for new connections and for heads that are half there.
func (f *Front) Drain(end time.Time) {
	f.handler.Drain(end)     // by then all is answered
	if !f.door.gate.Shut() { // else a successor takes what comes, from the same queue
		time.Sleep(drainAccept)
	}
	f.door.Close()
	for time.Until(end) > lastCall && f.door.held() > 0 {
		time.Sleep(drainLook)
	}
	f.handler.LastCall()
	f.door.closeRest()
	// Each answer is now the last on its connection. What the loop has at the end is answered then. Answers that are on
	// their way may go on for as long as they move: nothing is owed to a client that takes none of its own, or while
	// its server gives none of it. net/http's Shutdown is not asked: it closes a connection whose next head is being
	// read.
	for until := time.Now().Add(f.handler.Longest() + drainSlack); f.door.open.Load() > 0; time.Sleep(drainLook) {
		f.door.closeRest() // including connections that have become idle since
		now := time.Now()
		if now.After(until) {
			f.log.Warn("drain ended with open connections", "connections", f.door.open.Load())
			return
		}
		if now.Sub(end) > drainStall {
			f.door.closeStalled()
		}
	}
}
