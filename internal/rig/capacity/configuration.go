package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/standin"
)

const (
	inForcePoll    = 25 * time.Millisecond // between status queries; in-force times are too long by up to this
	inForceWait    = time.Minute
	startWait      = 5 * time.Minute // until nodes that start without a cache have all entries: snapshots are rate-limited
	changesAlone   = 20
	changesInBurst = 100
	burstServices  = 10      // services whose timeouts are changed in a burst
	timeoutMost    = 600_000 // ms, upper limit of a service's timeout
	tenantService  = 0.05    // share of a service that a tenant may use
)

// configurationThresholds returns the thresholds of the section configuration.
func configurationThresholds(size int) []threshold {
	name := func(rest string) string { return fmt.Sprintf("%d.%s", size, rest) }
	return []threshold{
		{name("alone.inforce.worst"), BudgetInForce * 1e3, "ms until a change that comes alone is in force at all nodes"},
		{name("burst.inforce.worst"), BudgetInForce * 1e3, "ms until each change of a burst is in force at all nodes"},
		{name("rest.node.bytes"), BudgetBytes, "bytes a second of a node at rest"},
	}
}

// hollowShare is the share of the design's entries that the 730 hollow nodes hold. With a quarter of the entries they
// needed more than half of the machine's memory, which is the rig's bound.
const hollowShare = 0.1

// configurationSize returns the number of hollow nodes and the share of the design's entries that they hold.
func (r *run) configurationSize() (nodes int, part float64, alone, burst int) {
	if r.Quick {
		return 40, 0.05, 5, 10
	}
	return int(Design.Nodes), hollowShare, changesAlone, changesInBurst
}

// configuration measures how long a change of the fleet's configuration takes to be in force, which means
// acknowledged by every node that has a session. The store holds a share of the design's services, routes and
// tenants.
func (r *run) configuration(ctx context.Context, s *Section) error {
	size, part, alone, burst := r.configurationSize()
	printThresholds(r.Out, configurationThresholds(size))
	if err := r.checkFits(controlMachines+1+size/maxHollowPerProcess, 0); err != nil {
		return err
	}
	site, err := r.openSite(ctx, serviceSize, false)
	if err != nil {
		return err
	}
	defer site.close()
	entries := designEntries(part)
	if err := site.fill(ctx, entries); err != nil {
		return err
	}
	s.addFigure(r.Out, "entries", float64(len(entries)), "services, routes and tenants")
	began := time.Now()
	for have := 0; have < size; have += maxHollowPerProcess {
		if err := site.addHollow(min(maxHollowPerProcess, size-have)); err != nil {
			return err
		}
	}
	if err := site.awaitSessions(ctx); err != nil {
		return err
	}
	if err := site.awaitInForce(ctx, size, startWait); err != nil {
		return err
	}
	s.addFigure(r.Out, fmt.Sprintf("%d.start.inforce", size), time.Since(began).Seconds(),
		"s from the start of all hollow nodes, without a cache, until each has the whole configuration")
	if err := sleep(ctx, r.settleTime()); err != nil {
		return err
	}
	if err := r.configurationAtRest(ctx, s, site, size); err != nil {
		return err
	}
	if err := r.changesAlone(ctx, s, site, size, alone); err != nil {
		return err
	}
	if err := r.changeBurst(ctx, s, site, size, burst); err != nil {
		return err
	}
	s.judge(r.Out, configurationThresholds(size))
	return nil
}

