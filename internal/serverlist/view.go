package serverlist

import (
	"time"

	"starlingvalve/decide"
)

const (
	// MaxWatchGap is the longest time from an answer of a watch to the next call that continues it. A later call starts
	// a new watch; changes within this time after the answer count as notified although no answer has brought them.
	ContinueWithin = 200 * time.Millisecond
	// OlderListTrustedAfter is how long a list with a lower revision than the one in force has to stand before it makes
	// draining or removed servers ready again: it may come from a replica of discovery that lags behind, or the
	// revisions may have started again from the beginning.
	OlderTrusted = 10 * time.Second

	offKept = time.Minute // how long a removed server is remembered
	offMost = 8192        // removed servers are forgotten at once while more unavailable servers than this are remembered
)

// View is the server list as one process has it. It is not safe for concurrent use.
type View struct {
	entries  map[decide.ServerID]Entry // the listed servers, without the effect of the cordon
	off      map[decide.ServerID]offServer
	cordon   Cordon
	ready    int  // entries whose state in force is Ready
	known    bool // a list has been applied since the start or the last change of the source
	revision uint64
	source   Source

	appliedAt   time.Time // when the list last changed
	confirmedAt time.Time // of the latest answer of discovery: there was nothing newer then
	watched     bool      // a watch keeps the list fresh
	unwatchedAt time.Time // when the last watch ended
}

// unavailableServer is a server that is draining or has been removed.
type offServer struct {
	revision uint64      // the highest revision by which it is unavailable
	started  decide.Time // when its process started
	since    time.Time
	gone     bool
	bringsAt time.Time // a list with a lower revision has it as ready, and is trusted from then on; zero: none has
	ready    Entry     // its entry in that list
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
	return &View{entries: map[decide.ServerID]Entry{}, off: map[decide.ServerID]offServer{}}
}

// Apply takes in a list or changes. The caller has to pass the update to the transport first and then to the module.
func (v *View) Apply(l List, now time.Time) Update {
	age := v.Age(now)
	before := v.states(l)
	if l.Full {
		clear(v.entries)
		v.ready = 0
	}
	entries := make([]Entry, 0, len(l.Entries))
	for _, e := range l.Entries {
		e = v.holdBack(e, l.Version, now)
		v.take(e, l.Version, now)
		entries = append(entries, v.Effective(e))
	}
	entries = append(entries, v.believed(now, &l)...)
	l.Entries = entries
	v.known, v.revision, v.source, v.appliedAt = true, l.Version, l.Source, now
	u := Update{List: l, Age: age}
	for _, was := range before {
		if is := v.state(was.ID); is != was.State {
			u.Transitions = append(u.Transitions, Transition{Server: was, From: was.State, To: is, Revision: l.Version, Source: l.Source, Age: age})
		}
	}
	v.noteGone(u.Transitions, now)
	v.confirm(l.Source, now)
	return u
}

// Withdraw applies a list of a source that is no longer followed: only servers that are draining or removed by it
// change, and the revision and the source of the list in force stay. The update holds the whole list in force.
func (v *View) Withdraw(l List, now time.Time) Update {
	off := List{Version: l.Version, Source: SourceNone}
	for _, e := range l.Entries {
		if is, listed := v.entries[e.ID]; listed && e.State != decide.Ready {
			is.State = e.State
			off.Entries = append(off.Entries, is)
		}
	}
	known, revision, source, applied := v.known, v.revision, v.source, v.appliedAt
	u := v.Apply(off, now)
	v.known, v.revision, v.source, v.appliedAt = known, revision, source, applied
	if !known {
		clear(v.off) // the revisions of the next source can't be compared with these
	}
	u.List = List{Version: revision, Full: true, Source: SourceCordon}
	for _, e := range v.entries {
		u.List.Entries = append(u.List.Entries, v.Effective(e))
	}
	return u
}

// affected returns the servers that a list may change, with their states in force before it.
func (v *View) states(l List) []Entry {
	list := make([]Entry, 0, len(l.Entries))
	named := map[decide.ServerID]bool{}
	for _, e := range l.Entries {
		if !named[e.ID] {
			named[e.ID] = true
			e.State = v.state(e.ID)
			list = append(list, e)
		}
	}
	if l.Full {
		for id, e := range v.entries {
			if !named[id] {
				list = append(list, v.Effective(e))
			}
		}
	}
	return list
}

// state is a server's state in force; Removed if it is not listed.
func (v *View) state(id decide.ServerID) decide.ServerState {
	e, listed := v.entries[id]
	if !listed {
		return decide.Gone
	}
	return v.Effective(e).State
}

