package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Streams gives each entity and purpose random numbers of its own, so that two versions of a run meet the same arrivals,
// works and faults: a draw more in one stream shifts no other.
type Streams struct {
	seed uint64
	made map[[2]string]*Stream
}

// NewStreams makes the streams of a run.
func NewStreams(seed uint64) *Streams { return &Streams{seed: seed, made: map[[2]string]*Stream{}} }

// Of gives the stream of an entity (such as "server s-1") for a purpose (such as "work"), the same at each call.
func (s *Streams) Of(entity, purpose string) *Stream {
	key := [2]string{entity, purpose}
	if s.made[key] == nil {
		s.made[key] = &Stream{rand.New(rand.NewPCG(s.seed, mix(xxhash.Sum64String(entity), xxhash.Sum64String(purpose))))}
	}
	return s.made[key]
}

// At gives the stream of the n-th thing of an entity for a purpose, made anew at each call and not kept: for what is drawn at
// moments that differ from version to version, as a client's waits.
func (s *Streams) At(entity, purpose string, n uint64) *Stream {
	return &Stream{rand.New(rand.NewPCG(s.seed^mix(n, 1), mix(xxhash.Sum64String(entity), xxhash.Sum64String(purpose))))}
}

// mix makes one number of two, in which their order counts.
func mix(a, b uint64) uint64 {
	z := a*0x9e3779b97f4a7c15 + b
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Stream is one sequence of random numbers.
type Stream struct{ *rand.Rand }

// Exp draws an exponential duration of a mean.
func (s *Stream) Exp(mean time.Duration) time.Duration {
	return time.Duration(s.ExpFloat64() * float64(mean))
}

// LogNormal draws a duration of a mean and a coefficient of variation.
func (s *Stream) LogNormal(mean time.Duration, cv float64) time.Duration {
	variance := math.Log(1 + cv*cv)
	return time.Duration(float64(mean) * math.Exp(math.Sqrt(variance)*s.NormFloat64()-variance/2))
}

// Between draws evenly from low to high.
func (s *Stream) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.Float64()*float64(high-low))
}

// Chance is true with a probability.
func (s *Stream) Chance(p float64) bool { return s.Float64() < p }
