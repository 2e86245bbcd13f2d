package app

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	// envLeakCheck is the environment variable that makes the test binary check for leaks when its tests have ended.
	envLeakCheck = "STARLINGVALVE_TEST_LEAKS"
	// leakCheckTimeout is how long such a process may take.
	leakCheckTimeout = 2 * time.Minute
)

func TestMain(m *testing.M) {
	if os.Getenv(envLeakCheck) == "" {
		os.Exit(m.Run())
	}
	before := socketsAndPipes()
	code := m.Run()
	if err := leftBehind(before); code == 0 && err != nil {
		fmt.Println("left behind:", err)
		code = 1
	}
	os.Exit(code)
}

// leftBehind returns an error that names goroutines that still run, or sockets and pipes that are not in before.
func leftBehind(before map[string]bool) error {
	if err := goleak.Find(); err != nil {
		return err
	}
	var left []string
	for name := range socketsAndPipes() {
		if !before[name] {
			left = append(left, name)
		}
	}
	if len(left) > 0 {
		return fmt.Errorf("descriptors: %s", strings.Join(left, ", "))
	}
	return nil
}

// socketsAndPipes returns the names of this process's open sockets and pipes.
func socketsAndPipes() map[string]bool {
	names := map[string]bool{}
	files, _ := filepath.Glob("/proc/self/fd/*")
	for _, f := range files {
		name, err := os.Readlink(f)
		if err == nil && (strings.HasPrefix(name, "socket:") || strings.HasPrefix(name, "pipe:")) {
			names[name] = true
		}
	}
	return names
}

// After twenty restarts under load no goroutine, socket or pipe of the nodes is left. The restarts run in a process
// of their own, because other tests run concurrently in this one.
func TestRestartsLeaveNothing(t *testing.T) {
	t.Parallel()
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestTwentyRestarts$", "-test.v",
		"-test.timeout="+leakCheckTimeout.String())
	cmd.Env = append(os.Environ(), envLeakCheck+"=1")
	text, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(text), "--- PASS: TestTwentyRestarts") {
		t.Errorf("%v\n%s", err, text)
	}
}
