// Package registry implements core.Membership with the platform's service discovery over HTTP: either one registry
// service that all nodes call, or an agent of the node's own to which lists are pushed.
package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/serverlist"
)

const (
	listLimit = 4 << 20 // largest list, in bytes

	// A watch is a sequence of calls (long polls), each of which waits at the registry for a change. The wait grows
	// from minWatchWait by watchWaitPerNode for each node of the fleet, up to maxWatchWait: each call costs the one
	// service that all nodes use. A connection that carries no more data is noticed when the wait is over.
	watchLeast = 3 * time.Second
	watchMost  = 20 * time.Second
	watchEach  = time.Second / 4
	// Waits vary by jitterPerNode for each node, but at most by maxJitterShare of the wait: watches that become
	// unresponsive together must not all be started again at the same moment.
	waitSpread = time.Second / 25
	waitDiffer = 0.4
	// firstWatchWait is the wait of the first call of a watch: the load balancer needs its answer at once.
	firstWait = time.Millisecond
	// callTimeout is how long such a call may take, beyond that wait: it may be queued at the registry.
	callSlack = 3 * time.Second
	dialWait  = time.Second
	// watchSlack is how late, beyond its wait, the answer to a further call of a watch may be. Such a call is not
	// queued.
	watchSlack = time.Second
	// overloadWait: a call that the registry refuses only after at least so long had been accepted, and held or queued
	// until then; it was not refused as it came in.
	crowdedWait = 300 * time.Millisecond
	agentPause  = 50 * time.Millisecond // between calls to an agent that answers at once without a change
	localPause  = 20 * time.Millisecond // before a call is repeated that failed on this machine
	latestStart = 1 << 43               // in ms since the epoch; a later start time would overflow the module's clock
	registryURL = "/registry/instances"
)

// Registry gets the list of backends from service discovery at one address, the registry service or an agent. It has
// its own connections.
type Registry struct {
	addr   netip.AddrPort
	asked  pacing // for Watch: one service that all nodes call
	pushed pacing // for Follow: the node's own agent
	client *http.Client
	log    *slog.Logger
	calls  atomic.Uint64 // number of calls so far, which is the id of the latest one in the log
}

// callTiming holds the times of the calls of a watch.
type pacing struct {
	wait  time.Duration // mean time that a call waits for a change
	vary  time.Duration // width of the range around wait from which waits are drawn
	slack time.Duration // how late the answer may be, after its wait
	first time.Duration // timeout of a call that does not wait for a change
	pause time.Duration // longest pause after a failed call, before the watch starts again
	crowd time.Duration // a refusal after at least so long is not one of a call as it came in
	agent bool          // the calls go to the node's own agent
}

// source returns the source of the list in an answer; first is set for the first answer of a watch.
func (p *pacing) source(first bool) serverlist.Source {
	switch {
	case p.agent:
		return serverlist.SourcePush
	case first:
		return serverlist.SourceCall
	}
	return serverlist.SourceWatch
}

// kind returns the kind under which a call is logged: callAgent for all calls to an agent.
func (p *pacing) kind(asked callKind) callKind {
	if p.agent {
		return callAgent
	}
	return asked
}

// drawWait returns a random wait for one call, evenly distributed over jitter around the mean.
func (p *pacing) draw() time.Duration {
	if p.vary <= 0 {
		return p.wait
	}
	return p.wait - p.vary/2 + rand.N(p.vary)
}

// New returns a client of the registry, or of the agent, at addr. The node counts as notified of a change as soon as
// its agent has it. So an agent that answers again after a failure, and a watch of it that became unresponsive, must
// be noticed well within settings.DrainGrace, the time that servers are given to drain. Calls to the node's own agent
// cost no other node anything, so they are made that often.
func New(addr netip.AddrPort, s decide.Settings, log *slog.Logger) *Registry {
	grace := func(part time.Duration, least, most time.Duration) time.Duration {
		return min(max(s.DrainGrace/part, least), most)
	}
	nodes := time.Duration(s.Nodes)
	watch := min(max(watchLeast, nodes*watchEach), watchMost)
	return &Registry{addr: addr, log: log, asked: pacing{wait: watch, vary: min(nodes*waitSpread, time.Duration(waitDiffer*float64(watch))), slack: watchSlack,
		first: callSlack, crowd: crowdedWait},
		pushed: pacing{wait: grace(2, 25*time.Millisecond, watchLeast), slack: grace(4, 25*time.Millisecond, watchSlack), first: grace(2, 50*time.Millisecond, watchSlack),
			pause: grace(8, 10*time.Millisecond, watchSlack/5), agent: true},
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialWait}).DialContext, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

// Fetch requests the whole list once.
func (d *Registry) Fetch(ctx context.Context) (core.List, error) {
	return d.fetch(ctx, callWhole, callSlack)
}

