package app

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/testkit"
)

// disconnectDuringHandshake has a client disconnect while its first attempt waits for a connection to the server. The
// server's listen queue is full until then, so that the handshake takes 1 s, after which the kernel sends the SYN
// again.
func disconnectDuringHandshake(t *testing.T, scenario disconnect, class int) disconnectOutcome {
	t.Helper()
	settings := testkit.Settings()
	scenario.change(&settings)
	node, addr, release := nodeWithFullListener(t, settings)
	server := &attemptLog{}
	conn := node.dial(t)
	io.WriteString(conn, request(settings.Classes[class], leavingID, "60"))
	waitDialing(t, addr)
	second := node.dial(t) // its handshake begins after the other's
	io.WriteString(second, request(settings.Classes[0], "stays", "60"))
	closed := scenario.perform(conn)
	time.Sleep(scenario.after)
	release(server.serve)
	second.answer(t)
	if scenario.leave == nil {
		conn.answer(t)
	}
	node.stop()
	<-node.ended
	server.settle(t, addr)
	return disconnectOutcome{server, closed}
}

// A first attempt that waited 1 s for a handshake must not begin once its client has disconnected, whatever the
// client has pipelined behind its request, for classes of each effect, and whether or not attempts may be canceled.
func TestDepartedDuringHandshake(t *testing.T) {
	t.Parallel()
	for name, cancels := range map[string]bool{"cancels": true, "does not cancel": false} {
		change := func(s *decide.Settings) { s.MayCancel = cancels }
		for class := range testkit.Settings().Classes {
			t.Run(fmt.Sprint(name, " ", class), func(t *testing.T) {
				t.Parallel()
				if stays := disconnectDuringHandshake(t, disconnect{change: change}, class); stays.server.count(leavingID) == 0 {
					t.Fatal("no attempt for a client that stays connected: the subtests show nothing")
				}
				for how, leave := range disconnectKinds {
					for _, what := range []string{"nothing", "1 MB"} {
						behind := pipelinedKinds[what]
						t.Run(how+" behind "+what, func(t *testing.T) {
							t.Parallel()
							worst := checkLimit(t, func() disconnectOutcome {
								scenario := disconnect{behind: behind, leave: leave, after: pastDisconnectLimit, change: change}
								return disconnectDuringHandshake(t, scenario, class)
							})
							t.Logf("worst %v, limit %v", worst, disconnectLimit)
						})
					}
				}
			})
		}
	}
}

// disconnectInListenQueue has a client connect, write text and disconnect before the node accepts its connection, as
// happens while the node is busy or has no descriptor left.
func disconnectInListenQueue(t *testing.T, scenario disconnect, text string) disconnectOutcome {
	t.Helper()
	server, clients := &attemptLog{}, newListener(t)
	addr := testkit.Server(t, server.serve)
	conn, err := net.Dial("tcp", clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c := client{TCPConn: conn.(*net.TCPConn)}
	io.WriteString(c, text)
	closed := scenario.perform(c)
	time.Sleep(scenario.after)
	node := startOn(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)}, clients, testkit.DiscardLog)
	node.waitReady(t, 200) // over a connection that is accepted after the client's
	if scenario.leave == nil {
		testkit.WaitFor(t, "the request is not served", func() bool { return server.count(leavingID) > 0 })
	}
	node.stop()
	<-node.ended
	server.settle(t, addr)
	return disconnectOutcome{server, closed}
}

// No attempt begins for a client that disconnected before its connection was accepted, and a body of such a client is
// not sent on to its end.
func TestDepartedInListenQueue(t *testing.T) {
	t.Parallel()
	settings := testkit.Settings()
	short := request(settings.Classes[0], leavingID, "60")
	for what, text := range map[string]string{
		"a request":             short,
		"a request and a byte":  short + "G",
		"a request and 30 KB":   short + pipelinedRequests(settings.Classes[0], 200),
		"a request with 300 KB": withBody(request(settings.Classes[2], leavingID, "60"), 300<<10),
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if stays := disconnectInListenQueue(t, disconnect{}, text); stays.server.count(leavingID) != 1 {
				t.Fatal("no attempt for a client that stays connected: the test shows nothing")
			}
			var worst time.Duration
			for _, leave := range disconnectKinds {
				worst = max(worst, checkLimit(t, func() disconnectOutcome {
					return disconnectInListenQueue(t, disconnect{leave: leave, after: pastDisconnectLimit}, text)
				}))
			}
			t.Logf("worst %v, limit %v", worst, disconnectLimit)
		})
	}
}

// withBody adds a body of size bytes to a request without one.
func withBody(request string, size int) string {
	return strings.Replace(request, "Length: 0", fmt.Sprint("Length: ", size), 1) + strings.Repeat("x", size)
}
