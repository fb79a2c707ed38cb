package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// Replays a roll-out while stores are full of parts of the older weights, which left no room for
// parts of the new ones until long after the last engine had changed. Guards against parts that
// are freed while a call may copy them, that stay although none can, and that belong to another
// model with a lower version.
func TestPartsOfOlderWeightsAreFreed(t *testing.T) {
	const limit = 8 * time.Second
	outdated := place.NewOutdated(limit)
	now := time.Unix(1000, 0)
	first, second := engine(0), engine(1)
	outdated.List(now, true, []spoke.ListedUpstream{first, second}, nil)
	outdated.Name(now, spoke.WantedWeights{Model: model, Version: 2})
	group := func(version spoke.WeightVersion) string { return place.CacheGroup(spoke.KeyOwner{}, model, version) }
	newer := map[spoke.ModelName]spoke.WeightVersion{model: 2}
	first.Weights = newer
	outdated.List(now, false, []spoke.ListedUpstream{first}, nil)

	now = now.Add(4 * time.Second)
	assert.Assert(t, !outdated.Includes(now, group(1)), "an engine still serves them")
	second.Weights = newer
	outdated.List(now, false, []spoke.ListedUpstream{second}, nil)
	assert.Assert(t, !outdated.Includes(now.Add(time.Second), group(1)), "a copy may be under way")
	assert.Assert(t, outdated.Includes(now.Add(4*time.Second), group(1)))
	assert.Assert(t, !outdated.Includes(now.Add(time.Hour), group(2)))
	assert.Assert(t, !outdated.Includes(now.Add(time.Hour), place.CacheGroup(spoke.KeyOwner{}, "model-b", 1)))
	assert.Assert(t, !outdated.Includes(now.Add(time.Hour), "a text of another program"))
}

// Guards against parts that are kept for an engine that never takes the new weights.
func TestPartsOfOlderWeightsAreFreedAtTheLimit(t *testing.T) {
	const limit = 8 * time.Second
	outdated := place.NewOutdated(limit)
	now := time.Unix(1000, 0)
	outdated.List(now, true, []spoke.ListedUpstream{engine(0)}, nil)
	outdated.Name(now, spoke.WantedWeights{Model: model, Version: 2})
	group := place.CacheGroup(spoke.KeyOwner{}, model, 1)
	assert.Assert(t, !outdated.Includes(now.Add(limit), group))
	assert.Assert(t, outdated.Includes(now.Add(limit+4*time.Second), group))
}
