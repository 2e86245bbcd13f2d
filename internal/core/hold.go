package core

import (
	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
)

// Cordon is the set of servers, and of zones with all their servers, that are drained whatever the list says.
type Cordon = serverlist.Cordon

// SetCordon replaces the set of cordoned servers. No new requests are sent to them from now on. Servers whose cordon
// does not change are not affected.
func (l *Loop) SetCordon(cordon Cordon) {
	l.post(func() {
		if update := l.view.SetCordon(cordon); len(update.Transitions) > 0 {
			// ListCached, because this answers no list request of the module.
			l.publishUpdate(update, decide.ListCached)
		}
	})
}

// OpenAttemptsAt is the number of attempts that have not ended at the servers of a cordon. If the cordon has zones,
// attempts at servers that are no longer listed count too, as their zone is not known. ok is false once the loop has
// ended.
func (l *Loop) OpenAttemptsAt(cordon Cordon) (n int, ok bool) {
	ok = l.post(func() {
		for _, request := range l.requests {
			for _, open := range request.attempts {
				entry, listed := l.view.Entry(open.server)
				if !open.ended && (cordon.Servers[open.server] || listed && cordon.Zones[entry.Zone] ||
					!listed && len(cordon.Zones) > 0) {
					n++
				}
			}
		}
	})
	return n, ok
}

// OpenRequests is the number of clients' requests that have not ended. ok is false once the loop has ended.
func (l *Loop) OpenRequests() (n int, ok bool) {
	ok = l.post(func() { n = len(l.requests) })
	return n, ok
}

// EjectedServers returns the names of the ready servers that the module has ejected because they don't answer or accept
// nothing. They get no traffic but trial requests.
func (l *Loop) EjectedServers() (names []string) {
	l.post(func() {
		for _, id := range l.module.EjectedServers() {
			if e, ok := l.view.Entry(id); ok && e.Name != "" {
				names = append(names, e.Name)
			}
		}
	})
	return names
}
