package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"starlingvalve/internal/standin"
)

// workspace is a run's temporary directory and its child processes. Close ends the processes and removes the directory.
type workspace struct {
	dir    string
	binary string

	mu       sync.Mutex
	children []*child
}

// newWorkspace makes a temporary directory and builds the program into it, unless binary names one that exists.
func newWorkspace(ctx context.Context, binary string) (*workspace, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	w := &workspace{dir: dir, binary: binary}
	if binary == "" {
		w.binary = filepath.Join(dir, "starlingvalve")
		build := exec.CommandContext(ctx, "go", "build", "-o", w.binary, "starlingvalve/cmd/starlingvalve")
		if out, err := build.CombinedOutput(); err != nil {
			w.Close()
			return nil, fmt.Errorf("go build: %w: %s", err, out)
		}
	}
	return w, nil
}

// Close ends all processes that the rig started and removes their directory.
func (w *workspace) Close() {
	w.mu.Lock()
	list := w.children
	w.children = nil
	w.mu.Unlock()
	for _, c := range list {
		c.stop()
	}
	os.RemoveAll(w.dir)
}

// child is a process that the rig started. The kernel signals it when the rig ends, also if the rig crashes.
type child struct {
	cmd   *exec.Cmd
	log   tail
	ended chan struct{}
	err   error // once it has ended
}

// tail keeps the last tailLimit bytes that a process writes.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const tailLimit = 256 << 10 // bytes

// Write appends p and discards the oldest bytes beyond tailLimit. It never fails.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - tailLimit; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(p), nil
}

// String returns the kept text, at most the last tailLimit bytes.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// start starts a process that is killed when the rig ends, and keeps the end of its output.
func (w *workspace) start(env []string, name string, args ...string) (*child, error) {
	return w.startAs(nil, syscall.SIGKILL, env, name, args...)
}

// startAs starts a process that gets the signal last when the rig ends. Its output goes to the file log or, if that is
// nil, to the child's tail.
func (w *workspace) startAs(log *os.File, last syscall.Signal, env []string, name string, args ...string) (*child, error) {
	c := &child{cmd: exec.Command(name, args...), ended: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.Stdout, c.cmd.Stderr = &c.log, &c.log
	if log != nil { // a file and not a pipe, as processes that the child starts may outlive it
		c.cmd.Stdout, c.cmd.Stderr = log, log
	}
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: last, Setpgid: true}
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		c.err = c.cmd.Wait()
		close(c.ended)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.children = append(w.children, c)
	return c, nil
}

// stopWait is the time that a child gets from SIGTERM to SIGKILL.
const stopWait = 10 * time.Second

// stop ends a child by SIGTERM, and kills it if it still runs after stopWait.
func (c *child) stop() {
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(stopWait):
		c.kill()
	}
}

// kill sends SIGKILL to the child and waits for its end.
func (c *child) kill() {
	c.cmd.Process.Kill()
	<-c.ended
}

// cpu returns the processor time that the process has used, 0 if it can't be read.
func (c *child) cpu() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// peakMemory returns the peak resident memory (VmHWM) of the process in KiB, 0 if it can't be read.
func (c *child) peakMemory() int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// onCore pins all threads of a process, and those that it starts later, to one core.
func onCore(pid, core int) error { return affinity(pid, 1<<core) }

// affinity sets the cores on which all threads of a process may run (sched_setaffinity(2)); mask has a bit for each.
func affinity(pid int, mask uint64) error {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return err
	}
	for _, t := range tasks {
		tid, _ := strconv.Atoi(t.Name())
		if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, uintptr(tid), unsafe.Sizeof(mask), uintptr(unsafe.Pointer(&mask))); e != 0 && e != syscall.ESRCH {
			return fmt.Errorf("sched_setaffinity: %w", e)
		}
	}
	return nil
}

// nodeOptions describe a node's configuration.
type nodeOptions struct {
	name              string
	registry          string
	classes           []standin.Class
	nodes, self       int
	memoryMB, sockets int
	coldFrom          float64
	coldTime          time.Duration
	listen, zone      string
	peers             []string // UDP addresses of all nodes of the tier; empty: no messages between nodes
	args              []string
}

// node is a running node.
type node struct {
	*child
	addr  string
	began time.Time // start of the rig's load
}

// configFile writes a node's configuration in the format of a deployment, and returns the path of the file.
func (w *workspace) configFile(o nodeOptions) (string, error) {
	type object = map[string]any
	var classes []object
	for _, c := range o.classes {
		effect := "retryable"
		if c.Keyed {
			effect = "dedup"
		} else if c.Unsafe() {
			effect = "fragile"
		}
		classes = append(classes, object{"name": c.Name, "aim_ns": c.Aim, "give_up_ns": c.Patience, "importance": c.Worth, "effect": effect,
			"key_scope": "cell", "dedup_window_ns": 8 * time.Second})
	}
	caps := object{"cancel": true, "connect_timeout_ns": 250 * time.Millisecond, "max_attempts": 4, "may_duplicate": true, "retry_after": true,
		"max_retry_after_ns": 2 * time.Second, "conn_idle_ns": 30 * time.Second}
	rules := object{"answer_slack_ns": 20 * time.Millisecond, "ask_within_ns": 10 * time.Second, "cold_from": o.coldFrom, "cold_ns": o.coldTime,
		"drain_grace_ns": 500 * time.Millisecond, "overload_factor": 2.5, "tip_after_ns": time.Second}
	peerListen := ""
	if len(o.peers) > 0 {
		peerListen, caps["peers"] = o.peers[o.self], true
	}
	raw, err := json.MarshalIndent(object{"name": o.name, "listen": o.listen, "discovery": o.registry, "seed": "5f3759df5f3759df",
		"peer_listen": peerListen, "peers": o.peers,
		"limits": object{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"settings": object{"balancers": max(1, o.nodes), "slot_no": o.self, "zone": o.zone, "failure_domains": []string{o.zone}, "caps": caps,
			"classes": classes, "membership_mode": "on_request", "tick_ns": 5 * time.Millisecond, "weight_kind": "none",
			"report": object{"how": "none"}, "invariants": rules}}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.dir, o.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// node starts a node and waits until it is ready. The kernel chooses a free port just before the start; as another
// process may take it in between, up to three ports are tried.
func (w *workspace) node(ctx context.Context, binary string, o nodeOptions) (*node, error) {
	var last error
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		o.listen = l.Addr().String()
		l.Close()
		path, err := w.configFile(o)
		if err != nil {
			return nil, err
		}
		c, err := w.start([]string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="}, binary, o.args...)
		if err != nil {
			return nil, err
		}
		if last = ready(ctx, c, "http://"+o.listen+"/health/ready"); last == nil {
			return &node{child: c, addr: o.listen}, nil
		}
		c.kill()
	}
	return nil, last
}

// readyWait is the longest time from the start of a process until it is ready.
const readyWait = 15 * time.Second

// ready waits until url answers with status 200. It fails if the process ends or is not ready within readyWait.
func ready(ctx context.Context, c *child, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-c.ended:
			return fmt.Errorf("the process ended: %w\n%s", errors.Join(c.err, errors.New("before it was ready")), c.log.String())
		case <-ctx.Done():
			return fmt.Errorf("not ready within %v: %w\n%s", readyWait, ctx.Err(), c.log.String())
		case <-time.After(10 * time.Millisecond):
		}
	}
}
