package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/standin"
)

const (
	listTries   = 7 // measurements, of which the median is taken
	listLimit   = 4 << 20
	idleTicks   = 400 // measured ticks of modules without requests
	tickLength  = 25 * time.Millisecond
	heapSlack   = 16 << 10 // bytes: a garbage collection that frees less is the last one
	serviceSize = 25       // mean number of backends of a service: the design's 8,600 over its 340 services
)

// modules measures the memory and processor time of the decision module alone, by backends, tenants and services.
func (r *run) modules(ctx context.Context, s *Section) error {
	for _, part := range []func(context.Context, *Section) error{r.backends, r.tenants, r.services, r.entries} {
		if err := part(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// nodeSettings returns the settings of a node of the design, which exchanges messages with others and probes servers.
func nodeSettings(self, tenants int) decide.Settings {
	s := decide.Settings{Nodes: int(Design.Nodes), Self: self, Zone: zoneOf(self), MaxAttempts: 4, MayOverlap: true,
		MayCancel: true, MayProbe: true, MayMessage: true,
		HoldOffs: true, MaxHoldOff: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond, MinTick: 5 * time.Millisecond, ListOnRequest: true, ReportVia: decide.ReportProbe,
		ReportFields: []string{"in_flight",
			"queue"}, ConnIdle: 30 * time.Second, AnswerSlack: 20 * time.Millisecond, MaxListRequestInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
		ColdFrom: 1, ColdTime: time.Second, OverloadFactor: 2.5, OverloadTime: time.Second,
		Classes: []decide.Class{{Name: requestClass.Name, Worth: 1, Aim: requestClass.Aim,
			Deadline: requestClass.Patience, Effect: decide.Safe}}}
	for i := range tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{Name: tenantName(i), Quota: tenantQuota,
			Share: 1 / float64(tenants)})
	}
	return s
}

// backendList returns a full list of n servers of one service, as a module receives it.
func backendList(service, n int) decide.ListUpdate {
	l := decide.ListUpdate{Kind: decide.ListFull, Version: 1}
	for i := range n {
		l.Entries = append(l.Entries, decide.Server{ID: registry.ServerID(backendName(service*serviceSize + i)),
			Zone: zoneOf(i), Kind: "std", Cell: i, State: decide.Ready, Size: 1})
	}
	return l
}

// heapPerCopy returns the bytes of live heap for each of the copies that make returns.
func heapPerCopy[T any](copies int, make func() T) float64 {
	before := liveHeap()
	var made []T
	for range copies {
		made = append(made, make())
	}
	after := liveHeap()
	runtime.KeepAlive(made)
	return (after - before) / float64(copies)
}

// liveHeap collects garbage until nothing more is freed, and returns the bytes of live heap.
func liveHeap() float64 {
	var now runtime.MemStats
	for last := uint64(math.MaxUint64); ; last = now.HeapAlloc {
		runtime.GC()
		runtime.ReadMemStats(&now)
		if now.HeapAlloc+heapSlack >= last {
			return float64(now.HeapAlloc)
		}
	}
}

// copiesOf returns how many copies of something of a size to make, so that other objects on the heap don't matter.
func copiesOf(size, largest int) int { return max(2, 4*largest/size) }

// median calls take n times and returns the median of the times.
func median(n int, take func() time.Duration) time.Duration {
	var t standin.Times
	for range n {
		t.Add(take())
	}
	return t.Quantile(0.5)
}

const moduleStart = time.Hour // start on the module's clock, on which zero is not a valid time

// backends measures one module as its list grows, and the list in the form in which discovery sends it.
func (r *run) backends(_ context.Context, s *Section) error {
	var p slopePoints
	for _, size := range []int{100, 1000, 4000, int(Design.Backends)} {
		list := backendList(0, size)
		settings := nodeSettings(0, 0)
		bytesHeld := heapPerCopy(copiesOf(size, int(Design.Backends)), func() *decide.Module {
			m := decide.New(settings, 1)
			m.Handle(moduleStart, list)
			return m
		})
		taken := median(listTries, func() time.Duration {
			m := decide.New(settings, 1)
			began := processorTime()
			m.Handle(moduleStart, list)
			return processorTime() - began
		})
		raw, err := json.Marshal(struct {
			Version uint64          `json:"version"`
			Full    bool            `json:"full"`
			Servers []standin.Entry `json:"servers"`
		}{1, true, listedBackends(size)})
		if err != nil {
			return err
		}
		decoded := median(listTries, func() time.Duration {
			began := processorTime()
			if _, e := registry.Decode(bytes.Clone(raw)); e != nil {
				err = e
			}
			return processorTime() - began
		})
		if err != nil {
			return err
		}
		for _, f := range []struct {
			name  string
			value float64
			unit  string
		}{
			{"memory", bytesHeld / (1 << 20), "MiB, one module"},
			{"list.taken", taken.Seconds() * 1e3, "ms of processor time, a whole list by the module"},
			{"list.decoded", decoded.Seconds() * 1e3, "ms of processor time, a whole list from JSON"},
			{"list.json", float64(len(raw)), "bytes of JSON"},
		} {
			s.addFigure(r.Out, fmt.Sprintf("backends.%d.%s", size, f.name), f.value, f.unit)
			p.add("backends."+f.name, f.unit, float64(size), f.value)
		}
		if size == int(Design.Backends) {
			s.addFigure(r.Out, "backends.list.limit", float64(listLimit)/float64(len(raw)),
				"times that list is what a node takes at most (4 MiB)")
			s.addFigure(r.Out, "backends.region.restart", float64(len(raw))*Design.Nodes/regions/1e6,
				"MB of lists for 365 nodes that restart at once, computed")
			s.addFigure(r.Out, "backends.list.paced", float64(len(raw))/BudgetBytes,
				"s for that list at 7,000 bytes a second, computed")
			s.addPromise(r.Out, len(raw) <= listLimit, "the list of %d backends is taken", size)
		}
	}
	return p.write(r, s, "backend", Design.Backends)
}

// tenants measures what tenants add to the cost of one module.
func (r *run) tenants(_ context.Context, s *Section) error {
	var p slopePoints
	for _, size := range []int{100, 1800, 6000, int(Design.Tenants)} {
		copies := copiesOf(size, int(Design.Tenants))
		bytesOfSettings := heapPerCopy(copies, func() decide.Settings { return nodeSettings(0, size) })
		settings := nodeSettings(0, size)
		bytesHeld := heapPerCopy(copies, func() *decide.Module { return decide.New(settings, 1) })
		for _, f := range []struct {
			name  string
			value float64
			unit  string
		}{{"memory", bytesHeld / (1 << 20), "MiB, one module"}, {"settings", bytesOfSettings / (1 << 20),
			"MiB, the settings that all modules may share"}} {
			s.addFigure(r.Out, fmt.Sprintf("tenants.%d.%s", size, f.name), f.value, f.unit)
			p.add("tenants."+f.name, f.unit, float64(size), f.value)
		}
	}
	return p.write(r, s, "tenant", Design.Tenants)
}

// modulesOf returns a module for each of the given number of services.
func modulesOf(services int) (list []*decide.Module) {
	for service := range services {
		m := decide.New(nodeSettings(0, 0), int64(service))
		m.Handle(moduleStart, backendList(service, serviceSize))
		list = append(list, m)
	}
	return list
}

// services measures a node with a module for each service. The program has no such node yet.
func (r *run) services(_ context.Context, s *Section) error {
	var p slopePoints
	for _, size := range []int{10, 40, 100, int(Design.Services)} {
		bytesHeld := heapPerCopy(copiesOf(size, int(Design.Services)), func() []*decide.Module { return modulesOf(size) })
		list := modulesOf(size)
		began := processorTime()
		for tick := range idleTicks {
			now := moduleStart + time.Duration(tick+1)*tickLength
			for _, m := range list {
				m.Handle(now, decide.TimerFired{})
			}
		}
		idle := (processorTime() - began).Seconds() / (idleTicks * tickLength.Seconds())
		s.addFigure(r.Out, fmt.Sprintf("services.%d.memory", size), bytesHeld/(1<<20),
			"MiB, a module each of 25 backends, no tenants")
		s.addFigure(r.Out, fmt.Sprintf("services.%d.idle", size), idle, "cores, a module each to which nothing comes")
		p.add("services.memory", "MiB, a module each of 25 backends, no tenants", float64(size), bytesHeld/(1<<20))
		p.add("services.idle", "cores, a module each to which nothing comes", float64(size), idle)
	}
	if err := p.write(r, s, "service", Design.Services); err != nil {
		return err
	}
	tenants, services := slopeOf(s, "tenants.memory"), slopeOf(s, "services.memory")
	s.addFigure(r.Out, "services.tenants.memory", services+Design.Services*tenants,
		"MiB, 340 modules that each hold all 18,000 tenants, computed from the two")
	return nil
}

// slopeOf returns the value at the design size of a slope of the section.
func slopeOf(s *Section, name string) float64 {
	for _, l := range s.Slopes {
		if l.Name == s.Name+"."+name {
			return l.AtDesign
		}
	}
	return 0
}
