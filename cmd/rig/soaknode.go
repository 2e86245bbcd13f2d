package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/rig/soak"
	registry "starlingvalve/internal/standin/discovery"
)

const (
	soakReadyWait = 30 * time.Second
	soakMemoryMB  = 32 // of each node, the least that a deployment gives
	soakSockets   = 512
	// After SIGTERM a process gets the clients' patience, but at most longestEnd, and killAfterEnd more; then SIGKILL may
	// come. Clients go on sending on open connections until then, and requests that are unanswered then are lost.
	longestEnd   = 3 * time.Second
	killAfterEnd = 700 * time.Millisecond
)

// soakNode is a node of the soak test. Its processes follow one another at one address.
type soakNode struct {
	run     *soakRun
	index   int
	name    string
	listen  string
	folder  string // TMPDIR, in which a successor finds its predecessor
	pushed  bool   // the list is pushed by an agent, not requested by the node
	failing bool   // some of its system calls fail
	port    int    // descriptor of a socket that reserves the listen address
	peer    string // UDP address for messages from other nodes

	changing sync.Mutex // held by the fault that replaces the process

	mu            sync.Mutex
	discoveries   []*registry.Caller // discovery of this node at each address so far; the last one is in use
	process       *child
	ops           string          // address of the process's operations listener
	knownRevision uint64          // revision of the list with which a new process begins
	killedAtEnd   []soak.Span     // around the SIGKILL of a process that had not ended after SIGTERM
	killed        []soak.Span     // from SIGKILL until the next process serves
	handovers     []soak.Span     // a predecessor and a successor run
	pressureSpans []soak.Span     // idle clients take all connections
	ready         []time.Duration // from the start of each process until it could serve
	ended         []string        // unexpected ends of processes and missing figures
	ends          []time.Time     // of processes that had no successor
	guard         map[string]int  // violations that the guards counted, by rule
}

// reservePort binds a socket to a free port of 127.0.0.1 with SO_REUSEPORT and does not listen. It reserves the port for
// processes of this user, which can bind it too.
func reservePort() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", err
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		unix.Close(fd)
		return 0, "", err
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		unix.Close(fd)
		return 0, "", err
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), nil
}

// discovery returns the discovery server that the node uses now. The caller holds mu.
func (n *soakNode) discovery() *registry.Caller { return n.discoveries[len(n.discoveries)-1] }

// config returns the node's configuration in the platform's format.
func (n *soakNode) config() ([]byte, error) {
	type object = map[string]any
	var classes []object
	for _, c := range soakClasses(n.run.profile.Patience) {
		effect := "retryable"
		if c.Keyed {
			effect = "dedup"
		} else if c.Unsafe() {
			effect = "fragile"
		}
		classes = append(classes, object{"name": c.Name, "aim_ns": c.Aim, "give_up_ns": c.Patience, "importance": c.Worth, "effect": effect,
			"key_scope": "cell", "dedup_window_ns": soakDedup})
	}
	mode := "on_request"
	if n.pushed {
		mode = "pushed"
	}
	caps := object{"cancel": true, "peers": n.run.profile.Peers, "connect_timeout_ns": 250 * time.Millisecond, "max_attempts": 3, "may_duplicate": true, "retry_after": true,
		"max_retry_after_ns": 2 * time.Second, "conn_idle_ns": 30 * time.Second}
	rules := object{"answer_slack_ns": 20 * time.Millisecond, "ask_within_ns": 10 * time.Second, "cold_from": soakColdFrom, "cold_ns": soakColdTime,
		"drain_grace_ns": 500 * time.Millisecond, "overload_factor": 2.5, "tip_after_ns": time.Second}
	var peers []string
	for _, other := range n.run.nodes {
		peers = append(peers, other.peer)
	}
	return json.MarshalIndent(object{"name": n.name, "peer_listen": n.peer, "peers": peers, "listen": n.listen, "discovery": n.discovery().Addr, "seed": "5f3759df5f3759df",
		"limits": object{"cores": 1.0, "memory_mb": soakMemoryMB, "sockets": soakSockets},
		"known":  object{"version": n.knownRevision, "full": true, "servers": n.run.service.ListAt(n.knownRevision)},
		"settings": object{"balancers": n.run.profile.Balancers, "slot_no": n.index, "zone": "z", "failure_domains": []string{"z"}, "caps": caps,
			"classes": classes, "membership_mode": mode, "tick_ns": 5 * time.Millisecond, "weight_kind": "none",
			"report": object{"how": "none"}, "invariants": rules}}, "", "  ")
}

