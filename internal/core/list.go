package core

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
)

// maxNamedServers is the number of servers that the log line about one list names. A list that replaces a whole fleet
// changes thousands.
const maxNamedServers = 6

// subscribe starts or stops watching service discovery for list changes. A watch that is open already is replaced by a
// new one, because the module waits for an answer to each Subscribe; a watch whose first answer is outstanding is kept.
func (l *Loop) subscribe(on bool) {
	if on && l.endWatch != nil && !l.watchAnswered {
		return
	}
	l.endWatchCall()
	if !on {
		return
	}
	ctx, ifCurrent := l.newWatchContext()
	membership, since := l.membership, l.view.Revision()
	l.work.Go(func() {
		err := membership.Watch(ctx, since, func(list List) { l.deliverWatchedList(ctx, list) })
		ifCurrent(func() { l.endWatchCall(); l.handleListResult(List{}, err) })
	})
}

// followPushedLists follows the server list until the loop ends or its source is replaced. It is used in place of
// subscribe where lists are pushed to the node, so that the module requests none.
func (l *Loop) followPushedLists() {
	ctx, ifCurrent := l.newWatchContext()
	membership, since := l.membership, l.view.Revision()
	l.work.Go(func() {
		membership.Follow(ctx, since, func(list List) { l.deliverWatchedList(ctx, list) },
			func(err error) { ifCurrent(func() { l.handleAgentFailure(err) }) })
	})
}

// handleAgentFailure handles a failed call to the node's agent. The watch of the agent is begun anew by membership, and
// its next answer counts as a first one.
func (l *Loop) handleAgentFailure(err error) {
	l.watchAnswered = false
	l.view.Unwatch(time.Now())
	l.guard.SetWatched(l.view.Watched())
	l.handleListResult(List{}, err)
	l.agentResult()
}

