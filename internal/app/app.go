package app

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	"starlingvalve/internal/descriptors"
	"starlingvalve/internal/front"
	"starlingvalve/internal/front/http1"
	"starlingvalve/internal/guard"
	"starlingvalve/internal/handover"
	"starlingvalve/internal/health"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/ops"
	"starlingvalve/internal/peer"
	"starlingvalve/internal/recentid"
	"starlingvalve/internal/recorder"
	"starlingvalve/internal/serverlist"
	"starlingvalve/internal/stats"
	"starlingvalve/internal/trace"
	upstream "starlingvalve/internal/upstream/http1"
)

const (
	// The platform waits after SIGTERM for the longest deadline of any class, capped at maxDrainDeadline, and for
	// killAfter, and then sends SIGKILL. The node sends its last answers killMargin before that.
	maxDrainDeadline = 3 * time.Second
	killAfter        = 700 * time.Millisecond
	killMargin       = 200 * time.Millisecond
)

// Run opens the node's sockets, or takes over its predecessor's, and serves until ctx ends and all requests accepted
// by then are answered. Each signal on reload makes it read the configuration file again.
func Run(ctx context.Context, config *Config, reload <-chan os.Signal, log *slog.Logger) error {
	opened, err := openSockets(config, log)
	if err != nil {
		return err
	}
	return serve(ctx, config, opened, reload, log)
}

// assembly holds the parts of a node and what several of them need, while the node is built and while it runs.
type assembly struct {
	config      *Config
	log         *slog.Logger
	sockets     *sockets
	descriptors descriptors.Split
	memory      *memory.Account // what peers make the node hold
	recentIDs   *recentid.Table

	metrics     *stats.Metrics
	guard       *guard.Guard
	transport   *upstream.Transport
	gateway     *siteGateway // to and from other sites; nil: no requests are handed to or taken from other sites
	loop        *core.Loop
	handler     *front.Handler
	front       *http1.Front
	takeover    *takeover
	peers       *peer.Peers
	opsListener *net.TCPListener // the operators' address; nil: there is none

	violations atomic.Int64 // attempts that broke one of the guard's rules
	parts      parts
}

// serve assembles a node on the given sockets and runs it until ctx ends and all requests accepted by then are
// answered. It also returns, with an error, if the node can't start or its clients' listener fails.
func serve(ctx context.Context, config *Config, opened *sockets, reload <-chan os.Signal, log *slog.Logger) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	node := &assembly{config: config, log: log, sockets: opened}
	frontEnded := make(chan error, 1)
	defer func() { node.parts.cleanup() }()
	if err := node.assemble(runCtx, reload, frontEnded); err != nil {
		opened.clients.Close()
		return err
	}
	var running sync.WaitGroup
	if err := node.parts.start(runCtx, stop, &running); err != nil {
		opened.clients.Close()
		return err
	}
	attrs := []any{"name", config.Name, "listen", opened.clients.Addr(), "sockets", node.descriptors.Total()}
	if node.opsListener != nil {
		attrs = append(attrs, "ops", node.opsListener.Addr())
	}
	log.Info("serving", attrs...)

	var err error
	select {
	case err = <-frontEnded:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		log.Info("draining")
		// A node without clients may still serve requests of another site.
		node.parts.drain(time.Now().Add(config.drainTime()), &running)
		log.Info("drained")
	}
	node.parts.afterDrain()
	stop()
	node.parts.close()
	running.Wait()
	return err
}

