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

// gatedWriter is a writer whose writes block until open is closed.
type gatedWriter struct {
	entered chan struct{} // receives a value when a write starts
	open    chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// While the underlying writer blocks, lines are lost but Write does not block. Lost lines are counted, and reported in
// the log at the place where they are missing.
func TestReaderThatStops(t *testing.T) {
	writer := &gatedWriter{entered: make(chan struct{}, 1), open: make(chan struct{})}
	queue := New(writer, 3, 0)
	fmt.Fprintln(queue, "first")
	<-writer.entered // the first line has left the queue, and its write blocks
	for i := range 10 {
		fmt.Fprintf(queue, "line %d\n", i)
	}
	if queue.Lost() != 7 {
		t.Errorf("%d lost, want 7", queue.Lost())
	}
	close(writer.open)
	for queue.queued() > 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(queue, "last")
	if !queue.Close() {
		t.Error("not everything was written")
	}
	lines := strings.Split(strings.TrimSpace(writer.got.String()), "\n")
	if len(lines) != 6 || lines[0] != "first" || lines[3] != "line 2" || !strings.Contains(lines[4], "lines=7") ||
		lines[5] != "last" {
		t.Errorf("%q", lines)
	}
}

// queued returns the number of queued lines.
func (q *Queue) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.lines)
}

// The bound on bytes applies as well as that on lines, and a line after Close counts as lost.
func TestBoundInBytes(t *testing.T) {
	writer := &gatedWriter{entered: make(chan struct{}, 1), open: make(chan struct{})}
	queue := New(writer, 0, 1000)
	fmt.Fprintln(queue, "first")
	<-writer.entered
	for range 5 {
		queue.Write(make([]byte, 400))
	}
	if queue.Lost() != 3 {
		t.Errorf("%d lost, want 3", queue.Lost())
	}
	close(writer.open)
	if !queue.Close() || !strings.Contains(writer.got.String(), "lines=3") {
		t.Errorf("closed with %q", writer.got.String()[:20])
	}
	queue.Write([]byte("late"))
	if queue.Lost() != 4 {
		t.Error("a line written after Close is not counted as lost")
	}
}

// With a pipe that nobody reads, Close returns after CloseWait, and the writing goroutine ends because a pipe supports
// deadlines.
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
		t.Error("Close reports that everything was written to a pipe that nobody reads")
	}
	select {
	case <-q.done:
	default:
		t.Error("the writing goroutine is still running")
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
