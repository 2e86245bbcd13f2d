// Package hollow runs nodes without a data plane: the real control part of a node (session, heartbeats, watch,
// acknowledgements, files on disk), hundreds of them in one process, against real control machines. It serves
// scale tests, as Kubernetes' kubemark does.
//
// A rig writes the nodes' files (Fleet.Write) and starts a process of hollow nodes (StartProcess). It can then
// read the process's counts and the times at which something became known at its nodes, restart some nodes, and
// stop the process. Other client code of the control plane can be run with each node as a Part.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	"starlingvalve/internal/health"
	"starlingvalve/internal/link"
)

// Options name the nodes that a process runs.
type Options struct {
	Folder string   `json:"folder"` // with the nodes' files, which Fleet.Write has written
	Names  []string `json:"names"`
}

// A Part is additional client code of the control plane that runs with one node. It has to return soon after ctx
// ends.
type Part func(ctx context.Context, n Node)

// Node is what a Part gets of its node.
type Node struct {
	Config  *control.Config
	Control *control.Control
	// Note records that something became known at this node now. Set.Known returns these times.
	Note func(what string)
	// AddTraffic adds the traffic of the part's own connections since its last call.
	AddTraffic func(link.Traffic)
}

// Counts are totals of the nodes of a process since its start.
type Counts struct {
	Nodes        int           `json:"nodes"`
	Live         int           `json:"live"` // nodes that have a session
	Traffic      link.Traffic  `json:"traffic"`
	CPUTime      time.Duration `json:"processor"` // processor time of the process, user and system
	ResidentKiB  int           `json:"resident"`  // resident memory of the process, KiB
	LongestPause time.Duration `json:"pause"`     // longest delay of the runnable process since the last Counts
}

// Known tells at which nodes, and when, something became known.
type Known struct {
	Nodes int         `json:"nodes"`
	Times []time.Time `json:"times"` // one of each node that knows, in ascending order
}

const maxNotes = 1024 // kinds of notes that are kept; beyond it the oldest kind is dropped

// Set is the hollow nodes of one process.
type Set struct {
	parts []Part
	pause pauseMeter

	mu          sync.Mutex
	nodes       []*node
	pastTraffic link.Traffic                    // of parts, and of nodes before their restarts
	notes       map[string]map[string]time.Time // by kind and node: when it was first noted
	noteOrder   []string                        // kinds of notes, oldest first
}

// node is one hollow node. A restarted node keeps its index in Set.nodes.
type node struct {
	name, file string
	control    *control.Control
	stop       context.CancelFunc
	work       *sync.WaitGroup
}

// Start starts the nodes of o, each with the parts. The caller has to call Stop.
func Start(options Options, parts ...Part) (*Set, error) {
	set := &Set{parts: parts, notes: map[string]map[string]time.Time{}}
	set.pause.start()
	for _, name := range options.Names {
		n, err := set.startNode(name, File(options.Folder, name))
		if err != nil {
			set.Stop()
			return nil, fmt.Errorf("hollow node %s: %w", name, err)
		}
		set.mu.Lock()
		set.nodes = append(set.nodes, n)
		set.mu.Unlock()
	}
	return set, nil
}

// File returns the path of a node's fleet file.
func File(folder, name string) string { return filepath.Join(folder, name+".toml") }

