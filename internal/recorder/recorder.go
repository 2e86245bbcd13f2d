// Package recorder records the requests that arrive at a node, and how they end, in trace files (package trace).
// Writing is asynchronous: no request waits for the disk or fails because of it. What does not fit in the queue, or
// can't be written, is lost and counted.
package recorder

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"starlingvalve/internal/tomlfile"
	"starlingvalve/internal/trace"
)

// Config is a validated record file.
type Config struct {
	Path      string  // of the current trace; the older ones have .1, .2, ... appended, .1 being the newest
	FileBytes int64   // size at which a trace is closed and a new one begun
	Files     int     // number of files that are kept, with the current one
	Sample    float64 // share of the orders that is recorded, by hash: with all tries or not at all
	PerSecond float64 // limit of tries recorded per second; more are lost, and counted
	Key       []byte  // key of the hashes; nodes with the same key write the same hashes for a tenant and an order
}

// fileFormat is the layout of the TOML file.
type file struct {
	Record struct {
		Path      string   `toml:"path"`
		FileBytes *int64   `toml:"file_bytes"`
		Files     *int     `toml:"files"`
		Sample    *float64 `toml:"sample"`
		PerSecond *float64 `toml:"per_second"`
		Key       string   `toml:"key"`
	} `toml:"record"`
}

const (
	leastBytes, mostBytes = 64 << 10, 1 << 34
	mostFiles             = 1000
	mostPerSecond         = 100_000
	leastKey              = 16
	queue                 = 4096 // tries that wait to be written
	flushEvery            = time.Second
	retryAfter            = 5 * time.Second // after a failed write; and between log lines about losses
)

// Load reads and validates a record file. An error in the file is reported as one line with file, line and key.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw)
}

// parse validates the text of a record file. A relative record.path starts at the folder of path.
func parse(path string, raw []byte) (*Config, error) {
	var f file
	if err := tomlfile.Decode(path, raw, &f); err != nil {
		return nil, err
	}
	fault := tomlfile.KeyErrors(path, raw)
	c := &Config{Path: f.Record.Path, FileBytes: 64 << 20, Files: 4, Sample: 1, PerSecond: 5000}
	set(&c.FileBytes, f.Record.FileBytes)
	set(&c.Files, f.Record.Files)
	set(&c.Sample, f.Record.Sample)
	set(&c.PerSecond, f.Record.PerSecond)
	var err error
	if c.Key, err = hex.DecodeString(f.Record.Key); err != nil || len(c.Key) < leastKey {
		return nil, fault("record.key", "want at least %d bytes as hexadecimal digits, the same at all nodes", leastKey)
	}
	switch {
	case c.Path == "":
		return nil, fault("record.path", "want the path of a file")
	case c.FileBytes < leastBytes || c.FileBytes > mostBytes:
		return nil, fault("record.file_bytes", "want %d to %d, have %d", leastBytes, int64(mostBytes), c.FileBytes)
	case c.Files < 1 || c.Files > mostFiles:
		return nil, fault("record.files", "want 1 to %d, have %d", mostFiles, c.Files)
	case !(c.Sample > 0 && c.Sample <= 1):
		return nil, fault("record.sample", "want over 0 and at most 1, have %v", c.Sample)
	case !(c.PerSecond >= 1 && c.PerSecond <= mostPerSecond):
		return nil, fault("record.per_second", "want 1 to %d, have %v", mostPerSecond, c.PerSecond)
	}
	if !filepath.IsAbs(c.Path) {
		c.Path = filepath.Join(filepath.Dir(path), c.Path)
	}
	return c, nil
}

