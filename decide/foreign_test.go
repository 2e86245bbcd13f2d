package decide

import (
	"fmt"
	"testing"
	"time"
)

// Requests that another site hands over get spare capacity only. At a load that leaves headroom they are served. In an
// overload they are refused, whatever their worth, and the site's own requests are served as well as without them.
func TestForeignNeverDisplacesOwn(t *testing.T) {
	play := func(own, foreign float64) (ownInAim, ownAsked, foreignServed, foreignAsked int, room float64) {
		v := newVirtual(oneNode(), 8)
		v.cost, v.cores = 10*time.Microsecond, 2
		v.work = func(ServerID, string) time.Duration { return 4 * time.Millisecond }
		const capacity = 8 * 2 * 250
		class := func() string {
			if v.rand.IntN(8) == 0 {
				return "dear"
			}
			return "cheap"
		}
		v.open(own*capacity, 6*time.Second, class)
		v.run(2 * time.Second)
		v.count()
		if foreign > 0 {
			v.guests(foreign*capacity, 4*time.Second, "dear", &foreignServed, &foreignAsked)
		}
		v.run(4 * time.Second)
		for _, c := range v.counts {
			ownInAim, ownAsked = ownInAim+c.inAim, ownAsked+c.asked
		}
		return ownInAim, ownAsked, foreignServed, foreignAsked, v.m.Headroom(v.now)
	}
	if _, _, served, asked, room := play(0.4, 0.2); served < asked*95/100 || room < 1 {
		t.Errorf("with capacity to spare %d of %d served, headroom %.1f", served, asked, room)
	}
	alone, asked, _, _, _ := play(1.3, 0)
	beside, askedBeside, served, _, room := play(1.3, 0.4)
	if got, want := float64(beside)/float64(askedBeside), float64(alone)/float64(asked); got < want-0.03 {
		t.Errorf("own served %.3f in time, %.3f without requests from elsewhere (%d of those served)", got, want, served)
	}
	if room > 30 {
		t.Errorf("headroom %.1f in an overload", room)
	}
}

// sendForeign has requests from another site arrive at random times for a period, and counts them apart from the site's
// own: those that arrive, and those that are served.
func (v *virtual) guests(rate float64, length time.Duration, class string, served, asked *int) {
	n := 0
	for t := v.now; t < v.now+length; t += time.Duration(v.rand.ExpFloat64() / rate * float64(time.Second)) {
		n++
		id := RequestID(class + " " + string(rune('A'+n%26)) + time.Duration(n).String())
		*asked++
		v.at(t, func() {
			v.done[id] = func(ok bool) {
				if ok {
					*served++
				}
			}
			v.feed(RequestArrived{ID: id, Class: class, Patience: 2 * time.Second, Foreign: true})
		})
	}
}

// Guards against requests from other sites at a node that refuses nobody, while another node of its site must refuse the
// site's own requests. The overloaded node notifies the others, and they take nothing from other sites until a second after
// the last notice. Notices are rare, and there are none where no other site hands work over.
func TestShortNodesTellTheOthers(t *testing.T) {
	settings := func(self int, tell bool) Settings {
		s := oneNode()
		s.Nodes, s.Self, s.MayMessage, s.TellShort = 2, self, true, tell
		return s
	}
	say := func(tell bool) (words []SendMessage) {
		m := New(settings(0, tell), 7) // it knows no server, and refuses every request
		for i := range 500 {
			for _, a := range m.Handle(time.Hour+Time(i)*time.Millisecond, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "dear", Patience: time.Second}) {
				if w, ok := a.(SendMessage); ok {
					words = append(words, w)
				}
			}
		}
		return words
	}
	words := say(true)
	if len(words) != 2 || !words[0].ToAll {
		t.Fatalf("%d notices in half a second of refusals: %+v", len(words), words)
	}
	if n := len(say(false)); n > 0 {
		t.Errorf("%d notices where no other site hands work over", n)
	}

	v := newVirtual(settings(1, true), 8)
	v.work = func(ServerID, string) time.Duration { return 4 * time.Millisecond }
	v.open(200, 10*time.Second, always("cheap"))
	v.run(3 * time.Second)
	taken := func() bool {
		ok := false
		v.next++
		id := RequestID(fmt.Sprint("dear ", v.next, " from elsewhere"))
		v.done[id] = func(served bool) { ok = served }
		v.feed(RequestArrived{ID: id, Class: "dear", Patience: 2 * time.Second, Foreign: true})
		v.run(500 * time.Millisecond)
		return ok
	}
	if v.m.Headroom(v.now) == 0 || !taken() {
		t.Fatal("nothing taken with capacity to spare")
	}
	v.feed(MessageReceived{From: 0, Data: []byte("something else")})
	v.feed(MessageReceived{From: 1, Data: words[0].Data}) // its own notice, as when it is sent to a broadcast address
	if !taken() {
		t.Error("a datagram without meaning keeps work from other sites out")
	}
	v.feed(MessageReceived{From: 0, Data: words[0].Data})
	if v.m.Headroom(v.now) > 0 || taken() {
		t.Error("work from another site taken while a node of this site is overloaded")
	}
	v.run(time.Second)
	if v.m.Headroom(v.now) == 0 || !taken() {
		t.Error("nothing taken a second after the last notice")
	}
}
