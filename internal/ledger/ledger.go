// Package ledger is the receiver's record of hand-offs: which ones it accepted and how they ended. After a link has
// broken, the sender queries it to learn whether a hand-off has run. A query about a hand-off that has not arrived
// fences it: if it arrives later it is rejected, so the sender can rely on the reply that it has not run. The package
// is pure: it has no I/O, no clock and no goroutine, and its callers pass in the time and hold a lock.
//
// A session stands for one sender process, and is named by its site and epoch. The sender numbers its hand-offs from
// 1 and uses no number twice. States of a number:
//
//	(none) -- Accept --> Running -- Finish --> Done, Refused, Failed
//	(none) -- Query ---> Fenced                      a later Accept is rejected
//
// An entry is removed when the sender acknowledges it, or when it expires. A number without an entry that may have
// had one is Unknown, and the sender has to assume that the hand-off may have run.
package ledger

import (
	"container/heap"
	"time"
)

// State is what the ledger knows of a hand-off.
type State int

const (
	// Unknown: it may have run, or may still run.
	Unknown State = iota
	// Running: accepted, and not ended yet.
	Running
	// Done: it has run. Its answer is kept unless that would have exceeded Limits.Bytes.
	Done
	// Refused: it has not run and will not.
	Refused
	// Fenced: it had not arrived when it was queried, and is rejected if it still does.
	Fenced
	// Failed: it was accepted and may have run, and there is no answer.
	Failed
)

// String returns the state in lower case, for logs.
func (s State) String() string {
	return [...]string{"unknown", "running", "done", "refused", "fenced", "failed"}[s]
}

// Limits bounds a ledger. Zero values stand for the defaults.
type Limits struct {
	Entries   int           // in all sessions together; default 10,000
	Bytes     int           // of kept answers; default 16 MiB
	Sessions  int           // sender processes at once; default 64
	Retention time.Duration // of an entry after its deadline, of a session after its last connection; default 10 s
}

// withDefaults returns the limits with the defaults in place of zero or negative values.
func (l Limits) withDefaults() Limits {
	if l.Entries <= 0 {
		l.Entries = 10_000
	}
	if l.Bytes <= 0 {
		l.Bytes = 16 << 20
	}
	if l.Sessions <= 0 {
		l.Sessions = 64
	}
	if l.Retention <= 0 {
		l.Retention = 10 * time.Second
	}
	return l
}

// Ledger is the record of one receiving process. It is not safe for concurrent use.
type Ledger struct {
	limits   Limits
	sessions map[string]*Session
	entries  int
	bytes    int
	expiry   expiryHeap // entries by expiry time
}

// Session holds the hand-offs of one sender process.
type Session struct {
	ledger       *Ledger
	name         string
	entries      map[uint64]*entry
	ackedBelow   uint64        // the sender has acknowledged all lower numbers and queries none of them
	unknownBelow uint64        // lower numbers without an entry may have had one
	attached     int           // number of connections
	running      int           // number of Running entries
	detachedAt   time.Duration // when a connection was last detached
}

// entry is what is recorded of one hand-off.
type entry struct {
	session    *Session
	number     uint64
	state      State
	answer     []byte
	answerKept bool // the state is Done and answer holds the answer, which may be empty
	expiresAt  time.Duration
	heapIndex  int // index in the expiry heap
}

// New returns an empty ledger.
func New(l Limits) *Ledger {
	return &Ledger{limits: l.withDefaults(), sessions: map[string]*Session{}}
}

// Attach returns the session of a sender process, named by its site and epoch, for one more connection. It returns
// nil if there are too many sessions. Each Attach needs a Detach. next is the number of the sender's next hand-off.
// If this ledger has no such session, it may have been removed, or another process here may have had it; what became
// of the lower numbers is not known, so they are Unknown.
func (l *Ledger) Attach(now time.Duration, name string, next uint64) *Session {
	l.Expire(now)
	s := l.sessions[name]
	if s == nil {
		if len(l.sessions) >= l.limits.Sessions {
			return nil
		}
		s = &Session{ledger: l, name: name, entries: map[uint64]*entry{}, unknownBelow: next}
		l.sessions[name] = s
	}
	s.attached++
	return s
}

// Detach ends a connection's use of a session. A session without connections is kept for Limits.Retention at least;
// by then no delayed hand-off of a closed connection can arrive any more.
func (s *Session) Detach(now time.Duration) {
	s.attached--
	s.detachedAt = now
}

// Accept enters a hand-off that has arrived. deadline is the time after which its answer is useless. ok tells whether
// the hand-off may be run. If not, state tells why: Refused if the ledger is full (nothing is entered then),
// otherwise the state of that number.
func (s *Session) Accept(now time.Duration, number uint64, deadline time.Duration) (ok bool, state State) {
	s.ledger.Expire(now)
	if e := s.entries[number]; e != nil {
		return false, e.state
	}
	if number == 0 || number < s.ackedBelow || number < s.unknownBelow {
		return false, Unknown
	}
	if s.ledger.entries >= s.ledger.limits.Entries {
		return false, Refused
	}
	s.add(number, Running, deadline+s.ledger.limits.Retention)
	s.running++
	return true, Running
}

