package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// urgentWaiting returns the most urgent class if it waits and counts the places that it lacks.
func (q *queue) urgentWaiting() (*class, int) {
	if len(q.classes) == 0 || q.classes[0].waiting == 0 {
		return nil, 0
	}
	lacking := q.classes[0].waiting
	for _, e := range q.running {
		if e.preempted {
			lacking--
		}
	}
	return q.classes[0], lacking
}

// victim returns the entry to preempt for a class: the one granted last of the least
// urgent rank that runs more than its floor, nil if there is none.
func (q *queue) victim(urgent *class) *entry {
	var total spoke.TokenCount
	for _, c := range q.classes {
		total += c.runningCost
	}
	for i := len(q.classes) - 1; i > 0; i-- {
		c := q.classes[i]
		if c.rank.Order <= urgent.rank.Order || c.running == 0 {
			continue
		}
		if e := q.lastPreemptible(c); e != nil && q.staysAboveFloor(c, e, total) {
			return e
		}
	}
	return nil
}

func (q *queue) lastPreemptible(c *class) *entry {
	for i := len(q.running) - 1; i >= 0; i-- {
		e := q.running[i]
		if e.class == c && e.item.Preemptible && !e.preempted {
			return e
		}
	}
	return nil
}

// staysAboveFloor reports whether a class keeps its floor of the running cost without an
// entry; entries that are being preempted no longer count.
func (q *queue) staysAboveFloor(c *class, e *entry, total spoke.TokenCount) bool {
	left := c.runningCost - e.item.Cost
	for _, other := range q.running {
		if other.class == c && other.preempted {
			left -= other.item.Cost
		}
	}
	return float64(left) >= float64(c.rank.Floor)*float64(total)
}

// mayPreemptFor reports whether preemption can soon free a place for the class.
func (q *queue) mayPreemptFor(now time.Time, c *class) bool {
	return len(q.classes) > 0 && q.classes[0] == c && q.preempt.available(now) && q.victim(c) != nil
}

// preemptions chooses the running entries to cancel for urgent work that waits.
func (q *queue) preemptions(now time.Time) []*entry {
	urgent, lacking := q.urgentWaiting()
	var chosen []*entry
	for ; lacking > 0; lacking-- {
		e := q.victim(urgent)
		if e == nil || !q.preempt.take(now) {
			break
		}
		e.preempted = true
		chosen = append(chosen, e)
	}
	return chosen
}
