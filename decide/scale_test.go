package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Large fleets: the cost of a decision or of a change of the list must not grow with the number of servers, and the data
// structures that serve this must agree with a scan over all servers.

// largeFleetSettings are lowTrafficSettings for one node, with a keyed and an unsafe class beside the two safe ones.
func bigSettings() Settings {
	s := sparseSettings(1)
	s.Classes = append(s.Classes,
		Class{Name: "tag", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: Keyed, KeyScope: ScopeCell, DedupWindow: 8 * time.Second},
		Class{Name: "order", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: Unsafe})
	return s
}

// fullServerList is a list of so many servers in 3 zones and 100 cells.
func bigList(servers int) ListUpdate {
	l := ListUpdate{Kind: ListFull}
	for i := range servers {
		l.Entries = append(l.Entries, Server{ID: ServerID(i + 1), Zone: fmt.Sprint("z", i%3), Cell: i % 100})
	}
	return l
}

// checkConsistency compares the module's ring, pools and heaps with the fields of the servers, and returns the first
// difference.
func (m *Module) consistent() error {
	ready := 0
	for id, s := range m.known {
		if s.ID != id {
			return fmt.Errorf("server %d is known as %d", s.ID, id)
		}
		if s.ringed != (s.State == Ready) {
			return fmt.Errorf("server %d: state %d, in the ring %v", id, s.State, s.ringed)
		}
		if s.ringed {
			ready++
			if i, ok := slices.BinarySearchFunc(m.ring, s, byPlace); !ok || m.ring[i] != s {
				return fmt.Errorf("server %d is not in the ring", id)
			}
			if s.in[byCell] != m.cells[s.Cell] || s.in[byZone] != m.zones[s.Zone] {
				return fmt.Errorf("server %d is not in its groups", id)
			}
		} else if s.in[byMode] != nil || s.in[byCell] != nil || s.in[byZone] != nil || s.alarms != nil || s.near {
			return fmt.Errorf("server %d is no longer ready and still in a pool, a heap or the subset", id)
		}
		if held := s.in[byMode] != nil || s.alarms != nil; s.near != held {
			return fmt.Errorf("server %d: in the subset %v, in a pool or a heap %v", id, s.near, held)
		}
		if s.suspect && s.near && s.alarms != &m.trials {
			return fmt.Errorf("ejected server %d waits for no trial", id)
		}
		for by, p := range s.in {
			if p != nil && p.list[s.slot[by]] != s {
				return fmt.Errorf("server %d: wrong slot in pool %d", id, by)
			}
		}
	}
	if ready != len(m.ring) {
		return fmt.Errorf("%d ready, %d in the ring", ready, len(m.ring))
	}
	if !slices.IsSortedFunc(m.ring, byPlace) {
		return fmt.Errorf("the ring is out of order")
	}
	for _, h := range []*alarms{&m.wake, &m.trials} {
		for i, s := range h.list {
			if s.alarms != h || s.alarmSlot != i || i > 0 && h.list[(i-1)/2].alarmAt > s.alarmAt {
				return fmt.Errorf("a heap is out of order at %d", i)
			}
		}
	}
	for cell, p := range m.cells {
		if len(p.list) == 0 {
			return fmt.Errorf("the empty pool of cell %d has not been removed", cell)
		}
	}
	if !m.stale && len(m.near) != min(len(m.ring), int(m.size)) {
		return fmt.Errorf("a subset of %d servers, want %d of %d", len(m.near), int(m.size), len(m.ring))
	}
	return nil
}

