package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingvalve/decide"
)

// patient is how long a test waits for what must come, on a machine of any speed.
const patient = 20 * time.Second

var quiet = slog.New(slog.DiscardHandler)

func settings() decide.Settings {
	class := func(name string, e decide.Effect) decide.Class {
		return decide.Class{Name: name, Worth: 1, Aim: 5 * time.Second, Deadline: 10 * time.Second, Effect: e,
			KeyScope: decide.ScopeCell, DedupWindow: 8 * time.Second}
	}
	return decide.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayOverlap: true, MayCancel: true,
		MayProbe: true, HoldOffs: true, MaxHoldOff: 2 * time.Second, ConnectTimeout: 2 * time.Second,
		ConnIdle: time.Minute, MaxOpen: 100, DrainGrace: 500 * time.Millisecond, ColdFrom: 0.3, ColdTime: time.Second,
		OverloadFactor: 2.5, OverloadTime: time.Second, ReportVia: decide.ReportProbe, MinTick: 5 * time.Millisecond,
		AskWithin: 10 * time.Second,
		Classes:   []decide.Class{class("read", decide.Safe), class("tag", decide.Keyed), class("order", decide.Unsafe)}}
}

// backend is a listener on a port that the kernel chose. Each connection is handed to serve.
func backend(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			open.Go(func() { defer c.Close(); serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		open.Wait()
	})
	return l.Addr().String()
}

// answering reads requests and writes what reply says, until it says nothing.
func answering(reply func(*http.Request, []byte) string) func(net.Conn) {
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

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func known(addrs ...string) list {
	l := list{version: 1, full: true}
	for i, a := range addrs {
		l.entries = append(l.entries, entry{addr: a, Server: decide.Server{ID: decide.ServerID(i + 1), Zone: "z", State: decide.Ready, Size: 1}})
	}
	return l
}

// node is a running node.
type testNode struct {
	addr  string
	hup   chan os.Signal
	stop  context.CancelFunc
	ended chan error
}

func start(t *testing.T, c *Config) *testNode {
	t.Helper()
	// The listener is handed over: a port that is chosen, freed and taken again may be another's in between.
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.Sockets == 0 {
		c.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 256}
	}
	if !c.Discovery.IsValid() {
		c.Discovery = netip.MustParseAddrPort(backend(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{addr: tcp.Addr().String(), hup: make(chan os.Signal), stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- serve(ctx, c, tcp, n.hup, quiet); close(n.ended) }()
	t.Cleanup(func() { stop(); <-n.ended })
	return n // connections wait in the listener's queue until it serves
}

var ids atomic.Int64

func message(class, left, body string) string {
	method, key := "GET", ""
	if class != "read" {
		method = "POST"
	}
	if class == "tag" {
		key = "Idempotency-Key: k\r\n"
	}
	return fmt.Sprintf("%s /%s?obj=a%%2fb HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: id%d\r\n%sX-Time-Left: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, class, ids.Add(1), key, left, len(body), body)
}

// ask sends text on a connection of its own and reads one answer.
func (n *testNode) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patient))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the answer is cut short: %v", err)
	}
	return resp, string(body)
}

func TestServesUnchanged(t *testing.T) {
	t.Parallel()
	want := strings.Repeat("\x00é\r\n", 4000)
	seen := make(chan string, 10)
	addr := backend(t, answering(func(r *http.Request, body []byte) string {
		seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get("Idempotency-Key"), " ", r.Header.Get("X-Correlation-Id") != "", " ", string(body))
		return ok(want)
	}))
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	for class, line := range map[string]string{"read": "GET /read?obj=a%2fb  true ", "tag": "POST /tag?obj=a%2fb k true B", "order": "POST /order?obj=a%2fb  true B"} {
		body := "B"
		if class == "read" {
			body = ""
		}
		resp, got := n.ask(t, message(class, "9.5", body))
		if resp.StatusCode != 200 || got != want {
			t.Errorf("%s: status %d, %d bytes", class, resp.StatusCode, len(got))
		}
		if got := <-seen; got != line {
			t.Errorf("the backend got %q, want %q", got, line)
		}
	}
}

