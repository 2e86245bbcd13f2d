package control

import (
	"context"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/wholefile"
)

// followedOrders is the orders that this node follows, as its file has them. A process applies them at its start,
// before it serves.
type followedOrders struct {
	Log     string            `json:"log"` // name of the log that the orders are from
	Version uint64            `json:"version"`
	Out     map[string]uint64 `json:"out"` // drained targets, with the epochs of their drains
}

// loadOrders reads the orders that the node followed last from its file.
func (n *Control) loadOrders() (orders followedOrders, err error) {
	err = wholefile.ReadJSON(filepath.Join(n.config.Folder, ordersFile), &orders)
	if err != nil {
		return followedOrders{}, err
	}
	return orders, nil
}

// AwaitOrders waits for orders of a later version than the given one of a log, or of another log. It returns nil if the
// long poll ended without any.
func (n *Control) AwaitOrders(ctx context.Context, version uint64, log string) (*fleetpb.Orders, error) {
	raw, err := proto.Marshal(&fleetpb.Orders{Version: version, Log: log})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ordersPollTimeout+n.config.SessionTimeout)
	defer cancel()
	n.mu.Lock()
	leaderChanged := n.leaderChanged
	n.mu.Unlock()
	go func() { // a former leader may get no new orders; the keep-alive calls notice the change of the leader
		select {
		case <-leaderChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	if raw, err = n.callLeader(ctx, kindOrders, raw); err != nil || len(raw) == 0 {
		return nil, err
	}
	o := &fleetpb.Orders{}
	if err := proto.Unmarshal(raw, o); err != nil || o.Log == log && o.Version <= version {
		return nil, err
	}
	return o, nil
}

// followOrders requests orders, applies them and writes them to the file, until the node's end.
func (n *Control) followOrders() {
	for n.ctx.Err() == nil {
		known := n.currentOrders()
		o, err := n.AwaitOrders(n.ctx, known.Version, known.Log)
		if err != nil || o == nil {
			continue
		}
		if known.Log != "" && known.Log != o.Log {
			n.log.Error("fleet: the voters have another log than the one that this node follows; it continues with the orders that it has. "+
				"See \"All voters' disks are lost\" in docs/operate/fleet-control.md", "follows", known.Log, "theirs", o.Log)
			n.sleep(n.config.SessionTimeout)
			continue
		}
		updated := followedOrders{Log: o.Log, Version: o.Version, Out: map[string]uint64{}}
		for _, x := range o.Out {
			updated.Out[x.Target] = x.Epoch
		}
		n.applyOrders(updated)
		n.log.Info("fleet: follows", "version", updated.Version,
			"out", strings.Join(slices.Sorted(maps.Keys(updated.Out)), ","))
		if err := n.saveOrders(updated); err != nil {
			n.log.Error("fleet: this node's orders can't be kept in its folder; it acknowledges nothing", "err", err)
			n.sleep(n.config.SessionTimeout / keepAlivesPerTimeout) // the next request gets the same orders at once
			continue
		}
		n.mu.Lock()
		n.orders = updated
		close(n.ordersChanged)
		n.ordersChanged = make(chan struct{})
		n.mu.Unlock()
	}
}

// currentOrders returns the orders that this node follows.
func (n *Control) currentOrders() followedOrders {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.orders
}

// sleep waits for d, or until the node's end.
func (n *Control) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// ejectedServers returns the servers that this node has ejected, maxDeadServers at most.
func (n *Control) ejectedServers() []string {
	list := n.loop.EjectedServers()
	return list[:min(len(list), maxDeadServers)]
}

// applyOrders applies orders to the loop, and to the node itself if it is drained.
func (n *Control) applyOrders(orders followedOrders) {
	n.loop.SetCordon(cordonOf(slices.Collect(maps.Keys(orders.Out))...))
	n.node.SetDrained(orders.Out[fleet.NodeTarget(n.config.Name)] > 0)
}

// cordonOf returns the servers and zones among targets as a cordon.
func cordonOf(targets ...string) core.Cordon {
	cordon := core.Cordon{Servers: map[decide.ServerID]bool{}, Zones: map[string]bool{}}
	for _, target := range targets {
		switch kind, name, _ := strings.Cut(target, "/"); kind {
		case "server":
			cordon.Servers[registry.ServerID(name)] = true
		case "zone":
			cordon.Zones[name] = true
		}
	}
	return cordon
}

// remaining returns how many open attempts this node has at a target; for the node itself as the target, how many open
// requests of clients. ok is false once the loop has ended.
func (n *Control) remaining(target string) (int, bool) {
	if target == fleet.NodeTarget(n.config.Name) {
		return n.loop.OpenRequests()
	}
	return n.loop.OpenAttemptsAt(cordonOf(target))
}

// saveOrders writes the orders to their file, atomically. They are acknowledged only after that, so that a restarted
// process can't go back to older ones.
func (n *Control) saveOrders(orders followedOrders) error {
	return wholefile.WriteJSON(filepath.Join(n.config.Folder, ordersFile), orders)
}

// SetReplaced sets whether a successor process runs beside this one. While it does, this process acknowledges no
// drains, as the successor may still send to the target; the successor acknowledges them once it is alone. succeeded
// means that the successor serves already, so that this process may be ended.
func (n *Control) SetReplaced(replaced, succeeded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replaced, n.succeeded = replaced, succeeded
}

// sendAcks sends an acknowledgement of each drain to the leader, once in each session, when this node has nothing open
// at the target any more.
func (n *Control) sendAcks() {
	type sentAck struct{ session, epoch uint64 }
	acknowledged := map[string]sentAck{}
	for n.ctx.Err() == nil {
		n.mu.Lock()
		session, out, ordersChanged, replaced := n.epoch, n.orders.Out, n.ordersChanged, n.replaced
		n.mu.Unlock()
		open := map[string]uint64{}
		for target, epoch := range out {
			if session > 0 && !replaced && acknowledged[target] != (sentAck{session, epoch}) {
				open[target] = epoch
			}
		}
		for target := range acknowledged {
			if out[target] == 0 {
				delete(acknowledged, target)
			}
		}
		if len(open) == 0 {
			select {
			case <-n.ctx.Done():
			case <-ordersChanged:
			case <-time.After(n.config.SessionTimeout / keepAlivesPerTimeout): // a new session needs new acknowledgements
			}
			continue
		}
		var acks []*fleetpb.Ack
		for target, epoch := range open {
			remaining, ok := n.remaining(target)
			if !ok {
				return
			}
			if remaining == 0 {
				acks = append(acks, &fleetpb.Ack{Node: n.config.Name, Session: session, Target: target, Epoch: epoch})
			}
		}
		if len(acks) > 0 {
			ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
			r, err := n.Propose(ctx, &fleetpb.Entry{What: &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{Acks: acks}}})
			cancel()
			if err == nil && r.Code == fleetpb.Result_DONE {
				for _, a := range acks {
					acknowledged[a.Target] = sentAck{a.Session, a.Epoch}
				}
			}
		}
		n.sleep(drainPollInterval)
	}
}
