package swap

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// startSwaps takes the upstreams out of service whose swap may begin now.
func (r *Reconciler) startSwaps(now time.Time, o Observation, v view) {
	due := false
	for _, upstream := range v.oldestFirst(r.settings.compare) {
		if !r.isDue(now, o.Lease, v, upstream) {
			continue
		}
		due = true
		if r.isDelayedByUrgent(now, o.UrgentWaiting[upstream.Service]) {
			continue
		}
		s := &upstreamSwap{outSince: now}
		r.swaps[upstream.ID] = s
		r.renewOutOfService(now, upstream.ID, s)
		r.delayedSince = time.Time{}
	}
	if !due {
		r.delayedSince = time.Time{}
	}
}

// isDue reports whether a swap is needed and allowed by everything but waiting urgent work.
func (r *Reconciler) isDue(now time.Time, lease LeaseState, v view, upstream spoke.Upstream) bool {
	if r.swaps[upstream.ID] != nil || len(r.swaps) >= r.settings.maxConcurrent {
		return false
	}
	if upstream.State == spoke.UpstreamLeaving || now.Before(r.backoffUntil[upstream.ID]) {
		return false
	}
	_, isOutdated := v.outdatedModel(upstream)
	return isOutdated && r.mayOrder(now.Add(r.settings.propagationDelay), lease, v, upstream) && r.mayTakeOut(now, v, upstream)
}

// mayOrder reports whether an order to the upstream at a time is safe, as far as is known now.
func (r *Reconciler) mayOrder(at time.Time, lease LeaseState, v view, upstream spoke.Upstream) bool {
	if !lease.Held || lease.Remaining <= r.settings.orderDeadline || r.fenceStale {
		return false
	}
	settled := r.fenceSince
	if !upstream.ChecksFencing {
		// Without a fencing check, an order of the previous holder may still start until that
		// holder's lease has expired and the order's deadline has passed.
		settled = settled.Add(lease.TTL + r.settings.orderDeadline)
	}
	isReported := v.isFresh(upstream.ID) && !v.reports[upstream.ID].AsOf.Before(settled)
	return isReported && !at.Before(settled.Add(lease.Pause))
}

// mayTakeOut reports whether at least half of the service's upstreams serve without this one.
// The only upstream of a service may always be taken out. An upstream that was just returned to
// service does not count yet, because entry hosts may receive the removal of the next one before
// its return.
func (r *Reconciler) mayTakeOut(now time.Time, v view, upstream spoke.Upstream) bool {
	total, serving := 0, 0
	for _, other := range v.upstreams {
		if other.Service != upstream.Service || other.State == spoke.UpstreamLeaving {
			continue
		}
		total++
		hasPropagated := now.Sub(r.returnedAt[other.ID]) >= r.settings.propagationDelay
		if other.ID != upstream.ID && r.swaps[other.ID] == nil && hasPropagated && v.isServing(other.ID) {
			serving++
		}
	}
	return areEnough(serving, total)
}

// areEnough reports whether a service may be left with the given number of its upstreams for the time of a swap.
func areEnough(serving, total int) bool { return total == 1 || 2*serving >= total }

// AreAllBlocked reports whether no upstream that is to be swapped may be, because of those that are out of reach: they get
// no orders, and those of them that are to be swapped are not known to serve.
func AreAllBlocked(upstreams []spoke.Upstream, isToSwap, isOutOfReach map[spoke.UpstreamID]bool) bool {
	total, known := make(map[spoke.ServiceName]int), make(map[spoke.ServiceName]int)
	for _, upstream := range upstreams {
		if upstream.State == spoke.UpstreamLeaving {
			continue
		}
		total[upstream.Service]++
		if !isToSwap[upstream.ID] || !isOutOfReach[upstream.ID] {
			known[upstream.Service]++
		}
	}
	return !slices.ContainsFunc(upstreams, func(upstream spoke.Upstream) bool {
		return upstream.State != spoke.UpstreamLeaving && isToSwap[upstream.ID] && !isOutOfReach[upstream.ID] &&
			areEnough(known[upstream.Service]-1, total[upstream.Service])
	})
}

// isDelayedByUrgent reports whether urgent work delays the next swap; the first delay starts the
// time limit.
func (r *Reconciler) isDelayedByUrgent(now time.Time, waiting int) bool {
	if waiting == 0 {
		return false
	}
	if r.delayedSince.IsZero() {
		r.delayedSince = now
	}
	return now.Sub(r.delayedSince) < r.settings.urgentWait
}
