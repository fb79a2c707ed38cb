package edge_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

const (
	firstStoreAddress = "127.0.0.1:1"
	laterStoreAddress = "127.0.0.1:2"
)

// movedStores lists stores at two addresses, each when the test allows it, and tells the numbers of events that are
// asked for.
type movedStores struct {
	listing chan spoke.Address
	release map[spoke.Address]chan struct{}
	since   chan int64
	next    map[spoke.Address]int64
}

func (m *movedStores) StoreContent(ctx context.Context, at spoke.Address) (spoke.StoreEvents, error) {
	select {
	case m.listing <- at:
	case <-ctx.Done():
	}
	select {
	case <-m.release[at]:
	case <-ctx.Done():
	}
	return spoke.StoreEvents{Epoch: 1, Next: m.next[at]}, nil
}

func (m *movedStores) StoreEvents(_ context.Context, _ spoke.Address, since int64, _ time.Duration) (spoke.StoreEvents, error) {
	select {
	case m.since <- since:
	default:
	}
	return spoke.StoreEvents{Epoch: 1, Next: since}, nil
}

func (*movedStores) FreeParts(context.Context, spoke.Address, spoke.StoreEpoch, []spoke.StoredPart) error {
	return nil
}

// The list of a prompt store that a table had moved to another address arrived late and counted as that of the new one,
// which did not hold these parts. Guards against that.
func TestListOfAStoreThatWasMovedIsDropped(t *testing.T) {
	t.Parallel()
	// answerTime is long enough for a step of the task that calls stores.
	const answerTime = time.Second
	first := start(t, 1)
	tableWithStore := func(version int, address string) any {
		withStore := table(version, callerKey)
		withStore["services"] = append(withStore["services"].([]any), map[string]any{
			"name": "prompts", "kv-store-addr": address, "zone": "a", "kv-capacity-tokens": 1000, "link-mbps": 1000,
		})
		return withStore
	}
	first.store.Put("op/config", tableWithStore(2, firstStoreAddress))
	stores := &movedStores{
		listing: make(chan spoke.Address), since: make(chan int64, 1),
		release: map[spoke.Address]chan struct{}{firstStoreAddress: make(chan struct{}), laterStoreAddress: make(chan struct{})},
		next:    map[spoke.Address]int64{firstStoreAddress: 100, laterStoreAddress: 5},
	}
	host := first.beside("host-2")
	host.promptStores = stores
	host.runHost()
	first.signals <- syscall.SIGTERM
	assert.NilError(t, <-first.ended)

	assert.Equal(t, <-stores.listing, spoke.Address(firstStoreAddress))
	first.store.Put("op/config", tableWithStore(3, laterStoreAddress))
	for at := range stores.listing {
		if at == laterStoreAddress {
			break
		}
	}
	close(stores.release[firstStoreAddress])
	select {
	case since := <-stores.since:
		t.Fatalf("events of the new address are asked for from %d on, before it is listed", since)
	case <-time.After(answerTime):
	}
	close(stores.release[laterStoreAddress])
	assert.Equal(t, <-stores.since, stores.next[laterStoreAddress])
}
