package model

import (
	"strings"
	"testing"
	"time"

	"starlingvalve/internal/trace"
)

func traceOf(n int, apart time.Duration, class string, work time.Duration) (records []trace.Record) {
	for i := range n {
		records = append(records, trace.Record{At: time.Duration(i) * apart, Class: class, Order: uint64(i + 1),
			Work: work})
	}
	return records
}

// Guards against a replay that repeats the recorded tries: those were reactions to an outage of the recording. The
// run's own clients must decide on further tries.
func TestReplayReacts(t *testing.T) {
	sc := kampklipScenario(0.5)
	records := traceOf(500, 10*time.Millisecond, "viewer-clip", 60*time.Millisecond)
	for i := range 300 { // repeated tries of an outage
		records = append(records,
			trace.Record{At: time.Duration(i) * 10 * time.Millisecond, Class: "viewer-clip", Order: uint64(i + 1)},
			trace.Record{At: time.Duration(i) * 10 * time.Millisecond, Class: "viewer-clip",
				Order: uint64(10_000 + i), Repeat: true})
	}
	c, info, err := sc.Replay(records, 1)
	if err != nil || info.Orders != 500 || info.Repeats != 600 || info.Unknown != 0 {
		t.Fatalf("%+v, %v", info, err)
	}
	replayed := Simulate(c, 1)
	if replayed.Orders != 500 || replayed.Tries != 500 || replayed.Served != 500 || replayed.Executions != 500 {
		t.Errorf("a replay on fast servers: %+v", replayed)
	}
	if Simulate(c, 1) != replayed || sc.arrivals != nil || sc.Length != 20*time.Second {
		t.Error("not the same run again, or the scenario itself has changed")
	}
	for i := range c.Servers {
		c.Servers[i].Speed = 0.05
	}
	if over := Simulate(c, 1); over.Orders != 500 || over.Tries <= 520 || over.Refused == 0 {
		t.Errorf("with servers that are too slow: %+v", over)
	}
}

// Guards against a scale that gives another number of orders, or a run longer than the trace.
func TestReplayScales(t *testing.T) {
	sc := kampklipScenario(0.5)
	records := traceOf(2000, 5*time.Millisecond, "viewer-clip", 0)
	for scale, want := range map[float64]int{0.5: 1000, 1: 2000, 2.5: 5000} {
		c, info, err := sc.Replay(records, scale)
		if err != nil || info.Orders < want*95/100 || info.Orders > want*105/100 || c.Length > 10*time.Second {
			t.Errorf("scale %v: %+v, %v, length %v", scale, info, err, c.Length)
		}
		if s := Simulate(c, 2); s.Orders != info.Orders {
			t.Errorf("scale %v: %d orders, %d announced", scale, s.Orders, info.Orders)
		}
	}
	for want, bad := range map[string][]trace.Record{
		"of classes that the scenario lacks (other)": traceOf(3, time.Second, "other", 0), "nothing to play": nil} {
		if _, _, err := sc.Replay(bad, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, _, err := sc.Replay(records, 0); err == nil {
		t.Error("scale 0 is accepted")
	}
}
