package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"starlingvalve/internal/standin"
	"starlingvalve/internal/standin/discovery"
	"starlingvalve/internal/testkit"
)

const (
	onRequestDrainGrace = 1500 * time.Millisecond // how long after a notification requests may still go to a draining server
	onRequestSlack      = 500 * time.Millisecond  // added for delays of a busy machine
	onRequestCallTime   = 300 * time.Millisecond  // time that discovery takes for each list request: slow answers
	onRequestAfterDrain = 5 * time.Second         // how long requests continue after the drain
)

// onRequestNode is a node's process that requests its list from a discovery server which the test controls, and two
// servers.
type onRequestNode struct {
	t            *testing.T
	service      *discovery.Service
	caller       *discovery.Caller
	servers      []*standin.Server
	cmd          *exec.Cmd
	listen       string
	requestCount int
}

// newOnRequestNode starts a node that is configured as one of this many nodes.
func newOnRequestNode(t *testing.T, nodes int) *onRequestNode {
	t.Helper()
	n := prepareOnRequestNode(t, nodes)
	n.begin()
	return n
}

// prepareOnRequestNode does the same as newOnRequestNode without starting the process; begin starts it.
func prepareOnRequestNode(t *testing.T, nodes int) *onRequestNode {
	t.Helper()
	node := &onRequestNode{t: t}
	var entries []standin.Entry
	for i := range 2 {
		server, err := standin.NewServer(standin.ServerOptions{Name: fmt.Sprintf("s-%08x", i+1), Zone: "z"},
			map[string]standin.Work{"read": {Time: 3 * time.Millisecond, Bytes: 20}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		node.servers, entries = append(node.servers, server), append(entries, standin.EntryOf(server))
	}
	node.service = discovery.New(onRequestCallTime, entries...)
	t.Cleanup(node.service.Close)
	node.caller = node.listenTo(node.service)
	servers, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	node.cmd, _ = programCommand(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"known":{"version":1,"full":true,"servers":%s},"settings":{"balancers":%d,"membership_mode":"on_request",
		"caps":{"connect_timeout_ns":2000000000,"cancel":true,"max_attempts":2},
		"classes":[{"name":"read","effect":"retryable","give_up_ns":3000000000,"aim_ns":2500000000}],
		"invariants":{"ask_within_ns":10000000000,"drain_grace_ns":%d}}}`, node.caller.Addr, servers, nodes, onRequestDrainGrace))
	return node
}

// begin starts the process.
func (n *onRequestNode) begin() {
	n.caller.ProcessStarted(1)
	lines, listen := startProgram(n.t, n.cmd)
	go discardLines(lines)
	n.listen = listen
}

// discardLines reads the rest of a log, so that its writer does not block.
func discardLines(lines *bufio.Scanner) {
	for lines.Scan() {
	}
}

// listenTo opens an address of a discovery service for this node.
func (n *onRequestNode) listenTo(s *discovery.Service) *discovery.Caller {
	n.t.Helper()
	c, err := s.Listen("n0")
	if err != nil {
		n.t.Fatal(err)
	}
	return c
}

// requests makes several concurrent requests, so that both servers are used, and waits for their answers.
func (n *onRequestNode) requests() {
	const atOnce = 4
	var open sync.WaitGroup
	for range atOnce {
		n.requestCount++
		id := fmt.Sprint("id-", n.requestCount)
		open.Go(func() { n.request(id) })
	}
	open.Wait()
}

// request makes one request. It need not be served, as the process may have no server for it at the moment.
func (n *onRequestNode) request(id string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.listen+"/read", nil)
	if err != nil {
		n.t.Error(err)
		return
	}
	req.Header = http.Header{"X-Correlation-Id": {id}, "X-Time-Left": {"2.0"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		n.t.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// requestsUntil makes requests, one batch after the other, until done returns true.
func (n *onRequestNode) requestsUntil(what string, done func() bool) {
	n.t.Helper()
	for end := time.Now().Add(testkit.WaitLimit); !done(); time.Sleep(5 * time.Millisecond) {
		if n.requests(); time.Now().After(end) {
			n.t.Fatal("timed out waiting for", what)
		}
	}
}

// drainAfter makes requests, and has the first server drain right after discovery has given more than this many
// answers. It returns the number of requests that reached that server after the grace that follows the node's
// notification.
func (n *onRequestNode) drainAfter(caller *discovery.Caller, service *discovery.Service, answers int) (late int) {
	n.t.Helper()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for end := time.Now().Add(testkit.WaitLimit); len(caller.Answers()) <= answers && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		for end := time.Now().Add(testkit.WaitLimit); len(n.servers[0].Log()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // a process that starts sends no request before that answer
		}
		entry := standin.EntryOf(n.servers[0])
		entry.State = "draining"
		service.Set(entry)
	}()
	n.requestsUntil("an answer", func() bool {
		select {
		case <-answered:
			return true
		default:
			return false
		}
	})
	if len(n.servers[0].Log()) == 0 {
		n.t.Fatal("the server got no request before the drain: the test shows nothing")
	}
	over := time.Now().Add(onRequestAfterDrain)
	n.requestsUntil("the end", func() bool { return time.Now().After(over) })
	for _, notification := range caller.Notifications() {
		if notification.State != "draining" {
			continue
		}
		log := n.servers[0].Log()
		n.t.Logf("notified by: %s, answers: %d, last request %v after it", notification.By, len(caller.Answers()),
			log[len(log)-1].ReceivedAt.Sub(notification.At))
		end := notification.At.Add(onRequestDrainGrace + onRequestSlack)
		for _, received := range n.servers[0].Log() {
			if received.ReceivedAt.After(end) {
				late++
			}
		}
		return late
	}
	n.t.Fatal("the process was never notified: the test shows nothing")
	return 0
}

// A server begins to drain right after a slow answer of discovery, at the start of a process, after an outage that
// ended its watch, or after a reload. The process has to notice the drain in time. It used to open its next watch
// only 2.9 to 3.9 s after the answer, and until then used the list from before the drain.
func TestDrainRightAfterSlowAnswer(t *testing.T) {
	t.Run("start", func(t *testing.T) {
		t.Parallel()
		node := newOnRequestNode(t, 6)
		if late := node.drainAfter(node.caller, node.service, 0); late > 0 {
			t.Errorf("%d requests went to a draining server after its grace", late)
		}
	})
	t.Run("outage", func(t *testing.T) {
		t.Parallel()
		node := newOnRequestNode(t, 6)
		node.requestsUntil("the first answer", func() bool { return len(node.caller.Answers()) > 0 })
		node.service.SetFault(discovery.Fault{Down: true})
		over := time.Now().Add(onRequestAfterDrain) // longer than any pause between the process's list requests
		node.requestsUntil("the end of the outage", func() bool { return time.Now().After(over) })
		answers := len(node.caller.Answers())
		node.service.SetFault(discovery.Fault{})
		if late := node.drainAfter(node.caller, node.service, answers); late > 0 {
			t.Errorf("%d requests went to a draining server after its grace", late)
		}
	})
	t.Run("reload", func(t *testing.T) {
		t.Parallel()
		node := newOnRequestNode(t, 6)
		node.requestsUntil("the first answer", func() bool { return len(node.caller.Answers()) > 0 })
		_, entries := node.service.List()
		other := discovery.New(onRequestCallTime, entries...)
		t.Cleanup(other.Close)
		caller := node.listenTo(other)
		caller.ProcessStarted(1)
		node.moveTo(caller)
		if late := node.drainAfter(caller, other, 0); late > 0 {
			t.Errorf("%d requests went to a draining server after its grace", late)
		}
	})
}
