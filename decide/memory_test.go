package decide

import (
	"fmt"
	"testing"
	"time"
)

// Guards against memory that grows without limit, as new server ids and unknown class names keep coming: removed
// servers and requests that are over are forgotten, and a class that the settings lack is not stored.
func TestForgets(t *testing.T) {
	module := New(Settings{Nodes: 1, MaxAttempts: 2, Classes: []Class{{Name: "c", Effect: Safe, Aim: time.Second}}}, 1)
	now := Time(0)
	for i := range 1000 {
		id := RequestID(fmt.Sprint("r", i))
		module.Handle(now, ListUpdate{Kind: []ListKind{ListChanges, ListFull}[i%2],
			Entries: []Server{{ID: ServerID(i), State: Ready}}})
		actions := module.Handle(now, RequestArrived{ID: id, Class: []string{"c", fmt.Sprint("c", i)}[i%2],
			Patience: time.Second})
		module.Handle(now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: ServerID(i), State: Removed}}})
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				if module.known[s.Server] == nil {
					t.Fatal("server forgotten while an attempt at it is open")
				}
				module.Handle(now, AttemptEnded{ID: id, Server: s.Server, RequestDone: true, Code: OK})
			}
		}
		now += 30 * time.Millisecond
		module.Handle(now, TimerFired{})
	}
	if len(module.known) > 1 || len(module.classes) != 1 || len(module.classList) != 2 || len(module.requests) > 0 ||
		len(module.openRequests) > 0 {
		t.Errorf("left: %d servers, %d and %d classes, %d and %d requests", len(module.known), len(module.classes),
			len(module.classList), len(module.requests), len(module.openRequests))
	}
}