// What is no request gets a 4xx or 5xx that is no refusal, nothing goes to a backend, and the connection is closed:
// what comes after it may have stood inside a body.
func TestBadInput(t *testing.T) {
	t.Parallel()
	var passed atomic.Int64
	addr := backend(t, answering(func(*http.Request, []byte) string { passed.Add(1); return ok("x") }))
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	const host, id, left, key, none = "Host: h\r\n", "X-Correlation-Id: q\r\n", "X-Time-Left: 9\r\n", "Idempotency-Key: k\r\n", "Content-Length: 0\r\n"
	const get, post, head, end = "GET /read HTTP/1.1\r\n", "POST /order HTTP/1.1\r\n", host + id + left, "\r\n"
	hidden := post + "Host: h\r\nX-Correlation-Id: hidden\r\n" + left + none + end
	for text, want := range map[string]int{
		"\x16\x03\x01\r\n\r\n":                                                                                        400,
		get + host + left + end:                                                                                       400,
		get + host + id + id + left + end:                                                                             400,
		get + host + "X-Correlation-Id: \r\n" + left + end:                                                            400,
		get + host + id + end:                                                                                         400,
		get + head + left + end:                                                                                       400,
		get + host + id + "X-Time-Left: NaN\r\n" + end:                                                                400,
		get + host + id + "X-Time-Left: soon\r\n" + end:                                                               400,
		get + host + id + "X-Time-Left: -5\r\n" + end:                                                                 400,
		get + host + id + "X-Time-Left: 0x10\r\n" + end:                                                               400,
		get + host + id + "X-Time-Left: 1e3\r\n" + end:                                                                400,
		get + host + id + "X-Time-Left: .\r\n" + end:                                                                  400,
		get + head + "Content-Length: 1\r\n" + end + "x":                                                              400,
		get + head + key + end:                                                                                        400,
		"POST /tag HTTP/1.1\r\n" + head + none + end:                                                                  400,
		"POST /tag HTTP/1.1\r\n" + head + key + key + none + end:                                                      400,
		"POST /tag HTTP/1.1\r\n" + head + "Idempotency-Key:\r\n" + none + end:                                         400,
		post + head + key + none + end:                                                                                400,
		post + head + "Content-Length: -1\r\n" + end:                                                                  400,
		post + head + "Content-Length: x\r\n" + end:                                                                   400,
		post + head + "Content-Length: 3\r\nContent-Length: 4\r\n" + end + "abcd":                                     400,
		post + head + "Content-Length: 99999999999999999999\r\n" + end:                                                400,
		post + head + "Content-Length: 99999999999\r\n" + end:                                                         413,
		post + head + "Content-Length: 70000\r\n" + end + strings.Repeat("b", 70000):                                  413,
		post + head + "Transfer-Encoding: chunked\r\n" + end + "zz\r\n\r\n":                                           411,
		post + head + "Transfer-Encoding: chunked\r\n" + end + "0\r\n\r\n":                                            411,
		post + head + "Transfer-Encoding: chunked\r\n" + none + end + "0\r\n\r\n" + hidden:                            411,
		post + head + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(hidden)) + end + hidden: 411,
		"POST /order HTTP/1.0\r\n" + head + "Transfer-Encoding: chunked\r\n" + none + end:                             505,
		"GET /order HTTP/1.1\r\n" + head + end:                                                                        405,
		"POST /read HTTP/1.1\r\n" + head + none + end:                                                                 405,
		"DELETE /read HTTP/1.1\r\n" + head + end:                                                                      405,
		"POST /unheard-of HTTP/1.1\r\n" + head + none + end:                                                           404,
		"GET / HTTP/1.1\r\n" + host + end:                                                                             404,
		"OPTIONS * HTTP/1.1\r\n" + host + end:                                                                         404,
		"GET /favicon.ico HTTP/1.1\r\n" + host + end:                                                                  404,
		"GET /health/other HTTP/1.1\r\n" + host + end:                                                                 404,
		get + host + strings.Repeat("X-Pad: p\r\n", 1<<12) + end:                                                      431,
	} {
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patient))
		io.WriteString(c, text+hidden)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%.200q: %v", text, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != want || !resp.Close {
			t.Errorf("%.200q: status %d, want %d; closes: %v", text, resp.StatusCode, want, resp.Close)
		}
		if more, err := io.ReadAll(r); len(more) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%.200q: another answer %q, %v", text, more, err)
		}
		c.Close()
	}
	if passed.Load() > 0 {
		t.Errorf("%d came to the backend", passed.Load())
	}
	odd := post + head + "X-Weight-Hint: -1e400\r\nX-Facts: ,=,write\r\n" + none + end
	if resp, _ := n.ask(t, odd); resp.StatusCode != 200 {
		t.Errorf("odd hints: status %d", resp.StatusCode)
	}
}

// A Connection header that names a request's id or key does not take it away: without them a repeat can't be told.
func TestConnectionHeaderKeepsIdentity(t *testing.T) {
	t.Parallel()
	h := endToEnd(http.Header{"Connection": {"X-Hop, x-correlation-id", "idempotency-key"}, "X-Hop": {"1"}, "X-Correlation-Id": {"q"}, "Idempotency-Key": {"k"}})
	if len(h) != 2 || h.Get("X-Correlation-Id") != "q" || h.Get("Idempotency-Key") != "k" {
		t.Errorf("%v goes on", h)
	}
}

