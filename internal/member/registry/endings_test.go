package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

// newTestRegistry returns a client of a discovery service that answers call n, from 1 on, with what reply writes, and a
// channel with the query of each call.
func newTestRegistry(t *testing.T, settings decide.Settings,
	reply func(count int, w io.Writer)) (registry *Registry, calls chan url.Values) {
	t.Helper()
	var count atomic.Int64
	calls = make(chan url.Values, 999)
	addr := testkit.Server(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			calls <- r.URL.Query()
			reply(int(count.Add(1)), c) // if it writes nothing, the call gets no answer
		}
	})
	return New(netip.MustParseAddrPort(addr), settings, testkit.DiscardLog), calls
}

// listResponse returns an HTTP response that holds a list; entries are its servers in JSON.
func listResponse(version int, full bool, entries string) string {
	return testkit.OKResponse(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, entries))
}

// drainingEntry is a draining server as a list holds it.
const drainingEntry = `{"id":"s-00000001","addr":"127.0.0.1:9","state":"draining"}`

// A watch that becomes unresponsive, before the header of an answer, after it or in the middle of a list, is started
// again at once, from the version that it had; the first answer of the new one holds what was missed. A pause
// before the new request, as other list requests have it, delayed that answer in a fleet of 40 nodes until up to 3.4 s
// after the wait of the call was over; the limit is 2 s.
func TestSilentWatchIsBegunAnew(t *testing.T) {
	t.Parallel()
	whole := listResponse(8, false, drainingEntry)
	for name, written := range map[string]int{"nothing comes": 0, "silent behind its head": strings.Index(whole, "{"),
		"silent within the list": len(whole) - 9} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			registry, calls := newTestRegistry(t, decide.Settings{Nodes: 300}, func(n int, w io.Writer) {
				io.WriteString(w, []string{listResponse(7, true, ""), whole[:written], whole}[min(n, 3)-1])
			})
			if registry.serviceTiming.wait+registry.serviceTiming.slack >= registry.serviceTiming.wait+2*time.Second {
				t.Errorf("an unresponsive watch is noticed %v after its wait; the limit for all that follows, too, is 2 s", registry.serviceTiming.slack)
			}
			registry.serviceTiming.wait, registry.serviceTiming.jitter, registry.serviceTiming.slack =
				10*time.Millisecond, 0, 100*time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			received := make(chan core.List, 9)
			ended := make(chan error)
			go func() { ended <- registry.Watch(ctx, nil, func(l core.List) { received <- l }) }()
			if l := <-received; l.Version != 7 {
				t.Fatalf("the first list is %+v, want version 7", l)
			}
			if l := <-received; !l.Stalled {
				t.Errorf("received %+v, want a list marked Stalled", l)
			}
			select {
			case l := <-received:
				if l.Version != 8 || len(l.Entries) != 1 || l.Entries[0].State != decide.Draining {
					t.Errorf("received %+v, want version 8 with a draining server", l)
				}
			case err := <-ended:
				t.Fatalf("the watch ended instead of starting again: %v", err)
			}
			cancel()
			<-ended
			for i, want := range []string{"", "7 10", "7 1"} {
				if q := <-calls; strings.TrimSpace(q.Get("since")+" "+q.Get("timeout_ms")) != want {
					t.Errorf("call %d: %v, want %q", i+1, q, want)
				}
			}
		})
	}
}

// An answer of a watch that is older than one delivered before is dropped: a draining server would be ready again. The
// whole list is requested at once, because the node soon counts as notified of later changes; if another older answer
// follows, the watch ends. The versions of a discovery service that was restarted may start again: if the first answer
// has a lower version than the watch started from, and holds changes only, the whole list is requested.
func TestOlderLists(t *testing.T) {
	t.Parallel()
	registry, older := newTestRegistry(t, decide.Settings{}, func(n int, w io.Writer) {
		io.WriteString(w, []string{listResponse(7, true, drainingEntry), listResponse(6, true, ""),
			listResponse(8, true, drainingEntry), listResponse(6, false, "")}[n-1])
	})
	var versions []uint64
	if err := registry.Watch(t.Context(), nil, func(l core.List) {
		versions = append(versions, l.Version)
	}); !errors.Is(err, errOlderList) || !slices.Equal(versions, []uint64{7, 8}) {
		t.Errorf("received versions %v, error %v; want 7 and 8, and the older ones dropped", versions, err)
	}
	for i, want := range []string{"", "7", "", "8"} {
		if q := <-older; q.Get("since") != want {
			t.Errorf("call %d: since %q, want %q", i+1, q.Get("since"), want)
		}
	}
	registry, calls := newTestRegistry(t, decide.Settings{}, func(n int, w io.Writer) {
		io.WriteString(w, []string{listResponse(3, false, ""), listResponse(3, true, drainingEntry),
			"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"}[n-1])
	})
	var got []core.List
	registry.Watch(t.Context(), new(uint64(41)), func(l core.List) { got = append(got, l) })
	if len(got) != 1 || !got[0].Full || got[0].Version != 3 {
		t.Errorf("received %+v, want the whole list of version 3", got)
	}
	if first, second := <-calls, <-calls; first.Get("since") != "41" || second.Has("since") {
		t.Errorf("calls with the queries %v, %v; want since=41, then the whole list", first, second)
	}
}

