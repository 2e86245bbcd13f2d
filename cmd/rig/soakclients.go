package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/rig/soak"
	"starlingvalve/internal/standin"
)

// Clients that make a node hold memory, that send large requests, or whose ids come again.

const (
	occupyingClients = 300                    // more than a node's memory has room for
	occupyPause      = 100 * time.Millisecond // between two pieces of a slow client
	largeInterval    = 150 * time.Millisecond // between two large requests
	largestRequest   = 1500 << 10             // bytes
	largeLinger      = 4 * time.Second        // clients of large requests wait so long beyond their time
	repeatInterval   = 50 * time.Millisecond  // between two ids that come again
	repeatWithin     = 100 * time.Millisecond // longest time until such a client leaves
	repeatAfter      = 300 * time.Millisecond // longest time from then until the id comes again
	answerTimeout    = 4 * time.Second
)

// occupy has many clients hold memory of a node for length.
func (p *soakRun) occupy(ctx context.Context, n *soakNode, length time.Duration) {
	n.mu.Lock()
	n.pressureSpans = append(n.pressureSpans, soak.Span{From: time.Now(), To: time.Now().Add(length)})
	n.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var fields strings.Builder
	for i := range 1700 {
		fmt.Fprintf(&fields, "f%x:v\r\n", i)
	}
	body := partialHead + "X-Correlation-Id: %s-slow-%d\r\nX-Time-Left: 2\r\nContent-Length: 1000000\r\n\r\n"
	var running sync.WaitGroup
	defer running.Wait()
	for i := range occupyingClients {
		text, piece := partialHead+fields.String(), 1<<10
		if i%2 == 1 {
			text, piece = fmt.Sprintf(body, n.name, rand.Int64())+strings.Repeat("b", 200<<10), 50<<10
		}
		running.Go(func() {
			for ctx.Err() == nil {
				writeInPieces(ctx, n.listen, text, piece)
				sleepFor(ctx, occupyPause)
			}
		})
	}
}

// writeInPieces writes a text on a new connection, with a pause after each piece, and keeps the connection until it or
// ctx ends.
func writeInPieces(ctx context.Context, addr, text string, piece int) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	for text != "" {
		size := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:size]); err != nil {
			return
		}
		text = text[size:]
		sleepFor(ctx, occupyPause)
	}
	io.Copy(io.Discard, conn)
}

// sendLarge has clients send large requests for length, and records the answers.
func (p *soakRun) sendLarge(ctx context.Context, n *soakNode, length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for began := time.Now(); time.Since(began) < length && ctx.Err() == nil; sleepFor(ctx, largeInterval) {
		size := 70<<10 + rand.IntN(largestRequest-70<<10)
		running.Go(func() {
			if answer, taken := sendOneLarge(n, size, p.profile.Patience); taken {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.large = append(p.large, answer)
			}
		})
	}
}

// sendOneLarge sends a request with a body of so many bytes. taken is false if its connection ended before all of it was
// written, without an answer.
func sendOneLarge(n *soakNode, size int, patience time.Duration) (answer standin.Answer, taken bool) {
	answer = standin.Answer{ID: fmt.Sprintf("%s-large-%d", n.name, rand.Int64()), Class: "order"}
	answer.Order = answer.ID
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return answer, false
	}
	defer conn.Close()
	written := make(chan error, 1)
	answer.Sent = time.Now()
	var lastByteAt time.Time
	go func() {
		_, err := fmt.Fprintf(conn, "POST /order?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n"+
			"Content-Length: %d\r\n\r\n%s", answer.ID, answer.ID, patience.Seconds(), size, strings.Repeat("b", size))
		lastByteAt = time.Now()
		written <- err
	}()
	conn.SetReadDeadline(time.Now().Add(patience + largeLinger))
	readResponse(conn, &answer)
	answer.EndedAt = time.Now()
	conn.SetWriteDeadline(time.Now())
	err = <-written
	if err != nil { // the node has not taken the request, but may have answered it
		answer.Deadline = answer.EndedAt.Add(patience)
		return answer, answer.Status != 0
	}
	answer.Deadline = lastByteAt.Add(patience)
	return answer, true
}

// readResponse reads a response into an answer.
func readResponse(conn net.Conn, answer *standin.Answer) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		answer.Failure = err.Error()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			answer.Failure = "no answer"
		}
		return
	}
	body, err := io.ReadAll(resp.Body)
	answer.Status = resp.StatusCode
	if err != nil {
		answer.Failure = err.Error()
	}
	answer.FirstLine, _, _ = strings.Cut(string(body), "\n")
}

// repeatIDs has clients send requests with an effect and leave, and their ids come again, for length.
func (p *soakRun) repeatIDs(ctx context.Context, n *soakNode, length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for began := time.Now(); time.Since(began) < length && ctx.Err() == nil; sleepFor(ctx, repeatInterval) {
		running.Go(func() { p.repeatID(n) })
	}
}

// repeatID sends a request, leaves, and sends the id again, on connections of their own. Both sendings have an order of
// their own, as the second may run at a process that cannot know of the first.
func (p *soakRun) repeatID(n *soakNode) {
	repeated := soak.RepeatedID{ID: fmt.Sprintf("%s-repeat-%d", n.name, rand.Int64()), Node: n.name}
	send := func(part int) net.Conn {
		conn, err := net.DialTimeout("tcp", n.listen, time.Second)
		if err != nil {
			return nil
		}
		fmt.Fprintf(conn, "POST /order?obj=%s-%d HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n"+
			"Content-Length: 0\r\n\r\n", repeated.ID, part, repeated.ID, p.profile.Patience.Seconds())
		return conn
	}
	repeated.Sent = time.Now()
	first := send(0)
	if first == nil {
		return
	}
	time.Sleep(rand.N(repeatWithin))
	first.Close()
	time.Sleep(rand.N(repeatAfter))
	repeated.RepeatedAt = time.Now()
	if second := send(1); second != nil {
		second.SetReadDeadline(time.Now().Add(answerTimeout))
		http.ReadResponse(bufio.NewReader(second), nil)
		second.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeated = append(p.repeated, repeated)
}

// recordResources records the most that a process has used of what its settings limit.
func (p *soakRun) recordResources(n *soakNode, c *child, name string) {
	now := soak.Resources{Node: name, MemoryKB: c.peakMemory(), MaxMemoryKB: soakMemoryMB << 10, MaxDescriptors: soakSockets}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid)); err == nil {
		now.Descriptors = len(files)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now.Descriptors = max(now.Descriptors, p.resources[name].Descriptors)
	if now.MemoryKB > 0 {
		p.resources[name] = now
	}
}
