// Package http1 is the transport to servers that speak HTTP/1.1 over plain TCP.
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
	bodyLimit  = 64 << 10 // bytes of an answer's body that are held until it is whole
	headLimit  = 64 << 10 // of an answer's header, with what interim answers come before it
	roomPart   = 1.0 / 8  // of the memory: buffers of answers that are passed on as they come
	sweepEvery = time.Second
	idlePart   = 0.75 // of the time after which a backend closes an idle connection: well before, it is retired
	probeWait  = 500 * time.Millisecond

	dialPart  = 8   // one backend's share of all connections that may be in the making
	loadLimit = 1e6 // more than any figure of a load report can be
)

// Transport holds the connections to all Transport. Each carries one request at a time; the most recently used
// goes first. It does not use http.Transport, which sends some requests again by itself.
type Transport struct {
	mu             sync.Mutex
	hosts          map[decide.ServerID]*host
	byAddr         map[string]*host // those that are not closed
	lists          int              // whole lists so far
	learned        idle.Limit       // after how long idle connections turn out to be closed
	made           time.Time        // the zero of its clock
	idle           *queue.List      // of all hosts' idle connections, *conn, the least recently used first
	open, limit    int              // connections, also those being made
	room           atomic.Int64     // bytes that are free for the buffers of long answers
	connectTimeout time.Duration
	idleLimit      time.Duration
	coldWindow     time.Duration // in which attempts at a server in slow start are counted
	guard          *guard.Guard
	log            *slog.Logger
}

// host is one backend, a core.Server. The fields are under the lock of Transport.
type host struct {
	owner   *Transport
	addr    string
	started decide.Time
	closed  bool         // it drains or is gone: nothing new is written to it
	off     atomic.Int64 // since when, in ns on the owner's clock; 0: it is not closed
	sent    atomic.Int64 // the latest attempt's first byte, on the same clock
	cold    []time.Time  // attempts of the present window of its slow start
	idle    []*conn      // the least recently used first
	dials   int          // under way
	reuse   reuse.Server
	states  []reuse.Idle // room for idle's states
	heard   time.Time
	seen    int // the last whole list that it was in
}

type conn struct {
	net.Conn
	host  *host
	place *queue.Element // among all idle connections, while it is idle
	r     *bufio.Reader
	left  int64           // what may still come on one answer
	short bool            // the last read had room for more than there was
	pause time.Duration   // a read that brings nothing for so long gives errPause, and can be tried again; 0: none does
	since time.Time       // made, or idle since
	used  bool            // it has carried an exchange
	until time.Time       // the exchange's deadline
	ctx   context.Context // the exchange's
}

// Read is what r reads by: no more than may still come.
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

var errPause = errors.New("nothing comes for the moment")

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

// New makes a transport without servers; Update gives it some. memoryMB is the node's memory in MiB, of which roomPart is
// granted to buffers of answers that are passed on as they come. limit is the most connections that are open at once, to
// all servers together. Idle connections are kept for idlePart of s.ConnIdle, or for a minute if that is not set. Each attempt
// passes g right before its first byte.
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

// Update follows the list. Connections of an address or a process that is no more are closed: a request on one
// of them would be a reset.
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
			delete(b.hosts, e.ID) // attempts that connect to it still hold h, and find it closed
			h = nil
		}
		if h == nil && e.State == decide.Ready {
			b.hosts[e.ID] = b.join(&host{owner: b, addr: e.Addr, started: e.StartedAt})
		}
	}
}

// join takes in a new backend. If another is still listed at its address, the one that started first is no more:
// what is sent to it would reach the other.
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

// retire closes a host. notified is since when the process may have counted as notified, if that is earlier than now.
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

func (b *Transport) close(h *host) {
	h.closed = true
	h.off.Store(int64(max(1, time.Since(b.made))))
}

func (b *Transport) closeAll(h *host) {
	for _, c := range h.idle {
		b.drop(c)
	}
	h.idle = nil
}

func (b *Transport) drop(c *conn) {
	b.take(c)
	c.Close()
	b.open--
}

// take notes that a connection is idle no more.
func (b *Transport) take(c *conn) {
	if c.place != nil {
		b.idle.Remove(c.place)
		c.place = nil
	}
}

// SetLimit changes how many connections may be open. Idle ones beyond it are closed.
func (b *Transport) SetLimit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.limit = n; b.open > b.limit && b.evict(); {
	}
}

func (b *Transport) find(id decide.ServerID) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts[id]
}

// CloseIdle closes the idle connections to a server. One that it does not know is passed over.
func (b *Transport) CloseIdle(id decide.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[id]; h != nil {
		b.closeAll(h)
	}
}

// Run retires idle connections until ctx ends, and then closes them all.
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

