package host

import (
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// sharedRouter serialises the calls of all requests of a host to one router, whose record of
// popular prefixes is not safe for concurrent use.
type sharedRouter struct {
	mu     sync.Mutex
	router spoke.Router
}

// Choose returns usable upstreams, the best first. Upstreams that wait for a swap still serve
// their old version and are chosen only if there are no others.
func (r *sharedRouter) Choose(now time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	r.mu.Lock()
	defer r.mu.Unlock()
	unpaused := slices.DeleteFunc(slices.Clone(views), func(view spoke.UpstreamView) bool { return view.Load.Paused })
	chosen := r.router.Choose(now, query, unpaused)
	if len(chosen) > 0 || len(unpaused) == len(views) {
		return chosen
	}
	return r.router.Choose(now, query, views)
}
