package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/core"
	agreed "starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/health"
	"starlingvalve/internal/standin"
)

// agreementRig measures the cost of the replicated log: the time of a drain grant with 3 and with 5 voters, the time
// until a killed leader is replaced, the size of the log on disk, and the cost of 12, 300 and 1,000 sessions. All
// sessions but the voters' own are opened by this process, each over its own connection.
func agreementRig(ctx context.Context, o *options) error {
	workspace, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer workspace.Close()
	grants, kills, sizes, window := 1000, 10, []int{12, 300, 1000}, 20*time.Second
	if o.quick {
		grants, kills, sizes, window = 100, 2, []int{12, 100}, 5*time.Second
	}
	h, closeHistory, err := workspace.historyFile("")
	if err != nil {
		return err
	}
	defer closeHistory()
	f, err := openZones(24, []string{"a", "b", "c"}, 4, mediaWork(1))
	if err != nil {
		return err
	}
	defer f.Close()
	for _, voters := range []int{3, 5} {
		if err := o.measureGrants(ctx, workspace, f, h, voters, grants, kills); err != nil {
			return fmt.Errorf("%d voters: %w", voters, err)
		}
	}
	if err := o.measureRequestCost(ctx, workspace, h); err != nil {
		return fmt.Errorf("cost of a request: %w", err)
	}
	return o.measureSessions(ctx, workspace, f, h, sizes, window)
}

// minFleetRateRatio is the least accepted request rate of a node with -fleet, as a fraction of the rate of one without.
const minFleetRateRatio = 0.99

// measureRequestCost measures what the flag -fleet adds to the cost of a request. It loads two nodes in turn on one
// core; one of them has -fleet, so it keeps a session and follows the replicated state.
func (o *options) measureRequestCost(ctx context.Context, w *workspace, h *history) error {
	rounds, window := 21, 2*time.Second
	if o.quick {
		rounds, window = 5, time.Second
	}
	f, err := newFleet(tableServers, 0, 0, map[string]standin.Work{scaleClass.Name: {Bytes: answerBytes}})
	if err != nil {
		return err
	}
	defer f.Close()
	f.setLog(false)
	p, err := openCluster(ctx, w, f.registry.Addr, 3, 3, []string{"a"}, drainsBudget, h)
	if err != nil {
		return err
	}
	defer p.close()
	m := &clusterMember{name: "n9", zone: "a", wires: make([]*standin.Wire, p.voters)}
	base := filepath.Join(w.dir, m.name)
	m.folder, m.socket, m.file = base+"-fleet", base+".sock", base+"-fleet.toml"
	if err := p.writeFiles(m); err != nil {
		return err
	}
	defer func() {
		for _, wire := range m.wires {
			wire.Close()
		}
	}()
	rate, cost, with, err := o.compareWithFlags(ctx, w, f, "cost", rounds, window, "-fleet", m.file)
	if err != nil {
		return err
	}
	if err := p.awaitSessions(ctx, 4); err != nil {
		return err
	}
	with.stop()
	o.out.figure("agreement.request.rate", rate, "times the requests a second without -fleet, median of the rounds")
	o.out.figure("agreement.request.cpu", cost, "times the processor time a request, median of the rounds")
	o.out.promise(rate >= minFleetRateRatio, "with -fleet at least %.2f of the requests a second", minFleetRateRatio)
	return nil
}

