package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

const (
	listLifetime     = 6 * time.Second       // from a change until a process counts as notified of it
	slowWorldStep    = 25 * time.Millisecond // of virtual time
	reloadInterval   = 15 * time.Second      // between two reloads, in the mean
	steadyAfter      = 30 * time.Second
	slowWorldLength  = 4 * time.Minute         // of virtual time
	maxSlowAnswer    = 3600 * time.Millisecond // for which discovery takes to answer
	leastUsableShare = 0.9                     // of the time
)

// slowDiscovery is a discovery service, in the virtual time of a synctest bubble, whose answers are determined when their
// call has its turn, and come late, with a pause in the middle. It implements http.RoundTripper.
type slowDiscovery struct {
	mu       sync.Mutex
	version  int
	changed  chan struct{} // closed when the version changes
	delay    time.Duration // until the first byte of an answer
	pause    time.Duration // in the middle of an answer
	calls    int
	mostOpen int
	open     int
}

// RoundTrip implements http.RoundTripper.
func (d *slowDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	d.count(1)
	defer d.count(-1)
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	version := d.awaitChange(r.Context(), since, time.Duration(wait)*time.Millisecond)
	d.mu.Lock()
	delay, pause := d.delay, d.pause
	d.mu.Unlock()
	sleep(r.Context(), delay)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotFirstResponseByte()
	}
	text := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[]}`, version, !r.URL.Query().Has("since"))
	resp := response(http.StatusOK, "")
	resp.Body = &slowBody{ctx: r.Context(), parts: []string{text[:4], text[4:]}, pause: pause}
	return resp, nil
}

// count counts a call that begins or ends.
func (d *slowDiscovery) count(begun int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += begun
	d.calls += max(0, begun)
	d.mostOpen = max(d.mostOpen, d.open)
}

// awaitChange returns the version once it is higher than since, or the wait is over.
func (d *slowDiscovery) awaitChange(ctx context.Context, since int, wait time.Duration) int {
	d.mu.Lock()
	changed, version := d.changed, d.version
	d.mu.Unlock()
	if version > since {
		return version
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(wait):
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// change makes a new version.
func (d *slowDiscovery) change() (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// setSpeed sets how answers come from now on.
func (d *slowDiscovery) setSpeed(delay, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay, d.pause = delay, pause
}

// slowBody is the body of an answer, with a pause between its parts.
type slowBody struct {
	ctx   context.Context
	parts []string
	pause time.Duration
	read  int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.read == len(b.parts) {
		return 0, io.EOF
	}
	if b.read > 0 {
		sleep(b.ctx, b.pause)
	}
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	b.read++
	return copy(p, b.parts[b.read-1]), nil
}

// Close implements io.Closer.
func (b *slowBody) Close() error { return nil }

// slowWorld is a process's module and the client that brings it the list of a slow discovery.
type slowWorld struct {
	discovery *slowDiscovery
	registry  *Registry
	began     time.Time
	watching  sync.WaitGroup

	mu       sync.Mutex
	module   *decide.Module
	version  uint64
	endWatch context.CancelFunc
}

// handle passes an event to the module, and begins a watch if it wants one.
func (w *slowWorld) handle(ctx context.Context, event decide.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, action := range w.module.Handle(time.Second+time.Since(w.began), event) {
		if subscribe, ok := action.(decide.Subscribe); ok && subscribe.On {
			watchCtx, end := context.WithCancel(ctx)
			w.endWatch = end
			w.watching.Go(func() { w.watch(watchCtx) })
		}
	}
}

// watch passes the list on until the watch ends.
func (w *slowWorld) watch(ctx context.Context) {
	err := w.registry.Watch(ctx, new(uint64(1)), func(list core.List) {
		if ctx.Err() != nil {
			return
		}
		if list.Stalled {
			w.handle(ctx, decide.ListUpdate{Kind: decide.ListStalled, UsableFor: time.Until(list.UsableUntil)})
			return
		}
		w.mu.Lock()
		w.version = max(w.version, list.Version)
		w.mu.Unlock()
		w.handle(ctx, decide.ListUpdate{Kind: decide.ListChanges, Version: list.Version,
			ConfirmedAge: time.Since(list.AsOf)})
	})
	if ctx.Err() != nil {
		return
	}
	failed := decide.ListUpdate{Kind: decide.ListFailed}
	if call := (*core.CallError)(nil); errors.As(err, &call) {
		failed.Cause, failed.Took = call.Cause, call.Took
	}
	w.handle(ctx, failed)
}

// reload ends the watch, as where discovery moves.
func (w *slowWorld) reload(ctx context.Context) {
	w.mu.Lock()
	if w.endWatch != nil {
		w.endWatch()
	}
	w.mu.Unlock()
	w.handle(ctx, decide.ListUpdate{Kind: decide.ListFailed, Cause: decide.CauseMoved})
}

// usable returns whether the module may send by its list, and the list's version.
func (w *slowWorld) usable() (bool, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.module.ListUsable(), w.version
}

// newSlowWorld returns a process of a fleet.
func newSlowWorld(nodes int, seed int64) *slowWorld {
	settings := testkit.Settings()
	settings.Nodes, settings.ListOnRequest, settings.NotifiedWithin = nodes, true, listLifetime
	world := &slowWorld{discovery: &slowDiscovery{version: 1, changed: make(chan struct{})}, began: time.Now(),
		registry: New(netip.MustParseAddrPort("127.0.0.1:9"), settings, testkit.DiscardLog),
		module:   decide.New(settings, seed)}
	world.registry.client.Transport = world.discovery
	return world
}

// run plays random spells of slowness and changes. It returns the share of the time in which the list was usable, and
// describes the first moment at which the list was usable although the process counted as notified of a newer one.
func (w *slowWorld) run(t *testing.T, random *rand.Rand, reloads, steady bool,
	spell func(*rand.Rand) (delay, pause time.Duration)) (share float64, expired string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer w.watching.Wait()
	defer cancel()
	changedAt := []time.Time{{}, {}} // by version
	bound := listLifetime
	if timing := w.registry.serviceTiming; timing.wait+decide.MissedPollSlack > bound {
		bound = timing.wait + timing.jitter/2 + decide.MissedPollSlack
	}
	var nextSpell, nextChange time.Time
	nextReload := time.Now().Add(reloadInterval)
	usableSteps, steps := 0, 0
	w.handle(ctx, decide.ListUpdate{Kind: decide.ListCached})
	for time.Since(w.began) < slowWorldLength {
		now := time.Now()
		if !now.Before(nextSpell) {
			delay, pause := spell(random)
			w.discovery.setSpeed(delay, pause)
			nextSpell = now.Add(time.Duration(5+random.Intn(20)) * time.Second)
		}
		if !now.Before(nextChange) {
			w.discovery.change()
			changedAt = append(changedAt, now)
			nextChange = now.Add(time.Duration(random.Intn(8000)) * time.Millisecond)
		}
		if reloads && !now.Before(nextReload) {
			w.reload(ctx)
			nextReload = now.Add(reloadInterval/2 + time.Duration(random.Int63n(int64(reloadInterval))))
		}
		time.Sleep(slowWorldStep)
		w.handle(ctx, decide.TimerFired{})
		usable, version := w.usable()
		if steps++; usable {
			usableSteps++
		}
		if steady && time.Since(w.began) > steadyAfter { // the process knows by now that discovery is slow
			bound = listLifetime
		}
		if next := int(version) + 1; usable && expired == "" && next < len(changedAt) &&
			time.Since(changedAt[next]) > bound+slowWorldStep {
			expired = fmt.Sprintf("version %d is used after %v, %v after the change to version %d", version,
				time.Since(w.began), time.Since(changedAt[next]), next)
		}
	}
	return float64(usableSteps) / float64(steps), expired
}

// Guards against a list that is used for as long as discovery is slow, because a call that was given up counted as an
// outage, and against a list that expires for as long. Discovery answers each call within maxSlowAnswer.
func TestListOfSlowDiscovery(t *testing.T) {
	t.Parallel()
	spells := map[string]func(*rand.Rand) (delay, pause time.Duration){
		"in two parts": func(random *rand.Rand) (delay, pause time.Duration) {
			delay = time.Duration(random.Int63n(int64(maxSlowAnswer)))
			return delay, time.Duration(random.Int63n(int64(maxSlowAnswer - delay)))
		},
		"at once": func(random *rand.Rand) (delay, pause time.Duration) {
			return time.Duration(random.Int63n(int64(maxSlowAnswer))), 0
		},
		"long pause": func(random *rand.Rand) (delay, pause time.Duration) {
			return 0, time.Duration(random.Int63n(int64(maxSlowAnswer)))
		},
		"always slow": func(*rand.Rand) (delay, pause time.Duration) { return maxSlowAnswer / 2, maxSlowAnswer / 2 },
		"always late": func(*rand.Rand) (delay, pause time.Duration) { return maxSlowAnswer, 0 },
		"fast":        func(*rand.Rand) (delay, pause time.Duration) { return time.Millisecond, 0 },
	}
	for name, spell := range spells {
		for _, nodes := range []int{1, 5, 16, 30, 300} {
			for seed := range int64(6) {
				reloads := seed%2 == 1
				t.Run(fmt.Sprint(name, ", ", nodes, " nodes, reloads ", reloads, ", seed ", seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						world := newSlowWorld(nodes, seed)
						share, expired := world.run(t, rand.New(rand.NewSource(seed)), reloads,
							strings.HasPrefix(name, "always"), spell)
						if expired != "" {
							t.Error(expired)
						}
						least := leastUsableShare
						if reloads { // each one may cost the time of an answer
							least -= maxSlowAnswer.Seconds() / reloadInterval.Seconds()
						}
						if share < least {
							t.Errorf("the list is usable for %.3f of the time, want at least %.3f", share, least)
						}
						if world.discovery.mostOpen > maxOpenCalls {
							t.Errorf("%d calls were open at a time, %d at most", world.discovery.mostOpen, maxOpenCalls)
						}
						t.Logf("usable %.3f, %d calls", share, world.discovery.calls)
					})
				})
			}
		}
	}
}
