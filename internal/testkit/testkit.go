// Package testkit holds what tests of several packages share: listeners that answer as a test wants, settings, and
// a list of servers.
package testkit

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

// WaitLimit is how long a test waits for something that must happen, also on a slow machine.
const WaitLimit = 20 * time.Second

// WaitFor waits until a condition is true. After WaitLimit it fails the test with the given message.
func WaitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// DiscardLog is a logger that discards everything.
var DiscardLog = slog.New(slog.DiscardHandler)

// Settings returns settings with a safe class "read", a keyed class "tag" and an unsafe class "order".
func Settings() decide.Settings {
	class := func(name string, e decide.Effect) decide.Class {
		return decide.Class{Name: name, Worth: 1, Aim: 5 * time.Second, Deadline: 10 * time.Second, Effect: e,
			KeyScope: decide.ScopeCell, DedupWindow: 8 * time.Second}
	}
	return decide.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayOverlap: true, MayCancel: true,
		MayProbe: true, HoldOffs: true, MaxHoldOff: 2 * time.Second, ConnectTimeout: 2 * time.Second,
		ConnIdle: time.Minute, MaxOpen: 100, DrainGrace: 500 * time.Millisecond, ColdFrom: 0.3, ColdTime: time.Second,
		OverloadFactor: 2.5, OverloadTime: time.Second, ReportVia: decide.ReportProbe, MinTick: 5 * time.Millisecond,
		MaxListRequestInterval: 10 * time.Second, NotifiedWithin: 6 * time.Second,
		Classes: []decide.Class{class("read", decide.Safe), class("tag", decide.Keyed), class("order", decide.Unsafe)}}
}

// Server listens on a loopback port that the kernel chooses, until the test ends, and returns its address. Each
// connection is passed to serve, and closed when serve returns.
func Server(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServerOn(t, l, serve)
}

// ServerOn is like Server on a given listener, which it closes at the test's end.
func ServerOn(t *testing.T, l net.Listener, serve func(net.Conn)) string {
	t.Helper()
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	closed := false
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if conns = append(conns, c); closed { // accepted while the test was ending
				c.Close()
			}
			mu.Unlock()
			open.Go(func() { defer c.Close(); serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		closed = true
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		open.Wait()
	})
	return l.Addr().String()
}

// AnswerRequests returns a serve function for Server that reads requests and writes what reply returns for each.
// An empty reply closes the connection.
func AnswerRequests(reply func(*http.Request, []byte) string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			text := reply(req, body)
			if text == "" {
				return
			}
			io.WriteString(c, text)
		}
	}
}

// OKResponse returns an HTTP/1.1 response with status 200 and this body.
func OKResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// ReadyList returns a full list of ready servers at these addresses, with the ids 1, 2, and so on.
func ReadyList(addrs ...string) core.List {
	l := core.List{Version: 1, Full: true}
	for i, a := range addrs {
		l.Entries = append(l.Entries, core.Entry{Addr: a, Server: decide.Server{ID: decide.ServerID(i + 1), Zone: "z",
			State: decide.Ready, Size: 1}})
	}
	return l
}

// maxAgentPoll bounds for how long an AgentWithoutNews lets a poll wait, so that it ends soon after its test.
const maxAgentPoll = 250 * time.Millisecond

// AgentWithoutNews starts an agent, or discovery, and returns its address. It answers each call that there is nothing newer
// than the version which the caller has.
func AgentWithoutNews(t *testing.T) string {
	t.Helper()
	return Server(t, AnswerRequests(func(r *http.Request, _ []byte) string {
		query := r.URL.Query()
		wait, _ := time.ParseDuration(query.Get("timeout_ms") + "ms")
		time.Sleep(min(wait, maxAgentPoll))
		return OKResponse(fmt.Sprintf(`{"version":%s,"full":false,"servers":[]}`, query.Get("since")))
	}))
}
