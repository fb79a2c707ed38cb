package engine_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/fake/model"
)

// Guards against cache events, snapshots and load reports that do not match the blocks of the
// prompt.
func TestControlCallsReportCachedBlocks(t *testing.T) {
	addr, client := startEngine(t, model.WithCache(256<<10, 64<<10)), startClient(t)
	prompt := string(make([]byte, 3*spoke.PieceSize))
	spec := runSpec("a", prompt)
	stream, err := client.Run(t.Context(), addr, spec)
	assert.NilError(t, err)
	_, _, err = readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())

	batch, err := client.CacheEvents(t.Context(), addr, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 3)
	assert.Equal(t, batch.Next, spoke.Sequence(3))
	keys := cache.ScopeOf(spec).Keys(prompt)
	snapshot, err := client.CacheSnapshot(t.Context(), addr)
	assert.NilError(t, err)
	assert.Equal(t, snapshot.AsOf, spoke.Sequence(3))
	for i, key := range keys {
		assert.Equal(t, batch.Events[2-i].Key, key)
		assert.Equal(t, snapshot.Keys[2-i], key)
	}
	report, err := client.Load(t.Context(), addr)
	assert.NilError(t, err)
	assert.Equal(t, report.Versions[modelName], version)
	assert.Equal(t, report.CacheUsed, spoke.ByteSize(3*64<<10))
}

// Guards against the acceptance of orders with a stale fencing token, with a wrong credential or
// after their deadline.
func TestEngineChecksOrders(t *testing.T) {
	addr, client := startEngine(t, model.WithAuthorization("secret")), startClient(t)
	order := spoke.Order{
		Kind: spoke.OrderSetRole, Role: "prefill", Fence: 5,
		Deadline: time.Now().Add(time.Minute), Credential: "secret",
	}
	assert.NilError(t, client.Order(t.Context(), addr, order))
	stale := order
	stale.Fence = 4
	assert.ErrorIs(t, client.Order(t.Context(), addr, stale), spoke.ErrStaleFence)
	unauthorized := order
	unauthorized.Credential = "guess"
	assert.ErrorIs(t, client.Order(t.Context(), addr, unauthorized), spoke.ErrNotAuthorized)
	expired := order
	expired.Deadline = time.Now().Add(-time.Second)
	assert.ErrorContains(t, client.Order(t.Context(), addr, expired), "deadline-passed")

	unfenced := startEngine(t, model.WithoutFencing())
	assert.NilError(t, client.Order(t.Context(), unfenced, order))
	assert.NilError(t, client.Order(t.Context(), unfenced, stale))
}

// Guards against a dead engine that is treated as slow: without ErrNotRun its owner needs three
// more polls to detect the failure.
func TestControlCallWithoutConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := spoke.Address(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = startClient(t).Load(t.Context(), addr)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
}
