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
	// ordersLease is held by the one host that gives orders to upstreams, because
	// all upstreams load their weights from one store.
	ordersLease spoke.LeaseName = "orders"
	// ordersTTL bounds how long orders rest after the death of the holder.
	ordersTTL = 6 * time.Second

	swapPeriod = 250 * time.Millisecond
	// urgentWait is the predicted wait of the most urgent rank that counts as waiting.
	urgentWait = 200 * time.Millisecond
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
		// turn ends when the task stops competing for the lease.
		turn context.Context
		// stopKeeper ends the keeper and returns when it has given the lease up.
		stopKeeper func()
		observer   *observer
		failed     chan swap.OrderFailed
		out        map[spoke.UpstreamID]time.Time
		shared     atomic.Pointer[map[spoke.UpstreamID]time.Time]
	}
)

// Paused returns the upstreams that wait for their swap, each with the end of its mark.
func (t *swapTask) Paused() map[spoke.UpstreamID]time.Time {
	if paused := t.shared.Load(); paused != nil {
		return *paused
	}
	return nil
}

func (t *swapTask) run(ctx context.Context) error {
	t.reset()
	t.failed = make(chan swap.OrderFailed)
	defer t.endTurn()
	ticks := t.timer.Every(swapPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.tick(ctx)
		case failure := <-t.failed:
			t.apply(t.reconciler.Handle(t.timer.Now(), failure))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *swapTask) tick(ctx context.Context) {
	t.compete(ctx)
	manifest := t.manifest.Current()
	if t.keeper == nil || manifest == nil {
		return
	}
	state := t.leaseState()
	if !state.Held && len(t.out) == 0 {
		return
	}
	if state.Held {
		t.observer.observe(ctx, t.timer.Now(), manifest, t.out)
	}
	t.apply(t.reconciler.Handle(t.timer.Now(), swap.Observation{
		Models: manifest.Models(), Upstreams: engines(manifest), Reports: t.observer.reports,
		Lease: state, UrgentWaiting: t.urgentWaiting(manifest),
	}))
	t.expire()
}

// compete lets only the watchers of the data centres compete for the lease,
// because each competitor costs the platform about one call a second.
func (t *swapTask) compete(ctx context.Context) {
	switch isWatcher := t.isWatcher(); {
	case isWatcher && t.keeper == nil:
		t.beginTurn(ctx)
	case !isWatcher && t.keeper != nil:
		t.endTurn()
	}
}

func (t *swapTask) beginTurn(ctx context.Context) {
	turn, cancel := context.WithCancel(ctx)
	keeper := lease.New(t.leases, ordersLease, t.holder, ordersTTL, lease.WithTimer(t.timer))
	released := make(chan struct{})
	go func() {
		defer close(released)
		_ = keeper.Run(turn)
	}()
	t.keeper, t.turn = keeper, turn
	t.stopKeeper = func() {
		cancel()
		<-released
	}
}

// endTurn gives the lease up and forgets the swaps: an upstream that is back in service
// must be taken out again before its next order.
func (t *swapTask) endTurn() {
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
	t.out = make(map[spoke.UpstreamID]time.Time)
	t.share()
}

func (t *swapTask) leaseState() swap.LeaseState {
	now := t.timer.Now()
	held, ok := t.keeper.Held(now, 0)
	return swap.LeaseState{Held: ok, Fence: held.Fence, Remaining: held.Expires.Sub(now), TTL: ordersTTL}
}

func engines(manifest *spoke.Manifest) []spoke.Upstream {
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
			if view.Load.Waits[ranks[0].Name] > urgentWait {
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
			if _, isOut := t.out[a.Upstream]; !isOut {
				t.events.Record(spoke.Event{Kind: "swap-out-of-service", Upstream: a.Upstream})
			}
			t.out[a.Upstream] = a.Until
		case swap.ReturnToService:
			t.events.Record(spoke.Event{Kind: "swap-back-in-service", Upstream: a.Upstream})
			delete(t.out, a.Upstream)
		case swap.SendOrder:
			t.give(a)
		}
	}
	t.share()
}

func (t *swapTask) give(action swap.SendOrder) {
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
	go t.send(t.turn, upstream, order, remaining)
}

// send gives an order; the end of a turn drops its failure, which must not count
// against the fence of the next turn.
func (t *swapTask) send(ctx context.Context, upstream spoke.Upstream, order spoke.Order, limit time.Duration) {
	orderCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := t.engine.Order(orderCtx, upstream.Address, order)
	if err == nil {
		return
	}
	t.log.WithError(err).WithField("upstream", upstream.ID).Warn("order not taken")
	t.events.Record(spoke.Event{Kind: "order-failed", Upstream: upstream.ID, Detail: err.Error()})
	select {
	case t.failed <- swap.OrderFailed{Upstream: upstream.ID, StaleFence: errors.Is(err, spoke.ErrStaleFence)}:
	case <-ctx.Done():
	}
}

// expire ends the marks that were not renewed.
func (t *swapTask) expire() {
	now := t.timer.Now()
	maps.DeleteFunc(t.out, func(_ spoke.UpstreamID, until time.Time) bool { return now.After(until) })
	t.share()
}

func (t *swapTask) share() {
	paused := maps.Clone(t.out)
	t.shared.Store(&paused)
}
