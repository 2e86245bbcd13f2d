package decide

import (
	"fmt"
	"testing"
	"time"
)

// fleetSettings are those of one of 80 nodes that may probe servers and send one another messages.
func fleetSettings(self int) Settings {
	return Settings{Nodes: 80, Self: self, Zone: "a", Zones: []string{"a"}, Kinds: []string{"k"}, MaxAttempts: 4,
		MayOverlap: true, MayCancel: true, MayProbe: true, MayMessage: true, ReportVia: ReportProbe,
		ReportFields: []string{"inflight", "queue"},
		HoldOffs:     true, MaxHoldOff: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond, MinTick: time.Millisecond,
		MaxListRequestInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, ColdFrom: 0.3,
		ColdTime: 8 * time.Second, OverloadFactor: 2.5, OverloadTime: time.Second,
		Classes: []Class{
			{Name: "expensive", Worth: 12, Aim: 800 * time.Millisecond, Deadline: 1600 * time.Millisecond, Effect: Safe},
			{Name: "cheap", Worth: 1, Aim: 800 * time.Millisecond, Deadline: 3 * time.Second, Effect: Safe}}}
}

// newFleetNode makes the module of one of so many nodes, with a list of so many servers.
func newFleetNode(nodes, self, servers int) *Module {
	settings := fleetSettings(self)
	settings.Nodes = nodes
	module := New(settings, int64(self)+1)
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: ServerID(i + 1), Zone: "a", Kind: "k", Cell: i % 4, State: Ready, Size: 1})
	}
	module.Handle(time.Second, ListUpdate{Kind: ListCached, Entries: list})
	return module
}

// newSharingNode makes the module of one of 80 nodes, and checks that such nodes go by one another's load reports.
func newSharingNode(t *testing.T, self, servers int) *Module {
	t.Helper()
	module := newFleetNode(80, self, servers)
	if !module.sharesLoad() {
		t.Fatal("80 nodes do not use one another's load reports")
	}
	return module
}

// messageData returns the datagrams among some actions.
func messageData(actions []Action) (data [][]byte) {
	for _, a := range actions {
		if s, ok := a.(SendMessage); ok {
			data = append(data, s.Data)
		}
	}
	return data
}

// A node without requests of its own at a server stops sending to it once the other nodes' load reports show that it is
// full, and begins again when they show that it is not. Reports of a node that has sent none for countsLifetime lapse.
func TestOthersCountsFillServer(t *testing.T) {
	module := newSharingNode(t, 0, 8)
	now := time.Second
	report := func(from, n int) {
		other := newSharingNode(t, from, 8)
		data := []byte{fullCountsMark}
		for i := range 8 {
			tag := other.known[ServerID(i+1)].tag()
			data = append(data, byte(tag>>8), byte(tag), byte(n))
		}
		module.Handle(now, MessageReceived{From: from, Data: data})
	}
	served := func() bool {
		now += time.Millisecond
		for _, a := range module.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(now)), Class: "expensive",
			Patience: time.Second}) {
			if _, ok := a.(Send); ok {
				return true
			}
		}
		return false
	}
	module.Handle(now, MessageReceived{From: 7, Data: slotsReport(1, 6)})
	if !served() {
		t.Fatal("an idle fleet serves nothing")
	}
	report(1, 15)
	report(2, 10)
	if served() {
		t.Error("served at servers of 6 slots that have 25 requests each")
	}
	report(2, 0)
	report(1, 1)
	if !served() {
		t.Error("refused at servers that have one request each")
	}
	report(3, 40)
	if served() {
		t.Error("served at servers that have 41 requests each")
	}
	now += countsLifetime + time.Second
	module.Handle(now, TimerFired{})
	if !served() {
		t.Error("refused because of an old report of a node that has sent none since")
	}
}

// Datagrams that are truncated or malformed, or whose sender is unknown or the node itself, change nothing.
func TestMalformedMessages(t *testing.T) {
	module := newSharingNode(t, 0, 8)
	tag := module.known[1].tag()
	for _, message := range []MessageReceived{
		{From: -1, Data: []byte{fullCountsMark, byte(tag >> 8), byte(tag), 200}},
		{From: 80, Data: []byte{fullCountsMark, byte(tag >> 8), byte(tag), 200}},
		{From: 0, Data: []byte{fullCountsMark, byte(tag >> 8), byte(tag), 200}},
		{From: 3, Data: []byte{fullCountsMark, byte(tag >> 8), byte(tag)}},
		{From: 3, Data: nil}, {From: 3, Data: []byte{slotsReportMark}}, {From: 3, Data: slotsReport(99, 3)},
	} {
		module.Handle(2*time.Second, message)
		if module.known[1].othersInFlight != 0 || module.slots != 0 {
			t.Errorf("%+v changed what the module knows", message)
		}
	}
}

