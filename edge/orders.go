package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/lease"
	"magnoliaspoke.example/spoke/place"
	"magnoliaspoke.example/spoke/swap"
)

const (
	// ordersTTL is short, so that another host takes over soon after the holder's death.
	ordersTTL = time.Second
	// orderTime is the time that an order may take to be accepted.
	orderTime = 400 * time.Millisecond
	// leastAtOnce and shareAtOnce are the engines that load weights at the same time: more of them
	// slow each other down.
	leastAtOnce = 2
	shareAtOnce = 5
	// swapNotice is the time in which the other hosts hear that an engine takes no calls.
	swapNotice = 60 * time.Millisecond
	// loadTime covers the runs that an engine ends first and the loading.
	loadTime = 4 * time.Second
	// ordersStep is the interval at which a roll-out is looked at.
	ordersStep = 100 * time.Millisecond
	// reportEvery is the interval at which engines without an order are asked for a report.
	reportEvery = 250 * time.Millisecond
	// reportLag is how old a report may be when it arrives.
	reportLag = 200 * time.Millisecond
	// unansweredAfter is the time after which an order that shows no effect is given again.
	unansweredAfter = 900 * time.Millisecond
	orderAttempts   = 6
	orderPause      = 2 * time.Second
)

type (
	// directoryNews is a change of the directory that concerns roll-outs.
	directoryNews struct{ change spoke.DirectoryChange }

	// reportNews is an engine's report, or none if it could not be read.
	reportNews struct {
		upstream spoke.UpstreamID
		report   spoke.EngineReport
		err      error
	}

	orderNews struct {
		upstream spoke.UpstreamID
		err      error
	}

	// given is an order whose effect is not seen yet.
	given struct {
		at    time.Time
		after int64
	}

	// orders is the task that brings engines to the wanted weights while this host holds the
	// orders lease.
	orders struct {
		host       spoke.HostID
		pause      time.Duration
		control    spoke.EngineControl
		keeper     *lease.Keeper
		clock      spoke.Timer
		timer      spoke.Timer
		planner    *planner
		log        logrus.FieldLogger
		reconciler *swap.Reconciler
		in         chan any

		wanted    map[spoke.ModelName]spoke.WeightVersion
		upstreams map[spoke.UpstreamID]spoke.ListedUpstream
		reports   map[spoke.UpstreamID]spoke.EngineReport
		asked     map[spoke.UpstreamID]time.Time
		asking    map[spoke.UpstreamID]bool
		given     map[spoke.UpstreamID]given
		held      bool
		fence     spoke.FencingToken
	}
)

func newOrders(host spoke.HostID, pause time.Duration, parts Dependencies, keeper *lease.Keeper, p *planner) *orders {
	return &orders{
		host: host, pause: pause, control: parts.Control, keeper: keeper, clock: parts.LeaseTimer, timer: parts.Timer,
		planner: p, log: parts.Log,
		reconciler: swap.NewReconciler(
			swap.WithMaxConcurrent(leastAtOnce), swap.WithOrderDeadline(orderTime), swap.WithDrain(swapNotice, swapNotice),
			swap.WithLoadTimeout(loadTime), swap.WithAttempts(orderAttempts, orderPause), swap.WithVersionOrder(compareVersions),
		),
		in:        make(chan any, planQueue),
		wanted:    make(map[spoke.ModelName]spoke.WeightVersion),
		upstreams: make(map[spoke.UpstreamID]spoke.ListedUpstream),
		reports:   make(map[spoke.UpstreamID]spoke.EngineReport),
		asked:     make(map[spoke.UpstreamID]time.Time),
		asking:    make(map[spoke.UpstreamID]bool),
		given:     make(map[spoke.UpstreamID]given),
	}
}

// run brings engines to the wanted weights until ctx ends.
func (o *orders) run(ctx context.Context) error {
	return runTask(ctx, o.timer, ordersStep, o.in, o.take, o.step)
}

func (o *orders) take(message any) {
	switch m := message.(type) {
	case directoryNews:
		o.takeChange(m.change)
	case reportNews:
		delete(o.asking, m.upstream)
		o.takeReport(m)
	case orderNews:
		o.takeOrder(m)
	}
}

func (o *orders) takeChange(change spoke.DirectoryChange) {
	for _, wanted := range change.Weights {
		o.wanted[wanted.Model] = max(o.wanted[wanted.Model], wanted.Version)
	}
	before := o.upstreams
	if change.IsSnapshot && !change.KeepsUnlistedUpstreams {
		o.upstreams = make(map[spoke.UpstreamID]spoke.ListedUpstream)
	}
	for _, listed := range change.Upstreams {
		if known, ok := before[listed.ID]; ok && !known.Started.Equal(listed.Started) {
			delete(o.reports, listed.ID)
			delete(o.given, listed.ID)
		}
		o.upstreams[listed.ID] = listed
	}
	for _, id := range change.RemovedUpstreams {
		delete(o.upstreams, id)
		delete(o.reports, id)
		delete(o.given, id)
	}
}

