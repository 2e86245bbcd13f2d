// Package app assembles a node from its configuration and runs it. It is the only package that depends on all others.
package app

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	"starlingvalve/internal/descriptors"
	"starlingvalve/internal/gateway"
	"starlingvalve/internal/handover"
	"starlingvalve/internal/member/registry"
	"starlingvalve/internal/recorder"
	"starlingvalve/internal/wire"
)

// Limits are the resources that the platform grants the node's process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Config is the configuration of a node.
type Config struct {
	Name      string
	Listen    netip.AddrPort // for clients
	Discovery netip.AddrPort
	Seed      int64
	Limits    Limits
	Ops       netip.AddrPort // the operators' address; invalid: there is none
	Handover  string         // path of the Unix socket for a successor process; empty: no handover
	PeerListen,
	PeersAll netip.AddrPort // own address for messages between nodes, and one that reaches all; invalid: none
	Peers    []netip.AddrPort
	Known    core.List // the last server list that this node had, from the configuration or from its predecessor
	Settings decide.Settings
	Gateway  *gateway.Config  // nil: no requests are exchanged with other sites
	Record   *recorder.Config // nil: no traffic is recorded
	Fleet    *control.Config  // nil: the node takes no part in a fleet's agreement

	reread    func() (*Config, error) // loads the configuration again, at SIGHUP
	setMemory func(bytes int64) int64 // nil: Go's memory limit is not set
}

// Minimum and default limits of a node, and a time limit of the platform.
const (
	// notifiedWithin is set by the platform: a node counts as notified of a change at this time after discovery had
	// the change and was reachable, even if the node's calls to discovery failed.
	notifiedWithin  = 6 * time.Second
	minSockets      = descriptors.MinLimit
	minMemoryMB     = 32
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// LoadConfig reads the configuration file that the variable GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and
// GW_OPS override the file. If gatewayFile is not empty, it is the file that configures how the node hands requests
// to other sites.
func LoadConfig(getenv func(string) string, gatewayFile string) (*Config, error) {
	read := func(getenv func(string) string) (*Config, error) {
		config, err := readConfig(getenv)
		if err == nil && gatewayFile != "" {
			config.Gateway, err = gateway.Load(gatewayFile, time.Now())
		}
		return config, err
	}
	config, err := read(getenv)
	if err != nil {
		return nil, err
	}
	config.setMemory = debug.SetMemoryLimit
	config.reread = func() (*Config, error) {
		return read(func(name string) string {
			if name == "GW_DISCOVERY" { // the variable still has the address from the start; a new one is in the file
				return ""
			}
			return getenv(name)
		})
	}
	return config, nil
}

func readConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		Ops        string          `json:"ops"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for variable, field := range map[string]*string{"GW_NAME": &file.Name, "GW_LISTEN": &file.Listen,
		"GW_DISCOVERY": &file.Discovery, "GW_OPS": &file.Ops} {
		if v := getenv(variable); v != "" {
			*field = v
		}
	}
	config := &Config{Name: file.Name, Limits: file.Limits}
	if config.Name == "" {
		return nil, fmt.Errorf("%s: name is missing", path)
	}
	hasPeers := file.PeerListen != ""
	for _, address := range []struct {
		name, text string
		into       *netip.AddrPort
		wanted     bool
	}{{"listen", file.Listen, &config.Listen, true}, {"discovery", file.Discovery, &config.Discovery, true},
		{"ops", file.Ops, &config.Ops, file.Ops != ""}, {"peer_listen", file.PeerListen, &config.PeerListen, hasPeers},
		{"peers_all", file.PeersAll, &config.PeersAll, file.PeersAll != ""}} {
		if !address.wanted {
			continue
		}
		if *address.into, err = netip.ParseAddrPort(address.text); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, address.name, err)
		}
	}
	config.Handover = handover.Path(getenv("TMPDIR"), config.Name, config.Listen)
	for i, text := range file.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%s: peers, entry %d: %w", path, i, err)
		}
		config.Peers = append(config.Peers, address)
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: seed: %w", path, err)
	}
	config.Seed = int64(seed)
	if config.Limits.Sockets == 0 {
		config.Limits.Sockets = defaultSockets
	}
	if config.Limits.MemoryMB == 0 {
		config.Limits.MemoryMB = defaultMemoryMB
	}
	if config.Limits.Sockets < minSockets || config.Limits.MemoryMB < minMemoryMB || config.Limits.Cores < 0 {
		return nil, fmt.Errorf("%s: limits: want at least %d sockets and %d MB of memory, have %+v", path, minSockets,
			minMemoryMB, config.Limits)
	}
	if file.Known != nil {
		if config.Known, err = registry.Decode(file.Known); err != nil {
			return nil, fmt.Errorf("%s: known: %w", path, err)
		}
	}
	if file.Settings == nil {
		return nil, fmt.Errorf("%s: settings are missing", path)
	}
	if config.Settings, err = wire.DecodeSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	config.Settings.NotifiedWithin = notifiedWithin
	if len(config.Settings.Classes) == 0 || config.Settings.ConnectTimeout <= 0 {
		return nil, fmt.Errorf("%s: settings: want classes and caps.connect_timeout_ns", path)
	}
	return config, nil
}
