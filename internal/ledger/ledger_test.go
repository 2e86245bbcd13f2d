package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a hand-off that runs although the sender was assured that it never will (Fenced, Refused), runs
// twice, or is reported in a wrong state. Random hand-offs, queries, acknowledgements and pauses on a ledger so small
// that its limits are reached all the time; each reply is checked against what has run.
func TestNeverSeenStaysTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := New(Limits{Entries: 6, Bytes: 40, Sessions: 2, Retention: time.Second})
		now := time.Duration(0)
		type near struct {
			name     string
			s        *Session
			next     uint64
			acked    uint64
			ran      map[uint64]bool
			never    map[uint64]bool // the sender was assured that the hand-off never runs
			finished map[uint64]bool
		}
		var senders []*near
		for i := range 3 {
			senders = append(senders, &near{name: fmt.Sprint(i), next: 1, ran: map[uint64]bool{}, never: map[uint64]bool{}, finished: map[uint64]bool{}})
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			sender := senders[rapid.IntRange(0, 2).Draw(t, "near")]
			number := uint64(rapid.IntRange(0, int(sender.next)+1).Draw(t, "number"))
			switch rapid.SampledFrom([]string{"attach", "attach", "detach", "send", "slow", "slow", "late", "late", "late", "finish", "ask", "ask", "ask", "ack", "wait"}).Draw(t, "step") {
			case "attach":
				if sender.s == nil {
					sender.s = ledger.Attach(now, sender.name, sender.next)
				}
			case "detach":
				if sender.s != nil {
					sender.s.Detach(now)
					sender.s = nil
				}
			case "slow": // sent; it arrives later or never
				if sender.s != nil {
					sender.next++
				}
			case "send": // the sender uses new numbers only while it is connected
				if sender.s != nil {
					number = sender.next
					sender.next++
				}
				fallthrough
			case "late":
				if sender.s == nil || number >= sender.next && number != 0 {
					break
				}
				if ok, _ := sender.s.Accept(now, number, now+time.Duration(rapid.IntRange(0, 2000).Draw(t, "left"))*time.Millisecond); ok {
					if sender.never[number] {
						t.Fatalf("hand-off %d runs, though the sender was assured that it never will", number)
					}
					if sender.ran[number] {
						t.Fatalf("hand-off %d runs twice", number)
					}
					sender.ran[number] = true
				}
			case "finish":
				if sender.s != nil && sender.ran[number] && !sender.finished[number] {
					sender.finished[number] = true
					sender.s.Finish(now, number, Done, make([]byte, rapid.IntRange(0, 30).Draw(t, "answer")))
				}
			case "ask":
				if sender.s == nil || number == 0 || number >= sender.next {
					break
				}
				switch state, answer, kept := sender.s.Query(now, number); state {
				case Fenced, Refused:
					if sender.ran[number] {
						t.Fatalf("hand-off %d has run, but is reported as %v", number, state)
					}
					sender.never[number] = true
				case Running, Done:
					if !sender.ran[number] || state == Done && !sender.finished[number] || !kept && answer != nil {
						t.Fatalf("hand-off %d is reported as %v, which contradicts what has run", number, state)
					}
				}
			case "ack":
				if sender.s != nil && number <= sender.next && number > sender.acked {
					sender.acked = number
					sender.s.Ack(number)
				}
			case "wait":
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			}
			entries, bytes, sessions := ledger.Size()
			running, inSessions := 0, 0
			for _, s := range ledger.sessions {
				inSessions += len(s.entries)
				count := 0
				for _, e := range s.entries {
					if e.state == Running {
						count++
					}
				}
				if count != s.running {
					t.Fatalf("%d hand-offs are running, %d are counted", count, s.running)
				}
				running += count
			}
			if entries > 6 || bytes > 40 || sessions > 2 || entries != inSessions || entries != len(ledger.expiry) {
				t.Fatalf("%d entries counted (%d in sessions, %d in the heap), %d bytes, %d sessions", entries, inSessions, len(ledger.expiry), bytes, sessions)
			}
		}
	})
}

// Guards against a false assurance after a session was removed: its earlier numbers are Unknown, and not fenced, as
// they may have run.
func TestForgottenSessionIsUnknown(t *testing.T) {
	l := New(Limits{Sessions: 1, Retention: time.Second})
	s := l.Attach(0, "a", 1)
	if ok, _ := s.Accept(0, 1, 0); !ok {
		t.Fatal("the first hand-off was not accepted")
	}
	s.Finish(0, 1, Done, nil)
	s.Detach(0)
	if l.Attach(500*time.Millisecond, "b", 1) != nil {
		t.Error("a session was removed before its retention time was over")
	}
	other := l.Attach(3*time.Second, "b", 1)
	if other == nil {
		t.Fatal("the old session was not removed after its retention time")
	}
	other.Detach(3 * time.Second)
	s = l.Attach(6*time.Second, "a", 2)
	if state, _, _ := s.Query(6*time.Second, 1); state != Unknown {
		t.Errorf("number from before the removal: got %v, want unknown", state)
	}
	if state, _, _ := s.Query(6*time.Second, 2); state != Fenced {
		t.Errorf("number not used yet: got %v, want fenced", state)
	}
}

// Guards against answers that fill the memory: beyond Limits.Bytes a hand-off is Done without its answer.
func TestAnswersBounded(t *testing.T) {
	l := New(Limits{Bytes: 10})
	s := l.Attach(0, "a", 1)
	for n := uint64(1); n <= 2; n++ {
		s.Accept(0, n, time.Second)
		s.Finish(0, n, Done, make([]byte, 6))
	}
	if state, answer, kept := s.Query(0, 1); state != Done || !kept || len(answer) != 6 {
		t.Error("the first answer was not kept")
	}
	if state, _, kept := s.Query(0, 2); state != Done || kept {
		t.Error("the second answer was kept beyond the limit")
	}
	s.Ack(2)
	if _, bytes, _ := l.Size(); bytes != 0 {
		t.Errorf("%d bytes are kept after the acknowledgement, want 0", bytes)
	}
}

// BenchmarkHandoff measures one hand-off, with an acknowledgement per 100.
func BenchmarkHandoff(b *testing.B) {
	l := New(Limits{})
	s := l.Attach(0, "a", 1)
	answer := make([]byte, 100)
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		s.Accept(0, n, time.Second)
		s.Finish(0, n, Done, answer)
		if n%100 == 0 {
			s.Ack(n - 50)
		}
	}
}

// BenchmarkFull reports the memory per entry of a full ledger, without answers.
func BenchmarkFull(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := New(Limits{})
		s := l.Attach(0, "a", 1)
		for n := uint64(1); n <= 10_000; n++ {
			s.Accept(0, n, time.Minute)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if entries, _, _ := l.Size(); entries != 10_000 {
			b.Fatal(entries)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10_000, "bytes/entry")
}
