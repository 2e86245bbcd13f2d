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

func ratesBetween(before, after reading, nodes int) (rates usageRates) {
	rates.seconds = after.at.Sub(before.at).Seconds()
	followers := float64(len(before.cpuTimes) - 1)
	for i := range before.cpuTimes {
		cpu := (after.cpuTimes[i] - before.cpuTimes[i]).Seconds() / rates.seconds
		bytes := (wireBytes(after.traffic[i]) - wireBytes(before.traffic[i])) / rates.seconds
		if i != after.leader {
			rates.followerProcessor, rates.followerBytes = rates.followerProcessor+cpu/followers, rates.followerBytes+bytes/followers
			continue
		}
		rates.leaderProcessor, rates.leaderBytes = cpu, bytes
		rates.leaderOut = float64(after.traffic[i].DatagramsOut-before.traffic[i].DatagramsOut) / rates.seconds
		rates.leaderIn = float64(after.traffic[i].DatagramsIn-before.traffic[i].DatagramsIn) / rates.seconds
	}
	each := rates.seconds * float64(nodes)
	rates.nodeProcessor = (after.hollow.CPUTime - before.hollow.CPUTime).Seconds() / each
	trafficBefore, trafficAfter := before.hollow.Traffic, after.hollow.Traffic
	rates.nodeDatagrams = float64(trafficAfter.DatagramsIn+trafficAfter.DatagramsOut-trafficBefore.DatagramsIn-trafficBefore.DatagramsOut) / each
	rates.nodeBytes = (wireBytes(trafficAfter) - wireBytes(trafficBefore)) / each
	rates.callsByKind = map[uint64]float64{}
	for kind, n := range trafficAfter.Calls {
		rates.callsByKind[kind] = float64(n-trafficBefore.Calls[kind]) / each
		rates.nodeCalls += rates.callsByKind[kind]
	}
	rates.pause = after.hollow.LongestPause
	rates.entries = float64(after.applied-before.applied) / rates.seconds
	return rates
}

// window measures the rates over a time. It returns errLeaderMoved if the leader or its term changed in that time.
func (s *site) window(ctx context.Context, length time.Duration, nodes int) (usageRates, error) {
	before, err := s.read(ctx)
	if err != nil {
		return usageRates{}, err
	}
	if err := sleep(ctx, length); err != nil {
		return usageRates{}, err
	}
	after, err := s.read(ctx)
	if err != nil {
		return usageRates{}, err
	}
	if before.leader != after.leader || before.term != after.term {
		return usageRates{}, errLeaderMoved
	}
	return ratesBetween(before, after, nodes), nil
}
