package swap

import (
	"maps"
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// phaseDraining is an upstream that gets no new work and waits for its next order.
	phaseDraining phase = iota
	// phaseOrdered is an upstream that has been sent an order, which may still take effect.
	phaseOrdered
)

type (
	phase int

	// upstreamSwap is the state of one upstream that is out of service for its swap.
	upstreamSwap struct {
		phase     phase
		outSince  time.Time
		outUntil  time.Time
		orderedAt time.Time
		// model and version are those of the last order.
		model    spoke.ModelName
		version  spoke.ModelVersion
		attempts int
	}

	// Reconciler brings upstreams to the wanted versions; there is one for each weight store.
	Reconciler struct {
		settings settings
		swaps    map[spoke.UpstreamID]*upstreamSwap
		// backoffUntil holds the time until which an upstream whose orders failed is not swapped.
		backoffUntil map[spoke.UpstreamID]time.Time
		// returnedAt holds the time at which an upstream was returned to service.
		returnedAt map[spoke.UpstreamID]time.Time
		fence      spoke.FencingToken
		// fenceSince is the time at which the fence was first observed.
		fenceSince time.Time
		// fenceStale reports that an upstream has seen a later fence.
		fenceStale bool
		// delayedSince is the time since which urgent work has delayed the next swap, zero if it
		// does not.
		delayedSince time.Time
		actions      []Action
	}
)

// NewReconciler returns a reconciler with no swap in progress and no lease.
func NewReconciler(options ...Option) *Reconciler {
	return &Reconciler{
		settings:     newSettings(options),
		swaps:        make(map[spoke.UpstreamID]*upstreamSwap),
		backoffUntil: make(map[spoke.UpstreamID]time.Time),
		returnedAt:   make(map[spoke.UpstreamID]time.Time),
	}
}

// SetMaxConcurrent sets the number of swaps that may run at the same time from now on.
func (r *Reconciler) SetMaxConcurrent(n int) { r.settings.maxConcurrent = n }

// Handle processes one message and returns the actions that result from it.
func (r *Reconciler) Handle(now time.Time, message Message) []Action {
	r.actions = nil
	switch m := message.(type) {
	case Observation:
		r.observe(now, m)
	case OrderFailed:
		r.orderFailed(now, m)
	}
	return r.actions
}

func (r *Reconciler) orderFailed(now time.Time, m OrderFailed) {
	if m.StaleFence {
		r.fenceStale = true
	}
	if s := r.swaps[m.Upstream]; s != nil && s.phase == phaseOrdered {
		r.retry(now, m.Upstream, s)
	}
}

func (r *Reconciler) observe(now time.Time, o Observation) {
	r.updateLease(now, o.Lease)
	v := newView(now, r.settings, o)
	r.removeUnknown(now, v)
	for _, upstream := range v.upstreams {
		if s := r.swaps[upstream.ID]; s != nil {
			r.advance(now, o.Lease, v, upstream, s)
		}
	}
	r.startSwaps(now, o, v)
}

// updateLease adopts a new fence and resets all swaps to draining, since orders of the previous
// holder may still be in transit.
func (r *Reconciler) updateLease(now time.Time, lease LeaseState) {
	if !lease.Held || (lease.Fence == r.fence && !r.fenceSince.IsZero()) {
		return
	}
	r.fence, r.fenceSince, r.fenceStale = lease.Fence, now, false
	for _, s := range r.swaps {
		s.phase = phaseDraining
	}
}

// removeUnknown ends the swaps of upstreams that are no longer configured and deletes return times
// that have taken effect at all entry hosts.
func (r *Reconciler) removeUnknown(now time.Time, v view) {
	var removed []spoke.UpstreamID
	for id := range r.swaps {
		if _, ok := v.byID[id]; !ok {
			removed = append(removed, id)
		}
	}
	slices.SortFunc(removed, func(a, b spoke.UpstreamID) int { return strings.Compare(string(a), string(b)) })
	for _, id := range removed {
		r.returnToService(now, id)
	}
	maps.DeleteFunc(r.returnedAt, func(_ spoke.UpstreamID, at time.Time) bool { return now.Sub(at) >= r.settings.propagationDelay })
}

// advance takes the next step of an upstream that is out of service.
func (r *Reconciler) advance(now time.Time, lease LeaseState, v view, upstream spoke.Upstream, s *upstreamSwap) {
	model, isOutdated := v.outdatedModel(upstream)
	switch {
	case s.phase == phaseOrdered && !v.seenSince(upstream.ID, s.orderedAt):
		if now.Sub(s.orderedAt) > r.settings.orderDeadline+r.settings.loadTimeout {
			r.retry(now, upstream.ID, s)
		}
	case v.isFresh(upstream.ID) && !isOutdated, s.phase == phaseOrdered && v.serves(upstream.ID, s.model, s.version):
		// An upstream that has loaded its ordered version is returned even if a newer one is wanted
		// by now, so that an upstream on the oldest version can be swapped next.
		r.returnToService(now, upstream.ID)
		return
	case s.phase == phaseOrdered:
		if now.Sub(s.orderedAt) > r.settings.orderDeadline+r.settings.loadTimeout {
			r.retry(now, upstream.ID, s)
		}
	case !r.mayOrder(now, lease, v, upstream):
		// While no order may be sent, serving the old version is better than staying idle.
		if !lease.Held || now.Sub(s.outSince) > r.settings.drainLimit+r.settings.loadTimeout {
			r.returnToService(now, upstream.ID)
			return
		}
	case isOutdated && r.isDrained(now, v, upstream.ID, s):
		r.sendOrder(now, upstream.ID, model, s)
	}
	if r.swaps[upstream.ID] != nil {
		r.renewOutOfService(now, upstream.ID, s)
	}
}

func (r *Reconciler) isDrained(now time.Time, v view, id spoke.UpstreamID, s *upstreamSwap) bool {
	elapsed := now.Sub(s.outSince)
	if elapsed < r.settings.propagationDelay {
		return false
	}
	return elapsed >= r.settings.drainLimit || (v.reports[id].Running == 0 && v.seenSince(id, s.outSince.Add(r.settings.propagationDelay)))
}

func (r *Reconciler) sendOrder(now time.Time, id spoke.UpstreamID, model spoke.Model, s *upstreamSwap) {
	s.phase, s.orderedAt = phaseOrdered, now
	s.model, s.version = model.Name, model.Version
	s.attempts++
	r.actions = append(r.actions, SendOrder{id, spoke.Order{
		Kind: spoke.OrderLoadVersion, Model: model.Name, Version: model.Version,
		Fence: r.fence, Deadline: now.Add(r.settings.orderDeadline),
	}})
}

// retry allows another order, or returns the upstream to service for the backoff when its
// attempts are used up.
func (r *Reconciler) retry(now time.Time, id spoke.UpstreamID, s *upstreamSwap) {
	s.phase = phaseDraining
	if s.attempts >= r.settings.maxAttempts {
		r.backoffUntil[id] = now.Add(r.settings.backoff)
		r.returnToService(now, id)
	}
}

func (r *Reconciler) renewOutOfService(now time.Time, id spoke.UpstreamID, s *upstreamSwap) {
	if s.outUntil.Sub(now) > outOfServiceTTL/2 {
		return
	}
	s.outUntil = now.Add(outOfServiceTTL)
	r.actions = append(r.actions, TakeOutOfService{id, s.outUntil})
}

func (r *Reconciler) returnToService(now time.Time, id spoke.UpstreamID) {
	delete(r.swaps, id)
	r.returnedAt[id] = now
	r.actions = append(r.actions, ReturnToService{id})
}
