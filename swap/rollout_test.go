package swap_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

func allCheckFencing(int) bool { return true }

// Two versions are wanted shortly after each other. Guards against an engine that has loaded the
// first one but occupies one of the few concurrent swaps until its order times out.
func TestSwapEndsWhenOrderedVersionIsSuperseded(t *testing.T) {
	f := newFleet(4, allCheckFencing)
	for f.orderCount == 0 {
		assert.Equal(t, f.step(), "")
	}
	f.want = "v3"
	took, violation := f.finish(time.Minute)
	assert.Equal(t, violation, "")
	// Two rounds of two swaps, each with a propagation delay of 3 s before it and after it.
	assert.Assert(t, took < 13*time.Second, "%s", took)
}

// A third version is wanted while some engines serve the second. Guards against swapping engines
// on the oldest weights last, although those weights expire first.
func TestOldestWeightsAreReplacedFirst(t *testing.T) {
	f := newFleet(6, allCheckFencing, swap.WithVersionOrder(func(a, b spoke.ModelVersion) int {
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
