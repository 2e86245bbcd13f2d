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
	Ready() bool
	ServerList() core.List
}

// Node is the part of the rest of the node that this package uses.
type Node interface {
	// SetDrained drains the node, or ends that. A drained node reports that it is not ready and has its clients
	// disconnect.
	SetDrained(on bool)
	// ClassCounts returns the counts of completed requests, by class.
	ClassCounts() map[string]health.ClassCounts
	// ResidentBytes returns the resident memory of the process in bytes.
	ResidentBytes() uint64
}

const (
	keepAlivesPerTimeout = 3                       // keep-alives within a session's timeout
	callTimeout          = 1500 * time.Millisecond // for one voter's answer
	retryPause           = 100 * time.Millisecond  // before a failed call is repeated
	drainPollInterval    = 20 * time.Millisecond   // while something is open at a drained target
	reopenPause          = 200 * time.Millisecond  // before a node that could not open its UDP port tries again
	reopenLogInterval    = 30 * time.Second        // between log lines about that
	lockPollInterval     = 100 * time.Millisecond  // while the predecessor process has the lock
	firstOrdersTimeout   = 3 * time.Second         // a node without stored orders reports not ready for this long at most
	finalCallTimeout     = 200 * time.Millisecond  // for each of a node's final calls at its end
	ordersFile           = "held.json"
	lockFile             = "lock"

	maxDeadServers = 500 // in one keep-alive
)

// Control is a node's part in what its fleet agrees on.
type Control struct {
	config  *Config
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

	mu            sync.Mutex
	leader        int       // index of the voter that is called first
	epoch         uint64    // of the session; 0: none
	validUntil    time.Time // end of the session, counted from when the last successful keep-alive was sent
	orders        followedOrders
	ordersChanged chan struct{} // closed when new orders are in force
	leaderChanged chan struct{} // closed when leader changes
	succeeded     bool
	voteErr       error // why this node's voter could not be opened; nil: it was, or the node is no voter
	replaced      bool  // a successor process runs beside this one
}

// Open reads the node's orders and its configuration from its folder. ApplySavedOrders and Run follow.
func Open(c *Config, loop Loop, node Node, log *slog.Logger) (*Control, error) {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("%s: node.folder: %w", c.Path, err)
	}
	n := &Control{config: c, loop: loop, node: node, log: log, process: rand.Text(),
		ordersChanged: make(chan struct{}), leaderChanged: make(chan struct{})}
	var err error
	if n.orders, err = n.loadOrders(); err != nil {
		log.Warn("fleet: can't read the orders that this node followed before", "err", err)
	}
	if n.configuration, err = n.newWatchClient(); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n, nil
}

