package fleet

import "starlingvalve/internal/fleet/fleetpb"

const maxSamples = 4000

// sample records how many members of each group of each budget are out of service, for groups where that has changed.
// It does so from the start of a release until the release is finished and no node has a turn any more.
func (m *Machine) sample() {
	r := m.state.Release
	if m.state.Level < levelWaves || r == nil || isFinished(r.State) && len(r.Turns) == 0 && m.endSampled(r) {
		return
	}
	known := map[[2]string]*fleetpb.Sample{}
	for _, s := range m.state.Samples {
		known[[2]string{s.Budget, s.Group}] = s
	}
	for _, g := range m.Groups() {
		previous := known[[2]string{g.Budget.Name, g.Name}]
		if previous != nil && previous.Out == uint32(len(g.Out)) && previous.Members == uint32(g.Members) {
			continue
		}
		m.state.Samples = append(m.state.Samples, &fleetpb.Sample{AtMs: m.state.NowMs, Budget: g.Budget.Name, Group: g.Name, Out: uint32(len(g.Out)), Members: uint32(g.Members), Most: int32(g.MaxOut())})
	}
	m.state.Samples = lastN(m.state.Samples, maxSamples)
}

// endSampled reports whether the final state of the release has been sampled. The first call sets the end time and
// returns false, since the last turn may have ended with this very entry.
func (m *Machine) endSampled(r *fleetpb.Release) bool {
	if r.EndMs == 0 {
		r.EndMs = m.state.NowMs
		return false
	}
	return true
}

// MaxOut returns how many members of the group may be out of service by most_out and most_share of its budget; -1 if
// the budget has neither.
func (g Group) MaxOut() int {
	b, most := g.Budget, -1
	if b.Bounded {
		most = int(b.MostOut)
	}
	if b.MostShare > 0 {
		if n := int(b.MostShare*float64(g.Members) + 1e-9); most < 0 || n < most {
			most = n
		}
	}
	return most
}
