package cache

import (
	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

// Placement maps blocks to the store hosts of one service and data centre by rendezvous hashing:
// when a host is added or removed, only the blocks of that host are remapped.
type Placement struct {
	hosts []spoke.StoreHost
	// seeds holds the hash of the ID of each host.
	seeds []uint64
}

// NewPlacement returns the placement over the given hosts that belong to the service and the data
// centre.
func NewPlacement(hosts []spoke.StoreHost, service spoke.ServiceName, centre spoke.DataCentreID) *Placement {
	placement := &Placement{}
	for _, host := range hosts {
		if host.Service == service && host.DataCentre == centre {
			placement.hosts = append(placement.hosts, host)
			placement.seeds = append(placement.seeds, xxhash.Sum64String(string(host.ID)))
		}
	}
	return placement
}

// Host returns the store host of a block, false if the service has none in the data centre.
func (p *Placement) Host(key spoke.BlockKey) (spoke.StoreHost, bool) {
	if p == nil {
		return spoke.StoreHost{}, false
	}
	var best spoke.StoreHost
	var highest uint64
	digest := xxhash.New()
	for i, host := range p.hosts {
		digest.ResetWithSeed(p.seeds[i])
		_, _ = digest.Write(key[:])
		if weight := digest.Sum64(); i == 0 || weight > highest || (weight == highest && host.ID < best.ID) {
			best, highest = host, weight
		}
	}
	return best, len(p.hosts) > 0
}
