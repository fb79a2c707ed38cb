package host

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/lease"
	"magnoliaspoke.example/spoke/swap"
)

const (
	// ordersLease is held by the host that sends orders to upstreams. There is only one, because
	// all upstreams load their weights from one store.
	ordersLease spoke.LeaseName = "orders"
	// ordersTTL bounds how long no orders are sent after the holder has died.
	ordersTTL = 6 * time.Second

	swapPeriod = 250 * time.Millisecond
	// urgentWaitThreshold is the predicted wait above which the most urgent rank counts as waiting.
	urgentWaitThreshold = 200 * time.Millisecond
)

type (
	// swapTask brings engines to the wanted model versions while it holds the orders lease.
	swapTask struct {
		holder     spoke.HostID
		manifest   spoke.ManifestSource
		views      *viewTable
		isWatcher  func() bool
		leases     spoke.Leases
		engine     spoke.Engine
		credential string
		timer      spoke.Timer
		events     spoke.EventSink
		log        logrus.FieldLogger

		reconciler *swap.Reconciler
		keeper     *lease.Keeper
		// candidacy ends when the task stops competing for the lease.
		candidacy context.Context
		// stopKeeper ends the keeper and returns when it has released the lease.
		stopKeeper func()
		observer   *observer
		failures   chan swap.OrderFailed
		paused     map[spoke.UpstreamID]time.Time
		published  atomic.Pointer[map[spoke.UpstreamID]time.Time]
	}
)

// Paused returns the upstreams that wait for their swap, each with the time at which its pause
// expires.
func (t *swapTask) Paused() map[spoke.UpstreamID]time.Time {
	if paused := t.published.Load(); paused != nil {
		return *paused
	}
	return nil
}

func (t *swapTask) run(ctx context.Context) error {
	t.reset()
	t.failures = make(chan swap.OrderFailed)
	defer t.stopCandidacy()
	ticks := t.timer.Every(swapPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.tick(ctx)
		case failure := <-t.failures:
			t.apply(t.reconciler.Handle(t.timer.Now(), failure))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *swapTask) tick(ctx context.Context) {
	t.updateCandidacy(ctx)
	manifest := t.manifest.Current()
	if t.keeper == nil || manifest == nil {
		return
	}
	state := t.leaseState()
	if !state.Held && len(t.paused) == 0 {
		return
	}
	if state.Held {
		t.observer.observe(ctx, t.timer.Now(), manifest, t.paused)
	}
	t.apply(t.reconciler.Handle(t.timer.Now(), swap.Observation{
		Models: manifest.Models(), Upstreams: engineUpstreams(manifest), Reports: t.observer.reports,
		Lease: state, UrgentWaiting: t.urgentWaiting(manifest),
	}))
	t.dropExpired()
}

// updateCandidacy lets only the watchers of the data centres compete for the lease, because each
// candidate costs the platform about one call per second.
func (t *swapTask) updateCandidacy(ctx context.Context) {
	switch isWatcher := t.isWatcher(); {
	case isWatcher && t.keeper == nil:
		t.startCandidacy(ctx)
	case !isWatcher && t.keeper != nil:
		t.stopCandidacy()
	}
}

func (t *swapTask) startCandidacy(ctx context.Context) {
	candidacy, cancel := context.WithCancel(ctx)
	keeper := lease.New(t.leases, ordersLease, t.holder, ordersTTL, lease.WithTimer(t.timer))
	released := make(chan struct{})
	go func() {
		defer close(released)
		_ = keeper.Run(candidacy)
	}()
	t.keeper, t.candidacy = keeper, candidacy
	t.stopKeeper = func() {
		cancel()
		<-released
	}
}

// stopCandidacy releases the lease and discards the state of the swaps: an upstream that is back
// in service must be taken out again before its next order.
func (t *swapTask) stopCandidacy() {
	if t.keeper == nil {
		return
	}
	t.stopKeeper()
	t.keeper = nil
	t.reset()
}

func (t *swapTask) reset() {
	t.reconciler = swap.NewReconciler()
	t.observer = newObserver(t.engine)
	t.paused = make(map[spoke.UpstreamID]time.Time)
	t.publish()
}

func (t *swapTask) leaseState() swap.LeaseState {
	now := t.timer.Now()
	held, ok := t.keeper.Held(now, 0)
	return swap.LeaseState{Held: ok, Fence: held.Fence, Remaining: held.Expires.Sub(now), TTL: ordersTTL}
}

func engineUpstreams(manifest *spoke.Manifest) []spoke.Upstream {
	return slices.DeleteFunc(manifest.Upstreams(), func(upstream spoke.Upstream) bool {
		service, _ := manifest.Service(upstream.Service)
		return service.Kind != spoke.ServiceLanguage
	})
}

// urgentWaiting counts the upstreams of each service at which the most urgent rank waits.
func (t *swapTask) urgentWaiting(manifest *spoke.Manifest) map[spoke.ServiceName]int {
	ranks := manifest.Ranks()
	if len(ranks) == 0 {
		return nil
	}
	waiting := make(map[spoke.ServiceName]int)
	for _, service := range manifest.Services() {
		for _, view := range t.views.Views(service.Name) {
			if view.Load.Waits[ranks[0].Name] > urgentWaitThreshold {
				waiting[service.Name]++
			}
		}
	}
	return waiting
}

func (t *swapTask) apply(actions []swap.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case swap.TakeOutOfService:
			if _, isPaused := t.paused[a.Upstream]; !isPaused {
				t.events.Record(spoke.Event{Kind: "swap-out-of-service", Upstream: a.Upstream})
			}
			t.paused[a.Upstream] = a.Until
		case swap.ReturnToService:
			t.events.Record(spoke.Event{Kind: "swap-back-in-service", Upstream: a.Upstream})
			delete(t.paused, a.Upstream)
		case swap.SendOrder:
			t.startOrder(a)
		}
	}
	t.publish()
}

