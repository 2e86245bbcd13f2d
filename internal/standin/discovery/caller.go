package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"starlingvalve/internal/standin"
)

// Caller is the service as seen by the process of one name (and its successors), with the log of what the process
// counts as notified of.
type Caller struct {
	Process string
	Addr    string

	service *Service
	agent   bool
	server  *http.Server

	// Guarded by the lock of the service.
	moved            bool   // the process uses another address now: no notification is added here
	notifiedRevision uint64 // latest revision that the process counts as notified of
	log              []Notification
	answeredAt       time.Time // time of its latest answer; zero: none, or a call has come since
	answers          []Answer
	countsFrom       time.Time // of an agent: its revisions count as notified from then on
	silentWaitEnd    time.Time // when the wait of the watch ends that the service stopped answering; zero: no such watch
	unreachable      bool      // a call that was to begin a watch is never answered: the process can't reach the service
	reachableSince   time.Time // when unreachable ended; zero: it never was
}

// Notification is one entry of a revision that a process counts as notified of, from the time At on.
type Notification struct {
	Server   string
	State    string
	Revision uint64
	At       time.Time
	By       Way
}

// Way is why a process counts as notified.
type Way string

// The ways in which a process is notified.
const (
	ByStart     Way = "start"             // a process starts; the first such line, without a server, voids all earlier lines
	ByAnswer    Way = "answer"            // the service has written the answer
	ByContinued Way = "watch not resumed" // no further call came within ContinueWithin of an answer
	ByTime      Way = "time"              // FollowWithin has passed
	ByAgent     Way = "agent"             // the agent of the process's machine has it
)

// Answer is one line of the log of answers.
type Answer struct {
	Revision uint64
	Full     bool
	At       time.Time
}

// list is an answer in its JSON form.
type list struct {
	Version uint64          `json:"version"`
	Full    bool            `json:"full"`
	Servers []standin.Entry `json:"servers"`
}

// ProcessStarted records that a new process starts with the list of a revision. Earlier notifications, given to
// its predecessors, no longer apply.
func (c *Caller) ProcessStarted(revision uint64) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	c.updateLog()
	now := time.Now()
	c.notifiedRevision, c.countsFrom, c.answeredAt, c.silentWaitEnd = revision, now, time.Time{}, time.Time{}
	c.unreachable, c.reachableSince = false, time.Time{}
	c.log = append(c.log, Notification{Revision: revision, At: now, By: ByStart})
	for _, e := range s.fullList(revision) {
		if e.State != "ready" {
			c.log = append(c.log, Notification{Server: e.ID, State: e.State, Revision: revision, At: now, By: ByStart})
		}
	}
}

// ContinueFrom records that a process uses this address from now on, in place of before's. Notifications logged
// there still apply. Later changes count here, by an agent only after delay.
func (c *Caller) ContinueFrom(before *Caller, delay time.Duration) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	before.updateLog()
	before.moved = true
	c.notifiedRevision, c.countsFrom = before.notifiedRevision, time.Now().Add(delay)
}

