package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Guards against recomputing shared parts that an engine has cached.
func TestEngineWithCachedPrefixIsPreferred(t *testing.T) {
	ts := newTestScheduler(t, 3)
	first := ts.grant(ts.request(2, "session", 8000, 1000))
	ts.now = ts.now.Add(200 * time.Millisecond)
	ts.handle(place.Began{Call: first.Call})
	ts.handle(place.Ended{Call: first.Call, Ending: place.EndServed})
	again := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.Equal(t, again.Upstream.ID, first.Upstream.ID)
	assert.Equal(t, again.Cached, spoke.TokenCount(8000))
}

// Guards against recomputing a cached prefix when its engine cannot take the call.
func TestCachedPartsAreCopiedFromABusyEngine(t *testing.T) {
	ts := newTestScheduler(t, 2)
	first := ts.grant(ts.request(2, "session", 8000, 1000))
	ts.now = ts.now.Add(200 * time.Millisecond)
	ts.handle(place.Began{Call: first.Call})
	ts.handle(place.Pause{Upstream: first.Upstream.ID, For: time.Minute})
	other := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.Assert(t, other.Upstream.ID != first.Upstream.ID)
	assert.Equal(t, other.Fetched, spoke.TokenCount(8000))
	assert.DeepEqual(t, other.FetchSources, []spoke.Address{first.Upstream.Address, ""})
}

// Guards against counting parts of another workspace or weight version as cached.
func TestCachedPartsAreSeparatedByGroupAndVersion(t *testing.T) {
	ts := newTestScheduler(t, 1)
	first := ts.grant(ts.request(2, "session", 8000, 1000))
	ts.now = ts.now.Add(200 * time.Millisecond)
	ts.handle(place.Ended{Call: first.Call, Ending: place.EndServed})
	isolated := ts.request(2, "session", 8000, 1000)
	isolated.Group = place.NewCacheGroups([]spoke.WorkspaceID{"w"}).Of(spoke.KeyOwner{Workspace: "w"})
	granted := ts.grant(isolated)
	assert.Equal(t, granted.Cached, spoke.TokenCount(0))
	ts.now = ts.now.Add(200 * time.Millisecond)
	ts.handle(place.Ended{Call: granted.Call, Ending: place.EndServed, Weights: 2})
	newer := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.Equal(t, newer.Weights, spoke.WeightVersion(2))
	assert.Equal(t, newer.Cached, spoke.TokenCount(0))
	assert.Assert(t, place.CacheGroup("shared", model, 1) != place.CacheGroup("shared", model, 2))
	assert.Assert(t, place.CacheGroup("shared", model, 1) != place.CacheGroup("shared", "model-b", 1))
}

// Guards against saving parts twice or without room, and against copying parts from a store before they
// are complete or after the store has restarted.
func TestStorePartsAreSavedOnceAndCopiedWhenComplete(t *testing.T) {
	ts := newTestScheduler(t, 2)
	unknown := ts.grant(ts.request(2, "s0", 8000, 1000))
	assert.DeepEqual(t, unknown.SaveTargets, []spoke.Address{"", ""})
	ts.finish(unknown)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7}})

	first := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.DeepEqual(t, first.SaveTargets, []spoke.Address{"10.0.0.9:1", ""})
	ts.finish(first)
	second := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.DeepEqual(t, second.SaveTargets, []spoke.Address{"", ""})
	ts.finish(second)

	key := place.StoredKeyOf(spoke.StoredPart{Group: place.CacheGroup("shared", model, 1), Part: "session"})
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Stored: []spoke.StoredKey{key}}})
	ts.handle(place.Pause{Upstream: first.Upstream.ID, For: time.Minute})
	copied := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.DeepEqual(t, copied.FetchSources, []spoke.Address{"10.0.0.9:1", ""})
	ts.finish(copied)

	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 8}})
	after := ts.grant(ts.request(2, "session-2", 47000, 1000))
	assert.DeepEqual(t, after.SaveTargets, []spoke.Address{"10.0.0.9:1", ""})
	ts.finish(after)
	full := ts.grant(ts.request(2, "session-3", 8000, 1000))
	assert.DeepEqual(t, full.SaveTargets, []spoke.Address{"", ""})
	ts.finish(full)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", IsDown: true}})
	down := ts.grant(ts.request(2, "session-4", 8000, 1000))
	assert.DeepEqual(t, down.SaveTargets, []spoke.Address{"", ""})
}