// Silent connections, heads and bodies without end are closed or answered within 3 s, and hundreds of them shut
// nobody out; nor do connections that have asked once and stay.
func TestSilentClients(t *testing.T) {
	t.Parallel()
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	n := start(t, &Config{Settings: settings(), Known: known(addr), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: leastSockets}})
	stuck := message("order", "9.5", "abc")
	stuck = stuck[:len(stuck)-1]
	var waiting sync.WaitGroup
	for i := range 100 {
		text := []string{"", "GET /re", "GET /read HTTP/1.1\r\nX: y\r\n", stuck, message("read", "9.5", "")}[i%5]
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		waiting.Go(func() {
			defer c.Close()
			c.SetDeadline(time.Now().Add(patient))
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%.20q is left open", text)
			}
		})
	}
	for end := time.Now().Add(patient); ; time.Sleep(50 * time.Millisecond) { // long before they would time out
		if resp, _ := n.ask(t, message("read", "9.5", "")); resp.StatusCode == 200 {
			break
		} else if time.Now().After(end) {
			t.Fatal("shut out")
		}
	}
	waiting.Wait()
}

// At the bound the longest wait goes first, one with a request open never, and a request that crosses its
// connection's end is not passed on.
func TestAdmission(t *testing.T) {
	t.Parallel()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	a := newAdmission(tcp, 3)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	accept := func() *clientConn {
		dial()
		c, err := a.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c.(*clientConn)
	}
	busy, idle, fresh := accept(), accept(), accept()
	a.track(busy, http.StateActive)
	a.track(idle, http.StateActive)
	a.track(idle, http.StateIdle)
	refused := dial()
	done := make(chan *clientConn)
	go func() { c, _ := a.Accept(); done <- c.(*clientConn) }()
	refused.SetDeadline(time.Now().Add(patient))
	if resp, err := http.ReadResponse(bufio.NewReader(refused), nil); err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("with none to close: %v, %v", resp, err)
	}
	a.mu.Lock()
	idle.since, fresh.since = time.Now().Add(-idleLeast), time.Now().Add(-freshLeast)
	a.mu.Unlock()
	dial()
	third := <-done
	a.track(third, http.StateActive)
	if !idle.lost() || fresh.lost() || busy.lost() {
		t.Error("the wrong one was closed first")
	}
	fourth := accept()
	a.track(fourth, http.StateActive)
	if !fresh.lost() || busy.lost() || a.count != 3 {
		t.Errorf("the wrong one was closed second; %d open", a.count)
	}
	for _, c := range []*clientConn{busy, third, fourth, idle, fresh} {
		c.Close()
	}
	if a.count != 0 || a.fresh.Len() != 0 || a.idle.Len() != 0 {
		t.Errorf("%d open, %d and %d wait", a.count, a.fresh.Len(), a.idle.Len())
	}
}

// What comes back from a backend, and what the module may make of it: an unsafe request is refused only if it
// has never run.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reply  string
		status int
		code   decide.OutcomeCode
	}{
		"served":           {ok("x"), 200, decide.OK},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200, decide.OK},
		"interim":          {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok("x"), 200, decide.OK},
		"many interim":     {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + ok("x"), 200, decide.OK},
		"endless interim":  {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<15), 502, decide.Reset},
		"another protocol": {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok("x"), 502, decide.Reset},
		"copy behind":      {ok("x") + ok("x"), 200, decide.OK},
		"part of a copy":   {ok("x") + "HTT", 200, decide.OK},
		"noise behind":     {ok("x") + "\x8e1\xc0", 502, decide.Reset},
		"short length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabcd", 502, decide.Reset},
		"short by much":    {"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 20000), 502, decide.Reset},
		"two lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd", 502, decide.Reset},
		"negative length":  {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\nabcd", 502, decide.Reset},
		"no end of length": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), 502, decide.Reset},
		"odd report":       {"HTTP/1.1 200 OK\r\nX-Backend-Load: =,=\r\nContent-Length: 1\r\n\r\nx", 200, decide.OK},
		"client's fault":   {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 404, decide.Cancelled},
		"error":            {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 502, decide.ServerError},
		"503 without mark": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 502, decide.ServerError},
		"turned away":      {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503, decide.Full},
		"too late":         {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503, decide.Full},
		"500 with mark":    {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 502, decide.ServerError},
		"silent close":     {"", 502, decide.Reset},
		"garbage":          {"\x00\x01 what\r\n\r\n", 502, decide.Reset},
		"truncated":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nx", 502, decide.Reset},
		"truncated chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx", 502, decide.Reset},
		"no end":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx", 502, decide.Reset},
		"huge header":      {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 1\r\n\r\nx", 502, decide.Reset},
		"large":            {ok(strings.Repeat("x", 6*bodyLimit)), 200, decide.OK},
		"too large":        {ok(strings.Repeat("x", answerLimit+1)), 502, decide.Reset},
		"too large chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 20), 502, decide.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := backend(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, c.reply)
				}
			})
			b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
			b.update(known(addr))
			if r := b.do(t.Context(), b.find(1), get(patient)); r.code != c.code {
				t.Errorf("outcome %v (%v), want %v", r.code, r.err, c.code)
			}
			n := start(t, &Config{Settings: settings(), Known: known(addr)})
			if resp, _ := n.ask(t, message("order", "9.5", "")); resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

