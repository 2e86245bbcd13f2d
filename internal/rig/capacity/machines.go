package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/rig/capacity/hollow"
	"starlingvalve/internal/standin"
)

// controlMachines is the number of control machines. All of them are voters.
const controlMachines = 5

// machine is the process of a real node: a voter, another member of the fleet, or a node outside the fleet.
type machine struct {
	*process
	name   string
	listen string // address for clients
	client *control.APIClient
}

// site holds what a run needs: folders, a registry, the fleet's files, and the processes.
type site struct {
	folder        string // of the control machines, on disk
	nodes         string // folder of the hollow nodes, see memoryFolder
	program       string
	hollowProgram string // program that runs hollow nodes, the rig itself
	registry      *standin.Registry
	fleet         hollow.Fleet
	voters        []*machine
	regional      bool   // traffic between regions goes over paths that can be cut
	paths         []path // the paths between regions

	mu     sync.Mutex
	others []*machine
	hollow []*hollow.Process
	names  [][]string // names of the hollow nodes of each process
}

// freePort returns a loopback address with a port that is free at the moment, outside the kernel's ephemeral range.
func freePort(network string) (string, error) {
	var last error
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		if network == "udp" {
			c, err := net.ListenPacket(network, addr)
			if err == nil {
				return addr, c.Close()
			}
			last = err
			continue
		}
		l, err := net.Listen(network, addr)
		if err == nil {
			return addr, l.Close()
		}
		last = err
	}
	return "", last
}

// laxBudget permits every drain, because the rig measures the cost of drains and not whether they are granted.
const laxBudget = `
[[budget]]
name = "all"
on = "servers"
by = "fleet"
most_out = 20000
`

// openSite starts the control machines and a registry that lists the given number of backends, and waits for a
// leader.
func (r *run) openSite(ctx context.Context, backends int, regional bool) (_ *site, err error) {
	s := &site{program: r.program, hollowProgram: r.hollowProgram, regional: regional}
	if s.folder, err = os.MkdirTemp(r.folder, "site"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.nodes, err = os.MkdirTemp(memoryFolder(), "nodes"); err != nil {
		return nil, err
	}
	if s.registry, err = standin.NewRegistry(listedBackends(backends)...); err != nil {
		return nil, err
	}
	if s.fleet.Authority, err = standin.NewAuthority(); err != nil {
		return nil, err
	}
	s.fleet.Budgets = laxBudget
	for i := range controlMachines {
		addr, err := freePort("udp")
		if err != nil {
			return nil, err
		}
		s.fleet.Voters = append(s.fleet.Voters, control.Voter{Name: fmt.Sprintf("c%d", i+1), Address: addr})
	}
	for i, v := range s.fleet.Voters {
		f, err := s.seenFrom(zoneOf(i))
		if err != nil {
			return nil, err
		}
		if err := f.Write(s.folder, v.Name, zoneOf(i), v.Address); err != nil {
			return nil, err
		}
		m, err := s.startMachine(v.Name, s.folder, true)
		if err != nil {
			return nil, err
		}
		s.voters = append(s.voters, m)
	}
	for _, m := range s.voters {
		if err := m.awaitReady(ctx, "http://"+m.listen+"/health/ready"); err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
	}
	_, err = s.leader(ctx)
	return s, err
}

// listedBackends returns registry entries of n servers that don't exist. They are used only where no request is made.
func listedBackends(n int) (list []standin.Entry) {
	for i := range n {
		list = append(list, standin.Entry{ID: backendName(i), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255,
			i>>8&255, i&255), Zone: zoneOf(i), Kind: "std", Cell: i,
			State: "ready", Weight: 1, Started: 1_700_000_000_000})
	}
	return list
}

func backendName(i int) string { return fmt.Sprintf("s-%08x", 0x7a3f1000+i*7919) }

const (
	regions = 2
	zones   = 4 // in each region
)

