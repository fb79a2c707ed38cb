package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against shared parts that are read again although an engine holds them.
func TestPromptGoesWhereItsBeginningIsCached(t *testing.T) {
	tr := newTrial(t, 3)
	first := tr.grant(tr.ask(2, "session", 8000, 1000))
	tr.now = tr.now.Add(200 * time.Millisecond)
	tr.handle(place.Began{Call: first.Call})
	tr.handle(place.Ended{Call: first.Call, Ending: place.EndServed})
	again := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.Equal(t, again.Upstream.ID, first.Upstream.ID)
	assert.Equal(t, again.Cached, spoke.TokenCount(8000))
}

// Guards against a cached beginning that is read again when its engine is busy.
func TestCachedPartsAreCopiedFromABusyEngine(t *testing.T) {
	tr := newTrial(t, 2)
	first := tr.grant(tr.ask(2, "session", 8000, 1000))
	tr.now = tr.now.Add(200 * time.Millisecond)
	tr.handle(place.Began{Call: first.Call})
	tr.handle(place.Pause{Upstream: first.Upstream.ID, For: time.Minute})
	other := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.Assert(t, other.Upstream.ID != first.Upstream.ID)
	assert.Equal(t, other.Fetched, spoke.TokenCount(8000))
	assert.DeepEqual(t, other.Fetch, []spoke.Address{first.Upstream.Address, ""})
}

// Guards against parts of another workspace or of other weights that are taken for cached ones.
func TestGroupsAndWeightsDoNotShareParts(t *testing.T) {
	tr := newTrial(t, 1)
	first := tr.grant(tr.ask(2, "session", 8000, 1000))
	tr.now = tr.now.Add(200 * time.Millisecond)
	tr.handle(place.Ended{Call: first.Call, Ending: place.EndServed})
	isolated := tr.ask(2, "session", 8000, 1000)
	isolated.Group = place.OwnerGroup(spoke.KeyOwner{Workspace: "w", IsCacheIsolated: true})
	granted := tr.grant(isolated)
	assert.Equal(t, granted.Cached, spoke.TokenCount(0))
	tr.now = tr.now.Add(200 * time.Millisecond)
	tr.handle(place.Ended{Call: granted.Call, Ending: place.EndServed, Weights: 2})
	newer := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.Equal(t, newer.Weights, spoke.WeightVersion(2))
	assert.Equal(t, newer.Cached, spoke.TokenCount(0))
	assert.Assert(t, place.CacheGroup(spoke.KeyOwner{}, model, 1) != place.CacheGroup(spoke.KeyOwner{}, model, 2))
	assert.Assert(t, place.CacheGroup(spoke.KeyOwner{}, model, 1) != place.CacheGroup(spoke.KeyOwner{}, "model-b", 1))
}

// Guards against parts that are saved twice, saved without room, or copied from a store before
// they are complete there or after it was started again.
func TestPromptStore(t *testing.T) {
	tr := newTrial(t, 2)
	unknown := tr.grant(tr.ask(2, "s0", 8000, 1000))
	assert.DeepEqual(t, unknown.Save, []spoke.Address{"", ""})
	tr.settle(unknown)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7}})

	first := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.DeepEqual(t, first.Save, []spoke.Address{"10.0.0.9:1", ""})
	tr.settle(first)
	second := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.DeepEqual(t, second.Save, []spoke.Address{"", ""})
	tr.settle(second)

	key := place.StoredKeyOf(spoke.StoredPart{Group: place.CacheGroup(spoke.KeyOwner{}, model, 1), Part: "session"})
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Stored: []spoke.StoredKey{key}}})
	tr.handle(place.Pause{Upstream: first.Upstream.ID, For: time.Minute})
	copied := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.DeepEqual(t, copied.Fetch, []spoke.Address{"10.0.0.9:1", ""})
	tr.settle(copied)

	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 8}})
	after := tr.grant(tr.ask(2, "session-2", 47000, 1000))
	assert.DeepEqual(t, after.Save, []spoke.Address{"10.0.0.9:1", ""})
	tr.settle(after)
	full := tr.grant(tr.ask(2, "session-3", 8000, 1000))
	assert.DeepEqual(t, full.Save, []spoke.Address{"", ""})
	tr.settle(full)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", IsDown: true}})
	down := tr.grant(tr.ask(2, "session-4", 8000, 1000))
	assert.DeepEqual(t, down.Save, []spoke.Address{"", ""})
}

