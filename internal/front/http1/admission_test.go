package http1

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

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
	refused.SetDeadline(time.Now().Add(testkit.Patient))
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
