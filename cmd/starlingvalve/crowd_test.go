package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// idleKind is what an idle client does on a connection before it goes idle.
type idleKind struct {
	name string
	open func(net.Conn) error
}

// idleKinds are the ways in which a client occupies a descriptor of a node without a complete request in flight.
var idleKinds = []idleKind{
	{"no byte sent", func(net.Conn) error { return nil }},
	{"half a head", func(c net.Conn) error {
		_, err := io.WriteString(c, "POST /c HTTP/1.1\r\nHost: h\r\nX-Corr")
		return err
	}},
	{"half a body", func(c net.Conn) error {
		_, err := io.WriteString(c, rawRequest("half", "Content-Length: 9\r\n\r\nhalf"))
		return err
	}},
	{"kept after an answer", func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err
	}},
}

// idleClients are idle clients of one node, which occupy every connection that they can get: each one connects again
// after the node has closed its connection.
type idleClients struct {
	held  atomic.Int64 // connections that are open now
	ended atomic.Int64 // connections that the node has closed or reset
}

const (
	// idlePause is the time between the end of an idle client's connection and its next attempt. All clients together
	// make several hundred connections per second.
	idlePause       = 300 * time.Millisecond
	idleDialTimeout = 2 * time.Second // timeout for establishing a connection
)

// startIdleClients starts idle clients, which use all idleKinds in turn. They stop when the test ends.
func startIdleClients(t *testing.T, listen string, clients int) *idleClients {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	clientsRunning := &idleClients{}
	for i := range clients {
		kind := idleKinds[i%len(idleKinds)]
		running.Go(func() {
			for ctx.Err() == nil {
				clientsRunning.holdConnection(ctx, listen, kind)
				select {
				case <-ctx.Done():
				case <-time.After(idlePause):
				}
			}
		})
	}
	return clientsRunning
}

// holdConnection makes one connection and holds it until the node closes it or ctx ends.
func (w *idleClients) holdConnection(ctx context.Context, listen string, kind idleKind) {
	dialer := net.Dialer{Timeout: idleDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", listen)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	w.held.Add(1)
	defer w.held.Add(-1)
	if kind.open(conn) == nil {
		io.Copy(io.Discard, conn)
	}
	if ctx.Err() == nil {
		w.ended.Add(1)
	}
}

// waitForEnded waits until the node has closed as many connections as there are clients, which shows that it is at
// its limit.
func (w *idleClients) waitForEnded(t *testing.T, clients int) {
	t.Helper()
	from := w.ended.Load()
	testkit.WaitFor(t, "the idle clients do not fill the node", func() bool { return w.ended.Load()-from >= int64(clients) })
}
