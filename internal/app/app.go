package app

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	"starlingvalve/internal/front"
	"starlingvalve/internal/front/http1"
	"starlingvalve/internal/handover"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/ops"
	"starlingvalve/internal/peer"
	"starlingvalve/internal/recorder"
	"starlingvalve/internal/stats"
	"starlingvalve/internal/trace"
	upstream "starlingvalve/internal/upstream/http1"
)

const (
	// Of the descriptors, a few are the process's own; clients' connections get this part of the rest, and
	// backends what remains. Bodies that are being read or held get their part of the memory.
	ownSockets = 24
	clientPart = 0.5
	bodyPart   = 1.0 / 8

	// SIGKILL comes killAfter after SIGTERM and the longest deadline, which counts for drainLongest at most.
	drainLongest = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	killMargin   = 200 * time.Millisecond // kept from that: the last answers have left by then
)

// Run serves until ctx ends and what has been taken by then is answered. On reload it reads the configuration again.
func Run(ctx context.Context, c *Config, reload <-chan os.Signal, log *slog.Logger) error {
	s, err := openSockets(c, log)
	if err != nil {
		return err
	}
	return serve(ctx, c, s, reload, log)
}

func serve(ctx context.Context, c *Config, s *sockets, reload <-chan os.Signal, log *slog.Logger) error {
	tcp := s.clients
	var learned *decide.Snapshot
	if s.from != nil {
		defer s.from.Close()
		if k, err := takeState(s.from.State); err != nil {
			log.Warn("what the predecessor knew is not taken", "err", err)
		} else {
			c.Known, learned = k.List, k.Learned
		}
	}
	var second *net.TCPListener
	if c.Ops.IsValid() {
		var err error
		if second, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Ops)); err != nil {
			tcp.Close()
			return fmt.Errorf("ops: %w", err)
		}
		defer second.Close()
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	room := c.Limits.Sockets - ownSockets
	if second != nil {
		room -= ops.Connections + 1
	}
	clients := int(float64(room) * clientPart)
	var p *peer.Peers
	var messenger core.Messenger
	if s.peers != nil {
		p = peer.New(s.peers, c.Peers, c.PeersAll, c.Settings.Self, log)
		messenger = p
	}
	transport := upstream.New(c.Settings, c.Limits.MemoryMB, room-clients, log)
	var g *gate
	if c.Gateway != nil {
		var err error
		if g, err = openGate(c, log); err != nil {
			tcp.Close()
			return err
		}
		defer g.close()
	}
	settings := c.Settings
	settings.TellShort = g != nil
	figures := stats.New(classNames(settings))
	loop, err := core.New(inner, core.Options{Remote: g.remote(), Settings: settings, Seed: c.Seed, Transport: transport, Members: registry.New(c.Discovery, settings.Nodes, log),
		Messenger: messenger, Figures: figures, Learned: learned, Log: log})
	if err != nil {
		tcp.Close()
		return err
	}
	handler := front.NewHandler(loop, c.Settings, int64(bodyPart*float64(c.Limits.MemoryMB<<20)), log)
	handler.Figures = figures
	if c.Record != nil {
		keeper := recorder.New(c.Record, log)
		handler.Seen = func(s *front.Seen) { keeper.Take(tryOf(s)) }
		recording, stopRecording := context.WithCancel(context.Background())
		var writing sync.WaitGroup
		writing.Go(func() { keeper.Run(recording) })
		defer writing.Wait() // once all that was taken has been answered, and seen
		defer stopRecording()
	}
	clientFront := http1.New(tcp, clients, handler, log)
	t := &takeover{front: clientFront, handler: handler, transport: transport, peers: p, loop: loop, clients: clients, servers: room - clients,
		memoryMB: c.Limits.MemoryMB, setMemory: c.setMemory, log: log, before: s.from != nil, serves: s.from == nil}
	var agreement *control.Control
	if c.Fleet != nil {
		if agreement, err = control.Open(c.Fleet, loop, t.drained, log); err != nil {
			tcp.Close()
			return err
		}
		t.agreement = agreement
	}
	t.set(func() {})

	var running sync.WaitGroup
	running.Go(func() { loop.Run(c.Known) })
	running.Go(func() { transport.Run(inner) })
	if agreement != nil {
		agreement.Begin()
		running.Go(agreement.Run)
	}
	if p != nil {
		running.Go(func() { p.Write(inner) })
		running.Go(func() { p.Read(loop.Heard) })
	}
	var watched *ops.Server
	if second != nil {
		watched = ops.New(second, handler.Ready, figures, log)
		running.Go(func() {
			if err := watched.Serve(); err != nil {
				log.Error("second address", "err", err)
			}
		})
	}
	served := make(chan error, 1)
	running.Go(func() { served <- clientFront.Serve() })
	if g != nil {
		if err := g.take(c, loop); err != nil {
			stop()
			tcp.Close()
			if agreement != nil {
				agreement.Close()
			}
			if watched != nil {
				watched.Close()
			}
			running.Wait()
			return err
		}
		running.Go(func() { g.server.Serve() })
	}
	running.Go(func() { follow(inner, c, loop, g, reload, log) })
	if s.from != nil {
		running.Go(func() { t.follow(inner, s.from) })
	}
	if c.Handover != "" {
		keeper, err := handover.Keep(c.Handover, handover.Offer{Name: c.Name, Listener: tcp, Peers: s.peers, State: t.state,
			Held: clientFront.Held, Changed: t.changed}, log)
		if err != nil {
			log.Warn("no successor can take over from this process; it may still listen beside it", "err", err)
		} else {
			running.Go(func() { keeper.Run(inner) })
		}
	}
	about := []any{"name", c.Name, "listen", tcp.Addr(), "sockets", c.Limits.Sockets}
	if second != nil {
		about = append(about, "ops", second.Addr())
	}
	log.Info("serving", about...)

	select {
	case err = <-served:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		log.Info("draining")
		if agreement != nil {
			running.Go(agreement.Leaving)
		}
		end := time.Now().Add(c.drainTime())
		var draining sync.WaitGroup
		if g != nil {
			draining.Go(func() { g.drain(end) })
		}
		clientFront.Drain(end)
		draining.Wait() // a node without clients may still serve another site's
		log.Info("drained")
	}
	if agreement != nil {
		agreement.Close()
	}
	stop()
	clientFront.Close()
	if watched != nil {
		watched.Close()
	}
	if g != nil {
		g.server.Close()
	}
	running.Wait()
	return err
}

func classNames(s decide.Settings) (names []string) {
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// tryOf is a request as the recorder takes it.
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

// drainTime is how long after SIGTERM the last answers have left: before the node may be killed.
func (c *Config) drainTime() time.Duration {
	return min(c.Settings.LongestDeadline(), drainLongest) + killAfter - killMargin
}

// follow reads the configuration again whenever it is told to, until ctx ends. A bad one changes nothing; of a good
// one discovery's address takes effect, what else is new in it at the next start.
func follow(ctx context.Context, c *Config, loop *core.Loop, g *gate, asked <-chan os.Signal, log *slog.Logger) {
	at := c.Discovery
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		next, err := c.reread()
		if err != nil {
			log.Error("configuration not taken", "err", err)
			continue
		}
		if g != nil && next.Gateway != nil {
			g.reload(next.Gateway)
		}
		if next.Discovery != at {
			at = next.Discovery
			log.Info("discovery moves", "to", at)
			loop.Move(registry.New(at, c.Settings.Nodes, log))
		}
	}
}