func get(wait time.Duration) *exchange {
	return &exchange{method: "GET", url: &url.URL{Path: "/read", Host: "h"}, deadline: time.Now().Add(wait)}
}

// A request on a connection that breaks goes out once: a library's own second try would be an attempt that the
// module knows nothing of.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := backend(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			got.Add(1)
			if n == 1 {
				return
			}
			io.WriteString(c, ok("x"))
		}
	})
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	for i, want := range []int{200, 503} {
		if resp, _ := n.ask(t, message("read", "9.5", "")); resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
		time.Sleep(2 * restLeast)
	}
	if got.Load() != 2 {
		t.Errorf("the backend got %d requests, want 2", got.Load())
	}
}

// What comes behind a good answer, at once or late, is never taken for the next request's.
func TestNothingLeftOver(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]string{"copy": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "start of one": "HTTP/1"} {
		for _, late := range []time.Duration{0, restLeast / 2, 10 * restLeast} {
			sent := make(chan struct{}, 9)
			addr := backend(t, inPieces(func(c net.Conn) {
				if late == 0 {
					io.WriteString(c, ok("right")+more)
				} else {
					io.WriteString(c, ok("right"))
					time.Sleep(late)
					io.WriteString(c, more)
				}
				sent <- struct{}{}
			}))
			b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
			b.update(known(addr))
			for range 3 {
				if r := b.do(t.Context(), b.find(1), get(patient)); r.code != decide.OK || string(r.body) != "right" {
					t.Errorf("%s after %v: %v %q", name, late, r.code, r.body)
				}
				<-sent
				if text, open := "", true; late > 0 && len(b.find(1).idle) > 0 { // what has been written comes
					c := b.find(1).idle[0]
					for end := time.Now().Add(patient); text == "" && open && time.Now().Before(end); text, open = c.behind() {
						time.Sleep(time.Millisecond)
					}
				}
			}
			b.update(list{full: true})
		}
	}
}

// A connection rests after an answer: what comes right behind it may come only when it would be in use again.
func TestRest(t *testing.T) {
	t.Parallel()
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
	b.update(known(addr))
	h := b.find(1)
	for _, c := range []struct {
		rested time.Duration
		open   int
	}{{0, 1}, {-patient, 2}, {restLeast, 2}} {
		for _, idle := range h.idle {
			idle.since = time.Now().Add(-c.rested)
		}
		if r := b.do(t.Context(), h, get(patient)); r.code != decide.OK || b.open != c.open {
			t.Errorf("rested %v: %v, %d open, want %d", c.rested, r.code, b.open, c.open)
		}
	}
	b.update(list{full: true})
}

// inPieces is answering for what is written in pieces.
func inPieces(reply func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			reply(c)
		}
	}
}

// A report counts only if all of it makes sense.
func TestReport(t *testing.T) {
	t.Parallel()
	if r := parseReport("inflight=7,queue=2"); r == nil || r.InFlight != 7 || r.Queue != 2 {
		t.Errorf("%+v", r)
	}
	for _, text := range []string{"", "=,=", "%%%", `{"`, "inflight=-1", "inflight=NaN", "inflight=Inf", "inflight=1e30", "inflight=7,queue", "inflight=7,=", "other=1"} {
		if r := parseReport(text); r != nil {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

// A new backend at the address of one that is still listed has taken its place: nothing goes to the old one, nor
// on its connections.
func TestAddressTakenOver(t *testing.T) {
	t.Parallel()
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
	b.update(known(addr))
	if r := b.do(t.Context(), b.find(1), get(patient)); r.code != decide.OK || b.open != 1 {
		t.Fatalf("%v, %d open", r.code, b.open)
	}
	news := known(addr, addr)
	news.entries[1].StartedAt = 1
	for _, full := range []bool{false, true} {
		news.full = full
		b.update(news)
		if r := b.do(t.Context(), b.find(1), get(patient)); r.code != decide.ConnectFailed {
			t.Errorf("the old one: %v, %d open", r.code, b.open)
		}
		if r := b.do(t.Context(), b.find(2), get(patient)); r.code != decide.OK || b.open != 1 {
			t.Errorf("the new one: %v, %d open", r.code, b.open)
		}
		time.Sleep(2 * restLeast)
	}
	b.update(list{full: true})
}

// A machine that says nothing when connected to takes a part of the descriptors only.
func TestDialsBounded(t *testing.T) {
	t.Parallel()
	b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 16, quiet)
	b.update(known("127.0.0.1:1"))
	h := b.find(1)
	h.dials = 2
	if r := b.do(t.Context(), h, get(patient)); r.code != decide.Moot || b.open != 0 {
		t.Errorf("%v (%v), %d open", r.code, r.err, b.open)
	}
}

// A connection that the backend has closed while it was idle is not written to.
func TestIdleClosedByBackend(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 9)
	addr := backend(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, ok("x"))
		}
		c.Close()
		closed <- struct{}{}
	})
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	for range 5 {
		if resp, _ := n.ask(t, message("order", "9.5", "")); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		<-closed
	}
}

