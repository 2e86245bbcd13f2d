package decide

import "time"

// What allows an attempt by the server list. Most attempts begin while a watch keeps the list up to date. The others
// rest on something that was known some time ago, and a server may have begun to drain since. Each Send names what it
// rests on, so that logs can explain an attempt at a server that was draining.

// BasisKind is the kind of a SendBasis.
type BasisKind int

// The kinds of basis.
const (
	BasisWatch       BasisKind = iota // a watch keeps the list up to date, or the list may be used without limit
	BasisConfirmed                    // discovery had no newer list
	BasisUnreachable                  // discovery could not be reached
	BasisPeer                         // another node reported that the server is ready
	BasisNoAnswer                     // the process has run for long without an answer, so discovery is taken for down
	BasisKinds                        // number of kinds
)

var basisNames = [BasisKinds]string{"watch", "confirmed", "unreachable", "peer", "no_answer"}

// String is the kind's name in logs and metrics.
func (k BasisKind) String() string {
	if k < 0 || k >= BasisKinds {
		return "invalid"
	}
	return basisNames[k]
}

// SendBasis is what allows an attempt at a server.
type SendBasis struct {
	Kind BasisKind
	Age  time.Duration // how long before the attempt that was so; BasisNoAnswer: time since the process's start
	Peer int           // BasisPeer: the node that reported
}

// sendBasis returns what allows an attempt at a server now, if serverUsable allows it.
func (m *Module) sendBasis(s *serverRecord) SendBasis {
	age := &m.listAge
	switch {
	case !m.settings.listMayExpire(), m.subscribed && !age.watchStalled:
		return SendBasis{Kind: BasisWatch}
	case !m.ListUsable():
		return SendBasis{Kind: BasisPeer, Age: m.now - s.peerConfirmedAt, Peer: s.peerConfirmedBy}
	case age.confirmedAt == never && age.unreachableAt == never:
		return SendBasis{Kind: BasisNoAnswer, Age: m.now - m.startAt}
	case age.unreachableAt > age.confirmedAt:
		return SendBasis{Kind: BasisUnreachable, Age: m.now - age.unreachableAt}
	}
	return SendBasis{Kind: BasisConfirmed, Age: m.now - age.confirmedAt}
}
