package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// delayFade is the time in which half of a learned delay is out of date, since queues at a link
	// come and go.
	delayFade = 500 * time.Millisecond
	// delayWeight is the part of the newest copy in a delay.
	delayWeight = 0.5
	// longestDelay bounds what one copy can teach.
	longestDelay = 4 * time.Second
	// leastDelay is below what first events differ by anyway.
	leastDelay = time.Millisecond
)

type (
	// copyDelays are how much later than predicted copies from an address came lately, as when the
	// link of a store has a queue that nobody reports.
	copyDelays map[spoke.Address]copyDelay

	copyDelay struct {
		late time.Duration
		at   time.Time
	}
)

// of returns the delay that a copy from an address is likely to meet.
func (d copyDelays) of(now time.Time, from spoke.Address) time.Duration {
	known, ok := d[from]
	if !ok {
		return 0
	}
	fade := math.Exp2(-float64(now.Sub(known.at)) / float64(delayFade))
	return time.Duration(fade * float64(known.late))
}

// observe takes how much later than predicted a copy came.
func (d copyDelays) observe(now time.Time, from spoke.Address, late time.Duration) {
	late = min(max(late, 0), longestDelay)
	known := d.of(now, from)
	known += time.Duration(delayWeight * float64(late-known))
	if known < leastDelay {
		delete(d, from)
		return
	}
	d[from] = copyDelay{late: known, at: now}
}
