package edge_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// startedStores is the way of a host to a prompt store that may start again.
type startedStores struct {
	cutStores
	epoch *atomic.Uint64
}

func (s *startedStores) StoreContent(ctx context.Context, at spoke.Address) (spoke.StoreEvents, error) {
	events, err := s.cutStores.StoreContent(ctx, at)
	events.Epoch = spoke.StoreEpoch(s.epoch.Load())
	return events, err
}

func (s *startedStores) StoreEvents(ctx context.Context, at spoke.Address, _ int64, _ time.Duration) (spoke.StoreEvents, error) {
	return s.StoreContent(ctx, at)
}

// Guards against a host that takes over a prompt store and uses it without the pause after a start of the store: hosts
// that have missed the last reports may still use the parts of the start before.
func TestStoreThatStartsAgainInAHandOverIsUsedAfterThePause(t *testing.T) {
	t.Parallel()
	const (
		calls = 5
		// tolerance is for steps of the task that calls stores.
		tolerance = 200 * time.Millisecond
	)
	first := start(t, 1)
	withStore := table(2, callerKey)
	withStore["services"] = append(withStore["services"].([]any), map[string]any{
		"name": "prompts", "kv-store-addr": "127.0.0.1:1", "zone": "a", "kv-capacity-tokens": 1000, "link-mbps": 1000,
	})
	first.store.Put("op/config", withStore)
	var epoch atomic.Uint64
	epoch.Store(1)
	var stores []*startedStores
	for _, id := range []spoke.HostID{"host-2", "host-3"} {
		host := first.beside(id)
		reached := &startedStores{epoch: &epoch}
		host.promptStores = reached
		host.runHost()
		stores = append(stores, reached)
	}
	first.signals <- syscall.SIGTERM
	assert.NilError(t, <-first.ended)

	follower, other := stores[0], stores[1]
	awaitTrue(t, "no host follows the store", func() bool {
		if other.answers.Load() > follower.answers.Load() {
			follower, other = other, follower
		}
		return follower.answers.Load() > calls
	})
	known := other.answers.Load()
	follower.isCut.Store(true)
	epoch.Store(2)
	awaitTrue(t, "no other host tries the store", func() bool { return other.answers.Load() > known })
	tried := time.Now()
	awaitTrue(t, "no other host follows the store", func() bool { return other.answers.Load() > known+1 })
	pause := time.Since(tried)
	assert.Assert(t, pause >= place.StoreRetryDelay-tolerance, "used after %s", pause)
	awaitTrue(t, "no other host follows the store", func() bool { return other.answers.Load() > known+calls })
}
