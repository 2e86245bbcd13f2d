package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// Of the descriptors, a few are the process's own; clients' connections get this part of the rest, and
	// backends what remains. Bodies that are being read or held get their part of the memory.
	ownSockets = 24
	clientPart = 0.6
	bodyPart   = 1.0 / 8

	// SIGTERM: connections come for 0.4 s more; the rest is for the accept queue. Clients go on using those that
	// they have, and SIGKILL comes killAfter after the longest deadline, which counts for 3 s at most.
	drainAccept  = 600 * time.Millisecond
	drainLongest = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	killMargin   = 200 * time.Millisecond // kept from that: the last answers have left by then
	lastCall     = 300 * time.Millisecond // before that end no more requests are taken
	drainLook    = 20 * time.Millisecond
)

// Run serves until ctx ends and what has been taken by then is answered. On reload it reads the configuration again.
func Run(ctx context.Context, c *Config, reload <-chan os.Signal, log *slog.Logger) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, c, tcp, reload, log)
}

func serve(ctx context.Context, c *Config, tcp *net.TCPListener, reload <-chan os.Signal, log *slog.Logger) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	room := c.Limits.Sockets - ownSockets
	clients := int(float64(room) * clientPart)
	p, err := listenPeers(c, log)
	if err != nil {
		tcp.Close()
		return err
	}
	b := newBackends(c, room-clients, log)
	l := newLoop(inner, c, b, newDiscovery(c.Discovery, log), p, log)
	if l.lag, err = newLagMeter(); err != nil {
		tcp.Close()
		return fmt.Errorf("pipe: %w", err)
	}
	f := newFrontend(l, int64(bodyPart*float64(c.Limits.MemoryMB<<20)), log)
	door := newAdmission(tcp, clients)
	srv := f.server(door)

	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	running.Go(func() { b.run(inner) })
	running.Go(l.lag.run)
	if p != nil {
		running.Go(func() { p.write(inner) })
		running.Go(func() { p.read(l.heard) })
	}
	served := make(chan error, 1)
	running.Go(func() { served <- srv.Serve(door) })
	running.Go(func() { l.reload(inner, c, reload) })
	log.Info("serving", "name", c.Name, "listen", tcp.Addr(), "sockets", c.Limits.Sockets)

	select {
	case err = <-served:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		f.drain(srv, door)
	}
	stop()
	l.lag.close()
	srv.Close()
	running.Wait()
	return err
}

// drain lets the node go. Clients still come for a moment, and what the kernel has accepted counts as taken: so
// the listener stays open for that long. On the connections that they have they are served for as long as an answer
// can come before the node is killed: the others of its zone may be few, and have its clients soon enough.
func (f *frontend) drain(srv *http.Server, door *admission) {
	longest := time.Duration(0)
	for _, c := range f.classes {
		longest = max(longest, c.Deadline)
	}
	end := time.Now().Add(min(longest, drainLongest) + killAfter - killMargin)
	f.drainEnd.Store(&end) // by then all is answered
	f.log.Info("draining")
	time.Sleep(drainAccept)
	door.TCPListener.Close()
	for time.Until(end) > lastCall && door.held() > 0 {
		time.Sleep(drainLook)
	}
	f.closing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), longest+killAfter)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		f.log.Warn("drained with requests held", "err", err)
	}
	f.log.Info("drained")
}
