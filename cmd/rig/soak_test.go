package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runSoak runs a short soak from the project's root and returns its output.
func runSoak(t *testing.T, flags ...string) (output []byte, err error) {
	t.Helper()
	rig := filepath.Join(t.TempDir(), "rig") // a binary of its own, as the rig starts some of its nodes through itself
	if text, err := exec.CommandContext(t.Context(), "go", "build", "-o", rig, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	soak := exec.CommandContext(t.Context(), rig, append([]string{"soak", "-quick"}, flags...)...)
	soak.Dir = "../.."
	return soak.CombinedOutput()
}

// Guards against nodes that together overload a server in slow start. With more load than the servers can serve, a server
// that returns cold gets up to 5 requests in a second more than all processes together may send. Each process keeps to its
// own share of the bound, but estimates that share from answers, and the answers of overloaded servers mislead it.
func TestSlowStartUnderOverload(t *testing.T) {
	text, err := runSoak(t, "-seed", "6")
	if err != nil || !strings.Contains(string(text), "kept failback") {
		t.Errorf("%v\n%s", err, text)
	}
}

// checkDrains plays a schedule of testdata and fails the test if a server that drains gets requests. A run on a machine that
// was too late to judge anybody counts for nothing.
func checkDrains(t *testing.T, schedule string) {
	t.Helper()
	text, err := runSoak(t, "-seed", "3", "-schedule", filepath.Join("cmd", "rig", "testdata", schedule))
	if strings.Contains(string(text), "the run is void") {
		t.Logf("%s", text)
		return
	}
	if err != nil || !strings.Contains(string(text), "kept drain") {
		t.Errorf("%v\n%s", err, text)
	}
}

// Guards against requests to draining servers while discovery is slow, in a fleet whose polls wait for longer than the
// list may be used. Servers drain every second, and each answer comes 3.6 s late: a watch that is open does not keep the
// list up to date then, and calls that were given up counted as an outage.
func TestDrainsOfAFleetWhileDiscoveryIsSlow(t *testing.T) { checkDrains(t, "late-answers.schedule") }

// Guards against requests to draining servers by processes that start, or are given another agent, while their agents are
// silent. Servers begin to drain while processes are down; then discovery is down for 12 s. A process that started sent by
// the list of its configuration until its agent answered.
func TestDrainsWhileAgentsAreSilent(t *testing.T) { checkDrains(t, "silent-agents.schedule") }
