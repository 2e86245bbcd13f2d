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
	configurationCacheFile = "configuration.cache" // file in the node's folder
	reportTimeout          = 700 * time.Millisecond
)

// newWatchClient returns the client that follows the configuration. It starts with the content of the node's cache
// file.
func (n *Control) newWatchClient() (*watch.Client, error) {
	o := watch.ClientOptions{
		Node:    n.config.Name,
		Session: n.sessionEpoch,
		Call:    n.callWatch,
		Cache:   filepath.Join(n.config.Folder, configurationCacheFile),
		Log:     n.log,
	}
	for _, v := range n.config.Voters {
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
func (n *Control) callWatch(ctx context.Context, voter string, request []byte) ([]byte, error) {
	at := slices.IndexFunc(n.config.Voters, func(v Voter) bool { return v.Name == voter })
	status, answer, err := n.callVoter(ctx, n.config.Voters[at], kindWatch, request)
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
	if raw, err = n.callLeader(ctx, kindQuery, raw); err != nil {
		return nil, err
	}
	a := &configpb.Answer{}
	return a, proto.Unmarshal(raw, a)
}

// newWatchServer returns the server that serves the configuration, as this voter has it, to nodes.
func (v *voter) newWatchServer() *watch.Server {
	snapshot := func(ctx context.Context) (*configpb.Snapshot, error) {
		m := v.currentMember()
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
func (v *voter) handleWatch(ctx context.Context, m *agree.Member, node string, raw []byte) (uint64, []byte) {
	if m.Status().Leader == 0 {
		return statusNotLeader, nil
	}
	answer, err := v.watch.Handle(ctx, node, raw)
	if err != nil {
		return statusRejected, []byte(err.Error())
	}
	return statusOK, answer
}

// handleReport answers the leader with a report on the nodes that watch this voter.
func (v *voter) handleReport(raw []byte) (uint64, []byte) {
	q := &configpb.ReportRequest{}
	if err := proto.Unmarshal(raw, q); err != nil {
		return statusRejected, []byte(err.Error())
	}
	return v.encodeResult(v.watch.Report(q.Names), nil)
}

// precheckChange checks a change of the configuration before it is proposed, so that a change that is refused needs no
// entry of the log. It returns the refusal, or nil if the change is to be proposed. A request that already has a result
// is not checked again: its repetition has to get the first result.
func (v *voter) precheckChange(ctx context.Context, member *agree.Member, e *fleetpb.Entry) (*fleetpb.Result, error) {
	tx := e.GetConfigure()
	if tx == nil {
		return nil, nil
	}
	if err := member.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	return agree.View(ctx, member, func() (*fleetpb.Result, error) {
		store := v.machine.Configuration()
		if v.machine.HasResult(e.Ask) {
			return nil, nil
		}
		if err := store.Check(tx); err != nil {
			return fleet.ConfigurationResult(configuration.Outcome{Revision: store.Revision()}, err), nil
		}
		return nil, nil
	})
}

// handleQuery answers an operator's query. Only the leader answers it, from a state confirmed to be current.
func (v *voter) handleQuery(ctx context.Context, member *agree.Member, raw []byte) (uint64, []byte) {
	query := &configpb.Query{}
	if err := proto.Unmarshal(raw, query); err != nil {
		return statusRejected, []byte(err.Error())
	}
	if err := member.ConfirmLeadership(ctx); err != nil {
		return v.encodeResult(nil, err)
	}
	switch about := query.About.(type) {
	case *configpb.Query_Snapshot:
		return v.encodeResult(agree.View(ctx, member, func() (*configpb.Answer, error) {
			return &configpb.Answer{Snapshot: v.machine.Configuration().Snapshot()}, nil
		}))
	case *configpb.Query_History:
		a, err := agree.View(ctx, member, func() (*configpb.Answer, error) {
			list, err := revisionsAfter(v.machine.Configuration(), about.History)
			return &configpb.Answer{History: list}, err
		})
		return v.encodeResult(a, err)
	case *configpb.Query_Status:
		return v.encodeResult(v.configurationStatus(ctx, member))
	}
	return statusRejected, []byte("unknown query about the configuration")
}

// revisionsAfter returns the newest revisions after the query's revision, up to its limit, as far as the history
// reaches back.
func revisionsAfter(store *configuration.Store, q *configpb.HistoryQuery) ([]*configpb.Revision, error) {
	after := min(max(q.GetAfter(), store.Compacted()), store.Revision())
	list, err := store.History(after, int(store.Revision()))
	if limit := int(q.GetMost()); limit > 0 && len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list, err
}

// configurationStatus combines the reports of all voters into the status of the configuration's rollout to the nodes.
func (v *voter) configurationStatus(ctx context.Context, member *agree.Member) (*configpb.Answer, error) {
	type known struct {
		revision, compacted uint64
		sessions            map[string]uint64
	}
	now, err := agree.View(ctx, member, func() (known, error) {
		store := v.machine.Configuration()
		return known{store.Revision(), store.Compacted(), v.machine.Sessions()}, nil
	})
	if err != nil {
		return nil, err
	}
	status := &configpb.Status{Revision: now.revision, Compacted: now.compacted, Sessions: uint64(len(now.sessions))}
	status.Machines = v.collectReports(ctx)
	var reports []*configpb.Report
	unreported := maps.Clone(now.sessions)
	for _, machine := range status.Machines {
		reports = append(reports, machine.Report)
		for _, node := range machine.GetReport().GetWatching() {
			delete(unreported, node)
		}
	}
	status.InForce, status.Accounted = watch.InForce(now.sessions, reports)
	status.Unheard = slices.Sorted(maps.Keys(unreported))
	return &configpb.Answer{Status: status}, nil
}

// collectReports requests the reports of all voters in parallel. A voter that does not answer within reportTimeout has
// the reason in place of a report.
func (v *voter) collectReports(ctx context.Context) []*configpb.MachineStatus {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	list := make([]*configpb.MachineStatus, len(v.config.Voters))
	var wg sync.WaitGroup
	for i, o := range v.config.Voters {
		list[i] = &configpb.MachineStatus{Name: o.Name}
		wg.Go(func() {
			report, err := v.requestReport(ctx, o)
			if err != nil {
				list[i].Why = err.Error()
				return
			}
			list[i].Report = report
		})
	}
	wg.Wait()
	return list
}

// requestReport requests the report of a voter. It takes the report of this voter directly.
func (v *voter) requestReport(ctx context.Context, o Voter) (*configpb.Report, error) {
	if o.Name == v.config.Name {
		return v.watch.Report(true), nil
	}
	raw, err := proto.Marshal(&configpb.ReportRequest{Names: true})
	if err != nil {
		return nil, err
	}
	status, answer, err := v.calls.Call(ctx, v.config.fullName(o.Name), o.Address, kindReport, raw)
	if err != nil {
		return nil, err
	}
	if status != statusOK {
		return nil, fmt.Errorf("%s: %s", o.Name, answer)
	}
	r := &configpb.Report{}
	return r, proto.Unmarshal(answer, r)
}
