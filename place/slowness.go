package place

import (
	"math"
	"time"
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

// now returns the likely slowness, 1 for an engine that never said anything.
func (s *slowness) now(now time.Time) float64 {
	if s.mean == 0 {
		return 1
	}
	fade := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessFade))
	return s.mean + (s.said-s.mean)*min(fade, 1)
}
