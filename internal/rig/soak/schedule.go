// Package soak draws the schedule of faults of a soak test, and checks a run by the logs of clients, servers and
// discovery and by the violations that the nodes themselves have counted. It starts no processes.
package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. A node fault concerns one node, a server fault one server, and a discovery fault the whole
// run.
const (
	Restart        Kind = "restart"       // SIGTERM, and a new process once it has ended
	Kill           Kind = "kill"          // SIGKILL, and a new process after the length
	Handover       Kind = "handover"      // a successor starts while the process serves; then SIGTERM
	Pause          Kind = "pause"         // SIGSTOP for up to 0.12 s
	Reload         Kind = "reload"        // discovery moves to another address, which the process reloads on SIGHUP
	ClockStep      Kind = "clock"         // a restart, with the wall clock stepped by an hour or by seconds
	Leave          Kind = "leave"         // clients send requests and leave
	HupTwice       Kind = "hup-twice"     // discovery moves, and moves again at once
	HupTerm        Kind = "hup-term"      // a reload, and SIGTERM while its call to discovery is in flight
	TermTwice      Kind = "term-twice"    // SIGTERM, and again while the process drains
	TermAtStart    Kind = "term-start"    // SIGTERM while the process starts
	TermHandover   Kind = "term-handover" // SIGTERM while a successor prepares
	IdleClients    Kind = "crowd"         // idle clients use up the node's descriptors
	Stall          Kind = "stall"         // clients stop in the middle of a request and keep the connection open
	Drain          Kind = "drain"         // a server drains and is ready again
	Replace        Kind = "replace"       // a server drains, is removed, and comes back cold
	Vanish         Kind = "vanish"        // a server's process dies and comes back cold; discovery notices it late
	Hang           Kind = "hang"          // a server accepts requests and answers none
	Partitioned    Kind = "silent"        // the network drops everything to and from a server
	Resets         Kind = "resets"        // connections to a server are reset
	Late           Kind = "late"          // connections to a server are established late
	ListDown       Kind = "list-down"     // discovery is down
	ListHangs      Kind = "list-hangs"    // discovery is down, and lets calls wait before they fail
	ListSlow       Kind = "list-slow"     // discovery works slowly: calls queue, and some time out
	ListOverloaded Kind = "list-crowded"  // discovery is up, but overloaded: calls queue until they time out
	ListStalled    Kind = "list-silent"   // watches get nothing more
	ListInPieces   Kind = "list-pieces"   // answers come in pieces
	ListCut        Kind = "list-cut"      // answers are reset in the middle
	ListOlder      Kind = "list-older"    // calls that begin a watch are answered with an older list
	ListLate       Kind = "list-late"     // answers come late and pause in their middle, with what was so before
	SlowClients    Kind = "slow-clients"  // many clients write heads of many fields, bodies or half of them slowly
	LargeRequests  Kind = "large"         // clients send large requests
	RepeatedIDs    Kind = "repeat"        // clients send requests and leave, and their ids come again
	ReadsSlowly    Kind = "slow-read"     // a server reads slowly
	LumpAnswers    Kind = "lumps"         // clients of a node get answers that their servers write in lumps
)

var (
	nodeKinds      = []Kind{Restart, Kill, Handover, Pause, Reload, ClockStep, Leave, Stall, HupTwice, HupTerm, TermTwice, TermAtStart, TermHandover, IdleClients}
	serverKinds    = []Kind{Drain, Replace, Vanish, Hang, Partitioned, Resets, Late}
	discoveryKinds = []Kind{ListDown, ListHangs, ListSlow, ListOverloaded, ListStalled, ListInPieces, ListCut, ListOlder, ListLate}
	peerKinds      = []Kind{SlowClients, LargeRequests, RepeatedIDs, ReadsSlowly}
	answerKinds    = []Kind{LumpAnswers}
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return slices.Concat(nodeKinds, serverKinds, discoveryKinds, peerKinds, answerKinds)
}

// Fault is one entry of a schedule.
type Fault struct {
	At     float64 `json:"at"`     // seconds from the start
	Length float64 `json:"length"` // seconds
	Kind   Kind    `json:"kind"`
	Node   int     `json:"node"`   // index of the node, for node faults
	Server int     `json:"server"` // index of the server, for server faults
}

// Draw draws a schedule of overlapping faults for a run of the given length: drains and replacements of servers
// all the time, and within each other track every kind once before any kind repeats. Each node, each server and
// discovery has at most one fault at a time. The same arguments give the same schedule.
func Draw(seed uint64, length time.Duration, nodes, servers int) (list []Fault) {
	random := rand.New(rand.NewPCG(seed, 0x736f616b))
	end := length.Seconds() - 4
	for _, kinds := range [][]Kind{nodeKinds, nodeKinds, serverKinds, discoveryKinds, {Drain, Replace}, peerKinds, answerKinds} {
		list = append(list, drawTrack(random, kinds, end, nodes, servers)...)
	}
	slices.SortStableFunc(list, func(a, b Fault) int {
		if a.At < b.At {
			return -1
		}
		return 1
	})
	return withoutOverlap(list)
}

