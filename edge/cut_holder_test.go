package edge_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// weightsLimit is the time within which engines have to serve newer weights.
	weightsLimit = 6 * time.Second
	// controlTimeout is the time after which calls to engines that hang end.
	controlTimeout = time.Second
	// reportsOfLostPaths is the number of reports that a holder asks an engine for in twice the time after which it
	// leaves the lease to others.
	reportsOfLostPaths = 12
)

var errCut = errors.New("engine is out of reach")

// cutControl lets a host lose its ways to the engines.
type cutControl struct {
	spoke.EngineControl
	isCut *atomic.Bool
	// hangs leaves calls on lost ways without an end; else they fail at once.
	hangs bool
	// only is the only engine that is out of reach, empty for all.
	only spoke.Address
}

func (c cutControl) Report(ctx context.Context, at spoke.Address) (spoke.EngineReport, error) {
	if err := c.lose(ctx, at); err != nil {
		return spoke.EngineReport{}, err
	}
	return c.EngineControl.Report(ctx, at)
}

func (c cutControl) LoadWeights(ctx context.Context, at spoke.Address, order spoke.WeightOrder) error {
	if err := c.lose(ctx, at); err != nil {
		return err
	}
	return c.EngineControl.LoadWeights(ctx, at, order)
}

func (c cutControl) lose(ctx context.Context, at spoke.Address) error {
	if !c.isCut.Load() || (c.only != "" && c.only != at) {
		return nil
	}
	if c.hangs {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		<-ctx.Done()
	}
	return errCut
}

func areOnVersion2(engines []*fake.Engine) bool {
	return !slices.ContainsFunc(engines, func(engine *fake.Engine) bool {
		version, _ := engine.Version()
		return version < 2
	})
}

// Guards against a host that holds the orders lease, reaches no engine, and leaves all engines on older weights.
func TestHolderThatReachesNoEngineLeavesOrdersToAnother(t *testing.T) {
	for name, hangs := range map[string]bool{"refused": false, "hang": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := start(t, 3)
			holder, other := first.beside("host-2"), first.beside("host-3")
			var isCut atomic.Bool
			holder.control = func(control spoke.EngineControl) spoke.EngineControl { return cutControl{control, &isCut, hangs, ""} }
			holder.runHost()
			first.signals <- syscall.SIGTERM
			assert.NilError(t, <-first.ended)
			awaitTrue(t, "host does not hold the lease", func() bool { return holder.hasLogged(`"held":true`) })
			other.runHost()

			isCut.Store(true)
			named := holder.nameWeights()
			awaitTrue(t, "engines are on older weights", func() bool { return areOnVersion2(holder.engines) })
			assert.Assert(t, time.Since(named) < weightsLimit, "loaded after %s", time.Since(named))
			assert.Assert(t, other.hasLogged("order accepted"))
		})
	}
}

// Guards against a holder that takes the failure of an engine for the loss of its own ways.
func TestHolderKeepsTheLeaseWhenOneEngineIsOutOfReach(t *testing.T) {
	t.Parallel()
	// At least half of the engines have to serve while one loads, so one of three would be too many.
	first := start(t, 5)
	holder := first.beside("host-2")
	var isCut atomic.Bool
	isCut.Store(true)
	holder.control = func(control spoke.EngineControl) spoke.EngineControl {
		return cutControl{control, &isCut, false, spoke.Address(first.engines[0].Address())}
	}
	holder.runHost()
	first.signals <- syscall.SIGTERM
	assert.NilError(t, <-first.ended)
	awaitTrue(t, "host does not hold the lease", func() bool { return holder.hasLogged(`"held":true`) })

	holder.nameWeights()
	awaitTrue(t, "the engine was not asked often enough", func() bool {
		raw, err := os.ReadFile(filepath.Join(holder.logs, "host-1.log"))
		assert.NilError(t, err)
		return strings.Count(string(raw), "engine report could not be read") > reportsOfLostPaths
	})
	awaitTrue(t, "engines are on older weights", func() bool { return areOnVersion2(holder.engines[1:]) })
	assert.Assert(t, !holder.hasLogged("orders lease is left to others"))
}

// Guards against a host that holds the orders lease, reaches a few engines only, and leaves the others on older weights
// although other hosts reach them.
func TestHolderThatReachesFewEnginesLeavesOrdersToAnother(t *testing.T) {
	for _, c := range []struct {
		form    cutForm
		reached int
	}{{cutHangs, 1}, {cutResets, 1}, {cutRefuses, 1}, {cutResets, cutOffEngines - 2}, {cutResets, cutOffEngines / 2}} {
		t.Run(fmt.Sprintf("%s, %d of %d reached", c.form, c.reached, cutOffEngines), func(t *testing.T) {
			t.Parallel()
			hosts := startCutOff(t)
			holder := slices.IndexFunc(hosts, func(host cutOffHost) bool { return host.hasLogged(`"held":true`) })
			assert.Assert(t, holder >= 0, "no host holds the lease")
			hosts[holder].ways.cut(c.form, hosts[holder].engines[:c.reached]...)
			hosts[holder].nameWeights()
			// After one and a half times weightsLimit no more than one engine may have older weights; this waits less.
			awaitTrue(t, "engines are on older weights", func() bool { return areOnVersion2(hosts[holder].engines) })
		})
	}
}
