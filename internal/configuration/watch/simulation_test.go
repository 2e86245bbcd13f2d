package watch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/testkit"
)

const testLog = "l1"

// simulation is control machines and nodes in virtual time. All machines that are not cut off apply a commit of its
// store at once.
type simulation struct {
	t        *testing.T
	limits   Limits
	store    *configuration.Store
	states   []*configpb.Snapshot // content of the store by revision
	machines []*machine
	nodes    []*node
	sessions map[string]uint64
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
}

type machine struct {
	name   string
	server *Server
	mu     sync.Mutex
	cut    bool // requests and answers are lost; a call ends with its context
	calls  int
	bytes  int
}

type node struct {
	*Client
	name    string
	applied []time.Time // when each revision took effect; zero: the node skipped it
	accept  func([]*configpb.Change) error
}

// simulate runs a test in virtual time with numbers of machines and nodes, and then ends them.
func simulate(t *testing.T, machines, nodes int, limits Limits, run func(*simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{t: t, limits: limits, store: configuration.New(), sessions: map[string]uint64{}}
		s.states = []*configpb.Snapshot{s.store.Snapshot()}
		s.ctx, s.stop = context.WithCancel(t.Context())
		for i := range machines {
			s.addMachine(fmt.Sprint("m", i))
		}
		for i := range nodes {
			s.addNode(fmt.Sprint("n", i), ClientOptions{})
		}
		run(s)
		s.stop()
		s.work.Wait()
	})
}

func (s *simulation) addMachine(name string) *machine {
	m := &machine{name: name}
	m.server = NewServer(ServerOptions{Limits: s.limits, Snapshot: func(context.Context) (*configpb.Snapshot, error) {
		return s.store.Snapshot(), nil
	}})
	s.machines = append(s.machines, m)
	m.server.Publish(testLog, s.store, s.sessions)
	return m
}

// addNode starts a node. It sets the options that o does not have.
func (s *simulation) addNode(name string, o ClientOptions) *node {
	n := &node{name: name, accept: o.Accept}
	epoch := uint64(len(s.sessions) + 1)
	o.Node, o.Log, o.LongPollTimeout = name, testkit.DiscardLog, s.limits.LongPollTimeout
	for _, m := range s.machines {
		o.Machines = append(o.Machines, m.name)
	}
	o.Session = func() uint64 { return epoch }
	o.Call = func(ctx context.Context, to string, request []byte) ([]byte, error) {
		at := slices.IndexFunc(s.machines, func(m *machine) bool { return m.name == to })
		return s.machines[at].call(ctx, name, request)
	}
	o.Applied = func(revision uint64) {
		for uint64(len(n.applied)) <= revision {
			n.applied = append(n.applied, time.Time{})
		}
		n.applied[revision] = time.Now()
	}
	c, err := NewClient(o)
	if err != nil {
		s.t.Fatal(err)
	}
	n.Client = c
	sessions := map[string]uint64{}
	for name, epoch := range s.sessions {
		sessions[name] = epoch
	}
	sessions[name] = epoch
	s.sessions = sessions
	s.publish()
	s.nodes = append(s.nodes, n)
	s.work.Go(func() { c.Run(s.ctx) })
	return n
}

// oneWay is the network delay of a request or an answer.
const oneWay = 5 * time.Millisecond

var errCut = errors.New("cut")

// call is a node's call of the machine over the simulated network.
func (m *machine) call(ctx context.Context, from string, request []byte) ([]byte, error) {
	pause(ctx, oneWay)
	m.mu.Lock()
	cut := m.cut
	m.calls++
	m.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	answer, err := m.server.Handle(ctx, from, request)
	pause(ctx, oneWay)
	m.mu.Lock()
	cut = m.cut
	m.bytes += len(answer)
	m.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	return answer, err
}

func (m *machine) setCut(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = on
}

func (m *machine) counted() (calls, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls, m.bytes
}

// publish has all machines that are not cut off apply the store's content. No other goroutine of the simulation runs
// meanwhile.
func (s *simulation) publish() {
	for _, m := range s.machines {
		m.mu.Lock()
		cut := m.cut
		m.mu.Unlock()
		if !cut {
			m.server.Publish(testLog, s.store, s.sessions)
		}
	}
}

// put commits a service and returns the revision.
func (s *simulation) put(name string, timeoutMs uint32) uint64 {
	s.t.Helper()
	return s.commit(&configpb.Entry{Value: &configpb.Entry_Service{
		Service: &configpb.Service{Name: name, TimeoutMs: timeoutMs},
	}})
}

func (s *simulation) commit(entries ...*configpb.Entry) uint64 {
	s.t.Helper()
	tx := &configpb.Transaction{}
	for _, e := range entries {
		tx.Changes = append(tx.Changes, &configpb.Change{What: &configpb.Change_Put{Put: e}})
	}
	o, err := s.store.Commit(time.Now().UnixMilli(), tx)
	if err != nil || !o.Changed {
		s.t.Fatalf("%+v, %v", o, err)
	}
	s.states = append(s.states, s.store.Snapshot())
	s.publish()
	return o.Revision
}

// tenants commits n tenants, in several revisions.
func (s *simulation) tenants(n int) {
	s.t.Helper()
	s.put("pay", 1)
	for from := 0; from < n; from += 500 {
		var entries []*configpb.Entry
		for i := from; i < min(n, from+500); i++ {
			limit := &configpb.Limit{Service: "pay", Share: 0.1 + float64(i*7919%n)/float64(2*n)}
			name := fmt.Sprintf("tenant-%d-%x", i, uint64(i)*0x9e3779b97f4a7c15)
			entries = append(entries, &configpb.Entry{Value: &configpb.Entry_Tenant{
				Tenant: &configpb.Tenant{Name: name, Limits: []*configpb.Limit{limit}},
			}})
		}
		s.commit(entries...)
	}
}

// inForce returns InForce by the reports of the machines that are not cut off, as the leader computes it.
func (s *simulation) inForce() (uint64, bool) {
	var reports []*configpb.Report
	for _, m := range s.machines {
		m.mu.Lock()
		cut := m.cut
		m.mu.Unlock()
		if !cut {
			reports = append(reports, m.server.Report(false))
		}
	}
	return InForce(s.sessions, reports)
}

// until waits in virtual time until holds returns true, and returns how long that took. After limit it fails the test.
func (s *simulation) until(what string, limit time.Duration, holds func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for ; ; time.Sleep(10 * time.Millisecond) {
		synctest.Wait()
		if holds() {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			s.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// allAt returns a condition: all nodes are at a revision.
func (s *simulation) allAt(revision uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.nodes, func(n *node) bool { return n.Applied() != revision })
	}
}

// check fails the test unless each node has exactly the entries that the store had at the node's revision.
func (s *simulation) check() {
	s.t.Helper()
	synctest.Wait()
	for _, n := range s.nodes {
		if got := n.replica.Snapshot(); !proto.Equal(got, s.states[got.Revision]) {
			s.t.Errorf("%s at revision %d has other entries than the store had", n.name, got.Revision)
		}
	}
}
