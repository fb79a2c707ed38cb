package speed

import (
	"math"
	"time"
)

const (
	// reportedHalfLife is the time in which the weight of a reported slowness halves.
	reportedHalfLife = 300 * time.Millisecond
	// reportedWeight is the weight of the newest report in the mean.
	reportedWeight = 0.05
	// maxReported bounds the slowness that an engine can report.
	maxReported = 20.0
)

// Reported is how many times longer than usual work takes on an engine's machine, as the engine reports. Shared
// machines turn slow for fractions of a second. The zero value is an engine that has not reported any.
type Reported struct {
	last float64
	at   time.Time
	// mean is the estimate without a recent report.
	mean float64
}

// Observe applies a slowness reported at a time, and returns false if it is invalid or not newer than the last.
func (r *Reported) Observe(slowness float64, at time.Time) (isNew bool) {
	if slowness <= 0 || !at.After(r.at) {
		return false
	}
	r.last, r.at = min(slowness, maxReported), at
	if r.mean == 0 {
		r.mean = 1
	}
	r.mean += reportedWeight * (r.last - r.mean)
	return true
}

// Last returns the last reported slowness and its time.
func (r *Reported) Last() (slowness float64, at time.Time) { return r.last, r.at }

// Usual is the mean slowness, 1 for an engine that has never reported any.
func (r *Reported) Usual() float64 {
	if r.mean == 0 {
		return 1
	}
	return r.mean
}

// At estimates the slowness at a moment: the last report decays towards the mean.
func (r *Reported) At(now time.Time) float64 {
	if r.mean == 0 {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(r.at)) / float64(reportedHalfLife))
	return r.mean + (r.last-r.mean)*min(decay, 1)
}
