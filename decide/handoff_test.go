package decide

import (
	"fmt"
	"testing"
	"time"
)

// Requests that another site hands over get spare capacity only. At a load that leaves headroom they are served. In an
// overload they are refused, whatever their worth, and the site's own requests are served as well as without them.
// Guards against work from other sites that displaces the site's own.
func TestHandedOffRequestsNeverDisplaceOwn(t *testing.T) {
	runLoad := func(own, handedOff float64) (ownWithinAim, ownArrived, handedOffServed, handedOffArrived int,
		headroom float64) {
		simulation := newNodeSimulation(singleNodeSettings(), 8)
		simulation.stepCost, simulation.coresPerServer = 10*time.Microsecond, 2
		simulation.workOf = func(ServerID, string) time.Duration { return 4 * time.Millisecond }
		const capacity = 8 * 2 * 250
		class := func() string {
			if simulation.random.IntN(8) == 0 {
				return "expensive"
			}
			return "cheap"
		}
		simulation.sendAtRate(own*capacity, 6*time.Second, class)
		simulation.run(2 * time.Second)
		simulation.resetCounts()
		if handedOff > 0 {
			simulation.sendHandedOff(handedOff*capacity, 4*time.Second, "expensive", &handedOffServed, &handedOffArrived)
		}
		simulation.run(4 * time.Second)
		for _, c := range simulation.tallies {
			ownWithinAim, ownArrived = ownWithinAim+c.withinAim, ownArrived+c.arrived
		}
		return ownWithinAim, ownArrived, handedOffServed, handedOffArrived, simulation.module.Headroom(simulation.now)
	}
	if _, _, served, arrived, headroom := runLoad(0.4, 0.2); served < arrived*95/100 || headroom < 1 {
		t.Errorf("with capacity to spare %d of %d served, headroom %.1f", served, arrived, headroom)
	}
	alone, arrived, _, _, _ := runLoad(1.3, 0)
	beside, arrivedBeside, served, _, headroom := runLoad(1.3, 0.4)
	if got, want := float64(beside)/float64(arrivedBeside), float64(alone)/float64(arrived); got < want-0.03 {
		t.Errorf("own served %.3f in time, %.3f without hand-offs (%d hand-offs served)", got, want, served)
	}
	if headroom > 30 {
		t.Errorf("headroom %.1f in an overload", headroom)
	}
}

// sendHandedOff has requests from another site arrive at random times for a period, and counts them apart from the
// site's own: those that arrive, and those that are served.
func (v *nodeSimulation) sendHandedOff(rate float64, length time.Duration, class string, served, arrived *int) {
	sent := 0
	for t := v.now; t < v.now+length; t += time.Duration(v.random.ExpFloat64() / rate * float64(time.Second)) {
		sent++
		id := RequestID(class + " " + string(rune('A'+sent%26)) + time.Duration(sent).String())
		*arrived++
		v.schedule(t, func() {
			v.onEnd[id] = func(ok bool) {
				if ok {
					*served++
				}
			}
			v.handle(RequestArrived{ID: id, Class: class, Patience: 2 * time.Second, HandedOff: true})
		})
	}
}

// Guards against requests from other sites at a node that refuses nobody, while another node of its site must refuse
// the site's own requests. The overloaded node notifies the others, and they take nothing from other sites until a
// second after the last notice. Notices are rare, and there are none where no other site hands work over.
func TestOverloadedNodesNotifyTheOthers(t *testing.T) {
	settings := func(self int, notify bool) Settings {
		s := singleNodeSettings()
		s.Nodes, s.Self, s.MayMessage, s.NotifyOverload = 2, self, true, notify
		return s
	}
	noticesOf := func(notify bool) (notices []SendMessage) {
		module := New(settings(0, notify), 7) // it knows no server, and refuses every request
		for i := range 500 {
			for _, a := range module.Handle(time.Hour+Time(i)*time.Millisecond,
				RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "expensive", Patience: time.Second}) {
				if w, ok := a.(SendMessage); ok {
					notices = append(notices, w)
				}
			}
		}
		return notices
	}
	notices := noticesOf(true)
	if len(notices) != 2 || !notices[0].ToAll {
		t.Fatalf("%d notices in half a second of refusals: %+v", len(notices), notices)
	}
	if n := len(noticesOf(false)); n > 0 {
		t.Errorf("%d notices where no other site hands work over", n)
	}

	simulation := newNodeSimulation(settings(1, true), 8)
	simulation.workOf = func(ServerID, string) time.Duration { return 4 * time.Millisecond }
	simulation.sendAtRate(200, 10*time.Second, constantClass("cheap"))
	simulation.run(3 * time.Second)
	served := func() bool {
		ok := false
		simulation.lastID++
		id := RequestID(fmt.Sprint("expensive ", simulation.lastID, " from elsewhere"))
		simulation.onEnd[id] = func(served bool) { ok = served }
		simulation.handle(RequestArrived{ID: id, Class: "expensive", Patience: 2 * time.Second, HandedOff: true})
		simulation.run(500 * time.Millisecond)
		return ok
	}
	if simulation.module.Headroom(simulation.now) == 0 || !served() {
		t.Fatal("nothing taken with capacity to spare")
	}
	simulation.handle(MessageReceived{From: 0, Data: []byte("something else")})
	simulation.handle(MessageReceived{From: 1, Data: notices[0].Data}) // its own notice, as of a broadcast
	if !served() {
		t.Error("a datagram without meaning keeps work from other sites out")
	}
	simulation.handle(MessageReceived{From: 0, Data: notices[0].Data})
	if simulation.module.Headroom(simulation.now) > 0 || served() {
		t.Error("work from another site taken while a node of this site is overloaded")
	}
	simulation.run(time.Second)
	if simulation.module.Headroom(simulation.now) == 0 || !served() {
		t.Error("nothing taken a second after the last notice")
	}
}
