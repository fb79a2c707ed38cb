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
	ts.handle(place.ReceiveReport{Report: report, MaxDelay: 4600 * time.Millisecond})
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	report.Sequence++
	ts.handle(place.ReceiveReport{Report: report})
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(1))
}

// reportTo sends the full load report of this host to another one.
func (ts *testScheduler) reportTo(other *testScheduler) {
	report := ts.scheduler.LoadReport(ts.now, true)
	report.Host = "host-2"
	other.handle(place.ReceiveReport{Report: report})
}

// Host 2 learned version 2 late and version 3 in time; a started host reads version 3 only. Guards against
// version 1 counting as replaced only since version 3 was named.
func TestStartedHostCountsFromEarlierVersionOfEstimatedAge(t *testing.T) {
	started, other := newTestScheduler(t, 1), newTestScheduler(t, 1)
	other.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: 1500 * time.Millisecond, IsEstimate: true})
	other.now = other.now.Add(5 * time.Second)
	other.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 3}, Age: 50 * time.Millisecond})
	started.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 3}, Age: place.UnknownAge, IsEstimate: true})
	other.reportTo(started)
	assert.Equal(t, started.refusal(started.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
}

// All running hosts learned a version late. Guards against a started host that refuses replaced weights for
// ever, since no host knows their exact age, and against hosts that take over an unknown one.
func TestStartedHostAdoptsEstimatedAge(t *testing.T) {
	started, other := newTestScheduler(t, 1), newTestScheduler(t, 1)
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	other.handle(place.SetWantedWeights{Wanted: wanted, Age: 600 * time.Millisecond, IsEstimate: true})
	started.handle(place.SetWantedWeights{Wanted: wanted, Age: place.UnknownAge, IsEstimate: true})
	started.reportTo(other)
	other.reportTo(started)
	for _, ts := range []*testScheduler{started, other} {
		assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(1))
	}
}

// A report with an age that is too low arrives before this host reads the change itself. Guards against the
// earlier time that the directory shows being ignored.
func TestDirectoryCorrectsAgeOfEarlierReport(t *testing.T) {
	ts := newTestScheduler(t, 1)
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, WantedAges: []spoke.WantedAge{{Wanted: wanted}}}})
	ts.handle(place.SetWantedWeights{Wanted: wanted, Age: 400 * time.Millisecond})
	ts.now = ts.now.Add(5200 * time.Millisecond)
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
}
