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
	Path           string
	Name           string // of this node
	Domain         string // the node's certificate is for NAME.DOMAIN
	Zone           string
	Listen         netip.AddrPort // UDP address of a voter; the zero value if the node is no voter
	Folder         string         // for the files that have to survive a restart
	Socket         string         // path of the Unix socket of the operators' API
	SessionTimeout time.Duration  // a session without a keep-alive ends after this time
	TickInterval   time.Duration  // between two ticks of the voters' raft clocks
	Voters         []Voter        // in the file's order
	Budgets        []*fleetpb.Budget
	Identities     *link.IdentityStore
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
	minSessionMs, maxSessionMs = 1000, 60_000
	minTickMs, maxTickMs       = 10, 1000
	minSessionTicks            = 20 // least session timeout, in ticks: an election ends within this time
)

var nodeNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,60}[a-z0-9])?$`)

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
	content := file{}
	content.Timing.SessionMs, content.Timing.TickMs = 5000, 100
	if err := tomlfile.Decode(path, raw, &content); err != nil {
		return nil, err
	}
	keyError := tomlfile.KeyErrors(path, raw)
	pathOf := tomlfile.RelativeTo(path)
	node := content.Node
	config := &Config{Path: path, Name: node.Name, Domain: node.Domain, Zone: node.Zone,
		Folder: pathOf(node.Folder), Socket: pathOf(node.Socket),
		SessionTimeout: time.Duration(content.Timing.SessionMs) * time.Millisecond,
		TickInterval:   time.Duration(content.Timing.TickMs) * time.Millisecond}
	if !nodeNamePattern.MatchString(node.Name) {
		return nil, keyError("node.name", "want a name of letters, digits and hyphens, have %q", node.Name)
	}
	if !gateway.HostName(node.Domain) {
		return nil, keyError("node.domain", "want a DNS name in lower case, have %q", node.Domain)
	}
	for key, v := range map[string]string{"node.folder": node.Folder, "node.socket": node.Socket, "node.zone": node.Zone} {
		if v == "" {
			return nil, keyError(key, "is missing")
		}
	}
	for _, l := range []struct {
		key               string
		have, least, most int
	}{{"timing.session_ms", content.Timing.SessionMs, minSessionMs, maxSessionMs},
		{"timing.tick_ms", content.Timing.TickMs, minTickMs, maxTickMs}} {
		if l.have < l.least || l.have > l.most {
			return nil, keyError(l.key, "want %d to %d, have %d", l.least, l.most, l.have)
		}
	}
	if content.Timing.SessionMs < minSessionTicks*content.Timing.TickMs {
		return nil, keyError("timing.session_ms",
			"want %d ticks at least, so that a new leader is elected within a session", minSessionTicks)
	}
	if len(content.Voter) != 3 && len(content.Voter) != 5 {
		return nil, keyError("voter", "want 3 or 5, have %d", len(content.Voter))
	}
	seen := map[string]bool{}
	for i, v := range content.Voter {
		key := fmt.Sprintf("voter[%d].", i)
		at, err := netip.ParseAddrPort(v.Address)
		switch {
		case !nodeNamePattern.MatchString(v.Name) || seen[v.Name]:
			return nil, keyError(key+"name", "want a name of its own, have %q", v.Name)
		case err != nil || seen[v.Address]:
			return nil, keyError(key+"address", "want IP:port of its own, have %q", v.Address)
		}
		seen[v.Name], seen[v.Address] = true, true
		config.Voters = append(config.Voters, Voter{v.Name, v.Address})
		if v.Name == config.Name {
			config.Listen = at
		}
	}
	if node.Listen != "" {
		at, err := netip.ParseAddrPort(node.Listen)
		switch {
		case err != nil:
			return nil, keyError("node.listen", "want IP:port, have %q", node.Listen)
		case !config.IsVoter():
			return nil, keyError("node.listen", "%s is not a voter, so it must not listen", config.Name)
		}
		config.Listen = at
	}
	for _, b := range content.Budget {
		budget := &fleetpb.Budget{Name: b.Name, On: b.On, By: b.By, Only: b.Only,
			MostShare: b.MostShare, LeastLeft: b.LeastLeft}
		if b.MostOut != nil {
			budget.Bounded, budget.MostOut = true, *b.MostOut
		}
		config.Budgets = append(config.Budgets, budget)
	}
	if i, field, err := fleet.CheckBudgets(config.Budgets); err != nil {
		return nil, keyError(fmt.Sprintf("budget[%d].%s", i, field), "%v", err)
	}
	identity := &link.Identity{Site: config.fullName(config.Name)}
	var err error
	if identity.Certificate, err = tls.LoadX509KeyPair(pathOf(node.Certificate), pathOf(node.Key)); err != nil {
		return nil, keyError("node.certificate", "%v", err)
	}
	if err := gateway.CheckCertificate(identity.Certificate.Leaf, identity.Site, now); err != nil {
		return nil, keyError("node.certificate", "%v", err)
	}
	roots, err := gateway.ReadRoots(pathOf(node.Roots), now)
	if err != nil {
		return nil, keyError("node.roots", "%v", err)
	}
	identity.Peers = []link.Peer{{Name: config.Domain, NameIsDomain: true, Roots: roots}}
	config.Identities = link.NewIdentityStore(identity)
	return config, nil
}

// IsVoter reports whether this node is a voter.
func (c *Config) IsVoter() bool { return c.Listen.IsValid() }

// fullName returns the name in the certificate of a node.
func (c *Config) fullName(node string) string { return node + "." + c.Domain }

// shortName returns the node's name from the name in its certificate.
func (c *Config) shortName(name string) string { return strings.TrimSuffix(name, "."+c.Domain) }
