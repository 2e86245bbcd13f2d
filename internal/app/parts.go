package app

import (
	"context"
	"slices"
	"sync"
	"time"
)

// part is one part of a node. Each of its functions may be nil. Parts start in their order; the rest is done for all of them, one kind
// of step after another, in the order of the fields.
type part struct {
	start func() error          // what has to be there before anything runs; an error ends the node
	run   func(context.Context) // in a goroutine of its own, until ctx ends or close
	leave func()                // at SIGTERM, beside the drains: nobody waits for it
	drain func(end time.Time)   // takes nothing new, and ends what there is by end; all parts at once
	last  func()                // once all is drained
	close func()                // ends run where ctx does not, after ctx has ended
	after func()                // once all that ran has ended, the last part first; also where the node did not start
}

type parts []part

// start starts all parts, and sets them going. On an error nothing runs any more.
func (all parts) start(ctx context.Context, stop func(), running *sync.WaitGroup) error {
	for i, p := range all {
		if p.start != nil {
			if err := p.start(); err != nil {
				stop()
				all[:i].close()
				running.Wait()
				return err
			}
		}
		if p.run != nil {
			running.Go(func() { p.run(ctx) })
		}
	}
	return nil
}

// drain has all parts take nothing new and end what they have by end. Words of leaving go on in running.
func (all parts) drain(end time.Time, running *sync.WaitGroup) {
	var draining sync.WaitGroup
	for _, p := range all {
		if p.leave != nil {
			running.Go(p.leave)
		}
		if p.drain != nil {
			draining.Go(func() { p.drain(end) })
		}
	}
	draining.Wait()
}

func (all parts) last() {
	for _, p := range all {
		if p.last != nil {
			p.last()
		}
	}
}

func (all parts) close() {
	for _, p := range all {
		if p.close != nil {
			p.close()
		}
	}
}

func (all parts) after() {
	for _, p := range slices.Backward(all) {
		if p.after != nil {
			p.after()
		}
	}
}
