package decide_test

import (
	"testing"
	"time"

	"starlingvalve/decide"
)

// tightSettings have aims of two to four times what a request takes on an idle server, keys that a cell remembers for less
// than a second, and a slow start of 24 s.
func tightSettings() decide.Settings {
	s := rigSettings()
	s.MaxAttempts, s.MayOverlap = 6, true
	s.ColdFrom, s.ColdTime, s.OverloadFactor, s.OverloadTime = 0.12, 24*time.Second, 3, 2*time.Second
	s.Classes = []decide.Class{
		{Name: "change", Worth: 10, Aim: 400 * time.Millisecond, Deadline: time.Second, Effect: decide.Unsafe},
		{Name: "booking", Worth: 30, Aim: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Effect: decide.Keyed,
			KeyScope: decide.ScopeCell, DedupWindow: 800 * time.Millisecond}}
	return s
}

// tightHarness is a node with so many servers under tightSettings, after 5 s of moderate load.
func tightRig(t *testing.T, servers int) *rig {
	r := newRig(t, tightSettings(), servers)
	r.patience = 360 * time.Millisecond
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(5*time.Second, 25*float64(servers), "booking")
	return r
}

// answerAfter has every server answer after the given time.
func answerAfter(d time.Duration) func(decide.ServerID) (time.Duration, decide.OutcomeCode) {
	return func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return d, decide.OK }
}

// Guards against refusing everything for ever after a stall in which all servers were ejected. Once they answer again the
// node must serve again. When trial requests timed out after a third of the aim, which is less than a request takes here,
// none was ever answered.
func TestWholeFleetOfSuspectsReturns(t *testing.T) {
	r := tightRig(t, 8)
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Hour, decide.TimedOut }
	r.run(4*time.Second, 200, "booking")
	if r.accused < 8 {
		t.Fatalf("%d of 8 servers are ejected", r.accused)
	}
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(4*time.Second, 200, "booking")
	r.reset()
	r.run(5*time.Second, 200, "booking")
	if r.refused+r.failed > 50 {
		t.Errorf("%d refused, %d failed of 1000 once the fleet answers again", r.refused, r.failed)
	}
}

// A server that answered all the time, if only with errors, has not restarted: it gets no slow start when it recovers.
func TestFailerReturnsWarm(t *testing.T) {
	r := tightRig(t, 4)
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			return 5 * time.Millisecond, decide.ServerError
		}
		return 75 * time.Millisecond, decide.OK
	}
	r.run(6*time.Second, 60, "booking")
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(8*time.Second, 60, "booking") // by then it has had a trial request
	r.reset()
	r.run(5*time.Second, 60, "booking")
	if r.sent[2] < 50 {
		t.Errorf("%d of 300 sends went to the server that has recovered; want about 75", r.sent[2])
	}
}

// A server that took no connections may have restarted, and gets slow start when it recovers.
func TestBrokenServerReturnsCold(t *testing.T) {
	r := tightRig(t, 4)
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			return 5 * time.Millisecond, decide.ConnectFailed
		}
		return 75 * time.Millisecond, decide.OK
	}
	r.run(6*time.Second, 60, "booking")
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(8*time.Second, 60, "booking")
	r.reset()
	r.run(3*time.Second, 60, "booking")
	if r.sent[2] == 0 || r.sent[2] > 30 {
		t.Errorf("%d of 180 sends went to the server that may be cold; want some, and fewer than its share of 45", r.sent[2])
	}
}

// Guards against hardly using a fleet whose servers have all restarted. The budget of a cold server is a part of what warm
// servers did before: none is warm now, and what the cold ones do is no measure.
func TestFleetThatStartsAnewIsUsed(t *testing.T) {
	r := tightRig(t, 8)
	var anew []decide.Server
	for id := decide.ServerID(1); id <= 8; id++ {
		anew = append(anew, decide.Server{ID: id, Zone: "z", StartedAt: r.now - 12*time.Second})
	}
	r.feed(decide.ListUpdate{Kind: decide.ListChanges, Entries: anew})
	r.run(2*time.Second, 200, "booking")
	r.reset()
	r.run(4*time.Second, 200, "booking")
	if sent := r.total(); sent < 200 || sent > 700 {
		t.Errorf("%d of 800 requests were sent to servers that can do 0.6 to 0.8 of what they did", sent)
	}
}

// Guards against limits that stay too high when the subset grows. A node that has just started uses a few servers, and gets
// many answers from each. Later it uses all servers, and gets few from each. The peak rate of the few is then no measure of
// the requests that a server may hold.
func TestLimitsFollowTheSubset(t *testing.T) {
	s := tightSettings()
	s.Nodes = 11
	r := newRig(t, s, 50)
	r.patience = 360 * time.Millisecond
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(6*time.Second, 150, "booking")
	r.delay = answerAfter(time.Hour)
	r.reset()
	r.run(150*time.Millisecond, 3000, "booking") // too short to see that no answer comes
	if sent := r.total(); sent < 10 || sent > 100 {
		t.Errorf("%d requests went to 50 servers that hold 11 of this node at light load", sent)
	}
}

// Half of the servers reset most of their requests for a while. Once they have recovered they are used again soon, and
// without slow start: they took connections all the time, so that they have not restarted.
func TestResettersReturnSoon(t *testing.T) {
	r := tightRig(t, 8)
	n := 0
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if n++; id <= 4 && n%5 != 0 {
			return 20 * time.Millisecond, decide.Reset
		}
		return 75 * time.Millisecond, decide.OK
	}
	r.run(10*time.Second, 120, "booking")
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(4*time.Second, 120, "booking")
	r.reset()
	r.run(5*time.Second, 120, "booking")
	if sent := r.sent[1] + r.sent[2] + r.sent[3] + r.sent[4]; sent < 200 {
		t.Errorf("%d of 600 sends went to the half of the servers that has recovered", sent)
	}
}

// Some eight requests that a full server rejects at the same moment count as one full answer. The server is used again soon
// after, and not after a block that has doubled eight times.
func TestBurstOfFullAnswersIsOne(t *testing.T) {
	r := tightRig(t, 4)
	full := r.now + 100*time.Millisecond
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 && r.now < full {
			return full - r.now, decide.Full
		}
		return 75 * time.Millisecond, decide.OK
	}
	r.run(100*time.Millisecond, 400, "booking")
	if r.sent[2] < 4 {
		t.Fatalf("%d requests in flight at the server", r.sent[2])
	}
	r.run(2*time.Second, 80, "booking")
	r.reset()
	r.run(3*time.Second, 80, "booking")
	if r.sent[2] < 30 {
		t.Errorf("%d of 240 sends went to a server that was full for a moment, 2 s before", r.sent[2])
	}
}

// A full answer blocks a server for no longer than a few times what a request takes, here 30 ms, as a place in its queue is
// free again by then. So a server that rejects one request in four still gets requests.
func TestFullAnswersCountByTheTimeOfRequests(t *testing.T) {
	r := tightRig(t, 4)
	r.delay = answerAfter(30 * time.Millisecond)
	r.run(3*time.Second, 120, "booking")
	n := 0
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			if n++; n%4 == 0 {
				return 10 * time.Millisecond, decide.Full
			}
		}
		return 30 * time.Millisecond, decide.OK
	}
	r.reset()
	r.run(10*time.Second, 120, "booking")
	if r.sent[2] < 90 {
		t.Errorf("%d of 1200 sends went to a server that can take three in four", r.sent[2])
	}
}
