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
type fileFormat struct {
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
	minFileBytes, maxFileBytes = 64 << 10, 1 << 34
	maxFiles                   = 1000
	maxPerSecond               = 100_000
	minKeyBytes                = 16
	queueLength                = 4096 // tries that wait to be written
	flushInterval              = time.Second
	retryInterval              = 5 * time.Second // after a failed write; and between log lines about losses
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
	var file fileFormat
	if err := tomlfile.Decode(path, raw, &file); err != nil {
		return nil, err
	}
	fault := tomlfile.KeyErrors(path, raw)
	config := &Config{Path: file.Record.Path, FileBytes: 64 << 20, Files: 4, Sample: 1, PerSecond: 5000}
	setIfGiven(&config.FileBytes, file.Record.FileBytes)
	setIfGiven(&config.Files, file.Record.Files)
	setIfGiven(&config.Sample, file.Record.Sample)
	setIfGiven(&config.PerSecond, file.Record.PerSecond)
	var err error
	if config.Key, err = hex.DecodeString(file.Record.Key); err != nil || len(config.Key) < minKeyBytes {
		return nil, fault("record.key", "want at least %d bytes as hexadecimal digits, the same at all nodes", minKeyBytes)
	}
	switch {
	case config.Path == "":
		return nil, fault("record.path", "want the path of a file")
	case config.FileBytes < minFileBytes || config.FileBytes > maxFileBytes:
		return nil, fault("record.file_bytes", "want %d to %d, have %d", minFileBytes, int64(maxFileBytes), config.FileBytes)
	case config.Files < 1 || config.Files > maxFiles:
		return nil, fault("record.files", "want 1 to %d, have %d", maxFiles, config.Files)
	case !(config.Sample > 0 && config.Sample <= 1):
		return nil, fault("record.sample", "want over 0 and at most 1, have %v", config.Sample)
	case !(config.PerSecond >= 1 && config.PerSecond <= maxPerSecond):
		return nil, fault("record.per_second", "want 1 to %d, have %v", maxPerSecond, config.PerSecond)
	}
	if !filepath.IsAbs(config.Path) {
		config.Path = filepath.Join(filepath.Dir(path), config.Path)
	}
	return config, nil
}

// setIfGiven overwrites a default with a value of the file, if the file has one.
func setIfGiven[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

// Try is one finished request of a client, from which a trace.Record is made. Tenant and Order are recorded only as
// hashes.
type Try struct {
	StartedAt            time.Time
	Class                string
	Tenant, Order        string // Order is the same for all tries of an order: an idempotency key, or else the request id
	BodySize, AnswerSize int
	Repeat               bool
	Outcome              trace.Outcome
	Duration, Work       time.Duration
	Patience             time.Duration
}

// Recorder queues tries and writes them to trace files. It is safe for concurrent use. A nil *Recorder records nothing.
type Recorder struct {
	config    *Config
	log       *slog.Logger
	startedAt time.Time
	limit     *rate.Limiter
	tries     chan trace.Record
	lost      atomic.Int64 // tries that were not written
	written   atomic.Int64 // tries that were written
	create    func(path string) (io.WriteCloser, error)
	file      io.WriteCloser // the current trace; nil: none is open
	writer    *trace.Writer  // nil: no trace is open
}

// New returns a recorder. Its tries are written only while Run runs.
func New(c *Config, log *slog.Logger) *Recorder {
	return &Recorder{config: c, log: log, startedAt: time.Now(), limit: rate.NewLimiter(rate.Limit(c.PerSecond), int(math.Ceil(c.PerSecond))),
		tries: make(chan trace.Record, queueLength), create: func(path string) (io.WriteCloser, error) { return os.Create(path) }}
}

// Record queues a try, if its order is sampled. It never blocks: over the rate limit, or with a full queue, the try
// is lost.
func (r *Recorder) Record(t *Try) {
	if r == nil {
		return
	}
	order := r.hash(t.Order)
	if float64(order)/(1<<64) >= r.config.Sample {
		return
	}
	if !r.limit.AllowN(t.StartedAt.Add(t.Duration), 1) {
		r.lost.Add(1)
		return
	}
	record := trace.Record{At: max(0, t.StartedAt.Sub(r.startedAt)).Truncate(time.Microsecond), Class: t.Class, Order: order | 1, BodySize: t.BodySize, AnswerSize: t.AnswerSize, Repeat: t.Repeat,
		Outcome: t.Outcome, Duration: t.Duration, Work: t.Work, Patience: t.Patience}
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
func (r *Recorder) Counts() (written, lost int64) { return r.written.Load(), r.lost.Load() }

// Run writes the queued tries until ctx ends, and then those that are left. After a failed write, tries are lost for
// retryInterval before the next file is tried. Losses are logged at most once per retryInterval.
func (r *Recorder) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	unflushed, retryAt, loggedLost, loggedAt := int64(0), time.Time{}, int64(0), time.Time{}
	fail := func(err error) {
		r.lost.Add(unflushed)
		unflushed = 0
		r.closeFile()
		retryAt = time.Now().Add(retryInterval)
		r.log.Warn("recording", "file", r.config.Path, "err", err)
	}
	flush := func() {
		if r.writer == nil || unflushed == 0 {
			return
		}
		if err := r.writer.Flush(); err != nil {
			fail(err)
			return
		}
		r.written.Add(unflushed)
		unflushed = 0
		if r.writer.Bytes >= r.config.FileBytes {
			r.closeFile()
		}
	}
	write := func(record trace.Record) {
		if r.writer == nil {
			if time.Now().Before(retryAt) {
				r.lost.Add(1)
				return
			}
			if err := r.openFile(); err != nil {
				r.lost.Add(1)
				fail(err)
				return
			}
		}
		unflushed++
		before := r.writer.Bytes
		if err := r.writer.Write(&record); err != nil {
			fail(err)
		} else if r.writer.Bytes > before {
			r.written.Add(unflushed)
			unflushed = 0
			if r.writer.Bytes >= r.config.FileBytes {
				r.closeFile()
			}
		}
	}
	for {
		select {
		case record := <-r.tries:
			write(record)
		case <-tick.C:
			flush()
			if lost := r.lost.Load(); lost > loggedLost && time.Since(loggedAt) >= retryInterval {
				r.log.Warn("recording", "lost", lost-loggedLost)
				loggedLost, loggedAt = lost, time.Now()
			}
		case <-ctx.Done():
			for {
				select {
				case record := <-r.tries:
					write(record)
					continue
				default:
				}
				break
			}
			flush()
			r.closeFile()
			return
		}
	}
}

// openFile renames the older traces, overwriting the oldest if there are too many, and starts a new one.
func (r *Recorder) openFile() error {
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
	r.file, r.writer = f, w
	return nil
}

// closeFile closes the current trace, if there is one.
func (r *Recorder) closeFile() {
	if r.file != nil {
		if err := r.file.Close(); err != nil {
			r.log.Warn("recording", "file", r.config.Path, "err", err)
		}
	}
	r.file, r.writer = nil, nil
}