func (d *Registry) fetch(ctx context.Context, kind callKind, limit time.Duration) (core.List, error) {
	l, err := d.call(ctx, kind, "", limit)
	if err == nil && !l.Full {
		return core.List{}, errors.New("list: the answer is not the whole list")
	}
	return l, err
}

// errOlderList is the error of an answer with a lower version than the watch has already delivered: a server that
// drains by now may be ready in it.
var errOlder = errors.New("list: older than one that this watch has delivered")

// Watch calls onList with each answer, including those without changes, until a call fails or ctx ends; the error is a
// core.CallError. It starts with the changes since the given version, or with the whole list if since is nil.
//
// Each further call is made at once after the answer before it: discovery ends a watch whose next call comes more than
// 200 ms later, and the node counts as notified of changes within that time. A watch that becomes unresponsive, or
// whose answer is older than the one before or is cut off, is started again at once, because the node soon counts as
// notified of what it has missed. Before the restart of an unresponsive watch, onList is called with a list that is
// marked Silent.
func (d *Registry) Watch(ctx context.Context, since *uint64, news func(core.List)) error {
	return d.watch(ctx, since, d.asked, news)
}

// watch implements Watch and Follow, with the timing of either. since, if not nil, is the version to start from.
func (d *Registry) watch(ctx context.Context, since *uint64, p pacing, news func(core.List)) error {
	var version uint64
	var answeredAt time.Time // when the previous answer was received
	renewed := false         // restarted because of a bad answer, and only the first answer has been good since
	for first := true; ; {
		asked := time.Now()
		l, err := d.next(ctx, since, version, first, p)
		if !first && ctx.Err() == nil {
			switch {
			case silent(err):
				d.log.Info("discovery: the watch is unresponsive; starting a new one", "since", version)
				d.Close() // other idle connections may be unresponsive too
				since, first = new(version), true
				if !p.agent {
					news(core.List{Silent: true})
				}
				continue
			case errors.Is(err, errOlder) && !renewed:
				d.log.Info("discovery: an answer is older than the one before; requesting the whole list", "since", version, "revision", l.Version)
				since, first, renewed = nil, true, true
				continue
			case errors.Is(err, errBroken) && !silent(err) && !renewed:
				d.log.Info("discovery: an answer was cut off; requesting it again", "since", version, "err", err)
				since, first, renewed = new(version), true, true
				continue
			}
		}
		if err != nil {
			return p.failed(err, first, time.Since(asked))
		}
		l.Source = p.source(first)
		if resumed := asked.Sub(answeredAt); !first && resumed > serverlist.ContinueWithin {
			d.log.Warn("discovery: the watch was resumed too late", "after", resumed, "since", version, "revision", l.Version)
			l.StaleSince = answeredAt
		}
		answeredAt = time.Now()
		news(l)
		if !first && l.Version == version && time.Since(asked) < agentPause {
			pause(ctx, agentPause) // an agent may answer every call at once; avoid a busy loop
		}
		renewed = renewed && first
		version, first = l.Version, false
	}
}

// sleep returns after d, or when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// nextCall makes one call of a watch: the first one, from version since or for the whole list if since is nil, or a
// further one from version. A discovery service that was restarted may count versions from the start again. A list of
// changes with a lower version than since then means nothing, and the whole list is requested. Within one watch
// versions only rise.
func (d *Registry) next(ctx context.Context, since *uint64, version uint64, first bool, p pacing) (core.List, error) {
	if first && since == nil {
		return d.fetch(ctx, p.kind(callWhole), p.first)
	}
	kind, wait, slack := callKeeps, p.draw(), p.slack
	if first {
		kind, version, wait, slack = callBegins, *since, firstWait, p.first
	}
	l, err := d.call(ctx, p.kind(kind), fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds()), wait+slack)
	switch {
	case err != nil || l.Version >= version:
		return l, err
	case !first:
		return l, errOlder
	case !l.Full:
		return d.fetch(ctx, p.kind(callWhole), p.first)
	}
	return l, nil
}

// timedOut reports whether a call ended because no answer arrived in time.
func silent(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Follow keeps a watch of the node's own agent until ctx ends: a watch that ends is started again after a short pause,
// from the latest version.
func (d *Registry) Follow(ctx context.Context, since *uint64, news func(core.List)) {
	for ctx.Err() == nil {
		err := d.watch(ctx, since, d.pushed, func(l core.List) { since = &l.Version; news(l) })
		d.log.Debug("watch ended", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(d.pushed.pause) * (0.5 + 0.5*rand.Float64()))):
		}
	}
}

// Addr returns the address of the registry or agent.
func (d *Registry) Addr() netip.AddrPort { return d.addr }

// Close implements core.Membership: it closes idle connections.
func (d *Registry) Close() { d.client.CloseIdleConnections() }
