package capacity

import (
	"context"
	"fmt"
	"time"

	"starlingvalve/internal/link"
	"starlingvalve/internal/rig/capacity/hollow"
)

// reading holds the totals of all parts of the fleet at one time.
type reading struct {
	at       time.Time
	hollow   hollow.Counts
	leader   int
	cpuTimes []time.Duration // processor time of the control machines
	traffic  []link.Traffic
	applied  uint64 // log entries that the leader has applied
	term     uint64
}

func (s *site) read(ctx context.Context) (now reading, err error) {
	if now.leader, err = s.leader(ctx); err != nil {
		return now, err
	}
	if now.hollow, err = s.counts(); err != nil {
		return now, err
	}
	now.at = time.Now()
	for i, m := range s.voters {
		h, err := m.client.Status(ctx)
		if err != nil {
			return now, fmt.Errorf("%s: %w", m.name, err)
		}
		now.cpuTimes, now.traffic = append(now.cpuTimes, processorOf(m.pid())), append(now.traffic, h.Traffic)
		if i == now.leader {
			now.applied, now.term = h.Applied, h.Term
		}
	}
	return now, nil
}

// usageRates is the difference of two readings, per second.
type usageRates struct {
	pause                               time.Duration // longest pause of the hollow nodes' processes
	seconds                             float64
	leaderProcessor, followerProcessor  float64 // cores; the mean of the followers
	leaderOut, leaderIn, leaderBytes    float64 // datagrams and bytes, headers included
	followerBytes                       float64
	nodeProcessor                       float64 // cores of one hollow node
	nodeDatagrams, nodeBytes, nodeCalls float64 // of one hollow node, in and out, headers included
	entries                             float64
	callsByKind                         map[uint64]float64 // of one node
}

func wireBytes(t link.Traffic) float64 {
	return float64(t.BytesIn+t.BytesOut) + headerBytes*float64(t.DatagramsIn+t.DatagramsOut)
}

func ratesBetween(a, b reading, nodes int) (d usageRates) {
	d.seconds = b.at.Sub(a.at).Seconds()
	followers := float64(len(a.cpuTimes) - 1)
	for i := range a.cpuTimes {
		cpu := (b.cpuTimes[i] - a.cpuTimes[i]).Seconds() / d.seconds
		bytes := (wireBytes(b.traffic[i]) - wireBytes(a.traffic[i])) / d.seconds
		if i != b.leader {
			d.followerProcessor, d.followerBytes = d.followerProcessor+cpu/followers, d.followerBytes+bytes/followers
			continue
		}
		d.leaderProcessor, d.leaderBytes = cpu, bytes
		d.leaderOut = float64(b.traffic[i].DatagramsOut-a.traffic[i].DatagramsOut) / d.seconds
		d.leaderIn = float64(b.traffic[i].DatagramsIn-a.traffic[i].DatagramsIn) / d.seconds
	}
	each := d.seconds * float64(nodes)
	d.nodeProcessor = (b.hollow.CPUTime - a.hollow.CPUTime).Seconds() / each
	x, y := a.hollow.Traffic, b.hollow.Traffic
	d.nodeDatagrams = float64(y.DatagramsIn+y.DatagramsOut-x.DatagramsIn-x.DatagramsOut) / each
	d.nodeBytes = (wireBytes(y) - wireBytes(x)) / each
	d.callsByKind = map[uint64]float64{}
	for kind, n := range y.Calls {
		d.callsByKind[kind] = float64(n-x.Calls[kind]) / each
		d.nodeCalls += d.callsByKind[kind]
	}
	d.pause = b.hollow.LongestPause
	d.entries = float64(b.applied-a.applied) / d.seconds
	return d
}

// window measures the rates over a time. It returns errLeaderMoved if the leader or its term changed in that time.
func (s *site) window(ctx context.Context, length time.Duration, nodes int) (usageRates, error) {
	a, err := s.read(ctx)
	if err != nil {
		return usageRates{}, err
	}
	if err := sleep(ctx, length); err != nil {
		return usageRates{}, err
	}
	b, err := s.read(ctx)
	if err != nil {
		return usageRates{}, err
	}
	if a.leader != b.leader || a.term != b.term {
		return usageRates{}, errLeaderMoved
	}
	return ratesBetween(a, b, nodes), nil
}
