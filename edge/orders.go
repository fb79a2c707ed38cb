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
	"magnoliaspoke.example/spoke/reach"
	"magnoliaspoke.example/spoke/swap"
)

const (
	// ordersTTL is short, so that another host takes over soon after the holder has died.
	ordersTTL = time.Second
	// orderTimeout is the time within which an order must be accepted.
	orderTimeout = 400 * time.Millisecond
	// maxOrderTransit is the longest time that an accepted order is assumed to have been under way.
	maxOrderTransit = 200 * time.Millisecond
	// minConcurrentLoads and concurrentLoadsDivisor determine how many engines load weights at the
	// same time: a fifth of the engines, but at least two. More of them slow each other down.
	minConcurrentLoads     = 2
	concurrentLoadsDivisor = 5
	// drainNotice is the time within which the other hosts are notified that an engine takes
	// no calls.
	drainNotice = 60 * time.Millisecond
	// loadTimeout covers the runs that an engine ends first and the loading itself.
	loadTimeout = 4 * time.Second
	// ordersInterval is the interval at which a rollout is checked.
	ordersInterval = 100 * time.Millisecond
	// engineReportInterval is the interval at which the reports of engines without a pending order
	// are read.
	engineReportInterval = 250 * time.Millisecond
	// maxReportLag is the maximum age of an engine report when it arrives.
	maxReportLag = 200 * time.Millisecond
	// orderEffectTimeout is the time after which an order without effect is sent again.
	orderEffectTimeout = 900 * time.Millisecond
	// orderAttempts is the number of orders without effect after which an engine gets no further
	// orders for orderRetryPause.
	orderAttempts   = 6
	orderRetryPause = 2 * time.Second
)

type (
	// directoryUpdate is a change of the directory that concerns rollouts.
	directoryUpdate struct{ change spoke.DirectoryChange }

	// reportResult is the report of an engine, or the error of reading it.
	reportResult struct {
		upstream spoke.UpstreamID
		report   spoke.EngineReport
		err      error
	}

	orderResult struct {
		upstream spoke.UpstreamID
		err      error
	}

	// pendingOrder is an order that has shown no effect yet.
	pendingOrder struct {
		at time.Time
		// expectedOrders is the number of orders that the engine had accepted before this one.
		expectedOrders int64
	}

	// orders is the task that orders engines to load the wanted weights while this host holds the
	// orders lease.
	orders struct {
		host spoke.HostID
		// pause is the minimum time between the last order of a lease holder and the first of the next.
		pause      time.Duration
		control    spoke.EngineControl
		keeper     *lease.Keeper
		leaseTimer spoke.Timer
		timer      spoke.Timer
		planner    *planner
		ways       *ways
		log        logrus.FieldLogger
		reconciler *swap.Reconciler
		in         chan any

		wanted         map[spoke.ModelName]spoke.WeightVersion
		upstreams      map[spoke.UpstreamID]spoke.ListedUpstream
		reports        map[spoke.UpstreamID]spoke.EngineReport
		reportAskedAt  map[spoke.UpstreamID]time.Time
		reportInFlight map[spoke.UpstreamID]bool
		pending        map[spoke.UpstreamID]pendingOrder
		paths          enginePaths
		bypass         reach.Bypass
		// wayCheckedAt holds the time at which the way to an engine that gave no report was last checked, wayChecks the
		// checks that run.
		wayCheckedAt map[spoke.UpstreamID]time.Time
		wayChecks    chan struct{}
		held         bool
		fence        spoke.FencingToken
	}
)

