package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"debug/elf"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"starlingvalve/internal/testkit"
)

// The platform preloads a library into the node's process, so the program has to be linked dynamically against the C
// library. It does so for the process that the run command starts, which therefore has to exec the node itself.
func TestDeployFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run, Sim string }
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		t.Fatal(err)
	}
	for name, line := range map[string]string{"run": deploy.Run, "sim": deploy.Sim} {
		if !regexp.MustCompile(`^exec bin/[a-z]+$`).MatchString(line) {
			t.Errorf("%s = %q: want a single exec of a program in bin and no other command", name, line)
		}
	}
	_, build, _ := strings.Cut(deploy.Build, "&& ")
	build = strings.Replace(build, "-o bin/ ./cmd/...", "-o '"+t.TempDir()+"/' ./cmd/starlingvalve", 1)
	out, _, _ := strings.Cut(build[strings.Index(build, "-o '")+4:], "'")
	cmd := exec.Command("/bin/sh", "-c", build)
	cmd.Dir = "../.."
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, text)
	}
	if err := checkDynamic(filepath.Join(out, "starlingvalve")); err != nil {
		t.Error(err)
	}
	if err := checkDynamic(staticProgram(t)); err == nil {
		t.Error("a statically linked program passes the check")
	}
}

// checkDynamic returns an error if no library can be preloaded into the program's process.
func checkDynamic(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s has no dynamic loader", path)
	}
	libraries, err := f.ImportedLibraries()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("%s needs %v; want the C library", path, libraries)
	}
	return nil
}

// staticProgram builds a statically linked program and returns its path.
func staticProgram(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte("package main\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("go", "build", "-o", "static", "main.go")
	cmd.Dir, cmd.Env = dir, append(os.Environ(), "CGO_ENABLED=0")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return filepath.Join(dir, "static")
}

// Environment variables of the program: envBlockedCalls has it killed at a system call that the platform blocks, and
// envProbeCall names one of these that it tries first.
const (
	envBlockedCalls = "STARLINGVALVE_TEST_BARRED"
	envProbeCall    = "STARLINGVALVE_TEST_PROBE"
)

// blockCalls makes the kernel kill this process with SIGSYS when any of its threads calls splice, sendfile,
// io_uring_setup, fork, or execve.
func blockCalls() error {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	const load, equal, set, give = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K,
		unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	kill := unix.SockFilter{Code: give, K: 0x80000000} // SECCOMP_RET_KILL_PROCESS
	filter := []unix.SockFilter{{Code: load, K: 0}}    // load the number of the system call
	for _, call := range []uint32{unix.SYS_SPLICE, unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_EXECVE,
		unix.SYS_EXECVEAT} {
		filter = append(filter, unix.SockFilter{Code: equal, K: call, Jf: 1}, kill)
	}
	// A clone that creates no thread is a fork. The flags are the first argument, at offset 16.
	filter = append(filter, unix.SockFilter{Code: equal, K: unix.SYS_CLONE, Jf: 3}, unix.SockFilter{Code: load, K: 16},
		unix.SockFilter{Code: set, K: unix.CLONE_THREAD, Jt: 1}, kill,
		unix.SockFilter{Code: give, K: 0x7fff0000}) // SECCOMP_RET_ALLOW
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	const setFilter, allThreads = 1, 1 // SECCOMP_SET_MODE_FILTER, SECCOMP_FILTER_FLAG_TSYNC
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, setFilter, allThreads,
		uintptr(unsafe.Pointer(&program))); errno != 0 {
		return errno
	}
	runtime.KeepAlive(filter)
	return nil
}

// runWithBlockedCalls runs the program in this process, which is killed at system calls that the platform blocks.
func runWithBlockedCalls() {
	if err := blockCalls(); err != nil {
		fmt.Fprintln(os.Stderr, "can't block the system calls:", err)
		os.Exit(3)
	}
	switch os.Getenv(envProbeCall) {
	case "splice":
		unix.Splice(0, nil, 1, nil, 1, 0)
	case "sendfile":
		unix.Sendfile(1, 0, nil, 1)
	case "fork":
		exec.Command("/bin/true").Run()
	}
	main()
}

// Long bodies and answers in each encoding, kept and new connections, a reload and the exit work without any system
// call that the platform blocks.
func TestNoCallThatThePlatformRefuses(t *testing.T) {
	for _, probe := range []string{"splice", "sendfile", "fork"} {
		cmd, log := programCommand(t, "{}")
		cmd.Env = append(cmd.Env, envBlockedCalls+"=1", envProbeCall+"="+probe)
		err := cmd.Run()
		if cmd.ProcessState.ExitCode() == 3 {
			t.Fatal(log)
		}
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGSYS {
			t.Fatalf("%s is not blocked: %v", probe, err)
		}
	}
	want := bytes.Repeat(fmt.Appendf(nil, "%x\n", sha256.Sum256(nil)), 1<<20/65)
	var requests atomic.Int64
	addr := testkit.Server(t, func(c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if body, err := io.ReadAll(req.Body); err != nil || len(body) > 0 && !bytes.Equal(body, want) {
				return
			}
			switch requests.Add(1) % 3 {
			case 0:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(want), want)
			case 1:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", want)
				return
			default:
				io.WriteString(c, testkit.OKResponse(string(want)))
			}
		}
	})
	node := newReplaceableNode(t)
	node.config = strings.Replace(node.config, node.server.Addr, addr, 1)
	cmd, _ := programCommand(t, node.config)
	cmd.Env = append(cmd.Env, envBlockedCalls+"=1", "TMPDIR="+node.dir)
	lines, listen := startProgram(t, cmd)
	go func() {
		for lines.Scan() {
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitLimit)
	defer cancel()
	for i := range 12 {
		var body io.Reader
		switch i % 4 {
		case 1:
			body = bytes.NewReader(want)
		case 2:
			body = io.MultiReader(bytes.NewReader(want)) // without a known length, so it is sent in chunks
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listen+"/c", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Correlation-Id", fmt.Sprint("p", i))
		r.Header.Set("X-Time-Left", "9")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || !bytes.Equal(got, want) {
			t.Fatalf("request %d: status %d, %d bytes of %d, %v", i, resp.StatusCode, len(got), len(want), err)
		}
		if i == 6 {
			cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the node ended with %v", err)
		}
	case <-time.After(testkit.WaitLimit):
		t.Error("the node has not ended")
	}
}
