package decide

import (
	"math"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	// coldSeedsEnv is the environment variable with the number of seeds to run.
	coldSeedsEnv = "COLD_SEEDS"
	// defaultColdSeeds is the number of seeds where the variable is not set. Of those with 300 nodes, whose runs take
	// the longest, only the first defaultColdLargeSeeds are run then.
	defaultColdSeeds, defaultColdLargeSeeds = 50, 1
	// coldMinUsedPart is the least part of the cold servers' capacity that must be used, as a mean over the runs of one
	// fleet size.
	coldMinUsedPart = 0.4
)

// requestedSeeds is the number of seeds that the environment variable asks for; 0 if it is not set.
func requestedSeeds(t *testing.T) int {
	t.Helper()
	text := os.Getenv(coldSeedsEnv)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q: want a number of seeds", coldSeedsEnv, text)
	}
	return n
}

// coldTotal sums up the runs of one fleet size.
type coldTotal struct {
	runs, overBound      int // all runs; those in which a server got more than its bound
	worstRatio, usedPart float64
}

// Guards against overloading servers in slow start, where no node sees what the others send. In every window of
// Settings.OverloadTime, all nodes together send a cold server at most N + 2*sqrt(N) + 2 requests of mean work,
// where N is what the settings allow it then and the rest is for chance. Nor do cold servers stay unused.
func TestColdServersAreSparedByTheSumOfAllNodes(t *testing.T) {
	seeds, large := requestedSeeds(t), math.MaxInt
	if seeds == 0 {
		seeds, large = defaultColdSeeds, defaultColdLargeSeeds
	}
	var runs []coldScenario
	for seed := range seeds {
		scenario := drawScenario(uint64(seed))
		if scenario.nodeCount == 300 {
			if large--; large < 0 {
				continue
			}
		}
		runs = append(runs, scenario)
	}
	checkColdRuns(t, runs)
}

// Guards against budgets of cold servers that accumulate without limit: nodes spent all at once what they had saved in
// an idle period, and with each of these seeds a cold server got more than its bound.
func TestBudgetsOfColdServersAreNotSavedUp(t *testing.T) {
	var runs []coldScenario
	for seed := range requestedSeeds(t) {
		runs = append(runs, quietThenLost(uint64(seed)))
	}
	if len(runs) == 0 {
		for _, seed := range accumulationSeeds {
			runs = append(runs, quietThenLost(seed))
		}
	}
	checkColdRuns(t, runs)
}

// accumulationSeeds are seeds of quietThenLost.
var accumulationSeeds = []uint64{10, 90, 208, 266, 279, 281}

// checkColdRuns runs scenarios and checks what the cold servers got: in each window, and as a mean per fleet size.
func checkColdRuns(t *testing.T, runs []coldScenario) {
	t.Helper()
	verdicts := make([]coldVerdict, len(runs))
	inParallel(len(runs), func(i int) {
		fleet := newColdFleet(runs[i])
		fleet.run()
		verdicts[i] = fleet.judge()
	})
	totals := map[int]*coldTotal{}
	for i, verdict := range verdicts {
		scenario := runs[i]
		for _, excess := range verdict.excess {
			t.Errorf("%v: server %d got %.1f requests in the window from %v after its start, bound %.1f",
				scenario, excess.server, excess.count, excess.start, excess.bound)
		}
		if totals[scenario.nodeCount] == nil {
			totals[scenario.nodeCount] = &coldTotal{}
		}
		total := totals[scenario.nodeCount]
		total.runs, total.worstRatio, total.usedPart = total.runs+1, max(total.worstRatio, verdict.worstRatio),
			total.usedPart+verdict.usedPart
		if len(verdict.excess) > 0 {
			total.overBound++
		}
	}
	for _, nodes := range coldNodeCounts {
		total := totals[nodes]
		if total == nil {
			continue
		}
		used := total.usedPart / float64(total.runs)
		t.Logf("%3d nodes: %d runs, %d over the bound, worst window %.2f of it; %.2f of the cold capacity used", nodes,
			total.runs, total.overBound, total.worstRatio, used)
		if total.runs >= 10 && used < coldMinUsedPart {
			t.Errorf("%d nodes: %.2f of the cold servers' capacity used, want %.2f", nodes, used, coldMinUsedPart)
		}
	}
}

// inParallel calls run with each number below n, some of them side by side.
func inParallel(n int, run func(i int)) {
	var group sync.WaitGroup
	numbers := make(chan int)
	for range 4 {
		group.Go(func() {
			for i := range numbers {
				run(i)
			}
		})
	}
	for i := range n {
		numbers <- i
	}
	close(numbers)
	group.Wait()
}
