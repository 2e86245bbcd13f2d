package control

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/link"
	"starlingvalve/internal/member/registry"
)

// Loop is what the node's loop is to this package. The counts' ok is false once it has ended.
type Loop interface {
	Hold(core.Held)
	Left(core.Held) (attempts int, ok bool)
	Open() (requests int, ok bool)
	Suspects() []string
	Able() bool
	Listed() core.List
}

// Node is the rest of the node to this package.
type Node interface {
	// Away has the node say that it is not ready, and its clients go, or ends that: it is drained.
	Away(on bool)
	// Ends gives the requests that are over, by class.
	Ends() []*fleetpb.Ends
}

const (
	aliveParts  = 3 // keep-alives in a session's life
	callWait    = 1500 * time.Millisecond
	againAfter  = 100 * time.Millisecond
	leftEvery   = 20 * time.Millisecond
	takeOver    = 100 * time.Millisecond // between two looks at the process before this one
	firstWord   = 3 * time.Second
	farewell    = 200 * time.Millisecond // for each of the last words of a node that ends
	heldFile    = "held.json"
	lockFile    = "lock"
	newestFiles = 0o600

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

	mu        sync.Mutex
	leader    int       // index of the voter that is asked first
	epoch     uint64    // of the session; 0: none
	until     time.Time // the session holds, counted from before it was asked for
	held      held
	follows   chan struct{} // closed at the next order
	moved     chan struct{} // closed when another voter is asked first
	succeeded bool
	silent    bool // a process that replaces this one serves beside it
}

// held is what this node follows, on its disk: a process that starts follows it before it serves.
type held struct {
	Log     string            `json:"log"` // that says so
	Version uint64            `json:"version"`
	Out     map[string]uint64 `json:"out"` // targets, and the epochs of their drains
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
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n, nil
}

// kept reads what was followed at last.
func (n *Control) kept() (h held, err error) {
	raw, err := os.ReadFile(filepath.Join(n.c.Folder, heldFile))
	if errors.Is(err, os.ErrNotExist) {
		return held{}, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &h)
	}
	if err != nil {
		return held{}, err
	}
	return h, nil
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
	if err != nil {
		n.log.Error("fleet: this node takes no part", "err", err)
		return
	}
	if lock == nil {
		return
	}
	defer lock.Close()
	if err := n.open(); err != nil {
		n.log.Error("fleet: this node takes no part; it serves on by its own decisions", "err", err)
		return
	}
	n.work.Go(n.session)
	n.work.Go(n.follow)
	n.work.Go(n.acknowledge)
	n.work.Go(n.door)
	if n.voter != nil {
		n.work.Go(func() { n.voter.run(n.ctx) })
	}
	n.work.Wait()
	n.calls.Close()
}

// lock waits until no other process of the node speaks for it. nil: Close came first.
func (n *Control) lock() (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(n.c.Folder, lockFile), os.O_CREATE|os.O_RDWR, newestFiles)
	if err != nil {
		return nil, err
	}
	for told := false; ; told = true {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		// It serves beside the other one, and follows what that one follows.
		if h, err := n.kept(); err == nil && h.Version > n.followed().Version {
			n.hold(h)
			n.mu.Lock()
			n.held = h
			n.mu.Unlock()
		}
		if !told {
			n.log.Info("fleet: another process speaks for this node; waiting for its end", "folder", n.c.Folder)
		}
		select {
		case <-n.ctx.Done():
			f.Close()
			return nil, nil
		case <-time.After(takeOver):
		}
	}
}

