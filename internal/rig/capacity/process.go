package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyWait = 30 * time.Second // until a process is ready
	readyPoll = 20 * time.Millisecond
	logLimit  = 64 << 10 // bytes that are kept of the end of a process's log
	clockTick = 10 * time.Millisecond
)

// process is a program that the rig has started. The kernel ends it when the rig ends, even if the rig is killed.
type process struct {
	cmd   *exec.Cmd
	log   logTail
	ended chan struct{}
}

// logTail keeps the end of a process's output.
type logTail struct {
	mu   sync.Mutex
	text []byte
}

// Write appends p and drops the oldest bytes beyond logLimit. It never fails.
func (l *logTail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	if over := len(l.text) - logLimit; over > 0 {
		l.text = append(l.text[:0], l.text[over:]...)
	}
	return len(p), nil
}

// String returns the kept output, at most the last logLimit bytes.
func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

func startProcess(env []string, program string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", program, err)
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// kill kills the process with SIGKILL.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// processorOf returns the processor time that a process has used, user and system.
func processorOf(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	const user, system = 11, 12 // indices of the fields after the program's name
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.Atoi(fields[user])
	s, _ := strconv.Atoi(fields[system])
	return time.Duration(u+s) * clockTick
}

// memoryOf returns a memory figure of a process's /proc status in KiB: VmRSS is the resident memory, VmHWM its peak.
func memoryOf(pid int, figure string) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, figure+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// awaitReady waits until a URL answers with status 200.
func (p *process) awaitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.ended:
			return errors.New("the process ended before it was ready: " + p.log.String())
		case <-ctx.Done():
			return fmt.Errorf("not ready within %v: %w\n%s", readyWait, ctx.Err(), p.log.String())
		case <-time.After(readyPoll):
		}
	}
}

// build builds the node program.
func build(ctx context.Context, into string) error {
	out, err := exec.CommandContext(ctx, "go", "build", "-o", into, "starlingvalve/cmd/starlingvalve").CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w: %s", err, out)
	}
	return nil
}
