package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/standin"
)

// fault is one entry of a schedule. A schedule is drawn from a seed and printed with one fault a line; the printed lines
// can be replayed.
type fault struct {
	At     float64 `json:"at"`     // seconds from the start
	Length float64 `json:"length"` // seconds
	Kind   string  `json:"kind"`
	Node   int     `json:"node"` // index of a member; -1: the leader at that moment
}

// Kinds of faults.
const (
	killMember        = "kill"       // SIGKILL, and a restart at the end
	stopMember        = "stop"       // SIGSTOP, and SIGCONT at the end
	stopLong          = "stop-30"    // SIGSTOP for 30 s: the member goes on long after its lease has expired
	cutMember         = "cut"        // cut off from all others, in both directions
	receiveOnlyMember = "mute"       // the member receives and can't send
	sendOnlyMember    = "deaf"       // the member sends and can't receive
	cutZone           = "cut-zone"   // the member's zone is cut off from the other zones
	cutHalves         = "halves"     // members with even and with odd index are cut off from each other, which splits the voters too
	slowPaths         = "slow"       // on all paths 40 ms of delay each way, and one datagram in ten is lost
	killVoters        = "all-voters" // SIGKILL to all voters, and a restart
	removeServer      = "server"     // the registry lists a server as gone, then as ready again
	loseDisk          = "disk"       // the last voter is killed and its log deleted
	truncateDisk      = "torn"       // the last voter's log is truncated and the node runs on, perhaps without a vote; then as for loseDisk
	killAfterAppend   = "kill-saved" // the voter ends between append and apply
	killAfterGrant    = "kill-grant" // the voter ends after it has applied a grant, before it answers
	fullDisk          = "full"       // the voter's log can't be written; then there is space again, and it is restarted
	slowDisk          = "slow-disk"  // each write of the voter's log takes 150 ms longer
	killNode          = "node"       // SIGKILL to the node that a supervisor runs
	stopNode          = "stop-node"  // SIGSTOP to the node that a supervisor runs, and SIGCONT at the end
	killNodes         = "all-nodes"  // SIGKILL to the nodes of all voters
)

// watchedKinds are the kinds of faults for members under supervisors.
var watchedKinds = []string{killMember, killNode, stopNode, cutMember, receiveOnlyMember, sendOnlyMember, cutZone, cutHalves, slowPaths, killNodes}

// faultKinds are the kinds of faults for members without supervisors.
var faultKinds = []string{killMember, stopMember, cutMember, receiveOnlyMember, sendOnlyMember, cutZone, cutHalves, slowPaths, killVoters, removeServer, loseDisk, truncateDisk, killAfterAppend, killAfterGrant, fullDisk, slowDisk, stopLong}

// drawFaults draws a schedule of faults that follow one another with pauses. All kinds come once, in random order, before
// any comes again.
func drawFaults(seed uint64, length time.Duration, members int, of []string) (list []fault) {
	r := rand.New(rand.NewPCG(seed, 0x6661756c74))
	var kinds []string
	for at := 1.0; ; {
		if len(kinds) == 0 {
			kinds = slices.Clone(of)
			r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		}
		f := fault{At: at, Length: 0.5 + 3*r.Float64(), Kind: kinds[0], Node: r.IntN(members)}
		if r.IntN(2) == 0 {
			f.Node = -1
		}
		kinds = kinds[1:]
		if f.Kind == stopLong {
			if f.Length = 30; length < 2*time.Minute {
				continue // a short run has no time for this kind
			}
		}
		if f.At+f.Length > length.Seconds()-1 {
			return list
		}
		list = append(list, f)
		at += f.Length + 0.3 + 1.5*r.Float64()
	}
}

// printFaults prints a schedule in the format that readFaults reads.
func printFaults(w io.Writer, list []fault) {
	for _, f := range list {
		raw, _ := json.Marshal(f)
		fmt.Fprintf(w, "schedule %s\n", raw)
	}
}

// readFaults reads a schedule as printFaults prints it, and skips all other lines.
func readFaults(path string, members int, of []string) (list []fault, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		var f fault
		text, ok := cutPrefix(lines.Text(), "schedule ")
		if !ok {
			continue
		}
		if err := json.Unmarshal([]byte(text), &f); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if f.Node >= members || f.Length <= 0 || f.Length > 600 || !slices.Contains(of, f.Kind) {
			return nil, fmt.Errorf("%s:%d: not a valid fault for %d members: %s", path, n, members, text)
		}
		list = append(list, f)
	}
	return list, lines.Err()
}

// faults returns the schedule of the file that -schedule names or, without that flag, one drawn from the seed.
func (o *options) faults(length time.Duration, members int, of []string) ([]fault, error) {
	if o.schedule != "" {
		return readFaults(o.schedule, members, of)
	}
	return drawFaults(o.seed, length, members, of), nil
}

