package swap

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// start takes upstreams out of service for their swap as far as the rules allow.
func (r *Reconciler) start(now time.Time, o Observation, v view) {
	due := false
	for _, upstream := range v.oldestFirst(r.settings.compare) {
		if !r.isDue(now, o.Lease, v, upstream) {
			continue
		}
		due = true
		if r.waitsForUrgent(now, o.UrgentWaiting[upstream.Service]) {
			continue
		}
		s := &swapping{since: now}
		r.swaps[upstream.ID] = s
		r.renew(now, upstream.ID, s)
		r.heldUpSince = time.Time{}
	}
	if !due {
		r.heldUpSince = time.Time{}
	}
}

// isDue reports whether a swap is wanted and only urgent work could hold it up.
func (r *Reconciler) isDue(now time.Time, lease LeaseState, v view, upstream spoke.Upstream) bool {
	if r.swaps[upstream.ID] != nil || len(r.swaps) >= r.settings.atOnce {
		return false
	}
	if upstream.State == spoke.UpstreamLeaving || now.Before(r.paused[upstream.ID]) {
		return false
	}
	_, wrong := v.wrongModel(upstream)
	return wrong && r.mayOrder(now, lease, v, upstream) && r.mayTakeOut(now, v, upstream)
}

// mayOrder reports whether an order to the upstream is safe now.
func (r *Reconciler) mayOrder(now time.Time, lease LeaseState, v view, upstream spoke.Upstream) bool {
	if !lease.Held || lease.Remaining <= r.settings.orderDeadline || r.stale {
		return false
	}
	settled := r.holderSince
	if !upstream.ChecksFencing {
		// An order of the previous holder may start until its lease and deadline have passed.
		settled = settled.Add(lease.TTL + r.settings.orderDeadline)
	}
	return !now.Before(settled) && v.isFresh(upstream.ID) && !v.reports[upstream.ID].AsOf.Before(settled)
}

// mayTakeOut reports whether at least half of the service's upstreams serve without this one.
// A service with one upstream has no choice but to pause. One that was just put back does not
// count yet, because entry hosts may hear of the next ones taken out before they hear of it.
func (r *Reconciler) mayTakeOut(now time.Time, v view, upstream spoke.Upstream) bool {
	total, serving := 0, 0
	for _, other := range v.upstreams {
		if other.Service != upstream.Service || other.State == spoke.UpstreamLeaving {
			continue
		}
		total++
		isKnown := now.Sub(r.returned[other.ID]) >= r.settings.notice
		if other.ID != upstream.ID && r.swaps[other.ID] == nil && isKnown && v.isServing(other.ID) {
			serving++
		}
	}
	return total == 1 || 2*serving >= total
}

// waitsForUrgent reports whether urgent work holds up the next swap; it starts the time limit.
func (r *Reconciler) waitsForUrgent(now time.Time, waiting int) bool {
	if waiting == 0 {
		return false
	}
	if r.heldUpSince.IsZero() {
		r.heldUpSince = now
	}
	return now.Sub(r.heldUpSince) < r.settings.urgentWait
}
