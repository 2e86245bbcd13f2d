package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"starlingvalve/internal/standin"
)

// Caller is the service as the processes of one name see it, and the log of what they have been notified of.
type Caller struct {
	Process string
	Addr    string

	service *Service
	server  *http.Server

	// Under the lock of the service.
	notified  uint64 // the latest revision that the process counts as notified of
	log       []Notification
	answered  time.Time // its latest answer; zero: none, or a call has come since
	answers   []Answer
	startedAt time.Time // of the present process
	silentEnd time.Time // the wait of the watch that has fallen silent is over then
}

// Notification is one entry of a revision that a process counts as notified of.
type Notification struct {
	Server   string
	State    string
	Revision uint64
	At       time.Time
	By       Way
}

// Way is how a process came to count as notified.
type Way string

// The ways to be notified.
const (
	ByAnswer    Way = "answer"            // the service has written it
	ByContinued Way = "watch not resumed" // the change came within ContinueWithin of an answer, and no further call did
	ByTime      Way = "time"              // FollowWithin is over
)

// Answer is a line of the log of answers.
type Answer struct {
	Revision uint64
	Whole    bool
	At       time.Time
}

// list is an answer's form on the wire.
type list struct {
	Version uint64          `json:"version"`
	Full    bool            `json:"full"`
	Servers []standin.Entry `json:"servers"`
}

// Started tells that a new process begins, with the list of a revision. What earlier ones were notified of binds it no more.
func (c *Caller) Started(revision uint64) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	c.notified, c.startedAt, c.answered, c.silentEnd = revision, time.Now(), time.Time{}, time.Time{}
	c.log = append(c.log, Notification{Revision: revision, At: c.startedAt, By: "start"})
}

// Answers are those so far.
func (c *Caller) Answers() []Answer {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Notifications are those that count by now.
func (c *Caller) Notifications() []Notification {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.lapse(time.Now())
	c.byTime(time.Now())
	return append([]Notification(nil), c.log...)
}

func (c *Caller) serve(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	wait, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err != nil {
		wait = 0
	}
	continued := c.begin(watch)
	if !continued && !c.service.turn(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if watch && !c.await(r.Context(), since, min(time.Duration(wait)*time.Millisecond, watchMost)) {
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

// begin notes a call. It tells whether the call goes on with a watch, which needs no turn of its own.
func (c *Caller) begin(watch bool) (continued bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.lapse(now)
	c.byTime(now)
	continued = watch && !c.answered.IsZero() && !s.fault.Down
	c.answered = time.Time{}
	return continued
}

// await waits for news beyond a revision. It tells whether there is an answer: a watch ends when the service goes down.
func (c *Caller) await(ctx context.Context, since uint64, wait time.Duration) bool {
	s := c.service
	over := time.NewTimer(wait)
	defer over.Stop()
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		news, down, silent, newer := s.news, s.fault.Down, s.fault.Silent, s.revision() > since
		if silent && c.silentEnd.IsZero() {
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

// answer makes an answer and notes that the process is notified of it: it counts once it is written.
func (c *Caller) answer(watch, continued bool, since uint64) (l list, fault Fault) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision()
	if s.fault.Older && !continued && revision > 1 {
		revision--
	}
	l = list{Version: revision, Full: !watch || since > revision, Servers: []standin.Entry{}}
	if l.Full {
		l.Servers = append(l.Servers, s.whole(revision)...)
	} else {
		for _, change := range s.changes[since:revision] {
			l.Servers = append(l.Servers, change.Entries...)
		}
	}
	now := time.Now()
	c.answers = append(c.answers, Answer{Revision: revision, Whole: l.Full, At: now})
	c.silentEnd = time.Time{}
	if !s.fault.Cut { // what does not arrive counts by time
		c.notify(revision, ByAnswer, func(Change) time.Time { return now })
	}
	c.answered = now
	return l, s.fault
}

// notify notes the changes up to a revision. The lock is held.
func (c *Caller) notify(revision uint64, by Way, at func(Change) time.Time) {
	for ; c.notified < revision; c.notified++ {
		change := c.service.changes[c.notified]
		for _, e := range change.Entries {
			c.log = append(c.log, Notification{Server: e.ID, State: e.State, Revision: change.Revision, At: at(change), By: by})
		}
	}
}

// lapse ends a watch whose next call has not come in time: what changed meanwhile counts. The lock is held.
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

// byTime notes what counts because FollowWithin is over. The lock is held.
func (c *Caller) byTime(now time.Time) {
	s := c.service
	if s.reachable.IsZero() {
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

// countsBy is when a change counts whatever became of the calls. The lock is held.
func (c *Caller) countsBy(change Change) time.Time {
	at := change.At
	for _, from := range []time.Time{c.service.reachable, c.startedAt} {
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

// write sends an answer as the fault says.
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
