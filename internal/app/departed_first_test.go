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
func late(t *testing.T, d departure, class int) departed {
	t.Helper()
	s := testkit.Settings()
	d.change(&s)
	n, addr, letGo := lateNode(t, s)
	server := &attemptLog{}
	c := n.dial(t)
	io.WriteString(c, request(s.Classes[class], departedID, "60"))
	dialing(t, addr)
	second := n.dial(t) // its handshake begins after the other's
	io.WriteString(second, request(s.Classes[0], "stays", "60"))
	closed := d.goes(c)
	time.Sleep(d.after)
	letGo(server.serve)
	second.answer(t)
	if d.leave == nil {
		c.answer(t)
	}
	n.stop()
	<-n.ended
	server.settle(t, addr)
	return departed{server, closed}
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
				if stays := late(t, departure{change: change}, class); stays.server.count(departedID) == 0 {
					t.Fatal("no attempt for a client that stays connected: the subtests show nothing")
				}
				for how, leave := range leave {
					for _, what := range []string{"nothing", "1 MB"} {
						behind := hiding[what]
						t.Run(how+" behind "+what, func(t *testing.T) {
							t.Parallel()
							worst := holdsLimit(t, func() departed {
								d := departure{behind: behind, leave: leave, after: beyondLimit, change: change}
								return late(t, d, class)
							})
							t.Logf("worst %v, limit %v", worst, departedLimit)
						})
					}
				}
			})
		}
	}
}

// disconnectInListenQueue has a client connect, write text and disconnect before the node accepts its connection, as
// happens while the node is busy or has no descriptor left.
func queue(t *testing.T, d departure, text string) departed {
	t.Helper()
	server, clients := &attemptLog{}, listener(t)
	addr := testkit.Server(t, server.serve)
	conn, err := net.Dial("tcp", clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c := client{TCPConn: conn.(*net.TCPConn)}
	io.WriteString(c, text)
	closed := d.goes(c)
	time.Sleep(d.after)
	n := startOn(t, &Config{Settings: testkit.Settings(), Known: testkit.Known(addr)}, clients, testkit.Quiet)
	n.waitReady(t, 200) // over a connection that is accepted after the client's
	if d.leave == nil {
		testkit.Until(t, "the request is not served", func() bool { return server.count(departedID) > 0 })
	}
	n.stop()
	<-n.ended
	server.settle(t, addr)
	return departed{server, closed}
}

// No attempt begins for a client that disconnected before its connection was accepted, and a body of such a client is
// not sent on to its end.
func TestDepartedInListenQueue(t *testing.T) {
	t.Parallel()
	s := testkit.Settings()
	short := request(s.Classes[0], departedID, "60")
	for what, text := range map[string]string{
		"a request":             short,
		"a request and a byte":  short + "G",
		"a request and 30 KB":   short + behind(s.Classes[0], 200),
		"a request with 300 KB": withBody(request(s.Classes[2], departedID, "60"), 300<<10),
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if stays := queue(t, departure{}, text); stays.server.count(departedID) != 1 {
				t.Fatal("no attempt for a client that stays connected: the test shows nothing")
			}
			var worst time.Duration
			for _, leave := range leave {
				worst = max(worst, holdsLimit(t, func() departed {
					return queue(t, departure{leave: leave, after: beyondLimit}, text)
				}))
			}
			t.Logf("worst %v, limit %v", worst, departedLimit)
		})
	}
}

// withBody adds a body of size bytes to a request without one.
func withBody(request string, size int) string {
	return strings.Replace(request, "Length: 0", fmt.Sprint("Length: ", size), 1) + strings.Repeat("x", size)
}
