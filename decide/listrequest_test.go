package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// callRound is the time in which discovery can answer one call from every node.
type callRound time.Duration

// perCall is discovery's work for one call.
func (a callRound) perCall(nodes int) time.Duration { return time.Duration(a) / time.Duration(nodes) }

// runOutage simulates a fleet whose watches all end when discovery goes down, and a change of the list at the moment at
// which discovery is reachable again. It returns how long each node took from then on to apply the change, in ascending
// order. It waits for atMost; a node that has not applied the change by then counts with the time waited.
func runOutage(nodes int, maxListRequestInterval time.Duration, discovery *queuedDiscovery, down, atMost time.Duration,
	seed int64) []time.Duration {
	fleet := newSubscribingFleet(nodes, maxListRequestInterval, seed)
	fleet.now, fleet.discovery, fleet.changeAt = time.Second, discovery, time.Hour
	for i := range fleet.nodes {
		fleet.start(i)
	}
	fleet.run(20 * time.Second)
	discovery.downFrom, discovery.backAt, fleet.changeAt = fleet.now, fleet.now+down, fleet.now+down
	for i := range fleet.nodes {
		fleet.breakWatch(i, false)
	}
	discovery.calls, discovery.expired, discovery.refused = 0, 0, 0
	fleet.run(discovery.backAt)
	for fleet.now < discovery.backAt+atMost && slices.ContainsFunc(fleet.nodes,
		func(node subscribingNode) bool { return node.appliedAt == 0 }) {
		fleet.run(fleet.now + time.Second)
	}
	var applyTimes []time.Duration
	for _, node := range fleet.nodes {
		if node.appliedAt == 0 {
			node.appliedAt = fleet.now
		}
		applyTimes = append(applyTimes, node.appliedAt-discovery.backAt)
	}
	slices.Sort(applyTimes)
	return applyTimes
}

// Guards against long waits between list requests. Every node must apply a change within 6 s of the moment at which
// discovery has it and is reachable, whatever became of its earlier requests, and however long the settings let a node
// go without a request. With backoffs that doubled up to 7.5 s, and requests spread over 5 s, or over 12 s where
// MaxListRequestInterval allowed it, that took 10 s and more.
func TestChangeIsFollowedInTime(t *testing.T) {
	t.Parallel()
	const atMost = 15 * time.Second
	faults := []struct {
		discoveryFault
		down time.Duration
	}{{faultRefused, 0}, {faultRefused, 8 * time.Second}, {faultReset, 8 * time.Second},
		{faultUnresponsive, 8 * time.Second}, {faultMixed, 8 * time.Second}}
	for _, c := range []struct {
		nodes      int
		within     time.Duration
		all        callRound
		chargesAll bool
	}{
		{1, 10 * time.Second, callRound(100 * time.Millisecond), true},
		{3, time.Minute, callRound(300 * time.Millisecond), true},
		{30, 10 * time.Second, callRound(2 * time.Second), true},
		{300, 10 * time.Second, callRound(2 * time.Second), true},
		{300, time.Minute, callRound(2 * time.Second), true},
		{300, 10 * time.Second, callRound(2 * time.Second), false},
		{300, 10 * time.Second, callRound(5 * time.Second), false},
	} {
		t.Run(fmt.Sprint(c.nodes, " nodes ", c.within, " ", time.Duration(c.all),
			" each call charged: ", c.chargesAll), func(t *testing.T) {
			t.Parallel()
			var worst time.Duration
			calls := 0
			for seed := range int64(2) {
				for _, fault := range faults {
					discovery := &queuedDiscovery{chargesWatches: c.chargesAll, workPerCall: c.all.perCall(c.nodes),
						overbook: 3, fault: fault.discoveryFault}
					took := runOutage(c.nodes, c.within, discovery, fault.down, atMost, seed)
					if last := took[c.nodes-1]; last > applyWithin {
						t.Errorf("seed %d, %s for %v: %v until all nodes have applied a change, %v at most", seed,
							fault.discoveryFault, fault.down, last, applyWithin)
					}
					worst, calls = max(worst, took[c.nodes-1]), max(calls, discovery.calls/c.nodes)
				}
			}
			t.Logf("worst %v, %d calls a node at most", worst, calls)
		})
	}
}

// Seven in ten of 300 processes are killed at once and start again, while discovery is down at first or has too little
// capacity. Nine in ten of them must have a list within 10 s, also where their configuration holds none.
func TestRestartedAreReadyInTime(t *testing.T) {
	t.Parallel()
	checkRestarts(t, []restartCase{
		{"with a list", true, callRound(8 * time.Second), 3, 8 * time.Second, 20 * time.Second},
		{"no list, long enough", false, callRound(2 * time.Second), 1, 0, 20 * time.Second},
		{"no list, short", false, callRound(5 * time.Second), 3, 0, 20 * time.Second},
		{"no list, shortest", false, callRound(8 * time.Second), 1, 0, 20 * time.Second},
		{"no list, down for 3 s", false, callRound(4 * time.Second), 3, 3 * time.Second, 20 * time.Second},
	})
}

