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
	left      bool // the process uses another address now: no notification is added here
	notified  uint64 // latest revision that the process counts as notified of
	log       []Notification
	answered  time.Time // time of its latest answer; zero: none, or a call has come since
	answers   []Answer
	boundFrom time.Time // of an agent: its revisions count as notified from then on
	silentEnd time.Time // when the wait of the watch ends that the service stopped answering; zero: no such watch
	unheard   bool // a call that was to begin a watch is never answered: the process can't reach the service
	reachable time.Time // when unreachable ended; zero: it never was
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
	ByStart     Way = "start" // a process starts; the first such line, without a server, voids all earlier lines
	ByAnswer    Way = "answer" // the service has written the answer
	ByContinued Way = "watch not resumed" // no further call came within ContinueWithin of an answer
	ByTime      Way = "time" // FollowWithin has passed
	ByAgent     Way = "agent" // the agent of the process's machine has it
)

// Answer is one line of the log of answers.
type Answer struct {
	Revision uint64
	Whole    bool
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
func (c *Caller) Started(revision uint64) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	c.count()
	now := time.Now()
	c.notified, c.boundFrom, c.answered, c.silentEnd = revision, now, time.Time{}, time.Time{}
	c.unheard, c.reachable = false, time.Time{}
	c.log = append(c.log, Notification{Revision: revision, At: now, By: ByStart})
	for _, e := range s.whole(revision) {
		if e.State != "ready" {
			c.log = append(c.log, Notification{Server: e.ID, State: e.State, Revision: revision, At: now, By: ByStart})
		}
	}
}

// ContinueFrom records that a process uses this address from now on, in place of before's. Notifications logged
// there still apply. Later changes count here, by an agent only after delay.
func (c *Caller) Follow(before *Caller, delay time.Duration) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	before.count()
	before.left = true
	c.notified, c.boundFrom = before.notified, time.Now().Add(delay)
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
	c.count()
	return append([]Notification(nil), c.log...)
}

// updateLog adds the notifications that count by now. The lock is held.
func (c *Caller) count() {
	if c.left {
		return
	}
	if c.agent {
		c.byAgent()
		return
	}
	now := time.Now()
	c.lapse(now)
	c.byTime(now)
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
		if !c.awaitBack(r.Context()) {
			return
		}
		c.serveList(w, r, watch, since, time.Duration(wait)*time.Millisecond)
		return
	}
	continued := c.begin(watch)
	if !continued && !c.service.turn(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if watch && !c.await(r.Context(), continued, since, min(time.Duration(wait)*time.Millisecond, watchMost)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l, fault := c.answer(watch, continued, since)
	raw, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	write(w, raw, fault)
}

// awaitRecovery waits for the end of an outage: an agent does not answer during one.
func (c *Caller) awaitBack(ctx context.Context) bool {
	s := c.service
	for {
		s.mu.Lock()
		news, down := s.news, s.fault.Down
		s.mu.Unlock()
		if !down {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-news:
		}
	}
}

// serveAgent answers a call to an agent.
func (c *Caller) serveList(w http.ResponseWriter, r *http.Request, watch bool, since uint64, wait time.Duration) {
	if watch {
		over := time.NewTimer(min(wait, watchMost))
		defer over.Stop()
		for waiting := true; waiting; {
			c.service.mu.Lock()
			news, newer, down := c.service.news, c.service.revision() > since, c.service.fault.Down
			c.service.mu.Unlock()
			if newer && !down {
				break
			}
			select {
			case <-r.Context().Done():
				return
			case <-over.C:
				waiting = false
			case <-news:
			}
		}
		if !c.awaitBack(r.Context()) {
			return
		}
	}
	c.service.mu.Lock()
	l := c.listSince(watch, since, c.service.revision())
	c.answers = append(c.answers, Answer{Revision: l.Version, Whole: l.Full, At: time.Now()})
	c.service.mu.Unlock()
	raw, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	write(w, raw, Fault{})
}

// listSince returns the list of a revision: the whole list, or for a watch the changes after since. The lock is
// held.
func (c *Caller) listSince(watch bool, since, revision uint64) list {
	l := list{Version: revision, Full: !watch || since > revision, Servers: []standin.Entry{}}
	if l.Full {
		l.Servers = append(l.Servers, c.service.whole(revision)...)
		return l
	}
	for _, change := range c.service.changes[since:revision] {
		l.Servers = append(l.Servers, change.Entries...)
	}
	return l
}

// notifyByAgent adds what the agent has by now. The lock is held.
func (c *Caller) byAgent() {
	s := c.service
	if s.fault.Down {
		return
	}
	c.notify(s.revision(), ByAgent, func(change Change) time.Time {
		at := change.At
		if c.boundFrom.After(at) {
			at = c.boundFrom
		}
		for _, o := range s.outages {
			if !at.Before(o.from) && at.Before(o.to) {
				at = o.to
			}
		}
		return at
	})
}

// beginCall records a call. It reports whether the call continues a watch, which needs no turn in the service's
// queue.
func (c *Caller) begin(watch bool) (continued bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	c.count()
	continued = watch && !c.answered.IsZero() && !s.fault.Down
	c.answered = time.Time{}
	return continued
}

// awaitChange waits up to wait for a revision after since. It reports whether there is an answer: there is none if
// the service goes down, or if it is silent.
func (c *Caller) await(ctx context.Context, continued bool, since uint64, wait time.Duration) bool {
	s := c.service
	over := time.NewTimer(wait)
	defer over.Stop()
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		news, down, silent, newer := s.news, s.fault.Down, s.fault.Silent, s.revision() > since
		switch {
		case silent && !continued:
			c.unheard = true
		case silent && c.silentEnd.IsZero():
			c.silentEnd = deadline
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
		case <-over.C:
			return true
		case <-news:
		}
	}
}

