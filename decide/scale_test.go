package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Large fleets: the cost of a decision or of a change of the list must not grow with the number of servers, and the
// data structures that serve this must agree with a scan over all servers.

// largeFleetSettings are lowTrafficSettings for one node, with a keyed and an unsafe class beside the two safe ones.
func largeFleetSettings() Settings {
	settings := lowTrafficSettings(1)
	settings.Classes = append(settings.Classes,
		Class{Name: "tag", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: Keyed, KeyScope: ScopeCell,
			DedupWindow: 8 * time.Second},
		Class{Name: "order", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: Unsafe})
	return settings
}

// fullServerList is a list of so many servers in 3 zones and 100 cells.
func fullServerList(servers int) ListUpdate {
	list := ListUpdate{Kind: ListFull}
	for i := range servers {
		list.Entries = append(list.Entries, Server{ID: ServerID(i + 1), Zone: fmt.Sprint("z", i%3), Cell: i % 100})
	}
	return list
}

// checkConsistency compares the module's ring, pools and heaps with the fields of the servers, and returns the first
// difference.
func (m *Module) checkConsistency() error {
	ready := 0
	for id, server := range m.known {
		if server.ID != id {
			return fmt.Errorf("server %d is known as %d", server.ID, id)
		}
		if server.inRing != (server.State == Ready) {
			return fmt.Errorf("server %d: state %d, in the ring %v", id, server.State, server.inRing)
		}
		if server.inRing {
			ready++
			if i, ok := slices.BinarySearchFunc(m.ring, server, byRingKey); !ok || m.ring[i] != server {
				return fmt.Errorf("server %d is not in the ring", id)
			}
			if server.pools[byCell] != m.cells[server.Cell] || server.pools[byZone] != m.zones[server.Zone] {
				return fmt.Errorf("server %d is not in its groups", id)
			}
		} else if server.pools[byMode] != nil || server.pools[byCell] != nil || server.pools[byZone] != nil ||
			server.heap != nil || server.inSubset {
			return fmt.Errorf("server %d is no longer ready and still in a pool, a heap or the subset", id)
		}
		if placed := server.pools[byMode] != nil || server.heap != nil; server.inSubset != placed {
			return fmt.Errorf("server %d: in the subset %v, in a pool or a heap %v", id, server.inSubset, placed)
		}
		if server.ejected && server.inSubset && server.heap != &m.trials {
			return fmt.Errorf("ejected server %d waits for no trial", id)
		}
		for grouping, pool := range server.pools {
			if pool != nil && pool.servers[server.poolIndex[grouping]] != server {
				return fmt.Errorf("server %d: wrong slot in pool %d", id, grouping)
			}
		}
	}
	if ready != len(m.ring) {
		return fmt.Errorf("%d ready, %d in the ring", ready, len(m.ring))
	}
	if !slices.IsSortedFunc(m.ring, byRingKey) {
		return fmt.Errorf("the ring is out of order")
	}
	for _, heap := range []*timeHeap{&m.wakeups, &m.trials} {
		for i, server := range heap.servers {
			if server.heap != heap || server.heapIndex != i || i > 0 && heap.servers[(i-1)/2].dueAt > server.dueAt {
				return fmt.Errorf("a heap is out of order at %d", i)
			}
		}
	}
	for cell, pool := range m.cells {
		if len(pool.servers) == 0 {
			return fmt.Errorf("the empty pool of cell %d has not been removed", cell)
		}
	}
	if !m.subsetStale && len(m.subset) != min(len(m.ring), int(m.subsetSize)) {
		return fmt.Errorf("a subset of %d servers, want %d of %d", len(m.subset), int(m.subsetSize), len(m.ring))
	}
	return nil
}

