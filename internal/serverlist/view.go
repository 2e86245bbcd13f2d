package serverlist

import (
	"time"

	"starlingvalve/decide"
)

const (
	// MaxWatchGap is the longest time from an answer of a watch to the next call that continues it. A later call starts
	// a new watch; changes within this time after the answer count as notified although no answer has brought them.
	MaxWatchGap = 200 * time.Millisecond
	// OlderListTrustedAfter is how long a list with a lower revision than the one in force has to stand before it makes
	// draining or removed servers ready again: it may come from a replica of discovery that lags behind, or the
	// revisions may have started again from the beginning.
	OlderListTrustedAfter = 10 * time.Second

	removedKeptFor = time.Minute // how long a removed server is remembered
	maxRemembered  = 8192        // with more unavailable servers than this, removed ones are forgotten at once
)

// View is the server list as one process has it. It is not safe for concurrent use.
type View struct {
	entries     map[decide.ServerID]Entry // the listed servers, without the effect of the cordon
	unavailable map[decide.ServerID]unavailableServer
	cordon      Cordon
	ready       int  // entries whose state in force is Ready
	known       bool // a list has been applied since the start or the last change of the source
	revision    uint64
	source      Source

	appliedAt   time.Time // when the list last changed
	confirmedAt time.Time // of the latest answer of discovery: there was nothing newer then
	watched     bool      // a watch keeps the list fresh
	unwatchedAt time.Time // when the last watch ended
}

// unavailableServer is a server that is draining or has been removed.
type unavailableServer struct {
	revision         uint64      // the highest revision by which it is unavailable
	startedAt        decide.Time // when its process started
	unavailableSince time.Time
	removed          bool
	trustReadyAt     time.Time // a list with a lower revision has it as ready, and is trusted from then on; zero: none has
	readyEntry       Entry     // its entry in that list
}

// Transition is the change of one server's state.
type Transition struct {
	Server   Entry
	From, To decide.ServerState
	Revision uint64
	Source   Source
	Age      time.Duration // of the list that had the state From; negative: it was never confirmed
}

// Update is the effect of a list on a View: the entries to put in force, and the servers' changes of state.
type Update struct {
	List        List
	Transitions []Transition
	Age         time.Duration // of the list before this update, see View.Age
}

// NewView returns a view without a list.
func NewView() *View {
	return &View{entries: map[decide.ServerID]Entry{}, unavailable: map[decide.ServerID]unavailableServer{}}
}

// Apply takes in a list or changes. The caller has to pass the update to the transport first and then to the module.
func (v *View) Apply(list List, now time.Time) Update {
	age := v.Age(now)
	before := v.affected(list)
	if list.Full {
		clear(v.entries)
		v.ready = 0
	}
	entries := make([]Entry, 0, len(list.Entries))
	for _, e := range list.Entries {
		e = v.keepUnavailable(e, list.Version, now)
		v.setEntry(e, list.Version, now)
		entries = append(entries, v.Effective(e))
	}
	entries = append(entries, v.trustedByNow(now, &list)...)
	list.Entries = entries
	v.known, v.revision, v.source, v.appliedAt = true, list.Version, list.Source, now
	update := Update{List: list, Age: age}
	for _, was := range before {
		if is := v.state(was.ID); is != was.State {
			update.Transitions = append(update.Transitions, Transition{Server: was, From: was.State, To: is,
				Revision: list.Version, Source: list.Source, Age: age})
		}
	}
	v.rememberRemoved(update.Transitions, now)
	v.confirm(list.Source, now)
	return update
}

// Withdraw applies a list of a source that is no longer followed: only servers that are draining or removed by it
// change, and the revision and the source of the list in force stay. The update holds the whole list in force.
func (v *View) Withdraw(list List, now time.Time) Update {
	unavailable := List{Version: list.Version, Source: SourceNone}
	for _, e := range list.Entries {
		if entry, listed := v.entries[e.ID]; listed && e.State != decide.Ready {
			entry.State = e.State
			unavailable.Entries = append(unavailable.Entries, entry)
		}
	}
	known, revision, source, applied := v.known, v.revision, v.source, v.appliedAt
	update := v.Apply(unavailable, now)
	v.known, v.revision, v.source, v.appliedAt = known, revision, source, applied
	if !known {
		clear(v.unavailable) // the revisions of the next source can't be compared with these
	}
	update.List = List{Version: revision, Full: true, Source: SourceCordon}
	for _, e := range v.entries {
		update.List.Entries = append(update.List.Entries, v.Effective(e))
	}
	return update
}

