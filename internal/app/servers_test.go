package app

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/internal/front"
	"starlingvalve/internal/testkit"
	"starlingvalve/internal/upstream/reuse"
)

// idleWait is longer than a connection to a server must be idle after an answer before it is used again.
const idleWait = 2 * reuse.Cooldown

// A request on a connection that breaks is sent only once. A retry by an HTTP library would be an attempt that the
// decision module does not know about.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := testkit.Server(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			got.Add(1)
			if n == 1 {
				return
			}
			io.WriteString(c, testkit.OKResponse("x"))
		}
	})
	n := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	for i, want := range []int{200, 503} {
		if resp, _ := n.roundTrip(t, classRequest("read", "9.5", "")); resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
		time.Sleep(idleWait)
	}
	if got.Load() != 2 {
		t.Errorf("the server got %d requests, want 2", got.Load())
	}
}

// A connection that the server closed while it was idle is not used for another request.
func TestIdleClosedByBackend(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 9)
	addr := testkit.Server(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, testkit.OKResponse("x"))
		}
		c.Close()
		closed <- struct{}{}
	})
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	for range 5 {
		if resp, _ := node.roundTrip(t, classRequest("order", "9.5", "")); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		<-closed
	}
}

// A server that never answers does not block its clients: each gets an answer before its patience ends.
func TestSilentBackend(t *testing.T) {
	t.Parallel()
	addr := testkit.Server(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	for class, want := range map[string]int{"read": 503, "tag": 502, "order": 502} {
		// A new node for each class, to which no server is unresponsive yet.
		n := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
		if resp, _ := n.roundTrip(t, classRequest(class, "0.4", "")); resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, want)
		}
	}
}

// The client's status for each kind of answer from a server. An unsafe request is refused only if it has not run.
func TestOutcomesForClients(t *testing.T) {
	t.Parallel()
	for name, outcome := range map[string]struct {
		reply  string
		status int
	}{
		"served":           {testkit.OKResponse("x"), 200},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200},
		"interim":          {"HTTP/1.1 103 Early Hints\r\n\r\n" + testkit.OKResponse("x"), 200},
		"many interim":     {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + testkit.OKResponse("x"), 200},
		"endless interim":  {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<15), 502},
		"another protocol": {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + testkit.OKResponse("x"), 502},
		"copy behind":      {testkit.OKResponse("x") + testkit.OKResponse("x"), 200},
		"part of a copy":   {testkit.OKResponse("x") + "HTT", 200},
		"noise behind":     {testkit.OKResponse("x") + "\x8e1\xc0", 502},
		"short length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabcd", 502},
		"short by much":    {"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 20000), 502},
		"two lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd", 502},
		"negative length":  {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\nabcd", 502},
		"no end of length": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), 502},
		"odd report":       {"HTTP/1.1 200 OK\r\nX-Backend-Load: =,=\r\nContent-Length: 1\r\n\r\nx", 200},
		"client's fault":   {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 404},
		"error":            {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 502},
		"503 without mark": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 502},
		"turned away":      {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"too late":         {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"500 with mark":    {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 502},
		"silent close":     {"", 502},
		"garbage":          {"\x00\x01 what\r\n\r\n", 502},
		"truncated":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nx", 502},
		"truncated chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx", 502},
		"no end":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx", 200},
		"huge header":      {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 1\r\n\r\nx", 502},
		"large":            {testkit.OKResponse(strings.Repeat("x", 6*front.BodyLimit)), 200},
		"too large":        {"HTTP/1.1 200 OK\r\nContent-Length: 41943041\r\n\r\nx", 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := testkit.Server(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, outcome.reply)
				}
			})
			node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
			if resp, _ := node.roundTrip(t, classRequest("order", "9.5", "")); resp.StatusCode != outcome.status {
				t.Errorf("status %d, want %d", resp.StatusCode, outcome.status)
			}
		})
	}
}
