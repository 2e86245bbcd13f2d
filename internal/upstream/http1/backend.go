// Package http1 is the transport to backends that speak HTTP/1.1 over plain TCP: it sends attempts and probes, and
// keeps a pool of connections.
package http1

import (
	queue "container/list"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/relay"
	"starlingvalve/internal/upstream/idle"
	"starlingvalve/internal/upstream/reuse"
)

const (
	// maxHeaderSize bounds the header of a response in bytes, including interim (1xx) responses before it.
	maxHeaderSize = 64 << 10
	sweepInterval = time.Second
	// idleFraction is the part of a backend's own idle timeout after which the node closes an idle connection: well
	// before the backend does.
	idleFraction = 0.75
	probeTimeout = 500 * time.Millisecond
	// maxCopiedBody is the size of the largest body, in bytes, that is copied behind its head, to be written at once.
	maxCopiedBody = 4 << 10

	// dialDivisor: at most one in so many of all connections may be in the making to one backend.
	dialDivisor = 8
	// maxLoadValue is above any value that a valid load report can hold.
	maxLoadValue = 1e6
)

// Transport implements core.Transport. It holds the connections to all backends. Each connection carries one request
// at a time, and the one used last is reused first. It does not use http.Transport, which resends some requests by
// itself.
type Transport struct {
	// OnAnswerEnd, if set before the first exchange, is called with the end of the body of each answer.
	OnAnswerEnd func(relay.End)

	mu                  sync.Mutex
	hosts               map[decide.ServerID]*host
	byAddr              map[string]*host // hosts that are not closed
	fullLists           int              // number of full lists received so far
	learnedIdle         idle.Limit       // the idle time after which servers have been found to close connections
	clockStart          time.Time        // zero of the clock that durations since the start refer to
	idleConns           *queue.List      // idle connections (*conn) of all hosts, the least recently used first
	openConns, maxConns int              // connections that are open or being made, and the most allowed
	memory              *memory.Account
	connectTimeout      time.Duration
	maxIdle             time.Duration
	slowStartWindow     time.Duration // period over which attempts at a server in slow start are counted
	guard               *guard.Guard
	log                 *slog.Logger
}

// host is one backend, and implements core.Server. Its fields are guarded by Transport.mu, except the atomic ones.
type host struct {
	transport      *Transport
	addr           string
	startedAt      decide.Time
	closed         bool         // it drains or was removed: no new request is written to it
	closedAt       atomic.Int64 // when it was closed, in ns since Transport.clockStart; 0 if it is open
	lastSentAt     atomic.Int64 // when the first byte of the latest attempt was written, on the same clock
	slowStartSends []time.Time  // attempts during slow start, within the last slowStartWindow
	idleConns      []*conn      // idle connections, the least recently used first
	dialing        int          // connections being made
	reuse          reuse.Server
	idleStates     []reuse.Idle // reused buffer for the states of idleConns
	lastResponseAt time.Time    // when the latest response was received
	lastFullList   int          // number of the latest full list that contained it
}

// New returns a transport without servers; Update supplies them. It holds bodies and buffers within account; nil: without
// limit. maxConns is the most connections open at once, to all
// servers together. Idle connections are kept for idleFraction of settings.ConnIdle, or for a minute if that is not
// set. Each attempt needs the consent of g right before its first byte.
func New(settings decide.Settings, account *memory.Account, maxConns int, g *guard.Guard, log *slog.Logger) *Transport {
	maxIdle := time.Duration(float64(settings.ConnIdle) * idleFraction)
	if maxIdle <= 0 {
		maxIdle = time.Minute
	}
	transport := &Transport{hosts: map[decide.ServerID]*host{}, byAddr: map[string]*host{}, clockStart: time.Now(),
		idleConns: queue.New(), maxConns: maxConns, memory: account, log: log,
		connectTimeout: settings.ConnectTimeout, maxIdle: maxIdle, slowStartWindow: settings.OverloadTime, guard: g}
	return transport
}

// Update applies a list of servers. The connections of servers that are no longer listed as ready, or whose address or
// start time has changed, are closed: a request on one of them would end with a reset.
func (t *Transport) Update(list core.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Full {
		t.fullLists++
		for _, entry := range list.Entries {
			if existing := t.hosts[entry.ID]; existing != nil {
				existing.lastFullList = t.fullLists
			}
		}
		for id, existing := range t.hosts {
			if existing.lastFullList != t.fullLists {
				t.retire(existing, list.StaleSince)
				delete(t.hosts, id)
			}
		}
	}
	for _, entry := range list.Entries {
		existing := t.hosts[entry.ID]
		if existing != nil && (entry.State != decide.Ready || existing.addr != entry.Addr ||
			entry.StartedAt > existing.startedAt) {
			t.retire(existing, list.StaleSince)
			delete(t.hosts, entry.ID) // attempts that are connecting still use it, and find it closed
			existing = nil
		}
		if existing == nil && entry.State == decide.Ready {
			t.hosts[entry.ID] = t.add(&host{transport: t, addr: entry.Addr, startedAt: entry.StartedAt})
		}
	}
}

// add adds a new host. If another host is still listed with the same address, the one that started earlier no longer
// exists, and is closed: requests meant for it would reach the other process.
func (t *Transport) add(added *host) *host {
	if present := t.byAddr[added.addr]; present != nil {
		if present.startedAt > added.startedAt {
			t.close(added)
			return added
		}
		t.retire(present, time.Time{})
	}
	t.byAddr[added.addr] = added
	return added
}

