package trace

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// encode returns records as a trace.
func encode(t testing.TB, records []Record) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := NewWriter(&out)
	if err != nil {
		t.Fatal(err)
	}
	for i := range records {
		if err := w.Write(&records[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against values that change when they are written and read.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		us := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour/time.Microsecond)).Draw(rt, name)) * time.Microsecond
		}
		var want []Record
		for range rapid.IntRange(0, 50).Draw(rt, "records") {
			want = append(want, Record{At: us("at"), Class: rapid.StringN(0, 20, maxClassLength).Draw(rt, "class"), Tenant: rapid.Uint64().Draw(rt, "tenant"),
				Order: rapid.Uint64().Draw(rt, "order"), BodySize: rapid.IntRange(0, 1<<20).Draw(rt, "size"), AnswerSize: rapid.IntRange(0, 1<<20).Draw(rt, "answer"),
				Repeat: rapid.Bool().Draw(rt, "repeat"), Outcome: Outcome(rapid.IntRange(0, 4).Draw(rt, "outcome")), Duration: us("took"), Work: us("work"), Patience: us("patience")})
		}
		got, err := ReadAll(encode(t, want))
		if err != nil || !reflect.DeepEqual(got, want) {
			rt.Fatalf("read %v, error %v, want %v", got, err, want)
		}
	})
}

// makeRecords returns n records, one every millisecond.
func makeRecords(n int) (records []Record) {
	for i := range n {
		records = append(records, Record{At: time.Duration(i) * time.Millisecond, Class: "read", Order: uint64(i) * 0x9e3779b97f4a7c15, BodySize: 200, Outcome: Served, Duration: 40 * time.Millisecond})
	}
	return records
}

// Guards against the loss of more than the damaged part: a damaged block costs only itself, a truncated file only its
// last block, and the error is one line. Files that are no trace, or of another version, are rejected.
func TestDamage(t *testing.T) {
	records := makeRecords(20_000)
	good := encode(t, records)
	if got, err := ReadAll(good); err != nil || len(got) != len(records) {
		t.Fatal(len(got), err)
	}
	bad := bytes.Clone(good)
	bad[len(bad)/2] ^= 1
	got, err := ReadAll(bad)
	var damage *Damage
	if !errors.As(err, &damage) || damage.Blocks != 1 || damage.Truncated || len(got) < len(records)*7/10 || len(got) == len(records) || strings.Contains(err.Error(), "\n") {
		t.Errorf("one bit flipped: read %d of %d records, error %v", len(got), len(records), err)
	}
	got, err = ReadAll(good[:len(good)-10])
	if !errors.As(err, &damage) || !damage.Truncated || len(got) < len(records)*7/10 || len(got) == len(records) {
		t.Errorf("truncated: read %d of %d records, error %v", len(got), len(records), err)
	}
	for text, want := range map[string]string{"": "no trace", "PK\x03\x04 something": "no trace", "SLVTRC\x00\x02": "version 2"} {
		if _, err := ReadAll([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q in it", text, err, want)
		}
	}
}

// failingWriter fails all writes after the first failAfter, up to write number failUntil.
type failingWriter struct {
	bytes.Buffer
	writes, failAfter, failUntil int
}

func (d *failingWriter) Write(p []byte) (int, error) {
	if d.writes++; d.writes > d.failAfter && d.writes <= d.failUntil {
		return 0, io.ErrShortWrite
	}
	return d.Buffer.Write(p)
}

// Guards against a trace that is broken for good by a disk that is full for a while: only the blocks of that time are
// lost.
func TestFullDisk(t *testing.T) {
	d := &failingWriter{failAfter: 2, failUntil: 5}
	w, err := NewWriter(d)
	if err != nil {
		t.Fatal(err)
	}
	failed := 0
	for _, r := range makeRecords(40_000) {
		if w.Write(&r) != nil {
			failed++
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	got, err := ReadAll(d.Bytes())
	if err != nil || failed != 3 || len(got) != w.Records || len(got) == 40_000 {
		t.Errorf("%d writes failed, %d records read, %d counted as written, error %v", failed, len(got), w.Records, err)
	}
}

// Guards against a format that grows: a record takes at most 20 bytes in the file.
func TestSize(t *testing.T) {
	if per := float64(len(encode(t, makeRecords(20_000)))) / 20_000; per > 20 {
		t.Errorf("%.1f bytes per record, want at most 20", per)
	}
}

// Guards against a panic on arbitrary bytes, and records that are lost when they are written again.
func FuzzRead(f *testing.F) {
	f.Add(encode(f, makeRecords(3)))
	f.Add([]byte(fileMagic + "\x05\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := ReadAll(text)
		if err == nil && len(got) > 0 {
			if again, err := ReadAll(encode(t, got)); err != nil || len(again) != len(got) {
				t.Errorf("read %d records, and %d after writing them again, error %v", len(got), len(again), err)
			}
		}
	})
}
