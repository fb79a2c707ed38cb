package place

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// delayFade is the time in which half of a learned delay is out of date, since queues at a link
	// come and go.
	delayFade = 500 * time.Millisecond
	// delayWeight is the part of the newest copy in a delay.
	delayWeight = 0.5
	// averageTime is the time in which half of the mean queue of a cell is out of date.
	averageTime = time.Second
	// leastDelay is below what first events differ by anyway.
	leastDelay = time.Millisecond
	// longestDelay bounds what one copy can teach.
	longestDelay = 4 * time.Second
)

type (
	// copySource is what is known of the queue at the link of a store or an engine that others copy
	// from. Nobody reports it, so it is told from copies that came late, from copies that should have
	// come, and from what all hosts have asked for.
	copySource struct {
		// late is how much later than predicted copies came, as of lateAt.
		late   time.Duration
		lateAt time.Time
		// came counts the copies of this host that came since the last account, cameLate is how much later
		// than predicted all of them came.
		came     int
		cameLate time.Duration
		// pending are the copies of this host that have not come.
		pending map[spoke.CallNumber]pendingCopy
		// others is the time that the pending copies of other hosts take of the link.
		others map[spoke.HostID]time.Duration
		// left is the time that the pending copies of the hosts of this cell still took at leftAt.
		left   time.Duration
		leftAt time.Time
		// cells is the number of cells whose hosts copy from the source. Only those of this one are heard,
		// and the others are taken to have pending what this one has on average, which was mean at leftAt
		// and goes towards asked, what was pending then.
		cells int
		mean  time.Duration
		asked time.Duration
	}

	pendingCopy struct {
		// holds is the time that the copy takes of the source's link.
		holds time.Duration
		// sent is when the call that waits for it was placed at the node, due when it should have begun.
		sent time.Time
		due  time.Time
		node *node
	}

	copySources map[spoke.Address]*copySource
)

// source returns what is known of a source of copies.
func (s *Scheduler) source(from spoke.Address) *copySource {
	source := s.sources[from]
	if source == nil {
		source = &copySource{pending: make(map[spoke.CallNumber]pendingCopy), others: make(map[spoke.HostID]time.Duration)}
		s.sources[from] = source
	}
	source.cells = 1
	if s.isStore(from) {
		source.cells = s.cell.Count
	}
	return source
}

func (s *Scheduler) isStore(at spoke.Address) bool {
	return slices.ContainsFunc(s.stores, func(st *store) bool { return st.Address == at })
}

// delay returns how long a copy from an address is likely to wait.
func (c copySources) delay(now time.Time, from spoke.Address) time.Duration {
	source := c[from]
	if source == nil {
		return 0
	}
	return max(source.learned(now), source.overdue(now), source.queue(now))
}

func (c *copySource) learned(now time.Time) time.Duration {
	fade := math.Exp2(-float64(now.Sub(c.lateAt)) / float64(delayFade))
	return time.Duration(fade * float64(c.late))
}

// overdue returns how late the oldest copy is that has not come yet to an engine which has made progress
// since; of the others it is the engine that may have gone dark.
func (c *copySource) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for _, copying := range c.pending {
		if copying.node.sign.After(copying.sent) {
			longest = max(longest, now.Sub(copying.due))
		}
	}
	return min(longest, longestDelay)
}

// queue returns the time that the copies ahead should take.
func (c *copySource) queue(now time.Time) time.Duration {
	return c.near(now) + time.Duration(c.cells-1)*c.average(now)
}

// near is the queue as far as this cell has asked for it.
func (c *copySource) near(now time.Time) time.Duration {
	return max(c.left-now.Sub(c.leftAt), 0)
}

// average returns what was pending in this cell on average of late.
func (c *copySource) average(now time.Time) time.Duration {
	fade := math.Exp2(-float64(now.Sub(c.leftAt)) / float64(averageTime))
	return c.asked + time.Duration(fade*float64(c.mean-c.asked))
}