// zoneOf returns the zone of the thing with index i: regions and their zones are assigned in turn.
func zoneOf(i int) string { return fmt.Sprintf("r%d-z%d", i%regions+1, i/regions%zones+1) }

// regionOf returns the region of a zone.
func regionOf(zone string) string { return zone[:len("r1")] }

// path is the network path from a region to a control machine in the other region.
type path struct {
	from string // region at which the path begins
	wire *standin.Wire
}

// seenFrom returns the fleet's common settings for a zone, with the addresses at which the control machines are
// reached from there.
func (s *site) seenFrom(zone string) (*hollow.Fleet, error) {
	f := s.fleet
	if !s.regional {
		return &f, nil
	}
	f.Voters = slices.Clone(f.Voters)
	for i, v := range f.Voters {
		if regionOf(zoneOf(i)) == regionOf(zone) {
			continue
		}
		w, err := standin.NewWire(v.Address)
		if err != nil {
			return nil, err
		}
		s.paths = append(s.paths, path{regionOf(zone), w})
		f.Voters[i].Address = w.Addr
	}
	return &f, nil
}

// cut blocks the traffic from one region to the other, or lets it pass again.
func (s *site) cut(from string, on bool) {
	for _, p := range s.paths {
		p.wire.CutDirection(p.from == from, on)
	}
}

// startMachine starts a real node, in the fleet or outside it.
func (s *site) startMachine(name, folder string, inFleet bool) (*machine, error) {
	listen, err := freePort("tcp")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(folder, name+".json")
	n := nodeFile{Name: name, Listen: listen, Registry: s.registry.Addr, Nodes: controlMachines}
	if err := n.write(file); err != nil {
		return nil, err
	}
	var args []string
	if inFleet {
		args = []string{"-fleet", hollow.File(folder, name)}
	}
	p, err := startProcess([]string{"GW_CONFIG=" + file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=",
		"TMPDIR=" + folder}, s.program, args...)
	if err != nil {
		return nil, err
	}
	return &machine{process: p, name: name, listen: listen, client: control.NewAPIClient(hollow.Socket(folder, name))}, nil
}

const leaderWait = 30 * time.Second

// leader waits until there is a leader and returns its index in voters.
func (s *site) leader(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		best, term := -1, uint64(0)
		for i, m := range s.voters {
			select {
			case <-m.ended:
				continue
			default:
			}
			one, cancel := context.WithTimeout(ctx, time.Second)
			h, err := m.client.Status(one)
			cancel()
			if err == nil && h.Voter == "leads" && h.Term > term {
				best, term = i, h.Term
			}
		}
		if best >= 0 {
			return best, nil
		}
		if err := sleep(ctx, readyPoll); err != nil {
			return 0, errors.Join(errors.New("nobody leads"), err)
		}
	}
}

// addHollow starts a process with n more hollow nodes.
func (s *site) addHollow(n int) error {
	folder, err := os.MkdirTemp(s.nodes, "h")
	if err != nil {
		return err
	}
	first := 0
	for _, list := range s.names {
		first += len(list)
	}
	o, seen := hollow.Options{Folder: folder}, map[string]*hollow.Fleet{}
	for i := first; i < first+n; i++ {
		name, region := fmt.Sprintf("n%d", i+1), regionOf(zoneOf(i))
		if seen[region] == nil {
			if seen[region], err = s.seenFrom(zoneOf(i)); err != nil {
				return err
			}
		}
		if err := seen[region].Write(folder, name, zoneOf(i), ""); err != nil {
			return err
		}
		o.Names = append(o.Names, name)
	}
	p, err := hollow.StartProcess(s.hollowProgram, filepath.Join(folder, "nodes.json"), o)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hollow, s.names = append(s.hollow, p), append(s.names, o.Names)
	return nil
}

// counts returns the totals of the hollow nodes of all processes.
func (s *site) counts() (all hollow.Counts, err error) {
	for _, p := range s.hollow {
		c, err := p.Counts()
		if err != nil {
			return all, err
		}
		all = addCounts(all, c)
	}
	return all, nil
}