// designEntries returns changes that create a share of the design's services, routes and tenants. The content of
// an entry is an assumption: a route has some forty bytes of host and path, and a tenant has limits at two
// services.
func designEntries(part float64) (changes []*configpb.Change) {
	add := func(e *configpb.Entry) {
		changes = append(changes, &configpb.Change{What: &configpb.Change_Put{Put: e}})
	}
	services := int(Design.Services * part)
	name := func(i int) string { return fmt.Sprintf("service-%d", i%services) }
	for i := range services {
		service := &configpb.Service{Name: name(i), TimeoutMs: uint32(1000 + i)}
		add(&configpb.Entry{Value: &configpb.Entry_Service{Service: service}})
	}
	for i := range int(Design.Routes * part) {
		route := &configpb.Route{Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("shop-%d.example.org", i%50),
			PathPrefix: fmt.Sprintf("/api/v1/resource-%d", i), Service: name(i)}
		add(&configpb.Entry{Value: &configpb.Entry_Route{Route: route}})
	}
	for i := range int(Design.Tenants * part) {
		limits := []*configpb.Limit{{Service: name(i), Share: tenantService},
			{Service: name(i + 1), RequestsPerSecond: float64(100 + i)}}
		add(&configpb.Entry{Value: &configpb.Entry_Tenant{Tenant: &configpb.Tenant{Name: tenantName(i), Limits: limits}}})
	}
	return changes
}

// fill commits changes in as few transactions as their maximum size allows.
func (s *site) fill(ctx context.Context, changes []*configpb.Change) error {
	for from := 0; from < len(changes); from += configuration.MaxChanges {
		to := min(len(changes), from+configuration.MaxChanges)
		if err := propose(ctx, s.voters[0].client, configureEntry(changes[from:to]...)); err != nil {
			return err
		}
	}
	return nil
}

func configureEntry(changes ...*configpb.Change) *fleetpb.Entry {
	tx := &configpb.Transaction{Changes: changes, By: "capacity"}
	return &fleetpb.Entry{What: &fleetpb.Entry_Configure{Configure: tx}}
}

// timeoutChange returns an entry that changes the timeout of one service.
func timeoutChange(service int, timeoutMs uint32) *fleetpb.Entry {
	value := &configpb.Service{Name: fmt.Sprintf("service-%d", service), TimeoutMs: timeoutMs}
	e := &configpb.Entry{Value: &configpb.Entry_Service{Service: value}}
	return configureEntry(&configpb.Change{What: &configpb.Change_Put{Put: e}})
}

// configurationStatus queries the leader, through the first machine, for the revision in force.
func (s *site) configurationStatus(ctx context.Context) (*configpb.Status, error) {
	q := &configpb.Query{About: &configpb.Query_Status{Status: true}}
	answer, err := s.voters[0].client.Query(ctx, q)
	return answer.GetStatus(), err
}

// awaitInForce waits until the newest revision is in force at no fewer than the given number of nodes.
func (s *site) awaitInForce(ctx context.Context, nodes int, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var last *configpb.Status
	for {
		status, err := s.configurationStatus(ctx)
		if err == nil {
			last = status
		}
		whole := err == nil && status.Accounted && status.Sessions >= uint64(nodes)
		if whole && status.InForce == status.Revision {
			return nil
		}
		if waited := sleep(ctx, inForcePoll); waited != nil {
			return fmt.Errorf("in force: %d of %d, %d sessions, counted once each: %v: %w", last.GetInForce(),
				last.GetRevision(), last.GetSessions(), last.GetAccounted(), errors.Join(waited, err))
		}
	}
}

// configurationAtRest measures traffic and processor time while nothing changes.
func (r *run) configurationAtRest(ctx context.Context, s *Section, site *site, size int) error {
	window := 15 * time.Second
	if r.Quick {
		window = 5 * time.Second
	}
	var rates usageRates
	late, err := r.guard.runUndelayed(ctx, "rest", counts, maxRepeats, func() (err error) {
		rates, err = site.window(ctx, window, size)
		return err
	}, noCleanup)
	if err != nil {
		return err
	}
	s.MaxDelay = max(s.MaxDelay, late)
	name := func(rest string) string { return fmt.Sprintf("%d.rest.%s", size, rest) }
	s.addFigure(r.Out, name("node.bytes"), rates.nodeBytes, "bytes/s in and out, with headers")
	s.addFigure(r.Out, name("node.processor"), rates.nodeProcessor, "cores, of a hollow node")
	s.addFigure(r.Out, name("leader.processor"), rates.leaderProcessor, "cores")
	s.addFigure(r.Out, name("follower.processor"), rates.followerProcessor, "cores")
	return nil
}