func (s *Set) startNode(name, file string) (*node, error) {
	config, err := control.Load(file, time.Now())
	if err != nil {
		return nil, err
	}
	note := func(what string) { s.note(name, what) }
	plane := idlePlane{note}
	nodeControl, err := control.Open(config, plane, plane, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	nodeControl.ApplySavedOrders()
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{name: name, file: file, control: nodeControl, stop: cancel, work: &sync.WaitGroup{}}
	n.work.Go(nodeControl.Run)
	for _, p := range s.parts {
		n.work.Go(func() { p(ctx, Node{config, nodeControl, note, s.addTraffic}) })
	}
	return n, nil
}

// kill ends a node at once and without notice to others, as a machine failure does.
func (n *node) kill() {
	n.stop()
	n.control.Stop()
	n.work.Wait()
}

func (s *Set) note(node, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.notes[what]
	if at == nil {
		at = map[string]time.Time{}
		s.notes[what] = at
		if s.noteOrder = append(s.noteOrder, what); len(s.noteOrder) > maxNotes {
			delete(s.notes, s.noteOrder[0])
			s.noteOrder = s.noteOrder[1:]
		}
	}
	if at[node].IsZero() {
		at[node] = time.Now()
	}
}

func (s *Set) addTraffic(t link.Traffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addTraffic(&s.pastTraffic, t)
}

func addTraffic(to *link.Traffic, t link.Traffic) {
	to.DatagramsOut += t.DatagramsOut
	to.DatagramsIn += t.DatagramsIn
	to.BytesOut += t.BytesOut
	to.BytesIn += t.BytesIn
	if to.Calls == nil {
		to.Calls = map[uint64]uint64{}
	}
	for kind, n := range t.Calls {
		to.Calls[kind] += n
	}
}

// Counts returns the counts, and starts a new period for the longest pause.
func (s *Set) Counts() Counts {
	s.mu.Lock()
	c := Counts{Nodes: len(s.nodes)}
	addTraffic(&c.Traffic, s.pastTraffic)
	nodes := append([]*node(nil), s.nodes...)
	s.mu.Unlock()
	for _, n := range nodes {
		h := n.control.Status()
		addTraffic(&c.Traffic, h.Traffic)
		if h.Session > 0 {
			c.Live++
		}
	}
	c.CPUTime, c.ResidentKiB, c.LongestPause = cpuTime(), residentKiB(), s.pause.takeLongest()
	return c
}

// Known returns when each node noted something for the first time: a Part's note, or ServerDrained.
func (s *Set) Known(what string) Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := Known{Nodes: len(s.notes[what])}
	for _, at := range s.notes[what] {
		k.Times = append(k.Times, at)
	}
	sortTimes(k.Times)
	return k
}

// Restart ends the named nodes at once, without notice to others, and once all have ended starts them again as new
// processes would start: with the state in their folders. It must not be called concurrently.
func (s *Set) Restart(names []string) error {
	s.mu.Lock()
	var places []int
	for i, n := range s.nodes {
		if slices.Contains(names, n.name) {
			places = append(places, i)
		}
	}
	nodes := slices.Clone(s.nodes)
	s.mu.Unlock()
	var work sync.WaitGroup
	for _, i := range places {
		work.Go(func() {
			carried := nodes[i].control.Status().Traffic
			nodes[i].kill()
			s.addTraffic(carried)
		})
	}
	work.Wait()
	errs := make([]error, len(nodes))
	for _, i := range places {
		work.Go(func() {
			again, err := s.startNode(nodes[i].name, nodes[i].file)
			if errs[i] = err; err == nil {
				nodes[i] = again
			}
		})
	}
	work.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = nodes
	return errors.Join(errs...)
}

// Stop ends all nodes.
func (s *Set) Stop() {
	s.mu.Lock()
	nodes := s.nodes
	s.nodes = nil
	s.mu.Unlock()
	var ending sync.WaitGroup
	for _, n := range nodes {
		ending.Go(n.kill)
	}
	ending.Wait()
	s.pause.stop()
}

// ServerDrained returns the note of a node that has stopped sending to the server with this id.
func ServerDrained(id uint32) string { return fmt.Sprintf("drained %08x", id) }

// idlePlane is a data plane without requests, which notes the cordons that it has to apply.
type idlePlane struct{ note func(what string) }

// SetCordon notes the servers that are drained.
func (p idlePlane) SetCordon(h core.Cordon) {
	for id := range h.Servers {
		p.note(ServerDrained(uint32(id)))
	}
}

// OpenAttemptsAt reports that no request is in flight at the cordoned servers.
func (idlePlane) OpenAttemptsAt(core.Cordon) (int, bool) { return 0, true }

// OpenRequests reports that no request is in flight.
func (idlePlane) OpenRequests() (int, bool) { return 0, true }

// EjectedServers names no server.
func (idlePlane) EjectedServers() []string { return nil }

// CanServe reports that the node can serve.
func (idlePlane) CanServe() bool { return true }

// Ready reports that the node is to get requests.
func (idlePlane) Ready() bool { return true }

// ServerList is an empty list.
func (idlePlane) ServerList() core.List { return core.List{} }

// SetDrained does nothing.
func (idlePlane) SetDrained(bool) {}

// ClassCounts has no finished requests.
func (idlePlane) ClassCounts() map[string]health.ClassCounts { return nil }

// ResidentBytes is 0, because hollow nodes share the memory of one process.
func (idlePlane) ResidentBytes() uint64 { return 0 }
