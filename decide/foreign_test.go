package decide

import (
	"testing"
	"time"
)

// What another site hands over is served from what is spare only: at a load that leaves room it is served, at one that
// fills the servers it is refused, whatever its worth, and the hall's own requests fare as without it.
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
		t.Errorf("with room to spare %d of %d served, headroom %.1f", served, asked, room)
	}
	alone, asked, _, _, _ := play(1.3, 0)
	beside, askedBeside, served, _, room := play(1.3, 0.4)
	if got, want := float64(beside)/float64(askedBeside), float64(alone)/float64(asked); got < want-0.03 {
		t.Errorf("own served %.3f in time, %.3f without guests (%d guests served)", got, want, served)
	}
	if room > 30 {
		t.Errorf("headroom %.1f in an overload", room)
	}
}

// guests brings foreign requests, which are no part of the world's own counts.
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
