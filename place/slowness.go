package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// paceAt is the expected pace of the engine at a moment, its machine's slowness included.
func (n *node) paceAt(now time.Time) float64 { return n.currentPace() * n.slowness.At(now) }

// takeSlowness removes and returns the slowness that upstreams have reported since the last load report.
func (r *reportBuilder) takeSlowness(now time.Time) []spoke.UpstreamSlowness {
	var reported []spoke.UpstreamSlowness
	for id, n := range r.slowness {
		slowness, at := n.slowness.Last()
		reported = append(reported, spoke.UpstreamSlowness{Upstream: id, Slowness: slowness, Age: now.Sub(at)})
	}
	clear(r.slowness)
	return reported
}
