package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"starlingvalve/internal/control"
)

// supervisorFile writes the supervisor's file of a member and returns its path.
func (w *world) supervisorFile(m *member) (string, error) {
	base := filepath.Join(w.dir, m.name)
	path := base + "-supervise.toml"
	return path, os.WriteFile(path, fmt.Appendf(nil, "[supervise]\nfleet = %q\nfolder = %q\nargs = []\nend_ms = 10000\nready_ms = 15000\n", m.file, base+"-programs"), 0o600)
}

// startSupervisor starts a member's supervisor. Its node outlives it, and is ended when the case ends.
func (w *world) startSupervisor(m *member, file string) (*process, error) {
	p := &process{Cmd: exec.Command(w.binary, "supervise", file), name: m.name + "-sup", ended: make(chan struct{})}
	p.Env = append(os.Environ(), "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GW_OPS=", "TMPDIR="+w.dir, "GW_CONFIG="+m.config)
	log, err := os.OpenFile(file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) // a file, as its node may outlive it
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	if err := p.Cmd.Start(); err != nil {
		return nil, err
	}
	w.note(p.name, "started, pid %d: starlingvalve supervise", p.Process.Pid)
	go func() {
		p.err = p.Wait()
		w.note(p.name, "ended, pid %d: %v", p.Process.Pid, p.err)
		close(p.ended)
	}()
	return p, nil
}

// endSupervised ends a supervisor, and all nodes of its member that are left.
func (w *world) endSupervised(m *member, p *process) {
	p.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(5 * time.Second):
		p.kill()
	}
	for _, pid := range nodesOf(m) {
		syscall.Kill(pid, syscall.SIGKILL)
	}
}

// nodesOf returns the process ids of the nodes that run with a member's fleet file.
func nodesOf(m *member) (pids []int) {
	files, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	for _, f := range files {
		if raw, err := os.ReadFile(f); err == nil && bytes.Contains(raw, []byte("-fleet\x00"+m.file)) {
			var pid int
			if _, err := fmt.Sscan(filepath.Base(filepath.Dir(f)), &pid); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}

// addProgram adds a program to a member's store and returns its version.
func (w *world) addProgram(file, name string, content []byte) (string, error) {
	path := filepath.Join(w.dir, name)
	if err := os.WriteFile(path, content, 0o700); err != nil {
		return "", err
	}
	out, err := exec.Command(w.binary, "supervise", file, "--add", path).Output()
	return strings.TrimSpace(string(out)), err
}

// planRelease writes the plan of a release of one wave and returns its path.
func (w *world) planRelease(version, before, node string) (string, error) {
	path := filepath.Join(w.dir, "release.toml")
	return path, os.WriteFile(path, fmt.Appendf(nil, "[release]\nname = \"2026-12-a\"\nversion = %q\nbefore = %q\nwhy = \"faster lists\"\nsoak_ms = 20000\nlimit_ms = 300000\nmost_crashes = 1\n\n"+
		"[[wave]]\nname = \"canary\"\nnodes = [%q]\n", version, before, node), 0o600)
}

// nodeStatus returns what a member's node says of itself.
func nodeStatus(ctx context.Context, m *member) (control.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return control.NewAPIClient(m.socket).Status(ctx)
}

// await waits until done, and fails after limit.
func await(ctx context.Context, what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); !done(); sleep(ctx, 20*time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.New("not within " + limit.String() + ": " + what)
		}
	}
	return nil
}
