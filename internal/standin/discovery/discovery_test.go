package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"starlingvalve/internal/standin"
)

func entry(state string) standin.Entry {
	return standin.Entry{ID: "s-00000001", Addr: "127.0.0.1:9", State: state}
}

func service(t *testing.T) *Service {
	t.Helper()
	s := New(time.Millisecond, entry("ready"))
	t.Cleanup(s.Close)
	return s
}

func caller(t *testing.T, open func(string) (*Caller, error)) *Caller {
	t.Helper()
	c, err := open("n0")
	if err != nil {
		t.Fatal(err)
	}
	c.ProcessStarted(1)
	return c
}

func requestList(t *testing.T, c *Caller, query string) (status int, l list) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + c.Addr + "/registry/instances" + query)
	if err != nil {
		return 0, list{}
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return resp.StatusCode, list{}
	}
	return resp.StatusCode, l
}

// draining returns the notification of the drain, if the process counts as notified of it.
func draining(c *Caller) (n Notification, ok bool) {
	for _, n := range c.Notifications() {
		if n.State == "draining" {
			return n, true
		}
	}
	return n, false
}

// Guards against a log that counts a change as notified too early, too late or not at all. A change counts when an
// answer contains it; when it came within ContinueWithin of an answer and no further call did; after FollowWithin;
// and once the agent has it.
func TestWhenAChangeCounts(t *testing.T) {
	t.Parallel()
	t.Run("answer", func(t *testing.T) {
		t.Parallel()
		s := service(t)
		c := caller(t, s.Listen)
		change := s.Set(entry("draining"))
		if _, notified := draining(c); notified {
			t.Error("the change counts before any answer")
		}
		if _, l := requestList(t, c, "?since=1&timeout_ms=1"); l.Version != 2 || len(l.Servers) != 1 {
			t.Errorf("%+v", l)
		}
		if n, ok := draining(c); !ok || n.By != ByAnswer || n.At.Before(change.At) {
			t.Errorf("%+v %v", n, ok)
		}
	})
	t.Run("watch not resumed", func(t *testing.T) {
		t.Parallel()
		s := service(t)
		c := caller(t, s.Listen)
		requestList(t, c, "?since=1&timeout_ms=1")
		change := s.Set(entry("draining"))
		for end := time.Now().Add(FollowWithin / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n, ok := draining(c); ok {
				if n.By != ByContinued || !n.At.Equal(change.At) {
					t.Errorf("%+v", n)
				}
				return
			}
		}
		t.Error("the change does not count")
	})
	t.Run("time", func(t *testing.T) {
		t.Parallel()
		s := service(t)
		c := caller(t, s.Listen)
		change := s.Set(entry("draining"))
		s.mu.Lock()
		c.notifyByTime(change.At.Add(FollowWithin - 1))
		early := len(c.log)
		c.notifyByTime(change.At.Add(FollowWithin))
		late := len(c.log)
		s.mu.Unlock()
		if late != early+1 {
			t.Errorf("%d log lines before FollowWithin has passed and %d after, want one more", early, late)
		}
	})
	t.Run("agent", func(t *testing.T) {
		t.Parallel()
		s := service(t)
		c := caller(t, s.Agent)
		s.SetFault(Fault{Down: true})
		s.Set(entry("draining"))
		if _, notified := draining(c); notified {
			t.Error("the change counts during the outage")
		}
		back := time.Now()
		s.SetFault(Fault{})
		if n, ok := draining(c); !ok || n.By != ByAgent || n.At.Before(back) {
			t.Errorf("%+v %v", n, ok)
		}
	})
	t.Run("agent, process starts in an outage", func(t *testing.T) {
		t.Parallel()
		s := service(t)
		c := caller(t, s.Agent)
		s.Set(entry("draining"))
		s.SetFault(Fault{Down: true})
		started := time.Now()
		c.ProcessStarted(1)
		ended := time.Now()
		s.Set(entry("gone"))
		s.SetFault(Fault{})
		var n Notification // the latest: a process's start voids the earlier lines
		for _, line := range c.Notifications() {
			if line.State == "draining" {
				n = line
			}
		}
		if n.By != ByAgent || n.At.Before(started) || n.At.After(ended) {
			t.Errorf("%+v, want the time of the start, %v to %v", n, started, ended)
		}
	})
	t.Run("agent, another address in an outage", func(t *testing.T) {
		t.Parallel()
		const delay = 50 * time.Millisecond
		s := service(t)
		c, next := caller(t, s.Agent), caller(t, s.Agent)
		s.Set(entry("draining"))
		s.SetFault(Fault{Down: true})
		next.ContinueFrom(c, delay)
		if n, ok := draining(c); !ok || n.By != ByAgent {
			t.Errorf("%+v %v, want what the first agent had", n, ok)
		}
	})
}

