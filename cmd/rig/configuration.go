package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/cache"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/control"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/standin"
)

const (
	configurationOperators = 4
	configurationPairs     = 8                     // a pair is a service and a tenant that are always changed in one transaction
	sampleInterval         = 50 * time.Millisecond // between two reads of a node's revision
	cacheSampleInterval    = 500 * time.Millisecond
)

// configurationRun is one run in which operators change a fleet's configuration during a schedule of faults. It records
// the operators' changes, what the nodes report, and the content of the nodes' caches.
type configurationRun struct {
	p   *cluster
	dir string // directory for copies of caches

	mu         sync.Mutex
	puts       []configurationPut
	retries    int // retries of requests whose answer was lost
	samples    []configurationSample
	caches     []configurationCache
	unreadable []string // errors of caches that could not be read
}

// configurationPut is one change of a pair, with the answer that the operator got.
type configurationPut struct {
	requestID string // request ID; the history has it as the author of the change
	pair      int
	condition uint64 // revision of the pair's service when the operator read it; the change depends on it
	from, to  time.Time
	code      configpb.Result_Code
	revision  uint64
}

// configurationSample is the configuration revision that a node's process reported.
type configurationSample struct {
	member   string
	pid      int
	revision uint64
	at       time.Time // when the answer arrived
}

// configurationCache is the content of a node's cache file at some moment.
type configurationCache struct {
	member   string
	snapshot *configpb.Snapshot
}

// configurationRig has operators change the configuration through random nodes, while nodes are killed and stopped and
// paths between nodes are cut. It checks that no change is lost, applied twice, or applied in part.
func configurationRig(ctx context.Context, o *options) error {
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	members, voters, length := 12, 5, 5*time.Minute
	if o.quick {
		members, voters, length = 6, 3, 28*time.Second
	}
	if o.length > 0 {
		length = o.length
	}
	faulty := map[string][]byte{"internal/faultpoint/rig.go": faultySource}
	if w.binary, err = w.buildWith(ctx, "faulty", faulty); err != nil {
		return err
	}
	list, err := o.faults(length, members, faultKinds)
	if err != nil {
		return err
	}
	h, closeHistory, err := w.historyFile(o.history)
	if err != nil {
		return err
	}
	defer closeHistory()
	zones := []string{"a", "b", "c"}
	f, err := openZones(3, zones, 1, mediaWork(0.2))
	if err != nil {
		return err
	}
	defer f.Close()
	p, err := openCluster(ctx, w, f.registry.Addr, members, voters, zones, drainsBudget, h)
	if err != nil {
		return err
	}
	defer p.close()
	printFaults(o.out.w, list)
	r := &configurationRun{p: p, dir: w.dir}
	if err := r.run(ctx, o.seed, length, list, f); err != nil {
		return err
	}
	return r.judge(ctx, o.out, len(list))
}

// run runs operators and observers until the schedule of faults is over and length has passed.
func (r *configurationRun) run(ctx context.Context, seed uint64, length time.Duration, list []fault, f *fleet) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for i := range configurationOperators {
		work.Go(func() { r.operate(runCtx, i, seed) })
	}
	for _, m := range r.p.members {
		work.Go(func() { r.observe(runCtx, m) })
	}
	began := time.Now()
	injectErr := r.p.inject(ctx, began, list, f)
	if injectErr == nil {
		sleepFor(ctx, time.Until(began.Add(length)))
	}
	stop()
	work.Wait()
	return errors.Join(injectErr, ctx.Err())
}

// operate changes random pairs until ctx ends. Each change has the condition that the pair has not changed since the
// operator read it.
func (r *configurationRun) operate(ctx context.Context, operator int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	for i := 0; ctx.Err() == nil; i++ {
		pair := random.IntN(configurationPairs)
		revision, err := r.read(ctx, random, pair)
		if err != nil {
			sleepFor(ctx, sampleInterval)
			continue
		}
		put := configurationPut{requestID: fmt.Sprintf("op%d-%d", operator, i), pair: pair, condition: revision}
		r.put(context.WithoutCancel(ctx), random, put, uint32(1+random.IntN(100_000)))
		sleepFor(ctx, time.Duration(random.IntN(40))*time.Millisecond)
	}
}