// A machine that says nothing holds up nobody: the answer comes by the client's patience.
func TestSilentBackend(t *testing.T) {
	t.Parallel()
	addr := backend(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	for class, want := range map[string]int{"read": 503, "tag": 502, "order": 502} {
		if resp, _ := n.ask(t, message(class, "0.4", "")); resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, want)
		}
	}
}

// When the client goes, its attempt's connection is closed, so that the backend can stop.
func TestClientGone(t *testing.T) {
	t.Parallel()
	came, gone := make(chan struct{}), make(chan struct{})
	addr := backend(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(came)
		r.ReadByte()
		close(gone)
	})
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, message("order", "9.5", "b"))
	<-came
	c.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second): // its patience is longer
		t.Error("the attempt goes on")
	}
}

// An id that is open is not taken again: the module would never answer it, and it could run twice.
func TestSameIDTwice(t *testing.T) {
	t.Parallel()
	came, let := make(chan struct{}, 9), make(chan struct{})
	addr := backend(t, answering(func(*http.Request, []byte) string { came <- struct{}{}; <-let; return ok("x") }))
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	text := message("order", "9.5", "b")
	first := make(chan int)
	go func() { resp, _ := n.ask(t, text); first <- resp.StatusCode }()
	<-came
	if resp, _ := n.ask(t, text); resp.StatusCode != http.StatusConflict {
		t.Errorf("status %d", resp.StatusCode)
	}
	close(let)
	if status := <-first; status != 200 || len(came) > 0 {
		t.Errorf("status %d, %d more at the backend", status, len(came))
	}
}

// After connecting, what has changed in the meantime counts: nothing is written.
func TestLookAgainBeforeWriting(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := backend(t, answering(func(*http.Request, []byte) string { got.Add(1); return ok("x") }))
	fresh := func() (*backends, *host) {
		b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
		b.update(known(addr))
		return b, b.find(1)
	}
	for name, c := range map[string]struct {
		change func(*backends, *exchange, context.CancelFunc)
		want   decide.OutcomeCode
	}{
		"draining": {func(b *backends, _ *exchange, _ context.CancelFunc) {
			l := known(addr)
			l.full, l.entries[0].State = false, decide.Draining
			b.update(l)
		}, decide.ConnectFailed},
		"gone from the list": {func(b *backends, _ *exchange, _ context.CancelFunc) { b.update(list{full: true}) }, decide.ConnectFailed},
		"restarted": {func(b *backends, _ *exchange, _ context.CancelFunc) {
			l := known(addr)
			l.entries[0].StartedAt = 1
			b.update(l)
		}, decide.ConnectFailed},
		"window over": {func(_ *backends, x *exchange, _ context.CancelFunc) { x.writeBy = time.Now() }, decide.Moot},
		"too late":    {func(_ *backends, x *exchange, _ context.CancelFunc) { x.deadline = time.Now() }, decide.ConnectFailed},
		"called off":  {func(_ *backends, _ *exchange, cancel context.CancelFunc) { cancel() }, decide.Cancelled},
	} {
		b, h := fresh()
		// An idle connection, so that connecting succeeds whatever the time.
		c1, err := b.connect(t.Context(), h, time.Now().Add(patient))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		x := get(patient)
		b.release(h, c1, true)
		c.change(b, x, cancel)
		if r := b.do(ctx, h, x); r.code != c.want {
			t.Errorf("%s: outcome %v (%v), want %v", name, r.code, r.err, c.want)
		}
		cancel()
		b.update(list{full: true})
		if b.open != 0 {
			t.Errorf("%s: %d connections left", name, b.open)
		}
	}
	if got.Load() > 0 {
		t.Errorf("the backend got %d requests", got.Load())
	}
}

// A refused connection never ran, and the bound on connections is kept, by closing idle ones first.
func TestConnecting(t *testing.T) {
	t.Parallel()
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	other := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	refused, err := net.Dial("tcp", addr) // nobody listens at its own end, and nobody else can
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 1, quiet)
	b.update(known(addr, other, refused.LocalAddr().String()))
	for i, want := range map[decide.ServerID]decide.OutcomeCode{1: decide.OK, 2: decide.OK, 3: decide.ConnectFailed, 4: decide.ConnectFailed} {
		if r := b.do(t.Context(), b.find(i), get(patient)); r.code != want {
			t.Errorf("backend %d: %v (%v)", i, r.code, r.err)
		}
	}
	held, err := b.connect(t.Context(), b.find(1), time.Now().Add(patient))
	if err != nil {
		t.Fatal(err)
	}
	if r := b.do(t.Context(), b.find(2), get(patient)); r.code != decide.Moot { // the backend is not to blame
		t.Errorf("beyond the bound: %v", r.code)
	}
	b.release(b.find(1), held, true)
	b.closeIdle(1)
	if b.open != 0 {
		t.Errorf("%d connections left", b.open)
	}
}

