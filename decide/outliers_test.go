package decide_test

import (
	"testing"
	"time"

	"starlingvalve/decide"
)

// tightSettings have aims of two to four times what a request takes on an idle server, keys that a cell remembers for
// less than a second, and a slow start of 24 s.
func tightSettings() decide.Settings {
	s := harnessSettings()
	s.MaxAttempts, s.MayOverlap = 6, true
	s.ColdFrom, s.ColdTime, s.OverloadFactor, s.OverloadTime = 0.12, 24*time.Second, 3, 2*time.Second
	s.Classes = []decide.Class{
		{Name: "change", Worth: 10, Aim: 400 * time.Millisecond, Deadline: time.Second, Effect: decide.Unsafe},
		{Name: "booking", Worth: 30, Aim: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Effect: decide.Keyed,
			KeyScope: decide.ScopeCell, DedupWindow: 800 * time.Millisecond}}
	return s
}

// tightHarness is a node with so many servers under tightSettings, after 5 s of moderate load.
func tightHarness(t *testing.T, servers int) *nodeHarness {
	harness := newNodeHarness(t, tightSettings(), servers)
	harness.patience = 360 * time.Millisecond
	harness.outcomeOf = answerAfter(75 * time.Millisecond)
	harness.run(5*time.Second, 25*float64(servers), "booking")
	return harness
}

// answerAfter has every server answer after the given time.
func answerAfter(d time.Duration) func(decide.ServerID) (time.Duration, decide.OutcomeCode) {
	return func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return d, decide.OK }
}

// Guards against refusing everything for ever after a stall in which all servers were ejected. Once they answer again
// the node must serve again. When trial requests timed out after a third of the aim, which is less than a request takes
// here, none was ever answered.
func TestWholeFleetOfOutliersReturns(t *testing.T) {
	harness := tightHarness(t, 8)
	harness.outcomeOf = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return time.Hour, decide.TimedOut }
	harness.run(4*time.Second, 200, "booking")
	if harness.logLines < 8 {
		t.Fatalf("%d of 8 servers are ejected", harness.logLines)
	}
	harness.outcomeOf = answerAfter(75 * time.Millisecond)
	harness.run(4*time.Second, 200, "booking")
	harness.resetCounts()
	harness.run(5*time.Second, 200, "booking")
	if harness.refused+harness.failed > 50 {
		t.Errorf("%d refused, %d failed of 1000 once the fleet answers again", harness.refused, harness.failed)
	}
}

// A server that answered all the time, if only with errors, has not restarted: it gets no slow start when it recovers.
func TestFailerReturnsWarm(t *testing.T) {
	harness := tightHarness(t, 4)
	harness.outcomeOf = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			return 5 * time.Millisecond, decide.ServerError
		}
		return 75 * time.Millisecond, decide.OK
	}
	harness.run(6*time.Second, 60, "booking")
	harness.outcomeOf = answerAfter(75 * time.Millisecond)
	harness.run(8*time.Second, 60, "booking") // by then it has had a trial request
	harness.resetCounts()
	harness.run(5*time.Second, 60, "booking")
	if harness.sent[2] < 50 {
		t.Errorf("%d of 300 sends went to the server that has recovered; want about 75", harness.sent[2])
	}
}

// A server that took no connections may have restarted, and gets slow start when it recovers.
func TestBrokenServerReturnsCold(t *testing.T) {
	harness := tightHarness(t, 4)
	harness.outcomeOf = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			return 5 * time.Millisecond, decide.ConnectFailed
		}
		return 75 * time.Millisecond, decide.OK
	}
	harness.run(6*time.Second, 60, "booking")
	harness.outcomeOf = answerAfter(75 * time.Millisecond)
	harness.run(8*time.Second, 60, "booking")
	harness.resetCounts()
	harness.run(3*time.Second, 60, "booking")
	if harness.sent[2] == 0 || harness.sent[2] > 30 {
		t.Errorf("%d of 180 sends went to the server that may be cold; want some, and fewer than its share of 45",
			harness.sent[2])
	}
}

