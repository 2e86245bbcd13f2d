package core

import "starlingvalve/decide"

// Held is what is drained whatever membership says: servers, and all those of zones.
type Held struct {
	Servers map[decide.ServerID]bool
	Zones   map[string]bool
}

func (h Held) has(e Entry) bool { return h.Servers[e.ID] || h.Zones[e.Zone] }

// Hold drains these servers in place of those that were held before: nothing new goes to them from here on. It changes nothing for
// servers that stay held or stay free.
func (l *Loop) Hold(h Held) {
	l.post(func() {
		was, changed := l.held, false
		l.held = h
		all := List{Full: true}
		if l.version != nil {
			all.Version = *l.version
		}
		l.ready = 0
		for _, e := range l.listed {
			changed = changed || e.State == decide.Ready && was.has(e) != h.has(e)
			if l.effective(e).State == decide.Ready {
				l.ready++
			}
			all.Entries = append(all.Entries, e)
		}
		if changed { // as the list of a start: it answers none of the module's calls
			l.take(all, decide.ListCached)
		}
	})
}

// Left is the number of attempts that are under way at these servers, and at those that are not listed any more, where a zone is
// among them. ok is false once the loop has ended.
func (l *Loop) Left(h Held) (n int, ok bool) {
	ok = l.post(func() {
		for _, r := range l.requests {
			for _, t := range r.attempts {
				e, listed := l.listed[t.server]
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
			if e, ok := l.listed[id]; ok && e.Name != "" {
				names = append(names, e.Name)
			}
		}
	})
	return names
}

// effective is an entry as it is in force: a held server drains.
func (l *Loop) effective(e Entry) Entry {
	if e.State == decide.Ready && l.held.has(e) {
		e.State = decide.Draining
	}
	return e
}
