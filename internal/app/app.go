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
	"starlingvalve/internal/ops"
	"starlingvalve/internal/peer"
	"starlingvalve/internal/recorder"
	"starlingvalve/internal/serverlist"
	"starlingvalve/internal/stats"
	"starlingvalve/internal/trace"
	upstream "starlingvalve/internal/upstream/http1"
)

const (
	// bodyMemoryShare is the share of the memory limit for request bodies that are being read or buffered.
	bodyPart = 1.0 / 8

	// The platform sends SIGKILL this long after SIGTERM: the longest deadline of any class, of which
	// maxDrainDeadline counts at most, plus killAfter. The node sends its last answers killMargin before that.
	drainLongest = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	killMargin   = 200 * time.Millisecond
)

// Run opens the node's sockets, or takes over its predecessor's, and serves until ctx ends and all requests accepted
// by then are answered. Each signal on reload makes it read the configuration file again.
func Run(ctx context.Context, c *Config, reload <-chan os.Signal, log *slog.Logger) error {
	s, err := openSockets(c, log)
	if err != nil {
		return err
	}
	return serve(ctx, c, s, reload, log)
}

// assembly holds the parts of a node and what several of them need, while the node is built and while it runs.
type assembly struct {
	c       *Config
	log     *slog.Logger
	sockets *sockets
	split   descriptors.Split

	figures   *stats.Figures
	guard     *guard.Guard
	transport *upstream.Transport
	gate      *gate // to and from other sites; nil: no requests are handed to or taken from other sites
	loop      *core.Loop
	handler   *front.Handler
	front     *http1.Front
	takeover  *takeover
	peers     *peer.Peers
	second    *net.TCPListener // the operators' address; nil: there is none

	violations atomic.Int64 // attempts that broke one of the guard's rules
	parts      parts
}

// serve assembles a node on the given sockets and runs it until ctx ends and all requests accepted by then are
// answered. It also returns, with an error, if the node can't start or its clients' listener fails.
func serve(ctx context.Context, c *Config, s *sockets, reload <-chan os.Signal, log *slog.Logger) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a := &assembly{c: c, log: log, sockets: s}
	served := make(chan error, 1)
	defer func() { a.parts.after() }()
	if err := a.assemble(inner, reload, served); err != nil {
		s.clients.Close()
		return err
	}
	var running sync.WaitGroup
	if err := a.parts.start(inner, stop, &running); err != nil {
		s.clients.Close()
		return err
	}
	about := []any{"name", c.Name, "listen", s.clients.Addr(), "sockets", a.split.Total()}
	if a.second != nil {
		about = append(about, "ops", a.second.Addr())
	}
	log.Info("serving", about...)

	var err error
	select {
	case err = <-served:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		log.Info("draining")
		// A node without clients may still serve requests of another site.
		a.parts.drain(time.Now().Add(c.drainTime()), &running)
		log.Info("drained")
	}
	a.parts.last()
	stop()
	a.parts.close()
	running.Wait()
	return err
}

