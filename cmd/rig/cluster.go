package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/standin"
)

// cluster is several nodes of one fleet that run as processes with one replicated log. A member reaches each voter
// through a separate wire, which can be cut.
type cluster struct {
	w        *workspace
	auth     *standin.Authority
	registry string
	voters   int // how many of the members, from the first on, are voters
	budgets  string
	session  time.Duration // lifetime of a session
	tick     time.Duration
	skew     float64 // fraction by which clocks are wrong: of each three members one is right, one slow, one fast
	watched  bool    // each member's process is a supervisor, which runs the node as its own child
	members  []*clusterMember
	history  *history
	coldFrom float64 // fraction of full speed at which servers start; 0: they start warm
	coldTime time.Duration
	removals []removalSpan // servers that left the registry without a drain
}

const (
	clusterDomain  = "fleet.example.org"
	clusterSession = 2500 * time.Millisecond // default lifetime of a session
	clusterTick    = 60 * time.Millisecond
)

// freePort returns a loopback address with a port that is free now. It is taken from below the kernel's ephemeral range,
// so that the kernel assigns it to no other socket while a member is down.
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

// openCluster starts n members, spread over the zones in turn; the first of them are the voters. It waits until each
// member serves and has a session.
func openCluster(ctx context.Context, w *workspace, registry string, n, voters int, zones []string, budgets string, h *history) (*cluster, error) {
	p := &cluster{w: w, registry: registry, voters: voters, budgets: budgets, history: h}
	return p.open(ctx, n, zones)
}

