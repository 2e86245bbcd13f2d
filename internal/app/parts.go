package app

import (
	"context"
	"slices"
	"sync"
	"time"
)

// part is one part of a node: the functions that start, drain and stop it, of which each may be nil. Parts start in
// the order in which they were added. Each later step is done for all parts before the next step begins, in the order
// of the fields.
type part struct {
	start         func() error          // runs before the part's own run and all later parts; an error stops the node
	run           func(context.Context) // runs in its own goroutine until ctx ends or close is called
	announceLeave func()                // called at SIGTERM, concurrently with the drains, which do not wait for it
	drain         func(end time.Time)   // accepts nothing new, completes what is in flight by end; all parts concurrently
	afterDrain    func()                // called when all parts are drained
	close         func()                // makes run return if it does not watch ctx; called after ctx has ended
	cleanup       func()                // called when every run has returned, also after a failed start; in reverse order
}

// parts are the parts of a node in the order in which they start.
type parts []part

// start starts all parts in order and runs them. If one fails to start, it stops the others and waits for them.
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

// drain drains all parts concurrently, by end, and waits for that. It also calls announceLeave of each part, which
// may still run when drain returns and counts in running.
func (all parts) drain(end time.Time, running *sync.WaitGroup) {
	var draining sync.WaitGroup
	for _, p := range all {
		if p.announceLeave != nil {
			running.Go(p.announceLeave)
		}
		if p.drain != nil {
			draining.Go(func() { p.drain(end) })
		}
	}
	draining.Wait()
}

func (all parts) afterDrain() {
	for _, p := range all {
		if p.afterDrain != nil {
			p.afterDrain()
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

func (all parts) cleanup() {
	for _, p := range slices.Backward(all) {
		if p.cleanup != nil {
			p.cleanup()
		}
	}
}
