package core

import (
	"os"
	"sync/atomic"
	"time"
)

// lagMeter measures how long this process takes to notice that something has come: its run queue, and the time in which
// its core belongs to others. It sends itself a byte through a pipe, and the byte is noticed the way a server's answer is.
// Where a goroutine waits in the runtime's own queue only, that time could be had from runtime/metrics; what waits in the
// kernel until the poller gets its turn could not, and on a busy core it is most of it.
type lagMeter struct {
	r, w *os.File
	sent atomic.Int64 // when the byte on its way was sent, by clock; 0: none is
	lag  atomic.Int64 // ns, smoothed
	from time.Time
}

const (
	lagGain = 0.3  // weight of a new reading: some ten a second must show a starved core within half of one
	lagMost = 10e9 // ns
)

func newLagMeter() (*lagMeter, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	return &lagMeter{r: r, w: w, from: time.Now()}, nil
}

// clock is never 0.
func (m *lagMeter) clock() int64 { return int64(time.Since(m.from)) + 1 }

// ping begins a reading, unless one is under way. It never blocks: the pipe holds one byte at most.
func (m *lagMeter) ping() {
	if m != nil && m.sent.CompareAndSwap(0, m.clock()) {
		m.w.Write([]byte{1})
	}
}

// run takes the readings until close.
func (m *lagMeter) run() {
	var b [1]byte
	for {
		if _, err := m.r.Read(b[:]); err != nil {
			return
		}
		now := float64(min(m.clock()-m.sent.Load(), lagMost))
		old := float64(m.lag.Load())
		m.lag.Store(int64(old + lagGain*(now-old)))
		m.sent.Store(0)
	}
}

// value is the present lag. A reading that is late already counts as far as it has got.
func (m *lagMeter) value() time.Duration {
	if m == nil {
		return 0
	}
	lag := m.lag.Load()
	if sent := m.sent.Load(); sent != 0 {
		lag = max(lag, int64(lagGain*float64(m.clock()-sent)))
	}
	return time.Duration(lag)
}

func (m *lagMeter) close() {
	m.w.Close()
	m.r.Close()
}