// An answer of a watch that is cut off shows that there is a change: it is requested again at once, and delivered. If
// the next one is cut off too, the watch ends.
func TestBrokenAnswerIsRequestedAgain(t *testing.T) {
	t.Parallel()
	for again, want := range map[bool][]uint64{true: {7, 8}, false: {7}} {
		var calls atomic.Int64
		addr := testkit.Server(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				n := calls.Add(1)
				switch whole := listResponse(8, false, drainingEntry); {
				case n == 1:
					io.WriteString(c, listResponse(7, true, ""))
				case n == 2 || !again:
					io.WriteString(c, whole[:len(whole)-9])
					c.(*net.TCPConn).SetLinger(0)
					return
				case n == 3:
					io.WriteString(c, whole)
				default:
					return
				}
			}
		})
		registry := New(netip.MustParseAddrPort(addr), decide.Settings{Nodes: 300}, testkit.DiscardLog)
		var versions []uint64
		if err := registry.Watch(t.Context(), nil, func(l core.List) {
			versions = append(versions, l.Version)
		}); err == nil || !slices.Equal(versions, want) {
			t.Errorf("answer complete at the second try: %v; received versions %v, error %v; want %v", again,
				versions, err, want)
		}
		if n := calls.Load(); again && n < 4 || !again && n != 3 {
			t.Errorf("answer complete at the second try: %v; %d calls, want at least 4 if so, and 3 otherwise", again, n)
		}
	}
}

// An agent does not answer, or not completely, for some calls. The node counts as notified of what the agent has as
// soon as it is back, so it must be called again, and its list applied, within the grace for drains. With a backoff
// that doubled up to 5 s, a drain went unnoticed for that long.
func TestAgentComesBack(t *testing.T) {
	t.Parallel()
	const silentCalls = 3
	for name, silence := range map[string]string{"nothing comes": "",
		"refuses":     "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
		"half a list": listResponse(8, false, drainingEntry)[:90]} {
		for _, grace := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, grace), func(t *testing.T) {
				t.Parallel()
				timing := New(netip.MustParseAddrPort("127.0.0.1:9"), decide.Settings{DrainGrace: grace, Nodes: 300},
					testkit.DiscardLog).agentTiming
				if worst := timing.wait + timing.slack; worst > grace*3/4 {
					t.Errorf("an unresponsive watch is noticed after %v, with a grace of %v; want three quarters of it at most", worst, grace)
				}
				if worst := timing.firstTimeout + timing.retryPause; worst > grace*3/4 {
					t.Errorf("an agent that is back is called after %v, with a grace of %v; want three quarters of it at most", worst, grace)
				}
				registry, calls := newTestRegistry(t, decide.Settings{DrainGrace: grace, Nodes: 300},
					func(n int, w io.Writer) {
						switch {
						case n == 1:
							io.WriteString(w, listResponse(7, true, ""))
						case n <= 1+silentCalls:
							io.WriteString(w, silence)
						default: // the whole list: on a busy machine the first answer, too, may be too late
							io.WriteString(w, listResponse(8, true, drainingEntry))
						}
					})
				ctx, cancel := context.WithCancel(t.Context())
				received := make(chan core.List, 99)
				ended := make(chan bool)
				go func() { registry.Follow(ctx, nil, func(l core.List) { received <- l }, func(error) {}); close(ended) }()
				began := time.Now()
				for l := range received {
					if l.Version == 8 {
						break
					}
				}
				elapsed := time.Since(began)
				cancel()
				<-ended
				// Each call is made within its own time limit. On a busy machine the total takes longer, but the
				// number of calls is the same.
				if len(calls) < 2+silentCalls {
					t.Errorf("the new list was received after only %d calls, before the agent was back", len(calls))
				}
				if most := (silentCalls + 1) * (timing.wait + timing.slack + timing.firstTimeout + timing.retryPause); elapsed > most+testkit.WaitLimit/4 {
					t.Errorf("the new list was received after %v, want at most %v", elapsed, most)
				}
			})
		}
	}
}
