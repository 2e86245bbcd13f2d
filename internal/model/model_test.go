package model

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a clock that runs events out of order (by time, then by when they were scheduled), too early, or
// after they were cancelled.
func TestClockOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		type happening struct {
			at  time.Duration
			seq int
		}
		var got, want []happening
		var set []*Event
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			h := happening{time.Duration(rapid.IntRange(0, 9).Draw(t, "at")), i}
			set = append(set, c.At(h.at, func() {
				if c.Now() != h.at {
					t.Fatalf("at %v, want %v", c.Now(), h.at)
				}
				got = append(got, h)
			}))
			want = append(want, h)
		}
		for range rapid.IntRange(0, 20).Draw(t, "cancels") {
			i := rapid.IntRange(0, len(set)-1).Draw(t, "which")
			if c.Cancel(set[i]) {
				want = slices.DeleteFunc(want, func(h happening) bool { return h.seq == i })
			}
		}
		c.Run(4)
		if c.Now() != 4 {
			t.Fatalf("the run ends at %v", c.Now())
		}
		for _, h := range got {
			if h.at > 4 {
				t.Fatal("an event ran too early")
			}
		}
		c.Run(9)
		slices.SortStableFunc(want, func(a, b happening) int { return int(a.at - b.at) })
		if !slices.Equal(got, want) || c.Len() != 0 {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}

// Guards against streams that influence each other: one more draw from a stream must not shift another, and names
// that look alike when joined must give different streams.
func TestStreamsAreApart(t *testing.T) {
	a, b := NewStreams(7), NewStreams(7)
	for range 100 {
		a.Of("server s-1", "work").Float64()
	}
	for _, name := range [][2]string{{"server s-1", "faults"}, {"server s-2", "work"}, {"server s", "-1work"}} {
		if x, y := a.Of(name[0], name[1]).Uint64(), b.Of(name[0], name[1]).Uint64(); x != y {
			t.Errorf("%v has shifted", name)
		}
	}
	seen := map[uint64]bool{}
	for _, name := range [][2]string{{"a", "b"}, {"b", "a"}, {"ab", ""}, {"", "ab"}} {
		v := NewStreams(7).Of(name[0], name[1]).Uint64()
		if seen[v] {
			t.Errorf("%v has the stream of another name", name)
		}
		seen[v] = true
	}
	if NewStreams(1).Of("a", "b").Uint64() == NewStreams(2).Of("a", "b").Uint64() {
		t.Error("the seed has no effect")
	}
}

// Guards against draws whose mean or coefficient of variation differs from the one asked for.
func TestDraws(t *testing.T) {
	s := NewStreams(3).Of("client", "draws")
	const n, mean = 200_000, time.Second
	var exp, log, square, even float64
	for range n {
		exp += s.Exp(mean).Seconds()
		l := s.LogNormal(mean, 0.5).Seconds()
		log, square = log+l, square+l*l
		even += s.Between(0, 2*mean).Seconds()
	}
	cv := math.Sqrt(square/n-log/n*log/n) / (log / n)
	for name, got := range map[string]float64{"exponential": exp / n, "log-normal": log / n, "even": even / n,
		"coefficient of variation": 2 * cv} {
		if math.Abs(got-1) > 0.02 {
			t.Errorf("%s: %.3f, want 1", name, got)
		}
	}
}
