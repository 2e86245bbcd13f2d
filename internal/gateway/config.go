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
	Path                          string
	Listen                        netip.AddrPort // UDP; nodes of other sites connect to this address
	Identity                      *link.Identity
	MaxHandOffsOut, MaxHandOffsIn int     // limits of hand-offs in flight: to each site; from all sites together
	LedgerEntries                 int     // limit of entries in the ledger
	LedgerBytes                   int     // limit of the answers that the ledger keeps, in bytes
	SpareShare                    float64 // share of the headroom that is offered to other sites, 0 to 1
}

// fileFormat is the layout of the TOML file.
type fileFormat struct {
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
	maxHandOffs      = 4096
	maxLedgerEntries = 1_000_000
	maxLedgerBytes   = 1 << 30
	maxPeers         = 32
	maxAddresses     = 16
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
	file := fileFormat{}
	file.Limits.Out, file.Limits.In, file.Limits.Entries, file.Limits.Bytes, file.Limits.SpareShare = 256, 256, 10_000, 16<<20, 0.5
	if err := tomlfile.Decode(path, raw, &file); err != nil {
		return nil, err
	}
	fault := tomlfile.KeyErrors(path, raw)
	config := &Config{Path: path, MaxHandOffsOut: file.Limits.Out, MaxHandOffsIn: file.Limits.In, LedgerEntries: file.Limits.Entries, LedgerBytes: file.Limits.Bytes, SpareShare: file.Limits.SpareShare,
		Identity: &link.Identity{Site: file.Site.Name}}
	var err error
	if !hostName.MatchString(file.Site.Name) {
		return nil, fault("site.name", "want a DNS name in lower case, have %q", file.Site.Name)
	}
	if config.Listen, err = netip.ParseAddrPort(file.Site.Listen); err != nil {
		return nil, fault("site.listen", "want IP:port, have %q", file.Site.Listen)
	}
	for _, limit := range []struct {
		key               string
		have, most, least int
	}{{"limits.handoffs_out", config.MaxHandOffsOut, maxHandOffs, 1}, {"limits.handoffs_in", config.MaxHandOffsIn, maxHandOffs, 1},
		{"limits.ledger_entries", config.LedgerEntries, maxLedgerEntries, 1}, {"limits.answer_bytes", config.LedgerBytes, maxLedgerBytes, 0}} {
		if limit.have < limit.least || limit.have > limit.most {
			return nil, fault(limit.key, "want %d to %d, have %d", limit.least, limit.most, limit.have)
		}
	}
	if config.LedgerEntries < config.MaxHandOffsIn {
		return nil, fault("limits.ledger_entries", "want as many as handoffs_in (%d) at least, have %d", config.MaxHandOffsIn, config.LedgerEntries)
	}
	if !(config.SpareShare >= 0 && config.SpareShare <= 1) {
		return nil, fault("limits.spare_share", "want 0 to 1, have %v", config.SpareShare)
	}
	pathOf := tomlfile.RelativeTo(path)
	if config.Identity.Certificate, err = tls.LoadX509KeyPair(pathOf(file.Site.Certificate), pathOf(file.Site.Key)); err != nil {
		return nil, fault("site.certificate", "%v", err)
	}
	if err := CheckCertificate(config.Identity.Certificate.Leaf, file.Site.Name, now); err != nil {
		return nil, fault("site.certificate", "%v", err)
	}
	if len(file.Peer) > maxPeers {
		return nil, fault("peer", "%d sites, at most %d are allowed", len(file.Peer), maxPeers)
	}
	seen := map[string]string{file.Site.Name: "site"}
	for i, peer := range file.Peer {
		key := fmt.Sprintf("peer[%d].", i)
		if !hostName.MatchString(peer.Name) {
			return nil, fault(key+"name", "want a DNS name in lower case, have %q", peer.Name)
		}
		if other := seen[peer.Name]; other != "" {
			return nil, fault(key+"name", "%q is already the name of %s", peer.Name, other)
		}
		seen[peer.Name] = fmt.Sprintf("peer[%d]", i)
		if len(peer.Addresses) == 0 || len(peer.Addresses) > maxAddresses {
			return nil, fault(key+"addresses", "want 1 to %d, have %d", maxAddresses, len(peer.Addresses))
		}
		for _, a := range peer.Addresses {
			at, err := netip.ParseAddrPort(a)
			if err != nil {
				return nil, fault(key+"addresses", "want IP:port, have %q", a)
			}
			if at == config.Listen {
				return nil, fault(key+"addresses", "%s is the address of this node", a)
			}
		}
		roots, err := ReadRoots(pathOf(peer.Roots), now)
		if err != nil {
			return nil, fault(key+"roots", "%v", err)
		}
		config.Identity.Peers = append(config.Identity.Peers, link.Peer{Name: peer.Name, Roots: roots, Addresses: peer.Addresses})
	}
	return config, nil
}

// CheckCertificate returns an error unless a certificate is valid for a name, and valid at now.
func CheckCertificate(leaf *x509.Certificate, name string, now time.Time) error {
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
	pool, anyValid := x509.NewCertPool(), false
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
		anyValid = anyValid || !now.Before(cert.NotBefore) && !now.After(cert.NotAfter)
	}
	if !anyValid {
		return nil, fmt.Errorf("%s: no certificate in it is valid now", path)
	}
	return pool, nil
}
