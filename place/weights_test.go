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
	wanted := place.SetWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: time.Hour}
	other := newTrialOf(t, "host-2", 1)
	other.handle(wanted)
	other.handle(place.SeeWeights{Upstream: "engine-0", Weights: spoke.ListedWeights{Model: model, Version: 2}})
	other.scheduler.Account(other.now, false)

	started := newTrial(t, 1)
	started.handle(wanted)
	assert.Equal(t, started.refusal(started.ask(0, "s", 100, 100)).Reason, place.RefusedWeights)
	started.handle(place.Hear{Share: other.scheduler.Account(other.now, true)})
	assert.Equal(t, started.grant(started.ask(0, "s", 100, 100)).Weights, spoke.WeightVersion(2))
}

// Guards against accounts to all hosts of other cells that repeat what a roll-out changed.
func TestFarHostsHearOfWeightsOnce(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SeeWeights{Upstream: "engine-0", Weights: spoke.ListedWeights{Model: model, Version: 2}})
	_, hasNews := tr.scheduler.ForOtherCells(tr.scheduler.Account(tr.now, true))
	assert.Assert(t, hasNews)
	_, hasNews = tr.scheduler.ForOtherCells(tr.scheduler.Account(tr.now, true))
	assert.Assert(t, !hasNews)
}
