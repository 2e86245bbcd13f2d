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
	maxListSize = 4 << 20 // largest list, in bytes

	// A watch is a sequence of calls (long polls), each of which waits at the registry for a change. The wait grows
	// from minWatchWait by watchWaitPerNode for each node of the fleet, up to maxWatchWait: each call costs the one
	// service that all nodes use. A connection that carries no more data is noticed when the wait is over.
	minWatchWait     = 3 * time.Second
	maxWatchWait     = 20 * time.Second
	watchWaitPerNode = time.Second / 4
	// Waits vary by jitterPerNode for each node, but at most by maxJitterShare of the wait: watches that become
	// unresponsive together must not all be started again at the same moment.
	jitterPerNode  = time.Second / 25
	maxJitterShare = 0.4
	// firstWatchWait is the wait of the first call of a watch: the load balancer needs its answer at once.
	firstWatchWait = time.Millisecond
	// callTimeout is how long such a call may take, beyond that wait: it may be queued at the registry.
	callTimeout = 3 * time.Second
	dialTimeout = time.Second
	// watchSlack is how late, beyond its wait, the answer to a further call of a watch may be. Such a call is not
	// queued.
	watchSlack = time.Second
	// overloadWait tells refusals apart: a call that is refused as it comes in gets its answer earlier. One that is
	// refused after at least so long (and before callTimeout) had been accepted, and was queued or held open until
	// then.
	overloadWait    = 300 * time.Millisecond
	agentPause      = 50 * time.Millisecond // between calls to an agent that answers at once without a change
	localRetryPause = 20 * time.Millisecond // before a call is repeated that failed on this machine
	maxStartTime    = 1 << 43               // in ms since the epoch; a later start time would overflow the module's clock
	instancesPath   = "/registry/instances"
)

// Registry gets the list of backends from service discovery at one address, the registry service or an agent. It has
// its own connections.
type Registry struct {
	addr          netip.AddrPort
	serviceTiming callTiming // for Watch: one service that all nodes call
	agentTiming   callTiming // for Follow: the node's own agent
	client        *http.Client
	log           *slog.Logger
	calls         atomic.Uint64 // number of calls so far, which is the id of the latest one in the log
}

// callTiming holds the times of the calls of a watch.
type callTiming struct {
	wait         time.Duration // mean time that a call waits for a change
	jitter       time.Duration // width of the range around wait from which waits are drawn
	slack        time.Duration // how late the answer may be, after its wait
	firstTimeout time.Duration // timeout of a call that does not wait for a change
	retryPause   time.Duration // longest pause after a failed watch, before the next one
	overloadWait time.Duration // the least time of a refusal that ends an accepted call
	agent        bool          // the calls go to the node's own agent
}

// source returns the source of the list in an answer; first is set for the first answer of a watch.
func (t *callTiming) source(first bool) serverlist.Source {
	switch {
	case t.agent:
		return serverlist.SourcePush
	case first:
		return serverlist.SourceCall
	}
	return serverlist.SourceWatch
}

// kind returns the kind under which a call is logged: callAgent for all calls to an agent.
func (t *callTiming) kind(kind callKind) callKind {
	if t.agent {
		return callAgent
	}
	return kind
}

// drawWait returns a random wait for one call, evenly distributed over jitter around the mean.
func (t *callTiming) drawWait() time.Duration {
	if t.jitter <= 0 {
		return t.wait
	}
	return t.wait - t.jitter/2 + rand.N(t.jitter)
}

