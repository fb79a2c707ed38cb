package route

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// pool holds the usable upstreams of a query by how well their version is known. Views are
// large, and copies of them took most of the time of a choice among 86 upstreams.
type pool struct {
	known, unknown []*spoke.UpstreamView
}

// usable returns the upstreams in the query's data centre, or those of others if it has none.
func usable(query *spoke.RouteQuery, views []spoke.UpstreamView) pool {
	var near, far pool
	for i := range views {
		view := &views[i]
		if !serves(query, view) {
			continue
		}
		target := &near
		if view.Upstream.DataCentre != query.DataCentre {
			target = &far
		}
		if query.Version != "" && view.Load.Versions[query.Model] == "" {
			target.unknown = append(target.unknown, view)
		} else {
			target.known = append(target.known, view)
		}
	}
	if len(near.known)+len(near.unknown) > 0 {
		return near
	}
	return far
}

func serves(query *spoke.RouteQuery, view *spoke.UpstreamView) bool {
	if view.Upstream.Service != query.Service || view.Upstream.State == spoke.UpstreamLeaving {
		return false
	}
	if view.Load.Draining || view.Load.Dead || view.Owner == "" || query.Exclude[view.Upstream.ID] {
		return false
	}
	version := view.Load.Versions[query.Model]
	return query.Version == "" || version == "" || version == query.Version
}

// load returns the work at an upstream as a multiple of its limit.
func load(view *spoke.UpstreamView) float64 {
	return float64(view.Load.Queued+view.Load.Running) / float64(max(view.Load.Limit, 1))
}

// wait returns the predicted queueing time for a rank.
func wait(rank spoke.RankName, view *spoke.UpstreamView) time.Duration {
	if wait, ok := view.Load.Waits[rank]; ok {
		return wait
	}
	return view.Load.ExpectedWait
}

func ids(views ...[]*spoke.UpstreamView) []spoke.UpstreamID {
	var result []spoke.UpstreamID
	for _, group := range views {
		for _, view := range group {
			result = append(result, view.Upstream.ID)
		}
	}
	return result
}
