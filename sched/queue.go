package sched

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// A workspace counts in the shares of a rank for this time after its last request.
	activeWindow = 30 * time.Second
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
	// small counts the submissions of workspaces below their share, decayed.
	small decayed
	// meanCost, meanDuration and meanPlaces are means over finished items; the duration is in seconds.
	meanCost, meanDuration float64
	meanPlaces             float64
	finished               int
	preempt                bucket
	pace                   pace
	drain                  drain
	lastCheck              time.Time
	lastForget             time.Time
}

func newQueue(upstream spoke.UpstreamID, s settings) *queue {
	return &queue{
		upstream: upstream,
		limit:    NewLimit(s.initialLimit, s.minLimit, s.maxLimit),
		preempt:  newBucket(s.preemptRate, s.preemptBurst),
		pace:     pace{delivered: decayed{window: paceWindow}},
		small:    decayed{window: smallWindow},
	}
}

func (q *queue) hasPlace() bool { return len(q.running) < q.limit.Value() }

// mayRun reports whether the head of a flow may run beside what runs: suspects run one at a time.
func (q *queue) mayRun(f *flow) bool { return !f.key.solo || !q.solo }

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
// its head item comes first, then the most urgent one. It reports whether the floor decided.
func (q *queue) next(now time.Time) (*class, *flow, bool) {
	held := q.heldFrom(now)
	var chosen *class
	var head *flow
	for i, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		mayStart := q.mayRun
		if q.isMostUrgent(c) {
			mayStart = q.mayUse(now, c)
		}
		f := c.head(mayStart)
		if f != nil && c.rank.Floor > 0 && c.credit >= float64(f.waiting[0].item.Cost) && !q.isPaced(now, c) {
			return c, f, !q.isMostUrgent(c)
		}
		if chosen != nil || i >= held || q.isPaced(now, c) {
			continue
		}
		if f = c.head(q.mayUse(now, c)); f != nil {
			chosen, head = c, f
		}
	}
	return chosen, head, false
}

// heldFrom returns the index of the first class that gets its floor only, because the more
// urgent ones ask for all the rest. Their queues are often empty for a moment, since work
// that would wait too long is refused; a place that goes to long work in such a moment has
// to be taken back by preemption.
func (q *queue) heldFrom(now time.Time) int {
	rate := q.drainRate()
	if rate == 0 || len(q.running) < q.limit.Value()/2 {
		return len(q.classes)
	}
	left := 1.0
	for _, c := range q.classes[1:] {
		if len(c.flows) > 0 {
			left -= float64(c.rank.Floor)
		}
	}
	for i, c := range q.classes {
		left -= c.offered.rate(now) / rate
		if left <= 0 {
			return i + 1
		}
		if i+1 < len(q.classes) && len(q.classes[i+1].flows) > 0 {
			left += float64(q.classes[i+1].rank.Floor)
		}
	}
	return len(q.classes)
}

// grant starts the head of a flow and shares its cost out to the floors.
func (q *queue) grant(now time.Time, c *class, f *flow) *entry {
	e := f.waiting[0]
	cost := float64(e.item.Cost)
	for _, other := range q.classes {
		other.earn(cost)
	}
	e.paid = min(max(c.credit, 0), cost)
	c.credit -= e.paid
	c.take(f)
	q.waiting--
	c.granted.add(now, cost)
	c.running++
	f.running++
	c.runningCost += e.item.Cost
	for _, other := range q.running {
		if !other.delivered {
			e.others++
		}
	}
	e.running, e.started, e.concurrency = true, now, len(q.running)+1
	q.running = append(q.running, e)
	q.solo = q.solo || e.item.Solo
	return e
}

// release frees the place of a running entry.
func (q *queue) release(now time.Time, e *entry) {
	i := slices.Index(q.running, e)
	q.running = slices.Delete(q.running, i, i+1)
	e.class.running--
	e.flow.running--
	e.class.runningCost -= e.item.Cost
	if e.preempted {
		q.takeBack(now, e)
	}
	if e.item.Solo {
		q.solo = false
	}
}

// takeBack undoes the floor credit of the part of a preempted entry that did not run.
func (q *queue) takeBack(now time.Time, e *entry) {
	unused := 1.0
	if q.meanDuration > 0 {
		rate := q.meanCost / q.meanDuration
		unused -= min(rate*now.Sub(e.started).Seconds()/float64(e.item.Cost), 1)
	}
	for _, c := range q.classes {
		c.credit -= unused * float64(e.item.Cost) * float64(c.rank.Floor)
	}
	e.class.credit += unused * e.paid
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