// New returns a client of the registry, or of the agent, at addr. The node counts as notified of a change as soon as
// its agent has it. So an agent that answers again after a failure, and a watch of it that became unresponsive, must
// be noticed well within settings.DrainGrace, the time that servers are given to drain. Calls to the node's own agent
// cost no other node anything, so they are made that often.
func New(addr netip.AddrPort, settings decide.Settings, log *slog.Logger) *Registry {
	graceShare := func(divisor time.Duration, lowest, highest time.Duration) time.Duration {
		return min(max(settings.DrainGrace/divisor, lowest), highest)
	}
	nodes := time.Duration(settings.Nodes)
	watchWait := min(max(minWatchWait, nodes*watchWaitPerNode), maxWatchWait)
	return &Registry{addr: addr, log: log,
		serviceTiming: callTiming{wait: watchWait,
			jitter: min(nodes*jitterPerNode, time.Duration(maxJitterShare*float64(watchWait))), slack: watchSlack,
			firstTimeout: callTimeout, overloadWait: overloadWait},
		agentTiming: callTiming{wait: graceShare(2, 25*time.Millisecond, minWatchWait),
			slack:        graceShare(4, 25*time.Millisecond, watchSlack),
			firstTimeout: graceShare(2, 50*time.Millisecond, watchSlack),
			retryPause:   graceShare(8, 10*time.Millisecond, watchSlack/5), agent: true},
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

// Fetch requests the whole list once.
func (r *Registry) Fetch(ctx context.Context) (core.List, error) {
	return r.fetch(ctx, callWholeList, callTimeout)
}

// fetch requests the whole list, with a call of the given kind. An answer with changes only is an error.
func (r *Registry) fetch(ctx context.Context, kind callKind, timeout time.Duration) (core.List, error) {
	list, err := r.call(ctx, kind, "", timeout)
	if err == nil && !list.Full {
		return core.List{}, errors.New("list: the answer is not the whole list")
	}
	return list, err
}

// errOlderList is the error of an answer with a lower version than the watch has already delivered: a server that
// drains by now may be ready in it.
var errOlderList = errors.New("list: older than one that this watch has delivered")

// Watch calls onList with each answer, including those without changes, until a call fails or ctx ends. It returns a
// core.CallError. It starts with the changes since the given version, or with the whole list if since is nil.
//
// Each further call is made at once after the answer before it: discovery ends a watch whose next call comes more than
// 200 ms later, and the node counts as notified of changes within that time. A watch that becomes unresponsive, or
// whose answer is older than the one before or is cut off, is started again at once, because the node soon counts as
// notified of what it has missed. Before the restart of an unresponsive watch, onList is called with a list that is
// marked Stalled.
func (r *Registry) Watch(ctx context.Context, since *uint64, onList func(core.List)) error {
	return r.watch(ctx, since, r.serviceTiming, onList)
}

// watch implements Watch and Follow, with the timing of either. since, if not nil, is the version to start from.
func (r *Registry) watch(ctx context.Context, since *uint64, timing callTiming, onList func(core.List)) error {
	var version uint64
	var answeredAt time.Time // when the previous answer was received
	renewed := false         // restarted because of a bad answer, and only the first answer has been good since
	for first := true; ; {
		calledAt := time.Now()
		list, err := r.nextCall(ctx, since, version, first, timing)
		if !first && ctx.Err() == nil {
			switch {
			case timedOut(err):
				r.log.Info("discovery: the watch is unresponsive; starting a new one", "since", version)
				r.Close() // other idle connections may be unresponsive too
				since, first = new(version), true
				if !timing.agent {
					onList(core.List{Stalled: true})
				}
				continue
			case errors.Is(err, errOlderList) && !renewed:
				r.log.Info("discovery: an answer is older than the one before; requesting the whole list",
					"since", version, "revision", list.Version)
				since, first, renewed = nil, true, true
				continue
			case errors.Is(err, errIncomplete) && !timedOut(err) && !renewed:
				r.log.Info("discovery: an answer was cut off; requesting it again", "since", version, "err", err)
				since, first, renewed = new(version), true, true
				continue
			}
		}
		if err != nil {
			return timing.callError(err, first, time.Since(calledAt))
		}
		list.Source = timing.source(first)
		if gap := calledAt.Sub(answeredAt); !first && gap > serverlist.MaxWatchGap {
			r.log.Warn("discovery: the watch was resumed too late",
				"after", gap, "since", version, "revision", list.Version)
			list.StaleSince = answeredAt
		}
		answeredAt = time.Now()
		onList(list)
		if !first && list.Version == version && time.Since(calledAt) < agentPause {
			sleep(ctx, agentPause) // an agent may answer every call at once; avoid a busy loop
		}
		renewed = renewed && first
		version, first = list.Version, false
	}
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// nextCall makes one call of a watch: the first one, from version since or for the whole list if since is nil, or a
// further one from version. A discovery service that was restarted may count versions from the start again. A list of
// changes with a lower version than since then means nothing, and the whole list is requested. Within one watch
// versions only rise.
func (r *Registry) nextCall(ctx context.Context, since *uint64, version uint64, first bool,
	timing callTiming) (core.List, error) {
	if first && since == nil {
		return r.fetch(ctx, timing.kind(callWholeList), timing.firstTimeout)
	}
	kind, wait, slack := callKeepWatch, timing.drawWait(), timing.slack
	if first {
		kind, version, wait, slack = callBeginWatch, *since, firstWatchWait, timing.firstTimeout
	}
	list, err := r.call(ctx, timing.kind(kind),
		fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds()), wait+slack)
	switch {
	case err != nil || list.Version >= version:
		return list, err
	case !first:
		return list, errOlderList
	case !list.Full:
		return r.fetch(ctx, timing.kind(callWholeList), timing.firstTimeout)
	}
	return list, nil
}

// timedOut reports whether a call ended because no answer arrived in time.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Follow keeps a watch of the node's own agent until ctx ends: a watch that ends is started again after a short pause,
// from the latest version.
func (r *Registry) Follow(ctx context.Context, since *uint64, onList func(core.List)) {
	for ctx.Err() == nil {
		err := r.watch(ctx, since, r.agentTiming, func(list core.List) { since = &list.Version; onList(list) })
		r.log.Debug("watch ended", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(r.agentTiming.retryPause) * (0.5 + 0.5*rand.Float64()))):
		}
	}
}

// Addr returns the address of the registry or agent.
func (r *Registry) Addr() netip.AddrPort { return r.addr }

// Close implements core.Membership: it closes idle connections.
func (r *Registry) Close() { r.client.CloseIdleConnections() }
