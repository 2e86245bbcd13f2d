package core

import (
	"context"
	"errors"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
)

// maxNamedServers is the number of servers that the log line about one list names. A list that replaces a whole fleet
// changes thousands.
const transitionsNamed = 6

// subscribe starts or stops watching service discovery for list changes. A watch that is open already is replaced by a
// new one, because the module waits for an answer to each Subscribe; a watch whose first answer is outstanding is kept.
func (l *Loop) subscribe(on bool) {
	if on && l.endWatch != nil && !l.watchOpen {
		return
	}
	l.unwatch()
	if !on {
		return
	}
	ctx, current := l.watching()
	d, since := l.members, l.view.Revision()
	l.work.Go(func() {
		err := d.Watch(ctx, since, func(n List) { l.handOn(ctx, n) })
		current(func() { l.unwatch(); l.told(List{}, err) })
	})
}

// followPushedLists follows the server list until the loop ends or its source is replaced. It is used in place of
// subscribe where lists are pushed to the node, so that the module requests none.
func (l *Loop) listen() {
	ctx, _ := l.watching()
	d, since := l.members, l.view.Revision()
	l.work.Go(func() { d.Follow(ctx, since, func(n List) { l.handOn(ctx, n) }) })
}

// newWatchContext returns the context of a new watch, and a function that runs its argument under the loop's lock
// unless the watch has been ended by then.
func (l *Loop) watching() (context.Context, func(func())) {
	ctx, cancel := context.WithCancel(l.ctx)
	l.endWatch, l.watchOpen = cancel, false
	return ctx, func(f func()) {
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
}

// deliverWatchedList passes a list that a watch has received to the loop. If the watch has been ended in the meantime,
// the node still counts as notified of that list: servers that are draining or removed by it get no more requests, even
// if the list comes from another source by now.
func (l *Loop) handOn(ctx context.Context, n List) {
	l.post(func() {
		if ctx.Err() == nil {
			l.answered(n)
			return
		}
		if u := l.view.Withdraw(n, time.Now()); len(u.Transitions) > 0 {
			l.enforce(u, decide.ListCached)
		}
	})
}

// endWatchCall ends the open watch, if there is one, and records that the list is not watched from now on.
func (l *Loop) unwatch() {
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
	l.view.Unwatch(time.Now())
	l.guard.Watched(l.view.Watched())
}

// SetMembership replaces the source of the server list and closes the old one. The whole list is requested from the new
// source, because its versions need not continue those of the old one. The watch at the old source is ended here: it
// may hang, and would count as open. To the module this is a failed list request: all nodes may change the source at
// the same moment, and the module spreads their requests over time.
func (l *Loop) Move(to Membership) {
	l.post(func() {
		l.unwatch()
		l.members.Close()
		l.members = to
		l.view.Moved(time.Now())
		if l.settings.AskForList {
			l.handle(decide.ListUpdate{Kind: decide.ListFailed, Cause: decide.CauseMoved})
		} else {
			l.listen()
		}
	})
}

// handleFetchedList handles the result of a FetchList that was sent to membership, beside any watch.
func (l *Loop) fetched(d Membership, n List, err error) {
	switch {
	case d != l.members:
		n, err = List{}, errors.New("discovery has moved")
	case err == nil && l.endWatch != nil && l.view.Revision() != nil && n.Version < *l.view.Revision():
		return // the open watch has brought a newer list
	}
	n.Source = serverlist.SourceCall
	l.told(n, err)
}

// handleListResult handles the result of a list request of the module: a list, or the error of a failed call.
func (l *Loop) told(n List, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		failed := decide.ListUpdate{Kind: decide.ListFailed}
		if call := (*CallError)(nil); errors.As(err, &call) {
			failed.Took, failed.Cause = call.Took, call.Cause
		}
		l.figures.Called(int(failed.Cause))
		l.handle(failed)
		return
	}
	l.news(n)
}

