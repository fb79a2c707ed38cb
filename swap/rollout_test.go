package swap_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

func checksFencing(int) bool { return true }

// Replays two names of weights shortly after each other. Guards against an engine that has loaded
// the first of them and holds one of the few turns until the time of its order is over.
func TestLoadedVersionEndsItsTurnThoughANewerOneIsWanted(t *testing.T) {
	f := newFleet(4, checksFencing)
	for f.orders == 0 {
		assert.Equal(t, f.step(), "")
	}
	f.want = "v3"
	took, fault := f.finish(time.Minute)
	assert.Equal(t, fault, "")
	// Two rounds of two loads, each with 3 s of notice before it and 3 s after it.
	assert.Assert(t, took < 13*time.Second, "%s", took)
}

// Replays a third version while some engines have the second. Guards against engines on the oldest
// weights, whose time ends first, that come last.
func TestOldestWeightsAreReplacedFirst(t *testing.T) {
	f := newFleet(6, checksFencing, swap.WithVersionOrder(func(a, b spoke.ModelVersion) int {
		return strings.Compare(string(a), string(b))
	}))
	for _, id := range []spoke.UpstreamID{"u0", "u1", "u2"} {
		f.versions[id] = "v2"
	}
	f.want = "v3"
	for range 400 {
		assert.Equal(t, f.step(), "")
		for _, old := range []spoke.UpstreamID{"u3", "u4", "u5"} {
			if f.versions[old] != "v1" {
				continue
			}
			for _, newer := range []spoke.UpstreamID{"u0", "u1", "u2"} {
				assert.Equal(t, f.versions[newer], spoke.ModelVersion("v2"), "%s is still on v1", old)
			}
		}
	}
	assert.Assert(t, f.isDone())
}
