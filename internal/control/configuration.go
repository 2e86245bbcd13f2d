package control

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/agree"
	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/configuration/watch"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
)

const (
	configurationCache = "configuration.cache" // file in the node's folder
	reportWait         = 700 * time.Millisecond
)

// newWatchClient returns the client that follows the configuration. It starts with the content of the node's cache
// file.
func (n *Control) newWatch() (*watch.Client, error) {
	o := watch.ClientOptions{
		Node:    n.c.Name,
		Session: n.sessionEpoch,
		Call:    n.watchCall,
		Cache:   filepath.Join(n.c.Folder, configurationCache),
		Log:     n.log,
	}
	for _, v := range n.c.Voters {
		o.Machines = append(o.Machines, v.Name)
	}
	return watch.NewClient(o)
}

// sessionEpoch returns the epoch of this node's session, or 0 if it has none.
func (n *Control) sessionEpoch() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

// callWatch sends a request of the watch client to a voter and returns the answer.
func (n *Control) watchCall(ctx context.Context, voter string, request []byte) ([]byte, error) {
	at := slices.IndexFunc(n.c.Voters, func(v Voter) bool { return v.Name == voter })
	status, answer, err := n.one(ctx, n.c.Voters[at], kindWatch, request)
	if err != nil {
		return nil, err
	}
	switch status {
	case statusOK:
		return answer, nil
	case statusNotLeader:
		return nil, fmt.Errorf("%s knows of no leader", voter)
	}
	return nil, fmt.Errorf("%s: %s", voter, answer)
}

// Query sends a query about the configuration to the leader and returns its answer.
func (n *Control) Query(ctx context.Context, q *configpb.Query) (*configpb.Answer, error) {
	raw, err := proto.Marshal(q)
	if err != nil {
		return nil, err
	}
	if raw, err = n.call(ctx, kindQuery, raw); err != nil {
		return nil, err
	}
	a := &configpb.Answer{}
	return a, proto.Unmarshal(raw, a)
}

// newWatchServer returns the server that serves the configuration, as this voter has it, to nodes.
func (v *voter) newWatchServer() *watch.Server {
	snapshot := func(ctx context.Context) (*configpb.Snapshot, error) {
		m := v.current()
		if m == nil {
			return nil, agree.ErrStopped
		}
		return agree.View(ctx, m, func() (*configpb.Snapshot, error) {
			return v.machine.Configuration().Snapshot(), nil
		})
	}
	return watch.NewServer(watch.ServerOptions{Limits: watch.DefaultLimits(), Snapshot: snapshot})
}

// handleWatch answers a node's watch request. A voter that knows of no leader may be behind, so it answers
// statusNotLeader and the node tries another voter.
func (v *voter) watchFor(ctx context.Context, m *agree.Member, node string, raw []byte) (uint64, []byte) {
	if m.Status().Leader == 0 {
		return statusNotLeader, nil
	}
	answer, err := v.watch.Handle(ctx, node, raw)
	if err != nil {
		return statusBad, []byte(err.Error())
	}
	return statusOK, answer
}

// handleReport answers the leader with a report on the nodes that watch this voter.
func (v *voter) reportFor(raw []byte) (uint64, []byte) {
	q := &configpb.ReportRequest{}
	if err := proto.Unmarshal(raw, q); err != nil {
		return statusBad, []byte(err.Error())
	}
	return v.answer(v.watch.Report(q.Names), nil)
}

// precheckChange checks a change of the configuration before it is proposed, so that a change that is refused needs no
// entry of the log. It returns the refusal, or nil if the change is to be proposed. A request that already has a result
// is not checked again: its repetition has to get the first result.
func (v *voter) refuseEarly(ctx context.Context, m *agree.Member, e *fleetpb.Entry) (*fleetpb.Result, error) {
	tx := e.GetConfigure()
	if tx == nil {
		return nil, nil
	}
	if err := m.Lead(ctx); err != nil {
		return nil, err
	}
	return agree.View(ctx, m, func() (*fleetpb.Result, error) {
		store := v.machine.Configuration()
		if v.machine.WasAnswered(e.Ask) {
			return nil, nil
		}
		if err := store.Check(tx); err != nil {
			return fleet.ConfigurationResult(configuration.Outcome{Revision: store.Revision()}, err), nil
		}
		return nil, nil
	})
}