// One in longOutageOneIn faults of discovery is lengthened by longOutageSeconds, so that it lasts longer than a
// change of the list may go unnoticed.
const (
	longOutageOneIn   = 3
	longOutageSeconds = 6
)

// drawTrack draws faults with increasing start times until end (seconds). Every kind comes once, in random order,
// before any kind repeats.
func drawTrack(random *rand.Rand, kinds []Kind, end float64, nodes, servers int) (list []Fault) {
	var left []Kind
	for at := 1 + random.Float64(); ; {
		if len(left) == 0 {
			left = slices.Clone(kinds)
			random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		}
		fault := Fault{At: at, Length: 0.3 + 3*random.Float64(), Kind: left[0], Node: random.IntN(nodes), Server: random.IntN(servers)}
		left = left[1:]
		if slices.Contains(discoveryKinds, fault.Kind) && random.IntN(longOutageOneIn) == 0 {
			fault.Length += longOutageSeconds
		}
		if fault.At+fault.Length > end {
			return list
		}
		list = append(list, fault)
		at += 0.3 + 1.5*random.Float64()
	}
}

// withoutOverlap leaves out faults that begin before the previous fault of the same target has ended and the
// target has had time to recover.
func withoutOverlap(list []Fault) (kept []Fault) {
	free := map[string]float64{}
	const settle = 2.5 // seconds that a target needs to recover
	for _, f := range list {
		if who := f.target(); f.At >= free[who] {
			kept = append(kept, f)
			free[who] = f.At + f.Length + settle
		}
	}
	return kept
}

func (f Fault) target() string {
	switch {
	case slices.Contains(nodeKinds, f.Kind):
		return fmt.Sprint("node ", f.Node)
	case slices.Contains(serverKinds, f.Kind):
		return fmt.Sprint("server ", f.Server)
	}
	if f.Kind == ReadsSlowly {
		return fmt.Sprint("the pace of server ", f.Server)
	}
	if f.Kind == LumpAnswers {
		return fmt.Sprint("answers to node ", f.Node)
	}
	if slices.Contains(peerKinds, f.Kind) {
		return fmt.Sprint("clients of node ", f.Node)
	}
	return "discovery"
}

// ChangesProcess reports whether a fault ends, starts or signals a node's process. Such faults of one node are
// carried out one after another, because a process may take seconds to end.
func (f Fault) ChangesProcess() bool {
	switch f.Kind {
	case Restart, Kill, Handover, Pause, Reload, ClockStep, HupTwice, HupTerm, TermTwice, TermAtStart, TermHandover:
		return true
	}
	return false
}

// FailsServer reports whether a fault ends a server's process, or breaks connections to it, so that answers that have begun
// can't be finished.
func (f Fault) FailsServer() bool {
	switch f.Kind {
	case Replace, Vanish, Partitioned, Resets:
		return true
	}
	return false
}

const linePrefix = "schedule "

// Print writes a schedule, one line for each fault, in the format that Read takes.
func Print(w io.Writer, list []Fault) {
	for _, f := range list {
		raw, err := json.Marshal(f)
		if err != nil {
			panic(err) // cannot happen: numbers and a string
		}
		fmt.Fprintf(w, "%s%s\n", linePrefix, raw)
	}
}

// Read reads the schedule that Print has written to a file, and skips other lines. It refuses faults that don't
// fit the given numbers of nodes and servers.
func Read(path string, nodes, servers int) (list []Fault, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		text, ok := strings.CutPrefix(lines.Text(), linePrefix)
		if !ok {
			continue
		}
		var fault Fault
		if err := json.Unmarshal([]byte(text), &fault); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, lineNumber, err)
		}
		if !slices.Contains(Kinds(), fault.Kind) || fault.Node < 0 || fault.Node >= nodes || fault.Server < 0 || fault.Server >= servers || fault.At < 0 || fault.Length <= 0 || fault.Length > 600 {
			return nil, fmt.Errorf("%s:%d: not a valid fault for %d nodes and %d servers: %s", path, lineNumber, nodes, servers, text)
		}
		list = append(list, fault)
	}
	return list, lines.Err()
}

// Shrink looks for a smaller schedule that still fails, by leaving out ever smaller parts (delta debugging). It calls
// fails at most maxRuns times, and returns the smallest failing schedule that it has found.
func Shrink(list []Fault, maxRuns int, fails func([]Fault) bool) []Fault {
	for parts := 2; len(list) > 1 && maxRuns > 0 && parts <= 2*len(list); {
		size := (len(list) + parts - 1) / parts
		smaller := false
		for from := 0; from < len(list) && maxRuns > 0; from += size {
			without := slices.Concat(list[:from], list[min(from+size, len(list)):])
			maxRuns--
			if len(without) > 0 && fails(without) {
				list, smaller = without, true
				break
			}
		}
		if !smaller {
			parts *= 2
		}
	}
	return list
}
