package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// sent is one request of a client, and what became of it.
type sent struct {
	id, class  string
	sentAt     time.Time // when its last byte was written
	patience   time.Duration
	endedAt    time.Time
	status     int // 0: no whole answer
	err        error
	connFailed bool // the connection was refused: nothing was taken
}

// askOnce sends one request on a connection of its own, and waits for the answer until the client's time and half a second are over.
func askOnce(addr, method, class, id string, patience time.Duration) (s sent) {
	s = sent{id: id, class: class, patience: patience}
	defer func() { s.endedAt = time.Now() }()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		s.sentAt, s.err, s.connFailed = time.Now(), err, true
		return s
	}
	defer conn.Close()
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n", method, class, id, patience.Seconds())
	if method == http.MethodPost {
		text += "Content-Length: 4\r\n\r\nbody"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		s.sentAt, s.err, s.connFailed = time.Now(), err, true
		return s
	}
	s.sentAt = time.Now()
	conn.SetReadDeadline(s.sentAt.Add(patience + 550*time.Millisecond)) // half a second late earns nothing, later is lost; 50 ms more on sockets
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		s.err = err
		return s
	}
	defer resp.Body.Close()
	if _, s.err = io.Copy(io.Discard, resp.Body); s.err == nil {
		s.status = resp.StatusCode
	}
	return s
}

// lost reports whether a request that the node's machine had taken got no final answer in time.
func (s *sent) lost() bool { return !s.connFailed && s.status == 0 }

// String tells what became of the request, for the record.
func (s *sent) String() string {
	what := fmt.Sprintf("status %d", s.status)
	switch {
	case s.connFailed:
		what = fmt.Sprintf("not taken: %v", s.err)
	case errors.Is(s.err, context.DeadlineExceeded) || s.err != nil && isTimeout(s.err):
		what = "no answer within its time and 0.55 s"
	case s.err != nil:
		what = fmt.Sprintf("no whole answer: %v", s.err)
	}
	return fmt.Sprintf("%s %s: %s after %.3f s of %.3f", s.class, s.id, what, s.endedAt.Sub(s.sentAt).Seconds(), s.patience.Seconds())
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// stream sends a request every interval to an address until ctx ends, each on a new connection, and returns all requests once they
// have ended.
func (w *world) stream(ctx context.Context, who, addr, method, class string, patience, interval time.Duration) func() []sent {
	var mu sync.Mutex
	var list []sent
	var running sync.WaitGroup
	running.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			running.Go(func() {
				s := askOnce(addr, method, class, fmt.Sprintf("%s-%d", who, n), patience)
				w.noteAt(s.sentAt, who, "sent %s", s.id)
				w.noteAt(s.endedAt, who, "%s", s.String())
				mu.Lock()
				defer mu.Unlock()
				list = append(list, s)
			})
		}
	})
	return func() []sent {
		running.Wait()
		return list
	}
}
