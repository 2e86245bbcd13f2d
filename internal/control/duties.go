package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"starlingvalve/internal/agree"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/vitals"
)

// leaderDuties does the leader's periodic work while this voter leads: it ends sessions that timed out, writes changes
// of the registry's server list to the log, and writes clock entries for what waits for time to pass.
func (v *voter) duties(ctx context.Context, m *agree.Member) {
	tick := time.NewTicker(v.c.Tick)
	defer tick.Stop()
	term, clock, looked := uint64(0), time.Now(), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := m.Status()
		if !s.Leads {
			term = 0
			continue
		}
		if s.Term != term { // a former leader may have received keep-alives just now, so the timeouts start again
			if m.Lead(ctx) != nil {
				continue
			}
			term = s.Term
			v.mu.Lock()
			clear(v.heard)
			clear(v.lapsing)
			clear(v.dead)
			v.vitals = vitals.Vitals{}
			v.mu.Unlock()
			v.log.Info("fleet: this voter leads", "term", term)
		}
		var list []*fleetpb.Server
		if time.Since(looked) >= listedEvery {
			looked, list = time.Now(), v.listed()
		}
		d, err := agree.View(ctx, m, func() (d due, err error) { return v.due(time.Now(), list), nil })
		if err != nil {
			continue
		}
		if d.waits && time.Since(clock) >= clockEvery {
			clock = time.Now()
			d.entries = append(d.entries, &fleetpb.Entry{What: &fleetpb.Entry_Clock{Clock: &fleetpb.Clock{}}})
		}
		if !sameIDs(d.voters, s.Voters) {
			m.Reconfigure(d.voters)
		}
		for _, e := range d.entries {
			ctx, cancel := context.WithTimeout(ctx, entryWait)
			r, err := v.propose(ctx, m, e)
			cancel()
			if err != nil || r.Code != fleetpb.Result_DONE {
				v.log.Warn("fleet: an entry of the leader itself failed", "result", r, "err", err)
				break
			}
		}
	}
}

// leaderWork is the leader's work at one tick.
type due struct {
	entries []*fleetpb.Entry
	waits   bool     // a queued drain or a release waits for time to pass
	voters  []uint64 // raft IDs of the voters by the log's state
}

// forgetNode removes the reports of a node whose session has ended. v.mu must be held.
func (v *voter) forget(name string) {
	delete(v.heard, name)
	delete(v.lapsing, name)
	delete(v.dead, name)
	v.vitals.Forget(name)
}

// sameIDs reports whether a and b are equal apart from the order.
func sameIDs(a, b []uint64) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// workDue returns the leader's work at the time now. list is the servers by the registry; nil: not known. The member's
// goroutine calls it, which owns the machine.
func (v *voter) due(now time.Time, list []*fleetpb.Server) (d due) {
	s := v.machine.State()
	d.waits = len(s.Queue) > 0 || v.machine.Releasing()
	for name, birth := range s.Voters {
		d.voters = append(d.voters, voterID(name, birth))
	}
	if !s.BudgetsSet {
		d.entries = append(d.entries, &fleetpb.Entry{What: &fleetpb.Entry_Budgets{Budgets: &fleetpb.SetBudgets{Budgets: v.c.Budgets, By: v.c.Name}}})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, n := range s.Nodes {
		if n.State != fleet.Live {
			v.forget(name)
			continue
		}
		if v.lapsing[name] == n.Epoch {
			continue
		}
		at, ok := v.heard[name]
		if !ok {
			v.heard[name] = now
		} else if now.Sub(at) > v.c.Life {
			v.lapsing[name] = n.Epoch
			d.entries = append(d.entries, &fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: name, Epoch: n.Epoch, Lapsed: true}}})
		}
	}
	if j := v.vitals.Judge(s); j != nil {
		d.entries = append(d.entries, &fleetpb.Entry{What: &fleetpb.Entry_Judged{Judged: j}})
	}
	if told, dead := evidence(s, v.dead); !told {
		d.entries = append(d.entries, &fleetpb.Entry{What: &fleetpb.Entry_Observed{Observed: &fleetpb.Observed{Dead: dead}}})
	}
	if news := difference(s.Servers, list); len(news) > 0 {
		d.entries = append(d.entries, &fleetpb.Entry{What: &fleetpb.Entry_Listed{Listed: &fleetpb.Listed{Servers: news[:min(len(news), listedMost)]}}})
	}
	return d
}

// Fractions of the nodes with a session. A server counts as dead once at least deadThreshold of them report it as dead,
// and until fewer than aliveThreshold do.
const (
	deadFrom  = 0.5
	deadUntil = 0.25
)

// deadServers returns the sorted IDs of the servers that enough nodes with a session report as dead. reports has each
// node's reported servers. unchanged means that the state has the same servers as dead already.
func evidence(s *fleetpb.State, by map[string][]string) (told bool, dead []string) {
	live, count := 0, map[string]int{}
	for name, n := range s.Nodes {
		if n.State == fleet.Live {
			live++
			for _, id := range by[name] {
				count[id]++
			}
		}
	}
	told = true
	for id, x := range s.Servers {
		from := deadFrom
		if x.Dead {
			from = deadUntil
		}
		is := count[id] > 0 && float64(count[id]) >= from*float64(live)
		told = told && is == x.Dead
		if is {
			dead = append(dead, id)
		}
	}
	slices.Sort(dead)
	return told, dead
}

// changedServers returns the servers of list that differ from the known ones, and as removed the known ones that list
// does not have, sorted by ID. It returns nil if list is nil, which means that the list is not known.
func difference(known map[string]*fleetpb.Server, list []*fleetpb.Server) (news []*fleetpb.Server) {
	if list == nil {
		return nil
	}
	seen := map[string]bool{}
	for _, s := range list {
		seen[s.Id] = true
		k := known[s.Id]
		if k == nil || k.State != s.State || k.Zone != s.Zone || k.Kind != s.Kind || k.Cell != s.Cell || k.Weight != s.Weight {
			news = append(news, s)
		}
	}
	for id, k := range known {
		if !seen[id] && k.State != fleet.Gone {
			news = append(news, &fleetpb.Server{Id: id, State: fleet.Gone})
		}
	}
	slices.SortFunc(news, func(a, b *fleetpb.Server) int { return strings.Compare(a.Id, b.Id) })
	return news
}
