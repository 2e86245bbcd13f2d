package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

// switchableDiscovery is a discovery server at a fixed address that can be taken down: then nobody listens there, or
// connections are accepted and never answered.
type switchableDiscovery struct {
	t            *testing.T
	addr         string
	unresponsive bool // while it is down, it accepts connections and never answers

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	open     map[net.Conn]bool
	list     discoveryList
	changed  chan struct{} // would be closed at a change of the list while it is up
	calls    []time.Time   // when each list request arrived
}

type discoveryList struct {
	Version int             `json:"version"`
	Full    bool            `json:"full"`
	Servers []standin.Entry `json:"servers"`
}

// newSwitchableDiscovery creates a discovery server at an address of its own. It is down at first.
func newSwitchableDiscovery(t *testing.T, silent bool) *switchableDiscovery {
	d := &switchableDiscovery{t: t, addr: reservedAddr(t), unresponsive: silent, open: map[net.Conn]bool{},
		changed: make(chan struct{})}
	t.Cleanup(d.closeAll)
	d.takeDown()
	return d
}

func (d *switchableDiscovery) listen() net.Listener {
	d.t.Helper()
	l, err := sharedListener(d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	return l
}

// closeAll closes the server, its listener and all connections.
func (d *switchableDiscovery) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		d.server.Close()
		d.server = nil
	}
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for c := range d.open {
		c.Close()
	}
	clear(d.open)
}

// takeDown takes discovery down and closes every connection to it.
func (d *switchableDiscovery) takeDown() {
	d.closeAll()
	if !d.unresponsive {
		return
	}
	l := d.listen()
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.open[c] = true
			d.mu.Unlock()
		}
	}()
}

// bringBack has discovery serve this list from now on, with a higher version than before, and returns the time.
func (d *switchableDiscovery) bringBack(servers ...standin.Entry) (at time.Time) {
	d.t.Helper()
	d.closeAll()
	l := d.listen()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = discoveryList{Version: d.list.Version + 1, Full: true, Servers: servers}
	d.calls = nil
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l)
	return time.Now()
}

// serve answers a list request with the full list. A caller that has the current version waits, for timeout_ms at
// most.
func (d *switchableDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, time.Now())
	list, news := d.list, d.changed
	d.mu.Unlock()
	if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil && since == list.Version {
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	json.NewEncoder(w).Encode(list)
}

// firstCall waits for the first list request since discovery came back and returns when it arrived.
func (d *switchableDiscovery) firstCall() (first time.Time) {
	d.t.Helper()
	testkit.WaitFor(d.t, "discovery gets no list request", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.calls) > 0 {
			first = d.calls[0]
		}
		return len(d.calls) > 0
	})
	return first
}

// sharedListener listens at an address from reservedAddr.
func sharedListener(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// fleetServer is a server that records when requests arrive.
type fleetServer struct {
	standin.Entry
	mu           sync.Mutex
	requestTimes []time.Time
}

func newFleetServer(t *testing.T, number int) *fleetServer {
	s := &fleetServer{}
	addr := testkit.Server(t, testkit.AnswerRequests(func(r *http.Request, _ []byte) string {
		if r.Header.Get("X-Correlation-Id") != "" {
			s.mu.Lock()
			s.requestTimes = append(s.requestTimes, time.Now())
			s.mu.Unlock()
		}
		return testkit.OKResponse("x")
	}))
	s.Entry = standin.Entry{ID: fmt.Sprintf("s-%08x", number), Addr: addr, Zone: "z", Kind: "k", State: "ready", Weight: 1}
	return s
}

// requests returns the number of requests that arrived, and when the last one did.
func (s *fleetServer) requests() (n int, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n = len(s.requestTimes); n > 0 {
		last = s.requestTimes[n-1]
	}
	return n, last
}

// newFleetServers starts count servers, numbered from first on.
func newFleetServers(t *testing.T, first, count int) (all []*fleetServer) {
	for i := range count {
		all = append(all, newFleetServer(t, first+i))
	}
	return all
}

// entries lists servers, all in the given state.
func entries(servers []*fleetServer, state string) (list []standin.Entry) {
	for _, s := range servers {
		e := s.Entry
		e.State = state
		list = append(list, e)
	}
	return list
}
