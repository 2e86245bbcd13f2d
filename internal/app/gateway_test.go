package app

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingvalve/internal/gateway"
	"starlingvalve/internal/link"
	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

// gatewayPair creates the gateway configurations of two sites that are each other's peers. Nothing listens yet.
func gatewayPair(t *testing.T) (a, b *gateway.Config) {
	t.Helper()
	var certs [2]tls.Certificate
	var authorities [2]*standin.Authority
	var addresses [2]netip.AddrPort
	names := [2]string{"hall-a.example.org", "hall-b.example.org"}
	for i := range 2 {
		var err error
		if authorities[i], err = standin.NewAuthority(); err != nil {
			t.Fatal(err)
		}
		if certs[i], _, _, err = authorities[i].Issue(names[i], time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = udp.LocalAddr().(*net.UDPAddr).AddrPort()
		udp.Close()
	}
	var configs [2]*gateway.Config
	for i := range 2 {
		other := 1 - i
		configs[i] = &gateway.Config{Listen: addresses[i], MaxHandOffsOut: 16, MaxHandOffsIn: 16, LedgerEntries: 100, LedgerBytes: 1 << 20, SpareShare: 1,
			Identity: &link.Identity{Site: names[i], Certificate: certs[i],
				Peers: []link.Peer{{Name: names[other], Roots: authorities[other].Roots(),
					Addresses: []string{addresses[other].String()}}}}}
	}
	return configs[0], configs[1]
}

// A site without servers hands its requests to another site. Keyed requests are never handed over, and are refused.
// After a reload that removes the other site, nothing is handed over any more.
func TestTwoSites(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request,
		[]byte) string {
		runs.Add(1)
		return testkit.OKResponse("from b")
	}))
	fileA, fileB := gatewayPair(t)
	start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr), Gateway: fileB})
	configA := &Config{Settings: testkit.Settings(), Gateway: fileA}
	withoutPeers := *fileA
	identity := *fileA.Identity
	identity.Peers = nil
	withoutPeers.Identity = &identity
	configA.reread = func() (*Config, error) { return &Config{Discovery: configA.Discovery, Gateway: &withoutPeers}, nil }
	nodeA := start(t, configA)
	until := func(class string, status int) (body string) {
		t.Helper()
		for end := time.Now().Add(testkit.WaitLimit); ; time.Sleep(10 * time.Millisecond) {
			resp, text := nodeA.roundTrip(t, classRequest(class, "9.5", ""))
			if resp.StatusCode == status {
				return text
			}
			if time.Now().After(end) {
				t.Fatalf("%s: status %d, want %d", class, resp.StatusCode, status)
			}
		}
	}
	if got := until("read", 200); got != "from b" {
		t.Errorf("%q", got)
	}
	until("order", 200)
	before := runs.Load()
	if resp, _ := nodeA.roundTrip(t, classRequest("tag", "9.5", "")); resp.StatusCode != 503 || runs.Load() != before {
		t.Errorf("keyed: status %d, %d runs", resp.StatusCode, runs.Load()-before)
	}
	nodeA.hup <- syscall.SIGHUP
	until("read", 503)
	until("order", 503)
	nodeA.stop()
	if err := <-nodeA.ended; err != nil {
		t.Error(err)
	}
}

// If either node gets SIGTERM while a hand-off is in flight, the request is answered, and then the node exits.
func TestEndWithHandoffInFlight(t *testing.T) {
	t.Parallel()
	for _, side := range []string{"near", "far"} {
		t.Run(side, func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan struct{}, 9), make(chan struct{})
			addr := testkit.Server(t, testkit.AnswerRequests(func(r *http.Request, _ []byte) string {
				if r.URL.Path == "/order" {
					arrived <- struct{}{}
					<-release
				}
				return testkit.OKResponse("from b")
			}))
			fileA, fileB := gatewayPair(t)
			nodes := map[string]*testNode{"far": start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr),
				Gateway: fileB}),
				"near": start(t, &Config{Settings: testkit.Settings(), Gateway: fileA})}
			for end := time.Now().Add(testkit.WaitLimit); ; time.Sleep(10 * time.Millisecond) {
				if resp, _ := nodes["near"].roundTrip(t, classRequest("read", "9.5", "")); resp.StatusCode == 200 {
					break
				} else if time.Now().After(end) {
					t.Fatal("no request is handed over")
				}
			}
			status := make(chan int, 1)
			go func() {
				for { // the other site may have no headroom for a moment
					resp, _ := nodes["near"].roundTrip(t, classRequest("order", "9.5", ""))
					if resp.StatusCode != 503 {
						status <- resp.StatusCode
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			<-arrived
			nodes[side].stop()
			time.AfterFunc(700*time.Millisecond, func() { close(release) }) // when the listener has closed already
			if got := <-status; got != 200 {
				t.Errorf("status %d", got)
			}
			select {
			case err := <-nodes[side].ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(testkit.WaitLimit):
				t.Error("the node does not exit")
			}
		})
	}
}