// After random changes of the list, outcomes and times, the data structures agree with a scan over all servers, and no
// request goes to a server that the list does not have as ready.
func TestPoolsAgreeWithAScan(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		module := New(largeFleetSettings(), int64(seed))
		now, id := time.Hour, 0
		type openAttempt struct {
			s Send
			n int
		}
		var openAttempts []openAttempt
		attempts := map[RequestID]int{}
		state := map[ServerID]ServerState{}
		change := func() {
			list := ListUpdate{Kind: ListKind(random.IntN(3))}
			if list.Kind != ListChanges {
				clear(state)
			}
			for range random.IntN([]int{3, 40, 400}[random.IntN(3)]) {
				s := Server{ID: ServerID(1 + random.IntN(300)), Zone: fmt.Sprint(random.IntN(3)), Cell: random.IntN(9),
					State: ServerState(random.IntN(3))}
				if random.IntN(4) == 0 {
					s.StartedAt = now - time.Duration(random.IntN(10))*time.Second
				}
				if list.Kind == ListFull || list.Kind == ListCached {
					s.State = Ready
				}
				list.Entries = append(list.Entries, s)
				state[s.ID] = s.State
			}
			module.Handle(now, list)
		}
		change()
		recordSends := func(actions []Action) {
			for _, a := range actions {
				if s, ok := a.(Send); ok {
					if serverState, known := state[s.Server]; !known || serverState != Ready {
						t.Fatalf("seed %d: sent to server %d in state %v (known: %v)", seed, s.Server, serverState, known)
					}
					openAttempts = append(openAttempts, openAttempt{s, attempts[s.ID]})
					attempts[s.ID]++
				}
			}
		}
		for step := range 3000 {
			now += time.Duration(random.IntN(20)) * time.Millisecond
			switch choice := random.IntN(100); {
			case choice < 45:
				id++
				recordSends(module.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(id)),
					Class:    []string{"expensive", "cheap", "tag", "order"}[random.IntN(4)],
					Patience: 2 * time.Second}))
			case choice < 85 && len(openAttempts) > 0:
				i := random.IntN(len(openAttempts))
				ended := openAttempts[i]
				openAttempts = slices.Delete(openAttempts, i, i+1)
				code := OK
				if random.IntN(3) == 0 {
					code = OutcomeCode(random.IntN(int(Moot) + 1))
				}
				recordSends(module.Handle(now, AttemptEnded{ID: ended.s.ID, Attempt: ended.n, Server: ended.s.Server,
					RequestDone: code == OK, Code: code,
					Elapsed:  time.Duration(random.IntN(300)) * time.Millisecond,
					NodeTime: time.Duration(random.IntN(9)) * time.Millisecond}))
			case choice < 97:
				recordSends(module.Handle(now, TimerFired{}))
			default:
				change()
			}
			if step%7 == 0 {
				if err := module.checkConsistency(); err != nil {
					t.Fatalf("seed %d, step %d: %v", seed, step, err)
				}
			}
		}
	}
}

// A third of the servers of a list of 10,000 are removed and come back, every 500 ms in turn. The data structures stay
// consistent, nothing is kept of removed servers, and what was learned of the other servers stays.
func TestFlappingList(t *testing.T) {
	const servers = 10_000
	module := New(largeFleetSettings(), 1)
	now := time.Hour
	full := fullServerList(servers)
	module.Handle(now, full)
	module.known[1].consecutiveFailures = 2
	for round := range 20 {
		list := ListUpdate{Kind: ListChanges}
		for _, server := range full.Entries[servers/3:][:servers/3] {
			if round%2 == 0 {
				server.State = Removed
			}
			list.Entries = append(list.Entries, server)
		}
		module.Handle(now, list)
		for range 20 {
			now += 25 * time.Millisecond
			module.Handle(now, TimerFired{})
		}
		if err := module.checkConsistency(); err != nil {
			t.Fatal(err)
		}
		if want := servers - (1-round%2)*(servers/3); len(module.ring) != want || len(module.known) != want {
			t.Fatalf("round %d: %d ready, %d known, want %d", round, len(module.ring), len(module.known), want)
		}
	}
	if module.known[1].consecutiveFailures != 2 {
		t.Error("what was learned of a server that stayed has been forgotten")
	}
}

// A full list that comes again unchanged changes nothing, and the subset is not chosen anew.
func TestUnchangedListDisturbsNothing(t *testing.T) {
	m := New(largeFleetSettings(), 1)
	l := fullServerList(1000)
	m.Handle(time.Hour, l)
	m.Handle(time.Hour, TimerFired{})
	near, choices := slices.Clone(m.subset), m.subsetChoices
	m.Handle(time.Hour+time.Second, l)
	if !slices.Equal(near, m.subset) || m.subsetChoices != choices || m.subsetStale {
		t.Error("an unchanged list was taken for a change")
	}
}

