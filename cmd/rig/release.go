package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/standin"
)

// releaseBudget allows five of twelve nodes to be out. A fault may kill the nodes of all five voters at once; a release
// halts for lack of budget only if one more is out.
const releaseBudget = "\n[[budget]]\nname = \"nodes\"\non = \"nodes\"\nby = \"fleet\"\nmost_out = 5\n"

// releaseRig releases good versions, and versions that are bad in each way of badKinds, to a fleet of supervised nodes
// under load, while nodes and supervisors are killed or stopped and paths between nodes are cut. With -model it prints
// the results of simulated releases instead.
func releaseRig(ctx context.Context, o *options) error {
	if o.model {
		const trials = 20
		for _, c := range releaseTable(modelKinds, trials, o.seed) {
			fmt.Fprintf(o.out.w, "model %-20s %-16s nodes with it %5.1f (at most %d) of %d, halted %d of %d trials after %4.0f s, rolled back in %4.0f s, done %d, harmed %.0f requests\n",
				c.kind, c.way, c.met, c.mostMet, modelNodes, c.stopped, trials, c.halted, c.back, c.done, c.harmed)
		}
		return nil
	}
	w, err := newWorkspace(ctx, o.binary)
	if err != nil {
		return err
	}
	defer w.Close()
	members, voters, servers, length, rate, zones := 12, 5, 24, 20*time.Minute, 100.0, []string{"hall-a", "hall-b", "hall-c"}
	kinds, list := badKinds, []fault(nil)
	if o.quick {
		members, voters, servers, length, rate = 6, 3, 12, 0, 150
		kinds = []badKind{badKinds[4], badKinds[6]}
	}
	if o.length > 0 {
		length = o.length
	}
	if o.schedule != "" || !o.quick {
		if list, err = o.faults(length, members, watchedKinds); err != nil {
			return err
		}
	}
	if o.only != "" {
		kinds = slices.DeleteFunc(slices.Clone(badKinds), func(k badKind) bool { return !slices.Contains(strings.Split(o.only, ","), k.name) })
	}
	h, closeHistory, err := w.historyFile(o.history)
	if err != nil {
		return err
	}
	defer closeHistory()
	f, err := openZones(servers, zones, 8, mediaWork(1))
	if err != nil {
		return err
	}
	defer f.Close()
	trial := &releaseTrial{servers: f, random: rand.New(rand.NewPCG(o.seed, 0x72656c))}
	if err := trial.registries(o.seed); err != nil {
		return err
	}
	defer trial.close()
	if trial.bad, err = w.badBuild(ctx); err != nil {
		return err
	}
	if trial.program, err = os.ReadFile(w.binary); err != nil {
		return err
	}
	if trial.p, err = (&cluster{w: w, registry: f.registry.Addr, voters: voters, budgets: releaseBudget, watched: true, history: h}).open(ctx, members, zones); err != nil {
		return err
	}
	defer trial.p.close()
	nonVoters := map[string][]string{}
	for _, m := range trial.p.members[voters:] {
		nonVoters[m.zone] = append(nonVoters[m.zone], m.name)
	}
	last := trial.p.members[members-1]
	nonVoters[last.zone] = nonVoters[last.zone][:len(nonVoters[last.zone])-1]
	trial.waves = [][]string{{last.name}}
	for _, zone := range slices.Backward(slices.Sorted(maps.Keys(nonVoters))) {
		if len(nonVoters[zone]) > 0 {
			trial.waves = append(trial.waves, nonVoters[zone])
		}
	}
	var voting []string
	for _, m := range trial.p.members[:voters] {
		voting = append(voting, m.name)
	}
	trial.waves = append(trial.waves, voting)
	if trial.currentVersion, err = trial.addProgram(trial.program); err != nil {
		return err
	}
	printFaults(o.out.w, list)

	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var running sync.WaitGroup
	loads := trial.p.load(loading, &running, mediaClasses, rate, o.seed)
	noise := startNoiseMeter(loading)
	began := time.Now()
	h.mu.Lock()
	h.began = began
	h.mu.Unlock()
	faulting, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var injected error
	var faults sync.WaitGroup
	faults.Go(func() { injected = trial.p.inject(faulting, began, list, f) })
	asExpected := map[string]int{}
	for round := 0; ctx.Err() == nil && (round == 0 || time.Since(began) < length); round++ {
		for _, k := range kinds {
			if round > 0 && time.Since(began) > length {
				break
			}
			if round > 0 && asExpected[k.name] > 0 && len(asExpected) < len(kinds) { // first the kinds that so far were halted only by faults and not by their own cause
				continue
			}
			run, version, err := trial.release(ctx, k)
			if err != nil {
				return err
			}
			if trial.judge(ctx, k, run, version) {
				asExpected[k.name]++
			}
			trial.runs = append(trial.runs, run)
		}
	}
	stopFaults()
	faults.Wait()
	if injected != nil && !errors.Is(injected, context.Canceled) {
		return injected
	}
	faultsOver := time.Now()
	settled := trial.p.awaitSettled(ctx)
	recoveryTime := time.Since(faultsOver)
	stopLoad()
	running.Wait()

	evidence := standin.Evidence{Classes: mediaClasses, Executions: f.executions(), Notifications: f.registry.Notifications()}
	excused := 0
	for i, l := range loads {
		for _, a := range l.Log() {
			if a.Status != 200 && trial.p.members[i].downDuring(a.Sent, a.EndedAt) {
				excused++
				continue
			}
			evidence.Answers = append(evidence.Answers, a)
		}
	}
	for _, run := range trial.runs {
		fmt.Fprintf(o.out.w, "release %s: %s, wave %d, %d of %d nodes met it, halted after %.1f s, over after %.1f s, %d hands: %s\n", run.kind, run.state, run.wave, run.affected, members,
			run.halted.Seconds(), run.ended.Seconds(), run.resumes, run.cause)
	}
	o.out.figure("release.faults", len(list), "faults drawn")
	o.out.figure("release.runs", len(trial.runs), "releases")
	o.out.figure("release.tries", len(evidence.Answers), "attempts of clients")
	o.out.figure("release.spared", excused, "attempts without an answer, as the node was killed or stopped")
	o.out.figure("release.noise", noise.longest().Seconds()*1e3, "ms, the longest delay of the rig itself")
	for _, k := range kinds {
		o.out.promise(asExpected[k.name] > 0, "a version that is %s ends as expected, by its own cause: %d times", strings.Replace(k.name, "fine", "bad, but fine", 1), asExpected[k.name])
	}
	o.out.promise(len(trial.violations) == 0, "each release is done, or halts with no wave affected beyond the allowed ones and is rolled back completely: %s", strings.Join(trial.violations, "; "))
	o.out.promise(settled == nil && recoveryTime < settleWait, "after the last fault all members have a session again within %v: %s", settleWait, errText(settled))
	o.out.verdicts(standin.Check(evidence))
	return nil
}
