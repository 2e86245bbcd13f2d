package watch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/testkit"
)

// Guards against a backlog at the nodes during a burst of changes, and against a report that a revision is in force
// before it is. Each node has to apply the revisions in order, each with the store's content, and the last one has to
// be in force soon after its commit.
func TestBurst(t *testing.T) {
	simulate(t, 5, 60, DefaultLimits(), func(s *simulation) {
		for i := range 100 {
			revision := s.put(fmt.Sprint("s", i%10), uint32(i+1))
			s.check()
			if at, ok := s.inForce(); ok && at >= revision {
				t.Fatalf("revision %d is reported as in force right after its commit", revision)
			}
			time.Sleep(100 * time.Millisecond)
		}
		took := s.until("all have it", time.Second, s.allAt(100))
		took += s.until("it is in force", time.Second, func() bool { at, ok := s.inForce(); return ok && at == 100 })
		if took > 10*oneWay {
			t.Errorf("in force after %v", took)
		}
		s.check()
		for _, n := range s.nodes {
			if len(n.applied) != 101 || !slices.IsSortedFunc(n.applied[1:], time.Time.Compare) {
				t.Errorf("%s applied %d revisions, or not in order", n.name, len(n.applied)-1)
			}
		}
	})
}

// Guards against needless requests: without changes a node sends about one request in each LongPollTimeout. The nodes
// have to be spread over the machines.
func TestAtRest(t *testing.T) {
	simulate(t, 5, 100, DefaultLimits(), func(s *simulation) {
		s.put("pay", 1)
		time.Sleep(time.Second)
		before := make([]int, 5)
		for i, m := range s.machines {
			before[i], _ = m.counted()
		}
		time.Sleep(20 * time.Second)
		for i, m := range s.machines {
			calls, _ := m.counted()
			if a := (calls - before[i]) / 20; a < 8 || a > 40 {
				t.Errorf("%s gets %d requests per second", m.name, a)
			}
		}
	})
}

// Guards against nodes that miss changes while their control machine is unresponsive, here for 30 s: they have to get
// the next change from other machines within 3 s. Later they have to return, but at most half of them within one
// second, so that they don't overload the machine.
func TestMachineUnresponsive(t *testing.T) {
	simulate(t, 5, 100, DefaultLimits(), func(s *simulation) {
		s.put("pay", 1)
		s.until("all have it", time.Second, s.allAt(1))
		unresponsive := s.machines[0]
		itsNodes := func() (list []*node) {
			for _, n := range s.nodes {
				if n.Status().Machine == unresponsive.name {
					list = append(list, n)
				}
			}
			return list
		}
		had := len(itsNodes())
		unresponsive.setCut(true)
		s.put("pay", 2)
		s.until("all have it from others", 3*time.Second, s.allAt(2))
		s.until("it is in force", 3*time.Second, func() bool { at, ok := s.inForce(); return ok && at == 2 })
		time.Sleep(30 * time.Second)
		unresponsive.setCut(false)
		s.publish()
		most, last := 0, 0
		for range 60 {
			time.Sleep(time.Second)
			now := len(itsNodes())
			most, last = max(most, now-last), now
		}
		if had < 10 || last != had || most > had/2 {
			t.Errorf("it had %d nodes, and has %d; %d returned within one second", had, last, most)
		}
		s.check()
	})
}

// Guards against lost configuration, or too many retries, while all control machines are unresponsive: a node has to
// keep its revision, back off between requests, and follow soon after the machines answer again.
func TestAllMachinesUnresponsive(t *testing.T) {
	simulate(t, 3, 30, DefaultLimits(), func(s *simulation) {
		s.put("pay", 1)
		s.until("all have it", time.Second, s.allAt(1))
		calls := func() (sum int) {
			for _, m := range s.machines {
				c, _ := m.counted()
				sum += c
			}
			return sum
		}
		for _, m := range s.machines {
			m.setCut(true)
		}
		time.Sleep(time.Hour)
		if !s.allAt(1)() {
			t.Error("a node lost what it had")
		}
		before := calls()
		time.Sleep(time.Minute)
		if a := calls() - before; a > 30*45 {
			t.Errorf("30 nodes sent %d requests in a minute", a)
		}
		for _, m := range s.machines {
			m.setCut(false)
		}
		s.put("pay", 2)
		s.until("all have it", 10*time.Second, s.allAt(2))
		s.check()
	})
}

