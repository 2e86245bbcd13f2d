package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/guard"
	"starlingvalve/internal/rig/soak"
	"starlingvalve/internal/standin"
	registry "starlingvalve/internal/standin/discovery"
)

const (
	soakColdFrom = 0.1
	soakColdTime = 5 * time.Second
	soakDedup    = 8 * time.Second
	soakTail     = 3 * time.Second        // wait after the clients' last request
	pushedReload = 4 * time.Second        // after which the list of a new agent binds the node
	soakConns    = 100                    // most connections of each node's clients
	soakPoll     = 300 * time.Millisecond // between two reads of a process's metrics
)

// soakRun is one run of the soak test.
type soakRun struct {
	workspace *workspace
	service   *registry.Service
	nodes     []*soakNode
	servers   []*soakServer
	profile   soak.Profile
	injected  atomic.Int64
	// killedAtEnd counts the processes that had not ended by the earliest SIGKILL after SIGTERM.
	killedAtEnd atomic.Int64
	keepLogs    string // directory for the logs of all processes; empty: logs are not saved

	mu         sync.Mutex
	clientGone map[string]time.Time // when clients disconnected, by request ID
	stalled    []soak.StalledClient
	large      []standin.Answer // to large requests
	repeated   []soak.RepeatedID
	lumps      []soak.LumpAnswer
	// serverFaults are the times in which each server, or the path to it, failed.
	serverFaults map[string][]soak.Span
	resources    map[string]soak.Resources // by process
	refusals     map[string]int            // attempts that the guard of each process refused
	savedLogs    int                       // number of saved logs
}

// soakServer is one server of the list. Its processes follow one another at different addresses.
type soakServer struct {
	name string
	cell int

	mu            sync.Mutex
	current       *standin.Server
	path          *standin.Path
	previous      []*standin.Server
	previousPaths []*standin.Path
	cold          []soak.ColdStart
	dedup         *standin.Dedup
}

// openSoak starts servers, discovery and nodes, and waits until all nodes can serve.
func openSoak(ctx context.Context, w *workspace, seed uint64) (p *soakRun, err error) {
	p = &soakRun{workspace: w, profile: soak.ProfileOf(seed), clientGone: map[string]time.Time{}, refusals: map[string]int{},
		serverFaults: map[string][]soak.Span{},
		resources:    map[string]soak.Resources{}}
	defer func() {
		if err != nil {
			p.close()
		}
	}()
	var entries []standin.Entry
	for i := range soakServers {
		s := &soakServer{name: fmt.Sprintf("s-%08x", 0x7a3f1000+i*7919), cell: i, dedup: &standin.Dedup{Window: soakDedup}}
		p.servers = append(p.servers, s)
		if err = s.start(0); err != nil {
			return p, err
		}
		entries = append(entries, s.entry("ready"))
	}
	p.service = registry.New(p.profile.DiscoveryCallTime, entries...)
	for i := range p.profile.Nodes {
		if err = p.addNode(i, seed); err != nil {
			return p, err
		}
	}
	return p, p.startAll(ctx)
}

// addNode prepares node i: its addresses, directory and discovery. Every third node gets its list from an agent.
func (p *soakRun) addNode(i int, seed uint64) error {
	n := &soakNode{run: p, index: i, name: soakName("n", i), pushed: i%3 == 2, failing: (uint64(i)+seed)%6 == 0, knownRevision: 1, guard: map[string]int{}}
	p.nodes = append(p.nodes, n)
	var err error
	if n.port, n.listen, err = reservePort(); err != nil {
		return err
	}
	n.folder = filepath.Join(p.workspace.dir, n.name)
	if err = os.MkdirAll(n.folder, 0o700); err != nil {
		return err
	}
	if n.peer, err = peerAddress(); err != nil {
		return err
	}
	c, err := p.listen(n)
	if err != nil {
		return err
	}
	n.discoveries = append(n.discoveries, c)
	return nil
}