// measureGrants times drains and returns that are proposed at each member in turn. It then kills the leader several
// times, and times how long the next proposal takes.
func (o *options) measureGrants(ctx context.Context, w *workspace, f *fleet, h *history, voters, grants, kills int) error {
	w = &workspace{dir: filepath.Join(w.dir, fmt.Sprint(voters)), binary: w.binary}
	if err := os.Mkdir(w.dir, 0o700); err != nil {
		return err
	}
	p, err := (&cluster{w: w, registry: f.registry.Addr, voters: voters, budgets: drainsBudget, session: 5 * time.Second, tick: 100 * time.Millisecond, history: h}).
		open(ctx, voters, []string{"a", "b", "c"})
	if err != nil {
		return err
	}
	defer p.close()
	name := fmt.Sprintf("agreement.voters-%d.", voters)
	var grantTimes standin.Times
	for i := range grants {
		client, target := control.NewAPIClient(p.members[i%voters].socket), agreed.ServerTarget(f.servers[i%len(f.servers)].Name)
		for _, e := range []*fleetpb.Entry{{What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{Target: target}}}, {What: &fleetpb.Entry_Return{Return: &fleetpb.Return{Target: target}}}} {
			e.Ask = rand.Text()
			began := time.Now()
			r, err := client.Propose(ctx, e)
			if err != nil || r.Code != fleetpb.Result_DONE {
				return fmt.Errorf("%s: %v, %w", target, r, err)
			}
			grantTimes.Add(time.Since(began))
		}
	}
	o.out.figure(name+"grant.p50", grantTimes.Quantile(0.5).Seconds()*1e3, "ms, at the socket of each member by turns")
	o.out.figure(name+"grant.p99", grantTimes.Quantile(0.99).Seconds()*1e3, "ms")
	size := int64(0)
	if info, err := os.Stat(filepath.Join(p.members[0].folder, "log.db")); err == nil {
		size = info.Size()
	}
	o.out.figure(name+"disk", size, fmt.Sprintf("bytes after %d entries and more", 2*grants))
	var outages standin.Times
	worst := time.Duration(0)
	for range kills {
		at := p.leader(ctx)
		if at < 0 {
			return errors.New("no member is the leader")
		}
		p.members[at].kill()
		began := time.Now()
		client := control.NewAPIClient(p.members[(at+1)%voters].socket)
		wait, cancel := context.WithTimeout(ctx, settleWait)
		r, err := client.Propose(wait, &fleetpb.Entry{Ask: rand.Text(), What: &fleetpb.Entry_Withdraw{Withdraw: &fleetpb.Withdraw{Target: "server/none"}}})
		cancel()
		if err != nil {
			return fmt.Errorf("after the leader was killed: %v, %w", r, err)
		}
		worst = max(worst, time.Since(began))
		outages.Add(time.Since(began))
		if err := p.startMember(ctx, at); err != nil {
			return err
		}
		if err := p.awaitSettled(ctx); err != nil {
			return err
		}
	}
	o.out.figure(name+"new-leader.p50", outages.Quantile(0.5).Seconds(), "s from SIGKILL of the leader to an answer, with a tick of 0.1 s")
	o.out.figure(name+"new-leader.worst", worst.Seconds(), "s")
	o.out.promise(worst < 5*time.Second, "%d voters: a killed leader is replaced within the lifetime of a session", voters)
	return nil
}

// sessionsPerWireSet is how many of this process's sessions share a set of wires. A wire can carry a few more.
const sessionsPerWireSet = 200

// idleLoop stands in for the event loop of a node that has no requests and no servers.
type idleLoop struct{}

// SetCordon does nothing.
func (idleLoop) SetCordon(core.Cordon) {}

// OpenAttemptsAt reports that no request is open at the cordoned servers.
func (idleLoop) OpenAttemptsAt(core.Cordon) (int, bool) { return 0, true }

// OpenRequests reports that no request is open.
func (idleLoop) OpenRequests() (int, bool) { return 0, true }

// EjectedServers returns no server.
func (idleLoop) EjectedServers() []string { return nil }

// SetDrained does nothing.
func (idleLoop) SetDrained(bool) {}

// ClassCounts returns no finished requests.
func (idleLoop) ClassCounts() map[string]health.ClassCounts { return nil }

// ResidentBytes returns 0: the memory is not measured.
func (idleLoop) ResidentBytes() uint64 { return 0 }

// CanServe reports that the node can serve.
func (idleLoop) CanServe() bool { return true }

// Ready reports that the node is to get requests.
func (idleLoop) Ready() bool { return true }

// ServerList returns an empty list.
func (idleLoop) ServerList() core.List { return core.List{} }