// assemble creates the parts in the order in which they start. If it fails, the cleanup of the parts that were added
// releases what they own.
func (a *assembly) assemble(ctx context.Context, reload <-chan os.Signal, served chan<- error) error {
	c, s, log := a.c, a.sockets, a.log
	var learned *decide.Snapshot
	elsewhere := false
	if s.from != nil {
		a.add(part{after: func() { s.from.Close() }})
		if k, err := takeState(s.from.State); err != nil {
			log.Warn("ignoring the predecessor's state", "err", err)
		} else {
			c.Known, learned, elsewhere = k.List, k.Learned, k.elsewhere(c.Discovery)
			c.Known.Source = serverlist.SourcePredecessor
		}
	}
	var err error
	if a.split, err = splitOf(c, log); err != nil {
		return err
	}
	if c.Ops.IsValid() {
		if a.second, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Ops)); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		a.add(part{after: func() { a.second.Close() }})
	}
	if s.peers != nil {
		a.peers = peer.New(s.peers, c.Peers, c.PeersAll, c.Settings.Self, log)
	}
	a.guard = guard.New(c.Settings.DrainGrace, a.logViolation)
	a.transport = upstream.New(c.Settings, c.Limits.MemoryMB, a.split.Servers, a.guard, log)
	if c.Gateway != nil {
		if a.gate, err = openGate(c, log); err != nil {
			return err
		}
		a.add(part{after: a.gate.close})
	}
	if err := a.decisions(ctx, learned); err != nil {
		return err
	}
	a.takeover = &takeover{front: a.front, handler: a.handler, transport: a.transport, peers: a.peers, loop: a.loop, clients: a.split.Clients, servers: a.split.Servers,
		memoryMB: c.Limits.MemoryMB, setMemory: c.setMemory, log: log, before: s.from != nil, serves: s.from == nil}

	if s.from != nil {
		a.takeover.held = a.split.Clients
	}

	a.add(part{run: func(context.Context) { a.loop.Run(c.Known) }}, part{run: a.transport.Run})
	if c.Fleet != nil {
		if err := a.agreement(); err != nil {
			return err
		}
	}
	a.takeover.set(func() {})
	if a.peers != nil {
		a.add(part{run: a.peers.Write}, part{run: func(context.Context) { a.peers.Read(a.loop.Heard) }})
	}
	if a.second != nil {
		a.operations()
	}
	a.add(part{run: func(context.Context) { served <- a.front.Serve() }, drain: a.front.Drain, close: a.front.Close})
	if a.gate != nil {
		a.add(part{start: func() error { return a.gate.take(c, a.loop) }, run: func(context.Context) { a.gate.server.Serve() }, drain: a.gate.drain,
			close: func() { a.gate.server.Close() }})
	}
	a.add(part{run: func(ctx context.Context) {
		if elsewhere {
			log.Info("discovery: the predecessor's list is from another discovery server; requesting the full list", "at", c.Discovery)
			a.loop.Move(registry.New(c.Discovery, c.Settings, log))
		}
		follow(ctx, c, a.loop, a.gate, &a.takeover.source, reload, log)
	}})
	if s.from != nil {
		a.add(part{run: func(ctx context.Context) { a.takeover.follow(ctx, s.from) }})
	}
	if c.Handover != "" {
		a.successor()
	}
	return nil
}

// maxViolationsLogged bounds the log lines about broken rules. The statistics count all violations.
const violationsLogged = 100

// logViolation logs an attempt that was sent although it broke one of the guard's rules, up to maxViolationsLogged
// times.
func (a *assembly) logViolation(r guard.Rule, t guard.Attempt) {
	if a.violations.Add(1) > violationsLogged {
		return
	}
	a.log.Error("rule broken", "rule", r.String(), "deadline", t.Deadline, "off since", t.OffSince, "told", t.Told, "sent", t.Now)
}

func (a *assembly) add(p ...part) { a.parts = append(a.parts, p...) }

// createLoop creates the event loop that runs the decision module, starting from the predecessor's learned state if
// that is not nil, and the front that passes clients' requests to it.
func (a *assembly) decisions(ctx context.Context, learned *decide.Snapshot) error {
	c, log := a.c, a.log
	var messenger core.Messenger
	if a.peers != nil {
		messenger = a.peers
	}
	settings := c.Settings
	settings.TellShort = a.gate != nil
	a.figures = stats.New(classNames(settings))
	a.figures.Guarded(a.guard)
	var err error
	a.loop, err = core.New(ctx, core.Options{Remote: a.gate.remote(), Settings: settings, Seed: c.Seed, Transport: a.transport, Members: registry.New(c.Discovery, settings, log),
		Messenger: messenger, Figures: a.figures, Learned: learned, Guard: a.guard, Log: log})
	if err != nil {
		return err
	}
	a.handler = front.NewHandler(a.loop, c.Settings, int64(bodyPart*float64(c.Limits.MemoryMB<<20)), log)
	a.handler.Figures, a.handler.Guard = a.figures, a.guard
	if c.Record != nil {
		a.record()
	}
	a.front = http1.New(a.sockets.clients, a.split.Clients, a.handler, log)
	return nil
}

// addRecorder passes each completed request to the recorder. The recorder stops only in the cleanup, when all
// accepted requests have been answered and recorded.
func (a *assembly) record() {
	keeper := recorder.New(a.c.Record, a.log)
	a.handler.Seen = func(s *front.Seen) { keeper.Take(tryOf(s)) }
	recording, stop := context.WithCancel(context.Background())
	var writing sync.WaitGroup
	a.add(part{start: func() error {
		writing.Go(func() { keeper.Run(recording) })
		return nil
	}, after: func() {
		stop()
		writing.Wait()
	}})
}