// handleWatchAnswer handles one answer of the open watch. The module gets the first answer even if it changes nothing,
// because it waits for that answer; a later one without changes confirms the list.
func (l *Loop) answered(n List) {
	if n.Silent {
		l.handle(decide.ListUpdate{Kind: decide.ListSilent})
		return
	}
	first := !l.watchOpen
	if l.watchOpen = true; first {
		l.figures.Called(int(decide.CauseUnknown)) // counts as answered
	}
	if revision := l.view.Revision(); !first && revision != nil && n.Empty(*revision) {
		l.confirm(n.Source)
		if l.settings.AskForList {
			l.handle(decide.ListUpdate{Kind: decide.ListChanges, Version: *revision})
		}
		return
	}
	l.news(n)
}

// confirmList records that discovery has no newer list, and publishes entries of an older list that are trusted by now.
func (l *Loop) confirm(source serverlist.Source) {
	if u := l.view.Confirm(source, time.Now()); len(u.List.Entries) > 0 {
		l.enforce(u, decide.ListChanges)
	}
	l.guard.Watched(l.view.Watched())
}

// handleList applies a list from discovery, as a whole list or as changes.
func (l *Loop) news(n List) {
	kind := decide.ListChanges
	if n.Full {
		kind = decide.ListFull
	}
	l.follow(n, kind)
}

// applyList applies a list to the view and publishes what it changes.
func (l *Loop) follow(n List, kind decide.ListKind) {
	l.enforce(l.view.Apply(n, time.Now()), kind)
	l.guard.Watched(l.view.Watched())
}

// publishUpdate passes an update of the list to the transport and then to the module. The transport is first, so that
// no request is sent to a server that the list excludes.
func (l *Loop) enforce(u serverlist.Update, kind decide.ListKind) {
	e := decide.ListUpdate{Kind: kind, Version: u.List.Version, Age: ageOf(u), Entries: make([]decide.Server, 0, len(u.List.Entries))}
	for _, entry := range u.List.Entries {
		e.Entries = append(e.Entries, entry.Server)
	}
	l.transport.Update(u.List)
	l.handle(e)
	l.publish()
	l.logTransitions(u)
}

// maxPushDelay is the greatest assumed age of a change that an open watch reports: discovery answers at once.
const promptly = time.Millisecond

// changeAge is the longest time ago that the changes in an update may have happened; 0: not known.
func ageOf(u serverlist.Update) time.Duration {
	onWatch := u.List.Source == serverlist.SourceWatch || u.List.Source == serverlist.SourcePush
	if onWatch && u.Age > 0 && u.List.StaleSince.IsZero() {
		return min(u.Age, promptly)
	}
	return max(0, u.Age)
}

// logTransitions logs in one line what an update has changed, its source, and the age of the list that it replaces.
// At the debug level each changed server gets a line of its own.
func (l *Loop) logTransitions(u serverlist.Update) {
	l.figures.Applied(int(u.List.Source), len(u.Transitions))
	_, ready := l.view.Size()
	about := []any{"revision", u.List.Version, "source", u.List.Source, "whole", u.List.Full, "servers", len(u.List.Entries), "ready", ready}
	if len(u.Transitions) == 0 {
		l.log.Info("list", about...)
		return
	}
	var count [decide.Gone + 1]int
	var names []string
	for _, t := range u.Transitions {
		count[t.To]++
		if t.To != decide.Ready && len(names) < transitionsNamed {
			names = append(names, t.Server.Name)
		}
		if l.debug {
			l.log.Debug("server", "name", t.Server.Name, "id", t.Server.ID, "from", stateNames[t.From], "to", stateNames[t.To], "revision", t.Revision)
		}
	}
	l.log.Info("list", append(about, "became ready", count[decide.Ready], "draining", count[decide.Draining], "gone", count[decide.Gone],
		"first off", strings.Join(names, ","), "believed for", u.Age.Round(time.Millisecond))...)
}

var stateNames = map[decide.ServerState]string{decide.Ready: "ready", decide.Draining: "draining", decide.Gone: "gone"}

// setListMetrics sets the metrics of the list: its revision, its age, and whether it is watched and valid.
func (l *Loop) publishList() {
	var revision uint64
	if r := l.view.Revision(); r != nil {
		revision = *r
	}
	watched, _ := l.view.Watched()
	l.figures.Usable(l.module.UsableServers())
	l.figures.List(revision, l.view.Age(time.Now()), watched)
}