// Finish records how an accepted hand-off has ended: Done with its answer, Refused, or Failed. The answer is kept if it
// fits into Limits.Bytes.
func (s *Session) Finish(now time.Duration, number uint64, state State, answer []byte) {
	e := s.entries[number]
	if e == nil || e.state != Running {
		return
	}
	e.state = state
	s.running--
	if state == Done && s.ledger.bytes+len(answer) <= s.ledger.limits.Bytes {
		e.answer, e.answerKept = answer, true
		s.ledger.bytes += len(answer)
	}
}

// Query returns the state of a hand-off, and its answer if answerKept is true. A hand-off that has not arrived is
// fenced, for longer than it could still be in transit; if the ledger has no free entry for the fence, it is Unknown.
func (s *Session) Query(now time.Duration, number uint64) (state State, answer []byte, kept bool) {
	s.ledger.Expire(now)
	if e := s.entries[number]; e != nil {
		return e.state, e.answer, e.answerKept
	}
	if number == 0 || number < s.ackedBelow || number < s.unknownBelow || s.ledger.entries >= s.ledger.limits.Entries {
		return Unknown, nil, false
	}
	s.add(number, Fenced, now+s.ledger.limits.Retention)
	return Fenced, nil, false
}

// Ack removes the ended hand-offs with numbers lower than below, which the sender will not query any more. None of
// these numbers is accepted again.
func (s *Session) Ack(below uint64) {
	if below <= s.ackedBelow {
		return
	}
	// Loop over the numbers or over the entries, whichever are fewer: a sender may acknowledge numbers far ahead.
	if below-s.ackedBelow <= uint64(len(s.entries)) {
		for n := s.ackedBelow; n < below; n++ {
			if e := s.entries[n]; e != nil && e.state != Running {
				s.remove(e)
			}
		}
	} else {
		for n, e := range s.entries {
			if n < below && e.state != Running {
				s.remove(e)
			}
		}
	}
	s.ackedBelow = below
}

// Expire removes entries whose time is over and, if all sessions are in use, those that have been without connections
// and entries for Limits.Retention.
func (l *Ledger) Expire(now time.Duration) {
	for len(l.expiry) > 0 && l.expiry[0].expiresAt <= now {
		e := l.expiry[0]
		e.session.unknownBelow = max(e.session.unknownBelow, e.number+1)
		e.session.remove(e)
	}
	if len(l.sessions) >= l.limits.Sessions {
		for name, s := range l.sessions {
			if s.attached == 0 && len(s.entries) == 0 && now-s.detachedAt >= l.limits.Retention {
				delete(l.sessions, name)
			}
		}
	}
}

// Running returns the number of this session's hand-offs that have not ended.
func (s *Session) Running() int { return s.running }

// Unacknowledged returns the number of hand-offs that have ended and whose sender has not acknowledged the answer.
// Senders without a connection are not counted.
func (l *Ledger) Unacknowledged() (n int) {
	for _, s := range l.sessions {
		if s.attached == 0 {
			continue
		}
		for _, e := range s.entries {
			if e.state != Running && e.state != Fenced {
				n++
			}
		}
	}
	return n
}

// Size returns the number of entries, the bytes of kept answers and the number of sessions.
func (l *Ledger) Size() (entries, bytes, sessions int) { return l.entries, l.bytes, len(l.sessions) }

// add adds an entry that expires at expiresAt.
func (s *Session) add(number uint64, state State, expiresAt time.Duration) {
	e := &entry{session: s, number: number, state: state, expiresAt: expiresAt}
	s.entries[number] = e
	s.ledger.entries++
	heap.Push(&s.ledger.expiry, e)
}

// remove removes an entry, with its answer.
func (s *Session) remove(e *entry) {
	if e.state == Running {
		s.running--
	}
	delete(s.entries, e.number)
	s.ledger.entries--
	if e.answerKept {
		s.ledger.bytes -= len(e.answer)
	}
	heap.Remove(&s.ledger.expiry, e.heapIndex)
}

// expiryHeap is a heap of entries by expiry time.
type expiryHeap []*entry

// Len returns the number of entries, for container/heap.
func (h expiryHeap) Len() int { return len(h) }

// Less orders entries by expiry time, for container/heap.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }

// Swap swaps two entries and updates their indices, for container/heap.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

// Push appends an *entry and sets its index, for container/heap.
func (h *expiryHeap) Push(e any) {
	e.(*entry).heapIndex = len(*h)
	*h = append(*h, e.(*entry))
}

// Pop removes and returns the last *entry, for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
