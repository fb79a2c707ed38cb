package edge

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// minSuspension is the shortest suspension that is told from the inaccuracy of reading two clocks.
	minSuspension = 50 * time.Millisecond
	// maxReadingTime is the longest time in which two clocks are read together.
	maxReadingTime = 10 * time.Millisecond
)

// suspensionMeter measures how long the machine was suspended, which the steady clock leaves out; it is not safe for
// concurrent use.
type suspensionMeter struct {
	steady, boot spoke.Timer
	// steadyAt and bootAt are the readings after the last suspension.
	steadyAt, bootAt time.Time
}

func newSuspensionMeter(steady, boot spoke.Timer) *suspensionMeter {
	return &suspensionMeter{steady: steady, boot: boot, steadyAt: steady.Now(), bootAt: boot.Now()}
}

// measure returns the time for which the machine was suspended since the last suspension that was returned, zero if it
// was not.
func (m *suspensionMeter) measure() time.Duration {
	before := m.steady.Now()
	boot := m.boot.Now()
	if m.steady.Now().Sub(before) > maxReadingTime {
		// The process stood still between the readings.
		return 0
	}
	suspended := boot.Sub(m.bootAt) - before.Sub(m.steadyAt)
	if suspended < minSuspension {
		return 0
	}
	m.steadyAt, m.bootAt = before, boot
	return suspended
}