// affected returns the servers that a list may change, with their states in force before it.
func (v *View) affected(list List) []Entry {
	servers := make([]Entry, 0, len(list.Entries))
	seen := map[decide.ServerID]bool{}
	for _, e := range list.Entries {
		if !seen[e.ID] {
			seen[e.ID] = true
			e.State = v.state(e.ID)
			servers = append(servers, e)
		}
	}
	if list.Full {
		for id, e := range v.entries {
			if !seen[id] {
				servers = append(servers, v.Effective(e))
			}
		}
	}
	return servers
}

// state is a server's state in force; Removed if it is not listed.
func (v *View) state(id decide.ServerID) decide.ServerState {
	e, listed := v.entries[id]
	if !listed {
		return decide.Removed
	}
	return v.Effective(e).State
}

// setEntry enters one entry of a list into the view.
func (v *View) setEntry(e Entry, revision uint64, now time.Time) {
	if previous, ok := v.entries[e.ID]; ok && v.Effective(previous).State == decide.Ready {
		v.ready--
	}
	delete(v.entries, e.ID)
	if e.State != decide.Removed {
		v.entries[e.ID] = e
	}
	if v.Effective(e).State == decide.Ready {
		v.ready++
	}
	if e.State == decide.Ready {
		delete(v.unavailable, e.ID)
		return
	}
	unavailable, ok := v.unavailable[e.ID]
	if !ok {
		unavailable = unavailableServer{unavailableSince: now, revision: revision, startedAt: e.StartedAt}
	}
	unavailable.removed, unavailable.revision = e.State == decide.Removed, max(unavailable.revision, revision)
	v.unavailable[e.ID] = unavailable
}

// keepUnavailable returns an entry as it is to be set: draining instead of ready if a list with a higher revision had
// the server as draining or removed. A server that has started since then is another process and stays ready. If no
// list with a higher revision comes, the entry is trusted after OlderListTrustedAfter.
func (v *View) keepUnavailable(e Entry, revision uint64, now time.Time) Entry {
	unavailable, known := v.unavailable[e.ID]
	if !known || e.State != decide.Ready || revision >= unavailable.revision || e.StartedAt > unavailable.startedAt {
		return e
	}
	if unavailable.trustReadyAt.IsZero() {
		unavailable.trustReadyAt = now.Add(OlderListTrustedAfter)
	}
	unavailable.readyEntry = e
	v.unavailable[e.ID] = unavailable
	e.State = decide.Draining
	return e
}

// trustedByNow makes the servers ready whose entries keepUnavailable has kept back for long enough, and returns them.
// Servers that have become ready or removed meanwhile are left out.
func (v *View) trustedByNow(now time.Time, list *List) (entries []Entry) {
	for id, unavailable := range v.unavailable {
		if unavailable.trustReadyAt.IsZero() || now.Before(unavailable.trustReadyAt) {
			continue
		}
		if e, listed := v.entries[id]; !listed || e.State != decide.Draining {
			unavailable.trustReadyAt = time.Time{}
			v.unavailable[id] = unavailable
			continue
		}
		v.setEntry(unavailable.readyEntry, list.Version, now)
		entries = append(entries, v.Effective(unavailable.readyEntry))
	}
	return entries
}

// rememberRemoved remembers the servers that a whole list no longer contains, and forgets those that were removed long
// ago.
func (v *View) rememberRemoved(transitions []Transition, now time.Time) {
	for _, t := range transitions {
		if _, known := v.unavailable[t.Server.ID]; t.To == decide.Removed && !known {
			v.unavailable[t.Server.ID] = unavailableServer{unavailableSince: now, revision: t.Revision,
				startedAt: t.Server.StartedAt, removed: true}
		}
	}
	for id, remembered := range v.unavailable {
		if remembered.removed &&
			(now.Sub(remembered.unavailableSince) > removedKeptFor || len(v.unavailable) > maxRemembered) {
			delete(v.unavailable, id)
		}
	}
}