// SIGTERM loses nothing: what is held is answered, what comes for a moment more is served, a connection that
// clients have goes on until the last call, and then the node ends.
func TestDrain(t *testing.T) {
	t.Parallel()
	came, let := make(chan struct{}, 1), make(chan struct{})
	addr := backend(t, answering(func(*http.Request, []byte) string {
		select {
		case came <- struct{}{}:
		case <-let:
		}
		<-let
		return ok("x")
	}))
	n := start(t, &Config{Settings: settings(), Known: known(addr)})
	held := make(chan *http.Response)
	go func() { resp, _ := n.ask(t, message("order", "9.5", "b")); held <- resp }()
	<-came
	idle, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	n.stop()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		if resp, _ := n.ask(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode == 503 {
			break
		} else if time.Now().After(end) {
			t.Fatal("still ready")
		}
	}
	late := make(chan *http.Response)
	go func() { resp, _ := n.ask(t, message("read", "9.5", "")); late <- resp }()
	<-came
	close(let)
	for _, c := range []chan *http.Response{held, late} {
		if resp := <-c; resp.StatusCode != 200 || resp.Close {
			t.Errorf("status %d, closes: %v", resp.StatusCode, resp.Close)
		}
	}
	kept, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	kept.SetDeadline(time.Now().Add(patient))
	r, served := bufio.NewReader(kept), 0
	for { // past the time in which connections are accepted; the last answer closes
		io.WriteString(kept, message("read", "9.5", ""))
		resp, err := http.ReadResponse(r, nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		if err != nil { // closed between two requests
			break
		}
		io.Copy(io.Discard, resp.Body)
		if again, err := net.Dial("tcp", n.addr); err == nil {
			again.Close()
		} else {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if served < 10 {
		t.Errorf("%d served after the listener had closed", served)
	}
	select {
	case err := <-n.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patient):
		t.Error("the node does not end")
	}
}

// At its bounds a node refuses at once, and each connection that it has accepted gets an answer.
func TestBounds(t *testing.T) {
	t.Parallel()
	let := make(chan struct{})
	addr := backend(t, answering(func(*http.Request, []byte) string { <-let; return ok("x") }))
	c := &Config{Settings: settings(), Known: known(addr), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: leastSockets}}
	c.Settings.MaxOpen = 1
	n := start(t, c)
	statuses := make(chan int, 60)
	for range cap(statuses) {
		go func() {
			resp, _ := n.ask(t, message("read", "9.5", ""))
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			statuses <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range cap(statuses) - 1 {
		count[<-statuses]++
	}
	close(let)
	count[<-statuses]++
	if count[503] != cap(statuses)-1 || count[200] != 1 {
		t.Errorf("statuses %v", count)
	}
}

// registry is discovery as a test wants it: it answers call n with what says, and tells of each call.
func registry(t *testing.T, says func(n int, query url.Values) string) netip.AddrPort {
	var calls atomic.Int64
	return netip.MustParseAddrPort(backend(t, answering(func(r *http.Request, _ []byte) string {
		return says(int(calls.Add(1)), r.URL.Query())
	})))
}

func jsonList(version int, full bool, state, addr string) string {
	return ok(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":1,"state":%q,"weight":1,"started_ms":0}]}`,
		version, full, addr, state))
}

func (n *testNode) waitReady(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(5 * time.Millisecond) {
		resp, _ := n.ask(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp.StatusCode == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("ready answers %d, want %d", resp.StatusCode, want)
		}
	}
}

// A list that makes no sense is a failed call and no crash; the module asks again, and the watch goes on from
// the version it has. A drain is followed.
func TestDiscovery(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		var got atomic.Int64
		addr := backend(t, answering(func(*http.Request, []byte) string { got.Add(1); return ok("x") }))
		drain := make(chan struct{})
		c := &Config{Settings: settings(), Known: list{version: 1}}
		c.Settings.AskForList = !pushed
		c.Discovery = registry(t, func(n int, q url.Values) string {
			switch n {
			case 1:
				return ok(`{"version":"x"`)
			case 2:
				return jsonList(5, false, "asleep", addr)
			case 3:
				return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
			case 4:
				if q.Get("since") != "1" {
					t.Errorf("since %q, want 1", q.Get("since"))
				}
				return jsonList(7, true, "ready", addr)
			case 5:
				if q.Get("since") != "7" {
					t.Errorf("since %q, want 7", q.Get("since"))
				}
				<-drain
				return jsonList(8, false, "draining", addr)
			}
			return ""
		})
		n := start(t, c)
		n.waitReady(t, 503)
		n.waitReady(t, 200)
		if resp, _ := n.ask(t, message("read", "9.5", "")); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
		close(drain)
		n.waitReady(t, 503)
		if resp, _ := n.ask(t, message("read", "9.5", "")); resp.StatusCode != 503 || got.Load() != 1 {
			t.Errorf("status %d, %d requests at a draining backend", resp.StatusCode, got.Load()-1)
		}
		n.stop()
	}
}

// On SIGHUP discovery is asked at its new address, for the whole list at once: the versions there need not go on from
// the old ones, and the watch at the old address hangs. A bad file changes nothing. Reloads in a row do no harm.
func TestReload(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
		hang, hung := make(chan struct{}), make(chan struct{}, 9)
		c := &Config{Settings: settings(), Known: list{version: 40}}
		c.Settings.AskForList = !pushed
		c.Discovery = registry(t, func(_ int, q url.Values) string {
			hung <- struct{}{}
			<-hang
			return ""
		})
		calls := make(chan string, 99)
		to := registry(t, func(n int, q url.Values) string {
			calls <- q.Get("since")
			if n == 1 {
				return jsonList(7, true, "ready", addr)
			}
			<-hang
			return ""
		})
		files := make(chan error)
		c.reread = func() (*Config, error) {
			if err := <-files; err != nil {
				return nil, err
			}
			return &Config{Discovery: to}, nil
		}
		n := start(t, c)
		<-hung
		n.hup <- syscall.SIGHUP
		files <- errors.New("bad")
		n.waitReady(t, 503)
		for range 3 {
			n.hup <- syscall.SIGHUP
			files <- nil
		}
		n.waitReady(t, 200)
		if first, second := <-calls, <-calls; first != "" || second != "7" {
			t.Errorf("pushed: %v: asked since %q and %q", pushed, first, second)
		}
		n.stop()
		close(hang)
		if err := <-n.ended; err != nil {
			t.Error(err)
		}
	}
}

