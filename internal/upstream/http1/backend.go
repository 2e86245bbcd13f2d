// Package http1 is the transport to backends that speak HTTP/1.1 over plain TCP: it sends attempts and probes, and
// keeps a pool of connections.
package http1

import (
	"bufio"
	"bytes"
	queue "container/list"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/upstream/idle"
	"starlingvalve/internal/upstream/reuse"
	"starlingvalve/internal/wire"
)

const (
	// maxBufferedBody is the size, in bytes, up to which a response body is buffered until it is complete.
	bodyLimit = 64 << 10
	// maxHeaderSize bounds the header of a response in bytes, including interim (1xx) responses before it.
	headLimit = 64 << 10
	// bufferShare is the part of the node's memory for the buffers of streamed bodies.
	roomPart   = 1.0 / 8
	sweepEvery = time.Second
	// idleFraction is the part of a backend's own idle timeout after which the node closes an idle connection: well
	// before the backend does.
	idlePart  = 0.75
	probeWait = 500 * time.Millisecond

	// dialDivisor: at most one in so many of all connections may be in the making to one backend.
	dialPart = 8
	// maxLoadValue is above any value that a valid load report can hold.
	loadLimit = 1e6
)

// Transport implements core.Transport. It holds the connections to all backends. Each connection carries one request
// at a time, and the one used last is reused first. It does not use http.Transport, which resends some requests by
// itself.
type Transport struct {
	mu             sync.Mutex
	hosts          map[decide.ServerID]*host
	byAddr         map[string]*host // hosts that are not closed
	lists          int              // number of full lists received so far
	learned        idle.Limit       // the idle time after which servers have been found to close connections
	made           time.Time        // zero of the clock that durations since the start refer to
	idle           *queue.List      // idle connections (*conn) of all hosts, the least recently used first
	open, limit    int              // connections that are open or being made, and the most allowed
	room           atomic.Int64     // free bytes of the budget for buffers of streamed bodies
	connectTimeout time.Duration
	idleLimit      time.Duration
	coldWindow     time.Duration // period over which attempts at a server in slow start are counted
	guard          *guard.Guard
	log            *slog.Logger
}

// host is one backend, and implements core.Server. Its fields are guarded by Transport.mu, except the atomic ones.
type host struct {
	owner   *Transport
	addr    string
	started decide.Time
	closed  bool         // it drains or was removed: no new request is written to it
	off     atomic.Int64 // when it was closed, in ns since Transport.clockStart; 0 if it is open
	sent    atomic.Int64 // when the first byte of the latest attempt was written, on the same clock
	cold    []time.Time  // attempts during slow start, within the last slowStartWindow
	idle    []*conn      // idle connections, the least recently used first
	dials   int          // connections being made
	reuse   reuse.Server
	states  []reuse.Idle // reused buffer for the states of idleConns
	heard   time.Time    // when the latest response was received
	seen    int          // number of the latest full list that contained it
}

// conn is one connection to a host.
type conn struct {
	net.Conn
	host  *host
	place *queue.Element // its element of Transport.idleConns; nil while it is not idle
	r     *bufio.Reader
	left  int64           // bytes that may still be read before a read fails
	short bool            // the last read returned fewer bytes than it asked for
	pause time.Duration   // longest time that a read waits for data before errPause; 0: no limit
	since time.Time       // when it was made, or last became idle
	used  bool            // it has carried an exchange
	until time.Time       // deadline of the present exchange
	ctx   context.Context // context of the present exchange
}

// Read reads at most readAllowance bytes, and returns io.EOF once that is used up. It is the source of reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), c.left)]
	n, err := c.readPaused(p)
	c.left -= int64(n)
	c.short = n < len(p)
	return n, err
}

var errPause = errors.New("no data within the longest pause")

// readWithPause reads like the connection beneath, but fails with errPause after maxPause without data, if that is set
// and ends before the exchange's deadline.
func (c *conn) readPaused(p []byte) (int, error) {
	if c.pause == 0 {
		return c.Conn.Read(p)
	}
	until := time.Now().Add(c.pause)
	if !until.Before(c.until) {
		return c.Conn.Read(p)
	}
	c.Conn.SetReadDeadline(until)
	n, err := c.Conn.Read(p)
	c.Conn.SetReadDeadline(c.until)
	if c.ctx != nil && c.ctx.Err() != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	} else if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errPause
	}
	return n, err
}

