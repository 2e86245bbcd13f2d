package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

// testFleet is a fleet whose nodes run in this process and use real sockets. The first three are voters.
type testFleet struct {
	t       *testing.T
	configs []*Config
	running []*Control
	ended   []chan struct{}
}

// startFleet starts count nodes and waits until all have a session. They end with the test, which then checks that no
// goroutine is left.
func startFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	before := goleak.IgnoreCurrent()
	dir, authority := t.TempDir(), new(standin.Authority)
	var err error
	if authority, err = standin.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	addresses := freeAddresses(t, 3)
	fleet := &testFleet{t: t, running: make([]*Control, count), ended: make([]chan struct{}, count)}
	for i := range count {
		fleet.configs = append(fleet.configs, writeNode(t, dir, authority, fmt.Sprintf("n%d", i+1), addresses, i < 3))
		fleet.start(i)
	}
	t.Cleanup(func() {
		for i := range fleet.running {
			fleet.stop(i)
		}
		goleak.VerifyNone(t, before)
	})
	for _, n := range fleet.running {
		testkit.WaitFor(t, "no session", func() bool { return n.Status().Session > 0 })
	}
	return fleet
}

// freeAddresses returns free UDP addresses with ports below the kernel's ephemeral ports.
func freeAddresses(t *testing.T, count int) (list []string) {
	t.Helper()
	for len(list) < count {
		c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err != nil {
			continue
		}
		defer c.Close()
		list = append(list, c.LocalAddr().String())
	}
	return list
}

