package app

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"path/filepath"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/handover"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/testkit"
)

// A successor starts also if the predecessor has a socket for datagrams at the same address and does not hand it
// over.
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
	config := &Config{Name: "n0", Listen: tcp.Addr().(*net.TCPAddr).AddrPort(),
		PeerListen: udp.LocalAddr().(*net.UDPAddr).AddrPort(),
		Handover:   filepath.Join(t.TempDir(), "s"), Settings: testkit.Settings()}
	config.Settings.MayMessage = true
	server, err := handover.Listen(config.Handover, handover.Offer{Name: "n0", Listener: tcp,
		State:       func() []byte { return []byte("{}") },
		Connections: func() int { return 0 }, Changed: func(handover.Stage) {}}, testkit.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); server.Run(t.Context()) }()
	t.Cleanup(func() { <-ended })
	opened, err := openSockets(config, testkit.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.clients.Close()
	if opened.predecessor == nil || opened.peers == nil {
		t.Fatalf("took over sockets: %v, has a socket for datagrams: %v", opened.predecessor != nil, opened.peers != nil)
	}
	opened.predecessor.Close()
	opened.peers.Close()
}

// A successor whose configuration names another discovery server than its predecessor's requests the full list at
// once. The handed list may have other servers, and a watch from its version might wait forever.
func TestSuccessorOfElsewhere(t *testing.T) {
	t.Parallel()
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string { return testkit.OKResponse("x") }))
	nobody := testkit.Server(t, func(config net.Conn) { config.Close() })
	for _, pushed := range []bool{false, true} {
		hang := make(chan struct{})
		config := &Config{Name: "n0", Handover: filepath.Join(t.TempDir(), "s"), Settings: testkit.Settings(),
			Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 256}}
		config.Settings.ListOnRequest = !pushed
		config.Discovery = registryOf(t, func(_ int, q url.Values) string {
			if q.Get("since") == "" || q.Get("since") == "0" {
				return jsonList(7, true, "ready", addr)
			}
			<-hang // nothing is newer than version 50
			return ""
		})
		t.Cleanup(func() { close(hang) })
		tcp, err := handover.ListenTCP(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		defer tcp.Close()
		config.Listen = tcp.Addr().(*net.TCPAddr).AddrPort()
		raw, err := json.Marshal(handedState{Source: "127.0.0.1:9",
			List: core.List{Version: 50, Full: true, Entries: []core.Entry{{Server: decide.Server{ID: registry.ServerID("s-00000001"), State: decide.Ready, Size: 1}, Name: "s-00000001", Addr: nobody}}}})
		if err != nil {
			t.Fatal(err)
		}
		server, err := handover.Listen(config.Handover, handover.Offer{Name: "n0", Listener: tcp,
			State:       func() []byte { return raw },
			Connections: func() int { return 0 }, Changed: func(handover.Stage) {}}, testkit.DiscardLog)
		if err != nil {
			t.Fatal(err)
		}
		serverEnded := make(chan struct{})
		serverCtx, stopServer := context.WithCancel(context.Background())
		go func() { defer close(serverEnded); server.Run(serverCtx) }()
		opened, err := openSockets(config, testkit.DiscardLog)
		if err != nil || opened.predecessor == nil {
			t.Fatal(err, opened)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- serve(ctx, config, opened, nil, testkit.DiscardLog) }()
		node := &testNode{addr: config.Listen.String()}
		tcp.Close() // the successor has it
		for limit := time.Now().Add(testkit.WaitLimit); ; time.Sleep(10 * time.Millisecond) {
			resp, _ := node.roundTrip(t, classRequest("read", "9.5", ""))
			if resp.StatusCode == 200 {
				break
			}
			if time.Now().After(limit) {
				t.Fatalf("pushed %v: still %d", pushed, resp.StatusCode)
			}
		}
		stop()
		stopServer()
		<-serverEnded
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
