package decide

import "slices"

// EjectedServers returns the ready servers that get trial requests only, as they have failed or not answered several
// requests in a row. They are in the order of their ids. It does not change the module.
func (m *Module) EjectedServers() (ids []ServerID) {
	for id, s := range m.known {
		if s.ejected && s.State == Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
