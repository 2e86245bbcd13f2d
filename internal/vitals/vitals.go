// Package vitals collects the nodes' reports of completed requests and memory use on the leader, and judges by them
// the wave of a release that is soaking. It has no clock and no I/O; the time is in its arguments.
package vitals

import (
	"slices"
	"time"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
)

// WarmUp is the time from the start of a wave's soak, or of a process, until its requests count. A process that has
// just started refuses more requests than later on.
const WarmUp = 3 * time.Second

// Vitals has the last report of each node. The nodes themselves count from the start of the soak, so that a new
// leader has the counts of the whole soak with their next reports. The zero value has no reports.
type Vitals struct{ reports map[string]*nodeReport }

// nodeReport is the last report of a node.
type nodeReport struct {
	session       uint64 // epoch of the node's session that reported
	soak          int64  // soak whose start the counts begin at
	counts        map[string]health.ClassCounts
	residentBytes uint64 // resident memory in bytes
}

// ActiveSoak returns the soak that nodes have to count from, as the ms of its start; 0 if no wave has soaked for
// WarmUp. wanted reports whether nodes have to report their counts, which is while a release with health checks is
// running.
func ActiveSoak(s *fleetpb.State) (soak int64, wanted bool) {
	r := s.Release
	if r == nil || r.State != fleet.Running || !r.Plan.Health {
		return 0, false
	}
	if r.SoakMs > 0 && s.NowMs-r.SoakMs >= WarmUp.Milliseconds() {
		return r.SoakMs, true
	}
	return 0, true
}

// SetReport stores the report that a node's session renewal carries. One without counts removes the node's report.
func (v *Vitals) SetReport(node string, session uint64, o *fleetpb.OpenSession) {
	if len(o.Ends) == 0 {
		delete(v.reports, node)
		return
	}
	if v.reports == nil {
		v.reports = map[string]*nodeReport{}
	}
	p := &nodeReport{session: session, soak: o.Soak, counts: map[string]health.ClassCounts{}, residentBytes: o.Resident}
	for _, e := range o.Ends {
		p.counts[e.Class] = health.ClassCounts{Served: e.Served, Refused: e.Refused, Failed: e.Failed, Latencies: expandLatencies(e)}
	}
	v.reports[node] = p
}

// Remove drops the report of a node.
func (v *Vitals) Remove(node string) { delete(v.reports, node) }

// Subtract returns the counts of now minus those of an earlier time. Both must be of the same process, whose counts
// only rise.
func Subtract(now, before map[string]health.ClassCounts) map[string]health.ClassCounts {
	since := map[string]health.ClassCounts{}
	for class, e := range now {
		was := before[class]
		d := health.ClassCounts{Served: e.Served - was.Served, Refused: e.Refused - was.Refused, Failed: e.Failed - was.Failed, Latencies: slices.Clone(e.Latencies)}
		for i := range min(len(d.Latencies), len(was.Latencies)) {
			d.Latencies[i] -= was.Latencies[i]
		}
		since[class] = d
	}
	return since
}

// SetTrimmedLatencies sets the latency counts of a message, without the zeros before the first and after the last
// other count.
func SetTrimmedLatencies(e *fleetpb.Ends, took []uint64) {
	from, to := 0, len(took)
	for from < to && took[from] == 0 {
		from++
	}
	for to > from && took[to-1] == 0 {
		to--
	}
	e.Took, e.TookFrom = took[from:to], uint32(from)
}

// expandLatencies is the reverse of SetTrimmedLatencies: it returns the counts of all buckets; nil if the message has
// none or has buckets that do not exist.
func expandLatencies(e *fleetpb.Ends) []uint64 {
	if len(e.Took) == 0 || uint64(e.TookFrom)+uint64(len(e.Took)) > health.Buckets {
		return nil
	}
	took := make([]uint64, health.Buckets)
	copy(took[e.TookFrom:], e.Took)
	return took
}

// addTo adds the counts of a report to sum, by class.
func (p *nodeReport) addTo(sum map[string]health.ClassCounts) {
	for class, e := range p.counts {
		s := sum[class]
		s.Served += e.Served
		s.Refused += e.Refused
		s.Failed += e.Failed
		if e.Latencies != nil && s.Latencies == nil {
			s.Latencies = make([]uint64, health.Buckets)
		}
		for i, n := range e.Latencies {
			s.Latencies[i] += n
		}
		sum[class] = s
	}
}

// Judge compares the nodes of the wave that is soaking with the nodes that have the version before: those in the same
// zones, or else in all zones, or else, as in the last wave, the nodes of earlier waves. Memory is compared over all
// nodes of both versions. A wave that was found well is judged further until its soak ends; the probability of a
// false alarm is bounded over the whole soak. It returns nil if there is no new verdict, and HealthUnknown once half
// of the time for judging is over.
func (v *Vitals) Judge(s *fleetpb.State) *fleetpb.Judged {
	r := s.Release
	soak, _ := ActiveSoak(s)
	if soak == 0 || r.Health == fleet.HealthWorse {
		return nil
	}
	fresh, sameZones, allOld, earlierWaves := map[string]health.ClassCounts{}, map[string]health.ClassCounts{}, map[string]health.ClassCounts{}, map[string]health.ClassCounts{}
	zones := map[string]bool{}
	// currentReport returns a node's report if it is of the node's present session, else nil.
	currentReport := func(name string) *nodeReport {
		if p, n := v.reports[name], s.Nodes[name]; p != nil && n != nil && n.Epoch == p.session {
			return p
		}
		return nil
	}
	for _, n := range r.Plan.Waves[r.Wave].Nodes {
		if p := currentReport(n); p != nil && p.soak == soak {
			p.addTo(fresh)
			zones[s.Nodes[n].Zone] = true
		}
	}
	maxMemory := map[string]uint64{} // largest resident memory of a node, by version
	for name, u := range s.Units {
		p := currentReport(name)
		if p == nil || u.State != fleet.UnitReady {
			continue
		}
		maxMemory[u.Version] = max(maxMemory[u.Version], p.residentBytes)
		switch {
		case p.soak != soak || slices.Contains(r.Plan.Waves[r.Wave].Nodes, name):
		case u.Version == r.Plan.Version:
			p.addTo(earlierWaves) // a node of an earlier wave, which was found well
		case u.Version == r.Plan.Before:
			p.addTo(allOld)
			if zones[s.Nodes[name].Zone] {
				p.addTo(sameZones)
			}
		}
	}
	old := sameZones
	for _, other := range []map[string]health.ClassCounts{allOld, earlierWaves} {
		if len(old) == 0 {
			old = other
		}
	}
	verdict, why := health.Judge(fresh, old)
	if moreMemory, memoryWhy := health.UsesMoreMemory(maxMemory[r.Plan.Version], maxMemory[r.Plan.Before]); moreMemory {
		verdict, why = health.Worse, memoryWhy
	}
	judged := &fleetpb.Judged{Release: r.Plan.Name, Wave: r.Wave, SoakMs: r.SoakMs}
	switch {
	case verdict == health.Worse:
		judged.Health, judged.Why = fleet.HealthWorse, why
	case verdict == health.Well && r.Health != fleet.HealthWell:
		judged.Health = fleet.HealthWell
	case verdict == health.Unknown && r.Health == "" && s.NowMs-r.SoakMs > r.Plan.SoakMs+r.Plan.LimitMs/2:
		judged.Health, judged.Why = fleet.HealthUnknown, why // shown to operators before the time limit halts the release
	default:
		return nil
	}
	return judged
}
