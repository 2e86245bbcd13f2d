package core

import (
	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
)

// Held is what is cordoned whatever membership says: servers, and all those of zones.
type Held = serverlist.Cordon

// Hold drains these servers in place of those that were held before: nothing new goes to them from here on. It changes nothing for
// servers that stay held or stay free.
func (l *Loop) Hold(h Held) {
	l.post(func() {
		if u := l.view.SetCordon(h); len(u.Transitions) > 0 { // as the list of a start: it answers none of the module's calls
			l.enforce(u, decide.ListCached)
		}
	})
}

// Left is the number of attempts that are under way at these servers, and at those that are not listed any more, where a zone is
// among them. ok is false once the loop has ended.
func (l *Loop) Left(h Held) (n int, ok bool) {
	ok = l.post(func() {
		for _, r := range l.requests {
			for _, t := range r.attempts {
				e, listed := l.view.Entry(t.server)
				if !t.ended && (h.Servers[t.server] || listed && h.Zones[e.Zone] || !listed && len(h.Zones) > 0) {
					n++
				}
			}
		}
	})
	return n, ok
}

// Open is the number of clients' requests that have not ended. ok is false once the loop has ended.
func (l *Loop) Open() (n int, ok bool) {
	ok = l.post(func() { n = len(l.requests) })
	return n, ok
}

// Suspects are the names of the servers that the module takes for dead.
func (l *Loop) Suspects() (names []string) {
	l.post(func() {
		for _, id := range l.module.Suspects() {
			if e, ok := l.view.Entry(id); ok && e.Name != "" {
				names = append(names, e.Name)
			}
		}
	})
	return names
}
