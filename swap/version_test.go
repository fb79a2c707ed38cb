package swap_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

// Guards against requests that ask for a version which few or no upstreams serve during a rollout.
func TestRequestVersionFollowsTheMajority(t *testing.T) {
	model := spoke.Model{Name: "m", Service: "s", Version: "v2"}
	views := make([]spoke.UpstreamView, 5)
	assert.Equal(t, swap.RequestVersion(model, nil), spoke.ModelVersion("v2"))
	for swapped, want := range []spoke.ModelVersion{"v1", "v1", "v2", "v2", "v2"} {
		for i := range views {
			version := spoke.ModelVersion("v1")
			if i < swapped {
				version = "v2"
			}
			views[i] = spoke.UpstreamView{
				Upstream: spoke.Upstream{Service: "s"}, Owner: "h",
				Load: spoke.LoadSummary{Versions: map[spoke.ModelName]spoke.ModelVersion{"m": version}},
			}
		}
		views[4].Load.Draining = true
		assert.Equal(t, swap.RequestVersion(model, views), want, "%d swapped", swapped)
	}
}
