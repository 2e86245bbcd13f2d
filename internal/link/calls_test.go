package link

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/internal/standin"
	"starlingvalve/internal/testkit"
)

const callDomain = "fleet.example.org"

// callNode is a node of a fleet that records the messages posted to it.
type callNode struct {
	*Calls
	addr     string
	mu       sync.Mutex
	received []string
}

// postedText returns the messages received so far, each as "sender:text".
func (n *callNode) postedText() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.received, " ")
}

// newCaller starts a node that has a certificate for name from the authority issuer, and trusts the roots of trusted.
// Its handler answers with kind+1 and "sender:request"; for kind 9 it waits until the call ends.
func newCaller(t *testing.T, name string, issuer, trusted *standin.Authority) *callNode {
	t.Helper()
	cert, _, _, err := issuer.Issue(name, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &callNode{addr: udp.LocalAddr().String()}
	n.Calls, err = NewCalls(udp, CallsOptions{Identities: NewIdentityStore(&Identity{Site: name, Certificate: cert, Peers: []Peer{{Name: callDomain, NameIsDomain: true, Roots: trusted.Roots()}}}),
		Log: testkit.DiscardLog, OnPost: func(from string, kind uint64, message []byte) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.received = append(n.received, from+":"+string(message))
		}, Handle: func(ctx context.Context, from string, kind uint64, request []byte) (uint64, []byte) {
			if kind == 9 {
				<-ctx.Done()
			}
			return kind + 1, append([]byte(from+":"), request...)
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// Guards against calls that reach the wrong node or come from a wrong one. A call, also one of 1 MiB, is answered by
// the named node, which gets the caller's name from its certificate. Callers and callees whose certificate is by
// another authority, or for a name outside the domain, get no answer.
func TestCalls(t *testing.T) {
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	otherAuthority, _ := standin.NewAuthority()
	n1, n2 := newCaller(t, "n1."+callDomain, authority, authority), newCaller(t, "n2."+callDomain, authority, authority)
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitLimit)
	defer cancel()
	large := bytes.Repeat([]byte("x"), 1<<20)
	status, answer, err := n1.Call(ctx, "n2."+callDomain, n2.addr, 4, large)
	if err != nil || status != 5 || len(answer) != len(large)+len("n1."+callDomain+":") || !strings.HasPrefix(string(answer[:40]), "n1."+callDomain+":x") {
		t.Errorf("got status %d, %d bytes, error %v; want status 5 and the whole answer", status, len(answer), err)
	}
	if !n1.Connected("n2."+callDomain, n2.addr) || n2.Connected("n1."+callDomain, n1.addr) {
		t.Error("Connected is wrong: want only the connection from n1 to n2")
	}
	for name, c := range map[string]struct {
		from *callNode
		to   string
	}{
		"another node is at the address":         {n1, "n3." + callDomain},
		"a callee outside the domain":            {n1, "n2.elsewhere.example.org"},
		"a callee named as the domain":           {n1, callDomain},
		"a caller of another authority":          {newCaller(t, "n3."+callDomain, otherAuthority, authority), "n2." + callDomain},
		"a caller outside the domain":            {newCaller(t, "n1.elsewhere.example.org", authority, authority), "n2." + callDomain},
		"a caller two labels below the domain":   {newCaller(t, "x.n1."+callDomain, authority, authority), "n2." + callDomain},
		"a caller that trusts another authority": {newCaller(t, "n4."+callDomain, authority, otherAuthority), "n2." + callDomain},
	} {
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		if _, answer, err := c.from.Call(short, c.to, n2.addr, 4, nil); err == nil {
			t.Errorf("%s: the call was answered with %q", name, answer)
		}
		cancel()
	}
}

// Guards against calls that outlive their caller's deadline and against a sender that stays broken after an outage of
// the path. Messages arrive in order, and arrive again after the path was cut; messages beyond the queue are reported
// as lost.
func TestCallsCut(t *testing.T) {
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	n1, n2 := newCaller(t, "n1."+callDomain, authority, authority), newCaller(t, "n2."+callDomain, authority, authority)
	wire, err := standin.NewWire(n2.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer wire.Close()
	n1.StartSender("n2."+callDomain, wire.Addr)
	until := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(testkit.WaitLimit); !done(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for: %s; messages received: %q", what, n2.postedText())
			}
		}
	}
	for _, m := range []string{"a", "b", "c"} {
		n1.Post("n2."+callDomain, wire.Addr, 1, []byte(m), nil)
	}
	until("three messages", func() bool { return len(n2.postedText()) > 0 && strings.Count(n2.postedText(), ":") == 3 })
	if from := "n1." + callDomain; n2.postedText() != from+":a "+from+":b "+from+":c" {
		t.Errorf("messages received: %q, want a, b, c in order", n2.postedText())
	}
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	if _, _, err := n1.Call(short, "n2."+callDomain, wire.Addr, 9, nil); err == nil {
		t.Error("a call whose handler does not return was answered")
	}
	cancel()
	wire.Cut(true, true)
	short, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
	if _, _, err := n1.Call(short, "n2."+callDomain, wire.Addr, 1, nil); err == nil {
		t.Error("a call over a cut path was answered")
	}
	cancel()
	until("the connection is given up", func() bool { return !n1.Connected("n2."+callDomain, wire.Addr) })
	wire.Cut(false, false)
	until("messages again", func() bool {
		n1.Post("n2."+callDomain, wire.Addr, 1, []byte("again"), nil)
		return strings.Contains(n2.postedText(), "again")
	})
	lost := make(chan error, postQueueLength+100)
	n3 := newCaller(t, "n3."+callDomain, authority, authority)
	for range postQueueLength + 100 { // no sender has been started, so they stay in the queue
		n3.Post("n1."+callDomain, "127.0.0.1:1", 1, nil, func(err error) { lost <- err })
	}
	if len(lost) != 100 {
		t.Errorf("%d messages beyond the queue were reported as lost, want 100", len(lost))
	}
}

// Guards against wrong traffic counters: both ends count the bytes of a call, only the calling side counts calls, by
// kind, and the counters of a connection are kept after its end.
func TestTraffic(t *testing.T) {
	authority, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	caller, callee := newCaller(t, "n1."+callDomain, authority, authority), newCaller(t, "n2."+callDomain, authority, authority)
	if s := caller.Traffic(); s.DatagramsOut != 0 || len(s.Calls) != 0 {
		t.Errorf("before the first call: %+v, want zero", s)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitLimit)
	defer cancel()
	const size = 100_000
	for _, kind := range []uint64{3, 3, 4} {
		if _, _, err := caller.Call(ctx, "n2."+callDomain, callee.addr, kind, make([]byte, size)); err != nil {
			t.Fatal(err)
		}
	}
	callerTraffic, calleeTraffic := caller.Traffic(), callee.Traffic()
	if callerTraffic.Calls[3] != 2 || callerTraffic.Calls[4] != 1 || len(calleeTraffic.Calls) != 0 {
		t.Errorf("calls at the caller: %v, at the callee: %v; want 2 of kind 3, 1 of kind 4, and none", callerTraffic.Calls, calleeTraffic.Calls)
	}
	if callerTraffic.BytesOut < 3*size || callerTraffic.BytesIn < 3*size || calleeTraffic.BytesIn < 3*size || calleeTraffic.BytesOut < 3*size || callerTraffic.DatagramsOut < 3*size/1500 {
		t.Errorf("bytes or datagrams are missing: caller %+v, callee %+v", callerTraffic, calleeTraffic)
	}
	caller.Close()
	for end := time.Now().Add(testkit.WaitLimit); ; time.Sleep(5 * time.Millisecond) {
		callee.traffic.mu.Lock()
		open := len(callee.traffic.conns)
		callee.traffic.mu.Unlock()
		if open == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the callee still tracks the closed connection")
		}
	}
	if after := callee.Traffic(); after.BytesIn < calleeTraffic.BytesIn || after.DatagramsIn < calleeTraffic.DatagramsIn {
		t.Errorf("counters fell with the end of the connection: %+v, before %+v", after, calleeTraffic)
	}
}
