package decide

import (
	"testing"
	"time"
)

// watchedModule returns a module of a fleet of a size, whose watch has been answered at answerAt with a list that
// discovery had confirmed age before.
func watchedModule(t *testing.T, nodes int, answerAt Time, age time.Duration) *Module {
	settings := fleetSettings(0)
	settings.Nodes, settings.ListOnRequest, settings.MayMessage, settings.NotifiedWithin = nodes, true, false, notifyBound
	module := New(settings, 1)
	module.Handle(time.Second, ListUpdate{Kind: ListCached, Entries: readyServers()})
	for now := time.Second; !module.listRequested; now += listWorldStep {
		if now >= answerAt {
			t.Fatal("no list request")
		}
		module.Handle(now, TimerFired{})
	}
	module.Handle(answerAt, ListUpdate{Kind: ListFull, Entries: readyServers(), ConfirmedAge: age})
	return module
}

// Guards against requests to draining servers after an answer that came slowly. Such an answer says what was so when its
// call began, and a change right after that is not in it: the list may be used for 6 s from then, and not from the answer.
func TestSlowAnswerConfirmsWhatWasWhenItsCallBegan(t *testing.T) {
	t.Parallel()
	const answerAt, age = 20 * time.Second, 3600 * time.Millisecond
	for name, c := range map[string]struct {
		nodes int
		event ListUpdate // at answerAt
		until Time       // when the list expires
	}{
		"discovery moves":  {5, ListUpdate{Kind: ListFailed, Cause: CauseMoved}, answerAt - age + notifyBound},
		"the watch breaks": {5, ListUpdate{Kind: ListFailed, Cause: CauseBroken}, answerAt - age + notifyBound},
		"long polls":       {300, ListUpdate{Kind: ListFailed, Cause: CauseMoved}, answerAt + notifyBound},
		"the machine is short of something": {5, ListUpdate{Kind: ListFailed, Cause: CauseLocal, Took: time.Second},
			answerAt - age + notifyBound},
		"discovery goes down": {300, ListUpdate{Kind: ListFailed, Cause: CauseWentDown}, answerAt + notifyBound},
		"the watch is late":   {5, ListUpdate{Kind: ListStalled, UsableFor: 2 * time.Second}, answerAt + 2*time.Second},
		"it is late already":  {5, ListUpdate{Kind: ListStalled, UsableFor: -time.Second}, answerAt - time.Second},
		"late, then it moves": {300, ListUpdate{Kind: ListStalled, UsableFor: time.Second}, answerAt + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			module := watchedModule(t, c.nodes, answerAt, age)
			if !module.ListUsable() {
				t.Error("the list of an open watch is not usable")
			}
			module.Handle(answerAt, c.event)
			if name == "late, then it moves" {
				module.Handle(answerAt, ListUpdate{Kind: ListFailed, Cause: CauseMoved})
			}
			if got := module.usableUntil(); got != c.until {
				t.Errorf("the list is usable until %v, want %v", got, c.until)
			}
		})
	}
}

// Guards against a successor that uses the list longer than its predecessor might have: what a slow answer confirmed was
// so when its call began.
func TestSuccessorOfSlowlyAnsweredProcess(t *testing.T) {
	t.Parallel()
	const answerAt, age = 20 * time.Second, 5 * time.Second
	predecessor := watchedModule(t, 5, answerAt, age)
	settings := predecessor.settings
	successor := New(settings, 2)
	successor.Handle(answerAt, ListUpdate{Kind: ListCached, Entries: readyServers()})
	if err := successor.Restore(answerAt, predecessor.Snapshot(answerAt)); err != nil {
		t.Fatal(err)
	}
	if got, want := successor.usableUntil(), answerAt-age+notifyBound; got != want {
		t.Errorf("the successor's list is usable until %v, want %v", got, want)
	}
}
