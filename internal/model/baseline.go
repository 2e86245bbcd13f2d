package model

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"starlingvalve/decide"
)

// Policies that users would otherwise choose, for comparison with the module. Each follows the registry's list and
// knows only what a node knows, except for the oracle.

// The constants are the defaults of each policy's source.
const (
	ewmaDecay = 10 * time.Second // Finagle, PeakEwma: decayTime

	probesPerRequest = 3.0 // Prequal (Wydrowski et al., NSDI 2024), section 4: r_probe
	probePoolSize    = 16  // the same source: number of probe answers kept
	maxProbeAge      = time.Second
	hotQuantile      = 0.84 // Q_RIF: quantile of requests in flight above which a server is hot
	maxProbeUses     = 2    // b_reuse, about what equation (1) gives for such pools

	gradientSmoothing  = 0.2 // Netflix concurrency-limits, Gradient2Limit: smoothing
	gradientMinLimit   = 20.0
	gradientMaxLimit   = 200.0
	gradientLongWindow = 600.0 // samples of the long average: longWindow
	gradientTolerance  = 1.5   // rttTolerance

	retryBudgetFraction = 0.2 // Envoy, RetryBudget: budget_percent 20 %
	minRetryConcurrency = 3.0 // and min_retry_concurrency

	ejectAfterFailures = 5                // Envoy, OutlierDetection: consecutive_5xx
	baseEjectionTime   = 30 * time.Second // base_ejection_time, times the ejections of that host so far
	maxEjectionTime    = 300 * time.Second
	maxEjectedFraction = 0.1 // max_ejection_percent; one server at least
)

// Policy is a named way to make deciders.
type Policy struct {
	Name, Source string
	newDecider   func(f *Fleet, s decide.Settings, seed int64) Decider
}

// Policies returns the module and all baselines, the module first. The suffix "+retry" on a baseline's name adds
// Envoy's retry budget, "+eject" Envoy's outlier ejection: see FindPolicy.
func Policies() []Policy {
	plain := func(pick picker) func(*Fleet, decide.Settings, int64) Decider {
		return func(_ *Fleet, s decide.Settings, seed int64) Decider { return newBaseline(s, seed, pick) }
	}
	return []Policy{
		{"module", "package decide",
			func(_ *Fleet, s decide.Settings, seed int64) Decider { return decide.New(s, seed) }},
		{"random", "Envoy, RANDOM", plain(pickRandom)},
		{"round-robin", "Envoy, ROUND_ROBIN", plain(pickRoundRobin)},
		{"least-request", "Envoy, LEAST_REQUEST, of two", plain(pickLeastRequest)},
		{"peak-ewma", "Finagle and Linkerd, of two", plain(pickEWMA)},
		{"prequal", "Prequal (NSDI 2024), probes reused", func(_ *Fleet, s decide.Settings, seed int64) Decider {
			b := newBaseline(s, seed, pickHotCold)
			b.probing = true
			return b
		}},
		{"gradient", "Netflix Gradient2 limit, least-request", func(_ *Fleet, s decide.Settings, seed int64) Decider {
			b := newBaseline(s, seed, pickLeastRequest)
			b.concurrencyLimit = gradientMinLimit
			return b
		}},
		{"oracle", "sees all servers' true state and each order's work",
			func(f *Fleet, _ decide.Settings, _ int64) Decider { return &oracle{fleet: f} }},
	}
}

// FindPolicy returns a policy by its name, such as "peak-ewma+retry+eject". The error for an unknown name lists
// the known ones.
func FindPolicy(name string) (Policy, error) {
	base, options, _ := strings.Cut(name, "+")
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
		if p.Name != base {
			continue
		}
		if options == "" {
			return p, nil
		}
		retry, eject := false, false
		for option := range strings.SplitSeq(options, "+") {
			switch option {
			case "retry":
				retry = true
			case "eject":
				eject = true
			default:
				return Policy{}, fmt.Errorf("policy %q: want +retry or +eject, have +%s", name, option)
			}
		}
		made := p.newDecider
		if _, ok := made(nil, decide.Settings{}, 0).(*baseline); !ok {
			return Policy{}, fmt.Errorf("policy %q: %s takes no options", name, base)
		}
		return Policy{name, p.Source, func(f *Fleet, s decide.Settings, seed int64) Decider {
			b := made(f, s, seed).(*baseline)
			b.retryEnabled, b.ejectEnabled = retry, eject
			return b
		}}, nil
	}
	return Policy{}, fmt.Errorf("policy %q: there are %s", name, strings.Join(names, ", "))
}

// Random returns the policy that sends each request to a random server.
func Random() Policy { return mustFindPolicy("random") }

