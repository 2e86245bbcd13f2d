package control

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/configuration/watch"
	"starlingvalve/internal/core"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
	"starlingvalve/internal/link"
	"starlingvalve/internal/wholefile"
)

// Loop is the part of the node's event loop that this package uses. The results ok are false once the loop has ended.
type Loop interface {
	SetCordon(core.Cordon)
	OpenAttemptsAt(core.Cordon) (attempts int, ok bool)
	OpenRequests() (requests int, ok bool)
	EjectedServers() []string
	CanServe() bool
	ServerList() core.List
}

// Node is the part of the rest of the node that this package uses.
type Node interface {
	// SetDrained drains the node, or ends that. A drained node reports that it is not ready and has its clients disconnect.
	Away(on bool)
	// ClassCounts returns the counts of completed requests, by class.
	Ends() map[string]health.Ends
	// ResidentBytes returns the resident memory of the process in bytes.
	Resident() uint64
}

const (
	aliveParts = 3 // keep-alives within a session's timeout
	callWait   = 1500 * time.Millisecond // for one voter's answer
	againAfter = 100 * time.Millisecond  // before a failed call is repeated
	leftEvery  = 20 * time.Millisecond   // while something is open at a drained target
	openAgain  = 200 * time.Millisecond // before a node that could not open its UDP port tries again
	openTold   = 30 * time.Second       // between log lines about that
	takeOver   = 100 * time.Millisecond // while the predecessor process has the lock
	firstWord  = 3 * time.Second        // a node without stored orders reports not ready for this long at most
	farewell   = 200 * time.Millisecond // for each of a node's final calls at its end
	heldFile   = "held.json"
	lockFile   = "lock"

	mostSuspects = 500 // in one keep-alive
)

// Control is a node's part in what its fleet agrees on.
type Control struct {
	c       *Config
	loop    Loop
	log     *slog.Logger
	node    Node
	process string // random ID of this process; a new one after its session was refused
	ctx     context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
	calls   *link.Calls
	voter   *voter // nil: this node is no voter

	configuration *watch.Client // nil for a client without a session (NewClient)

	mu        sync.Mutex
	leader    int       // index of the voter that is called first
	epoch     uint64    // of the session; 0: none
	until     time.Time // end of the session, counted from when the last successful keep-alive was sent
	held      held
	follows   chan struct{} // closed when new orders are in force
	moved     chan struct{} // closed when leader changes
	succeeded bool
	noVote    error // why this node's voter could not be opened; nil: it was, or the node is no voter
	silent    bool  // a successor process runs beside this one
}

// Open reads the node's orders and its configuration from its folder. ApplySavedOrders and Run follow.
func Open(c *Config, loop Loop, node Node, log *slog.Logger) (*Control, error) {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("%s: node.folder: %w", c.Path, err)
	}
	n := &Control{c: c, loop: loop, node: node, log: log, process: rand.Text(), follows: make(chan struct{}), moved: make(chan struct{})}
	var err error
	if n.held, err = n.kept(); err != nil {
		log.Warn("fleet: can't read the orders that this node followed before", "err", err)
	}
	if n.configuration, err = n.newWatch(); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n, nil
}

// NewClient returns a Control that only calls the voters: it keeps no session and needs no Run. A supervisor uses it.
// CloseClient ends it.
func NewClient(c *Config, log *slog.Logger) (*Control, error) {
	n := &Control{c: c, log: log, follows: make(chan struct{}), moved: make(chan struct{})}
	n.ctx, n.stop = context.WithCancel(context.Background())
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	if err == nil {
		n.calls, err = link.NewCalls(udp, link.CallsOptions{Keeper: c.Keeper, Log: log})
	}
	return n, err
}

// CloseClient ends a client.
func (n *Control) CloseClient() {
	n.stop()
	n.calls.Close()
}

// ApplySavedOrders applies the orders from the node's file, before the node serves. A node without a file, as at its
// first start, reports that it is not ready until it has received orders, for firstOrdersTimeout at most. After that it
// serves without orders, so that it also starts when the other nodes are unreachable.
func (n *Control) Begin() {
	n.hold(n.followed())
	if n.followed().Log != "" {
		return
	}
	n.node.Away(true)
	n.work.Go(func() {
		n.mu.Lock()
		news := n.follows
		n.mu.Unlock()
		select {
		case <-n.ctx.Done():
		case <-news: // the orders say whether the node is drained
		case <-time.After(firstWord):
			if n.followed().Log == "" {
				n.log.Warn("fleet: no orders received from the voters; this node serves without them")
				n.node.Away(false)
			}
		}
	})
}

