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
func (n *Control) call(ctx context.Context, kind uint64, request []byte) ([]byte, error) {
	var last error
	for try := 0; ; try++ {
		n.mu.Lock()
		at := n.leader
		n.mu.Unlock()
		v := n.c.Voters[at]
		wait := callWait
		if kind == kindOrders {
			wait += ordersHold
		}
		one, cancel := context.WithTimeout(ctx, wait)
		status, answer, err := n.one(one, v, kind, request)
		cancel()
		next := (at + 1) % len(n.c.Voters)
		switch {
		case err != nil:
			last = fmt.Errorf("%w; the last one called: %w", errNoLeader, err)
		case status == statusOK:
			return answer, nil
		case status == statusBad:
			return nil, errors.New(string(answer))
		case status == statusUnknown:
			last, next = fmt.Errorf("%s: %s", v.Name, answer), at
		default:
			last = fmt.Errorf("%w; %s does not lead", errNoLeader, v.Name)
			for i, o := range n.c.Voters {
				if o.Name == string(answer) {
					next = i
				}
			}
		}
		n.mu.Lock()
		if n.leader == at && next != at {
			n.leader = next
			close(n.moved)
			n.moved = make(chan struct{})
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, last
		case <-time.After(againAfter):
		}
	}
}

// callVoter sends a request to one voter. It calls this node's own voter directly.
func (n *Control) one(ctx context.Context, v Voter, kind uint64, request []byte) (uint64, []byte, error) {
	if n.voter != nil && v.Name == n.c.Name {
		status, answer := n.voter.handle(ctx, n.c.full(n.c.Name), kind, request)
		return status, answer, nil
	}
	return n.calls.Call(ctx, n.c.full(v.Name), v.Address, kind, request)
}

// Propose proposes an entry to the leader and returns its result.
func (n *Control) Ask(ctx context.Context, e *fleetpb.Entry) (*fleetpb.Result, error) {
	raw, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	answer, err := n.call(ctx, kindEntry, raw)
	if err != nil {
		return nil, err
	}
	r := &fleetpb.Result{}
	return r, proto.Unmarshal(answer, r)
}

// State returns the fleet's state from the leader, without the configuration.
func (n *Control) State(ctx context.Context) (*fleetpb.State, error) {
	raw, err := n.call(ctx, kindState, nil)
	if err != nil {
		return nil, err
	}
	s := &fleetpb.State{}
	return s, proto.Unmarshal(raw, s)
}

// reportedCounts determines which of this node's completed requests it reports to the leader, which compares the nodes
// that run a new version with the others.
type counting struct {
	tell bool                   // the leader wants counts at all
	soak int64                  // start of the release's soak period that the counts are for, Unix ms; 0: none
	base map[string]health.Ends // counts at its begin, which are subtracted
}

// update takes over from an answer of the leader what it wants to be reported. The counts start again with each soak
// period, and while age, the time since the process started, is below vitals.WarmUp: a new process refuses more
// requests than it does later.
func (c *counting) heard(r *fleetpb.Result, ends func() map[string]health.Ends, age time.Duration) {
	if c.tell = r.Tell; r.Soak != c.soak || age < vitals.WarmUp {
		c.soak, c.base = r.Soak, ends()
	}
}

// delta returns the requests completed since the baseline, in the form of a report.
func (c *counting) ends(now map[string]health.Ends) (list []*fleetpb.Ends) {
	for class, e := range vitals.Since(now, c.base) {
		p := &fleetpb.Ends{Class: class, Served: e.Served, Refused: e.Refused, Failed: e.Failed}
		vitals.Trim(p, e.Took)
		list = append(list, p)
	}
	return list
}

// keepSession opens this node's session and keeps it alive, until the node's end.
func (n *Control) session() {
	told, began := counting{}, time.Now()
	for n.ctx.Err() == nil {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(n.ctx, n.c.Life)
		word := &fleetpb.OpenSession{Node: n.c.Name, Zone: n.c.Zone, Process: n.process, Level: fleet.Level, Voter: n.c.Votes(), Dead: n.suspects()}
		if told.tell {
			word.Ends, word.Resident, word.Soak = told.ends(n.node.Ends()), n.node.Resident(), told.soak
		}
		r, err := n.Ask(ctx, &fleetpb.Entry{What: &fleetpb.Entry_Open{Open: word}})
		cancel()
		pause := n.c.Life / aliveParts
		if err == nil {
			told.heard(r, n.node.Ends, time.Since(began))
		}
		n.mu.Lock()
		was := n.epoch
		switch {
		case err == nil && r.Code == fleetpb.Result_DONE:
			n.epoch, n.until = r.Epoch, asked.Add(n.c.Life)
		case err == nil:
			n.epoch, err = 0, errors.New(r.Reason)
			n.process, pause = rand.Text(), againAfter
		case time.Now().After(n.until):
			n.epoch = 0
		}
		now := n.epoch
		n.mu.Unlock()
		if now != was && n.ctx.Err() == nil {
			if now > 0 {
				n.log.Info("fleet: session", "epoch", now)
			} else {
				n.log.Warn("fleet: no session; this node continues to serve and follows the orders that it has", "err", err)
			}
		}
		n.pause(pause)
	}
}
