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
var states = map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// Decode parses a list in the JSON form of discovery. It returns an error if any entry is invalid: an empty id, an
// unknown state, or an address that is not IP:port, except for servers that are gone. Start times are clamped to [0,
// maxStartTime].
func Decode(raw []byte) (core.List, error) {
	var in struct {
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
	if err := json.Unmarshal(raw, &in); err != nil {
		return core.List{}, fmt.Errorf("list: %w", err)
	}
	if in.Version == nil {
		return core.List{}, errors.New("list: version is missing")
	}
	l := core.List{Version: *in.Version, Full: in.Full}
	for i, s := range in.Servers {
		state, ok := states[s.State]
		if !ok || s.ID == "" {
			return core.List{}, fmt.Errorf("list, entry %d: id %q, unknown state %q", i, s.ID, s.State)
		}
		if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != decide.Gone {
			return core.List{}, fmt.Errorf("list, entry %d: %w", i, err)
		}
		l.Entries = append(l.Entries, core.Entry{Name: s.ID, Addr: s.Addr, Server: decide.Server{ID: ServerID(s.ID), Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, State: state, Size: s.Weight, StartedAt: time.Duration(min(max(0, s.Started), latestStart)) * time.Millisecond}})
	}
	return l, nil
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
