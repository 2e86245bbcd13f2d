package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

// states maps the state of a server, as discovery has it, to the module's.
var states = map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Removed}

// Decode parses a list in the JSON form of discovery. It returns an error if any entry is invalid: an empty id, an
// unknown state, or an address that is not IP:port, except for servers that are gone. Start times are clamped to [0,
// maxStartTime].
func Decode(raw []byte) (core.List, error) {
	var message struct {
		Version *uint64 `json:"version"`
		Full    bool    `json:"full"`
		Servers []struct {
			ID      string  `json:"id"`
			Addr    string  `json:"addr"`
			Zone    string  `json:"zone"`
			Kind    string  `json:"kind"`
			Cell    int     `json:"cell"`
			State   string  `json:"state"`
			Weight  float64 `json:"weight"`
			Started int64   `json:"started_ms"`
		} `json:"servers"`
	}
	if err := json.Unmarshal(raw, &message); err != nil {
		return core.List{}, fmt.Errorf("list: %w", err)
	}
	if message.Version == nil {
		return core.List{}, errors.New("list: version is missing")
	}
	list := core.List{Version: *message.Version, Full: message.Full}
	for i, server := range message.Servers {
		state, ok := states[server.State]
		if !ok || server.ID == "" {
			return core.List{}, fmt.Errorf("list, entry %d: id %q, unknown state %q", i, server.ID, server.State)
		}
		if _, err := netip.ParseAddrPort(server.Addr); err != nil && state != decide.Removed {
			return core.List{}, fmt.Errorf("list, entry %d: %w", i, err)
		}
		list.Entries = append(list.Entries, core.Entry{Name: server.ID, Addr: server.Addr,
			Server: decide.Server{ID: ServerID(server.ID), Zone: server.Zone, Kind: server.Kind,
				Cell: server.Cell, State: state, Size: server.Weight,
				StartedAt: time.Duration(min(max(0, server.Started), maxStartTime)) * time.Millisecond}})
	}
	return list, nil
}

// ServerID returns the module's id for a server's name. It is the same at every node, because the order of servers
// that all nodes share depends on it. If the name has exactly eight hex digits after its first dash, the id is their
// value; otherwise it is a hash of the name.
func ServerID(name string) decide.ServerID {
	if _, digits, ok := strings.Cut(name, "-"); ok && len(digits) == 8 {
		if v, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return decide.ServerID(v)
		}
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return decide.ServerID(h.Sum32())
}
