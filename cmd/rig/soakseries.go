package main

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"starlingvalve/internal/rig/soak"
)

// Series of signals, and idle clients that take all connections.

const (
	seriesGap       = 50 * time.Millisecond // between two signals
	pressureClients = 300                   // more than a node's file descriptors allow
	// partialHead is a request head without its end.
	partialHead = "POST /order HTTP/1.1\r\nHost: api.internal\r\n"
)

// peerAddress returns a UDP address that is free now.
func peerAddress() (string, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// restartWithSecondTerm ends the process by SIGTERM, sends a second SIGTERM while it drains, and starts another one.
func (n *soakNode) restartWithSecondTerm(ctx context.Context) error {
	n.mu.Lock()
	c := n.process
	n.mu.Unlock()
	again := time.AfterFunc(seriesGap, func() { c.cmd.Process.Signal(syscall.SIGTERM) })
	defer again.Stop()
	return n.restart(ctx, 0)
}

// restartWithTermAtStart ends the process, sends SIGTERM to the next one the time after its start, which may be before
// that one serves, and starts a third one.
func (n *soakNode) restartWithTermAtStart(ctx context.Context, after time.Duration) error {
	n.end()
	early, err := n.begin(0, false)
	if err != nil {
		return err
	}
	sleepFor(ctx, after)
	early.cmd.Process.Signal(syscall.SIGTERM)
	killAt := time.Now().Add(min(n.run.profile.Patience, longestEnd) + killAfterEnd)
	n.endOrKill(early, killAt) // it may end before it could handle signals; it had accepted no request then
	n.mu.Lock()
	n.ends = append(n.ends, time.Now())
	n.countViolations(early)
	n.mu.Unlock()
	return n.start(ctx, 0, false)
}

// handoverWithTerm starts a successor, and sends SIGTERM to the present process while the successor still prepares.
func (n *soakNode) handoverWithTerm(ctx context.Context) error {
	n.mu.Lock()
	before := n.process
	n.handovers = append(n.handovers, soak.Span{From: time.Now(), To: time.Now().Add(soakReadyWait)})
	n.mu.Unlock()
	began := time.Now()
	next, err := n.begin(0, true)
	if err != nil {
		return err
	}
	sleepFor(ctx, seriesGap)
	n.terminate(before)
	err = n.awaitServing(ctx, next, began)
	n.mu.Lock()
	n.handovers[len(n.handovers)-1].To = time.Now()
	n.mu.Unlock()
	return err
}

// applyConnectionPressure has idle clients take all connections that a node allows, for length. Half of the clients stop
// in the middle of a request head.
func (p *soakRun) applyConnectionPressure(ctx context.Context, n *soakNode, length time.Duration) {
	from := time.Now()
	n.mu.Lock()
	n.pressureSpans = append(n.pressureSpans, soak.Span{From: from, To: from.Add(length)})
	n.mu.Unlock()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for i := range pressureClients {
		c, err := net.DialTimeout("tcp", n.listen, time.Second)
		if err != nil {
			break
		}
		open = append(open, c)
		if i%2 == 0 {
			io.WriteString(c, partialHead)
		}
	}
	sleepFor(ctx, max(0, length-time.Since(from)))
}
