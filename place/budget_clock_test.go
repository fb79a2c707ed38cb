package place_test

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// withWallSet returns a time whose time of day has been set by some seconds while its monotonic reading goes on.
func withWallSet(t *testing.T, now time.Time, seconds int64) time.Time {
	t.Helper()
	const secondsShift = 30
	set := now
	*(*uint64)(unsafe.Pointer(&set)) += uint64(seconds) << secondsShift
	assert.Equal(t, set.Sub(now), time.Duration(0))
	assert.Equal(t, set.Round(0).Sub(now.Round(0)), time.Duration(seconds)*time.Second)
	return set
}

// Guards against a retry budget that stays used up because the time of day was set back, and against one that is
// available twice because it was set forward.
func TestRetryBudgetIgnoresTimeOfDay(t *testing.T) {
	for _, c := range []struct {
		name    string
		seconds int64
	}{
		{"unchanged", 0}, {"set back", -3600}, {"set forward", 3600},
	} {
		t.Run(c.name, func(t *testing.T) {
			ts := newTestScheduler(t, 2)
			ts.now = time.Now()
			reserve := ts.allowedRetries(30)
			assert.Assert(t, reserve > 0 && reserve < 30, "%d", reserve)
			ts.now = withWallSet(t, ts.now.Add(time.Second), c.seconds)
			assert.Equal(t, ts.allowedRetries(30), 0)
			ts.now = ts.now.Add(15 * time.Second)
			assert.Equal(t, ts.allowedRetries(30), reserve)
		})
	}
}

// allowedRetries returns the number of retries that the budget allows of the given number.
func (ts *testScheduler) allowedRetries(tries int) int {
	allowed := 0
	for range tries {
		retry := ts.request(0, "session", 20, 20)
		retry.IsRetry, retry.IsRunning, retry.Tried = true, false, []spoke.UpstreamID{"engine-0"}
		for _, action := range ts.handle(retry) {
			if grant, ok := action.(place.Grant); ok {
				allowed++
				ts.handle(place.Ended{Call: grant.Call})
			}
		}
	}
	return allowed
}
