package host

import (
	"slices"
	"sync/atomic"

	"magnoliaspoke.example/spoke"
)

type (
	// leavingList holds the upstreams that the platform lists as leaving.
	leavingList struct {
		ids atomic.Pointer[[]spoke.UpstreamID]
	}
)

// Upstreams returns the leaving upstreams of the last list.
func (l *leavingList) Upstreams() []spoke.UpstreamID {
	if ids := l.ids.Load(); ids != nil {
		return slices.Clone(*ids)
	}
	return nil
}

// update matches the leaving hosts of a list to upstreams by name or by address.
func (l *leavingList) update(listed []spoke.ListedHost, manifest *spoke.Manifest) {
	names := make(map[string]bool)
	addresses := make(map[spoke.Address]bool)
	for _, host := range listed {
		if host.State == spoke.HostLeaving {
			names[host.Name] = true
			addresses[host.Address] = true
		}
	}
	var ids []spoke.UpstreamID
	for _, upstream := range manifest.Upstreams() {
		if names[string(upstream.ID)] || addresses[upstream.Address] {
			ids = append(ids, upstream.ID)
		}
	}
	l.ids.Store(&ids)
}