// H is rounded up or down at random, at each node by itself. If all nodes rounded alike, they would send to the same
// server at the same moment.
func TestRoundingDiffersBetweenNodes(t *testing.T) {
	same, sum := 0, 0.0
	a, b := New(largeFleetSettings(), 1), New(largeFleetSettings(), 2)
	a.Handle(time.Hour, fullServerList(200))
	b.Handle(time.Hour, fullServerList(200))
	for id := ServerID(1); id <= 200; id++ {
		x, y := a.dither(a.known[id]), b.dither(b.known[id])
		if sum += x; math.Abs(x-y) < 0.01 {
			same++
		}
	}
	if same > 20 || sum < 80 || sum > 120 {
		t.Errorf("%d of 200 the same at two nodes, sum %v", same, sum)
	}
}

// Guards against one log line for each server when a whole fleet fails at once.
func TestLogOfAFleetIsLimited(t *testing.T) {
	m := New(largeFleetSettings(), 1)
	m.Handle(time.Hour, fullServerList(5000))
	lines := 0
	for _, s := range m.known {
		m.actions = m.actions[:0]
		m.now = time.Hour
		m.eject(s, "test")
		lines += len(m.actions)
	}
	if lines == 0 || lines > logBurst {
		t.Errorf("%d lines", lines)
	}
}

// Clients and settings may name thousands of classes and tenants. The module stores only those of the settings.
func TestManyClassesAndTenants(t *testing.T) {
	s := largeFleetSettings()
	for i := range 1000 {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint("path", i), Worth: 1, Aim: time.Second, Effect: Safe})
	}
	for i := range 10_000 {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 1})
	}
	module := New(s, 1)
	now := time.Hour
	module.Handle(now, fullServerList(12))
	classes, tenants := len(module.classes), len(module.tenants)
	for i := range 20_000 {
		id := RequestID(fmt.Sprint(i))
		for _, a := range module.Handle(now, RequestArrived{ID: id, Class: fmt.Sprint("path", i%3000),
			Tenant: fmt.Sprint("t", i), Key: fmt.Sprint(i),
			Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				module.Handle(now, AttemptEnded{ID: id, Server: s.Server, RequestDone: true, Elapsed: time.Millisecond})
			}
		}
		if now += time.Millisecond; i%25 == 0 {
			module.Handle(now, TimerFired{})
		}
	}
	module.Handle(now+time.Second, TimerFired{})
	if len(module.classes) != classes || len(module.tenants) != tenants || len(module.classList) != classes+1 ||
		len(module.requests) > 0 || len(module.openRequests) > 0 {
		t.Errorf("%d classes, %d tenants, %d requests, %d open", len(module.classes), len(module.tenants),
			len(module.requests), len(module.openRequests))
	}
}

// runDecisions simulates n requests with their outcomes, 100 microseconds apart, with a tick at every 250th.
func runDecisions(m *Module, n int, now *Time) {
	for i := range n {
		id := RequestID("r")
		*now += 100 * time.Microsecond
		for _, a := range m.Handle(*now, RequestArrived{ID: id, Class: "cheap", Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				m.Handle(*now, AttemptEnded{ID: id, Server: s.Server, RequestDone: true, Elapsed: time.Millisecond})
			}
		}
		if i%250 == 0 {
			m.Handle(*now, TimerFired{})
		}
	}
}

// warmedUpModule is a module that has served several requests at each of its servers.
func warmedUpModule(servers int) (*Module, Time) {
	m, now := New(largeFleetSettings(), 1), time.Hour
	m.Handle(now, fullServerList(servers))
	runDecisions(m, 3*servers+20_000, &now)
	return m, now
}

// A decision, with its outcome and its share of the ticks, allocates little, and not more in a large fleet than in a
// small one.
func TestDecisionAllocates(t *testing.T) {
	for _, servers := range []int{12, 1000, 10_000} {
		m, now := warmedUpModule(servers)
		if n := testing.AllocsPerRun(2000, func() { runDecisions(m, 1, &now) }); n > 6 {
			t.Errorf("%d servers: %v allocations a decision", servers, n)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			m, now := warmedUpModule(servers)
			b.ReportAllocs()
			b.ResetTimer()
			runDecisions(m, b.N, &now)
		})
	}
}

func BenchmarkListChange(b *testing.B) {
	m, now := warmedUpModule(10_000)
	b.ReportAllocs()
	for i := range b.N {
		now += time.Microsecond
		m.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: ServerID(1 + i/2%10_000), Zone: "z0",
			State: []ServerState{Removed, Ready}[i%2]}}})
	}
}

func BenchmarkFullList(b *testing.B) {
	m, now := warmedUpModule(10_000)
	l := fullServerList(10_000)
	b.ReportAllocs()
	for range b.N {
		now += time.Microsecond
		m.Handle(now, l)
	}
}