// cutPrefix returns the rest of a line that begins with word.
func cutPrefix(line, prefix string) (string, bool) {
	if len(line) < len(prefix) || line[:len(prefix)] != prefix {
		return "", false
	}
	return line[len(prefix):], true
}

// inject applies a schedule's faults one after another, each for its length, and waits for the end of each. began is the
// start of the schedule.
func (p *cluster) inject(ctx context.Context, began time.Time, list []fault, f *fleet) error {
	for _, x := range list {
		if d := time.Until(began.Add(time.Duration(x.At * float64(time.Second)))); d > 0 {
			sleepFor(ctx, d)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := p.fault(ctx, x, f); err != nil {
			return fmt.Errorf("fault %+v: %w", x, err)
		}
	}
	return nil
}

// fault applies one fault and waits for its end.
func (p *cluster) fault(ctx context.Context, f fault, servers *fleet) error {
	at := f.Node
	if at < 0 {
		if at = p.leader(ctx); at < 0 {
			at = 0
		}
	}
	m := p.members[at]
	length := time.Duration(f.Length * float64(time.Second))
	p.history.note("fault", "%s %s, leader requested: %v, %v", f.Kind, m.name, f.Node < 0, length)
	defer p.history.note("fault", "%s %s is over", f.Kind, m.name)
	partition := func(connected func(i, j int) bool) error {
		for i := range p.members {
			for j := range p.members {
				if i != j && !connected(i, j) {
					p.cut(i, j, true)
				}
			}
		}
		sleepFor(ctx, length)
		p.heal()
		return nil
	}
	switch f.Kind {
	case killMember:
		m.kill()
		sleepFor(ctx, length)
		return p.startMember(ctx, at)
	case stopMember, stopLong:
		m.freeze(true)
		sleepFor(ctx, length)
		m.freeze(false)
	case cutMember:
		return partition(func(i, j int) bool { return i != at && j != at })
	case receiveOnlyMember:
		return partition(func(i, _ int) bool { return i != at })
	case sendOnlyMember:
		return partition(func(_, j int) bool { return j != at })
	case cutZone:
		return partition(func(i, j int) bool { return (p.members[i].zone == m.zone) == (p.members[j].zone == m.zone) })
	case cutHalves:
		return partition(func(i, j int) bool { return i%2 == j%2 })
	case slowPaths:
		for _, m := range p.members {
			for _, w := range m.wires {
				if w != nil {
					w.Delay(40 * time.Millisecond)
					w.Loss(100)
				}
			}
		}
		sleepFor(ctx, length)
		p.heal()
	case killNode, stopNode:
		end, err := p.hitNode(ctx, m, f.Kind == stopNode)
		if err != nil {
			return err
		}
		sleepFor(ctx, length)
		return end()
	case killNodes:
		var ends []func() error
		for _, v := range p.members[:p.voters] {
			end, err := p.hitNode(ctx, v, false)
			if err != nil {
				return err
			}
			ends = append(ends, end)
		}
		for _, end := range ends {
			if err := end(); err != nil {
				return err
			}
		}
	case killVoters:
		for _, v := range p.members[:p.voters] {
			v.kill()
		}
		sleepFor(ctx, length/4)
		errs := make(chan error, p.voters)
		for i := range p.voters {
			go func() { errs <- p.startMember(ctx, i) }()
		}
		var first error
		for range p.voters {
			if err := <-errs; err != nil {
				first = err
			}
		}
		return first
	case removeServer:
		i := at % len(servers.servers)
		e := standin.EntryOf(servers.serverAt(i))
		e.State = "gone"
		from := time.Now()
		servers.registry.Set(e)
		sleepFor(ctx, length)
		servers.registry.Set(standin.EntryOf(servers.serverAt(i)))
		p.removals = append(p.removals, removalSpan{e.ID, span{from, time.Now().Add(listPropagationTime)}})
	case killAfterAppend, killAfterGrant, fullDisk, slowDisk:
		if at >= p.voters {
			at %= p.voters
		}
		what := map[string]string{killAfterAppend: "saved kill", killAfterGrant: "granted kill", fullDisk: "save full", slowDisk: "save slow"}[f.Kind]
		return p.injectAtFaultPoint(ctx, at, what, length)
	case truncateDisk:
		if err := p.truncateLog(ctx, f.Length); err != nil {
			return err
		}
		f.Kind = loseDisk
		return p.fault(ctx, f, servers)
	case loseDisk:
		last := p.voters - 1
		p.members[last].kill()
		if err := os.Remove(filepath.Join(p.members[last].folder, "log.db")); err != nil {
			return err
		}
		sleepFor(ctx, length)
		if err := p.startMember(ctx, last); err != nil {
			return err
		}
		return p.renew(ctx, last)
	}
	return nil
}

// injectAtFaultPoint causes a fault at a fault point of a voter's program, for a while. what is the point and the action,
// in the format of testdata/faulty.go. A voter that has ended or stopped voting is restarted.
func (p *cluster) injectAtFaultPoint(ctx context.Context, at int, what string, length time.Duration) error {
	m := p.members[at]
	m.mu.Lock()
	proc := m.proc
	m.mu.Unlock()
	if proc == nil {
		return nil
	}
	if err := os.WriteFile(m.faultsFile(), []byte(what), 0o600); err != nil {
		return err
	}
	armed := time.Now()
	select {
	case <-proc.ended:
	case <-time.After(length):
	case <-ctx.Done():
	}
	os.Remove(m.faultsFile())
	h, err := control.NewAPIClient(m.socket).Status(ctx)
	p.history.note(m.name, "%s: voter %q %s, %v", what, h.Voter, h.Reason, err)
	if err == nil && h.Voter != "stopped" {
		return nil
	}
	m.kill()
	m.mu.Lock()
	m.downSpans[len(m.downSpans)-1].from = armed // the process ended at some later moment that is not known
	m.mu.Unlock()
	return p.startMember(ctx, at)
}

// truncateLog kills the last voter, truncates its log file to the fraction of its size that the decimals of length name,
// and restarts it. It waits until the voter serves and has a session, whether the voter still votes or not.
func (p *cluster) truncateLog(ctx context.Context, length float64) error {
	last := p.voters - 1
	m := p.members[last]
	m.kill()
	path := filepath.Join(m.folder, "log.db")
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	at := int64(float64(info.Size()) * (length - math.Floor(length)))
	if err := errors.Join(os.Truncate(path, at), p.startMember(ctx, last)); err != nil {
		return err
	}
	var h control.NodeStatus
	for end := time.Now().Add(settleWait); time.Now().Before(end) && ctx.Err() == nil; sleepFor(ctx, 50*time.Millisecond) {
		if h, err = control.NewAPIClient(m.socket).Status(ctx); err == nil && h.CanServe && h.Session > 0 && (h.Voter == "stopped" || h.Leader != "") {
			p.history.note(m.name, "log truncated at byte %d of %d: voter %s %s", at, info.Size(), h.Voter, h.Reason)
			return nil
		}
	}
	return fmt.Errorf("%s, with its log truncated at byte %d of %d: %+v, %v", m.name, at, info.Size(), h, err)
}

// hitNode kills the node that a member's supervisor runs, or stops it by SIGSTOP. The returned end continues a stopped
// node, and waits until the member's node can serve.
func (p *cluster) hitNode(ctx context.Context, m *clusterMember, stop bool) (end func() error, err error) {
	h, err := control.NewAPIClient(m.socket).Status(ctx)
	if err != nil { // the node is being replaced or started
		return func() error { return nil }, nil
	}
	found, err := os.FindProcess(h.Pid)
	if err != nil {
		return nil, err
	}
	sign := syscall.SIGKILL
	if stop {
		sign = syscall.SIGSTOP
	}
	m.mu.Lock()
	m.downSpans = append(m.downSpans, span{from: time.Now()})
	m.mu.Unlock()
	found.Signal(sign)
	return func() error {
		if stop {
			found.Signal(syscall.SIGCONT)
		}
		end := time.Now().Add(settleWait)
		for ; time.Now().Before(end) && ctx.Err() == nil; sleepFor(ctx, 20*time.Millisecond) {
			if h, err := control.NewAPIClient(m.socket).Status(ctx); err == nil && h.CanServe {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.markUp()
				return nil
			}
		}
		return fmt.Errorf("%s does not serve again within %v", m.name, settleWait)
	}, nil
}

// renew readmits a voter whose disk was replaced, through another voter, and waits until the voter has the log.
func (p *cluster) renew(ctx context.Context, at int) error {
	m, last := p.members[at], ""
	for end := time.Now().Add(settleWait); time.Now().Before(end) && ctx.Err() == nil; sleepFor(ctx, 100*time.Millisecond) {
		var code int
		if last, code = p.fleetCommand(ctx, p.members[(at+1)%p.voters], "renew", m.name, "--why", "its disk was lost"); code != 0 {
			continue
		}
		for ; time.Now().Before(end) && ctx.Err() == nil; sleepFor(ctx, 50*time.Millisecond) {
			if h, err := control.NewAPIClient(m.socket).Status(ctx); err == nil && h.Leader != "" {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not readmitted: %s", m.name, last)
}