func (n *Control) open() error {
	o := link.CallsOptions{Keeper: n.c.Keeper, Log: n.log}
	at := &net.UDPAddr{IP: net.IPv4zero}
	if n.c.Votes() {
		v, err := newVoter(n.c, n.servers, n.log)
		if err != nil {
			return err
		}
		n.voter, o.Handle, o.Posted = v, v.handle, v.posted
		at = net.UDPAddrFromAddrPort(n.c.Listen)
	}
	udp, err := net.ListenUDP("udp4", at)
	if err == nil {
		// A call may come before the voter has its way to others: it answers by itself alone until it is asked to find them.
		n.calls, err = link.NewCalls(udp, o)
	}
	if err != nil {
		if n.voter != nil {
			n.voter.disk.Close()
		}
		return fmt.Errorf("%s: node.listen: %w", n.c.Path, err)
	}
	if n.voter != nil {
		n.voter.calls = n.calls
		for _, o := range n.c.Voters {
			if o.Name != n.c.Name {
				n.calls.Keep(n.c.full(o.Name), o.Address)
			}
		}
	}
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
	if n.voter != nil && n.ctx.Err() == nil {
		n.voter.leave(farewell)
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
	l := n.loop.Listed()
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

// errNoLeader tells that no voter that leads was reached.
var errNoLeader = errors.New("the agreement is out of reach: no voter that leads answers")

// call asks the leader, wherever it is, until ctx ends. An entry may be asked again only if it bears its number, or does no harm twice.
func (n *Control) call(ctx context.Context, kind uint64, request []byte) ([]byte, error) {
	last := errNoLeader
	for try := 0; ; try++ {
		n.mu.Lock()
		at := n.leader
		n.mu.Unlock()
		v := n.c.Voters[at]
		wait := callWait
		if kind == kindOrders {
			wait += ordersHold
		}
		one, cancel := context.WithTimeout(ctx, wait)
		status, answer, err := n.one(one, v, kind, request)
		cancel()
		next := (at + 1) % len(n.c.Voters)
		switch {
		case err != nil:
			last = fmt.Errorf("%w; the last one asked: %w", errNoLeader, err)
		case status == statusOK:
			return answer, nil
		case status == statusBad:
			return nil, errors.New(string(answer))
		case status == statusUnknown:
			last, next = fmt.Errorf("%s: %s", v.Name, answer), at
		default:
			last = fmt.Errorf("%w; %s does not lead", errNoLeader, v.Name)
			for i, o := range n.c.Voters {
				if o.Name == string(answer) {
					next = i
				}
			}
		}
		n.mu.Lock()
		if n.leader == at && next != at {
			n.leader = next
			close(n.moved)
			n.moved = make(chan struct{})
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, last
		case <-time.After(againAfter):
		}
	}
}

// one asks one voter; this node's own without the network.
func (n *Control) one(ctx context.Context, v Voter, kind uint64, request []byte) (uint64, []byte, error) {
	if n.voter != nil && v.Name == n.c.Name {
		status, answer := n.voter.handle(ctx, n.c.full(n.c.Name), kind, request)
		return status, answer, nil
	}
	return n.calls.Call(ctx, n.c.full(v.Name), v.Address, kind, request)
}

// Ask hands an entry to the leader and gives its result.
func (n *Control) Ask(ctx context.Context, e *fleetpb.Entry) (*fleetpb.Result, error) {
	raw, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	answer, err := n.call(ctx, kindEntry, raw)
	if err != nil {
		return nil, err
	}
	r := &fleetpb.Result{}
	return r, proto.Unmarshal(answer, r)
}

// State gives what is agreed, as the leader has it.
func (n *Control) State(ctx context.Context) (*fleetpb.State, error) {
	raw, err := n.call(ctx, kindState, nil)
	if err != nil {
		return nil, err
	}
	s := &fleetpb.State{}
	return s, proto.Unmarshal(raw, s)
}

// session keeps this node's session alive.
func (n *Control) session() {
	for n.ctx.Err() == nil {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(n.ctx, n.c.Life)
		r, err := n.Ask(ctx, &fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: n.c.Name, Zone: n.c.Zone, Process: n.process,
			Level: fleet.Level, Voter: n.c.Votes(), Dead: n.suspects(), Ends: n.node.Ends()}}})
		cancel()
		pause := n.c.Life / aliveParts
		n.mu.Lock()
		was := n.epoch
		switch {
		case err == nil && r.Code == fleetpb.Result_DONE:
			n.epoch, n.until = r.Epoch, asked.Add(n.c.Life)
		case err == nil:
			n.epoch, err = 0, errors.New(r.Reason)
			n.process, pause = rand.Text(), againAfter
		case time.Now().After(n.until):
			n.epoch = 0
		}
		now := n.epoch
		n.mu.Unlock()
		if now != was && n.ctx.Err() == nil {
			if now > 0 {
				n.log.Info("fleet: session", "epoch", now)
			} else {
				n.log.Warn("fleet: no session; this node serves on by its own decisions and follows what it knows", "err", err)
			}
		}
		n.pause(pause)
	}
}

// Orders waits a while for orders behind a version of a log, or of another log; nil: there are none.
func (n *Control) Orders(ctx context.Context, version uint64, log string) (*fleetpb.Orders, error) {
	raw, err := proto.Marshal(&fleetpb.Orders{Version: version, Log: log})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ordersHold+n.c.Life)
	defer cancel()
	n.mu.Lock()
	moved := n.moved
	n.mu.Unlock()
	go func() { // a voter that leads no more may hear no news; the session's calls find that out
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	if raw, err = n.call(ctx, kindOrders, raw); err != nil || len(raw) == 0 {
		return nil, err
	}
	o := &fleetpb.Orders{}
	if err := proto.Unmarshal(raw, o); err != nil || o.Log == log && o.Version <= version {
		return nil, err
	}
	return o, nil
}