// setEntry enters one entry of a list into the view.
func (v *View) take(e Entry, revision uint64, now time.Time) {
	if was, ok := v.entries[e.ID]; ok && v.Effective(was).State == decide.Ready {
		v.ready--
	}
	delete(v.entries, e.ID)
	if e.State != decide.Gone {
		v.entries[e.ID] = e
	}
	if v.Effective(e).State == decide.Ready {
		v.ready++
	}
	if e.State == decide.Ready {
		delete(v.off, e.ID)
		return
	}
	o, ok := v.off[e.ID]
	if !ok {
		o = offServer{since: now, revision: revision, started: e.StartedAt}
	}
	o.gone, o.revision = e.State == decide.Gone, max(o.revision, revision)
	v.off[e.ID] = o
}

// keepUnavailable returns an entry as it is to be set: draining instead of ready if a list with a higher revision had
// the server as draining or removed. A server that has started since then is another process and stays ready. If no
// list with a higher revision comes, the entry is trusted after OlderListTrustedAfter.
func (v *View) holdBack(e Entry, revision uint64, now time.Time) Entry {
	o, off := v.off[e.ID]
	if !off || e.State != decide.Ready || revision >= o.revision || e.StartedAt > o.started {
		return e
	}
	if o.bringsAt.IsZero() {
		o.bringsAt = now.Add(OlderTrusted)
	}
	o.ready = e
	v.off[e.ID] = o
	e.State = decide.Draining
	return e
}

// trustedByNow makes the servers ready whose entries keepUnavailable has kept back for long enough, and returns them.
// Servers that have become ready or removed meanwhile are left out.
func (v *View) believed(now time.Time, l *List) (entries []Entry) {
	for id, o := range v.off {
		if o.bringsAt.IsZero() || now.Before(o.bringsAt) {
			continue
		}
		if e, listed := v.entries[id]; !listed || e.State != decide.Draining {
			o.bringsAt = time.Time{}
			v.off[id] = o
			continue
		}
		v.take(o.ready, l.Version, now)
		entries = append(entries, v.Effective(o.ready))
	}
	return entries
}

// rememberRemoved remembers the servers that a whole list no longer contains, and forgets those that were removed long
// ago.
func (v *View) noteGone(list []Transition, now time.Time) {
	for _, t := range list {
		if _, off := v.off[t.Server.ID]; t.To == decide.Gone && !off {
			v.off[t.Server.ID] = offServer{since: now, revision: t.Revision, started: t.Server.StartedAt, gone: true}
		}
	}
	for id, o := range v.off {
		if o.gone && (now.Sub(o.since) > offKept || len(v.off) > offMost) {
			delete(v.off, id)
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
	l := List{Version: v.revision, Source: source}
	l.Entries = v.believed(now, &l)
	u := Update{List: l}
	for _, e := range l.Entries {
		u.Transitions = append(u.Transitions, Transition{Server: e, From: decide.Draining, To: e.State, Revision: l.Version, Source: source})
	}
	return u
}

// Unwatch records that no watch is open any more.
func (v *View) Unwatch(now time.Time) {
	if v.watched {
		v.watched, v.unwatchedAt = false, now
	}
}

// SourceChanged records that the list comes from another source from now on. Its revisions can't be compared with those
// of the old one, so the whole list has to be requested. The entries stay in force until then.
func (v *View) Moved(now time.Time) {
	v.Unwatch(now)
	v.known, v.revision = false, 0
	clear(v.off)
}

// SetCordon replaces the set of cordoned servers. The update holds the whole list in force; it has no transitions if no
// state changes.
func (v *View) SetCordon(c Cordon) Update {
	was := v.cordon
	v.cordon = c
	u := Update{List: List{Version: v.revision, Full: true, Source: SourceCordon}}
	v.ready = 0
	for _, e := range v.entries {
		is := v.Effective(e)
		if is.State == decide.Ready {
			v.ready++
		}
		if e.State == decide.Ready && was.Has(e) != c.Has(e) {
			from := decide.Ready
			if was.Has(e) {
				from = decide.Draining
			}
			u.Transitions = append(u.Transitions, Transition{Server: is, From: from, To: is.State, Revision: v.revision, Source: SourceCordon})
		}
		u.List.Entries = append(u.List.Entries, is)
	}
	return u
}

// Effective returns an entry with its state in force: a cordoned server is draining.
func (v *View) Effective(e Entry) Entry {
	if e.State == decide.Ready && !v.cordon.none() && v.cordon.Has(e) {
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