// writeNode writes a node's files to dir and loads its fleet file. voter is whether the node has to be one.
func writeNode(t *testing.T, dir string, authority *standin.Authority, name string, addresses []string,
	voter bool) *Config {
	t.Helper()
	_, cert, key, err := authority.Issue(name+".f.example.org", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[node]\nname = %q\ndomain = \"f.example.org\"\nzone = \"a\"\nroots = \"roots\"\n", name)
	fmt.Fprintf(&text, "certificate = \"%s.crt\"\nkey = \"%s.key\"\nfolder = \"%s-f\"\nsocket = \"%s.sock\"\n",
		name, name, name, name)
	text.WriteString("[timing]\nsession_ms = 2000\ntick_ms = 50\n")
	for i, address := range addresses {
		fmt.Fprintf(&text, "[[voter]]\nname = \"n%d\"\naddress = %q\n", i+1, address)
	}
	for file, content := range map[string][]byte{
		name + ".crt": cert, name + ".key": key, "roots": authority.RootPEM(), name + ".toml": []byte(text.String()),
	} {
		if err := os.WriteFile(filepath.Join(dir, file), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c, err := Load(filepath.Join(dir, name+".toml"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if c.IsVoter() != voter {
		t.Fatalf("%s votes: %v", name, c.IsVoter())
	}
	return c
}

func (m *testFleet) start(i int) {
	m.t.Helper()
	n, err := Open(m.configs[i], idleNode{}, idleNode{}, testkit.DiscardLog)
	if err != nil {
		m.t.Fatal(err)
	}
	n.ApplySavedOrders()
	ended := make(chan struct{})
	go func() { n.Run(); close(ended) }()
	m.running[i], m.ended[i] = n, ended
}

// stop ends a node without the final calls, and waits for its end.
func (m *testFleet) stop(i int) {
	if m.running[i] == nil {
		return
	}
	m.running[i].Stop()
	<-m.ended[i]
	m.running[i] = nil
}

// put proposes a transaction through a node, and repeats that until there is a result. ask is the request ID.
func (m *testFleet) put(i int, ask string, tx *configpb.Transaction) *configpb.Result {
	ctx, cancel := context.WithTimeout(m.t.Context(), 3*testkit.WaitLimit)
	defer cancel()
	for {
		what := &fleetpb.Entry_Configure{Configure: tx}
		r, err := m.running[i].Propose(ctx, &fleetpb.Entry{Ask: ask, What: what})
		if err == nil && r.Configuration != nil {
			return r.Configuration
		}
		if ctx.Err() != nil {
			m.t.Errorf("%s: %v, %v", ask, r, err)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (m *testFleet) get(i int) (*configpb.Snapshot, error) {
	ctx, cancel := context.WithTimeout(m.t.Context(), testkit.WaitLimit)
	defer cancel()
	a, err := m.running[i].Query(ctx, &configpb.Query{About: &configpb.Query_Snapshot{Snapshot: true}})
	return a.GetSnapshot(), err
}

func (m *testFleet) leader() int {
	for i := range 3 {
		if m.running[i] != nil && m.running[i].Status().Voter == "leads" {
			return i
		}
	}
	return -1
}

func serviceChange(name string, timeoutMs uint32) *configpb.Change {
	s := &configpb.Service{Name: name, TimeoutMs: timeoutMs}
	put := &configpb.Entry{Value: &configpb.Entry_Service{Service: s}}
	return &configpb.Change{What: &configpb.Change_Put{Put: put}}
}

// access is one write or read of an entry: the input of an operation in porcupine's history.
type access struct {
	key       string
	write     bool
	timeoutMs uint32
	condition *uint64
}

// accessResult is the result of an access.
type accessResult struct {
	code      configpb.Result_Code
	timeoutMs uint32
	revision  uint64 // of the entry
}

// registerState is the state of an entry in porcupine's model, which has a single copy.
type registerState struct {
	timeoutMs uint32
	revision  uint64
}

var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(access).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(registerState), input.(access), output.(accessResult)
		if !in.write {
			return out.timeoutMs == now.timeoutMs && out.revision == now.revision, now
		}
		holds := in.condition == nil || *in.condition == now.revision
		switch out.code {
		case configpb.Result_CONFLICT:
			return !holds, now
		case configpb.Result_UNCHANGED:
			return holds && now.revision > 0 && in.timeoutMs == now.timeoutMs, now
		case configpb.Result_APPLIED:
			return holds && out.revision > now.revision, registerState{in.timeoutMs, out.revision}
		}
		return false, now
	},
}

// Guards against a lost answer that makes a change fail: a client that repeats the request under the same request ID
// has to get the first result, though the change's condition does not hold any more.
func TestConfigurationRepeatedRequest(t *testing.T) {
	fleet := startFleet(t, 3)
	tx := &configpb.Transaction{Changes: []*configpb.Change{serviceChange("pay", 1)}}
	tx.Conditions = []*configpb.Condition{{Key: "service/pay"}}
	for try := range 2 {
		if r := fleet.put(try, "a", tx); r.GetCode() != configpb.Result_APPLIED || r.GetRevision() != 1 {
			t.Errorf("try %d: %v", try, r)
		}
	}
	if r := fleet.put(1, "b", tx); r.GetCode() != configpb.Result_CONFLICT {
		t.Errorf("under another request ID: %v", r)
	}
}

// Guards against stale answers to queries, which only the leader may answer. A watch request is answered by any voter,
// but only in the caller's own name.
func TestOnlyTheLeaderAnswers(t *testing.T) {
	fleet := startFleet(t, 3)
	fleet.put(0, "a", &configpb.Transaction{Changes: []*configpb.Change{serviceChange("pay", 1)}})
	query, _ := proto.Marshal(&configpb.Query{About: &configpb.Query_Snapshot{Snapshot: true}})
	watchRequest, _ := proto.Marshal(&configpb.WatchRequest{Node: "n9"})
	testkit.WaitFor(t, "all nodes have the revision, and one leads", func() bool {
		for _, n := range fleet.running {
			if n.Status().ConfigurationRevision != 1 || n.Status().Voter == "waits" {
				return false
			}
		}
		return fleet.leader() >= 0
	})
	testkit.WaitFor(t, "one answers as the leader", func() bool {
		leaders := 0
		for _, n := range fleet.running {
			if status, _ := n.voter.handleCall(t.Context(), "n9.f.example.org", kindQuery, query); status == statusOK {
				leaders++
			}
		}
		if leaders > 1 {
			t.Fatalf("%d voters answer as the leader", leaders)
		}
		return leaders == 1
	})
	for _, n := range fleet.running {
		if status, raw := n.voter.handleCall(t.Context(), "n9.f.example.org", kindWatch, watchRequest); status != statusOK {
			t.Errorf("watch: %d, %s", status, raw)
		}
		if status, _ := n.voter.handleCall(t.Context(), "n8.f.example.org", kindWatch, watchRequest); status != statusRejected {
			t.Errorf("watch of another node: %d", status)
		}
	}
}

// Guards against nodes that can't catch up after more changes than the voters keep for watches: both a node that lost
// its folder and one that still has it get to the last revision, by a snapshot.
func TestSnapshotOverTheNetwork(t *testing.T) {
	fleet := startFleet(t, 5)
	if r := fleet.put(4, "first", &configpb.Transaction{Changes: []*configpb.Change{serviceChange("pay", 1)}}); r == nil {
		t.FailNow()
	}
	has := func(i int, revision uint64) func() bool {
		return func() bool { return fleet.running[i].Status().ConfigurationRevision == revision }
	}
	testkit.WaitFor(t, "the first revision", has(4, 1))
	testkit.WaitFor(t, "the first revision", has(3, 1))
	fleet.stop(3)
	fleet.stop(4)
	if err := os.RemoveAll(fleet.configs[4].Folder); err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 4 {
		tx := &configpb.Transaction{}
		for j := range 200 {
			path := make([]byte, 900)
			for k := range path {
				path[k] = byte('a' + random.IntN(26))
			}
			name := fmt.Sprintf("r-%d-%d", i, j)
			route := &configpb.Route{Name: name, Host: "*", PathPrefix: "/" + string(path), Service: "pay"}
			put := &configpb.Entry{Value: &configpb.Entry_Route{Route: route}}
			tx.Changes = append(tx.Changes, &configpb.Change{What: &configpb.Change_Put{Put: put}})
		}
		if r := fleet.put(0, fmt.Sprint("large", i), tx); r.GetRevision() != uint64(i+2) {
			t.Fatal(r)
		}
	}
	fleet.start(3)
	fleet.start(4)
	testkit.WaitFor(t, "the node without a folder", has(4, 5))
	testkit.WaitFor(t, "the node with its folder", has(3, 5))
	if log := fleet.running[4].configuration.Status().Log; log == "" || log != fleet.running[3].configuration.Status().Log {
		t.Errorf("the log is %q", log)
	}
}

// Guards against lost updates, stale reads and revisions that are assigned twice when leaders fail: clients write, with
// and without conditions, and read through all nodes at once, while leaders stop and start again. The history has to be
// linearizable (checked by porcupine).
func TestConfigurationIsLinearizable(t *testing.T) {
	fleet := startFleet(t, 5)
	const workers = 4
	var mu sync.Mutex
	var history []porcupine.Operation
	given := map[uint64]string{}
	began := time.Now()
	record := func(worker int, in access, from time.Duration, out accessResult) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: worker, Input: in, Call: int64(from), Output: out,
			Return: int64(time.Since(began))})
	}
	recorded := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(history)
	}
	enough := make(chan struct{})
	var work sync.WaitGroup
	for worker := range workers {
		work.Go(func() {
			r := rand.New(rand.NewPCG(7, uint64(worker)))
			for i := 0; ; i++ {
				select {
				case <-enough:
					return
				default:
				}
				in := access{key: fmt.Sprint("s", r.IntN(3)), write: r.IntN(2) == 0, timeoutMs: uint32(1 + r.IntN(3))}
				from, through := time.Since(began), 3+r.IntN(2)
				if !in.write || r.IntN(2) == 0 { // a conditional put reads the entry's revision first
					s, err := fleet.get(through)
					if err != nil {
						continue
					}
					e := entryOf(s, in.key)
					out := accessResult{timeoutMs: e.GetService().GetTimeoutMs(), revision: e.GetRevision()}
					record(worker, access{key: in.key}, from, out)
					if !in.write {
						continue
					}
					in.condition = &out.revision
				}
				ask := fmt.Sprintf("w%d-%d", worker, i)
				tx := &configpb.Transaction{Changes: []*configpb.Change{serviceChange(in.key, in.timeoutMs)}, By: ask}
				if in.condition != nil {
					c := &configpb.Condition{Key: configuration.ServiceKey(in.key), Revision: *in.condition}
					tx.Conditions = append(tx.Conditions, c)
				}
				from = time.Since(began)
				result := fleet.put(through, ask, tx)
				if result == nil {
					return
				}
				record(worker, in, from, accessResult{code: result.Code, revision: result.Revision})
				mu.Lock()
				if other := given[result.Revision]; result.Code == configpb.Result_APPLIED && other != "" {
					t.Errorf("revision %d assigned to both %s and %s", result.Revision, other, ask)
				} else if result.Code == configpb.Result_APPLIED {
					given[result.Revision] = ask
				}
				mu.Unlock()
			}
		})
	}
	stopLeaders(t, fleet, recorded)
	close(enough)
	work.Wait()
	if !porcupine.CheckOperations(registers, history) {
		t.Error("the history is not linearizable")
	}
	last, err := fleet.get(4)
	if err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "all nodes have the last revision", func() bool {
		for _, n := range fleet.running {
			if n.Status().ConfigurationRevision != last.Revision {
				return false
			}
		}
		return true
	})
}

