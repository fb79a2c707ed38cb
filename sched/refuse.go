package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// A new owner is known after a heartbeat or two.
	retryNoUpstream = 250 * time.Millisecond
	// Hints before the first measured item.
	retryUnknown = time.Second
	minRetry     = 50 * time.Millisecond
	maxRetry     = 30 * time.Second
	// Hints are spread so that refused callers don't come back together.
	retryJitter = 0.5
	admitMargin = 1.15
	// Work that was accepted is refused late only if the prediction leaves no doubt: the
	// caller has already waited, and rates vary by this factor within a queueing time.
	lateMargin = 0.5
)

// tag returns the start tag of a waiting entry.
func (e *entry) tag() float64 {
	tag := e.flow.start
	for _, other := range e.flow.waiting {
		if other == e {
			break
		}
		tag += float64(other.item.Cost) / e.flow.weight
	}
	return tag
}

// checkEntry refuses a waiting entry if it cannot start within its rank's target.
func (a *Admission) checkEntry(now time.Time, e *entry) {
	wait := e.queue.forecast(now, e.class).wait(e.class.ahead(e.tag()), float64(e.item.Cost))
	// Predictions vary, so an item admitted at the very end of its budget would often be
	// refused late.
	if a.isHopeless(now, e, seconds(wait.Seconds()*admitMargin)) {
		a.refuse(now, e, a.overloaded(now, e, wait))
	}
}

func (a *Admission) isHopeless(now time.Time, e *entry, wait time.Duration) bool {
	if e.item.Resumed {
		return false
	}
	return e.queue.waiting > a.settings.maxQueued || now.Sub(e.item.Enqueued)+wait > e.class.budget()
}

// checkWaiting renews the prediction of all waiting entries.
func (a *Admission) checkWaiting(now time.Time, q *queue) {
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		p, forecast := c.profile(), q.forecast(now, c)
		for _, f := range c.active {
			tag := f.start
			for _, e := range f.waiting {
				wait := forecast.wait(p.ahead(tag), float64(e.item.Cost))
				if a.isHopeless(now, e, seconds(wait.Seconds()*lateMargin)) {
					a.hopeless = append(a.hopeless, hopeless{e, wait})
					continue
				}
				tag += float64(e.item.Cost) / f.weight
			}
		}
	}
	for _, h := range a.hopeless {
		a.refuse(now, h.entry, a.overloaded(now, h.entry, h.wait))
	}
	clear(a.hopeless)
	a.hopeless = a.hopeless[:0]
}

func (a *Admission) overloaded(now time.Time, e *entry, wait time.Duration) *spoke.Refusal {
	budget := e.class.budget()
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded,
		"predicted wait of %s at upstream %s exceeds the %s that rank %s allows",
		(now.Sub(e.item.Enqueued) + wait).Round(time.Millisecond), e.item.Upstream,
		budget.Round(time.Millisecond), e.item.Rank)
	refusal.RetryAfter = a.jitter(max(wait-budget, e.queue.placeTime()))
	return refusal
}

func (a *Admission) refuseWaiting(now time.Time, q *queue) {
	for _, e := range q.waitingEntries() {
		a.refuse(now, e, a.noUpstream(q.upstream))
	}
}

func (a *Admission) workspaceRefusal(q *queue, item spoke.WorkItem) *spoke.Refusal {
	limit := a.workspaces[item.Workspace].MaxConcurrent
	if limit <= 0 || item.Resumed || a.inProgress[item.Workspace] < limit {
		return nil
	}
	refusal := spoke.RefuseNotRun(spoke.CodeWorkspaceLimit, "workspace %s has %d requests in progress, its limit",
		item.Workspace, limit)
	refusal.RetryAfter = a.jitter(q.placeTime())
	return refusal
}

// placeTime returns the mean time until a place of the upstream becomes free.
func (q *queue) placeTime() time.Duration {
	if q.meanDuration == 0 {
		return retryUnknown
	}
	return seconds(q.meanDuration / float64(q.limit.Value()))
}

func (a *Admission) noUpstream(upstream spoke.UpstreamID) *spoke.Refusal {
	refusal := spoke.RefuseNotRun(spoke.CodeNoUpstream, "upstream %s takes no work at this host", upstream)
	refusal.RetryAfter = a.jitter(retryNoUpstream)
	return refusal
}

func (a *Admission) jitter(hint time.Duration) time.Duration {
	hint = min(max(hint, minRetry), maxRetry)
	return hint + time.Duration(a.random.Float64()*retryJitter*float64(hint))
}

func (a *Admission) refuse(now time.Time, e *entry, refusal *spoke.Refusal) {
	a.remove(now, e)
	a.emitRefusal(e, refusal)
}

func (a *Admission) emitRefusal(e *entry, refusal *spoke.Refusal) {
	refusal.Request = e.item.Request
	a.actions = append(a.actions, spoke.RefuseWork{Attempt: e.item.Attempt, Refusal: refusal})
}