// listen opens a discovery server for a node or, if the node's list is pushed, an agent.
func (p *soakRun) listen(n *soakNode) (*registry.Caller, error) {
	if n.pushed {
		return p.service.Agent(n.name)
	}
	return p.service.Listen(n.name)
}

// startAll starts all nodes at once and waits until they can serve.
func (p *soakRun) startAll(ctx context.Context) error {
	errs := make(chan error, len(p.nodes))
	for _, n := range p.nodes {
		go func() { errs <- n.start(ctx, 0, false) }()
	}
	var all error
	for range p.nodes {
		all = errors.Join(all, <-errs)
	}
	return all
}

// close ends all nodes, servers and discovery.
func (p *soakRun) close() {
	for _, n := range p.nodes {
		n.mu.Lock()
		if n.process != nil {
			n.process.kill()
		}
		n.mu.Unlock()
		if n.port > 0 {
			unix.Close(n.port)
		}
	}
	if p.service != nil {
		p.service.Close()
	}
	for _, s := range p.servers {
		s.close()
	}
}

// run sends the clients' load for length, causes the faults of list, and returns the logs. late is the longest delay of
// the rig itself.
func (p *soakRun) run(ctx context.Context, list []soak.Fault, length time.Duration) (e soak.Evidence, late time.Duration, err error) {
	noiseCtx, stop := context.WithCancel(ctx)
	defer stop()
	noise := startNoiseMeter(noiseCtx)
	loadCtx, end := context.WithTimeout(ctx, length)
	defer end()
	var running sync.WaitGroup
	var loads []*standin.Load
	for i, n := range p.nodes {
		l := &standin.Load{Addr: n.listen, Classes: soakClasses(p.profile.Patience), Retries: 1, Prefix: n.name + "-", KeepLog: true, Seed: uint64(i) + 1, Linger: 600 * time.Millisecond,
			CloseCrossing: 100 * time.Millisecond}
		loads = append(loads, l)
		running.Go(func() { l.RunOpen(loadCtx, p.profile.Rate, soakConns) })
	}
	errs := make(chan error, len(list)+1)
	began := time.Now()
	for _, f := range list {
		running.Go(func() {
			if sleepFor(loadCtx, time.Until(began.Add(time.Duration(f.At*float64(time.Second))))); loadCtx.Err() != nil {
				return
			}
			p.injected.Add(1)
			if err := p.inject(ctx, f); err != nil {
				errs <- fmt.Errorf("%v: %w", f, err)
				end()
			}
		})
	}
	running.Wait()
	sleepFor(ctx, soakTail)
	stop()
	late = noise.longest()
	select {
	case err = <-errs:
		return e, late, err
	default:
	}
	return p.evidence(loads), late, ctx.Err()
}