// follow has the loop follow what is agreed.
func (n *Control) follow() {
	for n.ctx.Err() == nil {
		known := n.followed()
		o, err := n.Orders(n.ctx, known.Version, known.Log)
		if err != nil || o == nil {
			continue
		}
		if known.Log != "" && known.Log != o.Log {
			n.log.Error("fleet: the voters hold another log than the one that this node follows; it goes on with what it knows. "+
				"See \"All voters' disks are lost\" in docs/operate/fleet-control.md", "follows", known.Log, "theirs", o.Log)
			n.pause(n.c.Life)
			continue
		}
		now := held{Log: o.Log, Version: o.Version, Out: map[string]uint64{}}
		for _, x := range o.Out {
			now.Out[x.Target] = x.Epoch
		}
		n.hold(now)
		n.log.Info("fleet: follows", "version", now.Version, "out", strings.Join(slices.Sorted(maps.Keys(now.Out)), ","))
		if err := n.keep(now); err != nil {
			n.log.Error("fleet: what this node follows can't be kept; it acknowledges nothing", "err", err)
			continue
		}
		n.mu.Lock()
		n.held = now
		close(n.follows)
		n.follows = make(chan struct{})
		n.mu.Unlock()
	}
}

func (n *Control) followed() held {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

func (n *Control) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// suspects are the servers that this node takes for dead.
func (n *Control) suspects() []string {
	list := n.loop.Suspects()
	return list[:min(len(list), mostSuspects)]
}

// hold has the loop, and the node, follow.
func (n *Control) hold(h held) {
	n.loop.Hold(heldOf(slices.Collect(maps.Keys(h.Out))...))
	n.node.Away(h.Out[fleet.NodeTarget(n.c.Name)] > 0)
}

// heldOf gives the servers and zones among targets.
func heldOf(targets ...string) core.Held {
	h := core.Held{Servers: map[decide.ServerID]bool{}, Zones: map[string]bool{}}
	for _, target := range targets {
		switch kind, name, _ := strings.Cut(target, "/"); kind {
		case "server":
			h.Servers[registry.ServerID(name)] = true
		case "zone":
			h.Zones[name] = true
		}
	}
	return h
}

// left is what is still under way of what a target is to have none of: attempts there; of this node itself, clients' requests.
func (n *Control) left(target string) (int, bool) {
	if target == fleet.NodeTarget(n.c.Name) {
		return n.loop.Open()
	}
	return n.loop.Left(heldOf(target))
}

// keep writes what is followed, whole or not at all, before it is acknowledged.
func (n *Control) keep(h held) error {
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	path := filepath.Join(n.c.Folder, heldFile)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, newestFiles)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(n.c.Folder)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Replaced tells whether another process serves beside this one, to replace it. What this one has stopped says nothing of the other
// then: that one speaks for the node once it is alone.
// succeeded: that one serves already, and this one may be told to end.
func (n *Control) Replaced(on, succeeded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent, n.succeeded = on, succeeded
}

// acknowledge tells the leader of each drain once nothing of this node's own is left there.
func (n *Control) acknowledge() {
	type said struct{ session, epoch uint64 }
	told := map[string]said{}
	for n.ctx.Err() == nil {
		n.mu.Lock()
		session, out, news, silent := n.epoch, n.held.Out, n.follows, n.silent
		n.mu.Unlock()
		open := map[string]uint64{}
		for target, epoch := range out {
			if session > 0 && !silent && told[target] != (said{session, epoch}) {
				open[target] = epoch
			}
		}
		for target := range told {
			if out[target] == 0 {
				delete(told, target)
			}
		}
		if len(open) == 0 {
			select {
			case <-n.ctx.Done():
			case <-news:
			case <-time.After(n.c.Life / aliveParts): // another session may have begun
			}
			continue
		}
		var acks []*fleetpb.Ack
		for target, epoch := range open {
			left, ok := n.left(target)
			if !ok {
				return
			}
			if left == 0 {
				acks = append(acks, &fleetpb.Ack{Node: n.c.Name, Session: session, Target: target, Epoch: epoch})
			}
		}
		if len(acks) > 0 {
			ctx, cancel := context.WithTimeout(n.ctx, callWait)
			r, err := n.Ask(ctx, &fleetpb.Entry{What: &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{Acks: acks}}})
			cancel()
			if err == nil && r.Code == fleetpb.Result_DONE {
				for _, a := range acks {
					told[a.Target] = said{a.Session, a.Epoch}
				}
			}
		}
		n.pause(leftEvery)
	}
}
