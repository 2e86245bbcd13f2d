package main

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
)

// lostRevisions finds changes that were reported as applied but that the history lacks or has at another revision. It
// also finds revisions that no operator requested, that one change made twice, or whose change was refused.
func lostRevisions(puts []configurationPut, history []*configpb.Revision) (faults []string) {
	requested, made := map[string]configurationPut{}, map[string]uint64{}
	for _, p := range puts {
		requested[p.requestID] = p
	}
	for i, r := range history {
		if r.Number != uint64(i+1) {
			faults = append(faults, fmt.Sprintf("found revision %d where %d is expected", r.Number, i+1))
		}
		if other := made[r.By]; other > 0 {
			faults = append(faults, fmt.Sprintf("%s made revisions %d and %d", r.By, other, r.Number))
		}
		made[r.By] = r.Number
		p, known := requested[r.By]
		if !known || p.code != configpb.Result_APPLIED && p.code != configpb.Result_UNKNOWN {
			faults = append(faults, fmt.Sprintf("revision %d by %s, whose answer was %v", r.Number, r.By, p.code))
		}
	}
	for _, p := range puts {
		if p.code == configpb.Result_APPLIED && made[p.requestID] != p.revision {
			faults = append(faults, fmt.Sprintf("the answer to %s was revision %d; the history has it at %d",
				p.requestID, p.revision, made[p.requestID]))
		}
	}
	return faults
}

// brokenConditions finds revisions that were applied although their condition did not hold: the service had been changed
// after the revision that the operator had read.
func brokenConditions(puts []configurationPut, history []*configpb.Revision) (faults []string) {
	requested, last := map[string]configurationPut{}, map[int]uint64{}
	for _, p := range puts {
		requested[p.requestID] = p
	}
	for _, r := range history {
		p := requested[r.By]
		if p.condition != last[p.pair] {
			faults = append(faults, fmt.Sprintf("revision %d of pair %d requires revision %d; the last one was %d",
				r.Number, p.pair, p.condition, last[p.pair]))
		}
		last[p.pair] = r.Number
	}
	return faults
}

// outOfOrder finds processes that reported a revision older than one they had reported before, a revision that the
// history lacks, or a revision whose change had not been requested yet.
func outOfOrder(samples []configurationSample, puts []configurationPut, history []*configpb.Revision) []string {
	var faults []string
	type process struct {
		member string
		pid    int
	}
	requested, last := map[string]configurationPut{}, map[process]uint64{}
	for _, p := range puts {
		requested[p.requestID] = p
	}
	for _, s := range samples {
		who := process{s.member, s.pid}
		if s.revision < last[who] {
			faults = append(faults, fmt.Sprintf("%s went from revision %d to %d", s.member, last[who], s.revision))
		}
		last[who] = s.revision
		if s.revision == 0 {
			continue
		}
		if s.revision > uint64(len(history)) {
			faults = append(faults, fmt.Sprintf("%s has revision %d, which does not exist", s.member, s.revision))
			continue
		}
		if p, known := requested[history[s.revision-1].By]; known && s.at.Before(p.from) {
			faults = append(faults, fmt.Sprintf("%s had revision %d before it was requested", s.member, s.revision))
		}
	}
	return faults
}

// appliedInPart finds caches whose entries differ from the state that results from the history at the cache's revision.
func appliedInPart(caches []configurationCache, history []*configpb.Revision) (faults []string) {
	states := []map[string]*configpb.Entry{{}}
	for _, r := range history {
		state := maps.Clone(states[len(states)-1])
		for _, c := range r.Changes {
			if put := c.GetPut(); put != nil {
				state[configuration.Key(put)] = put
			} else {
				delete(state, c.GetDelete())
			}
		}
		states = append(states, state)
	}
	for _, c := range caches {
		if c.snapshot.Revision >= uint64(len(states)) {
			faults = append(faults, fmt.Sprintf("%s: revision %d does not exist", c.member, c.snapshot.Revision))
			continue
		}
		state := states[c.snapshot.Revision]
		differs := len(state) != len(c.snapshot.Entries)
		for _, e := range c.snapshot.Entries {
			differs = differs || !proto.Equal(e, state[configuration.Key(e)])
		}
		if differs {
			faults = append(faults, fmt.Sprintf("%s: the cache of revision %d differs from the history",
				c.member, c.snapshot.Revision))
		}
	}
	return faults
}