// Guards against hardly using a fleet whose servers have all restarted. The budget of a cold server is a part of what
// warm servers did before: none is warm now, and what the cold ones do is no measure.
func TestFleetThatStartsAnewIsUsed(t *testing.T) {
	harness := tightHarness(t, 8)
	var restarted []decide.Server
	for id := decide.ServerID(1); id <= 8; id++ {
		restarted = append(restarted, decide.Server{ID: id, Zone: "z", StartedAt: harness.now - 12*time.Second})
	}
	harness.handle(decide.ListUpdate{Kind: decide.ListChanges, Entries: restarted})
	harness.run(2*time.Second, 200, "booking")
	harness.resetCounts()
	harness.run(4*time.Second, 200, "booking")
	if sent := harness.totalSent(); sent < 200 || sent > 700 {
		t.Errorf("%d of 800 requests were sent to servers that can do 0.6 to 0.8 of what they did", sent)
	}
}

// Guards against limits that stay too high when the subset grows. A node that has just started uses a few servers, and
// gets many answers from each. Later it uses all servers, and gets few from each. The peak rate of the few is then no
// measure of the requests that a server may hold.
func TestLimitsFollowTheSubset(t *testing.T) {
	settings := tightSettings()
	settings.Nodes = 11
	harness := newNodeHarness(t, settings, 50)
	harness.patience = 360 * time.Millisecond
	harness.outcomeOf = answerAfter(75 * time.Millisecond)
	harness.run(6*time.Second, 150, "booking")
	harness.outcomeOf = answerAfter(time.Hour)
	harness.resetCounts()
	harness.run(150*time.Millisecond, 3000, "booking") // too short to see that no answer comes
	if sent := harness.totalSent(); sent < 10 || sent > 100 {
		t.Errorf("%d requests went to 50 servers that hold 11 of this node at light load", sent)
	}
}

// Half of the servers reset most of their requests for a while. Once they have recovered they are used again soon, and
// without slow start: they took connections all the time, so that they have not restarted.
func TestResettersReturnSoon(t *testing.T) {
	harness := tightHarness(t, 8)
	n := 0
	harness.outcomeOf = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if n++; id <= 4 && n%5 != 0 {
			return 20 * time.Millisecond, decide.Reset
		}
		return 75 * time.Millisecond, decide.OK
	}
	harness.run(10*time.Second, 120, "booking")
	harness.outcomeOf = answerAfter(75 * time.Millisecond)
	harness.run(4*time.Second, 120, "booking")
	harness.resetCounts()
	harness.run(5*time.Second, 120, "booking")
	if sent := harness.sent[1] + harness.sent[2] + harness.sent[3] + harness.sent[4]; sent < 200 {
		t.Errorf("%d of 600 sends went to the half of the servers that has recovered", sent)
	}
}

// Some eight requests that a full server rejects at the same moment count as one full answer. The server is used again
// soon after, and not after a block that has doubled eight times.
func TestBurstOfFullAnswersIsOne(t *testing.T) {
	harness := tightHarness(t, 4)
	full := harness.now + 100*time.Millisecond
	harness.outcomeOf = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 && harness.now < full {
			return full - harness.now, decide.Full
		}
		return 75 * time.Millisecond, decide.OK
	}
	harness.run(100*time.Millisecond, 400, "booking")
	if harness.sent[2] < 4 {
		t.Fatalf("%d requests in flight at the server", harness.sent[2])
	}
	harness.run(2*time.Second, 80, "booking")
	harness.resetCounts()
	harness.run(3*time.Second, 80, "booking")
	if harness.sent[2] < 30 {
		t.Errorf("%d of 240 sends went to a server that was full for a moment, 2 s before", harness.sent[2])
	}
}

// A full answer blocks a server for no longer than a few times what a request takes, here 30 ms, as a place in its
// queue is free again by then. So a server that rejects one request in four still gets requests.
func TestFullAnswersCountByTheTimeOfRequests(t *testing.T) {
	harness := tightHarness(t, 4)
	harness.outcomeOf = answerAfter(30 * time.Millisecond)
	harness.run(3*time.Second, 120, "booking")
	n := 0
	harness.outcomeOf = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id == 2 {
			if n++; n%4 == 0 {
				return 10 * time.Millisecond, decide.Full
			}
		}
		return 30 * time.Millisecond, decide.OK
	}
	harness.resetCounts()
	harness.run(10*time.Second, 120, "booking")
	if harness.sent[2] < 90 {
		t.Errorf("%d of 1200 sends went to a server that can take three in four", harness.sent[2])
	}
}
