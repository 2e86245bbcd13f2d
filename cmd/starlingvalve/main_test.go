package main

import (
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
)

// The test binary is the program when this is set.
const asProgram = "STARLINGVALVE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+path), &log
	return cmd, &log
}

func TestBadConfiguration(t *testing.T) {
	cmd, log := program(t, `{"name":"n0"}`)
	cmd.Run()
	if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(log.String(), "\n") != 1 || !strings.Contains(log.String(), "listen") {
		t.Errorf("exit code %d, log %q", code, log)
	}
}

func TestStartAndTerminate(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	cmd, log := program(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","settings":{
		"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`, listen, listen))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + listen + "/health/live"); err == nil {
			resp.Body.Close()
			break
		}
		if time.Now().After(end) {
			cmd.Process.Kill()
			t.Fatalf("it does not start: %s", log)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, log)
	}
}
