package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// A host learns long after a rollout began that its engine is on replaced weights, while a call waits
// inside it. Guards against a call that is not recalled because the rollout counts as over.
func TestWaitingCallIsRecalledWhenOldRolloutIsLearned(t *testing.T) {
	ts := newTestScheduler(t, 1)
	stuck := ts.grant(ts.request(0, "s", 100, 100))
	actions := ts.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: time.Minute, IsEstimate: true})
	actions = append(actions, ts.advance(100*time.Millisecond)...)
	assert.DeepEqual(t, actions, []place.Action{place.Recall{Call: stuck.Call}})
}

// Guards against a call whose recall waits for the next tick although another host has already reported
// that its weights are outdated.
func TestWaitingCallIsRecalledWhenAnotherHostReportsTheAge(t *testing.T) {
	ts := newTestScheduler(t, 1)
	stuck := ts.grant(ts.request(0, "s", 100, 100))
	ts.setWanted(2)
	actions := ts.handle(place.ReceiveReport{Report: spoke.HostReport{
		Host: "host-2", Sequence: 1, WantedAges: []spoke.WantedAge{{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: time.Minute}},
	}})
	assert.DeepEqual(t, actions[len(actions)-1], place.Recall{Call: stuck.Call})
}

// A host estimates the age of a rollout and reads the whole directory again, as it does after an outage.
// Guards against a limit that starts again with a version which is recorded already.
func TestVersionThatIsReadAgainKeepsItsAge(t *testing.T) {
	for _, isEstimate := range []bool{false, true} {
		ts := newTestScheduler(t, 1)
		wanted := spoke.WantedWeights{Model: model, Version: 2}
		ts.handle(place.SetWantedWeights{Wanted: wanted, Age: 5 * time.Second, IsEstimate: isEstimate})
		ts.handle(place.SetWantedWeights{Wanted: wanted, Age: 50 * time.Millisecond})
		ts.now = ts.now.Add(500 * time.Millisecond)
		assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	}
}

// A host was suspended while weights were named, and reads a report that was sent at the beginning of that time.
// Guards against the age in the report counting from when it was read.
func TestAgeInUnreadReportIncludesSuspension(t *testing.T) {
	ts := newTestScheduler(t, 1)
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	ts.handle(place.SetWantedWeights{Wanted: wanted, Age: 5500 * time.Millisecond, IsEstimate: true})
	report := spoke.HostReport{Host: "host-2", Sequence: 1, WantedAges: []spoke.WantedAge{{Wanted: wanted, Age: time.Second}}}
	ts.handle(place.ReceiveReport{Report: report, MaxDelay: 4 * time.Second})
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	report.Sequence++
	ts.handle(place.ReceiveReport{Report: report})
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(1))
}
