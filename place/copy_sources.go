package place

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// latenessHalfLife is the time in which the weight of an observed lateness halves; it is short, since
	// queues at a link come and go.
	latenessHalfLife = 500 * time.Millisecond
	// latenessWeight is the weight of the newest copy in the lateness.
	latenessWeight = 0.5
	// meanHalfLife is the time in which the mean pending time of a cell closes half of the gap to the
	// present one.
	meanHalfLife = time.Second
	// minLateness is the lateness below which a source counts as idle; first events vary by more than that.
	minLateness = time.Millisecond
	// maxLateness bounds the effect of a single copy or report.
	maxLateness = 4 * time.Second
)

type (
	// copySource estimates the queue at the link of a store or an engine that others copy from. The source
	// does not report its queue, so it is inferred from copies that arrived late, from copies that are
	// overdue, and from the pending copies of all hosts.
	copySource struct {
		// lateness is how much later than predicted copies arrived, as of latenessAt.
		lateness   time.Duration
		latenessAt time.Time
		// arrived counts the copies of this host that arrived since the last report, arrivedLateness is the
		// sum of their lateness.
		arrived         int
		arrivedLateness time.Duration
		// pending holds the copies of this host that have not arrived.
		pending map[spoke.CallNumber]pendingCopy
		// others holds the time for which the pending copies of other hosts occupy the link.
		others map[spoke.HostID]time.Duration
		// queued is the remaining time of the pending copies of this cell's hosts at queuedAt.
		queued   time.Duration
		queuedAt time.Time
		// cells is the number of cells whose hosts copy from the source. Hosts report their copies only within
		// their cell; each other cell is assumed to have as much pending as this one has on average. The
		// average was mean at queuedAt and approaches pendingTotal, the time of the copies pending then.
		cells        int
		mean         time.Duration
		pendingTotal time.Duration
	}

	pendingCopy struct {
		// linkTime is the time that the copy occupies the source's link.
		linkTime time.Duration
		// sent is when the call that waits for it was placed at the node, due when it should have begun.
		sent time.Time
		due  time.Time
		node *node
	}

	copySources map[spoke.Address]*copySource
)

// source returns the state of a source of copies, which it creates if needed.
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

// delay returns how long a copy from an address is expected to wait.
func (c copySources) delay(now time.Time, from spoke.Address) time.Duration {
	source := c[from]
	if source == nil {
		return 0
	}
	return max(source.recentLateness(now), source.overdue(now), source.queue(now))
}

// recentLateness returns the observed lateness, decayed with age.
func (c *copySource) recentLateness(now time.Time) time.Duration {
	decay := math.Exp2(-float64(now.Sub(c.latenessAt)) / float64(latenessHalfLife))
	return time.Duration(decay * float64(c.lateness))
}

// overdue returns the largest lateness of the pending copies to engines that have made progress since. For
// other copies the cause may be an engine that does not respond.
func (c *copySource) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for _, pending := range c.pending {
		if pending.node.progressAt.After(pending.sent) {
			longest = max(longest, now.Sub(pending.due))
		}
	}
	return min(longest, maxLateness)
}

// queue returns the expected time of the copies ahead, those of other cells included.
func (c *copySource) queue(now time.Time) time.Duration {
	return c.cellQueue(now) + time.Duration(c.cells-1)*c.meanPending(now)
}

// cellQueue is the part of the queue that this cell's copies take.
func (c *copySource) cellQueue(now time.Time) time.Duration {
	return max(c.queued-now.Sub(c.queuedAt), 0)
}

// meanPending returns the recent average of the pending time of this cell.
func (c *copySource) meanPending(now time.Time) time.Duration {
	decay := math.Exp2(-float64(now.Sub(c.queuedAt)) / float64(meanHalfLife))
	return c.pendingTotal + time.Duration(decay*float64(c.mean-c.pendingTotal))
}

// setQueue sets the remaining time of this cell's pending copies and updates their mean.
func (c *copySource) setQueue(now time.Time, queued time.Duration) {
	c.mean = c.meanPending(now)
	c.queued, c.queuedAt, c.pendingTotal = queued, now, c.total()
}

