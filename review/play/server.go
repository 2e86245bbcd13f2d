package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// group is what the servers of one cell know in common of keys.
type group struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
}

// first reports whether the group has not seen a key within its window, and remembers it.
func (g *group) first(key string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.seen[key]; ok && now.Sub(at) < g.window {
		return false
	}
	g.seen[key] = now
	return true
}

// receipt is what a server saw of one attempt.
type receipt struct {
	server    string
	cell      int
	id, key   string
	class     string
	firstByte time.Time
	received  time.Time // when its last byte came
	ran       bool
	repeat    bool // the cell dropped it as a repeat
	end       string
}

// backend is a stand-in server: HTTP/1.1, one request at a time on a connection.
type backend struct {
	play     *play
	id       string
	addr     string
	zone     string
	kind     string
	cell     int
	group    *group
	work     map[string]time.Duration // mean work of each class
	cores    chan struct{}
	draining atomic.Bool
	inFlight atomic.Int64
	// resetAfter, if set, says for each request whether its connection is reset after some time of work.
	resetAfter func(class string) (time.Duration, bool)

	mu   sync.Mutex
	seen []receipt
}

// newBackend starts a server.
func (p *play) newBackend(b *backend, cores int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.play, b.addr, b.cores = p, l.Addr().String(), make(chan struct{}, cores)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

// serve serves one connection.
func (b *backend) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		if class == "stats" || class == "health" {
			n := b.inFlight.Load()
			text := fmt.Sprintf("inflight=%d,queue=%d", n, max(0, n-int64(cap(b.cores))))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Backend-Load: %s\r\nContent-Length: %d\r\n\r\n%s", text, len(text), text)
			continue
		}
		seen := receipt{server: b.id, cell: b.cell, id: r.Header.Get("X-Correlation-Id"), key: r.Header.Get("Idempotency-Key"),
			class: class, firstByte: firstByte, received: time.Now()}
		if b.work[class] == 0 || seen.id == "" {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if b.draining.Load() {
			seen.end = "503, draining"
			b.keep(seen)
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !b.handle(c, &seen) {
			return
		}
	}
}

// handle runs a request and answers it. It reports whether the connection goes on.
func (b *backend) handle(c *net.TCPConn, seen *receipt) bool {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	seen.ran = true
	if seen.key != "" {
		seen.repeat = !b.group.first(seen.key, seen.received)
	}
	b.cores <- struct{}{}
	defer func() { <-b.cores }()
	if b.resetAfter != nil {
		if after, yes := b.resetAfter(seen.class); yes {
			time.Sleep(after)
			seen.end = "reset under the request, which had begun"
			b.keep(*seen)
			c.SetLinger(0)
			return false
		}
	}
	if !seen.repeat {
		time.Sleep(time.Duration(float64(b.work[seen.class]) * (0.8 + 0.4*rand.Float64())))
	}
	seen.end = "200"
	b.keep(*seen)
	body := b.id + " " + seen.id + "\n"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// keep keeps a receipt, and writes it to the record.
func (b *backend) keep(r receipt) {
	b.play.note("server %s (cell %d) %s %s key=%s received %.3f ran=%v repeat=%v: %s", r.server, r.cell, r.class, r.id, r.key,
		r.received.Sub(b.play.began).Seconds(), r.ran, r.repeat, r.end)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen = append(b.seen, r)
}

// receipts returns what the server has seen so far.
func (b *backend) receipts() []receipt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]receipt(nil), b.seen...)
}
