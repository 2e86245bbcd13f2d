package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"

	"starlingvalve/internal/experiment"
)

// journal stores pairs in a file as JSON lines, after a first line that identifies the plan. An incomplete last
// line is discarded.
type journal struct {
	file  *os.File
	pairs []experiment.Pair
}

// journalHead is the first line of a journal.
type journalHead struct {
	Plan     string   `json:"plan"` // hash of all files and names that the runs depend on
	Measures []string `json:"measures"`
}

// openJournal opens or creates the journal of a plan. The plan is identified by these names and, where a name is a
// file, by the file's content; a journal of another plan is an error.
func openJournal(path string, names, measures []string) (*journal, error) {
	hash := xxhash.New()
	for _, n := range names {
		fmt.Fprintf(hash, "%q\n", n)
		if text, err := os.ReadFile(n); err == nil {
			hash.Write(text)
		}
	}
	want := journalHead{fmt.Sprintf("%016x", hash.Sum64()), measures}
	raw, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	opened := &journal{}
	wholeBytes := 0
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		end := wholeBytes + len(lines.Bytes()) + 1
		if end > len(raw) {
			break // incomplete: no end of line
		}
		if n == 1 {
			var head journalHead
			if err := json.Unmarshal(lines.Bytes(), &head); err != nil || head.Plan != want.Plan ||
				!slices.Equal(head.Measures, want.Measures) {
				return nil, fmt.Errorf("%s:1: this is of another scenario or other versions; name another file", path)
			}
		} else {
			var p experiment.Pair
			if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", path, n, err)
			}
			opened.pairs = append(opened.pairs, p)
		}
		wholeBytes = end
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if opened.file, err = os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o666); err != nil {
		return nil, err
	}
	if err := opened.file.Truncate(int64(wholeBytes)); err != nil {
		return nil, err
	}
	if _, err := opened.file.Seek(int64(wholeBytes), 0); err != nil {
		return nil, err
	}
	if wholeBytes == 0 {
		return opened, opened.writeLine(want)
	}
	return opened, nil
}

func (j *journal) add(p experiment.Pair) error { return j.writeLine(p) }

func (j *journal) writeLine(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = j.file.Write(append(raw, '\n'))
	return err
}

// Close closes the file.
func (j *journal) Close() error { return j.file.Close() }
