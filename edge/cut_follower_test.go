package edge_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

// cutStores is a prompt store without parts, which a host may not reach.
type cutStores struct {
	isCut   atomic.Bool
	answers atomic.Int64
}

func (c *cutStores) StoreContent(context.Context, spoke.Address) (spoke.StoreEvents, error) {
	if c.isCut.Load() {
		return spoke.StoreEvents{}, errCut
	}
	c.answers.Add(1)
	return spoke.StoreEvents{Epoch: 1, Next: 1}, nil
}

func (c *cutStores) StoreEvents(ctx context.Context, at spoke.Address, _ int64, _ time.Duration) (spoke.StoreEvents, error) {
	return c.StoreContent(ctx, at)
}

func (c *cutStores) FreeParts(context.Context, spoke.Address, spoke.StoreEpoch, []spoke.StoredPart) error {
	return nil
}

// Guards against a host that follows a prompt store, loses its ways to it, and keeps the others from following it.
func TestStoreIsFollowedByAHostThatReachesIt(t *testing.T) {
	const calls = 5
	first := start(t, 1)
	withStore := table(2, callerKey)
	withStore["services"] = append(withStore["services"].([]any), map[string]any{
		"name": "prompts", "kv-store-addr": "127.0.0.1:1", "zone": "a", "kv-capacity-tokens": 1000, "link-mbps": 1000,
	})
	first.store.Put("op/config", withStore)
	var stores []*cutStores
	for _, id := range []spoke.HostID{"host-2", "host-3"} {
		host := first.beside(id)
		reached := &cutStores{}
		host.promptStores = reached
		host.runHost()
		stores = append(stores, reached)
	}
	first.signals <- syscall.SIGTERM
	assert.NilError(t, <-first.ended)

	var follower, other *cutStores
	before := []int64{stores[0].answers.Load(), stores[1].answers.Load()}
	awaitTrue(t, "no host follows the store", func() bool {
		for i, reached := range stores {
			if reached.answers.Load() > before[i]+calls {
				follower, other = reached, stores[1-i]
				return true
			}
		}
		return false
	})
	follower.isCut.Store(true)
	known := other.answers.Load()
	awaitTrue(t, "no other host follows the store", func() bool { return other.answers.Load() > known+calls })
}
