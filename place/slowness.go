package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// slownessHalfLife is the time in which the weight of a reported slowness halves.
	slownessHalfLife = 300 * time.Millisecond
	// slownessWeight is the weight of the newest report in the mean.
	slownessWeight = 0.05
	// maxSlowness bounds the slowness that an engine can report.
	maxSlowness = 20.0
)

// slowness is how many times longer than usual work takes on an engine's machine, as the engine reports.
// Shared machines turn slow for fractions of a second.
type slowness struct {
	reported float64
	at       time.Time
	// mean is the estimate without a recent report.
	mean float64
}

// observe applies a slowness reported at a time, and reports false if it is invalid or not newer than the
// last.
func (s *slowness) observe(reported float64, at time.Time) (isNew bool) {
	if reported <= 0 || !at.After(s.at) {
		return false
	}
	s.reported, s.at = min(reported, maxSlowness), at
	if s.mean == 0 {
		s.mean = 1
	}
	s.mean += slownessWeight * (s.reported - s.mean)
	return true
}

// usual is the mean slowness, 1 for an engine that has never reported any.
func (s *slowness) usual() float64 {
	if s.mean == 0 {
		return 1
	}
	return s.mean
}

// now estimates the slowness at a moment: the last report decays towards the mean.
func (s *slowness) now(now time.Time) float64 {
	if s.mean == 0 {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
	return s.mean + (s.reported-s.mean)*min(decay, 1)
}

// paceAt is the expected pace of the engine at a moment, its machine's slowness included.
func (n *node) paceAt(now time.Time) float64 { return n.pace * n.slowness.now(now) }

// takeSlowness removes and returns the slowness that upstreams have reported since the last load report.
func (r *reportBuilder) takeSlowness(now time.Time) []spoke.UpstreamSlowness {
	var reported []spoke.UpstreamSlowness
	for id, n := range r.slowness {
		reported = append(reported, spoke.UpstreamSlowness{Upstream: id, Slowness: n.slowness.reported, Age: now.Sub(n.slowness.at)})
	}
	clear(r.slowness)
	return reported
}
