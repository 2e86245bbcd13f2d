package main

import (
	"sync"
	"time"
)

func init() { cases["slowlist"] = playSlowList }

// playSlowList has discovery answer slowly. Two backends begin to drain a moment later. Discovery could be reached all the time, so the drains count as told 6 s later, whatever became of the calls.
func playSlowList(p *play) error {
	backends, d, nodes, err := p.newKampklip(12, 3)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for _, n := range nodes {
		for range 8 {
			clients.Go(func() { viewer(p, n, stop, &mu, counts) })
		}
	}
	time.Sleep(10 * time.Second)
	if p.trouble {
		p.note("discovery is slow from now on")
		d.setSlow(true)
	}
	time.Sleep(2 * time.Second)
	drained := backends[:2]
	began := time.Now()
	for _, b := range drained {
		p.note("server %s begins to drain; discovery has it now", b.id)
		b.draining.Store(true)
		d.set(b.id, "draining")
	}
	time.Sleep(15 * time.Second)
	p.note("discovery is fast again")
	d.setSlow(false)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	broken := 0
	for _, b := range drained {
		for _, r := range b.receipts() {
			if late := r.firstByte.Sub(began); late > 6550*time.Millisecond {
				broken++
				p.note("BROKEN %s was sent to draining %s %.3f s after discovery had the drain", r.id, b.id, late.Seconds())
			}
		}
	}
	p.note("answers by status %v; %d attempts at draining servers too late", counts, broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
