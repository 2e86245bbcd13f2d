package configuration

import (
	"errors"
	"fmt"

	"starlingvalve/internal/configuration/configpb"
)

var (
	// ErrCompacted means that the history no longer has the revisions after the requested one.
	ErrCompacted = errors.New("the history does not reach back to this revision")
	// ErrAhead means that the requested revision does not exist yet.
	ErrAhead = errors.New("there is no such revision yet")
)

// InvalidError is the reason why a change is invalid. Nothing of the change has taken effect.
type InvalidError struct {
	Entry  string // key of the entry; empty: the change as a whole
	Field  string // of the entry; empty: the entry as a whole
	Reason string
}

// Error returns the entry and the field, if there are any, and the reason.
func (e *InvalidError) Error() string {
	switch {
	case e.Entry == "":
		return e.Reason
	case e.Field == "":
		return fmt.Sprintf("%s: %s", e.Entry, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Entry, e.Field, e.Reason)
}

// ConflictError means that a condition of a transaction does not hold. Nothing of the transaction has taken effect.
type ConflictError struct {
	Entry      string // key
	Want, Have uint64 // expected and actual revision of the entry's last change; 0: no entry
}

// Error names the entry, its revision and the revision that the condition expects.
func (e *ConflictError) Error() string {
	state := func(revision uint64) string {
		if revision == 0 {
			return "not there"
		}
		return fmt.Sprintf("of revision %d", revision)
	}
	return fmt.Sprintf("%s is %s, expected %s: read it again and repeat the change",
		e.Entry, state(e.Have), state(e.Want))
}

// GapError means that a delta does not continue at the replica's revision, or that its revisions are not consecutive.
type GapError struct {
	Have uint64 // revision of the replica
	Got  uint64 // revision in the delta in place of Have+1
}

// Error names the received and the expected revision.
func (e *GapError) Error() string {
	return fmt.Sprintf("received revision %d where revision %d was expected", e.Got, e.Have+1)
}

// RefusedError means that a replica did not accept a revision. The replica stays at its last valid revision.
type RefusedError struct {
	Revision uint64
	Cause    *InvalidError
}

// Error names the revision and the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("revision %d: %v", e.Revision, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// RefusalOf returns an error in the form of its message, or nil unless it is or wraps an *InvalidError or a
// *ConflictError.
func RefusalOf(err error) *configpb.Refusal {
	var invalid *InvalidError
	var conflict *ConflictError
	switch {
	case errors.As(err, &invalid):
		return &configpb.Refusal{Entry: invalid.Entry, Field: invalid.Field, Reason: invalid.Reason}
	case errors.As(err, &conflict):
		return &configpb.Refusal{Entry: conflict.Entry, Reason: conflict.Error()}
	}
	return nil
}

// invalid returns an InvalidError with a formatted reason.
func invalid(entry, field, format string, args ...any) *InvalidError {
	return &InvalidError{Entry: entry, Field: field, Reason: fmt.Sprintf(format, args...)}
}
