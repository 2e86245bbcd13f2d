package core

import (
	"os"
	"sync/atomic"
	"time"
)

// lagMeter measures how long this process takes to notice input: the time in the run queue, and the time in which other
// processes have its core. It sends itself a byte through a pipe, which is noticed in the same way as a server's
// answer. The metrics of package runtime/metrics show only the wait in the runtime's own queue. The wait in the kernel
// until the poller runs, which is most of the lag on a busy core, is not among them.
type lagMeter struct {
	r, w  *os.File
	sent  atomic.Int64 // when the byte in the pipe was sent, by clock; 0: the pipe is empty
	lag   atomic.Int64 // smoothed, in ns
	epoch time.Time    // the zero of clock
}

const (
	lagGain = 0.3  // weight of a new reading: with some ten readings per second a starved core shows within half a second
	maxLag  = 10e9 // bound of one reading, in ns
)

func newLagMeter() (*lagMeter, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	return &lagMeter{r: r, w: w, epoch: time.Now()}, nil
}

// clock is the time since epoch in ns, plus 1, as 0 stands for an empty pipe.
func (m *lagMeter) clock() int64 { return int64(time.Since(m.epoch)) + 1 }

// ping starts a reading, unless one is in progress. It never blocks, because the pipe holds at most one byte.
func (m *lagMeter) ping() {
	if m != nil && m.sent.CompareAndSwap(0, m.clock()) {
		m.w.Write([]byte{1})
	}
}

// run receives the bytes and updates the lag, until close is called.
func (m *lagMeter) run() {
	var b [1]byte
	for {
		if _, err := m.r.Read(b[:]); err != nil {
			return
		}
		reading := float64(min(m.clock()-m.sent.Load(), maxLag))
		previous := float64(m.lag.Load())
		m.lag.Store(int64(previous + lagGain*(reading-previous)))
		m.sent.Store(0)
	}
}

// current is the present lag. A reading in progress counts with the time that it has taken so far, if that shows more.
func (m *lagMeter) current() time.Duration {
	if m == nil {
		return 0
	}
	lag := m.lag.Load()
	if sent := m.sent.Load(); sent != 0 {
		lag = max(lag, int64(lagGain*float64(m.clock()-sent)))
	}
	return time.Duration(lag)
}

// close ends run.
func (m *lagMeter) close() {
	m.w.Close()
	m.r.Close()
}
