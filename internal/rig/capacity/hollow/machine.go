package hollow

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// cpuTime returns the processor time, user and system, that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentKiB returns the resident memory of this process in KiB, 0 if it cannot be read.
func residentKiB() int {
	raw, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

const pauseStep = 10 * time.Millisecond

// pauseMeter measures by how much a goroutine that sleeps for pauseStep wakes up too late.
type pauseMeter struct {
	longestNanos atomic.Int64 // ns
	done         chan struct{}
}

func (p *pauseMeter) start() {
	p.done = make(chan struct{})
	go func() {
		for last := time.Now(); ; {
			select {
			case <-p.done:
				return
			case <-time.After(pauseStep):
			}
			now := time.Now()
			if late := int64(now.Sub(last) - pauseStep); late > p.longestNanos.Load() {
				p.longestNanos.Store(late)
			}
			last = now
		}
	}()
}

// takeLongest returns the longest pause since its last call.
func (p *pauseMeter) takeLongest() time.Duration { return time.Duration(p.longestNanos.Swap(0)) }

func (p *pauseMeter) stop() { close(p.done) }

func sortTimes(list []time.Time) { slices.SortFunc(list, time.Time.Compare) }
