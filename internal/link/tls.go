package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const protocol = "starlingvalve-link/1" // the ALPN protocol name

// Peer is another site or, for links within a fleet, the domain of its nodes.
type Peer struct {
	Name      string         // the DNS name that its certificates must hold
	Members   bool           // each node has a certificate for a name of its own, one label below the domain Name
	Roots     *x509.CertPool // the only roots that are accepted for this peer
	Addresses []string       // of its nodes, as IP:port
}

// Identity is the certificate that this node presents, and the peers whose certificates it accepts. It is not changed
// once it is in use; IdentityStore.Set replaces it as a whole.
type Identity struct {
	Site        string
	Certificate tls.Certificate
	Peers       []Peer
}

// IdentityStore holds the current identity. After Set, new handshakes use the new identity; connections that exist stay
// open. It is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[Identity]
	now     func() time.Time // the time at which certificates have to be valid
}

// NewIdentityStore returns a store that holds id.
func NewKeeper(id *Identity) *Keeper {
	k := &Keeper{now: time.Now}
	k.current.Store(id)
	return k
}

// Set replaces the identity.
func (k *Keeper) Set(id *Identity) { k.current.Store(id) }

// Get returns the current identity.
func (k *Keeper) Get() *Identity { return k.current.Load() }

// peerFor returns the peer that a certificate name belongs to, or nil.
func (id *Identity) peer(name string) *Peer {
	for i := range id.Peers {
		if p := &id.Peers[i]; p.Name == name && !p.Members || p.Members && p.member(name) {
			return p
		}
	}
	return nil
}

// isMember reports whether a name is exactly one label below the peer's domain. A wildcard is not.
func (p *Peer) member(name string) bool {
	label, domain, ok := strings.Cut(name, ".")
	return ok && label != "" && label != "*" && domain == p.Name
}

// certificateName returns the name for which a certificate has to be valid if it is one of this peer: the peer's own
// name or, in a domain, the first name in the certificate that is below the domain.
func (p *Peer) name(leaf *x509.Certificate) string {
	if p.Members {
		for _, n := range leaf.DNSNames {
			if p.member(n) {
				return n
			}
		}
	}
	return p.Name
}

// verify checks that a certificate chain is valid for a name and a usage, and leads to one of the peer's roots.
func (k *Keeper) verify(p *Peer, name string, chain []*x509.Certificate, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{DNSName: name, Roots: p.Roots, Intermediates: between, CurrentTime: k.now(),
		KeyUsages: []x509.ExtKeyUsage{use}})
	return err
}

// callerName returns the name of the peer or node that has connected, from its certificate chain.
func (k *Keeper) caller(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", errors.New("no certificate")
	}
	var errs []error
	id := k.Get()
	for i := range id.Peers {
		name := id.Peers[i].name(chain[0])
		err := k.verify(&id.Peers[i], name, chain, x509.ExtKeyUsageClientAuth)
		if err == nil {
			return name, nil
		}
		errs = append(errs, fmt.Errorf("as %s: %w", id.Peers[i].Name, err))
	}
	return "", fmt.Errorf("the caller's certificate belongs to no peer: %w", errors.Join(errs...))
}

// serverTLS returns the settings for accepting connections. Session tickets are disabled, so that every handshake is
// verified in full: with a ticket, a site could still connect after its removal.
func (k *Keeper) serverTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.Get().Certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := k.caller(s.PeerCertificates)
			return err
		}}
}

// clientTLS returns the settings for connecting to a site or node. InsecureSkipVerify is set because the verification
// of crypto/tls would use the roots of the time of this call; VerifyConnection verifies in full with the current
// roots.
func (k *Keeper) clientTLS(site string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: site, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.Get().Certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			p := k.Get().peer(site)
			if p == nil {
				return fmt.Errorf("site %s has been removed from the configuration", site)
			}
			return k.verify(p, site, s.PeerCertificates, x509.ExtKeyUsageServerAuth)
		}}
}
