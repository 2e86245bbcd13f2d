package front

import (
	"net/http"
	"sync/atomic"
	"time"
)

// disconnectHiddenWait is how long after a request's start attempts may still start while it can't be seen whether its
// client has left. It is below 0.1 s, because no attempt may start later than that after the client has left.
const disconnectHiddenWait = 60 * time.Millisecond

// clientPresence checks whether the client of one request is still connected. A check is a system call, so the result
// that the client is there is reused for as long as the caller allows. It is safe for concurrent use.
type clientPresence struct {
	handler      *Handler // provides ClientGone, which has to be set, and DisconnectHidden
	request      *http.Request
	cancel       func()       // called by each check that finds the client gone
	startedAt    time.Time    // when the request was taken up; the first check was made then or later
	lastSeen     atomic.Int64 // when the last check that found the client there was started, in ns since startedAt
	presumedGone atomic.Bool  // it can't be seen whether the client is there, and it counts as gone
}

// gone reports whether the client has left. It makes a check unless the last one is more recent than maxAge.
func (p *clientPresence) gone(maxAge time.Duration) bool {
	now := time.Since(p.startedAt)
	if now-time.Duration(p.lastSeen.Load()) < maxAge {
		return false
	}
	gone := p.handler.ClientGone(p.request)
	if !gone && now > disconnectHiddenWait && p.handler.DisconnectHidden != nil && p.handler.DisconnectHidden(p.request) {
		p.presumedGone.Store(true)
		gone = true
	}
	if gone {
		p.cancel()
		return true
	}
	p.lastSeen.Store(int64(now))
	return false
}
