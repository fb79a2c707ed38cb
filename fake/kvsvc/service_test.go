package kvsvc_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/timer"
)

func start(t *testing.T) (*kvsvc.Service, *timer.Manual, *coord.Client) {
	clock := timer.NewManual(time.Unix(0, 0))
	service := kvsvc.New(kvsvc.WithTimer(clock))
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, clock, coord.New(spoke.Address(server.Listener.Addr().String()))
}

func post(t *testing.T, service *kvsvc.Service, path, body string) int {
	recorder := httptest.NewRecorder()
	service.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewBufferString(body)))
	t.Log(path, recorder.Body.String())
	return recorder.Code
}

// Guards against a host list without lag: tests could not simulate hosts that leave before the list changes.
func TestHostListIsDelayed(t *testing.T) {
	service, clock, client := start(t)
	ctx := context.Background()
	assert.Equal(t, post(t, service, "/hosts", `{"hosts":[{"name":"e1","address":"10.0.0.1:1","state":"live"}]}`), 200)
	live := []spoke.ListedHost{{Name: "e1", Address: "10.0.0.1:1", State: spoke.HostLive}}
	hosts, err := client.Hosts(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, live)

	assert.Equal(t, post(t, service, "/hosts", `{"hosts":[],"lag-ms":5000}`), 200)
	clock.Advance(4 * time.Second)
	hosts, err = client.Hosts(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, live)
	clock.Advance(time.Second)
	hosts, err = client.Hosts(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 0)
}

// Guards against values that are readable after their expiry and against reused revisions.
func TestExpiryAndRevisions(t *testing.T) {
	_, clock, client := start(t)
	ctx := context.Background()
	first, err := client.CompareAndSwap(ctx, "k", []byte("1"), 0, time.Second)
	assert.NilError(t, err)
	clock.Advance(time.Second)
	_, err = client.Get(ctx, "k")
	assert.ErrorIs(t, err, spoke.ErrKeyMissing)
	_, err = client.CompareAndSwap(ctx, "k", []byte("2"), first, 0)
	assert.ErrorIs(t, err, spoke.ErrConflict)
	second, err := client.CompareAndSwap(ctx, "k", []byte("2"), 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
}

// Guards against misspelt fault names that are silently ignored, and against miscounted calls.
func TestFaultsAndCalls(t *testing.T) {
	service, _, client := start(t)
	ctx := context.Background()
	assert.Equal(t, post(t, service, "/faults", `{"loose-answers":1}`), 400)
	assert.Equal(t, post(t, service, "/faults", `{"lose-next":1}`), 200)
	_, err := client.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	assert.ErrorIs(t, err, spoke.ErrAnswerLost)
	found, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(ctx, "k", []byte("22"), found.Revision, 0)
	assert.NilError(t, err)

	assert.Equal(t, post(t, service, "/faults", `{"stale-reads":1}`), 200)
	found, err = client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(found.Value), "1")
	_, err = client.Acquire(ctx, "l", "h", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, service.Calls(), kvsvc.Calls{Reads: 2, Writes: 2, LeaseCalls: 1, ValueBytes: 3})
}
