package sched

import (
	"math"
	"time"
)

const (
	// One place in sixteen is the least that keeps a place free at common limits; below
	// eight places a reserved one would cost too much of the capacity.
	reservePart = 16
	reserveFrom = 8
	// More than a quarter of the places is too high a price for short waits.
	maxReservePart = 4
	// A small workspace should find no reserved place free this rarely. With 0.03 three small
	// batch workspaces beside a big one had a p95 of 2.1 times that alone, with 0.015 1.5.
	reserveMiss = 0.015
	// Small workspaces send few requests, so their rate needs a long time to show.
	smallWindow = 30 * time.Second
)

// reserve is the number of places kept free for workspaces below their share of the most
// urgent rank in use; without it they would wait for a place behind every flood.
func (q *queue) reserve() int {
	limit := q.limit.Value()
	if limit < reserveFrom {
		return 0
	}
	return max(limit/reservePart, 1)
}

// reserveWithin is the number of places that other workspaces of the same rank leave free. If
// small workspaces take places at a rate of r times that at which places become free, all n
// reserved places are taken with a probability of about r to the power of n+1.
func (q *queue) reserveWithin(now time.Time) int {
	least, limit := q.reserve(), q.limit.Value()
	if least == 0 || q.meanDuration == 0 {
		return least
	}
	most := max(limit/maxReservePart, least)
	r := q.small.rate(now) * q.meanDuration / float64(limit)
	if r >= 1 {
		return most
	}
	if r <= 0 {
		return least
	}
	return min(max(int(math.Ceil(math.Log(reserveMiss)/math.Log(r)))-1, least), most)
}

// isBelowShare reports whether a workspace runs less than its share of a class.
func (q *queue) isBelowShare(c *class, f *flow) bool {
	return float64(f.running) < float64(q.limit.Value())*f.weight/c.weight
}

// isBelowUse reports whether a workspace runs at most its share of what the class runs. Where
// prefill is scarce, places are not, and a share of all of them would hold nothing back.
func (c *class) isBelowUse(f *flow) bool {
	return float64(f.running) < float64(c.running)*f.weight/c.weight+1
}

// isMostUrgent reports whether no class before this one was in use lately.
func (q *queue) isMostUrgent(c *class) bool {
	for _, other := range q.classes {
		if len(other.flows) > 0 {
			return other == c
		}
	}
	return false
}

// countSmall notes a submission that may use a reserved place.
func (q *queue) countSmall(now time.Time, c *class, f *flow) {
	if c.weight > f.weight && q.isMostUrgent(c) && q.isBelowShare(c, f) {
		q.small.add(now, 1)
	}
}

// mayUse returns which flows of a class may use the next place: all, only those below
// their share, or none.
func (q *queue) mayUse(now time.Time, c *class) func(*flow) bool {
	free := q.limit.Value() - len(q.running)
	isUrgent, isBusy := q.isMostUrgent(c), q.isBusy(now, c)
	return func(f *flow) bool {
		switch {
		case !q.mayRun(f):
			return false
		case isBusy:
			return isUrgent && c.isBelowUse(f)
		case isUrgent:
			return free > q.reserveWithin(now) || q.isBelowShare(c, f)
		default:
			return free > q.reserve()
		}
	}
}

// isFull reports whether the limit holds work back, rather than the pace of first tokens.
func (q *queue) isFull() bool {
	if q.pace.isKnown {
		return len(q.running) >= q.limit.Value()-q.reserve()
	}
	return q.isLimited()
}

// isLimited reports whether work is held back.
func (q *queue) isLimited() bool {
	return q.waiting > 0 || len(q.running) >= q.limit.Value()-q.reserve()
}
