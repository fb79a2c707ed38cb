package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// A new owner is visible to the other hosts after one to two heartbeats.
	retryNoUpstream = 250 * time.Millisecond
	// Retry hint while no duration has been measured.
	retryUnknown = time.Second
	minRetry     = 50 * time.Millisecond
	maxRetry     = 30 * time.Second
	// Jitter as a fraction of a hint, so that refused callers do not all retry at the same time.
	retryJitter = 0.5
	// Predictions vary, so an item admitted close to its wait budget would often be refused late.
	admitMargin = 1.15
	// An admitted item is refused only if even this fraction of its predicted wait exceeds the
	// budget: its caller has already waited, and rates vary by this factor within a queueing time.
	lateMargin = 0.5
)

// startTag returns the start tag of a waiting entry.
func (e *entry) startTag() float64 {
	tag := e.flow.startTag
	for _, other := range e.flow.waiting {
		if other == e {
			break
		}
		tag += float64(other.item.Cost) / e.flow.weight
	}
	return tag
}

// checkEntry refuses a waiting entry that is predicted to miss the first-token target of its rank.
func (a *Admission) checkEntry(now time.Time, e *entry) {
	wait := e.queue.forecast(now, e.class).wait(e.class.costAhead(e.startTag()), float64(e.item.Cost))
	if a.mustRefuse(now, e, seconds(wait.Seconds()*admitMargin)) {
		a.refuse(now, e, a.overloadRefusal(now, e, wait))
	}
}

func (a *Admission) mustRefuse(now time.Time, e *entry, wait time.Duration) bool {
	if e.item.Resumed {
		return false
	}
	return e.queue.waiting > a.settings.maxQueued || now.Sub(e.item.Enqueued)+wait > e.class.waitBudget()
}

// checkWaiting predicts the waits of all queued entries again and refuses those that are
// predicted to miss their target.
func (a *Admission) checkWaiting(now time.Time, q *queue) {
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		curve, forecast := c.serviceCurve(), q.forecast(now, c)
		for _, f := range c.active {
			tag := f.startTag
			for _, e := range f.waiting {
				wait := forecast.wait(curve.costAhead(tag), float64(e.item.Cost))
				if a.mustRefuse(now, e, seconds(wait.Seconds()*lateMargin)) {
					a.pendingRefusals = append(a.pendingRefusals, pendingRefusal{e, wait})
					continue
				}
				tag += float64(e.item.Cost) / f.weight
			}
		}
	}
	for _, pending := range a.pendingRefusals {
		a.refuse(now, pending.entry, a.overloadRefusal(now, pending.entry, pending.wait))
	}
	clear(a.pendingRefusals)
	a.pendingRefusals = a.pendingRefusals[:0]
}

func (a *Admission) overloadRefusal(now time.Time, e *entry, wait time.Duration) *spoke.Refusal {
	budget := e.class.waitBudget()
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded,
		"predicted wait of %s at upstream %s exceeds the %s that rank %s allows",
		(now.Sub(e.item.Enqueued) + wait).Round(time.Millisecond), e.item.Upstream,
		budget.Round(time.Millisecond), e.item.Rank)
	refusal.RetryAfter = a.jitter(max(wait-budget, e.queue.meanSlotInterval()))
	return refusal
}

func (a *Admission) refuseWaiting(now time.Time, q *queue) {
	for _, e := range q.waitingEntries() {
		a.refuse(now, e, a.noUpstreamRefusal(q.upstream))
	}
}

func (a *Admission) workspaceRefusal(q *queue, item spoke.WorkItem) *spoke.Refusal {
	limit := a.workspaces[item.Workspace].MaxConcurrent
	if limit <= 0 || item.Resumed || a.inProgress[item.Workspace] < limit {
		return nil
	}
	refusal := spoke.RefuseNotRun(spoke.CodeWorkspaceLimit, "workspace %s has %d requests in progress, its limit",
		item.Workspace, limit)
	refusal.RetryAfter = a.jitter(q.meanSlotInterval())
	return refusal
}

// meanSlotInterval returns the mean time until a slot of the upstream becomes free.
func (q *queue) meanSlotInterval() time.Duration {
	if q.meanDuration == 0 {
		return retryUnknown
	}
	return seconds(q.meanDuration / float64(q.limit.Value()))
}

func (a *Admission) noUpstreamRefusal(upstream spoke.UpstreamID) *spoke.Refusal {
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
