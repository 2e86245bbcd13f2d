package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Streams gives each entity and purpose a random number stream of its own, so that two versions of a run get the
// same arrivals, work and faults: one more draw from a stream does not shift any other stream.
type Streams struct {
	seed    uint64
	streams map[[2]string]*Stream
}

// NewStreams makes the streams of a run from its seed.
func NewStreams(seed uint64) *Streams { return &Streams{seed: seed, streams: map[[2]string]*Stream{}} }

// Of returns the stream of an entity (such as "server s-1") for a purpose (such as "work"). Each call returns the
// same stream.
func (s *Streams) Of(entity, purpose string) *Stream {
	key := [2]string{entity, purpose}
	if s.streams[key] == nil {
		s.streams[key] = &Stream{rand.New(rand.NewPCG(s.seed,
			mix(xxhash.Sum64String(entity), xxhash.Sum64String(purpose))))}
	}
	return s.streams[key]
}

// At returns a new stream for the n-th item of an entity, for a purpose. It always starts anew and is not kept. It
// serves draws whose order differs from version to version, such as a client's waits.
func (s *Streams) At(entity, purpose string, n uint64) *Stream {
	return &Stream{rand.New(rand.NewPCG(s.seed^mix(n, 1),
		mix(xxhash.Sum64String(entity), xxhash.Sum64String(purpose))))}
}

// mix hashes two numbers into one; their order matters.
func mix(a, b uint64) uint64 {
	z := a*0x9e3779b97f4a7c15 + b
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Stream is one sequence of random numbers.
type Stream struct{ *rand.Rand }

// Exp draws an exponentially distributed duration with the given mean.
func (s *Stream) Exp(mean time.Duration) time.Duration {
	return time.Duration(s.ExpFloat64() * float64(mean))
}

// LogNormal draws a log-normally distributed duration with the given mean and coefficient of variation.
func (s *Stream) LogNormal(mean time.Duration, cv float64) time.Duration {
	variance := math.Log(1 + cv*cv)
	return time.Duration(float64(mean) * math.Exp(math.Sqrt(variance)*s.NormFloat64()-variance/2))
}

// Between draws a duration uniformly from low to high.
func (s *Stream) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.Float64()*float64(high-low))
}

// Chance returns true with probability p.
func (s *Stream) Chance(p float64) bool { return s.Float64() < p }
