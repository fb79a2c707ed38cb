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

// arriving is a configuration that comes into force right after its first use.
type arriving struct {
	*source
	once sync.Once
}

func (a *arriving) Current() *spoke.Manifest {
	var current *spoke.Manifest
	used := true
	a.once.Do(func() { used = false })
	if used {
		current = a.source.Current()
	}
	return current
}

// follow runs a test beside the followers of a host.
func follow(t *testing.T, manifest spoke.ManifestSource, engine spoke.Engine, test func(t *testing.T, f host.Followers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := host.NewFollowers(manifest, &policy{}, engine)
		var tasks sync.WaitGroup
		tasks.Go(func() { f.Run(ctx) })
		defer synctest.Wait()
		defer tasks.Wait()
		defer cancel()
		test(t, f)
	})
}

// polled counts load reports by address; it answers with an error, if there is one.
type polled struct {
	scripted
	mu    sync.Mutex
	count map[spoke.Address]int
	err   error
}

func (p *polled) Load(_ context.Context, at spoke.Address) (spoke.LoadReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[at]++
	return spoke.LoadReport{}, p.err
}

func (p *polled) take(at spoke.Address) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := p.count[at]
	p.count[at] = 0
	return count
}

func (p *polled) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// closed is an address that refuses connections.
const closed spoke.Address = "127.0.0.1:1"

// Guards against a plain upstream that is asked for load reports, and so counts as dead,
// because its service came into force between two reads of the configuration or changed.
func TestPlainUpstreamsAreNotPolledAsEngines(t *testing.T) {
	plain := spoke.Service{Name: "booking", Kind: spoke.ServicePlain}
	booking := spoke.Upstream{ID: "u1", Service: "booking", DataCentre: "dc1", Address: closed}
	late := &arriving{source: new(source).apply(plain, booking)}
	engine := &polled{count: make(map[spoke.Address]int)}
	follow(t, late, engine, func(t *testing.T, _ host.Followers) {
		pass(5 * time.Second)
		assert.Equal(t, engine.take(closed), 0)

		late.apply(spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
			spoke.Upstream{ID: "u1", Service: "quotes", DataCentre: "dc1", Address: closed})
		pass(5 * time.Second)
		assert.Assert(t, engine.take(closed) > 0, "now it is an engine")
	})
}

// Guards against an upstream that one lost answer takes out of service, and against one
// that stays in service although it refuses connections or never answers.
func TestUpstreamDeathAndReturn(t *testing.T) {
	manifest := new(source).apply(
		spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
		spoke.Upstream{ID: "u1", Service: "quotes", DataCentre: "dc1", Address: "engine"},
	)
	engine := &polled{count: make(map[spoke.Address]int)}
	follow(t, manifest, engine, func(t *testing.T, f host.Followers) {
		assertDead := func(after time.Duration, want bool) {
			t.Helper()
			pass(after)
			known, dead := f.Seen("u1")
			assert.Assert(t, known)
			assert.Equal(t, dead, want)
		}
		assertDead(100*time.Millisecond, false)
		engine.fail(errors.New("answer lost"))
		assertDead(300*time.Millisecond, false)
		engine.fail(nil)
		assertDead(300*time.Millisecond, false)
		engine.fail(errors.New("answer lost"))
		assertDead(time.Second, true)
		engine.fail(nil)
		assertDead(300*time.Millisecond, false)
		engine.fail(spoke.ErrNotRun)
		assertDead(300*time.Millisecond, true)
	})
}

// Guards against runs that are refused right after a change of the owner, because they
// reach admission before it knows of the upstream.
func TestAdmissionKnowsUpstreamFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		manifest := new(source).apply(
			spoke.Service{Name: "booking", Kind: spoke.ServicePlain},
			spoke.Upstream{ID: "u1", Service: "booking", DataCentre: "dc1", Address: closed},
		)
		f := host.NewFollowers(manifest, &policy{}, &scripted{})
		takeOne := f.HoldAdmission()
		go f.Reconcile(ctx)
		synctest.Wait()
		assert.Equal(t, len(f.Owned()), 0, "followed before admission knows of it")
		takeOne()
		synctest.Wait()
		assert.Equal(t, len(f.Owned()), 1)
	})
}
