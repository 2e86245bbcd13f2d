package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
)

const (
	headerWait    = 10 * time.Second // for a request's header
	bodyWait      = 10 * time.Second // for its body
	writeWait     = 5 * time.Second  // for the client to take its answer
	idleWait      = 2 * time.Minute
	headerLimit   = 16 << 10
	patienceLimit = time.Hour
	// answerMargin is kept from a client's patience: an answer has to get to it and be read by then.
	answerMargin = 10 * time.Millisecond
	busyHoldOff  = 500 * time.Millisecond // what a client is told that the node itself has no room for
)

// frontend serves clients.
type frontend struct {
	loop     *loop
	log      *slog.Logger
	classes  map[string]decide.Class
	draining atomic.Bool
	open     atomic.Int64 // requests
	maxOpen  int64
	conns    *connections
}

func newFrontend(l *loop, maxConns int, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, classes: map[string]decide.Class{}, maxOpen: int64(maxConns),
		conns: &connections{limit: maxConns, idle: map[net.Conn]struct{}{}}}
	if m := l.settings.MaxOpen; m > 0 {
		f.maxOpen = min(f.maxOpen, int64(m))
	}
	for _, c := range l.settings.Classes {
		f.classes[c.Name] = c
	}
	return f
}

func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: headerLimit,
		ConnState: f.conns.track, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
}

// ready tells whether the node can serve.
func (f *frontend) ready() bool { return !f.draining.Load() && f.loop.able.Load() }

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() || f.conns.crowded() {
		w.Header().Set("Connection", "close")
	}
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case class == "health" && (rest == "ready" || rest == "live"):
		if rest == "ready" && !f.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	case class == "" || class == "health":
		http.NotFound(w, r)
		return
	}
	if f.open.Add(1) > f.maxOpen || f.conns.crowded() {
		f.open.Add(-1)
		f.write(w, answer{status: http.StatusServiceUnavailable, holdOff: busyHoldOff})
		return
	}
	defer f.open.Add(-1)
	req, status, err := f.read(w, r, class)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if !f.loop.post(func() { f.loop.arrive(req) }) {
		f.write(w, answer{status: http.StatusServiceUnavailable})
		return
	}
	late := time.NewTimer(max(0, time.Until(req.deadline)) + overdue)
	defer late.Stop()
	select {
	case a := <-req.answer:
		f.write(w, a)
	case <-r.Context().Done():
		f.loop.post(func() { f.loop.abandon(req) })
		panic(http.ErrAbortHandler) // else net/http would answer 200 to a client that reads on
	case <-late.C:
		f.loop.post(func() { f.loop.abandon(req) })
		f.log.Warn("overdue", "id", req.arrived.ID)
		f.write(w, answer{status: http.StatusGatewayTimeout})
	case <-f.loop.ctx.Done():
		f.write(w, answer{status: http.StatusBadGateway})
	}
}

// read takes in a request, or says what is wrong with it.
func (f *frontend) read(w http.ResponseWriter, r *http.Request, class string) (*request, int, error) {
	settings, known := f.classes[class]
	id := r.Header.Get("X-Correlation-Id")
	if !known && id == "" {
		return nil, http.StatusNotFound, errors.New("no such path")
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, errors.New("GET or POST only")
	}
	if id == "" {
		return nil, http.StatusBadRequest, errors.New("X-Correlation-Id is missing")
	}
	if known && settings.Effect == decide.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, errors.New("Idempotency-Key is missing")
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	if err != nil || math.IsNaN(left) || math.IsInf(left, 0) {
		return nil, http.StatusBadRequest, errors.New("X-Time-Left is not a number of seconds")
	}
	control := http.NewResponseController(w)
	var body []byte
	if r.ContentLength != 0 {
		control.SetReadDeadline(time.Now().Add(bodyWait))
		if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit)); err != nil {
			if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
				return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, http.StatusRequestTimeout, errors.New("the body does not come")
			}
			return nil, http.StatusBadRequest, errors.New("the body is malformed")
		}
		control.SetReadDeadline(time.Time{}) // else it would end the wait for the client's going
	}
	patience := time.Duration(min(left, patienceLimit.Seconds()) * float64(time.Second))
	e := decide.RequestArrived{ID: decide.RequestID(id), Class: class, Tenant: r.Header.Get("X-Account"),
		Key: r.URL.Query().Get("obj"), Repeat: r.Header.Get("X-Repeat") == "1", Write: fact(r.Header.Get("X-Facts"), "write")}
	if us, err := strconv.ParseFloat(r.Header.Get("X-Weight-Hint"), 64); err == nil && us >= 0 && us < patienceLimit.Seconds()*1e6 {
		e.WorkHint, e.HasHint = time.Duration(us*float64(time.Microsecond)), true
	}
	return &request{arrived: e, deadline: time.Now().Add(patience - answerMargin), method: r.Method, body: body,
		url:    &url.URL{Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		header: endToEnd(r.Header), answer: make(chan answer, 1)}, 0, nil
}

// fact tells whether one of the further figures of a request is set.
func fact(text, name string) bool {
	for field := range strings.SplitSeq(text, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(field), "="); n == name {
			return v != "" && v != "0" && v != "false"
		}
	}
	return false
}

// endToEnd copies a header without what belongs to one connection or is the node's own.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length", "X-Time-Left", "X-Backend-Load", "X-Unprocessed"} {
		out.Del(name)
	}
	return out
}

// write sends the final answer. It is the only one: each request comes here once.
func (f *frontend) write(w http.ResponseWriter, a answer) {
	h := w.Header()
	if a.header != nil {
		closing := h["Connection"]
		for name, values := range endToEnd(a.header) {
			h[name] = values
		}
		if closing != nil {
			h["Connection"] = closing
		}
	}
	if f.draining.Load() { // it may have begun while the request was out
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.holdOff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.holdOff.Seconds(), 'f', 3, 64))
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWait))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// connections counts the clients' connections. Above the limit new requests are refused at once and idle ones
// closed, so that there is always room to read and answer what has been accepted.
type connections struct {
	mu    sync.Mutex
	count int
	limit int
	idle  map[net.Conn]struct{}
}

func (c *connections) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count > c.limit
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.count++
		if c.count > c.limit {
			for idle := range c.idle {
				delete(c.idle, idle)
				idle.Close()
				break
			}
		}
	case http.StateIdle:
		c.idle[conn] = struct{}{}
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
		c.count--
	}
}

// capped accepts no more connections than there are descriptors for. Beyond it they wait, for the moment that
// refusing takes. It keeps *net.TCPConn in sight, as a wrapper would hide CloseWrite from net/http, which then
// resets connections with an answer on them.
type capped struct {
	*net.TCPListener
	slots chan struct{}
	ctx   context.Context
}

type cappedConn struct {
	*net.TCPConn
	free func()
}

func (c *cappedConn) Close() error {
	defer c.free()
	return c.TCPConn.Close()
}

func (l *capped) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &cappedConn{conn, sync.OnceFunc(func() { <-l.slots })}, nil
}
