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
		preempted bool
		// byFloor says that the floor decided the grant.
		byFloor bool
		// paid is the floor credit that the grant took.
		paid float64
		// delivered says that the first token has come.
		delivered bool
		// others is the number of undelivered items at the grant.
		others      int
		started     time.Time
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
		running int
		// seen is the time of the last submission.
		seen time.Time
		// start is the start tag of the head item in virtual time.
		start float64
	}

	// class is the work of one rank at one upstream.
	class struct {
		rank  spoke.Rank
		flows map[flowKey]*flow
		// weight is the sum of the weights of flows.
		weight float64
		// active holds the flows that wait.
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
		// offered is the decayed cost submitted to the rank, refused work included.
		offered decayed
		// firstToken is the mean time from grant to first token, in seconds.
		firstToken float64
	}
)

func newClass(rank spoke.Rank) *class {
	return &class{
		rank: rank, flows: make(map[flowKey]*flow),
		granted: decayed{window: grantWindow}, offered: decayed{window: offerWindow},
	}
}

func (c *class) flow(key flowKey, weight float64) *flow {
	f := c.flows[key]
	if f == nil {
		f = &flow{key: key, weight: weight, start: c.virtual}
		c.flows[key] = f
		c.weight += weight
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

// earn adds the floor's part of a granted cost to the credit. Credit is kept while nothing waits, so that a rank whose items
// are refused for their predicted wait still gets its share; the bound keeps a rank
// that comes back from holding up urgent work with more than a few items.
func (c *class) earn(cost float64) {
	const idleItems = 4
	bound := max(idleItems*c.meanCost, float64(c.backlog))
	c.credit = min(c.credit+cost*float64(c.rank.Floor), bound)
}

// head returns the flow with the lowest start tag among those that may start, nil if there is none.
func (c *class) head(mayStart func(*flow) bool) *flow {
	var best *flow
	for _, f := range c.active {
		if !mayStart(f) {
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
}

// charge moves the start tag of an entry's flow by a cost, which may be negative.
func (c *class) charge(e *entry, cost spoke.TokenCount) {
	e.flow.start += float64(cost) / e.flow.weight
}

// forgetIdle drops flows without any work for some time.
func (c *class) forgetIdle(now time.Time) {
	for key, f := range c.flows {
		if len(f.waiting) == 0 && f.running == 0 && now.Sub(f.seen) > activeWindow {
			delete(c.flows, key)
		}
	}
	c.sumWeights()
}

func (c *class) sumWeights() {
	weights := make([]float64, 0, len(c.flows))
	for _, f := range c.flows {
		weights = append(weights, f.weight)
	}
	// The order of a floating-point sum changes its value, and map order is random.
	slices.Sort(weights)
	c.weight = 0
	for _, weight := range weights {
		c.weight += weight
	}
}
