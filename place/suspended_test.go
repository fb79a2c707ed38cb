package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against ages of wanted weights that leave out the time of a suspension, and against one that counts for weights
// that are named behind it.
func TestAgesOfWantedWeightsCountSuspensions(t *testing.T) {
	ts := newTestScheduler(t, 1)
	stuck := ts.grant(ts.request(0, "s", 100, 100))
	ts.setWanted(2)
	assert.Equal(t, len(ts.handle(place.Suspended{For: schedulerLimit / 2})), 0)
	actions := ts.handle(place.Suspended{For: schedulerLimit / 2})
	assert.DeepEqual(t, actions, []place.Action{place.Recall{Call: stuck.Call}})
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	ts.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ServedWeights{Model: model, Version: 2}})
	ts.setWanted(3)
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(2))
}

// A host that was suspended reads the age that another one reports. Guards against a suspension that counts twice.
func TestReportedAgeReplacesThatOfSuspendedHost(t *testing.T) {
	ts := newTestScheduler(t, 1)
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	ts.handle(place.SetWantedWeights{Wanted: wanted, Age: 2 * time.Second, IsEstimate: true})
	ts.handle(place.Suspended{For: 3 * time.Second})
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, WantedAges: []spoke.WantedAge{{Wanted: wanted, Age: 3 * time.Second}}}})
	ts.now = ts.now.Add(time.Second)
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(1))
}