func newOrders(host spoke.HostID, pause time.Duration, deps Dependencies, keeper *lease.Keeper, p *planner, w *ways) *orders {
	return &orders{
		host: host, pause: pause, control: deps.Control, keeper: keeper, leaseTimer: deps.LeaseTimer, timer: deps.Timer,
		planner: p, ways: w, log: deps.Log,
		reconciler: swap.NewReconciler(
			swap.WithMaxConcurrent(minConcurrentLoads), swap.WithOrderDeadline(orderTimeout), swap.WithDrain(drainNotice, drainNotice),
			swap.WithLoadTimeout(loadTimeout), swap.WithAttempts(orderAttempts, orderRetryPause), swap.WithVersionOrder(compareVersions),
		),
		in:             make(chan any, queueLength),
		wanted:         make(map[spoke.ModelName]spoke.WeightVersion),
		upstreams:      make(map[spoke.UpstreamID]spoke.ListedUpstream),
		reports:        make(map[spoke.UpstreamID]spoke.EngineReport),
		reportAskedAt:  make(map[spoke.UpstreamID]time.Time),
		reportInFlight: make(map[spoke.UpstreamID]bool),
		pending:        make(map[spoke.UpstreamID]pendingOrder),
		paths:          newEnginePaths(),
		wayCheckedAt:   make(map[spoke.UpstreamID]time.Time),
		wayChecks:      make(chan struct{}, maxWayChecks),
	}
}

// run orders engines to load the wanted weights until ctx ends.
func (o *orders) run(ctx context.Context) error {
	return runTask(ctx, o.timer, ordersInterval, o.in, o.handle, o.step)
}

func (o *orders) handle(message any) {
	switch m := message.(type) {
	case directoryUpdate:
		o.applyChange(m.change)
	case reportResult:
		delete(o.reportInFlight, m.upstream)
		o.handleReport(m)
	case orderResult:
		o.handleOrderResult(m)
	}
}

func (o *orders) applyChange(change spoke.DirectoryChange) {
	for _, wanted := range change.Weights {
		o.wanted[wanted.Model] = max(o.wanted[wanted.Model], wanted.Version)
	}
	before := o.upstreams
	if change.IsSnapshot && !change.KeepsUnlisted {
		o.upstreams = make(map[spoke.UpstreamID]spoke.ListedUpstream)
	}
	for _, listed := range change.Upstreams {
		if previous, ok := before[listed.ID]; ok && !previous.Started.Equal(listed.Started) {
			delete(o.reports, listed.ID)
			delete(o.pending, listed.ID)
		}
		o.upstreams[listed.ID] = listed
	}
	for _, id := range change.RemovedUpstreams {
		delete(o.upstreams, id)
		delete(o.reports, id)
		delete(o.pending, id)
		delete(o.wayCheckedAt, id)
	}
}

func (o *orders) handleReport(m reportResult) {
	o.paths.observe(m.upstream, o.reportAskedAt[m.upstream], m.err == nil)
	if m.err != nil {
		o.log.WithError(m.err).WithField("upstream", m.upstream).Info("engine report could not be read")
		o.checkWay(m.upstream)
		return
	}
	if _, ok := o.upstreams[m.upstream]; !ok {
		return
	}
	o.reports[m.upstream] = m.report
	for model, version := range m.report.Weights {
		seen := spoke.ServedWeights{Model: model, Version: version}
		o.planner.in <- schedulerMessage{message: place.ObserveWeights{Upstream: m.upstream, Weights: seen}}
	}
	order, ok := o.pending[m.upstream]
	if !ok {
		return
	}
	hasEffect := m.report.HasOrder || m.report.Orders != order.expectedOrders
	if !hasEffect && o.timer.Now().Sub(order.at) > orderEffectTimeout {
		delete(o.pending, m.upstream)
		o.log.WithField("upstream", m.upstream).Warn("order had no effect, sending it again")
		o.execute(context.Background(), o.reconciler.Handle(o.timer.Now(), swap.OrderFailed{Upstream: m.upstream}))
	}
}

func (o *orders) handleOrderResult(m orderResult) {
	log := o.log.WithField("upstream", m.upstream)
	if m.err == nil || errors.Is(m.err, spoke.ErrStaleFence) || errors.Is(m.err, spoke.ErrBusy) || errors.Is(m.err, spoke.ErrNotRun) {
		o.paths.observe(m.upstream, o.timer.Now(), true)
	}
	switch {
	case m.err == nil:
		log.Info("order accepted")
	case errors.Is(m.err, spoke.ErrStaleFence):
		log.WithError(m.err).Warn("order refused")
		o.execute(context.Background(), o.reconciler.Handle(o.timer.Now(), swap.OrderFailed{Upstream: m.upstream, StaleFence: true}))
	default:
		// The order may have been accepted; the next reports show whether it was.
		log.WithError(m.err).Warn("order unanswered or refused")
	}
}

