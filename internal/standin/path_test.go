package standin

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a stand-in path that does not fail as set, or that stays broken after the fault: rigs would then
// test nothing.
func TestPathFaults(t *testing.T) {
	t.Parallel()
	s, err := NewServer(ServerOptions{Name: "s"}, map[string]Work{"read": {Bytes: 20}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	path, err := NewPath(s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	dial := func() net.Conn {
		t.Helper()
		c, err := net.DialTimeout("tcp", path.Addr, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	answer := func(c net.Conn, within time.Duration) error {
		io.WriteString(c, "GET /health/live HTTP/1.1\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(within))
		_, err := c.Read(make([]byte, 512))
		return err
	}
	c := dial()
	if err := answer(c, 5*time.Second); err != nil {
		t.Fatal("healthy:", err)
	}
	path.SetFault(PathSilent)
	if err := answer(c, 100*time.Millisecond); !isTimeout(err) {
		t.Errorf("silent: %v", err)
	}
	path.SetFault(PathHealthy)
	if err := answer(c, 5*time.Second); err == nil || isTimeout(err) {
		t.Errorf("want a reset of a connection that was silent, once the path is healthy: %v", err)
	}
	c = dial()
	answer(c, 5*time.Second)
	path.SetFault(PathResets)
	if err := answer(c, 5*time.Second); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) &&
		!errors.Is(err, io.EOF) {
		t.Errorf("resets: %v", err)
	}
	path.SetFault(PathHealthy)
	if err := answer(dial(), 5*time.Second); err != nil {
		t.Errorf("healthy again: %v", err)
	}
	path.SetFault(PathConnectsStall)
	late := 0
	for range 4 { // the kernel establishes one or two connections even with a backlog of 0
		if c, err := net.DialTimeout("tcp", path.Addr, 100*time.Millisecond); err != nil {
			late++
		} else {
			defer c.Close()
		}
	}
	if late == 0 {
		t.Error("stalled connects: all connections were established")
	}
	path.SetFault(PathHealthy)
	if err := answer(dial(), 5*time.Second); err != nil {
		t.Errorf("healthy after stalled connects: %v", err)
	}
}
