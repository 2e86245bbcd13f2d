package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/control"
)

// configured is a cluster of real processes with helpers for the config command.
type configured struct {
	*testing.T
	*cluster
}

// file writes a configuration file and returns its path.
func (c *configured) file(text string) string {
	c.Helper()
	path := filepath.Join(c.TempDir(), "change.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.Fatal(err)
	}
	return path
}

// runConfig runs a config command through a member. It fails the test unless the exit code is code and the output
// contains part. It returns the output.
func (c *configured) runConfig(member, code int, part string, args ...string) string {
	c.Helper()
	text, got := c.command(c.Context(), c.members[member], "config", args...)
	if got != code || !strings.Contains(text, part) {
		c.Fatalf("%v: exit code %d, %s; want %d with %q", args, got, text, code, part)
	}
	return text
}

// status returns a member's own status; it is empty if the member does not answer.
func (c *configured) status(member int) (h control.NodeStatus) {
	h, _ = control.NewAPIClient(c.members[member].socket).Status(c.Context()) // a member that does not run has an empty status
	return h
}

// waitUntil waits until done, and fails the test if that takes longer than settleWait.
func (c *configured) waitUntil(what string, done func() bool) {
	c.Helper()
	for end := time.Now().Add(settleWait); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("%s: not within %v\n%s", what, settleWait, strings.Join(c.members[0].logs(), "\n"))
		}
	}
}

// leader waits for a leader and returns its index.
func (c *configured) leader() (index int) {
	c.Helper()
	c.waitUntil("a leader", func() bool {
		for i := range c.voters {
			if c.status(i).Voter == "leads" {
				index = i
				return true
			}
		}
		return false
	})
	return index
}