// Guards against snapshots that delay changes: many nodes without a cache receive snapshots in parts, within the rates
// of the machine and of a node, while a node that has the configuration gets changes as fast as otherwise.
func TestSnapshotsArePaced(t *testing.T) {
	limits := DefaultLimits()
	limits.ChunkBytes, limits.NodeRate, limits.MachineRate = 4<<10, 16<<10, 128<<10
	limits.BacklogBytes = 1 << 10
	simulate(t, 1, 1, limits, func(s *simulation) {
		s.tenants(1500)
		live := s.nodes[0]
		live.Client = s.addNode("live", ClientOptions{}).Client
		s.until("it has all", time.Minute, s.allAt(s.store.Revision()))
		e, err := encode(s.store.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		_, before := s.machines[0].counted()
		began := time.Now()
		for i := range 40 {
			s.addNode(fmt.Sprint("new", i), ClientOptions{})
		}
		for i := range 5 {
			revision := s.put("pay", uint32(100+i))
			s.until("the live node has it", 10*oneWay, func() bool { return live.Applied() == revision })
			time.Sleep(200 * time.Millisecond)
		}
		s.until("all have all", time.Hour, s.allAt(s.store.Revision()))
		took := time.Since(began).Seconds()
		_, after := s.machines[0].counted()
		alone := float64(len(e.data)) / limits.NodeRate
		if rate := float64(after-before) / took; took < alone*0.8 || rate > limits.MachineRate*1.3 {
			t.Errorf("40 nodes took snapshots of %d bytes in %.1f s, %.0f bytes a second", len(e.data), took, rate)
		}
		s.check()
	})
}

// A node receives a snapshot within NodeRate. Guards against starting again when the machine becomes unresponsive: the
// node has to get the remaining parts from another machine.
func TestSnapshotResumed(t *testing.T) {
	limits := DefaultLimits()
	limits.ChunkBytes, limits.NodeRate, limits.BacklogBytes = 4<<10, 16<<10, 1<<10
	simulate(t, 2, 0, limits, func(s *simulation) {
		s.tenants(5000)
		e, err := encode(s.store.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		n := s.addNode("n", ClientOptions{})
		taking := slices.IndexFunc(s.machines, func(m *machine) bool { return m.name == n.chooser.order[0] })
		first, second := s.machines[taking], s.machines[1-taking]
		s.until("half of it is there", time.Minute, func() bool { _, b := first.counted(); return b > len(e.data)/2 })
		if rate := float64(len(e.data)/2) / time.Since(began).Seconds(); rate > limits.NodeRate*1.3 {
			t.Errorf("%.0f bytes a second to one node", rate)
		}
		first.setCut(true)
		s.until("it has all", time.Minute, s.allAt(s.store.Revision()))
		if _, b := second.counted(); b > len(e.data)*6/10 {
			t.Errorf("the second machine sent %d bytes of %d", b, len(e.data))
		}
		s.check()
	})
}

// Guards against memory that a machine never frees: the backlog stays within its bound, an encoded snapshot is dropped
// some time after its last reader, and nodes that send no more requests are forgotten.
func TestNothingStays(t *testing.T) {
	limits := DefaultLimits()
	limits.BacklogBytes = 1 << 10
	simulate(t, 1, 3, limits, func(s *simulation) {
		s.tenants(1000)
		s.until("all have all", time.Minute, s.allAt(s.store.Revision()))
		server := s.machines[0].server
		if server.backlogBytes > limits.BacklogBytes || len(server.backlog) > 0 && server.backlogAfter == 0 {
			t.Errorf("the backlog has %d bytes", server.backlogBytes)
		}
		time.Sleep(2 * limits.SnapshotRetention)
		s.stop()
		s.work.Wait()
		if server.snapshots.current != nil {
			t.Error("the snapshot is not dropped")
		}
		time.Sleep(2 * limits.WatcherTimeout)
		if r := server.Report(true); r.Nodes != 0 || len(server.watchers) != 0 {
			t.Errorf("%d nodes are not forgotten", len(server.watchers))
		}
	})
}

// Guards against a node that can't continue after a revision that it refused: it stays at the revision before, is
// reported with the reason, and keeps the revision in force back. A later revision that corrects the refused one has to
// bring it forward, also if the refused revisions exceed DeltaBytes.
func TestRefused(t *testing.T) {
	limits := DefaultLimits()
	limits.DeltaBytes = 64
	simulate(t, 3, 10, limits, func(s *simulation) {
		picky := s.addNode("picky", ClientOptions{Accept: func(changes []*configpb.Change) error {
			for _, c := range changes {
				if c.GetPut().GetService().GetTimeoutMs() == 99 {
					return &configuration.InvalidError{Entry: "service/pay", Field: "timeout_ms", Reason: "not here"}
				}
			}
			return nil
		}})
		s.put("pay", 1)
		s.until("all have it", time.Second, s.allAt(1))
		s.put("pay", 99)
		for i := range 10 {
			s.put(fmt.Sprint("s", i), 1)
		}
		time.Sleep(3 * time.Second)
		if at := picky.Status(); at.Applied != 1 || at.Refused != 12 || at.Refusal.GetReason() != "not here" {
			t.Errorf("%+v", at)
		}
		var lags []*configpb.Lag
		for _, m := range s.machines {
			lags = append(lags, m.server.Report(false).Lagging...)
		}
		if len(lags) != 1 {
			t.Fatalf("%v", lags)
		}
		want := &configpb.Refusal{Entry: "service/pay", Field: "timeout_ms", Reason: "not here"}
		if l := lags[0]; l.Node != "picky" || l.Applied != 1 || l.Refused != 12 || !proto.Equal(l.Refusal, want) {
			t.Errorf("%v", l)
		}
		if at, ok := s.inForce(); !ok || at != 1 {
			t.Errorf("in force: %d, %v", at, ok)
		}
		s.put("pay", 2)
		s.until("it is in force", 3*time.Second, func() bool { at, ok := s.inForce(); return ok && at == 13 })
		s.check()
	})
}

// Guards against reporting a revision as in force too early: a session that is in no machine's report prevents that,
// and so does one that two machines count, unless the reports name the sessions.
func TestInForceCountsEachOnce(t *testing.T) {
	report := func(least uint64, sessions ...uint64) *configpb.Report {
		r := &configpb.Report{Applied: 9, Least: least, Nodes: uint64(len(sessions))}
		for _, epoch := range sessions {
			r.Digest += sessionHash(epoch)
		}
		return r
	}
	naming := func(least uint64, sessions ...uint64) *configpb.Report {
		r := report(least, sessions...)
		r.Sessions = sessions
		return r
	}
	sessions := map[string]uint64{"a": 1, "b": 2, "c": 3}
	for _, c := range []struct {
		name    string
		reports []*configpb.Report
		want    uint64
		ok      bool
	}{
		{"all", []*configpb.Report{report(7, 1, 2), report(5, 3), report(0)}, 5, true},
		{"one unheard", []*configpb.Report{report(7, 1, 2)}, 7, false},
		{"one twice", []*configpb.Report{report(7, 1, 2), report(5, 2, 3)}, 5, false},
		{"one twice, one unheard", []*configpb.Report{report(7, 1, 2), report(5, 2)}, 5, false},
		{"an old session", []*configpb.Report{report(7, 1, 2), report(5, 4)}, 5, false},
		{"nobody", nil, 0, false},
		{"one twice, named", []*configpb.Report{naming(7, 1, 2), naming(5, 2, 3)}, 5, true},
		{"one twice, named at one", []*configpb.Report{naming(7, 1, 2), report(5, 2, 3)}, 5, false},
		{"one twice, one unheard, named", []*configpb.Report{naming(7, 1, 2), naming(5, 2)}, 5, false},
		{"an old session, named", []*configpb.Report{naming(7, 1, 2), naming(5, 4)}, 5, false},
		{"an old session beside the new one, named", []*configpb.Report{naming(7, 1, 2), naming(5, 3, 4)}, 5, true},
	} {
		if at, ok := InForce(sessions, c.reports); at != c.want || ok != c.ok {
			t.Errorf("%s: %d, %v", c.name, at, ok)
		}
	}
}

// Guards against reports that count nodes without a live session, or with an old one.
func TestReportCountsLiveSessions(t *testing.T) {
	simulate(t, 1, 3, DefaultLimits(), func(s *simulation) {
		s.put("pay", 1)
		s.until("all have it", time.Second, s.allAt(1))
		time.Sleep(time.Second)
		s.sessions = map[string]uint64{"n0": 1, "n1": 7}
		s.publish()
		report := s.machines[0].server.Report(true)
		if !slices.Equal(report.Watching, []string{"n0"}) || report.Nodes != 1 || report.Digest != sessionHash(1) {
			t.Errorf("%v", report)
		}
	})
}

// Guards against a node without a configuration when it starts while no control machine answers: it has to start with
// the revision of its cache file and then continue from there by deltas. At its end the cache file has to be up to
// date.
func TestCache(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cache")
	simulate(t, 2, 0, DefaultLimits(), func(s *simulation) {
		s.addNode("n", ClientOptions{Cache: path})
		for i := range 5 {
			s.put("pay", uint32(i+1))
			time.Sleep(10 * oneWay)
		}
		s.until("it has it", time.Second, s.allAt(5))
	})
	simulate(t, 2, 0, DefaultLimits(), func(s *simulation) {
		for i := range 5 {
			s.put("pay", uint32(i+1))
		}
		for _, m := range s.machines {
			m.setCut(true)
		}
		n := s.addNode("n", ClientOptions{Cache: path})
		if n.Applied() != 5 {
			t.Errorf("from the cache: revision %d", n.Applied())
		}
		time.Sleep(time.Minute)
		for _, m := range s.machines {
			m.setCut(false)
		}
		s.put("pay", 9)
		s.until("it has it", 10*time.Second, s.allAt(6))
		if len(n.applied) != 7 {
			t.Errorf("applied %v", n.applied)
		}
		s.check()
	})
}

// Guards against nodes that follow machines of another log, as after a new start of the voters with empty disks.
func TestForeignLog(t *testing.T) {
	simulate(t, 1, 2, DefaultLimits(), func(s *simulation) {
		s.put("pay", 1)
		s.until("all have it", time.Second, s.allAt(1))
		other := configuration.New()
		for _, name := range []string{"x", "y"} {
			put := &configpb.Entry{Value: &configpb.Entry_Service{Service: &configpb.Service{Name: name}}}
			change := &configpb.Change{What: &configpb.Change_Put{Put: put}}
			if _, err := other.Commit(1, &configpb.Transaction{Changes: []*configpb.Change{change}}); err != nil {
				t.Fatal(err)
			}
		}
		s.machines[0].server.Publish("l2", other, s.sessions)
		time.Sleep(10 * time.Second)
		if !s.allAt(1)() {
			t.Error("a node followed another log")
		}
		s.check()
		q := &configpb.WatchRequest{Node: "n0", Log: testLog, Applied: 1}
		raw, err := configuration.Encode(q)
		if err != nil {
			t.Fatal(err)
		}
		answer := &configpb.WatchAnswer{}
		raw, err = s.machines[0].server.Handle(t.Context(), "n0", raw)
		err = errors.Join(err, proto.Unmarshal(raw, answer))
		if err != nil || answer.Log != "l2" || answer.News != nil {
			t.Errorf("answer to a node of another log: %v, %v", answer, err)
		}
		if r := s.machines[0].server.Report(false); r.Least != 0 {
			t.Errorf("the report counts revisions of another log: %v", r)
		}
	})
}

// A machine that has applied nothing yet returns ErrNotReady without waiting. Requests that can't be decoded, or are in
// another node's name, are refused.
func TestBadQuestions(t *testing.T) {
	s := NewServer(ServerOptions{Limits: DefaultLimits()})
	raw, err := configuration.Encode(&configpb.WatchRequest{Node: "n"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Handle(t.Context(), "n", raw); !errors.Is(err, ErrNotReady) {
		t.Error(err)
	}
	s.Publish(testLog, configuration.New(), nil)
	if _, err := s.Handle(t.Context(), "other", raw); !errors.Is(err, ErrBadRequest) {
		t.Error(err)
	}
	if _, err := s.Handle(t.Context(), "n", []byte{0xff}); !errors.Is(err, ErrBadRequest) {
		t.Error(err)
	}
}

// Guards against counting a node that has moved to another machine: once it stops waiting for its answer, this machine
// must not report it.
func TestNodeThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(ServerOptions{Limits: DefaultLimits()})
		s.Publish(testLog, configuration.New(), map[string]uint64{"n": 1})
		raw, err := configuration.Encode(&configpb.WatchRequest{Node: "n", Session: 1})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := s.Handle(ctx, "n", raw)
			ended <- err
		}()
		synctest.Wait()
		if r := s.Report(false); r.Nodes != 1 {
			t.Errorf("while its request is open: %v", r)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		if r := s.Report(false); r.Nodes != 0 {
			t.Errorf("after it left: %v", r)
		}
	})
}

// Guards against a node that goes back to an older revision, when a machine that is behind sends it a snapshot.
func TestNeverBack(t *testing.T) {
	store := configuration.New()
	var parts []*configpb.Chunk
	for _, name := range []string{"x", "y"} {
		put := &configpb.Entry{Value: &configpb.Entry_Service{Service: &configpb.Service{Name: name}}}
		change := &configpb.Change{What: &configpb.Change_Put{Put: put}}
		if _, err := store.Commit(1, &configpb.Transaction{Changes: []*configpb.Change{change}}); err != nil {
			t.Fatal(err)
		}
		e, err := encode(store.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		size := uint64(len(e.data))
		parts = append(parts, &configpb.Chunk{Revision: e.revision, Size: size, Checksum: e.checksum[:], Data: e.data})
	}
	c, err := NewClient(ClientOptions{Node: "n", Machines: []string{"m"}, Log: testkit.DiscardLog})
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []*configpb.Chunk{parts[1], parts[0]} {
		c.applyAnswer(&configpb.WatchAnswer{Log: testLog, Revision: 2, News: &configpb.WatchAnswer_Chunk{Chunk: part}})
		if c.Applied() != 2 || c.replica.Len() != 2 {
			t.Errorf("revision %d", c.Applied())
		}
	}
}

// Removing a machine moves only its own nodes, and each machine is the first choice of about the same number of nodes.
func TestRendezvous(t *testing.T) {
	machines := []string{"a", "b", "c", "d", "e"}
	count := map[string]int{}
	for i := range 730 {
		node := fmt.Sprint("n", i)
		order := rendezvous(node, machines)
		count[order[0]]++
		without := slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return m == order[0] })
		if got := rendezvous(node, without); !slices.Equal(got, order[1:]) {
			t.Fatalf("%v without the first: %v", order, got)
		}
	}
	for _, m := range machines {
		if count[m] < 110 || count[m] > 185 {
			t.Errorf("%s has %d of 730", m, count[m])
		}
	}
}

