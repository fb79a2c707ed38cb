package sched

import (
	"math"
	"time"
)

const (
	// Time constant of the average; only backlogged time counts.
	serviceWindow = 5 * time.Second
	// Backlogged time from which the measured rate fully replaces the estimate; over a shorter time
	// it is not reliable.
	minBusyTime = time.Second
)

// serviceMeter measures the cost per second that an upstream serves while work waits for it. The
// rate reflects whatever the bottleneck is: slots, prefill, or another owner of the same upstream.
type serviceMeter struct {
	// served is the decayed cost served, busy the decayed backlogged time in seconds.
	served, busy float64
	updatedAt    time.Time
	backlogged   bool
}

// update counts the time since the last call as busy if work waited then, and records whether work
// waits now.
func (m *serviceMeter) update(now time.Time, isWaiting bool) {
	if m.backlogged && now.After(m.updatedAt) {
		elapsed := now.Sub(m.updatedAt).Seconds()
		decay := math.Exp(-elapsed / serviceWindow.Seconds())
		m.served *= decay
		m.busy = m.busy*decay + serviceWindow.Seconds()*(1-decay)
	}
	m.updatedAt, m.backlogged = now, isWaiting
}

// add counts the cost of an item at its first token, if work waits.
func (m *serviceMeter) add(now time.Time, cost float64) {
	m.update(now, m.backlogged)
	if m.backlogged {
		m.served += cost
	}
}

// rate blends an estimate with the measured rate; the weight of the latter grows with the
// backlogged time up to minBusyTime.
func (m *serviceMeter) rate(estimate float64) float64 {
	if m.busy == 0 || m.served == 0 {
		return estimate
	}
	confidence := min(m.busy/minBusyTime.Seconds(), 1)
	return confidence*m.served/m.busy + (1-confidence)*estimate
}