// assemble creates the parts in the order in which they start. If it fails, the cleanup of the parts that were added
// releases what they own.
func (a *assembly) assemble(ctx context.Context, reload <-chan os.Signal, frontEnded chan<- error) error {
	config, opened, log := a.config, a.sockets, a.log
	var learned *decide.Snapshot
	otherDiscovery := false
	if opened.predecessor != nil {
		a.add(part{cleanup: func() { opened.predecessor.Close() }})
		if state, err := decodeState(opened.predecessor.State); err != nil {
			log.Warn("ignoring the predecessor's state", "err", err)
		} else {
			config.Known, learned, otherDiscovery = state.List, state.Learned, state.fromOtherDiscovery(config.Discovery)
			config.Known.Source = serverlist.SourcePredecessor
		}
	}
	var err error
	if a.descriptors, err = divideDescriptors(config, log); err != nil {
		return err
	}
	a.memory = memory.NewAccount(memory.LimitsOf(config.Limits.MemoryMB, 1).Account)
	a.openRecentIDs()
	a.add(part{cleanup: func() { a.recentIDs.Close() }})
	if config.Ops.IsValid() {
		if a.opsListener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(config.Ops)); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		a.add(part{cleanup: func() { a.opsListener.Close() }})
	}
	if opened.peers != nil {
		a.peers = peer.New(opened.peers, config.Peers, config.PeersAll, config.Settings.Self, log)
	}
	a.guard = guard.New(config.Settings.DrainGrace, a.logViolation)
	a.transport = upstream.New(config.Settings, a.memory, a.descriptors.Servers, a.guard, log)
	if config.Gateway != nil {
		if a.gateway, err = openSiteGateway(config, log); err != nil {
			return err
		}
		a.add(part{cleanup: a.gateway.close})
	}
	if err := a.createLoop(ctx, learned); err != nil {
		return err
	}
	a.takeover = &takeover{front: a.front, handler: a.handler, transport: a.transport, peers: a.peers, loop: a.loop,
		maxClients: a.maxClients(), maxServerConnections: a.descriptors.Servers,
		memory: a.memory, memoryMB: config.Limits.MemoryMB, setMemory: config.setMemory, log: log,
		predecessorRunning: opened.predecessor != nil,
		serving:            opened.predecessor == nil}

	if opened.predecessor != nil {
		a.takeover.predecessorConnections = a.maxClients()
	}

	a.add(part{run: func(context.Context) { a.loop.Run(config.Known) }}, part{run: a.transport.Run})
	if config.Fleet != nil {
		if err := a.addFleetControl(); err != nil {
			return err
		}
	}
	a.takeover.update(func() {})
	if a.peers != nil {
		a.add(part{run: a.peers.SendQueued}, part{run: func(context.Context) { a.peers.Receive(a.loop.ReceiveMessage) }})
	}
	if a.opsListener != nil {
		a.addOpsServer()
	}
	a.add(part{run: func(context.Context) { frontEnded <- a.front.Serve() }, drain: a.front.Drain, close: a.front.Close})
	if a.gateway != nil {
		a.add(part{start: func() error { return a.gateway.startServer(config, a.loop, a.memory) },
			run: func(context.Context) { a.gateway.server.Serve() }, drain: a.gateway.drain,
			close: func() { a.gateway.server.Close() }})
	}
	a.add(part{run: func(ctx context.Context) {
		if otherDiscovery {
			log.Info("discovery: the predecessor's list is from another discovery server; requesting the full list",
				"at", config.Discovery)
			a.loop.SetMembership(registry.New(config.Discovery, config.Settings, log))
		}
		reloadOnSignal(ctx, config, a.loop, a.gateway, &a.takeover.source, reload, log)
	}})
	if opened.predecessor != nil {
		a.add(part{run: func(ctx context.Context) { a.takeover.replacePredecessor(ctx, opened.predecessor) }})
	}
	if config.Handover != "" {
		a.addHandoverServer()
	}
	return nil
}

// maxViolationsLogged bounds the log lines about broken rules. The statistics count all violations.
const maxViolationsLogged = 100

// logViolation logs an attempt that broke a rule, although the guard was consulted before it was sent. It logs at most
// maxViolationsLogged of them.
func (a *assembly) logViolation(rule guard.Rule, attempt guard.Attempt) {
	if a.violations.Add(1) > maxViolationsLogged {
		return
	}
	a.log.Error("rule broken", "rule", rule.String(), "deadline", attempt.Deadline, "off since", attempt.UnavailableSince,
		"told", attempt.TimeLeft, "sent", attempt.Now)
}

func (a *assembly) add(p ...part) { a.parts = append(a.parts, p...) }

