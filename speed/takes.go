package speed

import (
	"math"
	"time"
)

const (
	// takesInterval is the time between two changes of the number of calls that an upstream takes well; the calls that
	// it had before end meanwhile.
	takesInterval = 400 * time.Millisecond
	// shrinkFactor is applied to the load at which an upstream was slow.
	shrinkFactor = 0.7
	// growFactor is applied up to a share of the load at which the upstream was slow, beyond which growShare of the slots
	// is added, since the load at which it slows down is near.
	growFactor = 1.3
	nearShare  = 0.9
	growShare  = 0.02
	// leastShare is the least share of the slots, so that a recovery is seen.
	leastShare = 1.0 / 16
)

// takes is the number of calls that an upstream takes well.
type takes struct {
	slots, calls float64
	// slowAt is the load at which it was last slow.
	slowAt    float64
	changedAt time.Time
}

func newTakes(slots int) takes {
	count := float64(max(slots, 1))
	return takes{slots: count, calls: math.Inf(1), slowAt: count}
}

func (t *takes) isAll() bool { return t.calls >= t.slots }

func (t *takes) update(now time.Time, isSlow bool, recent summary) {
	if !isSlow {
		t.grow(now)
		return
	}
	if now.Sub(t.changedAt) < takesInterval {
		return
	}
	least := max(leastShare*t.slots, 1)
	switch {
	case recent.weight < 1:
	case recent.load <= least:
		// The upstream is slow without load, so that its load tells nothing of what it takes once it has recovered.
		t.slowAt = t.slots
	default:
		t.slowAt = min(recent.load, t.slots)
	}
	t.calls = max(shrinkFactor*min(t.calls, t.slowAt, max(recent.load, least)), least)
	t.changedAt = now
}

func (t *takes) grow(now time.Time) {
	if t.isAll() || now.Sub(t.changedAt) < takesInterval {
		return
	}
	if t.calls < nearShare*t.slowAt {
		t.calls = min(growFactor*t.calls+0.5, max(nearShare*t.slowAt, t.calls+growShare*t.slots))
	} else {
		t.calls += growShare * t.slots
	}
	t.changedAt = now
}
