package main

import (
	"context"
	"sync"
	"time"
)

// noiseMeter measures by how much the machine delays the rig itself: the longest time by which a sleep of 5 ms overran.
type noiseMeter struct {
	mu    sync.Mutex
	worst time.Duration
}

// startNoiseMeter starts a meter that runs until ctx ends.
func startNoiseMeter(ctx context.Context) *noiseMeter {
	n := &noiseMeter{}
	go func() {
		for last := time.Now(); ctx.Err() == nil; {
			time.Sleep(5 * time.Millisecond)
			now := time.Now()
			n.mu.Lock()
			n.worst = max(n.worst, now.Sub(last)-5*time.Millisecond)
			n.mu.Unlock()
			last = now
		}
	}()
	return n
}

// longest returns the longest delay so far.
func (n *noiseMeter) longest() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.worst
}
