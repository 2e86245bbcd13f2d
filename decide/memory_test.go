package decide

import (
	"fmt"
	"testing"
	"time"
)

// Guards against memory that grows without limit, as new server ids and unknown class names keep coming: removed servers
// and requests that are over are forgotten, and a class that the settings lack is not stored.
func TestForgets(t *testing.T) {
	m := New(Settings{Nodes: 1, MaxAttempts: 2, Classes: []Class{{Name: "c", Effect: Safe, Aim: time.Second}}}, 1)
	now := Time(0)
	for i := range 1000 {
		id := RequestID(fmt.Sprint("r", i))
		m.Handle(now, ListUpdate{Kind: []ListKind{ListChanges, ListFull}[i%2], Entries: []Server{{ID: ServerID(i), State: Ready}}})
		acts := m.Handle(now, RequestArrived{ID: id, Class: []string{"c", fmt.Sprint("c", i)}[i%2], Patience: time.Second})
		m.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: ServerID(i), State: Gone}}})
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				if m.known[s.Server] == nil {
					t.Fatal("server forgotten while an attempt at it is open")
				}
				m.Handle(now, AttemptEnded{ID: id, Server: s.Server, Over: true, Code: OK})
			}
		}
		now += 30 * time.Millisecond
		m.Handle(now, TimerFired{})
	}
	if len(m.known) > 1 || len(m.classes) != 1 || len(m.order) != 2 || len(m.requests) > 0 || len(m.open) > 0 {
		t.Errorf("left: %d servers, %d and %d classes, %d and %d requests", len(m.known), len(m.classes), len(m.order), len(m.requests), len(m.open))
	}
}
