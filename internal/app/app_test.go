package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// testNode is a running node: its clients' address, a channel that stands for SIGHUP, and its end.
type testNode struct {
	addr  string
	hup   chan os.Signal
	stop  context.CancelFunc
	ended chan error
}

// start starts a node that is stopped when the test ends.
func start(t *testing.T, c *Config) *testNode {
	t.Helper()
	return startLogged(t, c, testkit.DiscardLog)
}

func startLogged(t *testing.T, c *Config, log *slog.Logger) *testNode {
	t.Helper()
	return startOn(t, c, newListener(t), log)
}

// newListener opens a listener at a port that the kernel chose. The node gets the listener itself, because a port
// that is closed and opened again may be taken by another process in between.
func newListener(t *testing.T) *net.TCPListener {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return tcp
}

// startOn starts a node on a listener. Clients may be waiting in the listener's queue already.
func startOn(t *testing.T, c *Config, tcp *net.TCPListener, log *slog.Logger) *testNode {
	t.Helper()
	if c.Limits.Sockets == 0 {
		c.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 256}
	}
	if !c.Discovery.IsValid() {
		c.Discovery = netip.MustParseAddrPort(testkit.AgentWithoutNews(t))
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{addr: tcp.Addr().String(), hup: make(chan os.Signal), stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- serve(ctx, c, &sockets{clients: tcp}, n.hup, log); close(n.ended) }()
	t.Cleanup(func() { stop(); <-n.ended })
	return n // connections wait in the listener's queue until it serves
}

var lastRequestID atomic.Int64

// classRequest is a request of a class with a new id, left seconds of patience and a body.
func classRequest(class, left, body string) string {
	method, key := "GET", ""
	if class != "read" {
		method = "POST"
	}
	if class == "tag" {
		key = "Idempotency-Key: k\r\n"
	}
	return fmt.Sprintf("%s /%s?obj=a%%2fb HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: id%d\r\n%sX-Time-Left: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, class, lastRequestID.Add(1), key, left, len(body), body)
}

// roundTrip sends text on a new connection and reads one answer.
func (n *testNode) roundTrip(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.WaitLimit))
	io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the answer is incomplete: %v", err)
	}
	return resp, string(body)
}
