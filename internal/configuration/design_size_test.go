package configuration

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

// The number of entries of each kind that operators require. The content of the entries is an assumption: a route's
// host and path have about 40 bytes together, and a tenant has limits at two services.
const (
	designServices = 340
	designRoutes   = 2_600
	designTenants  = 18_000
)

// newDesignSizeStore returns a store with these numbers of entries.
func newDesignSizeStore(b *testing.B) *Store {
	b.Helper()
	s := New()
	var changes []*configpb.Change
	name := func(i int) string { return fmt.Sprintf("service-%d", i%designServices) }
	for i := range designServices {
		changes = append(changes, slowService(name(i), uint32(1000+i)))
	}
	for i := range designRoutes {
		changes = append(changes, route(fmt.Sprintf("route-%d", i), fmt.Sprintf("shop-%d.example.org", i%50),
			fmt.Sprintf("/api/v1/resource-%d", i), name(i)))
	}
	for i := range designTenants {
		limits := []*configpb.Limit{share(name(i), 0.05), {Service: name(i + 1), RequestsPerSecond: float64(100 + i)}}
		changes = append(changes, tenant(fmt.Sprintf("tenant-%06d", i), limits...))
	}
	for from := 0; from < len(changes); from += MaxChanges {
		commit(b, s, changes[from:min(len(changes), from+MaxChanges)]...)
	}
	return s
}

// heap returns the bytes of live heap objects.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCommit changes one route in a store of the design size.
func BenchmarkCommit(b *testing.B) {
	s := newDesignSizeStore(b)
	i := 0
	for b.Loop() {
		i++
		commit(b, s, route("route-0", "shop-0.example.org", fmt.Sprintf("/changed/%d", i), "service-0"))
	}
	d, err := s.Delta(s.Revision()-1, MaxBytes)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(proto.Size(d)), "delta-bytes")
}

// BenchmarkState encodes the store's state, as for a snapshot of the log.
func BenchmarkState(b *testing.B) {
	s := newDesignSizeStore(b)
	var raw []byte
	for b.Loop() {
		raw = encoded(b, s.State())
	}
	b.ReportMetric(float64(len(raw)), "state-bytes")
	b.ReportMetric(float64(len(encoded(b, s.Snapshot()))), "snapshot-bytes")
}

// BenchmarkReplica restores a replica from a snapshot, as at a node's first start, and reports the heap bytes of the
// replica.
func BenchmarkReplica(b *testing.B) {
	raw := encoded(b, newDesignSizeStore(b).Snapshot())
	var r *Replica
	before := heap()
	for b.Loop() {
		snapshot := &configpb.Snapshot{}
		if err := proto.Unmarshal(raw, snapshot); err != nil {
			b.Fatal(err)
		}
		r = NewReplica(nil)
		if err := r.Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap()-before), "heap-bytes")
	runtime.KeepAlive(r)
}