// New returns a transport without servers; Update supplies them. memoryMB is the node's memory in MiB, of which
// bufferShare is reserved for the buffers of streamed bodies. maxConns is the most connections open at once, to all
// servers together. Idle connections are kept for idleFraction of settings.ConnIdle, or for a minute if that is not
// set. Each attempt needs the consent of g right before its first byte.
func New(s decide.Settings, memoryMB, limit int, g *guard.Guard, log *slog.Logger) *Transport {
	idle := time.Duration(float64(s.ConnIdle) * idlePart)
	if idle <= 0 {
		idle = time.Minute
	}
	b := &Transport{hosts: map[decide.ServerID]*host{}, byAddr: map[string]*host{}, made: time.Now(), idle: queue.New(), limit: limit, log: log,
		connectTimeout: s.ConnectTimeout, idleLimit: idle, coldWindow: s.OverloadTime, guard: g}
	b.room.Store(int64(roomPart * float64(memoryMB<<20)))
	return b
}

// Update applies a list of servers. The connections of servers that are no longer listed as ready, or whose address or
// start time has changed, are closed: a request on one of them would end with a reset.
func (b *Transport) Update(l core.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Full {
		b.lists++
		for _, e := range l.Entries {
			if h := b.hosts[e.ID]; h != nil {
				h.seen = b.lists
			}
		}
		for id, h := range b.hosts {
			if h.seen != b.lists {
				b.retire(h, l.StaleSince)
				delete(b.hosts, id)
			}
		}
	}
	for _, e := range l.Entries {
		h := b.hosts[e.ID]
		if h != nil && (e.State != decide.Ready || h.addr != e.Addr || e.StartedAt > h.started) {
			b.retire(h, l.StaleSince)
			delete(b.hosts, e.ID) // attempts that are connecting still refer to h, and find it closed
			h = nil
		}
		if h == nil && e.State == decide.Ready {
			b.hosts[e.ID] = b.join(&host{owner: b, addr: e.Addr, started: e.StartedAt})
		}
	}
}

// add adds a new host. If another host is still listed with the same address, the one that started earlier no longer
// exists, and is closed: requests meant for it would reach the other process.
func (b *Transport) join(n *host) *host {
	if h := b.byAddr[n.addr]; h != nil {
		if h.started > n.started {
			b.close(n)
			return n
		}
		b.retire(h, time.Time{})
	}
	b.byAddr[n.addr] = n
	return n
}

// retire closes a host and its idle connections. notified is the time from which this node may have counted as notified
// of the host's end, if that was before now, or zero; the guard then judges the attempts sent since.
func (b *Transport) retire(h *host, notified time.Time) {
	b.close(h)
	if last := h.sent.Load(); last > 0 {
		b.guard.SentBefore(b.made.Add(time.Duration(last)), notified)
	}
	if b.byAddr[h.addr] == h {
		delete(b.byAddr, h.addr)
	}
	b.closeAll(h)
}

// close marks a host as closed, from now on.
func (b *Transport) close(h *host) {
	h.closed = true
	h.off.Store(int64(max(1, time.Since(b.made))))
}

// dropIdle closes the idle connections of a host.
func (b *Transport) closeAll(h *host) {
	for _, c := range h.idle {
		b.drop(c)
	}
	h.idle = nil
}

// closeConn closes a connection and stops counting it as open.
func (b *Transport) drop(c *conn) {
	b.take(c)
	c.Close()
	b.open--
}

// unlinkIdle removes a connection from Transport.idleConns, if it is there. The caller removes it from the host's.
func (b *Transport) take(c *conn) {
	if c.place != nil {
		b.idle.Remove(c.place)
		c.place = nil
	}
}

// SetLimit sets the most connections that may be open. Idle ones above that number are closed at once.
func (b *Transport) SetLimit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.limit = n; b.open > b.limit && b.evict(); {
	}
}

// find returns the host that is listed with this id, or nil.
func (b *Transport) find(id decide.ServerID) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts[id]
}

// CloseIdle closes the idle connections to a server. It does nothing if the id is not listed.
func (b *Transport) CloseIdle(id decide.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[id]; h != nil {
		b.closeAll(h)
	}
}

// Run closes idle connections that have become unusable, every sweepInterval, until ctx ends. Then it closes all hosts
// and their idle connections.
func (b *Transport) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			b.mu.Lock()
			defer b.mu.Unlock()
			for _, h := range b.hosts {
				b.retire(h, time.Time{})
			}
			return
		case <-tick.C:
			b.sweep()
		}
	}
}