// writeConfig writes the node's configuration and returns the path of the file.
func (n *soakNode) writeConfig() (path string, err error) {
	raw, err := n.config()
	if err != nil {
		return "", err
	}
	path = filepath.Join(n.run.workspace.dir, n.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts a process and waits until it can serve. step is by how much its wall clock is wrong. With successor the
// present process goes on running.
func (n *soakNode) start(ctx context.Context, step time.Duration, successor bool) error {
	began := time.Now()
	c, err := n.begin(step, successor)
	if err != nil {
		return err
	}
	return n.awaitServing(ctx, c, began)
}

// begin starts a process without waiting for it; the parameters are those of start.
func (n *soakNode) begin(step time.Duration, successor bool) (*child, error) {
	n.mu.Lock()
	if !successor {
		n.discovery().ProcessStarted(n.knownRevision)
	}
	path, err := n.writeConfig()
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	env := []string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GW_OPS=127.0.0.1:0", "TMPDIR=" + n.folder, "RIG_WALL_STEP=" + step.String()}
	program, args := n.run.workspace.binary, []string(nil)
	if n.failing {
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
		args = []string{"failing", n.run.workspace.binary}
	}
	return n.run.workspace.start(env, program, args...)
}

// awaitServing waits until a process that began at began can serve, and makes it the node's process.
func (n *soakNode) awaitServing(ctx context.Context, c *child, began time.Time) error {
	ops, err := awaitOps(ctx, c)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.ops = c, ops
	n.ready = append(n.ready, time.Since(began))
	n.run.watch(n, c, ops)
	return nil
}

// awaitOps waits until a process reports that it can serve, and returns the address of its operations listener.
func awaitOps(ctx context.Context, c *child) (string, error) {
	for end := time.Now().Add(soakReadyWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		select {
		case <-c.ended:
			return "", fmt.Errorf("the process ended before it could serve: %v\n%s", c.err, c.log.String())
		default:
		}
		_, rest, found := strings.Cut(c.log.String(), " ops=")
		if !found || !strings.Contains(rest, "\n") {
			continue
		}
		ops := strings.Fields(rest)[0]
		resp, err := http.Get("http://" + ops + "/healthcheck")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return ops, nil
		}
	}
	return "", fmt.Errorf("not able to serve within %v\n%s", soakReadyWait, c.log.String())
}

// kill sends SIGKILL to the process. Failures of its open requests are excused until markBack is called.
func (n *soakNode) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends = append(n.ends, time.Now())
	n.killed = append(n.killed, soak.Span{From: time.Now()})
	n.knownRevision = n.run.service.Revision()
	n.process.kill()
	n.countViolations(n.process)
}

// markBack ends the time in which failures of a killed node are excused.
func (n *soakNode) markBack() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed[len(n.killed)-1].To = time.Now()
}

// terminate sends SIGTERM to a process, and SIGKILL at the earliest time at which that may follow. Requests that are
// unanswered then count as lost; no part of that time is excused.
func (n *soakNode) terminate(c *child) {
	c.cmd.Process.Signal(syscall.SIGTERM)
	n.awaitEnd(c, time.Now().Add(min(n.run.profile.Patience, longestEnd)+killAfterEnd))
}

// awaitEnd waits for the end of a process that got SIGTERM, and kills it at killAt. An error exit before that is recorded.
func (n *soakNode) awaitEnd(c *child, killAt time.Time) {
	n.endOrKill(c, killAt)
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.err != nil && time.Now().Before(killAt) {
		n.ended = append(n.ended, fmt.Sprintf("%s: at SIGTERM: %v\n%s", n.name, c.err, lastLines(c.log.String(), 20)))
	}
	n.countViolations(c)
}

// endOrKill waits for the end of a process, and kills it at killAt.
func (n *soakNode) endOrKill(c *child, killAt time.Time) {
	select {
	case <-c.ended:
		return
	case <-time.After(time.Until(killAt)):
	}
	n.run.killedAtEnd.Add(1)
	c.kill()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killedAtEnd = append(n.killedAtEnd, soak.Span{From: killAt, To: time.Now()})
}

// countViolations adds the violations in the log of a process that has ended, and saves the log. The caller holds mu.
func (n *soakNode) countViolations(c *child) {
	for rule, count := range violationsLogged(c.log.String()) {
		n.guard[rule] += count
	}
	n.run.saveLog(n.name, c)
}

// lastLines returns the last limit lines of a text.
func lastLines(text string, limit int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-limit):], "\n")
}

// restart ends the process by SIGTERM and starts another one.
func (n *soakNode) restart(ctx context.Context, step time.Duration) error {
	n.end()
	return n.start(ctx, step, false)
}

// end ends the present process by SIGTERM. The next process begins with the list of this moment.
func (n *soakNode) end() {
	n.mu.Lock()
	c := n.process
	n.mu.Unlock()
	n.terminate(c)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends = append(n.ends, time.Now())
	n.knownRevision = n.run.service.Revision()
}

// handover starts a successor while the present process serves, and ends the latter once the successor serves.
func (n *soakNode) handover(ctx context.Context) error {
	n.mu.Lock()
	before := n.process
	n.handovers = append(n.handovers, soak.Span{From: time.Now(), To: time.Now().Add(soakReadyWait)})
	n.mu.Unlock()
	err := n.start(ctx, 0, true)
	n.mu.Lock()
	n.handovers[len(n.handovers)-1].To = time.Now()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.terminate(before)
	return nil
}

// reload opens discovery at another address, writes the new configuration and has the process read it by SIGHUP.
func (n *soakNode) reload() error {
	next, err := n.run.listen(n)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := time.Duration(0)
	if n.pushed {
		delay = pushedReload
	}
	next.ContinueFrom(n.discovery(), delay)
	n.discoveries = append(n.discoveries, next)
	if _, err := n.writeConfig(); err != nil {
		return err
	}
	return n.process.cmd.Process.Signal(syscall.SIGHUP)
}

// notifications returns the notifications of lists that discovery sent to the node at all addresses.
func (n *soakNode) notifications() (all []registry.Notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.discoveries {
		all = append(all, c.Notifications()...)
	}
	return all
}

// figures reads a process's metrics from its operations listener.
func figures(ops string) (map[string]int, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + ops + "/stats")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	values := map[string]int{}
	for line := range strings.Lines(string(raw)) {
		name, rest, _ := strings.Cut(line, ":")
		text, _, _ := strings.Cut(rest, "|")
		if v, err := strconv.Atoi(text); err == nil {
			values[name] = v
		}
	}
	return values, nil
}
