package decide

import "slices"

// Suspects are the listed servers that this module takes for dead, as they leave what they take unanswered or take nothing: they get
// nothing but trials. In the order of their numbers; it changes nothing.
func (m *Module) Suspects() (ids []ServerID) {
	for id, s := range m.known {
		if s.suspect && s.State == Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
