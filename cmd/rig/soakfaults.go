package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"starlingvalve/internal/rig/soak"
	"starlingvalve/internal/standin"
	registry "starlingvalve/internal/standin/discovery"
)

const (
	leaveInterval = 50 * time.Millisecond // between two clients that disconnect before the answer
	leaveWithin   = 60 * time.Millisecond // longest time from the request to the disconnection
	stallClients  = 4                     // clients that stall at once
	stallWait     = 6 * time.Second       // within which a node has to close a stalled connection
	maxPause      = 120 * time.Millisecond
	relistDelay   = 700 * time.Millisecond // from the restart of a crashed server until discovery lists it
	drainTime     = 700 * time.Millisecond // from draining to gone when a server is replaced
)

// inject causes a fault and waits until it is over.
func (p *soakRun) inject(ctx context.Context, f soak.Fault) error {
	length := time.Duration(f.Length * float64(time.Second))
	n, s := p.nodes[f.Node], p.servers[f.Server]
	if f.ChangesProcess() {
		n.changing.Lock()
		defer n.changing.Unlock()
	}
	if f.FailsServer() {
		defer p.markServerFault(s.name)()
	}
	switch f.Kind {
	case soak.Restart:
		return n.restart(ctx, 0)
	case soak.ClockStep:
		return n.restart(ctx, clockStep(f))
	case soak.Kill:
		n.kill()
		sleepFor(ctx, length)
		defer n.markBack()
		return n.start(ctx, 0, false)
	case soak.Handover:
		return n.handover(ctx)
	case soak.Pause:
		return n.pause(ctx, min(length, maxPause))
	case soak.Reload:
		return n.reload()
	case soak.HupTwice:
		return errors.Join(n.reload(), n.reload())
	case soak.HupTerm:
		if err := n.reload(); err != nil {
			return err
		}
		sleepFor(ctx, seriesGap)
		return n.restart(ctx, 0)
	case soak.TermTwice:
		return n.restartWithSecondTerm(ctx)
	case soak.TermAtStart:
		return n.restartWithTermAtStart(ctx, length/10)
	case soak.TermHandover:
		return n.handoverWithTerm(ctx)
	case soak.IdleClients:
		p.applyConnectionPressure(ctx, n, length)
	case soak.Leave:
		p.leave(ctx, n, length)
	case soak.Stall:
		p.stall(n)
	case soak.SlowClients:
		p.occupy(ctx, n, length)
	case soak.LargeRequests:
		p.sendLarge(ctx, n, length)
	case soak.LumpAnswers:
		p.requestLumps(ctx, n, length)
	case soak.RepeatedIDs:
		p.repeatIDs(ctx, n, length)
	case soak.ReadsSlowly:
		_, path := s.currentServer()
		path.SetSlow(true)
		sleepFor(ctx, length)
		path.SetSlow(false)
	case soak.Drain:
		p.service.Set(s.entry("draining"))
		sleepFor(ctx, length)
		p.service.Set(s.entry("ready"))
	case soak.Replace:
		return p.replace(ctx, s, length)
	case soak.Vanish:
		return p.vanish(ctx, s, length)
	case soak.Hang:
		server, _ := s.currentServer()
		server.SetUnresponsive(true)
		sleepFor(ctx, length)
		server.SetUnresponsive(false)
	case soak.Partitioned, soak.Resets, soak.Late:
		_, path := s.currentServer()
		path.SetFault(map[soak.Kind]standin.PathFault{soak.Partitioned: standin.PathSilent, soak.Resets: standin.PathResets, soak.Late: standin.PathConnectsStall}[f.Kind])
		sleepFor(ctx, length)
		path.SetFault(standin.PathHealthy)
	default:
		p.service.SetFault(listFault(f.Kind))
		sleepFor(ctx, length)
		p.service.SetFault(registry.Fault{})
	}
	return nil
}

// lateAnswerDelay is how long a late answer takes to begin, and again to end.
const lateAnswerDelay = 1800 * time.Millisecond

