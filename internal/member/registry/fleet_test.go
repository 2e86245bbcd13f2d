package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

const (
	discoveryTimeout = 2 * time.Second // a call that would be queued for longer is refused
	missedWithin     = 2 * time.Second // after the wait of an unanswered call, to receive what was missed
)

// queuedDiscovery is one discovery service for all nodes, in the virtual time of a synctest bubble. It processes the
// calls that start watches one after the other, and holds those that continue watches until there is a change.
type queuedDiscovery struct {
	perCall time.Duration

	mu      sync.Mutex
	freeAt  time.Time
	version int
	silent  bool          // calls that continue a watch are not answered
	changed chan struct{} // closed when the version changes
}

// nodeClient is the transport by which one node calls the discovery service. It records what that node has received.
type nodeClient struct {
	*queuedDiscovery
	unansweredWait time.Duration        // the wait of its first call that was not answered
	receivedAt     map[uint64]time.Time // when each version was first received
	watchedAt      time.Time            // when it made its first call that continues a watch
	err            error                // the error that ended the watch
}

// RoundTrip implements http.RoundTripper.
func (c *nodeClient) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Query().Get("timeout_ms") == "1" || !r.URL.Query().Has("since") {
		return c.first(r.Context())
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	silent, changed := c.silent, c.changed
	if c.watchedAt.IsZero() {
		c.watchedAt = time.Now()
	}
	if c.silent && c.unansweredWait == 0 {
		c.unansweredWait = wait
	}
	c.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-changed:
	case <-time.After(wait):
	}
	return c.list(), nil
}

// first answers a call that starts a watch, in turn, or refuses it if the queue is too long.
func (q *queuedDiscovery) first(ctx context.Context) (*http.Response, error) {
	q.mu.Lock()
	now := time.Now()
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	answerAt := q.freeAt.Add(q.perCall)
	if answerAt.Sub(now) > discoveryTimeout {
		q.mu.Unlock()
		return response(http.StatusServiceUnavailable, ""), nil
	}
	q.freeAt = answerAt
	q.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Until(answerAt)):
	}
	return q.list(), nil
}

// list answers with the present version.
func (q *queuedDiscovery) list() *http.Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	return response(http.StatusOK, fmt.Sprintf(`{"version":%d,"full":true,"servers":[]}`, q.version))
}

// change makes a new version. Open watches are answered, unless the service was silent before; silentFromNow makes it
// silent afterwards.
func (q *queuedDiscovery) change(silentFromNow bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.version++
	if q.silent {
		return
	}
	q.silent = silentFromNow
	close(q.changed)
	q.changed = make(chan struct{})
}

// response returns an HTTP response without a header.
func response(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status),
		Body: io.NopCloser(strings.NewReader(body))}
}

// The watches of 300 nodes are answered with a change at the same moment, and all become unresponsive from then on.
// Each node has to receive what it missed within 2 s after the wait of its own call. If all waits were equal they
// would end together, and the service would get 300 calls that start a watch at one moment.
func TestSilentWatchesOfManyNodes(t *testing.T) {
	t.Parallel()
	// The time that the service takes to process one call of each node.
	for _, round := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSilentWatches(t, 300, round) })
		})
	}
}

