// Package registry implements core.Membership with the platform's service discovery over HTTP: either one registry
// service that all nodes call, or an agent of the node's own to which lists are pushed.
package registry

import (
	"context"
	"errors"
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

	// A watch is a sequence of calls (long polls), each of which waits at the registry for a change. Waits vary by
	// jitterPerNode for each node, but at most by maxJitterShare of the wait: watches that become unresponsive together
	// must not all be started again at the same moment.
	jitterPerNode  = time.Second / 25
	maxJitterShare = 0.4
	// firstWatchWait is the wait of the first call of a watch: the load balancer needs its answer at once.
	firstWatchWait = time.Millisecond
	// callTimeout is how long such a call may go, beyond that wait, without the first byte of its answer until another
	// one is begun beside it: it may be queued at the registry.
	callTimeout = 3 * time.Second
	// silenceTimeout is how long such a call may go without that byte until the registry counts as unreachable. The call
	// begun beside it has been open for longer than a queue lasts by then. While the registry counts as unreachable,
	// callTimeout is enough for each further call.
	silenceTimeout = callTimeout + maxQueueTime + renewalMargin
	// readTimeout is how long the answer may pause once it has begun.
	readTimeout = 5 * time.Second
	// maxCallTime is how long such a call may last in all.
	maxCallTime = 10 * time.Second
	dialTimeout = time.Second
	// watchSlack is how late, beyond its wait, the answer to a further call of a watch may be. Such a call is not
	// queued.
	watchSlack = 750 * time.Millisecond
	// overloadWait tells refusals apart: a call that is refused as it comes in gets its answer earlier. One that is
	// refused after at least so long (and before callTimeout) had been accepted, and was queued or held open until
	// then.
	overloadWait    = 300 * time.Millisecond
	maxAgentWait    = 3 * time.Second       // longest wait of a poll of an agent
	maxAgentSlack   = time.Second           // longest time for which an agent may be late
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
	unresponsive  atomic.Bool   // a call has had no answer, and none has come since
}

// callTiming holds the times of the calls of a watch.
type callTiming struct {
	wait         time.Duration // mean time that a call waits for a change
	jitter       time.Duration // width of the range around wait from which waits are drawn
	slack        time.Duration // how late the answer may be, after its wait
	firstTimeout time.Duration // how long a call that does not wait for a change may go without a byte of its answer
	// silenceTimeout is how long it may go until the registry counts as unreachable.
	silenceTimeout time.Duration
	readTimeout    time.Duration // how long an answer may pause once it has begun
	maxCallTime    time.Duration // how long such a call may last in all
	localRetryTime time.Duration // for which a call is repeated that this machine could not make
	listLifetime   time.Duration // how long the list may be used after it was confirmed; 0: without limit
	// renewalInterval is the shortest time between two calls that are begun because answers are late.
	renewalInterval time.Duration
	retryPause      time.Duration // longest pause after a failed watch, before the next one
	overloadWait    time.Duration // the least time of a refusal that ends an accepted call
	agent           bool          // the calls go to the node's own agent
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
	watchWait := settings.PollWait()
	return &Registry{addr: addr, log: log,
		serviceTiming: callTiming{wait: watchWait,
			jitter: min(nodes*jitterPerNode, time.Duration(maxJitterShare*float64(watchWait))), slack: watchSlack,
			firstTimeout: callTimeout, silenceTimeout: silenceTimeout, readTimeout: readTimeout,
			maxCallTime: maxCallTime, localRetryTime: callTimeout, listLifetime: settings.ListLifetime(), overloadWait: overloadWait,
			renewalInterval: max(minRenewalInterval, nodes*renewalIntervalPerNode)},
		agentTiming: callTiming{wait: graceShare(2, 25*time.Millisecond, maxAgentWait),
			slack:          graceShare(4, 25*time.Millisecond, maxAgentSlack),
			firstTimeout:   graceShare(2, 50*time.Millisecond, maxAgentSlack),
			readTimeout:    graceShare(2, 50*time.Millisecond, maxAgentSlack),
			maxCallTime:    graceShare(2, 50*time.Millisecond, maxAgentSlack),
			localRetryTime: graceShare(4, 25*time.Millisecond, maxAgentSlack/2),
			retryPause:     graceShare(8, 10*time.Millisecond, maxAgentSlack/5), agent: true},
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost: maxOpenCalls + 1, MaxIdleConnsPerHost: 2}}}
}

// Fetch requests the whole list once.
func (r *Registry) Fetch(ctx context.Context) (core.List, error) {
	limits := progressLimits{silence: silenceTimeout, pause: readTimeout, total: maxCallTime, local: callTimeout}
	return r.fetch(ctx, callWholeList, &progress{limits: limits})
}

// fetch requests the whole list, with a call of the given kind. An answer with changes only is an error.
func (r *Registry) fetch(ctx context.Context, kind callKind, progress *progress) (core.List, error) {
	list, err := r.call(ctx, kind, "", progress)
	if err == nil && !list.Full {
		return core.List{}, errors.New("list: the answer is not the whole list")
	}
	return list, err
}

// Watch calls onList with each answer, including those without changes, until a call fails or ctx ends. It returns a
// core.CallError. It starts with the changes since the given version, or with the whole list if since is nil.
//
// Each further call is made at once after the answer before it: discovery ends a watch whose next call comes more than
// 200 ms later, and the node counts as notified of changes within that time. A watch that becomes unresponsive, or
// whose answer is older than the one before or is cut off, is started again at once, because the node soon counts as
// notified of what it has missed. Before the restart of an unresponsive watch, onList is called with a list that is
// marked Stalled. The call that got no answer is kept open beside the new one: discovery may only be slow.
func (r *Registry) Watch(ctx context.Context, since *uint64, onList func(core.List)) error {
	return newWatcher(r, r.serviceTiming, since, onList).run(ctx)
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Follow keeps a watch of the node's own agent until ctx ends: a watch that ends is started again after a short pause,
// from the latest version. It calls onFailed with the core.CallError of each watch that ends.
func (r *Registry) Follow(ctx context.Context, since *uint64, onList func(core.List), onFailed func(error)) {
	var confirmedAt time.Time
	for {
		w := newWatcher(r, r.agentTiming, since, func(list core.List) { since = &list.Version; onList(list) })
		w.asOf = confirmedAt
		err := w.run(ctx)
		confirmedAt = w.asOf
		if ctx.Err() != nil {
			return
		}
		if call := (*core.CallError)(nil); errors.As(err, &call) {
			call.ConfirmedAt = confirmedAt
		}
		onFailed(err)
		sleep(ctx, time.Duration(float64(r.agentTiming.retryPause)*(0.5+0.5*rand.Float64())))
	}
}

// Addr returns the address of the registry or agent.
func (r *Registry) Addr() netip.AddrPort { return r.addr }

// Close implements core.Membership: it closes idle connections.
func (r *Registry) Close() { r.client.CloseIdleConnections() }
