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
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// load is an order that an engine carries out.
type load struct {
	ready   time.Time
	version spoke.ModelVersion
}

// fleet is a simple model of engines that obey orders after a swap time.
type fleet struct {
	now        time.Time
	reconciler *swap.Reconciler
	upstreams  []spoke.Upstream
	versions   map[spoke.UpstreamID]spoke.ModelVersion
	loading    map[spoke.UpstreamID]load
	out        map[spoke.UpstreamID]time.Time
	silent     map[spoke.UpstreamID]bool
	want       spoke.ModelVersion
	lease      swap.LeaseState
	since      time.Time
	urgent     int
	deaf       bool
	orders     int
}

func newFleet(n int, checks func(i int) bool, options ...swap.Option) *fleet {
	f := &fleet{
		now: epoch, reconciler: swap.NewReconciler(append(options, swap.WithOrderDeadline(orderDeadline))...), want: "v2",
		versions: map[spoke.UpstreamID]spoke.ModelVersion{}, loading: map[spoke.UpstreamID]load{},
		out: map[spoke.UpstreamID]time.Time{}, silent: map[spoke.UpstreamID]bool{},
	}
	for i := range n {
		id := spoke.UpstreamID(fmt.Sprint("u", i))
		f.upstreams = append(f.upstreams, spoke.Upstream{ID: id, Service: "s", State: spoke.UpstreamServing, ChecksFencing: checks(i)})
		f.versions[id] = "v1"
	}
	f.takeLease(1)
	return f
}

func (f *fleet) takeLease(fence spoke.FencingToken) {
	f.lease = swap.LeaseState{Held: true, Fence: fence, Remaining: ttl, TTL: ttl}
	f.since = f.now
}

// step lets 250 ms pass and returns what broke a rule, if anything.
func (f *fleet) step() string {
	f.now = f.now.Add(250 * time.Millisecond)
	reports := map[spoke.UpstreamID]spoke.LoadReport{}
	for _, u := range f.upstreams {
		if order, ok := f.loading[u.ID]; ok && !f.now.Before(order.ready) {
			f.versions[u.ID] = order.version
			delete(f.loading, u.ID)
		}
		as := f.now
		if f.silent[u.ID] {
			as = epoch.Add(-time.Hour)
		}
		reports[u.ID] = spoke.LoadReport{Versions: map[spoke.ModelName]spoke.ModelVersion{"m": f.versions[u.ID]}, AsOf: as}
	}
	before := len(f.out)
	for _, action := range f.reconciler.Handle(f.now, swap.Observation{
		Models:    []spoke.Model{{Name: "m", Service: "s", Version: f.want}},
		Upstreams: f.upstreams, Reports: reports, Lease: f.lease,
		UrgentWaiting: map[spoke.ServiceName]int{"s": f.urgent},
	}) {
		if fault := f.apply(action); fault != "" {
			return fault
		}
	}
	return f.fault(before)
}

func (f *fleet) apply(action swap.Action) string {
	switch a := action.(type) {
	case swap.TakeOutOfService:
		f.out[a.Upstream] = a.Until
	case swap.ReturnToService:
		delete(f.out, a.Upstream)
	case swap.SendOrder:
		return f.obey(a)
	}
	return ""
}

func (f *fleet) obey(a swap.SendOrder) string {
	f.orders++
	i := slices.IndexFunc(f.upstreams, func(u spoke.Upstream) bool { return u.ID == a.Upstream })
	switch {
	case !f.lease.Held || f.lease.Remaining <= orderDeadline:
		return fmt.Sprintf("order with lease %+v", f.lease)
	case a.Order.Fence != f.lease.Fence || a.Order.Deadline.After(f.now.Add(f.lease.Remaining)):
		return fmt.Sprintf("order %+v with lease %+v at %s", a.Order, f.lease, f.now)
	case !f.upstreams[i].ChecksFencing && f.now.Sub(f.since) < ttl+orderDeadline:
		return fmt.Sprintf("order to %s only %s after the lease began", a.Upstream, f.now.Sub(f.since))
	case f.out[a.Upstream].IsZero():
		return fmt.Sprintf("order to %s, which is in service", a.Upstream)
	case a.Order.Version != f.want:
		return fmt.Sprintf("order for %s, want %s", a.Order.Version, f.want)
	}
	if !f.deaf {
		f.loading[a.Upstream] = load{f.now.Add(swapTime), a.Order.Version}
	}
	return ""
}

