package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"starlingvalve/internal/standin"
)

// Size of a site.
const (
	siteNodes   = 2
	siteServers = 4
	siteCores   = 2 // of each server
)

// site is a set of servers with a registry and nodes, and a wire that leads to the link port of each node.
type site struct {
	name  string
	fleet *fleet
	auth  *standin.Authority
	nodes []*node
	peers []string // UDP addresses at which the site's nodes exchange load reports
	links []string // UDP addresses of the nodes' link ports
	wires []*standin.Wire
	files []string // configuration files of the nodes' links; empty: no link
}

// close ends the nodes, wires and servers of the site.
func (h *site) close() {
	for _, n := range h.nodes {
		n.kill()
	}
	for _, w := range h.wires {
		w.Close()
	}
	if h.fleet != nil {
		h.fleet.Close()
	}
}

// openSites starts two sites with the given numbers of servers. If link is true, the sites are peers of each other over
// wires with a delay of 1 ms.
func openSites(ctx context.Context, w *workspace, link bool, servers [2]int, cores int) (sites []*site, err error) {
	defer func() {
		if err != nil {
			closeSites(sites)
		}
	}()
	for i, name := range []string{"hall-a", "hall-b"} {
		h := &site{name: name}
		sites = append(sites, h)
		if h.fleet, err = newFleet(servers[i], cores, 60, mediaWork(1)); err != nil {
			return sites, err
		}
		if h.auth, err = standin.NewAuthority(); err != nil {
			return sites, err
		}
		for range siteNodes {
			for _, list := range []*[]string{&h.links, &h.peers} {
				udp, err := net.ListenPacket("udp", "127.0.0.1:0")
				if err != nil {
					return sites, err
				}
				*list = append(*list, udp.LocalAddr().String())
				udp.Close()
			}
			wire, err := standin.NewWire(h.links[len(h.links)-1])
			if err != nil {
				return sites, err
			}
			wire.Delay(time.Millisecond)
			h.wires = append(h.wires, wire)
		}
	}
	for i, h := range sites {
		for n := range siteNodes {
			if link {
				file, err := gatewayFile(w, h, sites[1-i], n)
				if err != nil {
					return sites, err
				}
				h.files = append(h.files, file)
			}
			if err := h.startNode(ctx, w, n); err != nil {
				return sites, err
			}
		}
	}
	return sites, nil
}

func closeSites(sites []*site) {
	for _, h := range sites {
		h.close()
	}
}

// startNode starts node n of the site, or starts it again.
func (h *site) startNode(ctx context.Context, w *workspace, n int) error {
	o := nodeOptions{name: fmt.Sprintf("%s-%d", h.name, n), peers: h.peers, registry: h.fleet.registry.Addr, classes: mediaClasses, nodes: siteNodes, self: n, memoryMB: 192,
		sockets: 1024, zone: "hall-a", coldFrom: 1, coldTime: time.Second}
	if len(h.files) > 0 {
		o.args = []string{"-gateway", h.files[n]}
	}
	started, err := w.node(ctx, w.binary, o)
	if err != nil {
		return err
	}
	if n < len(h.nodes) {
		h.nodes[n] = started
	} else {
		h.nodes = append(h.nodes, started)
	}
	return nil
}

// gatewayFile writes the link configuration of node n, with its certificate and the root certificate of the other site, and
// returns the path.
func gatewayFile(w *workspace, h, other *site, n int) (string, error) {
	_, cert, key, err := h.auth.Issue(h.name+".example.org", time.Now().Add(time.Hour))
	if err != nil {
		return "", err
	}
	base := filepath.Join(w.dir, fmt.Sprintf("%s-%d", h.name, n))
	var addrs []string
	for _, wire := range other.wires {
		addrs = append(addrs, fmt.Sprintf("%q", wire.Addr))
	}
	text := fmt.Sprintf("[site]\nname = %q\nlisten = %q\ncertificate = %q\nkey = %q\n\n[[peer]]\nname = %q\nroots = %q\naddresses = [%s]\n",
		h.name+".example.org", h.links[n], base+".crt", base+".key", other.name+".example.org", base+".roots", strings.Join(addrs, ", "))
	for name, content := range map[string][]byte{".crt": cert, ".key": key, ".roots": other.auth.RootPEM(), ".toml": []byte(text)} {
		if err := os.WriteFile(base+name, content, 0o600); err != nil {
			return "", err
		}
	}
	return base + ".toml", nil
}