// Guards against a fault that callers don't notice: rigs would then test nothing.
func TestFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault   Fault
		status  int
		version uint64
	}{
		"none":   {Fault{}, 200, 2},
		"down":   {Fault{Down: true}, 503, 0},
		"pieces": {Fault{Fragmented: true}, 200, 2},
		"cut":    {Fault{Cut: true}, 200, 0},
		"older":  {Fault{Stale: true}, 200, 1},
	} {
		t.Run(fmt.Sprint(name), func(t *testing.T) {
			t.Parallel()
			s := service(t)
			s.Set(entry("draining"))
			s.SetFault(c.fault)
			status, l := requestList(t, caller(t, s.Listen), "")
			if status != c.status || l.Version != c.version {
				t.Errorf("status %d, version %d, want %d and %d", status, l.Version, c.status, c.version)
			}
		})
	}
}

// Guards against a queue without a limit: a call that would wait longer than QueueLimit for its turn must end with
// a 503 after that time.
func TestCallsWaitForTheirTurn(t *testing.T) {
	t.Parallel()
	s := New(3*time.Second, entry("ready"))
	t.Cleanup(s.Close)
	c := caller(t, s.Listen)
	began := time.Now()
	go requestList(t, c, "")
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		busy := !s.queueFreeAt.IsZero()
		s.mu.Unlock()
		if busy {
			break
		}
	}
	if status, _ := requestList(t, c, ""); status != http.StatusServiceUnavailable || time.Since(began) < QueueLimit {
		t.Errorf("status %d after %v", status, time.Since(began))
	}
}

// Guards against a log that binds a process which can't reach the service: after a silent service swallowed the
// call that was to begin a watch, FollowWithin begins with the end of the silence.
func TestSilencedCallCountsFromTheEndOfSilence(t *testing.T) {
	t.Parallel()
	s := service(t)
	c := caller(t, s.Listen)
	s.SetFault(Fault{Silent: true})
	change := s.Set(entry("draining"))
	requested := make(chan struct{})
	go func() { defer close(requested); requestList(t, c, "?since=1&timeout_ms=1") }()
	for unheard := false; !unheard; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		unheard = c.unreachable
		s.mu.Unlock()
	}
	s.mu.Lock()
	c.notifyByTime(change.At.Add(time.Hour))
	s.mu.Unlock()
	if _, notified := draining(c); notified {
		t.Error("the change counts while the service is silent")
	}
	s.SetFault(Fault{})
	s.mu.Lock()
	at := c.countsAt(change)
	s.mu.Unlock()
	if want := c.reachableSince.Add(FollowWithin); !at.Equal(want) {
		t.Errorf("the change counts at %v, want %v", at, want)
	}
	s.Close()
	<-requested
}

// A slow answer holds what was so when it was determined, and counts as received at its end. A process that gives up its
// call has not received it.
func TestSlowAnswers(t *testing.T) {
	t.Parallel()
	s := service(t)
	c := caller(t, s.Listen)
	s.SetFault(Fault{AnswerDelay: 100 * time.Millisecond, BodyPause: time.Second})
	begin := func() *http.Response {
		resp, err := http.Get("http://" + c.Addr + "/registry/instances?since=1&timeout_ms=1")
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	resp := begin()
	s.Set(entry("draining"))
	var l list
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil || l.Version != 1 {
		t.Errorf("version %d, %v; want version 1, as the change came after the answer was determined", l.Version, err)
	}
	resp.Body.Close()
	if n, ok := draining(c); ok {
		t.Errorf("the process counts as notified of a change that its answer did not hold: %+v", n)
	}
	begin().Body.Close() // gives up in the middle
	before := time.Now()
	if _, l := requestList(t, c, "?since=1&timeout_ms=1"); l.Version != 2 {
		t.Errorf("version %d, want 2", l.Version)
	}
	if n, ok := draining(c); !ok || n.By != ByAnswer || n.At.Sub(before) < time.Second {
		t.Errorf("notified %+v, %v; want at the end of the answer", n, ok)
	}
	if answers := c.Answers(); len(answers) != 2 {
		t.Errorf("%d answers are logged, want the two that were received", len(answers))
	}
}
