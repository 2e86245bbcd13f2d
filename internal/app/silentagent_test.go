package app

// These tests guard against requests to draining servers by a pushed list that nothing confirms.
//
// What happened: while a process was down, its agent learned that servers drain, and then discovery went down, so that the
// agent was silent. The new process sent by the list of its configuration until the agent answered again, 9 s later: a
// pushed list had no lifetime, and a failed call to the agent was a debug line that the decision module never saw.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/handover"
	"starlingvalve/internal/standin"
	"starlingvalve/internal/standin/discovery"
	"starlingvalve/internal/testkit"
)

const (
	// longOutage is longer than any time after which a process could take discovery for down and go on by its old list.
	longOutage = 14 * time.Second
	// reloadNotifies is how long after SIGHUP a process counts as notified of what its new agent has.
	reloadNotifies = 4 * time.Second
	// drainSlack is added to the drain grace, for sockets.
	drainSlack = 50 * time.Millisecond
	// readyWithin is the time in which nine in ten processes have to be ready.
	readyWithin = 10 * time.Second
	// backWithin is the time after the agent's return in which requests are served again. The agent is called several times
	// within the drain grace.
	backWithin = time.Second
)

// agentRun is a process whose lists are pushed by an agent, and two servers, the first of which drains.
type agentRun struct {
	service *discovery.Service // of the first agent; the second one has a service of its own
	second  *discovery.Service
	callers [2]*discovery.Caller
	addrs   [2]string // of the servers
	config  *Config
	node    *testNode

	mu         sync.Mutex
	receivedAt []time.Time // the requests that the draining server received
}

// newAgentRun starts the servers and the agents. The process is started by begin.
func newAgentRun(t *testing.T) *agentRun {
	run := &agentRun{}
	for i := range run.addrs {
		run.addrs[i] = testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string {
			if i == 0 {
				run.mu.Lock()
				defer run.mu.Unlock()
				run.receivedAt = append(run.receivedAt, time.Now())
			}
			return testkit.OKResponse("x")
		}))
	}
	for i, service := range []**discovery.Service{&run.service, &run.second} {
		*service = discovery.New(time.Millisecond, run.entry(0, "ready"), run.entry(1, "ready"))
		t.Cleanup((*service).Close)
		caller, err := (*service).Agent(fmt.Sprint("n", i))
		if err != nil {
			t.Fatal(err)
		}
		run.callers[i] = caller
	}
	run.config = &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(run.addrs[0], run.addrs[1]),
		Discovery: netip.MustParseAddrPort(run.callers[0].Addr)}
	run.config.reread = func() (*Config, error) {
		return &Config{Discovery: netip.MustParseAddrPort(run.callers[1].Addr)}, nil
	}
	return run
}

// entry is a server as discovery lists it.
func (r *agentRun) entry(i int, state string) standin.Entry {
	return standin.Entry{ID: fmt.Sprintf("s-%08x", i+1), Addr: r.addrs[i], Zone: "z", State: state, Weight: 1}
}

// begin starts the process with the list of the first revision.
func (r *agentRun) begin(t *testing.T) { r.node = start(t, r.config) }

// requestCounts counts answers by what they say.
type requestCounts struct{ served, refused int }

// requestFor sends requests for a time and counts their answers. A refusal has to come at once.
func (r *agentRun) requestFor(t *testing.T, length time.Duration) (counts requestCounts) {
	t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, _ := r.node.roundTrip(t, classRequest("order", "9.5", "x"))
		switch {
		case resp.StatusCode == http.StatusOK:
			counts.served++
		case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Refused-By") == "list":
			counts.refused++
		default:
			t.Errorf("status %d, refused by %q", resp.StatusCode, resp.Header.Get("X-Refused-By"))
		}
	}
	return counts
}

// checkLate checks that the draining server got nothing later than the grace after a time.
func (r *agentRun) checkLate(t *testing.T, notified time.Time) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, at := range r.receivedAt {
		if after := at.Sub(notified); after > r.config.Settings.DrainGrace+drainSlack {
			late, last = late+1, after
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the draining server too late, the last %v after the process was notified", late, last)
	}
}

// awaitServed waits until a request is served, for backWithin at most.
func (r *agentRun) awaitServed(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(backWithin); r.requestFor(t, time.Millisecond).served == 0; {
		if time.Now().After(end) {
			t.Fatalf("nothing is served %v after the agent's return", backWithin)
		}
	}
}

// Guards against a process that sends by the list of its configuration while its agent is silent, for however long, and
// against one that is never ready for it.
func TestStartWhileAgentIsSilent(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{350 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			run := newAgentRun(t)
			run.config.Settings.DrainGrace = grace
			run.startInOutage(t)
		})
	}
}

