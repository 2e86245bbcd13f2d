package decide

import (
	"encoding/binary"
	"testing"
	"time"
)

// basisModule returns a module of a node of three that started at 1 s with one server on its list.
func basisModule() *Module {
	settings := fleetSettings(0)
	settings.Nodes, settings.Self, settings.ListOnRequest, settings.MayMessage = 3, 0, true, true
	settings.NotifiedWithin = notifyBound
	m := New(settings, 1)
	m.Handle(time.Second, ListUpdate{Kind: ListCached, Entries: basisList()})
	return m
}

func basisList() []Server { return []Server{{ID: 1, Zone: "a", Kind: "k", State: Ready, Size: 1}} }

// basisAt returns the basis of the attempt that a request gets at a time. sent is false if it gets none.
func basisAt(m *Module, now Time) (basis SendBasis, sent bool) {
	id := RequestID(now.String())
	for _, action := range m.Handle(now, RequestArrived{ID: id, Class: "safe", Patience: time.Second}) {
		if send, ok := action.(Send); ok {
			basis, sent = send.Basis, true
		}
	}
	if sent {
		m.Handle(now, AttemptEnded{ID: id, Server: 1, RequestDone: true, Elapsed: 5 * time.Millisecond, Code: OK})
	}
	return basis, sent
}

// Guards against incidents that the logs can't explain: a request went to a draining server, and nothing said whether
// the list had been confirmed, discovery was down, or another node had reported the server to be ready.
func TestSendBasis(t *testing.T) {
	const start, at = time.Second, 20 * time.Second
	tick := func(m *Module, now Time) (subscribes, queries bool) {
		for _, action := range m.Handle(now, TimerFired{}) {
			switch action := action.(type) {
			case Subscribe:
				subscribes = true
			case SendMessage:
				queries = queries || action.Data[0] == queryMark
			}
		}
		return subscribes, queries
	}
	for name, c := range map[string]struct {
		prepare func(t *testing.T, m *Module)
		want    SendBasis
	}{
		"a watch": {func(t *testing.T, m *Module) {
			if subscribes, _ := tick(m, at-4*time.Second); !subscribes {
				t.Fatal("no list request")
			}
			m.Handle(at-3*time.Second, ListUpdate{Kind: ListFull, Entries: basisList()})
		}, SendBasis{Kind: BasisWatch}},
		"a broken watch": {func(t *testing.T, m *Module) {
			tick(m, at-4*time.Second)
			m.Handle(at-3*time.Second, ListUpdate{Kind: ListFull, Entries: basisList()})
			m.Handle(at-2*time.Second, ListUpdate{Kind: ListFailed, Cause: CauseMoved})
		}, SendBasis{Kind: BasisConfirmed, Age: 3 * time.Second}},
		"an answer without a watch": {func(_ *testing.T, m *Module) {
			m.Handle(at-time.Second, ListUpdate{Kind: ListFull, Entries: basisList()})
		}, SendBasis{Kind: BasisConfirmed, Age: time.Second}},
		"discovery is unreachable": {func(_ *testing.T, m *Module) {
			m.Handle(at-time.Second, ListUpdate{Kind: ListFailed, Cause: CauseUnreachable, Took: 500 * time.Millisecond})
		}, SendBasis{Kind: BasisUnreachable, Age: 1500 * time.Millisecond}},
		"another node's report": {func(t *testing.T, m *Module) {
			m.Handle(start+time.Second, ListUpdate{Kind: ListFull, Entries: basisList()})
			if _, queries := tick(m, at-3*time.Second); !queries {
				t.Fatal("no readiness query")
			}
			report := binary.BigEndian.AppendUint16([]byte{readinessMark, m.queryNumber}, uint16(time.Second/readinessAgeUnit))
			m.Handle(at-2*time.Second, MessageReceived{From: 2, Data: binary.BigEndian.AppendUint32(report, 1)})
		}, SendBasis{Kind: BasisPeer, Age: 4 * time.Second, Peer: 2}},
		"no answer": {func(*testing.T, *Module) {}, SendBasis{Kind: BasisNoAnswer, Age: at - start}},
	} {
		t.Run(name, func(t *testing.T) {
			m := basisModule()
			if _, sent := basisAt(m, start+time.Second/2); sent {
				t.Fatal("a process that nothing has told of its list sends")
			}
			c.prepare(t, m)
			if basis, sent := basisAt(m, at); !sent || basis != c.want {
				t.Errorf("sent %v, %+v; want %+v", sent, basis, c.want)
			}
		})
	}
}
