package sched

import (
	"math"
	"time"
)

const (
	// At least one slot in sixteen is reserved, the smallest part that keeps a slot free at common
	// limits. Below a limit of eight, a reserved slot would cost too much of the capacity.
	reserveDivisor     = 16
	minLimitForReserve = 8
	// At most a quarter of the slots is reserved; more costs too much capacity for short waits.
	maxReserveDivisor = 4
	// Target probability that a workspace below its share finds no reserved slot free. With 0.03,
	// the p95 of three small batch workspaces next to a big one was 2.1 times their p95 alone, with
	// 0.015 it was 1.5 times.
	reserveMissProbability = 0.015
	// Workspaces below their share send few requests, so their rate is measured over a long time.
	belowShareWindow = 30 * time.Second
)

// reservedSlots returns the number of slots kept free for workspaces below their share of the most
// urgent rank in use. Without them, these workspaces would wait for a slot in every flood.
func (q *queue) reservedSlots() int {
	limit := q.limit.Value()
	if limit < minLimitForReserve {
		return 0
	}
	return max(limit/reserveDivisor, 1)
}

// reservedWithinRank returns the number of slots that other workspaces of the same rank leave free.
// If workspaces below their share take slots at r times the rate at which slots become free, the
// probability that all n reserved slots are taken is about r to the power of n+1.
func (q *queue) reservedWithinRank(now time.Time) int {
	least, limit := q.reservedSlots(), q.limit.Value()
	if least == 0 || q.meanDuration == 0 {
		return least
	}
	most := max(limit/maxReserveDivisor, least)
	r := q.belowShare.rate(now) * q.meanDuration / float64(limit)
	if r >= 1 {
		return most
	}
	if r <= 0 {
		return least
	}
	return min(max(int(math.Ceil(math.Log(reserveMissProbability)/math.Log(r)))-1, least), most)
}

// isBelowShare reports whether a workspace runs less than its share of all slots, by its weight
// among the workspaces of the class.
func (q *queue) isBelowShare(c *class, f *flow) bool {
	return float64(f.running) < float64(q.limit.Value())*f.weight/c.totalWeight
}

// isBelowRunningShare reports whether a workspace runs at most its share of the running items of
// the class. If prefill is the bottleneck, slots are plentiful and a share of all slots would not
// hold any workspace back.
func (c *class) isBelowRunningShare(f *flow) bool {
	return float64(f.running) < float64(c.running)*f.weight/c.totalWeight+1
}

// isMostUrgent reports whether the class is the most urgent one with recent work.
func (q *queue) isMostUrgent(c *class) bool {
	for _, other := range q.classes {
		if len(other.flows) > 0 {
			return other == c
		}
	}
	return false
}

// countBelowShare counts a submission that may use a reserved slot.
func (q *queue) countBelowShare(now time.Time, c *class, f *flow) {
	if c.totalWeight > f.weight && q.isMostUrgent(c) && q.isBelowShare(c, f) {
		q.belowShare.add(now, 1)
	}
}

// eligibleFlows returns a predicate for the flows of a class that may use the next slot:
// depending on the load all flows, those below their share, or none.
func (q *queue) eligibleFlows(now time.Time, c *class) func(*flow) bool {
	free := q.limit.Value() - len(q.running)
	isUrgent, isBusy := q.isMostUrgent(c), q.isPrefillBusy(now, c)
	return func(f *flow) bool {
		switch {
		case !q.soloPermits(f):
			return false
		case isBusy:
			return isUrgent && c.isBelowRunningShare(f)
		case isUrgent:
			return free > q.reservedWithinRank(now) || q.isBelowShare(c, f)
		default:
			return free > q.reservedSlots()
		}
	}
}

// isAtLimit reports whether the concurrency limit holds work back, rather than the prefill window.
func (q *queue) isAtLimit() bool {
	if q.prefill.measured {
		return len(q.running) >= q.limit.Value()-q.reservedSlots()
	}
	return q.isSaturated()
}

// isSaturated reports whether work waits or no unreserved slot is free.
func (q *queue) isSaturated() bool {
	return q.waiting > 0 || len(q.running) >= q.limit.Value()-q.reservedSlots()
}
