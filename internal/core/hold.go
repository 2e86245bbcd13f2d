package core

import "starlingvalve/decide"

// Hold has these servers drained, whatever the list says, in place of those that were held before: nothing new goes to them
// from here on. It changes nothing for servers that stay held or stay free.
func (l *Loop) Hold(servers map[decide.ServerID]bool) {
	l.post(func() {
		was, changed := l.held, false
		l.held = servers
		all := List{Full: true}
		if l.version != nil {
			all.Version = *l.version
		}
		l.ready = 0
		for id, e := range l.listed {
			changed = changed || e.State == decide.Ready && was[id] != servers[id]
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

// Left is the number of attempts that are under way at each of these servers. ok is false once the loop has ended.
func (l *Loop) Left(servers map[decide.ServerID]bool) (left map[decide.ServerID]int, ok bool) {
	left = map[decide.ServerID]int{}
	ok = l.post(func() {
		for _, r := range l.requests {
			for _, t := range r.attempts {
				if !t.ended && servers[t.server] {
					left[t.server]++
				}
			}
		}
	})
	return left, ok
}

// effective is an entry as it is in force: a held server drains.
func (l *Loop) effective(e Entry) Entry {
	if e.State == decide.Ready && l.held[e.ID] {
		e.State = decide.Draining
	}
	return e
}
