package core

import (
	"runtime"
	"testing"
	"time"
)

// The meter tells of time in which the process did not get to look, and forgets it once it does.
func TestLagMeter(t *testing.T) {
	m, err := newLagMeter()
	if err != nil {
		t.Fatal(err)
	}
	m.ping()
	m.ping() // one is under way
	const late = 50 * time.Millisecond
	time.Sleep(late) // nobody reads yet
	if v := m.value(); v < time.Duration(lagGain*float64(late)) {
		t.Errorf("%v while a reading is late by %v", v, late)
	}
	done := make(chan struct{})
	go func() { m.run(); close(done) }()
	for m.sent.Load() != 0 {
		runtime.Gosched()
	}
	if v := m.value(); v < time.Duration(lagGain*float64(late)) || v > time.Minute {
		t.Errorf("%v after a reading of %v", v, late)
	}
	high := m.value()
	for i := 0; i < 1000 && m.value() > high/4; i++ {
		m.ping()
		for m.sent.Load() != 0 {
			runtime.Gosched()
		}
	}
	if v := m.value(); v > high/4 {
		t.Errorf("%v: it does not forget", v)
	}
	m.close()
	<-done
	var none *lagMeter
	if none.ping(); none.value() != 0 {
		t.Error("no meter")
	}
}

// An attempt's own part is what passed in the node, and never more than all of it.
func TestOwnPart(t *testing.T) {
	now := time.Now()
	a := &attempt{sent: now.Add(-100 * time.Millisecond)}
	if a.own(now, time.Second, time.Second) != 0 {
		t.Error("an attempt that did not begin")
	}
	a.begun = now.Add(-90 * time.Millisecond)
	if got := a.own(time.Now(), 5*time.Millisecond, 100*time.Millisecond); got < 15*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("%v, want 15 ms and a little", got)
	}
	if got := a.own(time.Now(), time.Hour, 100*time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("%v of 100 ms", got)
	}
}
