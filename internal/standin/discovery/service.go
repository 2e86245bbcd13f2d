// Package discovery is a stand-in for the service that gives nodes the list of servers. It processes calls one
// after another and can fail in many ways. For each process that calls it, it logs from when on the process counts
// as notified of each change. Nothing in that log comes from the processes themselves.
package discovery

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

const (
	// QueueLimit is how long a call may wait in the service's queue; then it ends with a 503.
	QueueLimit = 2 * time.Second
	// ContinueWithin is the longest time from an answer to the next call of the same watch. After that the watch
	// has ended, and changes of that time count as notified.
	ContinueWithin = 200 * time.Millisecond
	// FollowWithin is the time after which a process counts as notified of a change, whatever became of its calls.
	// It is counted from the change, or from when the process could reach the service again.
	FollowWithin = 6 * time.Second
	// SilentSlack is the like time for a watch that the service stopped answering, counted from the end of the
	// watch's wait.
	SilentSlack = 2 * time.Second

	maxWatch = time.Minute // longest wait of one call
)

// Fault is a way in which the service fails. The zero value means that it works.
type Fault struct {
	Down           bool // calls end with a 503, and so do watches
	Hang           bool // while it is down, calls wait for QueueLimit first
	Overloaded     bool // it is up, but other callers fill its queue: calls wait for QueueLimit and end with a 503
	Silent         bool // open watches, and new ones, are never answered
	Fragmented     bool // answers come in small fragments
	Cut            bool // the connection is reset in the middle of each answer
	Stale          bool // calls that don't continue a watch get the list before the latest change
	CallTimeFactor float64
	AnswerDelay    time.Duration // answers are begun so long after they were determined
	BodyPause      time.Duration // answers pause for so long in their middle
}

// slowAnswers reports whether answers arrive late with what was so when they were determined.
func (f Fault) slowAnswers() bool { return f.AnswerDelay > 0 || f.BodyPause > 0 }

// Service is the stand-in. Each process has a listener of its own, by which the service knows which process calls.
type Service struct {
	perCall time.Duration

	mu             sync.Mutex
	changes        []Change // by revision, from 1 on
	entries        []map[string]standin.Entry
	changeSignal   chan struct{} // closed at the next change, or when a fault begins or ends
	fault          Fault
	reachableSince time.Time // start of the present time in service; zero: the service is down
	outages        []outage
	queueFreeAt    time.Time // when its queue will be empty
	callers        []*Caller
}

// outage is a time in which the service was down; a zero to means that it still is.
type outage struct{ from, to time.Time }

// Change is one revision of the list.
type Change struct {
	Revision uint64
	At       time.Time
	Entries  []standin.Entry
}

// New makes a service that takes perCall to process a call, and that lists these servers as revision 1.
func New(perCall time.Duration, entries ...standin.Entry) *Service {
	s := &Service{perCall: perCall, changeSignal: make(chan struct{}), reachableSince: time.Now(),
		entries: []map[string]standin.Entry{{}}}
	s.Set(entries...)
	return s
}

// Set adds a revision with these entries. An entry with the state "gone" leaves the whole list.
func (s *Service) Set(entries ...standin.Entry) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := Change{Revision: uint64(len(s.changes) + 1), At: time.Now(), Entries: entries}
	s.changes = append(s.changes, change)
	next := map[string]standin.Entry{}
	for id, e := range s.entries[len(s.entries)-1] {
		next[id] = e
	}
	for _, e := range entries {
		if next[e.ID] = e; e.State == "gone" {
			delete(next, e.ID)
		}
	}
	s.entries = append(s.entries, next)
	s.wakeCalls()
	return change
}

// SetFault makes the service fail in this way from now on; the zero Fault ends a failure.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.updateLog() // what counts under the fault until now
	}
	now := time.Now()
	switch {
	case f.Down && !s.fault.Down:
		s.reachableSince = time.Time{}
		s.outages = append(s.outages, outage{from: now})
	case !f.Down && s.fault.Down:
		s.reachableSince = now
		s.outages[len(s.outages)-1].to = now
	}
	for _, c := range s.callers {
		if !f.Silent && c.unreachable {
			c.unreachable, c.reachableSince = false, now
		}
	}
	s.fault = f
	s.wakeCalls()
}

// wakeCalls makes all waiting calls check again. The lock is held.
func (s *Service) wakeCalls() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// revision returns the number of the latest revision. The lock is held.
func (s *Service) revision() uint64 { return uint64(len(s.changes)) }

// List returns the whole present list and its revision.
func (s *Service) List() (revision uint64, entries []standin.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision(), s.fullList(s.revision())
}

// ListAt returns the whole list of a revision.
func (s *Service) ListAt(revision uint64) []standin.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullList(revision)
}

// Revision returns the number of the latest revision.
func (s *Service) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision()
}

// fullList returns the servers of a revision, ordered by ID. The lock is held.
func (s *Service) fullList(revision uint64) (list []standin.Entry) {
	for _, e := range s.entries[revision] {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b standin.Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// learnedAt returns when agents have learned of a change: at once, or at the end of the outage in which it was made; learned
// is false while that lasts. The lock is held.
func (s *Service) learnedAt(change Change) (at time.Time, learned bool) {
	at = change.At
	for _, o := range s.outages {
		if at.Before(o.from) || !o.to.IsZero() && !at.Before(o.to) {
			continue
		}
		if o.to.IsZero() {
			return at, false
		}
		at = o.to
	}
	return at, true
}

// Listen opens the service to one process, and to the processes that replace it under the same name.
func (s *Service) Listen(process string) (*Caller, error) { return s.listen(process, false) }

// Agent opens an agent on the machine of one process. An agent answers at once with what it has, and what it has
// counts as notified even if the process does not call.
func (s *Service) Agent(process string) (*Caller, error) { return s.listen(process, true) }

// listen opens a listener for one process.
func (s *Service) listen(process string, agent bool) (*Caller, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Caller{service: s, agent: agent, Process: process, Addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", c.serve)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go c.server.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers = append(s.callers, c)
	return c, nil
}

// Close stops the service and ends all calls.
func (s *Service) Close() {
	s.mu.Lock()
	callers := s.callers
	s.mu.Unlock()
	for _, c := range callers {
		c.server.Close()
	}
}

// waitForTurn waits until the service has processed a call. ok is false if the call has to end with a 503.
func (s *Service) waitForTurn(ctx context.Context) (ok bool) {
	s.mu.Lock()
	now := time.Now()
	if s.fault.Down {
		hang := s.fault.Hang
		s.mu.Unlock()
		if hang {
			sleep(ctx, QueueLimit)
		}
		return false
	}
	if s.fault.Overloaded {
		s.mu.Unlock()
		sleep(ctx, QueueLimit)
		return false
	}
	work := s.perCall
	if s.fault.CallTimeFactor > 0 {
		work = time.Duration(float64(work) * s.fault.CallTimeFactor)
	}
	if s.queueFreeAt.Before(now) {
		s.queueFreeAt = now
	}
	if s.queueFreeAt.Sub(now) > QueueLimit {
		s.mu.Unlock()
		sleep(ctx, QueueLimit)
		return false
	}
	s.queueFreeAt = s.queueFreeAt.Add(work)
	until := s.queueFreeAt
	s.mu.Unlock()
	return sleep(ctx, time.Until(until))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
