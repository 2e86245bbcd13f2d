package recorder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/internal/trace"
)

// newConfig returns settings that record everything, in a temporary folder.
func newConfig(t *testing.T) *Config {
	return &Config{Path: filepath.Join(t.TempDir(), "traffic"), FileBytes: 1 << 20, Files: 3, Sample: 1, PerSecond: 100_000, Key: []byte("0123456789abcdef")}
}

// runRecorder calls feed while the recorder runs, and returns once the recorder has written all and ended.
func runRecorder(r *Recorder, feed func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { r.Run(ctx) })
	feed()
	cancel()
	work.Wait()
}

// newTry returns try number i. Each two in a row belong to one order; the second is marked as a repeat.
func newTry(i int) *Try {
	return &Try{StartedAt: time.Now(), Class: "read", Tenant: "acme", Order: fmt.Sprint("order ", i/2), Repeat: i%2 == 1, Outcome: trace.Served, Duration: time.Millisecond}
}

// readTrace returns the records of a trace file.
func readTrace(t *testing.T, path string) (records []trace.Record) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	records, err = trace.ReadAll(raw)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against lost tries, and against names of tenants in the file. The tries of an order have the same hash,
// which depends on the key.
func TestRecords(t *testing.T) {
	c := newConfig(t)
	r := New(c, slog.New(slog.DiscardHandler))
	runRecorder(r, func() {
		for i := range 1000 {
			r.Record(newTry(i))
		}
	})
	records := readTrace(t, c.Path)
	if written, lost := r.Counts(); len(records) != 1000 || written != 1000 || lost != 0 {
		t.Fatalf("%d records read, %d counted as written, %d as lost; want 1000, 1000, 0", len(records), written, lost)
	}
	for i := 0; i < 1000; i += 2 {
		if a, b := records[i], records[i+1]; a.Order != b.Order || a.Repeat || !b.Repeat || a.Tenant == 0 || a.Tenant != records[0].Tenant || i > 0 && a.Order == records[i-1].Order {
			t.Fatalf("wrong hashes or repeat marks for the two tries of an order: %+v, %+v", a, b)
		}
	}
	raw, _ := os.ReadFile(c.Path)
	if bytes.Contains(raw, []byte("acme")) {
		t.Error("the name of a tenant is in the file")
	}
	other := *c
	other.Key = []byte("fedcba9876543210")
	if New(&other, nil).hash("acme") == r.hash("acme") {
		t.Error("the hash does not depend on the key")
	}
	(*Recorder)(nil).Record(newTry(0))
}

// Guards against orders that are recorded with only some of their tries when sampled, and against more tries per
// second than the limit, or lost ones that are not counted.
func TestSampledByOrder(t *testing.T) {
	c := newConfig(t)
	c.Sample = 0.25
	r := New(c, slog.New(slog.DiscardHandler))
	runRecorder(r, func() {
		for i := range 3000 {
			r.Record(newTry(i))
		}
	})
	records := readTrace(t, c.Path)
	tries := map[uint64]int{}
	for _, x := range records {
		tries[x.Order]++
	}
	if len(records) < 600 || len(records) > 900 || len(tries)*2 != len(records) {
		t.Errorf("recorded %d tries of %d orders, out of 3000 and 1500, with a sample of a quarter", len(records), len(tries))
	}
	c = newConfig(t)
	c.PerSecond = 10
	r = New(c, slog.New(slog.DiscardHandler))
	began := time.Now()
	runRecorder(r, func() {
		for i := range 1000 {
			x := newTry(i)
			x.StartedAt = began // so that all fall into one moment, however slow the machine is
			r.Record(x)
		}
	})
	if written, lost := r.Counts(); written != 10 || lost != 990 {
		t.Errorf("%d written, %d lost, want 10 and 990", written, lost)
	}
}

// Guards against a rotation that keeps too many files, or loses or damages records of the files that it keeps.
func TestRotates(t *testing.T) {
	c := newConfig(t)
	c.FileBytes = 4000
	r := New(c, slog.New(slog.DiscardHandler))
	runRecorder(r, func() {
		for i := range 20_000 {
			for before := len(r.tries); before > queueLength/2; before = len(r.tries) {
				time.Sleep(time.Millisecond)
			}
			r.Record(newTry(i))
		}
	})
	files, err := filepath.Glob(c.Path + "*")
	if err != nil || len(files) != 3 {
		t.Fatalf("got files %v, error %v; want 3 files", files, err)
	}
	for _, file := range files {
		if len(readTrace(t, file)) == 0 {
			t.Errorf("%s is empty", file)
		}
	}
	if written, lost := r.Counts(); written != 20_000 || lost != 0 {
		t.Errorf("%d written, %d lost, want 20,000 and 0", written, lost)
	}
}

// failingFile is a file on a disk that is full.
type failingFile struct{ io.WriteCloser }

func (failingFile) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }
func (failingFile) Close() error              { return nil }

// Guards against requests that are blocked by a full disk, by a file that can't be created or by a recorder that does
// not run: the tries are lost, and counted.
func TestFullDiskHoldsUpNobody(t *testing.T) {
	for name, create := range map[string]func(string) (io.WriteCloser, error){
		"full disk": func(string) (io.WriteCloser, error) { return failingFile{}, nil },
		"no file":   func(string) (io.WriteCloser, error) { return nil, errors.New("read-only file system") },
	} {
		r := New(newConfig(t), slog.New(slog.DiscardHandler))
		r.create = create
		runRecorder(r, func() {
			for i := range 10_000 {
				r.Record(newTry(i))
			}
		})
		if written, lost := r.Counts(); written != 0 || lost != 10_000 {
			t.Errorf("%s: %d written, %d lost, want 0 and all 10,000", name, written, lost)
		}
	}
	r := New(newConfig(t), slog.New(slog.DiscardHandler)) // Run is not called
	for i := range queueLength + 100 {
		r.Record(newTry(i))
	}
	if _, lost := r.Counts(); lost != 100 {
		t.Errorf("%d lost, want the 100 that the queue can't hold", lost)
	}
}

// Guards against invalid values that are accepted, errors without their place, and a shipped example that is not valid.
func TestConfig(t *testing.T) {
	if c, err := Load("../../deploy/record.toml"); err != nil || c.Files != 4 || c.Path != filepath.Join("../../deploy", "traffic.trace") {
		t.Errorf("the shipped example: got %+v, error %v", c, err)
	}
	const good = "[record]\npath = \"t\"\nkey = \"00112233445566778899aabbccddeeff\"\n"
	for text, want := range map[string]string{"[record]\npath = \"t\"\nkey = \"0011\"": "f:3: record.key", "[record]\nkey = \"00112233445566778899aabbccddeeff\"": "record.path",
		good + "sample = 1.5": "f:4: record.sample", good + "files = 0": "f:4: record.files", good + "file_bytes = 1": "f:4: record.file_bytes", good + "per_second = 0.5": "f:4: record.per_second",
		good + "speed = 1": "f:4"} {
		if _, err := parse("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) && !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want %q in one line", text, err, want)
		}
	}
}

// BenchmarkTake measures Record while nothing writes: almost all calls find the queue full.
func BenchmarkTake(b *testing.B) {
	c := &Config{Path: filepath.Join(b.TempDir(), "t"), FileBytes: 1 << 30, Files: 1, Sample: 1, PerSecond: maxPerSecond, Key: []byte("0123456789abcdef")}
	r := New(c, slog.New(slog.DiscardHandler))
	x := newTry(1)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(x)
	}
}
