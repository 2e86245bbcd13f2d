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
	// After SIGTERM, SIGKILL comes the longest deadline and killAfterEnd later. Clients go on sending on open connections until
	// then, and what is unanswered then is lost.
	longestEnd   = 3 * time.Second
	killAfterEnd = 700 * time.Millisecond
)

// soakNode is a node of the soak test, whose processes follow one another at one address.
type soakNode struct {
	play    *soakPlay
	index   int
	name    string
	listen  string
	folder  string // TMPDIR: where a successor finds its predecessor
	pushed  bool
	failing bool   // some of its system calls fail
	port    int    // keeps the address
	peer    string // where it hears other nodes

	changing sync.Mutex // of its process, by one fault at a time

	mu        sync.Mutex
	callers   []*registry.Caller // the last one is its discovery now
	process   *child
	ops       string
	known     uint64 // revision of the list that a new process begins with
	killed    []soak.Span
	handovers []soak.Span
	crowds    []soak.Span
	ready     []time.Duration
	ended     []string
	guard     map[string]int
}

// reservePort binds a port of 127.0.0.1 for processes of this user that share it: nobody listens there yet.
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

// caller is the node's discovery now.
func (n *soakNode) caller() *registry.Caller { return n.callers[len(n.callers)-1] }

// config is the node's configuration as the platform writes it.
func (n *soakNode) config() ([]byte, error) {
	type object = map[string]any
	var classes []object
	for _, c := range soakClasses(n.play.profile.Patience) {
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
	caps := object{"cancel": true, "peers": n.play.profile.Peers, "connect_timeout_ns": 250 * time.Millisecond, "max_attempts": 3, "may_duplicate": true, "retry_after": true,
		"max_retry_after_ns": 2 * time.Second, "conn_idle_ns": 30 * time.Second}
	rules := object{"answer_slack_ns": 20 * time.Millisecond, "ask_within_ns": 10 * time.Second, "cold_from": soakColdFrom, "cold_ns": soakColdTime,
		"drain_grace_ns": 500 * time.Millisecond, "overload_factor": 2.5, "tip_after_ns": time.Second}
	var peers []string
	for _, other := range n.play.nodes {
		peers = append(peers, other.peer)
	}
	return json.MarshalIndent(object{"name": n.name, "peer_listen": n.peer, "peers": peers, "listen": n.listen, "discovery": n.caller().Addr, "seed": "5f3759df5f3759df",
		"limits": object{"cores": 1.0, "memory_mb": 64, "sockets": 512},
		"known":  object{"version": n.known, "full": true, "servers": n.play.service.ListAt(n.known)},
		"settings": object{"balancers": n.play.profile.Balancers, "slot_no": n.index, "zone": "z", "failure_domains": []string{"z"}, "caps": caps,
			"classes": classes, "membership_mode": mode, "tick_ns": 5 * time.Millisecond, "weight_kind": "none",
			"report": object{"how": "none"}, "invariants": rules}}, "", "  ")
}

func (n *soakNode) writeConfig() (path string, err error) {
	raw, err := n.config()
	if err != nil {
		return "", err
	}
	path = filepath.Join(n.play.workshop.dir, n.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts a process and waits until it can serve. With successor the one before goes on for now.
func (n *soakNode) start(ctx context.Context, step time.Duration, successor bool) error {
	began := time.Now()
	c, err := n.begin(step, successor)
	if err != nil {
		return err
	}
	return n.serves(ctx, c, began)
}

// begin starts a process.
func (n *soakNode) begin(step time.Duration, successor bool) (*child, error) {
	n.mu.Lock()
	if !successor {
		n.caller().ProcessStarted(n.known)
	}
	path, err := n.writeConfig()
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	env := []string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GW_OPS=127.0.0.1:0", "TMPDIR=" + n.folder, "RIG_WALL_STEP=" + step.String()}
	program, args := n.play.workshop.binary, []string(nil)
	if n.failing {
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
		args = []string{"failing", n.play.workshop.binary}
	}
	return n.play.workshop.start(env, program, args...)
}

// serves waits until a process can serve, which is the node's from then on.
func (n *soakNode) serves(ctx context.Context, c *child, began time.Time) error {
	ops, err := awaitOps(ctx, c)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.ops = c, ops
	n.ready = append(n.ready, time.Since(began))
	n.play.watch(n, c, ops)
	return nil
}

// awaitOps waits until a process says that it can serve, and gives its second address.
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

// kill ends the process at once. What was open with it then is excused until another one serves.
func (n *soakNode) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = append(n.killed, soak.Span{From: time.Now()})
	n.known = n.play.service.Revision()
	n.process.kill()
	n.note(n.process)
}

// back ends the time in which a killed node is excused.
func (n *soakNode) back() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed[len(n.killed)-1].To = time.Now()
}

// terminate tells a process to end, and kills it at the earliest time at which that may happen. What it has not answered
// by then is lost: no part of that time is excused.
func (n *soakNode) terminate(c *child) {
	c.cmd.Process.Signal(syscall.SIGTERM)
	n.awaitEnd(c, time.Now().Add(min(n.play.profile.Patience, longestEnd)+killAfterEnd))
}

// awaitEnd waits for a process that was told to end, and kills it at a time.
func (n *soakNode) awaitEnd(c *child, killAt time.Time) {
	select {
	case <-c.ended:
	case <-time.After(time.Until(killAt)):
		n.play.killedAtEnd.Add(1)
		c.kill()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.err != nil && time.Now().Before(killAt) {
		n.ended = append(n.ended, fmt.Sprintf("%s: at SIGTERM: %v\n%s", n.name, c.err, lastLines(c.log.String(), 20)))
	}
	n.note(c)
}

// note takes what the log of a process that has ended says. The lock is held.
func (n *soakNode) note(c *child) {
	for rule, count := range violationsLogged(c.log.String()) {
		n.guard[rule] += count
	}
	n.play.keep(n.name, c)
}

func lastLines(text string, most int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}

// restart has the process end in order, and starts another one.
func (n *soakNode) restart(ctx context.Context, step time.Duration) error {
	n.end()
	return n.start(ctx, step, false)
}

// end has the present process end in order. The next one begins with the list of this moment.
func (n *soakNode) end() {
	n.mu.Lock()
	c := n.process
	n.mu.Unlock()
	n.terminate(c)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known = n.play.service.Revision()
}

// handover has a successor take over while the process serves.
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

// reload moves discovery to another address.
func (n *soakNode) reload() error {
	next, err := n.play.listen(n)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := time.Duration(0)
	if n.pushed {
		delay = pushedReload
	}
	next.ContinueFrom(n.caller(), delay)
	n.callers = append(n.callers, next)
	if _, err := n.writeConfig(); err != nil {
		return err
	}
	return n.process.cmd.Process.Signal(syscall.SIGHUP)
}

// notifications are those of all its discoveries.
func (n *soakNode) notifications() (all []registry.Notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.callers {
		all = append(all, c.Notifications()...)
	}
	return all
}

// figures reads a process's figures.
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
