package host

import (
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// sharedRouter lets all requests of a host use one router, whose knowledge of
// popular prefixes belongs to one goroutine at a time.
type sharedRouter struct {
	mu     sync.Mutex
	router spoke.Router
}

// Choose returns usable upstreams, the best first.
func (r *sharedRouter) Choose(now time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.router.Choose(now, query, views)
}
