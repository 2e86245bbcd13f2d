package relay

import "time"

const (
	// maxFlowPause is the longest pause within a steady flow.
	maxFlowPause = 100 * time.Millisecond
	// minFlow is the shortest flow whose rate is known.
	minFlow = 100 * time.Millisecond
	// burst is how long what comes counts as sent together with the first piece, which says nothing of the rate.
	burst = 20 * time.Millisecond
	// maxLump is how long after its first piece the last piece of a lump comes.
	maxLump = 50 * time.Millisecond
)

// flow measures the rate at which a body comes without a pause, and the lumps in which it comes.
type flow struct {
	from   time.Time // when the first piece after the latest pause came
	bytes  int64     // what has come since, without the burst
	lastAt time.Time

	lumpAt  time.Time // when the first piece of the latest lump came
	lump    int64     // its size so far, in bytes
	largest int64     // size of the largest lump so far
}

// receive records that n bytes have come.
func (f *flow) receive(now time.Time, n int64) {
	if f.lumpAt.IsZero() || now.Sub(f.lumpAt) > maxLump {
		f.lumpAt, f.lump = now, 0
	}
	f.lump += n
	f.largest = max(f.largest, f.lump)
	switch {
	case f.lastAt.IsZero() || now.Sub(f.lastAt) > maxFlowPause:
		f.from, f.bytes = now, 0
	case now.Sub(f.from) > burst:
		f.bytes += n
	}
	f.lastAt = now
}

// moves reports whether the flow has not paused.
func (f *flow) moves(now time.Time) bool {
	return !f.lastAt.IsZero() && now.Sub(f.lastAt) <= maxFlowPause
}

// rate is the rate of the flow in bytes per second; 0 if it has paused, or is too young.
func (f *flow) rate(now time.Time) float64 {
	took := now.Sub(f.from)
	if !f.moves(now) || took < minFlow {
		return 0
	}
	return float64(f.bytes) / took.Seconds()
}
