package link

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// limiter bounds how many connections are served at once, and closes further ones with codeFull.
type limiter struct {
	slots chan struct{}
	wg    *sync.WaitGroup // counts the goroutines that serve connections
}

// newLimiter returns a limiter for at most limit connections at once. Each serving goroutine is counted in wg.
func newLimiter(limit int, wg *sync.WaitGroup) limiter {
	return limiter{slots: make(chan struct{}, limit), wg: wg}
}

// serve runs handle in a goroutine of its own; at the limit it closes the connection instead. It does not block.
func (l limiter) serve(conn *quic.Conn, handle func()) {
	select {
	case l.slots <- struct{}{}:
	default:
		conn.CloseWithError(codeFull, "too many connections")
		return
	}
	l.wg.Go(func() {
		defer func() { <-l.slots }()
		handle()
	})
}
