// Package recorder writes what arrives at a node, and what becomes of it, into trace files (internal/trace) beside the path of a
// request: whatever the disk does, no request waits for it or fails by it. What finds no room is lost and counted.
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

// Config is a record file, checked.
type Config struct {
	Path      string  // of the present trace; older ones have .1, .2, ... behind it
	FileBytes int64   // a trace is closed and a new one begun once it holds so many
	Files     int     // that are kept, the present one too
	Sample    float64 // part of the orders that is recorded, by a hash of each: an order's tries are in or out together
	PerSecond float64 // tries recorded a second, at most; more are lost, and counted
	Key       []byte  // of the hashes; nodes with the same one have the same hashes
}

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
	leastKey              = 16 // bytes
	queue                 = 4096
	flushEvery            = time.Second
	retryAfter            = 5 * time.Second // a disk that failed is tried again
)

// Load reads a record file and checks all of it. An error is one line with file, line and key.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw)
}

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
		return nil, fault("record.key", "want %d bytes at least as hexadecimal digits, the same at all nodes", leastKey)
	}
	switch {
	case c.Path == "":
		return nil, fault("record.path", "want a file")
	case c.FileBytes < leastBytes || c.FileBytes > mostBytes:
		return nil, fault("record.file_bytes", "want %d to %d, have %d", leastBytes, int64(mostBytes), c.FileBytes)
	case c.Files < 1 || c.Files > mostFiles:
		return nil, fault("record.files", "want 1 to %d, have %d", mostFiles, c.Files)
	case !(c.Sample > 0 && c.Sample <= 1):
		return nil, fault("record.sample", "want over 0 and 1 at most, have %v", c.Sample)
	case !(c.PerSecond >= 1 && c.PerSecond <= mostPerSecond):
		return nil, fault("record.per_second", "want 1 to %d, have %v", mostPerSecond, c.PerSecond)
	}
	if !filepath.IsAbs(c.Path) {
		c.Path = filepath.Join(filepath.Dir(path), c.Path)
	}
	return c, nil
}

func set[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

// Try is what a front knows of a try once it is over. Tenant and Order are hashed before anything is kept of them.
type Try struct {
	Began         time.Time
	Class         string
	Tenant, Order string // Order ties an order's tries together: its idempotency key, or else the try's own id
	Size, Answer  int
	Repeat        bool
	Outcome       trace.Outcome
	Took, Work    time.Duration
	Patience      time.Duration
}

// Recorder takes tries and writes them. A nil *Recorder takes none.
type Recorder struct {
	config  *Config
	log     *slog.Logger
	began   time.Time
	limit   *rate.Limiter
	tries   chan trace.Record
	lost    atomic.Int64
	taken   atomic.Int64
	create  func(path string) (io.WriteCloser, error)
	present io.WriteCloser
	writer  *trace.Writer
}

// New makes a recorder; Run writes what it takes.
func New(c *Config, log *slog.Logger) *Recorder {
	return &Recorder{config: c, log: log, began: time.Now(), limit: rate.NewLimiter(rate.Limit(c.PerSecond), int(math.Ceil(c.PerSecond))),
		tries: make(chan trace.Record, queue), create: func(path string) (io.WriteCloser, error) { return os.Create(path) }}
}

// Take takes a try. It never blocks, and does nothing for those that are not sampled.
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

// hash is keyed: without the key nobody can try names until one fits.
func (r *Recorder) hash(text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(r.config.Key)
	d.WriteString(text)
	d.Write(r.config.Key)
	return d.Sum64()
}

// Counts gives the tries that have been written and those that were lost.
func (r *Recorder) Counts() (written, lost int64) { return r.taken.Load(), r.lost.Load() }

// Run writes until ctx ends, and then what is left. It says in the log what was lost, at most once in retryAfter.
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

// open begins a new trace and makes room for it among the old ones.
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

func (r *Recorder) close() {
	if r.present != nil {
		if err := r.present.Close(); err != nil {
			r.log.Warn("recording", "file", r.config.Path, "err", err)
		}
	}
	r.present, r.writer = nil, nil
}
