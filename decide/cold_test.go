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
	coldSeedsVariable = "COLD_SEEDS"
	// defaultColdSeeds is the number of seeds where the variable is not set. Of those with 300 nodes, whose runs take the
	// longest, only the first defaultColdLargeSeeds are run then.
	coldSeeds, coldLargeSeeds = 50, 1
	// coldMinUsedPart is the least part of the cold servers' capacity that must be used, as a mean over the runs of one
	// fleet size.
	coldUsedLeast = 0.4
)

// requestedSeeds is the number of seeds that the environment variable asks for; 0 if it is not set.
func seedsWanted(t *testing.T) int {
	t.Helper()
	text := os.Getenv(coldSeedsVariable)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q: want a number of seeds", coldSeedsVariable, text)
	}
	return n
}

// coldTotal sums up the runs of one fleet size.
type coldTotal struct {
	runs, over  int // all runs; those in which a server got more than its bound
	worst, used float64
}

// Guards against overloading servers in slow start, where no node sees what the others send. In every window of
// Settings.OverloadTime, all nodes together send a cold server at most N + 2 x root of N + 2 requests of mean work, where N
// is what the settings allow it then and the rest is for chance. Nor do cold servers stay unused.
func TestColdServersAreSparedByTheSumOfAllNodes(t *testing.T) {
	seeds, large := seedsWanted(t), math.MaxInt
	if seeds == 0 {
		seeds, large = coldSeeds, coldLargeSeeds
	}
	var runs []coldScenario
	for seed := range seeds {
		c := scenarioOf(uint64(seed))
		if c.size == 300 {
			if large--; large < 0 {
				continue
			}
		}
		runs = append(runs, c)
	}
	checkColdRuns(t, runs)
}

// Guards against budgets of cold servers that accumulate without limit: nodes spent all at once what they had saved in an
// idle period, and with each of these seeds a cold server got more than its bound.
func TestBudgetsOfColdServersAreNotSavedUp(t *testing.T) {
	var runs []coldScenario
	for seed := range seedsWanted(t) {
		runs = append(runs, quietThenLost(uint64(seed)))
	}
	if len(runs) == 0 {
		for _, seed := range savedUpSeeds {
			runs = append(runs, quietThenLost(seed))
		}
	}
	checkColdRuns(t, runs)
}

// accumulationSeeds are seeds of quietThenLost.
var savedUpSeeds = []uint64{10, 90, 208, 266, 279, 281}

// checkColdRuns runs scenarios and checks what the cold servers got: in each window, and as a mean per fleet size.
func checkColdRuns(t *testing.T, runs []coldScenario) {
	t.Helper()
	verdicts := make([]coldVerdict, len(runs))
	inParallel(len(runs), func(i int) {
		f := newColdFleet(runs[i])
		f.run()
		verdicts[i] = f.judge()
	})
	totals := map[int]*coldTotal{}
	for i, v := range verdicts {
		c := runs[i]
		for _, e := range v.excess {
			t.Errorf("%v: server %d got %.1f requests in the window from %v after its start, bound %.1f",
				c, e.server, e.count, e.from, e.bound)
		}
		if totals[c.size] == nil {
			totals[c.size] = &coldTotal{}
		}
		s := totals[c.size]
		s.runs, s.worst, s.used = s.runs+1, max(s.worst, v.worst), s.used+v.used
		if len(v.excess) > 0 {
			s.over++
		}
	}
	for _, nodes := range coldSizes {
		s := totals[nodes]
		if s == nil {
			continue
		}
		used := s.used / float64(s.runs)
		t.Logf("%3d nodes: %d runs, %d over the bound, worst window %.2f of it; %.2f of the cold capacity used", nodes,
			s.runs, s.over, s.worst, used)
		if s.runs >= 10 && used < coldUsedLeast {
			t.Errorf("%d nodes: %.2f of the cold servers' capacity used, want %.2f", nodes, used, coldUsedLeast)
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