func (tr *trial) settle(granted place.Grant) {
	tr.now = tr.now.Add(800 * time.Millisecond)
	tr.handle(place.Began{Call: granted.Call})
	tr.handle(place.Ended{Call: granted.Call, Ending: place.EndServed})
}

// Guards against engines on older weights that get calls after the limit, and against idle
// engines before it.
func TestOldWeightsAreGivenUpInTime(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}})
	tr.settle(tr.grant(tr.ask(0, "s", 500, 200)))
	tr.now = tr.now.Add(4800 * time.Millisecond)
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 500, 200)).Reason, place.RefusedWeights)
	tr.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ListedWeights{Model: model, Version: 2}})
	assert.Equal(t, tr.grant(tr.ask(0, "s", 500, 200)).Weights, spoke.WeightVersion(2))
}

// Guards against a host that starts while weights are replaced and counts from its own start.
func TestAgeOfWantedWeightsComesFromOtherHosts(t *testing.T) {
	tr := newTrial(t, 1)
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	tr.handle(place.SetWantedWeights{Wanted: wanted, Age: time.Second, IsEstimate: true})
	tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, WantedAges: []spoke.WantedAge{{Wanted: wanted, Age: 5900 * time.Millisecond}}}})
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 500, 200)).Reason, place.RefusedWeights)
}

// Guards against engines that are paused, leave, or are another one under the same id.
func TestEnginesOutOfUse(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.Pause{Upstream: "engine-0", For: time.Second})
	tr.waits(tr.ask(0, "s", 500, 200))
	actions := tr.pass(time.Second)
	assert.Equal(t, len(actions), 1)

	leaving := engine(0)
	leaving.IsLeaving = true
	tr.list(leaving)
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 500, 200)).Reason, place.RefusedNoUpstream)

	restarted := engine(0)
	restarted.Started = time.UnixMilli(5)
	tr.list(restarted)
	assert.Equal(t, tr.grant(tr.ask(0, "s", 500, 200)).Cached, spoke.TokenCount(0))
	tr.handle(place.SetUpstreams{IsSnapshot: true})
	assert.Equal(t, tr.refusal(tr.ask(0, "s", 500, 200)).Reason, place.RefusedNoUpstream)
}

// Replays an engine that joins while many calls wait whose parts are in a store. Guards against
// transfers that pile up at the engine's link, where they take longer than reading.
func TestTransfersDoNotPileUp(t *testing.T) {
	tr := newTrial(t, 1)
	var keys []spoke.StoredKey
	for i := range 10 {
		part := spoke.PartID(fmt.Sprint("s", i))
		keys = append(keys, place.StoredKeyOf(spoke.StoredPart{Group: place.CacheGroup(spoke.KeyOwner{}, model, 1), Part: part}))
	}
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 40000, Stored: keys}})
	granted := 0
	for i := range 10 {
		// Each transfer takes 120 ms at 1 GB/s and 1,000 bytes a token.
		ask := tr.ask(2, fmt.Sprint("s", i), 120000, 10)
		ask.Prompt.Input = 8000
		ask.Target = tr.now.Add(time.Second)
		granted += len(tr.handle(ask))
	}
	assert.Assert(t, granted >= 1 && granted <= 3, "%d granted", granted)
	urgent := tr.grant(tr.ask(0, "s1", 120, 100))
	assert.Assert(t, urgent.Predicted < 300*time.Millisecond, "%s", urgent.Predicted)
}

// Replays a store that starts again while a host is cut off from the one that follows it. Guards
// against parts that are copied while they are saved anew.
func TestStoreCountsOnlyWhileItIsHeardOf(t *testing.T) {
	tr := newTrial(t, 2)
	key := place.StoredKeyOf(spoke.StoredPart{Group: place.CacheGroup(spoke.KeyOwner{}, model, 1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Stored: []spoke.StoredKey{key}}
	tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}})
	first := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.Equal(t, first.Fetch[0], spoke.Address("10.0.0.9:1"))
	tr.settle(first)
	tr.now = tr.now.Add(2 * time.Second)
	later := tr.grant(tr.ask(2, "session", 8000, 1000))
	assert.Equal(t, later.Fetch[0], spoke.Address(""))
	assert.DeepEqual(t, later.Save, []spoke.Address{"", ""})
}
