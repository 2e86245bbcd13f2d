package gossip

import (
	"math"
	"testing"
	"time"
)

// A node that has a tenth of all requests estimates those of the others at nine times its own while no reports arrive,
// and follows changes of its own load. After a gap it uses reports again once all nodes have had time to send theirs.
func TestLoadEstimator(t *testing.T) {
	var estimator LoadEstimator
	now := time.Duration(0)
	step := func(d time.Duration, own, others float64, receives bool) {
		for end := now + d; now < end; now += 25 * time.Millisecond {
			if receives {
				estimator.MessageReceived(now)
			}
			estimator.Observe(now, own, others)
		}
	}
	checkEstimate := func(want float64) {
		t.Helper()
		if got, ok := estimator.EstimateOthers(); !ok || math.Abs(got-want) > want/20 {
			t.Errorf("at %v: estimate %v, known: %v; want %v", now, got, ok, want)
		}
	}
	step(3*time.Second, 4, 0, false)
	if _, ok := estimator.EstimateOthers(); ok || estimator.ReportsStale(now) {
		t.Error("a node that has never received a report has an estimate")
	}
	step(10*time.Second, 4, 36, true)
	checkEstimate(36)
	if estimator.ReportsStale(now) {
		t.Error("reports are stale although they arrive")
	}
	step(1200*time.Millisecond, 4, 36, false)
	if !estimator.ReportsStale(now) {
		t.Error("reports are not stale after 1.2 s without any")
	}
	checkEstimate(36)
	step(5*time.Second, 8, 0, false)
	checkEstimate(72)
	step(time.Second, 8, 20, true) // reports of only a part of the others' load
	if !estimator.ReportsStale(now) {
		t.Error("incomplete reports after a gap are used")
	}
	checkEstimate(72)
	step(20*time.Second, 8, 24, true)
	if estimator.ReportsStale(now) {
		t.Error("reports are still stale 20 s after the gap")
	}
	checkEstimate(24)
	step(30*time.Second, 0, 0, false)
	if got, _ := estimator.EstimateOthers(); got > 0.01 {
		t.Errorf("an idle node estimates %v requests, want none", got)
	}
}
