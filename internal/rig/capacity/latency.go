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
	mostLatencyRounds = 60                   // including void rounds
	latencyWindow     = 2 * time.Second      // for each target in a round
	calmLate          = 5 * time.Millisecond // maximum delay of the machine in a steady round; it is below the budget of added latency
	leastCalm         = 890                  // requests of ten seconds at the design's rate
	latencyWarm       = 5 * time.Second
	answerBytes       = 2048
	littleTenants     = 10
)

// latencyTarget is an address that requests are sent to, with the results of these requests.
type asked struct {
	name    string
	addr    string
	tenants int
	node    *process // nil: the target is a backend itself
	times   standin.Times
	used    time.Duration // processor time of the node
	lasted  time.Duration
	calm    standin.Times // times of steady rounds only; the 99th percentile is taken from them
	served  int
	failed  int
	faults  map[string]int // number of failed requests by reason
}

// latency measures the latency that a real node adds to a request. It compares a node with the design's backends and
// tenants, a node with few, and a backend itself. Requests go to the three in turn, in one run, at the design's rate for a
// node.
func (r *run) latency(ctx context.Context, s *Section) error {
	if err := r.fits(2, 0); err != nil {
		return err
	}
	work := map[string]standin.Work{requestClass.Name: {Bytes: answerBytes}}
	little := asked{name: "little", tenants: littleTenants}
	much := asked{name: "design", tenants: int(Design.Tenants)}
	var backend *standin.Server
	for _, t := range []struct {
		*asked
		backends int
	}{{&little, serviceSize}, {&much, int(Design.Backends)}} {
		servers, registry, err := openBackends(t.backends, work)
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
		if err := r.startAsked(ctx, t.asked, registry.Addr); err != nil {
			return err
		}
		defer t.node.kill()
	}
	direct := asked{name: "direct", addr: backend.Addr, tenants: littleTenants}
	targets := []*asked{&direct, &little, &much}
	rate := Design.Requests / Design.Nodes
	for _, t := range targets {
		if _, err := t.load(ctx, rate, latencyWarm, r.Seed); err != nil {
			return err
		}
		t.served, t.failed, t.faults = 0, 0, nil
	}
	good := 0
	for round := 0; good < latencyRounds && round < mostLatencyRounds; round++ {
		var got []asked
		late, err := r.guard.punctual(ctx, "latency", times, 0, func() (err error) {
			got, err = r.latencyRound(ctx, targets, rate, round)
			return err
		}, nothing)
		if errors.Is(err, errVoid) {
			continue
		}
		if err != nil {
			return err
		}
		good++
		s.Late = max(s.Late, late)
		for i, t := range targets {
			if t.take(got[i]); late <= calmLate {
				t.calm.Merge(got[i].times)
			}
		}
	}
	if direct.times.Count() == 0 {
		return fmt.Errorf("latency: %w", errVoid)
	}
	for _, t := range targets {
		s.figure(r.Out, t.name+".requests", float64(t.served), "requests served")
		s.figure(r.Out, t.name+".failed", float64(t.failed), "requests")
		for why, n := range t.faults {
			fmt.Fprintf(r.Out, "%s: %d times %s\n", t.name, n, why)
		}
		if t.node == nil {
			continue
		}
		s.figure(r.Out, t.name+".processor", t.used.Seconds()/t.lasted.Seconds(),
			"cores at the design's 89 requests a second")
		s.figure(r.Out, t.name+".memory", float64(memoryOf(t.node.pid(), "VmRSS"))/1024, "MiB")
	}
	s.added(r.Out, "p50", direct.times.Quantile(0.5), little.times.Quantile(0.5), much.times.Quantile(0.5))
	s.figure(r.Out, "calm.requests", float64(direct.calm.Count()),
		"requests to each in rounds in which the machine was late by 5 ms at most: the longest of a hundred is theirs")
	if direct.calm.Count() < leastCalm {
		for _, name := range []string{"direct", "little", "design", "added.little", "added.design", "more", "ratio"} {
			s.lack(r.Out, name+".p99", errVoid)
		}
	} else {
		d, m := direct.calm.Quantile(0.99), much.calm.Quantile(0.99)
		s.added(r.Out, "p99", d, little.calm.Quantile(0.99), m)
		s.promise(r.Out, (m-d).Seconds()*1e3 <= BudgetAdded, "at most %.1f ms are added, 99 in 100", BudgetAdded)
	}
	s.promise(r.Out, direct.failed+little.failed+much.failed == 0, "every request is served")
	return nil
}

// addLatencyFigures adds one quantile of the latencies of a backend, and of nodes with little state and with the design's
// state before it.
func (s *Section) added(out io.Writer, quantile string, direct, little, design time.Duration) {
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
		s.figure(out, f.name+"."+quantile, f.value, f.unit)
	}
}

// latencyRound sends requests to each of the targets for latencyWindow, one target after the other, and returns the results.
func (r *run) latencyRound(ctx context.Context, targets []*asked, rate float64, round int) (got []asked, err error) {
	for _, t := range targets {
		one, before := asked{name: t.name, addr: t.addr, tenants: t.tenants, node: t.node}, time.Duration(0)
		if t.node != nil {
			before = processorOf(t.node.pid())
		}
		if one.times, err = one.load(ctx, rate, latencyWindow, r.Seed+uint64(round)+1); err != nil {
			return nil, err
		}
		if t.node != nil {
			one.used = processorOf(t.node.pid()) - before
		}
		one.lasted = latencyWindow
		got = append(got, one)
	}
	return got, nil
}

// addRound adds the results of a round.
func (t *asked) take(one asked) {
	t.times.Merge(one.times)
	t.used, t.lasted = t.used+one.used, t.lasted+one.lasted
	t.served, t.failed = t.served+one.served, t.failed+one.failed
	for why, n := range one.faults {
		if t.faults == nil {
			t.faults = map[string]int{}
		}
		t.faults[why] += n
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

func (r *run) startAsked(ctx context.Context, t *asked, registry string) error {
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
	return t.node.ready(ctx, "http://"+listen+"/health/ready")
}

var errNotServed = errors.New("not served")

// load sends requests with random gaps at a mean rate (a second) for a time, each of a random tenant, without waiting for
// answers (open loop), and returns the latencies of the served ones.
func (t *asked) load(ctx context.Context, rate float64, length time.Duration, seed uint64) (times standin.Times,
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
			err := t.one(ctx, client, id, tenant)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.fault(err)
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
func (t *asked) fault(err error) {
	if t.faults == nil {
		t.faults = map[string]int{}
	}
	t.failed++
	why := err
	if inner := (*url.Error)(nil); errors.As(err, &inner) { // without the URL, which differs in each request
		why = inner.Err
	}
	t.faults[why.Error()]++
}

// request sends one request and reads its answer.
func (t *asked) one(ctx context.Context, client *http.Client, id, tenant string) error {
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
