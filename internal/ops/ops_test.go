package ops

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/internal/stats"
	"starlingvalve/internal/testkit"
)

func serve(t *testing.T, healthy func() bool, figures io.WriterTo) string {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, healthy, figures, testkit.Quiet)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func call(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testkit.Patient))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%q: %v, closes: %v", text, err, resp.Close)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("%q: the connection goes on: %v", text, err)
	}
	return resp.StatusCode, string(raw)
}

func TestCalls(t *testing.T) {
	var able atomic.Bool
	f := stats.New([]string{"clip", "order"})
	addr := serve(t, able.Load, f)
	const host = " HTTP/1.1\r\nHost: h\r\n\r\n"
	if status, _ := call(t, addr, "GET /healthcheck"+host); status != 503 {
		t.Errorf("not able: %d", status)
	}
	able.Store(true)
	for text, want := range map[string]int{"GET /healthcheck" + host: 200, "GET /stats" + host: 200, "POST /stats" + host: 405,
		"GET /health/ready" + host: 404, "GET /" + host: 404, "\x16\x03\r\n\r\n": 400, "GET /stats HTTP/1.1\r\n\r\n": 400} {
		if status, _ := call(t, addr, text); status != want {
			t.Errorf("%q: %d, want %d", text, status, want)
		}
	}
	f.End("clip", 200)
	f.End("clip", 429)
	f.End("clip", 503)
	f.End("order", 502)
	f.End("invented", 200)
	f.Sent()
	f.Taken(3)
	f.Taken(-1)
	f.Cluster(12, 2)
	_, text := call(t, addr, "GET /stats"+host)
	want := "gw.transactions.clip.answered:1|c\ngw.transactions.clip.deferred:2|c\ngw.transactions.clip.errored:0|c\n" +
		"gw.transactions.order.answered:0|c\ngw.transactions.order.deferred:0|c\ngw.transactions.order.errored:1|c\n" +
		"gw.sends:1|c\ngw.current:2|g\ngw.cluster_size:12|g\ngw.cluster_unhealthy:2|g\n"
	if text != want {
		t.Errorf("figures\n%s, want\n%s", text, want)
	}
}

// Callers that say nothing, or half a call, and stay hold out nobody, and their number is bounded.
func TestMuteCallers(t *testing.T) {
	addr := serve(t, func() bool { return true }, stats.New(nil))
	for i := range 100 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 1 {
			io.WriteString(c, "GET /stats HT")
		}
	}
	began := time.Now()
	if status, body := call(t, addr, "GET /stats HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 || !strings.HasPrefix(body, "gw.sends:0|c") {
		t.Errorf("%d %q", status, body)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("beside mute callers a call took %v", took)
	}
}