// After random changes of the list, outcomes and times, the data structures agree with a scan over all servers, and no
// request goes to a server that the list does not have as ready.
func TestPoolsAgreeWithAScan(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := New(bigSettings(), int64(seed))
		now, id := time.Hour, 0
		type out struct {
			s Send
			n int
		}
		var outs []out
		legs := map[RequestID]int{}
		state := map[ServerID]ServerState{}
		change := func() {
			l := ListUpdate{Kind: ListKind(r.IntN(3))}
			if l.Kind != ListChanges {
				clear(state)
			}
			for range r.IntN([]int{3, 40, 400}[r.IntN(3)]) {
				s := Server{ID: ServerID(1 + r.IntN(300)), Zone: fmt.Sprint(r.IntN(3)), Cell: r.IntN(9), State: ServerState(r.IntN(3))}
				if r.IntN(4) == 0 {
					s.StartedAt = now - time.Duration(r.IntN(10))*time.Second
				}
				if l.Kind == ListFull || l.Kind == ListCached {
					s.State = Ready
				}
				l.Entries = append(l.Entries, s)
				state[s.ID] = s.State
			}
			m.Handle(now, l)
		}
		change()
		act := func(actions []Action) {
			for _, a := range actions {
				if s, ok := a.(Send); ok {
					if st, known := state[s.Server]; !known || st != Ready {
						t.Fatalf("seed %d: sent to server %d in state %v (known: %v)", seed, s.Server, st, known)
					}
					outs = append(outs, out{s, legs[s.ID]})
					legs[s.ID]++
				}
			}
		}
		for step := range 3000 {
			now += time.Duration(r.IntN(20)) * time.Millisecond
			switch k := r.IntN(100); {
			case k < 45:
				id++
				act(m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(id)), Class: []string{"dear", "cheap", "tag", "order"}[r.IntN(4)],
					Patience: 2 * time.Second}))
			case k < 85 && len(outs) > 0:
				i := r.IntN(len(outs))
				o := outs[i]
				outs = slices.Delete(outs, i, i+1)
				code := OK
				if r.IntN(3) == 0 {
					code = OutcomeCode(r.IntN(int(Moot) + 1))
				}
				act(m.Handle(now, AttemptEnded{ID: o.s.ID, Attempt: o.n, Server: o.s.Server, Over: code == OK, Code: code,
					Elapsed: time.Duration(r.IntN(300)) * time.Millisecond, Own: time.Duration(r.IntN(9)) * time.Millisecond}))
			case k < 97:
				act(m.Handle(now, TimerFired{}))
			default:
				change()
			}
			if step%7 == 0 {
				if err := m.consistent(); err != nil {
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
	m := New(bigSettings(), 1)
	now := time.Hour
	full := bigList(servers)
	m.Handle(now, full)
	m.known[1].strikes = 2
	for round := range 20 {
		l := ListUpdate{Kind: ListChanges}
		for _, s := range full.Entries[servers/3:][:servers/3] {
			if round%2 == 0 {
				s.State = Gone
			}
			l.Entries = append(l.Entries, s)
		}
		m.Handle(now, l)
		for range 20 {
			now += 25 * time.Millisecond
			m.Handle(now, TimerFired{})
		}
		if err := m.consistent(); err != nil {
			t.Fatal(err)
		}
		if want := servers - (1-round%2)*(servers/3); len(m.ring) != want || len(m.known) != want {
			t.Fatalf("round %d: %d ready, %d known, want %d", round, len(m.ring), len(m.known), want)
		}
	}
	if m.known[1].strikes != 2 {
		t.Error("what was learned of a server that stayed has been forgotten")
	}
}

// A full list that comes again unchanged changes nothing, and the subset is not chosen anew.
func TestUnchangedListDisturbsNothing(t *testing.T) {
	m := New(bigSettings(), 1)
	l := bigList(1000)
	m.Handle(time.Hour, l)
	m.Handle(time.Hour, TimerFired{})
	near, choices := slices.Clone(m.near), m.choices
	m.Handle(time.Hour+time.Second, l)
	if !slices.Equal(near, m.near) || m.choices != choices || m.stale {
		t.Error("an unchanged list was taken for a change")
	}
}

// H is rounded up or down at random, at each node by itself. If all nodes rounded alike, they would send to the same server
// at the same moment.
func TestRoundingDiffersBetweenNodes(t *testing.T) {
	same, sum := 0, 0.0
	a, b := New(bigSettings(), 1), New(bigSettings(), 2)
	a.Handle(time.Hour, bigList(200))
	b.Handle(time.Hour, bigList(200))
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
	m := New(bigSettings(), 1)
	m.Handle(time.Hour, bigList(5000))
	lines := 0
	for _, s := range m.known {
		m.out = m.out[:0]
		m.now = time.Hour
		m.accuse(s, "test")
		lines += len(m.out)
	}
	if lines == 0 || lines > notesAtOnce {
		t.Errorf("%d lines", lines)
	}
}

// Clients and settings may name thousands of classes and tenants. The module stores only those of the settings.
func TestManyClassesAndTenants(t *testing.T) {
	s := bigSettings()
	for i := range 1000 {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint("path", i), Worth: 1, Aim: time.Second, Effect: Safe})
	}
	for i := range 10_000 {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 1})
	}
	m := New(s, 1)
	now := time.Hour
	m.Handle(now, bigList(12))
	classes, tenants := len(m.classes), len(m.tenants)
	for i := range 20_000 {
		id := RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(now, RequestArrived{ID: id, Class: fmt.Sprint("path", i%3000), Tenant: fmt.Sprint("t", i), Key: fmt.Sprint(i),
			Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				m.Handle(now, AttemptEnded{ID: id, Server: s.Server, Over: true, Elapsed: time.Millisecond})
			}
		}
		if now += time.Millisecond; i%25 == 0 {
			m.Handle(now, TimerFired{})
		}
	}
	m.Handle(now+time.Second, TimerFired{})
	if len(m.classes) != classes || len(m.tenants) != tenants || len(m.order) != classes+1 || len(m.requests) > 0 || len(m.open) > 0 {
		t.Errorf("%d classes, %d tenants, %d requests, %d open", len(m.classes), len(m.tenants), len(m.requests), len(m.open))
	}
}