// evidence collects the logs of clients, servers, discovery and nodes.
func (p *soakRun) evidence(loads []*standin.Load) soak.Evidence {
	e := soak.Evidence{Classes: soakClasses(p.profile.Patience), Notified: map[string][]registry.Notification{}, Killed: map[string][]soak.Span{},
		ConnectionPressure: map[string][]soak.Span{}, HandedOver: map[string][]soak.Span{}, GuardViolations: map[string]map[string]int{},
		ProcessEnds: map[string][]time.Time{}, KilledAtEnd: map[string][]soak.Span{}}
	for _, l := range loads {
		e.Answers = append(e.Answers, l.Log()...)
	}
	for _, s := range p.servers {
		e.Executions = append(e.Executions, s.executions()...)
		e.ColdStarts = append(e.ColdStarts, s.cold...)
	}
	for _, n := range p.nodes {
		e.Notified[n.name] = n.notifications()
		n.mu.Lock()
		if f, err := figures(n.ops); err != nil {
			n.ended = append(n.ended, fmt.Sprintf("%s: can't read the metrics: %v", n.name, err))
		} else {
			for _, r := range guard.Rules() {
				n.guard[r.String()] += f["gw.guard."+r.String()+".violated"]
			}
		}
		p.saveLog(n.name, n.process)
		e.Killed[n.name], e.HandedOver[n.name], e.GuardViolations[n.name], e.ConnectionPressure[n.name] = n.killed, n.handovers, n.guard, n.pressureSpans
		e.ProcessEnds[n.name], e.KilledAtEnd[n.name] = n.ends, n.killedAtEnd
		e.StartTimes, e.UnexpectedEnds = append(e.StartTimes, n.ready...), append(e.UnexpectedEnds, n.ended...)
		n.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e.ClientLeft, e.Stalled, e.RepeatedIDs = p.clientGone, p.stalled, p.repeated
	e.Answers = append(e.Answers, p.large...)
	e.LumpAnswers, e.ServerFaults = p.lumps, p.serverFaults
	for _, r := range p.resources {
		e.Resources = append(e.Resources, r)
	}
	return e
}

// watch reads how many attempts a process's guard has refused, every soakPoll until the process has ended.
func (p *soakRun) watch(n *soakNode, c *child, ops string) {
	name := fmt.Sprintf("%s %d", n.name, c.cmd.Process.Pid)
	go func() {
		for {
			select {
			case <-c.ended:
				return
			case <-time.After(soakPoll):
			}
			p.recordResources(n, c, name)
			f, err := figures(ops)
			if err != nil {
				continue
			}
			refused := 0
			for _, r := range guard.Rules() {
				refused += f["gw.guard."+r.String()+".refused"]
			}
			p.mu.Lock()
			p.refusals[name] = refused
			p.mu.Unlock()
		}
	}()
}

// guardRefusals returns how many attempts the guards of all processes refused, as last read.
func (p *soakRun) guardRefusals() (all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.refusals {
		all += n
	}
	return all
}

// saveLog writes the log of a process to the directory for logs, if one is set.
func (p *soakRun) saveLog(name string, c *child) {
	if p.keepLogs == "" {
		return
	}
	p.mu.Lock()
	p.savedLogs++
	path := filepath.Join(p.keepLogs, fmt.Sprintf("%s-%03d.log", name, p.savedLogs))
	p.mu.Unlock()
	os.MkdirAll(p.keepLogs, 0o755)
	os.WriteFile(path, []byte(c.log.String()), 0o644)
}

// start starts a process of the server. It begins at the fraction coldFrom of full speed; 0 means that it starts warm.
func (s *soakServer) start(coldFrom float64) error {
	o := standin.ServerOptions{Name: s.name, Zone: "z", Kind: "std", Cell: s.cell, Cores: 1, MaxRequests: 60, Dedup: s.dedup}
	if coldFrom > 0 {
		o.ColdFrom, o.ColdTime = coldFrom, soakColdTime
	}
	server, err := standin.NewServer(o, soakWork())
	if err != nil {
		return err
	}
	path, err := standin.NewPath(server.Addr)
	if err != nil {
		server.Close()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.previous, s.previousPaths = append(s.previous, s.current), append(s.previousPaths, s.path)
	}
	s.current, s.path = server, path
	if coldFrom > 0 {
		s.cold = append(s.cold, soak.ColdStart{Server: s.name, Started: server.Started, Rate: 1 / soakWork()["read"].Time.Seconds(), InitialShare: coldFrom, RampTime: soakColdTime})
	}
	return nil
}

// entry returns the server's entry for discovery, with the address of the path to it.
func (s *soakServer) entry(state string) standin.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := standin.EntryOf(s.current)
	e.Addr, e.State = s.path.Addr, state
	return e
}

// currentServer returns the server's present process and the path to it.
func (s *soakServer) currentServer() (*standin.Server, *standin.Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.path
}

// executions returns the logs of all processes of the server.
func (s *soakServer) executions() (all []standin.Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(s.previous, s.current) {
		all = append(all, x.Log()...)
	}
	return all
}

// close ends all processes of the server and the paths to them.
func (s *soakServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(s.previous, s.current) {
		if x != nil {
			x.Close()
		}
	}
	for _, x := range append(s.previousPaths, s.path) {
		if x != nil {
			x.Close()
		}
	}
}
