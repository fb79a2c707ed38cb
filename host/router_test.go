package host_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/host"
	"magnoliaspoke.example/spoke/route"
)

// Guards against new work for an upstream that waits for its swap while others can take it, and
// against a refusal when only such upstreams are left.
func TestPausedUpstreamsAreTheLastChoice(t *testing.T) {
	router := host.NewSharedRouter(route.NewRoundRobin())
	view := func(id spoke.UpstreamID, isPaused bool) spoke.UpstreamView {
		return spoke.UpstreamView{
			Upstream: spoke.Upstream{ID: id, Service: "language", DataCentre: "dc1", State: spoke.UpstreamServing},
			Owner:    "h1",
			Load:     spoke.LoadSummary{Paused: isPaused, Versions: map[spoke.ModelName]spoke.ModelVersion{"m": "v1"}},
		}
	}
	query := spoke.RouteQuery{Service: "language", Model: "m", Version: "v1", DataCentre: "dc1"}
	for range 4 {
		chosen := router.Choose(time.Unix(0, 0), query, []spoke.UpstreamView{view("a", true), view("b", false)})
		assert.DeepEqual(t, chosen, []spoke.UpstreamID{"b"})
	}
	chosen := router.Choose(time.Unix(0, 0), query, []spoke.UpstreamView{view("a", true)})
	assert.DeepEqual(t, chosen, []spoke.UpstreamID{"a"})
}