func (o *orders) takeReport(m reportNews) {
	if m.err != nil {
		o.log.WithError(m.err).WithField("upstream", m.upstream).Info("no report of an engine")
		return
	}
	if _, ok := o.upstreams[m.upstream]; !ok {
		return
	}
	o.reports[m.upstream] = m.report
	for model, version := range m.report.Weights {
		seen := spoke.ListedWeights{Model: model, Version: version}
		o.planner.in <- planned{message: place.ObserveWeights{Upstream: m.upstream, Weights: seen}}
	}
	order, ok := o.given[m.upstream]
	if !ok {
		return
	}
	hasEffect := m.report.HasOrder || m.report.Orders != order.after
	if !hasEffect && o.timer.Now().Sub(order.at) > unansweredAfter {
		delete(o.given, m.upstream)
		o.log.WithField("upstream", m.upstream).Warn("order had no effect, giving it again")
		o.apply(context.Background(), o.reconciler.Handle(o.timer.Now(), swap.OrderFailed{Upstream: m.upstream}))
	}
}

func (o *orders) takeOrder(m orderNews) {
	log := o.log.WithField("upstream", m.upstream)
	switch {
	case m.err == nil:
		log.Info("order accepted")
	case errors.Is(m.err, spoke.ErrStaleFence):
		log.WithError(m.err).Warn("order refused")
		o.apply(context.Background(), o.reconciler.Handle(o.timer.Now(), swap.OrderFailed{Upstream: m.upstream, StaleFence: true}))
	default:
		// The order may have been accepted; the next reports tell.
		log.WithError(m.err).Warn("order unanswered or refused")
	}
}

// step observes the engines and gives orders while the lease is held.
func (o *orders) step(ctx context.Context) {
	state := o.lease()
	isNew := state.Held && state.Fence != o.fence
	if state.Held != o.held || isNew {
		o.held, o.fence = state.Held, state.Fence
		o.log.WithFields(logrus.Fields{"held": state.Held, "fence": state.Fence}).Info("orders lease changed")
	}
	if !state.Held {
		return
	}
	models, behind := o.models()
	if len(behind) > 0 {
		o.askReports(ctx, behind)
	}
	// A new lease is observed at once, since the pause before its first order counts from there.
	if len(behind) == 0 && len(o.given) == 0 && !isNew {
		return
	}
	o.reconciler.SetMaxConcurrent(max(leastAtOnce, len(o.listed())/shareAtOnce))
	o.apply(ctx, o.reconciler.Handle(o.timer.Now(), swap.Observation{
		Models: models, Upstreams: o.listed(), Reports: o.loadReports(), Lease: state,
	}))
}

func (o *orders) lease() swap.LeaseState {
	now := o.clock.Now()
	held, ok := o.keeper.Held(now, 0)
	if !ok {
		return swap.LeaseState{}
	}
	// The orders of two holders must lie apart by the pause. The last order of the holder before
	// was on its way for orderTime at most and given that long before the end of its lease.
	return swap.LeaseState{Held: true, Fence: held.Fence, Remaining: held.Expires.Sub(now), TTL: o.pause - 2*orderTime}
}

func (o *orders) send(ctx context.Context, message any) { sendTo(ctx, o.in, message) }

func (o *orders) apply(ctx context.Context, actions []swap.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case swap.TakeOutOfService:
			o.planner.in <- planned{message: place.Pause{Upstream: a.Upstream, For: min(a.Until.Sub(o.timer.Now()), loadTime)}}
		case swap.ReturnToService:
			delete(o.given, a.Upstream)
			o.log.WithField("upstream", a.Upstream).Info("engine takes calls again")
			o.planner.in <- planned{message: place.Pause{Upstream: a.Upstream}}
		case swap.SendOrder:
			o.give(ctx, a)
		}
	}
}

func (o *orders) give(ctx context.Context, a swap.SendOrder) {
	version, err := strconv.ParseInt(string(a.Order.Version), 10, 64)
	if err != nil {
		o.log.WithError(err).Error("order names no weight version")
		return
	}
	listed := o.upstreams[a.Upstream]
	order := spoke.WeightOrder{
		Upstream: a.Upstream, Model: a.Order.Model, Version: spoke.WeightVersion(version),
		Holder: o.host, Fence: a.Order.Fence, ExpectedOrders: o.reports[a.Upstream].Orders, KeepsRuns: true,
	}
	o.given[a.Upstream] = given{at: o.timer.Now(), after: order.ExpectedOrders}
	o.log.WithFields(logrus.Fields{
		"upstream": a.Upstream, "model": order.Model, "version": version, "fence": order.Fence, "after": order.ExpectedOrders,
	}).Info("order given")
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		o.send(ctx, orderNews{upstream: a.Upstream, err: o.control.LoadWeights(callCtx, listed.Address, order)})
	}()
}