func (f *fleet) fault(before int) string {
	answering := 0
	for _, u := range f.upstreams {
		if !f.silent[u.ID] && f.out[u.ID].IsZero() {
			answering++
		}
	}
	switch {
	case len(f.out) > 2:
		return fmt.Sprintf("%d swaps at once", len(f.out))
	case len(f.out) > before && len(f.upstreams) > 1 && 2*answering < len(f.upstreams):
		return fmt.Sprintf("%d of %d keep serving", answering, len(f.upstreams))
	}
	for id, until := range f.out {
		if until.Before(f.now) {
			return fmt.Sprintf("%s is still to be swapped, but its mark ended", id)
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
	return len(f.out) == 0
}

// finish steps until all upstreams serve the wanted version.
func (f *fleet) finish(limit time.Duration) (time.Duration, string) {
	start := f.now
	for !f.isDone() && f.now.Sub(start) < limit {
		if fault := f.step(); fault != "" {
			return 0, fault
		}
	}
	if !f.isDone() {
		return 0, fmt.Sprintf("not done after %s: %v, out %v", limit, f.versions, f.out)
	}
	return f.now.Sub(start), ""
}

// Guards against unsafe orders, too many swaps, too few upstreams in service, and roll-outs
// that never finish, with leases lost and taken, silent upstreams and wrong versions.
func TestReconcilerAgainstFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Uint64().Draw(t, "checks fencing")
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "upstreams"), func(i int) bool { return checks>>i&1 == 1 })
		pick := func(t *rapid.T) spoke.UpstreamID { return rapid.SampledFrom(f.upstreams).Draw(t, "upstream").ID }
		steps := func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				if fault := f.step(); fault != "" {
					t.Fatal(fault)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":       steps,
			"step more":  steps,
			"lose lease": func(*rapid.T) { f.lease.Held = false },
			"run out":    func(*rapid.T) { f.lease.Remaining = time.Second },
			"take lease": func(*rapid.T) { f.takeLease(f.lease.Fence + 1) },
			"new ticket": func(*rapid.T) { f.want += "'" },
			"revert":     func(t *rapid.T) { f.versions[pick(t)] = "v0" },
			"silence":    func(t *rapid.T) { id := pick(t); f.silent[id] = !f.silent[id] },
			"deafen":     func(*rapid.T) { f.deaf = !f.deaf },
			"urgent":     func(t *rapid.T) { f.urgent = rapid.IntRange(0, 2).Draw(t, "urgent") },
		})
		f.deaf, f.silent = false, map[spoke.UpstreamID]bool{}
		f.takeLease(f.lease.Fence + 1)
		if _, fault := f.finish(10 * time.Minute); fault != "" {
			t.Fatal(fault)
		}
	})
}

// Guards against swaps that ignore waiting urgent work, and against urgent work that holds up
// a roll-out for ever.
func TestSwapsWaitForUrgentWorkForAWhile(t *testing.T) {
	checks := func(int) bool { return true }
	calm, fault := newFleet(9, checks).finish(10 * time.Minute)
	assert.Equal(t, fault, "")
	busy := newFleet(9, checks)
	busy.urgent = 1
	for range 100 {
		assert.Equal(t, busy.step(), "")
	}
	assert.Equal(t, busy.orders, 0, "25 s with urgent work")
	held, fault := busy.finish(10 * time.Minute)
	assert.Equal(t, fault, "")
	assert.Assert(t, calm < time.Minute && held > 4*calm, "%s calm, %s held up", calm, held)
}

// Guards against orders under a fence that an upstream has called stale.
func TestStaleFenceStopsOrders(t *testing.T) {
	f := newFleet(4, func(int) bool { return true })
	f.deaf = true
	for f.orders == 0 {
		assert.Equal(t, f.step(), "")
	}
	given := f.orders
	f.reconciler.Handle(f.now, swap.OrderFailed{Upstream: "u0", StaleFence: true})
	for range 400 {
		assert.Equal(t, f.step(), "")
	}
	assert.Equal(t, f.orders, given)
	assert.Equal(t, len(f.out), 0, "upstreams serve on")
}

// Guards against upstreams that idle because the lease was lost before their order.
func TestLostLeasePutsBack(t *testing.T) {
	f := newFleet(4, func(int) bool { return true })
	assert.Equal(t, f.step(), "")
	assert.Equal(t, len(f.out), 2)
	f.lease.Held = false
	assert.Equal(t, f.step(), "")
	assert.Equal(t, len(f.out), 0)
}