// changesAlone measures single changes, each made once the one before is in force.
func (r *run) changesAlone(ctx context.Context, s *Section, site *site, size, count int) error {
	var took standin.Times
	for i := range count {
		var one time.Duration
		late, err := r.guard.runUndelayed(ctx, "change", timesOfLog, maxRepeats, func() error {
			began := time.Now()
			through := site.voters[i%controlMachines].client
			if err := propose(ctx, through, timeoutChange(i, uint32(began.UnixMilli()%timeoutMost))); err != nil {
				return err
			}
			err := site.awaitInForce(ctx, size, inForceWait)
			one = time.Since(began)
			return err
		}, noCleanup)
		if errors.Is(err, errVoid) {
			fmt.Fprintln(r.Out, err)
			continue
		}
		if err != nil {
			return err
		}
		s.MaxDelay = max(s.MaxDelay, late)
		took.Add(one)
	}
	r.inForceFigures(s, fmt.Sprintf("%d.alone", size), took)
	return nil
}

// inForceFigures adds figures of the times until changes were in force. Without any time the figures are missing
// because every run was void.
func (r *run) inForceFigures(s *Section, name string, took standin.Times) {
	if took.Count() == 0 {
		s.addMissing(r.Out, name, errVoid)
		return
	}
	s.addFigure(r.Out, name+".changes", float64(took.Count()), "changes that were measured")
	for _, q := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"worst", 1}} {
		s.addFigure(r.Out, name+".inforce."+q.name, took.Quantile(q.part).Seconds()*1e3,
			"ms from the request until it is in force at all nodes")
	}
}

// changeBurst measures changes that are made evenly over burstLength, without waiting for earlier ones to be in
// force.
func (r *run) changeBurst(ctx context.Context, s *Section, site *site, size, count int) error {
	var took standin.Times
	name := fmt.Sprintf("%d.burst", size)
	late, err := r.guard.runUndelayed(ctx, name, timesOfLog, burstRepeats, func() (err error) {
		took, err = site.burst(ctx, count)
		return err
	}, noCleanup)
	if errors.Is(err, errVoid) {
		s.addMissing(r.Out, name, err)
		return nil
	}
	if err != nil {
		return err
	}
	s.MaxDelay = max(s.MaxDelay, late)
	r.inForceFigures(s, name, took)
	return nil
}

// burst makes count changes over burstLength and returns how long each took to be in force.
func (s *site) burst(ctx context.Context, count int) (took standin.Times, err error) {
	ctx, cancel := context.WithTimeout(ctx, burstLength+inForceWait)
	defer cancel()
	first, err := s.configurationStatus(ctx)
	if err != nil {
		return took, err
	}
	began := make([]time.Time, count) // start of the change that makes the revision first + 1 + i
	requested := make(chan error, 1)
	start := time.Now()
	go func() { requested <- s.requestBurst(ctx, start, count) }()
	for i := range began {
		began[i] = start.Add(time.Duration(i) * burstLength / time.Duration(count))
	}
	for seen := 0; seen < count; {
		if status, err := s.configurationStatus(ctx); err == nil && status.Accounted {
			for ; seen < count && status.InForce >= first.Revision+uint64(seen)+1; seen++ {
				took.Add(time.Since(began[seen]))
			}
		}
		if err := sleep(ctx, inForcePoll); err != nil {
			return took, fmt.Errorf("%d of %d changes are in force: %w", seen, count, err)
		}
	}
	return took, <-requested
}

// requestBurst makes changes one after the other, each no sooner than its scheduled time.
func (s *site) requestBurst(ctx context.Context, start time.Time, count int) error {
	for i := range count {
		if err := sleep(ctx, time.Until(start.Add(time.Duration(i)*burstLength/time.Duration(count)))); err != nil {
			return err
		}
		through, timeout := s.voters[i%controlMachines].client, uint32(time.Now().UnixMilli()%timeoutMost)
		if err := propose(ctx, through, timeoutChange(i%burstServices, timeout)); err != nil {
			return err
		}
	}
	return nil
}