// Run takes part in the fleet until Close or Stop. It first waits for the end of a predecessor process, as only one
// process at a time may act for the node.
func (n *Control) Run() {
	lock, err := n.lock()
	if n.ctx.Err() != nil && lock == nil {
		return // closed before the lock was free
	}
	if err != nil {
		n.log.Error("fleet: can't lock the node's folder; this node takes no part in the fleet's control", "err", err)
		return
	}
	defer lock.Close()
	var told time.Time
	for ; ; n.pause(openAgain) { // another process may still use the port
		err := n.open()
		if err == nil {
			break
		}
		if n.ctx.Err() != nil {
			return
		}
		if time.Since(told) >= openTold {
			told = time.Now()
			n.log.Error("fleet: this node takes no part in the fleet's control yet; it serves without it and tries again", "err", err)
		}
	}
	n.work.Go(n.session)
	n.work.Go(n.follow)
	n.work.Go(n.acknowledge)
	n.work.Go(n.door)
	n.work.Go(func() { n.configuration.Run(n.ctx) })
	if n.voter != nil {
		n.work.Go(func() { n.voter.run(n.ctx) })
	}
	n.work.Wait()
	n.calls.Close()
}

// acquireLock waits for the lock of the node's folder, which a predecessor process holds until its end. Meanwhile it
// applies the orders that the predecessor writes to the file.
func (n *Control) lock() (*os.File, error) {
	told := false
	return wholefile.Lock(n.ctx, filepath.Join(n.c.Folder, lockFile), takeOver, func() {
		// This process serves beside the predecessor, so both have to follow the same orders.
		if h, err := n.kept(); err == nil && h.Version > n.followed().Version {
			n.hold(h)
			n.mu.Lock()
			n.held = h
			n.mu.Unlock()
		}
		if !told {
			told = true
			n.log.Info("fleet: another process has the lock of this node's folder; waiting for its end", "folder", n.c.Folder)
		}
	})
}

// openCalls opens the node's UDP port, and the voter's log where the node is one. A voter whose log can't be used
// leaves the node without a vote.
func (n *Control) open() error {
	o := link.CallsOptions{Keeper: n.c.Keeper, Log: n.log}
	at := &net.UDPAddr{IP: net.IPv4zero}
	if n.c.Votes() {
		at = net.UDPAddrFromAddrPort(n.c.Listen)
	}
	udp, err := net.ListenUDP("udp4", at)
	if err != nil {
		return fmt.Errorf("%s: node.listen: %w", n.c.Path, err)
	}
	var v *voter
	var noVote error
	if n.c.Votes() {
		if v, noVote = newVoter(n.c, n.servers, n.log); noVote == nil {
			o.Handle, o.Posted = v.handle, v.posted
		} else {
			n.log.Error("fleet: can't use this voter's log; the node takes part without a vote", "err", noVote)
		}
	}
	// Calls may arrive before v.calls is set below. That is safe: v makes no calls of its own until its run.
	calls, err := link.NewCalls(udp, o)
	if err != nil {
		if v != nil {
			v.disk.Close()
		}
		return fmt.Errorf("%s: node.listen: %w", n.c.Path, err)
	}
	if v != nil {
		v.calls = calls
		for _, o := range n.c.Voters {
			if o.Name != n.c.Name {
				calls.Keep(n.c.full(o.Name), o.Address)
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.voter, n.calls, n.noVote = v, calls, noVote
	return nil
}

// AnnounceLeaving reports to the leader that this node is about to end, so that it counts as out from now on. A failure
// is ignored: the node ends in any case.
func (n *Control) Leaving() {
	n.last(func(epoch uint64) *fleetpb.Entry {
		return &fleetpb.Entry{What: &fleetpb.Entry_Leaving{Leaving: &fleetpb.Leaving{Node: n.c.Name, Epoch: epoch}}}
	})
}

// Close ends the session, so that no drain has to wait for its timeout, and then all that Run has started. It is called
// once this node has nothing open at any server. A voter that leads transfers the leadership first.
func (n *Control) Close() {
	n.last(func(epoch uint64) *fleetpb.Entry {
		return &fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: n.c.Name, Epoch: epoch}}}
	})
	n.mu.Lock()
	v := n.voter
	n.mu.Unlock()
	if v != nil && n.ctx.Err() == nil {
		v.leave(farewell)
	}
	n.stop()
}

// Stop ends all that Run has started, without any call to the voters.
func (n *Control) Stop() { n.stop() }

// sendFinal proposes a final entry of the session, if there is a session.
func (n *Control) last(word func(epoch uint64) *fleetpb.Entry) {
	n.mu.Lock()
	epoch := n.epoch
	n.mu.Unlock()
	if epoch == 0 || n.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, farewell)
	defer cancel()
	n.Ask(ctx, word(epoch))
}

// registryServers returns the servers by this node's registry, or nil if it has not received a full list yet. An entry
// without a name is left out.
func (n *Control) servers() (list []*fleetpb.Server) {
	l := n.loop.ServerList()
	if !l.Full {
		return nil
	}
	list = []*fleetpb.Server{}
	for _, e := range l.Entries {
		state := fleet.Ready
		if e.State == decide.Draining {
			state = fleet.Draining
		}
		if e.Name != "" {
			list = append(list, &fleetpb.Server{Id: e.Name, Zone: e.Zone, Kind: e.Kind, Cell: int32(e.Cell), Weight: e.Size, State: state})
		}
	}
	return list
}
