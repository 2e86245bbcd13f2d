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

// cluster is some nodes of one fleet as processes with one replicated log. Each pair's path leads through a wire of its
// own, which can be cut.
type cluster struct {
	w        *workshop
	auth     *standin.Authority
	registry string
	voters   int // the first so many of the members
	budgets  string
	session  time.Duration // a session's life
	tick     time.Duration
	skew     float64 // of the members' clocks, by turns right, slow and fast by this part
	watched  bool    // each member's process is a supervisor, which keeps the node's
	members  []*clusterMember
	history  *history
	coldFrom float64 // part of their speed at which servers start; 0: they are warm
	coldTime time.Duration
	gone     []downTime // servers that went by themselves
}

const (
	clusterDomain  = "fleet.example.org"
	clusterSession = 2500 * time.Millisecond
	clusterTick    = 60 * time.Millisecond
)

// freePort is a port that nobody had a moment ago, of those that the kernel gives nobody by itself: a member that is
// down for a while finds it free.
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

// openCluster starts n members, the first of them voters, in zones by turns, and waits until each serves and has a
// session.
func openCluster(ctx context.Context, w *workshop, registry string, n, voters int, zones []string, budgets string, h *history) (*cluster, error) {
	p := &cluster{w: w, registry: registry, voters: voters, budgets: budgets, history: h}
	return p.open(ctx, n, zones)
}

// open starts n members as openCluster does, with a new authority. A session's life and a tick that are 0 get the usual
// ones.
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
		if err := p.write(m); err != nil {
			p.close()
			return nil, err
		}
	}
	errs := make(chan error, n)
	for i := range p.members {
		go func() { errs <- p.start(ctx, i) }()
	}
	for range n {
		err = errors.Join(err, <-errs)
	}
	if err == nil {
		err = p.settled(ctx)
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// write makes a member's wires, certificate and fleet file.
func (p *cluster) write(m *clusterMember) error {
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
	rate := 1 + p.skew*[]float64{0, 1, -1}[max(0, slices.Index(p.members, m))%3] // of its second
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
		if err := os.WriteFile(m.supervisor(), []byte(text), 0o600); err != nil {
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

// start starts a member's process and waits until it serves.
func (p *cluster) start(ctx context.Context, i int) error {
	m := p.members[i]
	path, err := p.w.configFile(nodeOptions{name: m.name, registry: p.registry, classes: kampklip, nodes: len(p.members), self: i, memoryMB: 192, sockets: 1024,
		zone: m.zone, coldFrom: cmp.Or(p.coldFrom, 1), coldTime: cmp.Or(p.coldTime, time.Second), listen: m.listen})
	if err != nil {
		return err
	}
	env := []string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "TMPDIR=" + p.w.dir, "RIG_FAULTS=" + m.faults()}
	var c *child
	if p.watched {
		var log *os.File
		if log, err = os.OpenFile(m.supervisor()+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
		defer log.Close()
		c, err = p.w.startAs(log, syscall.SIGTERM, env, p.w.binary, "supervise", m.supervisor())
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
	m.up()
	return nil
}

// cut cuts the paths from one member to another, one way; on a whole cut it is called for both.
func (p *cluster) cut(from, to int, on bool) {
	if to < p.voters && p.members[from].wires[to] != nil {
		p.members[from].wires[to].CutDirection(true, on)
	}
	if from < p.voters && p.members[to].wires[from] != nil {
		p.members[to].wires[from].CutDirection(false, on)
	}
}

// heal makes all paths whole.
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

func (p *cluster) close() {
	var ending sync.WaitGroup
	for _, m := range p.members {
		m.mu.Lock()
		if n := m.proc; p.watched && n != nil { // it ends its node
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

// leader is the index of the member that reports to be the leader, of the latest term; -1: none does.
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

const settleWait = 30 * time.Second

// settled waits until all members have a session, as the leader reports.
func (p *cluster) settled(ctx context.Context) error {
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

// load has clients send rate requests a second to each member until ctx ends. running waits for them, seed is the first
// member's and the others' follow.
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

// ask runs the program's fleet command as a process of its own, through a member's socket, and gives what it prints and
// its exit code.
func (p *cluster) ask(ctx context.Context, m *clusterMember, args ...string) (string, int) {
	return p.command(ctx, m, "fleet", args...)
}

// command runs one of the program's commands.
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

const commandLimit = 45 * time.Second

// result reads what a command printed as JSON.
func result(text string) (r struct {
	Code, Reason string
	Epoch        uint64 `json:",string"`
}) {
	json.Unmarshal([]byte(text), &r)
	return r
}
