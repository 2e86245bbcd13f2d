// Package descriptors divides the file descriptors that a process may open: those that the node itself needs are
// reserved, and the rest is divided between client connections and connections to servers. So the node can reach
// discovery, accept a successor and connect to a server, however many clients keep idle connections. The package does
// no I/O and has no state.
package descriptors

import "fmt"

// MinLimit is the smallest limit of open files with which a node runs.
const MinLimit = 64

// Client connections that are open beyond the clients' share, each for a short time.
const (
	// MaxRefused is the number of refused connections that may be kept open at once, each until its request has been
	// read.
	MaxRefused = 8
	// MaxEvicted is the number of connections that may be evicted for others but not closed yet.
	MaxEvicted = 3
	// accepted is for the connection that has been accepted but not yet counted.
	accepted = 1
)

// File descriptors of the node itself, whatever its clients do.
const (
	standardStreams = 3 // input, output, the log
	runtimeFiles    = 4 // Go's poller and its wake-up; the two files of the CPU limit
	lagMeter        = 2 // both ends of the pipe by which the loop measures its lag
	clientListener  = 1
	datagrams       = 1 // messages between nodes
	replacement     = 3 // the socket for a successor, its connection, and the connection to the predecessor
	discovery       = 4 // a watch and a fetch, and the same at the previous source while discovery moves
	configuration   = 1 // the file that is read again on SIGHUP
	recentIDs       = 1 // the memory of recent ids
	margin          = 4 // inherited descriptors, and what is not counted above

	node = standardStreams + runtimeFiles + lagMeter + clientListener + datagrams + replacement + discovery +
		configuration + recentIDs + margin

	link     = 3  // the sockets of both sides of the link to other sites, and a certificate that is read again
	fleet    = 11 // two sockets, the log, its lock, a snapshot, the operators' socket and some of its callers, statm
	recorder = 1
)

const (
	// clientShare is the part of the connections' descriptors that clients get: an open request takes a connection to
	// the client and one to a server.
	clientShare = 0.5
	// minConnShare is the part of the limit that connections get in any case. It matters only with a limit far below
	// that of the platform and all optional parts in use; the node itself may then run out of descriptors.
	minConnShare = 0.25
)

// Uses names the optional parts of a node that need descriptors of their own.
type Uses struct {
	Operators int  // connections at the operators' address, including its listener; 0: there is no such address
	Link      bool // requests are handed off to other sites
	Fleet     bool // the node takes part in the agreement of the fleet
	Recorder  bool // requests are recorded
}

// Split is the number of descriptors for each purpose. Their sum is the limit.
type Split struct {
	Node    int // for the node itself
	Clients int // for client connections
	Servers int // for connections to servers
}

// Total is the limit that was divided.
func (s Split) Total() int { return s.Node + s.Clients + s.Servers }

// Divide splits a limit of open files. A limit below MinLimit is an error.
func Divide(limit int, uses Uses) (Split, error) {
	if limit < MinLimit {
		return Split{}, fmt.Errorf("%d file descriptors are too few: at least %d are required", limit, MinLimit)
	}
	reserved := node + MaxRefused + MaxEvicted + accepted + uses.Operators
	if uses.Link {
		reserved += link
	}
	if uses.Fleet {
		reserved += fleet
	}
	if uses.Recorder {
		reserved += recorder
	}
	forConns := max(limit-reserved, int(float64(limit)*minConnShare))
	clients := int(float64(forConns) * clientShare)
	return Split{Node: limit - forConns, Clients: clients, Servers: forConns - clients}, nil
}
