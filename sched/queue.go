package sched

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// queue is the waiting and running work of one upstream.
type queue struct {
	upstream spoke.UpstreamID
	owned    bool
	draining bool
	report   spoke.LoadReport
	limit    *Limit
	// classes are sorted by urgency.
	classes []*class
	// running holds the granted entries in the order of their grants.
	running []*entry
	waiting int
	solo    bool
	// meanCost and meanDuration describe finished items; the duration is in seconds.
	meanCost, meanDuration float64
	preempt                bucket
	lastCheck              time.Time
}

func newQueue(upstream spoke.UpstreamID, s settings) *queue {
	return &queue{
		upstream: upstream,
		limit:    NewLimit(s.initialLimit, s.minLimit, s.maxLimit),
		preempt:  newBucket(s.preemptRate, s.preemptBurst),
	}
}

func (q *queue) hasPlace() bool { return len(q.running) < q.limit.Value() }

// excess is the number of items that run above a limit that has sunk.
func (q *queue) excess() int { return max(len(q.running)-q.limit.Value(), 0) }

func (q *queue) class(rank spoke.Rank) *class {
	for _, c := range q.classes {
		if c.rank.Name == rank.Name {
			return c
		}
	}
	c := newClass(rank)
	q.classes = append(q.classes, c)
	q.sortClasses()
	return c
}

func (q *queue) sortClasses() {
	slices.SortStableFunc(q.classes, func(a, b *class) int {
		switch {
		case a.rank.Order < b.rank.Order:
			return -1
		case a.rank.Order > b.rank.Order:
			return 1
		}
		return 0
	})
}

// next chooses the class and flow of the next grant: a class whose floor owes it
// its head item comes first, then the most urgent one.
func (q *queue) next() (*class, *flow) {
	var chosen *class
	var head *flow
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		f := c.head(!q.solo)
		if f == nil {
			continue
		}
		if c.rank.Floor > 0 && c.credit >= float64(f.waiting[0].item.Cost) {
			return c, f
		}
		if chosen == nil {
			chosen, head = c, f
		}
	}
	return chosen, head
}

// grant starts the head of a flow and shares its cost out to the floors.
func (q *queue) grant(now time.Time, c *class, f *flow) *entry {
	e := f.waiting[0]
	cost := float64(e.item.Cost)
	for _, other := range q.classes {
		other.earn(cost)
	}
	c.credit = max(c.credit-cost, 0)
	c.take(f)
	q.waiting--
	c.granted.add(now, cost)
	c.running++
	c.runningCost += e.item.Cost
	e.running, e.granted, e.concurrency = true, now, len(q.running)+1
	q.running = append(q.running, e)
	q.solo = q.solo || e.item.Solo
	return e
}

// release frees the place of a running entry.
func (q *queue) release(e *entry) {
	i := slices.Index(q.running, e)
	q.running = slices.Delete(q.running, i, i+1)
	e.class.running--
	e.class.runningCost -= e.item.Cost
	if e.item.Solo {
		q.solo = false
	}
}

// waitingEntries returns the waiting entries, the most urgent first.
func (q *queue) waitingEntries() []*entry {
	entries := make([]*entry, 0, q.waiting)
	for _, c := range q.classes {
		for _, f := range c.active {
			entries = append(entries, f.waiting...)
		}
	}
	return entries
}

func (q *queue) drop(e *entry) {
	e.class.remove(e)
	q.waiting--
}