// NewClient returns a Control that only calls the voters: it keeps no session and needs no Run. A supervisor uses it.
// CloseClient ends it.
func NewClient(c *Config, log *slog.Logger) (*Control, error) {
	n := &Control{config: c, log: log, ordersChanged: make(chan struct{}), leaderChanged: make(chan struct{})}
	n.ctx, n.stop = context.WithCancel(context.Background())
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	if err == nil {
		n.calls, err = link.NewCalls(udp, link.CallsOptions{Identities: c.Identities, Log: log})
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
func (n *Control) ApplySavedOrders() {
	n.applyOrders(n.currentOrders())
	if n.currentOrders().Log != "" {
		return
	}
	n.node.SetDrained(true)
	n.work.Go(func() {
		n.mu.Lock()
		ordersChanged := n.ordersChanged
		n.mu.Unlock()
		select {
		case <-n.ctx.Done():
		case <-ordersChanged: // the orders say whether the node is drained
		case <-time.After(firstOrdersTimeout):
			if n.currentOrders().Log == "" {
				n.log.Warn("fleet: no orders received from the voters; this node serves without them")
				n.node.SetDrained(false)
			}
		}
	})
}

// Run takes part in the fleet until Close or Stop. It first waits for the end of a predecessor process, as only one
// process at a time may act for the node.
func (n *Control) Run() {
	lock, err := n.acquireLock()
	if n.ctx.Err() != nil && lock == nil {
		return // closed before the lock was free
	}
	if err != nil {
		n.log.Error("fleet: can't lock the node's folder; this node takes no part in the fleet's control", "err", err)
		return
	}
	defer lock.Close()
	var loggedAt time.Time
	for ; ; n.sleep(reopenPause) { // another process may still use the port
		err := n.openCalls()
		if err == nil {
			break
		}
		if n.ctx.Err() != nil {
			return
		}
		if time.Since(loggedAt) >= reopenLogInterval {
			loggedAt = time.Now()
			n.log.Error("fleet: this node takes no part in the fleet's control yet; it serves without it and tries again",
				"err", err)
		}
	}
	n.work.Go(n.keepSession)
	n.work.Go(n.followOrders)
	n.work.Go(n.sendAcks)
	n.work.Go(n.serveAPI)
	n.work.Go(func() { n.configuration.Run(n.ctx) })
	if n.voter != nil {
		n.work.Go(func() { n.voter.run(n.ctx) })
	}
	n.work.Wait()
	n.calls.Close()
}

// acquireLock waits for the lock of the node's folder, which a predecessor process holds until its end. Meanwhile it
// applies the orders that the predecessor writes to the file.
func (n *Control) acquireLock() (*os.File, error) {
	logged := false
	return wholefile.Lock(n.ctx, filepath.Join(n.config.Folder, lockFile), lockPollInterval, func() {
		// This process serves beside the predecessor, so both have to follow the same orders.
		if saved, err := n.loadOrders(); err == nil && saved.Version > n.currentOrders().Version {
			n.applyOrders(saved)
			n.mu.Lock()
			n.orders = saved
			n.mu.Unlock()
		}
		if !logged {
			logged = true
			n.log.Info("fleet: another process has the lock of this node's folder; waiting for its end",
				"folder", n.config.Folder)
		}
	})
}

// openCalls opens the node's UDP port, and the voter's log where the node is one. A voter whose log can't be used
// leaves the node without a vote.
func (n *Control) openCalls() error {
	o := link.CallsOptions{Identities: n.config.Identities, Log: n.log}
	address := &net.UDPAddr{IP: net.IPv4zero}
	if n.config.IsVoter() {
		address = net.UDPAddrFromAddrPort(n.config.Listen)
	}
	udp, err := net.ListenUDP("udp4", address)
	if err != nil {
		return fmt.Errorf("%s: node.listen: %w", n.config.Path, err)
	}
	var v *voter
	var voteErr error
	if n.config.IsVoter() {
		if v, voteErr = newVoter(n.config, n.registryServers, n.log); voteErr == nil {
			o.Handle, o.OnPost = v.handleCall, v.handlePost
		} else {
			n.log.Error("fleet: can't use this voter's log; the node takes part without a vote", "err", voteErr)
		}
	}
	// Calls may arrive before v.calls is set below. That is safe: v makes no calls of its own until its run.
	calls, err := link.NewCalls(udp, o)
	if err != nil {
		if v != nil {
			v.disk.Close()
		}
		return fmt.Errorf("%s: node.listen: %w", n.config.Path, err)
	}
	if v != nil {
		v.calls = calls
		for _, o := range n.config.Voters {
			if o.Name != n.config.Name {
				calls.StartSender(n.config.fullName(o.Name), o.Address)
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.voter, n.calls, n.voteErr = v, calls, voteErr
	return nil
}

// AnnounceLeaving reports to the leader that this node is about to end, so that it counts as out from now on. A failure
// is ignored: the node ends in any case.
func (n *Control) AnnounceLeaving() {
	n.sendFinal(func(epoch uint64) *fleetpb.Entry {
		return &fleetpb.Entry{What: &fleetpb.Entry_Leaving{Leaving: &fleetpb.Leaving{Node: n.config.Name, Epoch: epoch}}}
	})
}

// Close ends the session, so that no drain has to wait for its timeout, and then all that Run has started. It is called
// once this node has nothing open at any server. A voter that leads transfers the leadership first.
func (n *Control) Close() {
	n.sendFinal(func(epoch uint64) *fleetpb.Entry {
		return &fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: n.config.Name, Epoch: epoch}}}
	})
	n.mu.Lock()
	v := n.voter
	n.mu.Unlock()
	if v != nil && n.ctx.Err() == nil {
		v.transferLeadership(finalCallTimeout)
	}
	n.stop()
}

// Stop ends all that Run has started, without any call to the voters.
func (n *Control) Stop() { n.stop() }

// sendFinal proposes a final entry of the session, if there is a session.
func (n *Control) sendFinal(newEntry func(epoch uint64) *fleetpb.Entry) {
	n.mu.Lock()
	epoch := n.epoch
	n.mu.Unlock()
	if epoch == 0 || n.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, finalCallTimeout)
	defer cancel()
	n.Propose(ctx, newEntry(epoch))
}

// registryServers returns the servers by this node's registry, or nil if it has not received a full list yet. An entry
// without a name is left out.
func (n *Control) registryServers() (list []*fleetpb.Server) {
	registryList := n.loop.ServerList()
	if !registryList.Full {
		return nil
	}
	list = []*fleetpb.Server{}
	for _, e := range registryList.Entries {
		state := fleet.Ready
		if e.State == decide.Draining {
			state = fleet.Draining
		}
		if e.Name != "" {
			list = append(list, &fleetpb.Server{Id: e.Name, Zone: e.Zone, Kind: e.Kind,
				Cell: int32(e.Cell), Weight: e.Size, State: state})
		}
	}
	return list
}