// makeAnswer returns the answer to a call, and adds its changes to the log as notified now, unless the fault cuts
// the answer off.
func (c *Caller) answer(watch, continued bool, since uint64) (l list, fault Fault) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision()
	if s.fault.Older && !continued && revision > 1 {
		revision--
	}
	l = c.listSince(watch, since, revision)
	now := time.Now()
	c.answers = append(c.answers, Answer{Revision: revision, Whole: l.Full, At: now})
	c.silentEnd = time.Time{}
	if !s.fault.Cut && !c.left { // an answer that is cut off does not arrive: its changes count by time
		c.notify(revision, ByAnswer, func(Change) time.Time { return now })
	}
	if !s.fault.Cut { // a call whose answer is cut off has failed
		c.answered = now
	}
	return l, s.fault
}

// notify adds all changes up to a revision to the log, each at the time that at returns. The lock is held.
func (c *Caller) notify(revision uint64, by Way, at func(Change) time.Time) {
	for ; c.notified < revision; c.notified++ {
		change := c.service.changes[c.notified]
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
func (c *Caller) lapse(now time.Time) {
	if c.answered.IsZero() || now.Sub(c.answered) <= ContinueWithin {
		return
	}
	end := c.answered.Add(ContinueWithin)
	c.answered = time.Time{}
	revision := c.notified
	for _, change := range c.service.changes[c.notified:] {
		if !change.At.After(end) {
			revision = change.Revision
		}
	}
	c.notify(revision, ByContinued, func(change Change) time.Time { return change.At })
}

// notifyByTime adds the changes that count because FollowWithin has passed. The lock is held.
func (c *Caller) byTime(now time.Time) {
	s := c.service
	if s.reachable.IsZero() || c.unheard {
		return
	}
	for _, change := range s.changes[c.notified:] {
		at := c.countsBy(change)
		if now.Before(at) {
			return
		}
		c.notify(change.Revision, ByTime, func(Change) time.Time { return at })
	}
}

// countsAt returns when a change counts as notified, whatever became of the process's calls and however recently
// the process started. Only a time in which the service could not be reached postpones it. The lock is held.
func (c *Caller) countsBy(change Change) time.Time {
	at := change.At
	for _, from := range []time.Time{c.service.reachable, c.reachable} {
		if from.After(at) {
			at = from
		}
	}
	at = at.Add(FollowWithin)
	if silent := c.silentEnd.Add(SilentSlack); !c.silentEnd.IsZero() && silent.After(at) {
		at = silent
	}
	return at
}

// writeAnswer sends an answer: whole, in fragments, or cut off in the middle, as the fault says.
func write(w http.ResponseWriter, raw []byte, fault Fault) {
	const piece, pause = 40, 2 * time.Millisecond
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	control := http.NewResponseController(w)
	switch {
	case fault.Cut:
		w.Write(raw[:len(raw)/2])
		control.Flush()
		panic(http.ErrAbortHandler)
	case fault.Pieces:
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
