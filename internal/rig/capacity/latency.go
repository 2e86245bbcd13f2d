package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

const (
	latencyRounds     = 20
	maxLatencyRounds  = 60                   // including void rounds
	latencyWindow     = 2 * time.Second      // for each target in a round
	steadyDelay       = 5 * time.Millisecond // maximum delay in a steady round, below the budget of added latency
	minSteadyRequests = 890                  // requests of ten seconds at the design's rate
	latencyWarm       = 5 * time.Second
	answerBytes       = 2048
	fewTenants        = 10
)

// latencyTarget is an address that requests are sent to, with the results of these requests.
type latencyTarget struct {
	name          string
	addr          string
	tenants       int
	node          *process // nil: the target is a backend itself
	times         standin.Times
	cpuTime       time.Duration // processor time of the node
	duration      time.Duration
	steadyTimes   standin.Times // times of steady rounds only; the 99th percentile is taken from them
	served        int
	failed        int
	failureCounts map[string]int // number of failed requests by reason
}

// latency measures the latency that a real node adds to a request. It compares a node with the design's backends
// and tenants, a node with few, and a backend itself. Requests go to the three in turn, in one run, at the
// design's rate for a node.
func (r *run) latency(ctx context.Context, s *Section) error {
	if err := r.checkFits(2, 0); err != nil {
		return err
	}
	work := map[string]standin.Work{requestClass.Name: {Bytes: answerBytes}}
	littleState := latencyTarget{name: "little", tenants: fewTenants}
	designState := latencyTarget{name: "design", tenants: int(Design.Tenants)}
	var backend *standin.Server
	for _, target := range []struct {
		*latencyTarget
		backends int
	}{{&littleState, serviceSize}, {&designState, int(Design.Backends)}} {
		servers, registry, err := openBackends(target.backends, work)
		if err != nil {
			return err
		}
		defer func() {
			for _, b := range servers {
				b.Close()
			}
			registry.Close()
		}()
		backend = servers[0]
		if err := r.startTarget(ctx, target.latencyTarget, registry.Addr); err != nil {
			return err
		}
		defer target.node.kill()
	}
	direct := latencyTarget{name: "direct", addr: backend.Addr, tenants: fewTenants}
	targets := []*latencyTarget{&direct, &littleState, &designState}
	rate := Design.Requests / Design.Nodes
	for _, target := range targets {
		if _, err := target.load(ctx, rate, latencyWarm, r.Seed); err != nil {
			return err
		}
		target.served, target.failed, target.failureCounts = 0, 0, nil
	}
	good := 0
	for round := 0; good < latencyRounds && round < maxLatencyRounds; round++ {
		var got []latencyTarget
		late, err := r.guard.runUndelayed(ctx, "latency", times, 0, func() (err error) {
			got, err = r.latencyRound(ctx, targets, rate, round)
			return err
		}, noCleanup)
		if errors.Is(err, errVoid) {
			continue
		}
		if err != nil {
			return err
		}
		good++
		s.MaxDelay = max(s.MaxDelay, late)
		for i, target := range targets {
			if target.addRound(got[i]); late <= steadyDelay {
				target.steadyTimes.Merge(got[i].times)
			}
		}
	}
	if direct.times.Count() == 0 {
		return fmt.Errorf("latency: %w", errVoid)
	}
	for _, target := range targets {
		s.addFigure(r.Out, target.name+".requests", float64(target.served), "requests served")
		s.addFigure(r.Out, target.name+".failed", float64(target.failed), "requests")
		for why, n := range target.failureCounts {
			fmt.Fprintf(r.Out, "%s: %d times %s\n", target.name, n, why)
		}
		if target.node == nil {
			continue
		}
		s.addFigure(r.Out, target.name+".processor", target.cpuTime.Seconds()/target.duration.Seconds(),
			"cores at the design's 89 requests a second")
		s.addFigure(r.Out, target.name+".memory", float64(memoryOf(target.node.pid(), "VmRSS"))/1024, "MiB")
	}
	s.addLatencyFigures(r.Out, "p50", direct.times.Quantile(0.5), littleState.times.Quantile(0.5), designState.times.Quantile(0.5))
	s.addFigure(r.Out, "calm.requests", float64(direct.steadyTimes.Count()),
		"requests to each in rounds in which the machine was late by 5 ms at most: the longest of a hundred is theirs")
	if direct.steadyTimes.Count() < minSteadyRequests {
		for _, name := range []string{"direct", "little", "design", "added.little", "added.design", "more", "ratio"} {
			s.addMissing(r.Out, name+".p99", errVoid)
		}
	} else {
		directP99, designP99 := direct.steadyTimes.Quantile(0.99), designState.steadyTimes.Quantile(0.99)
		s.addLatencyFigures(r.Out, "p99", directP99, littleState.steadyTimes.Quantile(0.99), designP99)
		s.addPromise(r.Out, (designP99-directP99).Seconds()*1e3 <= BudgetAddedLatency, "at most %.1f ms are added, 99 in 100", BudgetAddedLatency)
	}
	s.addPromise(r.Out, direct.failed+littleState.failed+designState.failed == 0, "every request is served")
	return nil
}