// step observes the engines and sends orders while the lease is held.
func (o *orders) step(ctx context.Context) {
	state := o.lease()
	isNew := state.Held && state.Fence != o.fence
	if state.Held != o.held || isNew {
		o.held, o.fence = state.Held, state.Fence
		o.log.WithFields(logrus.Fields{"held": state.Held, "fence": state.Fence}).Info("orders lease changed")
	}
	if o.isBypassed() {
		o.leaveBypassed(state.Held)
		return
	}
	if !state.Held {
		return
	}
	models, outdated := o.models()
	if isNew || len(outdated) == 0 {
		o.paths = newEnginePaths()
	}
	if o.paths.areLost(o.timer.Now()) {
		o.yieldLease()
		return
	}
	if len(outdated) > 0 {
		o.requestReports(ctx, append(outdated, o.paths.witnesses(o.listed(), outdated)...))
	}
	// A new lease is observed at once, since the pause before its first order starts then.
	if len(outdated) == 0 && len(o.pending) == 0 && !isNew {
		return
	}
	o.reconciler.SetMaxConcurrent(max(minConcurrentLoads, len(o.listed())/concurrentLoadsDivisor))
	o.execute(ctx, o.reconciler.Handle(o.timer.Now(), swap.Observation{
		Models: models, Upstreams: o.listed(), Reports: o.loadReports(), Lease: state,
	}))
}

func (o *orders) lease() swap.LeaseState {
	now := o.leaseTimer.Now()
	held, ok := o.keeper.Held(now, 0)
	if !ok {
		return swap.LeaseState{}
	}
	// The orders of two successive holders must be separated by the pause. The previous holder sent its last order at
	// least orderTimeout before its lease expired, which is also the time for which the reconciler waits before the pause.
	return swap.LeaseState{Held: true, Fence: held.Fence, Remaining: held.Expires.Sub(now), Pause: o.pause - 2*orderTimeout + maxOrderTransit}
}

// yieldLease leaves the orders to a host that reaches the engines. They are never passed on through another host, since
// an engine takes orders from two machines for those of two holders.
func (o *orders) yieldLease() {
	o.log.WithField("engines", len(o.paths.unanswered)).Warn("orders lease is left to others: no engine answers")
	o.paths = newEnginePaths()
	o.keeper.Yield(o.leaseTimer.Now().Add(leaseYield))
}

func (o *orders) send(ctx context.Context, message any) { sendTo(ctx, o.in, message) }

func (o *orders) execute(ctx context.Context, actions []swap.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case swap.TakeOutOfService:
			o.planner.in <- schedulerMessage{message: place.Pause{Upstream: a.Upstream, For: min(a.Until.Sub(o.timer.Now()), loadTimeout)}}
		case swap.ReturnToService:
			delete(o.pending, a.Upstream)
			o.log.WithField("upstream", a.Upstream).Info("engine takes calls again")
			o.planner.in <- schedulerMessage{message: place.Pause{Upstream: a.Upstream}}
		case swap.SendOrder:
			o.sendOrder(ctx, a)
		}
	}
}

func (o *orders) sendOrder(ctx context.Context, a swap.SendOrder) {
	version, err := strconv.ParseInt(string(a.Order.Version), 10, 64)
	if err != nil {
		o.log.WithError(err).Error("order has no valid weight version")
		return
	}
	listed := o.upstreams[a.Upstream]
	order := spoke.WeightOrder{
		Upstream: a.Upstream, Model: a.Order.Model, Version: spoke.WeightVersion(version),
		Holder: o.host, Fence: a.Order.Fence, ExpectedOrders: o.reports[a.Upstream].Orders, KeepsRuns: true,
	}
	o.pending[a.Upstream] = pendingOrder{at: o.timer.Now(), expectedOrders: order.ExpectedOrders}
	o.log.WithFields(logrus.Fields{
		"upstream": a.Upstream, "model": order.Model, "version": version, "fence": order.Fence, "after": order.ExpectedOrders,
	}).Info("order given")
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		o.send(ctx, orderResult{upstream: a.Upstream, err: o.control.LoadWeights(callCtx, listed.Address, order)})
	}()
}
