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
	"starlingvalve/internal/memory"
	"starlingvalve/internal/peer"
	upstream "starlingvalve/internal/upstream/http1"
)

// readyPollInterval is how often a successor checks whether it can serve.
const readyPollInterval = 5 * time.Millisecond

// sockets are the sockets that a process starts with: newly opened, or taken over from its predecessor.
type sockets struct {
	clients     *net.TCPListener
	peers       *net.UDPConn          // nil: the node exchanges no messages with other nodes
	predecessor *handover.Predecessor // nil: this process replaces no other
}

// openSockets takes over the sockets of the running process of this node, if there is one. Otherwise, or if that
// fails, it opens new ones, which share the addresses of a running process.
func openSockets(config *Config, log *slog.Logger) (*sockets, error) {
	opened := &sockets{}
	if config.Handover != "" {
		predecessor, err := handover.TakeOver(config.Handover, config.Name, config.Listen, config.PeerListen)
		if err == nil {
			log.Info("replacing the process that serves", "listen", config.Listen)
			opened.clients, opened.peers, opened.predecessor = predecessor.Listener, predecessor.Peers, predecessor
		} else if !errors.Is(err, handover.ErrNoPredecessor) {
			log.Warn("the running process hands over no sockets; sharing its port", "err", err)
		}
	}
	var err error
	if opened.clients == nil {
		if opened.clients, err = handover.ListenTCP(config.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	// The predecessor may have no such socket to hand over, or one at another address.
	if opened.peers == nil && config.PeerListen.IsValid() && config.Settings.MayMessage {
		if opened.peers, err = handover.ListenUDP(config.PeerListen); err != nil {
			opened.clients.Close()
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	return opened, nil
}

// handedState is the state that a process hands to its successor, as JSON under the names of the fields.
type handedState struct {
	List    core.List        // the full list of servers
	Source  string           // address of the discovery server that the list is from; empty: unknown
	Learned *decide.Snapshot // what the decision module learned about servers and classes; nil: not available
}

// fromOtherDiscovery reports whether the list is from another discovery server than this one. Then its servers may be
// different, and its version can't be compared with versions here.
func (k handedState) fromOtherDiscovery(discovery netip.AddrPort) bool {
	return k.Source != "" && k.Source != discovery.String()
}

// decodeState decodes and checks the predecessor's state. Any invalid entry, or a list that is not full, is an error.
func decodeState(raw []byte) (handedState, error) {
	var state handedState
	if err := json.Unmarshal(raw, &state); err != nil {
		return state, err
	}
	for i, entry := range state.List.Entries {
		if _, err := netip.ParseAddrPort(entry.Addr); err != nil || entry.State != decide.Ready && entry.State != decide.Draining ||
			math.IsNaN(entry.Size) || entry.StartedAt < 0 {
			return state, fmt.Errorf("list: entry %d is invalid", i)
		}
	}
	if !state.List.Full {
		return state, errors.New("the list is not full")
	}
	return state, nil
}

// encodeState returns the state of this process for its successor, as JSON.
func (t *takeover) encodeState() []byte {
	handed := handedState{List: t.loop.ServerList()}
	if at := t.source.Load(); at != nil {
		handed.Source = at.String()
	}
	if learned, ok := t.loop.Learned(); ok {
		handed.Learned = &learned
	}
	raw, err := json.Marshal(handed)
	if err != nil {
		t.log.Warn("can't encode the state for the successor", "err", err)
	}
	return raw
}

// takeover limits a process to its share of the node's resources while another process of the same node, its
// predecessor or its successor, runs too, and determines which of the two accepts clients and sends messages to other
// nodes.
type takeover struct {
	fleetControl         *control.Control // nil: the node takes no part in a fleet's agreement
	front                *http1.Front
	handler              *front.Handler
	transport            *upstream.Transport
	peers                *peer.Peers
	loop                 *core.Loop
	maxClients           int // clients' connections that the node may have
	maxServerConnections int // connections to servers that the node may have
	memory               *memory.Account
	memoryMB             int               // memory limit of the node, MiB
	setMemory            func(int64) int64 // sets Go's memory limit in bytes; nil: not set
	log                  *slog.Logger
	source               atomic.Pointer[netip.AddrPort] // discovery's current address

	mu                     sync.Mutex
	stage                  handover.Stage // of the replacement of this process by a successor
	predecessorRunning     bool           // the predecessor still runs
	predecessorConnections int            // of clients; the node's whole limit until the predecessor has reported them
	serving                bool           // this process can serve: always, but for a successor that is still preparing
	drainedByFleet         bool           // the fleet has drained this node
}

// apply passes the current state to all parts. The caller holds the lock.
func (t *takeover) apply() {
	share := t.stage.ResourceShare()
	clients := t.maxClients
	if t.predecessorRunning {
		share = min(share, handover.Shared.ResourceShare())
		clients = handover.ClientLimit(t.maxClients, t.predecessorConnections)
	}
	t.front.SetLimit(clients)
	t.transport.SetLimit(max(1, int(share*float64(t.maxServerConnections))))
	limits := memory.LimitsOf(t.memoryMB, share)
	t.memory.SetLimit(limits.Account)
	if t.setMemory != nil {
		t.setMemory(limits.Go)
	}
	t.front.SetAccepting(t.serving && t.stage.Accepts())
	t.peers.SetActive(t.serving && t.stage.MessagesPeers())
	t.handler.SetCloseAfterAnswer(t.stage.ClosesConnections() || t.drainedByFleet)
	t.handler.SetNotReady(t.drainedByFleet)
	if t.fleetControl != nil {
		t.fleetControl.SetReplaced(t.stage != handover.Alone, t.stage == handover.Succeeded)
	}
}

// update runs f, which changes the state, under the lock, and applies the new state.
func (t *takeover) update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	t.apply()
}

// setDrained sets whether the fleet has drained this node. A drained node reports that it is not ready, and closes
// each client's connection after its next answer.
func (t *takeover) setDrained(on bool) { t.update(func() { t.drainedByFleet = on }) }

// stageChanged sets the stage of the replacement of this process by a successor.
func (t *takeover) stageChanged(stage handover.Stage) {
	t.update(func() { t.stage = stage })
	t.log.Info("replacement", "stage", []string{handover.Alone: "none: this process serves",
		handover.Shared: "a successor prepares", handover.Succeeded: "a successor serves"}[stage])
}

// replacePredecessor waits until this process can serve, notifies the predecessor, and uses all of the node's
// resources once the predecessor has ended.
func (t *takeover) replacePredecessor(ctx context.Context, predecessor *handover.Predecessor) {
	stop := context.AfterFunc(ctx, predecessor.Close)
	defer stop()
	var waiting sync.WaitGroup
	waiting.Go(func() {
		tick := time.NewTicker(readyPollInterval)
		defer tick.Stop()
		for !t.loop.CanServe() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		t.update(func() { t.serving = true })
		predecessor.NotifyServing()
	})
	predecessor.Run(func(connections int) {
		if connections != t.predecessorConnections { // read without the lock, as only this goroutine writes it
			t.update(func() { t.predecessorConnections = connections })
		}
	})
	t.update(func() { t.predecessorRunning, t.predecessorConnections, t.serving = false, 0, true })
	t.log.Info("the predecessor has ended")
	waiting.Wait()
}
