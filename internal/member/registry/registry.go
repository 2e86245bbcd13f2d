// Package registry is membership as the platform tells it: an HTTP registry that is asked, or an agent that is pushed to.
package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

const (
	listLimit   = 4 << 20          // bytes of a list, at most
	watchLeast  = 3 * time.Second  // for news, in one call of a watch: a path that goes silent is noticed by then
	watchMost   = 20 * time.Second // the same in a large fleet, where
	watchEach   = time.Second / 4  // each node adds so much: every call costs the one service that all of them ask
	firstWait   = time.Millisecond // the same in the call that begins one: the module waits for its answer
	callSlack   = 3 * time.Second  // a call may wait its turn so long beyond that
	dialWait    = time.Second
	watchSlack  = time.Second // a watch that is on has its turn: an answer later than this is none
	agentPause  = 50 * time.Millisecond
	retryFirst  = 200 * time.Millisecond
	retryLast   = 5 * time.Second
	latestStart = 1 << 43 // ms; a later one would not fit the module's clock
	registryURL = "/registry/instances"
)

var states = map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// Decode takes a list only if all of it makes sense.
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

// ServerID makes the module's number of a name, the same at every node: the module's order of servers hangs on
// it. Names that end in eight hex digits hold it; of others it is a hash.
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

// discovery asks for the list of backends, at one address. Its calls go out on connections of its own.
type Registry struct {
	addr   netip.AddrPort
	wait   time.Duration // for news, in one call of a watch
	client *http.Client
	log    *slog.Logger
}

// New makes the membership of one of so many nodes that all ask the registry at addr.
func New(addr netip.AddrPort, nodes int, log *slog.Logger) *Registry {
	return &Registry{addr: addr, log: log, wait: min(max(watchLeast, time.Duration(nodes)*watchEach), watchMost), client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialWait}).DialContext, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

func (d *Registry) call(ctx context.Context, query string, limit time.Duration) (core.List, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr.String()+registryURL+query, nil)
	if err != nil {
		return core.List{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return core.List{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, listLimit)); err != nil {
		return core.List{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return core.List{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return Decode(body.Bytes())
}

// Fetch asks for the whole list once.
func (d *Registry) Fetch(ctx context.Context) (core.List, error) {
	l, err := d.call(ctx, "", callSlack)
	if err == nil && !l.Full {
		return core.List{}, errors.New("list: want the whole")
	}
	return l, err
}

// Watch hands on changes from a version on, the answer to its first call even if it holds none, until a call
// fails. With no version to begin at, it begins with the whole list.
func (d *Registry) Watch(ctx context.Context, since *uint64, news func(core.List)) error {
	var version uint64
	wait, slack := firstWait, callSlack
	for first := true; ; first = false {
		asked := time.Now()
		var l core.List
		var err error
		if first && since == nil {
			l, err = d.Fetch(ctx)
		} else {
			if first {
				version = *since
			}
			l, err = d.call(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds()), wait+slack)
		}
		if err != nil {
			return err
		}
		if first || l.Full || len(l.Entries) > 0 || l.Version != version {
			news(l)
		}
		// An agent may answer at once, always: that must not become a busy loop. A watch goes on over 200 ms.
		if !first && l.Version == version && time.Since(asked) < agentPause {
			select {
			case <-ctx.Done():
			case <-time.After(agentPause):
			}
		}
		version, wait, slack = l.Version, d.wait, watchSlack
	}
}

// Follow keeps a watch where lists are pushed and so nobody asks for one.
func (d *Registry) Follow(ctx context.Context, since *uint64, news func(core.List)) {
	retry := retryFirst
	for ctx.Err() == nil {
		err := d.Watch(ctx, since, func(l core.List) { since, retry = &l.Version, retryFirst; news(l) })
		d.log.Debug("watch ended", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(retry) * (0.5 + rand.Float64()))):
		}
		retry = min(2*retry, retryLast)
	}
}

// Addr is where it asks.
func (d *Registry) Addr() netip.AddrPort { return d.addr }

// Close is core.Membership's.
func (d *Registry) Close() { d.client.CloseIdleConnections() }