// Guards against changes of the configuration that are lost, applied twice or applied in part when voters fail. Six
// processes run, three of them control machines. The leader is killed, cut off, and killed between a grant and its answer,
// and all voters are killed at once.
func TestConfigurationUnderFaults(t *testing.T) {
	schedule := filepath.Join(t.TempDir(), "schedule")
	if err := os.WriteFile(schedule, []byte(`schedule {"at":1,"length":1,"kind":"kill","node":-1}
schedule {"at":4,"length":2,"kind":"cut","node":-1}
schedule {"at":7.5,"length":1,"kind":"all-voters","node":0}
schedule {"at":10,"length":1,"kind":"kill-grant","node":-1}
`), 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	text, broken := capture(t, func(r *report) {
		err = configurationRig(t.Context(),
			&options{seed: 1, quick: true, out: r, schedule: schedule, length: 13 * time.Second})
	})
	if err != nil || broken != 0 || strings.Count(text, "kept ") != 6 {
		t.Errorf("%v, %d broken\n%s", err, broken, text)
	}
	for _, none := range []string{"puts.applied 0 ", "samples 0 ", "caches 0 "} {
		if strings.Contains(text, none) {
			t.Errorf("the run shows nothing: %s", text)
		}
	}
}

// Guards against checkers that overlook violations: each one finds a planted violation of its kind, and none in a good
// run.
func TestConfigurationCheckersFindFaults(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	type observed struct {
		puts    []configurationPut
		history []*configpb.Revision
		samples []configurationSample
		caches  []configurationCache
	}
	good := func() *observed {
		s, store := &observed{}, configuration.New()
		for i, condition := range []uint64{0, 1, 0, 2} {
			put := configurationPut{requestID: fmt.Sprint("op", i), pair: i / 2 % 2, condition: condition, from: at(100 * i)}
			if i == 3 {
				put.pair, put.condition = 1, 3
			}
			tx := pairChange(put.pair, uint32(i+1), put.condition)
			tx.By = put.requestID
			o, err := store.Commit(1, tx)
			if err != nil {
				t.Fatal(err)
			}
			put.code, put.revision, put.to = configpb.Result_APPLIED, o.Revision, at(100*i+50)
			s.puts = append(s.puts, put)
			s.samples = append(s.samples, configurationSample{"n1", 7, o.Revision, at(100*i + 60)})
			s.caches = append(s.caches, configurationCache{"n1", proto.CloneOf(store.Snapshot())})
		}
		s.puts = append(s.puts, configurationPut{requestID: "late", pair: 1, code: configpb.Result_CONFLICT, revision: 4})
		s.samples = append(s.samples, configurationSample{"n1", 8, 2, at(900)}) // another process of n1, which started from its cache
		list, err := store.History(0, 10)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range list {
			s.history = append(s.history, proto.CloneOf(r))
		}
		return s
	}
	lost := func(s *observed) []string { return lostRevisions(s.puts, s.history) }
	conditions := func(s *observed) []string { return brokenConditions(s.puts, s.history) }
	order := func(s *observed) []string { return outOfOrder(s.samples, s.puts, s.history) }
	partial := func(s *observed) []string { return appliedInPart(s.caches, s.history) }
	for _, check := range []func(*observed) []string{lost, conditions, order, partial} {
		if faults := check(good()); len(faults) > 0 {
			t.Errorf("in a good run: %v", faults)
		}
	}
	for name, c := range map[string]struct {
		check func(*observed) []string
		plant func(*observed)
	}{
		"lost":                    {lost, func(s *observed) { s.history = s.history[:3] }},
		"twice":                   {lost, func(s *observed) { s.history[3].By = "op2" }},
		"other revision returned": {lost, func(s *observed) { s.puts[1].revision = 3 }},
		"after conflict":          {lost, func(s *observed) { s.puts[2].code = configpb.Result_CONFLICT }},
		"nobody's":                {lost, func(s *observed) { s.puts = s.puts[1:] }},
		"gap":                     {lost, func(s *observed) { s.history[2].Number = 9 }},
		"condition":               {conditions, func(s *observed) { s.puts[1].condition = 0 }},
		"back":                    {order, func(s *observed) { s.samples[3].revision = 1 }},
		"ahead":                   {order, func(s *observed) { s.samples[2].at = at(100) }},
		"of nothing":              {order, func(s *observed) { s.samples[3].revision = 5 }},
		"half":                    {partial, func(s *observed) { s.caches[3].snapshot.Entries[1].GetService().TimeoutMs = 99 }},
		"missing":                 {partial, func(s *observed) { s.caches[3].snapshot.Entries = s.caches[3].snapshot.Entries[1:] }},
		"no such state":           {partial, func(s *observed) { s.caches[3].snapshot.Revision = 9 }},
		"other revision":          {partial, func(s *observed) { s.caches[3].snapshot.Revision = 2 }},
	} {
		s := good()
		if c.plant(s); len(c.check(s)) == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}

const serviceTable = "[[service]]\nname = \"pay\"\ntimeout_ms = "

// Guards against changes that do not reach all nodes or are lost when processes end. Seven processes run, three of them
// control machines. A valid change is in force at all nodes, an invalid one is refused with its line in the file, a change
// can be made after the leader was killed, and a change is rolled back. A node that starts without control machines has the
// configuration from its cache; one whose cache is truncated logs that, and gets the configuration from a control machine.
func TestConfigurationOnProcesses(t *testing.T) {
	p, _ := smallCluster(t, 4, 7, drainsBudget, "a", "b")
	c := &configured{T: t, cluster: p}
	first := c.file(serviceTable + "1000\n[[route]]\nname = \"all\"\nhost = \"*\"\npath_prefix = \"/\"\nservice = \"pay\"\n")
	t.Log(c.runConfig(5, 0, "in force at all 7 nodes", "put", first, "--wait", "20s", "--why", "the first"))
	c.runConfig(6, 0, "revision 1, in force: 1; 7 nodes", "status")
	c.runConfig(0, 1, "change.toml:2: service[0].name", "put", c.file("[[service]]\nname = \"a b\"\n"))
	route := "[[route]]\nname = \"r\"\nhost = \"a.org\"\npath_prefix = \"/\"\nservice = \"none\"\n"
	c.runConfig(1, 1, "change.toml:5: route[0].service: route/r: there is no service none", "put", c.file(route))
	c.runConfig(2, 3, "service/pay is of revision 1, expected of revision 9", "put", c.file(serviceTable+"5\nif_revision = 9\n"))
	c.runConfig(3, 0, "1 of 1 entries differ from revision 1", "diff", c.file(serviceTable+"2000\n"))
	c.runConfig(4, 0, "unchanged, revision 1", "put", first)

	leader := c.leader()
	p.members[leader].kill()
	other := (leader + 1) % 3
	t.Log(c.runConfig(other, 0, "in force at all 6 nodes", "put", c.file(serviceTable+"2000\n"), "--wait", "30s"))
	if err := p.startMember(t.Context(), leader); err != nil {
		t.Fatal(err)
	}
	if err := p.awaitSettled(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.waitUntil("the old leader has the change", func() bool { return c.status(leader).ConfigurationRevision == 2 })

	p.members[5].kill()
	cache := filepath.Join(p.members[5].folder, "configuration.cache")
	if err := os.Truncate(cache, 50); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		p.members[i].kill()
	}
	p.members[6].kill()
	for _, i := range []int{5, 6} {
		if err := p.startMember(t.Context(), i); err != nil {
			t.Fatal(err)
		}
	}
	// The cache may be some seconds older than the configuration that the node had.
	c.waitUntil("a configuration from the cache, without a control machine", func() bool { return c.status(6).ConfigurationRevision >= 1 })
	c.waitUntil("the truncated cache is logged", func() bool {
		return strings.Contains(strings.Join(p.members[5].logs(), ""), "it is torn off; it is kept as")
	})
	if h := c.status(3); h.ConfigurationRevision != 2 {
		t.Errorf("a node that went on: %+v", h)
	}
	c.runConfig(3, 6, "out of reach", "status")
	for i := range 3 {
		if err := p.startMember(t.Context(), i); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.awaitSettled(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.waitUntil("the configuration from a control machine, without a cache", func() bool { return c.status(5).ConfigurationRevision >= 2 })
	t.Log(c.runConfig(4, 0, "in force at all 7 nodes", "rollback", "1", "--wait", "20s", "--why", "too slow"))
	c.runConfig(5, 0, "timeout_ms = 1000", "get", "service/pay")
	c.runConfig(6, 0, "too slow", "history")
	c.runConfig(0, 1, "are known", "rollback", "99")
}
