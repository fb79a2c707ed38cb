package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// A host starts after a rollout while the directory entries of the engines still list the older weights.
// Guards against refusing every call for that, although other hosts have seen the served versions.
func TestStartedHostReceivesServedVersions(t *testing.T) {
	wanted := place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: time.Hour}
	other := newTestSchedulerFor(t, "host-2", 1)
	other.handle(wanted)
	other.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ServedWeights{Model: model, Version: 2}})
	other.scheduler.LoadReport(other.now, false)

	started := newTestScheduler(t, 1)
	started.handle(wanted)
	assert.Equal(t, started.refusal(started.request(0, "s", 100, 100)).Reason, place.RefusedWeights)
	started.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, true)})
	assert.Equal(t, started.grant(started.request(0, "s", 100, 100)).Weights, spoke.WeightVersion(2))
}

// Guards against reports to other cells that repeat the changes of a rollout.
func TestOtherCellsReceiveServedVersionsOnce(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ServedWeights{Model: model, Version: 2}})
	_, hasChanges := ts.scheduler.ForOtherCells(ts.now, ts.scheduler.LoadReport(ts.now, true))
	assert.Assert(t, hasChanges)
	_, hasChanges = ts.scheduler.ForOtherCells(ts.now, ts.scheduler.LoadReport(ts.now, true))
	assert.Assert(t, !hasChanges)
}

func (ts *testScheduler) setWanted(version spoke.WeightVersion) {
	ts.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: version}})
}

// Two versions become wanted 4 s apart. Guards against the second one extending the limit of the oldest
// weights, while other hosts already free the parts computed with them.
func TestSecondRolloutDoesNotExtendTheLimitOfOlderWeights(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.setWanted(2)
	ts.now = ts.now.Add(4 * time.Second)
	ts.setWanted(3)
	ts.now = ts.now.Add(1500 * time.Millisecond)
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	ts.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ServedWeights{Model: model, Version: 2}})
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(2))
}

// Guards against a host that missed the first of two rollouts and counts the limit of the oldest weights
// from the second.
func TestFirstRolloutReachesHostsThatMissedIt(t *testing.T) {
	other := newTestSchedulerFor(t, "host-2", 1)
	other.setWanted(2)
	other.now = other.now.Add(5 * time.Second)
	other.setWanted(3)

	for _, isEstimate := range []bool{false, true} {
		ts := newTestScheduler(t, 1)
		ts.now = other.now
		ts.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 3}, IsEstimate: isEstimate})
		ts.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, true)})
		ts.now = ts.now.Add(500 * time.Millisecond)
		assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	}
}

// An engine turns slow during a rollout, so that a call waits inside it until after the limit. Guards
// against a call that begins on outdated weights.
func TestCallThatHasNotBegunIsRecalledAtTheLimit(t *testing.T) {
	ts := newTestScheduler(t, 1)
	begun := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.Began{Call: begun.Call})
	stuck := ts.grant(ts.request(0, "s", 100, 100))
	ts.setWanted(2)
	for ts.now.Before(time.Unix(1004, 500000000)) {
		assert.Equal(t, len(ts.advance(100*time.Millisecond)), 0)
		assert.Assert(t, ts.scheduler.NeedsTick(ts.now))
	}
	actions := ts.advance(300 * time.Millisecond)
	assert.DeepEqual(t, actions, []place.Action{place.Recall{Call: stuck.Call}})
	assert.Equal(t, len(ts.advance(100*time.Millisecond)), 0, "recalled once")
}
