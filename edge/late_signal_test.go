package edge_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

// heldTimer drops single ticks from a moment on, as for a task that gets no processor time.
type heldTimer struct {
	*timer.System
	isHeld atomic.Bool
}

// heldTick is a tick that never comes.
type heldTick struct{}

func (heldTick) C() <-chan time.Time { return nil }

func (heldTick) Stop() {}

// After subscribes to a single tick.
func (h *heldTimer) After(delay time.Duration) spoke.Subscription {
	if h.isHeld.Load() {
		return heldTick{}
	}
	return h.System.After(delay)
}

// Guards against a host that gets no processor time for a while, learns late that it has to stop, and therefore passes
// on streams by estimate for that much longer after the signal was sent.
func TestHostThatLearnsLateOfItsStopRefusesLateStreams(t *testing.T) {
	const late = 1200 * time.Millisecond
	clock := &heldTimer{System: timer.NewSystem()}
	d := start(t, 1).beside("host-2")
	d.timer = clock
	d.runHost()
	d.putLongTable()
	assert.Equal(t, d.dial().send(longCall(quoteCall("short"))).status, http.StatusOK)
	kept, other := d.dial(), d.dial()
	for _, conn := range []*callerConn{kept, other} {
		assert.Equal(t, conn.send(longCall(lookCall("kept"))).status, http.StatusOK)
	}
	clock.isHeld.Store(true)
	sent := time.Now()
	awaitTrue(t, "the time has not come", func() bool { return time.Since(sent) >= late })
	_, await := d.stopAt()
	clock.isHeld.Store(false)
	await(time.Second)
	assert.Equal(t, kept.send(longCall(quoteCall("early"))).status, http.StatusOK)
	await(1900 * time.Millisecond)
	checkNotRun(t, other.send(longCall(quoteCall("late"))), "late")
	assert.Assert(t, !d.hasRun("late"))
}