// createLoop creates the event loop that runs the decision module, starting from the predecessor's learned state if
// that is not nil, and the front that passes clients' requests to it.
func (a *assembly) createLoop(ctx context.Context, learned *decide.Snapshot) error {
	config, log := a.config, a.log
	var messenger core.Messenger
	if a.peers != nil {
		messenger = a.peers
	}
	settings := config.Settings
	settings.NotifyOverload = a.gateway != nil
	a.metrics = stats.New(classNames(settings))
	a.metrics.SetGuard(a.guard)
	a.metrics.SetMemory(a.memory)
	a.transport.OnAnswerEnd = a.metrics.AnswerEnded
	var err error
	a.loop, err = core.New(ctx, core.Options{Remote: a.gateway.remote(), Settings: settings, Seed: config.Seed,
		Transport: a.transport, Membership: registry.New(config.Discovery, settings, log),
		Messenger: messenger, Metrics: a.metrics, Learned: learned, Guard: a.guard, RecentIDs: a.recentIDs, Log: log})
	if err != nil {
		return err
	}
	a.handler = front.NewHandler(a.loop, config.Settings, a.memory, log)
	a.handler.Metrics, a.handler.Guard = a.metrics, a.guard
	if config.Record != nil {
		a.addRecorder()
	}
	a.front = http1.New(a.sockets.clients, a.maxClients(), a.handler, log)
	return nil
}

// openRecentIDs opens the predecessor's table of recent ids, or makes a new one.
func (a *assembly) openRecentIDs() {
	var err error
	if predecessor := a.sockets.predecessor; predecessor != nil && predecessor.RecentIDs != nil {
		if a.recentIDs, err = recentid.Open(predecessor.RecentIDs); err == nil {
			return
		}
		a.log.Warn("the predecessor's ids of recent requests are not available", "err", err)
	}
	if a.recentIDs, err = recentid.New(); err != nil {
		a.log.Warn("the ids of recent requests can't be shared with a successor", "err", err)
	}
}

// maxClients is the number of clients' connections for which there are descriptors and memory.
func (a *assembly) maxClients() int { return min(a.descriptors.Clients, a.memory.MaxConnections()) }

// addRecorder passes each completed request to the recorder. The recorder stops only in the cleanup, when all
// accepted requests have been answered and recorded.
func (a *assembly) addRecorder() {
	writer := recorder.New(a.config.Record, a.log)
	a.handler.OnComplete = func(s *front.CompletedRequest) { writer.Record(recorderTry(s)) }
	recorderCtx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	a.add(part{start: func() error {
		running.Go(func() { writer.Run(recorderCtx) })
		return nil
	}, cleanup: func() {
		stop()
		running.Wait()
	}})
}

// addFleetControl makes the node a member of its fleet's agreement on drains and budgets. The drains that the node
// followed when it last stopped apply again before it serves anything.
func (a *assembly) addFleetControl() error {
	for _, class := range a.config.Settings.Classes {
		if class.Aim > 0 {
			a.metrics.TrackLatency(class.Name, health.LatencyBounds(class.Aim))
		}
	}
	fleetControl, err := control.Open(a.config.Fleet, a.loop, fleetNode{a.takeover, a.metrics}, a.log)
	if err != nil {
		return err
	}
	a.takeover.fleetControl = fleetControl
	a.add(part{start: func() error { fleetControl.ApplySavedOrders(); return nil },
		run: func(context.Context) { fleetControl.Run() }, announceLeave: fleetControl.AnnounceLeaving,
		afterDrain: fleetControl.Close, close: fleetControl.Stop})
	return nil
}

// fleetNode is what the fleet's control sees and uses of this node.
type fleetNode struct {
	*takeover
	metrics *stats.Metrics
}

// SetDrained makes the node report that it is not ready, because the fleet has drained it, or ends that.
func (n fleetNode) SetDrained(on bool) { n.setDrained(on) }

// ClassCounts returns for each class the number of completed requests by outcome since the start of the process, and the
// distribution of the response times of those that were served.
func (n fleetNode) ClassCounts() map[string]health.ClassCounts {
	results := map[string]health.ClassCounts{}
	n.metrics.EachClass(func(class string, answered, deferred, errored int64) {
		results[class] = health.ClassCounts{Served: uint64(answered), Refused: uint64(deferred), Failed: uint64(errored),
			Latencies: n.metrics.LatencyCounts(class)}
	})
	return results
}

