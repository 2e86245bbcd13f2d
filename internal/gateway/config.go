// Package gateway holds what a node needs to exchange requests with other sites: the gateway configuration file, and
// the handler that passes a hand-off from another site to the node's own HTTP handler.
package gateway

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"starlingvalve/internal/link"
	"starlingvalve/internal/tomlfile"
)

// Config is a validated gateway file. Paths in the file are relative to its folder.
type Config struct {
	Path       string
	Listen     netip.AddrPort // UDP; nodes of other sites connect to this address
	Identity   *link.Identity
	Out, In    int     // limits of hand-offs in flight: to each site; from all sites together
	Entries    int     // limit of entries in the ledger
	Bytes      int     // limit of the answers that the ledger keeps, in bytes
	SpareShare float64 // share of the headroom that is offered to other sites, 0 to 1
}

// fileFormat is the layout of the TOML file.
type file struct {
	Site struct {
		Name        string `toml:"name"`
		Listen      string `toml:"listen"`
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
	} `toml:"site"`
	Limits struct {
		Out        int     `toml:"handoffs_out"`
		In         int     `toml:"handoffs_in"`
		Entries    int     `toml:"ledger_entries"`
		Bytes      int     `toml:"answer_bytes"`
		SpareShare float64 `toml:"spare_share"`
	} `toml:"limits"`
	Peer []struct {
		Name      string   `toml:"name"`
		Roots     string   `toml:"roots"`
		Addresses []string `toml:"addresses"`
	} `toml:"peer"`
}

// Largest values that a file may have.
const (
	mostHandoffs = 4096
	mostEntries  = 1_000_000
	mostBytes    = 1 << 30
	mostPeers    = 32
	mostAddrs    = 16
)

var hostName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)

// HostName reports whether text is a DNS name in lower case.
func HostName(text string) bool { return hostName.MatchString(text) }

// Load reads and validates a gateway file, and the certificates that it names, which have to be valid at now. An
// error in the file is reported as one line with file, line and key.
func Load(path string, now time.Time) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw, now)
}

// parse validates the text of a gateway file. Relative paths in it start at the folder of path.
func parse(path string, raw []byte, now time.Time) (*Config, error) {
	f := file{}
	f.Limits.Out, f.Limits.In, f.Limits.Entries, f.Limits.Bytes, f.Limits.SpareShare = 256, 256, 10_000, 16<<20, 0.5
	if err := tomlfile.Decode(path, raw, &f); err != nil {
		return nil, err
	}
	fault := tomlfile.KeyErrors(path, raw)
	c := &Config{Path: path, Out: f.Limits.Out, In: f.Limits.In, Entries: f.Limits.Entries, Bytes: f.Limits.Bytes, SpareShare: f.Limits.SpareShare,
		Identity: &link.Identity{Site: f.Site.Name}}
	var err error
	if !hostName.MatchString(f.Site.Name) {
		return nil, fault("site.name", "want a DNS name in lower case, have %q", f.Site.Name)
	}
	if c.Listen, err = netip.ParseAddrPort(f.Site.Listen); err != nil {
		return nil, fault("site.listen", "want IP:port, have %q", f.Site.Listen)
	}
	for _, l := range []struct {
		key               string
		have, most, least int
	}{{"limits.handoffs_out", c.Out, mostHandoffs, 1}, {"limits.handoffs_in", c.In, mostHandoffs, 1},
		{"limits.ledger_entries", c.Entries, mostEntries, 1}, {"limits.answer_bytes", c.Bytes, mostBytes, 0}} {
		if l.have < l.least || l.have > l.most {
			return nil, fault(l.key, "want %d to %d, have %d", l.least, l.most, l.have)
		}
	}
	if c.Entries < c.In {
		return nil, fault("limits.ledger_entries", "want as many as handoffs_in (%d) at least, have %d", c.In, c.Entries)
	}
	if !(c.SpareShare >= 0 && c.SpareShare <= 1) {
		return nil, fault("limits.spare_share", "want 0 to 1, have %v", c.SpareShare)
	}
	beside := tomlfile.RelativeTo(path)
	if c.Identity.Certificate, err = tls.LoadX509KeyPair(beside(f.Site.Certificate), beside(f.Site.Key)); err != nil {
		return nil, fault("site.certificate", "%v", err)
	}
	if err := Good(c.Identity.Certificate.Leaf, f.Site.Name, now); err != nil {
		return nil, fault("site.certificate", "%v", err)
	}
	if len(f.Peer) > mostPeers {
		return nil, fault("peer", "%d sites, at most %d are allowed", len(f.Peer), mostPeers)
	}
	seen := map[string]string{f.Site.Name: "site"}
	for i, p := range f.Peer {
		key := fmt.Sprintf("peer[%d].", i)
		if !hostName.MatchString(p.Name) {
			return nil, fault(key+"name", "want a DNS name in lower case, have %q", p.Name)
		}
		if other := seen[p.Name]; other != "" {
			return nil, fault(key+"name", "%q is already the name of %s", p.Name, other)
		}
		seen[p.Name] = fmt.Sprintf("peer[%d]", i)
		if len(p.Addresses) == 0 || len(p.Addresses) > mostAddrs {
			return nil, fault(key+"addresses", "want 1 to %d, have %d", mostAddrs, len(p.Addresses))
		}
		for _, a := range p.Addresses {
			at, err := netip.ParseAddrPort(a)
			if err != nil {
				return nil, fault(key+"addresses", "want IP:port, have %q", a)
			}
			if at == c.Listen {
				return nil, fault(key+"addresses", "%s is the address of this node", a)
			}
		}
		roots, err := ReadRoots(beside(p.Roots), now)
		if err != nil {
			return nil, fault(key+"roots", "%v", err)
		}
		c.Identity.Peers = append(c.Identity.Peers, link.Peer{Name: p.Name, Roots: roots, Addresses: p.Addresses})
	}
	return c, nil
}

// CheckCertificate returns an error unless a certificate is valid for a name, and valid at now.
func Good(leaf *x509.Certificate, name string, now time.Time) error {
	if err := leaf.VerifyHostname(name); err != nil {
		return err
	}
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("good from %s to %s only", leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	return nil
}

// ReadRoots reads a file of PEM certificates, at least one of which has to be valid at now.
func ReadRoots(path string, now time.Time) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool, some := x509.NewCertPool(), false
	for {
		var block *pem.Block
		if block, raw = pem.Decode(raw); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("%s: PEM block of type %q, want CERTIFICATE", path, block.Type)
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		pool.AddCert(cert)
		some = some || !now.Before(cert.NotBefore) && !now.After(cert.NotAfter)
	}
	if !some {
		return nil, fmt.Errorf("%s: no certificate in it is valid now", path)
	}
	return pool, nil
}
