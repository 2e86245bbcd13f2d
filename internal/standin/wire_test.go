package standin

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

func echoWire(t *testing.T) (*Wire, *net.UDPConn) {
	t.Helper()
	echo, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, from, err := echo.ReadFrom(buf)
			if err != nil {
				return
			}
			echo.WriteTo(buf[:n], from)
		}
	}()
	wire, err := NewWire(echo.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("udp", wire.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); wire.Close(); echo.Close() })
	return wire, conn.(*net.UDPConn)
}

// roundTripUntilAnswered sends datagrams until one comes back, or until a send or read fails.
func roundTripUntilAnswered(c *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if _, err := c.Write([]byte("there and back")); err != nil {
			return err
		}
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.Read(buf)
		if err == nil || !isTimeout(err) {
			return err
		}
	}
	return errors.New("no datagram came back")
}

// Guards against a wire whose closed port is silent in place of refusing datagrams, or that does not carry again
// after the port is reopened.
func TestWireClosedPortRefuses(t *testing.T) {
	t.Parallel()
	wire, conn := echoWire(t)
	if err := roundTripUntilAnswered(conn); err != nil {
		t.Fatal(err)
	}
	wire.ClosePort()
	if err := roundTripUntilAnswered(conn); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("closed port: %v, want a refusal", err)
	}
	if err := wire.ReopenPort(); err != nil {
		t.Fatal(err)
	}
	err := roundTripUntilAnswered(conn)
	for range 10 { // a refusal from before may still be reported
		if err == nil {
			break
		}
		err = roundTripUntilAnswered(conn)
	}
	if err != nil {
		t.Errorf("port reopened: %v", err)
	}
}

// Guards against a throttle that drops nothing, or that drops what its rate and queue allow.
func TestWireThrottled(t *testing.T) {
	t.Parallel()
	wire, conn := echoWire(t)
	if err := roundTripUntilAnswered(conn); err != nil {
		t.Fatal(err)
	}
	wire.Throttle(10_000) // 3 kB (3 datagrams) fit into its queue
	for range 40 {
		conn.Write(make([]byte, 1000))
	}
	for deadline := time.Now().Add(10 * time.Second); wire.QueueDrops() < 20 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n := wire.QueueDrops(); n < 20 {
		t.Errorf("%d of 40 datagrams dropped, want at least 20", n)
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := conn.Read(make([]byte, maxDatagramBytes)); n != 1000 {
		t.Errorf("%d bytes came back, %v", n, err)
	}
	wire.Throttle(0)
	if err := roundTripUntilAnswered(conn); err != nil {
		t.Errorf("at full speed again: %v", err)
	}
}
