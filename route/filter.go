package route

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// candidates holds the usable upstreams of a query, grouped by whether their model version is known.
// It holds pointers, because views are large: copying them took most of the time of a choice among
// 86 upstreams.
type candidates struct {
	known, unknown []*spoke.UpstreamView
}

// usable returns the usable upstreams in the query's data centre, or those in other data centres if
// there are none.
func usable(query *spoke.RouteQuery, views []spoke.UpstreamView) candidates {
	var local, remote candidates
	for i := range views {
		view := &views[i]
		if !isUsable(query, view) {
			continue
		}
		target := &local
		if view.Upstream.DataCentre != query.DataCentre {
			target = &remote
		}
		if query.Version != "" && view.Load.Versions[query.Model] == "" {
			target.unknown = append(target.unknown, view)
		} else {
			target.known = append(target.known, view)
		}
	}
	if len(local.known)+len(local.unknown) > 0 {
		return local
	}
	return remote
}

func isUsable(query *spoke.RouteQuery, view *spoke.UpstreamView) bool {
	if view.Upstream.Service != query.Service || view.Upstream.State == spoke.UpstreamLeaving {
		return false
	}
	if view.Load.Draining || view.Load.Dead || view.Owner == "" || query.Exclude[view.Upstream.ID] {
		return false
	}
	version := view.Load.Versions[query.Model]
	return query.Version == "" || version == "" || version == query.Version
}

// load returns the queued and running work of an upstream as a multiple of its limit.
func load(view *spoke.UpstreamView) float64 {
	return float64(view.Load.Queued+view.Load.Running) / float64(max(view.Load.Limit, 1))
}

// wait returns the predicted queueing time of an upstream for a rank.
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
