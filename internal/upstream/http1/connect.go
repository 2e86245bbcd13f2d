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

// connect returns a connection to a host for one request: an idle one, an idle one after waiting for its cooldown to
// end, or a new one. If the handshake of a new one fails, a connection that has become idle in the meantime is used. It
// fails with errTooManyConns if the node or its share for this host has no capacity left; that is no fault of the
// server.
func (t *Transport) connect(ctx context.Context, host *host, exchange *core.Exchange) (*conn, error) {
	var dialErr error
	for {
		conn, decision, err := t.choose(host, writeDeadline(exchange), dialErr != nil)
		switch {
		case err != nil && dialErr != nil:
			return nil, dialErr
		case err != nil:
			return nil, err
		case decision.Step == reuse.Dial:
			if conn, err = t.dial(ctx, host, exchange); err == nil {
				return conn, nil
			}
			if dialErr = err; ctx.Err() != nil || exchange.RequestOver(core.MaxClientCheckAge) ||
				!time.Now().Before(exchange.Deadline) {
				return nil, err
			}
			continue
		}
		if decision.AddConn {
			go t.addConn(host)
		}
		if err := awaitCooldown(ctx, exchange, decision.Wait); err != nil {
			t.putBack(host, conn)
			return nil, err
		}
		if conn, err = t.revalidate(host, conn); conn != nil || err != nil {
			return conn, err
		}
	}
}

// writeDeadline returns the time by which a request must have been written completely.
func writeDeadline(exchange *core.Exchange) time.Time {
	if !exchange.WriteBy.IsZero() && exchange.WriteBy.Before(exchange.Deadline) {
		return exchange.WriteBy
	}
	return exchange.Deadline
}

// choose decides how the next request to a host gets its connection. If that is an idle one, choose returns it and
// removes it from the idle connections; for a new one it returns nil, and has counted the dial. writeBy is when the
// request must have been written. noDial is set after a failed handshake: there is no second one, and only an idle
// connection will do.
func (t *Transport) choose(host *host, writeBy time.Time, noDial bool) (*conn, reuse.Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if host.closed {
		return nil, reuse.Decision{}, errClosed
	}
	host.idleStates = host.idleStates[:0]
	for _, conn := range host.idleConns {
		host.idleStates = append(host.idleStates, reuse.Idle{Used: conn.used, IdleTime: time.Since(conn.idleSince)})
	}
	decision := host.reuse.Choose(time.Since(t.clockStart), host.idleStates, time.Until(writeBy))
	if decision.Step != reuse.Dial {
		conn := host.idleConns[decision.Index]
		host.idleConns = slices.Delete(host.idleConns, decision.Index, decision.Index+1)
		t.unlinkIdle(conn)
		if decision.AddConn = decision.AddConn && !noDial && host.dialing == 0 &&
			t.openConns < t.maxConns; decision.AddConn {
			t.countDial(host)
		}
		return conn, decision, nil
	}
	if noDial || !t.mayDial(host) {
		return nil, decision, errTooManyConns
	}
	t.countDial(host)
	return nil, decision, nil
}

// mayDial reports whether one more connection to a host may be made. If maxConns is reached it closes an idle
// connection, of any host, to stay within that.
func (t *Transport) mayDial(h *host) bool {
	return h.dialing < max(2, t.maxConns/dialDivisor) && (t.openConns < t.maxConns || t.evict())
}

// countDial counts a connection to a host as open and being made.
func (t *Transport) countDial(h *host) {
	t.openConns++
	h.dialing++
}

// awaitCooldown waits for the given time, the remaining cooldown of a connection. It returns early, with an error, if
// the request ends.
func awaitCooldown(ctx context.Context, exchange *core.Exchange, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var over <-chan struct{}
	if exchange.RequestContext != nil {
		over = exchange.RequestContext.Done()
	}
	select {
	case <-ctx.Done():
	case <-over:
	case <-timer.C:
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case exchange.RequestContext != nil && exchange.RequestContext.Err() != nil:
		return errRequestOver
	}
	return nil
}

// revalidate returns c, which choose took from the idle connections, if it can still be used. Otherwise it closes c and
// returns nil, with errClosed if the host is closed, or without an error if another connection should be chosen.
func (t *Transport) revalidate(h *host, c *conn) (*conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case h.closed:
		t.closeConn(c)
		return nil, errClosed
	case !t.usable(c):
		t.closeConn(c)
		return nil, nil
	}
	return c, nil
}

// putBack returns a connection, on which nothing has been written, to the idle ones. It keeps its idleSince, and its
// place in their order. It is closed instead if the host is closed or maxConns is exceeded.
func (t *Transport) putBack(h *host, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.closed || t.openConns > t.maxConns {
		t.closeConn(c)
		return
	}
	at, _ := slices.BinarySearchFunc(h.idleConns, c, func(a, t *conn) int { return a.idleSince.Compare(t.idleSince) })
	h.idleConns = slices.Insert(h.idleConns, at, c)
	c.idleElement = t.idleConns.PushBack(c)
}

// dial makes a connection for one request; choose has counted it. It gives up when the request ends.
func (t *Transport) dial(ctx context.Context, h *host, exchange *core.Exchange) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, exchange.Deadline)
	defer cancel()
	if exchange.RequestContext != nil {
		defer context.AfterFunc(exchange.RequestContext, cancel)()
	}
	return t.handshake(ctx, h)
}

// addConn makes an idle connection for later requests; choose has counted it.
func (t *Transport) addConn(h *host) {
	if c, err := t.handshake(context.Background(), h); err == nil {
		t.release(h, c, true)
	}
}

// handshake makes a connection within connectTimeout. If it fails, the connection is no longer counted as open.
func (t *Transport) handshake(ctx context.Context, host *host) (*conn, error) {
	began := time.Now()
	dialer := net.Dialer{Timeout: t.connectTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", host.addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	host.dialing--
	if err != nil {
		t.openConns--
		if ctx.Err() == nil {
			host.reuse.RecordDial(t.connectTimeout)
		}
		return nil, err
	}
	now := time.Now()
	host.reuse.RecordDial(now.Sub(began))
	c := &conn{Conn: tcp, host: host, idleSince: now}
	c.reader = bufio.NewReader(c)
	return c, nil
}
