package host

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// storeProbeTimeout bounds the wait for a store host that does not answer.
	storeProbeTimeout = 300 * time.Millisecond
)

// Caches returns the state of the index of each owned engine's prefix cache.
func (t *blockTask) Caches(ctx context.Context) []spoke.CacheStatus {
	var caches []spoke.CacheStatus
	t.indexes.Range(func(_, index any) bool {
		caches = append(caches, index.(*indexTask).query(ctx, nil).status)
		return true
	})
	return caches
}

// Stores probes the store hosts of a data centre and returns their state.
func (t *blockTask) Stores(ctx context.Context, dataCentre spoke.DataCentreID) []spoke.StoreStatus {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	var stores []spoke.StoreStatus
	var addresses []spoke.Address
	for _, host := range t.manifest.Current().StoreHosts() {
		if host.DataCentre == dataCentre {
			stores = append(stores, spoke.StoreStatus{Store: host.ID, Service: host.Service, LinkRate: t.links.Rate(host.Address)})
			addresses = append(addresses, host.Address)
		}
	}
	var probes sync.WaitGroup
	for i := range stores {
		probes.Go(func() {
			usage, err := t.stores.Usage(ctx, addresses[i])
			stores[i].Reachable = err == nil
			stores[i].LinkQueue = usage.LinkQueue
		})
	}
	probes.Wait()
	return stores
}