// Every action works, also those that the module does not use today.
func TestActions(t *testing.T) {
	t.Parallel()
	seen := make(chan string, 100)
	stopped := make(chan struct{})
	addr := backend(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				seen <- "closed"
				return
			}
			seen <- req.URL.Path
			if req.URL.Path == "/order" {
				r.ReadByte() // until it is called off
				close(stopped)
				return
			}
			io.WriteString(c, ok("inflight=7,queue=2"))
		}
	})
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c := &Config{Settings: settings(), Known: known(addr), PeerListen: netip.MustParseAddrPort("127.0.0.1:0"),
		Peers: []netip.AddrPort{{}, other.LocalAddr().(*net.UDPAddr).AddrPort()}}
	c.Settings.MayMessage = true
	c.Discovery = registry(t, func(_ int, q url.Values) string {
		seen <- "list since " + q.Get("since")
		if q.Get("timeout_ms") == "3000" {
			time.Sleep(50 * time.Millisecond)
		}
		return jsonList(1, !q.Has("since"), "ready", addr)
	})
	ctx, cancel := context.WithCancel(t.Context())
	b := newBackends(c, 10, quiet)
	p, err := listenPeers(c, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ownAddr := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	l := newLoop(ctx, c, b, newDiscovery(c.Discovery, quiet), p, quiet)
	l.settings.AskForList = true // the loop asks only when told
	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	running.Go(func() { b.run(ctx) })
	running.Go(func() { p.write(ctx) })
	heard := make(chan string, 9)
	running.Go(func() { p.read(func(from int, data []byte) { heard <- fmt.Sprint(from, string(data)) }) })
	defer running.Wait()
	defer cancel()

	act := func(a decide.Action) { l.post(func() { l.do(a) }) }
	expect := func(want string) {
		t.Helper()
		end := time.After(patient)
		for {
			select {
			case s := <-seen:
				if s == want {
					return
				}
			case <-end:
				t.Fatalf("%q does not come", want)
			}
		}
	}
	act(decide.Probe{Server: 1})
	expect("/stats")
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		idle = len(b.hosts[1].idle) > 0
		b.mu.Unlock()
	}
	act(decide.CloseIdle{Server: 1})
	expect("closed")
	act(decide.FetchList{})
	expect("list since ")
	act(decide.Subscribe{On: true})
	expect("list since 1")
	expect("list since 1")
	act(decide.Subscribe{On: false})
	act(decide.SendMessage{To: 1, Data: []byte("one")})
	act(decide.SendMessage{ToAll: true, Data: []byte("all")})
	act(decide.SendMessage{To: 1, Data: make([]byte, datagramLimit+1)})
	act(decide.SendMessage{To: 9})
	act(decide.Log{Line: "line"})
	buf := make([]byte, 999)
	other.SetReadDeadline(time.Now().Add(patient))
	for _, want := range []string{"one", "all"} {
		if n, _, err := other.ReadFromUDP(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("datagram %q, %v; want %q", buf[:n], err, want)
		}
	}
	other.WriteToUDPAddrPort(make([]byte, datagramLimit+1), ownAddr)
	other.WriteToUDPAddrPort([]byte("hi"), ownAddr)
	if got := <-heard; got != "1hi" {
		t.Errorf("heard %q", got)
	}
	r := &request{arrived: decide.RequestArrived{ID: "q", Class: "order"}, deadline: time.Now().Add(patient), method: "POST",
		url: &url.URL{Path: "/order", Host: "h"}, answer: make(chan answer, 1)}
	l.post(func() { l.arrive(r) })
	expect("/order")
	act(decide.CancelAttempt{ID: "q", Attempt: 0})
	act(decide.CancelAttempt{ID: "q", Attempt: 7})
	<-stopped
	if a := <-r.answer; a.status != http.StatusBadGateway {
		t.Errorf("status %d: a cancelled attempt may have run", a.status)
	}
	act(decide.Send{ID: "q", Server: 1}) // over: answered with Moot, and nothing is sent
	act(decide.Refuse{ID: "q"})
	act(decide.Fail{ID: "nobody"})
	fired := make(chan struct{})
	l.post(func() { l.do(decide.SetTimer{After: time.Millisecond, Token: 9}); close(fired) })
	<-fired
	for empty := false; !empty; time.Sleep(time.Millisecond) {
		done := make(chan bool, 1)
		l.post(func() {
			left := false
			for _, timer := range l.timers {
				left = left || timer.token == 9
			}
			done <- !left
		})
		empty = <-done
	}
}