// pairService returns the name of a pair's service.
func pairService(pair int) string { return fmt.Sprint("service-", pair) }

// read returns the revision of a pair's service, read through a random member; 0 if the service does not exist.
func (r *configurationRun) read(ctx context.Context, random *rand.Rand, pair int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	d := control.NewAPIClient(r.member(random).socket)
	answer, err := d.Query(ctx, &configpb.Query{About: &configpb.Query_Snapshot{Snapshot: true}})
	if err != nil {
		return 0, err
	}
	for _, e := range answer.GetSnapshot().GetEntries() {
		if e.GetService().GetName() == pairService(pair) {
			return e.Revision, nil
		}
	}
	return 0, nil
}

// member returns a random member that runs, or the first member if none is found.
func (r *configurationRun) member(random *rand.Rand) *clusterMember {
	for range 50 {
		if m := r.p.members[random.IntN(len(r.p.members))]; m.running() {
			return m
		}
	}
	return r.p.members[0]
}

// pairChange makes a transaction that sets the timeout of a pair's service and the limit of its tenant to the same value,
// on the condition that the service is at revision condition.
func pairChange(pair int, value uint32, condition uint64) *configpb.Transaction {
	name := pairService(pair)
	s := &configpb.Service{Name: name, TimeoutMs: value}
	limit := &configpb.Limit{Service: name, RequestsPerSecond: float64(value)}
	t := &configpb.Tenant{Name: fmt.Sprint("tenant-", pair), Limits: []*configpb.Limit{limit}}
	tx := &configpb.Transaction{Conditions: []*configpb.Condition{
		{Key: configuration.ServiceKey(name), Revision: condition},
	}}
	for _, e := range []*configpb.Entry{
		{Value: &configpb.Entry_Service{Service: s}},
		{Value: &configpb.Entry_Tenant{Tenant: t}},
	} {
		tx.Changes = append(tx.Changes, &configpb.Change{What: &configpb.Change_Put{Put: e}})
	}
	return tx
}

// put proposes a change until the answer is known. Each retry has the same request ID, so that the change is applied
// once at most.
func (r *configurationRun) put(ctx context.Context, random *rand.Rand, put configurationPut, value uint32) {
	tx := pairChange(put.pair, value, put.condition)
	tx.By = put.requestID
	e := &fleetpb.Entry{Ask: put.requestID, What: &fleetpb.Entry_Configure{Configure: tx}}
	put.from = time.Now()
	for end := put.from.Add(2 * settleWait); time.Now().Before(end); {
		once, cancel := context.WithTimeout(ctx, 2*time.Second)
		result, err := control.NewAPIClient(r.member(random).socket).Propose(once, e)
		cancel()
		if err == nil && result.Configuration != nil {
			put.code, put.revision = result.Configuration.Code, result.Configuration.Revision
			break
		}
		r.mu.Lock()
		r.retries++
		r.mu.Unlock()
	}
	put.to = time.Now()
	r.p.history.note(put.requestID, "pair %d of revision %d: %v, revision %d",
		put.pair, put.condition, put.code, put.revision)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.puts = append(r.puts, put)
}

// observe records the configuration revision that a member reports and the content of its cache, until ctx ends.
func (r *configurationRun) observe(ctx context.Context, m *clusterMember) {
	var looked time.Time
	for ; ctx.Err() == nil; sleepFor(ctx, sampleInterval) {
		once, cancel := context.WithTimeout(ctx, time.Second)
		h, err := control.NewAPIClient(m.socket).Status(once)
		cancel()
		if err == nil {
			r.mu.Lock()
			r.samples = append(r.samples, configurationSample{m.name, h.Pid, h.ConfigurationRevision, time.Now()})
			r.mu.Unlock()
		}
		if time.Since(looked) >= cacheSampleInterval {
			looked = time.Now()
			r.sampleCache(m)
		}
	}
}