// confirm records that the list in force is the newest one, if the source is discovery itself.
func (v *View) confirm(source Source, now time.Time) {
	switch source {
	case SourceWatch, SourcePush, SourceCall:
		v.confirmedAt, v.watched = now, true
	}
}

// Confirm takes in an answer of discovery without changes. If the update has entries, the caller has to put them in
// force: they are of an older list that is trusted by now.
func (v *View) Confirm(source Source, now time.Time) Update {
	v.confirm(source, now)
	list := List{Version: v.revision, Source: source}
	list.Entries = v.trustedByNow(now, &list)
	update := Update{List: list}
	for _, e := range list.Entries {
		update.Transitions = append(update.Transitions, Transition{Server: e, From: decide.Draining, To: e.State,
			Revision: list.Version, Source: source})
	}
	return update
}

// Unwatch records that no watch is open any more.
func (v *View) Unwatch(now time.Time) {
	if v.watched {
		v.watched, v.unwatchedAt = false, now
	}
}

// SourceChanged records that the list comes from another source from now on. Its revisions can't be compared with those
// of the old one, so the whole list has to be requested. The entries stay in force until then.
func (v *View) SourceChanged(now time.Time) {
	v.Unwatch(now)
	v.known, v.revision = false, 0
	clear(v.unavailable)
}

// SetCordon replaces the set of cordoned servers. The update holds the whole list in force; it has no transitions if no
// state changes.
func (v *View) SetCordon(c Cordon) Update {
	previous := v.cordon
	v.cordon = c
	update := Update{List: List{Version: v.revision, Full: true, Source: SourceCordon}}
	v.ready = 0
	for _, e := range v.entries {
		effective := v.Effective(e)
		if effective.State == decide.Ready {
			v.ready++
		}
		if e.State == decide.Ready && previous.Has(e) != c.Has(e) {
			from := decide.Ready
			if previous.Has(e) {
				from = decide.Draining
			}
			update.Transitions = append(update.Transitions, Transition{Server: effective, From: from,
				To: effective.State, Revision: v.revision, Source: SourceCordon})
		}
		update.List.Entries = append(update.List.Entries, effective)
	}
	return update
}

// Effective returns an entry with its state in force: a cordoned server is draining.
func (v *View) Effective(e Entry) Entry {
	if e.State == decide.Ready && !v.cordon.empty() && v.cordon.Has(e) {
		e.State = decide.Draining
	}
	return e
}

// List returns the whole list as discovery has it, without the effect of the cordon. ok is false if there has been none
// since the start or since SourceChanged.
func (v *View) List() (l List, ok bool) {
	if !v.known {
		return List{}, false
	}
	l = List{Version: v.revision, Full: true, Entries: make([]Entry, 0, len(v.entries))}
	for _, e := range v.entries {
		l.Entries = append(l.Entries, e)
	}
	return l, true
}

// Entry returns a listed server, without the effect of the cordon.
func (v *View) Entry(id decide.ServerID) (Entry, bool) {
	e, ok := v.entries[id]
	return e, ok
}

// Revision returns the revision of the list in force; nil if there has been no list since the start or since
// SourceChanged.
func (v *View) Revision() *uint64 {
	if !v.known {
		return nil
	}
	revision := v.revision
	return &revision
}

// Source returns the source of the list in force.
func (v *View) Source() Source { return v.source }

// Size returns the number of listed servers, and how many of them are ready with the cordon taken into account.
func (v *View) Size() (listed, ready int) { return len(v.entries), v.ready }

// Age returns the time since discovery last confirmed the list; negative: it never has.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(v.confirmedAt))
}

// Watched reports whether a watch keeps the list fresh, and if not, since when. The zero time means since the start.
func (v *View) Watched() (watched bool, since time.Time) { return v.watched, v.unwatchedAt }
