package coord_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
)

func startService(t *testing.T) (*kvsvc.Service, *coord.Client) {
	service := kvsvc.New()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	client := coord.New(spoke.Address(server.Listener.Addr().String()), coord.WithTimeout(300*time.Millisecond))
	t.Cleanup(client.Close)
	return service, client
}

// Guards against a swap that ignores the expected revision and against wrongly escaped keys.
func TestCompareAndSwapChecksRevision(t *testing.T) {
	_, client := startService(t)
	ctx := context.Background()

	_, err := client.Get(ctx, "a/b c")
	assert.ErrorIs(t, err, spoke.ErrKeyMissing)
	first, err := client.CompareAndSwap(ctx, "a/b c", []byte("one"), 0, 0)
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(ctx, "a/b c", []byte("two"), 0, 0)
	assert.ErrorIs(t, err, spoke.ErrConflict)

	found, err := client.Get(ctx, "a/b c")
	assert.NilError(t, err)
	assert.DeepEqual(t, found, spoke.KeyValuePair{Key: "a/b c", Value: []byte("one"), Revision: first})
	pairs, err := client.List(ctx, "a/")
	assert.NilError(t, err)
	assert.DeepEqual(t, pairs, []spoke.KeyValuePair{found})
}

// Guards against calls that may have had an effect but are reported as certainly without effect.
func TestFailuresStateWhetherCallHadEffect(t *testing.T) {
	// A held call may continue when the outage ends, so it uses a separate service.
	heldService, client := startService(t)
	ctx := context.Background()
	swap := func(expected spoke.Revision) error {
		_, err := client.CompareAndSwap(ctx, "k", []byte("v"), expected, 0)
		return err
	}
	heldService.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageHold})
	assert.ErrorIs(t, swap(0), spoke.ErrAnswerLost)

	var service *kvsvc.Service
	service, client = startService(t)
	service.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageRefuse})
	assert.ErrorIs(t, swap(0), spoke.ErrUnavailable)
	service.SetFaults(kvsvc.Faults{LoseNext: 1})
	assert.ErrorIs(t, swap(0), spoke.ErrAnswerLost)
	assert.ErrorIs(t, swap(0), spoke.ErrConflict)

	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closedListener.Close())
	client = coord.New(spoke.Address(closedListener.Addr().String()))
	assert.ErrorIs(t, swap(0), spoke.ErrUnavailable)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = client.Acquire(cancelled, "l", "h", time.Second)
	assert.ErrorIs(t, err, spoke.ErrUnavailable)
}

// Guards against a watch that misses a change, returns early or is not counted while it waits.
func TestWatchReturnsNextChange(t *testing.T) {
	service, client := startService(t)
	ctx := context.Background()
	first, err := client.CompareAndSwap(ctx, "w/a", []byte("1"), 0, 0)
	assert.NilError(t, err)
	pairs, _, err := client.Watch(ctx, "w/", first, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(pairs), 0)

	type result struct {
		pairs  []spoke.KeyValuePair
		latest spoke.Revision
	}
	results := make(chan result, 1)
	go func() {
		pairs, latest, _ := client.Watch(ctx, "w/", first, 10*time.Second)
		results <- result{pairs, latest}
	}()
	for service.Calls().WaitingWatches == 0 {
		assert.NilError(t, ctx.Err())
	}
	second, err := client.CompareAndSwap(ctx, "w/b", []byte("2"), 0, 0)
	assert.NilError(t, err)
	got := <-results
	assert.Equal(t, got.latest, second)
	assert.DeepEqual(t, got.pairs, []spoke.KeyValuePair{{Key: "w/b", Value: []byte("2"), Revision: second}})
}

// Guards against two holders of a lease and against fencing tokens that do not increase.
func TestLeaseHasOneHolderAndRisingFence(t *testing.T) {
	_, client := startService(t)
	ctx := context.Background()
	before := time.Now()
	first, err := client.Acquire(ctx, "l", "h1", time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, !first.Expires.Before(before.Add(time.Minute)) && !first.Expires.After(time.Now().Add(time.Minute)))
	_, err = client.Acquire(ctx, "l", "h2", time.Minute)
	assert.ErrorIs(t, err, spoke.ErrLeaseHeld)
	renewed, err := client.Renew(ctx, first, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, renewed.Fence, first.Fence)
	assert.NilError(t, client.Release(ctx, renewed))

	second, err := client.Acquire(ctx, "l", "h2", time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, second.Fence > first.Fence)
	_, err = client.Renew(ctx, first, time.Minute)
	assert.ErrorIs(t, err, spoke.ErrLeaseLost)
	assert.ErrorIs(t, client.Release(ctx, first), spoke.ErrLeaseLost)
}