// A node reports its requests in flight within a second, and reports once that it has none any more.
func TestNodeReportsItsLoad(t *testing.T) {
	sender, receiver := newSharingNode(t, 0, 8), newSharingNode(t, 1, 8)
	now := 2 * time.Second
	var sent Send
	for _, action := range sender.Handle(now, RequestArrived{ID: "r", Class: "expensive", Patience: time.Second}) {
		if s, ok := action.(Send); ok {
			sent = s
		}
	}
	exchange := func() (messages int) {
		for range 40 {
			now += 25 * time.Millisecond
			for _, data := range messageData(sender.Handle(now, TimerFired{})) {
				messages++
				receiver.Handle(now, MessageReceived{From: 0, Data: data})
			}
		}
		return messages
	}
	exchange()
	if got := receiver.known[sent.Server].othersInFlight; got != 1 {
		t.Fatalf("the other node counts %v requests; want 1", got)
	}
	sender.Handle(now, AttemptEnded{ID: "r", Server: sent.Server, RequestDone: true, Elapsed: time.Second, Code: OK})
	exchange()
	if got := receiver.known[sent.Server].othersInFlight; got != 0 {
		t.Errorf("the other node counts %v requests; want 0", got)
	}
	if messages := exchange(); messages > 0 {
		t.Errorf("%d messages of a node without requests", messages)
	}
}

// Of eight load reports, one is complete and the others hold only what has changed. Whichever of the eight is lost each
// time, the other nodes know within two seconds what a node has in flight.
func TestLostLoadReportsAreRepaired(t *testing.T) {
	for lost := range 8 {
		sender, receiver := newSharingNode(t, 0, 8), newSharingNode(t, 1, 8)
		now := 2 * time.Second
		messages, bytes, open := 0, 0, map[RequestID]Send{}
		for i := range 200 {
			now += 25 * time.Millisecond
			id := RequestID(fmt.Sprint(i))
			var actions []Action
			if i < 120 {
				actions = append(actions, sender.Handle(now, RequestArrived{ID: id, Class: "expensive",
					Patience: time.Minute})...)
			}
			actions = append(actions, sender.Handle(now, TimerFired{})...)
			for _, action := range actions {
				if s, ok := action.(Send); ok {
					open[s.ID] = s
				}
			}
			for _, data := range messageData(actions) {
				if messages, bytes = messages+1, bytes+len(data); messages%8 != lost {
					receiver.Handle(now, MessageReceived{From: 0, Data: data})
				}
			}
			if done := open[RequestID(fmt.Sprint(i-10))]; done.ID != "" {
				delete(open, done.ID)
				sender.Handle(now, AttemptEnded{ID: done.ID, Server: done.Server, RequestDone: true,
					Elapsed: 250 * time.Millisecond, Code: OK})
			}
		}
		for id, s := range receiver.known {
			if s.othersInFlight != sender.known[id].n {
				t.Errorf("every eighth message lost, from the %dth: server %d has %v, the other node counts %v", lost,
					id, sender.known[id].n, s.othersInFlight)
			}
		}
		if messages < 20 || bytes > 30*messages {
			t.Errorf("%d messages of %d bytes in 5 s", messages, bytes)
		}
	}
}

// Guards against list requests of a whole fleet at the same moment: they all go to one service, where most would time
// out in its queue. The nodes of a large fleet spread their first requests over seconds, and those whose request has
// failed spread the next ones, too. Three nodes send theirs within the first second.
func TestListRequestsAreSpread(t *testing.T) {
	busiestSecond := func(nodes int, fail bool) (perSecond int) {
		requests := map[int]int{}
		for self := range nodes {
			settings := fleetSettings(self)
			settings.Nodes, settings.ListOnRequest = nodes, true
			module := New(settings, int64(self)+1)
			module.Handle(0, ListUpdate{Kind: ListCached, Entries: []Server{{ID: 1, State: Ready, Size: 1}}})
			for now := time.Duration(0); now < 12*time.Second; now += 25 * time.Millisecond {
				for _, a := range module.Handle(now, TimerFired{}) {
					if _, ok := a.(Subscribe); ok {
						requests[int(now/time.Second)]++
						module.Handle(now, ListUpdate{
							Kind: map[bool]ListKind{true: ListFailed, false: ListChanges}[fail]})
					}
				}
			}
		}
		for _, n := range requests {
			perSecond = max(perSecond, n)
		}
		return perSecond
	}
	if n := busiestSecond(80, false); n > 40 {
		t.Errorf("%d of 80 nodes request the list within a second", n)
	}
	if n := busiestSecond(80, true); n > 45 {
		t.Errorf("%d list requests per second of 80 nodes whose requests fail", n)
	}
	if n := busiestSecond(3, false); n != 3 {
		t.Errorf("%d of 3 nodes request the list in the first second", n)
	}
}
