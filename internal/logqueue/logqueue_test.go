package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a writer that holds each write until it is opened.
type gate struct {
	entered chan struct{}
	open    chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

// A writer that hangs costs lines and no time; what is lost is counted, and told where it is missing.
func TestReaderThatStops(t *testing.T) {
	g := &gate{entered: make(chan struct{}, 1), open: make(chan struct{})}
	q := New(g, 3, 0)
	fmt.Fprintln(q, "first")
	<-g.entered // it hangs in the writer's hands
	for i := range 10 {
		fmt.Fprintf(q, "line %d\n", i)
	}
	if q.Lost() != 7 {
		t.Errorf("%d lost, want 7", q.Lost())
	}
	close(g.open)
	for q.queued() > 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(q, "last")
	if !q.Close() {
		t.Error("not all was written")
	}
	lines := strings.Split(strings.TrimSpace(g.got.String()), "\n")
	if len(lines) != 6 || lines[0] != "first" || lines[3] != "line 2" || !strings.Contains(lines[4], "lines=7") || lines[5] != "last" {
		t.Errorf("%q", lines)
	}
}

func (q *Queue) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.lines)
}

func TestBoundInBytes(t *testing.T) {
	g := &gate{entered: make(chan struct{}, 1), open: make(chan struct{})}
	q := New(g, 0, 1000)
	fmt.Fprintln(q, "first")
	<-g.entered
	for range 5 {
		q.Write(make([]byte, 400))
	}
	if q.Lost() != 3 {
		t.Errorf("%d lost, want 3", q.Lost())
	}
	close(g.open)
	if !q.Close() || !strings.Contains(g.got.String(), "lines=3") {
		t.Errorf("closed with %q", g.got.String()[:20])
	}
	q.Write([]byte("late"))
	if q.Lost() != 4 {
		t.Error("a line after the end is not counted")
	}
}

// Close ends in time with a pipe that nobody reads, and its writer ends too, as the pipe has deadlines.
func TestCloseWithUnreadPipe(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	q := New(w, 0, 0)
	q.Write(make([]byte, DefaultBytes)) // more than a pipe holds
	if q.Close() {
		t.Error("all written, with nobody to read it")
	}
	select {
	case <-q.done:
	default:
		t.Error("the writer goes on")
	}
}

func BenchmarkWrite(b *testing.B) {
	q := New(io.Discard, 0, 0)
	defer q.Close()
	text := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		q.Write(text)
	}
}