// Answers returns the log of answers so far.
func (c *Caller) Answers() []Answer {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Notifications returns the notifications that count by now.
func (c *Caller) Notifications() []Notification {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.updateLog()
	return append([]Notification(nil), c.log...)
}

// updateLog adds the notifications that count by now. The lock is held.
func (c *Caller) updateLog() {
	if c.moved {
		return
	}
	if c.agent {
		c.notifyByAgent()
		return
	}
	now := time.Now()
	c.expireWatch(now)
	c.notifyByTime(now)
}

// serve answers a list request as registry clients send it: with "since" it is a watch, which waits up to
// "timeout_ms".
func (c *Caller) serve(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	wait, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err != nil {
		wait = 0
	}
	if c.agent {
		if !c.awaitRecovery(r.Context()) {
			return
		}
		c.serveAgent(w, r, watch, since, time.Duration(wait)*time.Millisecond)
		return
	}
	continued := c.beginCall(watch)
	if !continued && !c.service.waitForTurn(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if watch && !c.awaitChange(r.Context(), continued, since, min(time.Duration(wait)*time.Millisecond, maxWatch)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer, fault := c.makeAnswer(watch, continued, since)
	raw, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !fault.slowAnswers() {
		c.recordAnswer(answer, fault)
		writeAnswer(w, raw, fault)
		return
	}
	if writeSlowAnswer(r.Context(), w, raw, fault) {
		c.recordAnswer(answer, fault)
	}
}

// awaitRecovery waits for the end of an outage: an agent does not answer during one.
func (c *Caller) awaitRecovery(ctx context.Context) bool {
	s := c.service
	for {
		s.mu.Lock()
		changeSignal, down := s.changeSignal, s.fault.Down
		s.mu.Unlock()
		if !down {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changeSignal:
		}
	}
}

// serveAgent answers a call to an agent.
func (c *Caller) serveAgent(w http.ResponseWriter, r *http.Request, watch bool, since uint64, wait time.Duration) {
	if watch {
		timeout := time.NewTimer(min(wait, maxWatch))
		defer timeout.Stop()
		for waiting := true; waiting; {
			c.service.mu.Lock()
			changeSignal, newer, down := c.service.changeSignal, c.service.revision() > since, c.service.fault.Down
			c.service.mu.Unlock()
			if newer && !down {
				break
			}
			select {
			case <-r.Context().Done():
				return
			case <-timeout.C:
				waiting = false
			case <-changeSignal:
			}
		}
		if !c.awaitRecovery(r.Context()) {
			return
		}
	}
	c.service.mu.Lock()
	answer := c.listSince(watch, since, c.service.revision())
	c.answers = append(c.answers, Answer{Revision: answer.Version, Full: answer.Full, At: time.Now()})
	c.service.mu.Unlock()
	raw, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeAnswer(w, raw, Fault{})
}

// listSince returns the list of a revision: the whole list, or for a watch the changes after since. The lock is
// held.
func (c *Caller) listSince(watch bool, since, revision uint64) list {
	l := list{Version: revision, Full: !watch || since > revision, Servers: []standin.Entry{}}
	if l.Full {
		l.Servers = append(l.Servers, c.service.fullList(revision)...)
		return l
	}
	for _, change := range c.service.changes[since:revision] {
		l.Servers = append(l.Servers, change.Entries...)
	}
	return l
}

// notifyByAgent adds what the agent has by now, which counts from the first moment of a process on, also while the agent
// is silent. The lock is held.
func (c *Caller) notifyByAgent() {
	s := c.service
	revision := c.notifiedRevision
	for _, change := range s.changes[revision:] {
		if _, learned := s.learnedAt(change); !learned {
			break
		}
		revision = change.Revision
	}
	c.notify(revision, ByAgent, func(change Change) time.Time {
		at, _ := s.learnedAt(change)
		if c.countsFrom.After(at) {
			return c.countsFrom
		}
		return at
	})
}

// beginCall records a call. It reports whether the call continues a watch, which needs no turn in the service's
// queue.
func (c *Caller) beginCall(watch bool) (continued bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	c.updateLog()
	continued = watch && !c.answeredAt.IsZero() && !s.fault.Down
	c.answeredAt = time.Time{}
	return continued
}

// awaitChange waits up to wait for a revision after since. It reports whether there is an answer: there is none if
// the service goes down, or if it is silent.
func (c *Caller) awaitChange(ctx context.Context, continued bool, since uint64, wait time.Duration) bool {
	s := c.service
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		changeSignal, down, silent, newer := s.changeSignal, s.fault.Down, s.fault.Silent, s.revision() > since
		switch {
		case silent && !continued:
			c.unreachable = true
		case silent && c.silentWaitEnd.IsZero():
			c.silentWaitEnd = deadline
		}
		s.mu.Unlock()
		switch {
		case down:
			return false
		case silent:
			<-ctx.Done()
			return false
		case newer:
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return true
		case <-changeSignal:
		}
	}
}

// makeAnswer returns the answer to a call as things are now.
func (c *Caller) makeAnswer(watch, continued bool, since uint64) (l list, fault Fault) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision()
	if s.fault.Stale && !continued && revision > 1 {
		revision--
	}
	return c.listSince(watch, since, revision), s.fault
}

// recordAnswer adds an answer's changes to the log as notified now, unless the fault cuts the answer off.
func (c *Caller) recordAnswer(l list, fault Fault) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.answers = append(c.answers, Answer{Revision: l.Version, Full: l.Full, At: now})
	c.silentWaitEnd = time.Time{}
	if fault.Cut {
		return // an answer that is cut off does not arrive, and its call has failed: its changes count by time
	}
	if !c.moved {
		c.notify(l.Version, ByAnswer, func(Change) time.Time { return now })
	}
	c.answeredAt = now
}

