package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// victims returns up to n entries to preempt for the most urgent class: of the least urgent
// rank first, the one granted last first, and never so many that a rank runs less than its
// floor. Floor grants are never preempted.
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
		left := float64(c.runningCost - q.preemptedCost(c))
		for j := len(q.running) - 1; j >= 0 && len(chosen) < n; j-- {
			e := q.running[j]
			if e.class != c || !e.item.Preemptible || e.preempted || e.byFloor {
				continue
			}
			left -= float64(e.item.Cost)
			if left < float64(c.rank.Floor)*float64(total) {
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

// preemptible returns the number of places that preemption can soon free for the class.
func (q *queue) preemptible(now time.Time, c *class) int {
	if q.classes[0] != c || !q.preempt.available(now) {
		return 0
	}
	return len(q.victims(int(q.preempt.level)))
}

// preemptions chooses the running entries to cancel for urgent work that waits.
func (q *queue) preemptions(now time.Time) []*entry {
	lacking := q.classes[0].waiting + q.excess()
	for _, e := range q.running {
		if e.preempted {
			lacking--
		}
	}
	if q.classes[0].waiting == 0 || lacking <= 0 || !q.preempt.available(now) {
		return nil
	}
	chosen := q.victims(min(lacking, int(q.preempt.level)))
	for _, e := range chosen {
		q.preempt.take(now)
		e.preempted = true
	}
	return chosen
}
