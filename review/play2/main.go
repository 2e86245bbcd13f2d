// Command play2 plays the cases 6 to 10 of the review: it starts the project's programs as processes, with stand-ins for
// clients, servers, discovery and the ways between nodes, and tells by its exit code whether a rule was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes, as the issue wants them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitVoid   = 2 // the case could not run
)

// playLimit ends a play that hangs, in time for the 120 s that a case may take.
const playLimit = 105 * time.Second

// play is one run of a case. It reports what broke the rule with broken, and returns an error if it could not run.
type play func(ctx context.Context, w *world) error

var plays = map[string]play{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER ROOT")
		os.Exit(exitVoid)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case, writes its record into folder, and returns the exit code. root is the project's folder.
func run(name, folder, root string) int {
	played := plays[name]
	if played == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitVoid
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitVoid
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	w, err := newWorld(rec, filepath.Join(root, "bin", "starlingvalve"), os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = played(ctx, w)
		w.close()
	}
	switch {
	case err != nil:
		rec.note("play", "VOID: %v", err)
		return exitVoid
	case rec.faults() > 0:
		rec.note("play", "BROKEN: %d times", rec.faults())
		return exitBroken
	}
	rec.note("play", "the rule held")
	return exitHeld
}

// record is the file record.txt of a case.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	hidden string // the temporary folder, which no line names
	broken int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// note writes a line with the time since the start and who did what.
func (r *record) note(who, format string, args ...any) {
	r.noteAt(time.Now(), who, format, args...)
}

func (r *record) noteAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if r.hidden != "" {
		text = strings.ReplaceAll(text, r.hidden+"/", "")
	}
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", at.Sub(r.began).Seconds(), who, text)
}

// fault records that the rule was broken.
func (r *record) fault(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.note("RULE", "broken: %s", text)
	fmt.Println("broken:", text)
}

func (r *record) faults() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() { r.file.Close() }