// addFleetControl makes the node a member of its fleet's agreement on drains and budgets. The drains that the node
// followed when it last stopped apply again before it serves anything.
func (a *assembly) agreement() error {
	for _, class := range a.c.Settings.Classes {
		if class.Aim > 0 {
			a.figures.Time(class.Name, health.Bounds(class.Aim))
		}
	}
	n, err := control.Open(a.c.Fleet, a.loop, fleetNode{a.takeover, a.figures}, a.log)
	if err != nil {
		return err
	}
	a.takeover.agreement = n
	a.add(part{start: func() error { n.Begin(); return nil }, run: func(context.Context) { n.Run() }, leave: n.Leaving, last: n.Close, close: n.Stop})
	return nil
}

// fleetNode is what the fleet's control sees and uses of this node.
type fleetNode struct {
	*takeover
	figures *stats.Figures
}

// Away makes the node report that it is not ready, because the fleet has drained it, or ends that.
func (n fleetNode) Away(on bool) { n.drained(on) }

// Ends returns for each class the number of completed requests by outcome since the start of the process, and the
// distribution of the response times of those that were served.
func (n fleetNode) Ends() map[string]health.Ends {
	ends := map[string]health.Ends{}
	n.figures.Each(func(class string, answered, deferred, errored int64) {
		ends[class] = health.Ends{Served: uint64(answered), Refused: uint64(deferred), Failed: uint64(errored), Took: n.figures.Times(class)}
	})
	return ends
}

// Resident returns the resident memory of this process in bytes, from /proc/self/statm, or 0 if that can't be read.
func (fleetNode) Resident() uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident uint64
	fmt.Sscan(string(raw), &size, &resident)
	return resident * uint64(os.Getpagesize())
}

// addOpsServer serves the operators' address: health checks and statistics.
func (a *assembly) operations() {
	watched := ops.New(a.second, a.handler.Ready, a.figures, a.log)
	a.add(part{run: func(context.Context) {
		if err := watched.Serve(); err != nil {
			a.log.Error("operators' address: serving failed", "err", err)
		}
	}, close: watched.Close})
}

// addHandoverServer lets a successor process take over the sockets and the state of this one.
func (a *assembly) successor() {
	var keeper *handover.Server
	a.add(part{start: func() error {
		var err error
		keeper, err = handover.Listen(a.c.Handover, handover.Offer{Name: a.c.Name, Listener: a.sockets.clients, Peers: a.sockets.peers, State: a.takeover.state,
			Connections: a.front.Held, Changed: a.takeover.changed}, a.log)
		if err != nil {
			a.log.Warn("handover is not available; a successor can only share the port", "err", err)
		}
		return nil
	}, run: func(ctx context.Context) {
		if keeper != nil {
			keeper.Run(ctx)
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
func tryOf(s *front.Seen) *recorder.Try {
	e := &s.Request.Arrived
	t := &recorder.Try{Began: s.Began, Class: e.Class, Tenant: e.Tenant, Order: s.Request.Header.Get("Idempotency-Key"), Size: len(s.Request.Body), Answer: len(s.Answer.Body),
		Repeat: e.Repeat, Outcome: trace.Failed, Took: s.Took, Work: s.Answer.Work, Patience: s.Patience}
	if t.Order == "" {
		t.Order = string(e.ID)
	}
	switch {
	case s.Gone:
		t.Outcome = trace.Gone
	case s.Answer.Status == http.StatusOK:
		t.Outcome = trace.Served
	case s.Answer.Status == http.StatusServiceUnavailable, s.Answer.Status == http.StatusTooManyRequests:
		t.Outcome = trace.Refused
	}
	return t
}

// drainTime returns how long after SIGTERM the node may take to send its last answers: killMargin less than the time
// after which the platform may kill the process.
func (c *Config) drainTime() time.Duration {
	return min(c.Settings.LongestDeadline(), drainLongest) + killAfter - killMargin
}

// reloadOnSignal reads the configuration again at each signal on reload, until ctx ends. An invalid configuration
// changes nothing. Of a valid one, discovery's address and the gateway's certificates, roots and removed sites take
// effect at once, all else at the next start. The address of discovery in use is kept in source.
func follow(ctx context.Context, c *Config, loop *core.Loop, g *gate, source *atomic.Pointer[netip.AddrPort], asked <-chan os.Signal, log *slog.Logger) {
	at := c.Discovery
	source.Store(new(at))
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		next, err := c.reread()
		if err != nil {
			log.Error("keeping the old configuration: the new one is invalid", "err", err)
			continue
		}
		if g != nil && next.Gateway != nil {
			g.reload(next.Gateway)
		}
		if next.Discovery != at {
			at = next.Discovery
			source.Store(new(at))
			log.Info("discovery: address changed; requesting the full list", "to", at)
			loop.Move(registry.New(at, c.Settings, log))
		}
	}
}