// ResidentBytes returns the resident memory of this process in bytes, from /proc/self/statm, or 0 if that can't be read.
func (fleetNode) ResidentBytes() uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident uint64
	fmt.Sscan(string(raw), &size, &resident)
	return resident * uint64(os.Getpagesize())
}

// addOpsServer serves the operators' address: health checks and statistics.
func (a *assembly) addOpsServer() {
	opsServer := ops.New(a.opsListener, a.handler.Ready, a.metrics, a.log)
	a.add(part{run: func(context.Context) {
		if err := opsServer.Serve(); err != nil {
			a.log.Error("operators' address: serving failed", "err", err)
		}
	}, close: opsServer.Close})
}

// addHandoverServer lets a successor process take over the sockets and the state of this one.
func (a *assembly) addHandoverServer() {
	var server *handover.Server
	a.add(part{start: func() error {
		var err error
		server, err = handover.Listen(a.config.Handover,
			handover.Offer{Name: a.config.Name, Listener: a.sockets.clients, Peers: a.sockets.peers,
				RecentIDs: a.recentIDs.File(),
				State:     a.takeover.encodeState, Connections: a.front.OpenConnections,
				Changed: a.takeover.stageChanged}, a.log)
		if err != nil {
			a.log.Warn("handover is not available; a successor can only share the port", "err", err)
		}
		return nil
	}, run: func(ctx context.Context) {
		if server != nil {
			server.Run(ctx)
		}
	}})
}

func classNames(s decide.Settings) (names []string) {
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// recorderTry converts a completed request to the form in which it is recorded.
func recorderTry(completed *front.CompletedRequest) *recorder.Try {
	arrival := &completed.Request.Arrived
	try := &recorder.Try{StartedAt: completed.StartedAt, Class: arrival.Class, Tenant: arrival.Tenant,
		Order: completed.Request.Header.Get("Idempotency-Key"), BodySize: int(completed.BodyBytes), AnswerSize: len(completed.Answer.Body),
		Repeat: arrival.Repeat, Outcome: trace.Failed, Duration: completed.Duration, Work: completed.Answer.AttemptTime,
		Patience: completed.Patience}
	if try.Order == "" {
		try.Order = string(arrival.ID)
	}
	switch {
	case completed.ClientGone:
		try.Outcome = trace.ClientGone
	case completed.Answer.Status == http.StatusOK:
		try.Outcome = trace.Served
	case completed.Answer.Status == http.StatusServiceUnavailable, completed.Answer.Status == http.StatusTooManyRequests:
		try.Outcome = trace.Refused
	}
	return try
}

// drainTime returns how long after SIGTERM the node may take to send its last answers: killMargin less than the time
// after which the platform may kill the process.
func (c *Config) drainTime() time.Duration {
	return min(c.Settings.LongestDeadline(), maxDrainDeadline) + killAfter - killMargin
}

// reloadOnSignal reads the configuration again at each signal on reload, until ctx ends. An invalid configuration
// changes nothing. Of a valid one, discovery's address and the gateway's certificates, roots and removed sites take
// effect at once, all else at the next start. The address of discovery in use is kept in source.
func reloadOnSignal(ctx context.Context, config *Config, loop *core.Loop, gateway *siteGateway,
	source *atomic.Pointer[netip.AddrPort], reload <-chan os.Signal, log *slog.Logger) {
	discovery := config.Discovery
	source.Store(new(discovery))
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		newConfig, err := config.reread()
		if err != nil {
			log.Error("keeping the old configuration: the new one is invalid", "err", err)
			continue
		}
		if gateway != nil && newConfig.Gateway != nil {
			gateway.reload(newConfig.Gateway)
		}
		if newConfig.Discovery != discovery {
			discovery = newConfig.Discovery
			source.Store(new(discovery))
			log.Info("discovery: address changed; requesting the full list", "to", discovery)
			loop.SetMembership(registry.New(discovery, config.Settings, log))
		}
	}
}
