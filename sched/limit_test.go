package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/sched"
)

// Guards against repeated decreases for one overload: latencies of items that started before a
// decrease do not reflect the lower limit.
func TestLimitDecreasesOnceForOneOverload(t *testing.T) {
	limit := sched.NewLimit(32, 1, 64)
	now := epoch
	sample := func(started time.Time, duration time.Duration) {
		limit.Observe(now, sched.LatencySample{
			Started: started, Cost: 1000, FirstToken: duration / 10, Duration: duration, Concurrency: 20, Limited: true,
		})
	}
	for range 40 {
		now = now.Add(time.Second)
		sample(now.Add(-time.Second), time.Second)
	}
	high := limit.Value()
	for range 40 {
		now = now.Add(time.Second)
		sample(epoch.Add(40*time.Second), 10*time.Second)
	}
	low := limit.Value()
	assert.Assert(t, low < high && low >= high/2, "%d after %d", low, high)
	for range 10 {
		now = now.Add(time.Second)
		sample(now.Add(-time.Second), time.Second)
	}
	assert.Assert(t, limit.Value() >= low, "%d after %d", limit.Value(), low)
}

// Guards against a busy answer that does not lower the limit, and against several busy answers to
// the same overload that each lower it.
func TestLimitDecreasesOnceForBusyAnswers(t *testing.T) {
	limit := sched.NewLimit(4, 1, 64)
	limit.ObserveBusy(epoch)
	assert.Equal(t, limit.Value(), 3)
	limit.ObserveBusy(epoch.Add(time.Millisecond))
	assert.Equal(t, limit.Value(), 3)
	limit.ObserveBusy(epoch.Add(time.Second))
	assert.Equal(t, limit.Value(), 2)
}
