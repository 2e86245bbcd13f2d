package main

import (
	"context"
	"math/rand/v2"
	"time"

	"starlingvalve/internal/standin"
)

const throttleRate = 20_000 // bytes a second on each path, about ten answers of 2 KiB

// breakLink breaks the link to a site for 50 ms, doubled a random number of times below doublings, restores it, and waits
// a moment. i chooses the kind of fault. The result is that kind, with the suffix -failed if the link or the node could not
// be restored.
func breakLink(ctx context.Context, w *workspace, r *rand.Rand, target *site, i, doublings int) (kind string) {
	kinds := []string{"silent", "no-requests", "no-answers", "slow", "lossy", "one-path", "killed", "terminated", "refused", "throttled"}
	kind = kinds[i%len(kinds)]
	length := time.Duration(float64(50*time.Millisecond) * float64(int(1)<<r.IntN(doublings)))
	each := func(f func(*standin.Wire)) {
		for _, wire := range target.wires {
			f(wire)
		}
	}
	switch kind {
	case "silent":
		each(func(w *standin.Wire) { w.Cut(true, true) })
	case "no-requests":
		each(func(w *standin.Wire) { w.Cut(true, false) })
	case "no-answers":
		each(func(w *standin.Wire) { w.Cut(false, true) })
	case "slow":
		each(func(w *standin.Wire) { w.Delay(700 * time.Millisecond) })
	case "lossy":
		each(func(w *standin.Wire) { w.Loss(300) })
	case "refused":
		each((*standin.Wire).ClosePort)
	case "throttled":
		each(func(w *standin.Wire) { w.Throttle(throttleRate) })
	case "one-path":
		target.wires[r.IntN(len(target.wires))].Cut(true, true)
	case "killed", "terminated":
		// All hand-offs go to the last node for a while, so that it has some when it ends.
		last := len(target.nodes) - 1
		target.wires[0].Cut(true, true)
		sleepFor(ctx, 1500*time.Millisecond)
		if kind == "killed" {
			target.nodes[last].kill()
		} else {
			target.nodes[last].stop()
		}
		if err := target.startNode(ctx, w, last); err != nil {
			return kind + "-failed"
		}
	}
	sleepFor(ctx, length)
	each(func(w *standin.Wire) {
		w.Cut(false, false)
		w.Loss(0)
		w.Throttle(0)
		w.Delay(time.Millisecond)
		if w.ReopenPort() != nil {
			kind += "-failed"
		}
	})
	sleepFor(ctx, time.Duration(200+r.IntN(600))*time.Millisecond)
	return kind
}