// The same where discovery queues three times as many calls as it can answer in time.
func TestRestartedAreReadyThoughOverbooked(t *testing.T) {
	t.Parallel()
	checkRestarts(t, []restartCase{
		{"no list, shortest, overbooked", false, callRound(8 * time.Second), 3, 0, time.Minute},
	})
}

// restartCase is a fleet most of whose processes are restarted at once.
type restartCase struct {
	name        string
	listKnown   bool // a process starts with the list of its configuration
	callRound   callRound
	overbook    float64       // as queuedDiscovery's
	down        time.Duration // outage from the restart on; processes without a list can serve only after it
	startupTime time.Duration // from the first start of the fleet to the restart
}

// checkRestarts runs each case and checks that nine in ten of the restarted processes have a list in time.
func checkRestarts(t *testing.T, cases []restartCase) {
	const nodes, killed, readyWithin = 300, 210, 10 * time.Second
	for _, restart := range cases {
		t.Run(restart.name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(2) {
				fleet := newSubscribingFleet(nodes, 10*time.Second, seed)
				fleet.now, fleet.changeAt = time.Second, time.Hour
				fleet.discovery = &queuedDiscovery{workPerCall: restart.callRound.perCall(nodes),
					overbook: restart.overbook, fault: faultMixed}
				for i := range fleet.nodes {
					fleet.start(i)
				}
				fleet.run(restart.startupTime)
				fleet.listKnown = restart.listKnown
				fleet.discovery.downFrom, fleet.discovery.backAt = fleet.now, fleet.now+restart.down
				startedAt := fleet.now
				for i := range killed {
					fleet.start(i)
				}
				fleet.run(startedAt + 15*time.Second)
				var readyTimes []time.Duration
				for _, node := range fleet.nodes[:killed] {
					if node.listSince == 0 {
						node.listSince = fleet.now
					}
					readyTimes = append(readyTimes, node.listSince-startedAt)
				}
				slices.Sort(readyTimes)
				if at := readyTimes[killed*9/10-1]; at > readyWithin {
					t.Errorf("seed %d: nine in ten are ready after %v, %v at most", seed, at, readyWithin)
				}
				t.Logf("%s: nine in ten after %v, all after %v", restart.name, readyTimes[killed*9/10-1],
					readyTimes[killed-1])
			}
		})
	}
}

// Guards against a discovery that stays overloaded for ever. It needs 8 s for one call from each node, and works on
// calls that have timed out in its queue. All nodes get the list all the same after a while, as those whose calls time
// out make fewer and fewer of them.
func TestOverloadedDiscoveryServesAll(t *testing.T) {
	t.Parallel()
	const atMost = time.Minute
	for seed := range int64(1) {
		discovery := &queuedDiscovery{workPerCall: callRound(8 * time.Second).perCall(300), overbook: 3,
			fault: faultRefused}
		applyTimes := runOutage(300, 10*time.Second, discovery, 8*time.Second, atMost, seed)
		if last := applyTimes[len(applyTimes)-1]; last > atMost*2/3 {
			t.Errorf("seed %d: all are served after %v", seed, last)
		}
		t.Logf("half after %v, nine in ten after %v, all after %v; %d calls, %d of them timed out in the queue",
			applyTimes[149], applyTimes[269], applyTimes[299], discovery.calls, discovery.expired)
	}
}

// A watch has stalled, and the call that was to renew it has timed out after 3 s. The wait before the next call
// counts from the beginning of that call, not from its end, as discovery may have been back just after the call began.
func TestStalledWatchRenewalCountsFromItsBeginning(t *testing.T) {
	t.Parallel()
	for seed := range int64(100) {
		fleet := newSubscribingFleet(300, 10*time.Second, seed)
		fleet.now, fleet.changeAt = time.Second, time.Hour
		fleet.start(0)
		module := fleet.nodes[0].module
		requestsList := func() bool {
			fleet.now += 25 * time.Millisecond
			return slices.ContainsFunc(module.Handle(fleet.now, TimerFired{}), func(a Action) bool {
				_, ok := a.(Subscribe)
				return ok
			})
		}
		for !requestsList() {
		}
		module.Handle(fleet.now, ListUpdate{Kind: ListFull, Entries: readyServers()})
		fleet.now += time.Minute
		began := fleet.now - unansweredCallLimit
		module.Handle(fleet.now, ListUpdate{Kind: ListFailed, Took: unansweredCallLimit})
		for !requestsList() && fleet.now < began+time.Minute {
		}
		if took := fleet.now - began; took > maxRetryInterval+requestMargin {
			t.Fatalf("seed %d: next list request %v after the call had begun, %v at most", seed, took, maxRetryInterval)
		}
	}
}
