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

// held is what this node follows, on its disk: a process that starts follows it before it serves.
type held struct {
	Log     string            `json:"log"` // that says so
	Version uint64            `json:"version"`
	Out     map[string]uint64 `json:"out"` // targets, and the epochs of their drains
}

// kept reads what was followed at last.
func (n *Control) kept() (h held, err error) {
	err = wholefile.ReadJSON(filepath.Join(n.c.Folder, heldFile), &h)
	if err != nil {
		return held{}, err
	}
	return h, nil
}

// Orders waits a while for orders behind a version of a log, or of another log; nil: there are none.
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
	go func() { // a voter that leads no more may hear no news; the session's calls find that out
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

// follow has the loop follow what is agreed.
func (n *Control) follow() {
	for n.ctx.Err() == nil {
		known := n.followed()
		o, err := n.Orders(n.ctx, known.Version, known.Log)
		if err != nil || o == nil {
			continue
		}
		if known.Log != "" && known.Log != o.Log {
			n.log.Error("fleet: the voters hold another log than the one that this node follows; it goes on with what it knows. "+
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
			n.log.Error("fleet: what this node follows can't be kept; it acknowledges nothing", "err", err)
			n.pause(n.c.Life / aliveParts) // the same orders come again at once
			continue
		}
		n.mu.Lock()
		n.held = now
		close(n.follows)
		n.follows = make(chan struct{})
		n.mu.Unlock()
	}
}

func (n *Control) followed() held {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

func (n *Control) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// suspects are the servers that this node takes for dead.
func (n *Control) suspects() []string {
	list := n.loop.EjectedServers()
	return list[:min(len(list), mostSuspects)]
}

// hold has the loop, and the node, follow.
func (n *Control) hold(h held) {
	n.loop.SetCordon(heldOf(slices.Collect(maps.Keys(h.Out))...))
	n.node.Away(h.Out[fleet.NodeTarget(n.c.Name)] > 0)
}

// heldOf gives the servers and zones among targets.
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

// left is what is still under way of what a target is to have none of: attempts there; of this node itself, clients' requests.
func (n *Control) left(target string) (int, bool) {
	if target == fleet.NodeTarget(n.c.Name) {
		return n.loop.OpenRequests()
	}
	return n.loop.OpenAttemptsAt(heldOf(target))
}

// keep writes what is followed, whole or not at all, before it is acknowledged.
func (n *Control) keep(h held) error {
	return wholefile.WriteJSON(filepath.Join(n.c.Folder, heldFile), h)
}

// Replaced tells whether another process serves beside this one, to replace it. What this one has stopped says nothing of the other
// then: that one speaks for the node once it is alone.
// succeeded: that one serves already, and this one may be told to end.
func (n *Control) Replaced(on, succeeded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent, n.succeeded = on, succeeded
}

// acknowledge tells the leader of each drain once nothing of this node's own is left there.
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
			case <-time.After(n.c.Life / aliveParts): // another session may have begun
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