// sweep closes the idle connections that are no longer usable.
func (b *Transport) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if b.usable(c) {
				kept = append(kept, c)
			} else {
				b.drop(c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
}

// usable reports whether an idle connection may carry a request: it is open, has no unread data, and has not been idle
// for too long. A write to a connection that the backend has closed would succeed, and leave open whether the request
// ran.
func (b *Transport) usable(c *conn) bool {
	text, open := c.behind()
	limit := b.idleLimit
	if learned := b.learned.Longest(time.Since(b.made)); learned > 0 {
		limit = min(limit, learned)
	}
	return time.Since(c.since) < limit && open && text == ""
}

// pendingData returns the first bytes, as many as responseStart has, of data that arrived on the connection after the
// response that was read, and whether the connection is open. Such data belongs to no request, and would be taken for
// the response to the next one.
func (c *conn) behind() (text string, open bool) {
	if n := c.r.Buffered(); n > 0 {
		next, _ := c.r.Peek(min(n, len(httpStart)))
		return string(next), true
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return "", false
	}
	err = raw.Read(func(fd uintptr) bool {
		var next [len(httpStart)]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		text, open = string(next[:max(0, n)]), n > 0 || err == syscall.EAGAIN
		return true
	})
	return text, open && err == nil
}

var (
	errTooMany = errors.New("too many connections")
	errClosed  = errors.New("the backend drains or was removed")
	// errUnwanted: the request was over before its last byte was written.
	errUnwanted = errors.New("the request is already over")
)

// evict closes the connection that has been idle longest, to stay within maxConns. It returns false if none is idle.
func (b *Transport) evict() bool {
	e := b.idle.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*conn)
	h := c.host
	if i := slices.Index(h.idle, c); i >= 0 { // usually at 0; orders may differ by moments
		h.idle = slices.Delete(h.idle, i, i+1)
	}
	b.drop(c)
	return true
}

