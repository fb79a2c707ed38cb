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
func (a *Admission) checkEntry(now time.Time, e *entry, ahead float64) {
	if refusal := a.overloadRefusal(now, e, ahead); refusal != nil {
		a.refuse(e, refusal)
	}
}

func (a *Admission) overloadRefusal(now time.Time, e *entry, ahead float64) *spoke.Refusal {
	q := e.queue
	if e.item.Resumed {
		return nil
	}
	if q.waiting > a.settings.maxQueued {
		return a.overloaded(q, "queue of upstream %s is full", q.upstream)
	}
	waited := now.Sub(e.item.Enqueued)
	wait := q.wait(now, e.class, ahead, float64(e.item.Cost))
	budget := e.class.budget()
	if waited+wait <= budget {
		return nil
	}
	refusal := a.overloaded(q, "predicted wait of %s at upstream %s exceeds the %s of rank %s",
		(waited + wait).Round(time.Millisecond), q.upstream, budget.Round(time.Millisecond), e.item.Rank)
	if q.drainRate() > 0 {
		refusal.RetryAfter = a.jitter(max(wait-budget, q.placeTime()))
	}
	return refusal
}

// checkWaiting renews the prediction of all waiting entries.
func (a *Admission) checkWaiting(now time.Time, q *queue) {
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		p := c.profile()
		for _, f := range append([]*flow(nil), c.active...) {
			tag := f.start
			for _, e := range append([]*entry(nil), f.waiting...) {
				refusal := a.overloadRefusal(now, e, p.ahead(tag))
				if refusal != nil {
					a.refuse(e, refusal)
					continue
				}
				tag += float64(e.item.Cost) / f.weight
			}
		}
	}
}

func (a *Admission) refuseWaiting(q *queue) {
	for _, e := range q.waitingEntries() {
		a.refuse(e, a.noUpstream(q.upstream))
	}
}

func (a *Admission) workspaceRefusal(q *queue, item spoke.WorkItem) *spoke.Refusal {
	limit := a.workspaces[item.Workspace].MaxConcurrent
	if limit <= 0 || item.Resumed || a.inProgress[item.Workspace] < limit {
		return nil
	}
	refusal := spoke.NotRun(spoke.CodeWorkspaceLimit, "workspace %s has %d requests in progress, its limit",
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

func (a *Admission) overloaded(q *queue, format string, args ...any) *spoke.Refusal {
	refusal := spoke.NotRun(spoke.CodeOverloaded, format, args...)
	refusal.RetryAfter = a.jitter(q.placeTime())
	return refusal
}

func (a *Admission) noUpstream(upstream spoke.UpstreamID) *spoke.Refusal {
	refusal := spoke.NotRun(spoke.CodeNoUpstream, "upstream %s takes no work at this host", upstream)
	refusal.RetryAfter = a.jitter(retryNoUpstream)
	return refusal
}

func (a *Admission) jitter(hint time.Duration) time.Duration {
	hint = min(max(hint, minRetry), maxRetry)
	return hint + time.Duration(a.random.Float64()*retryJitter*float64(hint))
}

func (a *Admission) refuse(e *entry, refusal *spoke.Refusal) {
	a.remove(e)
	a.emitRefusal(e, refusal)
}

func (a *Admission) emitRefusal(e *entry, refusal *spoke.Refusal) {
	refusal.Request = e.item.Request
	a.actions = append(a.actions, spoke.RefuseWork{Attempt: e.item.Attempt, Refusal: refusal})
}