func TestConfig(t *testing.T) {
	t.Parallel()
	const good = `{"name":"n0","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"peer_listen":"127.0.0.1:82","peers":["127.0.0.1:82"],"peers_all":"127.0.0.1:83","known":{"version":4,"full":true,"servers":[]},
		"settings":{"balancers":3,"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`
	load := func(text string, more map[string]string) (*Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadConfig(func(name string) string {
			if name == "GW_CONFIG" {
				return path
			}
			return more[name]
		})
	}
	c, err := load(good, map[string]string{"GW_LISTEN": "127.0.0.1:99"})
	if err != nil || c.Listen.Port() != 99 || c.Known.version != 4 || c.Settings.Nodes != 3 || uint64(c.Seed) != 0x8c1f30d27a5be964 {
		t.Errorf("%+v, %v", c, err)
	}
	for _, bad := range [][2]string{{`{"name"`, `{"nam`}, {`"n0"`, `""`}, {`"127.0.0.1:80"`, `"x"`}, {`"127.0.0.1:81"`, `""`}, {`8c1f`, `xyz`},
		{`1024`, `3`}, {`192`, `-1`}, {`"peers":["127`, `"peers":["x`}, {`"full":true`, `"full":3`}, {`"fragile"`, `"odd"`}, {`250000000`, `0`}, {`"settings"`, `"other"`}} {
		if _, err := load(strings.Replace(good, bad[0], bad[1], 1), nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v", bad[1], bad[0], err)
		}
	}
	c, err = load(good, map[string]string{"GW_DISCOVERY": "127.0.0.1:98"})
	if err != nil || c.Discovery.Port() != 98 {
		t.Errorf("%+v, %v", c, err)
	}
	if c, err = c.reread(); err != nil || c.Discovery.Port() != 81 {
		t.Errorf("read again: %+v, %v; the file has what is new", c, err)
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("no GW_CONFIG is no error")
	}
}

// A backend that let an attempt time out in silence may have been cut off: its idle connections are not used
// again. One that has answered in the meantime keeps them.
func TestSilenceClosesIdle(t *testing.T) {
	t.Parallel()
	addr := backend(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	for heard, want := range map[bool]int{false: 0, true: 1} {
		b := newBackends(&Config{Settings: settings(), Limits: Limits{MemoryMB: 192}}, 10, quiet)
		b.update(known(addr))
		h := b.find(1)
		var conns [2]*conn
		for i := range conns {
			var err error
			if conns[i], err = b.connect(t.Context(), h, time.Now().Add(patient)); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range conns {
			b.release(h, c, true)
		}
		time.Sleep(2 * restLeast)
		if heard {
			h.heard = time.Now().Add(patient)
		}
		if r := b.do(t.Context(), h, get(time.Second)); r.code != decide.TimedOut {
			t.Errorf("outcome %v (%v)", r.code, r.err)
		}
		if len(h.idle) != want {
			t.Errorf("heard of it: %v; %d idle connections kept, want %d", heard, len(h.idle), want)
		}
		b.update(list{full: true})
	}
}
