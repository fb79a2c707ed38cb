package edge_test

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/timer"
)

// suspendedClock is a clock that counts times in which the machine was suspended; the steady clock does not.
type suspendedClock struct {
	*timer.Boot
	suspended atomic.Int64
}

func (c *suspendedClock) Now() time.Time { return c.Boot.Now().Add(time.Duration(c.suspended.Load())) }

func (c *suspendedClock) suspend(length time.Duration) { c.suspended.Add(int64(length)) }

// startSuspendable runs a host whose machine can be suspended.
func startSuspendable(t *testing.T, limit time.Duration) (*deployment, *suspendedClock) {
	t.Helper()
	before := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply, settings.OrdersPause = limit, time.Minute })
	before.signals <- syscall.SIGTERM
	assert.NilError(t, <-before.ended)
	clock := &suspendedClock{Boot: timer.NewBoot()}
	d := before.beside("host-2")
	d.boot = clock
	d.runHost()
	return d, clock
}

// A machine is suspended while a call waits inside an engine on replaced weights. Guards against a limit that does not
// count this time, since the steady clock leaves it out.
func TestCallIsRecalledInTimeAfterSuspension(t *testing.T) {
	const (
		limit     = 6 * time.Second
		suspended = 4 * time.Second
	)
	d, clock := startSuspendable(t, limit)
	answered := d.holdCall("waiting")
	named := d.nameWeights()
	awaitTrue(t, "weights not known", func() bool { return d.hasLogged("weights wanted") })
	clock.suspend(suspended)
	assertRecalled(t, answered, named, limit-suspended)
}

// Weights are named while a machine is suspended whose watch of the directory waits. Guards against a change that counts
// as new because the steady clock leaves out that time.
func TestCallIsRecalledIfWeightsMayHaveBeenNamedDuringSuspension(t *testing.T) {
	const limit = 6 * time.Second
	d, clock := startSuspendable(t, limit)
	answered := d.holdCall("waiting")
	clock.suspend(limit)
	assertRecalled(t, answered, d.nameWeights(), time.Second)
}
