package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// victims returns up to n entries to preempt for the most urgent class. It starts with the least
// urgent rank, and within a rank with the latest grant. No rank is reduced below its floor, and
// floor grants are never preempted.
func (q *queue) victims(n int) []*entry {
	var total spoke.TokenCount
	for _, c := range q.classes {
		total += c.runningCost
	}
	var chosen []*entry
	for i := len(q.classes) - 1; i > 0 && len(chosen) < n; i-- {
		c := q.classes[i]
		if c.rank.Order <= q.classes[0].rank.Order || c.running == 0 {
			continue
		}
		remaining := float64(c.runningCost - q.preemptedCost(c))
		for j := len(q.running) - 1; j >= 0 && len(chosen) < n; j-- {
			e := q.running[j]
			if e.class != c || !e.item.Preemptible || e.preempted || e.byFloor {
				continue
			}
			remaining -= float64(e.item.Cost)
			if remaining < float64(c.rank.Floor)*float64(total) {
				break
			}
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func (q *queue) preemptedCost(c *class) spoke.TokenCount {
	var cost spoke.TokenCount
	for _, e := range q.running {
		if e.class == c && e.preempted {
			cost += e.item.Cost
		}
	}
	return cost
}

// preemptibleSlots returns the number of slots that preemption may free for the class now.
func (q *queue) preemptibleSlots(now time.Time, c *class) int {
	if q.classes[0] != c || !q.preemptLimiter.available(now) {
		return 0
	}
	return len(q.victims(int(q.preemptLimiter.level)))
}

// markPreemptions selects the running entries to cancel for waiting urgent work and marks them as
// preempted.
func (q *queue) markPreemptions(now time.Time) []*entry {
	missing := q.classes[0].waiting + q.excess()
	for _, e := range q.running {
		if e.preempted {
			missing--
		}
	}
	if q.classes[0].waiting == 0 || missing <= 0 || !q.preemptLimiter.available(now) {
		return nil
	}
	chosen := q.victims(min(missing, int(q.preemptLimiter.level)))
	for _, e := range chosen {
		q.preemptLimiter.take(now)
		e.preempted = true
	}
	return chosen
}
