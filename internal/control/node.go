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

// Loop is what the node's loop is to this package. The counts' ok is false once it has ended.
type Loop interface {
	SetCordon(core.Cordon)
	OpenAttemptsAt(core.Cordon) (attempts int, ok bool)
	OpenRequests() (requests int, ok bool)
	EjectedServers() []string
	CanServe() bool
	ServerList() core.List
}

// Node is the rest of the node to this package.
type Node interface {
	// Away has the node say that it is not ready, and its clients go, or ends that: it is drained.
	Away(on bool)
	// Ends gives the requests that are over, by class.
	Ends() map[string]health.Ends
	// Resident is the memory that the process holds, in bytes.
	Resident() uint64
}

const (
	aliveParts = 3 // keep-alives in a session's life
	callWait   = 1500 * time.Millisecond
	againAfter = 100 * time.Millisecond
	leftEvery  = 20 * time.Millisecond
	openAgain  = 200 * time.Millisecond // before a node that can't take part tries to again
	openTold   = 30 * time.Second
	takeOver   = 100 * time.Millisecond // between two looks at the process before this one
	firstWord  = 3 * time.Second
	farewell   = 200 * time.Millisecond // for each of the last words of a node that ends
	heldFile   = "held.json"
	lockFile   = "lock"

	mostSuspects = 500 // told of in one word
)

// Control is a node's part in the agreement.
type Control struct {
	c       *Config
	loop    Loop
	log     *slog.Logger
	node    Node
	process string // of this run
	ctx     context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
	calls   *link.Calls
	voter   *voter // nil: it is none

	configuration *watch.Client // nil: a side that keeps no session

	mu        sync.Mutex
	leader    int       // index of the voter that is asked first
	epoch     uint64    // of the session; 0: none
	until     time.Time // the session holds, counted from before it was asked for
	held      held
	follows   chan struct{} // closed at the next order
	moved     chan struct{} // closed when another voter is asked first
	succeeded bool
	noVote    error // why this voter has no vote; nil: it has one, or is none
	silent    bool  // a process that replaces this one serves beside it
}

// Open reads what the node followed at its last end.
func Open(c *Config, loop Loop, node Node, log *slog.Logger) (*Control, error) {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("%s: node.folder: %w", c.Path, err)
	}
	n := &Control{c: c, loop: loop, node: node, log: log, process: rand.Text(), follows: make(chan struct{}), moved: make(chan struct{})}
	var err error
	if n.held, err = n.kept(); err != nil {
		log.Warn("fleet: what this node followed before is not known", "err", err)
	}
	if n.configuration, err = n.newWatch(); err != nil {
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n, nil
}

// NewClient is a side of the agreement that asks and follows, and keeps no session: a supervisor's. Close ends it.
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

// Begin has the loop follow what was on the disk, before anything is served. A node whose disk knows nothing, as at its first start, says that
// it is not ready until it has heard, for firstWord at most: out of reach of the others it serves by its own decisions.
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
		case <-news: // the node is away or not, as they say
		case <-time.After(firstWord):
			if n.followed().Log == "" {
				n.log.Warn("fleet: the others are not heard; this node serves by its own decisions")
				n.node.Away(false)
			}
		}
	})
}

// Run takes part until Close. It waits for the process that this one replaces: one of them at a time speaks for the node.
func (n *Control) Run() {
	lock, err := n.lock()
	if n.ctx.Err() != nil && lock == nil {
		return // Close came first
	}
	if err != nil {
		n.log.Error("fleet: this node takes no part", "err", err)
		return
	}
	defer lock.Close()
	var told time.Time
	for ; ; n.pause(openAgain) { // its port may be another process's for a while
		err := n.open()
		if err == nil {
			break
		}
		if n.ctx.Err() != nil {
			return
		}
		if time.Since(told) >= openTold {
			told = time.Now()
			n.log.Error("fleet: this node takes no part yet; it serves on by its own decisions", "err", err)
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

// lock waits until no other process of the node speaks for it.
func (n *Control) lock() (*os.File, error) {
	told := false
	return wholefile.Lock(n.ctx, filepath.Join(n.c.Folder, lockFile), takeOver, func() {
		// It serves beside the other one, and follows what that one follows.
		if h, err := n.kept(); err == nil && h.Version > n.followed().Version {
			n.hold(h)
			n.mu.Lock()
			n.held = h
			n.mu.Unlock()
		}
		if !told {
			told = true
			n.log.Info("fleet: another process speaks for this node; waiting for its end", "folder", n.c.Folder)
		}
	})
}

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
			n.log.Error("fleet: this voter's log can't be used; the node takes part without a vote", "err", noVote)
		}
	}
	// A call may come before the voter has its way to others: it answers by itself alone until it is asked to find them.
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

// Leaving tells the others that this node is about to end: it counts as out from here on. Whether they hear it changes nothing here.
func (n *Control) Leaving() {
	n.last(func(epoch uint64) *fleetpb.Entry {
		return &fleetpb.Entry{What: &fleetpb.Entry_Leaving{Leaving: &fleetpb.Leaving{Node: n.c.Name, Epoch: epoch}}}
	})
}

// Close ends the session, once nothing of this node is left at any server, so that nobody waits for its lapse; then all that Run has
// begun. A voter that leads has another one lead first.
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

// Stop ends all that Run has begun, without a word.
func (n *Control) Stop() { n.stop() }

// last says one of the last words of a session, if there is one.
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

// servers is what this node's registry says; nil: it has not said yet.
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
