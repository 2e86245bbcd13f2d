package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"starlingvalve/internal/trace"
)

// envAsProgram is the environment variable that makes the test binary run as the program.
const envAsProgram = "STARLINGVALVE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(envAsProgram) == "":
		os.Exit(m.Run())
	case os.Getenv(envBlockedCalls) != "":
		runWithBlockedCalls()
	default:
		applyDescriptorLimit()
		main()
	}
}

// programCommand returns a command that runs the program with this configuration, and the buffer that gets its log.
func programCommand(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), envAsProgram+"=1", "GW_CONFIG="+path), &log
	return cmd, &log
}

// startProgram starts the program, and kills it after a minute at the latest. It returns the rest of its log after
// the first line, and the address for clients that this line names.
func startProgram(t *testing.T, cmd *exec.Cmd) (lines *bufio.Scanner, listen string) {
	t.Helper()
	cmd.Stderr = nil
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	guard := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
	t.Cleanup(func() { guard.Stop(); cmd.Process.Kill() }) // also if the test fails before it has ended the program
	lines = bufio.NewScanner(log)
	lines.Scan()
	_, rest, _ := strings.Cut(lines.Text(), "listen=")
	listen, _, _ = strings.Cut(rest, " ")
	return lines, listen
}

// An invalid configuration ends the program with exit code 1 and one line that names the fault.
func TestBadConfiguration(t *testing.T) {
	cmd, log := programCommand(t, `{"name":"n0"}`)
	cmd.Run()
	if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(log.String(), "\n") != 1 ||
		!strings.Contains(log.String(), "listen") {
		t.Errorf("exit code %d, log %q", code, log)
	}
}

// An invalid gateway file gives the same error from the command check and at the start of the node.
func TestBadGatewayFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.toml")
	if err := os.WriteFile(file, []byte("[site]\nnmae = \"hall-a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", file}, {"-gateway", file}, {"--gateway=" + file}} {
		cmd, log := programCommand(t, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{
			"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`)
		cmd.Args = append(cmd.Args, args...)
		cmd.Run()
		if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(log.String(), "\n") != 1 ||
			!strings.Contains(log.String(), file+":2: site.nmae: unknown key") {
			t.Errorf("%q: exit code %d, log %q", args, code, log)
		}
	}
	cmd, _ := programCommand(t, "")
	cmd.Args = append(cmd.Args, "version")
	cmd.Stderr = nil
	if out, err := cmd.Output(); err != nil || !strings.HasPrefix(string(out), "starlingvalve ") {
		t.Errorf("version: %q, %v", out, err)
	}
}

// SIGHUP does not end the program, SIGTERM ends it with exit code 0.
func TestStartAndTerminate(t *testing.T) {
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	cmd, _ := programCommand(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{
		"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`, discovery.Addr()))
	lines, listen := startProgram(t, cmd)
	client := http.Client{Timeout: 20 * time.Second}
	resp, err := client.Get("http://" + listen + "/health/live")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after %q: %v, %v", lines.Text(), resp, err)
	}
	// Only SIGTERM ends the program.
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		cmd.Process.Signal(s)
	}
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// The reader of the log may stop reading. Log lines were once written under the lock that every request takes, so
// that a full pipe blocked the node. Requests must be answered, and SIGTERM must end the node.
func TestUnreadLog(t *testing.T) {
	var discovery [2]net.Listener
	for i := range discovery {
		var err error
		if discovery[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer discovery[i].Close()
	}
	config := func(i int) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{
		"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile","deadline_ns":1000000000}]}}`, discovery[i].Addr())
	}
	cmd, _ := programCommand(t, config(0))
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer logWriter.Close()
	cmd.Stderr = logWriter
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	guard := time.AfterFunc(30*time.Second, func() { cmd.Process.Kill() })
	defer guard.Stop()
	defer cmd.Process.Kill()
	line, err := bufio.NewReaderSize(logReader, 4096).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(line, "listen=")
	listen, _, _ := strings.Cut(rest, " ")

	// From here on nobody reads the log. These writes fill the pipe and block until the pipe is closed. They are of one byte
	// each, as a write of whole pages does not go into a page that a log line has begun.
	const setPipeSize, bytesThere, pipeSize = 1031, 0x541b, 4096 // F_SETPIPE_SZ, FIONREAD
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, logReader.Fd(), setPipeSize, pipeSize); errno != 0 {
		t.Fatal(errno)
	}
	filled := make(chan struct{})
	go func() {
		defer close(filled)
		for err := error(nil); err == nil; {
			_, err = logWriter.Write([]byte{0})
		}
	}()
	defer func() { logReader.Close(); <-filled }()
	for buffered, deadline := int32(0), time.Now().Add(10*time.Second); buffered < pipeSize; {
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, logReader.Fd(), bytesThere,
			uintptr(unsafe.Pointer(&buffered))); errno != 0 || time.Now().After(deadline) {
			t.Fatal("the pipe does not fill up:", buffered, errno)
		}
		time.Sleep(time.Millisecond)
	}
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
	if err := os.WriteFile(path, []byte(config(1)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP) // the reload logs under the lock
	discovery[1].(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	if conn, err := discovery[1].Accept(); err != nil {
		t.Error("the node does not connect to the new address of discovery:", err)
	} else {
		defer conn.Close()
	}
	client := http.Client{Timeout: 5 * time.Second}
	req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/c", nil)
	req.Header.Set("X-Correlation-Id", "1")
	req.Header.Set("X-Time-Left", "1.0")
	if resp, err := client.Do(req); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("want a refusal, as there are no servers: %v, %v", resp, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error("end:", err)
	}
}

// With a record file, all requests that arrived are on disk once the node has ended, without their headers.
func TestRecordsWhatArrives(t *testing.T) {
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "record.toml")
	if err := os.WriteFile(file, []byte("[record]\npath = \"traffic\"\nkey = \"00112233445566778899aabbccddeeff\"\n"),
		0o600); err != nil {
		t.Fatal(err)
	}
	check, log := programCommand(t, "")
	check.Args = append(check.Args, "check", file)
	if out, err := check.Output(); err != nil || !strings.Contains(string(out), "good: records to") {
		t.Errorf("check: %q, %v, %s", out, err, log)
	}
	cmd, _ := programCommand(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{
		"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"dedup","key_scope":"cell","dedup_window_ns":1000000000}]}}`, discovery.Addr()))
	cmd.Args = append(cmd.Args, "-record", file)
	lines, listen := startProgram(t, cmd)
	for i, repeat := range []string{"", "1", ""} {
		req, err := http.NewRequest("POST", "http://"+listen+"/c/orders", strings.NewReader("twelve bytes"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("id-", i)}, "X-Time-Left": {"0.5"}, "X-Account": {"acme"},
			"X-Repeat": {repeat}, "Idempotency-Key": {fmt.Sprint("key-", i/2)}}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable { // the node has no servers
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "traffic"))
	if err != nil {
		t.Fatal(err)
	}
	records, err := trace.ReadAll(raw)
	if err != nil || len(records) != 3 {
		t.Fatalf("%+v, %v", records, err)
	}
	for i, record := range records {
		if record.Class != "c" || record.Outcome != trace.Refused || record.Repeat != (i == 1) || record.BodySize != 12 ||
			record.Patience != 500*time.Millisecond || (record.Order == records[0].Order) != (i < 2) || record.Tenant == 0 {
			t.Errorf("%d: %+v", i, record)
		}
	}
}
