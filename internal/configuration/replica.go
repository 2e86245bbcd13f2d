package configuration

import (
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

// Replica is a node's copy of the configuration at one revision. It applies revisions in order, each atomically. It is
// not safe for concurrent use. Messages that it returns, and messages that were passed to it, must not be changed.
type Replica struct {
	table    *table
	revision uint64
	accept   func([]*configpb.Change) error
}

// NewReplica returns an empty replica at revision 0. accept is called with the changes of each step before they take
// effect, in the order in which their keys first changed, and refuses them by returning an error. If accept is nil,
// every valid change is accepted.
func NewReplica(accept func([]*configpb.Change) error) *Replica {
	if accept == nil {
		accept = func([]*configpb.Change) error { return nil }
	}
	return &Replica{table: newTable(), accept: accept}
}

// Revision returns the replica's revision, or 0 if it has received nothing yet.
func (r *Replica) Revision() uint64 { return r.revision }

// Len returns the number of entries.
func (r *Replica) Len() int { return len(r.table.entries) }

// Entry returns the entry of a key, or nil if there is none.
func (r *Replica) Entry(key string) *configpb.Entry { return r.table.entries[key] }

// Snapshot returns all entries, with the replica's revision.
func (r *Replica) Snapshot() *configpb.Snapshot {
	return &configpb.Snapshot{Revision: r.revision, Entries: r.table.sorted()}
}

// Apply applies the revisions of a delta. If the delta does not continue at the replica's revision, it changes nothing
// and returns a *GapError. At a revision that is invalid or not accepted, the replica stays at the revision before it,
// and Apply returns a *RefusedError. But if the changes up to a later revision of the delta are valid together, the
// replica goes to that revision in one step.
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

// stage adds the changes of a revision to the pending ones, which have not taken effect.
func (r *Replica) stage(pending *staged, revision *configpb.Revision) *InvalidError {
	for _, c := range revision.GetChanges() {
		if entry := c.GetPut(); entry != nil && entry.Revision != revision.Number {
			return invalid(truncateKey(Key(entry)), "", "the entry has revision %d, but is part of revision %d",
				entry.Revision, revision.Number)
		}
		key := changeKey(c)
		if kindOf(key) == "" {
			return invalid(truncateKey(key), "", "a change of a kind that this program does not know")
		}
		if _, isPending := pending.entries[key]; c.GetPut() == nil && !isPending && r.table.entries[key] == nil {
			return invalid(key, "", "it can't be deleted: there is no such entry")
		}
		pending.set(key, c.GetPut())
	}
	return nil
}

// checkPending checks the pending changes together, and has them accepted.
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
			continue // put and deleted again by pending changes
		}
		effective.set(key, e)
		changes = append(changes, changeTo(key, e))
	}
	if err := r.table.check(effective); err != nil {
		return err
	}
	return causeOf(r.accept(changes))
}

// Restore replaces the content of the replica with a snapshot. If the snapshot is invalid or not accepted, it changes
// nothing and returns a *RefusedError.
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
		cause = causeOf(r.accept(changes))
	}
	if cause != nil {
		return &RefusedError{Revision: s.GetRevision(), Cause: cause}
	}
	r.table, r.revision = t, s.GetRevision()
	return nil
}

// causeOf converts an error of the accept function to the cause of a refusal.
func causeOf(err error) *InvalidError {
	if err == nil {
		return nil
	}
	if r := RefusalOf(err); r != nil {
		return &InvalidError{Entry: r.Entry, Field: r.Field, Reason: r.Reason}
	}
	return &InvalidError{Reason: err.Error()}
}

// Encode returns the bytes of a message. Equal messages have equal bytes within one version of the program.
func Encode(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}
