package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// Datagrams reach one node or all others, and those that are too long, or for an unknown node, are dropped. Only
// datagrams of other nodes of the tier are received, and none that is too long.
func TestDatagrams(t *testing.T) {
	t.Parallel()
	udp := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	other, stranger := udp(), udp()
	address := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	peers := New(conn, []netip.AddrPort{{}, address(other)}, netip.AddrPort{}, 0, testkit.DiscardLog)
	ctx, cancel := context.WithCancel(t.Context())
	received, ended := make(chan string, 9), make(chan struct{})
	go peers.SendQueued(ctx)
	go func() {
		defer close(ended)
		peers.Receive(func(from int, data []byte) { received <- fmt.Sprint(from, " ", string(data)) })
	}()
	peers.Send(1, false, make([]byte, DatagramLimit+1))
	peers.Send(9, false, nil)
	peers.Send(1, false, []byte("one"))
	peers.Send(0, true, []byte("all"))
	buf := make([]byte, 2*DatagramLimit)
	other.SetReadDeadline(time.Now().Add(testkit.WaitLimit))
	for _, want := range []string{"one", "all"} {
		if n, _, err := other.ReadFromUDP(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("datagram %q, %v; want %q", buf[:n], err, want)
		}
	}
	own := address(peers.conn)
	stranger.WriteToUDPAddrPort([]byte("lies"), own)
	other.WriteToUDPAddrPort(make([]byte, DatagramLimit+1), own)
	other.WriteToUDPAddrPort([]byte("hi"), own)
	if got := <-received; got != "1 hi" {
		t.Errorf("received %q", got)
	}
	cancel()
	<-ended
}