// LeastOfTwo returns the policy that sends each request to that one of two random servers which has fewer requests
// of this node in flight.
func LeastOfTwo() Policy { return mustFindPolicy("least-request") }

func mustFindPolicy(name string) Policy {
	p, err := FindPolicy(name)
	if err != nil {
		panic(err)
	}
	return p
}

// host is a server as a baseline sees it.
type host struct {
	id                 decide.ServerID
	inFlight           int
	latency, updatedAt float64 // PeakEwma: latency estimate, s; time of its last update, s
	failures           int     // consecutive
	ejections          int     // number of ejections so far
	ejectedUntil       decide.Time
}

// probe is the answer to a probe, as Prequal keeps it.
type probe struct {
	host       *host
	answeredAt decide.Time
	inFlight   float64
	latency    time.Duration
	uses       int
}

// picker chooses one of the hosts, of which there is at least one.
type picker func(b *baseline, hosts []*host) *host

// baseline is a decider that sends each request to the host that pick chooses. Retries, ejection, probing and a
// concurrency limit are options.
type baseline struct {
	settings        decide.Settings
	rng             *Stream
	pick            picker
	retryEnabled    bool
	ejectEnabled    bool
	now             decide.Time
	hosts           []*host
	requests        map[decide.RequestID]*baselineRequest
	lastHost        int     // index, for round robin
	inFlight        float64 // requests in flight; of these, retries
	retriesInFlight float64

	probing        bool
	probes         []probe
	recentInFlight []float64 // latest requests-in-flight figures of probes, for their quantile
	probesDue      float64   // probes still to be sent; may be fractional

	concurrencyLimit, longLatency float64 // gradient policy: concurrency limit (0: none), and long average of latency, s
	samples                       float64
}

// baselineRequest is a request in progress at a baseline.
type baselineRequest struct {
	class    decide.Class
	tried    []*host
	retrying bool // a retry is in flight
	deadline decide.Time
}

func newBaseline(s decide.Settings, seed int64, pick picker) *baseline {
	return &baseline{settings: s, pick: pick, rng: NewStreams(uint64(seed)).Of("baseline", "pick"),
		requests: map[decide.RequestID]*baselineRequest{}}
}

// Handle implements Decider.
func (b *baseline) Handle(now decide.Time, e decide.Event) (out []decide.Action) {
	b.now = now
	switch e := e.(type) {
	case decide.ListUpdate:
		b.applyList(e)
	case decide.RequestArrived:
		if b.concurrencyLimit > 0 && b.inFlight >= math.Floor(b.concurrencyLimit) {
			return []decide.Action{decide.Refuse{ID: e.ID}}
		}
		t := &baselineRequest{deadline: now + e.Patience}
		for _, c := range b.settings.Classes {
			if c.Name == e.Class {
				t.class = c
			}
		}
		b.requests[e.ID] = t
		out = b.send(e.ID, t)
		if b.probing {
			for b.probesDue += probesPerRequest; b.probesDue >= 1 && len(b.hosts) > 0; b.probesDue-- {
				out = append(out, decide.Probe{Server: b.hosts[b.rng.IntN(len(b.hosts))].id})
			}
		}
	case decide.ProbeEnded:
		b.probeEnded(e)
	case decide.AttemptEnded:
		return b.attemptEnded(e)
	}
	return out
}

// applyList applies a list update to the hosts.
func (b *baseline) applyList(e decide.ListUpdate) {
	if e.Kind == decide.ListFull || e.Kind == decide.ListCached {
		b.hosts = nil
	}
	for _, s := range e.Entries {
		i := slices.IndexFunc(b.hosts, func(h *host) bool { return h.id == s.ID })
		switch {
		case s.State == decide.Ready && i < 0:
			b.hosts = append(b.hosts, &host{id: s.ID})
		case s.State != decide.Ready && i >= 0:
			b.hosts = slices.Delete(b.hosts, i, i+1)
		}
	}
}