// release ends the use of a connection: it becomes idle if keep is set, its host is open and maxConns is not exceeded;
// otherwise it is closed.
func (b *Transport) release(h *host, c *conn, keep bool) {
	if keep {
		keep = c.SetDeadline(time.Time{}) == nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !keep || h.closed || b.open > b.limit {
		b.drop(c)
		return
	}
	c.since = time.Now()
	h.idle = append(h.idle, c)
	c.place = b.idle.PushBack(c)
}

// dropIdleIfUnresponsive closes a host's idle connections if no response has been received from it since the given
// time. A machine that was disconnected resets such connections when it is back, and each of them would cost a
// request.
func (b *Transport) silent(h *host, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.heard.Before(since) {
		b.closeAll(h)
	}
}

// do makes an exchange with a host and blocks until it has ended, or until the beginning of a long body has been read; the
// result then has a Rest. If ctx ends, the exchange is aborted. A nil host fails with decide.ConnectFailed.
func (b *Transport) do(ctx context.Context, h *host, x *core.Exchange) core.Result {
	if h == nil {
		return core.Result{Code: decide.ConnectFailed, Err: errClosed}
	}
	began := time.Now()
	c, err := b.connect(ctx, h, x)
	if err != nil {
		switch {
		case ctx.Err() != nil:
			return core.Result{Code: decide.Cancelled, Err: ctx.Err()}
		case x.Unwanted(core.LookAge):
			return core.Result{Code: decide.Moot, Err: errUnwanted}
		case errors.Is(err, errTooMany), shortOf(err): // a shortage of this node: not the backend's fault
			return core.Result{Code: decide.Moot, Err: err}
		}
		return core.Result{Code: decide.ConnectFailed, Err: err}
	}
	// Connecting takes time, in which the reasons for this attempt may have ceased to hold. Until its last byte is
	// written the request has not run, so that it can still be given up.
	admitted, refused := b.admit(ctx, h, x)
	if refused.Err != nil {
		b.release(h, c, true) // closes it if the server drains or was removed
		return refused
	}
	again, age := c.used, time.Since(c.since)
	c.used = true
	c.SetDeadline(x.Deadline)
	if !x.WriteBy.IsZero() && x.WriteBy.Before(x.Deadline) {
		c.SetWriteDeadline(x.WriteBy) // applies to the last byte too
	}
	c.until, c.ctx = x.Deadline, ctx
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	calledOff := c.callOffUnsent(x)
	r, a := b.roundTrip(ctx, c, x, admitted)
	if calledOff(r.Err) {
		r.Code = decide.Moot
	}
	// finish is called once the response is complete, has failed, or is no longer wanted.
	end := func(r *core.Result, keep bool) {
		stopped := stop()
		switch {
		case r.Err == nil:
			b.mu.Lock()
			h.heard = time.Now()
			if again {
				b.learned.Used(time.Since(b.made), age, false)
			}
			b.mu.Unlock()
		case r.Code == decide.ConnectFailed || r.Code == decide.Moot:
		case ctx.Err() != nil:
			r.Code = decide.Cancelled
		case errors.Is(r.Err, os.ErrDeadlineExceeded):
			r.Code = decide.TimedOut
		case again && brokenOff(r.Err):
			b.mu.Lock()
			b.learned.Used(time.Since(b.made), age, true)
			b.mu.Unlock()
		}
		b.release(h, c, keep && stopped && r.Err == nil)
		if r.Code == decide.TimedOut {
			b.silent(h, began)
		}
	}
	if r.Rest == nil {
		end(&r, a != nil && a.keep)
		return r
	}
	a.ctx, a.room, a.wholeBy = ctx, &b.room, x.Deadline
	if !x.Whole.IsZero() {
		a.wholeBy = x.Whole
	}
	a.end = func(err error, keep bool) decide.OutcomeCode {
		done := core.Result{Code: codeOf(ctx, err), Err: err}
		end(&done, keep)
		return done.Code
	}
	return r
}

// localShortage reports whether a connection failed because this node lacks descriptors, ports or memory.
func shortOf(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// closedByServer reports whether err means that the other side ended the connection.
func brokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// responseStart is the beginning of every HTTP/1 response.
const httpStart = "HTTP/1."

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// roundTrip writes a request and reads its response, or as much of it as is needed to start streaming the body; the
// result then has a Rest. It also returns the body, or nil if none was read. admitted is the attempt as the guard
// admitted it.
func (b *Transport) roundTrip(ctx context.Context, c *conn, x *core.Exchange, admitted guard.Attempt) (core.Result, *answer) {
	if x.Upload != nil && x.Upload.Spent {
		return core.Result{Code: decide.Moot, Err: errors.New("an earlier attempt has consumed a part of the client's body")}, nil
	}
	text := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(text)
	text.Reset()
	x.WriteHTTP(text)
	if _, err := c.Write(text.Bytes()); err != nil {
		// The last byte was not written, so the request has not run.
		return core.Result{Code: decide.ConnectFailed, Err: err}, nil
	}
	if x.Upload != nil {
		if r := b.upload(ctx, c, x); r.Err != nil {
			return r, nil
		}
	}
	if x.Written != nil {
		x.Written()
	}
	b.written(c.host, x, admitted)
	c.left = headLimit                     // http.ReadResponse itself does not bound the header
	req := &http.Request{Method: x.Method} // ReadResponse uses only its method
	resp, err := http.ReadResponse(c.r, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(c.r, req) // the previous one was an interim response
	}
	if err == nil && resp.StatusCode < 200 {
		err = errors.New("the backend switched to another protocol")
	}
	if err != nil {
		return core.Result{Code: decide.Reset, Err: err}, nil
	}
	a, err := newAnswer(c, resp)
	if err != nil {
		return core.Result{Code: decide.Reset, Err: err}, nil
	}
	body, rest, err := a.begin()
	if err == nil && rest && resp.StatusCode != http.StatusOK {
		err = errTooLarge // a long error response is of no use to the client
	}
	if err != nil {
		return core.Result{Code: decide.Reset, Err: err}, nil
	}
	r := core.Result{Code: decide.ServerError, Report: parseReport(resp.Header.Get("X-Backend-Load")), Header: resp.Header, Body: body}
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		r.Code = decide.OK
		if rest {
			r.Rest, r.Length = a, resp.ContentLength
		}
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && resp.Header.Get("X-Unprocessed") == "1":
		r.Code = decide.Full
	case status >= 400 && status < 500:
		r.Code, r.Client = decide.Cancelled, status
	}
	return r, a
}

// parseReport parses a load report, "name=value" fields separated by commas. It returns nil if any field is malformed
// or out of range, or if no field is known.
func parseReport(text string) *decide.Report {
	var r decide.Report
	known := false
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= loadLimit) {
			return nil
		}
		known = wire.SetReport(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}

// Find implements core.Transport.
func (b *Transport) Find(id decide.ServerID) core.Server {
	if h := b.find(id); h != nil {
		return h
	}
	return nil
}

// Do implements core.Server.
func (h *host) Do(ctx context.Context, x *core.Exchange) core.Result { return h.owner.do(ctx, h, x) }

// Probe implements core.Server.
func (h *host) Probe(ctx context.Context, path string) core.Result {
	return h.owner.probe(ctx, h, path)
}

// probe sends a health check to a backend. The load report comes in the header of the response, or else in its body.
func (b *Transport) probe(ctx context.Context, h *host, path string) core.Result {
	r := b.do(ctx, h, &core.Exchange{Method: http.MethodGet, URL: &url.URL{Path: path, Host: "api.internal"}, Deadline: time.Now().Add(probeWait), Probe: true})
	if r.Report == nil && r.Code == decide.OK {
		r.Report = parseReport(string(r.Body))
	}
	return r
}
