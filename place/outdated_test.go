package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const weightsLimit = 8 * time.Second

func weightsOf(version spoke.WeightVersion) map[spoke.ModelName]spoke.WeightVersion {
	return map[spoke.ModelName]spoke.WeightVersion{model: version}
}

func oldest(version spoke.WeightVersion) []spoke.ServedWeights {
	return []spoke.ServedWeights{{Model: model, Version: version}}
}

func groupAt(version spoke.WeightVersion) string {
	return place.CacheGroup("shared", model, version)
}

// During a rollout, stores were full of parts computed with the older weights, which left no room for new
// ones until long after the last engine had switched. Guards against versions that count as usable although
// no engine serves them, and against outdating one that an engine still serves.
func TestWeightsThatNoEngineServesAreOutdated(t *testing.T) {
	outdated := place.NewOutdatedWeights(weightsLimit)
	now := time.Unix(1000, 0)
	first, second := engine(0), engine(1)
	outdated.SetUpstreams(true, []spoke.ListedUpstream{first, second}, nil)
	outdated.SetWanted(now, spoke.WantedWeights{Model: model, Version: 2})
	first.Weights = weightsOf(2)
	outdated.SetUpstreams(false, []spoke.ListedUpstream{first}, nil)
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(4*time.Second)), oldest(1))
	second.Weights = weightsOf(2)
	outdated.SetUpstreams(false, []spoke.ListedUpstream{second}, nil)
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(4*time.Second)), oldest(2))
}

// Guards against keeping parts for an engine that never loads the new weights, and against a second
// rollout that extends the limit of the oldest weights.
func TestOlderWeightsAreOutdatedAtTheLimitOfTheFirstRollout(t *testing.T) {
	outdated := place.NewOutdatedWeights(weightsLimit)
	now := time.Unix(1000, 0)
	outdated.SetUpstreams(true, []spoke.ListedUpstream{engine(0)}, nil)
	outdated.SetWanted(now, spoke.WantedWeights{Model: model, Version: 2})
	outdated.SetWanted(now.Add(4*time.Second), spoke.WantedWeights{Model: model, Version: 3})
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(weightsLimit)), oldest(1))
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(weightsLimit+time.Second)), oldest(2))
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(weightsLimit+5*time.Second)), oldest(3))
}

// Guards against freeing parts while a host without the latest report may copy them, against keeping parts
// that no host can copy, and against freeing those of another model with a lower version.
func TestPartsAreFreedOnlyWhenNoHostCanCopyThem(t *testing.T) {
	reclaimer := place.NewReclaimer()
	now := time.Unix(1000, 0)
	publish := func(version spoke.WeightVersion, during time.Duration) {
		for end := now.Add(during); now.Before(end); now = now.Add(100 * time.Millisecond) {
			reclaimer.Publish(now, oldest(version))
		}
	}
	publish(1, time.Minute)
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(1)))
	publish(2, 7900*time.Millisecond)
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(1)), "a host may still copy")
	publish(3, 200*time.Millisecond)
	assert.Assert(t, reclaimer.MayFree(now, groupAt(1)))
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(2)))
	publish(3, 9*time.Second)
	assert.Assert(t, reclaimer.MayFree(now, groupAt(2)))
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(3)))
	assert.Assert(t, !reclaimer.MayFree(now, place.CacheGroup("shared", "model-b", 1)))
	assert.Assert(t, !reclaimer.MayFree(now, "a text of another program"))
	reclaimer.Reset()
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(1)))
}

// Guards against freeing parts on a host that was suspended right after they became outdated, before any
// report of that reached other hosts.
func TestReclaimerResetsAfterASuspension(t *testing.T) {
	reclaimer := place.NewReclaimer()
	now := time.Unix(1000, 0)
	reclaimer.Publish(now, oldest(2))
	now = now.Add(10 * time.Second)
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(1)))
	reclaimer.Publish(now, oldest(2))
	assert.Assert(t, !reclaimer.MayFree(now, groupAt(1)))
}

// Three hosts take part in a rollout: one follows the store, one receives its reports and still has an
// engine on the older weights, and one receives no further reports. Guards against copies of parts that the
// first may already free.
func TestPartsOfOutdatedWeightsAreNotCopied(t *testing.T) {
	key := place.StoredKeyOf(spoke.StoredPart{Group: groupAt(1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Clock: 50000, Stored: []spoke.StoredKey{key}, Oldest: oldest(1)}
	follower := newTestSchedulerFor(t, "host-2", 1)
	follower.handle(place.UpdateStore{State: state})
	receiving, cutOff := newTestScheduler(t, 1), newTestScheduler(t, 1)
	first := follower.scheduler.LoadReport(follower.now, true)
	for _, ts := range []*testScheduler{receiving, cutOff} {
		ts.handle(place.ReceiveReport{Report: first})
		granted := ts.grant(ts.request(2, "session", 8000, 1000))
		assert.Equal(t, granted.FetchSources[0], spoke.Address("10.0.0.9:1"))
		assert.Equal(t, granted.FetchDeadline, spoke.EngineTime(53000))
		ts.finish(granted)
	}
	follower.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Oldest: oldest(2)}})
	follower.now = follower.now.Add(time.Second)
	// A state is reported only shortly after the store has confirmed it.
	follower.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 8000}})
	receiving.handle(place.ReceiveReport{Report: follower.scheduler.LoadReport(follower.now, true)})
	receiving.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-3", Sequence: 1, Stores: []spoke.StoreState{state}}})
	for _, ts := range []*testScheduler{receiving, cutOff} {
		ts.now = ts.now.Add(2 * time.Second)
		granted := ts.grant(ts.request(2, "session", 8000, 1000))
		assert.Equal(t, granted.FetchSources[0], spoke.Address(""))
		assert.DeepEqual(t, granted.SaveTargets, []spoke.Address{"", ""})
	}
}

// Guards against store updates that were queued for a later report and still allow copies of outdated parts.
func TestQueuedStoreUpdatesCarryThePresentOldestVersion(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Oldest: oldest(1), Stored: storedKeys(maxPartsPerReport)}})
	ts.scheduler.LoadReport(ts.now, false)
	ts.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Oldest: oldest(2)}})
	queued := ts.scheduler.LoadReport(ts.now, false).Stores[0]
	assert.Assert(t, len(queued.Stored) > 0)
	assert.DeepEqual(t, queued.Oldest, oldest(2))
}

// Guards against a host that frees parts of a store which another host also reports, since receivers of
// those reports may copy the parts.
func TestStoreConflictIsReported(t *testing.T) {
	ts := newTestScheduler(t, 1)
	state := spoke.StoreState{Store: "store", Epoch: 7}
	other := spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}
	assert.Equal(t, len(ts.handle(place.ReceiveReport{Report: other})), 0)
	ts.handle(place.UpdateStore{State: state})
	other.Sequence++
	assert.DeepEqual(t, ts.handle(place.ReceiveReport{Report: other}), []place.Action{place.StoreConflict{Store: "store"}})
}
