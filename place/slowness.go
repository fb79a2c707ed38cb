package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// slownessFade is the time in which half of what an engine said of its machine is out of date.
	slownessFade = 300 * time.Millisecond
	// slownessWeight is the part of the newest word in the mean.
	slownessWeight = 0.05
	// mostSlowness bounds what an engine can say.
	mostSlowness = 20.0
)

// slowness is how many times longer than usual work takes on an engine's machine, as it says itself.
// Machines that are shared turn slow for parts of a second.
type slowness struct {
	said float64
	at   time.Time
	// mean is what counts without a fresh word.
	mean float64
}

// hear takes a word that was said at a time; older ones than the last are no news.
func (s *slowness) hear(said float64, at time.Time) (isNew bool) {
	if said <= 0 || !at.After(s.at) {
		return false
	}
	s.said, s.at = min(said, mostSlowness), at
	if s.mean == 0 {
		s.mean = 1
	}
	s.mean += slownessWeight * (s.said - s.mean)
	return true
}

// usual is the slowness without a fresh word, 1 for an engine that never said anything.
func (s *slowness) usual() float64 {
	if s.mean == 0 {
		return 1
	}
	return s.mean
}

// now returns the likely slowness.
func (s *slowness) now(now time.Time) float64 {
	if s.mean == 0 {
		return 1
	}
	fade := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessFade))
	return s.mean + (s.said-s.mean)*min(fade, 1)
}

// paceAt is how many times slower than usual the engine is likely to read at a moment.
func (n *node) paceAt(now time.Time) float64 { return n.pace * n.slowness.now(now) }

// saidSlowness removes and returns what upstreams have said since the last account.
func (r *report) saidSlowness(now time.Time) []spoke.UpstreamSlowness {
	var said []spoke.UpstreamSlowness
	for id, n := range r.slowness {
		said = append(said, spoke.UpstreamSlowness{Upstream: id, Slowness: n.slowness.said, Age: now.Sub(n.slowness.at)})
	}
	clear(r.slowness)
	return said
}
