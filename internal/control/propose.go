package control

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
	"starlingvalve/internal/vitals"
)

// errNoLeader means that no voter answered as the leader. Operators and tests match "out of reach".
var errNoLeader = errors.New("the agreement is out of reach: no voter answers as the leader")

// callLeader sends a request to the leader and returns its answer. It tries the voters in turn, or the one that an
// answer names as the leader, until one succeeds or rejects the request, or ctx ends. So the request may be applied
// more than once: an entry needs a request ID (Entry.Ask), or must do no harm if it is applied twice.
func (n *Control) callLeader(ctx context.Context, kind uint64, request []byte) ([]byte, error) {
	var lastErr error
	for try := 0; ; try++ {
		n.mu.Lock()
		index := n.leader
		n.mu.Unlock()
		voter := n.config.Voters[index]
		timeout := callTimeout
		if kind == kindOrders {
			timeout += ordersPollTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		status, answer, err := n.callVoter(callCtx, voter, kind, request)
		cancel()
		next := (index + 1) % len(n.config.Voters)
		switch {
		case err != nil:
			lastErr = fmt.Errorf("%w; the last one called: %w", errNoLeader, err)
		case status == statusOK:
			return answer, nil
		case status == statusRejected:
			return nil, errors.New(string(answer))
		case status == statusOutcomeUnknown:
			lastErr, next = fmt.Errorf("%s: %s", voter.Name, answer), index
		default:
			lastErr = fmt.Errorf("%w; %s does not lead", errNoLeader, voter.Name)
			for i, o := range n.config.Voters {
				if o.Name == string(answer) {
					next = i
				}
			}
		}
		n.mu.Lock()
		if n.leader == index && next != index {
			n.leader = next
			close(n.leaderChanged)
			n.leaderChanged = make(chan struct{})
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, lastErr
		case <-time.After(retryPause):
		}
	}
}

// callVoter sends a request to one voter. It calls this node's own voter directly.
func (n *Control) callVoter(ctx context.Context, v Voter, kind uint64, request []byte) (uint64, []byte, error) {
	if n.voter != nil && v.Name == n.config.Name {
		status, answer := n.voter.handleCall(ctx, n.config.fullName(n.config.Name), kind, request)
		return status, answer, nil
	}
	return n.calls.Call(ctx, n.config.fullName(v.Name), v.Address, kind, request)
}

// Propose proposes an entry to the leader and returns its result.
func (n *Control) Propose(ctx context.Context, e *fleetpb.Entry) (*fleetpb.Result, error) {
	raw, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	answer, err := n.callLeader(ctx, kindEntry, raw)
	if err != nil {
		return nil, err
	}
	r := &fleetpb.Result{}
	return r, proto.Unmarshal(answer, r)
}

// State returns the fleet's state from the leader, without the configuration.
func (n *Control) State(ctx context.Context) (*fleetpb.State, error) {
	raw, err := n.callLeader(ctx, kindState, nil)
	if err != nil {
		return nil, err
	}
	s := &fleetpb.State{}
	return s, proto.Unmarshal(raw, s)
}

// reportedCounts determines which of this node's completed requests it reports to the leader, which compares the nodes
// that run a new version with the others.
type reportedCounts struct {
	enabled  bool                          // the leader wants counts at all
	soak     int64                         // start of the release's soak period that the counts are for, Unix ms; 0: none
	baseline map[string]health.ClassCounts // counts at its begin, which are subtracted
}

// update takes over from an answer of the leader what it wants to be reported. The counts start again with each soak
// period, and while age, the time since the process started, is below vitals.WarmUp: a new process refuses more
// requests than it does later.
func (c *reportedCounts) update(r *fleetpb.Result, ends func() map[string]health.ClassCounts, age time.Duration) {
	if c.enabled = r.Tell; r.Soak != c.soak || age < vitals.WarmUp {
		c.soak, c.baseline = r.Soak, ends()
	}
}

// delta returns the requests completed since the baseline, in the form of a report.
func (c *reportedCounts) delta(current map[string]health.ClassCounts) (list []*fleetpb.Ends) {
	for class, counts := range vitals.Subtract(current, c.baseline) {
		message := &fleetpb.Ends{Class: class, Served: counts.Served, Refused: counts.Refused, Failed: counts.Failed}
		vitals.SetTrimmedLatencies(message, counts.Latencies)
		list = append(list, message)
	}
	return list
}

// keepSession opens this node's session and keeps it alive, until the node's end.
func (n *Control) keepSession() {
	counts, startedAt := reportedCounts{}, time.Now()
	for n.ctx.Err() == nil {
		requestedAt := time.Now()
		ctx, cancel := context.WithTimeout(n.ctx, n.config.SessionTimeout)
		report := &fleetpb.OpenSession{Node: n.config.Name, Zone: n.config.Zone, Process: n.process, Level: fleet.Level,
			Voter: n.config.IsVoter(), Dead: n.ejectedServers()}
		if counts.enabled {
			report.Ends, report.Resident, report.Soak = counts.delta(n.node.ClassCounts()), n.node.ResidentBytes(), counts.soak
		}
		result, err := n.Propose(ctx, &fleetpb.Entry{What: &fleetpb.Entry_Open{Open: report}})
		cancel()
		delay := n.config.SessionTimeout / keepAlivesPerTimeout
		if err == nil {
			counts.update(result, n.node.ClassCounts, time.Since(startedAt))
		}
		n.mu.Lock()
		previous := n.epoch
		switch {
		case err == nil && result.Code == fleetpb.Result_DONE:
			n.epoch, n.validUntil = result.Epoch, requestedAt.Add(n.config.SessionTimeout)
		case err == nil:
			n.epoch, err = 0, errors.New(result.Reason)
			n.process, delay = rand.Text(), retryPause
		case time.Now().After(n.validUntil):
			n.epoch = 0
		}
		current := n.epoch
		n.mu.Unlock()
		if current != previous && n.ctx.Err() == nil {
			if current > 0 {
				n.log.Info("fleet: session", "epoch", current)
			} else {
				n.log.Warn("fleet: no session; this node continues to serve and follows the orders that it has", "err", err)
			}
		}
		n.sleep(delay)
	}
}