// retire closes a host and its idle connections. notified is the time from which this node may have counted as notified
// of the host's end, if that was before now, or zero; the guard then judges the attempts sent since.
func (t *Transport) retire(h *host, notified time.Time) {
	t.close(h)
	if last := h.lastSentAt.Load(); last > 0 {
		t.guard.RecordSentBefore(t.clockStart.Add(time.Duration(last)), notified)
	}
	if t.byAddr[h.addr] == h {
		delete(t.byAddr, h.addr)
	}
	t.dropIdle(h)
}

// close marks a host as closed, from now on.
func (t *Transport) close(h *host) {
	h.closed = true
	h.closedAt.Store(int64(max(1, time.Since(t.clockStart))))
}

// dropIdle closes the idle connections of a host.
func (t *Transport) dropIdle(h *host) {
	for _, c := range h.idleConns {
		t.closeConn(c)
	}
	h.idleConns = nil
}

// closeConn closes a connection and stops counting it as open.
func (t *Transport) closeConn(c *conn) {
	t.unlinkIdle(c)
	c.Close()
	t.openConns--
}

// unlinkIdle removes a connection from Transport.idleConns, if it is there. The caller removes it from the host's.
func (t *Transport) unlinkIdle(c *conn) {
	if c.idleElement != nil {
		t.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// SetLimit sets the most connections that may be open. Idle ones above that number are closed at once.
func (t *Transport) SetLimit(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.maxConns = n; t.openConns > t.maxConns && t.evict(); {
	}
}

// find returns the host that is listed with this id, or nil.
func (t *Transport) find(id decide.ServerID) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[id]
}

// CloseIdle closes the idle connections to a server. It does nothing if the id is not listed.
func (t *Transport) CloseIdle(id decide.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[id]; h != nil {
		t.dropIdle(h)
	}
}

// Run closes idle connections that have become unusable, every sweepInterval, until ctx ends. Then it closes all hosts
// and their idle connections.
func (t *Transport) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			t.mu.Lock()
			defer t.mu.Unlock()
			for _, h := range t.hosts {
				t.retire(h, time.Time{})
			}
			return
		case <-tick.C:
			t.sweep()
		}
	}
}

// sweep closes the idle connections that are no longer usable.
func (t *Transport) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		kept := h.idleConns[:0]
		for _, c := range h.idleConns {
			if t.usable(c) {
				kept = append(kept, c)
			} else {
				t.closeConn(c)
			}
		}
		clear(h.idleConns[len(kept):])
		h.idleConns = kept
	}
}

// usable reports whether an idle connection may carry a request: it is open, has no unread data, and has not been idle
// for too long. A write to a connection that the backend has closed would succeed, and leave open whether the request
// ran.
func (t *Transport) usable(c *conn) bool {
	pending, open := c.pendingData()
	limit := t.maxIdle
	if learned := t.learnedIdle.MaxIdle(time.Since(t.clockStart)); learned > 0 {
		limit = min(limit, learned)
	}
	return time.Since(c.idleSince) < limit && open && pending == ""
}

var (
	errTooManyConns = errors.New("too many connections")
	errClosed       = errors.New("the backend drains or was removed")
	// errRequestOver: the request was over before its last byte was written.
	errRequestOver = errors.New("the request is already over")
)

// evict closes the connection that has been idle longest, to stay within maxConns. It returns false if none is idle.
func (t *Transport) evict() bool {
	oldest := t.idleConns.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*conn)
	h := c.host
	if i := slices.Index(h.idleConns, c); i >= 0 { // usually at 0; orders may differ by moments
		h.idleConns = slices.Delete(h.idleConns, i, i+1)
	}
	t.closeConn(c)
	return true
}

// release ends the use of a connection: it becomes idle if keep is set, its host is open and maxConns is not exceeded;
// otherwise it is closed.
func (t *Transport) release(h *host, c *conn, keep bool) {
	if keep {
		keep = c.SetDeadline(time.Time{}) == nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !keep || h.closed || t.openConns > t.maxConns {
		t.closeConn(c)
		return
	}
	c.idleSince = time.Now()
	h.idleConns = append(h.idleConns, c)
	c.idleElement = t.idleConns.PushBack(c)
}

// dropIdleIfUnresponsive closes a host's idle connections if no response has been received from it since the given
// time. A machine that was disconnected resets such connections when it is back, and each of them would cost a
// request.
func (t *Transport) dropIdleIfUnresponsive(h *host, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.lastResponseAt.Before(since) {
		t.dropIdle(h)
	}
}

// Find implements core.Transport.
func (t *Transport) Find(id decide.ServerID) core.Server {
	if h := t.find(id); h != nil {
		return h
	}
	return nil
}

// Do implements core.Server.
func (h *host) Do(ctx context.Context, exchange *core.Exchange) core.Result {
	return h.transport.do(ctx, h, exchange)
}

// Probe implements core.Server.
func (h *host) Probe(ctx context.Context, path string) core.Result {
	return h.transport.probe(ctx, h, path)
}

// probe sends a health check to a backend. The load report comes in the header of the response, or else in its body.
func (t *Transport) probe(ctx context.Context, h *host, path string) core.Result {
	result := t.do(ctx, h, &core.Exchange{Method: http.MethodGet, URL: &url.URL{Path: path, Host: "api.internal"},
		Deadline: time.Now().Add(probeTimeout), Probe: true})
	result.Held.Release()
	if result.Report == nil && result.Code == decide.OK {
		result.Report = parseReport(string(result.Body))
	}
	return result
}
