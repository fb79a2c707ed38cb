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
	// observePeriod spaces the load reports that the holder reads of every engine
	// while versions differ, and restPeriod while none does.
	observePeriod = 500 * time.Millisecond
	restPeriod    = 5 * time.Second
	// observeParallel bounds the reports read at the same time.
	observeParallel = 16
	observeTimeout  = time.Second
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
		reports    map[spoke.UpstreamID]spoke.LoadReport
		observed   time.Time
		isBusy     bool
		failed     chan swap.OrderFailed
		out        map[spoke.UpstreamID]time.Time
		shared     atomic.Pointer[[]spoke.UpstreamID]
	}

	observation struct {
		id     spoke.UpstreamID
		report spoke.LoadReport
		err    error
	}
)

// OutOfService lists the upstreams that wait for their swap.
func (t *swapTask) OutOfService() []spoke.UpstreamID {
	if ids := t.shared.Load(); ids != nil {
		return slices.Clone(*ids)
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
	if state.Held {
		t.observe(ctx, manifest)
	}
	t.apply(t.reconciler.Handle(t.timer.Now(), swap.Observe{
		Models: manifest.Models(), Upstreams: engines(manifest), Reports: t.reports,
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
	t.reports = make(map[spoke.UpstreamID]spoke.LoadReport)
	t.out = make(map[spoke.UpstreamID]time.Time)
	t.share()
}

func (t *swapTask) leaseState() swap.LeaseState {
	now := t.timer.Now()
	held, ok := t.keeper.Held(now, 0)
	return swap.LeaseState{Held: ok, Fence: held.Fence, Remaining: held.Expires.Sub(now), TTL: ordersTTL}
}

// observe reads what every engine says of itself, as the versions that count
// are those that the engines report.
func (t *swapTask) observe(ctx context.Context, manifest *spoke.Manifest) {
	now := t.timer.Now()
	period := restPeriod
	if t.isBusy {
		period = observePeriod
	}
	if now.Sub(t.observed) < period {
		return
	}
	t.observed = now
	upstreams := engines(manifest)
	results := t.readReports(ctx, upstreams)
	t.isBusy = len(t.out) > 0
	clear(t.reports)
	for _, result := range results {
		if result.err != nil {
			continue
		}
		// The reporter's clock may differ; the time of the read is an upper bound.
		result.report.AsOf = now
		t.reports[result.id] = result.report
		t.isBusy = t.isBusy || differs(manifest, result.report)
	}
}

func (t *swapTask) readReports(ctx context.Context, upstreams []spoke.Upstream) []observation {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	results := make(chan observation, len(upstreams))
	slots := make(chan struct{}, observeParallel)
	for _, upstream := range upstreams {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			report, err := t.engine.Load(ctx, upstream.Address)
			results <- observation{upstream.ID, report, err}
		}()
	}
	all := make([]observation, 0, len(upstreams))
	for range upstreams {
		all = append(all, <-results)
	}
	return all
}

func differs(manifest *spoke.Manifest, report spoke.LoadReport) bool {
	for name, version := range report.Versions {
		if model, ok := manifest.Model(name); ok && model.Version != version {
			return true
		}
	}
	return false
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
		case swap.TakeOut:
			if _, isOut := t.out[a.Upstream]; !isOut {
				t.events.Record(spoke.Event{Kind: "swap-out-of-service", Upstream: a.Upstream})
			}
			t.out[a.Upstream] = a.Until
			t.isBusy = true
		case swap.PutBack:
			t.events.Record(spoke.Event{Kind: "swap-back-in-service", Upstream: a.Upstream})
			delete(t.out, a.Upstream)
		case swap.GiveOrder:
			t.give(a)
		}
	}
	t.share()
}

func (t *swapTask) give(action swap.GiveOrder) {
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
	ids := slices.Sorted(maps.Keys(t.out))
	t.shared.Store(&ids)
}
