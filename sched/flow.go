package sched

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// entry is an item with its scheduling state.
	entry struct {
		item    spoke.WorkItem
		queue   *queue
		class   *class
		flow    *flow
		running bool
		// preempted is set once the holder of the grant was asked to cancel the item.
		preempted bool
		// byFloor marks a grant made for the floor of the rank.
		byFloor bool
		// creditUsed is the floor credit consumed by the grant.
		creditUsed float64
		// delivered is set at the first token.
		delivered bool
		// undeliveredAtGrant is the number of other running items without a first token when
		// this one was granted.
		undeliveredAtGrant int
		started            time.Time
		// concurrency is the number of running items at the grant, including this one.
		concurrency int
	}

	// flowKey identifies a flow. Solo items, which are suspected of crashing upstreams, have flows
	// of their own, so that they do not block other work of their workspace.
	flowKey struct {
		workspace spoke.WorkspaceID
		solo      bool
	}

	// flow holds the waiting items of one workspace in a class, scheduled by start-time fair
	// queueing (SFQ).
	flow struct {
		key        flowKey
		weight     float64
		waiting    []*entry
		backlog    spoke.TokenCount
		running    int
		lastSubmit time.Time
		// startTag is the start tag of the head item in virtual time.
		startTag float64
	}

	// class holds the work of one rank at one upstream.
	class struct {
		rank  spoke.Rank
		flows map[flowKey]*flow
		// totalWeight is the sum of the weights of flows.
		totalWeight float64
		// active holds the flows with waiting items.
		active      []*flow
		virtualTime float64
		waiting     int
		backlog     spoke.TokenCount
		running     int
		// runningCost is the predicted cost of the running items.
		runningCost spoke.TokenCount
		// credit is the cost due to the rank under its floor.
		credit float64
		// meanCost is the moving average of the predicted cost of submitted items.
		meanCost float64
		// granted sums the cost granted to the rank.
		granted decayingSum
		// offered sums the cost submitted to the rank, without resumed items but including items
		// that are refused for their predicted wait.
		offered decayingSum
		// meanFirstToken is the mean time from grant to first token, in seconds.
		meanFirstToken float64
	}
)

func newClass(rank spoke.Rank) *class {
	return &class{
		rank: rank, flows: make(map[flowKey]*flow),
		granted: decayingSum{window: grantWindow}, offered: decayingSum{window: offerWindow},
	}
}

func (c *class) flow(key flowKey, weight float64) *flow {
	f := c.flows[key]
	if f == nil {
		f = &flow{key: key, weight: weight, startTag: c.virtualTime}
		c.flows[key] = f
		c.totalWeight += weight
	}
	return f
}

// push queues an entry at the end of a flow; a resumed one goes to its front, before items that have
// not delivered a first token.
func (c *class) push(e *entry, f *flow) {
	if len(f.waiting) == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
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
	c.meanCost = ewma(c.meanCost, float64(e.item.Cost), rateGain)
}

// addCredit adds the floor's share of a granted cost to the credit. An idle rank keeps its credit,
// so that a rank whose items are refused for their predicted wait still gets its share. The bound
// limits the number of items with which a rank that was idle can delay urgent work.
func (c *class) addCredit(cost float64) {
	const idleItems = 4
	bound := max(idleItems*c.meanCost, float64(c.backlog))
	c.credit = min(c.credit+cost*float64(c.rank.Floor), bound)
}

// head returns the eligible flow with the lowest start tag, nil if there is none.
func (c *class) head(eligible func(*flow) bool) *flow {
	var best *flow
	for _, f := range c.active {
		if !eligible(f) {
			continue
		}
		if best == nil || f.startTag < best.startTag {
			best = f
		}
	}
	return best
}

// dequeue removes the head of a flow for a grant and advances virtual time.
func (c *class) dequeue(f *flow) *entry {
	e := f.waiting[0]
	c.virtualTime = max(c.virtualTime, f.startTag)
	c.remove(e)
	f.startTag += float64(e.item.Cost) / f.weight
	return e
}

// remove removes a waiting entry without advancing virtual time.
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

// charge advances the start tag of an entry's flow by a cost, which may be negative.
func (c *class) charge(e *entry, cost spoke.TokenCount) {
	e.flow.startTag += float64(cost) / e.flow.weight
}

// evictIdle removes flows without waiting or running items that had no submission within
// activeWindow.
func (c *class) evictIdle(now time.Time) {
	for key, f := range c.flows {
		if len(f.waiting) == 0 && f.running == 0 && now.Sub(f.lastSubmit) > activeWindow {
			delete(c.flows, key)
		}
	}
	c.updateTotalWeight()
}

func (c *class) updateTotalWeight() {
	weights := make([]float64, 0, len(c.flows))
	for _, f := range c.flows {
		weights = append(weights, f.weight)
	}
	// A floating-point sum depends on its order and map iteration is random, so sorting makes the
	// result deterministic.
	slices.Sort(weights)
	c.totalWeight = 0
	for _, weight := range weights {
		c.totalWeight += weight
	}
}
