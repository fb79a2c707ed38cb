package swap_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

const (
	ttl           = 5 * time.Second
	orderDeadline = 2 * time.Second
	swapTime      = 300 * time.Millisecond
	stepTime      = 250 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pendingLoad is an order that an engine is carrying out.
type pendingLoad struct {
	ready   time.Time
	version spoke.ModelVersion
}

// fleet is a simple model of engines that apply an order after swapTime.
type fleet struct {
	now           time.Time
	reconciler    *swap.Reconciler
	upstreams     []spoke.Upstream
	versions      map[spoke.UpstreamID]spoke.ModelVersion
	pending       map[spoke.UpstreamID]pendingLoad
	outOfService  map[spoke.UpstreamID]time.Time
	unreachable   map[spoke.UpstreamID]bool
	want          spoke.ModelVersion
	lease         swap.LeaseState
	leaseSince    time.Time
	urgentWaiting int
	ignoresOrders bool
	orderCount    int
	// reportLag is the age of the reports when they arrive.
	reportLag time.Duration
}

func newFleet(n int, checks func(i int) bool, options ...swap.Option) *fleet {
	f := &fleet{
		now: epoch, reconciler: swap.NewReconciler(append(options, swap.WithOrderDeadline(orderDeadline))...), want: "v2",
		versions: map[spoke.UpstreamID]spoke.ModelVersion{}, pending: map[spoke.UpstreamID]pendingLoad{},
		outOfService: map[spoke.UpstreamID]time.Time{}, unreachable: map[spoke.UpstreamID]bool{},
	}
	for i := range n {
		id := spoke.UpstreamID(fmt.Sprint("u", i))
		f.upstreams = append(f.upstreams, spoke.Upstream{ID: id, Service: "s", State: spoke.UpstreamServing, ChecksFencing: checks(i)})
		f.versions[id] = "v1"
	}
	f.acquireLease(1)
	return f
}

func (f *fleet) acquireLease(fence spoke.FencingToken) {
	f.lease = swap.LeaseState{Held: true, Fence: fence, Remaining: ttl, TTL: ttl}
	f.leaseSince = f.now
}

// step advances the clock by stepTime and returns a description of the first violated rule, if any.
func (f *fleet) step() string {
	f.now = f.now.Add(stepTime)
	reports := map[spoke.UpstreamID]spoke.LoadReport{}
	for _, u := range f.upstreams {
		if order, ok := f.pending[u.ID]; ok && !f.now.Before(order.ready) {
			f.versions[u.ID] = order.version
			delete(f.pending, u.ID)
		}
		asOf := f.now.Add(-f.reportLag)
		if f.unreachable[u.ID] {
			asOf = epoch.Add(-time.Hour)
		}
		reports[u.ID] = spoke.LoadReport{Versions: map[spoke.ModelName]spoke.ModelVersion{"m": f.versions[u.ID]}, AsOf: asOf}
	}
	before := len(f.outOfService)
	for _, action := range f.reconciler.Handle(f.now, swap.Observation{
		Models:    []spoke.Model{{Name: "m", Service: "s", Version: f.want}},
		Upstreams: f.upstreams, Reports: reports, Lease: f.lease,
		UrgentWaiting: map[spoke.ServiceName]int{"s": f.urgentWaiting},
	}) {
		if violation := f.apply(action); violation != "" {
			return violation
		}
	}
	return f.checkRules(before)
}

func (f *fleet) apply(action swap.Action) string {
	switch a := action.(type) {
	case swap.TakeOutOfService:
		f.outOfService[a.Upstream] = a.Until
	case swap.ReturnToService:
		delete(f.outOfService, a.Upstream)
	case swap.SendOrder:
		return f.checkAndApplyOrder(a)
	}
	return ""
}

func (f *fleet) checkAndApplyOrder(a swap.SendOrder) string {
	f.orderCount++
	i := slices.IndexFunc(f.upstreams, func(u spoke.Upstream) bool { return u.ID == a.Upstream })
	switch {
	case !f.lease.Held || f.lease.Remaining <= orderDeadline:
		return fmt.Sprintf("order with lease %+v", f.lease)
	case a.Order.Fence != f.lease.Fence || a.Order.Deadline.After(f.now.Add(f.lease.Remaining)):
		return fmt.Sprintf("order %+v with lease %+v at %s", a.Order, f.lease, f.now)
	case !f.upstreams[i].ChecksFencing && f.now.Sub(f.leaseSince) < ttl+orderDeadline+f.lease.Pause:
		return fmt.Sprintf("order to %s, which checks no fencing token, only %s after the lease began", a.Upstream, f.now.Sub(f.leaseSince))
	case f.outOfService[a.Upstream].IsZero():
		return fmt.Sprintf("order to %s, which is in service", a.Upstream)
	case a.Order.Version != f.want:
		return fmt.Sprintf("order for %s, want %s", a.Order.Version, f.want)
	}
	if !f.ignoresOrders {
		f.pending[a.Upstream] = pendingLoad{f.now.Add(swapTime), a.Order.Version}
	}
	return ""
}

func (f *fleet) checkRules(outBefore int) string {
	serving := 0
	for _, u := range f.upstreams {
		if !f.unreachable[u.ID] && f.outOfService[u.ID].IsZero() {
			serving++
		}
	}
	switch {
	case len(f.outOfService) > 2:
		return fmt.Sprintf("%d swaps at once", len(f.outOfService))
	case len(f.outOfService) > outBefore && len(f.upstreams) > 1 && 2*serving < len(f.upstreams):
		return fmt.Sprintf("only %d of %d upstreams in service", serving, len(f.upstreams))
	}
	for id, until := range f.outOfService {
		if until.Before(f.now) {
			return fmt.Sprintf("out-of-service mark of %s expired before its swap ended", id)
		}
	}
	return ""
}

func (f *fleet) isDone() bool {
	for _, version := range f.versions {
		if version != f.want {
			return false
		}
	}
	return len(f.outOfService) == 0
}

// finish steps until all upstreams serve the wanted version.
func (f *fleet) finish(limit time.Duration) (time.Duration, string) {
	start := f.now
	for !f.isDone() && f.now.Sub(start) < limit {
		if violation := f.step(); violation != "" {
			return 0, violation
		}
	}
	if !f.isDone() {
		return 0, fmt.Sprintf("not done after %s: %v, out %v", limit, f.versions, f.outOfService)
	}
	return f.now.Sub(start), ""
}

// Guards against unsafe orders, too many concurrent swaps, too few upstreams in service and
// rollouts that never finish, while leases are lost and acquired, upstreams stop reporting or
// ignore orders, and versions change.
func TestReconcilerKeepsRulesOnModelFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Uint64().Draw(t, "checks fencing")
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "upstreams"), func(i int) bool { return checks>>i&1 == 1 })
		pick := func(t *rapid.T) spoke.UpstreamID { return rapid.SampledFrom(f.upstreams).Draw(t, "upstream").ID }
		steps := func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				if violation := f.step(); violation != "" {
					t.Fatal(violation)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":          steps,
			"step more":     steps,
			"lose lease":    func(*rapid.T) { f.lease.Held = false },
			"shorten lease": func(*rapid.T) { f.lease.Remaining = time.Second },
			"take lease":    func(*rapid.T) { f.acquireLease(f.lease.Fence + 1) },
			"new ticket":    func(*rapid.T) { f.want += "'" },
			"revert":        func(t *rapid.T) { f.versions[pick(t)] = "v0" },
			"silence":       func(t *rapid.T) { id := pick(t); f.unreachable[id] = !f.unreachable[id] },
			"ignore orders": func(*rapid.T) { f.ignoresOrders = !f.ignoresOrders },
			"urgent":        func(t *rapid.T) { f.urgentWaiting = rapid.IntRange(0, 2).Draw(t, "urgent") },
		})
		f.ignoresOrders, f.unreachable = false, map[spoke.UpstreamID]bool{}
		f.acquireLease(f.lease.Fence + 1)
		if _, violation := f.finish(10 * time.Minute); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Guards against swaps that ignore waiting urgent work, and against urgent work that delays a
