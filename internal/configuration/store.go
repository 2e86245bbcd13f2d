// Package configuration is the fleet's configuration: services, routes and tenants with limits, in numbered revisions.
// Store is the complete configuration with its history, as the members of the replicated log have it. Replica is a
// node's copy. Both are deterministic: they use no I/O, clock, goroutine or map order, so that all members of the log
// have the same bytes after the same entries.
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
	maxHistoryBytes = 4 << 20 // size of all encoded records
)

// Store is the configuration and its history. It is not safe for concurrent use. Messages that it returns, and messages
// that were passed to it, must not be changed.
type Store struct {
	table        *table
	revision     uint64
	compacted    uint64 // the history has the revisions after this one
	history      []*configpb.Record
	historyBytes int

	historyLimit, historyByteLimit int
}

// New returns an empty store at revision 0.
func New() *Store {
	return &Store{table: newTable(), historyLimit: maxHistory, historyByteLimit: maxHistoryBytes}
}

// Revision returns the number of the last change that took effect, or 0 if none has.
func (s *Store) Revision() uint64 { return s.revision }

// Compacted returns the last revision that the history no longer has; the history has all later ones.
func (s *Store) Compacted() uint64 { return s.compacted }

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.table.entries) }

// Entry returns the entry of a key, or nil if there is none.
func (s *Store) Entry(key string) *configpb.Entry { return s.table.entries[key] }

// Entries returns all entries, sorted by key.
func (s *Store) Entries() []*configpb.Entry { return s.table.sorted() }

// Outcome is the result of a change that was accepted.
type Outcome struct {
	Revision uint64 // of the store after the change
	Changed  bool   // false: the entries had these values already, so there is no new revision
}

// Check returns the error that Commit would return for the transaction, and changes nothing.
func (s *Store) Check(tx *configpb.Transaction) error {
	_, _, err := s.stage(tx)
	return err
}

// Commit applies a transaction atomically as the next revision. atMs is the time for the history, in Unix milliseconds.
// Errors are *InvalidError and *ConflictError.
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

// stage checks a transaction completely, and returns the entries that it changes and the history's record of it.
func (s *Store) stage(tx *configpb.Transaction) (*staged, *configpb.Record, error) {
	if err := checkTransaction(tx); err != nil {
		return nil, nil, err
	}
	for _, c := range tx.Conditions {
		if have := s.table.entries[c.GetKey()].GetRevision(); have != c.GetRevision() {
			return nil, nil, &ConflictError{Entry: truncateKey(c.GetKey()), Want: c.GetRevision(), Have: have}
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

// changeTo returns the change that sets a key to entry, or deletes it if entry is nil.
func changeTo(key string, entry *configpb.Entry) *configpb.Change {
	if entry == nil {
		return &configpb.Change{What: &configpb.Change_Delete{Delete: key}}
	}
	return &configpb.Change{What: &configpb.Change_Put{Put: entry}}
}

// SameValue reports whether two entries are equal apart from their revisions. It is false if one of them is nil.
func SameValue(a, b *configpb.Entry) bool {
	if a == nil || b == nil {
		return false
	}
	return proto.Equal(&configpb.Entry{Value: a.Value}, &configpb.Entry{Value: b.Value})
}

// compact removes the oldest records from the history until it is within its bounds.
func (s *Store) compact() {
	drop := 0
	for len(s.history)-drop > s.historyLimit || s.historyBytes > s.historyByteLimit {
		s.historyBytes -= proto.Size(s.history[drop])
		drop++
	}
	if drop > 0 {
		s.compacted = s.history[drop-1].Revision.Number
		s.history = slices.Delete(s.history, 0, drop)
	}
}

// Rollback restores all entries to their values at an earlier revision. This is a change like others, and makes the
// next revision. atMs is as for Commit.
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

// RollbackChanges returns the transaction that does a rollback. It has no changes if all entries still have their
// values of that revision.
func (s *Store) RollbackChanges(r *configpb.Rollback) (*configpb.Transaction, error) {
	before, err := s.valuesAt(r.To)
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

// valuesAt returns, by key, the entries that have changed since a revision as they were at that revision; nil: there
// was none.
func (s *Store) valuesAt(to uint64) (map[string]*configpb.Entry, error) {
	if err := s.checkReachable(to); err != nil {
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

// changeKey returns the key of the entry that a change puts or deletes.
func changeKey(c *configpb.Change) string {
	if put := c.GetPut(); put != nil {
		return Key(put)
	}
	return c.GetDelete()
}

// checkReachable returns an error if the history does not have all revisions after the given one.
func (s *Store) checkReachable(revision uint64) error {
	switch {
	case revision < s.compacted:
		return ErrCompacted
	case revision > s.revision:
		return ErrAhead
	}
	return nil
}

// History returns the revisions after the given one, the oldest first, and at most limit of them. Errors are
// ErrCompacted and ErrAhead.
func (s *Store) History(after uint64, limit int) ([]*configpb.Revision, error) {
	if err := s.checkReachable(after); err != nil {
		return nil, err
	}
	var list []*configpb.Revision
	for _, r := range s.history[after-s.compacted:] {
		if len(list) == limit {
			break
		}
		list = append(list, r.Revision)
	}
	return list, nil
}

// Delta returns the revisions after the given one, as many as fit into maxBytes, but at least one if there is any.
// Errors are ErrCompacted and ErrAhead.
func (s *Store) Delta(after uint64, maxBytes int) (*configpb.Delta, error) {
	if err := s.checkReachable(after); err != nil {
		return nil, err
	}
	d, bytes := &configpb.Delta{After: after}, 0
	for _, r := range s.history[after-s.compacted:] {
		bytes += proto.Size(r.Revision)
		if bytes > maxBytes && len(d.Revisions) > 0 {
			break
		}
		d.Revisions = append(d.Revisions, r.Revision)
	}
	return d, nil
}

// Snapshot returns all entries, with the store's revision.
func (s *Store) Snapshot() *configpb.Snapshot {
	return &configpb.Snapshot{Revision: s.revision, Entries: s.table.sorted()}
}

// State returns the content of the store with its history.
func (s *Store) State() *configpb.State {
	return &configpb.State{
		Revision:  s.revision,
		Compacted: s.compacted,
		Entries:   s.table.sorted(),
		History:   slices.Clone(s.history),
	}
}

// Restore replaces the content of the store with a state. If any part of the state is invalid, the store is unchanged.
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

// checkHistory returns an error unless the history leads up to the state's revision without a gap, and each record has
// the former entries of all its changes, which a rollback needs.
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
			return fmt.Errorf("revision %d has %d changes, but %d former entries", have, len(r.Revision.Changes), len(r.Before))
		}
	}
	return nil
}

// ResultOf returns an outcome, or an error of Commit or Rollback, in the form of its message.
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
