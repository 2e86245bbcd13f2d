// Package configuration is the fleet's configuration: services, routes and tenants with limits, in numbered revisions.
// Store is the whole of it behind the replicated log, Replica what a node has of it. Both are pure: no I/O, clock,
// goroutine or map order is in what they do, so that all members of the log come to the same bytes.
package configuration

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

// Bounds of the history.
const (
	maxHistory      = 10_000  // revisions
	maxHistoryBytes = 4 << 20 // of all records, encoded
)

// Store is the configuration and its history. It is not safe for concurrent use. Messages that it gives, and that it
// was given, are not to be changed.
type Store struct {
	table        *table
	revision     uint64
	compacted    uint64 // the history begins behind this revision
	history      []*configpb.Record
	historyBytes int

	mostHistory, mostHistoryBytes int
}

// New makes an empty store, of revision 0.
func New() *Store {
	return &Store{table: newTable(), mostHistory: maxHistory, mostHistoryBytes: maxHistoryBytes}
}

// Revision is the number of the last change that took effect; 0: none has.
func (s *Store) Revision() uint64 { return s.revision }

// Compacted is the revision that the history begins behind.
func (s *Store) Compacted() uint64 { return s.compacted }

// Len is the number of entries.
func (s *Store) Len() int { return len(s.table.entries) }

// Entry gives the entry of a key; nil: there is none.
func (s *Store) Entry(key string) *configpb.Entry { return s.table.entries[key] }

// Entries gives all entries in the order of their keys.
func (s *Store) Entries() []*configpb.Entry { return s.table.sorted() }

// Outcome is what became of a change that was taken.
type Outcome struct {
	Revision uint64 // of the store afterwards
	Changed  bool   // false: all entries were as the change wants them, and there is no new revision
}

// Check tells what Commit would answer, and changes nothing.
func (s *Store) Check(tx *configpb.Transaction) error {
	_, _, err := s.stage(tx)
	return err
}

// Commit has a transaction take effect as the next revision, as a whole or not at all. atMs is the time that the
// history gives, Unix milliseconds. Errors are *InvalidError and *ConflictError.
func (s *Store) Commit(atMs int64, tx *configpb.Transaction) (Outcome, error) {
	change, record, err := s.stage(tx)
	if err != nil {
		return Outcome{Revision: s.revision}, err
	}
	if len(change.order) == 0 {
		return Outcome{Revision: s.revision}, nil
	}
	record.Revision.AtMs = atMs
	s.table.commit(change)
	s.revision = record.Revision.Number
	s.history = append(s.history, record)
	s.historyBytes += proto.Size(record)
	s.compact()
	return Outcome{Revision: s.revision, Changed: true}, nil
}

// stage checks a transaction whole, and gives what it changes.
func (s *Store) stage(tx *configpb.Transaction) (*staged, *configpb.Record, error) {
	if err := checkTransaction(tx); err != nil {
		return nil, nil, err
	}
	for _, c := range tx.Conditions {
		if have := s.table.entries[c.GetKey()].GetRevision(); have != c.GetRevision() {
			return nil, nil, &ConflictError{Entry: shorten(c.GetKey()), Want: c.GetRevision(), Have: have}
		}
	}
	change := newStaged()
	record := &configpb.Record{Revision: &configpb.Revision{Number: s.revision + 1, By: tx.By, Why: tx.Why}}
	for _, c := range tx.Changes {
		key, entry := c.GetDelete(), (*configpb.Entry)(nil)
		if put := c.GetPut(); put != nil {
			if key = Key(put); SameValue(put, s.table.entries[key]) {
				continue
			}
			entry = proto.CloneOf(put)
			entry.Revision = s.revision + 1
		}
		change.set(key, entry)
		record.Revision.Changes = append(record.Revision.Changes, changeTo(key, entry))
		before := s.table.entries[key]
		if before == nil {
			before = &configpb.Entry{}
		}
		record.Before = append(record.Before, before)
	}
	if err := s.table.check(change); err != nil {
		return nil, nil, err
	}
	return change, record, nil
}

func changeTo(key string, entry *configpb.Entry) *configpb.Change {
	if entry == nil {
		return &configpb.Change{What: &configpb.Change_Delete{Delete: key}}
	}
	return &configpb.Change{What: &configpb.Change_Put{Put: entry}}
}

// SameValue tells whether two entries differ in their revisions at most.
func SameValue(a, b *configpb.Entry) bool {
	if a == nil || b == nil {
		return false
	}
	return proto.Equal(&configpb.Entry{Value: a.Value}, &configpb.Entry{Value: b.Value})
}

// compact lets go of the oldest records beyond the bounds.
func (s *Store) compact() {
	drop := 0
	for len(s.history)-drop > s.mostHistory || s.historyBytes > s.mostHistoryBytes {
		s.historyBytes -= proto.Size(s.history[drop])
		drop++
	}
	if drop > 0 {
		s.compacted = s.history[drop-1].Revision.Number
		s.history = slices.Delete(s.history, 0, drop)
	}
}