// newWatchContext returns the context of a new watch, and a function that runs its argument under the loop's lock
// unless the watch has been ended by then.
func (l *Loop) newWatchContext() (context.Context, func(func())) {
	ctx, cancel := context.WithCancel(l.ctx)
	l.endWatch, l.watchAnswered = cancel, false
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
func (l *Loop) deliverWatchedList(ctx context.Context, list List) {
	l.post(func() {
		if ctx.Err() == nil {
			l.handleWatchAnswer(list)
			l.agentResult()
			return
		}
		if update := l.view.Withdraw(list, time.Now()); len(update.Transitions) > 0 {
			l.publishUpdate(update, decide.ListCached)
		}
	})
}

// endWatchCall ends the open watch, if there is one, and records that the list is not watched from now on.
func (l *Loop) endWatchCall() {
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
	l.view.Unwatch(time.Now())
	l.guard.SetWatched(l.view.Watched())
}

// SetMembership replaces the source of the server list and closes the old one. The whole list is requested from the new
// source, because its versions need not continue those of the old one. The watch at the old source is ended here: it
// may hang, and would count as open. To the module this is a failed list request: all nodes may change the source at
// the same moment, and the module spreads their requests over time.
func (l *Loop) SetMembership(replacement Membership) {
	l.post(func() {
		l.endWatchCall()
		l.membership.Close()
		l.membership = replacement
		l.view.SourceChanged(time.Now())
		l.handle(decide.ListUpdate{Kind: decide.ListFailed, Cause: decide.CauseMoved})
		if !l.settings.ListOnRequest {
			l.followPushedLists()
		}
	})
}

// handleFetchedList handles the result of a FetchList that was sent to membership, beside any watch.
func (l *Loop) handleFetchedList(membership Membership, list List, err error) {
	switch {
	case membership != l.membership:
		list, err = List{}, errors.New("discovery has moved")
	case err == nil && l.endWatch != nil && l.view.Revision() != nil && list.Version < *l.view.Revision():
		return // the open watch has brought a newer list
	}
	list.Source = serverlist.SourceCall
	l.handleListResult(list, err)
}

// handleListResult handles the result of a list request of the module: a list, or the error of a failed call.
func (l *Loop) handleListResult(list List, err error) {
	if err != nil {
		failed := decide.ListUpdate{Kind: decide.ListFailed}
		if call := (*CallError)(nil); errors.As(err, &call) {
			failed.Took, failed.Cause = call.Took, call.Cause
			if !call.ConfirmedAt.IsZero() {
				failed.ConfirmedAge = max(1, time.Since(call.ConfirmedAt))
			}
		}
		l.logListFailure(failed.Cause, err)
		l.metrics.CallEnded(int(failed.Cause))
		l.handle(failed)
		return
	}
	l.handleList(list)
}

// logListFailure logs a failed call. A silent agent is called several times a second: of equal failures in a row only the
// first is logged at the usual level.
func (l *Loop) logListFailure(cause decide.FailureCause, err error) {
	level := slog.LevelInfo
	if !l.settings.ListOnRequest && l.listFailed && cause == l.lastListFailure {
		level = slog.LevelDebug
	}
	l.listFailed, l.lastListFailure = true, cause
	l.log.Log(l.ctx, level, "discovery", "err", err)
}

// handleWatchAnswer handles one answer of the open watch. The module gets the first answer even if it changes nothing,
// because it waits for that answer; a later one without changes confirms the list.
func (l *Loop) handleWatchAnswer(list List) {
	if list.Stalled {
		l.handle(decide.ListUpdate{Kind: decide.ListStalled, UsableFor: time.Until(list.UsableUntil)})
		return
	}
	first := !l.watchAnswered
	l.listFailed = false
	if l.watchAnswered = true; first {
		l.metrics.CallEnded(int(decide.CauseUnknown)) // counts as answered
	}
	if revision := l.view.Revision(); !first && revision != nil && list.Empty(*revision) {
		l.confirmList(list)
		if l.settings.ListOnRequest {
			l.handle(decide.ListUpdate{Kind: decide.ListChanges, Version: *revision, ConfirmedAge: confirmedAge(list)})
		}
		return
	}
	l.handleList(list)
}

// confirmList records that discovery has no newer list, and publishes entries of an older list that are trusted by now.
func (l *Loop) confirmList(list List) {
	if update := l.view.Confirm(list.Source, time.Now()); len(update.List.Entries) > 0 {
		update.List.AsOf = list.AsOf
		l.publishUpdate(update, decide.ListChanges)
	}
	l.guard.SetWatched(l.view.Watched())
	l.logUnwatched()
}

// handleList applies a list from discovery, as a whole list or as changes.
func (l *Loop) handleList(list List) {
	kind := decide.ListChanges
	if list.Full {
		kind = decide.ListFull
	}
	l.applyList(list, kind)
}

// applyList applies a list to the view and publishes what it changes.
func (l *Loop) applyList(list List, kind decide.ListKind) {
	l.publishUpdate(l.view.Apply(list, time.Now()), kind)
	l.guard.SetWatched(l.view.Watched())
	l.logUnwatched()
}

// publishUpdate passes an update of the list to the transport and then to the module. The transport is first, so that
// no request is sent to a server that the list excludes.
func (l *Loop) publishUpdate(update serverlist.Update, kind decide.ListKind) {
	event := decide.ListUpdate{Kind: kind, Version: update.List.Version, Age: changeAge(update),
		ConfirmedAge: confirmedAge(update.List),
		Entries:      make([]decide.Server, 0, len(update.List.Entries))}
	for _, entry := range update.List.Entries {
		event.Entries = append(event.Entries, entry.Server)
	}
	l.transport.Update(update.List)
	l.handle(event)
	l.setMetrics()
	l.logTransitions(update)
	l.logUnwatchedTo(update.Transitions)
}

// confirmedAge is how long ago discovery had nothing newer than a list, at the most; 0: when the list came.
func confirmedAge(list List) time.Duration {
	if list.AsOf.IsZero() {
		return 0
	}
	return max(0, time.Since(list.AsOf))
}

// maxPushDelay is the greatest assumed age of a change that an open watch reports: discovery answers at once.
const maxPushDelay = time.Millisecond

// changeAge is the longest time ago that the changes in an update may have happened; 0: not known.
func changeAge(update serverlist.Update) time.Duration {
	onWatch := update.List.Source == serverlist.SourceWatch || update.List.Source == serverlist.SourcePush
	if onWatch && update.Age > 0 && update.List.StaleSince.IsZero() {
		return min(update.Age, maxPushDelay)
	}
	return max(0, update.Age)
}

// logTransitions logs in one line what an update has changed, its source, and the age of the list that it replaces.
// At the debug level each changed server gets a line of its own.
func (l *Loop) logTransitions(update serverlist.Update) {
	l.metrics.ListApplied(int(update.List.Source), len(update.Transitions))
	_, ready := l.view.Size()
	attrs := []any{"revision", update.List.Version, "source", update.List.Source, "whole", update.List.Full,
		"servers", len(update.List.Entries), "ready", ready}
	if len(update.Transitions) == 0 {
		l.log.Info("list", attrs...)
		return
	}
	var count [decide.Removed + 1]int
	var names []string
	for _, transition := range update.Transitions {
		count[transition.To]++
		if transition.To != decide.Ready && len(names) < maxNamedServers {
			names = append(names, transition.Server.Name)
		}
		if l.debug {
			l.log.Debug("server", "name", transition.Server.Name, "id", transition.Server.ID,
				"from", stateNames[transition.From], "to", stateNames[transition.To], "revision", transition.Revision)
		}
	}
	l.log.Info("list", append(attrs, "became ready", count[decide.Ready], "draining", count[decide.Draining],
		"gone", count[decide.Removed], "first off", strings.Join(names, ","),
		"believed for", update.Age.Round(time.Millisecond))...)
}

var stateNames = map[decide.ServerState]string{decide.Ready: "ready", decide.Draining: "draining", decide.Removed: "gone"}

// setListMetrics sets the metrics of the list: its revision, its age, and whether it is watched and valid.
func (l *Loop) setListMetrics() {
	var revision uint64
	if r := l.view.Revision(); r != nil {
		revision = *r
	}
	watched, _ := l.view.Watched()
	l.metrics.SetUsable(l.module.HasUsableServers())
	l.metrics.SetList(revision, l.view.Age(time.Now()), watched)
}
