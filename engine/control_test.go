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

// Guards against events, snapshots and load reports that name other blocks than the prompt's.
func TestControlCalls(t *testing.T) {
	at, client := startEngine(t, model.WithCache(256<<10, 64<<10)), startClient(t)
	prompt := string(make([]byte, 3*spoke.PieceSize))
	spec := runSpec("a", prompt)
	stream, err := client.Run(t.Context(), at, spec)
	assert.NilError(t, err)
	_, _, err = readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())

	batch, err := client.CacheEvents(t.Context(), at, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 3)
	assert.Equal(t, batch.Next, spoke.Sequence(3))
	keys := cache.ScopeOf(spec).Keys(prompt)
	snapshot, err := client.CacheSnapshot(t.Context(), at)
	assert.NilError(t, err)
	assert.Equal(t, snapshot.AsOf, spoke.Sequence(3))
	for i, key := range keys {
		assert.Equal(t, batch.Events[2-i].Key, key)
		assert.Equal(t, snapshot.Keys[2-i], key)
	}
	report, err := client.Load(t.Context(), at)
	assert.NilError(t, err)
	assert.Equal(t, report.Versions[quill], version)
	assert.Equal(t, report.CacheUsed, spoke.ByteSize(3*64<<10))
}

// Guards against orders of an earlier lease holder, without credential or after their deadline.
func TestOrderChecks(t *testing.T) {
	at, client := startEngine(t, model.WithAuthorization("secret")), startClient(t)
	order := spoke.Order{
		Kind: spoke.OrderSetRole, Role: "prefill", Fence: 5,
		Deadline: time.Now().Add(time.Minute), Credential: "secret",
	}
	assert.NilError(t, client.Order(t.Context(), at, order))
	stale := order
	stale.Fence = 4
	assert.ErrorIs(t, client.Order(t.Context(), at, stale), spoke.ErrStaleFence)
	forged := order
	forged.Credential = "guess"
	assert.ErrorIs(t, client.Order(t.Context(), at, forged), spoke.ErrNotAuthorized)
	late := order
	late.Deadline = time.Now().Add(-time.Second)
	assert.ErrorContains(t, client.Order(t.Context(), at, late), "deadline-passed")

	lax := startEngine(t, model.WithoutFencing())
	assert.NilError(t, client.Order(t.Context(), lax, order))
	assert.NilError(t, client.Order(t.Context(), lax, stale))
}

// Guards against a dead engine that its owner takes for a slow one, which costs three polls.
func TestRefusedControlCallIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	at := spoke.Address(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = startClient(t).Load(t.Context(), at)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
}
