package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

// mediaClasses are the request classes of a media service. Their work is scaled down so that one small machine can run
// all servers.
var mediaClasses = []standin.Class{
	{Name: "broadcast-clip", Method: "GET", Share: 0.12, Worth: 12, Aim: 600 * time.Millisecond, Patience: 1200 * time.Millisecond},
	{Name: "viewer-clip", Method: "GET", Share: 0.40, Worth: 1, Aim: 600 * time.Millisecond, Patience: 2 * time.Second},
	{Name: "cut-order", Method: "POST", Share: 0.24, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 200},
	{Name: "tag-event", Method: "POST", Keyed: true, Share: 0.24, Worth: 1, Aim: 1500 * time.Millisecond, Patience: 4 * time.Second, BodyBytes: 100},
}

// mediaWork returns the work of a request of each class at a server. The mean over all requests is about 20 ms times
// scale.
func mediaWork(scale float64) map[string]standin.Work {
	ms := func(n float64) time.Duration { return time.Duration(n * scale * float64(time.Millisecond)) }
	return map[string]standin.Work{"broadcast-clip": {Time: ms(20), Bytes: 2048}, "viewer-clip": {Time: ms(12), Bytes: 2048},
		"cut-order": {Time: ms(30), Bytes: 256}, "tag-event": {Time: ms(24), Bytes: 256}}
}

// fleet is a registry and the servers that it lists.
type fleet struct {
	registry *standin.Registry
	servers  []*standin.Server
	mu       sync.Mutex        // guards the lists while servers are replaced
	replaced []*standin.Server // servers that were replaced; Close ends those that still run
}

// newFleet starts n servers of one zone, two in each cell.
func newFleet(n, cores, maxRequests int, work map[string]standin.Work) (*fleet, error) {
	return openFleet(n, work, func(i int) standin.ServerOptions {
		return standin.ServerOptions{Name: fmt.Sprintf("s-%08x", 0x5be2a000+i*7919), Zone: "hall-a", Kind: "std", Cell: i / 2, Cores: cores, MaxRequests: maxRequests}
	})
}

// openFleet starts n servers with the given options, and a registry that lists them. Servers of one cell share a store
// of idempotency keys.
func openFleet(n int, work map[string]standin.Work, options func(i int) standin.ServerOptions) (*fleet, error) {
	f := &fleet{}
	cells := map[int]*standin.Dedup{}
	var entries []standin.Entry
	for i := range n {
		o := options(i)
		if cells[o.Cell] == nil {
			cells[o.Cell] = &standin.Dedup{Window: 8 * time.Second}
		}
		o.Dedup = cells[o.Cell]
		s, err := standin.NewServer(o, work)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.servers = append(f.servers, s)
		entries = append(entries, standin.EntryOf(s))
	}
	var err error
	if f.registry, err = standin.NewRegistry(entries...); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops the registry and all servers, including replaced ones.
func (f *fleet) Close() {
	for _, s := range append(f.replaced, f.servers...) {
		s.Close()
	}
	if f.registry != nil {
		f.registry.Close()
	}
}

// setWork sets the work of a request of each class at all servers.
func (f *fleet) setWork(work map[string]standin.Work) {
	for _, s := range f.servers {
		s.SetWork(work)
	}
}

// setLog switches the servers' logs on or off.
func (f *fleet) setLog(on bool) {
	for _, s := range f.servers {
		s.SetLog(on)
	}
}

// clearLogs empties the servers' logs.
func (f *fleet) clearLogs() {
	for _, s := range f.servers {
		s.SetLog(false)
		s.SetLog(true)
	}
}

// executions returns the logs of all servers, including replaced ones.
func (f *fleet) executions() (all []standin.Execution) {
	for _, s := range append(slices.Clone(f.replaced), f.servers...) {
		all = append(all, s.Log()...)
	}
	return all
}

// restart ends the server at index i and starts it again at another address. The new process starts at the fraction
// coldFrom of full speed and warms up within coldTime. The registry is updated.
func (f *fleet) restart(i int, coldFrom float64, coldTime time.Duration) error {
	f.mu.Lock()
	old := f.servers[i]
	f.mu.Unlock()
	o := old.ServerOptions
	o.ColdFrom, o.ColdTime = coldFrom, coldTime
	old.Close()
	s, err := standin.NewServer(o, mediaWork(1))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaced, f.servers[i] = append(f.replaced, old), s
	f.registry.Set(standin.EntryOf(s))
	return nil
}

// serverAt returns the server that is at index i now.
func (f *fleet) serverAt(i int) *standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[i]
}

// demo runs two sites until it is interrupted. The first site gets slightly more load than it can serve, and hands off
// requests to the second while the link between them is up.
func demo(ctx context.Context, o *options) error {
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	sites, err := openSites(ctx, w, true, [2]int{2, 3}, 1)
	if err != nil {
		return err
	}
	defer closeSites(sites)
	n := sites[0].nodes[0]
	fmt.Printf("hall-a: two servers, nodes on %s and %s; hall-b: three servers, nodes on %s and %s. Send a request to one:\n\n",
		n.addr, sites[0].nodes[1].addr, sites[1].nodes[0].addr, sites[1].nodes[1].addr)
	fmt.Printf("  curl -i -H 'X-Correlation-Id: hello-1' -H 'X-Time-Left: 2.0' 'http://%s/viewer-clip?obj=match-1'\n\n", n.addr)
	load := &standin.Load{Addr: n.addr, RetryAddrs: []string{sites[0].nodes[1].addr}, Classes: mediaClasses, Retries: 2, Prefix: "demo-hall-a-"}
	running := make(chan struct{})
	go func() { defer close(running); load.RunOpen(ctx, demoLoad, 400) }()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	before, seconds := 0, 0
	for {
		select {
		case <-ctx.Done():
			<-running
			fmt.Println()
			return nil
		case <-n.ended:
			return fmt.Errorf("the node ended: %v\n%s", n.err, n.log.String())
		case <-tick.C:
		}
		state := "up"
		if seconds++; seconds%demoCycle >= demoCycle-demoCut {
			state = "cut"
		}
		for _, h := range sites {
			for _, wire := range h.wires {
				wire.Cut(state == "cut", state == "cut")
			}
		}
		executedThere := executedForOtherSite(sites, 1)
		s := load.Sums()
		load.ResetCounts()
		fmt.Printf("%s  link %-3s  %3d requests at hall-a, %3d served (%2d of them ran in hall-b), %3d in time, %d attempts refused, %d failed; value served %.3f\n",
			time.Now().Format(time.TimeOnly), state, s.Orders, s.Served, executedThere-before, s.InAim, s.RefusedTries, s.Failed, s.WorthFraction())
		if before = executedThere; executedThere > demoLogLimit {
			before = 0
			for _, h := range sites {
				h.fleet.clearLogs()
			}
		}
	}
}

const (
	demoLoad     = 120    // requests a second; the two cores of hall-a can serve about 97
	demoCycle    = 20     // seconds of a cycle
	demoCut      = 5      // seconds at the end of a cycle in which the link is cut
	demoLogLimit = 10_000 // executions after which the servers' logs are cleared, so that a demo can run for days
)