// set notes the queue of this cell.
func (c *copySource) set(now time.Time, left time.Duration) {
	c.mean = c.average(now)
	c.left, c.leftAt, c.asked = left, now, c.total()
}

// total returns the time that all pending copies of this cell take.
func (c *copySource) total() time.Duration {
	total := c.own()
	for _, took := range c.others {
		total += took
	}
	return total
}

// begin notes a copy that this host has asked for.
func (c *copySource) begin(now time.Time, call spoke.CallNumber, copying pendingCopy) {
	c.pending[call] = copying
	c.grow(now, copying.holds)
}

// end notes that a copy has come, or that nobody waits for it any more.
func (c *copySource) end(now time.Time, call spoke.CallNumber) {
	delete(c.pending, call)
	c.shrink(now)
}

// hear takes the time that the pending copies of another host take.
func (c *copySource) hear(now time.Time, host spoke.HostID, took time.Duration) {
	took = min(max(took, 0), longestDelay)
	known := c.others[host]
	c.others[host] = took
	switch {
	case took > known:
		c.grow(now, took-known)
	case took < known:
		c.shrink(now)
	}
	if took == 0 {
		delete(c.others, host)
	}
}

func (c *copySource) grow(now time.Time, took time.Duration) {
	c.set(now, c.near(now)+took)
}

// shrink bounds the queue by what is pending.
func (c *copySource) shrink(now time.Time) {
	c.set(now, min(c.near(now), c.total()))
}

// own returns the time that the pending copies of this host take.
func (c *copySource) own() time.Duration {
	var took time.Duration
	for _, copying := range c.pending {
		took += copying.holds
	}
	return took
}

// observe takes how much later than predicted a copy came.
func (c *copySource) observe(now time.Time, late time.Duration) {
	known := c.learned(now)
	late = min(max(late, 0), longestDelay)
	c.late, c.lateAt = known+time.Duration(delayWeight*float64(late-known)), now
}

// isIdle reports whether there is nothing left to know of the source.
func (c *copySource) isIdle(now time.Time) bool {
	return len(c.pending)+len(c.others) == 0 && c.queue(now) == 0 && c.learned(now) < leastDelay
}

// copied ends the copies of a run; one that has begun tells how late they came.
func (s *Scheduler) copied(now time.Time, run *running, hasBegun bool) {
	for _, copying := range run.copies {
		source := s.source(copying.from)
		if hasBegun {
			late := now.Sub(run.sent) - run.predicted
			source.observe(now, late)
			source.came++
			source.cameLate += min(max(late, 0), longestDelay)
		}
		source.end(now, run.ask.Call)
		s.report.copied(copying.from)
	}
}

// tellCopies returns the pending copies of this host by source: all of them, or those that changed.
func (s *Scheduler) tellCopies(isWhole bool) []spoke.CopyReport {
	var told []spoke.CopyReport
	for from, source := range s.sources {
		if own := source.own(); s.report.copies[from] || (isWhole && own > 0) {
			told = append(told, spoke.CopyReport{Source: from, PendingTime: own, Completed: source.came, MeanDelay: source.cameLate / time.Duration(max(source.came, 1))})
			source.came, source.cameLate = 0, 0
		}
	}
	clear(s.report.copies)
	return told
}

// hearCopies takes the pending copies of another host.
func (s *Scheduler) hearCopies(now time.Time, share spoke.HostReport) {
	if share.IsSnapshot {
		s.forgetCopies(now, share.Host)
	}
	for _, told := range share.Copies {
		source := s.source(told.Source)
		source.hear(now, share.Host, told.PendingTime)
		if told.Completed > 0 {
			source.observe(now, told.MeanDelay)
		}
	}
}

// forgetCopies drops the copies of another host.
func (s *Scheduler) forgetCopies(now time.Time, host spoke.HostID) {
	for _, source := range s.sources {
		delete(source.others, host)
		source.shrink(now)
	}
}