// notify adds all changes up to a revision to the log, each at the time that at returns. The lock is held.
func (c *Caller) notify(revision uint64, by Way, at func(Change) time.Time) {
	for ; c.notifiedRevision < revision; c.notifiedRevision++ {
		change := c.service.changes[c.notifiedRevision]
		for _, e := range change.Entries {
			n := Notification{Server: e.ID, State: e.State, Revision: change.Revision, At: at(change), By: by}
			if e.State == "ready" && by == ByAgent {
				n.At = change.At // a ready server binds nobody to anything, and the process may follow at once
			}
			c.log = append(c.log, n)
		}
	}
}

// expireWatch ends a watch whose next call has not come within ContinueWithin: changes of that time count as
// notified. The lock is held.
func (c *Caller) expireWatch(now time.Time) {
	if c.answeredAt.IsZero() || now.Sub(c.answeredAt) <= ContinueWithin {
		return
	}
	end := c.answeredAt.Add(ContinueWithin)
	c.answeredAt = time.Time{}
	revision := c.notifiedRevision
	for _, change := range c.service.changes[c.notifiedRevision:] {
		if !change.At.After(end) {
			revision = change.Revision
		}
	}
	c.notify(revision, ByContinued, func(change Change) time.Time { return change.At })
}

// notifyByTime adds the changes that count because FollowWithin has passed. The lock is held.
func (c *Caller) notifyByTime(now time.Time) {
	s := c.service
	if s.reachableSince.IsZero() || c.unreachable {
		return
	}
	for _, change := range s.changes[c.notifiedRevision:] {
		at := c.countsAt(change)
		if now.Before(at) {
			return
		}
		c.notify(change.Revision, ByTime, func(Change) time.Time { return at })
	}
}

// countsAt returns when a change counts as notified, whatever became of the process's calls and however recently
// the process started. Only a time in which the service could not be reached postpones it. The lock is held.
func (c *Caller) countsAt(change Change) time.Time {
	at := change.At
	for _, from := range []time.Time{c.service.reachableSince, c.reachableSince} {
		if from.After(at) {
			at = from
		}
	}
	at = at.Add(FollowWithin)
	if silent := c.silentWaitEnd.Add(SilentSlack); !c.silentWaitEnd.IsZero() && silent.After(at) {
		at = silent
	}
	return at
}

// writeAnswer sends an answer: whole, in fragments, or cut off in the middle, as the fault says.
func writeAnswer(w http.ResponseWriter, raw []byte, fault Fault) {
	const piece, pause = 40, 2 * time.Millisecond
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	control := http.NewResponseController(w)
	switch {
	case fault.Cut:
		w.Write(raw[:len(raw)/2])
		control.Flush()
		panic(http.ErrAbortHandler)
	case fault.Fragmented:
		for len(raw) > 0 {
			n := min(piece, len(raw))
			w.Write(raw[:n])
			control.Flush()
			time.Sleep(pause)
			raw = raw[n:]
		}
	default:
		w.Write(raw)
	}
}

// writeSlowAnswer sends an answer slowly, as the fault says, and reports whether the process has waited for it.
func writeSlowAnswer(ctx context.Context, w http.ResponseWriter, raw []byte, fault Fault) bool {
	if !sleep(ctx, fault.AnswerDelay) {
		return false
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw[:len(raw)/2])
	http.NewResponseController(w).Flush()
	if !sleep(ctx, fault.BodyPause) {
		return false
	}
	_, err := w.Write(raw[len(raw)/2:])
	return err == nil
}
