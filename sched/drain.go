package sched

import (
	"math"
	"time"
)

const (
	// Served work is averaged over this time of waiting work.
	drainWindow = 5 * time.Second
	// Below this time of waiting work a rate says little.
	minDrain = time.Second
)

// drain measures the cost per second that an upstream serves while work waits for it. The rate
// is that of whatever holds work back: places, prefill, or another owner of the same upstream.
type drain struct {
	served, busy float64
	at           time.Time
	isWaiting    bool
}

// wait takes the time since the last call as busy if work waited then, and notes whether it waits now.
func (d *drain) wait(now time.Time, isWaiting bool) {
	if d.isWaiting && now.After(d.at) {
		elapsed := now.Sub(d.at).Seconds()
		left := math.Exp(-elapsed / drainWindow.Seconds())
		d.served *= left
		d.busy = d.busy*left + drainWindow.Seconds()*(1-left)
	}
	d.at, d.isWaiting = now, isWaiting
}

// serve adds the cost of an item whose first token came.
func (d *drain) serve(now time.Time, cost float64) {
	d.wait(now, d.isWaiting)
	if d.isWaiting {
		d.served += cost
	}
}

// rate moves from an estimate to what was measured, as far as work has waited for long enough.
func (d *drain) rate(estimate float64) float64 {
	if d.busy == 0 || d.served == 0 {
		return estimate
	}
	known := min(d.busy/minDrain.Seconds(), 1)
	return known*d.served/d.busy + (1-known)*estimate
}