// open starts n members as openCluster does, with a new certificate authority. A session lifetime or tick of 0 gets the
// default.
func (p *cluster) open(ctx context.Context, n int, zones []string) (_ *cluster, err error) {
	if p.auth, err = standin.NewAuthority(); err != nil {
		return nil, err
	}
	p.session, p.tick = cmp.Or(p.session, clusterSession), cmp.Or(p.tick, clusterTick)
	for i := range n {
		m := &clusterMember{watched: p.watched, name: fmt.Sprintf("n%d", i+1), zone: zones[i%len(zones)], wires: make([]*standin.Wire, p.voters)}
		if m.listen, err = freePort("tcp"); err != nil {
			return nil, err
		}
		if m.udp, err = freePort("udp"); err != nil {
			return nil, err
		}
		base := filepath.Join(p.w.dir, m.name)
		m.folder, m.socket, m.file = base+"-fleet", base+".sock", base+"-fleet.toml"
		p.members = append(p.members, m)
	}
	for _, m := range p.members {
		if err := p.writeFiles(m); err != nil {
			p.close()
			return nil, err
		}
	}
	errs := make(chan error, n)
	for i := range p.members {
		go func() { errs <- p.startMember(ctx, i) }()
	}
	for range n {
		err = errors.Join(err, <-errs)
	}
	if err == nil {
		err = p.awaitSettled(ctx)
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// writeFiles makes a member's wires and writes its certificate, fleet file and supervisor file.
func (p *cluster) writeFiles(m *clusterMember) error {
	_, cert, key, err := p.auth.Issue(m.name+"."+clusterDomain, time.Now().Add(time.Hour))
	if err != nil {
		return err
	}
	base := strings.TrimSuffix(m.file, "-fleet.toml")
	var b bytes.Buffer
	fmt.Fprintf(&b, "[node]\nname = %q\ndomain = %q\nzone = %q\ncertificate = %q\nkey = %q\nroots = %q\nfolder = %q\nsocket = %q\n",
		m.name, clusterDomain, m.zone, base+".crt", base+".key", base+".roots", m.folder, m.socket)
	if i := slices.Index(p.members, m); i >= 0 && i < p.voters {
		fmt.Fprintf(&b, "listen = %q\n", m.udp)
	}
	rate := 1 + p.skew*[]float64{0, 1, -1}[max(0, slices.Index(p.members, m))%3] // clock rate
	fmt.Fprintf(&b, "\n[timing]\nsession_ms = %.0f\ntick_ms = %.0f\n", rate*1e3*p.session.Seconds(), rate*1e3*p.tick.Seconds())
	for i, v := range p.members[:p.voters] {
		addr := v.udp
		if v != m {
			if m.wires[i] == nil {
				if m.wires[i], err = standin.NewWire(v.udp); err != nil {
					return err
				}
			}
			addr = m.wires[i].Addr
		}
		fmt.Fprintf(&b, "\n[[voter]]\nname = %q\naddress = %q\n", v.name, addr)
	}
	b.WriteString(p.budgets)
	if p.watched {
		text := fmt.Sprintf("[supervise]\nfleet = %q\nfolder = %q\nend_ms = 6000\nready_ms = 4000\n", m.file, base+"-programs")
		if err := os.WriteFile(m.supervisorFile(), []byte(text), 0o600); err != nil {
			return err
		}
	}
	for name, content := range map[string][]byte{base + ".crt": cert, base + ".key": key, base + ".roots": p.auth.RootPEM(), m.file: b.Bytes()} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startMember starts the process of member i and waits until it serves.
func (p *cluster) startMember(ctx context.Context, i int) error {
	m := p.members[i]
	path, err := p.w.configFile(nodeOptions{name: m.name, registry: p.registry, classes: mediaClasses, nodes: len(p.members), self: i, memoryMB: 192, sockets: 1024,
		zone: m.zone, coldFrom: cmp.Or(p.coldFrom, 1), coldTime: cmp.Or(p.coldTime, time.Second), listen: m.listen})
	if err != nil {
		return err
	}
	env := []string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "TMPDIR=" + p.w.dir, "RIG_FAULTS=" + m.faultsFile()}
	var c *child
	if p.watched {
		var log *os.File
		if log, err = os.OpenFile(m.supervisorFile()+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
		defer log.Close()
		c, err = p.w.startAs(log, syscall.SIGTERM, env, p.w.binary, "supervise", m.supervisorFile())
	} else {
		c, err = p.w.start(env, p.w.binary, "-fleet", m.file)
	}
	if err != nil {
		return err
	}
	n := &node{child: c, addr: m.listen}
	if err := ready(ctx, c, "http://"+m.listen+"/health/ready"); err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proc, m.procs = n, append(m.procs, n)
	m.markUp()
	return nil
}

// cut cuts or restores the path from one member to another, in that direction only.
func (p *cluster) cut(from, to int, on bool) {
	if to < p.voters && p.members[from].wires[to] != nil {
		p.members[from].wires[to].CutDirection(true, on)
	}
	if from < p.voters && p.members[to].wires[from] != nil {
		p.members[to].wires[from].CutDirection(false, on)
	}
}

// heal removes all cuts, delays and losses from all paths.
func (p *cluster) heal() {
	for _, m := range p.members {
		for _, w := range m.wires {
			if w != nil {
				w.Cut(false, false)
				w.Delay(0)
				w.Loss(0)
			}
		}
	}
}

// close ends all members and their wires. Supervisors are stopped in order first, as they end their nodes.
func (p *cluster) close() {
	var ending sync.WaitGroup
	for _, m := range p.members {
		m.mu.Lock()
		if n := m.proc; p.watched && n != nil { // the supervisor ends its node
			ending.Go(n.stop)
		}
		m.mu.Unlock()
	}
	ending.Wait()
	for _, m := range p.members {
		m.kill()
		for _, w := range m.wires {
			if w != nil {
				w.Close()
			}
		}
	}
}

// leader returns the index of the voter that reports to be leader in the latest term, or -1 if none does.
func (p *cluster) leader(ctx context.Context) int {
	best, term := -1, uint64(0)
	for i, m := range p.members[:p.voters] {
		if !m.running() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		h, err := control.NewAPIClient(m.socket).Status(ctx)
		cancel()
		if err == nil && h.Voter == "leads" && h.Term >= term {
			best, term = i, h.Term
		}
	}
	return best
}

// settleWait is how long the rigs wait for a cluster to reach an expected state.
const settleWait = 30 * time.Second

// awaitSettled waits until the replicated state has a live session of each member, the budgets, and servers.
func (p *cluster) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	var last error
	for try := 0; ; try++ {
		m := p.members[try%len(p.members)]
		s, err := control.NewAPIClient(m.socket).State(ctx)
		if err == nil {
			live, listed := 0, len(s.Servers)
			for _, n := range s.Nodes {
				if n.State == "live" {
					live++
				}
			}
			if live == len(p.members) && s.BudgetsSet && listed > 0 {
				return nil
			}
			err = fmt.Errorf("%d of %d members have a session, %d servers listed", live, len(p.members), listed)
		}
		last = err
		select {
		case <-ctx.Done():
			return fmt.Errorf("not settled within %v: %w\n%s", settleWait, last, strings.Join(m.logs(), "\n"))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// load has clients send rate requests a second to each member until ctx ends; running counts the clients. The first
// member's clients draw from seed, those of member i from seed+i.
func (p *cluster) load(ctx context.Context, running *sync.WaitGroup, classes []standin.Class, rate float64, seed uint64) []*standin.Load {
	var loads []*standin.Load
	for i, m := range p.members {
		l := &standin.Load{Addr: m.listen, Classes: classes, Retries: 2, Prefix: m.name + "-", KeepLog: true,
			Seed: seed + uint64(i)}
		loads = append(loads, l)
		running.Go(func() { l.RunOpen(ctx, rate, 500) })
	}
	return loads
}

// fleetCommand runs the program's fleet command in a separate process, through a member's socket, and returns its output
// and exit code.
func (p *cluster) fleetCommand(ctx context.Context, m *clusterMember, args ...string) (string, int) {
	return p.command(ctx, m, "fleet", args...)
}

// command runs one of the program's commands through a member's socket, and returns its standard output, or its standard
// error if there is none, and its exit code. The code is -1 if the command could not be run.
func (p *cluster) command(ctx context.Context, m *clusterMember, name string, args ...string) (string, int) {
	ctx, cancel := context.WithTimeout(ctx, commandLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, p.w.binary, append([]string{name, "--socket", m.socket}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); cmd.ProcessState == nil {
		return err.Error(), -1
	}
	code := cmd.ProcessState.ExitCode()
	if out.Len() == 0 {
		return errs.String(), code
	}
	return out.String(), code
}

// commandLimit is the longest time that a command of the program may take.
const commandLimit = 45 * time.Second

// result decodes the JSON output of a command. What can't be decoded stays empty.
func result(text string) (r struct {
	Code, Reason string
	Epoch        uint64 `json:",string"`
}) {
	json.Unmarshal([]byte(text), &r)
	return r
}
