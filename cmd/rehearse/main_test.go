package main

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const scenario = `length = "3s"
load = 1.2
nodes = 1
hop = "1ms"
retries = 1
node_cost = "30us"
registry_lag = "1s"
[[class]]
name = "read"
share = 1.0
worth = 1.0
work = "20ms"
work_cv = 0.5
aim = "200ms"
patience = "1s"
wait = "50ms"
effect = "safe"
[[servers]]
count = 3
zone = "hall-a"
cores = 2
speed = 1.0
room = 40
cold_from = 0.5
cold_time = "1s"
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := command(&out, io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// Guards against a resumed run that gives other figures than an uninterrupted one, and against a file whose last
// line is incomplete: that pair must be run again.
func TestCompareResumes(t *testing.T) {
	sc, slow := write(t, "s.toml", scenario), write(t, "slow.toml", "[fleet]\nspeed = 0.8\n")
	journalPath, html := filepath.Join(t.TempDir(), "pairs"), filepath.Join(t.TempDir(), "r.html")
	args := []string{"compare", sc, "-b", slow, "--pairs", "12", "--width", "0.001"}
	uninterrupted, err := run(t, append(args, "--resume", journalPath, "--html", html)...)
	if err != nil || !strings.Contains(uninterrupted, "b is worse") {
		t.Fatalf("%v: %s", err, uninterrupted)
	}
	if page, err := os.ReadFile(html); err != nil || !bytes.Contains(page, []byte("<svg")) {
		t.Errorf("no page: %v", err)
	}
	content, err := os.ReadFile(journalPath)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(content, []byte("\n"))
	if len(lines) != 14 { // the head, 12 pairs, and nothing after the last end of line
		t.Fatalf("%d lines", len(lines))
	}
	cut := append(bytes.Join(lines[:5], nil), lines[5][:9]...)
	if err := os.WriteFile(journalPath, cut, 0o600); err != nil {
		t.Fatal(err)
	}
	resumed, err := run(t, append(args, "--resume", journalPath)...)
	if err != nil || resumed != uninterrupted {
		t.Errorf("%v\n%s\nwant\n%s", err, resumed, uninterrupted)
	}
	if _, err := run(t, "compare", sc, "-b", "random", "--resume", journalPath); err == nil ||
		!strings.Contains(err.Error(), "of another scenario or other versions") {
		t.Errorf("other versions: %v", err)
	}
	if _, err := run(t, append(args, "--gate")...); !errors.Is(err, errWorse) {
		t.Errorf("--gate: %v", err)
	}
}

func TestCommands(t *testing.T) {
	sc, slow := write(t, "s.toml", scenario), write(t, "slow.toml", "[fleet]\nspeed = 0.8\n")
	if out, err := run(t, "check", sc, slow); err != nil || strings.Count(out, "good") != 2 {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := run(t, "policies"); err != nil || !strings.Contains(out, "peak-ewma") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := run(t, "curve", sc, "--policies", "module,least-request", "--loads", "0.5,2",
		"--runs", "2"); err != nil || strings.Count(out, "\n") != 3 {
		t.Errorf("%v: %s", err, out)
	}
	for want, args := range map[string][]string{
		"s.toml:3: nodes": {"check",
			write(t, "s.toml", strings.Replace(scenario, "nodes = 1", "nodes = 0", 1))},
		"there are module":         {"compare", sc, "-b", "best"},
		"--loads":                  {"curve", sc, "--loads", "0"},
		`required flag(s) "b" not`: {"compare", sc},
		"want a confidence":        {"compare", sc, "-b", "random", "--width", "0"},
	} {
		if _, err := run(t, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q", args, err, want)
		}
	}
}

// Guards against trace commands that lose records: a generated trace can be inspected, anonymised and replayed,
// and a damaged one is reported in one line and used as far as it can be read.
func TestTraces(t *testing.T) {
	sc, dir := write(t, "s.toml", scenario), t.TempDir()
	tracePath, anonymousPath := filepath.Join(dir, "t"), filepath.Join(dir, "h")
	if _, err := run(t, "trace", "synth", sc, "-o", tracePath, "--shape", "flash", "--sessions", "3", "--think",
		"100ms"); err != nil {
		t.Fatal(err)
	}
	info, err := run(t, "trace", "info", tracePath)
	if err != nil || !strings.Contains(info, "read") || !strings.Contains(info, "unknown") {
		t.Errorf("%v: %s", err, info)
	}
	if _, err := run(t, "trace", "anonymise", tracePath, "-o", anonymousPath); err != nil {
		t.Fatal(err)
	}
	before, err1 := run(t, "trace", "cat", tracePath)
	after, err2 := run(t, "trace", "cat", anonymousPath)
	if err1 != nil || err2 != nil || before == after || strings.Count(before, "\n") != strings.Count(after, "\n") {
		t.Errorf("%v, %v, %d and %d bytes", err1, err2, len(before), len(after))
	}
	same, err := run(t, "compare", sc, "-b", "module", "--trace", anonymousPath, "--pairs", "10")
	if err != nil || !strings.Contains(same, "orders in") || !strings.Contains(same, "left out: 0 repeated tries") {
		t.Errorf("%v: %s", err, same)
	}
	raw, err := os.ReadFile(tracePath)
	if err != nil {
		t.Fatal(err)
	}
	var progress bytes.Buffer
	c := command(io.Discard, &progress)
	c.SetArgs([]string{"trace", "info", write(t, "cut", string(raw[:len(raw)-5]))})
	if err := c.ExecuteContext(t.Context()); err != nil || strings.Count(progress.String(), "\n") != 1 ||
		!strings.Contains(progress.String(), "cut within the block") {
		t.Errorf("%v: %q", err, progress.String())
	}
	for want, args := range map[string][]string{"--shape": {"trace", "synth", sc, "-o", tracePath, "--shape", "odd"},
		"this is no trace": {"trace", "info", sc},
		"want a scale":     {"compare", sc, "-b", "random", "--trace", anonymousPath, "--trace-scale", "0"}} {
		if _, err := run(t, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q", args, err, want)
		}
	}
}