// stopLeaders stops the leader and starts it again, three times, with some operations before and after each.
func stopLeaders(t *testing.T, fleet *testFleet, operations func() int) {
	t.Helper()
	const between = 40
	for range 3 {
		before := operations()
		testkit.WaitFor(t, "operations go on", func() bool { return operations() >= before+between })
		leader := -1
		testkit.WaitFor(t, "a leader", func() bool { leader = fleet.leader(); return leader >= 0 })
		fleet.stop(leader)
		fleet.start(leader)
	}
	before := operations()
	testkit.WaitFor(t, "operations go on", func() bool { return operations() >= before+between })
}

// entryOf returns the entry of a service in a snapshot, or nil.
func entryOf(s *configpb.Snapshot, service string) *configpb.Entry {
	for _, e := range s.GetEntries() {
		if configuration.Key(e) == configuration.ServiceKey(service) {
			return e
		}
	}
	return nil
}

// Checks the checker: a history with a stale read, an ignored or wrongly failed condition, a revision that goes back or
// a lost update must not pass as linearizable.
func TestLinearizableFindsFaults(t *testing.T) {
	one := uint64(1)
	type operations = []porcupine.Operation
	put := func(at int64, timeout uint32, condition *uint64, code configpb.Result_Code, revision uint64) operations {
		return operations{{Input: access{key: "s", write: true, timeoutMs: timeout, condition: condition},
			Call: at, Output: accessResult{code: code, revision: revision}, Return: at + 1}}
	}
	read := func(at int64, timeout uint32, revision uint64) operations {
		return operations{{Input: access{key: "s"}, Call: at, Return: at + 1,
			Output: accessResult{timeoutMs: timeout, revision: revision}}}
	}
	const applied, conflict = configpb.Result_APPLIED, configpb.Result_CONFLICT
	first, second := put(1, 5, nil, applied, 1), put(3, 6, nil, applied, 2)
	for name, c := range map[string]struct {
		history []operations
		good    bool
	}{
		"good":        {[]operations{first, put(3, 6, &one, applied, 2), read(5, 6, 2)}, true},
		"stale read":  {[]operations{first, second, read(5, 5, 1)}, false},
		"overlooked":  {[]operations{put(1, 5, nil, applied, 4), put(3, 6, &one, applied, 5)}, false},
		"in vain":     {[]operations{first, put(3, 6, &one, conflict, 1)}, false},
		"back":        {[]operations{put(1, 5, nil, applied, 2), put(3, 6, nil, applied, 1)}, false},
		"lost update": {[]operations{first, read(3, 0, 0)}, false},
	} {
		if got := porcupine.CheckOperations(registers, slices.Concat(c.history...)); got != c.good {
			t.Errorf("%s: %v", name, got)
		}
	}
}
