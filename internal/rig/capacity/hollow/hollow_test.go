package hollow

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"starlingvalve/decide"
	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

const backend = "s-00000007"

// listingPlane is the data plane of a voter, with a list of one backend.
type listingPlane struct{}

func (listingPlane) SetCordon(core.Cordon)                      {}
func (listingPlane) OpenAttemptsAt(core.Cordon) (int, bool)     { return 0, true }
func (listingPlane) OpenRequests() (int, bool)                  { return 0, true }
func (listingPlane) EjectedServers() []string                   { return nil }
func (listingPlane) SetDrained(bool)                            {}
func (listingPlane) ClassCounts() map[string]health.ClassCounts { return nil }
func (listingPlane) ResidentBytes() uint64                      { return 0 }
func (listingPlane) CanServe() bool                             { return true }
func (listingPlane) Ready() bool                                { return true }
func (listingPlane) ServerList() core.List {
	return core.List{Full: true, Entries: []core.Entry{{Name: backend,
		Server: decide.Server{ID: registry.ServerID(backend), Zone: "a", State: decide.Ready, Size: 1}}}}
}

// startVoters starts three control machines in this process.
func startVoters(t *testing.T, folder string) (*Fleet, []*control.Control) {
	t.Helper()
	auth, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{Authority: auth, SessionLifetime: 2 * time.Second, Tick: 50 * time.Millisecond}
	for len(f.Voters) < 3 {
		c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err != nil {
			continue
		}
		f.Voters = append(f.Voters, control.Voter{Name: fmt.Sprintf("c%d", len(f.Voters)+1),
			Address: c.LocalAddr().String()})
		c.Close()
	}
	var list []*control.Control
	for _, v := range f.Voters {
		if err := f.Write(folder, v.Name, "a", v.Address); err != nil {
			t.Fatal(err)
		}
		c, err := control.Load(File(folder, v.Name), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		n, err := control.Open(c, listingPlane{}, listingPlane{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		n.ApplySavedOrders()
		done := make(chan struct{})
		go func() { n.Run(); close(done) }()
		t.Cleanup(func() { n.Stop(); <-done })
		list = append(list, n)
	}
	return f, list
}

// until waits until a condition holds, for testkit.WaitLimit at most.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitLimit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until: ", what)
		}
	}
}

func drain(t *testing.T, n *control.Control) {
	t.Helper()
	requests := 0
	until(t, "a drain is granted", func() bool {
		requests++ // a repeated id gets the first result again, even if that was a refusal
		r, err := n.Propose(t.Context(), &fleetpb.Entry{Ask: fmt.Sprint(requests),
			What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{Target: fleet.ServerTarget(backend), By: "eva"}}})
		return err == nil && r.Code == fleetpb.Result_DONE
	})
}

// Hollow nodes must behave as real ones do towards the control machines: keep sessions, apply and acknowledge a
// drain, and come back after a restart with the state on their disks. They must leave no goroutine behind.
func TestHollowNodes(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // runs after the voters have ended
	folder := t.TempDir()
	f, control := startVoters(t, folder)
	options := Options{Folder: folder}
	for i := range 6 {
		name := fmt.Sprintf("n%d", i+1)
		if err := f.Write(folder, name, "a", ""); err != nil {
			t.Fatal(err)
		}
		options.Names = append(options.Names, name)
	}
	set, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	defer set.Stop()
	until(t, "all have a session", func() bool { return set.Counts().Live == len(options.Names) })
	drain(t, control[0])
	what := ServerDrained(uint32(registry.ServerID(backend)))
	until(t, "all follow", func() bool { return set.Known(what).Nodes == len(options.Names) })
	until(t, "the leader has all acknowledgements", func() bool {
		state, err := control[1].State(t.Context())
		return err == nil && fleet.FromState(state).Proof(fleet.ServerTarget(backend)).Proven
	})
	c := set.Counts()
	if tr := c.Traffic; c.Nodes != 6 || tr.BytesIn == 0 || tr.BytesOut == 0 || tr.DatagramsIn == 0 || tr.DatagramsOut == 0 || len(tr.Calls) < 1 || c.CPUTime == 0 || c.ResidentKiB == 0 {
		t.Errorf("%+v", c)
	}
	times := set.Known(what).Times
	if err := set.Restart(options.Names[:2]); err != nil {
		t.Fatal(err)
	}
	until(t, "all have a session again", func() bool { return set.Counts().Live == len(options.Names) })
	if again := set.Counts(); again.Traffic.BytesOut < c.Traffic.BytesOut || again.Traffic.Calls[3] < c.Traffic.Calls[3] {
		t.Errorf("a restart lowered the traffic counts: %+v, before %+v", again, c)
	}
	if now := set.Known(what).Times; len(now) != len(times) || !now[5].Equal(times[5]) {
		t.Errorf("known at %v after a restart, %v before: the first time counts", now, times)
	}
	for _, name := range options.Names {
		if _, err := os.Stat(filepath.Join(folder, name, "held.json")); err != nil {
			t.Errorf("%s keeps nothing on disk: %v", name, err)
		}
	}
}

// A node that has stopped must lose its session and must not be counted among those that know of a later drain;
// otherwise the rig's measurements would include dead nodes.
func TestStoppedNodeIsMissed(t *testing.T) {
	folder := t.TempDir()
	f, control := startVoters(t, folder)
	options := Options{Folder: folder, Names: []string{"n1", "n2"}}
	for _, name := range options.Names {
		if err := f.Write(folder, name, "a", ""); err != nil {
			t.Fatal(err)
		}
	}
	set, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	defer set.Stop()
	until(t, "all have a session", func() bool { return set.Counts().Live == 2 })
	set.nodes[1].kill()
	drain(t, control[0])
	what := ServerDrained(uint32(registry.ServerID(backend)))
	until(t, "the other one follows", func() bool { return set.Known(what).Nodes == 1 })
	until(t, "the leader reports its session as lapsed", func() bool {
		state, err := control[0].State(t.Context())
		return err == nil && state.Nodes["n2"].GetState() == fleet.Lapsed
	})
	if k := set.Known(what); k.Nodes != 1 {
		t.Errorf("known at %d nodes", k.Nodes)
	}
}

// The notes must stay bounded in a long run: beyond maxNotes kinds the oldest kind is dropped.
func TestNotesAreBounded(t *testing.T) {
	s := &Set{notes: map[string]map[string]time.Time{}}
	for i := range maxNotes + 5 {
		s.note("n1", fmt.Sprint(i))
	}
	if len(s.notes) != maxNotes || len(s.noteOrder) != maxNotes || s.Known("4").Nodes != 0 || s.Known("5").Nodes != 1 {
		t.Errorf("%d notes of %d kinds", len(s.notes), len(s.noteOrder))
	}
}

// A process must answer each line with one line, reject unknown requests by name, and end with its input.
func TestMainAnswers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "nodes.json")
	raw, err := json.Marshal(Options{})
	if err == nil {
		err = os.WriteFile(file, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Main(file,
		strings.NewReader(`{"do":"counts"}`+"\n"+`{"do":"known","what":"x"}`+"\n"+`{"do":"jump"}`+"\n"), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], `"counts":{"nodes":0`) || !strings.Contains(lines[1],
		`"known":{"nodes":0`) || !strings.Contains(lines[2], `unknown request`) {
		t.Errorf("%q", lines)
	}
	if err := Main(file+"x", strings.NewReader(""), io.Discard); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is missing: %v", err)
	}
	if err := Main(file, strings.NewReader("no json\n"), io.Discard); err == nil {
		t.Error("a line that is not a request was accepted")
	}
}
