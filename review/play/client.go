package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// command is one request of a client, and what became of it.
type command struct {
	id, key string
	method  string
	class   string
	body    int // bytes
	left    time.Duration

	batch    int       // number of the batch with which it was sent; commands of a batch were sent in one write
	place    int       // its place in the batch
	sent     time.Time // when its last byte had been written
	status   int       // 0: none came
	answered time.Time
	problem  string
	ended    time.Time // when its connection ended, if it has no answer
}

var lastID atomic.Int64

// newID returns an id in the form that clients use.
func newID() string { return fmt.Sprintf("%016x", uint64(lastID.Add(1))*0x9b1f03aa5c7e2d4d) }

// text is the command as it is written.
func (c *command) text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n", c.method, c.class, c.id, c.left.Seconds())
	if c.key != "" {
		fmt.Fprintf(&out, "Idempotency-Key: %s\r\n", c.key)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", c.body)
	}
	out.WriteString("\r\n")
	out.WriteString(strings.Repeat("x", c.body))
	return out.String()
}

// sendAtOnce writes commands in one write, and reads their answers in order. It reports whether the connection can be
// used further.
func sendAtOnce(c net.Conn, in *bufio.Reader, commands []*command) (open bool) {
	text := ""
	for _, one := range commands {
		text += one.text()
	}
	written := make(chan struct{})
	go func() {
		io.WriteString(c, text)
		now := time.Now()
		for _, one := range commands {
			one.sent = now
		}
		close(written)
	}()
	var err error
	for _, one := range commands {
		closing := false
		if err == nil {
			closing, err = one.readAnswer(in)
		}
		if err != nil {
			one.problem, one.ended = err.Error(), time.Now()
			continue
		}
		if closing {
			// The answer says that it is the last one: the connection is read to its end.
			if _, err = in.Peek(1); err == nil {
				continue
			}
		}
	}
	if err != nil {
		c.Close()
	}
	<-written
	return err == nil
}

// readAnswer reads one answer; closing says that it is the last of its connection.
func (c *command) readAnswer(in *bufio.Reader) (closing bool, err error) {
	answer, err := http.ReadResponse(in, &http.Request{Method: c.method})
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return false, err
	}
	c.status, c.answered = answer.StatusCode, time.Now()
	if c.status == http.StatusOK && !strings.HasSuffix(string(body), " "+c.id+"\n") {
		c.problem = fmt.Sprintf("another answer's body: %q", body)
	}
	return answer.Close, nil
}

// viewer sends requests of kampklip-aarhus, one after another on one connection, with pauses.
func viewer(p *play, n *node, stop chan struct{}, mu *sync.Mutex, counts map[int]int) {
	steadily(p, n, stop, mu, counts, func(int) *command {
		return &command{id: newID(), method: "GET", class: "viewer-clip", left: 1500 * time.Millisecond}
	})
}

// steadily sends what next returns, one request after another on one connection, with pauses.
func steadily(p *play, n *node, stop chan struct{}, mu *sync.Mutex, counts map[int]int, next func(int) *command) {
	c, in := net.Conn(nil), (*bufio.Reader)(nil)
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(60 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", n.addr, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		one := next(i)
		c.SetDeadline(time.Now().Add(2 * time.Second))
		open := sendAtOnce(c, in, []*command{one})
		p.note("client of %s: %s %s key=%s sent %.3f status=%d %s", n.name, one.class, one.id, one.key, one.sent.Sub(p.began).Seconds(), one.status, one.problem)
		mu.Lock()
		counts[one.status]++
		mu.Unlock()
		if !open {
			c = nil
		}
	}
}
