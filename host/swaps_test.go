package host_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// ordersTTL and orderDeadline equal those of the swap task and its reconciler.
	ordersTTL     = 6 * time.Second
	orderDeadline = 2 * time.Second
)

type (
	// swapEngines is a set of engines that load a version when they are ordered to.
	swapEngines struct {
		spoke.Engine
		mu       sync.Mutex
		versions map[spoke.Address]spoke.ModelVersion
		// fence is the highest token received; engines that ignore fences obey lower ones.
		fence         spoke.FencingToken
		ignoresFences bool
		orders        []receivedOrder
		// loadTime is the time from an order to the report of its version.
		loadTime     time.Duration
		outOfService func() []spoke.UpstreamID
	}

	receivedOrder struct {
		at         time.Time
		fence      spoke.FencingToken
		wasServing bool
	}

	// swapFixture is a swap task with its engines and platform in virtual time.
	swapFixture struct {
		source    *manifestSource
		engines   *swapEngines
		platform  *kvsvc.Service
		isWatcher atomic.Bool
		task      host.SwapTask
		stop      context.CancelFunc
	}
)

func (e *swapEngines) Load(_ context.Context, at spoke.Address) (spoke.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return spoke.LoadReport{Versions: map[spoke.ModelName]spoke.ModelVersion{"m": e.versions[at]}}, nil
}

func (e *swapEngines) Order(_ context.Context, at spoke.Address, order spoke.Order) error {
	isPaused := slices.Contains(e.outOfService(), spoke.UpstreamID(at))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, receivedOrder{time.Now(), order.Fence, !isPaused})
	if order.Fence < e.fence && !e.ignoresFences {
		return spoke.ErrStaleFence
	}
	time.AfterFunc(e.loadTime, func() { e.setVersion(at, order.Version, order.Fence) })
	return nil
}

// setVersion changes a version and the highest fence, as an order of another holder does.
func (e *swapEngines) setVersion(at spoke.Address, version spoke.ModelVersion, fence spoke.FencingToken) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[at], e.fence = version, fence
}

// received returns the orders and the versions, and checks that no order reached an upstream in
// service.
func (e *swapEngines) received(t *testing.T) ([]receivedOrder, []spoke.ModelVersion) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, order := range e.orders {
		assert.Assert(t, !order.wasServing, "ordered while in service")
	}
	return slices.Clone(e.orders), []spoke.ModelVersion{e.versions["u1"], e.versions["u2"]}
}

// withSwapTask runs a test with a swap task and two upstreams of version v1.
func withSwapTask(t *testing.T, checksFencing bool, test func(t *testing.T, s *swapFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &swapFixture{source: new(manifestSource), platform: kvsvc.New(), engines: &swapEngines{
			versions: map[spoke.Address]spoke.ModelVersion{"u1": "v1", "u2": "v1"}, ignoresFences: !checksFencing,
		}}
		s.source.apply(
			spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage}, s.model("v1"),
			spoke.Upstream{ID: "u1", Service: "quotes", Address: "u1", ChecksFencing: checksFencing},
			spoke.Upstream{ID: "u2", Service: "quotes", Address: "u2", ChecksFencing: checksFencing},
		)
		s.isWatcher.Store(true)
		clock := timer.NewSystem()
		leases := coord.New("platform", coord.WithTransport(kvsvc.NewTransport(s.platform)), coord.WithTimer(clock))
		s.task = host.NewSwapTask("h1/1", s.source, leases, s.engines, s.isWatcher.Load, clock)
		s.engines.outOfService = s.task.OutOfService
		var ctx context.Context
		ctx, s.stop = context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.task.Run(ctx)
		}()
		defer func() {
			s.stop()
			<-ended
		}()
		test(t, s)
	})
}

func (s *swapFixture) model(version spoke.ModelVersion) spoke.Model {
	return spoke.Model{Name: "m", Service: "quotes", Version: version}
}

