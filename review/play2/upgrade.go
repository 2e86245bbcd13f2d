package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["upgrade"] = playUpgrade }

// playUpgrade: the process of a node with a gateway is replaced.
func playUpgrade(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "broadcast-clip", Method: "GET", Share: 1, Worth: 12, Aim: 600 * time.Millisecond, Patience: 1200 * time.Millisecond}}
	_, registry, err := w.servers(3, map[string]standin.Work{"broadcast-clip": {Time: 100 * time.Millisecond}})
	if err != nil {
		return err
	}
	listen, err := freePort("tcp")
	if err != nil {
		return err
	}
	config, err := w.writeConfig(nodeConfig{name: "n1", listen: listen, registry: registry.Addr, zone: "hall-a", nodes: 1, classes: classes})
	if err != nil {
		return err
	}
	var addr [2]string
	var auth [2]*standin.Authority
	for i := range addr {
		if addr[i], err = freePort("udp"); err != nil {
			return err
		}
		if auth[i], err = standin.NewAuthority(); err != nil {
			return err
		}
	}
	_, cert, key, err := auth[0].Issue("hall-a.example.org", time.Now().Add(time.Hour))
	if err != nil {
		return err
	}
	base := filepath.Join(w.dir, "hall-a")
	text := fmt.Sprintf("[site]\nname = \"hall-a.example.org\"\nlisten = %q\ncertificate = %q\nkey = %q\n\n[[peer]]\nname = \"hall-b.example.org\"\nroots = %q\naddresses = [%q]\n",
		addr[0], base+".crt", base+".key", base+".roots", addr[1])
	for path, content := range map[string][]byte{base + ".crt": cert, base + ".key": key, base + ".roots": auth[1].RootPEM(), base + ".toml": []byte(text)} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return err
		}
	}
	begin := func(name string) (*process, error) {
		ops, err := freePort("tcp")
		if err != nil {
			return nil, err
		}
		p, err := w.start(name, []string{"GW_CONFIG=" + config, "GW_OPS=" + ops}, "-gateway", base+".toml")
		if err != nil {
			return nil, err
		}
		return p, awaitStatus(ctx, p, "http://"+ops+"/healthcheck")
	}
	old, err := begin("old")
	if err != nil {
		return err
	}
	sleep(ctx, 2*time.Second)
	if w.trouble {
		successor, err := begin("successor")
		if err == nil {
			w.signal(old, 15)
			<-old.ended
		}
		select {
		case <-successor.ended:
			w.fault("the successor ended by itself, within the replacement of a process with a gateway: %v", err)
		default:
		}
	}
	sleep(ctx, time.Second)
	return nil
}