// startInOutage starts the process while its agent has a drain and is silent, and checks it until the agent has answered.
func (r *agentRun) startInOutage(t *testing.T) {
	r.service.Set(r.entry(0, "draining"))
	r.service.SetFault(discovery.Fault{Down: true})
	started := time.Now()
	r.begin(t)
	readyAt := make(chan time.Duration, 1)
	go func() {
		r.node.waitReady(t, http.StatusOK)
		readyAt <- time.Since(started)
	}()
	counts := r.requestFor(t, longOutage)
	if counts.served > 0 || counts.refused == 0 {
		t.Errorf("%d served and %d refused while the agent was silent, want only refusals", counts.served, counts.refused)
	}
	if after := <-readyAt; after > readyWithin || after < decide.StartWait {
		t.Errorf("ready after %v, want between %v and %v", after, decide.StartWait, readyWithin)
	}
	r.service.SetFault(discovery.Fault{})
	r.awaitServed(t)
	if counts := r.requestFor(t, time.Second); counts.refused > 0 {
		t.Errorf("%d refused after the agent's return", counts.refused)
	}
	r.checkLate(t, started)
}

// Guards against a running process that sends nothing while its agent is silent: the agent learns nothing then, and what
// it gets at its return counts at once. Later silences are the same.
func TestRunningProcessServesWhileAgentIsSilent(t *testing.T) {
	t.Parallel()
	run := newAgentRun(t)
	run.begin(t)
	run.node.waitReady(t, http.StatusOK)
	for range 2 {
		run.service.SetFault(discovery.Fault{Down: true})
		if counts := run.requestFor(t, 7*time.Second); counts.refused > 0 {
			t.Errorf("%d of %d refused while the agent was silent", counts.refused, counts.refused+counts.served)
		}
		run.service.SetFault(discovery.Fault{})
		run.requestFor(t, time.Second)
	}
	run.service.SetFault(discovery.Fault{Down: true})
	run.service.Set(run.entry(0, "draining"))
	run.requestFor(t, time.Second)
	run.service.SetFault(discovery.Fault{})
	back := time.Now()
	if counts := run.requestFor(t, 2*time.Second); counts.refused > 0 {
		t.Errorf("%d refused after the agent's return", counts.refused)
	}
	run.checkLate(t, back)
}

// Guards against requests to draining servers after a reload that names an agent which has the drain and is silent: the
// list of the agent before says nothing of it.
func TestReloadToSilentAgent(t *testing.T) {
	t.Parallel()
	run := newAgentRun(t)
	run.begin(t)
	run.node.waitReady(t, http.StatusOK)
	run.second.Set(run.entry(0, "draining"))
	run.second.SetFault(discovery.Fault{Down: true})
	reloaded := time.Now()
	run.node.hup <- syscall.SIGHUP
	if counts := run.requestFor(t, reloadNotifies/2); counts.refused > 0 {
		t.Errorf("%d refused while the list of the agent before was still valid", counts.refused)
	}
	run.requestFor(t, longOutage)
	run.checkLate(t, reloaded.Add(reloadNotifies))
	run.second.SetFault(discovery.Fault{})
	run.awaitServed(t)
	run.checkLate(t, reloaded.Add(reloadNotifies))
}

// Guards against a process that refuses its first requests because its agent has not answered yet. A sound agent answers at
// once.
func TestFirstRequestIsServed(t *testing.T) {
	t.Parallel()
	for range 10 {
		run := newAgentRun(t)
		run.begin(t)
		resp, _ := run.node.roundTrip(t, classRequest("order", "9.5", "x"))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("the first request is answered with %d", resp.StatusCode)
		}
		run.node.stop()
	}
}

// Guards against a successor that takes over while its agent is silent, and then refuses all requests, although its
// predecessor serves: that one has had the agent's answers.
func TestPredecessorServesWhileAgentIsSilent(t *testing.T) {
	t.Parallel()
	run := newAgentRun(t)
	clients, err := handover.ListenTCP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	run.config.Name, run.config.Handover = "n0", filepath.Join(t.TempDir(), "s")
	run.config.Listen = clients.Addr().(*net.TCPAddr).AddrPort()
	run.node = startOn(t, run.config, clients, testkit.DiscardLog)
	run.node.waitReady(t, http.StatusOK)
	run.service.SetFault(discovery.Fault{Down: true})

	opened, err := openSockets(run.config, testkit.DiscardLog)
	if err != nil || opened.predecessor == nil {
		t.Fatal(err, opened)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	successor := *run.config
	go func() { ended <- serve(ctx, &successor, opened, nil, testkit.DiscardLog) }()
	defer func() { stop(); <-ended }()
	if counts := run.requestFor(t, longOutage); counts.refused > 0 {
		t.Errorf("%d of %d refused, although the predecessor can serve", counts.refused, counts.refused+counts.served)
	}
	run.service.SetFault(discovery.Fault{})
	run.awaitServed(t)
	run.node.stop()
	<-run.node.ended
	if counts := run.requestFor(t, time.Second); counts.refused > 0 {
		t.Errorf("%d refused by the successor after the agent's return", counts.refused)
	}
}
