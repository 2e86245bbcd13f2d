package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"starlingvalve/internal/standin"
)

//go:embed testdata/bad.go
var badSource []byte

// buildWith builds the program with additional source files, and returns the path of the binary. files has their
// content, by path from the project's root.
func (w *workspace) buildWith(ctx context.Context, name string, files map[string][]byte) (path string, err error) {
	root, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("go list: %w", err)
	}
	replace := map[string]string{}
	for at, content := range files {
		source := filepath.Join(w.dir, name+"-"+filepath.Base(at))
		if err := os.WriteFile(source, content, 0o600); err != nil {
			return "", err
		}
		replace[filepath.Join(strings.TrimSpace(string(root)), at)] = source
	}
	overlay := filepath.Join(w.dir, name+".json")
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err := errors.Join(err, os.WriteFile(overlay, text, 0o600)); err != nil {
		return "", err
	}
	path = filepath.Join(w.dir, name)
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", path, "starlingvalve/cmd/starlingvalve")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build -overlay: %w: %s", err, output)
	}
	return path, nil
}

// badBuild builds the program with testdata/bad.go in its main package, and returns the binary.
func (w *workspace) badBuild(ctx context.Context) ([]byte, error) {
	path, err := w.buildWith(ctx, "bad", map[string][]byte{"cmd/starlingvalve/bad.go": badSource})
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// badKind is a way in which a released version can be bad.
type badKind struct {
	name     string
	trailer  func(r *releaseTrial) string // returns the directive appended to the program's file; read by testdata/bad.go
	cause    string                       // expected in the cause of the halt; empty for a good version
	maxWaves int                          // most waves of the full plan that may get the version
}

// discovery makes a directive that points the version to another registry.
func discovery(list func(r *releaseTrial) *standin.Registry) func(*releaseTrial) string {
	return func(r *releaseTrial) string { return "discovery " + list(r).Addr }
}

// directive makes a directive with a fixed text.
func directive(text string) func(*releaseTrial) string {
	return func(*releaseTrial) string { return text }
}

// badKinds are the kinds of versions that are released, the good one included.
var badKinds = []badKind{
	{"good", nil, "", 0},
	{"crashes at start", directive("crash -"), "crashes of version", 1},
	{"never ready", directive("never -"), "crashes of version", 1},
	{"refuses everything", discovery(func(r *releaseTrial) *standin.Registry { return r.refusing }), "does worse", 1},
	{"10% slow", discovery(func(r *releaseTrial) *standin.Registry { return r.slow }), " take ", 1},
	{"fails 2% of a class", discovery(func(r *releaseTrial) *standin.Registry { return r.failing }), "does worse: cut-order", 1},
	{"leaks memory", directive("leak -"), "of memory", 1},
	{"breaks in one zone", directive("zone hall-b"), "crashes of version", 4},
	{"fine until it leads", directive("leader -"), "crashes of version", 5},
}