// sampleCache copies a member's cache file and loads the copy as a node does at its start.
func (r *configurationRun) sampleCache(m *clusterMember) {
	raw, err := os.ReadFile(filepath.Join(m.folder, "configuration.cache"))
	if err != nil {
		return // no cache yet
	}
	path := filepath.Join(r.dir, m.name+"-configuration.cache")
	replica := configuration.NewReplica(nil)
	if err = os.WriteFile(path, raw, 0o600); err == nil {
		_, err = cache.Load(path, replica)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.unreadable = append(r.unreadable, fmt.Sprintf("%s: %v", m.name, err))
		return
	}
	r.caches = append(r.caches, configurationCache{m.name, replica.Snapshot()})
}

// judge waits until the newest revision is in force at all nodes, then prints the figures and verdicts.
func (r *configurationRun) judge(ctx context.Context, out *report, faults int) error {
	faultsOver := time.Now()
	text, code := "", -1
	for end := faultsOver.Add(settleWait); code != 0 && time.Now().Before(end) && ctx.Err() == nil; {
		text, code = r.p.command(ctx, r.p.members[0], "config", "status")
	}
	took := time.Since(faultsOver)
	for _, m := range r.p.members {
		r.sampleCache(m)
	}
	history, err := r.fullHistory(ctx)
	if err != nil {
		return err
	}
	counts := map[configpb.Result_Code]int{}
	var times standin.Times
	for _, p := range r.puts {
		counts[p.code]++
		if p.code == configpb.Result_APPLIED {
			times.Add(p.to.Sub(p.from))
		}
	}
	out.figure("configuration.faults", faults, "faults")
	out.figure("configuration.revisions", len(history), "revisions")
	out.figure("configuration.puts", len(r.puts), "changes requested")
	out.figure("configuration.puts.applied", counts[configpb.Result_APPLIED], "changes")
	out.figure("configuration.puts.conflict", counts[configpb.Result_CONFLICT], "changes refused, as another change of the pair came first")
	out.figure("configuration.puts.unknown", counts[configpb.Result_UNKNOWN], "changes")
	out.figure("configuration.puts.again", r.retries, "retries, as the answer was lost")
	out.figure("configuration.put.p50", times.Quantile(0.5).Seconds()*1e3, "ms, through the faults")
	out.figure("configuration.put.p99", times.Quantile(0.99).Seconds()*1e3, "ms, through the faults")
	out.figure("configuration.samples", len(r.samples), "revisions reported by nodes")
	out.figure("configuration.caches", len(r.caches), "caches read")
	out.figure("configuration.in-force-again", took.Seconds(), "s after the last fault")
	if code == 0 {
		text = ""
	}
	out.promise(code == 0, "after the last fault the newest revision is in force within %v: %s", settleWait, text)
	for _, c := range []struct {
		about  string
		faults []string
	}{
		{"no revision is lost, and no change has an effect twice", lostRevisions(r.puts, history)},
		{"a change on a condition takes effect only where it holds", brokenConditions(r.puts, history)},
		{"no node goes back, or ahead of the commit", outOfOrder(r.samples, r.puts, history)},
		{"no revision is applied in part", appliedInPart(r.caches, history)},
		{"every cache can be read", r.unreadable},
	} {
		first := ""
		if len(c.faults) > 0 {
			first = c.faults[0]
		}
		out.promise(len(c.faults) == 0, "%s: %d %s", c.about, len(c.faults), first)
	}
	return ctx.Err()
}

// fullHistory returns all revisions from the first on. It fails if the oldest ones have been compacted.
func (r *configurationRun) fullHistory(ctx context.Context) ([]*configpb.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	q := &configpb.Query{About: &configpb.Query_History{History: &configpb.HistoryQuery{}}}
	answer, err := control.NewAPIClient(r.p.members[0].socket).Query(ctx, q)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if list := answer.GetHistory(); len(list) > 0 && list[0].Number != 1 {
		return nil, fmt.Errorf("the history begins at revision %d only: choose a shorter run", list[0].Number)
	}
	return answer.GetHistory(), nil
}