// listFault returns the fault of discovery that a kind stands for.
func listFault(k soak.Kind) registry.Fault {
	switch k {
	case soak.ListDown:
		return registry.Fault{Down: true}
	case soak.ListHangs:
		return registry.Fault{Down: true, Hang: true}
	case soak.ListSlow:
		return registry.Fault{CallTimeFactor: 4}
	case soak.ListOverloaded:
		return registry.Fault{Overloaded: true}
	case soak.ListStalled:
		return registry.Fault{Silent: true}
	case soak.ListInPieces:
		return registry.Fault{Fragmented: true}
	case soak.ListCut:
		return registry.Fault{Cut: true}
	case soak.ListLate:
		return registry.Fault{AnswerDelay: lateAnswerDelay, BodyPause: lateAnswerDelay}
	}
	return registry.Fault{Stale: true}
}

// clockStep derives a step of the wall clock from a fault: an hour or a few seconds, forward or backward.
func clockStep(f soak.Fault) time.Duration {
	step := time.Hour
	if f.Server%2 == 0 {
		step = time.Duration(f.Length*2*float64(time.Second)) + time.Second
	}
	if f.Node%2 == 0 {
		step = -step
	}
	return step
}

// pause stops the process by SIGSTOP for length.
func (n *soakNode) pause(ctx context.Context, length time.Duration) error {
	n.mu.Lock()
	process := n.process.cmd.Process
	n.mu.Unlock()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleepFor(ctx, length)
	return process.Signal(syscall.SIGCONT)
}

// replace drains and removes a server, and lists it again as a new process that starts cold.
func (p *soakRun) replace(ctx context.Context, s *soakServer, length time.Duration) error {
	p.service.Set(s.entry("draining"))
	sleepFor(ctx, drainTime)
	p.service.Set(s.entry("gone"))
	sleepFor(ctx, length)
	if err := s.start(soakColdFrom); err != nil {
		return err
	}
	p.service.Set(s.entry("ready"))
	return nil
}

// vanish ends a server's process while discovery still lists it. A new process starts after length, and discovery lists
// it relistDelay later.
func (p *soakRun) vanish(ctx context.Context, s *soakServer, length time.Duration) error {
	server, path := s.currentServer()
	server.Close()
	path.Close()
	sleepFor(ctx, length)
	if err := s.start(soakColdFrom); err != nil {
		return err
	}
	sleepFor(ctx, relistDelay)
	p.service.Set(s.entry("ready"))
	return nil
}

// leave has clients send requests and disconnect before the answer, in turn by a FIN and by a reset, for length.
func (p *soakRun) leave(ctx context.Context, n *soakNode, length time.Duration) {
	began := time.Now()
	for i := 0; time.Since(began) < length && ctx.Err() == nil; i++ {
		go p.leaveOne(n.listen, fmt.Sprintf("%s-leave-%d-%d", n.name, began.UnixNano(), i), i%2 == 0)
		sleepFor(ctx, leaveInterval)
	}
}

// leaveOne sends a request and disconnects after a random time, by a reset if reset is true.
func (p *soakRun) leaveOne(addr, id string, reset bool) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	fmt.Fprintf(c, "GET /read?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n\r\n", id, id, p.profile.Patience.Seconds())
	time.Sleep(rand.N(leaveWithin))
	if reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	at := time.Now()
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientGone[id] = at
}

// stall has clients stop in the middle of a request and keep the connection open.
func (p *soakRun) stall(n *soakNode) {
	ended := make(chan bool, stallClients)
	for i := range stallClients {
		go func() {
			defer func() { ended <- true }()
			p.stallOne(n, i%2 == 0)
		}()
	}
	for range stallClients {
		<-ended
	}
}

// stallOne sends a part of a request, to the middle of its body or of its head, and records when the node closes the
// connection.
func (p *soakRun) stallOne(n *soakNode, inBody bool) {
	c, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	text := "POST /order HTTP/1.1\r\nHost: api.internal\r\nX-Corr"
	if inBody {
		text = fmt.Sprintf("POST /order HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s-stall-%d\r\nX-Time-Left: 1.5\r\nContent-Length: 100\r\n\r\nhalf", n.name, time.Now().UnixNano())
	}
	from := time.Now()
	io.WriteString(c, text)
	c.SetReadDeadline(from.Add(stallWait))
	_, err = c.Read(make([]byte, 1))
	timeout, isNet := err.(net.Error)
	over := !(isNet && timeout.Timeout())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = append(p.stalled, soak.StalledClient{Node: n.name, From: from, Duration: time.Since(from), Ended: over})
}