// setIfGiven overwrites a default with a value of the file, if the file has one.
func set[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

// Try is one finished request of a client, from which a trace.Record is made. Tenant and Order are recorded only as
// hashes.
type Try struct {
	Began         time.Time
	Class         string
	Tenant, Order string // Order is the same for all tries of an order: the idempotency key, or else the id of the request
	Size, Answer  int
	Repeat        bool
	Outcome       trace.Outcome
	Took, Work    time.Duration
	Patience      time.Duration
}

// Recorder queues tries and writes them to trace files. It is safe for concurrent use. A nil *Recorder records nothing.
type Recorder struct {
	config  *Config
	log     *slog.Logger
	began   time.Time
	limit   *rate.Limiter
	tries   chan trace.Record
	lost    atomic.Int64 // tries that were not written
	taken   atomic.Int64 // tries that were written
	create  func(path string) (io.WriteCloser, error)
	present io.WriteCloser // the current trace; nil: none is open
	writer  *trace.Writer  // nil: no trace is open
}

// New returns a recorder. Its tries are written only while Run runs.
func New(c *Config, log *slog.Logger) *Recorder {
	return &Recorder{config: c, log: log, began: time.Now(), limit: rate.NewLimiter(rate.Limit(c.PerSecond), int(math.Ceil(c.PerSecond))),
		tries: make(chan trace.Record, queue), create: func(path string) (io.WriteCloser, error) { return os.Create(path) }}
}

// Record queues a try, if its order is sampled. It never blocks: over the rate limit, or with a full queue, the try
// is lost.
func (r *Recorder) Take(t *Try) {
	if r == nil {
		return
	}
	order := r.hash(t.Order)
	if float64(order)/(1<<64) >= r.config.Sample {
		return
	}
	if !r.limit.AllowN(t.Began.Add(t.Took), 1) {
		r.lost.Add(1)
		return
	}
	record := trace.Record{At: max(0, t.Began.Sub(r.began)).Truncate(time.Microsecond), Class: t.Class, Order: order | 1, Size: t.Size, Answer: t.Answer, Repeat: t.Repeat,
		Outcome: t.Outcome, Took: t.Took, Work: t.Work, Patience: t.Patience}
	if t.Tenant != "" {
		record.Tenant = r.hash(t.Tenant) | 1
	}
	select {
	case r.tries <- record:
	default:
		r.lost.Add(1)
	}
}

// hash returns the keyed hash of a text. Without the key, nobody can find a name by hashing candidates.
func (r *Recorder) hash(text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(r.config.Key)
	d.WriteString(text)
	d.Write(r.config.Key)
	return d.Sum64()
}

// Counts returns the number of tries that have been written and of those that were lost.
func (r *Recorder) Counts() (written, lost int64) { return r.taken.Load(), r.lost.Load() }

// Run writes the queued tries until ctx ends, and then those that are left. After a failed write, tries are lost for
// retryInterval before the next file is tried. Losses are logged at most once per retryInterval.
func (r *Recorder) Run(ctx context.Context) {
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	held, retry, told, toldAt := int64(0), time.Time{}, int64(0), time.Time{}
	fail := func(err error) {
		r.lost.Add(held)
		held = 0
		r.close()
		retry = time.Now().Add(retryAfter)
		r.log.Warn("recording", "file", r.config.Path, "err", err)
	}
	flush := func() {
		if r.writer == nil || held == 0 {
			return
		}
		if err := r.writer.Flush(); err != nil {
			fail(err)
			return
		}
		r.taken.Add(held)
		held = 0
		if r.writer.Bytes >= r.config.FileBytes {
			r.close()
		}
	}
	take := func(record trace.Record) {
		if r.writer == nil {
			if time.Now().Before(retry) {
				r.lost.Add(1)
				return
			}
			if err := r.open(); err != nil {
				r.lost.Add(1)
				fail(err)
				return
			}
		}
		held++
		before := r.writer.Bytes
		if err := r.writer.Write(&record); err != nil {
			fail(err)
		} else if r.writer.Bytes > before {
			r.taken.Add(held)
			held = 0
			if r.writer.Bytes >= r.config.FileBytes {
				r.close()
			}
		}
	}
	for {
		select {
		case record := <-r.tries:
			take(record)
		case <-tick.C:
			flush()
			if lost := r.lost.Load(); lost > told && time.Since(toldAt) >= retryAfter {
				r.log.Warn("recording", "lost", lost-told)
				told, toldAt = lost, time.Now()
			}
		case <-ctx.Done():
			for {
				select {
				case record := <-r.tries:
					take(record)
					continue
				default:
				}
				break
			}
			flush()
			r.close()
			return
		}
	}
}

// openFile renames the older traces, overwriting the oldest if there are too many, and starts a new one.
func (r *Recorder) open() error {
	for i := r.config.Files - 1; i >= 1; i-- {
		from := r.config.Path
		if i > 1 {
			from = fmt.Sprintf("%s.%d", r.config.Path, i-1)
		}
		if err := os.Rename(from, fmt.Sprintf("%s.%d", r.config.Path, i)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	f, err := r.create(r.config.Path)
	if err != nil {
		return err
	}
	w, err := trace.NewWriter(f)
	if err != nil {
		f.Close()
		return err
	}
	r.present, r.writer = f, w
	return nil
}

// closeFile closes the current trace, if there is one.
func (r *Recorder) close() {
	if r.present != nil {
		if err := r.present.Close(); err != nil {
			r.log.Warn("recording", "file", r.config.Path, "err", err)
		}
	}
	r.present, r.writer = nil, nil
}
