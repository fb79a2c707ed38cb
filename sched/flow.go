package sched

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// entry is an item with its place in the admission.
	entry struct {
		item    spoke.WorkItem
		queue   *queue
		class   *class
		flow    *flow
		running bool
		// preempted says that the holder was asked to cancel the item.
		preempted   bool
		granted     time.Time
		concurrency int
	}

	// flowKey separates suspects from other work so that they don't block it.
	flowKey struct {
		workspace spoke.WorkspaceID
		solo      bool
	}

	// flow is the waiting work of one workspace in a class, under start-time fair queueing.
	flow struct {
		key     flowKey
		weight  float64
		waiting []*entry
		backlog spoke.TokenCount
		// start is the start tag of the head item in virtual time.
		start float64
	}

	// class is the work of one rank at one upstream.
	class struct {
		rank    spoke.Rank
		flows   map[flowKey]*flow
		active  []*flow
		virtual float64
		waiting int
		backlog spoke.TokenCount
		running int
		// runningCost is the predicted cost of the running items.
		runningCost spoke.TokenCount
		// credit is the cost that the floor owes to the rank.
		credit float64
		// meanCost is the mean predicted cost of submitted items.
		meanCost float64
		// granted is the decayed cost granted to the rank.
		granted decayed
		// firstToken is the mean time from grant to first token, in seconds.
		firstToken float64
	}
)

func newClass(rank spoke.Rank) *class {
	return &class{rank: rank, flows: make(map[flowKey]*flow)}
}

func (c *class) flow(key flowKey, weight float64) *flow {
	f := c.flows[key]
	if f == nil {
		f = &flow{key: key, weight: weight, start: c.virtual}
		c.flows[key] = f
	}
	return f
}

// push queues an entry; the rest of a run goes before the first tokens of others.
func (c *class) push(e *entry, f *flow) {
	if len(f.waiting) == 0 {
		f.start = max(f.start, c.virtual)
		c.active = append(c.active, f)
	}
	e.class, e.flow = c, f
	if e.item.Resumed {
		f.waiting = slices.Insert(f.waiting, 0, e)
	} else {
		f.waiting = append(f.waiting, e)
	}
	f.backlog += e.item.Cost
	c.backlog += e.item.Cost
	c.waiting++
	c.meanCost = blend(c.meanCost, float64(e.item.Cost), rateGain)
}

// earn adds floor credit. Credit is kept while nothing waits, so that a rank whose items
// are refused for their predicted wait still gets its share; the bound keeps a rank
// that comes back from holding up urgent work with more than a few items.
func (c *class) earn(cost float64) {
	const idleItems = 2
	bound := max(idleItems*c.meanCost, float64(c.backlog))
	c.credit = min(c.credit+cost*float64(c.rank.Floor), bound)
}

// head returns the flow with the lowest start tag, nil if none may start.
func (c *class) head(soloFree bool) *flow {
	var best *flow
	for _, f := range c.active {
		if f.key.solo && !soloFree {
			continue
		}
		if best == nil || f.start < best.start {
			best = f
		}
	}
	return best
}

// take removes the head of a flow for a grant and moves virtual time on.
func (c *class) take(f *flow) *entry {
	e := f.waiting[0]
	c.virtual = max(c.virtual, f.start)
	c.remove(e)
	f.start += float64(e.item.Cost) / f.weight
	return e
}

// remove takes a waiting entry out without service.
func (c *class) remove(e *entry) {
	f := e.flow
	i := slices.Index(f.waiting, e)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.backlog -= e.item.Cost
	c.backlog -= e.item.Cost
	c.waiting--
	if len(f.waiting) == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *flow) bool { return other == f })
	}
	if c.waiting == 0 {
		c.forgetIdle()
	}
}

// charge moves the start tag of an entry's flow by a cost, which may be negative.
func (c *class) charge(e *entry, cost spoke.TokenCount) {
	f := c.flow(e.flow.key, e.flow.weight)
	f.start += float64(cost) / f.weight
}

// forgetIdle drops flows that owe nothing in virtual time.
func (c *class) forgetIdle() {
	for key, f := range c.flows {
		if len(f.waiting) == 0 && f.start <= c.virtual {
			delete(c.flows, key)
		}
	}
}
