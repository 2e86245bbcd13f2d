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

const alpnProtocol = "starlingvalve-link/1" // the ALPN protocol name

// Peer is another site or, for links within a fleet, the domain of its nodes.
type Peer struct {
	Name         string         // the DNS name that its certificates must hold
	NameIsDomain bool           // each node has a certificate for a name of its own, one label below the domain Name
	Roots        *x509.CertPool // the only roots that are accepted for this peer
	Addresses    []string       // of its nodes, as IP:port
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
type IdentityStore struct {
	current atomic.Pointer[Identity]
	now     func() time.Time // the time at which certificates have to be valid
}

// NewIdentityStore returns a store that holds id.
func NewIdentityStore(id *Identity) *IdentityStore {
	k := &IdentityStore{now: time.Now}
	k.current.Store(id)
	return k
}

// Set replaces the identity.
func (k *IdentityStore) Set(id *Identity) { k.current.Store(id) }

// Get returns the current identity.
func (k *IdentityStore) Get() *Identity { return k.current.Load() }

// peerFor returns the peer that a certificate name belongs to, or nil.
func (id *Identity) peerFor(name string) *Peer {
	for i := range id.Peers {
		if p := &id.Peers[i]; p.Name == name && !p.NameIsDomain || p.NameIsDomain && p.isMember(name) {
			return p
		}
	}
	return nil
}

// isMember reports whether a name is exactly one label below the peer's domain. A wildcard is not.
func (p *Peer) isMember(name string) bool {
	label, domain, ok := strings.Cut(name, ".")
	return ok && label != "" && label != "*" && domain == p.Name
}

// certificateName returns the name for which a certificate has to be valid if it is one of this peer: the peer's own
// name or, in a domain, the first name in the certificate that is below the domain.
func (p *Peer) certificateName(leaf *x509.Certificate) string {
	if p.NameIsDomain {
		for _, n := range leaf.DNSNames {
			if p.isMember(n) {
				return n
			}
		}
	}
	return p.Name
}

// verify checks that a certificate chain is valid for a name and a usage, and leads to one of the peer's roots.
func (k *IdentityStore) verify(p *Peer, name string, chain []*x509.Certificate, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{DNSName: name, Roots: p.Roots, Intermediates: intermediates, CurrentTime: k.now(),
		KeyUsages: []x509.ExtKeyUsage{use}})
	return err
}

// callerName returns the name of the peer or node that has connected, from its certificate chain.
func (k *IdentityStore) callerName(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", errors.New("no certificate")
	}
	var errs []error
	id := k.Get()
	for i := range id.Peers {
		name := id.Peers[i].certificateName(chain[0])
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
func (k *IdentityStore) serverTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.Get().Certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := k.callerName(s.PeerCertificates)
			return err
		}}
}

// clientTLS returns the settings for connecting to a site or node. InsecureSkipVerify is set because the verification
// of crypto/tls would use the roots of the time of this call; VerifyConnection verifies in full with the current
// roots.
func (k *IdentityStore) clientTLS(site string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, ServerName: site, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.Get().Certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			p := k.Get().peerFor(site)
			if p == nil {
				return fmt.Errorf("site %s has been removed from the configuration", site)
			}
			return k.verify(p, site, s.PeerCertificates, x509.ExtKeyUsageServerAuth)
		}}
}
