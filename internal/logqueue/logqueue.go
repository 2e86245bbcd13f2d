// Package logqueue keeps a slow log reader from blocking the program: log lines are queued, up to a bound, and written
// by a goroutine of their own. If the reader stops (a full pipe, a stopped terminal), lines are lost and counted, and
// nothing else happens.
package logqueue

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// DefaultLines is the default for the most queued lines. If a whole fleet fails at once, about 200 lines of 100
	// bytes are logged.
	DefaultLines = 1024
	// DefaultBytes is the default for the most queued bytes, over all lines.
	DefaultBytes = 128 << 10
	// CloseWait is how long Close waits until the queued lines are written.
	CloseWait = 200 * time.Millisecond
)

// Queue is an io.Writer whose Write never blocks. It must be made by New.
type Queue struct {
	w        io.Writer
	maxLines int
	maxBytes int
	done     chan struct{} // closed once the writing goroutine has ended

	mu            sync.Mutex
	changed       sync.Cond // signalled when a line is queued, or the queue is closing
	lines         []line
	bytes         int    // total length of lines
	lostSinceLine uint64 // lines lost since the last one was queued
	lost          uint64 // lines lost in all
	closing       bool
}

// line is a queued log line.
type line struct {
	text       []byte
	lostBefore uint64 // number of lines lost right before this one
}

// New returns a queue that writes to w, and starts its writing goroutine, which Close ends. It holds at most the given
// numbers of lines and bytes; 0 stands for the defaults.
func New(w io.Writer, lines, bytes int) *Queue {
	if lines <= 0 {
		lines = DefaultLines
	}
	if bytes <= 0 {
		bytes = DefaultBytes
	}
	queue := &Queue{w: w, maxLines: lines, maxBytes: bytes, done: make(chan struct{})}
	queue.changed.L = &queue.mu
	go queue.run()
	return queue
}

// Write queues one line, or counts it as lost if the queue is full or closing. It reports success either way, as a
// logger cannot handle the error. It keeps no reference to p.
func (q *Queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing || len(q.lines) >= q.maxLines || q.bytes+len(p) > q.maxBytes {
		q.lostSinceLine++
		q.lost++
		return len(p), nil
	}
	q.lines = append(q.lines, line{append([]byte(nil), p...), q.lostSinceLine})
	q.bytes += len(p)
	q.lostSinceLine = 0
	q.changed.Signal()
	return len(p), nil
}

// Lost returns the number of lines lost so far.
func (q *Queue) Lost() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}

// Close rejects further lines, and waits until the queued ones are written, for at most CloseWait. A write that still
// blocks then is ended through a deadline if w supports one, as a non-blocking pipe does. Otherwise the system call
// cannot be ended, and the writing goroutine stays until the process exits: Close should be the last thing that a
// process does. It reports whether everything was written.
func (q *Queue) Close() bool {
	q.mu.Lock()
	q.closing = true
	q.changed.Signal()
	q.mu.Unlock()
	timer := time.NewTimer(CloseWait)
	defer timer.Stop()
	select {
	case <-q.done:
		return true
	case <-timer.C:
	}
	if d, ok := q.w.(interface{ SetWriteDeadline(time.Time) error }); ok && d.SetWriteDeadline(time.Now()) == nil {
		<-q.done
	}
	return false
}

// run writes the queued lines, one for each call of Write. Where lines were lost it writes a line with their number.
func (q *Queue) run() {
	defer close(q.done)
	for {
		q.mu.Lock()
		for len(q.lines) == 0 && !q.closing {
			q.changed.Wait()
		}
		if len(q.lines) == 0 {
			lost := q.lostSinceLine
			q.lostSinceLine = 0
			q.mu.Unlock()
			q.writeLost(lost)
			return
		}
		next := q.lines[0]
		q.lines[0] = line{}
		q.lines = q.lines[1:]
		q.bytes -= len(next.text)
		q.mu.Unlock()
		q.writeLost(next.lostBefore)
		q.w.Write(next.text)
	}
}

// writeLost writes a log line with the number of lost lines, if there are any.
func (q *Queue) writeLost(n uint64) {
	if n > 0 {
		slog.New(slog.NewTextHandler(q.w, nil)).Warn("log lines lost: the log's reader is too slow", "lines", n)
	}
}
