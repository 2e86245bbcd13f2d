// Package control is a node's part in what its fleet agrees on: it keeps a session, has its loop follow what is drained, says when it
// has stopped sending there, and lets operators ask. Where the node is a voter it also holds the log (internal/agree) of the fleet's
// state (internal/fleet). The path of a request never waits for any of it, and a node that can't reach the others serves on.
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

// Config is a fleet file, checked. Paths in it are relative to its folder.
type Config struct {
	Path    string
	Name    string // of this node
	Domain  string // NAME.DOMAIN is in its certificate
	Zone    string
	Listen  netip.AddrPort // UDP; invalid where the node is no voter
	Folder  string         // what has to last
	Socket  string         // where operators ask
	Life    time.Duration  // of a session that nobody hears
	Tick    time.Duration  // of the voters' clocks
	Voters  []Voter        // in the order of the file
	Budgets []*fleetpb.Budget
	Keeper  *link.Keeper
}

// Voter is one of those that hold the log.
type Voter struct {
	Name    string
	Address string // IP:port, UDP
}

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

// Bounds of the figures in a file.
const (
	leastSession, mostSession = 1000, 60_000
	leastTick, mostTick       = 10, 1000
	sessionTicks              = 20 // of a session, at least: a new leader is found within these
)

var nodeName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,60}[a-z0-9])?$`)

// Load reads a file and checks all of it, certificates included, against the time now. An error is one line with file,
// line and key.
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
		return nil, fault("timing.session_ms", "want %d ticks at least, so that a new leader is found within a session", sessionTicks)
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
			return nil, fault("node.listen", "%s is no voter: nobody calls it", c.Name)
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

// Votes tells whether this node is a voter.
func (c *Config) Votes() bool { return c.Listen.IsValid() }

// full is the name in a node's certificate, short the node's of such a name.
func (c *Config) full(node string) string { return node + "." + c.Domain }

func (c *Config) short(name string) string { return strings.TrimSuffix(name, "."+c.Domain) }
