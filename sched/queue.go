package sched

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// A workspace counts towards the shares of a rank for this long after its last request.
	activeWindow = 30 * time.Second
)

// queue holds the waiting and running items of one upstream.
type queue struct {
	upstream spoke.UpstreamID
	owned    bool
	draining bool
	report   spoke.LoadReport
	limit    *Limit
	// classes are sorted by rank, the most urgent first.
	classes []*class
	// running holds the granted entries in the order of their grants.
	running     []*entry
	waiting     int
	soloRunning bool
	// belowShare counts the submissions of workspaces below their share.
	belowShare decayingSum
	// meanCost, meanDuration (in seconds) and meanSlots are moving averages over finished items.
	meanCost, meanDuration float64
	meanSlots              float64
	finished               int
	preemptLimiter         tokenBucket
	prefill                prefillWindow
	service                serviceMeter
	lastCheck              time.Time
	lastFlowSweep          time.Time
}

func newQueue(upstream spoke.UpstreamID, s settings) *queue {
	return &queue{
		upstream:       upstream,
		limit:          NewLimit(s.initialLimit, s.minLimit, s.maxLimit),
		preemptLimiter: newTokenBucket(s.preemptRate, s.preemptBurst),
		prefill:        prefillWindow{unloadedSum: decayingSum{window: firstTokenWindow}},
		belowShare:     decayingSum{window: belowShareWindow},
	}
}

func (q *queue) hasFreeSlot() bool { return len(q.running) < q.limit.Value() }

// soloPermits reports whether the head of a flow may start with regard to solo items, of which
// at most one runs at a time.
func (q *queue) soloPermits(f *flow) bool { return !f.key.solo || !q.soloRunning }

// excess returns the number of running items above the limit, which may have decreased since
// they were granted.
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

// next returns the class and flow of the next grant, and whether the floor decided. Classes
// whose floor credit covers their head item come first, then the most urgent class. The class
// is nil if nothing may start.
func (q *queue) next(now time.Time) (*class, *flow, bool) {
	floorOnly := q.firstFloorOnly(now)
	var chosen *class
	var head *flow
	for i, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		eligible := q.soloPermits
		if q.isMostUrgent(c) {
			eligible = q.eligibleFlows(now, c)
		}
		f := c.head(eligible)
		if f != nil && c.rank.Floor > 0 && c.credit >= float64(f.waiting[0].item.Cost) && !q.isWindowFull(now, c) {
			return c, f, !q.isMostUrgent(c)
		}
		if chosen != nil || i >= floorOnly || q.isWindowFull(now, c) {
			continue
		}
		if f = c.head(q.eligibleFlows(now, c)); f != nil {
			chosen, head = c, f
		}
	}
	return chosen, head, false
}

// firstFloorOnly returns the index of the first class that is limited to its floor, because the
// offered load of more urgent classes covers the remaining capacity. In such an overload the
// queues of the urgent classes are often empty for a moment, since items that would wait too
// long are refused. A slot granted to a long item in that moment would have to be freed by
// preemption.
func (q *queue) firstFloorOnly(now time.Time) int {
	rate := q.serviceRate()
	if rate == 0 || len(q.running) < q.limit.Value()/2 {
		return len(q.classes)
	}
	remaining := 1.0
	for _, c := range q.classes[1:] {
		if len(c.flows) > 0 {
			remaining -= float64(c.rank.Floor)
		}
	}
	for i, c := range q.classes {
		remaining -= c.offered.rate(now) / rate
		if remaining <= 0 {
			return i + 1
		}
		if i+1 < len(q.classes) && len(q.classes[i+1].flows) > 0 {
			remaining += float64(q.classes[i+1].rank.Floor)
		}
	}
	return len(q.classes)
}

// grant starts the head of a flow and credits each class with its floor's share of the cost.
func (q *queue) grant(now time.Time, c *class, f *flow) *entry {
	e := f.waiting[0]
	cost := float64(e.item.Cost)
	for _, other := range q.classes {
		other.addCredit(cost)
	}
	e.creditUsed = min(max(c.credit, 0), cost)
	c.credit -= e.creditUsed
	c.dequeue(f)
	q.waiting--
	c.granted.add(now, cost)
	c.running++
	f.running++
	c.runningCost += e.item.Cost
	for _, other := range q.running {
		if !other.delivered {
			e.undeliveredAtGrant++
		}
	}
	e.running, e.started, e.concurrency = true, now, len(q.running)+1
	q.running = append(q.running, e)
	q.soloRunning = q.soloRunning || e.item.Solo
	return e
}

// release frees the slot of a running entry.
func (q *queue) release(now time.Time, e *entry) {
	i := slices.Index(q.running, e)
	q.running = slices.Delete(q.running, i, i+1)
	e.class.running--
	e.flow.running--
	e.class.runningCost -= e.item.Cost
	if e.preempted {
		q.revertCredit(now, e)
	}
	if e.item.Solo {
		q.soloRunning = false
	}
}

// revertCredit undoes the changes to the floor credits for the part of a preempted entry that
// did not run, estimated from its running time and the mean rate of one slot.
func (q *queue) revertCredit(now time.Time, e *entry) {
	unused := 1.0
	if q.meanDuration > 0 {
		rate := q.meanCost / q.meanDuration
		unused -= min(rate*now.Sub(e.started).Seconds()/float64(e.item.Cost), 1)
	}
	for _, c := range q.classes {
		c.credit -= unused * float64(e.item.Cost) * float64(c.rank.Floor)
	}
	e.class.credit += unused * e.creditUsed
}

// waitingEntries returns the waiting entries, most urgent rank first.
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
