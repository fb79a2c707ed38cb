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

func oldest(version spoke.WeightVersion) []spoke.ListedWeights {
	return []spoke.ListedWeights{{Model: model, Version: version}}
}

func groupAt(version spoke.WeightVersion) string {
	return place.CacheGroup(spoke.KeyOwner{}, model, version)
}

// Replays a roll-out while stores are full of parts of the older weights, which left no room for
// parts of the new ones until long after the last engine had changed. Guards against weights that
// count as usable although no engine serves them, and against those of an engine that counts.
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

// Guards against parts that are kept for an engine that never takes the new weights, and against a
// second name that gives the oldest weights their time anew.
func TestOlderWeightsAreOutdatedAtTheLimitOfTheFirstName(t *testing.T) {
	outdated := place.NewOutdatedWeights(weightsLimit)
	now := time.Unix(1000, 0)
	outdated.SetUpstreams(true, []spoke.ListedUpstream{engine(0)}, nil)
	outdated.SetWanted(now, spoke.WantedWeights{Model: model, Version: 2})
	outdated.SetWanted(now.Add(4*time.Second), spoke.WantedWeights{Model: model, Version: 3})
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(weightsLimit)), oldest(1))
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(weightsLimit+time.Second)), oldest(2))
	assert.DeepEqual(t, outdated.OldestUsable(now.Add(weightsLimit+5*time.Second)), oldest(3))
}

// Guards against parts that are freed while a host that has not heard of it may copy them, that stay
// although none can, and that belong to another model with a lower version.
func TestPartsAreFreedOnlyWhenNoHostCanCopyThem(t *testing.T) {
	freeing := place.NewReclaimer()
	now := time.Unix(1000, 0)
	tell := func(version spoke.WeightVersion, during time.Duration) {
		for end := now.Add(during); now.Before(end); now = now.Add(100 * time.Millisecond) {
			freeing.Publish(now, oldest(version))
		}
	}
	tell(1, time.Minute)
	assert.Assert(t, !freeing.MayFree(now, groupAt(1)))
	tell(2, 7900*time.Millisecond)
	assert.Assert(t, !freeing.MayFree(now, groupAt(1)), "a host may still copy")
	tell(3, 200*time.Millisecond)
	assert.Assert(t, freeing.MayFree(now, groupAt(1)))
	assert.Assert(t, !freeing.MayFree(now, groupAt(2)))
	tell(3, 9*time.Second)
	assert.Assert(t, freeing.MayFree(now, groupAt(2)))
	assert.Assert(t, !freeing.MayFree(now, groupAt(3)))
	assert.Assert(t, !freeing.MayFree(now, place.CacheGroup(spoke.KeyOwner{}, "model-b", 1)))
	assert.Assert(t, !freeing.MayFree(now, "a text of another program"))
	freeing.Reset()
	assert.Assert(t, !freeing.MayFree(now, groupAt(1)))
}

// Guards against parts that are freed by a host that was suspended right after it learned that they
// are outdated, so that nobody had heard of it.
func TestSuspendedHostCountsTheTimeAnew(t *testing.T) {
	freeing := place.NewReclaimer()
	now := time.Unix(1000, 0)
	freeing.Publish(now, oldest(2))
	now = now.Add(10 * time.Second)
	assert.Assert(t, !freeing.MayFree(now, groupAt(1)))
	freeing.Publish(now, oldest(2))
	assert.Assert(t, !freeing.MayFree(now, groupAt(1)))
}

// Replays a roll-out seen by three hosts: one that follows the store, one that hears of it and still
// has an engine on the older weights, and one that hears nothing more. Guards against copies of parts
// that the first may free by then.
func TestPartsOfOutdatedWeightsAreNotCopied(t *testing.T) {
	key := place.StoredKeyOf(spoke.StoredPart{Group: groupAt(1), Part: "session"})
	state := spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Clock: 50000, Stored: []spoke.StoredKey{key}, Oldest: oldest(1)}
	follower := newTrialOf(t, "host-2", 1)
	follower.handle(place.UpdateStore{State: state})
	hearing, deaf := newTrial(t, 1), newTrial(t, 1)
	first := follower.scheduler.LoadReport(follower.now, true)
	for _, tr := range []*trial{hearing, deaf} {
		tr.handle(place.ReceiveReport{Report: first})
		granted := tr.grant(tr.ask(2, "session", 8000, 1000))
		assert.Equal(t, granted.Fetch[0], spoke.Address("10.0.0.9:1"))
		assert.Equal(t, granted.FetchUntil, spoke.EngineTime(53000))
		tr.settle(granted)
	}
	follower.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Used: 8000, Oldest: oldest(2)}})
	follower.now = follower.now.Add(time.Second)
	hearing.handle(place.ReceiveReport{Report: follower.scheduler.LoadReport(follower.now, true)})
	hearing.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-3", Sequence: 1, Stores: []spoke.StoreState{state}}})
	for _, tr := range []*trial{hearing, deaf} {
		tr.now = tr.now.Add(2 * time.Second)
		granted := tr.grant(tr.ask(2, "session", 8000, 1000))
		assert.Equal(t, granted.Fetch[0], spoke.Address(""))
		assert.DeepEqual(t, granted.Save, []spoke.Address{"", ""})
	}
}

// Guards against news of a store that waited for their turn and say that outdated parts may be copied.
func TestNewsThatWaitedTellWhatMayBeCopiedNow(t *testing.T) {
	tr := newTrial(t, 1)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Oldest: oldest(1), Stored: storedKeys(largestNews)}})
	tr.scheduler.LoadReport(tr.now, false)
	tr.handle(place.UpdateStore{State: spoke.StoreState{Store: "store", Epoch: 7, Oldest: oldest(2)}})
	waited := tr.scheduler.LoadReport(tr.now, false).Stores[0]
	assert.Assert(t, len(waited.Stored) > 0)
	assert.DeepEqual(t, waited.Oldest, oldest(2))
}

// Guards against a host that frees parts of a store of which another host tells as well, whose
// listeners may copy them.
func TestSecondHostThatTellsOfAStoreIsNoted(t *testing.T) {
	tr := newTrial(t, 1)
	state := spoke.StoreState{Store: "store", Epoch: 7}
	other := spoke.HostReport{Host: "host-2", Sequence: 1, Stores: []spoke.StoreState{state}}
	assert.Equal(t, len(tr.handle(place.ReceiveReport{Report: other})), 0)
	tr.handle(place.UpdateStore{State: state})
	other.Sequence++
	assert.DeepEqual(t, tr.handle(place.ReceiveReport{Report: other}), []place.Action{place.StoreConflict{Store: "store"}})
}
