package trace

import (
	"math"
	"testing"
	"time"
)

// generate returns a trace with 3 reads to 1 write.
func generate(t *testing.T, s Synth) (records []Record) {
	t.Helper()
	s.Classes = []SynthClass{{Name: "read", Share: 3, Work: 20 * time.Millisecond, WorkCV: 0.5, Patience: time.Second}, {Name: "write", Share: 1, Work: 60 * time.Millisecond, WorkCV: 0.5}}
	if err := s.Generate(func(r *Record) error { records = append(records, *r); return nil }); err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against generated traces that differ from their description: the rate, the order of times, the classes'
// shares and work, the density in the middle for the shapes steady and flash, and the orders per session.
func TestShapes(t *testing.T) {
	const length, rate = 100 * time.Second, 200.0
	for _, shape := range Shapes {
		for _, sessions := range []float64{0, 5} {
			records := generate(t, Synth{Length: length, Rate: rate, Shape: shape, Seed: 5, OrdersPerSession: sessions, ThinkTime: 200 * time.Millisecond})
			if count, want := float64(len(records)), rate*length.Seconds(); math.Abs(count-want) > 0.06*want {
				t.Errorf("%s, %v orders per session: %v orders, want about %v", shape, sessions, count, want)
			}
			reads, work, middle := 0, 0.0, 0
			tenants, seen := map[uint64]bool{}, map[uint64]bool{}
			for i, r := range records {
				if i > 0 && r.At < records[i-1].At || r.At >= length || seen[r.Order] || r.Repeat {
					t.Fatalf("%s: record %d is out of order, repeated or past the end: %+v", shape, i, r)
				}
				seen[r.Order], tenants[r.Tenant] = true, true
				if r.Class == "read" {
					reads++
					work += r.Work.Seconds()
				}
				if r.At > 42*time.Second && r.At < 58*time.Second {
					middle++
				}
			}
			if part := float64(reads) / float64(len(records)); math.Abs(part-0.75) > 0.02 || math.Abs(work/float64(reads)-0.02) > 0.001 {
				t.Errorf("%s: the share of reads is %.3f and their mean work %.4f s, want 0.75 and 0.02 s", shape, part, work/float64(reads))
			}
			density := float64(middle) / 16 / rate
			if shape == Flash && density < 2.5 || shape == Steady && math.Abs(density-1) > 0.1 {
				t.Errorf("%s: the rate in the middle is %.2f times the mean", shape, density)
			}
			if per := float64(len(records)) / float64(len(tenants)); sessions > 0 && math.Abs(per-sessions) > 0.5 || sessions == 0 && per != 1 {
				t.Errorf("%s: %.2f orders per session, want %v", shape, per, sessions)
			}
		}
	}
	for _, bad := range []Synth{{}, {Length: time.Second}, {Length: time.Hour, Rate: 1e6, Classes: []SynthClass{{Share: 1}}}} {
		if err := bad.Generate(nil); err == nil {
			t.Errorf("no error for %+v", bad)
		}
	}
}
