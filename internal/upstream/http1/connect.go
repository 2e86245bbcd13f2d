package http1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"starlingvalve/internal/core"
	"starlingvalve/internal/upstream/reuse"
)

// connect returns a connection to a host for one request: an idle one, an idle one after waiting for its cooldown to end,
// or a new one. If the handshake of a new one fails, a connection that has become idle in the meantime is used. It
// fails with errTooManyConns if the node or its share for this host has no capacity left; that is no fault of the
// server.
func (b *Transport) connect(ctx context.Context, h *host, x *core.Exchange) (*conn, error) {
	var failed error
	for {
		c, next, err := b.choose(h, writtenBy(x), failed != nil)
		switch {
		case err != nil && failed != nil:
			return nil, failed
		case err != nil:
			return nil, err
		case next.Step == reuse.Dial:
			if c, err = b.dial(ctx, h, x); err == nil {
				return c, nil
			}
			if failed = err; ctx.Err() != nil || x.Unwanted(core.LookAge) || !time.Now().Before(x.Deadline) {
				return nil, err
			}
			continue
		}
		if next.Grow {
			go b.grow(h)
		}
		if err := awaitRest(ctx, x, next.Wait); err != nil {
			b.putBack(h, c)
			return nil, err
		}
		if c, err = b.checkTaken(h, c); c != nil || err != nil {
			return c, err
		}
	}
}

// writeDeadline returns the time by which a request must have been written completely.
func writtenBy(x *core.Exchange) time.Time {
	if !x.WriteBy.IsZero() && x.WriteBy.Before(x.Deadline) {
		return x.WriteBy
	}
	return x.Deadline
}

// choose decides how the next request to a host gets its connection. If that is an idle one, choose returns it and removes
// it from the idle connections; for a new one it returns nil, and has counted the dial. writeBy is when the request must
// have been written. noDial is set after a failed handshake: there is no second one, and only an idle connection will
// do.
func (b *Transport) choose(h *host, by time.Time, noDial bool) (*conn, reuse.Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return nil, reuse.Decision{}, errClosed
	}
	h.states = h.states[:0]
	for _, c := range h.idle {
		h.states = append(h.states, reuse.Idle{Used: c.used, For: time.Since(c.since)})
	}
	next := h.reuse.Choose(time.Since(b.made), h.states, time.Until(by))
	if next.Step != reuse.Dial {
		c := h.idle[next.Index]
		h.idle = slices.Delete(h.idle, next.Index, next.Index+1)
		b.take(c)
		if next.Grow = next.Grow && !noDial && h.dials == 0 && b.open < b.limit; next.Grow {
			b.countDial(h)
		}
		return c, next, nil
	}
	if noDial || !b.mayDial(h) {
		return nil, next, errTooMany
	}
	b.countDial(h)
	return nil, next, nil
}

// mayDial reports whether one more connection to h may be made. If maxConns is reached it closes an idle connection,
// of any host, to stay within that.
func (b *Transport) mayDial(h *host) bool {
	return h.dials < max(2, b.limit/dialPart) && (b.open < b.limit || b.evict())
}

// countDial counts a connection to h as open and being made.
func (b *Transport) countDial(h *host) {
	b.open++
	h.dials++
}

// awaitCooldown waits for the given time, the remaining cooldown of a connection. It returns early, with an error, if
// the request ends.
func awaitRest(ctx context.Context, x *core.Exchange, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var over <-chan struct{}
	if x.Wanted != nil {
		over = x.Wanted.Done()
	}
	select {
	case <-ctx.Done():
	case <-over:
	case <-timer.C:
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case x.Wanted != nil && x.Wanted.Err() != nil:
		return errUnwanted
	}
	return nil
}

// revalidate returns c, which choose took from the idle connections, if it can still be used. Otherwise it closes c and
// returns nil, with errClosed if the host is closed, or without an error if another connection should be chosen.
func (b *Transport) checkTaken(h *host, c *conn) (*conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case h.closed:
		b.drop(c)
		return nil, errClosed
	case !b.usable(c):
		b.drop(c)
		return nil, nil
	}
	return c, nil
}

// putBack returns a connection, on which nothing has been written, to the idle ones. It keeps its idleSince, and its
// place in their order. It is closed instead if the host is closed or maxConns is exceeded.
func (b *Transport) putBack(h *host, c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || b.open > b.limit {
		b.drop(c)
		return
	}
	at, _ := slices.BinarySearchFunc(h.idle, c, func(a, b *conn) int { return a.since.Compare(b.since) })
	h.idle = slices.Insert(h.idle, at, c)
	c.place = b.idle.PushBack(c)
}

// dial makes a connection for one request; choose has counted it. It gives up when the request ends.
func (b *Transport) dial(ctx context.Context, h *host, x *core.Exchange) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	if x.Wanted != nil {
		defer context.AfterFunc(x.Wanted, cancel)()
	}
	return b.handshake(ctx, h)
}

// addConn makes an idle connection for later requests; choose has counted it.
func (b *Transport) grow(h *host) {
	if c, err := b.handshake(context.Background(), h); err == nil {
		b.release(h, c, true)
	}
}

// handshake makes a connection within connectTimeout. If it fails, the connection is no longer counted as open.
func (b *Transport) handshake(ctx context.Context, h *host) (*conn, error) {
	began := time.Now()
	d := net.Dialer{Timeout: b.connectTimeout}
	tcp, err := d.DialContext(ctx, "tcp", h.addr)
	b.mu.Lock()
	defer b.mu.Unlock()
	h.dials--
	if err != nil {
		b.open--
		if ctx.Err() == nil {
			h.reuse.Dialled(b.connectTimeout)
		}
		return nil, err
	}
	now := time.Now()
	h.reuse.Dialled(now.Sub(began))
	c := &conn{Conn: tcp, host: h, since: now}
	c.r = bufio.NewReader(c)
	return c, nil
}
