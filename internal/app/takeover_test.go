package app

import (
	"net"
	"net/netip"
	"path/filepath"
	"testing"

	"starlingvalve/internal/handover"
	"starlingvalve/internal/testkit"
)

// A predecessor that has the socket for datagrams and does not hand it over keeps no newcomer from starting.
func TestPredecessorWithoutPeers(t *testing.T) {
	t.Parallel()
	tcp, err := handover.ListenTCP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	udp, err := handover.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	c := &Config{Name: "n0", Listen: tcp.Addr().(*net.TCPAddr).AddrPort(), PeerListen: udp.LocalAddr().(*net.UDPAddr).AddrPort(),
		Handover: filepath.Join(t.TempDir(), "s"), Settings: testkit.Settings()}
	c.Settings.MayMessage = true
	keeper, err := handover.Keep(c.Handover, handover.Offer{Name: "n0", Listener: tcp, State: func() []byte { return []byte("{}") },
		Held: func() int { return 0 }, Changed: func(handover.Stage) {}}, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); keeper.Run(t.Context()) }()
	t.Cleanup(func() { <-ended })
	s, err := openSockets(c, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	defer s.clients.Close()
	if s.from == nil || s.peers == nil {
		t.Fatalf("taken over: %v, datagrams: %v", s.from != nil, s.peers != nil)
	}
	s.from.Close()
	s.peers.Close()
}
