// Package control is a node's part in what its fleet agrees on. It keeps the node's session alive, applies the fleet's
// drain orders to the node's event loop, acknowledges a drain once the node has stopped sending to the target, and
// serves an API for operators on a Unix socket. On a voter it also replicates the log (internal/agree) of the fleet's
// state (internal/fleet). No request waits for any of this, and a node that can't reach the voters continues to serve.
package control

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/gateway"
	"starlingvalve/internal/link"
	"starlingvalve/internal/tomlfile"
)

// Config is the content of a valid fleet file. Paths in the file are relative to its folder; here they are resolved.
type Config struct {
	Path    string
	Name    string // of this node
	Domain  string // the node's certificate is for NAME.DOMAIN
	Zone    string
	Listen  netip.AddrPort // UDP address of a voter; the zero value if the node is no voter
	Folder  string         // for the files that have to survive a restart
	Socket  string         // path of the Unix socket of the operators' API
	Life    time.Duration  // a session without a keep-alive ends after this time
	Tick    time.Duration  // between two ticks of the voters' raft clocks
	Voters  []Voter        // in the file's order
	Budgets []*fleetpb.Budget
	Keeper  *link.Keeper
}

// Voter is a node that replicates the log.
type Voter struct {
	Name    string
	Address string // UDP address, IP:port
}

// file is the TOML form of a fleet file.
type file struct {
	Node struct {
		Name        string `toml:"name"`
		Domain      string `toml:"domain"`
		Zone        string `toml:"zone"`
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Roots       string `toml:"roots"`
		Listen      string `toml:"listen"`
		Folder      string `toml:"folder"`
		Socket      string `toml:"socket"`
	} `toml:"node"`
	Timing struct {
		SessionMs int `toml:"session_ms"`
		TickMs    int `toml:"tick_ms"`
	} `toml:"timing"`
	Voter []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
	} `toml:"voter"`
	Budget []struct {
		Name      string  `toml:"name"`
		On        string  `toml:"on"`
		By        string  `toml:"by"`
		Only      string  `toml:"only"`
		MostOut   *uint32 `toml:"most_out"`
		MostShare float64 `toml:"most_share"`
		LeastLeft float64 `toml:"least_left"`
	} `toml:"budget"`
}

// Bounds of the values in a file, in milliseconds and ticks.
const (
	leastSession, mostSession = 1000, 60_000
	leastTick, mostTick       = 10, 1000
	sessionTicks              = 20 // least session timeout, in ticks: an election ends within this time
)

var nodeName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,60}[a-z0-9])?$`)

// Load reads a file and checks all of it, including that the certificates are valid at the time now. An error is one
// line with the file, the line and the key.
func Load(path string, now time.Time) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw, now)
}

func parse(path string, raw []byte, now time.Time) (*Config, error) {
	f := file{}
	f.Timing.SessionMs, f.Timing.TickMs = 5000, 100
	if err := tomlfile.Decode(path, raw, &f); err != nil {
		return nil, err
	}
	fault := tomlfile.KeyErrors(path, raw)
	beside := tomlfile.RelativeTo(path)
	n := f.Node
	c := &Config{Path: path, Name: n.Name, Domain: n.Domain, Zone: n.Zone, Folder: beside(n.Folder), Socket: beside(n.Socket),
		Life: time.Duration(f.Timing.SessionMs) * time.Millisecond, Tick: time.Duration(f.Timing.TickMs) * time.Millisecond}
	if !nodeName.MatchString(n.Name) {
		return nil, fault("node.name", "want a name of letters, digits and hyphens, have %q", n.Name)
	}
	if !gateway.HostName(n.Domain) {
		return nil, fault("node.domain", "want a DNS name in lower case, have %q", n.Domain)
	}
	for key, v := range map[string]string{"node.folder": n.Folder, "node.socket": n.Socket, "node.zone": n.Zone} {
		if v == "" {
			return nil, fault(key, "is missing")
		}
	}
	for _, l := range []struct {
		key               string
		have, least, most int
	}{{"timing.session_ms", f.Timing.SessionMs, leastSession, mostSession}, {"timing.tick_ms", f.Timing.TickMs, leastTick, mostTick}} {
		if l.have < l.least || l.have > l.most {
			return nil, fault(l.key, "want %d to %d, have %d", l.least, l.most, l.have)
		}
	}
	if f.Timing.SessionMs < sessionTicks*f.Timing.TickMs {
		return nil, fault("timing.session_ms", "want %d ticks at least, so that a new leader is elected within a session", sessionTicks)
	}
	if len(f.Voter) != 3 && len(f.Voter) != 5 {
		return nil, fault("voter", "want 3 or 5, have %d", len(f.Voter))
	}
	seen := map[string]bool{}
	for i, v := range f.Voter {
		key := fmt.Sprintf("voter[%d].", i)
		at, err := netip.ParseAddrPort(v.Address)
		switch {
		case !nodeName.MatchString(v.Name) || seen[v.Name]:
			return nil, fault(key+"name", "want a name of its own, have %q", v.Name)
		case err != nil || seen[v.Address]:
			return nil, fault(key+"address", "want IP:port of its own, have %q", v.Address)
		}
		seen[v.Name], seen[v.Address] = true, true
		c.Voters = append(c.Voters, Voter{v.Name, v.Address})
		if v.Name == c.Name {
			c.Listen = at
		}
	}
	if n.Listen != "" {
		at, err := netip.ParseAddrPort(n.Listen)
		switch {
		case err != nil:
			return nil, fault("node.listen", "want IP:port, have %q", n.Listen)
		case !c.Votes():
			return nil, fault("node.listen", "%s is not a voter, so it must not listen", c.Name)
		}
		c.Listen = at
	}
	for _, b := range f.Budget {
		p := &fleetpb.Budget{Name: b.Name, On: b.On, By: b.By, Only: b.Only, MostShare: b.MostShare, LeastLeft: b.LeastLeft}
		if b.MostOut != nil {
			p.Bounded, p.MostOut = true, *b.MostOut
		}
		c.Budgets = append(c.Budgets, p)
	}
	if i, field, err := fleet.CheckBudgets(c.Budgets); err != nil {
		return nil, fault(fmt.Sprintf("budget[%d].%s", i, field), "%v", err)
	}
	id := &link.Identity{Site: c.full(c.Name)}
	var err error
	if id.Certificate, err = tls.LoadX509KeyPair(beside(n.Certificate), beside(n.Key)); err != nil {
		return nil, fault("node.certificate", "%v", err)
	}
	if err := gateway.Good(id.Certificate.Leaf, id.Site, now); err != nil {
		return nil, fault("node.certificate", "%v", err)
	}
	roots, err := gateway.ReadRoots(beside(n.Roots), now)
	if err != nil {
		return nil, fault("node.roots", "%v", err)
	}
	id.Peers = []link.Peer{{Name: c.Domain, Members: true, Roots: roots}}
	c.Keeper = link.NewKeeper(id)
	return c, nil
}

// IsVoter reports whether this node is a voter.
func (c *Config) Votes() bool { return c.Listen.IsValid() }

// fullName returns the name in the certificate of a node.
func (c *Config) full(node string) string { return node + "." + c.Domain }

// shortName returns the node's name from the name in its certificate.
func (c *Config) short(name string) string { return strings.TrimSuffix(name, "."+c.Domain) }
