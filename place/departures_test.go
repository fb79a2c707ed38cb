package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// An engine announces in an answer that it leaves, while the directory lags and lists it as ready, drops its
// entry and lists it again. Guards against calls to the engine after the announcement.
func TestLeavingEngineGetsNoMoreCalls(t *testing.T) {
	ts := newTestScheduler(t, 1)
	first := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.Began{Call: first.Call, IsLeaving: true})
	assert.Equal(t, ts.refusal(ts.request(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)
	ts.list(engine(0))
	assert.Equal(t, ts.refusal(ts.request(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)
	ts.handle(place.SetUpstreams{Removed: []spoke.UpstreamID{"engine-0"}})
	ts.list(engine(0))
	assert.Equal(t, ts.refusal(ts.request(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)

	other := newTestSchedulerFor(t, "host-2", 1)
	waiting := other.request(0, "s", 100, 100)
	other.handle(place.Pause{Upstream: "engine-0", For: time.Second})
	other.waits(waiting)
	other.handle(place.ReceiveReport{Report: ts.scheduler.LoadReport(ts.now, true)})
	assert.Equal(t, other.refusal(other.request(0, "s", 100, 100)).Reason, place.RefusedNoUpstream)

	restarted := engine(0)
	restarted.Started = time.UnixMilli(5)
	ts.list(restarted)
	ts.grant(ts.request(0, "s", 100, 100))
}

// Guards against a departure that does not reach hosts of other cells or hosts that missed a report.
func TestDepartureIsReportedToAllHosts(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 0, Count: 2})
	first := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.Ended{Call: first.Call, IsLeaving: true})
	report, hasChanges := ts.scheduler.ForOtherCells(ts.now, ts.scheduler.LoadReport(ts.now, false))
	assert.Assert(t, hasChanges)
	want := []spoke.UpstreamStart{{ID: "engine-0"}}
	assert.DeepEqual(t, report.Leaving, want)
	assert.Equal(t, len(ts.scheduler.LoadReport(ts.now, false).Leaving), 0)
	assert.DeepEqual(t, ts.scheduler.LoadReport(ts.now, true).Leaving, want)
	report, hasChanges = ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Assert(t, hasChanges)
	assert.DeepEqual(t, report.Leaving, want)
}

// Engines reject calls and request a pause. Guards against calls, retries and second choices that reach an
// engine during its pause, and against a pause that does not end.
func TestRequestedPauseIsHonoured(t *testing.T) {
	ts := newTestScheduler(t, 2)
	first := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.Ended{Call: first.Call, Ending: place.EndRefused, Pause: 1500 * time.Millisecond})
	for ts.now.Before(time.Unix(1001, 400000000)) {
		other := ts.grant(ts.request(0, "s", 100, 100))
		assert.Assert(t, other.Upstream.ID != first.Upstream.ID)
		ts.handle(place.Ended{Call: other.Call})
		ts.now = ts.now.Add(100 * time.Millisecond)
	}
	// The end of a pause for loading weights does not end the pause that the engine requested.
	ts.handle(place.Pause{Upstream: first.Upstream.ID})
	retry := ts.request(0, "s", 100, 100)
	retry.IsRetry, retry.Tried = true, []spoke.UpstreamID{"engine-0", "engine-1"}
	assert.Equal(t, ts.refusal(retry).Reason, place.RefusedNoUpstream)
	ts.now = ts.now.Add(time.Second)
	seen := make(map[spoke.UpstreamID]bool)
	for range 8 {
		seen[ts.grant(ts.request(0, "s", 4000, 4000)).Upstream.ID] = true
	}
	assert.Assert(t, seen[first.Upstream.ID])
}

// Guards against calls that wait until their deadline although all engines have requested pauses, and
// against callers that retry before the first pause ends.
func TestCallsAreRefusedWhileAllEnginesRequestPauses(t *testing.T) {
	ts := newTestScheduler(t, 2)
	for _, pause := range []time.Duration{3 * time.Second, 2 * time.Second} {
		granted := ts.grant(ts.request(0, "s", 100, 100))
		ts.handle(place.Ended{Call: granted.Call, Ending: place.EndRefused, Pause: pause})
	}
	refused := ts.refusal(ts.request(0, "s", 100, 100))
	assert.Equal(t, refused.Reason, place.RefusedPaused)
	assert.Equal(t, refused.RetryAfter, 2*time.Second)
	ts.now = ts.now.Add(1900 * time.Millisecond)
	// A call that can still be on time after the pause waits for its end.
	ts.waits(ts.request(0, "s", 100, 100))
	assert.Equal(t, len(ts.advance(200*time.Millisecond)), 1)
}

// Guards against a waiting call that is kept after the last engine has requested a pause.
func TestWaitingCallIsRefusedOnceAllEnginesRequestPauses(t *testing.T) {
	ts := newTestScheduler(t, 1)
	filling := ts.grant(ts.request(2, "s", 8000, 8000))
	ts.waits(ts.request(2, "t", 8000, 8000))
	ts.handle(place.Ended{Call: filling.Call, Ending: place.EndRefused, Pause: 5 * time.Second})
	actions := ts.advance(0)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(place.Refuse).Reason, place.RefusedPaused)
	assert.Equal(t, actions[0].(place.Refuse).RetryAfter, 5*time.Second)
}