// checkSilentWatches runs the scenario with a service that takes callRound to process one call of each node.
func checkSilentWatches(t *testing.T, nodes int, callRound time.Duration) {
	service := &queuedDiscovery{perCall: callRound / time.Duration(nodes), version: 1, changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	var watching sync.WaitGroup
	var clients []*nodeClient
	for i := range nodes {
		node := &nodeClient{queuedDiscovery: service, receivedAt: map[uint64]time.Time{}}
		clients = append(clients, node)
		registry := New(netip.MustParseAddrPort("127.0.0.1:9"),
			decide.Settings{Nodes: nodes, MaxListRequestInterval: 10 * time.Second}, testkit.DiscardLog)
		registry.client.Transport = node
		watching.Go(func() {
			time.Sleep(time.Duration(i) * 2 * callRound / time.Duration(nodes))
			node.err = registry.Watch(ctx, new(uint64(1)), func(l core.List) {
				if node.receivedAt[l.Version].IsZero() {
					node.receivedAt[l.Version] = time.Now()
				}
			})
		})
	}
	time.Sleep(2*callRound + 10*time.Second)
	service.change(true) // all nodes receive version 2; their further calls are not answered
	silentAt := time.Now()
	time.Sleep(time.Second)
	service.change(true)
	time.Sleep(time.Minute)
	cancel()
	watching.Wait()
	worst := time.Duration(0)
	for i, node := range clients {
		if !errors.Is(node.err, context.Canceled) {
			t.Errorf("node %d: its watch ended: %v", i, node.err)
		}
		if node.receivedAt[2].IsZero() || node.receivedAt[3].IsZero() {
			t.Fatalf("node %d: received %v, want versions 2 and 3", i, node.receivedAt)
		}
		worst = max(worst, node.receivedAt[3].Sub(silentAt)-node.unansweredWait)
	}
	if worst > missedWithin {
		t.Errorf("a node received the change %v after its wait was over, want %v at most", worst, missedWithin)
	}
	t.Logf("the last node received the change %v after its wait was over", worst)
}

// The error of a call holds its cause, and how long the call took, except for a call that continues a watch, which may
// have been open for long. A call that is queued in vain or refused means an overloaded discovery service: it refuses
// at once what it has no capacity for. No answer or no connection means that it is unreachable; the refusal of a watch
// that has been open, that it went down.
func TestCallErrors(t *testing.T) {
	t.Parallel()
	const delay = 100 * time.Millisecond
	const unavailable = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	const reset = "reset"
	for name, c := range map[string]struct {
		replies []string // the answers, in turn; see scriptedReplies
		first   bool     // the error says how long the call took
		cause   decide.FailureCause
	}{
		"silent, then silent":  {[]string{listResponse(7, true, ""), "", ""}, true, decide.CauseUnreachable},
		"silent, then refused": {[]string{listResponse(7, true, ""), "", unavailable}, true, decide.CauseOverloaded},
		"refused at once":      {[]string{unavailable}, true, decide.CauseOverloaded},
		"reset at once":        {[]string{reset}, true, decide.CauseOverloaded},
		"a watch is refused":   {[]string{listResponse(7, true, ""), unavailable}, false, decide.CauseBroken},
		"a watch is reset":     {[]string{listResponse(7, true, ""), reset}, false, decide.CauseBroken},
		"breaks off": {[]string{"late " + testkit.OKResponse("{\"version\"")[:44] + reset}, true,
			decide.CauseUseless},
		"nonsense":               {[]string{testkit.OKResponse("{")}, true, decide.CauseUseless},
		"overloaded":             {[]string{"late " + unavailable}, true, decide.CauseOverloaded},
		"overloaded, then reset": {[]string{"late " + reset}, true, decide.CauseOverloaded},
		"a watch ends by and by": {[]string{listResponse(7, true, ""), "late " + unavailable}, false,
			decide.CauseWentDown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			registry := New(netip.MustParseAddrPort(testkit.Server(t, scriptedReplies(c.replies, delay, reset))),
				decide.Settings{Nodes: 300}, testkit.DiscardLog)
			registry.serviceTiming.wait, registry.serviceTiming.jitter, registry.serviceTiming.slack = delay, 0, 20*delay
			// Only this case needs late refusals. In others, none may count as late on a busy machine.
			if registry.serviceTiming.overloadWait = time.Minute; c.cause == decide.CauseWentDown {
				registry.serviceTiming.overloadWait = delay
			}
			err := registry.Watch(t.Context(), nil, func(core.List) {})
			call := (*core.CallError)(nil)
			if !errors.As(err, &call) {
				t.Fatalf("%v", err)
			}
			if call.Cause != c.cause || call.Took > 0 != c.first {
				t.Errorf("%v: cause %v, time %v; want cause %v, and a time only for the first call of a watch", err,
					call.Cause, call.Took, c.cause)
			}
		})
	}
}

// scriptedReplies answers the calls on all connections with these texts, in turn; the last one is repeated. A text that
// starts with "late " is sent after delay, and one that ends with reset is sent without that end, and its connection is
// closed, by a reset if nothing was sent.
func scriptedReplies(replies []string, delay time.Duration, reset string) func(net.Conn) {
	var calls atomic.Int64
	return func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			n := int(calls.Add(1))
			text, waits := strings.CutPrefix(replies[min(n, len(replies))-1], "late ")
			if waits {
				time.Sleep(delay)
			}
			text, resets := strings.CutSuffix(text, reset)
			io.WriteString(c, text)
			if resets && text == "" {
				c.(*net.TCPConn).SetLinger(0)
			}
			if resets {
				return
			}
		}
	}
}

// After the first answer, however slow, the watch is continued at once: discovery ends a watch whose next call comes
// more than 200 ms later, and the node counts as notified of changes in that time. A pause at this place, meant to let
// other nodes' calls through, left drains unnoticed for 3.9 s, and cost another queued call because the watch had to
// be started again.
func TestWatchGoesOnAtOnce(t *testing.T) {
	t.Parallel()
	for _, answer := range []time.Duration{time.Second / 8, time.Second / 2, discoveryTimeout - time.Millisecond} {
		for _, within := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(answer, within), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					node := &nodeClient{queuedDiscovery: &queuedDiscovery{perCall: answer, version: 1,
						changed: make(chan struct{})}}
					registry := New(netip.MustParseAddrPort("127.0.0.1:9"),
						decide.Settings{Nodes: 300, MaxListRequestInterval: within}, testkit.DiscardLog)
					registry.client.Transport = node
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					var firstAnswerAt time.Time
					registry.Watch(ctx, nil, func(core.List) { firstAnswerAt = time.Now() })
					if after := node.watchedAt.Sub(firstAnswerAt); node.watchedAt.IsZero() || after != 0 {
						t.Errorf("the watch is continued %v after the first answer, want at once", after)
					}
				})
			})
		}
	}
}