// Rollback brings all entries back to what they were at a revision, as the next revision.
func (s *Store) Rollback(atMs int64, r *configpb.Rollback) (Outcome, error) {
	tx, err := s.RollbackChanges(r)
	if err != nil {
		return Outcome{Revision: s.revision}, err
	}
	if len(tx.Changes) == 0 {
		return Outcome{Revision: s.revision}, nil
	}
	return s.Commit(atMs, tx)
}

// RollbackChanges gives the transaction that a rollback is. It has no changes where all entries are as they were.
func (s *Store) RollbackChanges(r *configpb.Rollback) (*configpb.Transaction, error) {
	before, err := s.undo(r.To)
	if err != nil {
		return nil, invalid("", "", "rollback to revision %d: %v; revisions %d to %d are known",
			r.To, err, s.compacted, s.revision)
	}
	tx := &configpb.Transaction{By: r.By, Why: r.Why}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		was, now := before[key], s.table.entries[key]
		if was == nil && now == nil || SameValue(was, now) {
			continue
		}
		tx.Changes = append(tx.Changes, changeTo(key, was))
	}
	return tx, nil
}

// valuesAt gives what the entries that changed since a revision were then; nil: there was none.
func (s *Store) undo(to uint64) (map[string]*configpb.Entry, error) {
	if err := s.reaches(to); err != nil {
		return nil, err
	}
	before := map[string]*configpb.Entry{}
	for i := len(s.history) - 1; i >= int(to-s.compacted); i-- {
		record := s.history[i]
		for j, c := range record.Revision.Changes {
			key, was := changeKey(c), record.Before[j]
			if Key(was) == "" {
				was = nil
			}
			before[key] = was
		}
	}
	return before, nil
}

func changeKey(c *configpb.Change) string {
	if put := c.GetPut(); put != nil {
		return Key(put)
	}
	return c.GetDelete()
}

// checkReachable tells whether the history has all revisions behind one.
func (s *Store) reaches(revision uint64) error {
	switch {
	case revision < s.compacted:
		return ErrCompacted
	case revision > s.revision:
		return ErrAhead
	}
	return nil
}

// History gives the revisions behind one, the oldest first, and so many at most.
func (s *Store) History(after uint64, most int) ([]*configpb.Revision, error) {
	if err := s.reaches(after); err != nil {
		return nil, err
	}
	var list []*configpb.Revision
	for _, r := range s.history[after-s.compacted:] {
		if len(list) == most {
			break
		}
		list = append(list, r.Revision)
	}
	return list, nil
}

// Delta gives the revisions behind one, as many as fit into mostBytes, and one at least. Errors are ErrCompacted and
// ErrAhead.
func (s *Store) Delta(after uint64, mostBytes int) (*configpb.Delta, error) {
	if err := s.reaches(after); err != nil {
		return nil, err
	}
	d, bytes := &configpb.Delta{After: after}, 0
	for _, r := range s.history[after-s.compacted:] {
		bytes += proto.Size(r.Revision)
		if bytes > mostBytes && len(d.Revisions) > 0 {
			break
		}
		d.Revisions = append(d.Revisions, r.Revision)
	}
	return d, nil
}

// Snapshot gives all entries.
func (s *Store) Snapshot() *configpb.Snapshot {
	return &configpb.Snapshot{Revision: s.revision, Entries: s.table.sorted()}
}

// State gives the whole store.
func (s *Store) State() *configpb.State {
	return &configpb.State{
		Revision:  s.revision,
		Compacted: s.compacted,
		Entries:   s.table.sorted(),
		History:   slices.Clone(s.history),
	}
}

// Restore takes a state in place of what the store holds. A state that is not valid as a whole changes nothing.
func (s *Store) Restore(state *configpb.State) error {
	t, invalid := load(state.GetRevision(), state.GetEntries())
	if invalid != nil {
		return fmt.Errorf("configuration: %w", invalid)
	}
	if err := checkHistory(state); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	s.table, s.revision, s.compacted = t, state.GetRevision(), state.GetCompacted()
	s.history, s.historyBytes = slices.Clone(state.GetHistory()), 0
	for _, r := range s.history {
		s.historyBytes += proto.Size(r)
	}
	return nil
}

// checkHistory tells whether the history leads up to the state's revision without a gap, in records that can be undone.
func checkHistory(state *configpb.State) error {
	if state.GetRevision()-state.GetCompacted() != uint64(len(state.GetHistory())) {
		return errors.New("the history does not lead up to the revision")
	}
	for i, r := range state.GetHistory() {
		have, want := r.GetRevision().GetNumber(), state.Compacted+uint64(i)+1
		if have != want {
			return fmt.Errorf("the history has revision %d where %d is expected", have, want)
		}
		if len(r.Before) != len(r.Revision.Changes) {
			return fmt.Errorf("revision %d has %d changes of %d entries", have, len(r.Revision.Changes), len(r.Before))
		}
	}
	return nil
}

// ResultOf is an outcome, or an error of Commit and Rollback, in the form that it has on the wire.
func ResultOf(o Outcome, err error) *configpb.Result {
	r := &configpb.Result{Code: configpb.Result_APPLIED, Revision: o.Revision, Refusal: RefusalOf(err)}
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		r.Code = configpb.Result_CONFLICT
	case err != nil:
		r.Code = configpb.Result_INVALID
	case !o.Changed:
		r.Code = configpb.Result_UNCHANGED
	}
	return r
}
