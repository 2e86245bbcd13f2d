package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/fleet/fleetpb"
)

// RequiredLevel returns the level that an entry needs: it must not be appended while a member understands only lower
// ones.
func RequiredLevel(e *fleetpb.Entry) uint32 {
	switch e.GetWhat().(type) {
	case *fleetpb.Entry_Configure, *fleetpb.Entry_RollBack:
		return levelConfiguration
	}
	return levelFirst
}

// Configuration returns the fleet's configuration. The caller must not modify it.
func (m *Machine) Configuration() *configuration.Store { return m.configuration }

// HasResult reports whether the result of the request with that ID is kept.
func (m *Machine) HasResult(ask string) bool {
	return ask != "" && slices.ContainsFunc(m.state.Answered, func(a *fleetpb.Answered) bool { return a.Ask == ask })
}

// Sessions returns the epochs of the live sessions by node name.
func (m *Machine) Sessions() map[string]uint64 {
	sessions := make(map[string]uint64, len(m.state.Nodes))
	for name, n := range m.state.Nodes {
		if n.State == Live {
			sessions[name] = n.Epoch
		}
	}
	return sessions
}

// Overview returns the encoded state without the configuration, for operators.
func (m *Machine) Overview() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// configure applies a transaction to the configuration. At a level below levelConfiguration it gives the result that
// a program of that level gives, which does not know the entry.
func (m *Machine) configure(tx *configpb.Transaction) *fleetpb.Result {
	if m.state.Level < levelConfiguration {
		return unknownEntry()
	}
	return ConfigurationResult(m.configuration.Commit(m.state.NowMs, tx))
}

// rollBack restores an earlier revision of the configuration. Below levelConfiguration it does as configure does.
func (m *Machine) rollBack(r *configpb.Rollback) *fleetpb.Result {
	if m.state.Level < levelConfiguration {
		return unknownEntry()
	}
	return ConfigurationResult(m.configuration.Rollback(m.state.NowMs, r))
}

// ConfigurationResult turns the outcome of a configuration change into the result for the client that requested it.
func ConfigurationResult(o configuration.Outcome, err error) *fleetpb.Result {
	r := &fleetpb.Result{Code: fleetpb.Result_DONE, Configuration: configuration.ResultOf(o, err)}
	if err != nil {
		r.Reason, r.Code = err.Error(), fleetpb.Result_INVALID
	}
	if r.Configuration.Code == configpb.Result_CONFLICT {
		r.Code = fleetpb.Result_REFUSED
	}
	return r
}

// fullState returns the state with the configuration, for a snapshot of the log. It shares memory with the
// configuration.
func (m *Machine) fullState() *fleetpb.State {
	if m.configuration.Revision() == 0 {
		return m.state
	}
	whole := proto.CloneOf(m.state)
	whole.Configuration = m.configuration.State()
	return whole
}

// takeConfiguration removes the configuration from a decoded state and returns it. After an error the state still has
// it.
func takeConfiguration(s *fleetpb.State) (*configuration.Store, error) {
	c := configuration.New()
	if s.Configuration == nil {
		return c, nil
	}
	if err := c.Restore(s.Configuration); err != nil {
		return nil, err
	}
	s.Configuration = nil
	return c, nil
}
