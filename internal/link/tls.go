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

const protocol = "starlingvalve-link/1" // ALPN

// Peer is another site as this one knows it.
type Peer struct {
	Name      string         // a DNS name that its certificate must hold
	Members   bool           // Name is a domain: each member has a certificate for a name right below it
	Roots     *x509.CertPool // of its own; no other site's certificate is good for it
	Addresses []string       // of its nodes, IP:port
}

// Identity is what this site shows and whom it believes. It may be replaced while connections are up: new handshakes
// use the new one.
type Identity struct {
	Site        string
	Certificate tls.Certificate
	Peers       []Peer
}

// Keeper holds the identity in force.
type Keeper struct {
	current atomic.Pointer[Identity]
	now     func() time.Time // of certificates' validity
}

// NewKeeper starts with an identity.
func NewKeeper(id *Identity) *Keeper {
	k := &Keeper{now: time.Now}
	k.current.Store(id)
	return k
}

// Set replaces the identity.
func (k *Keeper) Set(id *Identity) { k.current.Store(id) }

// Get gives the identity in force.
func (k *Keeper) Get() *Identity { return k.current.Load() }

func (id *Identity) peer(name string) *Peer {
	for i := range id.Peers {
		if p := &id.Peers[i]; p.Name == name && !p.Members || p.Members && p.member(name) {
			return p
		}
	}
	return nil
}

// member tells whether a name is right below the peer's domain.
func (p *Peer) member(name string) bool {
	label, domain, ok := strings.Cut(name, ".")
	return ok && label != "" && label != "*" && domain == p.Name
}

// name is what a certificate is to be good for, as this peer's.
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

// verify checks a chain against one peer's roots and a name of its.
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

// caller tells which peer's node is calling, by its certificate.
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
	return "", fmt.Errorf("the caller's certificate is no known site's: %w", errors.Join(errs...))
}

// serverTLS is for the side that is called. Every handshake is checked whole: there are no session tickets, which would
// let a site in that has been removed.
func (k *Keeper) serverTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.Get().Certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := k.caller(s.PeerCertificates)
			return err
		}}
}

// clientTLS is for calling a site. crypto/tls's own check would use one pool for ever; VerifyConnection does all of it.
func (k *Keeper) clientTLS(site string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: site, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.Get().Certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			p := k.Get().peer(site)
			if p == nil {
				return fmt.Errorf("site %s has been removed", site)
			}
			return k.verify(p, site, s.PeerCertificates, x509.ExtKeyUsageServerAuth)
		}}
}