// total returns the time that all pending copies of this cell take.
func (c *copySource) total() time.Duration {
	total := c.ownPending()
	for _, pendingTime := range c.others {
		total += pendingTime
	}
	return total
}

// begin adds a copy of this host.
func (c *copySource) begin(now time.Time, call spoke.CallNumber, pending pendingCopy) {
	c.pending[call] = pending
	c.extendQueue(now, pending.linkTime)
}

// end removes a copy that has arrived or is not awaited any more.
func (c *copySource) end(now time.Time, call spoke.CallNumber) {
	delete(c.pending, call)
	c.capQueue(now)
}

// setPeerPending sets the time that the pending copies of another host take.
func (c *copySource) setPeerPending(now time.Time, host spoke.HostID, pendingTime time.Duration) {
	pendingTime = min(max(pendingTime, 0), maxLateness)
	known := c.others[host]
	c.others[host] = pendingTime
	switch {
	case pendingTime > known:
		c.extendQueue(now, pendingTime-known)
	case pendingTime < known:
		c.capQueue(now)
	}
	if pendingTime == 0 {
		delete(c.others, host)
	}
}

// extendQueue adds the time of a new copy to the queue.
func (c *copySource) extendQueue(now time.Time, pendingTime time.Duration) {
	c.setQueue(now, c.cellQueue(now)+pendingTime)
}

// capQueue bounds the queue by the time of the pending copies.
func (c *copySource) capQueue(now time.Time) {
	c.setQueue(now, min(c.cellQueue(now), c.total()))
}

// ownPending returns the time that the pending copies of this host take.
func (c *copySource) ownPending() time.Duration {
	var total time.Duration
	for _, pending := range c.pending {
		total += pending.linkTime
	}
	return total
}

// observe records how much later than predicted a copy arrived.
func (c *copySource) observe(now time.Time, lateness time.Duration) {
	known := c.recentLateness(now)
	lateness = min(max(lateness, 0), maxLateness)
	c.lateness, c.latenessAt = known+time.Duration(latenessWeight*float64(lateness-known)), now
}

// isIdle reports whether the source has no pending copies, queue or lateness left.
func (c *copySource) isIdle(now time.Time) bool {
	return len(c.pending)+len(c.others) == 0 && c.queue(now) == 0 && c.recentLateness(now) < minLateness
}

// endCopies ends the copies of a call. If it has begun, their lateness is recorded.
func (s *Scheduler) endCopies(now time.Time, run *runningCall, hasBegun bool) {
	for _, copied := range run.copiesBySource {
		source := s.source(copied.from)
		if hasBegun {
			lateness := now.Sub(run.sent) - run.predicted
			source.observe(now, lateness)
			source.arrived++
			source.arrivedLateness += min(max(lateness, 0), maxLateness)
		}
		source.end(now, run.request.Call)
		s.report.copied(copied.from)
	}
}

// copyReports returns the pending copies of this host by source: all of them, or those that changed.
func (s *Scheduler) copyReports(now time.Time, isFull bool) []spoke.CopyReport {
	var reports []spoke.CopyReport
	for from, source := range s.sources {
		if own := s.reportedPending(now, source); s.report.copies[from] || (isFull && own > 0) {
			reports = append(reports, spoke.CopyReport{Source: from, PendingTime: own, Completed: source.arrived, MeanDelay: source.arrivedLateness / time.Duration(max(source.arrived, 1))})
			source.arrived, source.arrivedLateness = 0, 0
		}
	}
	clear(s.report.copies)
	return reports
}

// applyCopies applies the pending copies of another host.
func (s *Scheduler) applyCopies(now time.Time, report spoke.HostReport) {
	if report.IsSnapshot {
		s.removeCopies(now, report.Host)
	}
	for _, reported := range report.Copies {
		source := s.source(reported.Source)
		source.setPeerPending(now, report.Host, reported.PendingTime)
		if reported.Completed > 0 {
			source.observe(now, reported.MeanDelay)
		}
	}
}

// removeCopies drops the copies of another host.
func (s *Scheduler) removeCopies(now time.Time, host spoke.HostID) {
	for _, source := range s.sources {
		delete(source.others, host)
		source.capQueue(now)
	}
}