// usable tells whether an idle connection may take a request: young enough, and quiet. A write to one that the
// backend has closed would succeed, and then leave open whether the request ran.
func (b *Transport) usable(c *conn) bool {
	text, open := c.behind()
	limit := b.idleLimit
	if learned := b.learned.Longest(time.Since(b.made)); learned > 0 {
		limit = min(limit, learned)
	}
	return time.Since(c.since) < limit && open && text == ""
}

// behind gives the beginning of what has come on a connection beyond the answer that was read, and tells whether
// the connection is open. That text belongs to no request, and would be taken for the next one's answer.
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
	errClosed  = errors.New("the backend drains or is gone")
	// errUnwanted: the request was over before anything of it was written.
	errUnwanted = errors.New("nobody waits for it any more")
)

// evict makes room at the bound by closing the connection that has been idle longest.
func (b *Transport) evict() bool {
	e := b.idle.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*conn)
	h := c.host
	if i := slices.Index(h.idle, c); i >= 0 { // the first, but for moments of the clock
		h.idle = slices.Delete(h.idle, i, i+1)
	}
	b.drop(c)
	return true
}

// release gives a connection back, for the next request or to be closed.
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

// silent closes a host's idle connections if nothing has come from it since a time: a machine that was cut off
// and is back resets them, and each of them would cost a request.
func (b *Transport) silent(h *host, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.heard.Before(since) {
		b.closeAll(h)
	}
}

// do makes an exchange and blocks until it is over. An end of ctx calls it off.
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
		case errors.Is(err, errTooMany), shortOf(err): // not the backend's fault
			return core.Result{Code: decide.Moot, Err: err}
		}
		return core.Result{Code: decide.ConnectFailed, Err: err}
	}
	// Connecting takes time: what made this attempt right may no longer hold, and until the last byte is
	// written it has not run.
	admitted, refused := b.admit(ctx, h, x)
	if refused.Err != nil {
		b.release(h, c, true) // which closes it, if the server drains or is gone
		return refused
	}
	again, age := c.used, time.Since(c.since)
	c.used = true
	c.SetDeadline(x.Deadline)
	if !x.WriteBy.IsZero() && x.WriteBy.Before(x.Deadline) {
		c.SetWriteDeadline(x.WriteBy) // the last byte too
	}
	c.until, c.ctx = x.Deadline, ctx
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	calledOff := c.callOffUnsent(x)
	r, a := b.roundTrip(ctx, c, x, admitted)
	if calledOff(r.Err) {
		r.Code = decide.Moot
	}
	// end is called once all of the answer is in, or none more is wanted.
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

// shortOf tells whether the node itself lacks what a connection takes: a descriptor, a port, memory.
func shortOf(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// brokenOff tells whether the other side ended the connection.
func brokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const httpStart = "HTTP/1."

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// roundTrip writes a request and reads its answer, or so much of it that it can go on: then the result has a Rest. What it gives
// besides is the answer's body; nil: there is none.
func (b *Transport) roundTrip(ctx context.Context, c *conn, x *core.Exchange, admitted guard.Attempt) (core.Result, *answer) {
	if x.Upload != nil && x.Upload.Spent {
		return core.Result{Code: decide.Moot, Err: errors.New("a part of the client's body is gone")}, nil
	}
	text := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(text)
	text.Reset()
	x.WriteHTTP(text)
	if _, err := c.Write(text.Bytes()); err != nil {
		return core.Result{Code: decide.ConnectFailed, Err: err}, nil // its last byte was not written
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
	c.left = headLimit                     // http.ReadResponse itself takes a header of any size
	req := &http.Request{Method: x.Method} // of it ReadResponse looks at the method only
	resp, err := http.ReadResponse(c.r, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(c.r, req) // that was an interim answer
	}
	if err == nil && resp.StatusCode < 200 {
		err = errors.New("the backend speaks another protocol")
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
		err = errTooLarge // of no use to anybody
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

// parseReport reads a load report. One that does not make sense in all its parts, or has no known field, is none.
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

// Find is core.Transport's.
func (b *Transport) Find(id decide.ServerID) core.Server {
	if h := b.find(id); h != nil {
		return h
	}
	return nil
}

// Do is core.Server's.
func (h *host) Do(ctx context.Context, x *core.Exchange) core.Result { return h.owner.do(ctx, h, x) }

// Probe is core.Server's.
func (h *host) Probe(ctx context.Context, path string) core.Result {
	return h.owner.probe(ctx, h, path)
}

// probe asks a backend how it is.
func (b *Transport) probe(ctx context.Context, h *host, path string) core.Result {
	r := b.do(ctx, h, &core.Exchange{Method: http.MethodGet, URL: &url.URL{Path: path, Host: "api.internal"}, Deadline: time.Now().Add(probeWait), Probe: true})
	if r.Report == nil && r.Code == decide.OK {
		r.Report = parseReport(string(r.Body))
	}
	return r
}
