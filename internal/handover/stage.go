package handover

// Stage is the progress of the replacement of a process, as that process sees it. The methods define what each stage
// means for the node.
type Stage int

const (
	// Alone: there is no successor.
	Alone Stage = iota
	// Shared: a successor has the sockets and prepares to serve.
	Shared
	// Succeeded: the successor serves.
	Succeeded
)

// Accepts reports whether this process accepts new connections. Once its successor serves, the successor accepts
// them, from the same listen queue.
func (s Stage) Accepts() bool { return s != Succeeded }

// MessagesPeers reports whether this process exchanges messages with other nodes. Only one of the two processes does.
func (s Stage) MessagesPeers() bool { return s != Succeeded }

// ClosesConnections reports whether each client's connection is closed after its next answer, so that the client
// opens a new one to the successor.
func (s Stage) ClosesConnections() bool { return s == Succeeded }

// ResourceShare returns this process's share, between 0 and 1, of the node's connections to servers and of its
// memory. While two processes run, each gets half, as both together have to stay within the node's limits.
func (s Stage) ResourceShare() float64 {
	if s == Alone {
		return 1
	}
	return 0.5
}

// ClientLimit returns how many clients' connections a successor may have: the node's limit less those that its
// predecessor still has. It is at least an eighth of the limit, and 1, because otherwise a predecessor that holds all
// connections could keep its successor from ever serving.
func ClientLimit(limit, predecessorConnections int) int {
	return max(limit-max(0, predecessorConnections), limit/8, 1)
}