func (t *swapTask) startOrder(action swap.SendOrder) {
	upstream, ok := t.manifest.Current().Upstream(action.Upstream)
	remaining := action.Order.Deadline.Sub(t.timer.Now())
	_, isHeld := t.keeper.Held(t.timer.Now(), remaining)
	if !ok || !isHeld {
		t.apply(t.reconciler.Handle(t.timer.Now(), swap.OrderFailed{Upstream: action.Upstream}))
		return
	}
	order := action.Order
	order.Credential = t.credential
	t.events.Record(spoke.Event{Kind: "order-given", Upstream: upstream.ID, Detail: string(order.Kind) + " " + string(order.Version)})
	go t.sendOrder(t.candidacy, upstream, order, remaining)
}

// sendOrder sends an order and reports a failure to the task. A failure after the end of the
// candidacy is dropped, since it must not count against the fencing token of the next one.
func (t *swapTask) sendOrder(ctx context.Context, upstream spoke.Upstream, order spoke.Order, limit time.Duration) {
	orderCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := t.engine.Order(orderCtx, upstream.Address, order)
	if err == nil {
		return
	}
	t.log.WithError(err).WithField("upstream", upstream.ID).Warn("upstream did not accept the order")
	t.events.Record(spoke.Event{Kind: "order-failed", Upstream: upstream.ID, Detail: err.Error()})
	select {
	case t.failures <- swap.OrderFailed{Upstream: upstream.ID, StaleFence: errors.Is(err, spoke.ErrStaleFence)}:
	case <-ctx.Done():
	}
}

// dropExpired removes the pauses that expired because they were not renewed.
func (t *swapTask) dropExpired() {
	now := t.timer.Now()
	maps.DeleteFunc(t.paused, func(_ spoke.UpstreamID, until time.Time) bool { return now.After(until) })
	t.publish()
}

func (t *swapTask) publish() {
	paused := maps.Clone(t.paused)
	t.published.Store(&paused)
}
