package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// notificationLimit is how long after discovery had a change and was reachable the node counts as notified of it.
const notificationLimit = 6 * time.Second

const (
	refusalAnswer = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	drainVersion  = "9"
	// drainList is a format for the addresses of two servers, the first of which drains.
	drainList = `{"version":9,"full":true,"servers":[` +
		`{"id":"s-00000001","addr":%q,"zone":"z","state":"draining","weight":1},{"id":"s-00000002","addr":%q,"zone":"z","state":"ready","weight":1}]}`
)

// downDiscovery is a discovery server that fails each list request until it is restored.
type downDiscovery struct {
	addr  netip.AddrPort
	calls atomic.Int64
	fail  func(net.Conn) // handles a request until then

	mu         sync.Mutex
	list       string    // the answer once it is restored
	backAt     time.Time // when it was restored; zero: it is down
	answeredAt time.Time // when it first answered; zero: not yet
}

func newDownDiscovery(t *testing.T, fails func(net.Conn)) *downDiscovery {
	d := &downDiscovery{fail: fails}
	d.addr = netip.MustParseAddrPort(testkit.Server(t, d.serve))
	return d
}

func (d *downDiscovery) serve(c net.Conn) {
	for in := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text := d.answer()
		d.calls.Add(1)
		switch {
		case text == "":
			d.fail(c)
			return
		case request.URL.Query().Get("since") == drainVersion: // a watch from the newest version: it gets no answer
			holdOpen(c)
			return
		}
		io.WriteString(c, text)
	}
}

// answer is the answer to a request, or nothing while discovery is down.
func (d *downDiscovery) answer() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backAt.IsZero() {
		return ""
	}
	if d.answeredAt.IsZero() {
		d.answeredAt = time.Now()
	}
	return testkit.OKResponse(d.list)
}

// restore makes discovery answer with this list from now on.
func (d *downDiscovery) restore(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.backAt = list, time.Now()
}

// timeToAnswer is the time from when discovery was restored to its first answer; answered is false if there
// was none yet.
func (d *downDiscovery) timeToAnswer() (took time.Duration, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt.Sub(d.backAt), !d.answeredAt.IsZero()
}

// holdOpen keeps a connection open until the other side closes it.
func holdOpen(c net.Conn) { io.Copy(io.Discard, c) }

// maxRefused bounds the time for which requests may be refused because the node has no valid list, by the way in
// which discovery fails; 0 if it is not in the map. A list request that gets no answer is noticed 3 s after it began.
// Until then the node can't tell whether discovery is reachable, and across a reload its last evidence that discovery
// is down may be over 6 s old for a moment. A refusal or a reset is noticed at once.
var maxRefused = map[string]time.Duration{"silent": 1500 * time.Millisecond, "half an answer": 1500 * time.Millisecond}

// Discovery is down when the node starts, and so is the one at the address that a reload gives. That one comes back
// with a draining server in its list at the worst moment: just after a list request has failed, or was sent and will
// never be answered.
// Even with the request rate of a fleet of 300 nodes, the node has to get the list within 6 s and send nothing to the
// draining server after its grace.
func TestListOnRequestAfterOutage(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]func(net.Conn){
		"refuses": func(config net.Conn) { io.WriteString(config, refusalAnswer) },
		"resets":  func(config net.Conn) { config.(*net.TCPConn).SetLinger(0) },
		"silent":  holdOpen,
		"half an answer": func(config net.Conn) {
			io.WriteString(config, testkit.OKResponse(drainList)[:90])
			holdOpen(config)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lastAtDraining atomic.Int64 // Unix time, ns
			draining := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string {
				lastAtDraining.Store(time.Now().UnixNano())
				return testkit.OKResponse("x")
			}))
			ready := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string { return testkit.OKResponse("x") }))
			first, second := newDownDiscovery(t, fails), newDownDiscovery(t, fails)
			config := &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(draining, ready), Discovery: first.addr}
			// The grace has to cover delays of a busy machine too.
			config.Settings.ListOnRequest, config.Settings.Nodes, config.Settings.DrainGrace = true, 300, 2*time.Second
			config.reread = func() (*Config, error) { return &Config{Discovery: second.addr}, nil }
			node := start(t, config)
			refusedFor := time.Duration(0) // because the node had no valid list
			requestUntil := func(what string, until func() bool) {
				t.Helper()
				last := time.Now()
				for end := time.Now().Add(testkit.WaitLimit); !until(); time.Sleep(time.Millisecond) {
					resp, _ := node.roundTrip(t, classRequest("read", "9.5", ""))
					switch {
					case resp.Header.Get("X-Refused-By") == "list":
						refusedFor += time.Since(last)
					case resp.StatusCode != http.StatusOK:
						t.Errorf("%s: status %d", what, resp.StatusCode)
					}
					last = time.Now()
					if time.Now().After(end) {
						t.Fatal(what, ": timed out")
					}
				}
			}
			node.waitReady(t, http.StatusOK) // until a list request has failed, the node does not know that discovery is down
			requestUntil("down at the start", func() bool { return first.calls.Load() > 0 })
			node.hup <- syscall.SIGHUP
			requestUntil("down after the reload", func() bool { return second.calls.Load() > 0 })
			second.restore(fmt.Sprintf(drainList, draining, ready))
			requestUntil("back", func() bool { _, answered := second.timeToAnswer(); return answered })
			timeToAnswer, _ := second.timeToAnswer()
			if t.Logf("notified %v after discovery came back", timeToAnswer); timeToAnswer > notificationLimit {
				t.Errorf("notified %v after discovery came back, %v at most", timeToAnswer, notificationLimit)
			}
			graceEnds := second.answeredAt.Add(config.Settings.DrainGrace)
			requestUntil("notified", func() bool { return time.Now().After(graceEnds.Add(500 * time.Millisecond)) })
			if last := time.Unix(0, lastAtDraining.Load()); last.After(graceEnds) {
				t.Errorf("a request reached the draining server %v after the node was notified, %v at most",
					last.Sub(second.answeredAt), config.Settings.DrainGrace)
			}
			if most := maxRefused[name]; refusedFor > most {
				t.Errorf("requests were refused for %v because there was no valid list, %v at most", refusedFor, most)
			}
			if lastAtDraining.Load() == 0 {
				t.Error("the draining server got no request before: the test shows nothing")
			}
		})
	}
}
