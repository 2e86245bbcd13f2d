package control

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/standin"
)

// writeFolder writes a fleet file with that text, the certificate of n1 and its root into a new folder, and returns the
// file's path.
func writeFolder(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	_, cert, key, err := authority.Issue("n1.fleet.hall-a.example.org", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"n1.crt": cert, "n1.key": key, "fleet.roots": authority.RootPEM(), "fleet.toml": []byte(text),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "fleet.toml")
}

// Checks that the example of a fleet file is valid, and that the error for an invalid file is one line with line and
// key.
func TestConfig(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(raw)
	c, err := Load(writeFolder(t, good), time.Now())
	if err != nil || !c.IsVoter() || len(c.Voters) != 3 || len(c.Budgets) != 2 ||
		c.SessionTimeout != 5*time.Second || !c.Budgets[0].Bounded || c.Budgets[1].Bounded {
		t.Fatalf("%+v, %v", c, err)
	}
	for name, x := range map[string]struct{ from, to, want string }{
		"unknown key":       {"zone = ", "zoen = ", "fleet.toml:7: node.zoen: unknown key"},
		"odd name":          {`name = "n1" `, `name = "N 1" `, "fleet.toml:5: node.name"},
		"no folder":         {`folder = "fleet-n1"`, `folder = ""`, "node.folder: is missing"},
		"another's name":    {`name = "n1" `, `name = "n4" `, "node.certificate"},
		"two voters":        {"[[voter]]\nname = \"n3\"\naddress = \"127.0.0.1:7503\"", "", "voter: want 3 or 5, have 2"},
		"a voter twice":     {`name = "n3"`, `name = "n2"`, "voter[2].name"},
		"an address twice":  {"7503", "7502", "voter[2].address"},
		"a host name":       {`"127.0.0.1:7503"`, `"n3:7503"`, "voter[2].address"},
		"a short session":   {"session_ms = 5000", "session_ms = 1000", "timing.session_ms: want 20 ticks"},
		"a long tick":       {"tick_ms = 100", "tick_ms = 5000", "timing.tick_ms: want 10 to 1000"},
		"odd budget":        {`by = "zone"`, `by = "rack"`, "budget[0].by"},
		"budget of nothing": {"most_out = 2 ", "most_share = 0.0 ", "budget[0].most_out: want most_out, most_share or least_left"},
		"share over 1":      {"least_left = 0.7", "least_left = 7.0", "budget[1].least_left"},
		"two of one name":   {`name = "capacity"`, `name = "a-hall"`, "budget[1].name"},
		"cells of nodes":    {`on = "servers"                           # or`, `on = "nodes" #`, ""},
	} {
		if !strings.Contains(good, x.from) {
			t.Fatalf("%s: the example has no %q", name, x.from)
		}
		_, err := Load(writeFolder(t, strings.Replace(good, x.from, x.to, 1)), time.Now())
		if x.want == "" && err != nil ||
			x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %v, want %q", name, err, x.want)
		}
	}
	if _, err := Load(writeFolder(t, good), time.Now().Add(48*time.Hour)); err == nil ||
		!strings.Contains(err.Error(), "node.certificate") {
		t.Errorf("an expired certificate: %v", err)
	}
}

// Guards against a node that submits entries in another node's name, or entries that only the leader may write.
func TestCheckSender(t *testing.T) {
	for name, c := range map[string]struct {
		entry *fleetpb.Entry
		good  bool
	}{
		"own session":       {&fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: "n1"}}}, true},
		"another's session": {&fleetpb.Entry{What: &fleetpb.Entry_Open{Open: &fleetpb.OpenSession{Node: "n2"}}}, false},
		"another's end":     {&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: "n2"}}}, false},
		"a lapsed session":  {&fleetpb.Entry{What: &fleetpb.Entry_End{End: &fleetpb.EndSession{Node: "n1", Lapsed: true}}}, false},
		"another's ack": {&fleetpb.Entry{What: &fleetpb.Entry_Stopped{Stopped: &fleetpb.Stopped{
			Acks: []*fleetpb.Ack{{Node: "n1"}, {Node: "n2"}}}}}, false},
		"another's leaving": {&fleetpb.Entry{What: &fleetpb.Entry_Leaving{Leaving: &fleetpb.Leaving{Node: "n2"}}}, false},
		"the registry":      {&fleetpb.Entry{What: &fleetpb.Entry_Listed{Listed: &fleetpb.Listed{}}}, false},
		"the leader's view": {&fleetpb.Entry{What: &fleetpb.Entry_Observed{Observed: &fleetpb.Observed{}}}, false},
		"a drain":           {&fleetpb.Entry{What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{}}}, true},
		"nothing":           {&fleetpb.Entry{}, false},
	} {
		if err := checkSender("n1", c.entry); (err == nil) != c.good {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A server counts as dead once half of the nodes with a session report it, and until fewer than a quarter do. Nodes
// without a session don't count.
func TestEvidence(t *testing.T) {
	state := &fleetpb.State{Servers: map[string]*fleetpb.Server{"s-1": {}, "s-2": {}}, Nodes: map[string]*fleetpb.Node{}}
	for _, n := range []string{"n1", "n2", "n3", "n4", "n5"} {
		state.Nodes[n] = &fleetpb.Node{State: "live"}
	}
	state.Nodes["n5"].State = "lapsed"
	for _, c := range []struct {
		by        map[string][]string
		was       bool
		unchanged bool
		dead      string
	}{
		{map[string][]string{"n1": {"s-1"}}, false, true, ""},
		{map[string][]string{"n1": {"s-1"}, "n5": {"s-1"}}, false, true, ""},
		{map[string][]string{"n1": {"s-1", "s-9"}, "n2": {"s-1"}}, false, false, "s-1"},
		{map[string][]string{"n1": {"s-1"}}, true, true, "s-1"},
		{map[string][]string{}, true, false, ""},
		{map[string][]string{"n1": {"s-1", "s-2"}, "n2": {"s-2"}, "n3": {"s-1"}, "n4": {"s-2"}}, true, false, "s-1 s-2"},
	} {
		state.Servers["s-1"].Dead = c.was
		if unchanged, dead := deadServers(state, c.by); unchanged != c.unchanged || strings.Join(dead, " ") != c.dead {
			t.Errorf("%v, dead before %v: unchanged %v, dead %v", c.by, c.was, unchanged, dead)
		}
	}
}

// Checks that all differences between the registry's list and the state are found, and none while the list is not
// known.
func TestDifference(t *testing.T) {
	known := map[string]*fleetpb.Server{"a": {Id: "a", State: "ready", Weight: 1}, "b": {Id: "b", State: "ready"},
		"c": {Id: "c", State: "gone"}}
	if d := changedServers(known, nil); d != nil {
		t.Errorf("changes by a list that is not known: %v", d)
	}
	var got []string
	for _, s := range changedServers(known, []*fleetpb.Server{{Id: "a", State: "ready", Weight: 2},
		{Id: "d", State: "draining"}}) {
		got = append(got, s.Id+" "+s.State)
	}
	if strings.Join(got, ", ") != "a ready, b gone, d draining" {
		t.Error(got)
	}
	if d := changedServers(known, []*fleetpb.Server{known["a"], known["b"]}); len(d) != 0 {
		t.Errorf("changes by an unchanged list: %v", d)
	}
}
