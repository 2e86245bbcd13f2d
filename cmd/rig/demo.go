package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

// kampklip are the operators' classes, with the work scaled down to what a small machine stands in for.
var kampklip = []standin.Class{
	{Name: "broadcast-clip", Method: "GET", Share: 0.12, Worth: 12, Aim: 600 * time.Millisecond, Patience: 1200 * time.Millisecond},
	{Name: "viewer-clip", Method: "GET", Share: 0.40, Worth: 1, Aim: 600 * time.Millisecond, Patience: 2 * time.Second},
	{Name: "cut-order", Method: "POST", Share: 0.24, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 200},
	{Name: "tag-event", Method: "POST", Keyed: true, Share: 0.24, Worth: 1, Aim: 1500 * time.Millisecond, Patience: 4 * time.Second, BodyBytes: 100},
}

// kampklipWork is what each class asks, for a mean of 20 ms.
func kampklipWork(scale float64) map[string]standin.Work {
	ms := func(n float64) time.Duration { return time.Duration(n * scale * float64(time.Millisecond)) }
	return map[string]standin.Work{"broadcast-clip": {Time: ms(20), Bytes: 2048}, "viewer-clip": {Time: ms(12), Bytes: 2048},
		"cut-order": {Time: ms(30), Bytes: 256}, "tag-event": {Time: ms(24), Bytes: 256}}
}

// fleet is a registry with its servers.
type fleet struct {
	registry *standin.Registry
	servers  []*standin.Server
	mu       sync.Mutex        // of the lists, while servers are replaced
	gone     []*standin.Server // replaced; they end with the others at the latest
}

func newFleet(n, cores, room int, work map[string]standin.Work) (*fleet, error) {
	return openFleet(n, work, func(i int) standin.ServerOptions {
		return standin.ServerOptions{Name: fmt.Sprintf("s-%08x", 0x5be2a000+i*7919), Zone: "hall-a", Kind: "std", Cell: i / 2, Cores: cores, MaxRequests: room}
	})
}

// openFleet starts servers as each is wanted. Those of a cell know the same keys.
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

// Close stops all servers, also those that have left the list, and discovery.
func (f *fleet) Close() {
	for _, s := range append(f.gone, f.servers...) {
		s.Close()
	}
	if f.registry != nil {
		f.registry.Close()
	}
}

func (f *fleet) setWork(work map[string]standin.Work) {
	for _, s := range f.servers {
		s.SetWork(work)
	}
}

func (f *fleet) setLog(on bool) {
	for _, s := range f.servers {
		s.SetLog(on)
	}
}

// forget empties the servers' logs.
func (f *fleet) forget() {
	for _, s := range f.servers {
		s.SetLog(false)
		s.SetLog(true)
	}
}

func (f *fleet) executions() (all []standin.Execution) {
	for _, s := range append(slices.Clone(f.gone), f.servers...) {
		all = append(all, s.Log()...)
	}
	return all
}

// restart ends a server, by its place in the list, and starts it again at another address, as cold as coldFrom says.
// The registry is updated.
func (f *fleet) restart(i int, coldFrom float64, coldTime time.Duration) error {
	f.mu.Lock()
	old := f.servers[i]
	f.mu.Unlock()
	o := old.ServerOptions
	o.ColdFrom, o.ColdTime = coldFrom, coldTime
	old.Close()
	s, err := standin.NewServer(o, kampklipWork(1))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone, f.servers[i] = append(f.gone, old), s
	f.registry.Set(standin.EntryOf(s))
	return nil
}

// now is the server that has a place in the list at present.
func (f *fleet) now(i int) *standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[i]
}

// demo shows two sites at work until it is interrupted: the first gets a little more than it can serve, and hands
// work to the second while the link between them is up.
func demo(ctx context.Context, o *options) error {
	w, err := newWorkshop(ctx, o.binary)
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
	fmt.Printf("hall-a: two servers, nodes on %s and %s; hall-b: three servers, nodes on %s and %s. Ask one:\n\n",
		n.addr, sites[0].nodes[1].addr, sites[1].nodes[0].addr, sites[1].nodes[1].addr)
	fmt.Printf("  curl -i -H 'X-Correlation-Id: hello-1' -H 'X-Time-Left: 2.0' 'http://%s/viewer-clip?obj=match-1'\n\n", n.addr)
	load := &standin.Load{Addr: n.addr, RetryAddrs: []string{sites[0].nodes[1].addr}, Classes: kampklip, Retries: 2, Prefix: "demo-hall-a-"}
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
		if seconds++; seconds%demoRound >= demoRound-demoCut {
			state = "cut"
		}
		for _, h := range sites {
			for _, wire := range h.wires {
				wire.Cut(state == "cut", state == "cut")
			}
		}
		abroad := ranAbroad(sites, 1)
		s := load.Sums()
		load.ResetCounts()
		fmt.Printf("%s  link %-3s  %3d asked at hall-a, %3d served (%2d of them ran in hall-b), %3d in time, %d tries refused, %d failed; worth kept %.3f\n",
			time.Now().Format(time.TimeOnly), state, s.Orders, s.Served, abroad-before, s.InAim, s.RefusedTries, s.Failed, s.WorthFraction())
		if before = abroad; abroad > demoForget {
			before = 0
			for _, h := range sites {
				h.fleet.forget()
			}
		}
	}
}

const (
	demoLoad   = 120 // orders a second; hall-a's two cores do some 97
	demoRound  = 20  // seconds, of which the link is cut
	demoCut    = 5
	demoForget = 10_000 // executions; then the stand-ins' logs begin anew, so that a demo may run for days
)
