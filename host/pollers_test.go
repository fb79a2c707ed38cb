package host_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
)

// lateManifest is a configuration that comes into force right after its first read.
type lateManifest struct {
	*manifestSource
	once sync.Once
}

func (m *lateManifest) Current() *spoke.Manifest {
	var current *spoke.Manifest
	used := true
	m.once.Do(func() { used = false })
	if used {
		current = m.manifestSource.Current()
	}
	return current
}

// withPollers runs a test with the pollers of a host.
func withPollers(t *testing.T, manifest spoke.ManifestSource, engine spoke.Engine, test func(t *testing.T, f host.PollerTask)) {
	t.Helper()
	withAdmission(t, manifest, &policy{}, engine, test)
}

// withAdmission runs a test with the pollers of a host that has the given admission.
func withAdmission(t *testing.T, manifest spoke.ManifestSource, admission spoke.Admission, engine spoke.Engine, test func(t *testing.T, f host.PollerTask)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		pollers := host.NewPollerTask(manifest, admission, engine)
		var tasks sync.WaitGroup
		tasks.Go(func() { pollers.Run(ctx) })
		defer synctest.Wait()
		defer tasks.Wait()
		defer cancel()
		test(t, pollers)
	})
}

// countingEngine counts load requests by address; they fail with err if it is set.
type countingEngine struct {
	scriptedEngine
	mu    sync.Mutex
	count map[spoke.Address]int
	err   error
}

func (e *countingEngine) Load(_ context.Context, at spoke.Address) (spoke.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[at]++
	return spoke.LoadReport{}, e.err
}

func (e *countingEngine) takeCount(at spoke.Address) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := e.count[at]
	e.count[at] = 0
	return count
}

func (e *countingEngine) setError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err = err
}

// refusingAddress is an address that refuses connections.
const refusingAddress spoke.Address = "127.0.0.1:1"

// Guards against a plain upstream that is polled for load reports, and so counts as dead, because
// its service came into force between two reads of the configuration or changed its kind.
func TestPlainUpstreamsAreNotPolledAsEngines(t *testing.T) {
	plain := spoke.Service{Name: "booking", Kind: spoke.ServicePlain}
	booking := spoke.Upstream{ID: "u1", Service: "booking", DataCentre: "dc1", Address: refusingAddress}
	late := &lateManifest{manifestSource: new(manifestSource).apply(plain, booking)}
	engine := &countingEngine{count: make(map[spoke.Address]int)}
	withPollers(t, late, engine, func(t *testing.T, _ host.PollerTask) {
		sleep(5 * time.Second)
		assert.Equal(t, engine.takeCount(refusingAddress), 0)

		late.apply(spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
			spoke.Upstream{ID: "u1", Service: "quotes", DataCentre: "dc1", Address: refusingAddress})
		sleep(5 * time.Second)
		assert.Assert(t, engine.takeCount(refusingAddress) > 0, "not polled after it became an engine")
	})
}

// Guards against an upstream that counts as dead after one lost response, and against one that
// stays in service although it refuses connections or never responds.
func TestUpstreamDeathAndRecovery(t *testing.T) {
	manifest := new(manifestSource).apply(
		spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
		spoke.Upstream{ID: "u1", Service: "quotes", DataCentre: "dc1", Address: "engine"},
	)
	engine := &countingEngine{count: make(map[spoke.Address]int)}
	withPollers(t, manifest, engine, func(t *testing.T, pollers host.PollerTask) {
		assertDead := func(after time.Duration, want bool) {
			t.Helper()
			sleep(after)
			known, dead := pollers.Observed("u1")
			assert.Assert(t, known)
			assert.Equal(t, dead, want)
		}
		assertDead(100*time.Millisecond, false)
		engine.setError(errors.New("answer lost"))
		assertDead(300*time.Millisecond, false)
		engine.setError(nil)
		assertDead(300*time.Millisecond, false)
		engine.setError(errors.New("answer lost"))
		assertDead(time.Second, true)
		engine.setError(nil)
		assertDead(300*time.Millisecond, false)
		engine.setError(spoke.ErrNotRun)
		assertDead(300*time.Millisecond, true)
	})
}

// Guards against runs that are refused right after a change of the owner, because they reach
// the admission before the upstream is configured there.
func TestAdmissionIsConfiguredBeforeUpstreamIsOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		manifest := new(manifestSource).apply(
			spoke.Service{Name: "booking", Kind: spoke.ServicePlain},
			spoke.Upstream{ID: "u1", Service: "booking", DataCentre: "dc1", Address: refusingAddress},
		)
		pollers := host.NewPollerTask(manifest, &policy{}, &scriptedEngine{})
		takeOne := pollers.BlockAdmission()
		go pollers.Reconcile(ctx)
		synctest.Wait()
		assert.Equal(t, len(pollers.Owned()), 0, "owned before the admission is configured")
		takeOne()
		synctest.Wait()
		assert.Equal(t, len(pollers.Owned()), 1)
	})
}