// addLatencyFigures adds one quantile of the latencies of a backend, and of nodes with little state and with the
// design's state before it.
func (s *Section) addLatencyFigures(out io.Writer, quantile string, direct, little, design time.Duration) {
	ms := func(d time.Duration) float64 { return d.Seconds() * 1e3 }
	for _, f := range []struct {
		name  string
		value float64
		unit  string
	}{
		{"direct", ms(direct), "ms"},
		{"little", ms(little), "ms"},
		{"design", ms(design), "ms"},
		{"added.little", ms(little - direct), "ms more than the backend itself"},
		{"added.design", ms(design - direct), "ms more than the backend itself"},
		{"more", ms(design - little), "ms more with the design's state than with little"},
		{"ratio", design.Seconds() / little.Seconds(), "times that with little state"},
	} {
		s.addFigure(out, f.name+"."+quantile, f.value, f.unit)
	}
}

// latencyRound sends requests to each of the targets for latencyWindow, one target after the other, and returns
// the results.
func (r *run) latencyRound(ctx context.Context, targets []*latencyTarget, rate float64, round int) (got []latencyTarget, err error) {
	for _, target := range targets {
		result, before := latencyTarget{name: target.name, addr: target.addr, tenants: target.tenants, node: target.node}, time.Duration(0)
		if target.node != nil {
			before = processorOf(target.node.pid())
		}
		if result.times, err = result.load(ctx, rate, latencyWindow, r.Seed+uint64(round)+1); err != nil {
			return nil, err
		}
		if target.node != nil {
			result.cpuTime = processorOf(target.node.pid()) - before
		}
		result.duration = latencyWindow
		got = append(got, result)
	}
	return got, nil
}

// addRound adds the results of a round.
func (t *latencyTarget) addRound(one latencyTarget) {
	t.times.Merge(one.times)
	t.cpuTime, t.duration = t.cpuTime+one.cpuTime, t.duration+one.duration
	t.served, t.failed = t.served+one.served, t.failed+one.failed
	for why, n := range one.failureCounts {
		if t.failureCounts == nil {
			t.failureCounts = map[string]int{}
		}
		t.failureCounts[why] += n
	}
}

// openBackends starts n servers and a registry that lists them.
func openBackends(n int, work map[string]standin.Work) (servers []*standin.Server, registry *standin.Registry,
	err error) {
	var entries []standin.Entry
	for i := range n {
		b, err := standin.NewServer(standin.ServerOptions{Name: backendName(i), Zone: zoneOf(i), Kind: "std",
			Cell: i}, work)
		if err != nil {
			return nil, nil, err
		}
		b.SetLog(false)
		servers, entries = append(servers, b), append(entries, standin.EntryOf(b))
	}
	registry, err = standin.NewRegistry(entries...)
	return servers, registry, err
}

func (r *run) startTarget(ctx context.Context, t *latencyTarget, registry string) error {
	listen, err := freePort("tcp")
	if err != nil {
		return err
	}
	file := filepath.Join(r.folder, t.name+".json")
	n := nodeFile{Name: t.name, Listen: listen, Registry: registry, Nodes: 1, Tenants: t.tenants}
	if err := n.write(file); err != nil {
		return err
	}
	t.addr = listen
	if t.node, err = startProcess([]string{"GW_CONFIG=" + file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=",
		"TMPDIR=" + r.folder}, r.program); err != nil {
		return err
	}
	return t.node.awaitReady(ctx, "http://"+listen+"/health/ready")
}

var errNotServed = errors.New("not served")

// load sends requests with random gaps at a mean rate (a second) for a time, each of a random tenant, without
// waiting for answers (open loop), and returns the latencies of the served ones.
func (t *latencyTarget) load(ctx context.Context, rate float64, length time.Duration, seed uint64) (times standin.Times,
	err error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: requestClass.Patience}
	random := rand.New(rand.NewPCG(seed, uint64(t.tenants)))
	var mu sync.Mutex
	var work sync.WaitGroup
	defer work.Wait()
	at := time.Now()
	for i := 0; i < int(rate*length.Seconds()); i++ {
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if err := sleep(ctx, time.Until(at)); err != nil {
			return times, err
		}
		id, tenant := fmt.Sprintf("%s-%d-%d", t.name, seed, i), tenantName(random.IntN(t.tenants))
		work.Go(func() {
			began := time.Now()
			err := t.request(ctx, client, id, tenant)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.countFailure(err)
				return
			}
			t.served++
			times.Add(took)
		})
	}
	work.Wait()
	return times, nil
}

// countFailure counts a request that was not served, by reason.
func (t *latencyTarget) countFailure(err error) {
	if t.failureCounts == nil {
		t.failureCounts = map[string]int{}
	}
	t.failed++
	why := err
	if inner := (*url.Error)(nil); errors.As(err, &inner) { // without the URL, which differs in each request
		why = inner.Err
	}
	t.failureCounts[why.Error()]++
}

// request sends one request and reads its answer.
func (t *latencyTarget) request(ctx context.Context, client *http.Client, id, tenant string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.addr+"/"+requestClass.Name+"?obj="+id, nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Account", tenant)
	req.Header.Set("X-Time-Left", strconv.FormatFloat(requestClass.Patience.Seconds(), 'f', 3, 64))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s", errNotServed, resp.Status)
	}
	return nil
}