// Guards against panics by any parts of a snapshot, more memory than the stated size, and a snapshot that is accepted
// without the right checksum.
func FuzzAssembly(f *testing.F) {
	s := configuration.New()
	put := &configpb.Entry{Value: &configpb.Entry_Service{Service: &configpb.Service{Name: "pay"}}}
	change := &configpb.Change{What: &configpb.Change_Put{Put: put}}
	if _, err := s.Commit(1, &configpb.Transaction{Changes: []*configpb.Change{change}}); err != nil {
		f.Fatal(err)
	}
	e, err := encode(s.Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(e.revision, uint64(len(e.data)), uint64(0), e.data, uint8(9))
	f.Add(e.revision, uint64(len(e.data)), uint64(4), e.data[4:], uint8(3))
	f.Fuzz(func(t *testing.T, revision, size, offset uint64, data []byte, cut uint8) {
		a := &assembly{}
		first := data[:min(len(data), int(cut))]
		for i, part := range [][]byte{first, data[len(first):]} {
			c := &configpb.Chunk{Revision: revision, Size: size, Checksum: e.checksum[:], Offset: offset, Data: part}
			if i > 0 {
				c.Offset += uint64(len(first))
			}
			got, err := a.add(c)
			if got != nil && (err != nil || !proto.Equal(got, s.Snapshot())) {
				t.Errorf("%v, %v", got, err)
			}
			if uint64(len(a.data)) > size {
				t.Errorf("%d bytes of %d", len(a.data), size)
			}
		}
		decode(data)
	})
}

// The backoff of a machine is random within bounds, doubles up to its maximum, and starts again after an answer.
func TestBackoff(t *testing.T) {
	c := newChooser("n", []string{"a"}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	for want := minBackoff; want < 4*maxBackoff; want *= 2 {
		c.failed(now)
		_, wait := c.next(now)
		if most := min(want, maxBackoff); wait < most/2 || wait > most {
			t.Errorf("waits %v, with a backoff of %v", wait, most)
		}
		now = now.Add(wait)
	}
	c.answered()
	c.failed(now)
	if _, wait := c.next(now); wait > minBackoff {
		t.Errorf("after an answer: %v", wait)
	}
}
