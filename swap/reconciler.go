package swap

import (
	"maps"
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// phaseOut is an upstream that gets no new work and has no order yet.
	phaseOut phase = iota
	// phaseOrdered is an upstream whose order may take effect.
	phaseOrdered
)

type (
	phase int

	// swapping is an upstream out of service.
	swapping struct {
		phase   phase
		since   time.Time
		until   time.Time
		ordered time.Time
		// model and version are what the order loads.
		model   spoke.ModelName
		version spoke.ModelVersion
		orders  int
	}

	// Reconciler brings upstreams to the wanted versions; one reconciler serves one weight store.
	Reconciler struct {
		settings settings
		swaps    map[spoke.UpstreamID]*swapping
		// paused holds the time until which an upstream that failed is left alone.
		paused map[spoke.UpstreamID]time.Time
		// returned holds the time at which an upstream was put back after its swap.
		returned map[spoke.UpstreamID]time.Time
		fence    spoke.FencingToken
		// holderSince is the time when the fence was first seen.
		holderSince time.Time
		// stale says that an upstream knows a later fence.
		stale bool
		// heldUpSince is the time since which urgent work has held up the next swap.
		heldUpSince time.Time
		actions     []Action
	}
)

// NewReconciler returns a reconciler without a lease.
func NewReconciler(options ...Option) *Reconciler {
	return &Reconciler{
		settings: newSettings(options),
		swaps:    make(map[spoke.UpstreamID]*swapping),
		paused:   make(map[spoke.UpstreamID]time.Time),
		returned: make(map[spoke.UpstreamID]time.Time),
	}
}

// SetAtOnce sets the number of swaps that may run at the same time from now on.
func (r *Reconciler) SetMaxConcurrent(n int) { r.settings.atOnce = n }

// Handle takes one message and returns the actions that follow from it.
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
		r.stale = true
	}
	if s := r.swaps[m.Upstream]; s != nil && s.phase == phaseOrdered {
		r.retry(now, m.Upstream, s)
	}
}

func (r *Reconciler) observe(now time.Time, o Observation) {
	r.follow(now, o.Lease)
	v := newView(now, r.settings, o)
	r.dropUnknown(now, v)
	for _, upstream := range v.upstreams {
		if s := r.swaps[upstream.ID]; s != nil {
			r.advance(now, o.Lease, v, upstream, s)
		}
	}
	r.start(now, o, v)
}

// follow notices a new lease; orders of the previous holder may still be on their way.
func (r *Reconciler) follow(now time.Time, lease LeaseState) {
	if !lease.Held || (lease.Fence == r.fence && !r.holderSince.IsZero()) {
		return
	}
	r.fence, r.holderSince, r.stale = lease.Fence, now, false
	for _, s := range r.swaps {
		s.phase = phaseOut
	}
}

// dropUnknown forgets the swaps of upstreams that left the configuration.
func (r *Reconciler) dropUnknown(now time.Time, v view) {
	var gone []spoke.UpstreamID
	for id := range r.swaps {
		if _, ok := v.byID[id]; !ok {
			gone = append(gone, id)
		}
	}
	slices.SortFunc(gone, func(a, b spoke.UpstreamID) int { return strings.Compare(string(a), string(b)) })
	for _, id := range gone {
		r.putBack(now, id)
	}
	maps.DeleteFunc(r.returned, func(_ spoke.UpstreamID, at time.Time) bool { return now.Sub(at) >= r.settings.notice })
}

// advance takes the next step of an upstream that is out of service.
func (r *Reconciler) advance(now time.Time, lease LeaseState, v view, upstream spoke.Upstream, s *swapping) {
	model, wrong := v.wrongModel(upstream)
	switch {
	case s.phase == phaseOrdered && !v.seenSince(upstream.ID, s.ordered):
		if now.Sub(s.ordered) > r.settings.orderDeadline+r.settings.loadTime {
			r.retry(now, upstream.ID, s)
		}
	case v.isFresh(upstream.ID) && !wrong, s.phase == phaseOrdered && v.serves(upstream.ID, s.model, s.version):
		// An upstream that loaded what a newer version has replaced meanwhile gives its turn to the oldest.
		r.putBack(now, upstream.ID)
		return
	case s.phase == phaseOrdered:
		if now.Sub(s.ordered) > r.settings.orderDeadline+r.settings.loadTime {
			r.retry(now, upstream.ID, s)
		}
	case !r.mayOrder(now, lease, v, upstream):
		// Without the right to order, serving on with the old version is better than idling.
		if !lease.Held || now.Sub(s.since) > r.settings.drain+r.settings.loadTime {
			r.putBack(now, upstream.ID)
			return
		}
	case wrong && r.isDrained(now, v, upstream.ID, s):
		r.order(now, upstream.ID, model, s)
	}
	if r.swaps[upstream.ID] != nil {
		r.renew(now, upstream.ID, s)
	}
}

func (r *Reconciler) isDrained(now time.Time, v view, id spoke.UpstreamID, s *swapping) bool {
	out := now.Sub(s.since)
	if out < r.settings.notice {
		return false
	}
	return out >= r.settings.drain || (v.reports[id].Running == 0 && v.seenSince(id, s.since.Add(r.settings.notice)))
}

func (r *Reconciler) order(now time.Time, id spoke.UpstreamID, model spoke.Model, s *swapping) {
	s.phase, s.ordered = phaseOrdered, now
	s.model, s.version = model.Name, model.Version
	s.orders++
	r.actions = append(r.actions, SendOrder{id, spoke.Order{
		Kind: spoke.OrderLoadVersion, Model: model.Name, Version: model.Version,
		Fence: r.fence, Deadline: now.Add(r.settings.orderDeadline),
	}})
}

// retry lets an order be given again, or leaves the upstream alone for a while.
func (r *Reconciler) retry(now time.Time, id spoke.UpstreamID, s *swapping) {
	s.phase = phaseOut
	if s.orders >= r.settings.attempts {
		r.paused[id] = now.Add(r.settings.pause)
		r.putBack(now, id)
	}
}

func (r *Reconciler) renew(now time.Time, id spoke.UpstreamID, s *swapping) {
	if s.until.Sub(now) > outTime/2 {
		return
	}
	s.until = now.Add(outTime)
	r.actions = append(r.actions, TakeOutOfService{id, s.until})
}

func (r *Reconciler) putBack(now time.Time, id spoke.UpstreamID) {
	delete(r.swaps, id)
	r.returned[id] = now
	r.actions = append(r.actions, ReturnToService{id})
}
