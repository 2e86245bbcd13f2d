package core

import (
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
)

const (
	// recentSends is the number of the latest attempts without a watch that are remembered.
	recentSends = 256
	// recentSendTime is how long they are remembered: longer than any change of the list can stay unknown.
	recentSendTime = 15 * time.Second
)

// unwatchedSend is an attempt that began while no watch kept the server list up to date.
type unwatchedSend struct {
	request decide.RequestID
	attempt int
	server  decide.ServerID
	at      time.Time
	basis   decide.SendBasis
}

// unwatchedSends remembers the latest attempts that began without a watch, and counts those since the list was last
// watched. When the list then says that such a server was draining or removed, the log can tell what the attempt
// rested on.
type unwatchedSends struct {
	recent [recentSends]unwatchedSend // a ring; entries with a zero time are empty
	next   int                        // index in recent of the next entry
	counts [decide.BasisKinds]int     // since the list was last watched
	maxAge [decide.BasisKinds]time.Duration
}

// add records an attempt.
func (u *unwatchedSends) add(send unwatchedSend) {
	u.recent[u.next] = send
	u.next = (u.next + 1) % recentSends
	u.counts[send.basis.Kind]++
	u.maxAge[send.basis.Kind] = max(u.maxAge[send.basis.Kind], send.basis.Age)
}

// latestByServer returns the latest remembered attempt at each server.
func (u *unwatchedSends) latestByServer(now time.Time) map[decide.ServerID]unwatchedSend {
	latest := map[decide.ServerID]unwatchedSend{}
	for i := range u.recent {
		send := u.recent[(u.next+i)%recentSends] // the oldest first
		if !send.at.IsZero() && now.Sub(send.at) < recentSendTime {
			latest[send.server] = send
		}
	}
	return latest
}

// takeCounts returns the counts as attributes of a log line, and resets them. There are none if nothing was sent.
func (u *unwatchedSends) takeCounts() (attrs []any) {
	for kind, count := range u.counts {
		if count > 0 {
			name := decide.BasisKind(kind).String()
			attrs = append(attrs, name, count, name+" max age", u.maxAge[kind].Round(time.Millisecond))
		}
	}
	u.counts, u.maxAge = [decide.BasisKinds]int{}, [decide.BasisKinds]time.Duration{}
	return attrs
}

// recordUnwatched counts, remembers and logs an attempt that begins without a watch.
func (l *Loop) recordUnwatched(send decide.Send, attempt int, now time.Time) {
	if send.Basis.Kind == decide.BasisWatch {
		return
	}
	l.metrics.UnwatchedSend(send.Basis.Kind)
	l.unwatched.add(unwatchedSend{request: send.ID, attempt: attempt, server: send.Server, at: now, basis: send.Basis})
	if l.debug {
		l.log.Debug("send without a watch", append([]any{"request", send.ID, "attempt", attempt, "server", send.Server},
			basisAttrs(send.Basis)...)...)
	}
}

// logUnwatched logs what was sent while the list was not watched, once it is watched again.
func (l *Loop) logUnwatched() {
	if watched, _ := l.view.Watched(); !watched {
		return
	}
	if counts := l.unwatched.takeCounts(); len(counts) > 0 {
		l.log.Info("sent without a watch", counts...)
	}
}

// logUnwatchedTo logs the latest attempt without a watch at each server that a list reports as draining or removed,
// for the first few of them.
func (l *Loop) logUnwatchedTo(transitions []serverlist.Transition) {
	if len(transitions) == 0 {
		return
	}
	now, logged := time.Now(), 0
	latest := l.unwatched.latestByServer(now)
	for _, transition := range transitions {
		send, found := latest[transition.Server.ID]
		if !found || transition.To == decide.Ready || logged == maxNamedServers {
			continue
		}
		logged++
		delete(latest, transition.Server.ID)
		l.log.Info("sent to a server before the list reported it", append([]any{"server", transition.Server.Name,
			"state", stateNames[transition.To], "request", send.request, "attempt", send.attempt,
			"before", now.Sub(send.at).Round(time.Millisecond)}, basisAttrs(send.basis)...)...)
	}
}

// basisAttrs describes a basis in a log line.
func basisAttrs(basis decide.SendBasis) []any {
	attrs := []any{"basis", basis.Kind.String(), "basis age", basis.Age.Round(time.Millisecond)}
	if basis.Kind == decide.BasisPeer {
		attrs = append(attrs, "peer", basis.Peer)
	}
	return attrs
}
