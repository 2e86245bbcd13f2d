package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/standin"
)

// world is what a case runs in: a temporary folder, the processes that it started, and stand-ins.
type world struct {
	*record
	dir, binary string
	trouble     bool // false: the case runs without its disruption

	mu      sync.Mutex
	procs   []*process
	closers []func()
}

func newWorld(r *record, binary string, trouble bool) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build the program first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r.hidden = dir
	r.note("play", "disruption %v", trouble)
	return &world{record: r, dir: dir, binary: binary, trouble: trouble}, nil
}

// close ends all processes of the case, also those that a supervisor started, and all stand-ins.
func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	for _, stop := range w.closers {
		stop()
	}
	os.RemoveAll(w.dir)
}

func (w *world) onClose(f func()) { w.closers = append(w.closers, f) }

// process is a process of the project's program.
type process struct {
	*exec.Cmd
	name  string
	log   syncBuffer
	ended chan struct{}
	err   error
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns what has been written.
func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// start starts the program with arguments and variables, as the deploy file's run line does.
func (w *world) start(name string, env []string, args ...string) (*process, error) {
	p := &process{Cmd: exec.Command(w.binary, args...), name: name, ended: make(chan struct{})}
	p.Env = append(os.Environ(), append([]string{"GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GW_OPS=", "TMPDIR=" + w.dir}, env...)...)
	p.Stdout, p.Stderr = &p.log, &p.log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.Cmd.Start(); err != nil {
		return nil, err
	}
	w.note(name, "started, pid %d: starlingvalve %s", p.Process.Pid, strings.Join(args, " "))
	go func() {
		p.err = p.Wait()
		w.note(name, "ended, pid %d: %v", p.Process.Pid, p.err)
		close(p.ended)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = append(w.procs, p)
	return p, nil
}

func (w *world) signal(p *process, s syscall.Signal) {
	w.note(p.name, "signal %v to pid %d", s, p.Process.Pid)
	p.Process.Signal(s)
}

func (p *process) kill() {
	select {
	case <-p.ended:
	default:
		p.Process.Kill()
		<-p.ended
	}
}

// freePort returns a loopback address with a free port below the kernel's ephemeral range.
func freePort(network string) (string, error) {
	var last error
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		var l io.Closer
		if network == "udp" {
			l, last = net.ListenPacket("udp", addr)
		} else {
			l, last = net.Listen("tcp", addr)
		}
		if last == nil {
			return addr, l.Close()
		}
	}
	return "", last
}

// nodeConfig is what the configuration file of a node says beyond what all nodes share.
type nodeConfig struct {
	name, listen, registry, zone string
	nodes, self                  int
	classes                      []standin.Class
}

// writeConfig writes a node's configuration file, with the settings of a small deployment.
func (w *world) writeConfig(c nodeConfig) (string, error) {
	type object = map[string]any
	var classes []object
	for _, x := range c.classes {
		effect := "retryable"
		if x.Keyed {
			effect = "dedup"
		} else if x.Unsafe() {
			effect = "fragile"
		}
		classes = append(classes, object{"name": x.Name, "aim_ns": x.Aim, "give_up_ns": x.Patience, "importance": x.Worth, "effect": effect,
			"key_scope": "cell", "dedup_window_ns": 8 * time.Second})
	}
	raw, err := json.MarshalIndent(object{"name": c.name, "listen": c.listen, "discovery": c.registry, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": object{"balancers": max(1, c.nodes), "slot_no": c.self, "zone": c.zone, "failure_domains": []string{c.zone},
			"caps": object{"cancel": true, "connect_timeout_ns": 250 * time.Millisecond, "max_attempts": 4, "may_duplicate": true, "retry_after": true,
				"max_retry_after_ns": 2 * time.Second, "conn_idle_ns": 30 * time.Second},
			"classes": classes, "membership_mode": "on_request", "tick_ns": 5 * time.Millisecond, "weight_kind": "none",
			"report": object{"how": "none"},
			"invariants": object{"answer_slack_ns": 20 * time.Millisecond, "ask_within_ns": 10 * time.Second, "cold_from": 1.0, "cold_ns": time.Second,
				"drain_grace_ns": 500 * time.Millisecond, "overload_factor": 2.5, "tip_after_ns": time.Second}}}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.dir, c.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// servers starts n servers and a registry that lists them.
func (w *world) servers(n int, work map[string]standin.Work) ([]*standin.Server, *standin.Registry, error) {
	var list []*standin.Server
	var entries []standin.Entry
	for i := range n {
		s, err := standin.NewServer(standin.ServerOptions{Name: fmt.Sprintf("s-%d", i+1), Zone: "hall-a", Kind: "std", Cell: i % 2, Cores: 16}, work)
		if err != nil {
			return nil, nil, err
		}
		w.onClose(s.Close)
		list, entries = append(list, s), append(entries, standin.EntryOf(s))
	}
	r, err := standin.NewRegistry(entries...)
	if err != nil {
		return nil, nil, err
	}
	w.onClose(func() { r.Close() })
	return list, r, nil
}

// awaitStatus waits until a GET of url answers 200.
func awaitStatus(ctx context.Context, p *process, url string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended: %w\n%s", p.name, errors.Join(p.err, errors.New("before it was ready")), p.log.String())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w\n%s", p.name, ctx.Err(), p.log.String())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