// Guards against a new version that does not reach all upstreams, or that takes all of them out
// of service at the same time.
func TestSwapReachesAllUpstreams(t *testing.T) {
	withSwapTask(t, true, func(t *testing.T, s *swapFixture) {
		sleep(5 * time.Second)
		s.source.apply(s.model("v2"))
		for range 60 {
			sleep(500 * time.Millisecond)
			assert.Assert(t, len(s.task.OutOfService()) < 2, "no upstream is left")
		}
		orders, versions := s.engines.received(t)
		assert.Equal(t, len(orders), 2)
		assert.DeepEqual(t, versions, []spoke.ModelVersion{"v2", "v2"})
		assert.Equal(t, len(s.task.OutOfService()), 0)
	})
}

// Guards against orders of a holder whose lease has expired in an outage of the platform, and
// against upstreams that stay out of service during the outage.
func TestNoOrderWithoutLease(t *testing.T) {
	withSwapTask(t, true, func(t *testing.T, s *swapFixture) {
		sleep(5 * time.Second)
		s.platform.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageHold})
		sleep(2 * ordersTTL)
		s.source.apply(s.model("v2"))
		sleep(time.Minute)
		orders, _ := s.engines.received(t)
		assert.Equal(t, len(orders), 0)
		assert.Equal(t, len(s.task.OutOfService()), 0)

		s.platform.SetFaults(kvsvc.Faults{})
		sleep(time.Minute)
		_, versions := s.engines.received(t)
		assert.DeepEqual(t, versions, []spoke.ModelVersion{"v2", "v2"})
	})
}

// Guards against a holder with a stale fencing token that continues to send orders.
func TestStaleFenceEndsOrders(t *testing.T) {
	withSwapTask(t, true, func(t *testing.T, s *swapFixture) {
		s.engines.setVersion("u1", "v1", 100)
		s.source.apply(s.model("v2"))
		sleep(2 * time.Minute)
		orders, _ := s.engines.received(t)
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, len(s.task.OutOfService()), 0)
	})
}

// Guards against orders that overlap with those of a former holder at engines that ignore
// fences, and against a version that a late order of that holder leaves in place.
func TestEnginesThatIgnoreFences(t *testing.T) {
	withSwapTask(t, false, func(t *testing.T, s *swapFixture) {
		started := time.Now()
		s.source.apply(s.model("v2"))
		sleep(time.Minute)
		orders, versions := s.engines.received(t)
		assert.DeepEqual(t, versions, []spoke.ModelVersion{"v2", "v2"})
		assert.Assert(t, orders[0].at.Sub(started) >= ordersTTL+orderDeadline, "first order after %s", orders[0].at.Sub(started))

		s.engines.setVersion("u2", "v0", 0)
		sleep(time.Minute)
		_, versions = s.engines.received(t)
		assert.DeepEqual(t, versions, []spoke.ModelVersion{"v2", "v2"})
	})
}

// Guards against an order to an upstream in service: it is sent if a host that competes for the
// lease again continues the swaps of its earlier candidacy.
func TestNewCandidacyResetsSwaps(t *testing.T) {
	withSwapTask(t, true, func(t *testing.T, s *swapFixture) {
		s.engines.loadTime = 5 * time.Second
		s.source.apply(s.model("v2"))
		sleep(4100 * time.Millisecond)
		orders, _ := s.engines.received(t)
		assert.Equal(t, len(orders), 1)
		s.isWatcher.Store(false)
		sleep(300 * time.Millisecond)
		assert.Equal(t, len(s.task.OutOfService()), 0)
		s.isWatcher.Store(true)
		sleep(time.Minute)
		_, versions := s.engines.received(t)
		assert.DeepEqual(t, versions, []spoke.ModelVersion{"v2", "v2"})
	})
}

// Guards against a stopped host that still holds the lease, so that its successor has to wait.
func TestStoppedHolderReleasesLease(t *testing.T) {
	withSwapTask(t, true, func(t *testing.T, s *swapFixture) {
		sleep(5 * time.Second)
		s.stop()
		sleep(time.Second)
		successor := coord.New("platform", coord.WithTransport(kvsvc.NewTransport(s.platform)))
		_, err := successor.Acquire(context.Background(), "orders", "h2/1", ordersTTL)
		assert.NilError(t, err)
	})
}