func (ts *testScheduler) finish(granted place.Grant) {
	ts.now = ts.now.Add(800 * time.Millisecond)
	ts.handle(place.Began{Call: granted.Call})
	ts.handle(place.Ended{Call: granted.Call, Ending: place.EndServed})
}

// Guards against engines on older weights that get calls after the limit, and against engines that get
// none before it.
func TestOldWeightsAreUsedOnlyUntilTheLimit(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetWantedWeights{Wanted: spoke.WantedWeights{Model: model, Version: 2}})
	ts.finish(ts.grant(ts.request(0, "s", 500, 200)))
	ts.now = ts.now.Add(4800 * time.Millisecond)
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
	ts.handle(place.ObserveWeights{Upstream: "engine-0", Weights: spoke.ServedWeights{Model: model, Version: 2}})
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Weights, spoke.WeightVersion(2))
}

// Guards against a host that starts during a rollout and counts the limit from its own start.
func TestAgeOfWantedWeightsComesFromOtherHosts(t *testing.T) {
	ts := newTestScheduler(t, 1)
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	ts.handle(place.SetWantedWeights{Wanted: wanted, Age: time.Second, IsEstimate: true})
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, WantedAges: []spoke.WantedAge{{Wanted: wanted, Age: 5900 * time.Millisecond}}}})
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedWeights)
}

// Guards against calls to engines that are paused, leaving or removed, and against cached parts of an
// engine that has restarted under the same id.
func TestPausedLeavingAndRestartedEngines(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.Pause{Upstream: "engine-0", For: time.Second})
	ts.waits(ts.request(0, "s", 500, 200))
	actions := ts.advance(time.Second)
	assert.Equal(t, len(actions), 1)

	leaving := engine(0)
	leaving.IsLeaving = true
	ts.list(leaving)
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedNoUpstream)

	restarted := engine(0)
	restarted.Started = time.UnixMilli(5)
	ts.list(restarted)
	assert.Equal(t, ts.grant(ts.request(0, "s", 500, 200)).Cached, spoke.TokenCount(0))
	ts.handle(place.SetUpstreams{IsSnapshot: true})
	assert.Equal(t, ts.refusal(ts.request(0, "s", 500, 200)).Reason, place.RefusedNoUpstream)
}

// An engine joins while many calls wait whose parts are in a store. Guards against copies that queue
// at the engine's link for longer than prefill would take.
func TestConcurrentCopiesAreLimited(t *testing.T) {
	ts := newTestScheduler(t, 1)
	var keys []spoke.StoredKey
	for i := range 10 {
		part := spoke.PartID(fmt.Sprint("s", i))
		keys = append(keys, place.StoredKeyOf(spoke.StoredPart{Group: place.CacheGroup("shared", model, 1), Part: part}))
	}
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 40000, Stored: keys}})
	granted := 0
	for i := range 10 {
		// Each transfer takes 120 ms at 1 GB/s and 1,000 bytes a token.
		request := ts.request(2, fmt.Sprint("s", i), 120000, 10)
		request.Prompt.Input = 8000
		request.Target = ts.now.Add(time.Second)
		granted += len(ts.handle(request))
	}
	assert.Assert(t, granted >= 1 && granted <= 3, "%d granted", granted)
	urgent := ts.grant(ts.request(0, "s1", 120, 100))
	assert.Assert(t, urgent.Predicted < 300*time.Millisecond, "%s", urgent.Predicted)
}

// A store restarts while a host receives no reports from the host that follows it. Guards against copying
// parts that are being saved again.
func TestStoreStateExpiresWithoutReports(t *testing.T) {
	ts := newTestScheduler(t, 2)
	key := place.StoredKeyOf(spoke.StoredPart{Group: place.CacheGroup("shared", model, 1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Stored: []spoke.StoredKey{key}}
	ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}})
	first := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.Equal(t, first.FetchSources[0], spoke.Address("10.0.0.9:1"))
	ts.finish(first)
	ts.now = ts.now.Add(2 * time.Second)
	later := ts.grant(ts.request(2, "session", 8000, 1000))
	assert.Equal(t, later.FetchSources[0], spoke.Address(""))
	assert.DeepEqual(t, later.SaveTargets, []spoke.Address{"", ""})
}
