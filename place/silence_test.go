package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// engineSilence is the time for which a sound engine may stand still.
const engineSilence = time.Second

// Guards against a call that begins behind the limit, since its engine fell silent before it noticed the recall.
func TestCallIsRecalledBeforeSilenceThatOutlastsTheLimit(t *testing.T) {
	ts := newTestScheduler(t, 1)
	stuck := ts.grant(ts.request(0, "s", 100, 100))
	ts.setWanted(2)
	var recalled []place.Action
	for end := ts.now.Add(schedulerLimit - engineSilence - 100*time.Millisecond); ts.now.Before(end); {
		recalled = append(recalled, ts.advance(100*time.Millisecond)...)
	}
	assert.DeepEqual(t, recalled, []place.Action{place.Recall{Call: stuck.Call}})
}

// Guards against a call that is sent so late that it begins behind the limit if its engine falls silent.
func TestCallIsNotSentIfSilenceOutlastsTheLimit(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.setWanted(2)
	ts.now = ts.now.Add(schedulerLimit - engineSilence - 500*time.Millisecond)
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
}

// Guards against replaced weights that are given up much earlier than a silence requires.
func TestReplacedWeightsAreUsedUntilSilenceMayOutlastTheLimit(t *testing.T) {
	ts := newTestScheduler(t, 1)
	stuck := ts.grant(ts.request(0, "s", 100, 100))
	ts.setWanted(2)
	for end := ts.now.Add(schedulerLimit - engineSilence - 800*time.Millisecond); ts.now.Before(end); {
		assert.Equal(t, len(ts.advance(100*time.Millisecond)), 0, "call %d", stuck.Call)
	}
	idle := newTestScheduler(t, 1)
	idle.setWanted(2)
	idle.now = ts.now
	assert.Equal(t, idle.grant(idle.request(0, "s", 100, 100)).Weights, spoke.WeightVersion(1))
}
