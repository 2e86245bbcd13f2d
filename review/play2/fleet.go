package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"starlingvalve/internal/standin"
)

const fleetDomain = "fleet.hall-a.example.org"

// member is a node of a fleet.
type member struct {
	name, listen, udp         string
	config, file, socket, ops string
	wires                     []*standin.Wire // to each voter; nil: directly
}

// writeFleet writes the files of n members, of which the first three vote, with the defaults of deploy/fleet.toml. If wired, each
// member reaches each voter over a wire of its own.
func (w *world) writeFleet(n int, registry string, classes []standin.Class, wired bool, budgets string) (members []*member, err error) {
	auth, err := standin.NewAuthority()
	if err != nil {
		return nil, err
	}
	for i := range n {
		m := &member{name: fmt.Sprintf("n%d", i+1)}
		for _, port := range []struct {
			network string
			into    *string
		}{{"tcp", &m.listen}, {"udp", &m.udp}, {"tcp", &m.ops}} {
			if *port.into, err = freePort(port.network); err != nil {
				return nil, err
			}
		}
		base := filepath.Join(w.dir, m.name)
		m.file, m.socket = base+"-fleet.toml", base+".sock"
		if m.config, err = w.writeConfig(nodeConfig{name: m.name, listen: m.listen, registry: registry, zone: "hall-a", nodes: n, self: i, classes: classes}); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	for i, m := range members {
		_, cert, key, err := auth.Issue(m.name+"."+fleetDomain, time.Now().Add(time.Hour))
		if err != nil {
			return nil, err
		}
		base := filepath.Join(w.dir, m.name)
		var b bytes.Buffer
		fmt.Fprintf(&b, "[node]\nname = %q\ndomain = %q\nzone = \"hall-a\"\ncertificate = %q\nkey = %q\nroots = %q\nfolder = %q\nsocket = %q\n",
			m.name, fleetDomain, base+".crt", base+".key", base+".roots", base+"-fleet", m.socket)
		if i < 3 {
			fmt.Fprintf(&b, "listen = %q\n", m.udp)
		}
		b.WriteString("\n[timing]\nsession_ms = 5000\ntick_ms = 100\n")
		for j, v := range members[:3] {
			addr := v.udp
			m.wires = append(m.wires, nil)
			if wired && j != i {
				if m.wires[j], err = standin.NewWire(v.udp); err != nil {
					return nil, err
				}
				w.onClose(m.wires[j].Close)
				addr = m.wires[j].Addr
			}
			fmt.Fprintf(&b, "\n[[voter]]\nname = %q\naddress = %q\n", v.name, addr)
		}
		b.WriteString(budgets)
		for path, content := range map[string][]byte{base + ".crt": cert, base + ".key": key, base + ".roots": auth.RootPEM(), m.file: b.Bytes()} {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				return nil, err
			}
		}
	}
	return members, nil
}

// startMember starts a node with -fleet. ops overrides the node's operators' address.
func (w *world) startMember(m *member, ops string) (*process, error) {
	return w.start(m.name, []string{"GW_CONFIG=" + m.config, "GW_OPS=" + ops}, "-fleet", m.file)
}

// startFleet starts all members and waits until each is ready and has a session.
func (w *world) startFleet(ctx context.Context, members []*member) (procs []*process, err error) {
	for _, m := range members {
		p, err := w.startMember(m, m.ops)
		if err != nil {
			return nil, err
		}
		procs = append(procs, p)
	}
	for i, m := range members {
		if err := awaitStatus(ctx, procs[i], "http://"+m.listen+"/health/ready"); err != nil {
			return nil, err
		}
	}
	return procs, w.awaitLive(ctx, members[0], len(members))
}

// awaitLive waits until the fleet has n live sessions and servers.
func (w *world) awaitLive(ctx context.Context, m *member, n int) error {
	for end := time.Now().Add(30 * time.Second); ; sleep(ctx, 100*time.Millisecond) {
		text, code := w.command(ctx, m, "fleet", "status")
		if code == 0 && strings.Count(text, "live since") == n && !strings.Contains(text, " 0 servers") {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the fleet has not settled: %s", text)
		}
	}
}

// command runs a command of the program through a member's socket and returns its output and exit code.
func (w *world) command(ctx context.Context, m *member, name string, args ...string) (string, int) {
	cmd := exec.CommandContext(ctx, w.binary, append([]string{name, "--socket", m.socket}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); cmd.ProcessState == nil {
		return err.Error(), -1
	}
	return strings.TrimSpace(out.String()), cmd.ProcessState.ExitCode()
}

// operate is command, with a line in the record.
func (w *world) operate(ctx context.Context, m *member, name string, args ...string) (string, int) {
	text, code := w.command(ctx, m, name, args...)
	w.note("operator", "starlingvalve %s %s: exit code %d: %s", name, strings.Join(args, " "), code, text)
	return text, code
}
