// Package serverlist keeps the server list of a process: the list in force, its revision, its source, and the time since
// it was last confirmed. It does no I/O and reads no clock: times are arguments.
package serverlist

import (
	"time"

	"starlingvalve/decide"
)

// Source is where a list came from.
type Source int

// The sources of lists.
const (
	SourceNone        Source = iota
	SourceCache              // the node's cache file: the last list that the node had
	SourcePredecessor        // the predecessor process, which handed its list over
	SourceCall               // the answer to a call that does not wait for changes
	SourceWatch              // an answer of an open watch
	SourcePush               // the agent to which lists are pushed
	SourceCordon             // the list in force, after a change of the cordoned servers
)

// String is the source's name in logs and metrics.
func (s Source) String() string {
	return [...]string{"none", "cache", "predecessor", "call", "watch", "push", "cordon"}[s]
}

// Entry is a server of a List.
type Entry struct {
	decide.Server
	Name string `json:",omitempty"` // in service discovery
	Addr string // IP:port
}

// List is a server list from service discovery, or changes to it.
type List struct {
	Version uint64 // the revision of the list in discovery
	Full    bool   // Entries holds all servers, not just those that have changed
	Entries []Entry

	Source Source `json:"-"`
	// AsOf is when discovery had nothing newer than this list, at the least; zero: when the list came.
	AsOf time.Time `json:"-"`
	// Stalled marks a List that holds no list: the watch has become unresponsive and is restarted, or discovery answers
	// so slowly that the watch does not keep the list up to date. The list may be used until UsableUntil.
	Stalled     bool      `json:"-"`
	UsableUntil time.Time `json:"-"`
	// StaleSince is set if the watch that brought this list was resumed too late: since that time the process may have
	// counted as notified of the changes in this list.
	StaleSince time.Time `json:"-"`
}

// Empty reports whether a list changes nothing if the list in force has this revision.
func (l *List) Empty(revision uint64) bool {
	return !l.Full && len(l.Entries) == 0 && l.Version == revision
}

// Cordon is the set of servers that are drained whatever the list says: single servers, and all servers of some zones.
type Cordon struct {
	Servers map[decide.ServerID]bool
	Zones   map[string]bool
}

// Has reports whether an entry is cordoned.
func (c Cordon) Has(e Entry) bool { return c.Servers[e.ID] || c.Zones[e.Zone] }

// empty reports whether no server is cordoned.
func (c Cordon) empty() bool { return len(c.Servers)+len(c.Zones) == 0 }
