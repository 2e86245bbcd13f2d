package configuration

import (
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

// Replica is a node's copy of the configuration at one revision. It takes revisions in order, each as a whole or not at
// all. It is not safe for concurrent use. Messages that it gives, and that it was given, are not to be changed.
type Replica struct {
	table    *table
	revision uint64
	accept   func([]*configpb.Change) error
}

// NewReplica makes an empty one, of revision 0. accept is asked about changes before they take effect, in the order of
// their keys' first change, and refuses them with an error; nil: every valid change is accepted.
func NewReplica(accept func([]*configpb.Change) error) *Replica {
	if accept == nil {
		accept = func([]*configpb.Change) error { return nil }
	}
	return &Replica{table: newTable(), accept: accept}
}

// Revision is what the replica has; 0: nothing yet.
func (r *Replica) Revision() uint64 { return r.revision }

// Len is the number of entries.
func (r *Replica) Len() int { return len(r.table.entries) }

// Entry gives the entry of a key; nil: there is none.
func (r *Replica) Entry(key string) *configpb.Entry { return r.table.entries[key] }

// Snapshot gives all entries.
func (r *Replica) Snapshot() *configpb.Snapshot {
	return &configpb.Snapshot{Revision: r.revision, Entries: r.table.sorted()}
}

// Apply takes the revisions of a delta. A delta that does not continue at the replica's revision is a *GapError and
// changes nothing. A revision that is not valid here is a *RefusedError: the replica stays at the one before it, unless
// later revisions of the delta mend it; then it goes to the first one that is good, in one step.
func (r *Replica) Apply(d *configpb.Delta) error {
	if d.GetAfter() != r.revision {
		return &GapError{Have: r.revision, Got: d.GetAfter() + 1}
	}
	for i, revision := range d.GetRevisions() {
		if want := r.revision + uint64(i) + 1; revision.GetNumber() != want {
			return &GapError{Have: want - 1, Got: revision.GetNumber()}
		}
	}
	pending, refused := newStaged(), (*RefusedError)(nil)
	for _, revision := range d.GetRevisions() {
		cause := r.stage(pending, revision)
		if cause == nil {
			cause = r.checkPending(pending)
		}
		if cause != nil {
			if refused == nil {
				refused = &RefusedError{Revision: revision.Number, Cause: cause}
			}
			continue
		}
		r.table.commit(pending)
		r.revision = revision.Number
		pending, refused = newStaged(), nil
	}
	if refused != nil {
		return refused
	}
	return nil
}

// stage adds the changes of a revision to those that wait.
func (r *Replica) stage(pending *staged, revision *configpb.Revision) *InvalidError {
	for _, c := range revision.GetChanges() {
		if put := c.GetPut(); put != nil && put.Revision != revision.Number {
			return invalid(shorten(Key(put)), "", "it is of revision %d in revision %d", put.Revision, revision.Number)
		}
		key := changeKey(c)
		if kindOf(key) == "" {
			return invalid(shorten(key), "", "a change of a kind that this program does not know")
		}
		if _, waits := pending.entries[key]; c.GetPut() == nil && !waits && r.table.entries[key] == nil {
			return invalid(key, "", "it can't be deleted: there is no such entry")
		}
		pending.set(key, c.GetPut())
	}
	return nil
}

// checkPending tells whether the replica can take what waits.
func (r *Replica) checkPending(pending *staged) *InvalidError {
	effective := newStaged()
	var changes []*configpb.Change
	for _, key := range pending.order {
		e := pending.entries[key]
		if e != nil {
			if err := checkEntry(e); err != nil {
				return err
			}
		}
		if e == nil && r.table.entries[key] == nil {
			continue // put and deleted again while it waited
		}
		effective.set(key, e)
		changes = append(changes, changeTo(key, e))
	}
	if err := r.table.check(effective); err != nil {
		return err
	}
	return refusedBy(r.accept(changes))
}

// Restore takes a snapshot in place of what the replica has, as a whole; one that is not valid is a *RefusedError and
// changes nothing.
func (r *Replica) Restore(s *configpb.Snapshot) error {
	t, cause := load(s.GetRevision(), s.GetEntries())
	if cause == nil {
		changes := make([]*configpb.Change, 0, len(s.GetEntries()))
		for _, e := range s.GetEntries() {
			changes = append(changes, changeTo(Key(e), e))
		}
		for _, e := range r.table.sorted() {
			if key := Key(e); t.entries[key] == nil {
				changes = append(changes, changeTo(key, nil))
			}
		}
		cause = refusedBy(r.accept(changes))
	}
	if cause != nil {
		return &RefusedError{Revision: s.GetRevision(), Cause: cause}
	}
	r.table, r.revision = t, s.GetRevision()
	return nil
}

// causeOf is the error of a replica's owner as a cause.
func refusedBy(err error) *InvalidError {
	if err == nil {
		return nil
	}
	if r := RefusalOf(err); r != nil {
		return &InvalidError{Entry: r.Entry, Field: r.Field, Reason: r.Reason}
	}
	return &InvalidError{Reason: err.Error()}
}

// Encode gives a message's bytes, the same for equal messages of one program.
func Encode(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}