const liveWait = 2 * time.Minute

// awaitSessions waits until all hollow nodes have a session.
func (s *site) awaitSessions(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, liveWait)
	defer cancel()
	for {
		c, err := s.counts()
		if err != nil {
			return err
		}
		if c.Live == c.Nodes {
			return nil
		}
		if err := sleep(ctx, 2*readyPoll); err != nil {
			return fmt.Errorf("%d of %d hollow nodes have a session: %w", c.Live, c.Nodes, err)
		}
	}
}

// close ends all processes and removes their files.
func (s *site) close() {
	var ending sync.WaitGroup
	for _, p := range s.hollow {
		ending.Go(p.Stop)
	}
	for _, m := range s.others {
		ending.Go(m.kill)
	}
	ending.Wait()
	for _, m := range s.voters {
		m.kill()
	}
	for _, p := range s.paths {
		p.wire.Close()
	}
	if s.registry != nil {
		s.registry.Close()
	}
	os.RemoveAll(s.nodes)
	os.RemoveAll(s.folder)
}

// memoryFolder returns the folder for hollow nodes' files, in memory if the machine offers that. A real node has a
// disk of its own. With hundreds of nodes that sync their files to one disk, the rig would measure that disk.
func memoryFolder() string {
	const shared = "/dev/shm"
	if info, err := os.Stat(shared); err == nil && info.IsDir() {
		return shared
	}
	return ""
}

// nodeFile holds the settings of a node that differ between runs.
type nodeFile struct {
	Name     string
	Listen   string
	Registry string
	Nodes    int // size of the tier that the node is given
	Tenants  int
	MemoryMB int // 0: the platform's maximum
}

const (
	usualMemoryMB = 192
	usualSockets  = 1024
	tenantQuota   = 20 // requests a second of each tenant
)

func (n nodeFile) write(path string) error {
	type object = map[string]any
	var tenants []object
	for i := range n.Tenants {
		tenants = append(tenants, object{"name": tenantName(i), "quota_per_s": tenantQuota,
			"fraction": 1 / float64(n.Tenants)})
	}
	memory := n.MemoryMB
	if memory == 0 {
		memory = usualMemoryMB
	}
	classes := []object{{"name": requestClass.Name, "aim_ns": requestClass.Aim, "give_up_ns": requestClass.Patience,
		"importance": 1, "effect": "retryable",
		"key_scope": "cell", "dedup_window_ns": 8 * time.Second}}
	caps := object{"cancel": true, "connect_timeout_ns": 250 * time.Millisecond, "max_attempts": 4,
		"may_duplicate": true, "retry_after": true,
		"max_retry_after_ns": 2 * time.Second, "conn_idle_ns": 30 * time.Second}
	rules := object{"answer_slack_ns": 20 * time.Millisecond, "ask_within_ns": 10 * time.Second, "cold_from": 1.0,
		"cold_ns":        time.Second,
		"drain_grace_ns": 500 * time.Millisecond, "overload_factor": 2.5, "tip_after_ns": time.Second}
	raw, err := json.Marshal(object{"name": n.Name, "listen": n.Listen, "discovery": n.Registry,
		"seed":   "5f3759df5f3759df",
		"limits": object{"cores": 1.0, "memory_mb": memory, "sockets": usualSockets},
		"settings": object{"balancers": n.Nodes, "slot_no": 0, "zone": zoneOf(0),
			"failure_domains": []string{zoneOf(0)}, "caps": caps, "accounts": tenants,
			"classes": classes, "membership_mode": "on_request", "tick_ns": 5 * time.Millisecond, "weight_kind": "none",
			"report": object{"how": "none"}, "invariants": rules}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%05d", i) }

// requestClass is the class of the requests in measurements of latency and load messages.
var requestClass = standin.Class{Name: "viewer-clip", Method: "GET", Share: 1, Worth: 1, Aim: 600 * time.Millisecond,
	Patience: 2 * time.Second}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}
