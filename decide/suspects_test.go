package decide_test

import (
	"testing"
	"time"

	"starlingvalve/decide"
)

// tightSettings have aims of two to four times what a request takes on an idle server, keys that a cell remembers for less
// than a second, and servers that take long to be warm.
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

func tightRig(t *testing.T, servers int) *rig {
	r := newRig(t, tightSettings(), servers)
	r.patience = 360 * time.Millisecond
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(5*time.Second, 25*float64(servers), "booking")
	return r
}

func answerAfter(d time.Duration) func(decide.ServerID) (time.Duration, decide.OutcomeCode) {
	return func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return d, decide.OK }
}

// During one stall the whole fleet is taken for silent. Once it answers again, so does the node. With trials that were
// given a third of the aim, which is less than a request takes, none was ever answered, and all was refused for good.
func TestWholeFleetOfSuspectsReturns(t *testing.T) {
	r := tightRig(t, 8)
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Hour, decide.TimedOut }
	r.run(4*time.Second, 200, "booking")
	if r.accused < 8 {
		t.Fatalf("%d of 8 servers are suspects", r.accused)
	}
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(4*time.Second, 200, "booking")
	r.reset()
	r.run(5*time.Second, 200, "booking")
	if r.refused+r.failed > 50 {
		t.Errorf("%d refused, %d failed of 1000 once the fleet answers again", r.refused, r.failed)
	}
}

// A server that answered all the time, if only with failures, has not been started anew: it is as warm as before.
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
	r.run(8*time.Second, 60, "booking") // by then its turn has come
	r.reset()
	r.run(5*time.Second, 60, "booking")
	if r.sent[2] < 50 {
		t.Errorf("%d of 300 sends went to the server that fails no more; want about 75", r.sent[2])
	}
}

// One whose connections came down has perhaps been started anew, and is taken as cold.
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

// Where every server is cold, or taken as such, what each can do by now is a part of what it did before, not of what the
// others do now.
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

// A node that has just started uses a few servers, and each of those answers it often; then all of them, and each answers
// it seldom. What the few were answered at their most is no measure of what each of all may hold.
func TestLimitsFollowTheSubset(t *testing.T) {
	s := tightSettings()
	s.Nodes = 11
	r := newRig(t, s, 50)
	r.patience = 360 * time.Millisecond
	r.delay = answerAfter(75 * time.Millisecond)
	r.run(6*time.Second, 150, "booking")
	r.delay = answerAfter(time.Hour)
	r.reset()
	r.run(150*time.Millisecond, 3000, "booking") // before anything can tell that no answer comes
	if sent := r.total(); sent < 10 || sent > 100 {
		t.Errorf("%d requests went to 50 servers that hold 11 for this node when uncrowded", sent)
	}
}

// Servers that break off half of what they take, for a while, are tried again soon once they do so no more, and are not
// taken for new processes: they took connections all the time.
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
		t.Errorf("%d of 600 sends went to the half of the servers that breaks off no more", sent)
	}
}

// Eight requests that are turned away at one moment are one piece of news: the server is back in use soon after, and not after
// a wait that has doubled eight times.
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
		t.Fatalf("%d were out at the server", r.sent[2])
	}
	r.run(2*time.Second, 80, "booking")
	r.reset()
	r.run(3*time.Second, 80, "booking")
	if r.sent[2] < 30 {
		t.Errorf("%d of 240 sends went to a server that was full for a moment, 2 s before", r.sent[2])
	}
}

// Where a request takes 30 ms, a place that was taken is free again long before a second is over: a server that turns one in
// four away is used for the rest.
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
