package core

import (
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
)

// transitionsLogged is how many changes of state one list is logged with; a fleet that is replaced at once brings thousands.
const transitionsLogged = 16

// answered takes an answer of the watch. The module is told of the first one in any case: it waits for it.
func (l *Loop) answered(n List) {
	first := !l.watchOpen
	l.watchOpen = true
	if revision := l.view.Revision(); !first && revision != nil && n.Empty(*revision) {
		l.confirm(n.Source)
		return
	}
	l.news(n)
}

// confirm notes that discovery has nothing newer.
func (l *Loop) confirm(source serverlist.Source) {
	if u := l.view.Confirm(source, time.Now()); len(u.List.Entries) > 0 {
		l.enforce(u, decide.ListChanges)
	}
	l.guard.Watched(l.view.Watched())
}

// news takes a list that discovery has told.
func (l *Loop) news(n List) {
	kind := decide.ListChanges
	if n.Full {
		kind = decide.ListFull
	}
	l.follow(n, kind)
}

// follow takes a list in.
func (l *Loop) follow(n List, kind decide.ListKind) {
	l.enforce(l.view.Apply(n, time.Now()), kind)
	l.guard.Watched(l.view.Watched())
}

// enforce puts a list, or a part of it, in force: connections first, so that nothing goes where the list says no.
func (l *Loop) enforce(u serverlist.Update, kind decide.ListKind) {
	e := decide.ListUpdate{Kind: kind, Version: u.List.Version, Age: max(0, u.Age), Entries: make([]decide.Server, 0, len(u.List.Entries))}
	for _, entry := range u.List.Entries {
		e.Entries = append(e.Entries, entry.Server)
	}
	l.transport.Update(u.List)
	_, ready := l.view.Size()
	l.able.Store(ready > 0)
	l.handle(e)
	l.publish()
	l.logTransitions(u)
}

// logTransitions says what a list has changed, where it came from, and how old what was believed before is.
func (l *Loop) logTransitions(u serverlist.Update) {
	l.figures.Applied(int(u.List.Source), len(u.Transitions))
	if u.List.Source == serverlist.SourceCache || u.List.Source == serverlist.SourcePredecessor {
		l.log.Info("list", "revision", u.List.Version, "source", u.List.Source, "servers", len(u.List.Entries))
		return
	}
	for i, t := range u.Transitions {
		if i == transitionsLogged {
			l.log.Info("more servers changed", "count", len(u.Transitions)-i, "revision", t.Revision)
			return
		}
		l.log.Info("server", "name", t.Server.Name, "id", t.Server.ID, "from", stateNames[t.From], "to", stateNames[t.To], "revision", t.Revision, "source", t.Source,
			"believed for", t.Age.Round(time.Millisecond))
	}
}

var stateNames = map[decide.ServerState]string{decide.Ready: "ready", decide.Draining: "draining", decide.Gone: "gone"}

// publishList sets the figures of the list.
func (l *Loop) publishList() {
	var revision uint64
	if r := l.view.Revision(); r != nil {
		revision = *r
	}
	watched, _ := l.view.Watched()
	l.figures.List(revision, l.view.Age(time.Now()), watched)
}

// mayHaveRun tells whether an attempt that a request has had may have run, or may yet.
func (r *Request) mayHaveRun() bool {
	for _, t := range r.attempts {
		if !t.neverRan {
			return true
		}
	}
	return false
}
