package app

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	"starlingvalve/internal/front"
	"starlingvalve/internal/front/http1"
	"starlingvalve/internal/handover"
	"starlingvalve/internal/peer"
	upstream "starlingvalve/internal/upstream/http1"
)

// goMemoryShare is the share of the memory limit for Go's heap and stacks. The kernel's socket buffers and the
// program itself use the rest.
const memoryPart = 0.6

// readyPollInterval is how often a successor checks whether it can serve.
const ableLook = 5 * time.Millisecond

// sockets are the sockets that a process starts with: newly opened, or taken over from its predecessor.
type sockets struct {
	clients *net.TCPListener
	peers   *net.UDPConn          // nil: the node exchanges no messages with other nodes
	from    *handover.Predecessor // nil: this process replaces no other
}

// openSockets takes over the sockets of the running process of this node, if there is one. Otherwise, or if that
// fails, it opens new ones, which share the addresses of a running process.
func openSockets(c *Config, log *slog.Logger) (*sockets, error) {
	s := &sockets{}
	if c.Handover != "" {
		p, err := handover.Ask(c.Handover, c.Name, c.Listen, c.PeerListen)
		if err == nil {
			log.Info("replacing the process that serves", "listen", c.Listen)
			s.clients, s.peers, s.from = p.Listener, p.Peers, p
		} else if !errors.Is(err, handover.ErrNoPredecessor) {
			log.Warn("the running process hands over no sockets; sharing its port", "err", err)
		}
	}
	var err error
	if s.clients == nil {
		if s.clients, err = handover.ListenTCP(c.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	// The predecessor may have no such socket to hand over, or one at another address.
	if s.peers == nil && c.PeerListen.IsValid() && c.Settings.MayMessage {
		if s.peers, err = handover.ListenUDP(c.PeerListen); err != nil {
			s.clients.Close()
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	return s, nil
}

// handedState is the state that a process hands to its successor, as JSON under the names of the fields.
type known struct {
	List    core.List        // the full list of servers
	Source  string           // address of the discovery server that the list is from; empty: unknown
	Learned *decide.Snapshot // what the decision module learned about servers and classes; nil: not available
}

// fromOtherDiscovery reports whether the list is from another discovery server than this one. Then its servers may be
// different, and its version can't be compared with versions here.
func (k known) elsewhere(discovery netip.AddrPort) bool {
	return k.Source != "" && k.Source != discovery.String()
}

// decodeState decodes and checks the predecessor's state. Any invalid entry, or a list that is not full, is an error.
func takeState(raw []byte) (known, error) {
	var k known
	if err := json.Unmarshal(raw, &k); err != nil {
		return k, err
	}
	for i, e := range k.List.Entries {
		if _, err := netip.ParseAddrPort(e.Addr); err != nil || e.State != decide.Ready && e.State != decide.Draining ||
			math.IsNaN(e.Size) || e.StartedAt < 0 {
			return k, fmt.Errorf("list: entry %d is invalid", i)
		}
	}
	if !k.List.Full {
		return k, errors.New("the list is not full")
	}
	return k, nil
}

// encodeState returns the state of this process for its successor, as JSON.
func (t *takeover) state() []byte {
	k := known{List: t.loop.Listed()}
	if at := t.source.Load(); at != nil {
		k.Source = at.String()
	}
	if learned, ok := t.loop.Learned(); ok {
		k.Learned = &learned
	}
	raw, err := json.Marshal(k)
	if err != nil {
		t.log.Warn("can't encode the state for the successor", "err", err)
	}
	return raw
}

// takeover limits a process to its share of the node's resources while another process of the same node, its
// predecessor or its successor, runs too, and determines which of the two accepts clients and sends messages to other
// nodes.
type takeover struct {
	agreement *control.Control // nil: the node takes no part in a fleet's agreement
	front     *http1.Front
	handler   *front.Handler
	transport *upstream.Transport
	peers     *peer.Peers
	loop      *core.Loop
	clients   int                    // clients' connections that the node may have
	servers   int                    // connections to servers that the node may have
	memoryMB  int                    // memory limit of the node, MiB
	setMemory func(int64) int64      // sets Go's memory limit in bytes; nil: not set
	log       *slog.Logger
	source    atomic.Pointer[netip.AddrPort] // discovery's current address

	mu     sync.Mutex
	stage  handover.Stage // of the replacement of this process by a successor
	before bool           // the predecessor still runs
	held   int            // clients' connections of the predecessor; the node's whole limit until it has reported them
	serves bool           // this process can serve: always, but for a successor that is still preparing
	away   bool           // the fleet has drained this node
}

// apply passes the current state to all parts. The caller holds the lock.
func (t *takeover) apply() {
	part := t.stage.Part()
	clients := t.clients
	if t.before {
		part = min(part, handover.Shared.Part())
		clients = handover.Capacity(t.clients, t.held)
	}
	t.front.SetLimit(clients)
	t.transport.SetLimit(max(1, int(part*float64(t.servers))))
	if t.setMemory != nil {
		t.setMemory(int64(part * memoryPart * float64(t.memoryMB) * (1 << 20)))
	}
	t.front.Accept(t.serves && t.stage.Accepts())
	t.peers.Speak(t.serves && t.stage.Speaks())
	t.handler.Leave(t.stage.Closes() || t.away)
	t.handler.Away(t.away)
	if t.agreement != nil {
		t.agreement.Replaced(t.stage != handover.Alone, t.stage == handover.Succeeded)
	}
}

// update runs f, which changes the state, under the lock, and applies the new state.
func (t *takeover) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	t.apply()
}

// setDrained sets whether the fleet has drained this node. A drained node reports that it is not ready, and closes
// each client's connection after its next answer.
func (t *takeover) drained(on bool) { t.set(func() { t.away = on }) }

// stageChanged sets the stage of the replacement of this process by a successor.
func (t *takeover) changed(now handover.Stage) {
	t.set(func() { t.stage = now })
	t.log.Info("replacement", "stage", []string{handover.Alone: "none: this process serves", handover.Shared: "a successor prepares", handover.Succeeded: "a successor serves"}[now])
}

// replacePredecessor waits until this process can serve, notifies the predecessor, and uses all of the node's
// resources once the predecessor has ended.
func (t *takeover) follow(ctx context.Context, p *handover.Predecessor) {
	stop := context.AfterFunc(ctx, p.Close)
	defer stop()
	var waiting sync.WaitGroup
	waiting.Go(func() {
		tick := time.NewTicker(ableLook)
		defer tick.Stop()
		for !t.loop.Able() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		t.set(func() { t.serves = true })
		p.Serving()
	})
	p.Run(func(held int) {
		if held != t.held { // read without the lock, as only this goroutine writes it
			t.set(func() { t.held = held })
		}
	})
	t.set(func() { t.before, t.held, t.serves = false, 0, true })
	t.log.Info("the predecessor has ended")
	waiting.Wait()
}