// runDecisions simulates n requests with their outcomes, 100 microseconds apart, with a tick at every 250th.
func decisions(m *Module, n int, now *Time) {
	for i := range n {
		id := RequestID("r")
		*now += 100 * time.Microsecond
		for _, a := range m.Handle(*now, RequestArrived{ID: id, Class: "cheap", Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				m.Handle(*now, AttemptEnded{ID: id, Server: s.Server, Over: true, Elapsed: time.Millisecond})
			}
		}
		if i%250 == 0 {
			m.Handle(*now, TimerFired{})
		}
	}
}

// warmedUpModule is a module that has served several requests at each of its servers.
func warm(servers int) (*Module, Time) {
	m, now := New(bigSettings(), 1), time.Hour
	m.Handle(now, bigList(servers))
	decisions(m, 3*servers+20_000, &now)
	return m, now
}

// A decision, with its outcome and its share of the ticks, allocates little, and not more in a large fleet than in a small
// one.
func TestDecisionAllocates(t *testing.T) {
	for _, servers := range []int{12, 1000, 10_000} {
		m, now := warm(servers)
		if n := testing.AllocsPerRun(2000, func() { decisions(m, 1, &now) }); n > 6 {
			t.Errorf("%d servers: %v allocations a decision", servers, n)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			m, now := warm(servers)
			b.ReportAllocs()
			b.ResetTimer()
			decisions(m, b.N, &now)
		})
	}
}

func BenchmarkListChange(b *testing.B) {
	m, now := warm(10_000)
	b.ReportAllocs()
	for i := range b.N {
		now += time.Microsecond
		m.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: ServerID(1 + i/2%10_000), Zone: "z0",
			State: []ServerState{Gone, Ready}[i%2]}}})
	}
}

func BenchmarkFullList(b *testing.B) {
	m, now := warm(10_000)
	l := bigList(10_000)
	b.ReportAllocs()
	for range b.N {
		now += time.Microsecond
		m.Handle(now, l)
	}
}