// rollout without limit.
func TestUrgentWorkDelaysSwapsUpToLimit(t *testing.T) {
	checks := func(int) bool { return true }
	unloaded, violation := newFleet(9, checks).finish(10 * time.Minute)
	assert.Equal(t, violation, "")
	busy := newFleet(9, checks)
	busy.urgentWaiting = 1
	for range 100 {
		assert.Equal(t, busy.step(), "")
	}
	assert.Equal(t, busy.orderCount, 0, "25 s with urgent work")
	delayed, violation := busy.finish(10 * time.Minute)
	assert.Equal(t, violation, "")
	assert.Assert(t, unloaded < time.Minute && delayed > 4*unloaded, "%s without urgent work, %s with it", unloaded, delayed)
}

// Guards against further orders with a fencing token that an upstream has rejected as stale.
func TestStaleFenceStopsOrders(t *testing.T) {
	f := newFleet(4, func(int) bool { return true })
	f.ignoresOrders = true
	for f.orderCount == 0 {
		assert.Equal(t, f.step(), "")
	}
	ordersBefore := f.orderCount
	f.reconciler.Handle(f.now, swap.OrderFailed{Upstream: "u0", StaleFence: true})
	for range 400 {
		assert.Equal(t, f.step(), "")
	}
	assert.Equal(t, f.orderCount, ordersBefore)
	assert.Equal(t, len(f.outOfService), 0, "upstreams still out of service")
}

// Guards against upstreams that stay out of service when the lease is lost before their order.
func TestLostLeaseReturnsUpstreamsToService(t *testing.T) {
	f := newFleet(4, func(int) bool { return true })
	assert.Equal(t, f.step(), "")
	assert.Equal(t, len(f.outOfService), 2)
	f.lease.Held = false
	assert.Equal(t, f.step(), "")
	assert.Equal(t, len(f.outOfService), 0)
}

// Guards against engines that stay on older weights longer than the pause between two holders requires, since the next one
// reads their reports and takes them out of service only once it is over.
func TestFirstOrderIsSentAtTheEndOfThePause(t *testing.T) {
	const pause = 3 * time.Second
	f := newFleet(3, func(int) bool { return false }, swap.WithDrain(500*time.Millisecond, 500*time.Millisecond))
	f.lease.Pause, f.reportLag = pause, time.Second
	for f.orderCount == 0 {
		assert.Equal(t, f.step(), "")
	}
	// The reconciler observes the lease in its first step.
	assert.Equal(t, f.now.Sub(f.leaseSince), stepTime+ttl+orderDeadline+pause)
}
