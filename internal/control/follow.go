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
type held struct {
	Log     string            `json:"log"` // name of the log that the orders are from
	Version uint64            `json:"version"`
	Out     map[string]uint64 `json:"out"` // drained targets, with the epochs of their drains
}

// loadOrders reads the orders that the node followed last from its file.
func (n *Control) kept() (h held, err error) {
	err = wholefile.ReadJSON(filepath.Join(n.c.Folder, heldFile), &h)
	if err != nil {
		return held{}, err
	}
	return h, nil
}

// AwaitOrders waits for orders of a later version than the given one of a log, or of another log. It returns nil if the
// long poll ended without any.
func (n *Control) Orders(ctx context.Context, version uint64, log string) (*fleetpb.Orders, error) {
	raw, err := proto.Marshal(&fleetpb.Orders{Version: version, Log: log})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ordersHold+n.c.Life)
	defer cancel()
	n.mu.Lock()
	moved := n.moved
	n.mu.Unlock()
	go func() { // a former leader may get no new orders; the keep-alive calls notice the change of the leader
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	if raw, err = n.call(ctx, kindOrders, raw); err != nil || len(raw) == 0 {
		return nil, err
	}
	o := &fleetpb.Orders{}
	if err := proto.Unmarshal(raw, o); err != nil || o.Log == log && o.Version <= version {
		return nil, err
	}
	return o, nil
}

// followOrders requests orders, applies them and writes them to the file, until the node's end.
func (n *Control) follow() {
	for n.ctx.Err() == nil {
		known := n.followed()
		o, err := n.Orders(n.ctx, known.Version, known.Log)
		if err != nil || o == nil {
			continue
		}
		if known.Log != "" && known.Log != o.Log {
			n.log.Error("fleet: the voters have another log than the one that this node follows; it continues with the orders that it has. "+
				"See \"All voters' disks are lost\" in docs/operate/fleet-control.md", "follows", known.Log, "theirs", o.Log)
			n.pause(n.c.Life)
			continue
		}
		now := held{Log: o.Log, Version: o.Version, Out: map[string]uint64{}}
		for _, x := range o.Out {
			now.Out[x.Target] = x.Epoch
		}
		n.hold(now)
		n.log.Info("fleet: follows", "version", now.Version, "out", strings.Join(slices.Sorted(maps.Keys(now.Out)), ","))
		if err := n.keep(now); err != nil {
			n.log.Error("fleet: this node's orders can't be kept in its folder; it acknowledges nothing", "err", err)
			n.pause(n.c.Life / aliveParts) // the next request gets the same orders at once
			continue
		}
		n.mu.Lock()
		n.held = now
		close(n.follows)
		n.follows = make(chan struct{})
		n.mu.Unlock()
	}
}

// currentOrders returns the orders that this node follows.
func (n *Control) followed() held {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

// sleep waits for d, or until the node's end.
func (n *Control) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// ejectedServers returns the servers that this node has ejected, maxDeadServers at most.
func (n *Control) suspects() []string {
	list := n.loop.EjectedServers()
	return list[:min(len(list), mostSuspects)]
}

// applyOrders applies orders to the loop, and to the node itself if it is drained.
func (n *Control) hold(h held) {
	n.loop.SetCordon(heldOf(slices.Collect(maps.Keys(h.Out))...))
	n.node.Away(h.Out[fleet.NodeTarget(n.c.Name)] > 0)
}

// cordonOf returns the servers and zones among targets as a cordon.
func heldOf(targets ...string) core.Cordon {
	h := core.Cordon{Servers: map[decide.ServerID]bool{}, Zones: map[string]bool{}}
	for _, target := range targets {
		switch kind, name, _ := strings.Cut(target, "/"); kind {
		case "server":
			h.Servers[registry.ServerID(name)] = true
		case "zone":
			h.Zones[name] = true
		}
	}
	return h
}

// remaining returns how many open attempts this node has at a target; for the node itself as the target, how many open
// requests of clients. ok is false once the loop has ended.
func (n *Control) left(target string) (int, bool) {
	if target == fleet.NodeTarget(n.c.Name) {
		return n.loop.OpenRequests()
	}
	return n.loop.OpenAttemptsAt(heldOf(target))
}

// saveOrders writes the orders to their file, atomically. They are acknowledged only after that, so that a restarted
// process can't go back to older ones.
func (n *Control) keep(h held) error {
	return wholefile.WriteJSON(filepath.Join(n.c.Folder, heldFile), h)
}

// SetReplaced sets whether a successor process runs beside this one. While it does, this process acknowledges no
// drains, as the successor may still send to the target; the successor acknowledges them once it is alone. succeeded
// means that the successor serves already, so that this process may be ended.
func (n *Control) Replaced(on, succeeded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent, n.succeeded = on, succeeded
}

// sendAcks sends an acknowledgement of each drain to the leader, once in each session, when this node has nothing open
// at the target any more.
func (n *Control) acknowledge() {
	type said struct{ session, epoch uint64 }
	told := map[string]said{}
	for n.ctx.Err() == nil {
		n.mu.Lock()
		session, out, news, silent := n.epoch, n.held.Out, n.follows, n.silent
		n.mu.Unlock()
		open := map[string]uint64{}
		for target, epoch := range out {
			if session > 0 && !silent && told[target] != (said{session, epoch}) {
				open[target] = epoch
			}
		}
		for target := range told {
			if out[target] == 0 {
				delete(told, target)
			}
		}
		if len(open) == 0 {
			select {
			case <-n.ctx.Done():
			case <-news:
			case <-time.After(n.c.Life / aliveParts): // a new session needs new acknowledgements
			}
			continue
		}
		var acks []*fleetpb.Ack
		for target, epoch := range open {
			left, ok := n.left(target)
			if !ok {
				return
			}
			if left == 0 {
				acks = append(acks, &fleetpb.Ack{Node: n.c.Name, Session: session, Target: target, Epoch: epoch})
			}
		}
		if len(acks) > 0 {
			ctx, cancel := context.WithTimeout(n.ctx, callWait)
			r, err := n.Ask(ctx, &fleetpb.Entry{What: &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{Acks: acks}}})
			cancel()
			if err == nil && r.Code == fleetpb.Result_DONE {
				for _, a := range acks {
					told[a.Target] = said{a.Session, a.Epoch}
				}
			}
		}
		n.pause(leftEvery)
	}
}
