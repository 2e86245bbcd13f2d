package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/rig/soak"
	"starlingvalve/internal/standin"
)

// Clients whose answers come in lumps.

const (
	lumpInterval = 120 * time.Millisecond // between two such requests
	lumpTimeout  = 15 * time.Second       // longer than any such answer takes
)

// drawLumps draws a long answer in large lumps, or a short one in lumps of one size.
func drawLumps() standin.Lumps {
	framing := []standin.Framing{standin.ByLength, standin.ByChunks, standin.ByClose}[rand.IntN(3)]
	if rand.IntN(3) == 0 {
		lump := 5000 + rand.IntN(7000)
		pause := time.Duration(250+rand.IntN(100)) * time.Millisecond
		return standin.Lumps{Size: lump * (2 + rand.IntN(4)), Lump: lump, Pause: pause, Framing: framing}
	}
	pause := time.Duration(400+rand.IntN(1200)) * time.Millisecond
	return standin.Lumps{Size: 140_000 + rand.IntN(80_000), Lump: 45_000 + rand.IntN(15_000), Pause: pause, Framing: framing}
}

// requestLumps has clients ask for answers in lumps for length, and records what they get.
func (p *soakRun) requestLumps(ctx context.Context, n *soakNode, length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for began := time.Now(); time.Since(began) < length && ctx.Err() == nil; sleepFor(ctx, lumpInterval) {
		lumps := drawLumps()
		running.Go(func() {
			answer, taken := requestOneLumped(n, lumps, p.profile.Patience)
			if !taken {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lumps = append(p.lumps, answer)
		})
	}
}

// requestOneLumped sends a request and reads its answer. taken is false if no connection was made.
func requestOneLumped(n *soakNode, lumps standin.Lumps, patience time.Duration) (answer soak.LumpAnswer, taken bool) {
	answer = soak.LumpAnswer{ID: fmt.Sprintf("%s-lump-%d", n.name, rand.Int64()), Size: lumps.Size}
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return answer, false
	}
	defer conn.Close()
	answer.Sent = time.Now()
	answer.Deadline = answer.Sent.Add(patience)
	conn.SetDeadline(answer.Sent.Add(lumpTimeout))
	fmt.Fprintf(conn, "GET /read?obj=%s&%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n\r\n",
		answer.ID, lumps.Query(), answer.ID, patience.Seconds())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		answer.EndedAt, answer.Err = time.Now(), err
		return answer, true
	}
	answer.BegunAt = time.Now()
	body, err := io.ReadAll(resp.Body)
	answer.EndedAt = time.Now()
	answer.Status, answer.Received, answer.Err = resp.StatusCode, len(body), err
	line, _, _ := strings.Cut(string(body), "\n")
	answer.Server, _, _ = strings.Cut(line, " ")
	return answer, true
}

// markServerFault records that a fault of a server, or of the path to it, lasts from now on; the returned function ends
// it.
func (p *soakRun) markServerFault(server string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spans := p.serverFaults[server]
	p.serverFaults[server] = append(spans, soak.Span{From: time.Now(), To: time.Now().Add(time.Hour)})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serverFaults[server][len(spans)].To = time.Now()
	}
}
