package main

import (
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/standin"
)

// removalSpan is the time in which the registry did not list a server, with listPropagationTime added at its end, as a
// changed list reaches the nodes with a delay.
type removalSpan struct {
	server string
	span
}

// clusterMember is a member of a cluster. It has at most one process at a time.
type clusterMember struct {
	name, zone   string
	listen, udp  string // TCP address for clients; UDP address for other nodes
	socket, file string
	folder       string
	watched      bool            // the process is a supervisor
	wires        []*standin.Wire // path to each voter, by the voter's index; nil for the member itself

	mu        sync.Mutex
	proc      *node   // nil: no process runs
	procs     []*node // all processes so far
	downSpans []span  // times in which the member was killed or stopped and could not answer
	stopped   bool    // by SIGSTOP
}

// span is an interval of time. If to is zero, the interval has no end yet.
type span struct{ from, to time.Time }

// overlaps reports whether the interval overlaps the one between from and to.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// faultsFile returns the path of the file from which a build with fault points reads which faults to cause.
func (m *clusterMember) faultsFile() string {
	return strings.TrimSuffix(m.file, "-fleet.toml") + ".faults"
}

// supervisorFile returns the path of the configuration file of the member's supervisor.
func (m *clusterMember) supervisorFile() string {
	return strings.TrimSuffix(m.file, "-fleet.toml") + "-supervise.toml"
}

// markUp ends the last interval in which the member could not answer, if it is open. The caller holds mu.
func (m *clusterMember) markUp() {
	if n := len(m.downSpans); n > 0 && m.downSpans[n-1].to.IsZero() {
		m.downSpans[n-1].to = time.Now()
	}
}

// kill sends SIGKILL to the member's process. The node of a killed supervisor goes on running.
func (m *clusterMember) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc == nil {
		return
	}
	if !m.watched {
		m.downSpans = append(m.downSpans, span{from: time.Now()})
	}
	m.proc.kill()
	m.proc, m.stopped = nil, false
}

// freeze stops the member's process by SIGSTOP if on is true, and continues it by SIGCONT otherwise.
func (m *clusterMember) freeze(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc == nil || m.stopped == on {
		return
	}
	m.stopped = on
	if on {
		m.downSpans = append(m.downSpans, span{from: time.Now()})
		m.proc.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		m.proc.cmd.Process.Signal(syscall.SIGCONT)
		m.markUp()
	}
}

// running reports whether the member has a process that is not stopped.
func (m *clusterMember) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proc != nil && !m.stopped
}

// downDuring reports whether the member was killed or stopped at some moment between from and to.
func (m *clusterMember) downDuring(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.downSpans, func(s span) bool { return s.overlaps(from, to) })
}

// logs returns the logs of all processes of the member, one text for each.
func (m *clusterMember) logs() (all []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.procs {
		all = append(all, n.log.String())
	}
	if text, err := os.ReadFile(m.supervisorFile() + ".log"); err == nil {
		all = append(all, string(text))
	}
	return all
}
