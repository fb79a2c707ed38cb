package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/timer"
)

// Guards against a subscription that fires early or after Stop.
func TestManualSubscriptions(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := timer.NewManual(start)
	periodic := clock.Every(time.Second)
	single := clock.After(2 * time.Second)

	clock.Advance(time.Second)
	assert.Equal(t, <-periodic.C(), start.Add(time.Second))
	assert.Equal(t, len(single.C()), 0)

	periodic.Stop()
	clock.Advance(time.Second)
	assert.Equal(t, len(periodic.C()), 0)
	assert.Equal(t, <-single.C(), start.Add(2*time.Second))

	clock.Advance(time.Hour)
	assert.Equal(t, len(single.C()), 0)
}
