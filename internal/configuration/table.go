package configuration

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

// table is a set of entries that is valid as a whole, with the indices that the check of a change needs.
type table struct {
	entries    map[string]*configpb.Entry     // by key
	references map[string]map[string]struct{} // keys of the entries that refer to a service, by the service's name
	matches    map[match]string               // keys of the routes, by what they match
	counts     map[string]int                 // number of entries, by kind
	bytes      int                            // size of all encoded entries
}

func newTable() *table {
	return &table{
		entries:    map[string]*configpb.Entry{},
		references: map[string]map[string]struct{}{},
		matches:    map[match]string{},
		counts:     map[string]int{},
	}
}

// staged is a change of a table that has not taken effect: the new entries by key, or nil for one that is deleted.
type staged struct {
	order   []string // keys, in the order of their first change
	entries map[string]*configpb.Entry
}

func newStaged() *staged { return &staged{entries: map[string]*configpb.Entry{}} }

func (s *staged) set(key string, e *configpb.Entry) {
	if _, known := s.entries[key]; !known {
		s.order = append(s.order, key)
	}
	s.entries[key] = e
}

// check returns an error unless the table would be valid after the change. Each staged entry has been checked by
// itself.
func (t *table) check(s *staged) *InvalidError {
	for _, key := range s.order {
		var err *InvalidError
		if e := s.entries[key]; e != nil {
			err = t.checkReferences(s, key, e)
		} else {
			err = t.checkDelete(s, key)
		}
		if err != nil {
			return err
		}
	}
	if err := t.checkMatches(s); err != nil {
		return err
	}
	return t.checkBounds(s)
}

// checkReferences returns an error unless all services that an entry refers to exist after the change.
func (t *table) checkReferences(s *staged, key string, e *configpb.Entry) *InvalidError {
	for _, r := range references(e) {
		service, isStaged := s.entries[ServiceKey(r.service)]
		if !isStaged {
			service = t.entries[ServiceKey(r.service)]
		}
		if service == nil {
			return invalid(key, r.field, "there is no service %s", r.service)
		}
	}
	return nil
}

// checkDelete returns an error if the entry to delete does not exist, or is a service that a remaining entry refers to.
func (t *table) checkDelete(s *staged, key string) *InvalidError {
	deleted := t.entries[key]
	if deleted == nil {
		return invalid(key, "", "it can't be deleted: there is no such entry")
	}
	service := deleted.GetService()
	if service == nil {
		return nil
	}
	for _, user := range slices.Sorted(maps.Keys(t.references[service.Name])) {
		if _, isStaged := s.entries[user]; !isStaged {
			return invalid(key, "", "it can't be deleted: %s names it", user)
		}
	}
	return nil
}

// checkMatches returns an error if two routes would have the same match after the change.
func (t *table) checkMatches(s *staged) *InvalidError {
	taken := map[match]string{}
	for _, key := range s.order {
		m, isRoute := matchOf(s.entries[key])
		if !isRoute {
			continue
		}
		other, twice := taken[m]
		if !twice {
			if other, twice = t.matches[m]; twice {
				_, isStaged := s.entries[other]
				twice = !isStaged // a staged route's new match is in taken, if it has one
			}
		}
		if twice {
			return invalid(key, "path_prefix", "%s matches the same host and path prefix", other)
		}
		taken[m] = key
	}
	return nil
}

// checkBounds returns an error if there would be too many entries of a kind, or too many bytes, after the change.
func (t *table) checkBounds(s *staged) *InvalidError {
	bytes, counts := t.bytes, maps.Clone(t.counts)
	for key, e := range s.entries {
		if previous := t.entries[key]; previous != nil {
			bytes -= proto.Size(previous)
			counts[kindOf(key)]--
		}
		if e != nil {
			bytes += proto.Size(e)
			counts[kindOf(key)]++
		}
	}
	for _, l := range []struct {
		kind string
		most int
	}{{KindService, MaxServices}, {KindRoute, MaxRoutes}, {KindTenant, MaxTenants}} {
		if counts[l.kind] > l.most {
			return invalid("", "", "%d entries of kind %s, at most %d", counts[l.kind], l.kind, l.most)
		}
	}
	if bytes > MaxBytes {
		return invalid("", "", "%d bytes of entries, at most %d", bytes, MaxBytes)
	}
	return nil
}

// commit applies a change that check has accepted.
func (t *table) commit(s *staged) {
	// All old entries are removed before new ones are added, as two routes may swap their matches.
	for _, key := range s.order {
		if previous := t.entries[key]; previous != nil {
			t.remove(key, previous)
		}
	}
	for _, key := range s.order {
		if e := s.entries[key]; e != nil {
			t.add(key, e)
		}
	}
}

// add adds an entry and its indices.
func (t *table) add(key string, e *configpb.Entry) {
	t.entries[key] = e
	t.counts[kindOf(key)]++
	t.bytes += proto.Size(e)
	if m, isRoute := matchOf(e); isRoute {
		t.matches[m] = key
	}
	for _, r := range references(e) {
		if t.references[r.service] == nil {
			t.references[r.service] = map[string]struct{}{}
		}
		t.references[r.service][key] = struct{}{}
	}
}

// remove removes an entry and its indices.
func (t *table) remove(key string, e *configpb.Entry) {
	delete(t.entries, key)
	t.counts[kindOf(key)]--
	t.bytes -= proto.Size(e)
	if m, isRoute := matchOf(e); isRoute {
		delete(t.matches, m)
	}
	for _, r := range references(e) {
		delete(t.references[r.service], key)
		if len(t.references[r.service]) == 0 {
			delete(t.references, r.service)
		}
	}
}

// load returns a table of entries, which have to be sorted by key and valid as the whole configuration at a revision.
func load(revision uint64, entries []*configpb.Entry) (*table, *InvalidError) {
	s, last := newStaged(), ""
	for _, e := range entries {
		if err := checkEntry(e); err != nil {
			return nil, err
		}
		key := Key(e)
		if key <= last {
			return nil, invalid(key, "", "it comes after %s: entries are not in order, or one occurs twice", last)
		}
		if e.Revision == 0 || e.Revision > revision {
			return nil, invalid(key, "", "the entry has revision %d in a state of revision %d", e.Revision, revision)
		}
		last = key
		s.set(key, e)
	}
	t := newTable()
	if err := t.check(s); err != nil {
		return nil, err
	}
	t.commit(s)
	return t, nil
}

// sorted returns all entries, sorted by key.
func (t *table) sorted() []*configpb.Entry {
	list := make([]*configpb.Entry, 0, len(t.entries))
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		list = append(list, t.entries[key])
	}
	return list
}