// handleQuery answers an operator's query. Only the leader answers it, from a state confirmed to be current.
func (v *voter) query(ctx context.Context, m *agree.Member, raw []byte) (uint64, []byte) {
	q := &configpb.Query{}
	if err := proto.Unmarshal(raw, q); err != nil {
		return statusBad, []byte(err.Error())
	}
	if err := m.Lead(ctx); err != nil {
		return v.answer(nil, err)
	}
	switch about := q.About.(type) {
	case *configpb.Query_Snapshot:
		return v.answer(agree.View(ctx, m, func() (*configpb.Answer, error) {
			return &configpb.Answer{Snapshot: v.machine.Configuration().Snapshot()}, nil
		}))
	case *configpb.Query_History:
		a, err := agree.View(ctx, m, func() (*configpb.Answer, error) {
			list, err := historyOf(v.machine.Configuration(), about.History)
			return &configpb.Answer{History: list}, err
		})
		return v.answer(a, err)
	case *configpb.Query_Status:
		return v.answer(v.configurationStatus(ctx, m))
	}
	return statusBad, []byte("unknown query about the configuration")
}

// revisionsAfter returns the newest revisions after the query's revision, up to its limit, as far as the history
// reaches back.
func historyOf(store *configuration.Store, q *configpb.HistoryQuery) ([]*configpb.Revision, error) {
	after := min(max(q.GetAfter(), store.Compacted()), store.Revision())
	list, err := store.History(after, int(store.Revision()))
	if most := int(q.GetMost()); most > 0 && len(list) > most {
		list = list[len(list)-most:]
	}
	return list, err
}

// configurationStatus combines the reports of all voters into the status of the configuration's rollout to the nodes.
func (v *voter) configurationStatus(ctx context.Context, m *agree.Member) (*configpb.Answer, error) {
	type known struct {
		revision, compacted uint64
		sessions            map[string]uint64
	}
	now, err := agree.View(ctx, m, func() (known, error) {
		store := v.machine.Configuration()
		return known{store.Revision(), store.Compacted(), v.machine.Sessions()}, nil
	})
	if err != nil {
		return nil, err
	}
	s := &configpb.Status{Revision: now.revision, Compacted: now.compacted, Sessions: uint64(len(now.sessions))}
	s.Machines = v.reports(ctx)
	var reports []*configpb.Report
	unheard := maps.Clone(now.sessions)
	for _, machine := range s.Machines {
		reports = append(reports, machine.Report)
		for _, node := range machine.GetReport().GetWatching() {
			delete(unheard, node)
		}
	}
	s.InForce, s.Accounted = watch.InForce(now.sessions, reports)
	s.Unheard = slices.Sorted(maps.Keys(unheard))
	return &configpb.Answer{Status: s}, nil
}

// collectReports requests the reports of all voters in parallel. A voter that does not answer within reportTimeout has
// the reason in place of a report.
func (v *voter) reports(ctx context.Context) []*configpb.MachineStatus {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	list := make([]*configpb.MachineStatus, len(v.c.Voters))
	var asking sync.WaitGroup
	for i, o := range v.c.Voters {
		list[i] = &configpb.MachineStatus{Name: o.Name}
		asking.Go(func() {
			report, err := v.reportOf(ctx, o)
			if err != nil {
				list[i].Why = err.Error()
				return
			}
			list[i].Report = report
		})
	}
	asking.Wait()
	return list
}

// requestReport requests the report of a voter. It takes the report of this voter directly.
func (v *voter) reportOf(ctx context.Context, o Voter) (*configpb.Report, error) {
	if o.Name == v.c.Name {
		return v.watch.Report(true), nil
	}
	raw, err := proto.Marshal(&configpb.ReportRequest{Names: true})
	if err != nil {
		return nil, err
	}
	status, answer, err := v.calls.Call(ctx, v.c.full(o.Name), o.Address, kindReport, raw)
	if err != nil {
		return nil, err
	}
	if status != statusOK {
		return nil, fmt.Errorf("%s: %s", o.Name, answer)
	}
	r := &configpb.Report{}
	return r, proto.Unmarshal(answer, r)
}
