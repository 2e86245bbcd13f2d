package app

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

// registryOf starts a discovery server that answers request n, counted from 1, with what answer returns for it.
func registryOf(t *testing.T, answer func(n int, query url.Values) string) netip.AddrPort {
	var calls atomic.Int64
	return netip.MustParseAddrPort(testkit.Server(t, testkit.AnswerRequests(func(r *http.Request, _ []byte) string {
		return answer(int(calls.Add(1)), r.URL.Query())
	})))
}

// jsonList is an answer of discovery with one server.
func jsonList(version int, full bool, state, addr string) string {
	return testkit.OKResponse(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":1,"state":%q,"weight":1,"started_ms":0}]}`,
		version, full, addr, state))
}

// waitReady waits until the node's readiness check answers with the status want.
func (n *testNode) waitReady(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitLimit); ; time.Sleep(5 * time.Millisecond) {
		resp, _ := n.roundTrip(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp.StatusCode == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the readiness check answers %d, want %d", resp.StatusCode, want)
		}
	}
}

// An invalid list counts as a failed request and does not crash the node: the node requests it again, and the watch
// continues from the version that it has. A drained server then gets no more requests.
func TestDiscovery(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		var requestCount atomic.Int64
		addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request,
			[]byte) string {
			requestCount.Add(1)
			return testkit.OKResponse("x")
		}))
		drain := make(chan struct{})
		config := &Config{Settings: testkit.Settings(), Known: core.List{Version: 1}}
		config.Settings.ListOnRequest = !pushed
		config.Discovery = registryOf(t, func(n int, q url.Values) string {
			switch n {
			case 1:
				return testkit.OKResponse(`{"version":"x"`)
			case 2:
				return jsonList(5, false, "asleep", addr)
			case 3:
				return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
			case 4:
				if q.Get("since") != "1" {
					t.Errorf("since %q, want 1", q.Get("since"))
				}
				return jsonList(7, true, "ready", addr)
			case 5:
				if q.Get("since") != "7" {
					t.Errorf("since %q, want 7", q.Get("since"))
				}
				<-drain
				return jsonList(8, false, "draining", addr)
			}
			return ""
		})
		node := start(t, config)
		node.waitReady(t, 503)
		node.waitReady(t, 200)
		if resp, _ := node.roundTrip(t, classRequest("read", "9.5", "")); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
		close(drain)
		node.waitReady(t, 503)
		if resp, _ := node.roundTrip(t, classRequest("read", "9.5", "")); resp.StatusCode != 503 || requestCount.Load() != 1 {
			t.Errorf("status %d, %d requests at a draining server", resp.StatusCode, requestCount.Load()-1)
		}
		node.stop()
	}
}

// After SIGHUP the node requests the full list at discovery's new address at once, because the versions there need
// not continue the old ones, and although the watch at the old address hangs. An invalid file changes nothing, and
// several reloads in a row do no harm.
func TestReload(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string { return testkit.OKResponse("x") }))
		hang, requested := make(chan struct{}), make(chan struct{}, 9)
		config := &Config{Settings: testkit.Settings(), Known: core.List{Version: 40}}
		config.Settings.ListOnRequest = !pushed
		config.Discovery = registryOf(t, func(_ int, q url.Values) string {
			requested <- struct{}{}
			<-hang
			return ""
		})
		calls := make(chan string, 99)
		to := registryOf(t, func(n int, q url.Values) string {
			calls <- q.Get("since")
			if n == 1 {
				return jsonList(7, true, "ready", addr)
			}
			<-hang
			return ""
		})
		files := make(chan error)
		config.reread = func() (*Config, error) {
			if err := <-files; err != nil {
				return nil, err
			}
			return &Config{Discovery: to}, nil
		}
		node := start(t, config)
		<-requested
		node.hup <- syscall.SIGHUP
		files <- errors.New("bad")
		node.waitReady(t, 503)
		for range 3 {
			node.hup <- syscall.SIGHUP
			files <- nil
		}
		node.waitReady(t, 200)
		if first, second := <-calls, <-calls; first != "" || second != "7" {
			t.Errorf("pushed: %v: requested the list since %q and %q", pushed, first, second)
		}
		node.stop()
		close(hang)
		if err := <-node.ended; err != nil {
			t.Error(err)
		}
	}
}
