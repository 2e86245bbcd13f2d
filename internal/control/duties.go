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
func (v *voter) leaderDuties(ctx context.Context, member *agree.Member) {
	tick := time.NewTicker(v.config.TickInterval)
	defer tick.Stop()
	term, clockAt, listedAt := uint64(0), time.Now(), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := member.Status()
		if !s.IsLeader {
			term = 0
			continue
		}
		if s.Term != term { // a former leader may have received keep-alives just now, so the timeouts start again
			if member.ConfirmLeadership(ctx) != nil {
				continue
			}
			term = s.Term
			v.mu.Lock()
			clear(v.heardAt)
			clear(v.endingSessions)
			clear(v.deadReports)
			v.vitals = vitals.Vitals{}
			v.mu.Unlock()
			v.log.Info("fleet: this voter leads", "term", term)
		}
		var list []*fleetpb.Server
		if time.Since(listedAt) >= listInterval {
			listedAt, list = time.Now(), v.registryServers()
		}
		work, err := agree.View(ctx, member, func() (work leaderWork, err error) { return v.workDue(time.Now(), list), nil })
		if err != nil {
			continue
		}
		if work.needsClock && time.Since(clockAt) >= clockInterval {
			clockAt = time.Now()
			work.entries = append(work.entries, &fleetpb.Entry{What: &fleetpb.Entry_Clock{Clock: &fleetpb.Clock{}}})
		}
		if !sameIDs(work.voters, s.Voters) {
			member.Reconfigure(work.voters)
		}
		for _, e := range work.entries {
			ctx, cancel := context.WithTimeout(ctx, entryTimeout)
			r, err := v.propose(ctx, member, e)
			cancel()
			if err != nil || r.Code != fleetpb.Result_DONE {
				v.log.Warn("fleet: an entry of the leader itself failed", "result", r, "err", err)
				break
			}
		}
	}
}

// leaderWork is the leader's work at one tick.
type leaderWork struct {
	entries    []*fleetpb.Entry
	needsClock bool     // a queued drain or a release waits for time to pass
	voters     []uint64 // raft IDs of the voters by the log's state
}

// forgetNode removes the reports of a node whose session has ended. v.mu must be held.
func (v *voter) forgetNode(name string) {
	delete(v.heardAt, name)
	delete(v.endingSessions, name)
	delete(v.deadReports, name)
	v.vitals.Remove(name)
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
func (v *voter) workDue(now time.Time, list []*fleetpb.Server) (work leaderWork) {
	state := v.machine.State()
	work.needsClock = len(state.Queue) > 0 || v.machine.ReleaseActive()
	for name, birth := range state.Voters {
		work.voters = append(work.voters, raftIDOf(name, birth))
	}
	if !state.BudgetsSet {
		work.entries = append(work.entries, &fleetpb.Entry{What: &fleetpb.Entry_Budgets{
			Budgets: &fleetpb.SetBudgets{Budgets: v.config.Budgets, By: v.config.Name}}})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, n := range state.Nodes {
		if n.State != fleet.Live {
			v.forgetNode(name)
			continue
		}
		if v.endingSessions[name] == n.Epoch {
			continue
		}
		heardAt, ok := v.heardAt[name]
		if !ok {
			v.heardAt[name] = now
		} else if now.Sub(heardAt) > v.config.SessionTimeout {
			v.endingSessions[name] = n.Epoch
			work.entries = append(work.entries, &fleetpb.Entry{What: &fleetpb.Entry_End{
				End: &fleetpb.EndSession{Node: name, Epoch: n.Epoch, Lapsed: true}}})
		}
	}
	if judged := v.vitals.Judge(state); judged != nil {
		work.entries = append(work.entries, &fleetpb.Entry{What: &fleetpb.Entry_Judged{Judged: judged}})
	}
	if unchanged, dead := deadServers(state, v.deadReports); !unchanged {
		work.entries = append(work.entries, &fleetpb.Entry{What: &fleetpb.Entry_Observed{
			Observed: &fleetpb.Observed{Dead: dead}}})
	}
	if changes := changedServers(state.Servers, list); len(changes) > 0 {
		work.entries = append(work.entries, &fleetpb.Entry{What: &fleetpb.Entry_Listed{
			Listed: &fleetpb.Listed{Servers: changes[:min(len(changes), maxListedServers)]}}})
	}
	return work
}

// Fractions of the nodes with a session. A server counts as dead once at least deadThreshold of them report it as dead,
// and until fewer than aliveThreshold do.
const (
	deadThreshold  = 0.5
	aliveThreshold = 0.25
)

// deadServers returns the sorted IDs of the servers that enough nodes with a session report as dead. reports has each
// node's reported servers. unchanged means that the state has the same servers as dead already.
func deadServers(s *fleetpb.State, reports map[string][]string) (unchanged bool, dead []string) {
	live, count := 0, map[string]int{}
	for name, n := range s.Nodes {
		if n.State == fleet.Live {
			live++
			for _, id := range reports[name] {
				count[id]++
			}
		}
	}
	unchanged = true
	for id, x := range s.Servers {
		threshold := deadThreshold
		if x.Dead {
			threshold = aliveThreshold
		}
		isDead := count[id] > 0 && float64(count[id]) >= threshold*float64(live)
		unchanged = unchanged && isDead == x.Dead
		if isDead {
			dead = append(dead, id)
		}
	}
	slices.Sort(dead)
	return unchanged, dead
}

// changedServers returns the servers of list that differ from the known ones, and as removed the known ones that list
// does not have, sorted by ID. It returns nil if list is nil, which means that the list is not known.
func changedServers(known map[string]*fleetpb.Server, list []*fleetpb.Server) (changes []*fleetpb.Server) {
	if list == nil {
		return nil
	}
	seen := map[string]bool{}
	for _, s := range list {
		seen[s.Id] = true
		k := known[s.Id]
		if k == nil || k.State != s.State || k.Zone != s.Zone || k.Kind != s.Kind || k.Cell != s.Cell || k.Weight != s.Weight {
			changes = append(changes, s)
		}
	}
	for id, k := range known {
		if !seen[id] && k.State != fleet.Removed {
			changes = append(changes, &fleetpb.Server{Id: id, State: fleet.Removed})
		}
	}
	slices.SortFunc(changes, func(a, b *fleetpb.Server) int { return strings.Compare(a.Id, b.Id) })
	return changes
}