// usable returns the hosts that were not tried and are not ejected. If all of them are ejected, it returns all
// that were not tried (Envoy's panic mode).
func (b *baseline) usable(tried []*host) []*host {
	var usable, others []*host
	for _, h := range b.hosts {
		if slices.Contains(tried, h) {
			continue
		}
		others = append(others, h)
		if h.ejectedUntil <= b.now {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return others
	}
	return usable
}

// send sends a request to a host that it has not tried yet, or refuses the request if there is none.
func (b *baseline) send(id decide.RequestID, t *baselineRequest) []decide.Action {
	hosts := b.usable(t.tried)
	if len(hosts) == 0 {
		return b.finish(id, t, true)
	}
	h := b.pick(b, hosts)
	h.inFlight++
	b.inFlight++
	if t.retrying = len(t.tried) > 0; t.retrying {
		b.retriesInFlight++
	}
	t.tried = append(t.tried, h)
	return []decide.Action{decide.Send{ID: id, Server: h.id}}
}

// finish ends a request with a refusal or a failure.
func (b *baseline) finish(id decide.RequestID, _ *baselineRequest, refuse bool) []decide.Action {
	delete(b.requests, id)
	if refuse {
		return []decide.Action{decide.Refuse{ID: id}}
	}
	return []decide.Action{decide.Fail{ID: id}}
}

// attemptEnded handles the end of an attempt: it retries the request where that is safe and the retry budget
// allows.
func (b *baseline) attemptEnded(e decide.AttemptEnded) []decide.Action {
	t := b.requests[e.ID]
	if t == nil || len(t.tried) == 0 {
		return nil
	}
	h := t.tried[len(t.tried)-1]
	h.inFlight--
	b.inFlight--
	if t.retrying {
		b.retriesInFlight--
	}
	ok := e.Code == decide.OK
	b.recordResult(h, e.Elapsed.Seconds(), ok)
	if ok || e.RequestDone {
		delete(b.requests, e.ID)
		return nil
	}
	neverRan := e.Code == decide.Full || e.Code == decide.ConnectFailed || e.Code == decide.Moot
	if b.retryEnabled && (neverRan || t.class.Effect == decide.Safe && e.Code != decide.TimedOut) &&
		len(t.tried) < max(1, b.settings.MaxAttempts) &&
		b.now < t.deadline && b.retriesInFlight < math.Max(minRetryConcurrency, retryBudgetFraction*b.inFlight) {
		return b.send(e.ID, t)
	}
	return b.finish(e.ID, t, neverRan || t.class.Effect == decide.Safe)
}

// recordResult updates a host's latency and failures, ejects the host after too many failures, and updates the
// concurrency limit. took is in seconds.
func (b *baseline) recordResult(h *host, took float64, ok bool) {
	now := b.now.Seconds()
	weight := math.Exp(-(now - h.updatedAt) / ewmaDecay.Seconds())
	if took > h.latency {
		h.latency = took // a peak counts at once, without smoothing
	} else {
		h.latency = h.latency*weight + took*(1-weight)
	}
	h.updatedAt = now
	if ok {
		h.failures = 0
	} else if h.failures++; b.ejectEnabled && h.failures >= ejectAfterFailures {
		ejected := 0
		for _, o := range b.hosts {
			if o.ejectedUntil > b.now {
				ejected++
			}
		}
		if ejected == 0 || float64(ejected+1) <= maxEjectedFraction*float64(len(b.hosts)) {
			h.ejections++
			h.ejectedUntil, h.failures = b.now+min(time.Duration(h.ejections)*baseEjectionTime, maxEjectionTime), 0
		}
	}
	if b.concurrencyLimit > 0 && ok { // from Gradient2Limit._update
		b.samples++
		b.longLatency += (took - b.longLatency) / math.Min(b.samples, gradientLongWindow)
		if b.longLatency/took > 2 {
			b.longLatency *= 0.95
		}
		if b.inFlight+1 < b.concurrencyLimit/2 {
			return // the limit is not what bounds the requests in flight
		}
		gradient := math.Max(0.5, math.Min(1, gradientTolerance*b.longLatency/took))
		next := b.concurrencyLimit*gradient + 4
		b.concurrencyLimit = math.Max(gradientMinLimit, math.Min(gradientMaxLimit,
			b.concurrencyLimit*(1-gradientSmoothing)+next*gradientSmoothing))
	}
}

// probeEnded adds a probe's answer to the pool.
func (b *baseline) probeEnded(e decide.ProbeEnded) {
	i := slices.IndexFunc(b.hosts, func(h *host) bool { return h.id == e.Server })
	if e.Code != decide.OK || e.Report == nil || i < 0 {
		return
	}
	b.probes = append(b.probes, probe{b.hosts[i], b.now, e.Report.InFlight, e.Report.ServiceTime, 0})
	b.recentInFlight = append(b.recentInFlight, e.Report.InFlight)
	if len(b.recentInFlight) > 8*probePoolSize {
		b.recentInFlight = b.recentInFlight[len(b.recentInFlight)-8*probePoolSize:]
	}
	if len(b.probes) > probePoolSize {
		b.probes = b.probes[1:]
	}
}

// pickRandom picks a random host.
func pickRandom(b *baseline, hosts []*host) *host { return hosts[b.rng.IntN(len(hosts))] }

// pickRoundRobin picks the hosts in turn.
func pickRoundRobin(b *baseline, hosts []*host) *host {
	b.lastHost++
	return hosts[b.lastHost%len(hosts)]
}

// twoHosts returns two random hosts, which differ if there are at least two.
func (b *baseline) twoHosts(hosts []*host) (*host, *host) {
	i := b.rng.IntN(len(hosts))
	if len(hosts) == 1 {
		return hosts[0], hosts[0]
	}
	return hosts[i], hosts[(i+1+b.rng.IntN(len(hosts)-1))%len(hosts)]
}

// pickLeastRequest picks that one of two random hosts which has fewer requests in flight.
func pickLeastRequest(b *baseline, hosts []*host) *host {
	x, y := b.twoHosts(hosts)
	if y.inFlight < x.inFlight {
		return y
	}
	return x
}

// pickEWMA picks that one of two random hosts which has the lower product of latency and requests in flight, as
// PeakEwma does.
func pickEWMA(b *baseline, hosts []*host) *host {
	load := func(h *host) float64 {
		cost := h.latency * math.Exp(-(b.now.Seconds()-h.updatedAt)/ewmaDecay.Seconds())
		if cost == 0 && h.inFlight > 0 {
			return math.MaxFloat64 / 2 // Finagle's penalty: the latency is unknown, and a request is in flight
		}
		return cost * float64(h.inFlight+1)
	}
	x, y := b.twoHosts(hosts)
	if load(y) < load(x) {
		return y
	}
	return x
}

// pickHotCold is Prequal's hot-cold rule: of the cold servers it picks the one with the lowest latency; if all are
// hot, the one with the fewest requests in flight.
func pickHotCold(b *baseline, hosts []*host) *host {
	b.probes = slices.DeleteFunc(b.probes, func(p probe) bool {
		return b.now-p.answeredAt > maxProbeAge || p.uses >= maxProbeUses || !slices.Contains(hosts, p.host)
	})
	if len(b.probes) < 2 {
		return pickRandom(b, hosts)
	}
	sorted := slices.Clone(b.recentInFlight)
	slices.Sort(sorted)
	hot := sorted[int(hotQuantile*float64(len(sorted)-1))]
	best := -1
	for i, p := range b.probes {
		q := probe{inFlight: math.Inf(1), latency: math.MaxInt64}
		if best >= 0 {
			q = b.probes[best]
		}
		cold, was := p.inFlight <= hot, best >= 0 && q.inFlight <= hot
		if cold && (!was || p.latency < q.latency) || !cold && !was && p.inFlight < q.inFlight {
			best = i
		}
	}
	p := &b.probes[best]
	p.uses++
	p.inFlight++ // counts the request that is sent now
	return p.host
}

// oracle sends each order to the server that would answer it first, judged by the true state of all servers. It
// refuses an order that no server would answer within its aim, or that would delay classes of higher worth per
// unit of work past their aims. It shows what a perfect view of the present is worth, without a view of the
// future.
type oracle struct{ fleet *Fleet }

// maxQueueSeconds returns how long a server's queue may be for an order of a class to join it, in seconds.
func (o *oracle) maxQueueSeconds(c *Class) float64 {
	density := func(c *Class) float64 { return c.Worth / c.Work.Seconds() }
	room := math.Inf(1)
	for i := range o.fleet.scenario.Classes {
		if d := &o.fleet.scenario.Classes[i]; density(d) > density(c) {
			room = math.Min(room, (d.Aim - 3*d.Work).Seconds())
		}
	}
	return math.Max(0, room)
}

// Handle implements Decider.
func (o *oracle) Handle(_ decide.Time, e decide.Event) []decide.Action {
	switch e := e.(type) {
	case decide.RequestArrived:
		t := o.fleet.tryOf(e.ID)
		if t == nil {
			return nil
		}
		best, least, room := (*server)(nil), math.Inf(1), o.maxQueueSeconds(t.order.class)
		for _, s := range o.fleet.servers {
			if s.down || s.unresponsive || s.inFlight() >= s.MaxRequests {
				continue
			}
			if w := s.expectedSeconds(t.order.work); w < least && s.expectedSeconds(0) <= room {
				best, least = s, w
			}
		}
		left := (t.order.began + t.order.class.Aim - o.fleet.Now() - 2*o.fleet.scenario.Hop).Seconds()
		if best == nil || least > left {
			return []decide.Action{decide.Refuse{ID: e.ID}}
		}
		return []decide.Action{decide.Send{ID: e.ID, Server: best.id}}
	case decide.AttemptEnded:
		if !e.RequestDone && e.Code != decide.OK {
			return []decide.Action{decide.Fail{ID: e.ID}}
		}
	}
	return nil
}