// measureSessions keeps a growing number of sessions open, up to each of sizes in turn. For each size it measures the
// cost per second over window, and the time until a drain is proven at all nodes.
func (o *options) measureSessions(ctx context.Context, w *workspace, f *fleet, h *history, sizes []int, window time.Duration) error {
	const voters = 3
	p, err := (&cluster{w: w, registry: f.registry.Addr, voters: voters, budgets: drainsBudget, session: 5 * time.Second, tick: 100 * time.Millisecond, history: h}).
		open(ctx, voters, []string{"a", "b", "c"})
	if err != nil {
		return err
	}
	defer p.close()
	// The sessions of this process reach the voters through separate wires, one set for every sessionsPerWireSet sessions.
	// What these wires carry is the network cost of the sessions.
	var wires [][]*standin.Wire
	defer func() {
		for _, wireSet := range wires {
			for _, wire := range wireSet {
				wire.Close()
			}
		}
	}()
	carried := func() (datagrams, bytes int64) {
		for _, wireSet := range wires {
			for _, wire := range wireSet {
				d, b := wire.Carried()
				datagrams, bytes = datagrams+d, bytes+b
			}
		}
		return datagrams, bytes
	}
	var idleNodes []*control.Control
	var running sync.WaitGroup
	defer func() {
		for _, g := range idleNodes {
			go g.Close()
		}
		running.Wait()
	}()
	for _, size := range sizes {
		for i := len(idleNodes) + voters; i < size; i++ {
			if len(idleNodes)%sessionsPerWireSet == 0 {
				var wireSet []*standin.Wire
				for _, v := range p.members {
					wire, err := standin.NewWire(v.udp)
					if err != nil {
						return err
					}
					wireSet = append(wireSet, wire)
				}
				wires = append(wires, wireSet)
			}
			g, err := p.openIdleNode(fmt.Sprintf("n%d", i+1), wires[len(wires)-1])
			if err != nil {
				return err
			}
			idleNodes = append(idleNodes, g)
			running.Go(g.Run)
		}
		began := time.Now()
		if err := p.awaitSessions(ctx, size); err != nil {
			return err
		}
		name := fmt.Sprintf("agreement.sessions-%d.", size)
		o.out.figure(name+"live", time.Since(began).Seconds(), "s until all have a session")
		at := p.leader(ctx)
		if at < 0 {
			return errors.New("no member is the leader")
		}
		client := control.NewAPIClient(p.members[at].socket)
		before, err := client.Status(ctx)
		if err != nil {
			return err
		}
		d0, b0 := carried()
		cpu0 := p.members[at].proc.cpu()
		sleepFor(ctx, window)
		after, err := client.Status(ctx)
		if err != nil {
			return err
		}
		d1, b1 := carried()
		seconds := window.Seconds()
		o.out.figure(name+"entries", float64(after.Applied-before.Applied)/seconds, "log entries/s while idle")
		o.out.figure(name+"datagrams", float64(d1-d0)/seconds, "datagrams/s to and from the voters")
		o.out.figure(name+"bytes", float64(b1-b0)/seconds/float64(size), "bytes/s a node")
		o.out.figure(name+"leader.cpu", (p.members[at].proc.cpu()-cpu0).Seconds()/seconds, "of a core")
		o.out.figure(name+"leader.memory", p.members[at].proc.peakMemory(), "KiB (VmHWM)")
		o.out.promise(after.Applied == before.Applied, "%d sessions are kept alive without an entry of the log", size)
		var times standin.Times
		for i := range 5 {
			took, err := proveDrain(ctx, client, agreed.ServerTarget(f.servers[i].Name))
			if err != nil {
				return err
			}
			times.Add(took)
		}
		o.out.figure(name+"proof.p50", times.Quantile(0.5).Seconds()*1e3, "ms from the request to the proof that all nodes have stopped sending")
	}
	return nil
}

// openIdleNode opens a session of a node that has no clients and runs in this process.
func (p *cluster) openIdleNode(name string, wires []*standin.Wire) (*control.Control, error) {
	m := &clusterMember{name: name, zone: "a", wires: wires}
	base := filepath.Join(p.w.dir, name)
	m.folder, m.socket, m.file = base+"-fleet", base+".sock", base+"-fleet.toml"
	if err := p.writeFiles(m); err != nil {
		return nil, err
	}
	c, err := control.Load(m.file, time.Now())
	if err != nil {
		return nil, err
	}
	return control.Open(c, idleLoop{}, idleLoop{}, slog.New(slog.DiscardHandler))
}

// awaitSessions waits until exactly want nodes have a live session, for at most twice settleWait.
func (p *cluster) awaitSessions(ctx context.Context, want int) error {
	for end := time.Now().Add(2 * settleWait); ; sleepFor(ctx, 50*time.Millisecond) {
		live := 0
		s, err := control.NewAPIClient(p.members[0].socket).State(ctx)
		if err == nil {
			for _, n := range s.Nodes {
				if n.State == agreed.Live {
					live++
				}
			}
		}
		if live == want {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d nodes have a session: %w", live, want, errors.Join(err, ctx.Err()))
		}
	}
}

// proveDrain drains a target, waits for the proof of the drain, and returns the target to service. The result is the
// time from the request to the proof.
func proveDrain(ctx context.Context, client *control.APIClient, target string) (time.Duration, error) {
	began := time.Now()
	if r, err := client.Propose(ctx, &fleetpb.Entry{Ask: rand.Text(), What: &fleetpb.Entry_Drain{Drain: &fleetpb.Drain{Target: target}}}); err != nil || r.Code != fleetpb.Result_DONE {
		return 0, fmt.Errorf("%s: %v, %w", target, r, err)
	}
	took := time.Duration(0)
	for end := began.Add(settleWait); ; sleepFor(ctx, 5*time.Millisecond) {
		s, err := client.State(ctx)
		if err != nil {
			return 0, err
		}
		proof := agreed.FromState(s).Proof(target)
		if proof.Proven {
			took = time.Since(began)
			break
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("%s: not proven within %v: %+v", target, settleWait, proof)
		}
	}
	_, err := client.Propose(ctx, &fleetpb.Entry{Ask: rand.Text(), What: &fleetpb.Entry_Return{Return: &fleetpb.Return{Target: target}}})
	return took, err
}
