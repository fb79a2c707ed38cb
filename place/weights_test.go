package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Replays a host that starts after a roll-out while the entries of the engines still list the
// older weights. Guards against a host that refuses every call for that, although the others know
// what the engines serve.
func TestStartedHostHearsWhatEnginesServe(t *testing.T) {
	wanted := place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: time.Hour}
	other := newTrialOf(t, "host-2", 1)
	other.handle(wanted)
	other.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ListedWeights{Model: model, Version: 2}})
	other.scheduler.LoadReport(other.now, false)

	started := newTrial(t, 1)
	started.handle(wanted)
	assert.Equal(t, started.refusal(started.ask(0, "s", 100, 100)).Reason, place.RefusedWeights)
	started.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, true)})
	assert.Equal(t, started.grant(started.ask(0, "s", 100, 100)).Weights, spoke.WeightVersion(2))
}

// Guards against accounts to all hosts of other cells that repeat what a roll-out changed.
func TestFarHostsHearOfWeightsOnce(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ListedWeights{Model: model, Version: 2}})
	_, hasNews := tr.scheduler.ForOtherCells(tr.scheduler.LoadReport(tr.now, true))
	assert.Assert(t, hasNews)
	_, hasNews = tr.scheduler.ForOtherCells(tr.scheduler.LoadReport(tr.now, true))
	assert.Assert(t, !hasNews)
}

func (tr *trial) name(version spoke.WeightVersion) {
	tr.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: version}})
}

// Replays two versions named 4 s apart. Guards against a second name that gives engines on the
// oldest weights their time anew, while other hosts already free the parts made on them.
func TestSecondNameDoesNotRenewTheTimeOfOlderWeights(t *testing.T) {
	tr := newTrial(t, 1)
	tr.name(2)
	tr.now = tr.now.Add(4 * time.Second)
	tr.name(3)
	tr.now = tr.now.Add(1500 * time.Millisecond)
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 500, 200)).Reason, place.RefusedWeights)
	tr.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ListedWeights{Model: model, Version: 2}})
	assert.Equal(t, tr.grant(tr.ask(0, "s", 500, 200)).Weights, spoke.WeightVersion(2))
}

// Guards against a host that missed the first of two names and counts the time of the oldest
// weights from the second.
func TestFirstNameReachesHostsThatLearnedTheSecond(t *testing.T) {
	other := newTrialOf(t, "host-2", 1)
	other.name(2)
	other.now = other.now.Add(5 * time.Second)
	other.name(3)

	for _, isGuess := range []bool{false, true} {
		tr := newTrial(t, 1)
		tr.now = other.now
		tr.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 3}, IsEstimate: isGuess})
		tr.handle(place.ReceiveReport{Report: other.scheduler.LoadReport(other.now, true)})
		tr.now = tr.now.Add(500 * time.Millisecond)
		assert.Equal(t, tr.refusal(tr.ask(0, "s", 500, 200)).Reason, place.RefusedWeights)
	}
}

// Replays an engine that turns slow while weights are replaced, so that a call waits inside it
// until after the limit. Guards against a call that begins on weights after their time.
func TestCallThatHasNotBegunIsRecalledAtTheEndOfItsWeights(t *testing.T) {
	tr := newTrial(t, 1)
	begun := tr.grant(tr.ask(0, "s", 100, 100))
	tr.handle(place.Began{Call: begun.Call})
	stuck := tr.grant(tr.ask(0, "s", 100, 100))
	tr.name(2)
	for tr.now.Before(time.Unix(1005, 500000000)) {
		assert.Equal(t, len(tr.pass(100*time.Millisecond)), 0)
		assert.Assert(t, tr.scheduler.NeedsTick(tr.now))
	}
	actions := tr.pass(300 * time.Millisecond)
	assert.DeepEqual(t, actions, []place.Action{place.Recall{Call: stuck.Call}})
	assert.Equal(t, len(tr.pass(100*time.Millisecond)), 0, "recalled once")
}
